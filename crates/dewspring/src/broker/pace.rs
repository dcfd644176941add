//! How long work takes, as releases show it.

use std::time::{Duration, Instant};

use crate::ids::TokenCount;

/// Pace that is assumed before anything is known, in seconds for each token.
pub(super) const DEFAULT_PACE: f64 = 0.02;
/// Work that a prior pace weighs as much as, in tokens.
const PRIOR_WORK: f64 = 1_000.0;
/// Time after which the last release says nothing any more.
const MAX_AGE: Duration = Duration::from_secs(15);

/// Seconds that one request spends for each token of its work, averaged over
/// the latest releases.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServicePace {
    window: u32,
    samples: u32,
    work: f64,
    seconds: f64,
    updated_at: Option<Instant>,
}

impl ServicePace {
    /// Returns a pace that rests on about the latest `window` releases.
    pub(super) fn new(window: u32) -> Self {
        Self {
            window,
            samples: 0,
            work: 0.0,
            seconds: 0.0,
            updated_at: None,
        }
    }

    /// Learns from a request that ran to its end.
    pub(super) fn record(&mut self, work: TokenCount, elapsed: Duration, now: Instant) {
        if self.samples >= self.window {
            self.samples /= 2;
            self.work /= 2.0;
            self.seconds /= 2.0;
        }
        self.samples += 1;
        self.work += work as f64;
        self.seconds += elapsed.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the seconds for each token; `None` if nothing recent is known.
    ///
    /// An old pace is no ground for a refusal: with every request refused, no
    /// release would ever correct it.
    pub(super) fn seconds_per_token(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.updated_at?);
        self.latest().filter(|_| age <= MAX_AGE)
    }

    /// Returns the seconds for each token, however old, drawn to `prior` as
    /// long as little is known.
    pub(super) fn drawn_to(&self, prior: f64) -> f64 {
        (self.seconds + prior * PRIOR_WORK) / (self.work + PRIOR_WORK)
    }

    /// Number of releases that it rests on.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the seconds for each token, however old.
    pub(super) fn latest(&self) -> Option<f64> {
        (self.work > 0.0).then(|| self.seconds / self.work)
    }
}
