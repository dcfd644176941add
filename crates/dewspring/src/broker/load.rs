//! What a server's lagging reports add to the broker's own count.
//!
//! The broker knows its own grants exactly. A report matters only for work of
//! others: what it counts beyond the most that the broker itself had out at
//! any time that the report can speak of.

use std::time::{Duration, Instant};

use super::control::ServerReport;
use crate::ids::TokenCount;

/// Time after which a report says nothing any more.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Requests and work at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ServerLoad {
    /// Number of requests.
    pub(super) requests: u32,
    /// Their work, in tokens.
    pub(super) tokens: TokenCount,
}

impl ServerLoad {
    fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            tokens: self.tokens.max(other.tokens),
        }
    }

    fn beyond(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

/// Work of others at one server.
#[derive(Debug, Default)]
pub(super) struct ForeignLoad {
    /// Most of the broker's own work since the last report, and before it.
    peaks: [ServerLoad; 2],
    foreign: ServerLoad,
    expires_at: Option<Instant>,
}

impl ForeignLoad {
    /// Notes the broker's own work.
    pub(super) fn note_own(&mut self, own: ServerLoad) {
        self.peaks[0] = self.peaks[0].max(own);
    }

    /// Notes a report.
    pub(super) fn report(&mut self, report: &ServerReport, own: ServerLoad, now: Instant) {
        let reported = ServerLoad {
            requests: report.running.saturating_add(report.waiting),
            tokens: report.tokens_in_flight,
        };
        let [recent, earlier] = self.peaks;
        self.foreign = reported.beyond(recent.max(earlier).max(own));
        self.peaks = [own, recent];
        self.expires_at = now.checked_add(MAX_AGE.saturating_sub(report.age));
    }

    /// Forgets a report that is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.expires_at.is_some_and(|expires_at| expires_at <= now) {
            self.expires_at = None;
            self.foreign = ServerLoad::default();
        }
    }

    /// Returns the work of others.
    pub(super) fn current(&self) -> ServerLoad {
        self.foreign
    }
}
