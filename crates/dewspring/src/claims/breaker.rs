//! Refuses claims at once while the store is down.
//!
//! After a failure no writer makes a call for a while; then each lets one group
//! of claims through as a probe.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use crate::store::backoff_delay;

/// Time without calls after the first failure.
const OPEN_BASE: Duration = Duration::from_millis(100);

/// Longest time without calls.
const OPEN_LIMIT: Duration = Duration::from_secs(2);

/// Shortest time after which a refused caller is asked back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether the store is worth a call.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreBreaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl StoreBreaker {
    /// Tells whether calls are to be left out at this time.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Takes in that the store failed after it was waited for.
    ///
    /// The time without calls is at least as long as the wait, so that a slow
    /// store holds up at most every other claim.
    pub fn fail(&mut self, now: Instant, waited: Duration, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let delay = backoff_delay(self.failures, OPEN_BASE, OPEN_LIMIT, rng);
        self.open_until = Some(now + delay.max(waited));
    }

    /// Takes in that the store answered.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }
}

/// Returns a time after which a refused caller may come back, spread over as
/// long again, so that callers refused together don't come back together.
pub(super) fn retry_after(rng: &mut impl Rng) -> Duration {
    MIN_RETRY_AFTER.mul_f64(rng.random_range(1.0..=2.0))
}
