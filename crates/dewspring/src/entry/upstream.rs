//! One call to a backend server over a connection of its own.
//!
//! Connecting is a step before sending, so a failed connect surely ran
//! nothing. Dropping an [`UpstreamAnswer`] closes the connection at once,
//! which cancels the call at the server.

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

/// Why a call gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, and the server broke off without an answer.
    #[error("broken off: {0}")]
    BrokenOff(String),
    /// The request was sent, and the time is up.
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

/// The header of a server's answer, with the body still to come.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub _connection: ConnectionGuard,
}

/// The body of a server's answer, with what is needed of its header.
///
/// It holds no part of the header itself, so that the buffer in which the
/// header was read can be used again.
#[derive(Debug)]
pub(super) struct UpstreamStream {
    pub status: StatusCode,
    /// Content type; empty if the server named none.
    pub content_type: String,
    pub body: Incoming,
    _connection: ConnectionGuard,
}

impl UpstreamAnswer {
    /// Lets go of the header.
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

/// Sends a request and waits for the header of its answer.
pub(crate) async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_timeout: Duration,
    deadline: Instant,
) -> Result<UpstreamAnswer, CallError> {
    let not_sent = |error: String| CallError::NotSent(error);
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("the connect timed out".into()))?
        .map_err(|error| not_sent(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let connection = ConnectionGuard(tokio::spawn(connection).abort_handle());

    match timeout_at(deadline, sender.try_send_request(request)).await {
        Err(_) => Err(CallError::TimedOut),
        Ok(Ok(response)) => Ok(UpstreamAnswer {
            response,
            _connection: connection,
        }),
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                Err(not_sent("the connection closed".into()))
            } else {
                Err(CallError::BrokenOff(error.into_error().to_string()))
            }
        }
    }
}
