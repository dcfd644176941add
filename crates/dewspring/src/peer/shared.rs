//! What the tasks of the peer duty and its handle share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use arc_swap::ArcSwap;

use super::counters::CounterSet;
use super::links::PeerLinks;
use super::member::MemberStatus;
use super::membership::{HeartbeatVerdict, MemberEvent, MembershipState, VmIdentity};
use super::messages::Heartbeat;
use super::preface::SharedSecret;
use super::wire::DOCUMENT_LIMIT;
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::ids::{Revision, VmId};
use crate::peer::GrantService;

/// The fleet as the other duties read it, without a lock.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    /// VMs that may be in charge of pools, this one included.
    pub(super) eligible: Vec<VmId>,
    /// All other VMs.
    pub(super) members: Vec<MemberStatus>,
}

/// The part that doesn't depend on the other duties.
pub(super) struct PeerShared {
    pub(super) identity: VmIdentity,
    pub(super) secret: SharedSecret,
    pub(super) counters: Arc<CounterSet>,
    pub(super) links: PeerLinks,
    pub(super) view: ArcSwap<FleetView>,
    membership: Mutex<MembershipState>,
}

impl PeerShared {
    pub(super) fn new(identity: VmIdentity, secret: SharedSecret) -> Self {
        let membership = MembershipState::new(identity.clone());
        let shared = PeerShared {
            identity,
            secret,
            counters: Arc::default(),
            links: PeerLinks::default(),
            view: ArcSwap::default(),
            membership: Mutex::new(membership),
        };
        shared.publish();
        shared
    }

    /// Returns the membership; the lock is never held while a task waits.
    pub(super) fn membership(&self) -> MutexGuard<'_, MembershipState> {
        self.membership.lock().expect("no holder panics")
    }

    /// Lets the other duties see the membership as it is now.
    pub(super) fn publish(&self) {
        let membership = self.membership();
        let view = FleetView {
            eligible: membership.eligible_vms(),
            members: membership.members(),
        };
        self.view.store(Arc::new(view));
    }
}

/// All that the tasks of the peer duty work with.
#[derive(Clone)]
pub(super) struct PeerCore<Exchange, Grants> {
    pub(super) shared: Arc<PeerShared>,
    pub(super) exchange: Exchange,
    pub(super) grants: Grants,
}

impl<Exchange: ConfigExchange, Grants: GrantService> PeerCore<Exchange, Grants> {
    /// Changes the membership, then tells the other duties what it means.
    pub(super) fn change<Outcome>(
        &self,
        change: impl FnOnce(&mut MembershipState) -> Outcome,
    ) -> Outcome {
        let mut membership = self.shared.membership();
        let outcome = change(&mut membership);
        let events = membership.take_events();
        drop(membership);
        if !events.is_empty() {
            self.shared.publish();
            events
                .into_iter()
                .for_each(|event| self.handle_event(event));
        }
        outcome
    }

    /// Takes in a heartbeat that another VM sent, and returns the answer.
    pub(super) fn answer_heartbeat(&self, question: &Heartbeat) -> Heartbeat {
        let revision = self.exchange.revision();
        let (verdict, answer) = self.change(|membership| {
            let verdict = membership.observe_question(Instant::now(), question);
            (verdict, membership.answer(question, revision))
        });
        self.count_verdict(verdict, &question.vm);
        answer
    }

    /// Counts a heartbeat that was dropped.
    pub(super) fn count_verdict(&self, verdict: HeartbeatVerdict, vm: &VmId) {
        if verdict != HeartbeatVerdict::Accepted {
            self.shared.counters.dropped_heartbeats.add(1);
            log::warn!("peer: dropped a heartbeat of {vm}: {verdict:?}.");
        }
    }

    /// Returns the document in force, if it is newer and may be passed on.
    pub(super) fn newer_snapshot(&self, after: Revision) -> Option<ConfigSnapshot> {
        if self.exchange.revision() <= after {
            return None;
        }
        self.exchange
            .snapshot()
            .filter(|snapshot| snapshot.revision > after)
            .filter(|snapshot| snapshot.document.len() <= DOCUMENT_LIMIT)
    }

    /// Offers a document to the configuration duty.
    ///
    /// It may have to be parsed, which another thread does.
    pub(super) async fn offer(&self, snapshot: ConfigSnapshot) {
        if snapshot.revision <= self.exchange.revision() {
            return;
        }
        let exchange = self.exchange.clone();
        let offered = tokio::task::spawn_blocking(move || exchange.offer(snapshot)).await;
        if let Err(error) = offered {
            log::error!("peer: the offer of a document failed: {error}.");
        }
    }

    fn handle_event(&self, event: MemberEvent) {
        match event {
            MemberEvent::Died(vm) => {
                log::info!("peer: {vm} is dead.");
                self.shared.links.reset(&vm);
            }
            MemberEvent::BootEnded(vm, boot) => {
                log::info!("peer: boot {boot} of {vm} is over.");
                self.shared.links.forgive(&vm);
                self.grants.forget_entry(vm, boot);
            }
            MemberEvent::Returned(vm) => {
                log::info!("peer: {vm} is back.");
                self.shared.links.forgive(&vm);
            }
        }
    }
}
