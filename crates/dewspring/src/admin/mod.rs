//! The address for operators and machines: health, metrics, state and drains.

mod messages;

pub use messages::{
    DrainReport, ExplainReport, ExplainStep, PeerState, PeerStatus, PoolStatus, ServerState,
    ServerStatus, StatusReport,
};
