//! Load generator and measurement tool for dewspring.
//!
//! `dewload run` sends an open-loop workload to daemons and measures outcomes,
//! latencies and goodput per class. `dewload path` measures the latency that a
//! daemon adds to a stream.

pub mod cli;
mod client;
mod output;
mod path;
mod plan;
mod report;
mod runner;
mod target;
mod workload;
