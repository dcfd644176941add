//! Listener for the connections of other VMs.
//!
//! Each connection has its own task, so a slow peer delays no other. The number
//! of connections, of calls in flight, of bytes in a frame, and the idle time
//! are bounded.

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
use super::handshake::{HandshakeError, accept_handshake};
use super::service::{MAX_CONCURRENT_OFFERS, PeerServer, PeerService};
use super::shared::PeerCore;
use super::wire::{MAX_CALLS_IN_FLIGHT, callee_transport};
use crate::configuration::ConfigExchange;

/// Most authenticated connections at the same time.
const MAX_CONNECTIONS: usize = 2_048;

/// Most connections in the handshake at the same time.
const MAX_PENDING_HANDSHAKES: usize = 64;

/// Time within which a connection must complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle timeout of an accepted connection: the time without a new call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Consecutive idle timeouts after which a connection is closed despite calls in flight.
const MAX_IDLE_PERIODS_WITH_CALLS: u32 = 4;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that haven't completed the handshake, oldest first.
///
/// At the limit a new one replaces the oldest, so that idle unauthenticated
/// connections can't lock out a VM, whose handshake takes one round trip.
#[derive(Default)]
struct PendingHandshakes {
    tasks: VecDeque<AbortHandle>,
}

impl PendingHandshakes {
    /// Adds a connection and returns whether the limit was reached, which closes the oldest one.
    fn push(&mut self, task: AbortHandle) -> bool {
        self.tasks.retain(|task| !task.is_finished());
        let is_full = self.tasks.len() >= MAX_PENDING_HANDSHAKES;
        if is_full && let Some(oldest) = self.tasks.pop_front() {
            oldest.abort();
        }
        self.tasks.push_back(task);
        is_full
    }
}

/// Accepts connections and serves their calls.
pub(super) struct PeerListener<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    connections: Arc<Semaphore>,
    pending: PendingHandshakes,
    offer_permits: Arc<Semaphore>,
}

impl<Exchange: ConfigExchange, Grants: GrantService> PeerListener<Exchange, Grants> {
    pub(super) fn new(core: PeerCore<Exchange, Grants>) -> Self {
        PeerListener {
            core,
            connections: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            pending: PendingHandshakes::default(),
            offer_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_OFFERS)),
        }
    }

    /// Accepts connections until the task is dropped.
    pub(super) async fn run(mut self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, remote)) => self.spawn_connection(stream, remote),
                Err(error) => {
                    log::warn!("peer: can't accept a connection: {error}.");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn_connection(&mut self, stream: TcpStream, remote: SocketAddr) {
        let counters = Arc::clone(&self.core.shared.counters);
        let core = self.core.clone();
        let connections = Arc::clone(&self.connections);
        let server = PeerServer::new(core.clone(), Arc::clone(&self.offer_permits));
        let task = tokio::spawn(async move {
            let stream = CountedStream::new(stream, Arc::clone(&core.shared.counters));
            let Some(stream) = authenticate(&core, stream, remote).await else {
                return;
            };
            let Ok(permit) = connections.try_acquire_owned() else {
                core.shared.counters.refused_connections.add(1);
                core.shared.warn_unauthenticated(|| {
                    format!("closed the connection from {remote}, too many connections.")
                });
                return;
            };
            tokio::spawn(async move {
                serve(&core, server, stream, remote).await;
                drop(permit);
            });
        });
        if self.pending.push(task.abort_handle()) {
            counters.refused_connections.add(1);
            let line = || "closed the oldest of too many unauthenticated connections.".into();
            self.core.shared.warn_unauthenticated(line);
        }
    }
}

/// Runs the handshake; returns the stream if it succeeds in time.
async fn authenticate<Exchange, Grants>(
    core: &PeerCore<Exchange, Grants>,
    mut stream: CountedStream<TcpStream>,
    remote: SocketAddr,
) -> Option<CountedStream<TcpStream>> {
    stream.set_nodelay();
    let handshake = accept_handshake(&mut stream, &core.shared.key);
    let result = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(result) => result,
        Err(_) => Err(HandshakeError::Io(io::ErrorKind::TimedOut.into())),
    };
    match result {
        Ok(()) => Some(stream),
        Err(error) => {
            core.shared.counters.failed_handshakes.add(1);
            let line =
                || format!("closed the connection from {remote}, failed handshake: {error}.");
            core.shared.warn_unauthenticated(line);
            None
        }
    }
}

/// Serves calls until the connection ends, fails or is idle.
async fn serve<Exchange: ConfigExchange, Grants: GrantService>(
    core: &PeerCore<Exchange, Grants>,
    server: PeerServer<Exchange, Grants>,
    stream: CountedStream<TcpStream>,
    remote: SocketAddr,
) {
    let channel = BaseChannel::with_defaults(callee_transport(stream));
    let channel = channel.max_concurrent_requests(MAX_CALLS_IN_FLIGHT);
    let mut requests = Box::pin(channel.requests());
    let mut idle_periods = 0;
    loop {
        match timeout(IDLE_TIMEOUT, requests.next()).await {
            Ok(Some(Ok(request))) => {
                idle_periods = 0;
                tokio::spawn(request.execute(server.clone().serve()));
            }
            Ok(Some(Err(error))) => {
                report_bad_frame(core, &error, remote);
                return;
            }
            Ok(None) => return,
            Err(_) => {
                idle_periods += 1;
                let has_calls_in_flight = requests.channel().in_flight_requests() > 0;
                if !has_calls_in_flight || idle_periods == MAX_IDLE_PERIODS_WITH_CALLS {
                    core.shared.counters.idle_connections.add(1);
                    return;
                }
            }
        }
    }
}

/// Counts and logs a read error, unless the remote side disconnected.
fn report_bad_frame<Exchange, Grants>(
    core: &PeerCore<Exchange, Grants>,
    error: &ChannelError<io::Error>,
    remote: SocketAddr,
) {
    let ChannelError::Read(error) = error else {
        return;
    };
    if !is_disconnect(error) {
        core.shared.counters.bad_frames.add(1);
        let line = || format!("closed the connection from {remote}, bad frame: {error}.");
        core.shared.warn_unauthenticated(line);
    }
}

/// Returns whether an error means that the remote side disconnected.
fn is_disconnect(error: &io::Error) -> bool {
    let inner = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<io::Error>());
    matches!(
        inner.unwrap_or(error).kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof
    )
}
