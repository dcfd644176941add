//! Whether a request waits or is rejected, and when its caller should retry.
//!
//! Callers honour a retry time up to a third of their remaining time and retry
//! once. The main invariant: a retry time lies within that third, and only a
//! request that no engine accepts now is judged at all.

use std::collections::VecDeque;
use std::time::Duration;

use crate::backlog::WaitingSum;
use crate::forecast::RoomForecast;

/// Part of the remaining time up to which callers honour a retry time.
const HONOURED_PART: u32 = 3;

/// Shortest retry time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time in which all VMs have new facts. An answer doesn't change sooner if it
/// rests on a forecast that is beyond the caller's time or has proved wrong.
const FACT_RENEWAL: Duration = Duration::from_millis(400);

/// Time for which a rejection counts for the spread of retries.
const SPREAD_WINDOW: Duration = Duration::from_secs(1);

/// Part of the honoured time over which retries are spread if capacity is
/// expected after it, so that callers don't all use the last moment.
const LATE_SPREAD_PART: u32 = 2;

/// Maximum rejections that are remembered for the spread.
const MAX_REJECTIONS: usize = 1024;

/// Step of the positions in the spread, by the golden ratio; any number of
/// successive positions is spread evenly.
const POSITION_STEP: f64 = 0.618_033_988_749_895;

/// A request that no engine accepts now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingPrompt {
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Target for the time from its arrival to its first event.
    pub latency_target: Duration,
    /// Expected time from sending it to its first event.
    pub first_event: Duration,
    /// Time for which it may wait in any case.
    pub least_wait: Duration,
    /// Whether it is a caller's retry.
    pub caller_retry: bool,
    /// Expected prefill time at usual speed, in ms.
    pub prefill_ms: f64,
}

impl WaitingPrompt {
    /// Returns the time from arrival for which the request may wait: as long as
    /// its first event can be in time.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::WaitingPrompt;
    /// use std::time::Duration;
    ///
    /// let prompt = WaitingPrompt {
    ///     time_left: Duration::from_secs(6),
    ///     latency_target: Duration::from_secs(2),
    ///     first_event: Duration::from_millis(800),
    ///     ..WaitingPrompt::default()
    /// };
    /// assert_eq!(prompt.permitted_wait(), Duration::from_millis(1200));
    /// ```
    pub fn permitted_wait(&self) -> Duration {
        let in_time = self.latency_target.saturating_sub(self.first_event);
        in_time
            .max(self.least_wait)
            .min(self.waited + self.time_left)
    }

    /// Returns whether the deadline is before any capacity.
    fn is_hopeless(&self, room_in: Duration) -> bool {
        room_in + self.first_event > self.time_left
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectCause {
    /// Capacity is expected after its permitted wait.
    Forecast,
    /// It has waited for its permitted wait.
    Waited,
}

/// What is done with a request that no engine accepts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomDecision {
    /// It waits.
    Wait,
    /// It is rejected.
    Reject(RejectCause),
}

/// A rejection that counts for the spread.
#[derive(Clone, Copy, Debug)]
struct RecentRejection {
    at: Duration,
    prefill_ms: f64,
}

/// The rejections of a VM, for one service.
#[derive(Clone, Debug, Default)]
pub struct ReturnPolicy {
    recent: VecDeque<RecentRejection>,
    position: f64,
}

impl ReturnPolicy {
    /// Creates the policy of a VM. `position`, from 0 to 1, differs between VMs, so
    /// that their callers retry at different times.
    pub fn new(position: f64) -> Self {
        Self {
            recent: VecDeque::new(),
            position: position.fract().abs(),
        }
    }

