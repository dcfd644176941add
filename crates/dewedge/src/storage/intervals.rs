//! Intervals of the calls to the store, derived from the settings.
//!
//! The main invariants: a lost confirmation is requested again before the
//! previous one expires, and a confirmation shows within the update bound that a
//! watch has missed a change.

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

/// Share of the smallest update bound after which the tables are confirmed again.
/// A confirmation shows whether the watch has missed a change; the rest of the
/// bound is left for reading it.
const CONFIRM_UPDATE_SHARE: f64 = 0.85;

/// Share of the recovery bound after which the tables are confirmed again, so that
/// calls on a dead connection time out within the bound.
const CONFIRM_RECOVERY_SHARE: f64 = 0.64;

/// Shortest time after which a response is overdue that the store has sent.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(100);

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
        let confirm_interval = validity
            .mul_f64(CONFIRM_SHARE)
            .min(update_bound.mul_f64(CONFIRM_UPDATE_SHARE))
            .min(settings.recovery_bound.mul_f64(CONFIRM_RECOVERY_SHARE));
        Self {
            confirm_interval: confirm_interval.max(MIN_CALL_TIME),
            call_timeout: validity
                .mul_f64(CALL_TIMEOUT_SHARE)
                .clamp(MIN_CALL_TIME, MAX_CALL_TIMEOUT),
            watch_delay: update_bound.mul_f64(WATCH_DELAY_SHARE),
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

    /// Returns the time after which a response is overdue that the store has sent
    /// already.
    pub(super) fn overdue_time(&self) -> Duration {
        (self.call_time * OVERDUE_CALL_TIMES).max(MIN_OVERDUE_TIME)
    }
}
