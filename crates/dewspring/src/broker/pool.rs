//! One pool: its queue, its servers, and the meeting of the two.
//!
//! The pool never has more grants out on a server than the server has slots.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::admission::{PoolCapacity, expiry_reason, give_up_at, is_in_time};
use super::budget::RetryBudget;
use super::choice::{ChoiceInput, ReplicaChoice, choose};
use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::estimate::{WorkEstimator, work_of};
use super::grants::GrantRecord;
use super::health::HealthSample;
use super::messages::{AttemptOutcome, GrantRelease, GrantRequest, RefusalReason};
use super::pace::ServicePace;
use super::prefix::{PrefixHint, PrefixIndex};
use super::queue::{PoolQueue, ServiceTurn};
use super::queued::QueuedRequest;
use super::replica::ReplicaId;
use super::replicas::ReplicaSet;
use super::status::{PoolStatus, ServerChange};
use crate::ids::{GrantId, PoolName, ServerName, TierLevel};
use crate::tables::PoolRow;

/// Releases on which the pool's pace rests.
const PACE_WINDOW: u32 = 128;
/// Factor on the estimated wait before a request is refused that waits.
const LATE_MARGIN: f64 = 0.8;

/// A request that has found its server.
#[derive(Debug)]
pub(super) struct Placement {
    /// The request, taken out of the queue.
    pub(super) queued: QueuedRequest,
    /// Number of the server that is to run it.
    pub(super) replica: ReplicaId,
    /// Its name.
    pub(super) server: ServerName,
    /// Address of that server.
    pub(super) address: SocketAddr,
    /// Why it is the request's turn.
    pub(super) turn: ServiceTurn,
    /// Why the server was chosen.
    pub(super) reason: String,
}

/// One pool.
#[derive(Debug)]
pub(super) struct PoolState {
    /// Requests that wait.
    pub(super) queue: PoolQueue,
    estimator: WorkEstimator,
    pace: ServicePace,
    budget: RetryBudget,
    prefixes: PrefixIndex,
    replicas: ReplicaSet,
    is_listed: bool,
}

impl Default for PoolState {
    fn default() -> Self {
        Self {
            queue: PoolQueue::default(),
            estimator: WorkEstimator::default(),
            pace: ServicePace::new(PACE_WINDOW),
            budget: RetryBudget::default(),
            prefixes: PrefixIndex::default(),
            replicas: ReplicaSet::default(),
            is_listed: false,
        }
    }
}

impl PoolState {
    /// Follows a new row of the pools table.
    pub(super) fn configure(&mut self, row: &PoolRow, share: ShareDivisor) {
        self.is_listed = true;
        self.budget.set_percent(row.retry_percent);
        self.replicas.configure(&row.servers, share);
    }

