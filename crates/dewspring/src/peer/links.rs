//! Outgoing connections to other VMs.
//!
//! There is one connection to each VM that is called, opened on demand and
//! closed when idle. After a failed connect, calls fail at once for a short
//! time, so that none of them waits for a dead VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarpc::client::Config;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::counters::CountedStream;
use super::errors::PeerError;
use super::handshake::initiate_handshake;
use super::notices::NoticeQueue;
use super::service::PeerServiceClient;
use super::shared::PeerShared;
use super::wire::{MAX_CALLS_IN_FLIGHT, caller_transport};
use crate::ids::VmId;

/// Time within which a connection must be open and authenticated.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a failed connect before the next attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Idle timeout of an outgoing connection.
///
/// It is shorter than the listener's, so that the caller closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most calls that wait to be written to one connection.
const MAX_PENDING_CALLS: usize = 1_024;

/// Open connection; dropping it aborts its calls.
struct LinkConnection {
    client: PeerServiceClient,
    dispatch: JoinHandle<()>,
}

impl Drop for LinkConnection {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

/// When a link was last used, and when its last connect failed.
struct LinkTimes {
    last_used: Instant,
    connect_failed_at: Option<Instant>,
}

/// Link to one VM: its connection and its queue of notices.
pub(super) struct PeerLink {
    pub(super) vm: VmId,
    pub(super) notices: NoticeQueue,
    address: SocketAddr,
    connection: tokio::sync::Mutex<Option<LinkConnection>>,
    times: Mutex<LinkTimes>,
}

impl PeerLink {
    fn new(vm: VmId, address: SocketAddr) -> Self {
        PeerLink {
            vm,
            notices: NoticeQueue::default(),
            address,
            connection: tokio::sync::Mutex::new(None),
            times: Mutex::new(LinkTimes {
                last_used: Instant::now(),
                connect_failed_at: None,
            }),
        }
    }

    /// Returns the RPC client and opens the connection if needed.
    pub(super) async fn client(&self, shared: &PeerShared) -> Result<PeerServiceClient, PeerError> {
        self.times().last_used = Instant::now();
        let mut connection = self.connection.lock().await;
        if let Some(open) = connection.as_ref()
            && !open.dispatch.is_finished()
        {
            return Ok(open.client.clone());
        }
        *connection = None;
        if self.is_in_reconnect_delay() {
            return Err(PeerError::Unreachable("the last connect failed".into()));
        }
        let result = match timeout(CONNECT_TIMEOUT, connect(self.address, shared)).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::Unreachable("the connect timed out".into())),
        };
        self.times().connect_failed_at = result.is_err().then(Instant::now);
        let opened = result?;
        let client = opened.client.clone();
        *connection = Some(opened);
        Ok(client)
    }

    /// Closes the connection, which aborts its calls.
    pub(super) fn reset(&self) {
        if let Ok(mut connection) = self.connection.try_lock() {
            *connection = None;
        }
    }

    fn is_in_reconnect_delay(&self) -> bool {
        let failed_at = self.times().connect_failed_at;
        failed_at.is_some_and(|failed_at| failed_at.elapsed() < RECONNECT_DELAY)
    }

    fn times(&self) -> std::sync::MutexGuard<'_, LinkTimes> {
        self.times.lock().expect("no holder panics")
    }
}

/// Opens a connection and runs the handshake.
async fn connect(address: SocketAddr, shared: &PeerShared) -> Result<LinkConnection, PeerError> {
    let unreachable = |error: &dyn std::fmt::Display| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| unreachable(&error))?;
    let mut stream = CountedStream::new(stream, Arc::clone(&shared.counters));
    stream.set_nodelay();
    let result = initiate_handshake(&mut stream, &shared.key).await;
    result.map_err(|error| unreachable(&error))?;
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = MAX_PENDING_CALLS;
    let new = PeerServiceClient::new(config, caller_transport(stream));
    let dispatch = tokio::spawn(async move {
        if let Err(error) = new.dispatch.await {
            log::debug!("peer: the connection to {address} ended: {error}.");
        }
    });
    Ok(LinkConnection {
        client: new.client,
        dispatch,
    })
}

/// Links to all VMs that are called.
#[derive(Default)]
pub(super) struct PeerLinks {
    links: Mutex<IndexMap<VmId, Arc<PeerLink>>>,
}

impl PeerLinks {
    /// Returns the link to a VM; a changed address replaces the link.
    pub(super) fn get(&self, vm: &VmId, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.lock();
        if let Some(link) = links.get(vm)
            && link.address == address
        {
            return Arc::clone(link);
        }
        let link = Arc::new(PeerLink::new(vm.clone(), address));
        let replaced = links.insert(vm.clone(), Arc::clone(&link));
        if let Some(replaced) = replaced {
            replaced.reset();
        }
        link
    }

    /// Allows the next connect to a VM at once, despite a recent failure.
    pub(super) fn clear_connect_failure(&self, vm: &VmId) {
        if let Some(link) = self.lock().get(vm) {
            link.times().connect_failed_at = None;
        }
    }

    /// Closes the connection to a VM, which aborts its calls.
    pub(super) fn reset(&self, vm: &VmId) {
        let link = self.lock().get(vm).cloned();
        if let Some(link) = link {
            link.reset();
        }
    }

    /// Drops the links that exceeded the idle timeout.
    pub(super) fn close_idle(&self) {
        self.lock().retain(|_, link| {
            let is_in_use = Arc::strong_count(link) > 1;
            is_in_use || link.times().last_used.elapsed() < IDLE_TIMEOUT
        });
    }

    /// Returns whether any link has notices that aren't delivered yet.
    pub(super) fn have_notices(&self) -> bool {
        self.lock().values().any(|link| !link.notices.is_empty())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<VmId, Arc<PeerLink>>> {
        self.links.lock().expect("no holder panics")
    }
}
