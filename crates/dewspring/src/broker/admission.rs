//! Whether a target can be met, and when a refused caller may come back.
//!
//! The estimates rest on the pool's pace and slots. As long as no pace is
//! known, nothing is refused for its target.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::messages::RefusalReason;
use super::queued::QueuedRequest;
use crate::ids::TokenCount;

/// Shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest such time, before it is spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Largest factor by which such a time is spread.
const MAX_SPREAD: f64 = 1.5;
/// Shortest such time when another broker takes over.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest wait that is estimated.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// How fast a pool works.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolCapacity {
    /// Slots of the servers that take new work.
    pub(super) slots: u32,
    /// Seconds that a request spends for each token of its work; `None` if
    /// not known.
    pub(super) seconds_per_token: Option<f64>,
}

impl PoolCapacity {
    /// Estimates how long a request of this work runs.
    pub(super) fn service_time(&self, work: TokenCount) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or_default() * work as f64;
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Estimates how long the pool needs for this work.
    pub(super) fn drain_time(&self, work: TokenCount) -> Duration {
        self.service_time(work) / self.slots.max(1)
    }
}

/// Returns the time at which a request is refused if it still waits.
///
/// Where a late answer is worthless, that is the last moment from which its
/// estimated run ends in time.
pub(super) fn give_up_at(queued: &QueuedRequest, service_time: Duration) -> Instant {
    if queued.request.late_is_useful {
        return queued.timeout();
    }
    let start = queued.deadline.checked_sub(service_time);
    start.unwrap_or(queued.asked_at).min(queued.timeout())
}

/// Whether a request can be served in time if it waits for `wait` from `now`.
pub(super) fn is_in_time(queued: &QueuedRequest, wait: Duration, now: Instant) -> bool {
    queued.request.late_is_useful || now + wait <= queued.give_up_at
}

/// Returns why a request is refused that has waited until it is given up.
pub(super) fn expiry_reason(queued: &QueuedRequest, now: Instant) -> RefusalReason {
    match queued.timeout() <= now {
        true => RefusalReason::TimedOut,
        false => RefusalReason::TargetMissed,
    }
}

/// Returns the time after which a refused caller may come back.
///
/// It is the time in which the pool drains what waits, spread up to half as
/// much again, so that callers who were refused together don't come back
/// together.
pub(super) fn retry_after(
    reason: RefusalReason,
    drain_time: Duration,
    generator: &mut impl Rng,
) -> Duration {
    let base = match reason {
        RefusalReason::ShuttingDown => SHUTDOWN_RETRY_AFTER,
        _ => drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    };
    base.mul_f64(generator.random_range(1.0..MAX_SPREAD))
}
