//! Decides about duties that one VM of a fleet performs at a time: reports of
//! usage, and orders for servers.
//!
//! - [`lease`]: which VM holds a duty, with which fencing token, until when.
//! - [`usage`]: counts of started requests, merged over all VMs.
//! - [`truetime`]: true time from the clocks of several VMs.
//! - [`scaling`]: how many servers a data centre needs.
//!
//! Times are durations on the monotonic clock of the VM. The crate has no clock,
//! thread or I/O, so that each entry of the product decides alike.

pub mod lease;
pub mod scaling;
pub mod truetime;
pub mod usage;
