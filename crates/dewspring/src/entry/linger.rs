//! A caller's connection that is closed without a loss of the last answer.
//!
//! A connection that is closed with bytes unread is reset, and a reset can take
//! the answer from a caller that is still sending. So the sending side is
//! closed first, and what still comes is read and dropped, within limits of
//! size and time. Nothing that is read so is ever seen by the handler.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Longest time for which a closed connection is still read.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most that is read from a closed connection, in bytes: the largest body that
/// a table may allow.
const LINGER_BYTES: usize = 256 << 20;

/// Most that is read at once, in bytes.
const PIECE_BYTES: usize = 8 << 10;

/// What is left of the time and the size after the sending side was closed.
#[derive(Debug)]
struct LingerBudget {
    deadline: Pin<Box<Sleep>>,
    bytes: usize,
}

/// A connection whose shutdown waits for the caller's end of sending.
#[derive(Debug)]
pub(super) struct LingeringStream {
    stream: TokioIo<TcpStream>,
    budget: Option<LingerBudget>,
}

impl LingeringStream {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: TokioIo::new(stream),
            budget: None,
        }
    }

    /// Reads and drops what comes until the caller closes or the budget ends.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let budget = self.budget.get_or_insert_with(|| LingerBudget {
            deadline: Box::pin(sleep(LINGER_TIME)),
            bytes: LINGER_BYTES,
        });
        let mut piece = [0; PIECE_BYTES];
        while budget.bytes > 0 && budget.deadline.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut piece);
            let stream = Pin::new(self.stream.inner_mut());
            // A reset ends the wait like a close.
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.budget.is_none() {
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
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }
}
