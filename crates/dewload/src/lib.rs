//! The load and experiment tool.
//!
//! `dewload run` sends an open-loop workload to daemons and measures what each
//! class got. `dewload path` measures what the way through a daemon adds to a
//! stream.

pub mod cli;
mod client;
mod output;
mod path;
mod plan;
mod report;
mod runner;
mod target;
mod workload;
