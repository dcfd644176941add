//! Faults that a test injects into an engine or a plain service.

use std::time::{Duration, Instant};

use hyper::Response;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Deserializer};

use crate::web::{ResponseBody, error_response};

/// Lowest speed that can be set, as a factor.
const MIN_SPEED: f64 = 0.001;

/// Body of a `/control` request, which changes the faults of a running server.
///
/// Absent fields leave the current values unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultControl {
    speed: Option<f64>,
    leaving: Option<bool>,
    fail_next: Option<u64>,
    #[serde(default, deserialize_with = "present")]
    reset_after_tokens: Option<Option<u64>>,
    reset_before_answer: Option<u64>,
    refuse_next: Option<u64>,
    stall_ms: Option<u64>,
}

impl FaultControl {
    /// Returns whether a fault is set that only a server that generates tokens
    /// supports.
    pub(crate) fn requires_tokens(&self) -> bool {
        self.reset_after_tokens.is_some()
    }
}

/// Distinguishes a null (`Some(None)`) from an absent field (`None`).
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Option<u64>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

/// The fault of one execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExecutionFault {
    /// The execution succeeds.
    None,
    /// The response is an error.
    Fail,
    /// The connection is closed without a response.
    ResetBeforeAnswer,
    /// The response is cut off after this many tokens.
    ResetAfterTokens(u64),
}

/// The faults in effect, and counters of the requests that are to fail.
#[derive(Clone, Debug)]
pub(crate) struct FaultState {
    speed: f64,
    leaving: bool,
    refuse_next: u64,
    fail_next: u64,
    reset_before_answer: u64,
    reset_after_tokens: Option<u64>,
    stalled_until: Instant,
}

impl FaultState {
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

    pub(crate) fn apply(&mut self, control: &FaultControl, now: Instant) {
        set_if_given(&mut self.speed, control.speed);
        set_if_given(&mut self.leaving, control.leaving);
        set_if_given(&mut self.refuse_next, control.refuse_next);
        set_if_given(&mut self.fail_next, control.fail_next);
        set_if_given(&mut self.reset_before_answer, control.reset_before_answer);
        set_if_given(&mut self.reset_after_tokens, control.reset_after_tokens);
        if let Some(stall) = control.stall_ms {
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

    /// Returns whether the current request is refused, and counts it.
    pub(crate) fn consume_refusal(&mut self) -> bool {
        consume_one(&mut self.refuse_next)
    }

    /// Returns the fault of the execution that starts now, and counts it.
    pub(crate) fn next_execution_fault(&mut self) -> ExecutionFault {
        if consume_one(&mut self.reset_before_answer) {
            return ExecutionFault::ResetBeforeAnswer;
        }
        if consume_one(&mut self.fail_next) {
            return ExecutionFault::Fail;
        }
        self.reset_after_tokens
            .map_or(ExecutionFault::None, ExecutionFault::ResetAfterTokens)
    }
}

fn set_if_given<T: Copy>(field: &mut T, value: Option<T>) {
    *field = value.unwrap_or(*field);
}

/// Decrements a counter of requests that are to fail; returns false if it was
/// already 0.
pub(crate) fn consume_one(counter: &mut u64) -> bool {
    let due = *counter > 0;
    *counter = counter.saturating_sub(1);
    due
}

/// Returns a 503 response for a request that is not executed.
pub(crate) fn refusal_response() -> Response<ResponseBody> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Returns a 500 response for an execution with an injected failure.
pub(crate) fn injected_failure() -> Response<ResponseBody> {
    error_response(
        StatusCode::INTERNAL_SERVER_ERROR,
        "the failure that was ordered",
    )
}

/// Adds the `x-leaving` header if the server is leaving.
pub(crate) fn add_leaving_header(response: &mut Response<ResponseBody>, leaving: bool) {
    if leaving {
        response
            .headers_mut()
            .insert("x-leaving", HeaderValue::from_static("true"));
    }
}
