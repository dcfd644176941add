//! Tests of the stores and the lists of VMs.

mod backoff;
mod embedded;
pub(crate) mod faulty;
mod gateway;
mod servers;

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for what another thread is to do.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until a condition is met, and fails if it isn't in time.
pub(crate) fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !is_met() {
        assert!(Instant::now() < deadline, "no {what} in {PATIENCE:?}");
        thread::sleep(Duration::from_millis(2));
    }
}
