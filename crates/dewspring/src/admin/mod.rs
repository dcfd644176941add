//! HTTP listener for operators and programs: health, metrics, status and drain.
//!
//! Every endpoint except the health and readiness checks requires the fleet's
//! shared secret.

mod messages;
mod secret;
mod server;

#[cfg(test)]
mod tests;

pub use messages::{
    DrainReport, ExplainReport, ExplainStep, PeerState, PeerStatus, PoolStatus, ServerState,
    ServerStatus, StatusReport,
};
pub use secret::is_authorized;
pub use server::{AdminServer, AdminSource};
