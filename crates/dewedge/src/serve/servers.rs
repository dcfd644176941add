//! Connections to servers, from their bytes to an outcome.
//!
//! The main invariant: bytes of a server are joined to a request only if their
//! answer names it, and a connection is used again only if nothing is left on it.

use std::time::Duration;

use crate::format::PlatformFormat;
use crate::http::{AnswerHead, BodyDecoder, parse_answer};
use crate::net::ReadEnd;
use crate::policy::health::AttemptResult;
use crate::stream::EventCutter;
use crate::tables::RequestKind;

use super::outcomes::AttemptOutcome;
use super::state::{CallerStream, EdgeState, ServerId};

/// Bytes of an answer's head at most.
const MAX_HEAD: usize = 32 * 1024;

/// Bytes of an answer that are kept until it is whole.
const MAX_BODY: usize = 8 << 20;

/// Bytes that are read from a server before they are passed on.
const MAX_INBOUND: usize = 256 * 1024;

/// Idle time of a connection whose server states none.
const IDLE_DEFAULT: Duration = Duration::from_millis(1500);

/// Idle time that is left unused, for the way to the server and back.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// What an answer's bytes amount to.
enum AnswerStep {
    Wait,
    /// The bytes are no answer to the request.
    Foreign(&'static str),
    /// A whole answer.
    Whole,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes an event of a connection to a server.
    pub(crate) fn on_server(&mut self, server: ServerId, closing: bool) {
        let Some(conn) = self.servers.get_mut(server) else {
            return;
        };
        if !conn.connected && !self.check_connected(server, closing) {
            return;
        }
        let Some(conn) = self.servers.get_mut(server) else {
            return;
        };
        let flushed = conn.channel.flush();
        let end = conn.channel.fill(MAX_INBOUND, closing);
        if conn.exchange.is_none() {
            if end != ReadEnd::Open || !conn.channel.inbound.is_empty() {
                self.drop_server(server);
            }
            return;
        }
        let replica = conn.replica;
        if !conn.channel.inbound.is_empty() {
            self.directory.get_mut(replica).heard = Some(self.now);
            self.last_heard = self.now;
            self.unheard = 0;
        }
        let end = if flushed.is_err() && end == ReadEnd::Open {
            ReadEnd::Broken
        } else {
            end
        };
        self.read_server(server, end);
    }

    /// Looks whether a connection was made; returns whether it was.
    fn check_connected(&mut self, server: ServerId, closing: bool) -> bool {
        let conn = &mut self.servers[server];
        let failed = matches!(conn.channel.stream.take_error(), Ok(Some(_)) | Err(_));
        if !failed && conn.channel.stream.peer_addr().is_ok() {
            conn.connected = true;
            return true;
        }
        if failed || closing {
            self.fail_connect(server);
        }
        false
    }

    /// Ends a connection that couldn't be made.
    fn fail_connect(&mut self, server: ServerId) {
        let conn = &mut self.servers[server];
        let replica = conn.replica;
        let exchange = conn.exchange.take();
        self.drop_server(server);
        if let Some(exchange) = exchange {
            self.settle(exchange, AttemptOutcome::NotSent { replica });
        }
    }

    /// Reads the answer on a connection.
    fn read_server(&mut self, server: ServerId, end: ReadEnd) {
        loop {
            let step = match self.read_answer_head(server) {
                Ok(true) => self.read_answer_body(server, end),
                Ok(false) => AnswerStep::Wait,
                Err(reason) => AnswerStep::Foreign(reason),
            };
            match step {
                AnswerStep::Whole => {
                    let interim = self
                        .servers
                        .get(server)
                        .and_then(|conn| conn.head.as_ref())
                        .is_some_and(|head| head.status < 200);
                    if interim {
                        let conn = &mut self.servers[server];
                        conn.head = None;
                        conn.decoder = None;
                        continue;
                    }
                    self.complete(server, end);
                }
                AnswerStep::Foreign(reason) => self.break_off(server, reason),
                AnswerStep::Wait if end != ReadEnd::Open => self.break_off(server, "closed"),
                AnswerStep::Wait => {}
            }
            return;
        }
    }

    /// Reads the head; returns whether it is there.
    fn read_answer_head(&mut self, server: ServerId) -> Result<bool, &'static str> {
        let Some(conn) = self.servers.get_mut(server) else {
            return Ok(false);
        };
        if conn.head.is_some() {
            return Ok(true);
        }
        let Some(item) = conn
            .exchange
            .and_then(|exchange| self.exchanges.get_mut(exchange))
        else {
            return Err("no request");
        };
        let head = match parse_answer(&conn.channel.inbound, &item.method, MAX_HEAD) {
            Err(_) => return Err("not an answer"),
            Ok(None) => return Ok(false),
            Ok(Some(head)) => head,
        };
        if head.status >= 200 {
            let facts = F::response_metadata(&head.fields);
            if facts.attempt.as_deref() != Some(item.facts.attempt.as_str()) {
                return Err("answer to another request");
            }
            conn.is_stream = item.route.kind == RequestKind::Streaming
                && (200..300).contains(&head.status)
                && !facts.not_run;
            if conn.is_stream && item.stream.is_none() {
                item.stream = Some(CallerStream {
                    cutter: EventCutter::new(item.facts.last_event_id),
                    head_sent: false,
                    last_event: self.now,
                });
            }
        }
        conn.channel.consume(head.length);
        conn.decoder = Some(BodyDecoder::new(head.body));
        conn.head = Some(head);
        Ok(true)
    }

