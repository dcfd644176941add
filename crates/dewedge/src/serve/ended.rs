//! Finds servers that have certainly ended, and applies what other VMs have found.
//!
//! The main invariant: services whose servers don't report their slowness aren't
//! affected.

use std::net::SocketAddr;

use crate::clock::Moment;
use crate::directory::ReplicaIndex;
use crate::ended_notices::{EndedNotice, NoticeTrust, ReceivedSigns};
use crate::fact_notices::DatedFact;
use crate::format::PlatformFormat;
use crate::policy::ended_servers::{EndedEffect, EndedKind};

use super::state::EdgeState;
use super::updates::DIGEST_TARGETS;

impl<F: PlatformFormat> EdgeState<F> {
    /// Records a sign that a server has ended, on a connection opened or a request
    /// sent at `sent`, and tells the other VMs.
    pub(crate) fn record_ended(&mut self, replica: ReplicaIndex, kind: EndedKind, sent: Moment) {
        let now = self.now;
        let replica_state = self.directory.get_mut(replica);
        let service = &replica_state.entry.service;
        if self.load_reports.get(service).is_none() {
            return;
        }
        let effect = replica_state.ended.record_own(kind, sent, now);
        let server = replica_state.hash;
        if let EndedEffect::Began | EndedEffect::Renewed = effect {
            let rounds = self.peers.rounds(DIGEST_TARGETS);
            let notice = EndedNotice { server, kind };
            self.ended_notices.announce(notice, rounds, now);
            self.digest_due |= !self.ended_notices.is_empty();
        }
        if effect == EndedEffect::Began {
            self.log_ended(replica, kind, "own", now);
        }
    }

    /// Records bytes of a server in response to a request sent at `sent`.
    pub(crate) fn record_server_bytes(&mut self, replica: ReplicaIndex, sent: Moment) {
        let replica_state = self.directory.get_mut(replica);
        if replica_state.ended.record_received(sent, self.now) {
            self.ended_notices.forget(replica_state.hash);
            let service = replica_state.entry.service.clone();
            self.pending_dispatches.push_back(service);
        }
    }

    /// Applies the signs that another VM has found.
    pub(crate) fn apply_ended_notices(
        &mut self,
        received: Option<ReceivedSigns>,
        sender: SocketAddr,
    ) {
        let Some(received) = received else {
            self.metrics.count_ended_notices("malformed", 1);
            return;
        };
        self.metrics
            .count_ended_notices("repeated", received.repeated);
        self.metrics.count_ended_notices("late", received.late);
        for notice in received.facts {
            let outcome = self.apply_ended_notice(notice, sender);
            self.metrics.count_ended_notices(outcome, 1);
        }
    }

    /// Applies a sign; returns what was done with it.
    fn apply_ended_notice(
        &mut self,
        dated: DatedFact<EndedNotice>,
        sender: SocketAddr,
    ) -> &'static str {
        let notice = dated.fact;
        let known = self.directory.by_hash(notice.server);
        let Some(index) = known.filter(|index| self.directory.get(*index).is_listed()) else {
            return "unknown_server";
        };
        let service = &self.directory.get(index).entry.service;
        if self.load_reports.get(service).is_none() {
            return "not_reporting";
        }
        let members = self.directory.in_service(service).iter();
        let listed = members
            .filter(|index| self.directory.get(**index).is_listed())
            .count();
        let now = self.now;
        let trust = self
            .ended_reporters
            .judge(sender, service, notice.server, listed, now);
        if let NoticeTrust::Doubted { is_logged } = trust {
            if is_logged {
                self.logs
                    .system("directory", "ended_not_believed")
                    .text("vm", &sender.to_string())
                    .text("service", service)
                    .number("listed", listed as u64);
            }
            return "not_believed";
        }
        let ended = &mut self.directory.get_mut(index).ended;
        match ended.record_notice(notice.kind, dated.heard_at, now) {
            EndedEffect::Began => {
                self.log_ended(index, notice.kind, "other_vm", dated.heard_at);
                "used"
            }
            EndedEffect::Renewed => "used",
            EndedEffect::Superseded => "superseded",
            EndedEffect::Refuted => "refuted",
        }
    }

    fn log_ended(
        &mut self,
        replica: ReplicaIndex,
        kind: EndedKind,
        source: &'static str,
        found_at: Moment,
    ) {
        self.logs
            .system("directory", "ended")
            .text("server", &self.directory.get(replica).id)
            .text("kind", kind.name())
            .text("source", source)
            .ms("age_ms", self.now.saturating_sub(found_at));
    }
}
