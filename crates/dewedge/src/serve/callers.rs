//! Connections from callers, parsed into requests.
//!
//! The main invariant: a caller's connection has at most one request in
//! progress, and pipelined bytes never hide that the caller disconnected.

use std::time::Duration;

use mio::net::TcpStream;

use crate::format::PlatformFormat;
use crate::http::{BodyDecoder, BodyLength, HeadError, RequestHead, parse_request};
use crate::net::{ReadState, TcpChannel, set_caller_options};

use super::backpressure::{STALL_CHECK_INTERVAL, SendProgress};
use super::state::{CallerConn, CallerId, CallerPhase, EdgeState, TokenKind, token_of};
use super::timers::LazyTimer;

/// Reads of a caller's connection in one iteration of the event loop.
const MAX_READS: u32 = 32;

/// Maximum bytes that a caller may pipeline while its request is in progress.
const MAX_PIPELINED: usize = 64 * 1024;

/// Maximum time for which a closing connection stays open so that the caller
/// can take the rest of the last response, also one that takes a little at a time.
const MAX_LINGER_TIME: Duration = Duration::from_secs(60);

/// Divisor of the process's memory limit that gives the memory for request
/// bodies.
const BODY_MEMORY_DIVISOR: u64 = 3;

/// Result of parsing the buffered input of a caller's connection.
enum ReadStep {
    /// More bytes are needed.
    Wait,
    /// A complete request was read.
    Request(Box<RequestHead>, Vec<u8>),
    /// The request is refused with this status and error code.
    Refuse(u16, &'static str),
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Accepts a caller's connection.
    pub(crate) fn accept_caller(&mut self, stream: TcpStream) {
        // The connection works without the options, but a dead caller is
        // detected later.
        let _ = set_caller_options(&stream);
        let entry = self.caller_conns.vacant_entry();
        let caller = entry.key();
        let mut channel = TcpChannel::new(stream);
        let token = token_of(TokenKind::Caller, caller);
        if channel.register(&self.registry, token).is_err() {
            return;
        }
        entry.insert(CallerConn {
            channel,
            phase: CallerPhase::Head,
            timer: LazyTimer::default(),
            read_since: None,
            idle_since: self.now,
            closing: false,
            progress: SendProgress::start(self.now),
        });
        let due = self.now + self.limits().head_timeout.min(self.limits().idle_timeout);
        self.arm_caller(caller, due);
    }

    /// Handles an I/O event on a caller's connection.
    pub(crate) fn on_caller_event(&mut self, caller: CallerId, closing: bool) {
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        if conn.channel.flush().is_err() {
            self.close_caller(caller, "broken");
            return;
        }
        if let CallerPhase::Busy(exchange_id) = conn.phase {
            self.resume_if_taken(exchange_id);
        }
        self.read_caller(caller, closing);
    }

    /// Reads and serves all complete requests on a connection.
    pub(crate) fn read_caller(&mut self, caller: CallerId, closing: bool) {
        let limits = self.limits();
        for _ in 0..MAX_READS {
            let Some(conn) = self.caller_conns.get_mut(caller) else {
                return;
            };
            let limit = match conn.phase {
                CallerPhase::Busy(_) => MAX_PIPELINED,
                _ => limits.head_bytes.saturating_add(MAX_PIPELINED),
            };
            let read_state = conn.channel.fill(limit, closing);
            if let CallerPhase::Lingering = conn.phase {
                conn.channel.inbound.clear();
                if conn.channel.unsent() == 0 {
                    // Lets the caller read end of file after the response.
                    let _ = conn.channel.stream.shutdown(std::net::Shutdown::Write);
                }
            }
            if read_state != ReadState::Open || closing {
                // The caller can't read a response to requests that are still
                // buffered.
                self.close_caller(caller, "caller left");
                return;
            }
            if !self.advance_caller(caller) && !self.has_unread_input(caller) {
                return;
            }
        }
        // Other connections and timers come before the rest.
        self.unread_callers.push(caller, false);
    }

    /// Returns whether the socket of a caller may hold input that is to be read
    /// now. Pipelined input is read after the request in progress.
    fn has_unread_input(&self, caller: CallerId) -> bool {
        self.caller_conns.get(caller).is_some_and(|conn| {
            conn.channel.may_have_more() && !matches!(conn.phase, CallerPhase::Busy(_))
        })
    }

    /// Processes the buffered input once; returns whether more may follow.
    fn advance_caller(&mut self, caller: CallerId) -> bool {
        let limits = self.limits();
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return false;
        };
        let was_in_body = matches!(conn.phase, CallerPhase::Body { .. });
        match read_step(conn, limits.head_bytes, limits.body_bytes) {
            ReadStep::Wait => {
                let head_started = conn.read_since.is_none() && !conn.channel.inbound.is_empty();
                let in_body = matches!(conn.phase, CallerPhase::Body { .. });
                let busy = matches!(conn.phase, CallerPhase::Busy(_) | CallerPhase::Lingering);
                if !busy && (head_started || in_body && !was_in_body) {
                    conn.read_since = Some(now);
                    let time = if in_body {
                        limits.idle_timeout
                    } else {
                        limits.head_timeout
                    };
                    self.arm_caller(caller, now + time);
                }
                false
            }
            ReadStep::Refuse(status, code) => {
                conn.closing = true;
                self.logs
                    .request("entry", "rejected")
                    .number("status", status)
                    .text("reason", code);
                self.respond(caller, status, code, None);
                true
            }
            ReadStep::Request(head, body) => {
                conn.read_since = None;
                self.begin_request(caller, *head, body);
                true
            }
        }
    }

