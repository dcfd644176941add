//! What VMs say to each other: heartbeats, configuration, grants.

mod member;
mod membership;
mod messages;
mod news;
mod rendezvous;
mod targets;

#[cfg(test)]
mod tests;

pub use member::{MemberState, MemberStatus};
pub use membership::{
    FORGET_AFTER, HeartbeatTarget, HeartbeatVerdict, MemberEvent, MembershipState, VmIdentity,
};
pub use messages::{Heartbeat, Incarnation, LivenessNews, VmPlace};
pub use rendezvous::rendezvous_owner;
pub use targets::HEARTBEAT_INTERVAL;
