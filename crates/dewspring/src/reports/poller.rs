//! The thread that asks the servers.

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
use crate::entry::{ConfigSource, send_request};
use crate::ids::{PoolName, ServerName};
use crate::tables::{PoolKind, ServerRow};

/// Largest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Settings of the poller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollerSettings {
    /// Time between two reads of a server's report.
    pub interval: Duration,
    /// Longest wait for a report.
    pub timeout: Duration,
}

/// The running poller.
#[derive(Debug)]
pub struct ReportPoller {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl ReportPoller {
    /// Starts to ask the servers of the pools for which `is_own` says yes.
    ///
    /// # Panics
    ///
    /// Panics if the system gives no thread.
    pub fn spawn(
        settings: PollerSettings,
        config: impl ConfigSource,
        broker: BrokerHandle,
        is_own: impl Fn(&PoolName) -> bool + Send + 'static,
    ) -> Self {
        let (stop, stopped) = bounded(1);
        let thread = std::thread::Builder::new()
            .name("reports".into())
            .spawn(move || run(settings, &config, &broker, is_own, &stopped))
            .expect("the system gives a thread");
        Self { stop, thread }
    }

    /// Stops asking.
    ///
    /// # Panics
    ///
    /// Panics if the poller's thread has panicked.
    pub fn shut_down(self) {
        drop(self.stop);
        self.thread.join().expect("the poller's thread runs");
    }
}

/// A server that is asked, with the place in its cache events.
#[derive(Clone, Debug)]
struct PolledServer {
    name: ServerName,
    address: SocketAddr,
    kind: PoolKind,
    after: u64,
}

fn run(
    settings: PollerSettings,
    config: &impl ConfigSource,
    broker: &BrokerHandle,
    is_own: impl Fn(&PoolName) -> bool,
    stopped: &Receiver<()>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("reports: The poller can't run: {error}.");
            return;
        }
    };
    let mut places: IndexMap<ServerName, u64> = IndexMap::new();
    while stopped.recv_timeout(settings.interval) == Err(RecvTimeoutError::Timeout) {
        let servers = polled_servers(config, &is_own, &places);
        places = poll_all(&runtime, settings, broker, servers);
    }
}

fn polled_servers(
    config: &impl ConfigSource,
    is_own: impl Fn(&PoolName) -> bool,
    places: &IndexMap<ServerName, u64>,
) -> Vec<PolledServer> {
    let config = config.current();
    let pools = config.pools.rows.values().filter(|pool| is_own(&pool.name));
    pools
        .flat_map(|pool| pool.servers.iter().map(|row| (pool.kind, row)))
        .map(|(kind, row): (PoolKind, &ServerRow)| PolledServer {
            name: row.name.clone(),
            address: row.address,
            kind,
            after: places.get(&row.name).copied().unwrap_or(0),
        })
        .collect()
}

fn poll_all(
    runtime: &Runtime,
    settings: PollerSettings,
    broker: &BrokerHandle,
    servers: Vec<PolledServer>,
) -> IndexMap<ServerName, u64> {
    let polls = servers
        .into_iter()
        .map(|server| poll(settings, broker, server));
    runtime.block_on(join_all(polls)).into_iter().collect()
}

async fn poll(
    settings: PollerSettings,
    broker: &BrokerHandle,
    server: PolledServer,
) -> (ServerName, u64) {
    let deadline = Instant::now() + settings.timeout;
    let load: Option<LoadReport> = fetch(server.address, "/load".into(), deadline).await;
    let Some(load) = load else {
        log::debug!("reports: Server {} gave no report.", server.name);
        return (server.name, server.after);
    };
    let events: CacheEvents = match server.kind {
        PoolKind::Engine => {
            let path = format!("/cache_events?after={}", server.after);
            fetch(server.address, path, deadline)
                .await
                .unwrap_or_default()
        }
        PoolKind::Service => CacheEvents::default(),
    };
    broker.report(load.into_server_report(server.name.clone(), &events));
    (server.name, events.next.max(server.after))
}

/// Reads a small JSON document; `None` if the server gives none in time.
async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: String,
    deadline: Instant,
) -> Option<T> {
    let mut request = Request::get(path)
        .body(Full::<Bytes>::default())
        .expect("the path is valid");
    let host = HeaderValue::from_str(&address.to_string()).expect("an address is plain text");
    request.headers_mut().insert(HOST, host);
    let connect_timeout = deadline.saturating_duration_since(Instant::now());
    let answer = send_request(address, request, connect_timeout, deadline)
        .await
        .ok()?;
    if !answer.response.status().is_success() {
        return None;
    }
    let body = Limited::new(answer.response.into_body(), MAX_REPORT_BYTES);
    let collected = timeout_at(deadline, body.collect()).await.ok()?.ok()?;
    serde_json::from_slice(&collected.to_bytes()).ok()
}