    /// Notes that the pools table no longer has the pool.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
        self.replicas.configure(&[], ShareDivisor::WHOLE);
    }

    /// Whether nothing keeps the broker from forgetting the pool.
    pub(super) fn is_gone(&self) -> bool {
        !self.is_listed && self.replicas.is_empty()
    }

    /// Follows a new share.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        for id in self.replicas.ids() {
            self.replicas.change(id, |replica| replica.set_share(share));
        }
    }

    /// Notes what the platform's list says of a server.
    pub(super) fn mark(&mut self, server: &ServerName, mark: ServerMark) {
        if let Some(id) = self.replicas.id(server) {
            self.replicas.change(id, |replica| replica.mark(mark));
            self.replicas.keep_limit();
        }
    }

    /// Notes what a server says of itself.
    pub(super) fn report(&mut self, report: &ServerReport, now: Instant) {
        let Some(id) = self.replicas.id(&report.server) else {
            return;
        };
        self.replicas
            .change(id, |replica| replica.report(report, now));
        self.replicas.keep_limit();
        for hint in &report.cached {
            if let Some(seen_at) = now.checked_sub(hint.age) {
                let replica = id;
                self.prefixes
                    .note(hint.prefix, PrefixHint { replica, seen_at });
            }
        }
    }

    /// Compares the servers with each other and forgets what is too old.
    pub(super) fn review(&mut self, now: Instant) {
        self.replicas.review(self.queue.len(), now);
        self.follow_pace();
    }

    fn follow_pace(&mut self) {
        if let Some(pace) = self.pace.latest() {
            self.replicas.set_pool_pace(pace);
        }
    }

    /// Returns the name of a server.
    pub(super) fn server(&self, replica: ReplicaId) -> Option<&ServerName> {
        self.replicas.get(replica).map(|state| &state.name)
    }

    /// Whether any server takes new work at all.
    pub(super) fn is_serving(&self) -> bool {
        self.replicas.is_serving()
    }

    /// Whether the retry budget has room for a request.
    pub(super) fn may_retry(&self, request: &GrantRequest, now: Instant) -> bool {
        self.budget.allows(request.tier, now)
    }

    /// Estimates a new request and returns why it is refused, if it is.
    pub(super) fn judge(
        &mut self,
        queued: &mut QueuedRequest,
        now: Instant,
    ) -> Option<RefusalReason> {
        if !self.replicas.is_serving_beside(&queued.request.excluded) {
            return Some(RefusalReason::NoServer);
        }
        let is_retry = !queued.request.excluded.is_empty();
        if is_retry && !self.may_retry(&queued.request, now) {
            return Some(RefusalReason::Overloaded);
        }
        self.budget.note_request(is_retry, now);
        let capacity = self.capacity(now);
        queued.work = self.estimator.work(&queued.request);
        // A class that is refused for a guess would never be learnt, so it is
        // refused only for the wait until its target has passed.
        let longest = self.estimator.longest_work(&queued.request);
        let service_time = longest.map_or(Duration::ZERO, |work| capacity.service_time(work));
        queued.give_up_at = give_up_at(queued, service_time);
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
        self.queue.late_requests(|give_up_at, ahead| {
            let wait = capacity.drain_time(ahead).mul_f64(LATE_MARGIN);
            now + wait > give_up_at
        })
    }

    /// Notes a refusal, and estimates how long what waits in its tier and in
    /// higher ones takes.
    pub(super) fn note_refusal(
        &mut self,
        reason: RefusalReason,
        tier: TierLevel,
        now: Instant,
    ) -> Duration {
        let is_shed = matches!(
            reason,
            RefusalReason::QueueFull | RefusalReason::TargetMissed | RefusalReason::TimedOut
        );
        if is_shed && self.queue.len() > 0 {
            self.budget.note_shed(tier, now);
        }
        let work = self.queue.work_down_to(tier);
        self.capacity(now).drain_time(work)
    }

    fn capacity(&self, now: Instant) -> PoolCapacity {
        PoolCapacity {
            slots: self.replicas.serving_slots(),
            seconds_per_token: self.pace.seconds_per_token(now),
        }
    }

    /// Finds the next request that can run now, and counts its grant.
    ///
    /// A request that excludes every free server is passed over. Where only a
    /// probe is free, none but the next request is looked at.
    pub(super) fn place_next(&mut self, now: Instant) -> Option<Placement> {
        let is_any_free = self.replicas.free().next().is_some();
        if !is_any_free && self.replicas.probes().next().is_none() {
            return None;
        }
        let mut placement = None;
        while let Some(head) = self.queue.head() {
            let queued = self.queue.get(head.ticket);
            let queued = queued.expect("the head of the queue waits");
            let input = ChoiceInput {
                replicas: &self.replicas,
                prefixes: &self.prefixes,
                now,
            };
            if let Some(choice) = choose(&input, queued) {
                let queued = self.queue.serve(head);
                placement = Some(self.place(queued, head.turn, choice, now));
                break;
            }
            if !is_any_free {
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
        let sample = release.map(|release| sample_of(record, release));
        self.replicas
            .end(record.replica, record.work, sample.as_ref(), now);
        if let (Some(release), Some(sample)) = (release, sample) {
            self.learn(record, release, &sample, now);
        }
    }

    fn learn(
        &mut self,
        record: &GrantRecord,
        release: &GrantRelease,
        sample: &HealthSample,
        now: Instant,
    ) {
        let missed = sample.work.cast_signed() - record.work.cast_signed();
        self.queue
            .correct(record.tier, &record.class, &record.workspace, missed);
        if release.outcome != AttemptOutcome::Completed {
            return;
        }
        self.estimator
            .record(&record.class, &record.workspace, release.tokens);
        let is_first = self.pace.latest().is_none();
        self.pace.record(sample.work, release.elapsed, now);
        if is_first {
            self.follow_pace();
        }
    }

    /// Takes the changes of servers' states since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<ServerChange> {
        self.replicas.take_changes()
    }

    /// Describes the pool to operators.
    pub(super) fn status(&self, name: &PoolName) -> PoolStatus {
        PoolStatus {
            pool: name.clone(),
            classes: self.queue.status(),
            servers: self.replicas.status(),
        }
    }

    fn place(
        &mut self,
        queued: QueuedRequest,
        turn: ServiceTurn,
        choice: ReplicaChoice,
        now: Instant,
    ) -> Placement {
        let ReplicaChoice { replica, reason } = choice;
        self.replicas
            .change(replica, |state| state.begin(queued.work));
        if let Some(prefix) = queued.request.prefix {
            let seen_at = now;
            self.prefixes.note(prefix, PrefixHint { replica, seen_at });
        }
        let state = self.replicas.get(replica);
        let state = state.expect("the chosen server is known");
        Placement {
            queued,
            replica,
            server: state.name.clone(),
            address: state.address,
            turn,
            reason,
        }
    }
}

fn sample_of(record: &GrantRecord, release: &GrantRelease) -> HealthSample {
    let work = work_of(record.prompt_tokens, release.tokens);
    HealthSample::new(release, work, work_of(record.prompt_tokens, 0))
}
