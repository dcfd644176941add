//! Moving average of the service time per token of work.

use std::time::{Duration, Instant};

use crate::ids::TokenCount;

/// Assumed seconds per token before any measurement.
pub(super) const DEFAULT_SECONDS_PER_TOKEN: f64 = 0.02;
/// Weight of the prior in a shrunk average, in tokens of work.
const PRIOR_WEIGHT: f64 = 1_000.0;
/// Age of the last sample from which an average counts as unknown.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(15);

/// Seconds that one request takes for each token of its work, averaged over the
/// latest samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimePerToken {
    window: u32,
    samples: u32,
    work: f64,
    seconds: f64,
    updated_at: Option<Instant>,
}

impl TimePerToken {
    /// Returns an empty average over about the latest `window` samples.
    pub(super) fn new(window: u32) -> Self {
        Self {
            window,
            samples: 0,
            work: 0.0,
            seconds: 0.0,
            updated_at: None,
        }
    }

    /// Records a request that ran to completion.
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

    /// Returns the average seconds per token; `None` without a recent sample.
    ///
    /// An old average must not cause refusals: if every request were refused,
    /// no new sample would ever correct it.
    pub(super) fn seconds_per_token(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.updated_at?);
        self.last_known().filter(|_| age <= MAX_SAMPLE_AGE)
    }

    /// Returns the average seconds per token at any age, shrunk toward `prior`
    /// while there are few samples.
    pub(super) fn shrunk_toward(&self, prior: f64) -> f64 {
        (self.seconds + prior * PRIOR_WEIGHT) / (self.work + PRIOR_WEIGHT)
    }

    /// Returns the weight of the samples in the average.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the average seconds per token at any age.
    pub(super) fn last_known(&self) -> Option<f64> {
        (self.work > 0.0).then(|| self.seconds / self.work)
    }
}
