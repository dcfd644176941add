//! A connection to a server whose response is checked while it is read.
//!
//! The HTTP library takes some responses that break the protocol, and reads interim
//! ones without a limit. It sees the end of a stream, but not whether its own write
//! got the error that ended the connection.
//!
//! The main invariant: bytes that [`ResponseReader`] rejects fail the read, and the
//! end of the stream is reported only if it completes the response.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use dewbudget::BodySink;
use dewhttp::{ConnectionState, ResponseError, ResponseProgress, ResponseReader};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum bytes of a head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Content that the reader decodes only to find its end.
struct DiscardedContent;

impl BodySink for DiscardedContent {
    fn append(&mut self, _bytes: &[u8]) {}
}

/// A connection that carries one request and its response.
#[derive(Debug)]
pub(super) struct InspectedStream {
    stream: TcpStream,
    reader: ResponseReader,
    /// Bytes of an incomplete head.
    partial_head: Vec<u8>,
    has_received: bool,
    is_closed: bool,
    /// Whether the last write left bytes of the request.
    is_writing: bool,
    /// Kind of the first error of either direction.
    failure: Option<io::ErrorKind>,
    /// Reader that waits for the end of the request.
    waiting_reader: Option<Waker>,
}

impl InspectedStream {
    /// Wraps a new connection for a request with this method.
    pub(super) fn new(stream: TcpStream, method: &str) -> Self {
        Self {
            stream,
            reader: ResponseReader::new(method, MAX_HEAD_BYTES),
            partial_head: Vec::new(),
            has_received: false,
            is_closed: false,
            is_writing: false,
            failure: None,
            waiting_reader: None,
        }
    }

    fn inspect(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
        self.has_received = true;
        if self.reader.head().is_some() {
            self.reader.read_content(bytes, &mut DiscardedContent)?;
            return Ok(());
        }
        self.partial_head.extend_from_slice(bytes);
        let used = self.reader.read_head(&self.partial_head)?;
        self.partial_head.drain(..used);
        if self.reader.head().is_some() {
            let content = std::mem::take(&mut self.partial_head);
            self.reader.read_content(&content, &mut DiscardedContent)?;
        }
        Ok(())
    }

    /// Returns the state of the connection after the end of the stream.
    fn ended_state(&mut self) -> ConnectionState {
        // After the end of the stream, reading reports no error any more.
        let pending = self.stream.take_error().unwrap_or_else(Some);
        let pending = pending.map(|error| error.kind());
        self.failure = self.failure.or(pending);
        match (self.failure, self.is_writing) {
            (Some(_), _) => ConnectionState::Broken,
            (None, true) => ConnectionState::Closed,
            (None, false) => ConnectionState::Ended,
        }
    }

    /// Reports the end of the stream if it completes the response. One that carried
    /// no byte is left to the library, which knows whether it has sent a request.
    fn poll_end(&mut self, context: &Context<'_>) -> Poll<io::Result<()>> {
        if !self.has_received {
            return Poll::Ready(Ok(()));
        }
        let connection = self.ended_state();
        match self.reader.progress(connection) {
            ResponseProgress::Complete => Poll::Ready(Ok(())),
            ResponseProgress::Incomplete => {
                self.waiting_reader = Some(context.waker().clone());
                Poll::Pending
            }
            ResponseProgress::BrokenOff => {
                let kind = self.failure.unwrap_or(io::ErrorKind::UnexpectedEof);
                Poll::Ready(Err(kind.into()))
            }
        }
    }

    /// Records the result of writing `count` bytes.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, count: usize) {
        match written {
            Poll::Pending => self.is_writing = true,
            Poll::Ready(Ok(written)) => self.is_writing = *written < count,
            Poll::Ready(Err(error)) => self.failure = self.failure.or(Some(error.kind())),
        }
        if let Some(reader) = self.waiting_reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_closed {
            return self.poll_end(context);
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = &buffer.filled()[before..];
        if received.is_empty() {
            self.is_closed = true;
            return self.poll_end(context);
        }
        let inspected = self.inspect(received);
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        Poll::Ready(inspected.map_err(invalid))
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written, bytes.len());
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let count = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(&written, count);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
