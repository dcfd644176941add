//! An HTTP call to the platform, bounded in time and size.
//!
//! The HTTP client has a single timeout for connect, read and write, so of all
//! I/O errors only a refused connection implies that a call had no effect. A
//! body that arrives slowly is abandoned at the deadline of the whole call.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dewhttp::{CallRequest, CallResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gateway_messages::ErrorResponse;
use super::platform::{MAX_VALUE_BYTES, StoreError};
use crate::observe::DaemonMetrics;

/// Largest response body, in bytes: a value in base64, and 64 KiB for the fields
/// around it.
pub(super) const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + 64 * 1024;

/// Largest body of an error response, in bytes.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Status of a response with a result.
pub(super) const OK: u16 = 200;

/// Status of a call that was refused without an effect.
const TOO_MANY_REQUESTS: u16 = 429;

/// Part of the gateway's error message for an unknown lease.
const LEASE_NOT_FOUND: &str = "requested lease not found";

/// Whether a call may change the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Write,
}

impl CallKind {
    /// Returns the error of a call without a usable response.
    pub fn lost_response_error(self, why: impl ToString) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable(why.to_string()),
            Self::Write => StoreError::ResponseLost(why.to_string()),
        }
    }

    /// Returns the error of a call whose response violates the protocol.
    pub fn protocol_error(self, why: impl ToString) -> StoreError {
        match self {
            Self::Read => StoreError::InvalidResponse(why.to_string()),
            Self::Write => StoreError::ResponseLost(why.to_string()),
        }
    }

    /// Returns the error of a call whose response can't be parsed; a truncated
    /// one counts as lost.
    pub fn parse_error(self, error: &serde_json::Error) -> StoreError {
        if error.is_eof() {
            self.lost_response_error(error)
        } else {
            self.protocol_error(error)
        }
    }

    fn io_error(self, error: &io::Error) -> StoreError {
        match error.kind() {
            ErrorKind::ConnectionRefused => StoreError::Unavailable(error.to_string()),
            ErrorKind::InvalidData => self.protocol_error(error),
            _ => self.lost_response_error(error),
        }
    }
}

/// The address of the platform, and the timeout of each call.
#[derive(Clone, Debug)]
pub(super) struct CallTarget {
    pub address: SocketAddr,
    pub timeout: Duration,
    /// Counter of broken responses.
    pub metrics: Option<Arc<DaemonMetrics>>,
}

impl CallTarget {
    /// Calls a method of the gateway and parses its response.
    pub fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, StoreError> {
        let response = self.post(kind, path, message, self.timeout)?;
        let body = response
            .read_all(MAX_RESPONSE_BYTES)
            .map_err(|error| self.failure(kind, &error))?;
        serde_json::from_slice(&body).map_err(|error| {
            self.count_broken();
            kind.parse_error(&error)
        })
    }

    /// Calls a method of the gateway and returns its response with an unread
    /// body.
    pub fn post(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<CallResponse, StoreError> {
        let body = serde_json::to_vec(message).expect("the messages are plain JSON");
        let request = CallRequest {
            method: "POST",
            target: path,
            fields: &[("Content-Type", "application/json")],
            content: &body,
        };
        let response = request
            .send(self.address, timeout)
            .map_err(|error| self.failure(kind, &error))?;
        match response.status() {
            OK => Ok(response),
            _ => Err(self.read_error_response(kind, response)),
        }
    }

    /// Reads a response with an error status and converts it to an error. A broken
    /// one says nothing.
    fn read_error_response(&self, kind: CallKind, response: CallResponse) -> StoreError {
        let status = response.status();
        let body = match response.read_all(MAX_ERROR_BYTES) {
            Ok(body) => body,
            Err(error) => {
                self.record_error(&error);
                return kind.lost_response_error(error);
            }
        };
        let error: ErrorResponse = serde_json::from_slice(&body).unwrap_or_default();
        let message = error.message;
        if message.contains(LEASE_NOT_FOUND) {
            return StoreError::LeaseExpired;
        }
        let why = format!("status {status}: {message}");
        match status {
            TOO_MANY_REQUESTS => StoreError::Unavailable(why),
            400..500 => StoreError::InvalidResponse(why),
            _ => kind.lost_response_error(why),
        }
    }

    /// Converts an error of a call, and counts it if its response is broken.
    pub fn failure(&self, kind: CallKind, error: &io::Error) -> StoreError {
        self.record_error(error);
        kind.io_error(error)
    }

    /// Counts an error of a call if it means that the response is broken.
    pub fn record_error(&self, error: &io::Error) {
        use ErrorKind::{ConnectionRefused, TimedOut};
        if !matches!(error.kind(), ConnectionRefused | TimedOut) {
            self.count_broken();
        }
    }

    fn count_broken(&self) {
        if let Some(metrics) = &self.metrics {
            metrics.count_broken_response("store");
        }
    }
}
