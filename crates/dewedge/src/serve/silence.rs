//! Handles servers that fall silent while they run a request.
//!
//! A silent server may be dead, or sound and about to go on; the VM can't tell
//! which. It is suspected, so that other requests avoid it. A retryable request
//! is hedged: it is sent to another server as well, and the silent attempt
//! stays open as the standby until the newer one has responded.
//!
//! The main invariant: silence alone ends no attempt while it could still
//! succeed. The exception is a VM that seems isolated from all servers; its
//! callers are better off at another VM.

use std::time::Duration;

use crate::clock::Moment;
use crate::format::PlatformFormat;
use crate::policy::health::AttemptResult;
use crate::policy::placement::PlacementChoice;
use crate::tables::RequestKind;

use super::dispatch::MIN_TIME_LEFT;
use super::outcomes::MAX_CONNECT_FAILURES;
use super::resumption::VersionBinding;
use super::state::{EdgeState, Exchange, ExchangePhase, ServerConnId, StandbyAttempt};

/// Time after the deadline for which a server's response is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(80);

/// Minimum silence after which the server of a stream is suspected.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1000);

/// Minimum silence after which an isolated VM breaks off a started stream.
/// Sound servers may be silent for about a second.
const MIN_BREAK_OFF_SILENCE: Duration = Duration::from_millis(2000);

/// Multiple of the event gap target after which the server of a started stream
/// is suspected.
const GAP_SILENCE_FACTOR: f64 = 3.0;

/// Multiple of the latency target after which the server of a stream without
/// events is suspected.
const FIRST_EVENT_SILENCE_FACTOR: f64 = 1.2;

/// Multiple of the latency target after which the server of a plain request is
/// suspected.
const PLAIN_SILENCE_FACTOR: f64 = 2.0;

/// Minimum silence after which the server of a plain request is suspected.
const MIN_PLAIN_SILENCE: Duration = Duration::from_millis(300);

