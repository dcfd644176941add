//! The messages between the entry duty and the ledger.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::key::{ClaimKey, ClaimNonce};
use crate::store::EncodedBytes;

/// Longest body that is recorded whole, in bytes.
const MAX_RECORDED_BODY: usize = 512;

/// Longest content type that is recorded, in bytes.
const MAX_CONTENT_TYPE: usize = 64;

/// A question: may the request with this key be sent?
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Hash of the workspace and the key.
    pub key: ClaimKey,
    /// Hash of the request itself; another request under the same key is an
    /// error of the caller.
    pub fingerprint: u64,
    /// Time at which the caller drew the key, if the request says so, in
    /// minutes since the Unix epoch.
    pub declared_minute: Option<u64>,
    /// Time after which no answer is wanted.
    pub deadline: Instant,
}

/// Leave to send the request of one claim, once, within half of the ledger's
/// horizon.
///
/// It is given back by [`ClaimHandle::record`](super::ClaimHandle::record) or
/// [`ClaimHandle::release`](super::ClaimHandle::release). If it is dropped, the
/// claim stands and the outcome counts as unknown.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a claim without an outcome blocks its key"]
pub struct ClaimToken {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) valid_until: Instant,
}

impl ClaimToken {
    /// Tells whether the request may still be sent at this time.
    ///
    /// To be asked right before sending: a process that was paused for long
    /// may hold a claim that the ledger is about to drop by age.
    pub fn may_send(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// What the ledger says to a claim.
///
/// Only [`ClaimOutcome::Claimed`] lets the request be sent; after any other
/// answer this attempt has not run and will not run.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be sent once.
    Claimed(ClaimToken),
    /// The request ran before, with this outcome.
    AlreadyRun(RecordedOutcome),
    /// Another attempt holds the claim; whether it ran is not known.
    InProgress,
    /// The key was used for another request.
    KeyReused,
    /// The time at which the key was drawn is missing from what the ledger
    /// still knows, or lies in the future.
    Expired,
    /// The store gave no answer in time, or the claim's page can't be read.
    StoreUnavailable {
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
    /// Too many claims wait, or the page of the claim is full.
    Overloaded {
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// The ledger can't take more messages.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the ledger of claims has no room for more messages")]
pub struct LedgerOverloaded;

/// What is remembered of an answer's body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordedBody {
    /// The whole body.
    #[serde(rename = "b")]
    Whole {
        /// Content type of the body.
        #[serde(rename = "t")]
        content_type: String,
        /// The body itself.
        #[serde(rename = "v", with = "body_bytes")]
        bytes: Vec<u8>,
    },
    /// Only the length of a body that was too long.
    #[serde(rename = "l")]
    Length(u64),
}

/// Writes the bytes of a body in base64.
mod body_bytes {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::EncodedBytes;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        EncodedBytes(bytes.to_vec()).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        EncodedBytes::deserialize(deserializer).map(|bytes| bytes.0)
    }
}

/// The outcome of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedOutcome {
    /// HTTP status of the answer.
    #[serde(rename = "s")]
    pub status: u16,
    /// What is remembered of its body.
    #[serde(rename = "c")]
    pub body: RecordedBody,
}

impl RecordedOutcome {
    /// Records an answer, with its body if that is short.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::claims::{RecordedBody, RecordedOutcome};
    ///
    /// let outcome = RecordedOutcome::new(201, "text/plain", &[b'x'; 4096]);
    /// assert_eq!(outcome.body, RecordedBody::Length(4096));
    /// ```
    pub fn new(status: u16, content_type: impl Into<String>, body: &[u8]) -> Self {
        let content_type = content_type.into();
        let is_short = body.len() <= MAX_RECORDED_BODY && content_type.len() <= MAX_CONTENT_TYPE;
        let body = if is_short {
            RecordedBody::Whole {
                content_type,
                bytes: body.to_vec(),
            }
        } else {
            RecordedBody::Length(body.len() as u64)
        };
        Self { status, body }
    }

    /// Returns the same outcome without its body.
    pub(super) fn without_body(&self) -> Self {
        let length = match &self.body {
            RecordedBody::Whole { bytes, .. } => bytes.len() as u64,
            RecordedBody::Length(length) => *length,
        };
        Self {
            status: self.status,
            body: RecordedBody::Length(length),
        }
    }

    /// Returns an upper bound of the space that the body takes in a page.
    pub(super) fn body_bytes(&self) -> usize {
        match &self.body {
            // JSON may escape each byte of a content type as `\u0000`.
            RecordedBody::Whole {
                content_type,
                bytes,
            } => content_type.len() * 6 + bytes.len().div_ceil(3) * 4 + 32,
            RecordedBody::Length(_) => 0,
        }
    }
}
