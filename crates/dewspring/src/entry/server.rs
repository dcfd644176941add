//! The listener for callers: connections, their limit, and graceful shutdown.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{sleep, timeout};

use super::connections::{ConnectionHandle, ConnectionRegistry, GuardedBody};
use super::context::{ConfigSource, EntryContext};
use super::grants::GrantSource;
use super::handler::handle;
use super::linger::LingeringStream;

/// Maximum size of a request header, in bytes.
///
/// hyper compares it with the buffered bytes only after a read that found no
/// end of the header, so a header of up to twice this size may be accepted.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 100;

/// Time for which a connection must have carried no accepted request before it is
/// closed for a new one, unless the header timeout is shorter.
const MIN_UNUSED_TIME: Duration = Duration::from_secs(2);

/// Largest size of the buffers of a connection whose request is being read, in
/// bytes.
const CONNECTION_BYTES: u64 = 2 * MAX_HEADER_BYTES as u64;

/// Part of the memory limit that these buffers may use.
const CONNECTION_MEMORY_DIVISOR: u64 = 6;

/// Size of the kernel's receive buffer of a caller's connection, in bytes; the
/// kernel doubles it. What it holds counts toward the memory of the process.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Interval at which a shutdown polls the number of requests in flight; also
/// the pause after an accept error.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum time for which a VM that shuts down still responds to new requests
/// with a refusal.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);

/// Maximum time for the answers to requests that a shutdown ends.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Time for the first request of a connection that was accepted as one of the
/// last; a round trip takes a few ms, and packets may be lost.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Size of the kernel's send buffer of a caller's connection, in bytes; the kernel
/// doubles it.
///
/// A connection accepts further bytes once a third of the buffer is free. In the
/// largest buffer of the kernel, a caller that reads slowly would seem to take
/// nothing for longer than the silence timeout.
const SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Maximum number of refusals that are being sent.
const MAX_REFUSALS: usize = 256;

/// Timeout for sending the refusal to a connection and for its close.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a connection above the limit. No request is read, so it may answer
/// HEAD and has no content.
const REFUSAL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-dewspring-ran: no\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 0\r\n\r\n";

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownOutcome {
    /// Every response was delivered completely.
    Finished,
    /// The time limit passed with this many requests in flight.
    CutOff(usize),
}

/// A running entry.
#[derive(Debug)]
pub struct EntryServer<C, G> {
    context: Arc<EntryContext<C, G>>,
    address: SocketAddr,
    stop: oneshot::Sender<Duration>,
    thread: JoinHandle<ShutdownOutcome>,
}

