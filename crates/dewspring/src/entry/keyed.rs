//! Keyed requests, which run at most once even if callers repeat them.
//!
//! A request that carries an idempotency key and whose route isn't idempotent
//! claims its key before it is sent. The claim is released if the request
//! certainly did not run, completed with the outcome if it ran, and kept if
//! that is unknown.

use std::hash::Hasher;
use std::time::Instant;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use tokio::sync::oneshot;

use super::body::ResponseBody;
use super::headers::{IDEMPOTENCY_KEY, RAN, REPLAYED};
use super::problem::{Problem, RanState};
use crate::claims::{
    ClaimHandle, ClaimKey, ClaimOutcome, ClaimRequest, ClaimToken, RecordedBody, RecordedOutcome,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Maximum size of a response body that is recorded, in bytes.
const MAX_CAPTURED_BYTES: usize = 1024;

const JSON: &str = "application/json";

/// The result of claiming a key.
#[derive(Debug)]
pub(super) enum ClaimDecision {
    /// The request may run, once.
    Run(KeyedClaim),
    /// The request ran before; this is its recorded response.
    Replay(Response<ResponseBody>),
}

/// The claim of one keyed request, with the start of the response body.
#[derive(Debug)]
pub(super) struct KeyedClaim {
    handle: ClaimHandle,
    token: ClaimToken,
    captured: Vec<u8>,
    /// Length of the response body so far, in bytes.
    length: u64,
}

/// The body that replaces a recorded response that was too long to keep.
#[derive(Serialize)]
struct ReplayBody {
    replayed: bool,
    body_bytes: u64,
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// Returns [`Problem::Malformed`] if the key is empty, too long or not text.
pub(super) fn idempotency_key(parts: &Parts) -> Result<Option<String>, Problem> {
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => {
            let detail = format!("An idempotency key has 1 to {MAX_KEY_BYTES} ASCII characters.");
            Err(Problem::Malformed(detail))
        }
    }
}

/// Claims the right to run a keyed request.
///
/// # Errors
///
/// Returns the [`Problem`] of a key that can't be claimed now. This request has
/// not run then, but an earlier one with the same key may have.
pub(super) async fn claim_key(
    handle: &ClaimHandle,
    workspace: &str,
    key: &str,
    fingerprint: u64,
    deadline: Instant,
) -> Result<ClaimDecision, Problem> {
    let request = ClaimRequest {
        key: ClaimKey::new(workspace, key),
        fingerprint,
        declared_minute: None,
        deadline,
    };
    let (reply, outcome) = oneshot::channel();
    handle.claim(request, reply);
    // A ledger that has stopped has not claimed the key.
    let outcome = outcome.await.unwrap_or(ClaimOutcome::Overloaded {
        retry_after: std::time::Duration::from_secs(1),
    });
    match outcome {
        ClaimOutcome::Claimed(token) => Ok(ClaimDecision::Run(KeyedClaim {
            handle: handle.clone(),
            token,
            captured: Vec::new(),
            length: 0,
        })),
        ClaimOutcome::AlreadyRun(recorded) => Ok(ClaimDecision::Replay(replay(recorded))),
        ClaimOutcome::InProgress => Err(Problem::InProgress),
        ClaimOutcome::KeyReused => Err(Problem::KeyReused),
        ClaimOutcome::Expired => Err(Problem::Malformed("The key is too old.".into())),
        ClaimOutcome::StoreUnavailable { retry_after } => Err(Problem::KeyRefused {
            detail: "The platform's store gave no answer. Nothing was sent.".into(),
            retry_after,
        }),
        ClaimOutcome::Overloaded { retry_after } => Err(Problem::KeyRefused {
            detail: "Too many keys are being claimed. Nothing was sent.".into(),
            retry_after,
        }),
    }
}

/// Returns a hash of the method, path, query and body of a request, to detect
/// that a key is reused for another request.
pub(super) fn request_fingerprint(parts: &Parts, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(parts.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(parts.uri.path().as_bytes());
    hasher.write_u8(0);
    hasher.write(parts.uri.query().unwrap_or_default().as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    hasher.finish()
}

impl KeyedClaim {
    /// Returns whether the claim is still recent enough to send the request.
    pub(super) fn may_send(&self) -> bool {
        self.token.may_send(Instant::now())
    }

    /// Captures a chunk of the response body.
    pub(super) fn capture(&mut self, chunk: &[u8]) {
        let capacity = MAX_CAPTURED_BYTES.saturating_sub(self.captured.len());
        self.captured
            .extend_from_slice(&chunk[..chunk.len().min(capacity)]);
        self.length += chunk.len() as u64;
    }

    /// Releases the claim of a request that did not run.
    pub(super) fn release(self) {
        if self.handle.release(self.token).is_err() {
            log::warn!("entry: A claim was not released; its outcome stays unknown.");
        }
    }

    /// Records the outcome of a request whose response is complete.
    pub(super) fn record(self, status: StatusCode, content_type: &str) {
        let is_whole = self.captured.len() as u64 == self.length;
        let outcome = if is_whole {
            RecordedOutcome::new(status.as_u16(), content_type, &self.captured)
        } else {
            RecordedOutcome {
                status: status.as_u16(),
                body: RecordedBody::Length(self.length),
            }
        };
        if self.handle.record(self.token, outcome).is_err() {
            log::warn!("entry: An outcome was not recorded; it stays unknown.");
        }
    }
}

/// Builds the response to a repeated request from the recorded outcome.
fn replay(recorded: RecordedOutcome) -> Response<ResponseBody> {
    let (content_type, body) = match recorded.body {
        RecordedBody::Whole {
            content_type,
            bytes,
        } => (content_type, bytes),
        RecordedBody::Length(body_bytes) => {
            let body = ReplayBody {
                replayed: true,
                body_bytes,
            };
            let text = serde_json::to_vec(&body).expect("a replay is plain data");
            (JSON.into(), text)
        }
    };
    let mut response = Response::new(ResponseBody::ready(body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(RAN, HeaderValue::from_static(RanState::Yes.as_str()));
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
