//! Announces the shared prefixes that this VM sends to engines, and applies what
//! other VMs announce.
//!
//! The main invariant: services whose servers don't report their slowness aren't
//! affected.

use crate::directory::ReplicaIndex;
use crate::fact_notices::DatedFact;
use crate::format::PlatformFormat;
use crate::policy::placement::{long_prefix_key, shared_prefix_tokens};
use crate::prefix_notices::{PrefixNotice, ReceivedPrefixes, is_announcement_due};

use super::state::EdgeState;
use super::updates::DIGEST_TARGETS;

impl<F: PlatformFormat> EdgeState<F> {
    /// Records that the long shared prefix of a request, if it has one, was sent to
    /// a server, and announces it to the other VMs unless they know.
    pub(crate) fn record_prefix_use(&mut self, exchange_id: usize, replica: ReplicaIndex) {
        let exchange = &self.exchanges[exchange_id];
        if self.load_reports.get(&exchange.service).is_none() {
            return;
        }
        let parts = &exchange.metadata.prompt_parts;
        let model = self.models.get(&exchange.service);
        let Some(key) = long_prefix_key(parts, model) else {
            return;
        };
        let (tokens, now) = (shared_prefix_tokens(parts), self.now);
        let replica_state = self.directory.get_mut(replica);
        let cache = &mut replica_state.cached_parts;
        let is_due = is_announcement_due(cache.prefix_use(key), now);
        cache.record_prefix(key, tokens, now);
        if is_due {
            cache.record_announced(key, now);
            let server = replica_state.hash;
            let rounds = self.peers.rounds(DIGEST_TARGETS);
            let notice = PrefixNotice {
                server,
                key,
                tokens,
            };
            self.prefix_notices.announce(notice, rounds, now);
        }
    }

    /// Applies the prefixes that another VM has announced.
    pub(crate) fn apply_prefix_notices(&mut self, received: Option<ReceivedPrefixes>) {
        let Some(received) = received else {
            self.metrics.count_prefix_notices("malformed", 1);
            return;
        };
        self.metrics
            .count_prefix_notices("repeated", received.repeated);
        self.metrics.count_prefix_notices("late", received.late);
        for dated in received.facts {
            let outcome = self.apply_prefix_notice(dated);
            self.metrics.count_prefix_notices(outcome, 1);
        }
    }

    /// Applies a notice; returns what was done with it.
    fn apply_prefix_notice(&mut self, dated: DatedFact<PrefixNotice>) -> &'static str {
        let notice = dated.fact;
        let known = self.directory.by_hash(notice.server);
        let Some(index) = known.filter(|index| self.directory.get(*index).is_listed()) else {
            return "unknown_server";
        };
        let replica_state = self.directory.get_mut(index);
        if self
            .load_reports
            .get(&replica_state.entry.service)
            .is_none()
        {
            return "not_reporting";
        }
        let cache = &mut replica_state.cached_parts;
        if !cache.record_prefix(notice.key, notice.tokens, dated.heard_at) {
            return "before_start";
        }
        cache.record_announced(notice.key, dated.heard_at);
        "used"
    }
}
