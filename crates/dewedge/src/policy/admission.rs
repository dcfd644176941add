//! Decides which requests are refused, and when their callers should retry.
//!
//! A request waits in the queue only while it is likely to be sent in time;
//! otherwise it is refused at once, so that its caller can retry while it still
//! has time. The retry delay is spread at random, so that callers refused
//! together don't retry together. A caller's retry may wait longer and isn't
//! refused because of other waiting requests, since the caller has no time for
//! a second retry.
//!
//! This handles bursts of one class that exceed the capacity of the servers.

use std::time::Duration;

use crate::clock::Moment;

/// Share of the latency target for which a request may wait for a server.
const MAX_WAIT_SHARE: f64 = 0.35;

/// Share of the latency target for which a caller's retry may wait for a
/// server.
const CALLER_RETRY_WAIT_SHARE: f64 = 0.6;

/// Share of a route's timeout below which a caller's remaining time marks its
/// request as a retry; a first request has nearly all of it.
const CALLER_RETRY_SHARE: f64 = 0.94;

/// Share of the longest permitted wait after which a queue counts as blocked
/// for new requests.
const BLOCKED_SHARE: f64 = 0.6;

/// Shortest retry delay for a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest retry delay for a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1600);

/// Share of the caller's remaining time that the retry delay may use; callers
/// honour up to a third.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Returns whether a request seems to be a caller's retry after a refusal.
///
/// # Examples
///
/// ```
/// use dewedge::policy::admission::is_caller_retry;
/// use std::time::Duration;
///
/// assert!(is_caller_retry(Duration::from_secs(4), Duration::from_secs(5)));
/// assert!(!is_caller_retry(Duration::from_secs(5), Duration::from_secs(5)));
/// ```
pub fn is_caller_retry(caller_timeout: Duration, timeout: Duration) -> bool {
    caller_timeout < timeout.mul_f64(CALLER_RETRY_SHARE)
}

/// Returns how long a request may wait for a server.
///
/// # Examples
///
/// ```
/// use dewedge::policy::admission::max_wait;
/// use std::time::Duration;
///
/// let wait = max_wait(Duration::from_secs(1), Duration::from_secs(3), false);
/// assert_eq!(wait, Duration::from_millis(350));
/// ```
pub fn max_wait(latency_target: Duration, time_left: Duration, caller_retry: bool) -> Duration {
    let share = if caller_retry {
        CALLER_RETRY_WAIT_SHARE
    } else {
        MAX_WAIT_SHARE
    };
    latency_target.min(time_left).mul_f64(share)
}

/// Returns whether a new request is refused because requests ahead of it have
/// already waited too long.
///
/// `oldest` is the arrival time of the oldest of those, and `wait` is how long
/// the new request may wait.
pub fn is_queue_blocked(oldest: Option<Moment>, wait: Duration, now: Moment) -> bool {
    oldest.is_some_and(|arrived| now.saturating_sub(arrived) > wait.mul_f64(BLOCKED_SHARE))
}

/// Returns the delay after which a refused caller should retry.
///
/// `jitter` is between 0 and 1 and spreads the delays.
pub fn retry_after(time_left: Duration, jitter: f64) -> Duration {
    let longest = time_left
        .mul_f64(RETRY_AFTER_SHARE)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    MIN_RETRY_AFTER + (longest - MIN_RETRY_AFTER).mul_f64(jitter.clamp(0.0, 1.0))
}
