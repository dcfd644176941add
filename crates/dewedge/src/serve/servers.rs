//! Connections to servers, parsed into attempt outcomes.
//!
//! The main invariant: a response belongs to a request only if it names the
//! request's attempt, and a connection is reused only if no bytes are left on
//! it, for attempts that its server hasn't refused on it.

use std::time::Duration;

use dewbudget::{AccountPart, SegmentedBody};

use crate::directory::stable_hash;
use crate::format::PlatformFormat;
use crate::http::{ConnectionState, ResponseHead, ResponseProgress, ResponseReader};
use crate::policy::ended_servers::EndedKind;
use crate::policy::health::AttemptResult;
use crate::stream::{EventError, EventSplitter};
use crate::tables::RequestKind;

use super::crashes::ServerTest;
use super::outcomes::AttemptOutcome;
use super::state::{CallerStream, EdgeState, Exchange, ServerConnId};

/// Maximum bytes of a response head.
const MAX_HEAD: usize = 32 * 1024;

/// Content type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Statuses that promise callers that their request never runs. A server states
/// that by a mark, so that one without it must not reach the caller.
const PROMISED_NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Size up to which a response is read on although the memory for responses is
/// used up.
const SMALL_BODY: usize = 16 * 1024;

/// Maximum bytes of a response that isn't a stream.
const MAX_BODY: usize = 8 << 20;

/// Maximum bytes buffered from a server before they are processed.
const MAX_INBOUND: usize = 256 * 1024;

/// Maximum refusals on a connection that is kept.
const MAX_REFUSALS: usize = 64;

