//! Buffered non-blocking TCP connections.
//!
//! The main invariant: bytes are written in the order in which they were
//! queued, and a closed or broken connection delivers no more bytes. A connection on
//! which reading or writing has failed is broken, also if its end is read after the
//! failure. Buffers hold no more than what they contain, and their bytes are charged
//! to the account of the process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dewbudget::{ByteCharge, SegmentedBody};
use dewhttp::ConnectionState;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{SockRef, TcpKeepalive};

/// Maximum bytes of one read.
const READ_BYTES: usize = 32 * 1024;

/// Size up to which queued bytes are copied, so that they are sent together with
/// what was queued before them.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Size of the kernel's receive buffer of a caller's connection, in bytes; the
/// kernel doubles it. What it holds counts toward the memory of the process.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// The same of a connection to a server, which isn't read while its caller is slow.
const SERVER_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// The same of a caller's connection that isn't read any more.
const UNREAD_BUFFER_BYTES: usize = 2 * 1024;

thread_local! {
    /// Buffer of all reads of the event loop, so that connections hold none.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// TCP user timeout of connections that carry callers' requests: time after
/// which a connection with unacknowledged data is aborted. Sound servers may be
/// silent for seconds; silent ones are detected sooner by their responses.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// TCP user timeout of connections to the store; lost packets are retransmitted
/// several times by then.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// TCP user timeout of connections to the platform's API: the time-out of a call. A
/// process that is frozen can't abort its call, but the kernel stops retransmitting
/// it.
const API_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is aborted.
const KEEPALIVE_PROBES: u32 = 3;

/// Queued bytes.
#[derive(Debug)]
enum OutboundPiece {
    Owned(Vec<u8>),
    /// A segment of a body that others may send, too.
    Shared(Rc<SegmentedBody>, usize),
}

impl OutboundPiece {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Owned(bytes) => bytes,
            Self::Shared(body, index) => body.segment(*index).unwrap_or_default(),
        }
    }
}

/// Charges of a connection's buffers.
#[derive(Debug, Default)]
pub(crate) struct ChannelCharges {
    pub(crate) inbound: ByteCharge,
    pub(crate) outbound: ByteCharge,
}

/// A TCP connection with its buffers.
#[derive(Debug)]
pub(crate) struct TcpChannel {
    pub(crate) stream: TcpStream,
    pub(crate) inbound: Vec<u8>,
    outbound: VecDeque<OutboundPiece>,
    /// Bytes of the first piece that are written.
    written: usize,
    unsent: usize,
    /// Bytes that the socket has accepted.
    sent: u64,
    /// Bytes of the pieces that the connection owns.
    owned: usize,
    charges: ChannelCharges,
    /// Whether the kernel's receive buffer is small because nothing is read.
    is_held_back: bool,
    /// Whether the peer closed its sending direction.
    is_closed: bool,
    /// Whether the last [`Self::fill`] may have left bytes in the socket.
    may_have_more: bool,
    /// Whether reading has failed.
    is_read_broken: bool,
    /// Kind of the first error of either direction.
    broken_by: Option<io::ErrorKind>,
}

impl TcpChannel {
    /// Wraps a connection whose buffers are charged to `charges`.
    pub(crate) fn new(stream: TcpStream, charges: ChannelCharges) -> Self {
        Self {
            stream,
            inbound: Vec::new(),
            outbound: VecDeque::new(),
            written: 0,
            unsent: 0,
            sent: 0,
            owned: 0,
            charges,
            is_held_back: false,
            is_closed: false,
            may_have_more: false,
            is_read_broken: false,
            broken_by: None,
        }
    }

    /// Starts connecting to a server.
    pub(crate) fn connect_server(address: SocketAddr, charges: ChannelCharges) -> io::Result<Self> {
        let mut channel = Self::connect(address, REQUEST_TIMEOUT)?;
        SockRef::from(&channel.stream).set_recv_buffer_size(SERVER_RECEIVE_BUFFER_BYTES)?;
        channel.charges = charges;
        Ok(channel)
    }

