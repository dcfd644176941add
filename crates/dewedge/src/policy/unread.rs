//! Connections whose sockets may hold more bytes than one iteration of the event
//! loop reads.
//!
//! No event announces these bytes, so the loop reads on without one. The main
//! invariant: a connection waits at most once, however many events arrive for it,
//! so that an iteration reads each connection a bounded number of times and timers
//! aren't late.

use std::hash::Hash;

use indexmap::IndexMap;

/// Connections to read on from, each with whether it is closing.
#[derive(Clone, Debug)]
pub struct UnreadQueue<K> {
    waiting: IndexMap<K, bool>,
    /// The connections of the current round, last one first.
    round: Vec<(K, bool)>,
}

impl<K> Default for UnreadQueue<K> {
    fn default() -> Self {
        Self {
            waiting: IndexMap::new(),
            round: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> UnreadQueue<K> {
    /// Adds a connection; one that waits already is closing if either call says so.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::unread::UnreadQueue;
    /// let mut queue = UnreadQueue::default();
    /// queue.push(7, false);
    /// queue.push(7, true);
    /// queue.start_round();
    /// assert_eq!(queue.pop(), Some((7, true)));
    /// assert_eq!(queue.pop(), None);
    /// ```
    pub fn push(&mut self, key: K, is_closing: bool) {
        *self.waiting.entry(key).or_default() |= is_closing;
    }

    /// Returns whether a connection waits for the next round.
    pub fn contains(&self, key: K) -> bool {
        self.waiting.contains_key(&key)
    }

    /// Returns whether no connection waits for the next round.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Starts a round of the connections that wait now.
    pub fn start_round(&mut self) {
        self.round.extend(self.waiting.drain(..).rev());
    }

    /// Takes the next connection of the round; connections that are added meanwhile
    /// wait for the next round.
    pub fn pop(&mut self) -> Option<(K, bool)> {
        self.round.pop()
    }

    /// Removes a connection that was closed, so that its key can be used again.
    pub fn remove(&mut self, key: K) {
        self.waiting.swap_remove(&key);
        self.round.retain(|(other, _)| *other != key);
    }
}
