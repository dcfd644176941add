//! Stand-ins for the systems that dewspring talks to, for tests and demos.
//!
//! Three programs are built from this library: `fake-engine`, `fake-service`
//! and `fake-platform`. Their protocol is described in `docs/BACKENDS.md`.
//! The [`process`] module runs the workspace's programs as child processes of
//! tests, [`ports`] hands out the ports that they bind, [`crowd`] plays clients
//! that don't behave, [`framing`] reads responses strictly, and [`script`] and
//! [`broken`] play broken ones.

pub mod broken;
pub mod crash;
pub mod crowd;
pub mod engine;
mod faults;
mod flags;
pub mod framing;
mod lag;
mod load;
pub mod platform;
pub mod ports;
pub mod process;
mod race;
pub mod script;
pub mod service;
mod slots;
#[cfg(test)]
mod tests;
pub mod web;
