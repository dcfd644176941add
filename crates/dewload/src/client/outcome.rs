//! The outcome and the times of one request.

use std::time::Duration;

/// How a request ended, as observed by its caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The whole response was received and belongs to the request.
    Completed,
    /// The response has a status other than success; `ran` is the value of its
    /// `x-dewspring-ran` header, `-` if there is none.
    Refused { status: u16, ran: String },
    /// The response, or its absence, doesn't show whether the request ran.
    Unknown { reason: String },
    /// The response began and was cut off.
    Broken,
    /// The response belongs to another request or has the wrong content.
    Wrong,
    /// The target refused the connection.
    Unreachable,
}

/// Times of one response, relative to the planned send time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ResponseTimes {
    /// Time of the first token, or of the first byte for a plain service.
    pub(crate) first_token: Option<Duration>,
    /// Time of the last byte or of the error.
    pub(crate) end: Duration,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
}

/// The result of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ResponseRecord {
    pub(crate) outcome: RequestOutcome,
    /// Request ID in the response.
    pub(crate) request_id: Option<String>,
    pub(crate) times: ResponseTimes,
    /// Number of tokens received.
    pub(crate) tokens: u64,
}
