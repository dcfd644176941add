//! Whether a failed attempt is tried again: a plain function of what happened.
//!
//! The rule that nothing may break: a request that may have run is sent again
//! only if its route is idempotent. The pool's budget of retries is kept by its
//! broker, which sees the retries of all entries.

use std::time::Duration;

use super::problem::Problem;

/// Most attempts at one request, the first one included.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// Time after which a caller may come back when no server could be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// How an attempt failed before its answer began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// Nothing was sent, or the server promised that nothing ran.
    NotRun(String),
    /// The server broke off; the request may have run.
    BrokenOff(String),
    /// The request's time is up; it may have run.
    TimedOut,
    /// The entry itself held the request back, so nothing was sent.
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

/// What is known of a request when an attempt at it has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryState {
    /// Attempts so far, the failed one included.
    pub attempts: usize,
    /// Whether the request may be sent more than once.
    pub idempotent: bool,
    /// Time left until the request is given up.
    pub time_left: Duration,
    /// Whether the pool has a server that has not failed this request.
    pub server_left: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryStep {
    /// Ask for another grant.
    Retry,
    /// Give the caller this final answer.
    GiveUp(Problem),
}

/// Decides what follows a failed attempt.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use dewspring::entry::{AttemptFailure, RetryState, RetryStep, next_step};
///
/// let state = RetryState {
///     attempts: 1,
///     idempotent: false,
///     time_left: Duration::from_secs(5),
///     server_left: true,
/// };
/// let broken = AttemptFailure::BrokenOff("reset".into());
/// assert!(matches!(next_step(&broken, state), RetryStep::GiveUp(_)));
/// let unsent = AttemptFailure::NotRun("refused".into());
/// assert_eq!(next_step(&unsent, state), RetryStep::Retry);
/// ```
pub fn next_step(failure: &AttemptFailure, state: RetryState) -> RetryStep {
    let may_repeat = match failure {
        AttemptFailure::NotRun(_) => true,
        AttemptFailure::BrokenOff(_) => state.idempotent,
        AttemptFailure::TimedOut | AttemptFailure::Withheld(_) => false,
    };
    let has_room = state.attempts < MAX_ATTEMPTS && state.server_left;
    if may_repeat && has_room && !state.time_left.is_zero() {
        return RetryStep::Retry;
    }
    RetryStep::GiveUp(match failure {
        AttemptFailure::NotRun(_) | AttemptFailure::Withheld(_) => {
            Problem::Unreachable(UNREACHABLE_RETRY)
        }
        AttemptFailure::BrokenOff(detail) => Problem::Unknown(detail.clone()),
        AttemptFailure::TimedOut => Problem::TimedOut,
    })
}
