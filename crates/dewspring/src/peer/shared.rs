//! State that the tasks of the peer worker and its handle share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use arc_swap::ArcSwap;

use super::broker_cache::BrokerCache;
use super::counters::CounterSet;
use super::events::{HeartbeatVerdict, MemberEvent};
use super::handshake::ProofKey;
use super::links::PeerLinks;
use super::log_limit::LogLimiter;
use super::member::{MemberStatus, VmIdentity};
use super::membership::MembershipState;
use super::messages::Heartbeat;
use super::wire::MAX_DOCUMENT_BYTES;
use super::withdrawn_requests::WithdrawnRequests;
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::ids::{Revision, VmId};
use crate::peer::GrantService;

/// Snapshot of the fleet that other modules read without a lock.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    /// Brokers of pools among the eligible VMs.
    pub(super) broker_cache: Arc<BrokerCache>,
    /// Status of all other VMs.
    pub(super) members: Vec<MemberStatus>,
}

/// Revision in force on this VM, and the highest one that a peer reported.
#[derive(Debug, Default)]
pub(super) struct RevisionMarks {
    in_force: AtomicU64,
    highest_seen: AtomicU64,
}

impl RevisionMarks {
    /// Records the revision in force on this VM.
    pub(super) fn record_in_force(&self, revision: Revision) {
        self.in_force.fetch_max(revision, Ordering::AcqRel);
    }

    /// Returns whether a peer reported a later revision than the one in force.
    pub(super) fn is_behind(&self) -> bool {
        self.highest_seen.load(Ordering::Acquire) > self.in_force.load(Ordering::Acquire)
    }

    fn record_seen(&self, revision: Revision) {
        self.highest_seen.fetch_max(revision, Ordering::AcqRel);
    }
}

/// Shared state that doesn't depend on the traits of other modules.
pub(super) struct PeerShared {
    pub(super) identity: VmIdentity,
    pub(super) key: ProofKey,
    pub(super) counters: Arc<CounterSet>,
    pub(super) links: PeerLinks,
    pub(super) view: ArcSwap<FleetView>,
    pub(super) revisions: RevisionMarks,
    unauthenticated_log_limit: Mutex<LogLimiter>,
    withdrawn_requests: Mutex<WithdrawnRequests>,
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
            unauthenticated_log_limit: Mutex::default(),
            withdrawn_requests: Mutex::default(),
            membership: Mutex::new(membership),
        };
        shared.publish();
        shared
    }

    /// Locks the membership; the lock must not be held across an `await`.
    pub(super) fn membership(&self) -> MutexGuard<'_, MembershipState> {
        self.membership.lock().expect("no holder panics")
    }

    /// Locks the record of recently withdrawn grant requests.
    pub(super) fn withdrawn_requests(&self) -> MutexGuard<'_, WithdrawnRequests> {
        self.withdrawn_requests.lock().expect("no holder panics")
    }

    /// Logs a warning caused by an unauthenticated connection, within the rate limit.
    pub(super) fn warn_unauthenticated(&self, line: impl FnOnce() -> String) {
        let mut limiter = self
            .unauthenticated_log_limit
            .lock()
            .expect("no holder panics");
        if limiter.admit(Instant::now()) {
            log::warn!("peer: {}", line());
        }
    }

    /// Publishes the current membership as a new [`FleetView`].
    pub(super) fn publish(&self) {
        // The lock is held until the view is stored, so that no older view replaces a newer one.
        let membership = self.membership();
        let eligible = membership.eligible_vms();
        let current = Arc::clone(&self.view.load().broker_cache);
        let broker_cache = if *current.eligible() == *eligible {
            current
        } else {
            Arc::new(BrokerCache::new(eligible))
        };
        let view = FleetView {
            broker_cache,
            members: membership.members(Instant::now()),
        };
        self.view.store(Arc::new(view));
    }
}

