//! A connection to a service of the platform that carries one call at a time.
//!
//! The store client uses two of them, and the client of the platform's API one.
//! The main invariant: a call that has failed delivers no response later, because
//! its connection is closed. On a connection of [`ConnectionKind::Api`], it isn't
//! delivered later, either.

use std::net::SocketAddr;
use std::time::Duration;

use mio::{Registry, Token};

use crate::clock::Moment;
use crate::format::EncodedCall;
use crate::http::{ConnectionState, ResponseHead, ResponseProgress, ResponseReader};
use crate::net::TcpChannel;

/// Shortest time between a failed call and the next one.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest time between a failed call and the next one.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Time after which a response that has begun times out if no further byte of it
/// arrives.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum bytes of a response head.
const MAX_HEAD: usize = 16 * 1024;

/// Maximum bytes buffered from a response.
const MAX_RESPONSE: usize = 16 << 20;

/// What a connection is for, which decides how it treats its calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionKind {
    /// To the platform's API. A call ends at its deadline even while its response
    /// arrives, because the authority for it ends. A closed connection is always
    /// reset, also by the end of the process, so that the kernel doesn't deliver
    /// bytes of a call that has ended.
    Api,
    /// To the store. A response that still arrives may take longer, because lists are
    /// large.
    Store,
}

/// A call in progress.
#[derive(Debug)]
pub(crate) struct PendingCall<C> {
    call: C,
    sent: Moment,
    /// When the call times out. On a connection to the store, a response that has
    /// begun postpones it.
    pub(crate) deadline: Moment,
    reader: ResponseReader,
    body: Vec<u8>,
}

/// A connection to a service of the platform, reopened as needed.
#[derive(Debug)]
pub(crate) struct CallConnection<C> {
    kind: ConnectionKind,
    pub(crate) token: Token,
    channel: Option<TcpChannel>,
    /// Address to which the channel was opened.
    address: Option<SocketAddr>,
    pub(crate) pending: Option<PendingCall<C>>,
    pub(crate) retry_at: Moment,
    failures: u32,
}

/// State of a call after an event.
pub(crate) enum CallOutcome<C> {
    Pending,
    /// The call, when it was sent, and the head and body of its response.
    Completed(C, Moment, ResponseHead, Vec<u8>),
    /// The call, when it was sent, and why it failed.
    Failed(C, Moment, &'static str),
}

impl<C> CallConnection<C> {
    pub(crate) fn new(kind: ConnectionKind, token: Token) -> Self {
        Self {
            kind,
            token,
            channel: None,
            address: None,
            pending: None,
            retry_at: Moment::ZERO,
            failures: 0,
        }
    }

    /// Ends the wait for the next call, unless it follows a failure.
    pub(crate) fn hasten(&mut self, now: Moment) {
        if self.failures == 0 {
            self.retry_at = self.retry_at.min(now);
        }
    }

    pub(crate) fn is_free(&self, now: Moment) -> bool {
        self.pending.is_none() && self.retry_at <= now
    }

