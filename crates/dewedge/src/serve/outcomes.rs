//! Handles the outcomes of attempts: retries a request or completes it.
//!
//! An attempt is one send of a request to one server. The main invariant: a
//! request that may have run and isn't retryable is answered with 502 or 504,
//! or its connection is closed, but never with a status that promises that it
//! hasn't run.

use std::time::Duration;

use dewbudget::SegmentedBody;

use crate::directory::ReplicaIndex;
use crate::format::{PlatformFormat, PromptPart};
use crate::http::ResponseHead;
use crate::policy::engine_model::{FirstEventSample, GapSample};
use crate::policy::health::AttemptResult;

use super::crashes::{ends_with_connection, request_hash};
use super::state::{CallerId, EdgeState, ExchangePhase, FallbackResponse, SentLoad};

/// Outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// No byte of the request was sent.
    NotSent { replica: ReplicaIndex },
    /// The server reports that it didn't run the request.
    NotRun { replica: ReplicaIndex, status: u16 },
    /// The server sent a complete response.
    Response {
        replica: ReplicaIndex,
        head: ResponseHead,
        body: SegmentedBody,
    },
    /// The server ended its stream properly.
    StreamEnd {
        replica: ReplicaIndex,
        head: ResponseHead,
    },
    /// The request may have run, but no complete response arrived.
    Unknown {
        replica: ReplicaIndex,
        reason: &'static str,
    },
}

/// Failed connections that a request may have before it fails.
pub(crate) const MAX_CONNECT_FAILURES: u32 = 4;

/// Weight of the newest time to first event in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// Bounds of the ratio between the measured and the expected time to first
/// event, of which the slowness of a server is the moving average.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 6.0);

/// Slowness is updated only if the measured or the expected time to first event
/// exceeds this, in ms; shorter times don't depend on the load.
const SLOWNESS_MIN_MS: f64 = 60.0;

impl<F: PlatformFormat> EdgeState<F> {
    /// Handles the outcome of an attempt.
    pub(crate) fn handle_outcome(&mut self, exchange_id: usize, outcome: AttemptOutcome) {
        if !self.exchanges.contains(exchange_id) {
            return;
        }
        self.record_request_time(exchange_id, &outcome);
        self.release_load(exchange_id);
        self.count_attempt(exchange_id, &outcome);
        match outcome {
            AttemptOutcome::NotSent { replica } => {
                let unsent = self.exchanges[exchange_id].sent_load;
                self.undo_send(exchange_id, unsent);
                self.exchanges[exchange_id].tried_replicas.push(replica);
                self.on_connect_failure(exchange_id, replica);
            }
            AttemptOutcome::NotRun { replica, status } => {
                self.exchanges[exchange_id].tried_replicas.push(replica);
                if status == 421 {
                    self.record_attempt_result(replica, AttemptResult::Failed);
                } else {
                    // A full server says nothing about its health.
                    self.directory.get_mut(replica).health.record_abandoned();
                }
                self.log_outcome(exchange_id, replica, "not_run", u64::from(status));
                if self.restore_standby(exchange_id) {
                    return;
                }
                if self.can_retry(exchange_id) {
                    self.enqueue(exchange_id);
                } else {
                    self.fail_request(exchange_id, "server_full");
                }
            }
            AttemptOutcome::Response {
                replica,
                head,
                body,
            } => self.handle_response(exchange_id, replica, head, body),
            AttemptOutcome::StreamEnd { replica, head } => {
                self.handle_stream_end(exchange_id, replica, &head);
            }
            AttemptOutcome::Unknown { replica, reason } => {
                self.exchanges[exchange_id].may_have_run = true;
                self.exchanges[exchange_id].tried_replicas.push(replica);
                if ends_with_connection(reason) {
                    let load = self.exchanges[exchange_id].sent_load;
                    self.suspect_crash(exchange_id, load, false);
                }
                let result = match reason {
                    "silent" => AttemptResult::Unresponsive,
                    _ => AttemptResult::Failed,
                };
                self.record_attempt_result(replica, result);
                self.log_outcome(exchange_id, replica, reason, 0);
                if self.restore_standby(exchange_id) {
                    return;
                }
                if self.exchanges[exchange_id].may_repeat() && self.can_retry(exchange_id) {
                    self.requeue(exchange_id);
                } else {
                    self.fail_request(exchange_id, "outcome_unknown");
                }
            }
        }
    }

