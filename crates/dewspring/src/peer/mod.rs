//! Membership by heartbeats and RPC between VMs.
//!
//! [`MembershipState`] decides which VMs are alive and which one is the broker
//! of a pool: the VM that decides which requests of the pool run next, and
//! where. [`PeerWorker`] runs it on a thread with an async runtime, a listener,
//! and one connection to each VM that is called. Other modules are reached
//! through small traits: [`ConfigExchange`] for the configuration,
//! [`VmDirectory`] for the platform's list of VMs, [`GrantService`] for the
//! local broker.
//!
//! A grant is a broker's permission to run one request at a backend server.
//! Main invariant: a grant request that ends early, for whatever reason, leaves
//! no grant outstanding.
//!
//! [`ConfigExchange`]: crate::configuration::ConfigExchange
//! [`VmDirectory`]: crate::store::VmDirectory

mod broker_cache;
mod counters;
mod documents;
mod errors;
mod events;
mod exchanger;
mod grants;
mod handle;
mod handshake;
mod heartbeats;
mod links;
mod listener;
mod log_limit;
mod member;
mod membership;
mod messages;
mod notices;
mod remote_grant;
mod service;
mod settings;
mod shared;
mod targets;
mod update_queue;
mod wire;
mod withdrawn_requests;
mod worker;

#[cfg(test)]
mod tests;

pub use crate::rendezvous::rendezvous_owner;
pub use counters::PeerCounts;
pub use errors::{PeerError, PeerStartError};
pub use events::{HeartbeatVerdict, MemberEvent};
pub use grants::GrantService;
pub(crate) use grants::WithdrawGuard;
pub use handle::{BrokerLocation, PeerHandle};
pub use member::{HeartbeatTarget, MemberState, MemberStatus, VmIdentity};
pub use membership::{MembershipState, UNLISTED_RETENTION};
pub use messages::{GrantWithdrawal, Heartbeat, Incarnation, LivenessUpdate, VmEndpoint};
pub use settings::PeerSettings;
pub use targets::HEARTBEAT_INTERVAL;
pub use worker::PeerWorker;