/// Interval at which a silent attempt is checked again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns when a sent request is checked next.
    pub(crate) fn next_check_time(&self, exchange_id: usize) -> Moment {
        let exchange = &self.exchanges[exchange_id];
        let last = exchange.deadline + RESPONSE_GRACE;
        (last_activity(exchange) + silence_limit(exchange)).min(last)
    }

    /// Handles an expired timer of a request.
    pub(crate) fn on_exchange_timer(&mut self, exchange_id: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        let last = exchange.deadline + RESPONSE_GRACE;
        if matches!(exchange.binding, VersionBinding::Awaited(_)) {
            self.resolve_binding(exchange_id);
        } else if exchange.phase == ExchangePhase::Waiting {
            self.expire(exchange_id);
        } else if last <= now {
            self.exchanges[exchange_id].may_have_run = true;
            self.fail_request(exchange_id, "timeout");
        } else if exchange.pause.is_some() {
            self.check_paused(exchange_id);
        } else {
            let due = self.next_check_time(exchange_id);
            if due > now {
                self.arm_exchange(exchange_id, due);
            } else if !self.is_server_silent(exchange_id) || !self.on_silence(exchange_id) {
                self.arm_exchange(exchange_id, last.min(now + SILENCE_CHECK_INTERVAL));
            }
        }
    }

    /// Returns whether the server of a request is silent on all its
    /// connections.
    fn is_server_silent(&self, exchange_id: usize) -> bool {
        let load = &self.exchanges[exchange_id].sent_load;
        let last_received = self.directory.get(load.replica).last_received;
        last_received.is_none_or(|last_received| {
            self.now.saturating_sub(last_received) >= MIN_STREAM_SILENCE
                || last_received < load.sent
        })
    }

    /// Handles the silence of a request's server; returns whether the request
    /// got a new attempt or ended.
    fn on_silence(&mut self, exchange_id: usize) -> bool {
        self.suspect_server(exchange_id);
        if !self.exchanges[exchange_id].may_repeat() {
            return false;
        }
        if self.start_hedge(exchange_id) {
            return true;
        }
        let exchange = &self.exchanges[exchange_id];
        let silence = self.now.saturating_sub(last_activity(exchange));
        let may_end = !self.response_started(exchange_id) || silence >= MIN_BREAK_OFF_SILENCE;
        match exchange.phase {
            ExchangePhase::Sent(conn_id) if may_end && self.is_isolated() => {
                self.abort_attempt(conn_id, "silent");
                true
            }
            _ => false,
        }
    }

    /// Ejects the silent server of a request, once for each attempt, and closes
    /// its idle connections: on a new one a dead server is detected before the
    /// next request is sent.
    fn suspect_server(&mut self, exchange_id: usize) {
        let load = &mut self.exchanges[exchange_id].sent_load;
        let replica = load.replica;
        if std::mem::replace(&mut load.suspected, true) {
            return;
        }
        self.log_silence(exchange_id);
        self.record_attempt_result(replica, AttemptResult::Unresponsive);
        let idle = std::mem::take(&mut self.directory.get_mut(replica).idle_conns);
        for conn_id in idle {
            self.close_server_conn(conn_id);
        }
    }

    /// Sends a request to another server while the attempt at its silent one
    /// stands by; returns whether one with capacity was found.
    fn start_hedge(&mut self, exchange_id: usize) -> bool {
        let now = self.now;
        let exchange = &mut self.exchanges[exchange_id];
        if exchange.standby.is_some()
            || exchange.connect_failures > MAX_CONNECT_FAILURES
            || exchange.deadline.saturating_sub(now) < MIN_TIME_LEFT
        {
            return false;
        }
        let silent = exchange.sent_load.replica;
        if !exchange.tried_replicas.contains(&silent) {
            exchange.tried_replicas.push(silent);
        }
        if !self.can_retry(exchange_id) || self.blocked_for(exchange_id).is_some() {
            return false;
        }
        let PlacementChoice::Chosen {
            hash,
            prefill_ms,
            cost,
        } = self.choose_server(exchange_id)
        else {
            return false;
        };
        let Some(replica) = self.directory.by_hash(hash) else {
            return false;
        };
        if !self.try_acquire_retry(exchange_id) {
            return false;
        }
        let exchange = &mut self.exchanges[exchange_id];
        let ExchangePhase::Sent(conn_id) = exchange.phase else {
            return false;
        };
        let stream = exchange.stream.as_mut();
        exchange.standby = Some(StandbyAttempt {
            conn_id,
            load: exchange.sent_load,
            partial: stream.map_or_else(Vec::new, |stream| stream.splitter.take_partial()),
        });
        exchange.queued = now;
        self.start_attempt(exchange_id, replica, prefill_ms, cost);
        true
    }

    /// Returns whether a connection carries the standby of a request.
    pub(crate) fn is_standby(&self, exchange_id: usize, conn_id: ServerConnId) -> bool {
        let exchange = self.exchanges.get(exchange_id);
        exchange
            .and_then(|exchange| exchange.standby.as_ref())
            .is_some_and(|standby| standby.conn_id == conn_id)
    }

    /// Makes the standby the current attempt of a request, and the reverse,
    /// because its server goes on.
    pub(crate) fn swap_standby(&mut self, exchange_id: usize) {
        let exchange = &mut self.exchanges[exchange_id];
        let (Some(standby), ExchangePhase::Sent(conn_id)) = (&mut exchange.standby, exchange.phase)
        else {
            return;
        };
        exchange.phase = ExchangePhase::Sent(standby.conn_id);
        standby.conn_id = conn_id;
        std::mem::swap(&mut exchange.sent_load, &mut standby.load);
        if let Some(stream) = &mut exchange.stream {
            let partial = stream.splitter.take_partial();
            stream
                .splitter
                .push(&std::mem::replace(&mut standby.partial, partial));
        }
    }

    /// Returns to the standby after the current attempt has failed; returns
    /// whether there is one.
    pub(crate) fn restore_standby(&mut self, exchange_id: usize) -> bool {
        let exchange = &mut self.exchanges[exchange_id];
        let Some(standby) = exchange.standby.take() else {
            return false;
        };
        exchange.phase = ExchangePhase::Sent(standby.conn_id);
        exchange.sent_load = standby.load;
        if let Some(stream) = &mut exchange.stream {
            stream.splitter.discard_partial();
            stream.splitter.push(&standby.partial);
        }
        let last = exchange.deadline + RESPONSE_GRACE;
        self.arm_exchange(exchange_id, last.min(self.now + SILENCE_CHECK_INTERVAL));
        true
    }

    /// Closes the standby of a request, since the current attempt has responded
    /// or the request has ended.
    pub(crate) fn drop_standby(&mut self, exchange_id: usize) {
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let Some(standby) = exchange.standby.take() else {
            return;
        };
        let service = exchange.service.clone();
        self.directory
            .get_mut(standby.load.replica)
            .health
            .record_abandoned();
        self.release_sent_load(standby.load, service);
        self.close_server_conn(standby.conn_id);
    }

    /// Handles the end of the standby's connection; the current attempt goes
    /// on.
    pub(crate) fn end_standby(&mut self, exchange_id: usize, reason: &'static str) {
        let exchange = &mut self.exchanges[exchange_id];
        exchange.may_have_run = true;
        if let Some(standby) = &exchange.standby {
            let load = standby.load;
            self.suspect_crash(exchange_id, load, false);
        }
        self.remove_standby(exchange_id, AttemptResult::Failed, reason);
    }

    /// Handles that the standby's connection wasn't established; the current
    /// attempt goes on.
    pub(crate) fn fail_standby_connect(&mut self, exchange_id: usize) {
        if let Some(standby) = &self.exchanges[exchange_id].standby {
            let unsent = standby.load;
            self.undo_send(exchange_id, unsent);
        }
        self.remove_standby(exchange_id, AttemptResult::Unresponsive, "not_connected");
    }

    fn remove_standby(&mut self, exchange_id: usize, result: AttemptResult, reason: &'static str) {
        let standby = self.exchanges[exchange_id].standby.as_ref();
        let Some(replica) = standby.map(|standby| standby.load.replica) else {
            return;
        };
        self.record_attempt_result(replica, result);
        self.log_outcome(exchange_id, replica, reason, 0);
        self.drop_standby(exchange_id);
    }

    /// Logs how long an attempt and its server have been silent.
    fn log_silence(&mut self, exchange_id: usize) {
        let exchange = &self.exchanges[exchange_id];
        let replica = self.directory.get(exchange.sent_load.replica);
        let server_silence = replica
            .last_received
            .map_or(Duration::MAX, |time| self.now.saturating_sub(time));
        let isolated = self.is_isolated();
        self.logs
            .request("attempt", "silent")
            .text("request", &exchange.metadata.attempt)
            .text("server", &replica.id)
            .number("send", exchange.sends)
            .number("events", event_count(exchange))
            .number("isolated", isolated)
            .ms(
                "silent_ms",
                self.now.saturating_sub(last_activity(exchange)),
            )
            .ms("server_silent_ms", server_silence)
            .ms("left_ms", exchange.deadline.saturating_sub(self.now));
    }
}

