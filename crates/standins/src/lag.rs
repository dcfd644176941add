//! Values that are reported with a fixed delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value that is read as it was `lag` ago.
///
/// The newest entry that is at least as old as the lag is always kept.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    entries: VecDeque<(Instant, T)>,
    lag: Duration,
}

impl<T: Clone> LaggedValue<T> {
    pub(crate) fn new(value: T, lag: Duration, now: Instant) -> Self {
        Self {
            entries: VecDeque::from([(now, value)]),
            lag,
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn record(&mut self, value: T, now: Instant) {
        self.entries.push_back((now, value));
        self.discard_old(now);
    }

    /// Returns when the newest value was recorded.
    pub(crate) fn newest_at(&self) -> Instant {
        self.entries.back().expect("one entry is always kept").0
    }

    /// Returns the value as it was one lag before `now`.
    pub(crate) fn read(&mut self, now: Instant) -> T {
        self.discard_old(now);
        let (_, value) = self.entries.front().expect("one entry is always kept");
        value.clone()
    }

    fn discard_old(&mut self, now: Instant) {
        while let Some((recorded, _)) = self.entries.get(1) {
            if now.duration_since(*recorded) < self.lag {
                break;
            }
            self.entries.pop_front();
        }
    }
}
