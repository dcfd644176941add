//! Who is refused, and when to come back.
//!
//! A request is held only while it is likely to be sent in time; past that it
//! is refused at once, so that its caller can come back while time is left. The
//! time to come back is spread, so that those refused together don't return
//! together.
//!
//! It answers bursts of one class beyond the capacity of the servers.

use std::time::Duration;

use crate::clock::Moment;

/// Part of the latency target for which a request may wait for a server.
const WAIT_SHARE: f64 = 0.35;

/// Part of the longest wait at which a queue counts as blocked for newcomers.
const BLOCKED_SHARE: f64 = 0.6;

/// Shortest time after which a refused caller may come back.
const RETURN_MIN: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller is told to come back.
const RETURN_MAX: Duration = Duration::from_millis(1600);

/// Part of the time that a caller has left which its return may take; callers
/// honour up to a third.
const RETURN_SHARE: f64 = 0.3;

/// Returns how long a request may wait for a server.
///
/// # Examples
///
/// ```
/// use dewedge::policy::refusal::longest_wait;
/// use std::time::Duration;
///
/// let wait = longest_wait(Duration::from_secs(1), Duration::from_secs(3));
/// assert_eq!(wait, Duration::from_millis(350));
/// ```
pub fn longest_wait(latency_target: Duration, time_left: Duration) -> Duration {
    latency_target
        .mul_f64(WAIT_SHARE)
        .min(time_left.mul_f64(WAIT_SHARE))
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
