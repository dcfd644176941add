//! HTTP listener for operators.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use oxhttp::model::header::{AUTHORIZATION, CONTENT_TYPE};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde::Serialize;

use super::messages::{DrainReport, ExplainReport, StatusReport};
use super::secret::is_authorized;
use crate::settings::SharedSecret;

/// Maximum number of open connections.
///
/// The limit is high enough that idle connections don't block the balancer's
/// readiness check.
const MAX_CONNECTIONS: usize = 512;
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
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
pub struct AdminServer {
    address: SocketAddr,
    _server: ListeningServer,
}

impl AdminServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// An [`io::Error`] if the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        secret: SharedSecret,
        source: impl AdminSource,
    ) -> io::Result<Self> {
        let address = free_address(address)?;
        let server = Server::new(move |request| handle_request(&secret, &source, request))
            .bind(address)
            .with_global_timeout(IDLE_TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .spawn()?;
        Ok(Self {
            address,
            _server: server,
        })
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Replaces port 0 by a free port, since the HTTP server doesn't report its own.
fn free_address(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn handle_request(
    secret: &SharedSecret,
    source: &impl AdminSource,
    request: &mut Request<Body>,
) -> Response<Body> {
    let path = request.uri().path().to_string();
    match path.as_str() {
        "/healthz" => return text(StatusCode::OK, TEXT, "ok\n".into()),
        "/readyz" if source.is_ready() => return text(StatusCode::OK, TEXT, "ready\n".into()),
        "/readyz" => return text(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n".into()),
        _ => {}
    }
    let header = request.headers().get(AUTHORIZATION);
    if !is_authorized(secret, header.map(|value| value.as_bytes())) {
        log::warn!("admin: Rejected a request to {path} without the secret.");
        return text(StatusCode::UNAUTHORIZED, TEXT, "unauthorized\n".into());
    }
    let is_get = request.method() == Method::GET;
    let is_post = request.method() == Method::POST;
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

fn explain(source: &impl AdminSource, request: &str) -> Response<Body> {
    match source.explain(request) {
        Some(report) => json(&report),
        None => text(StatusCode::NOT_FOUND, TEXT, "unknown request\n".into()),
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_string(value).expect("a report can be serialized");
    text(StatusCode::OK, JSON, body)
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Body::from(body))
        .expect("the response is valid")
}
