//! Whether this VM reaches the platform's API.

use std::time::Duration;

use super::LeasePolicy;

/// Failed calls to the platform's API since the last response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ApiHealth {
    /// Start of the first failed call, and end of the last one.
    failing: Option<(Duration, Duration)>,
    /// Until when nothing is acquired.
    pub(crate) paused_until: Duration,
}

impl ApiHealth {
    pub(crate) fn record_answer(&mut self) {
        self.failing = None;
    }

    /// Notes a call that began at this time and failed now; returns whether the API
    /// counts as unreachable from now on. Failures far apart aren't attempts in a
    /// row.
    pub(crate) fn record_failure(
        &mut self,
        began: Duration,
        now: Duration,
        policy: &LeasePolicy,
    ) -> bool {
        let first = match self.failing {
            Some((first, last)) if now.saturating_sub(last) <= 2 * policy.unreachable_time => first,
            _ => began,
        };
        self.failing = Some((first, now));
        let unreachable = now.saturating_sub(first) >= policy.unreachable_time;
        if unreachable {
            self.failing = None;
            self.paused_until = now + policy.unreachable_pause;
        }
        unreachable
    }
}
