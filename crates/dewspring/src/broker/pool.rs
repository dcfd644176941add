//! One pool: its queue, its servers, and the meeting of the two.
//!
//! The pool never has more grants out on a server than the server has slots.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::admission::{PoolCapacity, expiry_reason, give_up_at, is_in_time};
use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::estimate::{WorkEstimator, work_of};
use super::grants::GrantRecord;
use super::messages::{AttemptOutcome, GrantRelease, RefusalReason};
use super::pace::ServicePace;
use super::queue::{PoolQueue, ServiceTurn};
use super::queued::QueuedRequest;
use super::replica::ReplicaState;
use super::status::PoolStatus;
use crate::ids::{GrantId, PoolName, ServerName, TierLevel};
use crate::tables::PoolRow;

/// Factor on the estimated wait before a request is refused that waits.
const LATE_MARGIN: f64 = 0.8;

/// A request that has found its server.
#[derive(Debug)]
pub(super) struct Placement {
    /// The request, taken out of the queue.
    pub(super) queued: QueuedRequest,
    /// Server that is to run it.
    pub(super) server: ServerName,
    /// Why it is the request's turn.
    pub(super) turn: ServiceTurn,
    /// Why the server was chosen.
    pub(super) reason: String,
}

/// One pool.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    /// Requests that wait.
    pub(super) queue: PoolQueue,
    estimator: WorkEstimator,
    pace: ServicePace,
    replicas: IndexMap<ServerName, ReplicaState>,
    is_listed: bool,
}

impl PoolState {
    /// Follows a new row of the pools table.
    pub(super) fn configure(&mut self, row: &PoolRow, share: ShareDivisor) {
        self.unlist();
        self.is_listed = true;
        for server in &row.servers {
            match self.replicas.get_mut(&server.name) {
                Some(replica) => replica.configure(server, share),
                None => {
                    let replica = ReplicaState::new(server, share);
                    self.replicas.insert(server.name.clone(), replica);
                }
            }
        }
        self.forget_gone();
    }

