//! The listener for callers: connections, limits and shutdown.

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
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{sleep, timeout};

use super::body::AnswerBody;
use super::context::{ConfigSource, EntryContext};
use super::grants::GrantSource;
use super::handler::handle;
use super::linger::LingeringStream;

/// Largest header of a request, in bytes.
///
/// It is compared with what is held after a read that found no end of the
/// header, so a header of up to twice the size may pass.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// Time between two looks at the requests in flight at shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a VM that leaves still answers new requests with a refusal.
const DRAIN_NOTICE: Duration = Duration::from_millis(300);

/// Time for a refused connection to take its answer and to close.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);

/// Answer to a connection above the limit.
const BUSY_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/problem+json\r\n\
    x-dewspring-ran: no\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 75\r\n\r\n\
    {\"type\":\"urn:dewspring:problem:connections\",\"title\":\"Too many connections\"}";

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownOutcome {
    /// Every answer was delivered to its last byte.
    Finished,
    /// The time was up with this many requests in flight.
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
    /// Binds the address and begins to serve callers.
    ///
    /// # Errors
    ///
    /// An [`io::Error`] if the address can't be bound or threads can't be
    /// started.
    pub fn bind(address: SocketAddr, context: Arc<EntryContext<C, G>>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
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

    /// Returns the address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new requests, finishes those in flight, and stops.
    ///
    /// # Panics
    ///
    /// Panics if the entry's thread has panicked.
    pub fn shut_down(self, limit: Duration) -> ShutdownOutcome {
        self.context.start_draining();
        // A thread that has ended by itself is seen by the join.
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
        let shared = Arc::clone(&context);
        let watcher = || graceful.watcher();
        let limit = tokio::select! {
            () = accept_connections(&listener, shared, watcher) => Duration::ZERO,
            limit = drain_after(&context, stopped) => limit,
        };
        drop(listener);
        match timeout(limit, graceful.shutdown()).await {
            Ok(()) => ShutdownOutcome::Finished,
            Err(_) => ShutdownOutcome::CutOff(context.in_flight()),
        }
    })
}

/// Waits for the stop, then until nothing is in flight or the time is up.
///
/// Connections are still accepted meanwhile, and their requests refused.
/// Returns the time that is left.
async fn drain_after<C: ConfigSource, G: GrantSource>(
    context: &Arc<EntryContext<C, G>>,
    stopped: oneshot::Receiver<Duration>,
) -> Duration {
    let limit = stopped.await.unwrap_or_default();
    let started = Instant::now();
    while started.elapsed() < limit {
        if context.in_flight() == 0 && started.elapsed() >= DRAIN_NOTICE {
            break;
        }
        sleep(DRAIN_INTERVAL).await;
    }
    limit.saturating_sub(started.elapsed())
}

async fn accept_connections<C: ConfigSource, G: GrantSource>(
    listener: &tokio::net::TcpListener,
    context: Arc<EntryContext<C, G>>,
    watcher: impl Fn() -> Watcher,
) {
    let limit = context.settings.max_connections;
    let slots = Arc::new(Semaphore::new(limit));
    // Refused connections are bounded too; those above are just closed.
    let refusals = Arc::new(Semaphore::new(limit));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("entry: A connection was not accepted: {error}.");
                sleep(DRAIN_INTERVAL).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!("entry: A connection above the limit of {limit} was refused.");
            if let Ok(slot) = Arc::clone(&refusals).try_acquire_owned() {
                tokio::spawn(async move {
                    refuse_connection(stream).await;
                    drop(slot);
                });
            }
            continue;
        };
        context
            .metrics
            .set_connections(limit - slots.available_permits());
        let watcher = watcher();
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            serve_connection(stream, context, watcher).await;
            drop(slot);
        });
    }
}

async fn refuse_connection(stream: TcpStream) {
    let refused = timeout(BUSY_TIMEOUT, send_refusal(stream)).await;
    if !matches!(refused, Ok(Ok(()))) {
        log::debug!("entry: A refused connection took no answer.");
    }
}

/// Writes the refusal and closes once the caller has ended its sending.
async fn send_refusal(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(BUSY_ANSWER).await?;
    let mut stream = LingeringStream::new(stream);
    poll_fn(|context| Pin::new(&mut stream).poll_shutdown(context)).await
}

async fn serve_connection<C: ConfigSource, G: GrantSource>(
    stream: TcpStream,
    context: Arc<EntryContext<C, G>>,
    watcher: Watcher,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("entry: A connection has no low delay: {error}.");
    }
    let header_timeout = context.settings.header_timeout;
    let service = service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&context);
        // The connection keeps the place of its last future; a box of its own
        // gives the memory back while the answer is streamed.
        async move { Box::pin(answer(context, request)).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(LingeringStream::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("entry: A connection ended early: {error}.");
    }
}

async fn answer<C: ConfigSource, G: GrantSource>(
    context: Arc<EntryContext<C, G>>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    Ok(handle(context, request).await)
}