    /// Records the duration of an attempt that its server completed, if the
    /// service's servers report their load.
    fn record_request_time(&mut self, exchange_id: usize, outcome: &AttemptOutcome) {
        let completed = matches!(
            outcome,
            AttemptOutcome::Response { .. } | AttemptOutcome::StreamEnd { .. }
        );
        let exchange = &self.exchanges[exchange_id];
        if completed && let Some(reports) = self.load_reports.get_mut(&exchange.service) {
            reports.record_request(self.now.saturating_sub(exchange.sent_load.sent));
        }
    }

    fn count_attempt(&mut self, exchange_id: usize, outcome: &AttemptOutcome) {
        let label = crate::metrics::OutcomeLabels {
            service: self.exchanges[exchange_id].service.clone(),
            outcome: match outcome {
                AttemptOutcome::NotSent { .. } => "not_sent",
                AttemptOutcome::NotRun { .. } => "not_run",
                AttemptOutcome::Response { .. } => "answer",
                AttemptOutcome::StreamEnd { .. } => "stream_end",
                AttemptOutcome::Unknown { .. } => "unknown",
            },
        };
        self.metrics.attempts.get_or_create(&label).inc();
    }

    /// Handles a failed connection to a server.
    pub(crate) fn on_connect_failure(&mut self, exchange_id: usize, replica: ReplicaIndex) {
        self.record_attempt_result(replica, AttemptResult::Unresponsive);
        self.log_outcome(exchange_id, replica, "not_connected", 0);
        if self.restore_standby(exchange_id) {
            self.exchanges[exchange_id].connect_failures += 1;
            return;
        }
        let exchange = &mut self.exchanges[exchange_id];
        exchange.connect_failures += 1;
        if exchange.connect_failures > MAX_CONNECT_FAILURES {
            self.fail_request(exchange_id, "no_server");
            return;
        }
        self.requeue(exchange_id);
    }

    /// Returns a request to the queue with extra time to wait, without the
    /// partial event of its last attempt.
    fn requeue(&mut self, exchange_id: usize) {
        let now = self.now;
        let exchange = &mut self.exchanges[exchange_id];
        if let Some(stream) = &mut exchange.stream {
            stream.splitter.discard_partial();
        }
        let extra_wait = exchange.route.latency_target / 2;
        exchange.wait_until = exchange
            .wait_until
            .max(now + extra_wait)
            .min(exchange.deadline);
        self.enqueue(exchange_id);
    }

    /// Returns whether a request has time and attempts left for a retry.
    pub(crate) fn can_retry(&self, exchange_id: usize) -> bool {
        let exchange = &self.exchanges[exchange_id];
        exchange.sends < exchange.route.max_attempts && exchange.deadline > self.now
    }

    fn handle_response(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        head: ResponseHead,
        body: SegmentedBody,
    ) {
        let failed = head.status >= 500;
        let result = if failed {
            AttemptResult::Failed
        } else {
            AttemptResult::Success
        };
        self.record_attempt_result(replica, result);
        let started = self.response_started(exchange_id);
        let has_standby = self.exchanges[exchange_id].standby.is_some();
        let succeeded = (200..300).contains(&head.status);
        // The standby may still succeed, whatever the status of the hedge.
        let goes_on = match has_standby {
            true => !succeeded,
            false => {
                failed && self.exchanges[exchange_id].may_repeat() && self.can_retry(exchange_id)
            }
        };
        if goes_on {
            self.log_outcome(exchange_id, replica, "failed", u64::from(head.status));
            let exchange = &mut self.exchanges[exchange_id];
            exchange.may_have_run = true;
            exchange.tried_replicas.push(replica);
            if !started {
                exchange.fallback = Some(FallbackResponse { head, body });
            }
            if self.restore_standby(exchange_id) {
                return;
            }
            self.requeue(exchange_id);
            return;
        }
        if started {
            self.fail_request(exchange_id, "resume_failed");
            return;
        }
        let status = u64::from(head.status);
        self.log_finished(exchange_id, replica, "answered", status);
        self.finish(exchange_id, "answered", |state, caller| {
            state.write_response(caller, &head, body);
        });
    }

