//! A circuit breaker that refuses claims at once while the store is down.
//!
//! After a failure the breaker is open and no writer calls the store. When the
//! open time is over, each writer lets one group of claims through as a probe.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::store::backoff_delay;

/// Open time after the first failure.
const BASE_OPEN_TIME: Duration = Duration::from_millis(100);

/// Longest open time, unless the failed commit itself took longer.
const MAX_OPEN_TIME: Duration = Duration::from_secs(2);

/// Shortest retry delay that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Circuit breaker for calls to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreBreaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl StoreBreaker {
    /// Returns whether calls are blocked at this time.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Opens the breaker after a failure that took the time `waited`.
    ///
    /// The open time is at least as long as the wait, so that a slow store
    /// delays at most every other claim.
    pub fn record_failure(&mut self, now: Instant, waited: Duration, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let delay = backoff_delay(self.failures, BASE_OPEN_TIME, MAX_OPEN_TIME, rng);
        self.open_until = Some(now + delay.max(waited));
    }

    /// Closes the breaker after a response from the store.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

/// Returns a random retry delay for a refused caller.
///
/// It lies between [`MIN_RETRY_AFTER`] and twice that, so that callers that
/// were refused together don't retry together.
pub(super) fn retry_after(rng: &mut impl Rng) -> Duration {
    MIN_RETRY_AFTER.mul_f64(rng.random_range(1.0..=2.0))
}
