//! Counters of the peer worker, and a stream wrapper that counts bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Monotonic counter.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    pub(super) fn add(&self, amount: usize) {
        let amount = u64::try_from(amount).unwrap_or(u64::MAX);
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters that the worker's tasks share.
#[derive(Debug, Default)]
pub(super) struct CounterSet {
    pub(super) bytes_sent: Counter,
    pub(super) bytes_received: Counter,
    pub(super) failed_handshakes: Counter,
    pub(super) bad_frames: Counter,
    pub(super) refused_connections: Counter,
    pub(super) idle_connections: Counter,
    pub(super) dropped_heartbeats: Counter,
    pub(super) lost_notices: Counter,
}

impl CounterSet {
    /// Returns the current values.
    pub(super) fn snapshot(&self) -> PeerCounts {
        PeerCounts {
            bytes_sent: self.bytes_sent.get(),
            bytes_received: self.bytes_received.get(),
            failed_handshakes: self.failed_handshakes.get(),
            bad_frames: self.bad_frames.get(),
            refused_connections: self.refused_connections.get(),
            idle_connections: self.idle_connections.get(),
            dropped_heartbeats: self.dropped_heartbeats.get(),
            lost_notices: self.lost_notices.get(),
        }
    }
}

/// Counts since the start of the peer worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounts {
    /// Bytes written to other VMs, without TCP/IP headers.
    pub bytes_sent: u64,
    /// Bytes read from other VMs, without TCP/IP headers.
    pub bytes_received: u64,
    /// Incoming connections that didn't prove knowledge of the shared secret.
    pub failed_handshakes: u64,
    /// Connections closed because of a frame that is too long or can't be decoded.
    pub bad_frames: u64,
    /// Connections closed because there were too many.
    pub refused_connections: u64,
    /// Incoming connections closed because they were idle.
    pub idle_connections: u64,
    /// Heartbeats dropped, for example those of a replaced boot.
    pub dropped_heartbeats: u64,
    /// Releases and withdrawals that weren't delivered to their broker.
    pub lost_notices: u64,
}

/// Stream that counts the bytes read and written.
#[derive(Debug)]
pub(super) struct CountedStream<Stream> {
    stream: Stream,
    counters: Arc<CounterSet>,
}

impl<Stream> CountedStream<Stream> {
    pub(super) fn new(stream: Stream, counters: Arc<CounterSet>) -> Self {
        CountedStream { stream, counters }
    }
}

impl CountedStream<TcpStream> {
    /// Sets `TCP_NODELAY`; a failure only delays small frames.
    pub(super) fn set_nodelay(&mut self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("peer: can't set TCP_NODELAY on a connection: {error}.");
        }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for CountedStream<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.counters.bytes_received.add(read);
        poll
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for CountedStream<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = &poll {
            self.counters.bytes_sent.add(*written);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
