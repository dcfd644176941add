//! The state of one pool: assigns queued requests to servers.
//!
//! The pool never issues more grants for a server than the server has slots.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::admission::{PoolCapacity, expiry_reason, is_in_time, queue_expiry};
use super::budget::RetryBudget;
use super::choice::{ChoiceInput, ReplicaChoice, choose};
use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::crashes::{CrashRecord, stable_hash};
use super::estimate::{WorkEstimator, request_work};
use super::grants::GrantRecord;
use super::health::HealthSample;
use super::messages::{AttemptOutcome, GrantRelease, GrantRequest, RefusalReason};
use super::prefix::{PrefixHint, PrefixIndex};
use super::queue::{PoolQueue, ServiceTurn};
use super::queued::QueuedRequest;
use super::replica::ReplicaId;
use super::replicas::ReplicaSet;
use super::status::{PoolStatus, ServerStateChange};
use super::time_per_token::TimePerToken;
use crate::ids::{GrantId, PoolName, ServerName, TierLevel};
use crate::tables::PoolRow;

/// Samples in the pool's average time per token.
const SAMPLE_WINDOW: u32 = 128;
/// Factor on the estimated wait before a queued request is refused early.
const LATE_MARGIN: f64 = 0.8;

/// A request that is assigned to a server.
#[derive(Debug)]
pub(super) struct Placement {
    /// The request, removed from the queue.
    pub(super) queued: QueuedRequest,
    /// Number of the server.
    pub(super) replica: ReplicaId,
    /// Name of the server.
    pub(super) server: ServerName,
    /// Address of the server.
    pub(super) address: SocketAddr,
    /// Why the request was next.
    pub(super) turn: ServiceTurn,
    /// Why the server was chosen.
    pub(super) reason: String,
}

/// State of one pool.
#[derive(Debug)]
pub(super) struct PoolState {
    /// The queued requests.
    pub(super) queue: PoolQueue,
    estimator: WorkEstimator,
    time_per_token: TimePerToken,
    budget: RetryBudget,
    prefixes: PrefixIndex,
    replicas: ReplicaSet,
    crashes: CrashRecord,
    /// Requests that left the queue because they are blocked.
    blocked: Vec<QueuedRequest>,
    is_listed: bool,
}

impl Default for PoolState {
    fn default() -> Self {
        Self {
            queue: PoolQueue::default(),
            estimator: WorkEstimator::default(),
            time_per_token: TimePerToken::new(SAMPLE_WINDOW),
            budget: RetryBudget::default(),
            prefixes: PrefixIndex::default(),
            replicas: ReplicaSet::default(),
            crashes: CrashRecord::default(),
            blocked: Vec::new(),
            is_listed: false,
        }
    }
}

impl PoolState {
    /// Applies a row of the pools table.
    pub(super) fn configure(&mut self, row: &PoolRow, share: ShareDivisor) {
        self.is_listed = true;
        self.budget.set_percent(row.retry_percent);
        self.replicas.configure(&row.servers, share);
    }