    fn handle_stream_end(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        head: &ResponseHead,
    ) {
        let exchange = &mut self.exchanges[exchange_id];
        let Some(stream) = &mut exchange.stream else {
            return;
        };
        if stream.splitter.has_partial() {
            let reason = "event cut off";
            self.metrics.count_broken_response(reason);
            self.handle_outcome(exchange_id, AttemptOutcome::Unknown { replica, reason });
            return;
        }
        let started = stream.head_sent;
        let events = stream.splitter.event_count();
        let load = exchange.sent_load;
        if load.gap_sensitive {
            self.models
                .get_mut(&exchange.service)
                .record_stream(load.backlog_ms, self.now.saturating_sub(load.sent));
        }
        self.record_attempt_result(replica, AttemptResult::Success);
        self.log_finished(exchange_id, replica, "streamed", events);
        self.finish(exchange_id, "streamed", |state, caller| {
            if !started {
                state.write_stream_head(caller, head);
            }
            state.end_response(caller);
        });
    }

    /// Returns whether the caller has received the start of its response.
    pub(crate) fn response_started(&self, exchange_id: usize) -> bool {
        let stream = self.exchanges[exchange_id].stream.as_ref();
        stream.is_some_and(|stream| stream.head_sent)
    }

    /// Completes a request that can't be served.
    pub(crate) fn fail_request(&mut self, exchange_id: usize, code: &'static str) {
        if self.response_started(exchange_id) {
            let replica = self.exchanges[exchange_id].sent_load.replica;
            self.log_finished(exchange_id, replica, code, 0);
            self.finish(exchange_id, "broken_off", |state, caller| {
                // The missing end of the stream shows the caller that it is
                // incomplete.
                state.close_caller(caller, "broken off");
            });
            return;
        }
        if let Some(fallback) = self.exchanges[exchange_id].fallback.take() {
            let replica = self.exchanges[exchange_id].sent_load.replica;
            self.log_finished(
                exchange_id,
                replica,
                "failure_passed_on",
                u64::from(fallback.head.status),
            );
            self.finish(exchange_id, "failed", |state, caller| {
                state.write_response(caller, &fallback.head, fallback.body);
            });
            return;
        }
        let exchange = &self.exchanges[exchange_id];
        if exchange.may_have_run || exchange.standby.is_some() {
            let late = exchange.deadline <= self.now;
            let status = if late { 504 } else { 502 };
            self.log_finished(
                exchange_id,
                exchange.sent_load.replica,
                code,
                u64::from(status),
            );
            self.finish(exchange_id, "unknown", |state, caller| {
                state.respond(caller, status, code, None);
            });
            return;
        }
        let service = exchange.service.clone();
        let waiting = self.queues.get(&service).map_or(0, |queue| queue.len());
        self.refuse(exchange_id, code, waiting);
    }

    /// Completes a request: writes its response and removes it.
    pub(crate) fn finish(
        &mut self,
        exchange_id: usize,
        outcome: &'static str,
        write: impl FnOnce(&mut Self, CallerId),
    ) {
        self.detach(exchange_id);
        let Some(exchange) = self.exchanges.try_remove(exchange_id) else {
            return;
        };
        self.uploads.release(
            exchange.workspace.as_deref().unwrap_or_default(),
            exchange.body.len() as u64,
        );
        self.replan_uploads = true;
        self.metrics.in_flight.dec();
        self.count_request(&exchange.service, outcome);
        if let Some(conn) = self.caller_conns.get_mut(exchange.caller) {
            conn.phase = super::state::CallerPhase::Head;
        }
        write(self, exchange.caller);
        self.pending_dispatches.push_back(exchange.service);
        self.finished_callers.push_back(exchange.caller);
    }