    fn read_answer_body(&mut self, server: ServerId, end: ReadEnd) -> AnswerStep {
        let conn = &mut self.servers[server];
        let Some(decoder) = &mut conn.decoder else {
            return AnswerStep::Foreign("no head");
        };
        let Ok(used) = decoder.decode(&conn.channel.inbound, &mut conn.body) else {
            return AnswerStep::Foreign("malformed body");
        };
        conn.channel.consume(used);
        let done = decoder.is_done() || decoder.ends_with_connection() && end == ReadEnd::Closed;
        if conn.is_stream {
            if let Err(reason) = self.forward_events(server) {
                return AnswerStep::Foreign(reason);
            }
        } else if conn.body.len() > MAX_BODY {
            return AnswerStep::Foreign("answer too long");
        }
        if done {
            AnswerStep::Whole
        } else {
            AnswerStep::Wait
        }
    }

    /// Passes whole events on to the caller.
    fn forward_events(&mut self, server: ServerId) -> Result<(), &'static str> {
        let now = self.now;
        let conn = &mut self.servers[server];
        let Some(exchange) = conn.exchange else {
            return Err("no request");
        };
        let item = &mut self.exchanges[exchange];
        let Some(stream) = &mut item.stream else {
            return Err("no stream");
        };
        if conn.body.is_empty() {
            return Ok(());
        }
        stream.cutter.push(&conn.body);
        conn.body.clear();
        let events = stream
            .cutter
            .take_events()
            .map_err(|_| "event out of order")?;
        if events.is_empty() {
            return Ok(());
        }
        stream.last_event = now;
        let first = !std::mem::replace(&mut stream.head_sent, true);
        let caller = item.caller;
        if first && let Some(head) = conn.head.clone() {
            self.pass_stream_head(caller, &head);
        }
        self.note_first_event(exchange);
        self.pass_events(caller, &events);
        Ok(())
    }

    /// Ends a whole answer: frees the connection and settles the request.
    fn complete(&mut self, server: ServerId, end: ReadEnd) {
        let conn = &mut self.servers[server];
        let (Some(head), Some(exchange)) = (conn.head.take(), conn.exchange.take()) else {
            self.drop_server(server);
            return;
        };
        let body = std::mem::take(&mut conn.body);
        let is_stream = conn.is_stream;
        let replica = conn.replica;
        let framed = conn.decoder.take().is_some_and(|decoder| decoder.is_done());
        let reusable = framed
            && end == ReadEnd::Open
            && conn.channel.inbound.is_empty()
            && conn.channel.unsent() == 0
            && !head.fields.has_list_element("connection", "close");
        if reusable {
            self.keep_server(server, &head);
        } else {
            self.drop_server(server);
        }
        let facts = F::response_metadata(&head.fields);
        let outcome = if is_stream {
            AttemptOutcome::StreamEnd { replica, head }
        } else if facts.not_run || head.status == 421 {
            AttemptOutcome::NotRun {
                replica,
                status: head.status,
            }
        } else {
            AttemptOutcome::Answer {
                replica,
                head,
                body,
            }
        };
        self.settle(exchange, outcome);
    }

    /// Keeps a connection for the next request.
    fn keep_server(&mut self, server: ServerId, head: &AnswerHead) {
        let now = self.now;
        let conn = &mut self.servers[server];
        let idle = head
            .fields
            .list_elements("keep-alive")
            .find_map(|word| word.strip_prefix("timeout=")?.parse().ok())
            .map(Duration::from_secs);
        let time = idle.map_or(IDLE_DEFAULT, |idle| {
            idle.saturating_sub(IDLE_MARGIN).max(idle / 3)
        });
        conn.is_stream = false;
        conn.idle_since = now;
        conn.idle_until = now + time;
        conn.channel.shrink();
        let replica = conn.replica;
        let until = conn.idle_until;
        if self.directory.get(replica).gone {
            self.drop_server(server);
            return;
        }
        self.directory.get_mut(replica).idle.push(server);
        self.arm_server(server, until);
    }

    /// Ends a connection whose answer is no answer, or broke off.
    pub(crate) fn break_off(&mut self, server: ServerId, reason: &'static str) {
        let Some(conn) = self.servers.get_mut(server) else {
            return;
        };
        let replica = conn.replica;
        let exchange = conn.exchange.take();
        self.drop_server(server);
        if let Some(exchange) = exchange {
            self.settle(exchange, AttemptOutcome::Unknown { replica, reason });
        }
    }

    /// Closes a connection to a server.
    pub(crate) fn drop_server(&mut self, server: ServerId) {
        if let Some(conn) = self.servers.try_remove(server) {
            let replica = self.directory.get_mut(conn.replica);
            replica.open_connections = replica.open_connections.saturating_sub(1);
            replica.idle.retain(|other| *other != server);
        }
    }

    /// Takes the timer of a connection to a server.
    pub(crate) fn on_server_timer(&mut self, server: ServerId) {
        let now = self.now;
        let Some(conn) = self.servers.get(server) else {
            return;
        };
        if !conn.connected {
            self.fail_connect(server);
        } else if conn.exchange.is_none() {
            if conn.idle_until <= now {
                self.drop_server(server);
            } else {
                let until = conn.idle_until;
                self.arm_server(server, until);
            }
        }
    }

    /// Notes how a request ended at a server.
    pub(crate) fn record_attempt_result(&mut self, replica: usize, result: AttemptResult) {
        let now = self.now;
        let state = self.directory.get_mut(replica);
        let usable = state.health.is_usable(now);
        state.health.record_result(result, now);
        if usable && !state.health.is_usable(now) {
            self.logs
                .system("health", "paused")
                .text("server", &state.id)
                .number("failures_pct", (state.health.failure_rate() * 100.0) as u64);
        }
    }
}
