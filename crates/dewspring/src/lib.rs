//! A router for language-model traffic with priorities and service levels.
//!
//! Each module contains the state, the messages and the tests of one component:
//!
//! - [`tables`]: parses and checks the operators' routes and pools.
//! - [`store`]: accesses the platform's key-value service and list of VMs.
//! - [`configuration`]: keeps the accepted revision of the tables in force.
//! - [`entry`]: accepts callers' requests and streams the responses.
//! - [`grants`]: obtains a grant for a request from the broker of its pool.
//! - [`broker`]: schedules the requests of a pool on its backend servers.
//! - [`reports`]: polls the load reports of backend servers.
//! - [`claims`]: prevents keyed requests from running more than once.
//! - [`peer`]: exchanges heartbeats, configuration and grants between VMs.
//! - [`observe`]: provides logs, metrics and recent decisions.
//! - [`admin`]: serves health checks, metrics and operators over HTTP.
//! - [`daemon`]: starts and stops the components of one VM.
//! - [`settings`]: reads and checks flags and environment variables.
//!
//! The binaries `dewspringd` and `dewctl` are thin wrappers around this crate.

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
