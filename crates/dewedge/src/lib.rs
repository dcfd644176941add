//! The entry of dewspring for small VMs.
//!
//! One loop takes callers' requests, decides where each one goes from what this
//! VM knows, and streams the answers back. Nothing is asked of another process
//! on the path of a request: a VM learns the load of the servers from its own
//! requests, from the load that answers carry, and from digests of other VMs.
//!
//! Neighbours: the crate of a platform implements [`format::PlatformFormat`],
//! which translates names and formats and decides nothing. The library
//! `dewspring` holds the entry that asks brokers instead.
//!
//! The main invariant: a request that may have run is never sent again unless
//! it may be repeated, and is never reported as not run.

pub mod clock;
pub mod directory;
pub mod format;
pub mod http;
pub mod keys;
mod logs;
mod metrics;
mod net;
mod peers;
pub mod policy;
mod serve;
pub mod settings;
mod storage;
pub mod stream;
pub mod tables;

pub use serve::{EdgeLoop, EdgeOptions, ServeError, SettingsSource};