    /// Decides about a request for which capacity is expected after `room_in`.
    ///
    /// A caller's retry waits as long as it may, unless its deadline is before
    /// any capacity: it has no second retry.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{RejectCause, ReturnPolicy, RoomDecision, WaitingPrompt};
    /// use std::time::Duration;
    ///
    /// let prompt = WaitingPrompt {
    ///     time_left: Duration::from_secs(6),
    ///     latency_target: Duration::from_secs(2),
    ///     ..WaitingPrompt::default()
    /// };
    /// let room_in = Duration::from_secs(1);
    /// assert_eq!(ReturnPolicy::decide(&prompt, room_in), RoomDecision::Wait);
    /// let decision = ReturnPolicy::decide(&prompt, room_in * 3);
    /// assert_eq!(decision, RoomDecision::Reject(RejectCause::Forecast));
    /// ```
    pub fn decide(prompt: &WaitingPrompt, room_in: Duration) -> RoomDecision {
        let remaining = prompt.permitted_wait().saturating_sub(prompt.waited);
        if remaining.is_zero() {
            return RoomDecision::Reject(RejectCause::Waited);
        }
        let is_late = match prompt.caller_retry {
            true => prompt.is_hopeless(room_in),
            false => room_in > remaining,
        };
        match is_late {
            true => RoomDecision::Reject(RejectCause::Forecast),
            false => RoomDecision::Wait,
        }
    }

    /// Records a rejection and returns the retry time for its caller.
    ///
    /// It is when capacity is expected, plus the time that the engines need for
    /// what all `vms` rejected before in the last second, so that callers retry one
    /// after the other. Only the rejections of this VM are known; the others are
    /// taken to have as many, because callers are spread evenly.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{RejectCause, ReturnPolicy, RoomForecast, WaitingPrompt};
    /// use std::time::Duration;
    ///
    /// let left = Duration::from_secs(6);
    /// let prompt = WaitingPrompt { time_left: left, ..WaitingPrompt::default() };
    /// let forecast = RoomForecast::default();
    /// let (room_in, now) = (Duration::from_secs(1), Duration::from_secs(9));
    /// let after = ReturnPolicy::new(0.5)
    ///     .reject(&prompt, RejectCause::Forecast, room_in, &forecast, 75, now);
    /// assert!(after >= room_in && after <= left / 3);
    /// ```
    pub fn reject(
        &mut self,
        prompt: &WaitingPrompt,
        cause: RejectCause,
        room_in: Duration,
        forecast: &RoomForecast,
        vms: usize,
        now: Duration,
    ) -> Duration {
        self.record(prompt.prefill_ms, now);
        let latest = prompt.time_left / HONOURED_PART;
        let earliest = MIN_RETRY_AFTER.min(latest);
        let room_in = match cause {
            RejectCause::Forecast => room_in,
            RejectCause::Waited => room_in.max(FACT_RENEWAL),
        };
        self.position = (self.position + POSITION_STEP).fract();
        if prompt.is_hopeless(room_in) {
            return FACT_RENEWAL.mul_f64(1.0 + self.position).min(latest);
        }
        let rejected = self.rejected().scaled(vms as f64);
        // The share of the newest rejections of all VMs, at a random place in it.
        let newest = (1.0 - self.position) / self.recent.len() as f64;
        let before = forecast.drain_time(&rejected.scaled(1.0 - newest));
        if room_in + before <= latest {
            return (room_in + before).max(earliest);
        }
        let spread = latest / LATE_SPREAD_PART;
        (latest - spread.mul_f64(self.position)).max(earliest)
    }

    fn record(&mut self, prefill_ms: f64, now: Duration) {
        let is_old = |recent: &RecentRejection| now.saturating_sub(recent.at) >= SPREAD_WINDOW;
        while self.recent.front().is_some_and(is_old) || self.recent.len() >= MAX_REJECTIONS {
            self.recent.pop_front();
        }
        let at = now;
        self.recent.push_back(RecentRejection { at, prefill_ms });
    }

    /// Returns the requests that were rejected in the last second before the
    /// newest rejection.
    fn rejected(&self) -> WaitingSum {
        WaitingSum {
            requests: self.recent.len() as f64,
            prefill_ms: self.recent.iter().map(|recent| recent.prefill_ms).sum(),
        }
    }
}