/// Returns the number of events that the caller has received.
fn event_count(exchange: &Exchange) -> u64 {
    let stream = exchange.stream.as_ref();
    stream.map_or(0, |stream| stream.splitter.event_count())
}

/// Returns when the server was last active on a request.
fn last_activity(exchange: &Exchange) -> Moment {
    match &exchange.stream {
        Some(stream) if stream.head_sent => stream.last_event_at.max(exchange.sent_load.sent),
        _ => exchange.sent_load.sent,
    }
}

/// Returns the silence after which the server of a request is suspected.
fn silence_limit(exchange: &Exchange) -> Duration {
    let route = &exchange.route;
    let started = exchange
        .stream
        .as_ref()
        .is_some_and(|stream| stream.head_sent);
    match route.kind {
        RequestKind::Streaming if started => route
            .event_gap_target
            .mul_f64(GAP_SILENCE_FACTOR)
            .max(MIN_STREAM_SILENCE),
        RequestKind::Streaming => route
            .latency_target
            .mul_f64(FIRST_EVENT_SILENCE_FACTOR)
            .max(MIN_STREAM_SILENCE),
        RequestKind::Idempotent | RequestKind::NonIdempotent => route
            .latency_target
            .mul_f64(PLAIN_SILENCE_FACTOR)
            .max(MIN_PLAIN_SILENCE),
    }
}
