//! Judges a server by the outcomes of this VM's own requests.
//!
//! Health answers may lie, so only outcomes count. A server whose requests fail
//! often is left alone for a while and let back in by single requests.
//!
//! It answers servers that are dark, that fail a share of their requests, that
//! accept and never answer, and that go down and up by turns.

use std::time::Duration;

use crate::clock::Moment;

/// Weight of the newest outcome in the average of failures.
const OUTCOME_WEIGHT: f64 = 0.25;

/// Average of failures at which a server is left alone.
const FAILING: f64 = 0.6;

/// First time for which a failing server is left alone.
const PAUSE_MIN: Duration = Duration::from_millis(400);

/// Longest time for which a failing server is left alone.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptVerdict {
    /// The server answered as it should.
    Good,
    /// The server failed the request.
    Failed,
    /// The server couldn't be reached, or fell silent.
    Silent,
}

/// Health of one server, seen from this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaHealth {
    failures: f64,
    paused_until: Option<Moment>,
    pauses: u32,
    trial: bool,
}

impl ReplicaHealth {
    /// Notes how a request ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::health::{AttemptVerdict, ReplicaHealth};
    /// use std::time::Duration;
    ///
    /// let mut health = ReplicaHealth::default();
    /// let now = Duration::from_secs(9);
    /// health.note(AttemptVerdict::Silent, now);
    /// assert!(!health.is_usable(now));
    /// assert!(health.is_usable(now + Duration::from_millis(500)));
    /// ```
    pub fn note(&mut self, verdict: AttemptVerdict, now: Moment) {
        let failed = verdict != AttemptVerdict::Good;
        let target = if failed { 1.0 } else { 0.0 };
        self.failures += OUTCOME_WEIGHT * (target - self.failures);
        let on_trial = std::mem::take(&mut self.trial);
        if !failed {
            self.paused_until = None;
            if on_trial {
                self.failures = self.failures.min(FAILING / 2.0);
            }
            if self.failures < FAILING / 4.0 {
                self.pauses = 0;
            }
            return;
        }
        let pause = verdict == AttemptVerdict::Silent || on_trial || self.failures >= FAILING;
        if pause && self.paused_until.is_none_or(|until| until <= now) {
            let length = PAUSE_MIN
                .saturating_mul(1 << self.pauses.min(4))
                .min(PAUSE_MAX);
            self.pauses += 1;
            self.paused_until = Some(now + length);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.paused_until {
            None => true,
            Some(until) => until <= now && !self.trial,
        }
    }

    /// Notes that a request was sent; after a pause it is the only one until
    /// its outcome is known.
    pub fn note_sent(&mut self) {
        if self.paused_until.is_some() {
            self.trial = true;
        }
    }

    /// Notes that a request ended without an outcome, because its caller left.
    pub fn note_abandoned(&mut self) {
        self.trial = false;
    }

    /// Returns the share of failures among the latest outcomes.
    pub fn failure_share(&self) -> f64 {
        self.failures
    }
}
