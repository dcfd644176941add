//! The bounded cache of prompt prefixes and its event log.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;

const MAX_EVENTS: usize = 10_000;

/// The kind of a change to the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EventKind {
    Evicted,
    Stored,
}

/// One change to the cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub(super) sequence: u64,
    pub(super) kind: EventKind,
    pub(super) prefix: String,
    #[serde(skip)]
    at: Instant,
}

/// Events after a sequence number; `next` is the number to pass as `after` in
/// the next request.
#[derive(Debug, Serialize)]
pub(super) struct EventPage {
    pub(super) next: u64,
    pub(super) events: Vec<CacheEvent>,
}

/// A cache of prompt prefixes that evicts the least recently used one.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Tokens by prefix hash, the most recently used last.
    prefixes: IndexMap<String, u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: IndexMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Looks up a prefix and stores it; returns the number of its tokens that
    /// were cached before.
    pub(super) fn touch(&mut self, prefix: &str, tokens: u64, now: Instant) -> u64 {
        if self.capacity == 0 {
            return 0;
        }
        if let Some(cached) = self.prefixes.shift_remove(prefix) {
            self.prefixes.insert(prefix.to_owned(), cached.max(tokens));
            return cached.min(tokens);
        }
        if self.prefixes.len() == self.capacity {
            let (evicted, _) = self.prefixes.shift_remove_index(0).expect("it is full");
            self.add_event(EventKind::Evicted, evicted, now);
        }
        self.prefixes.insert(prefix.to_owned(), tokens);
        self.add_event(EventKind::Stored, prefix.to_owned(), now);
        0
    }

    /// Returns the events after `after` that are at least `lag` old, except
    /// those that [`is_dropped`] drops.
    pub(super) fn events(
        &self,
        after: u64,
        lag: Duration,
        gaps_percent: u64,
        now: Instant,
    ) -> EventPage {
        let due: Vec<&CacheEvent> = self
            .events
            .iter()
            .filter(|event| event.sequence > after)
            .take_while(|event| now.duration_since(event.at) >= lag)
            .collect();
        let next = due.last().map_or(after, |event| event.sequence);
        let events = due
            .into_iter()
            .filter(|event| !is_dropped(event, gaps_percent))
            .cloned()
            .collect();
        EventPage { next, events }
    }

    fn add_event(&mut self, kind: EventKind, prefix: String, at: Instant) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            kind,
            prefix,
            at,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns whether an event is among the given percentage that is dropped to
/// leave gaps in the event log; the same events are dropped on each read.
fn is_dropped(event: &CacheEvent, gaps_percent: u64) -> bool {
    let mut hasher = DefaultHasher::new();
    event.sequence.hash(&mut hasher);
    event.prefix.hash(&mut hasher);
    hasher.finish() % 100 < gaps_percent
}
