//! The bound on repeated sends.
//!
//! The bound is the fleet's: over a window, a service may get a share of its
//! requests again, and a small number besides. Each VM keeps the share for its
//! own requests, which needs no talk with the others; of the number besides it
//! takes one send, so that it is kept with any number of VMs.
//!
//! It answers the load of servers that fail or reject much at once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Part of the permitted share that a VM uses, so that a window which cuts
/// through its own stays under the bound.
const SHARE_USED: f64 = 0.8;

/// Part of the number besides that the VMs which are known use together, so
/// that VMs which join or start anew within a window have theirs too.
const SLACK_USED: f64 = 0.4;

/// Returns the repeated sends of one VM that its requests don't pay for.
///
/// # Examples
///
/// ```
/// use dewedge::policy::retries::own_slack;
///
/// assert_eq!(own_slack(50.0, 10), 2.0);
/// ```
pub fn own_slack(fleet_slack: f64, vms: usize) -> f64 {
    fleet_slack * SLACK_USED / vms.max(1) as f64
}

/// Counts requests and repeated sends of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryBudget {
    /// Makes a budget of `ratio` repeated sends a request over `window`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::retries::RetryBudget;
    /// use std::time::Duration;
    ///
    /// let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    /// let now = Duration::from_secs(50);
    /// assert!(budget.try_repeat(1.0, now));
    /// assert!(!budget.try_repeat(1.0, now));
    /// ```
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio: ratio * SHARE_USED,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now: Moment) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send, if there is room for it.
    ///
    /// `slack` is the part of this VM in the number besides.
    pub fn try_repeat(&mut self, slack: f64, now: Moment) -> bool {
        self.forget(now);
        let allowed = self.ratio * self.requests.len() as f64 + slack;
        if (self.repeats.len() as f64) + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Moment) {
        let start = now.saturating_sub(self.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
