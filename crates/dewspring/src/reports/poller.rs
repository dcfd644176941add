//! The thread that polls the servers.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use futures::future::join_all;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, timeout_at};

use super::report::{CacheEvents, LoadReport};
use crate::broker::BrokerHandle;
use crate::entry::{ConfigSource, UpstreamError, send_request};
use crate::ids::{PoolName, ServerName};
use crate::observe::DaemonMetrics;
use crate::tables::{PoolKind, ServerRow};

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Settings of the poller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollerSettings {
    /// Interval between two polls of a server.
    pub interval: Duration,
    /// Timeout of one poll.
    pub timeout: Duration,
}

/// A running poller.
#[derive(Debug)]
pub struct ReportPoller {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl ReportPoller {
    /// Starts polling the servers of the pools for which `is_own` returns true.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be spawned.
    pub fn spawn(
        settings: PollerSettings,
        config: impl ConfigSource,
        broker: BrokerHandle,
        metrics: DaemonMetrics,
        is_own: impl Fn(&PoolName) -> bool + Send + 'static,
    ) -> Self {
        let (stop, stopped) = bounded(1);
        let thread = std::thread::Builder::new()
            .name("reports".into())
            .spawn(move || {
                let poll = ReportPoll {
                    settings,
                    broker: &broker,
                    metrics: &metrics,
                };
                run(poll, &config, is_own, &stopped);
            })
            .expect("the thread can be spawned");
        Self { stop, thread }
    }

    /// Stops polling and waits for the thread.
    ///
    /// # Panics
    ///
    /// Panics if the poller's thread has panicked.
    pub fn shut_down(self) {
        drop(self.stop);
        self.thread.join().expect("the poller's thread runs");
    }
}

/// A server to poll, with the position in its cache events.
#[derive(Clone, Debug)]
struct PolledServer {
    name: ServerName,
    address: SocketAddr,
    kind: PoolKind,
    last_event: u64,
}

fn run(
    poll: ReportPoll<'_>,
    config: &impl ConfigSource,
    is_own: impl Fn(&PoolName) -> bool,
    stopped: &Receiver<()>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("reports: The poller's runtime can't be created: {error}.");
            return;
        }
    };
    let mut last_events: IndexMap<ServerName, u64> = IndexMap::new();
    while stopped.recv_timeout(poll.settings.interval) == Err(RecvTimeoutError::Timeout) {
        let servers = polled_servers(config, &is_own, &last_events);
        last_events = poll.poll_all(&runtime, servers);
    }
}

fn polled_servers(
    config: &impl ConfigSource,
    is_own: impl Fn(&PoolName) -> bool,
    last_events: &IndexMap<ServerName, u64>,
) -> Vec<PolledServer> {
    let config = config.current();
    let pools = config.pools.rows.values().filter(|pool| is_own(&pool.name));
    pools
        .flat_map(|pool| pool.servers.iter().map(|row| (pool.kind, row)))
        .map(|(kind, row): (PoolKind, &ServerRow)| PolledServer {
            name: row.name.clone(),
            address: row.address,
            kind,
            last_event: last_events.get(&row.name).copied().unwrap_or(0),
        })
        .collect()
}

/// What polls of servers need.
#[derive(Clone, Copy, Debug)]
struct ReportPoll<'a> {
    settings: PollerSettings,
    broker: &'a BrokerHandle,
    metrics: &'a DaemonMetrics,
}

impl ReportPoll<'_> {
    fn poll_all(self, runtime: &Runtime, servers: Vec<PolledServer>) -> IndexMap<ServerName, u64> {
        let polls = servers.into_iter().map(|server| self.poll(server));
        runtime.block_on(join_all(polls)).into_iter().collect()
    }

    /// Polls a server; returns its position in its cache events.
    async fn poll(self, server: PolledServer) -> (ServerName, u64) {
        let deadline = Instant::now() + self.settings.timeout;
        let load: Option<LoadReport> = self.fetch(&server, "/load".into(), deadline).await;
        let Some(load) = load else {
            log::debug!("reports: Server {} sent no load report.", server.name);
            return (server.name, server.last_event);
        };
        let events: CacheEvents = match server.kind {
            PoolKind::Engine => {
                let path = format!("/cache_events?after={}", server.last_event);
                let events = self.fetch(&server, path, deadline).await;
                events.unwrap_or_default()
            }
            PoolKind::Service => CacheEvents::default(),
        };
        self.broker
            .report(load.into_server_report(server.name.clone(), &events));
        (server.name, events.next.max(server.last_event))
    }

    /// Fetches a document of a server; returns `None` if there is none, or a broken
    /// one.
    async fn fetch<T: DeserializeOwned>(
        self,
        server: &PolledServer,
        path: String,
        deadline: Instant,
    ) -> Option<T> {
        let document = fetch(server.address, path, deadline).await;
        document.unwrap_or_else(|reason| {
            self.metrics.count_broken_response("report");
            let name = &server.name;
            log::debug!("reports: Ignored a broken report of server {name}: {reason}.");
            None
        })
    }
}

/// Fetches a small JSON document; returns `None` if the server sends none in time.
///
/// # Errors
///
/// Returns what is wrong with a document that is incomplete or malformed.
async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: String,
    deadline: Instant,
) -> Result<Option<T>, String> {
    let mut request = Request::get(path)
        .body(Full::<Bytes>::default())
        .expect("the path is valid");
    let host = HeaderValue::from_str(&address.to_string()).expect("an address is plain text");
    request.headers_mut().insert(HOST, host);
    let connect_timeout = deadline.saturating_duration_since(Instant::now());
    let upstream = match send_request(address, request, connect_timeout, deadline).await {
        Ok(upstream) => upstream,
        Err(UpstreamError::BrokenOff(reason)) => return Err(reason),
        Err(UpstreamError::NotSent(_) | UpstreamError::TimedOut) => return Ok(None),
    };
    if !upstream.response.status().is_success() {
        return Ok(None);
    }
    let body = Limited::new(upstream.response.into_body(), MAX_REPORT_BYTES);
    let Ok(collected) = timeout_at(deadline, body.collect()).await else {
        return Ok(None);
    };
    let collected = collected.map_err(|error| error.to_string())?;
    let document = serde_json::from_slice(&collected.to_bytes());
    document.map(Some).map_err(|error| error.to_string())
}
