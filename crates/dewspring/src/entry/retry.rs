//! Decides whether a failed attempt is retried, as a pure function.
//!
//! Invariant: a request that may have run is sent again only if its route is
//! idempotent. The retry budget of a pool is enforced by its broker, because
//! the broker knows the retries of all entries.

use std::time::Duration;

use super::problem::Problem;

/// Maximum number of attempts at one request, including the first.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// Retry delay that a caller receives when no server could be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// How an attempt failed before its response started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The request was not sent, or the server states that it did not run it.
    NotRun(String),
    /// The connection failed; the request may have run.
    BrokenOff(String),
    /// The request's timeout passed; it may have run.
    TimedOut,
    /// The entry itself decided not to send the request.
    Withheld(String),
}

impl AttemptFailure {
    /// Returns whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::NotRun(_) | Self::Withheld(_) => false,
            Self::BrokenOff(_) | Self::TimedOut => true,
        }
    }
}

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryState {
    /// Number of attempts so far, including the failed one.
    pub attempts: usize,
    /// Whether the request may be sent more than once.
    pub idempotent: bool,
    /// Time left until the request's timeout.
    pub time_left: Duration,
    /// Whether the pool has a server at which no attempt has failed.
    pub has_other_server: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Request another grant.
    Retry,
    /// Respond to the caller with this problem.
    GiveUp(Problem),
}

/// Decides what to do after a failed attempt.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dewspring::entry::{AttemptFailure, RetryDecision, RetryState, decide_retry};
///
/// let state = RetryState {
///     attempts: 1,
///     idempotent: false,
///     time_left: Duration::from_secs(5),
///     has_other_server: true,
/// };
/// let broken = AttemptFailure::BrokenOff("reset".into());
/// assert!(matches!(decide_retry(&broken, state), RetryDecision::GiveUp(_)));
/// let unsent = AttemptFailure::NotRun("refused".into());
/// assert_eq!(decide_retry(&unsent, state), RetryDecision::Retry);
/// ```
pub fn decide_retry(failure: &AttemptFailure, state: RetryState) -> RetryDecision {
    let may_repeat = match failure {
        AttemptFailure::NotRun(_) => true,
        AttemptFailure::BrokenOff(_) => state.idempotent,
        AttemptFailure::TimedOut | AttemptFailure::Withheld(_) => false,
    };
    let has_attempt_left = state.attempts < MAX_ATTEMPTS && state.has_other_server;
    if may_repeat && has_attempt_left && !state.time_left.is_zero() {
        return RetryDecision::Retry;
    }
    RetryDecision::GiveUp(match failure {
        AttemptFailure::NotRun(_) | AttemptFailure::Withheld(_) => {
            Problem::Unreachable(UNREACHABLE_RETRY)
        }
        AttemptFailure::BrokenOff(detail) => Problem::Unknown(detail.clone()),
        AttemptFailure::TimedOut => Problem::TimedOut,
    })
}
