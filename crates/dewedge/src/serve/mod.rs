//! The loop that serves callers.
//!
//! - [`callers`]: connections of callers, from their bytes to a whole request.
//! - [`requests`]: whether a request is allowed, and where its answer may come from.
//! - [`dispatch`]: sends waiting requests to servers.
//! - [`servers`]: connections to servers, from their bytes to an outcome.
//! - [`outcomes`]: what an outcome means for its request.
//! - [`answers`]: writes answers to callers.
//! - [`side`]: readiness and metrics.
//! - [`news`]: what the store and the other VMs tell.
//!
//! One thread runs all of it: a VM has a quarter of a core, and a hand-over
//! between threads costs more than the work that would be handed over.
//!
//! The main invariant: each exchange has one owner at a time, the queue or one
//! connection to a server, and its caller gets one answer.

mod answers;
mod callers;
mod dispatch;
mod news;
mod outcomes;
mod requests;
mod run;
mod servers;
mod side;
mod state;
mod timers;

pub use run::{EdgeLoop, EdgeOptions, ServeError, SettingsSource};