    pub(crate) fn send(
        &mut self,
        registry: &Registry,
        address: SocketAddr,
        call: C,
        bytes: &EncodedCall,
        times: (Moment, Moment),
    ) {
        let (sent, deadline) = times;
        self.pending = Some(PendingCall {
            call,
            sent,
            deadline,
            reader: ResponseReader::new(bytes.method, MAX_HEAD),
            body: Vec::new(),
        });
        if self.address.replace(address) != Some(address) {
            self.channel = None;
        }
        if self.channel.is_none() {
            let opened = match self.kind {
                ConnectionKind::Api => TcpChannel::connect_api(address),
                ConnectionKind::Store => TcpChannel::connect_store(address),
            };
            let opened = opened.and_then(|mut channel| {
                channel.register(registry, self.token)?;
                Ok(channel)
            });
            // If connecting fails, the call times out.
            self.channel = opened.ok();
        }
        if let Some(channel) = &mut self.channel {
            let mut head = format!(
                "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n",
                bytes.method, bytes.target,
            );
            for (name, value) in &bytes.headers {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str(&format!("Content-Length: {}\r\n\r\n", bytes.body.len()));
            channel.queue(head.as_bytes());
            channel.queue(&bytes.body);
            // The next read reports the error again.
            let _ = channel.flush();
        }
    }

    pub(crate) fn advance(&mut self, closing: bool, now: Moment) -> CallOutcome<C> {
        let Some(channel) = &mut self.channel else {
            return CallOutcome::Pending;
        };
        // Filling the buffer reports the error again.
        let _ = channel.flush();
        let buffered = channel.inbound.len();
        let connection = channel.fill(MAX_RESPONSE, closing);
        let received = channel.inbound.len() > buffered;
        let Some(pending) = &mut self.pending else {
            if connection != ConnectionState::Open || !channel.inbound.is_empty() {
                self.channel = None;
            }
            return CallOutcome::Pending;
        };
        if received && self.kind == ConnectionKind::Store {
            // A large response takes longer than a call on a narrow link.
            pending.deadline = pending.deadline.max(now + PROGRESS_TIMEOUT);
        }
        match read_response(pending, channel, connection) {
            Err(reason) => return self.fail(reason),
            Ok(ResponseProgress::Complete) => {}
            Ok(ResponseProgress::Incomplete) => return CallOutcome::Pending,
            Ok(ResponseProgress::BrokenOff) => {
                let reason = channel.end_reason();
                return self.fail(reason);
            }
        }
        let Some(pending) = self.pending.take() else {
            return CallOutcome::Pending;
        };
        let Some(head) = pending.reader.into_head() else {
            return CallOutcome::Pending;
        };
        let reusable = connection == ConnectionState::Open
            && channel.inbound.is_empty()
            && !head.fields.has_list_element("connection", "close");
        if !reusable {
            self.channel = None;
        }
        self.failures = 0;
        CallOutcome::Completed(pending.call, pending.sent, head, pending.body)
    }

    /// Fails the call in progress and closes its connection.
    pub(crate) fn fail(&mut self, reason: &'static str) -> CallOutcome<C> {
        self.channel = None;
        match self.pending.take() {
            Some(pending) => CallOutcome::Failed(pending.call, pending.sent, reason),
            None => CallOutcome::Pending,
        }
    }

    /// Lets the call in progress time out at `due` unless a response begins.
    pub(crate) fn expect_response(&mut self, due: Moment) {
        if let Some(pending) = &mut self.pending
            && pending.reader.head().is_none()
        {
            pending.deadline = pending.deadline.min(due);
        }
    }

    /// Closes the connection if no call is in progress on it.
    pub(crate) fn close_idle(&mut self) {
        if self.pending.is_none() {
            self.channel = None;
        }
    }

    /// Delays the next call after a failed one, counted from when that was sent.
    pub(crate) fn back_off(&mut self, sent: Moment, jitter: f64) {
        let max_delay = MIN_RETRY_DELAY
            .saturating_mul(1 << self.failures.min(4))
            .min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.retry_at = sent + MIN_RETRY_DELAY + (max_delay - MIN_RETRY_DELAY).mul_f64(jitter);
    }
}

/// Reads more of a response; returns how much of it has arrived.
fn read_response<C>(
    pending: &mut PendingCall<C>,
    channel: &mut TcpChannel,
    connection: ConnectionState,
) -> Result<ResponseProgress, &'static str> {
    let reader = &mut pending.reader;
    let used = reader
        .read_head(&channel.inbound)
        .map_err(|_| "malformed")?;
    channel.consume(used);
    let used = reader
        .read_content(&channel.inbound, &mut pending.body)
        .map_err(|_| "malformed")?;
    channel.consume(used);
    if pending.body.len() > MAX_RESPONSE {
        return Err("oversized");
    }
    Ok(reader.progress(connection))
}
