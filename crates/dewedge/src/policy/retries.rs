//! Limits the retries that servers receive.
//!
//! The limit is fleet-wide: within a window, the retries of a service may reach
//! a ratio of its requests, plus a fixed slack. Each VM applies the ratio to
//! its own requests, which needs no coordination, and uses an equal part of the
//! slack, so that the limit holds for any number of VMs.
//!
//! This bounds the extra load when servers fail or reject many requests at
//! once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Share of the permitted ratio that a VM uses, so that any window that
/// overlaps two of its own stays within the limit.
const RATIO_USED: f64 = 0.8;

/// Share of the slack that the known VMs use together; the rest is left for VMs
/// that join or restart within a window.
const SLACK_USED: f64 = 0.4;

/// Returns the retries that one VM may send regardless of its requests.
///
/// # Examples
///
/// ```
/// use dewedge::policy::retries::vm_slack;
///
/// assert_eq!(vm_slack(50.0, 10), 2.0);
/// ```
pub fn vm_slack(fleet_slack: f64, vms: usize) -> f64 {
    fleet_slack * SLACK_USED / vms.max(1) as f64
}

/// Limits the retries of one service in proportion to its recent requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request over `window`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::retries::RetryBudget;
    /// use std::time::Duration;
    ///
    /// let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    /// let now = Duration::from_secs(50);
    /// assert!(budget.try_acquire(1.0, now));
    /// assert!(!budget.try_acquire(1.0, now));
    /// ```
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * RATIO_USED,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Moment) {
        self.discard_old(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns whether one was left.
    ///
    /// `slack` is this VM's part of the fleet's slack.
    pub fn try_acquire(&mut self, slack: f64, now: Moment) -> bool {
        self.discard_old(now);
        let allowed = self.ratio * self.requests.len() as f64 + slack;
        if (self.retries.len() as f64) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn discard_old(&mut self, now: Moment) {
        let start = now.saturating_sub(self.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
