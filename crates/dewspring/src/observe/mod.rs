//! What the daemon tells of itself: logs, metrics and recent decisions.
//!
//! Each decision about a request goes to the log and to the bounded
//! [`DecisionLog`], which answers `dewctl explain`.

mod decisions;
mod logs;
mod metrics;

#[cfg(test)]
mod tests;

pub use decisions::{DecisionLog, DecisionStep};
pub use logs::{LogFormat, init_logging};
pub use metrics::{ClassLabels, DaemonMetrics, RefusalLabels, WasteCause};
