//! Observability of the daemon: logs, metrics and recent decisions.
//!
//! Each decision about a request is written to the log and kept in the bounded
//! [`DecisionLog`], which `dewctl explain` queries.

mod decisions;
mod logs;
mod metrics;

#[cfg(test)]
mod tests;

pub use decisions::{DecisionLog, DecisionStep};
pub use logs::{LogFormat, init_logging};
pub use metrics::{ClassLabels, DaemonMetrics, RefusalLabels, WasteCause};
