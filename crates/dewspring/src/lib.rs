//! A router for language-model traffic with priorities and service levels.
//!
//! The library is cut by duty. Each module holds the state, the messages and
//! the tests of one duty:
//!
//! - [`tables`]: the operators' routes and pools, checked as one document.
//! - [`platform`]: the platform's key-value service and its list of VMs.
//! - [`broker`]: who is served next, by which replica, and who is refused.
//!
//! The programs `dewspringd` and `dewctl` are thin drivers on top.

pub mod broker;
pub mod ids;
pub mod platform;
pub mod tables;
