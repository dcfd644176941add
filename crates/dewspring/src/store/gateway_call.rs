//! An HTTP call to the platform, bounded in time and size.
//!
//! The HTTP client has a single timeout for connect, read and write, so of all
//! I/O errors only a refused connection implies that a call had no effect. A
//! body that arrives slowly is abandoned at the deadline of the whole call.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gateway_messages::ErrorResponse;
use super::platform::{MAX_VALUE_BYTES, StoreError};

/// Largest response body, in bytes: a value in base64, and 64 KiB for the fields
/// around it.
pub(super) const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + 64 * 1024;

const READ_BUFFER_BYTES: usize = 16 * 1024;

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
}

impl CallTarget {
    /// Calls a method of the gateway and parses its response.
    pub fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, StoreError> {
        let deadline = Instant::now() + self.timeout;
        let response = self.post(kind, path, message, self.timeout)?;
        let body = read_bounded(response.into_body(), deadline, MAX_RESPONSE_BYTES)
            .map_err(|error| kind.io_error(&error))?;
        serde_json::from_slice(&body).map_err(|error| kind.parse_error(&error))
    }

    /// Calls a method of the gateway and returns its response with an unread
    /// body.
    pub fn post(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<Response<Body>, StoreError> {
        let body = serde_json::to_vec(message).expect("the messages are plain JSON");
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .expect("an address and a path are a valid URI");
        let response = Client::new()
            .with_global_timeout(timeout)
            .request(request)
            .map_err(|error| kind.io_error(&error))?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(read_error_response(
            kind,
            response,
            Instant::now() + timeout,
        ))
    }
}

/// Reads a response with an error status and converts it to an error.
fn read_error_response(kind: CallKind, response: Response<Body>, deadline: Instant) -> StoreError {
    let status = response.status();
    let message = read_bounded(response.into_body(), deadline, READ_BUFFER_BYTES)
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorResponse>(&body).ok())
        .unwrap_or_default()
        .message;
    if message.contains(LEASE_NOT_FOUND) {
        return StoreError::LeaseExpired;
    }
    let why = format!("status {status}: {message}");
    if status == StatusCode::TOO_MANY_REQUESTS {
        return StoreError::Unavailable(why);
    }
    if status.is_client_error() {
        return StoreError::InvalidResponse(why);
    }
    kind.lost_response_error(why)
}

/// Reads a whole body of at most `limit` bytes until `deadline`.
///
/// # Errors
///
/// `InvalidData` above the limit, `TimedOut` after the deadline, and any error
/// of the connection.
pub(super) fn read_bounded(
    mut body: impl Read,
    deadline: Instant,
    limit: usize,
) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = body.read(&mut buffer)?;
        if count == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&buffer[..count]);
        if bytes.len() > limit {
            let why = format!("a response of more than {limit} bytes");
            return Err(io::Error::new(ErrorKind::InvalidData, why));
        }
        if Instant::now() >= deadline {
            return Err(ErrorKind::TimedOut.into());
        }
    }
}
