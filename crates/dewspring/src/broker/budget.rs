//! Limits the retries that a pool accepts.
//!
//! Retries are limited to a percentage of the recent first requests. A retry is
//! also rejected while the pool refuses requests of the same or a higher tier.

use std::time::{Duration, Instant};

use crate::ids::TierLevel;

/// Length of each of the two counting windows.
const WINDOW: Duration = Duration::from_secs(5);
/// Retries allowed in two windows regardless of the number of requests.
const MIN_RETRIES: u64 = 3;
const FULL_PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug, Default)]
struct BudgetWindow {
    requests: u64,
    retries: u64,
    /// Highest tier of which a request was refused.
    shed: Option<TierLevel>,
}

/// Counts of recent requests, retries and refusals of one pool.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    percent: u8,
    current: BudgetWindow,
    previous: BudgetWindow,
    started_at: Option<Instant>,
}

impl RetryBudget {
    /// Sets the retry percentage from the pools table.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
    }

    /// Counts a first request or a retry.
    pub(super) fn record_request(&mut self, is_retry: bool, now: Instant) {
        self.rotate(now);
        match is_retry {
            true => self.current.retries += 1,
            false => self.current.requests += 1,
        }
    }

    /// Records a refusal for lack of capacity.
    pub(super) fn record_shed(&mut self, tier: TierLevel, now: Instant) {
        self.rotate(now);
        let shed = self.current.shed.map_or(tier, |shed| shed.min(tier));
        self.current.shed = Some(shed);
    }

    /// Returns whether one more retry of this tier is allowed.
    pub(super) fn allows(&self, tier: TierLevel, now: Instant) -> bool {
        let (current, previous) = self.windows_at(now);
        let shed = current.shed.into_iter().chain(previous.shed).min();
        if self.percent == 0 || shed.is_some_and(|shed| shed <= tier) {
            return false;
        }
        let requests = current.requests + previous.requests;
        let allowed = requests * u64::from(self.percent) / FULL_PERCENT;
        current.retries + previous.retries < allowed.max(MIN_RETRIES)
    }

    /// Returns the current and the previous window as of `now`.
    fn windows_at(&self, now: Instant) -> (BudgetWindow, BudgetWindow) {
        let Some(started_at) = self.started_at else {
            return Default::default();
        };
        let age = now.saturating_duration_since(started_at);
        match age {
            age if age < WINDOW => (self.current, self.previous),
            age if age < 2 * WINDOW => (BudgetWindow::default(), self.current),
            _ => Default::default(),
        }
    }

    /// Starts a new window if the current one has ended.
    fn rotate(&mut self, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= WINDOW {
            (self.current, self.previous) = self.windows_at(now);
            self.started_at = Some(now);
        }
    }
}
