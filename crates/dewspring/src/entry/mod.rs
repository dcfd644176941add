//! The entry: accepts callers' requests and streams responses back to them.
//!
//! A request is read, matched to a route of the configuration
//! ([`ConfigSource`]) and granted a backend server ([`GrantSource`]). A grant
//! is the permission of the pool's broker to run one request at one server.
//! The request is then sent to that server over a new connection, and the
//! response is forwarded to the caller chunk by chunk. Each request ends with
//! exactly one outcome, and the response states whether it ran.
//!
//! The entry serves callers on its own runtime threads.

mod attempt;
mod body;
mod connections;
mod context;
mod events;
mod exchange;
mod grants;
mod handler;
mod headers;
mod inspected;
mod keyed;
mod linger;
mod meter;
mod presence;
mod problem;
mod pump;
mod request;
mod retry;
mod server;
mod uploads;
mod upstream;
mod usage;

#[cfg(test)]
mod tests;

pub use body::{ResponseBody, TruncatedResponse};
pub use context::{ConfigSource, EntryContext, EntrySettings};
pub use events::EventScanner;
pub use grants::GrantSource;
pub use problem::{Problem, RanState};
pub use request::ModelRequest;
pub use retry::{AttemptFailure, RetryDecision, RetryState, decide_retry};
pub use server::{EntryServer, ShutdownOutcome};
pub use uploads::UploadGate;
pub(crate) use upstream::{UpstreamError, send_request};
pub use usage::UsageTail;