/// Idle timeout of a connection whose server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time for which an idle connection is kept, whatever its server
/// announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Margin subtracted from the announced idle timeout, because a request takes
/// time to reach the server.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Returns whether a response is declared as an event stream; `None` if it
/// declares no type.
fn declares_event_stream(head: &ResponseHead) -> Option<bool> {
    let value = head.fields.all("content-type").next()?;
    let kind = value.split(|byte| *byte == b';').next()?;
    Some(kind.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Returns a splitter for the stream of a request.
fn event_splitter(exchange: &Exchange) -> EventSplitter {
    let last_id = exchange.metadata.last_event_id;
    let splitter = EventSplitter::new(last_id);
    // What no server continues is forwarded as the server sends it.
    match exchange.route.is_retryable() || last_id.is_some() {
        true => splitter.requiring_ids(),
        false => splitter,
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Handles an I/O event on a connection to a server.
    pub(crate) fn on_server_event(&mut self, conn_id: ServerConnId, closing: bool) {
        let Some(conn) = self.server_conns.get(conn_id) else {
            return;
        };
        if !conn.connected && !self.check_connected(conn_id, closing) {
            return;
        }
        if self.unread_servers.contains(conn_id) {
            // It is read in this iteration anyway.
            self.unread_servers.push(conn_id, closing);
            return;
        }
        // Other connections and timers come before the rest.
        if self.read_server_conn(conn_id, closing) {
            self.unread_servers.push(conn_id, closing);
        }
    }

    /// Reads and processes available bytes; returns whether the socket may hold
    /// more.
    fn read_server_conn(&mut self, conn_id: ServerConnId, closing: bool) -> bool {
        let Some(conn) = self.server_conns.get_mut(conn_id) else {
            return false;
        };
        // Filling the buffer reports the error again.
        let _ = conn.channel.flush();
        if let Some(exchange_id) = conn.exchange_id
            && self.is_paused(exchange_id, conn_id)
        {
            return false;
        }
        let conn = &mut self.server_conns[conn_id];
        let connection = conn.channel.fill(MAX_INBOUND, closing);
        if conn.exchange_id.is_none() {
            if connection != ConnectionState::Open || !conn.channel.inbound.is_empty() {
                self.close_server_conn(conn_id);
            }
            return false;
        }
        let replica = conn.replica;
        let (received, end_reason) = (!conn.channel.inbound.is_empty(), conn.channel.end_reason());
        if let Some(exchange_id) = conn.exchange_id
            && self.is_standby(exchange_id, conn_id)
        {
            if received {
                self.swap_standby(exchange_id);
            } else {
                if connection != ConnectionState::Open {
                    self.end_standby(exchange_id, end_reason);
                }
                return false;
            }
        }
        if received {
            self.directory.get_mut(replica).last_received = Some(self.now);
            self.record_reached();
        }
        self.read_server_response(conn_id, connection);
        // The response may have ended, and the id may be in use again.
        let conn = self.server_conns.get(conn_id);
        conn.is_some_and(|conn| {
            let reads = |exchange_id| !self.is_paused(exchange_id, conn_id);
            conn.exchange_id.is_some_and(reads) && conn.channel.may_have_more()
        })
    }

    /// Checks whether a connection is established.
    fn check_connected(&mut self, conn_id: ServerConnId, closing: bool) -> bool {
        let conn = &mut self.server_conns[conn_id];
        let error = match conn.channel.stream.take_error() {
            Ok(error) => error,
            Err(error) => Some(error),
        };
        if error.is_none() && conn.channel.stream.peer_addr().is_ok() {
            conn.connected = true;
            let (replica, is_test) = (conn.replica, conn.is_test);
            self.record_reached();
            if is_test {
                self.close_server_conn(conn_id);
                self.end_server_test(replica, ServerTest::Running);
            }
            return !is_test;
        }
        if error.is_some() || closing {
            let test = error
                .as_ref()
                .map_or(ServerTest::Unreachable, ServerTest::of_error);
            self.fail_connect(conn_id, test);
        }
        false
    }

    /// Closes a connection that couldn't be established.
    fn fail_connect(&mut self, conn_id: ServerConnId, test: ServerTest) {
        self.connect_failed = true;
        let conn = &self.server_conns[conn_id];
        let (replica, opened) = (conn.replica, conn.opened);
        if test == ServerTest::Refused {
            self.record_ended(replica, EndedKind::Refused, opened);
        }
        let conn = &mut self.server_conns[conn_id];
        if conn.is_test {
            self.close_server_conn(conn_id);
            self.end_server_test(replica, test);
            return;
        }
        let exchange_id = conn.exchange_id.take();
        if let Some(exchange_id) = exchange_id
            && self.is_standby(exchange_id, conn_id)
        {
            self.fail_standby_connect(exchange_id);
            return;
        }
        self.close_server_conn(conn_id);
        if let Some(exchange_id) = exchange_id {
            self.handle_outcome(exchange_id, AttemptOutcome::NotSent { replica });
        }
    }

    /// Reads the response on a connection.
    fn read_server_response(&mut self, conn_id: ServerConnId, connection: ConnectionState) {
        let progress = match self.read_response_head(conn_id) {
            Ok(true) => self.read_response_body(conn_id, connection),
            Ok(false) => Ok(self.response_progress(conn_id, connection)),
            Err(reason) => Err(reason),
        };
        match progress {
            Ok(ResponseProgress::Complete) => {
                self.apply_response_notices(conn_id);
                self.complete_response(conn_id, connection);
            }
            Ok(ResponseProgress::Incomplete) => {}
            Ok(ResponseProgress::BrokenOff) => {
                let conn = self.server_conns.get(conn_id);
                let reason = conn.map_or("closed", |conn| conn.channel.end_reason());
                self.reject_response(conn_id, reason);
            }
            Err(reason) => self.reject_response(conn_id, reason),
        }
    }

    /// Applies what a complete response announces, unless its head has been applied.
    fn apply_response_notices(&mut self, conn_id: ServerConnId) {
        let Some(conn) = self.server_conns.get(conn_id) else {
            return;
        };
        if let Some(head) = conn.head()
            && !conn.is_stream
        {
            let (replica, status) = (conn.replica, head.status);
            let metadata = F::response_metadata(&head.fields);
            self.apply_server_notices(replica, status, &metadata);
        }
    }

    /// Ends an attempt whose response is incomplete or isn't one.
    fn reject_response(&mut self, conn_id: ServerConnId, reason: &'static str) {
        self.metrics.count_broken_response(reason);
        self.abort_attempt(conn_id, reason);
    }

    fn response_progress(
        &self,
        conn_id: ServerConnId,
        connection: ConnectionState,
    ) -> ResponseProgress {
        let conn = self.server_conns.get(conn_id);
        let reader = conn.and_then(|conn| conn.reader.as_ref());
        reader.map_or(ResponseProgress::Incomplete, |reader| {
            reader.progress(connection)
        })
    }

    /// Reads the response head; returns whether it is complete.
    fn read_response_head(&mut self, conn_id: ServerConnId) -> Result<bool, &'static str> {
        let Some(conn) = self.server_conns.get_mut(conn_id) else {
            return Ok(false);
        };
        if conn.head().is_some() {
            return Ok(true);
        }
        let Some(exchange) = conn
            .exchange_id
            .and_then(|exchange_id| self.exchanges.get_mut(exchange_id))
        else {
            return Err("no request");
        };
        let reader = conn
            .reader
            .get_or_insert_with(|| ResponseReader::new(&exchange.method, MAX_HEAD));
        let used = reader
            .read_head(&conn.channel.inbound)
            .map_err(|error| error.reason())?;
        conn.channel.consume(used);
        let Some(head) = reader.head() else {
            return Ok(false);
        };
        let metadata = F::response_metadata(&head.fields);
        if metadata.attempt.as_deref() != Some(exchange.metadata.attempt.as_str()) {
            return Err("answer to another request");
        }
        conn.is_stream = exchange.route.kind == RequestKind::Streaming
            && (200..300).contains(&head.status)
            && !metadata.not_run;
        if conn.is_stream
            && exchange.last_event_id().is_some()
            && declares_event_stream(head) == Some(false)
        {
            return Err("not an event stream");
        }
        if conn.is_stream && exchange.stream.is_none() {
            exchange.stream = Some(CallerStream {
                splitter: event_splitter(exchange),
                charge: self.account.charge(AccountPart::Responses),
                head_sent: false,
                last_event_at: self.now,
                backlog_ms: 0.0,
            });
        }
        let (replica, status, sent) = (conn.replica, head.status, exchange.sent_load.sent);
        let is_stream = conn.is_stream;
        if status != 421 {
            self.record_server_bytes(replica, sent);
        }
        if is_stream {
            // It may go on for long.
            self.apply_server_notices(replica, status, &metadata);
        }
        Ok(true)
    }

    fn read_response_body(
        &mut self,
        conn_id: ServerConnId,
        connection: ConnectionState,
    ) -> Result<ResponseProgress, &'static str> {
        let conn = &mut self.server_conns[conn_id];
        let Some(reader) = &mut conn.reader else {
            return Err("no head");
        };
        let used = reader
            .read_content(&conn.channel.inbound, &mut conn.body)
            .map_err(|error| error.reason())?;
        conn.channel.consume(used);
        let progress = reader.progress(connection);
        let is_framed = reader.is_framed();
        if conn.is_stream {
            self.forward_events(conn_id)?;
            if !self.has_response_capacity(conn_id) {
                return Err("no memory for the answer");
            }
            if progress == ResponseProgress::Complete
                && !self.has_response_begun(conn_id)
                && !self.may_be_empty(conn_id)
            {
                return Err(match is_framed {
                    true => "empty stream",
                    false => "closed before the first event",
                });
            }
        } else if conn.body.len() > MAX_BODY {
            return Err("answer too long");
        } else if !self.has_response_capacity(conn_id) {
            return Err("no memory for the answer");
        }
        Ok(progress)
    }

    /// Returns whether the caller has an event of the response on a connection.
    fn has_response_begun(&self, conn_id: ServerConnId) -> bool {
        let exchange_id = self.server_conns[conn_id].exchange_id;
        let exchange = exchange_id.and_then(|exchange_id| self.exchanges.get(exchange_id));
        exchange.is_some_and(|exchange| exchange.sent_load.first_event.is_some())
    }

    /// Returns whether the end of a stream without events may be the server's
    /// statement that there are none, rather than a failure.
    fn may_be_empty(&self, conn_id: ServerConnId) -> bool {
        let conn = &self.server_conns[conn_id];
        let exchange_id = conn.exchange_id;
        let exchange = exchange_id.and_then(|exchange_id| self.exchanges.get(exchange_id));
        let continues = exchange.is_some_and(|exchange| exchange.last_event_id().is_some());
        let is_framed = conn.reader.as_ref().is_some_and(ResponseReader::is_framed);
        let is_declared = conn
            .head()
            .is_some_and(|head| head.status != 204 && declares_event_stream(head) == Some(true));
        is_framed && (is_declared || !continues)
    }

    /// Returns whether there is memory to read on. Under pressure, callers that
    /// don't take their responses are disconnected first; then the responses that
    /// are larger than the average are given up.
    fn has_response_capacity(&mut self, conn_id: ServerConnId) -> bool {
        let limit = self.memory_limits().responses;
        if self.account.held(AccountPart::Responses) <= limit {
            return true;
        }
        self.shed_responses();
        let Some(conn) = self.server_conns.get(conn_id) else {
            return false;
        };
        let own = conn.body.len();
        if own <= SMALL_BODY || self.account.held(AccountPart::Responses) <= limit {
            return true;
        }
        let sizes = self.server_conns.iter().map(|(_, conn)| conn.body.len());
        let large: Vec<usize> = sizes.filter(|size| *size > SMALL_BODY).collect();
        let is_given_up = own * large.len() >= large.iter().sum();
        if is_given_up {
            self.record_limit("responses", "response_given_up");
        }
        !is_given_up
    }

    /// Writes complete events to the caller.
    fn forward_events(&mut self, conn_id: ServerConnId) -> Result<(), &'static str> {
        let conn = &mut self.server_conns[conn_id];
        let Some(exchange_id) = conn.exchange_id else {
            return Err("no request");
        };
        let exchange = &mut self.exchanges[exchange_id];
        let Some(stream) = &mut exchange.stream else {
            return Err("no stream");
        };
        if conn.body.is_empty() {
            return Ok(());
        }
        conn.body
            .segments()
            .for_each(|segment| stream.splitter.push(segment));
        conn.body.clear();
        let events = stream.splitter.take_events().map_err(|error| match error {
            EventError::TooLong => "event too long",
            EventError::OutOfOrder { .. } => "event out of order",
            EventError::WithoutId { .. } => "event without an id",
            EventError::Failure { .. } => "error event",
        })?;
        stream.charge.set(stream.splitter.partial_len());
        if events.is_empty() {
            return Ok(());
        }
        let first = !std::mem::replace(&mut stream.head_sent, true);
        let (caller, load) = (exchange.caller, exchange.sent_load);
        if first && let Some(head) = conn.head().cloned() {
            self.write_stream_head(caller, &head);
        }
        self.record_server_bytes(load.replica, load.sent);
        self.drop_standby(exchange_id);
        let first_of_attempt = self.record_first_event(exchange_id);
        if first_of_attempt {
            self.count_begun(exchange_id);
            self.bind_stream(exchange_id);
        }
        self.record_event(exchange_id, first_of_attempt);
        self.write_events(caller, &events);
        self.pause_if_behind(exchange_id, caller);
        Ok(())
    }

    /// Handles a complete response: releases the connection and reports the
    /// outcome.
    fn complete_response(&mut self, conn_id: ServerConnId, connection: ConnectionState) {
        let Some(conn) = self.server_conns.get_mut(conn_id) else {
            return;
        };
        let reader = conn.reader.take();
        let framed = reader.as_ref().is_some_and(ResponseReader::is_framed);
        let head = reader.and_then(ResponseReader::into_head);
        let (Some(head), Some(exchange_id)) = (head, conn.exchange_id.take()) else {
            self.close_server_conn(conn_id);
            return;
        };
        let next = SegmentedBody::new(self.account.charge(AccountPart::Responses));
        let body = std::mem::replace(&mut conn.body, next);
        let is_stream = conn.is_stream;
        let replica = conn.replica;
        let metadata = F::response_metadata(&head.fields);
        let reusable = framed
            && connection == ConnectionState::Open
            && conn.channel.inbound.is_empty()
            && !conn.channel.may_have_more()
            && conn.channel.unsent() == 0
            && !head.fields.has_list_element("connection", "close");
        if metadata.not_run {
            let attempt = &self.exchanges[exchange_id].metadata.attempt;
            conn.refused_attempts.push(stable_hash(attempt.as_bytes()));
        }
        if reusable && conn.refused_attempts.len() <= MAX_REFUSALS {
            self.keep_server_conn(conn_id, &head);
        } else {
            self.close_server_conn(conn_id);
        }
        if !is_stream && !metadata.not_run && head.status != 421 {
            self.count_begun(exchange_id);
        }
        if head.status == 421 {
            let sent = self.exchanges[exchange_id].sent_load.sent;
            self.record_ended(replica, EndedKind::Misdirected, sent);
        }
        if (200..300).contains(&head.status) && !metadata.not_run {
            if framed {
                self.record_survived_exchange(exchange_id);
            } else {
                let load = self.exchanges[exchange_id].sent_load;
                self.suspect_crash(exchange_id, load, true);
            }
        }
        let outcome = if is_stream {
            AttemptOutcome::StreamEnd { replica, head }
        } else if metadata.not_run {
            AttemptOutcome::NotRun {
                replica,
                status: head.status,
            }
        } else if PROMISED_NOT_RUN.contains(&head.status) {
            AttemptOutcome::Unknown {
                replica,
                reason: "refusal without the mark",
            }
        } else {
            AttemptOutcome::Response {
                replica,
                head,
                body,
            }
        };
        self.handle_outcome(exchange_id, outcome);
    }

    /// Keeps a connection open for the next request.
    fn keep_server_conn(&mut self, conn_id: ServerConnId, head: &ResponseHead) {
        let now = self.now;
        let conn = &mut self.server_conns[conn_id];
        let idle = head
            .fields
            .list_elements("keep-alive")
            .find_map(|word| word.strip_prefix("timeout=")?.parse().ok())
            .map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT));
        let time = idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
            idle.saturating_sub(IDLE_TIMEOUT_MARGIN).max(idle / 3)
        });
        conn.is_stream = false;
        conn.idle_since = now;
        conn.idle_until = now + time;
        let replica = conn.replica;
        let until = conn.idle_until;
        if !self.directory.get(replica).is_listed() {
            self.close_server_conn(conn_id);
            return;
        }
        self.directory.get_mut(replica).idle_conns.push(conn_id);
        self.arm_server(conn_id, until);
    }

    /// Closes a connection whose response is invalid, incomplete or missing.
    pub(crate) fn abort_attempt(&mut self, conn_id: ServerConnId, reason: &'static str) {
        let Some(conn) = self.server_conns.get_mut(conn_id) else {
            return;
        };
        let replica = conn.replica;
        let exchange_id = conn.exchange_id.take();
        self.close_server_conn(conn_id);
        if let Some(exchange_id) = exchange_id {
            self.handle_outcome(exchange_id, AttemptOutcome::Unknown { replica, reason });
        }
    }

    /// Closes a connection to a server.
    pub(crate) fn close_server_conn(&mut self, conn_id: ServerConnId) {
        if let Some(conn) = self.server_conns.try_remove(conn_id) {
            let replica = self.directory.get_mut(conn.replica);
            replica.open_connections = replica.open_connections.saturating_sub(1);
            replica.idle_conns.retain(|other| *other != conn_id);
            self.unread_servers.remove(conn_id);
        }
    }

    /// Handles an expired timer of a connection to a server.
    pub(crate) fn on_server_timer(&mut self, conn_id: ServerConnId) {
        let now = self.now;
        let Some(conn) = self.server_conns.get(conn_id) else {
            return;
        };
        if !conn.connected {
            self.fail_connect(conn_id, ServerTest::Unreachable);
        } else if conn.exchange_id.is_none() {
            if conn.idle_until <= now {
                self.close_server_conn(conn_id);
            } else {
                let until = conn.idle_until;
                self.arm_server(conn_id, until);
            }
        }
    }

    /// Records the result of an attempt in the health of its server.
    pub(crate) fn record_attempt_result(&mut self, replica: usize, result: AttemptResult) {
        let now = self.now;
        let replica_state = self.directory.get_mut(replica);
        let usable = replica_state.health.is_usable(now);
        replica_state.health.record_result(result, now);
        if usable && !replica_state.health.is_usable(now) {
            self.logs
                .system("health", "paused")
                .text("server", &replica_state.id)
                .number(
                    "failures_pct",
                    (replica_state.health.failure_rate() * 100.0) as u64,
                );
        }
    }
}
