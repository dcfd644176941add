//! Keyed requests, which run at most once whoever repeats them.
//!
//! A request of a route that isn't idempotent and that carries an idempotency
//! key is claimed before anything is sent. The claim is given back when the
//! request surely did not run, filled with the outcome when it did, and left
//! standing when nobody can say.

use std::hash::Hasher;
use std::time::Instant;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use tokio::sync::oneshot;

use super::body::AnswerBody;
use super::headers::{IDEMPOTENCY_KEY, RAN, REPLAYED};
use super::problem::{Problem, RanState};
use crate::claims::{
    ClaimHandle, ClaimKey, ClaimOutcome, ClaimRequest, ClaimToken, RecordedBody, RecordedOutcome,
};

/// Longest key that a caller may send, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Number of bytes of an answer that are kept for its record.
const CAPTURED_BYTES: usize = 1024;

const JSON: &str = "application/json";

/// What a keyed request is told before it runs.
#[derive(Debug)]
pub(super) enum KeyedStep {
    /// It may run, once.
    Run(KeyedClaim),
    /// It ran before; this is what is known of its answer.
    Replay(Response<AnswerBody>),
}

/// The claim of one keyed request, with the start of its answer.
#[derive(Debug)]
pub(super) struct KeyedClaim {
    handle: ClaimHandle,
    token: ClaimToken,
    captured: Vec<u8>,
    /// Length of the whole answer so far, in bytes.
    length: u64,
}

/// What a repeat gets in place of an answer that was too long to keep.
#[derive(Serialize)]
struct ReplayBody {
    replayed: bool,
    body_bytes: u64,
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// [`Problem::Malformed`] if the key can't be read or is too long.
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
/// The [`Problem`] of a key that can't be claimed now; nothing has run then
/// in this attempt, but an earlier one may have.
pub(super) async fn claim_key(
    handle: &ClaimHandle,
    workspace: &str,
    key: &str,
    fingerprint: u64,
    deadline: Instant,
) -> Result<KeyedStep, Problem> {
    let request = ClaimRequest {
        key: ClaimKey::new(workspace, key),
        fingerprint,
        declared_minute: None,
        deadline,
    };
    let (reply, outcome) = oneshot::channel();
    handle.claim(request, reply);
    // A ledger that has ended has claimed nothing.
    let outcome = outcome.await.unwrap_or(ClaimOutcome::Overloaded {
        retry_after: std::time::Duration::from_secs(1),
    });
    match outcome {
        ClaimOutcome::Claimed(token) => Ok(KeyedStep::Run(KeyedClaim {
            handle: handle.clone(),
            token,
            captured: Vec::new(),
            length: 0,
        })),
        ClaimOutcome::AlreadyRun(recorded) => Ok(KeyedStep::Replay(replay(recorded))),
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

/// Returns a hash of what a request with a key asks for.
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
    /// Returns whether the claim still lets the request be sent.
    pub(super) fn may_send(&self) -> bool {
        self.token.may_send(Instant::now())
    }

    /// Takes a piece of the answer in.
    pub(super) fn capture(&mut self, piece: &[u8]) {
        let room = CAPTURED_BYTES.saturating_sub(self.captured.len());
        self.captured
            .extend_from_slice(&piece[..piece.len().min(room)]);
        self.length += piece.len() as u64;
    }

    /// Gives the claim back, since nothing ran.
    pub(super) fn release(self) {
        if self.handle.release(self.token).is_err() {
            log::warn!("entry: A claim was not given back; its key counts as unknown.");
        }
    }

    /// Records the whole answer.
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
            log::warn!("entry: An outcome was not recorded; its key counts as unknown.");
        }
    }
}

fn replay(recorded: RecordedOutcome) -> Response<AnswerBody> {
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
    let mut response = Response::new(AnswerBody::ready(body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(RAN, HeaderValue::from_static(RanState::Yes.as_str()));
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
