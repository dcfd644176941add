//! Limits the retries that servers receive.
//!
//! The limit is fleet-wide: within any window, the retries of a service may
//! reach a ratio of its requests in that window or in the one before it,
//! whichever has more, plus a fixed slack. Each VM applies the ratio to the mean
//! of its own requests in both, which needs no coordination: the sum of the
//! means over all VMs never exceeds the larger of the two sums. Each VM also
//! uses an equal part of the slack.
//!
//! This bounds the extra load when servers fail or reject many requests at
//! once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Share of the permitted ratio that a VM uses; the rest is left for requests
/// and retries that arrive in another window than they were sent in.
const RATIO_USED: f64 = 0.9;

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

    /// Applies a changed limit to the requests and retries so far.
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
    /// budget.set_limit(0.3, Duration::from_secs(10));
    /// assert!(!budget.try_acquire(1.0, now));
    /// ```
    pub fn set_limit(&mut self, ratio: f64, window: Duration) {
        self.ratio = ratio * RATIO_USED;
        self.window = window;
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
        self.retries.push_back(now);
        let permitted = self.holds_in_all_windows(slack);
        if !permitted {
            self.retries.pop_back();
        }
        permitted
    }

    /// Gives a retry back that was taken at `taken` and not sent.
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
    /// budget.give_back(now);
    /// assert!(budget.try_acquire(1.0, now));
    /// ```
    pub fn give_back(&mut self, taken: Moment) {
        // It may have left the window.
        if let Some(index) = self.retries.iter().rposition(|time| *time == taken) {
            self.retries.remove(index);
        }
    }

    /// Returns whether every window that contains the newest retry stays within
    /// the limit, even if no further request arrives.
    ///
    /// The windows that matter start at a retry; a later start has fewer
    /// retries until the next one.
    fn holds_in_all_windows(&self, slack: f64) -> bool {
        let mut earlier_requests = 0;
        self.retries.iter().enumerate().all(|(index, start)| {
            let previous_start = start.saturating_sub(self.window);
            while self
                .requests
                .get(earlier_requests)
                .is_some_and(|time| *time < previous_start)
            {
                earlier_requests += 1;
            }
            let mean_requests = (self.requests.len() - earlier_requests) as f64 / 2.0;
            let retries = (self.retries.len() - index) as f64;
            retries <= self.ratio * mean_requests + slack
        })
    }

    fn discard_old(&mut self, now: Moment) {
        let retries_start = now.saturating_sub(self.window);
        let requests_start = retries_start.saturating_sub(self.window);
        let discard = |times: &mut VecDeque<Moment>, start: Moment| {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        };
        discard(&mut self.retries, retries_start);
        discard(&mut self.requests, requests_start);
    }
}
