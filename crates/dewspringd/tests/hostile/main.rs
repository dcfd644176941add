//! Sends invalid and hostile input to the ports of a running daemon.
//!
//! The daemon must keep serving, reply in valid HTTP or close the connection,
//! forward no invalid request and keep its memory within its limits.
//! `DEWSPRING_HOSTILE_BATCHES` sets the number of batches of a longer run and
//! `DEWSPRING_HOSTILE_SEED` its seed.

#[path = "../common/mod.rs"]
mod common;
mod endless;
mod limits;
mod mutations;
mod properties;
mod raw_http;
mod requests;
mod target;
