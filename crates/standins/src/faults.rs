//! Faults that a test orders from an engine or a plain service.

use std::time::{Duration, Instant};

use hyper::Response;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Deserializer};

use crate::web::{AnswerBody, error_answer};

/// Lowest speed that can be set, as a factor.
const MIN_SPEED: f64 = 0.001;

/// What a test changes while a server runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultOrder {
    speed: Option<f64>,
    leaving: Option<bool>,
    fail_next: Option<u64>,
    #[serde(default, deserialize_with = "present")]
    reset_after_tokens: Option<Option<u64>>,
    reset_before_answer: Option<u64>,
    refuse_next: Option<u64>,
    stall_ms: Option<u64>,
}

impl FaultOrder {
    /// Returns whether only a server that gives tokens can follow the order.
    pub(crate) fn is_about_tokens(&self) -> bool {
        self.reset_after_tokens.is_some()
    }
}

/// Tells a null from a field that isn't there.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Option<u64>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

/// The fault that meets one execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunFault {
    /// The execution goes well.
    None,
    /// It is answered with an error.
    Fail,
    /// Its connection is closed without an answer.
    ResetBeforeAnswer,
    /// Its answer is cut off after this many tokens.
    ResetAfterTokens(u64),
}

/// The faults in force and those that are to come.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    speed: f64,
    leaving: bool,
    refuse_next: u64,
    fail_next: u64,
    reset_before_answer: u64,
    reset_after_tokens: Option<u64>,
    stalled_until: Instant,
}

impl FaultPlan {
    pub(crate) fn new(speed: f64, now: Instant) -> Self {
        Self {
            speed,
            leaving: false,
            refuse_next: 0,
            fail_next: 0,
            reset_before_answer: 0,
            reset_after_tokens: None,
            stalled_until: now,
        }
    }

    pub(crate) fn apply(&mut self, order: &FaultOrder, now: Instant) {
        set(&mut self.speed, order.speed);
        set(&mut self.leaving, order.leaving);
        set(&mut self.refuse_next, order.refuse_next);
        set(&mut self.fail_next, order.fail_next);
        set(&mut self.reset_before_answer, order.reset_before_answer);
        set(&mut self.reset_after_tokens, order.reset_after_tokens);
        if let Some(stall) = order.stall_ms {
            self.stalled_until = now + Duration::from_millis(stall);
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(crate) fn speed(&self) -> f64 {
        self.speed.max(MIN_SPEED)
    }

    pub(crate) fn stalled_until(&self) -> Instant {
        self.stalled_until
    }

    /// Returns whether the next request is refused.
    pub(crate) fn take_refusal(&mut self) -> bool {
        take_one(&mut self.refuse_next)
    }

    /// Returns the fault of the next execution.
    pub(crate) fn take_run_fault(&mut self) -> RunFault {
        if take_one(&mut self.reset_before_answer) {
            return RunFault::ResetBeforeAnswer;
        }
        if take_one(&mut self.fail_next) {
            return RunFault::Fail;
        }
        self.reset_after_tokens
            .map_or(RunFault::None, RunFault::ResetAfterTokens)
    }
}

fn set<T: Copy>(field: &mut T, value: Option<T>) {
    *field = value.unwrap_or(*field);
}

/// Takes one from a counter of requests that are to go wrong.
pub(crate) fn take_one(counter: &mut u64) -> bool {
    let due = *counter > 0;
    *counter = counter.saturating_sub(1);
    due
}

/// A 503 answer for a request that is not run.
pub(crate) fn refusal() -> Response<AnswerBody> {
    let mut answer = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not run");
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

/// A 500 answer for a request that failed as it was ordered.
pub(crate) fn ordered_failure() -> Response<AnswerBody> {
    error_answer(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the failure that was ordered",
    )
}

/// Adds the header of a leaving server.
pub(crate) fn mark_leaving(answer: &mut Response<AnswerBody>, leaving: bool) {
    if leaving {
        answer
            .headers_mut()
            .insert("x-leaving", HeaderValue::from_static("true"));
    }
}
