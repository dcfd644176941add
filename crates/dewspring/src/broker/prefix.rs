//! Index of the servers that probably have a prompt prefix in their cache.
//!
//! All entries are hints: cache events arrive late and with gaps, and engines
//! evict prefixes without notice. A wrong hint costs time but doesn't affect
//! correctness.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::replica::ReplicaId;

/// Limit on the number of indexed prefixes.
const MAX_PREFIXES: usize = 8_192;
/// Limit on the number of servers for one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;
/// Age at which the confidence in a hint is one half.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A hint that a server has a prefix in its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PrefixHint {
    pub(super) replica: ReplicaId,
    /// Time of the cache event.
    pub(super) seen_at: Instant,
}

impl PrefixHint {
    /// Returns the estimated probability that the prefix is still cached.
    pub(super) fn confidence(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.seen_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The latest hints for each prefix.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    prefixes: IndexMap<u64, Vec<PrefixHint>>,
    next_evicted: usize,
}

impl PrefixIndex {
    /// Records a hint; of two hints for the same server, the later is kept.
    pub(super) fn record(&mut self, prefix: u64, hint: PrefixHint) {
        if !self.prefixes.contains_key(&prefix) {
            self.evict_if_full();
        }
        let hints = self.prefixes.entry(prefix).or_default();
        if let Some(known) = hints.iter_mut().find(|known| known.replica == hint.replica) {
            known.seen_at = known.seen_at.max(hint.seen_at);
            return;
        }
        if hints.len() >= MAX_SERVERS_PER_PREFIX {
            let oldest = (0..hints.len()).min_by_key(|&index| hints[index].seen_at);
            hints.swap_remove(oldest.unwrap_or_default());
        }
        hints.push(hint);
    }

    /// Returns the hints for a prefix.
    pub(super) fn hints(&self, prefix: u64) -> &[PrefixHint] {
        self.prefixes.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Evicts a prefix if the index is full.
    fn evict_if_full(&mut self) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.next_evicted = (self.next_evicted + 1) % MAX_PREFIXES;
            self.prefixes.swap_remove_index(self.next_evicted);
        }
    }
}
