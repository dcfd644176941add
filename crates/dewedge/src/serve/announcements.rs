//! Applies what responses announce about their servers: load, limits, leaving, and
//! times in which they accept nothing.
//!
//! The main invariant: only the server that a request was sent to changes what is
//! known of it, and only by a final response that is complete, or by the head of a
//! stream.

use crate::clock::Moment;
use crate::format::{PlatformFormat, RateNotice, ResponseMetadata};
use crate::load_notices::LoadNotice;

use super::state::EdgeState;
use super::updates::DIGEST_TARGETS;

impl<F: PlatformFormat> EdgeState<F> {
    /// Applies what a response announces about further requests to its server.
    ///
    /// A response with status 421 comes from another server at the address, and an
    /// interim response announces nothing: it doesn't repeat the server's limit.
    pub(super) fn apply_server_notices(
        &mut self,
        replica: usize,
        status: u16,
        metadata: &ResponseMetadata,
    ) {
        if status == 421 || status < 200 {
            return;
        }
        self.apply_load_report(replica, metadata);
        if metadata.leaving {
            let change = self.directory.mark_leaving(replica);
            self.apply_directory_change(change);
        }
        // Servers needn't repeat their limit when they reject a request.
        if !metadata.not_run || metadata.rate_limit != RateNotice::Unlimited {
            self.apply_rate_notice(replica, metadata.rate_limit);
        }
        if let (503, Some(delay)) = (status, metadata.retry_after) {
            let replica_state = self.directory.get_mut(replica);
            replica_state.back_off(self.now + delay);
            self.logs
                .system("directory", "backing_off")
                .text("server", &replica_state.id)
                .ms("retry_after_ms", delay);
        }
    }

    /// Records the load that a server reports, and that it is full if it refused
    /// the request.
    fn apply_load_report(&mut self, replica: usize, metadata: &ResponseMetadata) {
        if metadata.load.is_some_and(|load| load.slowness.is_some()) {
            // Requests in digests that have arrived may be in the report.
            self.refresh_peer_load();
        }
        let replica_state = self.directory.get_mut(replica);
        let service = &replica_state.entry.service;
        if let Some(report) = metadata.load
            && let Some(reports) = self.load_reports.enable(service, &report)
        {
            let peer_requests = replica_state.peer_load.requests;
            replica_state
                .reports
                .record_report(report, peer_requests, reports, self.now);
            if let Some(notice) = LoadNotice::new(replica_state.hash, report) {
                let rounds = self.peers.rounds(DIGEST_TARGETS);
                self.load_notices.announce(notice, rounds, self.now);
            }
            self.digest_due |= !self.load_notices.is_empty();
        }
        if metadata.not_run && self.load_reports.get(service).is_some() {
            replica_state
                .reports
                .record_refusal(metadata.retry_after, self.now);
        }
    }

    fn apply_rate_notice(&mut self, replica: usize, notice: RateNotice) {
        let limit = match notice {
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
            RateNotice::Unreadable => return,
        };
        if self.set_rate_limit(replica, limit, self.now, "response") {
            let now = self.now;
            self.directory.get_mut(replica).rate_limit.announce(now);
            self.digest_due = true;
        }
    }

    /// Records the limit that a server named at `heard_at`; returns whether it has
    /// changed.
    pub(crate) fn set_rate_limit(
        &mut self,
        replica: usize,
        limit: Option<f64>,
        heard_at: Moment,
        source: &'static str,
    ) -> bool {
        let replica_state = self.directory.get_mut(replica);
        if !replica_state.rate_limit.set(limit, heard_at) {
            return false;
        }
        let place = self.peers.place_for(replica_state.hash);
        replica_state.rate_limit.set_place(place);
        let event = if limit.is_some() {
            "limited"
        } else {
            "unlimited"
        };
        self.logs
            .system("directory", event)
            .text("server", &replica_state.id)
            .text("limit_per_s", &limit_text(limit))
            .text("source", source)
            .number("vms", place.vms as u64)
            .number("rank", place.rank);
        true
    }
}

/// Returns the limit of a server for log lines; it is empty without a limit.
pub(crate) fn limit_text(limit: Option<f64>) -> String {
    limit.map_or(String::new(), |rate| rate.to_string())
}
