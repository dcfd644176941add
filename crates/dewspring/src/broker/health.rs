//! Whether a server is fit for new work: not failing, and not much slower than
//! its pool.
//!
//! A server is ejected after consecutive failures, or after several reviews in
//! which it was slow. After a pause it gets one request as a probe, and comes
//! back if that ends well. The limit of how many servers may be out is kept by
//! the set of servers.

use std::time::{Duration, Instant};

use super::messages::{AttemptOutcome, GrantRelease};
use super::pace::ServicePace;
use crate::ids::TokenCount;

/// Consecutive failures that eject a server.
const MAX_FAILURES: u32 = 3;
/// Consecutive slow reviews that eject a server.
const MAX_STRIKES: u32 = 3;
/// Multiple of the pool's median pace from which a server is slow.
const SLOW_RATIO: f64 = 2.0;
/// Multiple of the pool's median pace up to which a server is fit.
const FIT_RATIO: f64 = 1.5;
/// First pause of an ejected server.
const MIN_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause of an ejected server.
const MAX_PAUSE: Duration = Duration::from_secs(20);
/// Time for which a failure delays a server that is not ejected.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Time after which a probe no longer waits for a request that can bear it.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);
/// Releases on which a server's pace rests.
const WINDOW: u32 = 16;
/// Releases from which a server is compared with others.
const MIN_SAMPLES: u32 = 4;
/// Extra delay of a failing server that can't be ejected, for each failure, in
/// seconds.
const FAILURE_DELAY: f64 = 1.0;

/// Paces by which servers are compared, in seconds for each token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HealthPaces {
    /// Of whole answers.
    pub(super) answer: Option<f64>,
    /// Of first tokens, by the work of the prompt.
    pub(super) first_token: Option<f64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HealthPhase {
    Fit,
    Ejected {
        until: Instant,
    },
    /// Waits for a request as a probe.
    Probing {
        since: Instant,
    },
    /// Runs the probe.
    Probed,
}

/// What a release shows of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthSample {
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// Work that was done, in tokens.
    pub(super) work: TokenCount,
    /// Work up to the first token, in tokens.
    pub(super) first_work: TokenCount,
    /// Time up to the first token.
    pub(super) first_token: Option<Duration>,
    /// Time up to the end.
    pub(super) elapsed: Duration,
}

impl HealthSample {
    /// Reads a release.
    pub(super) fn new(release: &GrantRelease, work: TokenCount, first_work: TokenCount) -> Self {
        Self {
            outcome: release.outcome,
            work,
            first_work,
            first_token: release.first_token,
            elapsed: release.elapsed,
        }
    }
}

/// Health of one server.
#[derive(Debug)]
pub(super) struct ReplicaHealth {
    phase: HealthPhase,
    pause: Duration,
    failures: u32,
    /// End of the extra delay by failures, if there is any.
    delayed_until: Option<Instant>,
    strikes: u32,
    answer: ServicePace,
    first_token: ServicePace,
    /// Whether anything was learnt since the last review.
    is_fresh: bool,
}

impl Default for ReplicaHealth {
    fn default() -> Self {
        Self {
            phase: HealthPhase::Fit,
            pause: MIN_PAUSE,
            failures: 0,
            delayed_until: None,
            strikes: 0,
            answer: ServicePace::new(WINDOW),
            first_token: ServicePace::new(WINDOW),
            is_fresh: false,
        }
    }
}

impl ReplicaHealth {
    /// Whether the server is neither ejected nor on probe.
    pub(super) fn is_fit(&self) -> bool {
        self.phase == HealthPhase::Fit
    }

    /// Whether the server waits for a request as a probe.
    pub(super) fn is_probing(&self) -> bool {
        matches!(self.phase, HealthPhase::Probing { .. })
    }

    /// Whether the server is on probe, with or without a request.
    pub(super) fn is_on_probe(&self) -> bool {
        self.is_probing() || self.phase == HealthPhase::Probed
    }

    /// Whether any request may be the probe, since none that can bear it came.
    pub(super) fn is_probe_overdue(&self, now: Instant) -> bool {
        match self.phase {
            HealthPhase::Probing { since } => now >= since + PROBE_PATIENCE,
            _ => false,
        }
    }

    /// Whether the server fails so often that it is to be ejected.
    pub(super) fn is_failing(&self) -> bool {
        self.is_fit() && self.failures >= MAX_FAILURES
    }

    /// Whether the server is so slow that it is to be ejected if the others
    /// can do without it.
    pub(super) fn is_slow(&self) -> bool {
        self.is_fit() && self.strikes >= MAX_STRIKES
    }

    /// Whether the server is out for nothing but its slowness.
    pub(super) fn is_out_for_slowness(&self) -> bool {
        !self.is_fit() && self.failures == 0
    }

