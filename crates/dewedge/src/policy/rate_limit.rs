//! Keeps the requests of all VMs to a server within the limit that it names.
//!
//! A server in need names how many requests a second it accepts from all VMs
//! together. The VMs take turns, as in time-division multiplexing: each may send
//! one request per round, and a round lasts the number of VMs divided by the
//! limit. The rounds begin when the server named the limit, and the order of the
//! VMs is that of their hashes, so that the turns are evenly spaced without any
//! exchange. A turn that isn't used soon lapses; otherwise idle VMs would save up
//! one turn each and all send at once when load arrives.
//!
//! This handles limits far below one request a second for each VM, and VMs that
//! learn of a limit at slightly different times.
//!
//! The main invariant: what a server said later is never undone by what it said
//! earlier.

use std::time::Duration;

use crate::clock::Moment;

/// Steps of a limit in one request a second; finer differences don't count.
pub(crate) const RATE_STEPS: f64 = 1000.0;

/// Smallest limit that is kept, in requests a second. Below it, no VM would
/// notice that the limit was withdrawn.
const MIN_RATE: f64 = 0.05;

/// Shortest time for which a turn can be used; servers are chosen for waiting
/// requests more often than that.
const MIN_TURN_TIME: Duration = Duration::from_millis(300);

/// Time for which the other VMs are told of a change; a digest reaches 240 VMs
/// by then, and several are sent to each VM of a small fleet.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// This VM's place among all VMs that send to a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetPlace {
    /// Number of VMs.
    pub vms: usize,
    /// Number of VMs whose turn comes before.
    pub rank: u32,
}

/// The limit that a server names, and this VM's turns to send to it.
///
/// The default is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    rate: Option<f64>,
    place: FleetPlace,
    /// When the server last said what its limit is.
    heard_at: Moment,
    /// When the first round began.
    began_at: Moment,
    /// Earlier turns are used or lapsed.
    unused_from: Moment,
    announce_until: Moment,
}

impl RateLimit {
    /// Records what the server said at `heard_at`; returns whether the limit has
    /// changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::rate_limit::{FleetPlace, RateLimit};
    /// use std::time::Duration;
    ///
    /// let at = Duration::from_millis;
    /// let mut limit = RateLimit::default();
    /// assert!(limit.allows(at(1000)));
    /// // 8 VMs share 4 requests a second, so a round lasts 2 s.
    /// limit.set_place(FleetPlace { vms: 8, rank: 3 });
    /// assert!(limit.set(Some(4.0), at(1000)));
    /// assert!(!limit.allows(at(1700)));
    /// assert!(limit.allows(at(1800)));
    /// limit.record_send(at(1800));
    /// assert!(!limit.allows(at(3700)));
    /// assert!(limit.allows(at(3800)));
    /// ```
    pub fn set(&mut self, rate: Option<f64>, heard_at: Moment) -> bool {
        if heard_at < self.heard_at {
            return false;
        }
        self.heard_at = heard_at;
        let rate = rate.map(|rate| ((rate * RATE_STEPS).round() / RATE_STEPS).max(MIN_RATE));
        if rate == self.rate {
            return false;
        }
        self.rate = rate;
        self.began_at = heard_at;
        self.unused_from = heard_at;
        true
    }

    /// Sets this VM's place among all VMs.
    pub fn set_place(&mut self, place: FleetPlace) {
        self.place = place;
    }

    /// Returns the limit, in requests a second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns when the server last said what its limit is.
    pub fn heard_at(&self) -> Moment {
        self.heard_at
    }

    /// Returns whether this VM may send a request now.
    pub fn allows(&self, now: Moment) -> bool {
        self.rate
            .is_none_or(|rate| self.next_turn(rate, now) <= now)
    }

    /// Records that a request was sent in this VM's turn.
    pub fn record_send(&mut self, now: Moment) {
        if let Some(rate) = self.rate {
            self.unused_from = self.next_turn(rate, now) + self.round(rate) / 2;
        }
    }

    /// Records that the last request wasn't sent after all.
    pub fn undo_send(&mut self) {
        if let Some(rate) = self.rate {
            self.unused_from = self.unused_from.saturating_sub(self.round(rate));
        }
    }

    /// Lets the other VMs be told for a while.
    pub fn announce(&mut self, now: Moment) {
        self.announce_until = now + ANNOUNCE_TIME;
    }

    /// Returns whether the other VMs are to be told.
    pub fn is_announced(&self, now: Moment) -> bool {
        now < self.announce_until
    }

    /// Returns when this VM's next turn begins or began.
    fn next_turn(&self, rate: f64, now: Moment) -> Moment {
        let turn_time = Duration::from_secs_f64(1.0 / rate).max(MIN_TURN_TIME);
        let from = self.unused_from.max(now.saturating_sub(turn_time));
        let first = self.began_at + Duration::from_secs_f64(f64::from(self.place.rank) / rate);
        let round = self.round(rate);
        let rounds = from.saturating_sub(first).div_duration_f64(round).ceil();
        first + round.mul_f64(rounds)
    }

    /// Returns the time in which each VM has one turn.
    fn round(&self, rate: f64) -> Duration {
        let vms = self.place.vms.max(1) as f64;
        Duration::from_secs_f64(vms / rate).max(Duration::from_micros(1))
    }
}
