//! Lingering close of a caller's connection.
//!
//! Closing a socket with unread bytes resets the connection, and a reset can
//! discard the last response before a caller that is still sending reads it.
//! A lingering close shuts down the write direction first and then reads and
//! discards bytes, up to a limit of size and time. The handler never sees them.
//!
//! A caller without chunks takes the end of its connection for the end of a
//! response without a length. Its connection therefore ends with a reset, unless
//! the response is complete.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Maximum duration of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes that a lingering close discards: the largest body
/// that the tables may allow.
const MAX_LINGER_BYTES: usize = 256 << 20;

/// Size of the buffer for discarded bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Remaining time and bytes of a lingering close.
#[derive(Debug)]
struct LingerBudget {
    deadline: Pin<Box<Sleep>>,
    bytes: usize,
}

/// Whether a connection must end with a reset, unless it is shut down.
#[derive(Clone, Debug, Default)]
pub(super) struct ResetGuard(Arc<AtomicBool>);

impl ResetGuard {
    /// Lets the connection end with a reset from its next write on, also if the
    /// process is killed.
    pub(super) fn arm(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection whose shutdown is a lingering close.
#[derive(Debug)]
pub(super) struct LingeringStream {
    stream: TokioIo<TcpStream>,
    budget: Option<LingerBudget>,
    reset: ResetGuard,
    /// Whether the kernel was told to end the connection with a reset.
    resets: bool,
}

impl LingeringStream {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: TokioIo::new(stream),
            budget: None,
            reset: ResetGuard::default(),
            resets: false,
        }
    }

    /// Returns the guard that lets the connection end with a reset.
    pub(super) fn reset_guard(&self) -> ResetGuard {
        self.reset.clone()
    }

    /// Tells the kernel how the connection ends if it is closed now.
    fn set_reset(&mut self, resets: bool) -> io::Result<()> {
        if self.resets == resets {
            return Ok(());
        }
        self.resets = resets;
        let stream = self.stream.inner();
        if resets {
            stream.set_zero_linger()
        } else {
            SockRef::from(stream).set_linger(None)
        }
    }

    /// Applies the guard before a write.
    fn apply_guard(&mut self) -> io::Result<()> {
        match self.reset.0.load(Ordering::Relaxed) {
            true => self.set_reset(true),
            false => Ok(()),
        }
    }

    /// Reads and discards bytes until the caller closes or the budget is used up.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let budget = self.budget.get_or_insert_with(|| LingerBudget {
            deadline: Box::pin(sleep(LINGER_TIMEOUT)),
            bytes: MAX_LINGER_BYTES,
        });
        let mut discarded = [0; READ_BUFFER_BYTES];
        while budget.bytes > 0 && budget.deadline.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
            let stream = Pin::new(self.stream.inner_mut());
            // A reset ends the lingering close as a regular close does.
            let read = ready!(stream.poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            budget.bytes = budget.bytes.saturating_sub(buffer.filled().len());
        }
        Poll::Ready(())
    }
}

impl Read for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_guard()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.budget.is_none() {
            // The response is complete.
            self.set_reset(false)?;
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        self.poll_discard(context).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_guard()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }
}
