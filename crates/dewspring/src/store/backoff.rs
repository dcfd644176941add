//! The pause before the store is asked again after a failure.
//!
//! It serves every duty that calls the store.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Doublings after which the pause surely is at its limit.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the pause after a number of failures in a row.
///
/// It doubles from `base` up to `limit`; jitter takes up to half of it away,
/// so that VMs that failed together don't come back together.
pub(crate) fn backoff_delay(
    failures: u32,
    base: Duration,
    limit: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let full = base.saturating_mul(1 << doublings).min(limit);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
