//! Health of a server: whether it fails, or is much slower than its pool.
//!
//! A server is ejected after consecutive failures, or after several periodic
//! reviews in which it was slow. When the ejection time is over, it gets one
//! request as a probe and returns to rotation if the probe succeeds. The set of
//! servers limits how many may be ejected at once.

use std::time::{Duration, Instant};

use super::messages::{AttemptOutcome, GrantRelease};
use super::time_per_token::TimePerToken;
use crate::ids::TokenCount;

/// Consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Consecutive slow reviews after which a server is ejected.
const MAX_SLOW_REVIEWS: u32 = 3;
/// Multiple of the pool's median time per token from which a server counts as
/// slow.
const SLOW_RATIO: f64 = 2.0;
/// Multiple of the pool's median time per token up to which a server counts as
/// healthy.
const HEALTHY_RATIO: f64 = 1.5;
/// Duration of the first ejection.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the ejection time, which doubles with each failed probe.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(20);
/// Time for which a failure penalizes a server that is not ejected.
const FAILURE_PENALTY_TIME: Duration = Duration::from_secs(5);
/// Time after which any request that is not a retry may be the probe.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(5);
/// Number of releases in the moving averages of a server.
const SAMPLE_WINDOW: u32 = 16;
/// Number of releases from which a server is compared with others.
const MIN_SAMPLES: u32 = 4;
/// Delay added for each failure of a server that stays in rotation, in seconds.
const FAILURE_PENALTY_SECONDS: f64 = 1.0;

/// Measures by which servers are compared, in seconds per token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TokenTimes {
    /// Time of whole answers per token of their work.
    pub(super) answer: Option<f64>,
    /// Time to the first token, per token of the prompt's work.
    pub(super) first_token: Option<f64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HealthPhase {
    Healthy,
    Ejected {
        until: Instant,
    },
    /// Awaits a request to use as a probe.
    AwaitingProbe {
        since: Instant,
    },
    /// Runs the probe.
    ProbeInFlight,
}

/// Measurements of a server from one release.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthSample {
    pub(super) outcome: AttemptOutcome,
    /// Work that was done, in tokens.
    pub(super) work: TokenCount,
    /// Work up to the first token, in tokens.
    pub(super) first_work: TokenCount,
    /// Time to the first token.
    pub(super) first_token: Option<Duration>,
    /// Time to the end.
    pub(super) elapsed: Duration,
}

impl HealthSample {
    /// Builds a sample from a release and the work that was done.
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
    ejection_time: Duration,
    failures: u32,
    /// End of the failure penalty, if there is one.
    penalty_until: Option<Instant>,
    slow_reviews: u32,
    answer: TimePerToken,
    first_token: TimePerToken,
    /// Whether a sample was recorded since the last review.
    has_new_samples: bool,
}

impl Default for ReplicaHealth {
    fn default() -> Self {
        Self {
            phase: HealthPhase::Healthy,
            ejection_time: MIN_EJECTION_TIME,
            failures: 0,
            penalty_until: None,
            slow_reviews: 0,
            answer: TimePerToken::new(SAMPLE_WINDOW),
            first_token: TimePerToken::new(SAMPLE_WINDOW),
            has_new_samples: false,
        }
    }
}

impl ReplicaHealth {
    /// Returns whether the server is neither ejected nor being probed.
    pub(super) fn is_healthy(&self) -> bool {
        self.phase == HealthPhase::Healthy
    }

    /// Returns whether the server awaits a request as a probe.
    pub(super) fn is_awaiting_probe(&self) -> bool {
        matches!(self.phase, HealthPhase::AwaitingProbe { .. })
    }

    /// Returns whether the server awaits or runs a probe.
    pub(super) fn is_being_probed(&self) -> bool {
        self.is_awaiting_probe() || self.phase == HealthPhase::ProbeInFlight
    }

    /// Returns whether any request that is not a retry may be the probe, because
    /// no preferred one came in time.
    pub(super) fn is_probe_overdue(&self, now: Instant) -> bool {
        match self.phase {
            HealthPhase::AwaitingProbe { since } => now >= since + MAX_PROBE_WAIT,
            _ => false,
        }
    }

    /// Returns whether the server has failed often enough to be ejected.
    pub(super) fn is_failing(&self) -> bool {
        self.is_healthy() && self.failures >= MAX_FAILURES
    }

    /// Returns whether the server has been slow for long enough to be ejected
    /// if the others have capacity to spare.
    pub(super) fn is_slow(&self) -> bool {
        self.is_healthy() && self.slow_reviews >= MAX_SLOW_REVIEWS
    }

    /// Returns whether the server is ejected or being probed only because it
    /// was slow.
    pub(super) fn is_ejected_for_slowness(&self) -> bool {
        !self.is_healthy() && self.failures == 0
    }

    /// Returns the average time per token of the server's requests.
    pub(super) fn time_per_token(&self) -> &TimePerToken {
        &self.answer
    }

