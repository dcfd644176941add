//! Polls the load reports of backend servers and passes them to the broker.
//!
//! Only servers of pools whose broker runs on this VM are polled. A report is
//! out of date when it arrives, and a server may send none; the broker then
//! relies on its own records.

mod poller;
mod report;

#[cfg(test)]
mod tests;

pub use poller::{PollerSettings, ReportPoller};
pub use report::{CacheEvents, LoadReport};
