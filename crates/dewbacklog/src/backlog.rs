//! What waits for the engines of one service at the other VMs.
//!
//! The main invariant: no fact counts from an age of [`FACT_TTL`] on, and of each
//! VM and class only the newest counts.

use std::time::Duration;

use indexmap::IndexMap;

/// Hash of a VM's name.
pub type VmHash = u64;

/// Rank of a request at an engine; 0 is the most urgent.
pub type RankClass = u8;

/// Age from which a fact no longer counts. VMs announce each 100 ms while
/// requests wait, and reach all others within 400 ms.
pub const FACT_TTL: Duration = Duration::from_secs(1);

/// Maximum facts that are kept: ten classes of a few hundred VMs.
const MAX_FACTS: usize = 4096;

/// What a VM has announced about its waiting requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingFact {
    /// Their class.
    pub class: RankClass,
    /// Their number; 0 if none waits any more.
    pub requests: u32,
    /// Their expected prefill time on an engine of usual speed, in ms.
    pub prefill_ms: f64,
    /// When the oldest of them joined.
    pub oldest: Duration,
    /// When the VM observed this.
    pub as_of: Duration,
}

impl WaitingFact {
    /// Returns the share of the requests that joined before another one.
    ///
    /// They are assumed to have joined at a constant rate.
    fn share_before(&self, joined: Duration) -> f64 {
        let period = self.as_of.saturating_sub(self.oldest).as_secs_f64();
        let before = joined.saturating_sub(self.oldest).as_secs_f64();
        match period > 0.0 {
            true => (before / period).min(1.0),
            false if joined > self.oldest => 1.0,
            false => 0.0,
        }
    }
}

/// Sum of waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingSum {
    /// Number of requests; a fraction where it is estimated.
    pub requests: f64,
    /// Their expected prefill time on an engine of usual speed, in ms.
    pub prefill_ms: f64,
}

impl WaitingSum {
    /// Adds requests.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prefill_ms += other.prefill_ms;
    }

    /// Returns a share of the requests.
    pub fn scaled(&self, share: f64) -> Self {
        Self {
            requests: self.requests * share,
            prefill_ms: self.prefill_ms * share,
        }
    }
}

/// Place of a request in the order of all waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePlace {
    /// Its class.
    pub class: RankClass,
    /// When it joined.
    pub joined: Duration,
    /// Whether it is a caller's retry, which goes before new requests of its
    /// class.
    pub caller_retry: bool,
}

/// The waiting requests of the other VMs, for one service.
#[derive(Clone, Debug, Default)]
pub struct FleetBacklog {
    facts: IndexMap<(VmHash, RankClass), WaitingFact>,
}

impl FleetBacklog {
    /// Records a fact of another VM, unless a newer one is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{FleetBacklog, WaitingFact};
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(9);
    /// let fact = WaitingFact { requests: 3, prefill_ms: 600.0, oldest: now, as_of: now, class: 2 };
    /// let mut backlog = FleetBacklog::default();
    /// backlog.record(1, fact, now);
    /// backlog.record(2, fact, now);
    /// assert_eq!(backlog.total(now).requests, 6.0);
    /// assert_eq!(backlog.total(now + Duration::from_secs(2)).requests, 0.0);
    /// ```
    pub fn record(&mut self, vm: VmHash, fact: WaitingFact, now: Duration) {
        let key = (vm, fact.class);
        let known = self.facts.get(&key);
        if known.is_some_and(|known| known.as_of > fact.as_of) {
            return;
        }
        if known.is_none() && self.facts.len() >= MAX_FACTS {
            self.expire(now);
            if self.facts.len() >= MAX_FACTS {
                return;
            }
        }
        self.facts.insert(key, fact);
    }

    /// Drops expired facts.
    pub fn expire(&mut self, now: Duration) {
        self.facts
            .retain(|_, fact| now.saturating_sub(fact.as_of) < FACT_TTL);
    }

    /// Returns whether no fact is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns all requests that wait at the other VMs.
    pub fn total(&self, now: Duration) -> WaitingSum {
        self.sum(FACT_TTL, now, |_| 1.0)
    }

    /// Returns the requests at the other VMs that go before a request: the more
    /// urgent ones, and those of its class that joined before it. New requests
    /// of its class don't go before a caller's retry; other retries can't be
    /// told from them and don't count, either.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{FleetBacklog, QueuePlace, WaitingFact};
    /// use std::time::Duration;
    ///
    /// let oldest = Duration::from_millis(9000);
    /// let now = Duration::from_millis(9400);
    /// let mut backlog = FleetBacklog::default();
    /// let fact = WaitingFact { class: 2, requests: 8, prefill_ms: 800.0, oldest, as_of: now };
    /// backlog.record(1, fact, now);
    /// let joined = Duration::from_millis(9100);
    /// let place = QueuePlace { class: 2, joined, caller_retry: false };
    /// assert_eq!(backlog.ahead_of(&place, now).requests, 2.0);
    /// let place = QueuePlace { class: 1, ..place };
    /// assert_eq!(backlog.ahead_of(&place, now).requests, 0.0);
    /// ```
    pub fn ahead_of(&self, place: &QueuePlace, now: Duration) -> WaitingSum {
        self.sum(FACT_TTL, now, |fact| {
            if fact.class < place.class {
                1.0
            } else if fact.class == place.class && !place.caller_retry {
                fact.share_before(place.joined)
            } else {
                0.0
            }
        })
    }

    /// Returns the more urgent requests at VMs where the oldest of their class
    /// had waited for longer than `waited`, by facts younger than `max_age`.
    pub(crate) fn more_urgent(
        &self,
        class: RankClass,
        waited: Duration,
        max_age: Duration,
        now: Duration,
    ) -> WaitingSum {
        self.sum(max_age, now, |fact| {
            let has_waited = fact.as_of.saturating_sub(fact.oldest) > waited;
            f64::from(u8::from(fact.class < class && has_waited))
        })
    }

    fn sum(
        &self,
        max_age: Duration,
        now: Duration,
        share: impl Fn(&WaitingFact) -> f64,
    ) -> WaitingSum {
        let mut sum = WaitingSum::default();
        for fact in self.facts.values() {
            if now.saturating_sub(fact.as_of) < max_age {
                let waiting = WaitingSum {
                    requests: f64::from(fact.requests),
                    prefill_ms: fact.prefill_ms,
                };
                sum.add(&waiting.scaled(share(fact)));
            }
        }
        sum
    }
}
