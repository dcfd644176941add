//! HTTP client for backend servers, with a new connection for each request.
//!
//! Connecting and sending are separate steps, so after a failed connect the
//! request certainly did not run. Dropping an [`UpstreamResponse`] closes the
//! connection at once, which cancels the request at the server.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::inspected::InspectedStream;

/// Maximum size of the read buffer of a connection to a server, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request got no response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UpstreamError {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, and the connection failed before a response.
    #[error("broken off: {0}")]
    BrokenOff(String),
    /// The request was sent, and the deadline passed before a response.
    #[error("timed out")]
    TimedOut,
}

/// Closes a connection when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A server's response, whose body is still to be read.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    /// The header and the unread body.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub _connection: ConnectionGuard,
}

/// The body of a server's response, with its status and content type.
///
/// It holds no slice of the header, so that the read buffer that contains the
/// header can be reused.
#[derive(Debug)]
pub(super) struct UpstreamStream {
    pub status: StatusCode,
    /// Content type; empty if the response has none.
    pub content_type: String,
    pub body: Incoming,
    _connection: ConnectionGuard,
}

impl UpstreamResponse {
    /// Drops the header except for the status and the content type.
    pub(super) fn into_stream(self) -> UpstreamStream {
        let content_type = self.response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        UpstreamStream {
            status: self.response.status(),
            content_type: content_type.unwrap_or_default().into(),
            body: self.response.into_body(),
            _connection: self._connection,
        }
    }
}

/// Sends a request over a new connection and waits for the response header.
pub(crate) async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_timeout: Duration,
    deadline: Instant,
) -> Result<UpstreamResponse, UpstreamError> {
    let not_sent = |error: String| UpstreamError::NotSent(error);
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("connecting timed out".into()))?
        .map_err(|error| not_sent(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    let stream = InspectedStream::new(stream, request.method().as_str());
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let connection = ConnectionGuard(tokio::spawn(connection).abort_handle());

    match timeout_at(deadline, sender.try_send_request(request)).await {
        Err(_) => Err(UpstreamError::TimedOut),
        Ok(Ok(response)) => Ok(UpstreamResponse {
            response,
            _connection: connection,
        }),
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                Err(not_sent("the connection closed".into()))
            } else {
                Err(UpstreamError::BrokenOff(describe(&error.into_error())))
            }
        }
    }
}

/// Returns the text of an error with that of its first cause, which names what is
/// wrong with a response.
pub(super) fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
