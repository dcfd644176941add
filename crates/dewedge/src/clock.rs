//! The clock of the entry.
//!
//! All times are measured from the boot of the VM on a clock that includes
//! suspension, so that a deadline or a key confirmation never appears younger
//! than it is.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the boot of the VM, including suspension.
pub type Moment = Duration;

/// Returns the current time.
///
/// # Panics
///
/// Panics if the system has no boot-time clock.
///
/// # Examples
///
/// ```
/// let before = dewedge::clock::now();
/// assert!(dewedge::clock::now() >= before);
/// ```
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is not available");
    Duration::from(time)
}