impl<C: ConfigSource, G: GrantSource> EntryServer<C, G> {
    /// Binds the address and starts serving callers.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the address can't be bound or the threads
    /// can't be started.
    pub fn bind(address: SocketAddr, context: Arc<EntryContext<C, G>>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        // Accepted connections inherit it.
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(context.settings.threads)
            .thread_name("entry")
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::clone(&context);
        let thread = std::thread::Builder::new()
            .name("entry-listener".into())
            .spawn(move || run(&runtime, listener, shared, stopped))?;
        Ok(Self {
            context,
            address,
            stop,
            thread,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new requests, waits for those in flight up to the time limit, and
    /// stops the listener.
    ///
    /// # Panics
    ///
    /// Panics if the entry's thread has panicked.
    pub fn shut_down(self, limit: Duration) -> ShutdownOutcome {
        let end = Instant::now() + limit.saturating_sub(answer_time(limit));
        self.context.start_draining(end);
        // The send fails only if the thread has ended; `join` handles that.
        let _ended = self.stop.send(limit);
        self.thread.join().expect("the entry's thread runs")
    }
}

fn run<C: ConfigSource, G: GrantSource>(
    runtime: &Runtime,
    listener: TcpListener,
    context: Arc<EntryContext<C, G>>,
    stopped: oneshot::Receiver<Duration>,
) -> ShutdownOutcome {
    runtime.block_on(async {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("entry: The listener failed: {error}.");
                return ShutdownOutcome::Finished;
            }
        };
        let graceful = GracefulShutdown::new();
        let acceptor = ConnectionAcceptor::new(Arc::clone(&context), || graceful.watcher());
        let limit = tokio::select! {
            () = acceptor.accept_all(&listener) => Duration::ZERO,
            limit = drain_on_stop(&context, stopped) => limit,
        };
        let unfinished = context.in_flight();
        if unfinished > 0 {
            log::warn!("entry: The shutdown ends {unfinished} requests in flight.");
        }
        context.end_requests();
        acceptor.accept_queued(listener);
        let started = Instant::now();
        sleep(limit.min(FIRST_REQUEST_TIME)).await;
        let limit = limit.saturating_sub(started.elapsed());
        match timeout(limit, graceful.shutdown()).await {
            Ok(()) if unfinished == 0 => ShutdownOutcome::Finished,
            Ok(()) => ShutdownOutcome::CutOff(unfinished),
            Err(_) => ShutdownOutcome::CutOff(unfinished.max(context.in_flight())),
        }
    })
}

/// Returns the part of a shutdown's time limit that is left for the answers to
/// requests that haven't ended.
fn answer_time(limit: Duration) -> Duration {
    MAX_ANSWER_TIME.min(limit / 10)
}

/// Waits for the stop signal, then until no request is in flight or the time
/// limit passes.
///
/// Meanwhile connections are still accepted and their requests refused.
/// Returns the rest of the time limit.
async fn drain_on_stop<C: ConfigSource, G: GrantSource>(
    context: &Arc<EntryContext<C, G>>,
    stopped: oneshot::Receiver<Duration>,
) -> Duration {
    let limit = stopped.await.unwrap_or_default();
    let started = Instant::now();
    while started.elapsed() < limit.saturating_sub(answer_time(limit)) {
        if context.in_flight() == 0 && started.elapsed() >= MIN_DRAIN_TIME {
            break;
        }
        sleep(DRAIN_INTERVAL).await;
    }
    limit.saturating_sub(started.elapsed())
}

/// Accepts connections up to their limit, and refuses those above it.
struct ConnectionAcceptor<C, G, W> {
    context: Arc<EntryContext<C, G>>,
    watcher: W,
    limit: usize,
    slots: Arc<Semaphore>,
    /// Pending refusals have a limit, too.
    refusals: Arc<Semaphore>,
    registry: ConnectionRegistry,
    /// Connections to which a refusal is being sent.
    refused: ConnectionRegistry,
}

impl<C: ConfigSource, G: GrantSource, W: Fn() -> Watcher> ConnectionAcceptor<C, G, W> {
    fn new(context: Arc<EntryContext<C, G>>, watcher: W) -> Self {
        let memory = context.settings.memory_bytes / CONNECTION_MEMORY_DIVISOR;
        let affordable = usize::try_from(memory / CONNECTION_BYTES).unwrap_or(usize::MAX);
        let limit = context.settings.max_connections.min(affordable.max(1));
        Self {
            context,
            watcher,
            limit,
            slots: Arc::new(Semaphore::new(limit)),
            refusals: Arc::new(Semaphore::new(limit.min(MAX_REFUSALS))),
            registry: ConnectionRegistry::default(),
            refused: ConnectionRegistry::default(),
        }
    }

