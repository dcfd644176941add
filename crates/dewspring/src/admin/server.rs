//! HTTP listener for operators.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Semaphore;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

use super::messages::{DrainReport, ExplainReport, StatusReport};
use super::secret::is_authorized;
use crate::settings::SharedSecret;

/// Maximum number of open connections.
///
/// The limit is high enough that idle connections don't block the balancer's
/// readiness check.
const MAX_CONNECTIONS: usize = 512;

/// Maximum size of a request's header, in bytes; it bounds what a connection holds.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Timeout for the head of a request, from the one before.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a connection is closed.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(30);

/// Number of requests that are handled at a time; handlers may block.
const HANDLER_THREADS: usize = 16;

/// Pause after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

const EXPLAIN_PREFIX: &str = "/v1/explain/";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS_TEXT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Operations of the daemon that the listener exposes.
pub trait AdminSource: Clone + Send + Sync + 'static {
    /// Returns whether the daemon can accept callers' requests.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns the daemon's status.
    fn status(&self) -> StatusReport;

    /// Returns the decisions about a request; `None` if none are recorded.
    fn explain(&self, request: &str) -> Option<ExplainReport>;

    /// Starts to shut the daemon down.
    fn drain(&self) -> DrainReport;
}

/// Running listener for operators, which serves until the process ends.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
}

impl AdminServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// An [`io::Error`] if the address can't be bound or the threads can't be
    /// started.
    pub fn bind(
        address: SocketAddr,
        secret: SharedSecret,
        source: impl AdminSource,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread()
            .max_blocking_threads(HANDLER_THREADS)
            .thread_name("admin-handler")
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("admin".into())
            .spawn(move || run(&runtime, listener, secret, source))?;
        Ok(Self { address })
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn run(runtime: &Runtime, listener: TcpListener, secret: SharedSecret, source: impl AdminSource) {
    runtime.block_on(async {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("admin: The listener failed: {error}.");
                return;
            }
        };
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let slot = Arc::clone(&slots).acquire_owned().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (secret, source) = (secret.clone(), source.clone());
                    tokio::spawn(async move {
                        serve_connection(stream, secret, source).await;
                        drop(slot);
                    });
                }
                Err(error) => {
                    log::warn!("admin: Accepting a connection failed: {error}.");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}

async fn serve_connection(stream: TcpStream, secret: SharedSecret, source: impl AdminSource) {
    let service = service_fn(|request| respond(request, secret.clone(), source.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(CONNECTION_LIFETIME, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("admin: A connection ended early: {error}."),
        Err(_) => log::debug!("admin: A connection was closed after {CONNECTION_LIFETIME:?}."),
    }
}

async fn respond(
    request: Request<Incoming>,
    secret: SharedSecret,
    source: impl AdminSource,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, _) = request.into_parts();
    // The balancer's checks wait for no handler that blocks.
    if let Some(response) = check_response(&source, parts.uri.path()) {
        return Ok(response);
    }
    let handled = spawn_blocking(move || handle_request(&secret, &source, &parts)).await;
    Ok(handled.unwrap_or_else(|error| {
        log::error!("admin: A request failed: {error}.");
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        text(status, TEXT, "internal error\n".into())
    }))
}

/// Returns the response to a health or readiness check, which needs no secret;
/// `None` for other paths.
fn check_response(source: &impl AdminSource, path: &str) -> Option<Response<Full<Bytes>>> {
    match path {
        "/healthz" => Some(text(StatusCode::OK, TEXT, "ok\n".into())),
        "/readyz" if source.is_ready() => Some(text(StatusCode::OK, TEXT, "ready\n".into())),
        "/readyz" => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(text(status, TEXT, "not ready\n".into()))
        }
        _ => None,
    }
}

fn handle_request(
    secret: &SharedSecret,
    source: &impl AdminSource,
    request: &Parts,
) -> Response<Full<Bytes>> {
    let path = request.uri.path().to_string();
    let header = request.headers.get(AUTHORIZATION);
    if !is_authorized(secret, header.map(|value| value.as_bytes())) {
        log::warn!("admin: Rejected a request to {path} without the secret.");
        return text(StatusCode::UNAUTHORIZED, TEXT, "unauthorized\n".into());
    }
    let is_get = [Method::GET, Method::HEAD].contains(&request.method);
    let is_post = request.method == Method::POST;
    match path.as_str() {
        "/metrics" if is_get => text(StatusCode::OK, METRICS_TEXT, source.metrics()),
        "/v1/status" if is_get => json(&source.status()),
        "/v1/drain" if is_post => json(&source.drain()),
        _ => match path.strip_prefix(EXPLAIN_PREFIX) {
            Some(request) if is_get => explain(source, request),
            _ => text(StatusCode::NOT_FOUND, TEXT, "not found\n".into()),
        },
    }
}

fn explain(source: &impl AdminSource, request: &str) -> Response<Full<Bytes>> {
    match source.explain(request) {
        Some(report) => json(&report),
        None => text(StatusCode::NOT_FOUND, TEXT, "unknown request\n".into()),
    }
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_string(value).expect("a report can be serialized");
    text(StatusCode::OK, JSON, body)
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::from(body))
        .expect("the response is valid")
}
