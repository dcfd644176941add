//! Who is refused, and when to come back.
//!
//! A request is held only while it is likely to be sent in time; past that it
//! is refused at once, so that its caller can come back while time is left. The
//! time to come back is spread, so that those refused together don't return
//! together. A caller that has come back is held longer and isn't refused for
//! others that wait, because it can't come back once more.
//!
//! It answers bursts of one class beyond the capacity of the servers.

use std::time::Duration;

use crate::clock::Moment;

/// Part of the latency target for which a request may wait for a server.
const WAIT_SHARE: f64 = 0.35;

/// Part of the latency target for which a caller may wait that was refused
/// before and has come back.
const RETURNED_WAIT_SHARE: f64 = 0.6;

/// Part of a route's timeout below which a caller's time shows that it was
/// refused before; a first request has nearly all of it.
const RETURNED_SHARE: f64 = 0.94;

/// Part of the longest wait at which a queue counts as blocked for newcomers.
const BLOCKED_SHARE: f64 = 0.6;

/// Shortest time after which a refused caller may come back.
const RETURN_MIN: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller is told to come back.
const RETURN_MAX: Duration = Duration::from_millis(1600);

/// Part of the time that a caller has left which its return may take; callers
/// honour up to a third.
const RETURN_SHARE: f64 = 0.3;

/// Returns whether a caller seems to have come back after a refusal.
///
/// # Examples
///
/// ```
/// use dewedge::policy::refusal::has_returned;
/// use std::time::Duration;
///
/// assert!(has_returned(Duration::from_secs(4), Duration::from_secs(5)));
/// assert!(!has_returned(Duration::from_secs(5), Duration::from_secs(5)));
/// ```
pub fn has_returned(time_allowed: Duration, timeout: Duration) -> bool {
    time_allowed < timeout.mul_f64(RETURNED_SHARE)
}

/// Returns how long a request may wait for a server.
///
/// # Examples
///
/// ```
/// use dewedge::policy::refusal::longest_wait;
/// use std::time::Duration;
///
/// let wait = longest_wait(Duration::from_secs(1), Duration::from_secs(3), false);
/// assert_eq!(wait, Duration::from_millis(350));
/// ```
pub fn longest_wait(latency_target: Duration, time_left: Duration, returned: bool) -> Duration {
    let share = if returned {
        RETURNED_WAIT_SHARE
    } else {
        WAIT_SHARE
    };
    latency_target.min(time_left).mul_f64(share)
}

/// Returns whether a newcomer is refused because requests that go before it
/// have waited long already.
///
/// `oldest` is the arrival of the oldest such request.
pub fn is_blocked(oldest: Option<Moment>, wait: Duration, now: Moment) -> bool {
    oldest.is_some_and(|arrived| now.saturating_sub(arrived) > wait.mul_f64(BLOCKED_SHARE))
}

/// Returns when a refused caller should come back.
///
/// `draw` is between 0 and 1 and spreads the returns.
pub fn return_after(time_left: Duration, draw: f64) -> Duration {
    let most = time_left
        .mul_f64(RETURN_SHARE)
        .clamp(RETURN_MIN, RETURN_MAX);
    RETURN_MIN + (most - RETURN_MIN).mul_f64(draw.clamp(0.0, 1.0))
}
