//! Bad input to a live daemon's ports: it lives on, answers HTTP or closes,
//! runs nothing that it should not, and keeps its memory within its limits.
//!
//! `DEWSPRING_HOSTILE_BATCHES` and `DEWSPRING_HOSTILE_SEED` make a longer run.

#[path = "../common/mod.rs"]
mod common;
mod limits;
mod mutations;
mod properties;
mod raw_http;
mod requests;
mod target;
