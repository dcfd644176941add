//! Exponential backoff with jitter, for all callers of the store.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Largest number of doublings: the delay is at its limit long before, and the
/// shift can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the delay after a number of consecutive failures.
///
/// It doubles from `base` up to `limit`. Jitter removes up to half of it, so
/// that VMs that failed together don't retry together.
pub(crate) fn backoff_delay(
    failures: u32,
    base: Duration,
    limit: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let max_delay = base.saturating_mul(1 << doublings).min(limit);
    max_delay.mul_f64(rng.random_range(0.5..=1.0))
}
