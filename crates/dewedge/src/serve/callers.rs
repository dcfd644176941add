//! Connections of callers, from their bytes to a whole request.
//!
//! The main invariant: a caller's connection holds at most one request in work,
//! and what a caller sends ahead never hides that it left.

use mio::net::TcpStream;

use crate::format::PlatformFormat;
use crate::http::{BodyDecoder, BodyLength, HeadError, RequestHead, parse_request};
use crate::net::{ReadEnd, WireChannel, tune_caller};

use super::answers::MAX_UNREAD;
use super::state::{CallerConn, CallerId, CallerPhase, EdgeState, TokenKind, token_of};
use super::timers::DueTime;

/// Bytes that a caller may send ahead while its request is in work.
const MAX_AHEAD: usize = 64 * 1024;

/// Part of the process's memory that bodies of requests may take.
const BODY_MEMORY_SHARE: u64 = 3;

/// What the reading of a connection asks for next.
enum ReadStep {
    /// More bytes are needed.
    Wait,
    /// A whole request was read.
    Request(Box<RequestHead>, Vec<u8>),
    /// The request can't be served; this status and code say why.
    Refuse(u16, &'static str),
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes a new connection of a caller.
    pub(crate) fn accept_caller(&mut self, stream: TcpStream) {
        // A connection without the options works, and is noticed later if it dies.
        let _ = tune_caller(&stream);
        let entry = self.callers.vacant_entry();
        let caller = entry.key();
        let mut channel = WireChannel::new(stream);
        let token = token_of(TokenKind::Caller, caller);
        if channel.register(&self.registry, token).is_err() {
            return;
        }
        entry.insert(CallerConn {
            channel,
            phase: CallerPhase::Head,
            timer: DueTime::default(),
            head_since: None,
            idle_since: self.now,
            closing: false,
        });
        let due = self.now + self.limits().head_timeout.min(self.limits().idle_timeout);
        self.arm_caller(caller, due);
    }

    /// Takes an event of a caller's connection.
    pub(crate) fn on_caller(&mut self, caller: CallerId, closing: bool) {
        let Some(conn) = self.callers.get_mut(caller) else {
            return;
        };
        let flushed = conn.channel.flush();
        if flushed.is_err() || conn.channel.unsent() > MAX_UNREAD {
            self.drop_caller(caller, "broken");
            return;
        }
        self.read_caller(caller, closing);
    }

    /// Reads and serves as many requests as there are.
    pub(crate) fn read_caller(&mut self, caller: CallerId, closing: bool) {
        let limits = self.limits();
        loop {
            let Some(conn) = self.callers.get_mut(caller) else {
                return;
            };
            let limit = match conn.phase {
                CallerPhase::Busy(_) => MAX_AHEAD,
                _ => limits.head_bytes + MAX_AHEAD,
            };
            let end = conn.channel.fill(limit, closing);
            if let CallerPhase::Lingering = conn.phase {
                conn.channel.inbound.clear();
                if conn.channel.unsent() == 0 {
                    // The caller reads the end of the connection after the answer.
                    let _ = conn.channel.stream.shutdown(std::net::Shutdown::Write);
                }
            }
            if end != ReadEnd::Open || closing {
                // Nobody would read the answer to what is still in the buffer.
                self.drop_caller(caller, "caller left");
                return;
            }
            if !self.advance_caller(caller) {
                return;
            }
        }
    }

    /// Does one step of a connection; returns whether another may follow.
    fn advance_caller(&mut self, caller: CallerId) -> bool {
        let limits = self.limits();
        let now = self.now;
        let Some(conn) = self.callers.get_mut(caller) else {
            return false;
        };
        let had_head = matches!(conn.phase, CallerPhase::Body { .. });
        match read_step(conn, limits.head_bytes, limits.body_bytes) {
            ReadStep::Wait => {
                let starts = conn.head_since.is_none() && !conn.channel.inbound.is_empty();
                let in_body = matches!(conn.phase, CallerPhase::Body { .. });
                let busy = matches!(conn.phase, CallerPhase::Busy(_) | CallerPhase::Lingering);
                if !busy && (starts || in_body && !had_head) {
                    conn.head_since = Some(now);
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
                self.answer(caller, status, code, None);
                true
            }
            ReadStep::Request(head, body) => {
                conn.head_since = None;
                self.begin_request(caller, *head, body);
                true
            }
        }
    }

    /// Returns whether another body of this size fits in memory.
    pub(crate) fn has_body_room(&self, bytes: usize) -> bool {
        self.body_bytes + bytes as u64 <= self.settings.memory_bytes / BODY_MEMORY_SHARE
    }

    /// Ends a caller's connection and the work for it.
    pub(crate) fn drop_caller(&mut self, caller: CallerId, why: &'static str) {
        let Some(conn) = self.callers.try_remove(caller) else {
            return;
        };
        if let CallerPhase::Busy(exchange) = conn.phase {
            self.abandon(exchange, why);
        }
    }

    /// Takes the timer of a caller's connection.
    pub(crate) fn on_caller_timer(&mut self, caller: CallerId) {
        let limits = self.limits();
        let now = self.now;
        let Some(conn) = self.callers.get_mut(caller) else {
            return;
        };
        match &conn.phase {
            CallerPhase::Busy(_) => {}
            CallerPhase::Lingering => self.drop_caller(caller, "closed"),
            CallerPhase::Body { .. } => {
                conn.closing = true;
                self.answer(caller, 408, "body_timeout", None);
            }
            CallerPhase::Head if conn.head_since.is_some() => {
                conn.closing = true;
                self.answer(caller, 408, "head_timeout", None);
            }
            CallerPhase::Head => {
                let due = conn.idle_since + limits.idle_timeout;
                if due > now {
                    self.arm_caller(caller, due);
                } else {
                    self.close_idle(caller);
                }
            }
        }
    }

    /// Closes a connection between requests, unless a request has just come.
    pub(crate) fn close_idle(&mut self, caller: CallerId) {
        self.read_caller(caller, false);
        let Some(conn) = self.callers.get(caller) else {
            return;
        };
        if matches!(conn.phase, CallerPhase::Head) && conn.channel.inbound.is_empty() {
            self.drop_caller(caller, "idle");
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

/// Reads on in a caller's connection.
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
            // An error shows again when the connection is read.
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
