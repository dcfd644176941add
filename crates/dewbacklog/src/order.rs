//! Which requests are held back although an engine would accept them.
//!
//! - Each VM sends its own most urgent request first, but one that has only less
//!   urgent ones would take each engine that becomes free.
//! - What a VM knows of the engines is some 100 ms old. When few engines have
//!   capacity and many VMs wait for it, all would send there at once, and the
//!   prompts would wait at the engines beyond their targets. Each VM therefore uses
//!   a share of the capacity, in proportion to its part of the waiting requests.
//!
//! A caller's retry goes before the new requests of its VM, but uses the same share:
//! in a play where retries were not held back, they met at the same engines, and
//! half of them were in time, in place of two thirds.
//!
//! Requests for one home are assumed to be the same part of the waiting requests
//! at all VMs, so that the share also holds for the capacity of a home.
//!
//! The main invariant: a request is held back only for a share of the time that it
//! may wait, so that a fact that no longer holds starves nothing. Without facts,
//! none is.

use std::collections::VecDeque;
use std::time::Duration;

use crate::backlog::{FleetBacklog, QueuePlace, RankClass};

/// Time for which a more urgent request must have waited. Shorter waits are those
/// for the next free engine, which the VM itself will use.
const MIN_URGENT_WAIT: Duration = Duration::from_millis(100);

/// Age from which a fact holds no request back; facts reach all VMs in 400 ms.
const MAX_FACT_AGE: Duration = Duration::from_millis(500);

/// Share of its permitted wait for which a request is held back; the rest is for
/// finding a free engine.
const HELD_SHARE: f64 = 0.5;

/// Time after which all VMs know the load that a request has added. In that time, a
/// VM uses its share of the capacity once.
const SHARE_WINDOW: Duration = Duration::from_millis(300);

/// Maximum sends that are remembered; more in a window aren't limited.
const MAX_STARTS: usize = 1024;

/// A request that an engine would accept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartRequest {
    /// Its class.
    pub class: RankClass,
    /// The home of its prompt, if it has a long shared prefix.
    pub home: Option<u64>,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time for which it may wait.
    pub permitted_wait: Duration,
}

impl StartRequest {
    /// Returns the wait after which the request is no longer held back.
    pub fn longest_hold(&self) -> Duration {
        self.permitted_wait.mul_f64(HELD_SHARE)
    }
}

/// Which requests of a service a VM holds back.
#[derive(Clone, Debug, Default)]
pub struct StartOrder {
    seed: u64,
    /// Recent sends: when, and the home.
    starts: VecDeque<(Duration, Option<u64>)>,
}

impl StartOrder {
    /// Creates the order of a VM. `seed` differs between VMs, so that they use
    /// fractions of a request at different times.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            starts: VecDeque::new(),
        }
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self, home: Option<u64>, now: Duration) {
        let is_old = |start: &(Duration, _)| now.saturating_sub(start.0) >= SHARE_WINDOW;
        while self.starts.front().is_some_and(is_old) || self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((now, home));
    }

    /// Returns whether a request is held back.
    ///
    /// The engines that may take it have capacity for `room_now` of its kind.
    /// `own_waiting` of the VM's requests, with this one, are of its class or more
    /// urgent.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{FleetBacklog, StartOrder, StartRequest, WaitingFact};
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_millis(9400);
    /// let oldest = Duration::from_millis(9000);
    /// let mut backlog = FleetBacklog::default();
    /// backlog.record(1, WaitingFact { class: 0, requests: 4, prefill_ms: 90.0, oldest, as_of: now }, now);
    /// let permitted_wait = Duration::from_secs(1);
    /// let request = StartRequest { class: 2, permitted_wait, ..StartRequest::default() };
    /// let order = StartOrder::new(7);
    /// assert!(order.holds_back(&request, &backlog, 1, 3.0, now));
    /// assert!(!order.holds_back(&request, &backlog, 1, 9.0, now));
    /// ```
    pub fn holds_back(
        &self,
        request: &StartRequest,
        backlog: &FleetBacklog,
        own_waiting: usize,
        room_now: f64,
        now: Duration,
    ) -> bool {
        if request.waited >= request.longest_hold() {
            return false;
        }
        let urgent = backlog.more_urgent(request.class, MIN_URGENT_WAIT, MAX_FACT_AGE, now);
        if urgent.requests > room_now {
            return true;
        }
        // All requests of the class that wait elsewhere share the capacity.
        let place = QueuePlace {
            class: request.class,
            joined: now,
            caller_retry: false,
        };
        let others = backlog.ahead_of(&place, now).requests;
        let own = own_waiting.max(1) as f64;
        if others <= 0.0 {
            return false;
        }
        let sent = self.recent_starts(request.home, now) as f64;
        let share = (room_now + sent) * own / (own + others);
        sent >= (share + self.fraction(now)).floor()
    }

    fn recent_starts(&self, home: Option<u64>, now: Duration) -> usize {
        let recent = self.starts.iter().filter(|(at, other)| {
            now.saturating_sub(*at) < SHARE_WINDOW && (home.is_none() || *other == home)
        });
        recent.count()
    }

    /// Returns a number from 0 to 1 that differs between windows and VMs, by the
    /// mixing function of SplitMix64. A fraction of a request is used in that share
    /// of the windows.
    fn fraction(&self, now: Duration) -> f64 {
        let window = (now.as_millis() / SHARE_WINDOW.as_millis()) as u64;
        let mut mixed = self.seed ^ window.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}
