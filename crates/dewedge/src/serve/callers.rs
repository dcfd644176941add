//! Connections from callers, parsed into requests.
//!
//! The main invariant: a caller's connection has at most one request in
//! progress, and pipelined bytes never hide that the caller disconnected.

use std::time::Duration;

use dewbudget::{AccountPart, SegmentedBody};
use mio::net::TcpStream;

use crate::clock::Moment;
use crate::format::PlatformFormat;
use crate::http::{
    BodyDecoder, BodyLength, ConnectionState, HeadError, RequestHead, parse_request,
};
use crate::net::{TcpChannel, set_caller_options};

use super::backpressure::{STALL_CHECK_INTERVAL, SendProgress};
use super::memory::MAX_BODY_READ;
use super::response_channel::ResponseChannel;
use super::responses::CONTINUE;
use super::state::{
    CallerConn, CallerId, CallerPhase, CallerUpload, EdgeState, TokenKind, token_of,
};
use super::timers::LazyTimer;

/// Reads of a caller's connection in one iteration of the event loop.
const MAX_READS: u32 = 32;

/// Maximum bytes that a caller may pipeline while its request is in progress.
const MAX_PIPELINED: usize = 16 * 1024;

/// Maximum time for which a closing connection stays open so that the caller
/// can take the rest of the last response, also one that takes a little at a time.
const MAX_LINGER_TIME: Duration = Duration::from_secs(60);

/// Maximum time for which a closing connection stays open while the caller sends
/// the rest of a request that was refused; a reset would discard the response.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(5);

