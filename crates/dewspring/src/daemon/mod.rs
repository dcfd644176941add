//! The duties of one VM, started and stopped together.
//!
//! [`Daemon::spawn`] opens the platform, the configuration, the broker, the
//! entry and the operators' address in that order, and [`Daemon::shut_down`]
//! ends them in an order that cuts off no request.

mod applied;
mod error;
mod follower;
mod marker;
mod ready;
mod run;
mod state;
#[cfg(test)]
mod tests;

pub use error::DaemonError;
pub use run::Daemon;
