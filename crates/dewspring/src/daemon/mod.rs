//! The daemon of one VM: starts and stops its components together.
//!
//! [`Daemon::spawn`] starts, in this order, the platform clients, the
//! configuration, the claim ledger, the brokers (which schedule requests), the
//! peer worker, the entry (which receives requests) and the operators' listener.
//! [`Daemon::shut_down`] stops them in an order that interrupts no request in
//! flight within the shutdown timeout.

mod applied;
mod error;
mod follower;
mod marker;
mod readiness;
mod run;
mod state;
#[cfg(test)]
mod tests;

pub use error::DaemonError;
pub use run::Daemon;