/// Result of parsing the buffered input of a caller's connection.
enum ReadStep {
    /// More bytes are needed.
    Wait,
    /// A head was read, and not yet its whole body.
    Head(Box<RequestHead>),
    /// A complete request was read; for a body that was read apart, with the time
    /// at which its head was complete.
    Request(Box<RequestHead>, SegmentedBody, Option<Moment>),
    /// The request is refused with this status and error code.
    Refuse(u16, &'static str),
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Accepts a caller's connection.
    pub(crate) fn accept_caller(&mut self, stream: TcpStream) {
        // The connection works without the options, but a dead caller is
        // detected later.
        let _ = set_caller_options(&stream);
        let charges = self.channel_charges(AccountPart::Input);
        let entry = self.caller_conns.vacant_entry();
        let caller = entry.key();
        let mut channel = ResponseChannel::new(TcpChannel::new(stream, charges));
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
            served: false,
            taken: (0, self.now),
            discarded_at: Moment::ZERO,
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
        for _ in 0..MAX_READS {
            if !closing && !self.reads_caller(caller) {
                return;
            }
            let limits = self.limits();
            let now = self.now;
            let Some(conn) = self.caller_conns.get_mut(caller) else {
                return;
            };
            let limit = match conn.phase {
                CallerPhase::Head => limits.head_bytes,
                CallerPhase::Busy(_) => MAX_PIPELINED,
                CallerPhase::Body(_) | CallerPhase::Lingering => MAX_BODY_READ,
            };
            let connection = conn.channel.fill(limit, closing);
            if let CallerPhase::Lingering = conn.phase {
                if !conn.channel.inbound.is_empty() {
                    conn.discarded_at = now;
                    conn.channel.discard_inbound();
                }
                if conn.channel.unsent() == 0 {
                    // Lets the caller read end of file after the response.
                    let _ = conn.channel.stream.shutdown(std::net::Shutdown::Write);
                }
            }
            let is_busy = matches!(conn.phase, CallerPhase::Busy(_));
            if is_busy && conn.closing {
                conn.channel.discard_inbound();
            }
            let is_full = conn.channel.inbound.len() >= MAX_PIPELINED;
            conn.channel.hold_back(is_busy && is_full);
            if connection != ConnectionState::Open || closing {
                // The caller can't read a response to requests that are still
                // buffered.
                self.close_caller(caller, "caller left");
                return;
            }
            let may_continue = self.advance_caller(caller);
            self.shed_input();
            if !may_continue && !self.has_unread_input(caller) {
                return;
            }
        }
        // Other connections and timers come before the rest.
        self.unread_callers.push(caller, false);
    }

    /// Returns whether the socket of a caller is read now. A body may have to wait,
    /// and a request waits until its caller has taken the response before it.
    fn reads_caller(&mut self, caller: CallerId) -> bool {
        let Some(conn) = self.caller_conns.get(caller) else {
            return false;
        };
        match conn.phase {
            CallerPhase::Body(_) => self.may_read_upload(caller),
            CallerPhase::Head => conn.channel.unsent() == 0,
            CallerPhase::Busy(_) | CallerPhase::Lingering => true,
        }
    }

    /// Returns whether the socket of a caller may hold input that is to be read
    /// now. Pipelined input is read after the request in progress.
    fn has_unread_input(&self, caller: CallerId) -> bool {
        self.caller_conns.get(caller).is_some_and(|conn| {
            let is_read = match conn.phase {
                CallerPhase::Busy(_) => false,
                CallerPhase::Body(_) => !self.uploads.waits(caller),
                CallerPhase::Head => conn.channel.unsent() == 0,
                CallerPhase::Lingering => true,
            };
            is_read && conn.channel.may_have_more()
        })
    }

    /// Processes the buffered input once; returns whether more may follow.
    fn advance_caller(&mut self, caller: CallerId) -> bool {
        let limits = self.limits();
        let now = self.now;
        let charge = self.account.charge(AccountPart::Bodies);
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return false;
        };
        let body = SegmentedBody::new(charge);
        match read_step(conn, limits.head_bytes, limits.body_bytes, body, now) {
            ReadStep::Wait => {
                let head_started = conn.read_since.is_none() && !conn.channel.inbound.is_empty();
                if matches!(conn.phase, CallerPhase::Head) && head_started {
                    conn.read_since = Some(now);
                    self.arm_caller(caller, now + limits.head_timeout);
                }
                self.record_upload(caller);
                false
            }
            ReadStep::Head(head) => {
                self.begin_upload(caller, *head);
                true
            }
            ReadStep::Refuse(status, code) => {
                conn.closing = true;
                conn.channel.discard_inbound();
                self.logs
                    .request("entry", "rejected")
                    .number("status", status)
                    .text("reason", code);
                self.respond(caller, status, code, None);
                true
            }
            ReadStep::Request(head, body, began) => {
                conn.read_since = None;
                self.end_upload(caller);
                self.begin_request(caller, *head, body, began);
                true
            }
        }
    }

    /// Records what a caller has sent of a body.
    fn record_upload(&mut self, caller: CallerId) {
        let now = self.now;
        if let Some(conn) = self.caller_conns.get_mut(caller)
            && let CallerPhase::Body(upload) = &mut conn.phase
        {
            let received = upload.body.len() as u64;
            if self.uploads.record(caller, received, now) {
                upload.last_byte = now;
            }
        }
    }

