//! One HTTP call to the platform, bounded in time and size.
//!
//! The client has one timeout for connect, read and write, so only a refused
//! connection surely had no effect. A body that arrives drop by drop is given
//! up at the deadline of the whole call.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gateway_messages::ErrorResponse;
use super::service::{MAX_VALUE_BYTES, StoreError};

/// Largest answer that is read: a value in base64 and what stands around it.
pub(super) const MAX_ANSWER_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + 64 * 1024;

const READ_BYTES: usize = 16 * 1024;

const LEASE_NOT_FOUND: &str = "requested lease not found";

/// Whether a call may change the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Write,
}

impl CallKind {
    /// Says what a call that got no usable answer did.
    pub fn lost(self, why: impl ToString) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable(why.to_string()),
            Self::Write => StoreError::AnswerLost(why.to_string()),
        }
    }

    /// Says what a call did whose answer breaks the protocol.
    pub fn broken(self, why: impl ToString) -> StoreError {
        match self {
            Self::Read => StoreError::BadAnswer(why.to_string()),
            Self::Write => StoreError::AnswerLost(why.to_string()),
        }
    }

    /// Says what a call did whose answer can't be parsed.
    pub fn parse_error(self, error: &serde_json::Error) -> StoreError {
        if error.is_eof() {
            self.lost(error)
        } else {
            self.broken(error)
        }
    }

    fn io_error(self, error: &io::Error) -> StoreError {
        match error.kind() {
            ErrorKind::ConnectionRefused => StoreError::Unavailable(error.to_string()),
            ErrorKind::InvalidData => self.broken(error),
            _ => self.lost(error),
        }
    }
}

/// Where calls go, and how long each may take.
#[derive(Clone, Debug)]
pub(super) struct CallTarget {
    pub address: SocketAddr,
    pub timeout: Duration,
}

impl CallTarget {
    /// Calls a method of the gateway and reads its answer.
    pub fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, StoreError> {
        let deadline = Instant::now() + self.timeout;
        let response = self.post(kind, path, message, self.timeout)?;
        let body = read_bounded(response.into_body(), deadline, MAX_ANSWER_BYTES)
            .map_err(|error| kind.io_error(&error))?;
        serde_json::from_slice(&body).map_err(|error| kind.parse_error(&error))
    }

    /// Calls a method of the gateway and returns its answer unread.
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
        Err(read_failure(kind, response, Instant::now() + timeout))
    }
}

/// Reads why the gateway answered with an error status.
fn read_failure(kind: CallKind, response: Response<Body>, deadline: Instant) -> StoreError {
    let status = response.status();
    let message = read_bounded(response.into_body(), deadline, READ_BYTES)
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
        return StoreError::BadAnswer(why);
    }
    kind.lost(why)
}

/// Reads a whole body, but no more than `limit` bytes and not past `deadline`.
///
/// # Errors
///
/// `InvalidData` above the limit, `TimedOut` past the deadline, and what the
/// connection gives.
pub(super) fn read_bounded(
    mut body: impl Read,
    deadline: Instant,
    limit: usize,
) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = body.read(&mut buffer)?;
        if count == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&buffer[..count]);
        if bytes.len() > limit {
            let why = format!("an answer of more than {limit} bytes");
            return Err(io::Error::new(ErrorKind::InvalidData, why));
        }
        if Instant::now() >= deadline {
            return Err(ErrorKind::TimedOut.into());
        }
    }
}
