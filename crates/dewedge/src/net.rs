//! Buffered non-blocking TCP connections.
//!
//! The main invariant: bytes are written in the order in which they were
//! queued, and a closed or broken connection delivers no more bytes.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{SockRef, TcpKeepalive};

/// Maximum bytes of one read.
const READ_BYTES: usize = 32 * 1024;

/// TCP user timeout of connections that carry callers' requests: time after
/// which a connection with unacknowledged data is aborted. Sound servers may be
/// silent for seconds; silent ones are detected sooner by their responses.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// TCP user timeout of connections to the store; lost packets are retransmitted
/// several times by then.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is aborted.
const KEEPALIVE_PROBES: u32 = 3;

/// State of the receiving direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadState {
    /// More bytes may follow.
    Open,
    /// The peer closed its sending direction.
    Closed,
    /// Reading failed.
    Broken,
}

/// A TCP connection with its buffers.
#[derive(Debug)]
pub(crate) struct TcpChannel {
    pub(crate) stream: TcpStream,
    pub(crate) inbound: Vec<u8>,
    outbound: Vec<u8>,
    written: usize,
    read_state: ReadState,
    /// Whether the last [`Self::fill`] may have left bytes in the socket.
    may_have_more: bool,
    /// Kind of the error that broke the connection.
    broken_by: Option<io::ErrorKind>,
}

impl TcpChannel {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbound: Vec::new(),
            outbound: Vec::new(),
            written: 0,
            read_state: ReadState::Open,
            may_have_more: false,
            broken_by: None,
        }
    }

    /// Starts connecting to a server.
    pub(crate) fn connect_server(address: SocketAddr) -> io::Result<Self> {
        Self::connect(address, REQUEST_TIMEOUT)
    }

    /// Starts connecting to the store.
    pub(crate) fn connect_store(address: SocketAddr) -> io::Result<Self> {
        Self::connect(address, STORE_TIMEOUT)
    }

    fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        set_socket_options(&stream, timeout)?;
        Ok(Self::new(stream))
    }

    /// Registers the connection with the event loop under a token.
    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut self.stream, token, interest)
    }

    /// Lets the connection be reset when it is dropped: bytes that the peer hasn't
    /// received are discarded.
    pub(crate) fn reset_on_close(&self) {
        // Without the option the connection ends in order, which the peer may read.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Queues bytes, which [`Self::flush`] sends.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Returns the number of queued bytes.
    pub(crate) fn unsent(&self) -> usize {
        self.outbound.len() - self.written
    }

    /// Sends as many queued bytes as the socket accepts.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while self.written < self.outbound.len() {
            match self.stream.write(&self.outbound[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.broken_by.get_or_insert(error.kind());
                    return Err(error);
                }
            }
        }
        self.outbound.clear();
        self.written = 0;
        Ok(())
    }

    /// Reads available bytes until the buffer holds at least `limit` bytes.
    ///
    /// Stops after a short read, which means that the socket is empty. With
    /// `closing`, continues, because the end of the stream follows. If
    /// [`Self::may_have_more`] holds afterwards, the caller must call it again
    /// once it has processed the bytes: no event announces the rest.
    pub(crate) fn fill(&mut self, limit: usize, closing: bool) -> ReadState {
        self.may_have_more = true;
        while self.read_state == ReadState::Open && self.inbound.len() < limit {
            let start = self.inbound.len();
            self.inbound.resize(start + READ_BYTES, 0);
            let result = self.stream.read(&mut self.inbound[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.inbound.truncate(start + count);
            match result {
                Ok(0) => self.read_state = ReadState::Closed,
                Ok(count) if count < READ_BYTES && !closing => {
                    self.may_have_more = false;
                    break;
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.may_have_more = false;
                    break;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.broken_by.get_or_insert(error.kind());
                    self.read_state = ReadState::Broken;
                }
            }
        }
        self.may_have_more &= self.read_state == ReadState::Open;
        self.read_state
    }

    /// Returns whether the connection is open and has no unread byte, also none
    /// that no event has announced yet.
    pub(crate) fn is_quiet(&self) -> bool {
        let is_read = self.read_state == ReadState::Open && self.inbound.is_empty();
        let peeked = self.stream.peek(&mut [0]);
        is_read && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the last [`Self::fill`] stopped at its limit, so that
    /// the socket may hold further bytes.
    pub(crate) fn may_have_more(&self) -> bool {
        self.may_have_more
    }

    /// Returns how the connection ended, for log lines.
    pub(crate) fn end_reason(&self) -> &'static str {
        match self.broken_by {
            None => "closed",
            Some(io::ErrorKind::TimedOut) => "connection timed out",
            Some(_) => "connection reset",
        }
    }

    /// Removes the first bytes of the inbound buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.inbound.drain(..count);
    }

    /// Frees empty buffers of a connection that becomes idle.
    pub(crate) fn shrink(&mut self) {
        if self.inbound.is_empty() {
            self.inbound = Vec::new();
        }
        if self.outbound.is_empty() {
            self.outbound = Vec::new();
        }
    }
}

/// Sets socket options that detect a dead caller.
pub(crate) fn set_caller_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options(stream, REQUEST_TIMEOUT)
}

fn set_socket_options(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    socket.set_tcp_nodelay(true)
}
