//! Announces the shared prefixes that this VM sends to engines, and applies what
//! other VMs announce.
//!
//! The main invariant: services whose servers don't report their slowness aren't
//! affected.

use crate::directory::ReplicaIndex;
use crate::fact_notices::DatedFact;
use crate::format::PlatformFormat;
use crate::policy::part_cache::shared_prefixes;
use crate::policy::placement::long_prefix_key;
use crate::prefix_notices::{PrefixNotice, ReceivedPrefixes, record_notice, record_own_prefix};

use super::state::EdgeState;
use super::updates::DIGEST_TARGETS;

impl<F: PlatformFormat> EdgeState<F> {
    /// Records that the shared prefixes of a request, if the whole one is long, were
    /// sent to a server, and announces them to the other VMs unless they know.
    ///
    /// Each is announced, because prompts that share only the first parts find these
    /// in the cache, too.
    pub(crate) fn record_prefix_use(&mut self, exchange_id: usize, replica: ReplicaIndex) {
        let exchange = &self.exchanges[exchange_id];
        if self.load_reports.get(&exchange.service).is_none() {
            return;
        }
        let parts = &exchange.metadata.prompt_parts;
        let model = self.models.get(&exchange.service);
        if long_prefix_key(parts, model).is_none() {
            return;
        }
        let rounds = self.peers.rounds(DIGEST_TARGETS);
        let replica_state = self.directory.get_mut(replica);
        for (key, tokens) in shared_prefixes(parts) {
            let notice = PrefixNotice {
                server: replica_state.hash,
                key,
                tokens,
            };
            if record_own_prefix(&mut replica_state.cached_parts, notice, self.now) {
                self.prefix_notices.announce(notice, rounds, self.now);
            }
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
        let known = self.directory.by_hash(dated.fact.server);
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
        match record_notice(&mut replica_state.cached_parts, &dated) {
            true => "used",
            false => "before_start",
        }
    }
}
