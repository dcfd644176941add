//! Which servers probably hold which prompt prefix in their cache.
//!
//! Everything here is a hint: events come late and with gaps, and engines drop
//! prefixes without a word. A wrong hint costs time, never correctness.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::replica::ReplicaId;

/// Prefixes that are remembered.
const MAX_PREFIXES: usize = 8_192;
/// Servers that are remembered for a prefix.
const MAX_HOLDERS: usize = 4;
/// Age at which a hint counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A hint that a server holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PrefixHint {
    /// The server.
    pub(super) replica: ReplicaId,
    /// Time of the event.
    pub(super) seen_at: Instant,
}

impl PrefixHint {
    /// Returns the estimated chance that the hint is still true.
    pub(super) fn confidence(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.seen_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The latest hints by prefix.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    prefixes: IndexMap<u64, Vec<PrefixHint>>,
    next_victim: usize,
}

impl PrefixIndex {
    /// Notes a hint; an older one for the same server gives way.
    pub(super) fn note(&mut self, prefix: u64, hint: PrefixHint) {
        if !self.prefixes.contains_key(&prefix) {
            self.make_room();
        }
        let hints = self.prefixes.entry(prefix).or_default();
        if let Some(known) = hints.iter_mut().find(|known| known.replica == hint.replica) {
            known.seen_at = known.seen_at.max(hint.seen_at);
            return;
        }
        if hints.len() >= MAX_HOLDERS {
            let oldest = (0..hints.len()).min_by_key(|&index| hints[index].seen_at);
            hints.swap_remove(oldest.unwrap_or_default());
        }
        hints.push(hint);
    }

    /// Returns the hints for a prefix.
    pub(super) fn hints(&self, prefix: u64) -> &[PrefixHint] {
        self.prefixes.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Drops some prefix if there are too many.
    fn make_room(&mut self) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.next_victim = (self.next_victim + 1) % MAX_PREFIXES;
            self.prefixes.swap_remove_index(self.next_victim);
        }
    }
}
