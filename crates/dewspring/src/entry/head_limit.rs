//! Limits the bytes that a server may send before the header of its response is
//! complete.
//!
//! The HTTP library reads interim responses without a limit, and a server that
//! sends them without end would keep a worker thread busy.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum bytes before the header is complete. The first part of the body, which
/// may be read together with the header, counts as well.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Value of the remaining bytes that stands for no limit.
const NO_LIMIT: usize = usize::MAX;

/// The remaining bytes of a [`HeadLimitedStream`].
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Lifts the limit, because the header is complete.
    pub(super) fn lift(&self) {
        self.0.store(NO_LIMIT, Ordering::Relaxed);
    }

    /// Counts bytes; returns whether they are within the limit.
    fn record_read(&self, count: usize) -> bool {
        let spend = |left: usize| match left {
            NO_LIMIT => Some(NO_LIMIT),
            left => left.checked_sub(count),
        };
        let spent = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        spent.is_ok()
    }
}

/// A connection whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub(super) struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimitedStream<S> {
    /// Wraps a new connection; returns it with its limit.
    pub(super) fn new(stream: S) -> (Self, HeadLimit) {
        let limit = HeadLimit(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)));
        let limited = Self {
            stream,
            limit: limit.clone(),
        };
        (limited, limit)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.limit.record_read(buffer.filled().len() - filled) {
            return Poll::Ready(Ok(()));
        }
        let error = format!("no response header within {MAX_HEAD_BYTES} bytes");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