    /// Notes that the pools table no longer has the pool.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
        self.replicas.values_mut().for_each(ReplicaState::unlist);
    }

    /// Whether nothing keeps the broker from forgetting the pool.
    pub(super) fn is_gone(&self) -> bool {
        !self.is_listed && self.replicas.is_empty()
    }

    /// Follows a new share.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        for replica in self.replicas.values_mut() {
            replica.set_share(share);
        }
    }

    /// Notes what the platform's list says of a server.
    pub(super) fn mark(&mut self, server: &ServerName, mark: ServerMark) {
        if let Some(replica) = self.replicas.get_mut(server) {
            replica.mark(mark);
        }
    }

    /// Notes what a server says of itself.
    pub(super) fn report(&mut self, report: &ServerReport) {
        if let Some(replica) = self.replicas.get_mut(&report.server) {
            replica.report(report);
        }
    }

    /// Whether any server takes new work at all.
    pub(super) fn is_serving(&self) -> bool {
        self.replicas.values().any(ReplicaState::is_serving)
    }

    /// Estimates a new request and returns why it is refused, if it is.
    pub(super) fn judge(&self, queued: &mut QueuedRequest, now: Instant) -> Option<RefusalReason> {
        if !self.is_serving() {
            return Some(RefusalReason::NoServer);
        }
        let capacity = self.capacity(now);
        queued.work = self.estimator.work(&queued.request);
        let longest = self.estimator.longest_work(&queued.request);
        queued.give_up_at = give_up_at(queued, capacity.service_time(longest));
        let wait = capacity.drain_time(self.queue.work_ahead(queued));
        if queued.give_up_at <= now || !is_in_time(queued, wait, now) {
            return Some(expiry_reason(queued, now));
        }
        None
    }

    /// Lists the requests that wait in vain: their targets can't be met any
    /// more, by a margin that keeps estimates from refusing too much.
    pub(super) fn late_requests(&self, now: Instant) -> Vec<GrantId> {
        let capacity = self.capacity(now);
        self.queue.late_requests(|queued, ahead| {
            let wait = capacity.drain_time(ahead).mul_f64(LATE_MARGIN);
            !is_in_time(queued, wait, now)
        })
    }

    /// Estimates how long what waits in this and higher tiers takes.
    pub(super) fn drain_time(&self, tier: TierLevel, now: Instant) -> Duration {
        let work = self.queue.work_down_to(tier);
        self.capacity(now).drain_time(work)
    }

    fn capacity(&self, now: Instant) -> PoolCapacity {
        let serving = self
            .replicas
            .values()
            .filter(|replica| replica.is_serving());
        PoolCapacity {
            slots: serving.map(ReplicaState::slots).sum(),
            seconds_per_token: self.pace.seconds_per_token(now),
        }
    }

    /// Finds the next request that can run now, and counts its grant.
    ///
    /// A request that excludes every free server is passed over.
    pub(super) fn place_next(&mut self) -> Option<Placement> {
        if !self.replicas.values().any(ReplicaState::is_free) {
            return None;
        }
        let mut placement = None;
        while let Some(head) = self.queue.head() {
            let queued = self.queue.get(head.ticket);
            let queued = queued.expect("the head of the queue waits");
            if let Some(server) = self.choose(queued) {
                let queued = self.queue.serve(head);
                placement = Some(self.place(queued, head.turn, server));
                break;
            }
            self.queue.set_aside(head.ticket);
        }
        self.queue.restore();
        placement
    }

    /// Ends a grant, and learns from its release if there is one.
    pub(super) fn end(
        &mut self,
        record: &GrantRecord,
        release: Option<&GrantRelease>,
        now: Instant,
    ) {
        let replica = self.replicas.get_mut(&record.server);
        replica
            .expect("a server stays known while it has grants")
            .end(record.work);
        if let Some(release) = release {
            self.learn(record, release, now);
        }
        self.forget_gone();
    }

    fn learn(&mut self, record: &GrantRecord, release: &GrantRelease, now: Instant) {
        let done = work_of(record.prompt_tokens, release.tokens);
        let missed = done.cast_signed() - record.work.cast_signed();
        self.queue
            .correct(record.tier, &record.class, &record.workspace, missed);
        if release.outcome == AttemptOutcome::Completed {
            self.pace.record(done, release.elapsed, now);
            self.estimator
                .record(&record.class, &record.workspace, release.tokens);
        }
    }

    /// Describes the pool to operators.
    pub(super) fn status(&self, name: &PoolName) -> PoolStatus {
        PoolStatus {
            pool: name.clone(),
            classes: self.queue.status(),
            servers: self.replicas.values().map(ReplicaState::status).collect(),
        }
    }

    /// Returns a server by name.
    pub(super) fn replica(&self, server: &ServerName) -> Option<&ReplicaState> {
        self.replicas.get(server)
    }

    fn choose(&self, queued: &QueuedRequest) -> Option<ServerName> {
        let excluded = &queued.request.excluded;
        let free = self.replicas.values().filter(|replica| replica.is_free());
        free.filter(|replica| !excluded.contains(&replica.name))
            .min_by_key(|replica| (replica.tokens_in_flight, replica.in_flight))
            .map(|replica| replica.name.clone())
    }

    fn place(&mut self, queued: QueuedRequest, turn: ServiceTurn, server: ServerName) -> Placement {
        let replica = self.replicas.get_mut(&server);
        let replica = replica.expect("the chosen server is known");
        let reason = format!("{} tokens in flight", replica.tokens_in_flight);
        replica.begin(queued.work);
        Placement {
            queued,
            server,
            turn,
            reason,
        }
    }

    fn forget_gone(&mut self) {
        self.replicas.retain(|_, replica| !replica.is_gone());
    }
}
