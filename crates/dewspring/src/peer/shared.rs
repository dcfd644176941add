//! What the tasks of the peer duty and its handle share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use arc_swap::ArcSwap;

use super::choices::BrokerChoices;
use super::counters::CounterSet;
use super::events::{HeartbeatVerdict, MemberEvent};
use super::given_up::GivenUpQuestions;
use super::links::PeerLinks;
use super::log_limit::LogLimiter;
use super::member::{MemberStatus, VmIdentity};
use super::membership::MembershipState;
use super::messages::Heartbeat;
use super::preface::ProofKey;
use super::wire::DOCUMENT_LIMIT;
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::ids::{Revision, VmId};
use crate::peer::GrantService;

/// The fleet as the other duties read it, without a lock.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    /// The choice of a broker among the eligible VMs.
    pub(super) choices: Arc<BrokerChoices>,
    /// All other VMs.
    pub(super) members: Vec<MemberStatus>,
}

/// Which revisions this VM has in force and has heard of.
#[derive(Debug, Default)]
pub(super) struct RevisionMarks {
    in_force: AtomicU64,
    heard: AtomicU64,
}

impl RevisionMarks {
    /// Notes the revision in force on this VM.
    pub(super) fn note_in_force(&self, revision: Revision) {
        self.in_force.fetch_max(revision, Ordering::AcqRel);
    }

    /// Whether a later revision was heard of than the one in force.
    pub(super) fn is_behind(&self) -> bool {
        self.heard.load(Ordering::Acquire) > self.in_force.load(Ordering::Acquire)
    }

    fn note_heard(&self, revision: Revision) {
        self.heard.fetch_max(revision, Ordering::AcqRel);
    }
}

/// The part that doesn't depend on the other duties.
pub(super) struct PeerShared {
    pub(super) identity: VmIdentity,
    pub(super) key: ProofKey,
    pub(super) counters: Arc<CounterSet>,
    pub(super) links: PeerLinks,
    pub(super) view: ArcSwap<FleetView>,
    pub(super) revisions: RevisionMarks,
    unauthenticated_lines: Mutex<LogLimiter>,
    given_up: Mutex<GivenUpQuestions>,
    membership: Mutex<MembershipState>,
}

impl PeerShared {
    pub(super) fn new(identity: VmIdentity, key: ProofKey) -> Self {
        let membership = MembershipState::new(identity.clone());
        let shared = PeerShared {
            identity,
            key,
            counters: Arc::default(),
            links: PeerLinks::default(),
            view: ArcSwap::default(),
            revisions: RevisionMarks::default(),
            unauthenticated_lines: Mutex::default(),
            given_up: Mutex::default(),
            membership: Mutex::new(membership),
        };
        shared.publish();
        shared
    }

    /// Returns the membership; the lock is never held while a task waits.
    pub(super) fn membership(&self) -> MutexGuard<'_, MembershipState> {
        self.membership.lock().expect("no holder panics")
    }

    /// Returns the questions that were given up lately.
    pub(super) fn given_up(&self) -> MutexGuard<'_, GivenUpQuestions> {
        self.given_up.lock().expect("no holder panics")
    }

    /// Writes a log line that an unauthenticated connection caused, unless there were too many.
    pub(super) fn warn_of_unauthenticated(&self, line: impl FnOnce() -> String) {
        let mut limiter = self.unauthenticated_lines.lock().expect("no holder panics");
        if limiter.allows(Instant::now()) {
            log::warn!("peer: {}", line());
        }
    }

    /// Lets the other duties see the membership as it is now.
    pub(super) fn publish(&self) {
        // The lock is kept until the view is stored, so that views stay in order.
        let membership = self.membership();
        let eligible = membership.eligible_vms();
        let present = Arc::clone(&self.view.load().choices);
        let choices = if *present.eligible() == *eligible {
            present
        } else {
            Arc::new(BrokerChoices::new(eligible))
        };
        let view = FleetView {
            choices,
            members: membership.members(Instant::now()),
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
        self.shared.revisions.note_heard(question.revision);
        let (verdict, answer) = self.change(|membership| {
            let verdict = membership.observe_question(Instant::now(), question);
            (verdict, membership.answer(question, revision))
        });
        self.count_verdict(verdict, &question.vm);
        answer
    }

    /// Takes in the answer of the VM that was asked.
    pub(super) fn take_answer(&self, asked: &VmId, answer: &Heartbeat) -> HeartbeatVerdict {
        // It is noted first, so that nobody takes this VM for up to date.
        let revisions = &self.shared.revisions;
        if answer.vm == *asked {
            revisions.note_heard(answer.revision);
        }
        let now = Instant::now();
        let verdict =
            self.change(|membership| membership.handle_heartbeat_reply(now, asked, answer));
        self.count_verdict(verdict, &answer.vm);
        verdict
    }

    /// Counts a heartbeat that was dropped.
    fn count_verdict(&self, verdict: HeartbeatVerdict, vm: &VmId) {
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
                self.shared.links.allow_connect(&vm);
                self.grants.forget_entry(vm, boot);
            }
            MemberEvent::Returned(vm) => {
                log::info!("peer: {vm} is back.");
                self.shared.links.allow_connect(&vm);
            }
            MemberEvent::Leaving(vm) => log::info!("peer: {vm} is about to leave."),
        }
    }
}