    /// Returns the recent averages of a healthy server with enough samples.
    pub(super) fn token_times(&self, now: Instant) -> TokenTimes {
        let known = |average: &TimePerToken| average.seconds_per_token(now);
        let is_known = self.is_healthy() && self.answer.samples() >= MIN_SAMPLES;
        TokenTimes {
            answer: known(&self.answer).filter(|_| is_known),
            first_token: known(&self.first_token).filter(|_| is_known),
        }
    }

    /// Returns the delay added because of failures, in seconds.
    pub(super) fn failure_penalty(&self) -> f64 {
        match self.penalty_until {
            Some(_) => f64::from(self.failures.min(2 * MAX_FAILURES)) * FAILURE_PENALTY_SECONDS,
            None => 0.0,
        }
    }

    /// Records a grant; if the server awaits a probe, this grant is the probe.
    pub(super) fn record_grant(&mut self) {
        if self.is_awaiting_probe() {
            self.phase = HealthPhase::ProbeInFlight;
        }
    }

    /// Records the end of a grant; `sample` is `None` if the grant was never
    /// released.
    pub(super) fn record_end(
        &mut self,
        sample: Option<&HealthSample>,
        median: TokenTimes,
        now: Instant,
    ) {
        let outcome = sample.map(|sample| sample.outcome);
        match outcome {
            Some(AttemptOutcome::Completed) => {
                self.failures = 0;
                self.penalty_until = None;
            }
            Some(AttemptOutcome::Cancelled) | None => {}
            Some(
                AttemptOutcome::NotRun
                | AttemptOutcome::Failed
                | AttemptOutcome::Unknown
                | AttemptOutcome::Crashed,
            ) => {
                self.failures = self.failures.saturating_add(1);
                self.penalty_until = Some(now + FAILURE_PENALTY_TIME);
            }
        }
        if self.phase == HealthPhase::ProbeInFlight {
            self.end_probe(sample, median, now);
        }
        if let Some(sample) = sample {
            self.record_sample(sample, now);
        }
    }

    /// Compares the server with the pool's medians.
    pub(super) fn review(&mut self, median: TokenTimes, now: Instant) {
        if let HealthPhase::Ejected { until } = self.phase
            && until <= now
        {
            self.phase = HealthPhase::AwaitingProbe { since: now };
        }
        // The server is tried again without the penalty. Its failure count
        // stays, so that one more failure delays it again.
        self.penalty_until = self.penalty_until.filter(|&until| until > now);
        if !std::mem::take(&mut self.has_new_samples) {
            return;
        }
        match slowness(self.token_times(now), median) {
            Some(ratio) if ratio >= SLOW_RATIO => self.slow_reviews += 1,
            Some(ratio) if ratio <= HEALTHY_RATIO => self.slow_reviews = 0,
            _ => {}
        }
    }

    /// Ejects the server for its current ejection time.
    pub(super) fn eject(&mut self, now: Instant) {
        let until = now + self.ejection_time;
        self.phase = HealthPhase::Ejected { until };
    }

    /// Returns the server to rotation and resets its health.
    pub(super) fn reinstate(&mut self) {
        *self = Self::default();
    }

    fn end_probe(&mut self, sample: Option<&HealthSample>, median: TokenTimes, now: Instant) {
        let Some(sample) = sample.filter(|sample| sample.outcome != AttemptOutcome::Cancelled)
        else {
            self.phase = HealthPhase::AwaitingProbe { since: now };
            return;
        };
        let mut answer = TimePerToken::new(SAMPLE_WINDOW);
        answer.record(sample.work, sample.elapsed, now);
        let token_times = TokenTimes {
            answer: answer.last_known(),
            first_token: None,
        };
        let is_slow = slowness(token_times, median).is_some_and(|ratio| ratio > HEALTHY_RATIO);
        if sample.outcome == AttemptOutcome::Completed && !is_slow {
            self.reinstate();
            return;
        }
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
        self.eject(now);
    }

    fn record_sample(&mut self, sample: &HealthSample, now: Instant) {
        if sample.outcome != AttemptOutcome::Completed {
            return;
        }
        self.has_new_samples = true;
        self.answer.record(sample.work, sample.elapsed, now);
        if let Some(first_token) = sample.first_token {
            self.first_token.record(sample.first_work, first_token, now);
        }
    }
}

/// Returns the larger of the two ratios between a server's times and the
/// medians.
fn slowness(token_times: TokenTimes, median: TokenTimes) -> Option<f64> {
    let ratio = |time: Option<f64>, median: Option<f64>| Some(time? / median?);
    let answer = ratio(token_times.answer, median.answer);
    let first_token = ratio(token_times.first_token, median.first_token);
    answer.into_iter().chain(first_token).reduce(f64::max)
}

/// Returns the medians over the servers that have measurements.
pub(super) fn median_times(token_times: impl Iterator<Item = TokenTimes>) -> TokenTimes {
    let token_times = token_times.collect::<Vec<_>>();
    TokenTimes {
        answer: median(token_times.iter().filter_map(|times| times.answer)),
        first_token: median(token_times.iter().filter_map(|times| times.first_token)),
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
