//! What came of one request.

use std::time::Duration;

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The whole answer came and is the request's own.
    Completed,
    /// The answer is a status other than success; `ran` is what the answer
    /// says of the execution, `-` if it says nothing.
    Refused { status: u16, ran: String },
    /// The answer, or its absence, leaves open whether the request ran.
    Unknown { reason: String },
    /// The answer began and was cut off.
    Broken,
    /// The answer is another request's, or has a wrong content.
    Wrong,
    /// Nobody listened at the target.
    Unreachable,
}

/// Times of one answer, from the intended time of sending.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct AnswerTimes {
    /// First token; for a plain service, first byte.
    pub(crate) first_token: Option<Duration>,
    /// Last byte, or the end by an error.
    pub(crate) end: Duration,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
}

/// Everything that is kept of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerRecord {
    pub(crate) outcome: RequestOutcome,
    /// Identity that the answer gives.
    pub(crate) request_id: Option<String>,
    pub(crate) times: AnswerTimes,
    /// Tokens that came.
    pub(crate) tokens: u64,
}
