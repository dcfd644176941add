//! Intervals of the calls to the store, derived from the settings.
//!
//! The main invariant: a lost confirmation is requested again before the
//! previous one expires.

use std::time::Duration;

use crate::keys::KeyConfirmation;
use crate::settings::EdgeSettings;

/// Share of the validity of a confirmation after which the tables are confirmed
/// again.
const CONFIRM_SHARE: f64 = 0.64;

/// Share of the validity after which a confirmation without a response times
/// out. After [`CONFIRM_SHARE`] and this, a seventh is left for a second try,
/// so that one lost call invalidates no key.
const CONFIRM_TIMEOUT_SHARE: f64 = 0.22;

/// Shortest interval or timeout, for bounds that are very short or disabled.
const MIN_CONFIRM_TIME: Duration = Duration::from_millis(300);

/// Delay between two watches, as a share of the smallest update bound. Changes
/// accumulate meanwhile, since a call costs the same for one change as for
/// many. More than half of the bound is left for a slow store.
const WATCH_DELAY_SHARE: f64 = 0.45;

/// Intervals of the calls to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CallIntervals {
    /// Interval between two confirmations of the tables.
    pub(super) confirm_interval: Duration,
    /// Timeout of a confirmation.
    pub(super) confirm_timeout: Duration,
    /// Delay between two watches.
    pub(super) watch_delay: Duration,
}

impl CallIntervals {
    /// Derives the intervals from the bounds in the settings.
    pub(super) fn new(settings: &EdgeSettings) -> Self {
        let validity = KeyConfirmation::new(settings.key_revocation_bound).validity();
        let update_bound = settings.table_update_bound.min(settings.drain_bound);
        Self {
            confirm_interval: validity.mul_f64(CONFIRM_SHARE).max(MIN_CONFIRM_TIME),
            confirm_timeout: validity
                .mul_f64(CONFIRM_TIMEOUT_SHARE)
                .max(MIN_CONFIRM_TIME),
            watch_delay: update_bound.mul_f64(WATCH_DELAY_SHARE),
        }
    }
}
