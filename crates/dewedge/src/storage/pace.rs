//! How often the store is called, from the bounds of the settings.
//!
//! The main invariant: a confirmation that is lost is asked again before the last
//! one has grown old.

use std::time::Duration;

use crate::keys::KeyClock;
use crate::settings::EdgeSettings;

/// Part of the time for which a confirmation holds after which the tables are
/// confirmed again.
const CONFIRM_SHARE: f64 = 0.64;

/// Part of that time after which a confirmation without an answer is given up.
/// With [`CONFIRM_SHARE`] a seventh is left to ask once more, so that one lost
/// call takes no key away.
const CONFIRM_TIMEOUT_SHARE: f64 = 0.22;

/// Shortest of these times, for bounds that are very short or not in force.
const MIN_CONFIRM_TIME: Duration = Duration::from_millis(300);

/// Pause between two watches, in which changes gather, in parts of the smallest
/// bound of a change; a call costs as much with one change as with many. More
/// than half of the bound is left for a store that answers slowly.
const WATCH_PAUSE_SHARE: f64 = 0.45;

/// How often the store is called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StorePace {
    /// Time between two confirmations of the tables.
    pub(super) confirm_interval: Duration,
    /// Time after which a confirmation without an answer is given up.
    pub(super) confirm_timeout: Duration,
    /// Pause between two watches.
    pub(super) watch_pause: Duration,
}

impl StorePace {
    /// Derives the pace from the bounds of the settings.
    pub(super) fn new(settings: &EdgeSettings) -> Self {
        let held = KeyClock::new(settings.key_revocation_bound).bound();
        let change = settings.table_update_bound.min(settings.drain_bound);
        Self {
            confirm_interval: held.mul_f64(CONFIRM_SHARE).max(MIN_CONFIRM_TIME),
            confirm_timeout: held.mul_f64(CONFIRM_TIMEOUT_SHARE).max(MIN_CONFIRM_TIME),
            watch_pause: change.mul_f64(WATCH_PAUSE_SHARE),
        }
    }
}
