//! Small stand-ins for the systems that dewspring meets.
//!
//! Three programs are built from this library: `fake-engine`, `fake-service`
//! and `fake-platform`. Their protocol is described in `docs/BACKENDS.md`.
//! The [`process`] module starts programs of the workspace in tests.

pub mod engine;
mod faults;
mod flags;
mod lag;
mod load;
pub mod platform;
pub mod process;
mod race;
pub mod service;
mod slots;
#[cfg(test)]
mod tests;
pub mod web;
