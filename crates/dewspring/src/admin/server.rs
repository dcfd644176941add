//! The listener for operators.

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

/// Enough that silent connections don't keep the balancer's check of readiness
/// waiting.
const MAX_CONNECTIONS: usize = 512;
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const EXPLAIN_PREFIX: &str = "/v1/explain/";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS_TEXT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What operators may ask of a daemon.
pub trait AdminSource: Clone + Send + Sync + 'static {
    /// Returns whether callers should be sent here.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text form.
    fn metrics(&self) -> String;

    /// Returns the daemon's state.
    fn status(&self) -> StatusReport;

    /// Returns what was decided about a request, if it is still known.
    fn explain(&self, request: &str) -> Option<ExplainReport>;

    /// Begins to shut the daemon down.
    fn drain(&self) -> DrainReport;
}

/// The running listener for operators.
///
/// It listens until the process ends.
pub struct AdminServer {
    address: SocketAddr,
    _server: ListeningServer,
}

impl AdminServer {
    /// Binds the address and begins to answer.
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
        let server = Server::new(move |request| answer(&secret, &source, request))
            .bind(address)
            .with_global_timeout(IDLE_TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .spawn()?;
        Ok(Self {
            address,
            _server: server,
        })
    }

    /// Returns the address that operators use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Replaces port 0 by a free port, since the server doesn't tell its own.
fn free_address(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn answer(
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
        log::warn!("admin: A call to {path} without the secret was refused.");
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
    let text_of = serde_json::to_string(value).expect("a report is plain data");
    text(StatusCode::OK, JSON, text_of)
}

fn text(status: StatusCode, kind: &'static str, text: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(Body::from(text))
        .expect("the answer is valid")
}
