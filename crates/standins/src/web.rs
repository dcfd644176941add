//! The small HTTP server below all stand-ins.
//!
//! Requests are read whole; answers are streamed chunk by chunk, each flushed
//! at once. A handler can also drop the connection without an answer.

use std::convert::Infallible;
use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const MAX_REQUEST_BYTES: usize = 64 << 20;
const WORKER_THREADS: usize = 2;
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The connection is to be dropped, before or within an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedConnection;

impl Display for DroppedConnection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is dropped")
    }
}

impl std::error::Error for DroppedConnection {}

/// The request can't be read; the text says why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedRequest(pub String);

impl From<MalformedRequest> for Response<AnswerBody> {
    fn from(error: MalformedRequest) -> Self {
        error_answer(StatusCode::BAD_REQUEST, error.0)
    }
}

/// Sends the chunks of a streamed answer; an error drops the connection.
pub type ChunkSender = mpsc::UnboundedSender<Result<Bytes, DroppedConnection>>;

/// Body of an answer, which streams each chunk that is sent.
#[derive(Debug)]
pub struct AnswerBody {
    first: Option<Bytes>,
    rest: Option<mpsc::UnboundedReceiver<Result<Bytes, DroppedConnection>>>,
}

impl AnswerBody {
    /// A body that is known whole.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            first: Some(bytes.into()),
            rest: None,
        }
    }

    /// A body of a first chunk and those that come later.
    #[must_use]
    pub fn stream(
        first: impl Into<Bytes>,
        rest: mpsc::UnboundedReceiver<Result<Bytes, DroppedConnection>>,
    ) -> Self {
        Self {
            first: Some(first.into()),
            rest: Some(rest),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = DroppedConnection;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DroppedConnection>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match self.rest.as_mut() {
            None => Poll::Ready(None),
            Some(rest) => rest
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }
}

/// An answer, or the wish to drop the connection.
pub type WebAnswer = Result<Response<AnswerBody>, DroppedConnection>;

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct WebRequest {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl WebRequest {
    /// Returns a header as text, if it is there and readable.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a header as a number, if it is there and one.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns one value of the query.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`MalformedRequest`] if the body is not what the request takes.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, MalformedRequest> {
        serde_json::from_slice(&self.body).map_err(|error| MalformedRequest(error.to_string()))
    }
}

/// What a stand-in does with a request.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: WebRequest) -> impl Future<Output = WebAnswer> + Send;
}

/// Returns a JSON answer.
///
/// # Panics
///
/// Panics if the value can't be written as JSON.
#[must_use]
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let bytes = serde_json::to_vec(value).expect("the value is plain JSON");
    let mut response = Response::new(AnswerBody::whole(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a JSON error in the shape that model engines use.
#[must_use]
pub fn error_answer(status: StatusCode, message: impl Into<String>) -> Response<AnswerBody> {
    let message = message.into();
    let code = status.as_u16();
    json_answer(
        status,
        &json!({"error": {"message": message, "code": code}}),
    )
}

/// Listens, prints the address and serves until the process ends.
///
/// # Errors
///
/// Fails if the address can't be bound or the runtime can't start.
pub fn serve(address: SocketAddr, handler: impl RequestHandler) -> io::Result<Infallible> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(accept(address, handler))
}

async fn accept(address: SocketAddr, handler: impl RequestHandler) -> io::Result<Infallible> {
    let listener = TcpListener::bind(address).await?;
    let mut stdout = io::stdout();
    writeln!(stdout, "listening on {}", listener.local_addr()?)?;
    stdout.flush()?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: impl RequestHandler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| answer(request, handler.clone()));
    // An error only says that this connection broke, which its caller sees.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(request: Request<Incoming>, handler: impl RequestHandler) -> WebAnswer {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_REQUEST_BYTES).collect().await else {
        return Ok(error_answer(
            StatusCode::BAD_REQUEST,
            "the body can't be read",
        ));
    };
    let request = WebRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: body.to_bytes(),
    };
    handler.handle(request).await
}
