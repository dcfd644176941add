//! Estimates whether a request can meet its target, and when a refused caller
//! may retry.
//!
//! The estimates use the pool's measured seconds per token and its slots. While
//! no recent measurement exists, no request is refused because of its target.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::messages::RefusalReason;
use super::queued::QueuedRequest;
use crate::ids::TokenCount;

/// Shortest retry delay of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Largest jitter factor on a retry delay.
const MAX_JITTER_FACTOR: f64 = 1.5;
/// Retry delay, before jitter, when another broker takes over.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Upper bound of an estimated service time.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(3_600);

/// Throughput of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolCapacity {
    /// Slots of the servers that accept new work.
    pub(super) slots: u32,
    /// Seconds that a request takes for each token of its work; `None` if there
    /// is no recent measurement.
    pub(super) seconds_per_token: Option<f64>,
}

impl PoolCapacity {
    /// Estimates how long a request with this much work runs.
    pub(super) fn service_time(&self, work: TokenCount) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or_default() * work as f64;
        Duration::from_secs_f64(seconds.min(MAX_SERVICE_TIME.as_secs_f64()))
    }

    /// Estimates how long the pool takes to drain this much work.
    pub(super) fn drain_time(&self, work: TokenCount) -> Duration {
        self.service_time(work) / self.slots.max(1)
    }
}

/// Returns the time at which a request is refused if it is still queued.
///
/// If a late answer is worthless, this is the latest start at which the
/// estimated run still ends by the deadline.
pub(super) fn queue_expiry(queued: &QueuedRequest, service_time: Duration) -> Instant {
    if queued.request.late_is_useful {
        return queued.timeout_at();
    }
    let latest_start = queued.deadline.checked_sub(service_time);
    latest_start
        .unwrap_or(queued.received_at)
        .min(queued.timeout_at())
}

/// Returns whether a request is served in time if it waits for `wait` from
/// `now`.
pub(super) fn is_in_time(queued: &QueuedRequest, wait: Duration, now: Instant) -> bool {
    queued.request.late_is_useful || now + wait <= queued.expires_at
}

/// Returns the refusal reason of a request that has expired in the queue.
pub(super) fn expiry_reason(queued: &QueuedRequest, now: Instant) -> RefusalReason {
    match queued.timeout_at() <= now {
        true => RefusalReason::TimedOut,
        false => RefusalReason::TargetMissed,
    }
}

/// Returns the time after which a refused caller may retry.
///
/// This is the time in which the pool drains its queue, with jitter of up to
/// half as much again so that callers refused together don't retry together.
pub(super) fn retry_after(
    reason: RefusalReason,
    drain_time: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let base = match reason {
        RefusalReason::ShuttingDown => SHUTDOWN_RETRY_AFTER,
        _ => drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    };
    base.mul_f64(rng.random_range(1.0..MAX_JITTER_FACTOR))
}