/// Shared state with the interfaces to the configuration and the broker.
#[derive(Clone)]
pub(super) struct PeerCore<Exchange, Grants> {
    pub(super) shared: Arc<PeerShared>,
    pub(super) exchange: Exchange,
    pub(super) grants: Grants,
}

impl<Exchange: ConfigExchange, Grants: GrantService> PeerCore<Exchange, Grants> {
    /// Updates the membership, then handles the resulting events.
    pub(super) fn update_membership<Outcome>(
        &self,
        update: impl FnOnce(&mut MembershipState) -> Outcome,
    ) -> Outcome {
        let mut membership = self.shared.membership();
        let outcome = update(&mut membership);
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

    /// Handles a heartbeat request of another VM and returns the reply.
    pub(super) fn handle_heartbeat(&self, request: &Heartbeat) -> Heartbeat {
        let revision = self.exchange.revision();
        self.shared.revisions.record_seen(request.revision);
        let (verdict, reply) = self.update_membership(|membership| {
            let verdict = membership.handle_heartbeat_request(Instant::now(), request);
            (verdict, membership.heartbeat_reply(request, revision))
        });
        self.count_verdict(verdict, &request.vm);
        reply
    }

    /// Handles a reply to a heartbeat request that was sent to `recipient`.
    pub(super) fn handle_heartbeat_reply(
        &self,
        recipient: &VmId,
        reply: &Heartbeat,
    ) -> HeartbeatVerdict {
        // The revision is recorded first: once the sender counts as contacted, this VM must not
        // appear caught up with an older revision.
        let revisions = &self.shared.revisions;
        if reply.vm == *recipient {
            revisions.record_seen(reply.revision);
        }
        let now = Instant::now();
        let verdict = self.update_membership(|membership| {
            membership.handle_heartbeat_reply(now, recipient, reply)
        });
        self.count_verdict(verdict, &reply.vm);
        verdict
    }

    /// Counts and logs a dropped heartbeat.
    fn count_verdict(&self, verdict: HeartbeatVerdict, vm: &VmId) {
        if verdict != HeartbeatVerdict::Accepted {
            self.shared.counters.dropped_heartbeats.add(1);
            log::warn!("peer: dropped a heartbeat from {vm}: {verdict:?}.");
        }
    }

    /// Returns the configuration in force if it is newer than `after` and not too long to send.
    pub(super) fn newer_snapshot(&self, after: Revision) -> Option<ConfigSnapshot> {
        if self.exchange.revision() <= after {
            return None;
        }
        self.exchange
            .snapshot()
            .filter(|snapshot| snapshot.revision > after)
            .filter(|snapshot| snapshot.document.len() <= MAX_DOCUMENT_BYTES)
    }

    /// Offers a configuration document to the configuration module.
    ///
    /// It may have to be parsed, so this runs on a blocking thread.
    pub(super) async fn offer(&self, snapshot: ConfigSnapshot) {
        if snapshot.revision <= self.exchange.revision() {
            return;
        }
        let exchange = self.exchange.clone();
        let offered = tokio::task::spawn_blocking(move || exchange.offer(snapshot)).await;
        if let Err(error) = offered {
            log::error!("peer: offering a configuration document failed: {error}.");
        }
    }

    fn handle_event(&self, event: MemberEvent) {
        match event {
            MemberEvent::Died(vm) => {
                log::info!("peer: {vm} is dead.");
                self.shared.links.reset(&vm);
            }
            MemberEvent::BootEnded(vm, boot) => {
                log::info!("peer: boot {boot} of {vm} has ended.");
                self.shared.links.clear_connect_failure(&vm);
                self.grants.forget_entry(vm, boot);
            }
            MemberEvent::Recovered(vm) => {
                log::info!("peer: {vm} has recovered.");
                self.shared.links.clear_connect_failure(&vm);
            }
            MemberEvent::Leaving(vm) => log::info!("peer: {vm} is leaving the fleet."),
        }
    }
}
