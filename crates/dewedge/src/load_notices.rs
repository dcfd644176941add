//! The reports of servers about their load, as the VMs tell them to each other.
//!
//! A VM gets a report only with its own responses, which in a large fleet is
//! every few seconds for each server. It therefore passes the newest one of each
//! server on to all other VMs, together with its digests. Only reports that name
//! the slowness of the machine are passed on; other services cost nothing.
//!
//! [`fact_notices`](crate::fact_notices) has the queue, the datagrams and the
//! receiver. [`load_reports`](crate::policy::load_reports) says how notices are
//! counted.
//!
//! The main invariant: a [`LoadNotice`] names the slowness of its server.

use std::time::Duration;

use crate::fact_notices::{FactQueue, FactReceiver, NoticeFact, ReceivedFacts, saturating_u16};
use crate::format::LoadReport;

/// Maximum notices of a datagram; older ones are dropped first.
pub const MAX_NOTICES: usize = LoadNotice::MAX_FACTS;

/// Age from which a report is neither sent nor used; its counts have expired by
/// then.
pub const NOTICE_TTL: Duration = Duration::from_millis(2000);

/// Steps of slowness in a notice.
const SLOWNESS_STEPS: f64 = 100.0;

/// A report that a VM has received from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadNotice {
    server: u64,
    report: LoadReport,
}

impl LoadNotice {
    /// Returns the notice of a report, if it names the slowness; `server` is the
    /// hash of the server's id.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::load_notices::LoadNotice;
    ///
    /// let report = LoadReport { running: 6, waiting: 1, slots: 6, slowness: Some(1.2) };
    /// assert_eq!(LoadNotice::new(5, report).unwrap().report(), report);
    /// let plain = LoadReport { slowness: None, ..report };
    /// assert_eq!(LoadNotice::new(5, plain), None);
    /// ```
    pub fn new(server: u64, report: LoadReport) -> Option<Self> {
        report.slowness.map(|_| Self { server, report })
    }

    /// Returns the hash of the server's id.
    pub fn server(&self) -> u64 {
        self.server
    }

    /// Returns what the server reported; it names the slowness.
    pub fn report(&self) -> LoadReport {
        self.report
    }
}

impl NoticeFact for LoadNotice {
    /// The newest report of a server replaces the one before it.
    type Key = u64;

    const MAGIC: [u8; 4] = *b"DWR1";

    /// Server, running, waiting, slots, slowness.
    const BYTES: usize = 16;

    const TTL: Duration = NOTICE_TTL;

    fn key(&self) -> u64 {
        self.server
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        let report = self.report;
        let slowness = report.slowness.unwrap_or(1.0) * SLOWNESS_STEPS;
        bytes.extend_from_slice(&self.server.to_be_bytes());
        bytes.extend_from_slice(&saturating_u16(u64::from(report.running)).to_be_bytes());
        bytes.extend_from_slice(&saturating_u16(u64::from(report.waiting)).to_be_bytes());
        bytes.extend_from_slice(&saturating_u16(u64::from(report.slots)).to_be_bytes());
        bytes.extend_from_slice(&saturating_u16(slowness.round() as u64).to_be_bytes());
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        let number = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        Some(Self {
            server: u64::from_be_bytes(bytes[..8].try_into().ok()?),
            report: LoadReport {
                running: u32::from(number(8)),
                waiting: u32::from(number(10)),
                slots: u32::from(number(12)),
                slowness: Some(f64::from(number(14)) / SLOWNESS_STEPS),
            },
        })
    }
}

/// The reports that this VM has yet to pass on.
pub type NoticeQueue = FactQueue<LoadNotice>;

/// Reads the reports that other VMs pass on.
pub type NoticeReceiver = FactReceiver<LoadNotice>;

/// The new reports in a datagram.
pub type ReceivedNotices = ReceivedFacts<LoadNotice>;