    /// Records that the pool is no longer in the pools table.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
        self.replicas.configure(&[], ShareDivisor::WHOLE);
    }

    /// Returns whether the pool is unlisted and idle, so that it can be
    /// removed.
    pub(super) fn is_retired(&self) -> bool {
        !self.is_listed && self.replicas.is_empty()
    }

    /// Sets the broker's share of the servers' slots.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        for id in self.replicas.ids() {
            self.replicas.update(id, |replica| replica.set_share(share));
        }
    }

    /// Applies the state of a server in the platform's list.
    pub(super) fn apply_mark(&mut self, server: &ServerName, mark: ServerMark) {
        if let Some(id) = self.replicas.id(server) {
            self.replicas.update(id, |replica| replica.apply_mark(mark));
            self.replicas.enforce_ejection_limit();
        }
    }

    /// Applies a server's load report.
    pub(super) fn apply_report(&mut self, report: &ServerReport, now: Instant) {
        let Some(id) = self.replicas.id(&report.server) else {
            return;
        };
        self.replicas
            .update(id, |replica| replica.apply_report(report, now));
        self.replicas.enforce_ejection_limit();
        for hint in &report.cached {
            if let Some(seen_at) = now.checked_sub(hint.age) {
                let replica = id;
                self.prefixes
                    .record(hint.prefix, PrefixHint { replica, seen_at });
            }
        }
    }

    /// Compares the servers with each other and drops outdated measurements.
    pub(super) fn review(&mut self, now: Instant) {
        self.replicas.review(self.queue.len(), now);
        self.update_pool_average();
    }

    fn update_pool_average(&mut self) {
        if let Some(seconds_per_token) = self.time_per_token.last_known() {
            self.replicas.set_pool_seconds_per_token(seconds_per_token);
        }
    }

    /// Returns the name of a server.
    pub(super) fn server(&self, replica: ReplicaId) -> Option<&ServerName> {
        self.replicas.get(replica).map(|state| &state.name)
    }

    /// Returns whether any server accepts new work.
    pub(super) fn is_serving(&self) -> bool {
        self.replicas.has_serving()
    }

    /// Returns for how long a request isn't granted, because requests like it
    /// crash servers.
    pub(super) fn blocked_for(&self, request: &GrantRequest, now: Instant) -> Option<Duration> {
        self.crashes.blocked_for(request, now)
    }

    /// Removes and returns the requests that left the queue because they are
    /// blocked.
    pub(super) fn take_blocked(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.blocked)
    }

    /// Returns whether the retry budget allows a request.
    pub(super) fn may_retry(&self, request: &GrantRequest, now: Instant) -> bool {
        self.budget.allows(request.tier, now)
    }

    /// Estimates the work of a new request; returns the reason if it is
    /// refused.
    pub(super) fn check_admission(
        &mut self,
        queued: &mut QueuedRequest,
        now: Instant,
    ) -> Option<RefusalReason> {
        if self.blocked_for(&queued.request, now).is_some() {
            return Some(RefusalReason::CrashesServers);
        }
        if !self.replicas.has_serving_except(&queued.request.excluded) {
            return Some(RefusalReason::NoServer);
        }
        let is_retry = !queued.request.excluded.is_empty();
        if is_retry && !self.may_retry(&queued.request, now) {
            return Some(RefusalReason::Overloaded);
        }
        self.budget.record_request(is_retry, now);
        let capacity = self.capacity(now);
        queued.work = self.estimator.work(&queued.request);
        // Without known answer lengths, only the wait can cause a refusal: a
        // class refused because of a guessed run time would never produce a
        // release to learn from.
        let long_work = self.estimator.long_answer_work(&queued.request);
        let service_time = long_work.map_or(Duration::ZERO, |work| capacity.service_time(work));
        queued.expires_at = queue_expiry(queued, service_time);
        let wait = capacity.drain_time(self.queue.work_ahead(queued));
        if queued.expires_at <= now || !is_in_time(queued, wait, now) {
            return Some(expiry_reason(queued, now));
        }
        None
    }

    /// Lists the queued requests that can no longer meet their targets. The
    /// estimated wait is reduced by a margin, so that inaccurate estimates
    /// cause fewer refusals.
    pub(super) fn late_requests(&self, now: Instant) -> Vec<GrantId> {
        let capacity = self.capacity(now);
        self.queue.late_requests(|expires_at, ahead| {
            let wait = capacity.drain_time(ahead).mul_f64(LATE_MARGIN);
            now + wait > expires_at
        })
    }

    /// Records a refusal; returns the estimated time to drain the queued work
    /// of its tier and of higher ones.
    pub(super) fn record_refusal(
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
            self.budget.record_shed(tier, now);
        }
        let work = self.queue.work_down_to(tier);
        self.capacity(now).drain_time(work)
    }

    fn capacity(&self, now: Instant) -> PoolCapacity {
        PoolCapacity {
            slots: self.replicas.serving_slots(),
            seconds_per_token: self.time_per_token.seconds_per_token(now),
        }
    }

    /// Assigns the next request that can run now, and counts its grant.
    ///
    /// A request that excludes every available server is skipped. If the only
    /// available server awaits a probe, only the head of the queue is
    /// considered.
    pub(super) fn place_next(&mut self, now: Instant) -> Option<Placement> {
        let is_any_free = self.replicas.free().next().is_some();
        if !is_any_free && self.replicas.awaiting_probe().next().is_none() {
            return None;
        }
        let mut placement = None;
        while let Some(head) = self.queue.head() {
            let queued = self.queue.get(head.ticket);
            let queued = queued.expect("the head is queued");
            if self.crashes.blocked_for(&queued.request, now).is_some() {
                let blocked = self.queue.remove(head.ticket);
                self.blocked.extend(blocked);
                continue;
            }
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
            self.queue.skip(head.ticket);
        }
        self.queue.restore_skipped();
        placement
    }

    /// Ends a grant and records the measurements of its release, if there is
    /// one.
    pub(super) fn end_grant(
        &mut self,
        record: &GrantRecord,
        release: Option<&GrantRelease>,
        now: Instant,
    ) {
        if let (Some(release), Some(server)) = (release, self.server(record.replica)) {
            let server = stable_hash(server);
            self.crashes.record_release(record, release, server, now);
        }
        let sample = release.map(|release| health_sample(record, release));
        self.replicas
            .end_grant(record.replica, record.work, sample.as_ref(), now);
        if let (Some(release), Some(sample)) = (release, sample) {
            self.record_release(record, release, &sample, now);
        }
    }

    fn record_release(
        &mut self,
        record: &GrantRecord,
        release: &GrantRelease,
        sample: &HealthSample,
        now: Instant,
    ) {
        let underestimate = sample.work.cast_signed() - record.work.cast_signed();
        self.queue
            .adjust_charge(record.tier, &record.class, &record.workspace, underestimate);
        if release.outcome != AttemptOutcome::Completed {
            return;
        }
        self.estimator
            .record(&record.class, &record.workspace, release.tokens);
        let is_first = self.time_per_token.last_known().is_none();
        self.time_per_token
            .record(sample.work, release.elapsed, now);
        if is_first {
            self.update_pool_average();
        }
    }

    /// Removes and returns the changes of servers' states since the last call.
    pub(super) fn take_state_changes(&mut self) -> Vec<ServerStateChange> {
        self.replicas.take_state_changes()
    }

    /// Returns the status for operators.
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
            .update(replica, |state| state.record_grant(queued.work));
        if let Some(prefix) = queued.request.prefix {
            let seen_at = now;
            self.prefixes
                .record(prefix, PrefixHint { replica, seen_at });
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

fn health_sample(record: &GrantRecord, release: &GrantRelease) -> HealthSample {
    let work = request_work(record.prompt_tokens, release.tokens);
    HealthSample::new(release, work, request_work(record.prompt_tokens, 0))
}
