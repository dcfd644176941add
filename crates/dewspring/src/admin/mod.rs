//! The address for operators and programs: health, metrics, state and drains.
//!
//! Everything but the health of the daemon asks for the fleet's shared
//! secret.

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
