//! Responses that the entry itself produces for refusals and errors, in the
//! problem format of RFC 9457.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::{Rng, RngExt};
use serde::Serialize;

use super::body::ResponseBody;
use super::headers::{RAN, REQUEST_ID, RETRY_AFTER_MS};
use crate::broker::{Refusal, RefusalReason};
use crate::ids::RequestId;

/// Maximum number of characters of a caller's text that a response or a log
/// line quotes.
const MAX_QUOTED_CHARS: usize = 128;

const NANOS_PER_SECOND: f64 = 1e9;

const PROBLEM_TYPE: &str = "application/problem+json";

/// Whether the caller's request ran at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RanState {
    /// It certainly didn't run.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

impl RanState {
    /// Returns the value of the header `x-dewspring-ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Why a request failed, as reported to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The request can't be parsed.
    Malformed(String),
    /// No route has this path.
    UnknownPath,
    /// No route has this model.
    UnknownModel(String),
    /// No route of this model has this label.
    UnknownLabel(String),
    /// The routes of this path have other methods.
    MethodNotAllowed,
    /// The body is larger than the route's limit, in bytes.
    BodyTooLarge(u64),
    /// The body wasn't received within the body timeout.
    SlowSender,
    /// The request was refused and didn't run.
    Refused(Refusal),
    /// This VM has no configuration that it may serve with; the caller may retry
    /// after this time.
    NotReady(Duration),
    /// No server ran the request; the caller may retry after this time.
    Unreachable(Duration),
    /// The connection to a server failed; the request may have run.
    Unknown(String),
    /// The request's timeout passed at a server; the request may have run.
    TimedOut,
    /// A request with the same key is running, or its outcome is unknown.
    InProgress,
    /// The key was used for another request.
    KeyReused,
    /// The key can't be claimed, so the request was not run.
    KeyRefused {
        /// Why it can't be claimed.
        detail: String,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Returns the start of a text that a caller controls.
///
/// Problems are kept in the decision log, where long names in many requests
/// would use too much memory.
pub(super) fn quoted_start(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.into(),
    }
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    request_id: &'a str,
}

/// The constant fields of a problem.
struct ProblemKind {
    status: StatusCode,
    slug: &'static str,
    title: &'static str,
}

impl Problem {
    /// Returns whether the request ran.
    pub fn ran(&self) -> RanState {
        match self {
            Self::Unknown(_) | Self::TimedOut | Self::InProgress => RanState::Unknown,
            _ => RanState::No,
        }
    }

    /// Builds the response that reports the problem.
    pub fn to_response(&self, request: &RequestId) -> Response<ResponseBody> {
        let kind = self.kind();
        let body = ProblemBody {
            r#type: format!("urn:dewspring:problem:{}", kind.slug),
            title: kind.title,
            status: kind.status.as_u16(),
            detail: &self.detail(),
            request_id: request,
        };
        let text = serde_json::to_vec(&body).expect("a problem is plain text and numbers");
        let mut response = Response::new(ResponseBody::ready(text));
        *response.status_mut() = kind.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        headers.insert(RAN, HeaderValue::from_static(self.ran().as_str()));
        if let Ok(value) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_ID, value);
        }
        if let Some(retry_after) = self.retry_after() {
            let seconds = whole_seconds(retry_after, &mut rand::rng());
            let seconds = seconds.max(self.min_retry_seconds());
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert(RETRY_AFTER_MS, (retry_after.as_millis() as u64).into());
        }
        response
    }

    fn kind(&self) -> ProblemKind {
        let (status, slug, title) = match self {
            Self::Malformed(_) => (400, "malformed", "The request can't be read"),
            Self::UnknownPath => (404, "unknown-path", "No route has this path"),
            Self::UnknownModel(_) => (404, "unknown-model", "No route has this model"),
            Self::UnknownLabel(_) => (404, "unknown-label", "No route has this label"),
            Self::MethodNotAllowed => (405, "method", "The path takes other methods"),
            Self::BodyTooLarge(_) => (413, "too-large", "The body is too large"),
            Self::SlowSender => (408, "slow-sender", "The body didn't come in time"),
            Self::Refused(refusal) => refusal_status(refusal.reason),
            Self::NotReady(_) => (503, "not-ready", "The daemon is not ready"),
            Self::Unreachable(_) => (503, "unreachable", "No server could be reached"),
            Self::Unknown(_) => (502, "unknown", "The request may have run"),
            Self::TimedOut => (504, "timeout", "The request may have run"),
            Self::InProgress => (409, "in-progress", "A request with this key was sent"),
            Self::KeyReused => (422, "key-reused", "The key belongs to another request"),
            Self::KeyRefused { .. } => (503, "key-refused", "The key can't be claimed"),
        };
        ProblemKind {
            status: StatusCode::from_u16(status).expect("the status is in range"),
            slug,
            title,
        }
    }

    fn detail(&self) -> String {
        match self {
            Self::Malformed(detail) | Self::Unknown(detail) => detail.clone(),
            Self::UnknownModel(model) => format!("The model \"{model}\" is in no route."),
            Self::UnknownLabel(label) => format!("The label \"{label}\" is in no route."),
            Self::BodyTooLarge(limit) => format!("The limit is {limit} bytes."),
            Self::Refused(refusal) => format!("Refused: {:?}. Nothing ran.", refusal.reason),
            Self::KeyRefused { detail, .. } => detail.clone(),
            Self::NotReady(_) | Self::Unreachable(_) => "Nothing ran.".into(),
            Self::InProgress => "It is running, or its outcome isn't known.".into(),
            _ => String::new(),
        }
    }

    /// Returns the minimum value of the header `Retry-After`, in seconds.
    ///
    /// It is 0 if only this VM refuses requests, because another VM may accept
    /// the request at once.
    fn min_retry_seconds(&self) -> u64 {
        match self {
            Self::NotReady(_) => 0,
            Self::Refused(refusal) if refusal.reason == RefusalReason::ShuttingDown => 0,
            _ => 1,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after),
            Self::NotReady(retry_after) | Self::Unreachable(retry_after) => Some(*retry_after),
            Self::KeyRefused { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }
}

/// Rounds a duration to whole seconds at random, up with the probability of its
/// fraction of a second.
///
/// Callers that read only whole seconds then also retry at different times, and
/// after the same time on average.
fn whole_seconds(time: Duration, generator: &mut impl Rng) -> u64 {
    let fraction = f64::from(time.subsec_nanos()) / NANOS_PER_SECOND;
    time.as_secs() + u64::from(generator.random_bool(fraction))
}

fn refusal_status(reason: RefusalReason) -> (u16, &'static str, &'static str) {
    match reason {
        RefusalReason::Overloaded => (503, "overloaded", "The daemon can't take more"),
        RefusalReason::NoServer => (503, "no-server", "No server takes work"),
        RefusalReason::QueueFull => (429, "queue-full", "The queue has no room"),
        RefusalReason::TargetMissed => (429, "target-missed", "The target can't be met"),
        RefusalReason::TimedOut => (429, "timed-out", "No server was free in time"),
        RefusalReason::ShuttingDown => (503, "shutting-down", "The daemon is shutting down"),
        RefusalReason::CrashesServers => (503, "crashes-servers", "Requests like it crash servers"),
    }
}
