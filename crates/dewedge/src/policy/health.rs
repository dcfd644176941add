//! Tracks the health of a server by the results of this VM's own requests.
//!
//! Only results count, because a server's health endpoint may report healthy
//! while requests fail. A server that fails often is ejected for a while and
//! readmitted by single probe requests.
//!
//! This handles servers that are unreachable, fail a share of their requests,
//! accept requests and never respond, or flap.

use std::time::Duration;

use crate::clock::Moment;

/// Weight of the newest result in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.25;

/// Failure rate at which a server is ejected.
const EJECTION_THRESHOLD: f64 = 0.6;

/// Length of the first ejection; it doubles with each further one.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(400);

/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Result of one attempt at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The server responded correctly.
    Success,
    /// The server failed the request.
    Failed,
    /// The server couldn't be reached or stopped responding.
    Unresponsive,
}

/// Health of one server as observed by this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaHealth {
    failure_rate: f64,
    ejected_until: Option<Moment>,
    ejections: u32,
    probing: bool,
}

impl ReplicaHealth {
    /// Records the result of an attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::health::{AttemptResult, ReplicaHealth};
    /// use std::time::Duration;
    ///
    /// let mut health = ReplicaHealth::default();
    /// let now = Duration::from_secs(9);
    /// health.record_result(AttemptResult::Unresponsive, now);
    /// assert!(!health.is_usable(now));
    /// assert!(health.is_usable(now + Duration::from_millis(500)));
    /// ```
    pub fn record_result(&mut self, result: AttemptResult, now: Moment) {
        let failed = result != AttemptResult::Success;
        let target = if failed { 1.0 } else { 0.0 };
        self.failure_rate += OUTCOME_WEIGHT * (target - self.failure_rate);
        let was_probe = std::mem::take(&mut self.probing);
        if !failed {
            self.ejected_until = None;
            if was_probe {
                self.failure_rate = self.failure_rate.min(EJECTION_THRESHOLD / 2.0);
            }
            if self.failure_rate < EJECTION_THRESHOLD / 4.0 {
                self.ejections = 0;
            }
            return;
        }
        let eject = result == AttemptResult::Unresponsive
            || was_probe
            || self.failure_rate >= EJECTION_THRESHOLD;
        if eject && self.ejected_until.is_none_or(|until| until <= now) {
            let length = MIN_EJECTION_TIME
                .saturating_mul(1 << self.ejections.min(4))
                .min(MAX_EJECTION_TIME);
            self.ejections += 1;
            self.ejected_until = Some(now + length);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => until <= now && !self.probing,
        }
    }

    /// Records that a request was sent. After an ejection it is a probe: no
    /// other request is sent until its result is known.
    pub fn record_sent(&mut self) {
        if self.ejected_until.is_some() {
            self.probing = true;
        }
    }

    /// Records that a request ended without a result: its caller disconnected,
    /// its deadline passed, or the server was full. If it was the probe, another
    /// one may be sent.
    pub fn record_abandoned(&mut self) {
        self.probing = false;
    }

    /// Returns the moving average of failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