    /// Returns whether the memory for bodies has capacity for another body of
    /// this size.
    pub(crate) fn has_body_capacity(&self, bytes: usize) -> bool {
        self.body_bytes + bytes as u64 <= self.settings.memory_bytes / BODY_MEMORY_DIVISOR
    }

    /// Closes a caller's connection and abandons its request.
    pub(crate) fn close_caller(&mut self, caller: CallerId, reason: &'static str) {
        let Some(conn) = self.caller_conns.try_remove(caller) else {
            return;
        };
        self.unread_callers.remove(caller);
        if let CallerPhase::Busy(exchange_id) = conn.phase {
            self.abandon(exchange_id, reason);
        }
    }

    /// Handles an expired timer of a caller's connection.
    pub(crate) fn on_caller_timer(&mut self, caller: CallerId) {
        let limits = self.limits();
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        match &conn.phase {
            CallerPhase::Busy(_) => {}
            CallerPhase::Lingering => {
                let is_open = conn.channel.flush().is_ok() && conn.channel.unsent() > 0;
                let has_stalled = conn.progress.has_stalled(conn.channel.unsent(), now);
                if is_open && !has_stalled && now < conn.idle_since + MAX_LINGER_TIME {
                    self.arm_caller(caller, now + STALL_CHECK_INTERVAL);
                } else {
                    self.close_caller(caller, "closed");
                }
            }
            CallerPhase::Body { .. } => {
                conn.closing = true;
                self.respond(caller, 408, "body_timeout", None);
            }
            CallerPhase::Head if conn.read_since.is_some() => {
                conn.closing = true;
                self.respond(caller, 408, "head_timeout", None);
            }
            CallerPhase::Head => {
                let due = conn.idle_since + limits.idle_timeout;
                if due > now {
                    self.arm_caller(caller, due);
                } else {
                    self.close_if_idle(caller);
                }
            }
        }
    }

    /// Closes a connection that is idle, unless a request has just arrived; it
    /// may have been answered at once.
    pub(crate) fn close_if_idle(&mut self, caller: CallerId) {
        let Some(conn) = self.caller_conns.get(caller) else {
            return;
        };
        let idle_since = conn.idle_since;
        self.read_caller(caller, false);
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        let is_idle = matches!(conn.phase, CallerPhase::Head) && conn.idle_since == idle_since;
        if !is_idle || !conn.channel.inbound.is_empty() {
            return;
        }
        if conn.channel.unsent() > 0 {
            // The caller is still taking its last response.
            conn.phase = CallerPhase::Lingering;
            conn.idle_since = now;
            conn.progress = SendProgress::start(now);
            self.arm_caller(caller, now + STALL_CHECK_INTERVAL);
        } else {
            self.close_caller(caller, "idle");
        }
    }
}

fn head_refusal(error: HeadError) -> ReadStep {
    match error {
        HeadError::TooLong => ReadStep::Refuse(431, "head_too_long"),
        HeadError::Malformed(_) => ReadStep::Refuse(400, "malformed_head"),
        HeadError::Unsupported(_) => ReadStep::Refuse(400, "unsupported"),
    }
}

/// Parses the buffered input of a caller's connection.
fn read_step(conn: &mut CallerConn, head_bytes: usize, body_bytes: usize) -> ReadStep {
    if let CallerPhase::Head = conn.phase {
        if conn.channel.inbound.is_empty() {
            return ReadStep::Wait;
        }
        let head = match parse_request(&conn.channel.inbound, head_bytes) {
            Err(error) => return head_refusal(error),
            Ok(None) => return ReadStep::Wait,
            Ok(Some(head)) => head,
        };
        conn.channel.consume(head.length);
        if let BodyLength::Exact(length) = head.body
            && length > body_bytes as u64
        {
            return ReadStep::Refuse(413, "body_too_long");
        }
        if head.fields.has_list_element("connection", "close") {
            conn.closing = true;
        }
        let decoder = BodyDecoder::new(head.body);
        if !decoder.is_done() && head.fields.has_list_element("expect", "100-continue") {
            conn.channel.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
            // The next read reports the error again.
            let _ = conn.channel.flush();
        }
        conn.phase = CallerPhase::Body {
            head: Box::new(head),
            decoder,
            body: Vec::new(),
        };
    }
    let CallerPhase::Body {
        head,
        decoder,
        body,
    } = &mut conn.phase
    else {
        return ReadStep::Wait;
    };
    let Ok(used) = decoder.decode(&conn.channel.inbound, body) else {
        return ReadStep::Refuse(400, "malformed_body");
    };
    conn.channel.inbound.drain(..used);
    if body.len() > body_bytes {
        return ReadStep::Refuse(413, "body_too_long");
    }
    if !decoder.is_done() {
        return ReadStep::Wait;
    }
    let head = head.clone();
    let body = std::mem::take(body);
    ReadStep::Request(head, body)
}
