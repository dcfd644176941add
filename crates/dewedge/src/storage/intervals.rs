//! Intervals of the calls to the store, derived from the settings.
//!
//! The main invariants: a lost confirmation is requested again before the
//! previous one expires, and a connection that has fallen silent is replaced
//! within the recovery bound.

use std::time::Duration;

use crate::keys::KeyConfirmation;
use crate::settings::EdgeSettings;

/// Share of the validity of a confirmation after which the tables are confirmed
/// again.
const CONFIRM_SHARE: f64 = 0.64;

/// Share of the validity after which a call without a response times out. After
/// [`CONFIRM_SHARE`] and this, a seventh is left for a second try, so that one
/// lost call invalidates no key, whether it is a confirmation or the call that a
/// confirmation waits for.
const CALL_TIMEOUT_SHARE: f64 = 0.22;

/// Longest timeout of a call, for bounds that are very long or disabled.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Shortest interval or timeout, for bounds that are very short or disabled.
const MIN_CALL_TIME: Duration = Duration::from_millis(300);

/// Delay between two watches, as a share of the smallest update bound. Changes
/// accumulate meanwhile, since a call costs the same for one change as for
/// many. More than half of the bound is left for a slow store.
const WATCH_DELAY_SHARE: f64 = 0.45;

/// Share of the longest delay that is left between two watches while the VM may
/// lag behind the store. A store with many changes answers each watch at once,
/// so without any delay the VMs would call it continuously.
const CATCH_UP_DELAY_SHARE: f64 = 0.1;

/// Share of the smallest update bound within which a change is read; the rest is
/// left for requests on their way to a server.
const READ_SHARE: f64 = 0.75;

/// Longest time between two responses to watches, as a share of the recovery
/// bound. The store ends a watch without changes by then, so that a missing
/// response shows that its connection is dead.
const WATCH_PERIOD_SHARE: f64 = 0.7;

/// Time after the end of a watch in which its response must begin, as a share of
/// the recovery bound. The rest of the bound is left for another connection.
const WATCH_TIMEOUT_SHARE: f64 = 0.15;

/// Recent call times after which a response is overdue.
const OVERDUE_CALL_TIMES: u32 = 3;

/// Calls that a change may need after the delay: a watch whose response doesn't
/// contain it because it is full, and the next one.
const CALLS_PER_CHANGE: u32 = 2;

/// Share of the longest recent call that the next, shorter one leaves.
const CALL_TIME_DECAY: f64 = 0.7;

/// Size of a response from which it may be full, in bytes, so that more changes
/// are waiting.
const LARGE_RESPONSE: usize = 64 * 1024;

/// Intervals of the calls to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallIntervals {
    /// Interval between two confirmations of the tables.
    pub(super) confirm_interval: Duration,
    /// Timeout of a call without a response.
    pub(super) call_timeout: Duration,
    /// Longest delay between two watches.
    watch_delay: Duration,
    /// Longest time between two responses to watches.
    watch_period: Duration,
    /// Shortest timeout of a watch after its end.
    min_watch_timeout: Duration,
    /// Time within which a change must be read.
    read_time: Duration,
    /// Duration of recent calls.
    call_time: Duration,
}

impl CallIntervals {
    /// Derives the intervals from the bounds in the settings.
    pub(super) fn new(settings: &EdgeSettings) -> Self {
        let validity = KeyConfirmation::new(settings.key_revocation_bound).validity();
        let update_bound = settings.table_update_bound.min(settings.drain_bound);
        let recovery_bound = settings.recovery_bound;
        let watch_period = recovery_bound
            .mul_f64(WATCH_PERIOD_SHARE)
            .max(MIN_CALL_TIME);
        Self {
            confirm_interval: validity.mul_f64(CONFIRM_SHARE).max(MIN_CALL_TIME),
            call_timeout: validity
                .mul_f64(CALL_TIMEOUT_SHARE)
                .clamp(MIN_CALL_TIME, MAX_CALL_TIMEOUT),
            watch_delay: update_bound.mul_f64(WATCH_DELAY_SHARE).min(watch_period),
            watch_period,
            min_watch_timeout: recovery_bound
                .mul_f64(WATCH_TIMEOUT_SHARE)
                .max(MIN_CALL_TIME),
            read_time: update_bound.mul_f64(READ_SHARE),
            call_time: Duration::ZERO,
        }
    }

    /// Records the duration of a call that the store answers at once.
    pub(super) fn record_call(&mut self, took: Duration) {
        self.call_time = took.max(self.call_time.mul_f64(CALL_TIME_DECAY));
    }

    /// Returns the delay before the next watch.
    ///
    /// It is short while the VM may lag behind the store, because calls failed
    /// recently or the last response was large.
    pub(super) fn delay_after_watch(&self, response_bytes: usize, recovering: bool) -> Duration {
        if recovering || response_bytes >= LARGE_RESPONSE {
            return self.watch_delay.mul_f64(CATCH_UP_DELAY_SHARE);
        }
        let reading = self.call_time * CALLS_PER_CHANGE;
        self.watch_delay.min(self.read_time.saturating_sub(reading))
    }

    /// Returns for how long the store may hold a watch open, given the time
    /// since its last response to one.
    pub(super) fn watch_wait(&self, age: Duration) -> Duration {
        self.watch_period.saturating_sub(age)
    }

    /// Returns the time after the end of a watch in which its response must
    /// begin. It doubles with each failure, because the store may be slow.
    pub(super) fn watch_timeout(&self, failures: u32) -> Duration {
        let overdue = self.call_time * OVERDUE_CALL_TIMES;
        self.min_watch_timeout
            .max(overdue)
            .saturating_mul(1 << failures.min(4))
            .min(MAX_CALL_TIMEOUT)
    }
}
