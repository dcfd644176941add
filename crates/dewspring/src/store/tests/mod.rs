//! Tests of the stores and the lists of VMs.

mod backoff;
mod embedded;
pub(crate) mod faulty;
mod gateway;
mod servers;

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for an action of another thread.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a condition is met.
///
/// # Panics
///
/// If it isn't met within [`WAIT_TIMEOUT`].
pub(crate) fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "no {what} in {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}
