//! Tests of the backoff delay.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::store::backoff_delay;

#[test]
fn backoff_grows_to_its_limit() {
    let (base, limit) = (Duration::from_millis(200), Duration::from_secs(5));
    let mut rng = StdRng::seed_from_u64(1);
    for failures in 1..100_u32 {
        let max_delay = base.saturating_mul(1 << (failures - 1).min(16)).min(limit);
        let delay = backoff_delay(failures, base, limit, &mut rng);
        assert!(
            delay >= max_delay / 2 && delay <= max_delay,
            "{failures}: {delay:?}"
        );
    }
}
