//! The entry: takes callers' requests and streams answers through.
//!
//! A request is read and matched to a route ([`EntryContext`]), granted a
//! server ([`GrantSource`]), sent to it over a connection of its own, and its
//! answer is pumped to the caller piece by piece. A request ends in exactly
//! one way, and its caller is told whether it ran.
//!
//! The entry runs on its own runtime threads. It meets the broker through
//! [`GrantSource`] and the configuration through [`ConfigSource`].

mod attempt;
mod body;
mod context;
mod events;
mod exchange;
mod grants;
mod handler;
mod headers;
mod keyed;
mod linger;
mod meter;
mod presence;
mod problem;
mod pump;
mod request;
mod retry;
mod server;
mod upstream;
mod usage;

#[cfg(test)]
mod tests;

pub use body::{AnswerBody, BrokenAnswer};
pub use context::{ConfigSource, EntryContext, EntrySettings};
pub use events::EventScanner;
pub use grants::GrantSource;
pub use problem::{Problem, RanState};
pub use request::ModelRequest;
pub use retry::{AttemptFailure, RetryState, RetryStep, next_step};
pub use server::{EntryServer, ShutdownOutcome};
pub(crate) use upstream::call;
pub use usage::UsageTail;