    /// Removes a request from its queue and its connection to a server.
    fn detach(&mut self, exchange_id: usize) {
        self.release_load(exchange_id);
        self.drop_standby(exchange_id);
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        if let ExchangePhase::Sent(conn_id) = exchange.phase {
            let owned = self
                .server_conns
                .get(conn_id)
                .is_some_and(|conn| conn.exchange_id == Some(exchange_id));
            if owned {
                let replica = exchange.sent_load.replica;
                self.directory.get_mut(replica).health.record_abandoned();
                self.close_server_conn(conn_id);
            }
        }
        let service = self.exchanges[exchange_id].service.clone();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(exchange_id);
        }
    }

    /// Drops the request of a caller that disconnected.
    pub(crate) fn abandon(&mut self, exchange_id: usize, outcome: &'static str) {
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        self.log_finished(exchange_id, exchange.sent_load.replica, outcome, 0);
        self.finish(exchange_id, "abandoned", |_, _| {});
    }

    /// Removes a sent request from the load on its server.
    fn release_load(&mut self, exchange_id: usize) {
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let load = exchange.sent_load;
        exchange.sent_load.counted = false;
        let service = exchange.service.clone();
        self.release_sent_load(load, service);
    }

    /// Removes an attempt from the load on its server.
    pub(crate) fn release_sent_load(&mut self, load: SentLoad, service: String) {
        if !load.counted {
            return;
        }
        let replica_state = self.directory.get_mut(load.replica);
        if self.load_reports.get(&service).is_some() {
            let left = load.first_event.is_some();
            replica_state.reports.record_end(load.sent, left, self.now);
        }
        let own = &mut replica_state.own_load;
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
        self.digest_due = true;
        self.pending_dispatches.push_back(service);
    }

    /// Records the first event of an attempt, which shows that the server has
    /// finished the prompt, and returns whether it was the first; later events
    /// change nothing.
    pub(crate) fn record_first_event(&mut self, exchange_id: usize) -> bool {
        let now = self.now;
        let exchange = &mut self.exchanges[exchange_id];
        if !std::mem::take(&mut exchange.sent_load.unread) {
            return false;
        }
        exchange.sent_load.first_event = Some(now);
        let took = now.saturating_sub(exchange.sent_load.sent).as_secs_f64();
        let replica_state = self.directory.get_mut(exchange.sent_load.replica);
        replica_state.own_load.backlog_ms =
            (replica_state.own_load.backlog_ms - exchange.sent_load.backlog_ms).max(0.0);
        let took_ms = took * 1000.0;
        if took_ms > SLOWNESS_MIN_MS || exchange.sent_load.expected_ms > SLOWNESS_MIN_MS {
            let (low, high) = SLOWNESS_BOUNDS;
            let ratio = (took_ms / exchange.sent_load.expected_ms.max(1.0)).clamp(low, high);
            replica_state.slowness += SLOWNESS_WEIGHT * (ratio - replica_state.slowness);
            replica_state.reports.record_ratio(ratio);
        }
        let slowness = replica_state.reports.reported_slowness();
        if let Some(unread_tokens) = exchange.sent_load.unread_tokens {
            self.models
                .get_mut(&exchange.service)
                .record_first_event(FirstEventSample {
                    unread_tokens,
                    backlog_ms: exchange.sent_load.ahead_ms,
                    took: now
                        .saturating_sub(exchange.sent_load.sent)
                        .div_f64(slowness),
                });
        }
        let label = crate::metrics::ServiceLabels {
            service: exchange.service.clone(),
        };
        let since_arrival = now.saturating_sub(exchange.arrived).as_secs_f64();
        self.metrics
            .first_byte
            .get_or_create(&label)
            .observe(since_arrival);
        let service = exchange.service.clone();
        self.digest_due = true;
        self.pending_dispatches.push_back(service);
        true
    }

    /// Records an event of a stream and, unless it is the first one of its
    /// attempt, the gap before it.
    pub(crate) fn record_event(&mut self, exchange_id: usize, first_of_attempt: bool) {
        let now = self.now;
        let exchange = &mut self.exchanges[exchange_id];
        let Some(stream) = &mut exchange.stream else {
            return;
        };
        let replica_state = self.directory.get(exchange.sent_load.replica);
        let gap = now.saturating_sub(stream.last_event_at);
        let backlog_ms = stream.backlog_ms;
        stream.last_event_at = now;
        stream.backlog_ms = replica_state.own_load.backlog_ms + replica_state.peer_load.backlog_ms;
        let ends_idle = stream.backlog_ms <= 0.0;
        if first_of_attempt {
            return;
        }
        self.record_survived_stream(exchange_id);
        let exchange = &self.exchanges[exchange_id];
        let replica_state = self.directory.get(exchange.sent_load.replica);
        // The model is that of an engine of normal speed.
        let slowness = replica_state.reports.reported_slowness();
        let model = self.models.get_mut(&exchange.service);
        let reclassified = model.record_gap(GapSample {
            gap: gap.div_f64(slowness),
            backlog_ms,
            ends_idle,
            running: replica_state.own_load.requests + replica_state.peer_load.requests,
        });
        if reclassified {
            self.logs
                .system("engine_model", "reclassified")
                .text("service", &exchange.service)
                .number("saturated_gap_ms", model.saturated_gap_ms() as u64)
                .number("event_gap_ms", model.event_gap_ms(0) as u64)
                .number(
                    "prefill_us_per_token",
                    (model.prefill_ms(1) * 1000.0) as u64,
                )
                .number("first_event_ms", model.first_event_ms() as u64);
        }
    }

    /// Completes a request that must not be sent, because requests like it crash
    /// servers.
    pub(crate) fn reject_blocked(&mut self, exchange_id: usize) {
        self.fail_request(exchange_id, "crashes_servers");
    }

    /// Fails a request that waited too long for a server.
    pub(crate) fn expire(&mut self, exchange_id: usize) {
        self.fail_request(exchange_id, "no_server_in_time");
    }

    pub(crate) fn log_outcome(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        outcome: &str,
        status: u64,
    ) {
        let exchange = &self.exchanges[exchange_id];
        let load = &exchange.sent_load;
        let hash = format!("{:x}", request_hash(exchange));
        let streamed = load.first_event.map_or(Duration::ZERO, |first_event| {
            self.now.saturating_sub(first_event)
        });
        self.logs
            .request("attempt", "ended")
            .text("request", &exchange.metadata.attempt)
            .text("server", &self.directory.get(replica).id)
            .text("outcome", outcome)
            .number("status", status)
            .number("send", exchange.sends)
            .number("began", load.first_event.is_some())
            .text("request_hash", &hash)
            .text("prompt_parts", &part_list(&exchange.metadata.prompt_parts))
            .ms("streamed_ms", streamed)
            .ms("took_ms", self.now.saturating_sub(load.sent));
    }

    fn log_finished(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        outcome: &str,
        number: u64,
    ) {
        let exchange = &self.exchanges[exchange_id];
        let replica_id = match exchange.sends {
            0 => "",
            _ => self.directory.get(replica).id.as_str(),
        };
        self.logs
            .request("entry", "ended")
            .text("request", &exchange.metadata.attempt)
            .text("route", &exchange.route.name)
            .text("server", replica_id)
            .text("outcome", outcome)
            .number("result", number)
            .number("sends", exchange.sends)
            .ms("took_ms", self.now.saturating_sub(exchange.arrived));
    }
}

/// Returns the ids of the parts of a prompt for log lines.
fn part_list(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}
