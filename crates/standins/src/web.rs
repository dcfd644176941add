//! The HTTP/1.1 server that all stand-ins use.
//!
//! Requests are read whole; responses are streamed, and each chunk is flushed
//! immediately. A handler can also drop the connection instead of responding.

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
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Error that drops the connection, before a response or in the middle of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedConnection;

impl Display for DroppedConnection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is dropped")
    }
}

impl std::error::Error for DroppedConnection {}

/// An invalid request, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MalformedRequest(pub String);

impl From<MalformedRequest> for Response<ResponseBody> {
    fn from(error: MalformedRequest) -> Self {
        error_response(StatusCode::BAD_REQUEST, error.0)
    }
}

/// Sends the chunks of a streamed response; an error drops the connection.
pub type ChunkSender = mpsc::UnboundedSender<Result<Bytes, DroppedConnection>>;

/// A response body, complete or streamed.
#[derive(Debug)]
pub struct ResponseBody {
    first: Option<Bytes>,
    rest: Option<mpsc::UnboundedReceiver<Result<Bytes, DroppedConnection>>>,
}

impl ResponseBody {
    /// Creates a complete body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            first: Some(bytes.into()),
            rest: None,
        }
    }

    /// Creates a streamed body of a first chunk and the chunks received later.
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

impl Body for ResponseBody {
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

/// A response, or an error that drops the connection.
pub type HandlerResult = Result<Response<ResponseBody>, DroppedConnection>;

/// A request with its complete body.
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
    /// Returns a header as text, or `None` if it is absent or not ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a header as a number, or `None` if it is absent or not a number.
    #[must_use]
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the first value of a query parameter.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`MalformedRequest`] if the body is not JSON of the expected shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, MalformedRequest> {
        serde_json::from_slice(&self.body).map_err(|error| MalformedRequest(error.to_string()))
    }
}

/// Handler of the requests to a stand-in.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: WebRequest) -> impl Future<Output = HandlerResult> + Send;
}

/// Returns a JSON response.
///
/// # Panics
///
/// Panics if the value can't be written as JSON.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(value).expect("the value is plain JSON");
    let mut response = Response::new(ResponseBody::whole(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a JSON error in the format that model engines use.
#[must_use]
pub fn error_response(status: StatusCode, message: impl Into<String>) -> Response<ResponseBody> {
    let message = message.into();
    let code = status.as_u16();
    json_response(
        status,
        &json!({"error": {"message": message, "code": code}}),
    )
}

/// Listens, prints the listen address and serves until the process ends.
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
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: impl RequestHandler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| handle_request(request, handler.clone()));
    // An error affects only this connection, and its caller detects it too.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(request: Request<Incoming>, handler: impl RequestHandler) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_REQUEST_BYTES).collect().await else {
        return Ok(error_response(
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
