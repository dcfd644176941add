//! The broker of a pool: who is served next, by which replica, and who is
//! refused.
//!
//! An entry asks the broker of the pool before it calls a backend server. The
//! broker counts every grant that it gave out, so it knows what is in flight
//! at once, while load reports lag.

mod admission;
mod budget;
mod choice;
mod class;
mod control;
mod decision;
mod estimate;
mod floor;
mod grants;
mod handle;
mod health;
mod load;
mod mailbox;
mod messages;
mod pace;
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
mod victim;

#[cfg(test)]
mod tests;

pub use control::{BrokerSettings, CacheHint, ServerMark, ServerReport, ShareDivisor};
pub use decision::TicketDecision;
pub use handle::BrokerHandle;
pub use messages::{
    AttemptOutcome, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
};
pub use queue::ServiceTurn;
pub use state::BrokerState;
pub use status::{BrokerStatus, ClassStatus, PoolStatus, ServerChange, ServerState, ServerStatus};