    /// Pace of the server's requests.
    pub(super) fn pace(&self) -> &ServicePace {
        &self.answer
    }

    /// Returns the paces of a fit server that has shown enough of late.
    pub(super) fn paces(&self, now: Instant) -> HealthPaces {
        let known = |pace: &ServicePace| pace.seconds_per_token(now);
        let is_known = self.is_fit() && self.answer.samples() >= MIN_SAMPLES;
        HealthPaces {
            answer: known(&self.answer).filter(|_| is_known),
            first_token: known(&self.first_token).filter(|_| is_known),
        }
    }

    /// Extra delay by failures, in seconds.
    pub(super) fn delay(&self) -> f64 {
        match self.delayed_until {
            Some(_) => f64::from(self.failures.min(2 * MAX_FAILURES)) * FAILURE_DELAY,
            None => 0.0,
        }
    }

    /// Notes a grant; on probe it is the probe.
    pub(super) fn begin(&mut self) {
        if self.is_probing() {
            self.phase = HealthPhase::Probed;
        }
    }

    /// Learns from the end of a grant; `None` if it was never released.
    pub(super) fn end(&mut self, sample: Option<&HealthSample>, median: HealthPaces, now: Instant) {
        let outcome = sample.map(|sample| sample.outcome);
        match outcome {
            Some(AttemptOutcome::Completed) => {
                self.failures = 0;
                self.delayed_until = None;
            }
            Some(AttemptOutcome::Cancelled) | None => {}
            Some(AttemptOutcome::NotRun | AttemptOutcome::Failed | AttemptOutcome::Unknown) => {
                self.failures = self.failures.saturating_add(1);
                self.delayed_until = Some(now + FAILURE_MEMORY);
            }
        }
        if self.phase == HealthPhase::Probed {
            self.end_probe(sample, median, now);
        }
        if let Some(sample) = sample {
            self.learn(sample, now);
        }
    }

    /// Compares the server with the pool's medians.
    pub(super) fn review(&mut self, median: HealthPaces, now: Instant) {
        if let HealthPhase::Ejected { until } = self.phase
            && until <= now
        {
            self.phase = HealthPhase::Probing { since: now };
        }
        // The server is tried again; one more failure delays it again.
        self.delayed_until = self.delayed_until.filter(|&until| until > now);
        if !std::mem::take(&mut self.is_fresh) {
            return;
        }
        match slowness(self.paces(now), median) {
            Some(ratio) if ratio >= SLOW_RATIO => self.strikes += 1,
            Some(ratio) if ratio <= FIT_RATIO => self.strikes = 0,
            _ => {}
        }
    }

    /// Takes the server out.
    pub(super) fn eject(&mut self, now: Instant) {
        let until = now + self.pause;
        self.phase = HealthPhase::Ejected { until };
    }

    /// Takes the server back, with nothing held against it.
    pub(super) fn reinstate(&mut self) {
        *self = Self::default();
    }

    fn end_probe(&mut self, sample: Option<&HealthSample>, median: HealthPaces, now: Instant) {
        let Some(sample) = sample.filter(|sample| sample.outcome != AttemptOutcome::Cancelled)
        else {
            self.phase = HealthPhase::Probing { since: now };
            return;
        };
        let mut answer = ServicePace::new(WINDOW);
        answer.record(sample.work, sample.elapsed, now);
        let paces = HealthPaces {
            answer: answer.latest(),
            first_token: None,
        };
        let is_slow = slowness(paces, median).is_some_and(|ratio| ratio > FIT_RATIO);
        if sample.outcome == AttemptOutcome::Completed && !is_slow {
            self.reinstate();
            return;
        }
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.eject(now);
    }

    fn learn(&mut self, sample: &HealthSample, now: Instant) {
        if sample.outcome != AttemptOutcome::Completed {
            return;
        }
        self.is_fresh = true;
        self.answer.record(sample.work, sample.elapsed, now);
        if let Some(first_token) = sample.first_token {
            self.first_token.record(sample.first_work, first_token, now);
        }
    }
}

/// Returns how many times slower a server is than the median, in its worse
/// respect.
fn slowness(paces: HealthPaces, median: HealthPaces) -> Option<f64> {
    let ratio = |pace: Option<f64>, median: Option<f64>| Some(pace? / median?);
    let answer = ratio(paces.answer, median.answer);
    let first_token = ratio(paces.first_token, median.first_token);
    answer.into_iter().chain(first_token).reduce(f64::max)
}

/// Returns the medians of the servers that have shown their paces.
pub(super) fn median_of(paces: impl Iterator<Item = HealthPaces>) -> HealthPaces {
    let paces = paces.collect::<Vec<_>>();
    HealthPaces {
        answer: median(paces.iter().filter_map(|paces| paces.answer)),
        first_token: median(paces.iter().filter_map(|paces| paces.first_token)),
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values = values.collect::<Vec<_>>();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
