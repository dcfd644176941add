//! Load that other brokers put on a server, inferred from its lagging reports.
//!
//! The broker knows its own grants exactly. A report matters only for the load
//! of other brokers: the amount by which it exceeds the largest load that this
//! broker had at any time that the report can refer to.

use std::time::{Duration, Instant};

use super::control::ServerReport;
use crate::ids::TokenCount;

/// Age at which a report is dropped.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Number and work of the requests at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ServerLoad {
    /// Number of requests.
    pub(super) requests: u32,
    /// Work of these requests, in tokens.
    pub(super) tokens: TokenCount,
}

impl ServerLoad {
    fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            tokens: self.tokens.max(other.tokens),
        }
    }

    fn excess_over(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

/// Load of other brokers at one server.
#[derive(Debug, Default)]
pub(super) struct ForeignLoad {
    /// Peaks of this broker's own load since the last report, and in the
    /// interval before it.
    own_peaks: [ServerLoad; 2],
    foreign: ServerLoad,
    expires_at: Option<Instant>,
}

impl ForeignLoad {
    /// Records this broker's own load.
    pub(super) fn record_own(&mut self, own: ServerLoad) {
        self.own_peaks[0] = self.own_peaks[0].max(own);
    }

    /// Applies a report.
    pub(super) fn apply_report(&mut self, report: &ServerReport, own: ServerLoad, now: Instant) {
        let reported = ServerLoad {
            requests: report.running.saturating_add(report.waiting),
            tokens: report.tokens_in_flight,
        };
        let [recent, earlier] = self.own_peaks;
        self.foreign = reported.excess_over(recent.max(earlier).max(own));
        self.own_peaks = [own, recent];
        self.expires_at = now.checked_add(MAX_REPORT_AGE.saturating_sub(report.age));
    }

    /// Drops a report that is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.expires_at.is_some_and(|expires_at| expires_at <= now) {
            self.expires_at = None;
            self.foreign = ServerLoad::default();
        }
    }

    /// Returns the load of other brokers.
    pub(super) fn current(&self) -> ServerLoad {
        self.foreign
    }
}
