//! The connections to other VMs.
//!
//! There is one connection to each VM that is spoken to, opened when it is
//! needed and closed when it is idle. After a failed connect, callers are told
//! at once for a short while, so that none of them waits for a dead VM.

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
use super::notices::NoticeQueue;
use super::preface::offer_preface;
use super::service::PeerServiceClient;
use super::shared::PeerShared;
use super::wire::{CALLS_IN_FLIGHT, caller_transport};
use crate::ids::VmId;

/// Time in which a connection must be open and proved.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Time after a failed connect in which no other is tried.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Time without use after which a connection is closed.
///
/// It is shorter than the listener's, so that callers close first.
const UNUSED_TIME: Duration = Duration::from_secs(15);

/// Calls that wait to be written to one connection.
const CALLS_TO_SEND: usize = 1_024;

/// An open connection; dropping it ends its calls.
struct LinkConnection {
    client: PeerServiceClient,
    dispatch: JoinHandle<()>,
}

impl Drop for LinkConnection {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

/// When a link was used and when it failed.
struct LinkTimes {
    used: Instant,
    failed: Option<Instant>,
}

/// The way to one VM.
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
                used: Instant::now(),
                failed: None,
            }),
        }
    }

    /// Returns the client of the open connection, opening it if needed.
    pub(super) async fn client(&self, shared: &PeerShared) -> Result<PeerServiceClient, PeerError> {
        self.times().used = Instant::now();
        let mut connection = self.connection.lock().await;
        if let Some(open) = connection.as_ref()
            && !open.dispatch.is_finished()
        {
            return Ok(open.client.clone());
        }
        *connection = None;
        if self.has_just_failed() {
            return Err(PeerError::Unreachable("the last connect failed".into()));
        }
        let opened = match timeout(CONNECT_TIME, connect(self.address, shared)).await {
            Ok(opened) => opened,
            Err(_) => Err(PeerError::Unreachable("the connect timed out".into())),
        };
        self.times().failed = opened.is_err().then(Instant::now);
        let opened = opened?;
        let client = opened.client.clone();
        *connection = Some(opened);
        Ok(client)
    }

    /// Closes the connection, which ends its calls at once.
    pub(super) fn reset(&self) {
        if let Ok(mut connection) = self.connection.try_lock() {
            *connection = None;
        }
    }

    fn has_just_failed(&self) -> bool {
        let failed = self.times().failed;
        failed.is_some_and(|failed| failed.elapsed() < CONNECT_PAUSE)
    }

    fn times(&self) -> std::sync::MutexGuard<'_, LinkTimes> {
        self.times.lock().expect("no holder panics")
    }
}

/// Opens a connection and proves the secret.
async fn connect(address: SocketAddr, shared: &PeerShared) -> Result<LinkConnection, PeerError> {
    let unreachable = |error: &dyn std::fmt::Display| PeerError::Unreachable(error.to_string());
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| unreachable(&error))?;
    let mut stream = CountedStream::new(stream, Arc::clone(&shared.counters));
    stream.set_nodelay();
    let proved = offer_preface(&mut stream, &shared.key).await;
    proved.map_err(|error| unreachable(&error))?;
    let mut config = Config::default();
    config.max_in_flight_requests = CALLS_IN_FLIGHT;
    config.pending_request_buffer = CALLS_TO_SEND;
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

/// The ways to all VMs that are spoken to.
#[derive(Default)]
pub(super) struct PeerLinks {
    links: Mutex<IndexMap<VmId, Arc<PeerLink>>>,
}

impl PeerLinks {
    /// Returns the link to a VM; a VM with a new address gets a new one.
    pub(super) fn get(&self, vm: &VmId, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.lock();
        if let Some(link) = links.get(vm)
            && link.address == address
        {
            return Arc::clone(link);
        }
        let link = Arc::new(PeerLink::new(vm.clone(), address));
        let former = links.insert(vm.clone(), Arc::clone(&link));
        if let Some(former) = former {
            former.reset();
        }
        link
    }

    /// Lets a connect be tried at once after failed ones.
    pub(super) fn allow_connect(&self, vm: &VmId) {
        if let Some(link) = self.lock().get(vm) {
            link.times().failed = None;
        }
    }

    /// Ends all calls to a VM.
    pub(super) fn reset(&self, vm: &VmId) {
        let link = self.lock().get(vm).cloned();
        if let Some(link) = link {
            link.reset();
        }
    }

    /// Closes the connections that have been unused for long.
    pub(super) fn close_unused(&self) {
        self.lock().retain(|_, link| {
            let is_held = Arc::strong_count(link) > 1;
            is_held || link.times().used.elapsed() < UNUSED_TIME
        });
    }

    /// Whether any link has notices that were not sent yet.
    pub(super) fn have_notices(&self) -> bool {
        self.lock().values().any(|link| !link.notices.is_empty())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<VmId, Arc<PeerLink>>> {
        self.links.lock().expect("no holder panics")
    }
}
