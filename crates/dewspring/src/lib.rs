//! A router for language-model traffic with priorities and service levels.
//!
//! The library is cut by duty. Each module holds the state, the messages and
//! the tests of one duty:
//!
//! - [`tables`]: the operators' routes and pools, checked as one document.
//! - [`store`]: the platform's key-value service and its list of VMs.
//! - [`configuration`]: the revision in force on this VM.
//! - [`entry`]: callers' requests, from the first byte to the last.
//! - [`grants`]: which broker an entry asks.
//! - [`broker`]: who is served next, by which replica, and who is refused.
//! - [`reports`]: the load that backend servers report.
//! - [`claims`]: keyed requests run at most once.
//! - [`peer`]: heartbeats, configuration and grants between VMs.
//! - [`observe`]: logs, metrics and recent decisions.
//! - [`admin`]: the address for operators.
//! - [`daemon`]: the duties of one VM, started and stopped together.
//! - [`settings`]: flags and environment variables, checked once.
//!
//! The programs `dewspringd` and `dewctl` are thin drivers on top.

pub mod admin;
pub mod broker;
pub mod claims;
pub mod configuration;
pub mod daemon;
pub mod entry;
pub mod grants;
pub mod ids;
pub mod observe;
pub mod peer;
mod rendezvous;
pub mod reports;
pub mod settings;
pub mod store;
pub mod tables;