    /// Starts connecting to the store.
    pub(crate) fn connect_store(address: SocketAddr) -> io::Result<Self> {
        Self::connect(address, STORE_TIMEOUT)
    }

    /// Starts connecting to the platform's API. When the connection is closed, also
    /// by the end of the process, bytes that the API hasn't received are discarded.
    pub(crate) fn connect_api(address: SocketAddr) -> io::Result<Self> {
        let channel = Self::connect(address, API_TIMEOUT)?;
        SockRef::from(&channel.stream).set_linger(Some(Duration::ZERO))?;
        Ok(channel)
    }

    fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        set_socket_options(&stream, timeout)?;
        Ok(Self::new(stream, ChannelCharges::default()))
    }

    /// Registers the connection with the event loop under a token.
    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut self.stream, token, interest)
    }

    /// Queues bytes, which [`Self::flush`] sends.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        match self.outbound.back_mut() {
            Some(OutboundPiece::Owned(last)) if last.len() < MAX_COPIED_BYTES => {
                last.extend_from_slice(bytes);
            }
            _ => self.outbound.push_back(OutboundPiece::Owned(bytes.into())),
        }
        self.unsent += bytes.len();
        self.owned += bytes.len();
        self.update_charges();
    }

    /// Queues a body, whose segments become the connection's.
    pub(crate) fn queue_body(&mut self, body: SegmentedBody) {
        if body.len() <= MAX_COPIED_BYTES {
            body.segments().for_each(|segment| self.queue(segment));
            return;
        }
        self.unsent += body.len();
        self.owned += body.len();
        let pieces = body.into_segments().into_iter().map(OutboundPiece::Owned);
        self.outbound.extend(pieces);
        self.update_charges();
    }

    /// Queues a body that is kept for further attempts.
    pub(crate) fn queue_shared(&mut self, body: &Rc<SegmentedBody>) {
        if body.len() <= MAX_COPIED_BYTES {
            body.segments().for_each(|segment| self.queue(segment));
            return;
        }
        self.unsent += body.len();
        let indexes = 0..body.segments().count();
        let pieces = indexes.map(|index| OutboundPiece::Shared(Rc::clone(body), index));
        self.outbound.extend(pieces);
    }

    /// Returns the number of queued bytes.
    pub(crate) fn unsent(&self) -> usize {
        self.unsent
    }

    /// Returns the number of bytes that the socket has accepted.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }

    /// Sends as many queued bytes as the socket accepts.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let flushed = self.write_pieces();
        self.update_charges();
        flushed
    }

    fn write_pieces(&mut self) -> io::Result<()> {
        while let Some(piece) = self.outbound.front() {
            let bytes = piece.bytes();
            if self.written == bytes.len() {
                if let Some(OutboundPiece::Owned(sent)) = self.outbound.pop_front() {
                    self.owned -= sent.len();
                }
                self.written = 0;
                continue;
            }
            match self.stream.write(&bytes[self.written..]) {
                Ok(0) => return Err(self.record_failure(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    self.written += count;
                    self.unsent -= count;
                    self.sent += count as u64;
                }
                Err(error) if is_not_ready(&error) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(self.record_failure(error)),
            }
        }
        Ok(())
    }

    /// Records an error of either direction. The kernel reports the reset of a
    /// connection once: if a write does, reading ends as if in order.
    fn record_failure(&mut self, error: io::Error) -> io::Error {
        self.broken_by.get_or_insert(error.kind());
        error
    }

    /// Charges what the buffers hold now.
    fn update_charges(&mut self) {
        self.charges.inbound.set(self.inbound.capacity());
        self.charges.outbound.set(self.owned);
    }

    /// Sets the kernel's receive buffer: a small one while the connection isn't
    /// read, because unread bytes count toward the memory of the process.
    pub(crate) fn hold_back(&mut self, is_held_back: bool) {
        if self.is_held_back == is_held_back {
            return;
        }
        self.is_held_back = is_held_back;
        let bytes = match is_held_back {
            true => UNREAD_BUFFER_BYTES,
            false => RECEIVE_BUFFER_BYTES,
        };
        // The buffer stays as it is; it is bounded anyway.
        let _ = SockRef::from(&self.stream).set_recv_buffer_size(bytes);
    }

    /// Reads available bytes until the buffer holds at least `limit` bytes.
    ///
    /// Stops after a short read, which means that the socket is empty. With
    /// `closing`, continues, because the end of the stream follows. If
    /// [`Self::may_have_more`] holds afterwards, the caller must call it again
    /// once it has processed the bytes: no event announces the rest.
    pub(crate) fn fill(&mut self, limit: usize, closing: bool) -> ConnectionState {
        self.may_have_more = true;
        READ_BUFFER.with_borrow_mut(|buffer| {
            while !self.has_ended() && self.inbound.len() < limit {
                let size = READ_BYTES.min(limit - self.inbound.len());
                if !self.read_once(&mut buffer[..size], closing) {
                    self.may_have_more = false;
                    break;
                }
            }
        });
        self.may_have_more &= !self.has_ended();
        self.update_charges();
        self.state()
    }

    /// Returns whether no more bytes can be read. A failed write doesn't end reading:
    /// the kernel still has the bytes that arrived before.
    fn has_ended(&self) -> bool {
        self.is_closed || self.is_read_broken
    }

    /// Returns the state of the connection; bytes that weren't read yet come first.
    fn state(&mut self) -> ConnectionState {
        if self.may_have_more {
            return ConnectionState::Open;
        }
        if self.is_closed && self.broken_by.is_none() {
            // After the end of the stream, reading reports no error any more.
            let pending = self.stream.take_error().unwrap_or_else(Some);
            self.broken_by = pending.map(|error| error.kind());
        }
        match (self.broken_by, self.is_closed, self.unsent) {
            (Some(_), _, _) => ConnectionState::Broken,
            (None, false, _) => ConnectionState::Open,
            (None, true, 0) => ConnectionState::Ended,
            (None, true, _) => ConnectionState::Closed,
        }
    }

    /// Reads once; returns whether the socket may hold more.
    fn read_once(&mut self, buffer: &mut [u8], closing: bool) -> bool {
        let size = buffer.len();
        match self.stream.read(buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => {
                let room = self.inbound.capacity() - self.inbound.len();
                if room < count {
                    // Doubling would hold more than what arrives.
                    self.inbound
                        .reserve_exact(count.max(self.inbound.len() / 4));
                }
                self.inbound.extend_from_slice(&buffer[..count]);
                return count == size || closing;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => {
                self.record_failure(error);
                self.is_read_broken = true;
            }
        }
        true
    }

    /// Returns whether the connection is open and has no unread byte, also none
    /// that no event has announced yet.
    pub(crate) fn is_quiet(&self) -> bool {
        let is_read = !self.has_ended() && self.broken_by.is_none() && self.inbound.is_empty();
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

    /// Removes the first bytes of the inbound buffer; an empty one is freed.
    pub(crate) fn consume(&mut self, count: usize) {
        if count == self.inbound.len() {
            self.inbound = Vec::new();
        } else {
            self.inbound.drain(..count);
        }
        self.update_charges();
    }

    /// Discards the inbound buffer.
    pub(crate) fn discard_inbound(&mut self) {
        self.consume(self.inbound.len());
    }
}

/// Returns whether a write has to wait, also for a connection that isn't established.
fn is_not_ready(error: &io::Error) -> bool {
    use io::ErrorKind::{NotConnected, WouldBlock};
    matches!(error.kind(), NotConnected | WouldBlock)
}

/// Bounds what the kernel holds for each connection of a listener; accepted
/// connections inherit it.
pub(crate) fn set_listener_options(listener: &mio::net::TcpListener) {
    // Without it, callers are served in the same way, with larger buffers.
    let _ = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
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
