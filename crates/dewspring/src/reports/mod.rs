//! Reads the backend servers' load reports and tells the broker.
//!
//! Only the servers of pools that this VM brokers are asked. A report lags,
//! and a server that gives none is simply not known better.

mod poller;
mod report;

#[cfg(test)]
mod tests;

pub use poller::{PollerSettings, ReportPoller};
pub use report::{CacheEvents, LoadReport};
