//! Messages between the entry and the ledger.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::key::{ClaimKey, ClaimNonce};
use crate::store::Base64Bytes;

/// Largest body that is recorded whole, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 512;

/// Longest content type that is recorded, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 64;

/// Asks for permission to send the request with this key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Hash of the workspace and the key.
    pub key: ClaimKey,
    /// Hash of the request itself; a caller must not use one key for two
    /// different requests.
    pub fingerprint: u64,
    /// Time at which the caller chose the key, if the request states it, in
    /// minutes since the Unix epoch.
    pub declared_minute: Option<u64>,
    /// Time after which the claim is abandoned.
    pub deadline: Instant,
}

/// Permission to send the request of one claim once, within half of the
/// ledger's retention time.
///
/// It is returned by [`ClaimHandle::record`](super::ClaimHandle::record) or
/// [`ClaimHandle::release`](super::ClaimHandle::release). If it is dropped, the
/// claim stays in the ledger and the outcome counts as unknown.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a claim without an outcome blocks its key"]
pub struct ClaimToken {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) valid_until: Instant,
}

impl ClaimToken {
    /// Returns whether the request may still be sent at this time.
    ///
    /// Must be checked right before sending: a process that was paused for long
    /// may hold a claim that the ledger is about to prune.
    pub fn may_send(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// The ledger's reply to a claim.
///
/// Only [`ClaimOutcome::Claimed`] permits the request; after any other reply
/// this attempt has not run and will not run.
#[derive(Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claim is stored, and the request may be sent once.
    Claimed(ClaimToken),
    /// The request already ran, with this outcome.
    AlreadyRun(RecordedOutcome),
    /// Another attempt holds the claim; whether it ran is unknown.
    InProgress,
    /// The key was used for another request.
    KeyReused,
    /// Claims of the key's declared time may have been pruned, or that time
    /// lies in the future.
    Expired,
    /// The store did not respond in time, or the claim's page can't be used.
    StoreUnavailable {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Too many claims are pending, or the page of the claim is full.
    Overloaded {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The ledger has too many pending messages to accept another one.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the ledger of claims has too many pending messages")]
pub struct LedgerOverloaded;

/// The recorded part of a response body.
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
    /// Only the length, in bytes, of a body that was not recorded.
    #[serde(rename = "l")]
    Length(u64),
}

/// Serializes the bytes of a body in base64.
mod body_bytes {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::Base64Bytes;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        Base64Bytes(bytes.to_vec()).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        Base64Bytes::deserialize(deserializer).map(|bytes| bytes.0)
    }
}

/// The outcome of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedOutcome {
    /// HTTP status of the response.
    #[serde(rename = "s")]
    pub status: u16,
    /// Recorded part of the response body.
    #[serde(rename = "c")]
    pub body: RecordedBody,
}

impl RecordedOutcome {
    /// Builds the outcome of a response, with its body if that is small.
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
        let is_short =
            body.len() <= MAX_RECORDED_BODY_BYTES && content_type.len() <= MAX_CONTENT_TYPE_BYTES;
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

    /// Returns an upper bound of the body's size in a stored page, in bytes.
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