    /// Starts to read a body that has passed all checks of its head.
    pub(crate) fn start_upload(&mut self, caller: CallerId, upload: CallerUpload) {
        let due = upload
            .deadline
            .min(upload.last_byte + self.limits().idle_timeout);
        let expects_continue = upload
            .head
            .fields
            .has_list_element("expect", "100-continue");
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            if expects_continue && conn.channel.inbound.is_empty() {
                conn.channel.queue_head(&CONTINUE);
                // The next read reports the error again.
                let _ = conn.channel.flush();
            }
            conn.phase = CallerPhase::Body(Box::new(upload));
            self.arm_caller(caller, due);
        }
    }

    /// Closes a caller's connection and abandons its request.
    pub(crate) fn close_caller(&mut self, caller: CallerId, reason: &'static str) {
        let Some(conn) = self.caller_conns.try_remove(caller) else {
            return;
        };
        self.unread_callers.remove(caller);
        match conn.phase {
            CallerPhase::Busy(exchange_id) => self.abandon(exchange_id, reason),
            CallerPhase::Body(_) => self.end_upload(caller),
            CallerPhase::Head | CallerPhase::Lingering => {}
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
                let takes = is_open && !has_stalled && now < conn.idle_since + MAX_LINGER_TIME;
                let sends = now < conn.discarded_at + STALL_CHECK_INTERVAL
                    && now < conn.idle_since + MAX_DISCARD_TIME;
                if takes || sends {
                    self.arm_caller(caller, now + STALL_CHECK_INTERVAL);
                } else {
                    self.close_caller(caller, "closed");
                }
            }
            CallerPhase::Body(upload) => {
                let waits = self.uploads.waits(caller);
                let idle_since = if waits { now } else { upload.last_byte };
                let due = upload.deadline.min(idle_since + limits.idle_timeout);
                if due > now {
                    self.arm_caller(caller, due);
                } else if waits {
                    let left = upload.deadline.saturating_sub(now);
                    self.refuse_unread(caller, "bodies", "no_memory", left);
                } else {
                    conn.closing = true;
                    self.respond(caller, 408, "body_timeout", None);
                }
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

/// Parses the buffered input of a caller's connection. The body of a request goes
/// into `body` if all of it has arrived with the head.
fn read_step(
    conn: &mut CallerConn,
    head_bytes: usize,
    body_bytes: usize,
    body: SegmentedBody,
    now: Moment,
) -> ReadStep {
    match &mut conn.phase {
        CallerPhase::Head => read_head(conn, head_bytes, body_bytes, body),
        CallerPhase::Body(upload) => {
            let Ok(used) = upload
                .decoder
                .decode(&conn.channel.inbound, &mut upload.body)
            else {
                return ReadStep::Refuse(400, "malformed_body");
            };
            conn.channel.consume(used);
            if upload.body.len() > body_bytes {
                return ReadStep::Refuse(413, "body_too_long");
            }
            if !upload.decoder.is_done() {
                return ReadStep::Wait;
            }
            finish_upload(conn, now)
        }
        CallerPhase::Busy(_) | CallerPhase::Lingering => ReadStep::Wait,
    }
}

/// Takes a complete body out of its connection.
fn finish_upload(conn: &mut CallerConn, now: Moment) -> ReadStep {
    conn.idle_since = now;
    match std::mem::replace(&mut conn.phase, CallerPhase::Head) {
        CallerPhase::Body(upload) => {
            let upload = *upload;
            ReadStep::Request(Box::new(upload.head), upload.body, Some(upload.began))
        }
        _ => ReadStep::Wait,
    }
}

fn read_head(
    conn: &mut CallerConn,
    head_bytes: usize,
    body_bytes: usize,
    mut body: SegmentedBody,
) -> ReadStep {
    if conn.channel.inbound.is_empty() {
        return ReadStep::Wait;
    }
    conn.channel.expect_request();
    let head = match parse_request(&conn.channel.inbound, head_bytes) {
        Err(error) => return head_refusal(error),
        Ok(None) => return ReadStep::Wait,
        Ok(Some(head)) => head,
    };
    if let BodyLength::Exact(length) = head.body
        && length > body_bytes as u64
    {
        return ReadStep::Refuse(413, "body_too_long");
    }
    if head.fields.has_list_element("connection", "close") {
        conn.closing = true;
    }
    let mut decoder = BodyDecoder::new(head.body);
    let rest = &conn.channel.inbound[head.length..];
    let Ok(used) = decoder.decode(rest, &mut body) else {
        return ReadStep::Refuse(400, "malformed_body");
    };
    if body.len() > body_bytes {
        return ReadStep::Refuse(413, "body_too_long");
    }
    if !decoder.is_done() {
        conn.channel.consume(head.length);
        return ReadStep::Head(Box::new(head));
    }
    conn.channel.consume(head.length + used);
    ReadStep::Request(Box::new(head), body, None)
}
