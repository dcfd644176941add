//! A non-blocking connection with its buffers.
//!
//! The main invariant: bytes are written in the order in which they were
//! queued, and a connection that closed or broke never delivers more bytes.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{SockRef, TcpKeepalive};

/// Bytes that one read takes at most.
const READ_BYTES: usize = 32 * 1024;

/// Time after which a caller that acknowledges nothing counts as gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a server that acknowledges nothing counts as gone; lost
/// packets are sent again several times by then.
const SERVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time after which the kernel asks whether the peer lives, and the time
/// between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions without an answer after which the peer counts as gone.
const KEEPALIVE_PROBES: u32 = 3;

/// What a read found at the end of its bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadState {
    /// No more bytes yet.
    Open,
    /// The peer has closed its side.
    Closed,
    /// The connection broke.
    Broken,
}

/// A connection with its buffers.
#[derive(Debug)]
pub(crate) struct TcpChannel {
    pub(crate) stream: TcpStream,
    pub(crate) inbound: Vec<u8>,
    outbound: Vec<u8>,
    written: usize,
    read_state: ReadState,
}

impl TcpChannel {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbound: Vec::new(),
            outbound: Vec::new(),
            written: 0,
            read_state: ReadState::Open,
        }
    }

    /// Starts a connection to a server or to the store.
    pub(crate) fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        set_socket_options(&stream, SERVER_TIMEOUT)?;
        Ok(Self::new(stream))
    }

    /// Lets the loop hear of the connection under a token.
    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut self.stream, token, interest)
    }

    /// Queues bytes; [`Self::flush`] sends them.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Returns the bytes that are queued and not yet sent.
    pub(crate) fn unsent(&self) -> usize {
        self.outbound.len() - self.written
    }

    /// Sends as much as the connection takes.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while self.written < self.outbound.len() {
            match self.stream.write(&self.outbound[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.outbound.clear();
        self.written = 0;
        Ok(())
    }

    /// Reads what there is, up to `limit` bytes in the buffer.
    ///
    /// With `closing`, reads on after a short read, because the end of the
    /// connection follows it.
    pub(crate) fn fill(&mut self, limit: usize, closing: bool) -> ReadState {
        while self.read_state == ReadState::Open && self.inbound.len() < limit {
            let start = self.inbound.len();
            self.inbound.resize(start + READ_BYTES, 0);
            let result = self.stream.read(&mut self.inbound[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.inbound.truncate(start + count);
            match result {
                Ok(0) => self.read_state = ReadState::Closed,
                Ok(count) if count < READ_BYTES && !closing => break,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.read_state = ReadState::Broken,
            }
        }
        self.read_state
    }

    /// Takes the first bytes out of the buffer of what was read.
    pub(crate) fn consume(&mut self, count: usize) {
        self.inbound.drain(..count);
    }

    /// Gives back buffers that grew large, for a connection that idles.
    pub(crate) fn shrink(&mut self) {
        if self.inbound.is_empty() {
            self.inbound = Vec::new();
        }
        if self.outbound.is_empty() {
            self.outbound = Vec::new();
        }
    }
}

/// Makes the kernel notice a caller that fell silent.
pub(crate) fn set_caller_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options(stream, CALLER_TIMEOUT)
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
