//! How many retries a pool bears.
//!
//! Retries are bounded to a percentage of the recent first requests, and none
//! go to a pool that refuses requests of their tier or of a higher one.

use std::time::{Duration, Instant};

use crate::ids::TierLevel;

/// Length of one of the two spans that are counted.
const SPAN: Duration = Duration::from_secs(5);
/// Retries that are allowed in two spans however few requests there are.
const MIN_RETRIES: u64 = 3;
/// The whole, in percent.
const WHOLE: u64 = 100;

#[derive(Clone, Copy, Debug, Default)]
struct BudgetSpan {
    requests: u64,
    retries: u64,
    /// Highest tier of which a request was refused.
    shed: Option<TierLevel>,
}

/// Recent requests, retries and refusals of one pool.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    percent: u8,
    current: BudgetSpan,
    last: BudgetSpan,
    started_at: Option<Instant>,
}

impl RetryBudget {
    /// Follows the pools table.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
    }

    /// Counts a first request or a retry.
    pub(super) fn note_request(&mut self, is_retry: bool, now: Instant) {
        self.turn(now);
        match is_retry {
            true => self.current.retries += 1,
            false => self.current.requests += 1,
        }
    }

    /// Counts a refusal for want of capacity.
    pub(super) fn note_shed(&mut self, tier: TierLevel, now: Instant) {
        self.turn(now);
        let shed = self.current.shed.map_or(tier, |shed| shed.min(tier));
        self.current.shed = Some(shed);
    }

    /// Whether one more retry of this tier is allowed.
    pub(super) fn allows(&self, tier: TierLevel, now: Instant) -> bool {
        let (current, last) = self.spans(now);
        let shed = current.shed.into_iter().chain(last.shed).min();
        if self.percent == 0 || shed.is_some_and(|shed| shed <= tier) {
            return false;
        }
        let requests = current.requests + last.requests;
        let allowed = requests * u64::from(self.percent) / WHOLE;
        current.retries + last.retries < allowed.max(MIN_RETRIES)
    }

    /// Returns the spans as they are at `now`.
    fn spans(&self, now: Instant) -> (BudgetSpan, BudgetSpan) {
        let Some(started_at) = self.started_at else {
            return Default::default();
        };
        let age = now.saturating_duration_since(started_at);
        match age {
            age if age < SPAN => (self.current, self.last),
            age if age < 2 * SPAN => (BudgetSpan::default(), self.current),
            _ => Default::default(),
        }
    }

    /// Begins a new span if the current one is over.
    fn turn(&mut self, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= SPAN {
            (self.current, self.last) = self.spans(now);
            self.started_at = Some(now);
        }
    }
}
