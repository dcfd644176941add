//! The port on which other VMs are heard.
//!
//! Each connection has a task of its own, so a slow peer delays no other. The
//! number of connections, of calls in flight, of bytes in a frame and the time
//! without a call are bounded.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::ChannelError;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::counters::CountedStream;
use super::grants::GrantService;
use super::preface::{PrefaceError, accept_preface};
use super::service::{OFFERS_AT_ONCE, PeerServer, PeerService};
use super::shared::PeerCore;
use super::wire::{CALLS_IN_FLIGHT, callee_transport};
use crate::configuration::ConfigExchange;

/// Connections at the same time that have proved the secret.
const CONNECTION_LIMIT: usize = 2_048;

/// Connections at the same time that have not proved the secret yet.
const PREFACE_LIMIT: usize = 64;

/// Time in which a connection must prove the secret.
const PREFACE_TIME: Duration = Duration::from_secs(1);

/// Time without a call after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Times without a call after which calls in flight keep a connection no more.
const IDLE_TIMES_IN_FLIGHT: u32 = 4;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that have not proved the secret yet, the oldest first.
///
/// A new one takes the place of the oldest when there are too many, so that
/// idle unauthenticated connections can't exclude a VM, which proves it within a
/// round trip.
#[derive(Default)]
struct PendingPrefaces {
    tasks: VecDeque<AbortHandle>,
}

impl PendingPrefaces {
    /// Adds a connection; returns whether the oldest one had to go.
    fn push(&mut self, task: AbortHandle) -> bool {
        self.tasks.retain(|task| !task.is_finished());
        let is_full = self.tasks.len() >= PREFACE_LIMIT;
        if is_full && let Some(oldest) = self.tasks.pop_front() {
            oldest.abort();
        }
        self.tasks.push_back(task);
        is_full
    }
}

/// The running listener.
pub(super) struct PeerListener<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    connections: Arc<Semaphore>,
    pending: PendingPrefaces,
    offers: Arc<Semaphore>,
}

impl<Exchange: ConfigExchange, Grants: GrantService> PeerListener<Exchange, Grants> {
    pub(super) fn new(core: PeerCore<Exchange, Grants>) -> Self {
        PeerListener {
            core,
            connections: Arc::new(Semaphore::new(CONNECTION_LIMIT)),
            pending: PendingPrefaces::default(),
            offers: Arc::new(Semaphore::new(OFFERS_AT_ONCE)),
        }
    }

    /// Accepts connections until the task is dropped.
    pub(super) async fn run(mut self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, remote)) => self.open(stream, remote),
                Err(error) => {
                    log::warn!("peer: can't accept a connection: {error}.");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(&mut self, stream: TcpStream, remote: SocketAddr) {
        let counters = Arc::clone(&self.core.shared.counters);
        let core = self.core.clone();
        let connections = Arc::clone(&self.connections);
        let server = PeerServer::new(core.clone(), Arc::clone(&self.offers));
        let task = tokio::spawn(async move {
            let stream = CountedStream::new(stream, Arc::clone(&core.shared.counters));
            let Some(stream) = prove(&core, stream, remote).await else {
                return;
            };
            let Ok(permit) = connections.try_acquire_owned() else {
                core.shared.counters.refused_connections.add(1);
                core.shared
                    .warn_of_unauthenticated(|| format!("refused {remote}, too many connections."));
                return;
            };
            tokio::spawn(async move {
                serve(&core, server, stream, remote).await;
                drop(permit);
            });
        });
        if self.pending.push(task.abort_handle()) {
            counters.refused_connections.add(1);
            let line = || "dropped the oldest of too many unproved connections.".into();
            self.core.shared.warn_of_unauthenticated(line);
        }
    }
}

/// Lets the other side prove the secret; returns the stream if it did.
async fn prove<Exchange, Grants>(
    core: &PeerCore<Exchange, Grants>,
    mut stream: CountedStream<TcpStream>,
    remote: SocketAddr,
) -> Option<CountedStream<TcpStream>> {
    stream.set_nodelay();
    let preface = accept_preface(&mut stream, &core.shared.key);
    let proved = match timeout(PREFACE_TIME, preface).await {
        Ok(proved) => proved,
        Err(_) => Err(PrefaceError::Io(io::ErrorKind::TimedOut.into())),
    };
    match proved {
        Ok(()) => Some(stream),
        Err(error) => {
            core.shared.counters.bad_prefaces.add(1);
            let line = || format!("dropped the connection from {remote}: {error}.");
            core.shared.warn_of_unauthenticated(line);
            None
        }
    }
}

/// Answers calls until the connection ends, breaks or is idle.
async fn serve<Exchange: ConfigExchange, Grants: GrantService>(
    core: &PeerCore<Exchange, Grants>,
    server: PeerServer<Exchange, Grants>,
    stream: CountedStream<TcpStream>,
    remote: SocketAddr,
) {
    let channel = BaseChannel::with_defaults(callee_transport(stream));
    let channel = channel.max_concurrent_requests(CALLS_IN_FLIGHT);
    let mut requests = Box::pin(channel.requests());
    let mut idle_times = 0;
    loop {
        match timeout(IDLE_TIME, requests.next()).await {
            Ok(Some(Ok(request))) => {
                idle_times = 0;
                tokio::spawn(request.execute(server.clone().serve()));
            }
            Ok(Some(Err(error))) => {
                note_break(core, &error, remote);
                return;
            }
            Ok(None) => return,
            Err(_) => {
                idle_times += 1;
                let is_used = requests.channel().in_flight_requests() > 0;
                if !is_used || idle_times == IDLE_TIMES_IN_FLIGHT {
                    core.shared.counters.idle_connections.add(1);
                    return;
                }
            }
        }
    }
}

/// Counts and logs a break that isn't the ordinary end of a connection.
fn note_break<Exchange, Grants>(
    core: &PeerCore<Exchange, Grants>,
    error: &ChannelError<io::Error>,
    remote: SocketAddr,
) {
    let ChannelError::Read(error) = error else {
        return;
    };
    if !is_ordinary_end(error) {
        core.shared.counters.bad_frames.add(1);
        let line = || format!("dropped the connection from {remote}, bad frame: {error}.");
        core.shared.warn_of_unauthenticated(line);
    }
}

/// Whether the other side closed the connection or went away.
fn is_ordinary_end(error: &io::Error) -> bool {
    let inner = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<io::Error>());
    matches!(
        inner.unwrap_or(error).kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof
    )
}
