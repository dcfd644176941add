//! The clock of the entry.
//!
//! All times are counted from the boot of the VM on a clock that runs on while
//! the VM is suspended, so that a deadline or a confirmation is never taken for
//! younger than it is.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the boot of the VM, suspension included.
pub type Moment = Duration;

/// Reads the clock.
///
/// # Panics
///
/// Panics if the system has no boot clock.
///
/// # Examples
///
/// ```
/// let before = dewedge::clock::now();
/// assert!(dewedge::clock::now() >= before);
/// ```
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot clock can be read");
    Duration::from(time)
}
