//! What the outcome of an attempt means for its request.
//!
//! The main invariant: a request that may have run and may not be repeated is
//! answered 502 or 504 or by the end of its connection, never 503.

use std::time::Duration;

use crate::clock::Moment;
use crate::directory::ReplicaIndex;
use crate::format::PlatformFormat;
use crate::http::AnswerHead;
use crate::policy::health::AttemptResult;
use crate::tables::RequestKind;

use super::state::{CallerId, EdgeState, Exchange, ExchangePhase, KeptAnswer};

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// No byte of the request left this VM.
    NotSent { replica: ReplicaIndex },
    /// The server states that it did not run the request.
    NotRun { replica: ReplicaIndex, status: u16 },
    /// The server answered.
    Answer {
        replica: ReplicaIndex,
        head: AnswerHead,
        body: Vec<u8>,
    },
    /// The server's stream ended as it should.
    StreamEnd {
        replica: ReplicaIndex,
        head: AnswerHead,
    },
    /// The request may have run, and no answer came.
    Unknown {
        replica: ReplicaIndex,
        reason: &'static str,
    },
}

/// Connections for one request that may fail before it is given up.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Time after the deadline in which the server's own answer may still come.
const ANSWER_SLACK: Duration = Duration::from_millis(80);

/// Shortest silence of a stream that counts as one. A server without power is
/// noticed by the kernel; this is for servers that take requests and do nothing.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// Silence of a stream against its permitted pause that counts as one.
const PAUSE_FACTOR: f64 = 3.0;

/// Silence before the first event against the latency target that counts.
const FIRST_EVENT_FACTOR: f64 = 1.2;

/// Silence of a plain server against the latency target that counts.
const PLAIN_FACTOR: f64 = 2.0;

/// Shortest silence of a plain server that counts as one.
const PLAIN_MIN_SILENCE: Duration = Duration::from_millis(300);

/// Time between two looks at a server that is silent for one request only.
const SILENCE_LOOK: Duration = Duration::from_millis(200);

/// Weight of the newest time to a first event in the average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// Bounds of the slowness of a server.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 6.0);

