//! The broker of a pool: who is served next, by which replica, and who is
//! refused.
//!
//! An entry asks the broker of the pool before it calls a backend server. The
//! broker counts every grant that it gave out, so it knows what is in flight
//! at once, while load reports lag.

mod messages;

pub use messages::{
    AttemptOutcome, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
};
