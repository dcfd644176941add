//! Which requests are held back for more urgent ones at other VMs.
//!
//! Each VM sends its own most urgent request first, but one that has only less
//! urgent ones would take each engine that becomes free. The main invariant: a
//! request is held back only for a share of the time that it may wait, so that a
//! fact that no longer holds starves nothing.

use std::time::Duration;

use crate::backlog::{FleetBacklog, RankClass};

/// Time for which a more urgent request must have waited. Shorter waits are those
/// for the next free engine, which the VM itself will use.
const MIN_URGENT_WAIT: Duration = Duration::from_millis(100);

/// Age from which a fact holds no request back; facts reach all VMs in 400 ms.
const MAX_FACT_AGE: Duration = Duration::from_millis(500);

/// Share of its permitted wait for which a request is held back; the rest is for
/// finding a free engine.
const HELD_SHARE: f64 = 0.5;

/// A request that an engine would accept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartOrder {
    /// Its class.
    pub class: RankClass,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time for which it may wait.
    pub permitted_wait: Duration,
}

impl StartOrder {
    /// Returns whether the request is held back, when the engines have capacity
    /// for `room_now` requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{FleetBacklog, StartOrder, WaitingFact};
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_millis(9400);
    /// let oldest = Duration::from_millis(9000);
    /// let mut backlog = FleetBacklog::default();
    /// backlog.record(1, WaitingFact { class: 0, requests: 4, prefill_ms: 90.0, oldest, as_of: now }, now);
    /// let order = StartOrder { class: 2, waited: Duration::ZERO, permitted_wait: Duration::from_secs(1) };
    /// assert!(order.holds_back(&backlog, 3.0, now));
    /// assert!(!order.holds_back(&backlog, 5.0, now));
    /// ```
    pub fn holds_back(&self, backlog: &FleetBacklog, room_now: f64, now: Duration) -> bool {
        if self.waited >= self.longest_hold() {
            return false;
        }
        let urgent = backlog.more_urgent(self.class, MIN_URGENT_WAIT, MAX_FACT_AGE, now);
        urgent.requests > room_now
    }

    /// Returns the wait after which the request is no longer held back.
    pub fn longest_hold(&self) -> Duration {
        self.permitted_wait.mul_f64(HELD_SHARE)
    }
}