    /// Accepts connections without end.
    async fn accept_all(&self, listener: &tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(error) => {
                    log::warn!("entry: Accepting a connection failed: {error}.");
                    sleep(DRAIN_INTERVAL).await;
                }
            }
        }
    }

    /// Accepts the connections in the kernel's queue and stops listening; closing
    /// the listener would reset them.
    fn accept_queued(&self, listener: tokio::net::TcpListener) {
        let accept_one = |listener: &TcpListener| {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!("entry: The last connections were not accepted: {error}.");
                return;
            }
        };
        loop {
            match accept_one(&listener) {
                Ok(stream) => self.admit(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The caller has gone; others may be in the queue behind it.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!("entry: Accepting a connection failed: {error}.");
                    return;
                }
            }
        }
    }

    /// Serves a connection. Above the limit, an unused one is closed for it, or it is
    /// refused.
    fn admit(&self, stream: TcpStream) {
        let limit = self.limit;
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            self.serve(stream, slot);
            return;
        }
        let unused_time = MIN_UNUSED_TIME.min(self.context.settings.header_timeout);
        let is_closing_unused = self.registry.close_unused(unused_time);
        let effect = if is_closing_unused {
            "unused_closed"
        } else {
            "refused"
        };
        self.context.metrics.count_limit("connections", effect);
        if is_closing_unused {
            log::warn!(
                "entry: An unused connection was closed for one above the limit of {limit}."
            );
        } else {
            log::warn!("entry: A connection above the limit of {limit} was refused.");
        }
        if !is_closing_unused {
            self.refuse(stream);
            return;
        }
        let slots = Arc::clone(&self.slots);
        let context = Arc::clone(&self.context);
        let (watcher, registry) = ((self.watcher)(), self.registry.clone());
        tokio::spawn(async move {
            match timeout(REFUSAL_TIMEOUT, slots.acquire_owned()).await {
                Ok(Ok(slot)) => {
                    serve_connection(stream, context, watcher, &registry).await;
                    drop(slot);
                }
                Ok(Err(_)) | Err(_) => refuse_connection(stream).await,
            }
        });
    }

    /// Sends the refusal to a connection. If too many are being sent, the one that has
    /// been open for longest is cut off.
    fn refuse(&self, stream: TcpStream) {
        if self.refusals.available_permits() == 0 {
            self.refused.close_unused(Duration::ZERO);
        }
        let (refusals, refused) = (Arc::clone(&self.refusals), self.refused.clone());
        tokio::spawn(async move {
            let slot = timeout(REFUSAL_TIMEOUT, refusals.acquire_owned()).await;
            let (_handle, closed) = refused.open();
            tokio::select! {
                () = refuse_connection(stream) => {}
                Ok(()) = closed => {}
            }
            drop(slot);
        });
    }

    fn serve(&self, stream: TcpStream, slot: OwnedSemaphorePermit) {
        let connections = self.limit - self.slots.available_permits();
        self.context.metrics.set_connections(connections);
        let watcher = (self.watcher)();
        let (context, registry) = (Arc::clone(&self.context), self.registry.clone());
        tokio::spawn(async move {
            serve_connection(stream, context, watcher, &registry).await;
            drop(slot);
        });
    }
}

async fn refuse_connection(stream: TcpStream) {
    let refused = timeout(REFUSAL_TIMEOUT, send_refusal(stream)).await;
    if !matches!(refused, Ok(Ok(()))) {
        log::debug!("entry: A refusal could not be delivered to its connection.");
    }
}

/// Writes the refusal and closes the connection once the caller has closed its
/// sending direction.
async fn send_refusal(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(REFUSAL_RESPONSE).await?;
    let mut stream = LingeringStream::new(stream);
    poll_fn(|context| Pin::new(&mut stream).poll_shutdown(context)).await
}

async fn serve_connection<C: ConfigSource, G: GrantSource>(
    stream: TcpStream,
    context: Arc<EntryContext<C, G>>,
    watcher: Watcher,
    registry: &ConnectionRegistry,
) {
    let (handle, closed) = registry.open();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: Setting TCP_NODELAY on a connection failed: {error}.");
    }
    if let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!("entry: Setting the send buffer of a connection failed: {error}.");
    }
    let header_timeout = context.settings.header_timeout;
    let stream = LingeringStream::new(stream);
    let reset = stream.reset_guard();
    let service = service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&context);
        let handle = handle.clone();
        if request.version() < Version::HTTP_11 {
            reset.arm();
        }
        // The connection holds the memory of its service future even after the
        // future has completed. Boxing the handler releases its memory before
        // the response body is streamed.
        async move { Box::pin(respond(context, request, handle)).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(stream, service);
    tokio::select! {
        ended = watcher.watch(connection) => {
            if let Err(error) = ended {
                log::debug!("entry: A connection ended early: {error}.");
            }
        }
        Ok(()) = closed => {}
    }
}

async fn respond<C: ConfigSource, G: GrantSource>(
    context: Arc<EntryContext<C, G>>,
    request: Request<Incoming>,
    connection: ConnectionHandle,
) -> Result<Response<GuardedBody>, Infallible> {
    Ok(handle(context, request, &connection).await)
}
