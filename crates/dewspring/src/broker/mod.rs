//! The broker of a pool: decides which request is served next, by which server,
//! and which requests are refused.
//!
//! An entry, which accepts callers' requests, must obtain a grant from the
//! broker of the pool before it calls a backend server. The broker counts every
//! grant that it has issued, so it knows at once what is in flight, while load
//! reports lag.

mod admission;
mod budget;
mod choice;
mod class;
mod control;
mod crashes;
mod decision;
mod estimate;
mod floor;
mod grants;
mod handle;
mod health;
mod load;
mod mailbox;
mod messages;
mod pending;
mod pool;
mod prefix;
mod queue;
mod queued;
mod replica;
mod replicas;
mod shares;
mod state;
mod status;
mod thread;
mod tickets;
mod time_per_token;
mod victim;

#[cfg(test)]
mod tests;

pub use control::{BrokerSettings, CacheHint, ServerMark, ServerReport, ShareDivisor};
pub use decision::TicketDecision;
pub use handle::BrokerHandle;
pub use messages::{
    AttemptOutcome, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
};
pub use pending::PendingDecision;
pub use queue::ServiceTurn;
pub use state::BrokerState;
pub use status::{
    BrokerStatus, ClassStatus, PoolStatus, ServerState, ServerStateChange, ServerStatus,
};
