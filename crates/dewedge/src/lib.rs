//! The entry of dewspring for small VMs: the process on each VM that accepts
//! callers' requests and routes them to servers.
//!
//! A single event loop accepts requests, chooses a server for each from local
//! state, and streams the responses back. It makes no call to another process
//! before it sends a request: a VM learns the load of the servers from its own
//! requests and from digests, the load reports of the other VMs.
//!
//! The crate of a platform implements [`format::PlatformFormat`], which
//! translates names and formats and makes no decisions. The library `dewspring`
//! contains the entry that requests grants from brokers instead.
//!
//! The main invariant: a request that may have run is never sent again unless
//! it is retryable, and is never reported as not run.

mod api;
mod call_connection;
pub mod clock;
pub mod crash_notices;
pub mod demand_notices;
pub mod directory;
pub mod ended_notices;
pub mod fact_notices;
pub mod format;
pub mod keys;
mod limit_notices;
pub mod load_notices;
mod logs;
mod metrics;
mod net;
pub mod origin_log;
pub mod origins;
mod peers;
pub mod policy;
pub mod prefix_notices;
mod sender_clocks;
mod serve;
pub mod settings;
mod storage;
pub mod stream;
pub mod stream_terms;
pub mod tables;
pub mod versions;

pub use dewhttp as http;
pub use serve::{EdgeLoop, EdgeOptions, ServeError, SettingsSource};
