//! What VMs say to each other: heartbeats, configuration, grants.
//!
//! [`MembershipState`] decides which VMs are alive and which one is the broker
//! of a pool. [`PeerWorker`] is the shell around it: a thread with a runtime, a
//! listener, and one connection to each VM that is spoken to. The neighbours
//! are met through small traits: [`ConfigExchange`] for the configuration,
//! [`VmDirectory`] for the platform's list, [`GrantService`] for the broker.
//!
//! The main invariant: a question that is given up, for whatever reason, leaves
//! no grant behind.
//!
//! [`ConfigExchange`]: crate::configuration::ConfigExchange
//! [`VmDirectory`]: crate::store::VmDirectory

mod asks;
mod choices;
mod counters;
mod documents;
mod duty;
mod errors;
mod events;
mod exchanger;
mod given_up;
mod grants;
mod handle;
mod links;
mod listener;
mod log_limit;
mod member;
mod membership;
mod messages;
mod notices;
mod observe;
mod preface;
mod service;
mod settings;
mod shared;
mod targets;
mod update_queue;
mod wire;

#[cfg(test)]
mod tests;

pub use crate::rendezvous::rendezvous_owner;
pub use counters::PeerCounts;
pub use duty::PeerWorker;
pub use errors::{PeerError, PeerStartError};
pub use events::{HeartbeatVerdict, MemberEvent};
pub use grants::GrantService;
pub(crate) use grants::WithdrawGuard;
pub use handle::{BrokerLocation, PeerHandle};
pub use member::{HeartbeatTarget, MemberState, MemberStatus, VmIdentity};
pub use membership::{FORGET_AFTER, MembershipState};
pub use messages::{GrantWithdrawal, Heartbeat, Incarnation, LivenessUpdate, VmEndpoint};
pub use settings::PeerSettings;
pub use targets::HEARTBEAT_INTERVAL;