/// Slowness is learned only from times longer than this, in ms; shorter ones
/// say nothing of the load.
const SLOWNESS_MIN_MS: f64 = 60.0;

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes the outcome of an attempt.
    pub(crate) fn settle(&mut self, exchange: usize, outcome: AttemptOutcome) {
        if !self.exchanges.contains(exchange) {
            return;
        }
        self.release_load(exchange);
        self.count_attempt(exchange, &outcome);
        match outcome {
            AttemptOutcome::NotSent { replica } => {
                let item = &mut self.exchanges[exchange];
                item.sends -= 1;
                item.tried.push(replica);
                self.on_connect_failure(exchange, replica);
            }
            AttemptOutcome::NotRun { replica, status } => {
                self.exchanges[exchange].tried.push(replica);
                if status == 421 {
                    self.record_attempt_result(replica, AttemptResult::Failed);
                }
                self.log_outcome(exchange, replica, "not_run", u64::from(status));
                if self.can_retry(exchange) {
                    self.enqueue(exchange);
                } else {
                    self.give_up(exchange, "server_full");
                }
            }
            AttemptOutcome::Answer {
                replica,
                head,
                body,
            } => self.take_answer(exchange, replica, head, body),
            AttemptOutcome::StreamEnd { replica, head } => {
                self.take_stream_end(exchange, replica, &head);
            }
            AttemptOutcome::Unknown { replica, reason } => {
                self.exchanges[exchange].maybe_ran = true;
                self.exchanges[exchange].tried.push(replica);
                let result = match reason {
                    "silent" => AttemptResult::Unresponsive,
                    _ => AttemptResult::Failed,
                };
                self.record_attempt_result(replica, result);
                self.log_outcome(exchange, replica, reason, 0);
                if self.exchanges[exchange].route.is_retryable() && self.can_retry(exchange) {
                    self.resume(exchange);
                } else {
                    self.give_up(exchange, "outcome_unknown");
                }
            }
        }
    }

    fn count_attempt(&mut self, exchange: usize, outcome: &AttemptOutcome) {
        let label = crate::metrics::RouteOutcome {
            service: self.exchanges[exchange].service.clone(),
            outcome: match outcome {
                AttemptOutcome::NotSent { .. } => "not_sent",
                AttemptOutcome::NotRun { .. } => "not_run",
                AttemptOutcome::Answer { .. } => "answer",
                AttemptOutcome::StreamEnd { .. } => "stream_end",
                AttemptOutcome::Unknown { .. } => "unknown",
            },
        };
        self.metrics.attempts.get_or_create(&label).inc();
    }

    /// Takes a connection that couldn't be made.
    pub(crate) fn on_connect_failure(&mut self, exchange: usize, replica: ReplicaIndex) {
        self.record_attempt_result(replica, AttemptResult::Unresponsive);
        self.log_outcome(exchange, replica, "not_connected", 0);
        let item = &mut self.exchanges[exchange];
        item.connect_failures += 1;
        if item.connect_failures > MAX_CONNECT_FAILURES {
            self.give_up(exchange, "no_server");
            return;
        }
        self.resume(exchange);
    }

    /// Puts a request back into the queue, before all that it can still lose.
    fn resume(&mut self, exchange: usize) {
        let now = self.now;
        let item = &mut self.exchanges[exchange];
        if let Some(stream) = &mut item.stream {
            stream.cutter.drop_partial();
        }
        let patience = item.route.latency_target / 2;
        item.wait_until = item.wait_until.max(now + patience).min(item.deadline);
        self.enqueue(exchange);
    }

    /// Returns whether a request may be sent once more.
    fn can_retry(&self, exchange: usize) -> bool {
        let item = &self.exchanges[exchange];
        item.sends < item.route.max_attempts && item.deadline > self.now
    }

    fn take_answer(
        &mut self,
        exchange: usize,
        replica: ReplicaIndex,
        head: AnswerHead,
        body: Vec<u8>,
    ) {
        let failed = head.status >= 500;
        let result = if failed {
            AttemptResult::Failed
        } else {
            AttemptResult::Success
        };
        self.record_attempt_result(replica, result);
        let begun = self.has_begun(exchange);
        if failed && self.exchanges[exchange].route.is_retryable() && self.can_retry(exchange) {
            self.log_outcome(exchange, replica, "failed", u64::from(head.status));
            let item = &mut self.exchanges[exchange];
            item.maybe_ran = true;
            item.tried.push(replica);
            if !begun {
                item.kept = Some(KeptAnswer { head, body });
            }
            self.resume(exchange);
            return;
        }
        if begun {
            self.give_up(exchange, "resume_failed");
            return;
        }
        let status = u64::from(head.status);
        self.log_done(exchange, replica, "answered", status);
        let method = self.exchanges[exchange].method.clone();
        self.finish(exchange, "answered", |state, caller| {
            state.pass_answer(caller, &method, &head, &body);
        });
    }

    fn take_stream_end(&mut self, exchange: usize, replica: ReplicaIndex, head: &AnswerHead) {
        let item = &mut self.exchanges[exchange];
        let Some(stream) = &mut item.stream else {
            return;
        };
        if stream.cutter.has_partial() {
            let reason = "event cut off";
            self.settle(exchange, AttemptOutcome::Unknown { replica, reason });
            return;
        }
        let begun = stream.head_sent;
        let events = stream.cutter.events();
        self.record_attempt_result(replica, AttemptResult::Success);
        self.log_done(exchange, replica, "streamed", events);
        self.finish(exchange, "streamed", |state, caller| {
            if !begun {
                state.pass_stream_head(caller, head);
            }
            state.end_stream(caller);
        });
    }

    /// Returns whether a caller has got the start of its answer.
    fn has_begun(&self, exchange: usize) -> bool {
        let stream = self.exchanges[exchange].stream.as_ref();
        stream.is_some_and(|stream| stream.head_sent)
    }

    /// Gives the final answer of a request that isn't served.
    pub(crate) fn give_up(&mut self, exchange: usize, code: &'static str) {
        if self.has_begun(exchange) {
            let replica = self.exchanges[exchange].sent_load.replica;
            self.log_done(exchange, replica, code, 0);
            self.finish(exchange, "broken_off", |state, caller| {
                // Without the end of the stream the caller sees that it broke off.
                state.drop_caller(caller, "broken off");
            });
            return;
        }
        if let Some(kept) = self.exchanges[exchange].kept.take() {
            let method = self.exchanges[exchange].method.clone();
            let replica = self.exchanges[exchange].sent_load.replica;
            self.log_done(
                exchange,
                replica,
                "failure_passed_on",
                u64::from(kept.head.status),
            );
            self.finish(exchange, "failed", |state, caller| {
                state.pass_answer(caller, &method, &kept.head, &kept.body);
            });
            return;
        }
        let item = &self.exchanges[exchange];
        if item.maybe_ran {
            let late = item.deadline <= self.now;
            let status = if late { 504 } else { 502 };
            self.log_done(exchange, item.sent_load.replica, code, u64::from(status));
            self.finish(exchange, "unknown", |state, caller| {
                state.answer(caller, status, code, None);
            });
            return;
        }
        let service = item.service.clone();
        let waiting = self.queues.get(&service).map_or(0, |queue| queue.len());
        self.refuse(exchange, code, waiting);
    }

    /// Ends a request: writes its answer and forgets it.
    pub(crate) fn finish(
        &mut self,
        exchange: usize,
        outcome: &'static str,
        write: impl FnOnce(&mut Self, CallerId),
    ) {
        self.unlink(exchange);
        let Some(item) = self.exchanges.try_remove(exchange) else {
            return;
        };
        self.body_bytes = self.body_bytes.saturating_sub(item.body.len() as u64);
        self.metrics.in_flight.dec();
        self.count_request(&item.service, outcome);
        if let Some(conn) = self.callers.get_mut(item.caller) {
            conn.phase = super::state::CallerPhase::Head;
        }
        write(self, item.caller);
        self.wakes.push_back(item.service);
        self.freed_callers.push_back(item.caller);
    }

    /// Takes a request out of the queue, or off its connection.
    fn unlink(&mut self, exchange: usize) {
        self.release_load(exchange);
        let Some(item) = self.exchanges.get(exchange) else {
            return;
        };
        if let ExchangePhase::Sent(server) = item.phase {
            let owned = self
                .servers
                .get(server)
                .is_some_and(|conn| conn.exchange == Some(exchange));
            if owned {
                self.drop_server(server);
            }
        }
        let service = self.exchanges[exchange].service.clone();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(exchange);
        }
    }

    /// Ends the work for a caller that left.
    pub(crate) fn abandon(&mut self, exchange: usize, why: &'static str) {
        let Some(item) = self.exchanges.get(exchange) else {
            return;
        };
        if let ExchangePhase::Sent(_) = item.phase {
            self.directory
                .get_mut(item.sent_load.replica)
                .health
                .record_abandoned();
        }
        self.log_done(exchange, item.sent_load.replica, why, 0);
        self.finish(exchange, "abandoned", |_, _| {});
    }

    /// Takes back what a sent request counts at its server.
    fn release_load(&mut self, exchange: usize) {
        let Some(item) = self.exchanges.get_mut(exchange) else {
            return;
        };
        if !std::mem::take(&mut item.sent_load.counted) {
            return;
        }
        let load = item.sent_load;
        let own = &mut self.directory.get_mut(load.replica).own_load;
        own.requests = own.requests.saturating_sub(1);
        own.tokens = own.tokens.saturating_sub(load.tokens);
        own.gap_sensitive_streams = own
            .gap_sensitive_streams
            .saturating_sub(u32::from(load.gap_sensitive));
        if load.unread {
            own.backlog_ms = (own.backlog_ms - load.backlog_ms).max(0.0);
        }
        if own.requests == 0 {
            own.backlog_ms = 0.0;
        }
        let service = item.service.clone();
        self.digest_due = true;
        self.wakes.push_back(service);
    }

    /// Notes the first event of a stream, after which its prompt is read.
    pub(crate) fn note_first_event(&mut self, exchange: usize) {
        let now = self.now;
        let item = &mut self.exchanges[exchange];
        if !std::mem::take(&mut item.sent_load.unread) {
            return;
        }
        let took = now.saturating_sub(item.sent_load.sent).as_secs_f64();
        let state = self.directory.get_mut(item.sent_load.replica);
        state.own_load.backlog_ms =
            (state.own_load.backlog_ms - item.sent_load.backlog_ms).max(0.0);
        let took_ms = took * 1000.0;
        if took_ms > SLOWNESS_MIN_MS || item.sent_load.expected_ms > SLOWNESS_MIN_MS {
            let (low, high) = SLOWNESS_BOUNDS;
            let ratio = (took_ms / item.sent_load.expected_ms.max(1.0)).clamp(low, high);
            state.slowness += SLOWNESS_WEIGHT * (ratio - state.slowness);
        }
        let label = crate::metrics::ServiceLabel {
            service: item.service.clone(),
        };
        let since = now.saturating_sub(item.arrived).as_secs_f64();
        self.metrics.first_byte.get_or_create(&label).observe(since);
        let service = item.service.clone();
        self.digest_due = true;
        self.wakes.push_back(service);
    }

    /// Returns when a sent request is looked at again.
    pub(crate) fn watch_time(&self, exchange: usize) -> Moment {
        let item = &self.exchanges[exchange];
        let last = item.deadline + ANSWER_SLACK;
        match silence_limit(item) {
            Some(limit) => (heard_at(item) + limit).min(last),
            None => last,
        }
    }

    /// Takes the timer of a request.
    pub(crate) fn on_exchange_timer(&mut self, exchange: usize) {
        let now = self.now;
        let Some(item) = self.exchanges.get(exchange) else {
            return;
        };
        let server = match item.phase {
            ExchangePhase::Waiting => {
                self.expire(exchange);
                return;
            }
            ExchangePhase::Sent(server) => server,
        };
        if item.deadline + ANSWER_SLACK <= now {
            self.exchanges[exchange].maybe_ran = true;
            self.give_up(exchange, "timeout");
            return;
        }
        let due = self.watch_time(exchange);
        if due > now {
            self.arm_exchange(exchange, due);
            return;
        }
        let heard = self.directory.get(item.sent_load.replica).heard;
        let quiet = heard.is_none_or(|heard| {
            now.saturating_sub(heard) >= MIN_SILENCE || heard < item.sent_load.sent
        });
        // A caller whose request can't be sent again from here can come back
        // through another VM, if it may be repeated.
        if quiet && (self.can_retry(exchange) || self.is_isolated()) {
            self.break_off(server, "silent");
        } else {
            self.arm_exchange(exchange, now + SILENCE_LOOK);
        }
    }

    /// Ends a request that waited too long for a server.
    pub(crate) fn expire(&mut self, exchange: usize) {
        self.give_up(exchange, "no_server_in_time");
    }

    fn log_outcome(&mut self, exchange: usize, replica: ReplicaIndex, what: &str, status: u64) {
        let item = &self.exchanges[exchange];
        self.logs
            .request("attempt", "ended")
            .text("request", &item.facts.attempt)
            .text("server", &self.directory.get(replica).id)
            .text("outcome", what)
            .number("status", status)
            .number("send", item.sends)
            .ms("took_ms", self.now.saturating_sub(item.sent_load.sent));
    }

    fn log_done(&mut self, exchange: usize, replica: ReplicaIndex, what: &str, number: u64) {
        let item = &self.exchanges[exchange];
        let server = match item.sends {
            0 => "",
            _ => self.directory.get(replica).id.as_str(),
        };
        self.logs
            .request("entry", "ended")
            .text("request", &item.facts.attempt)
            .text("route", &item.route.name)
            .text("server", server)
            .text("outcome", what)
            .number("result", number)
            .number("sends", item.sends)
            .ms("took_ms", self.now.saturating_sub(item.arrived));
    }
}

/// Returns when a request was last heard of.
fn heard_at(item: &Exchange) -> Moment {
    match &item.stream {
        Some(stream) if stream.head_sent => stream.last_event.max(item.sent_load.sent),
        _ => item.sent_load.sent,
    }
}

/// Returns the silence after which a request goes on elsewhere, if it may.
fn silence_limit(item: &Exchange) -> Option<Duration> {
    if !item.route.is_retryable() {
        return None;
    }
    let begun = item.stream.as_ref().is_some_and(|stream| stream.head_sent);
    let limit = match item.route.kind {
        RequestKind::Streaming if begun => item.route.event_gap_target.mul_f64(PAUSE_FACTOR),
        RequestKind::Streaming => item.route.latency_target.mul_f64(FIRST_EVENT_FACTOR),
        _ => item.route.latency_target.mul_f64(PLAIN_FACTOR),
    };
    Some(match item.route.kind {
        RequestKind::Streaming => limit.max(MIN_SILENCE),
        _ => limit.max(PLAIN_MIN_SILENCE),
    })
}
