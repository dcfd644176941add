//! Forwards a response body from the backend server to the caller.
//!
//! The pump alone determines how a response ended: complete, broken by the
//! server, or cancelled by the caller. Dropping its upstream closes the
//! server's connection, so a caller that disconnects cancels the request there.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::attempt::AttemptGuard;
use super::body::{ChunkSender, TruncatedResponse};
use super::context::ConfigSource;
use super::exchange::{Exchange, StartedResponse};
use super::grants::GrantSource;
use super::meter::ResponseMeter;
use super::problem::RanState;
use super::upstream::{UpstreamStream, describe};
use crate::broker::AttemptOutcome;
use crate::ids::TokenCount;
use crate::observe::WasteCause;
use crate::tables::LatePolicy;

/// Maximum number of times that one broken stream is resumed.
const MAX_RESUMES: usize = 2;

/// Chunks of up to this size are copied out of the read buffer, in bytes.
const MAX_COPIED_BYTES: usize = 1024;

/// The result of one step of forwarding.
enum PumpStep {
    /// Bytes of the response, or none.
    Chunk(Bytes),
    /// The end of the response.
    End,
    /// The server's connection failed or was idle for too long.
    Broken(String),
    /// The caller disconnected.
    CallerDisconnected,
}

/// The state of one response that is being forwarded.
pub(super) struct ResponsePump<C: ConfigSource, G: GrantSource> {
    exchange: Exchange<C, G>,
    attempt: AttemptGuard<C, G>,
    upstream: UpstreamStream,
    sender: ChunkSender,
    meter: ResponseMeter,
    /// Number of tokens that the caller had when the current attempt started.
    resumed_from: TokenCount,
    resumes: usize,
    /// When the first token of all attempts was received.
    first_token: Option<Instant>,
    /// Whether the caller has disconnected while the request, which must not run
    /// twice, is still being finished.
    is_abandoned: bool,
}

impl<C: ConfigSource, G: GrantSource> ResponsePump<C, G> {
    pub(super) fn new(
        exchange: Exchange<C, G>,
        started: StartedResponse<C, G>,
        sender: ChunkSender,
        meter: ResponseMeter,
    ) -> Self {
        Self {
            exchange,
            attempt: started.attempt,
            upstream: started.upstream.into_stream(),
            sender,
            meter,
            resumed_from: 0,
            resumes: 0,
            first_token: None,
            is_abandoned: false,
        }
    }

    /// Forwards the response until it ends, and records its outcome.
    pub(super) async fn run(mut self) {
        loop {
            let step = self.read_step().await;
            match self.process_step(step).await {
                PumpStep::Chunk(_) => {}
                PumpStep::End => return self.complete(),
                PumpStep::CallerDisconnected => return self.cancel(),
                PumpStep::Broken(text) => match self.handle_break(text).await {
                    PumpStep::Chunk(_) => {}
                    PumpStep::CallerDisconnected => return self.cancel(),
                    PumpStep::End | PumpStep::Broken(_) => return self.abort().await,
                },
            }
        }
    }

    /// Resumes a broken stream, unless its caller disconnects meanwhile.
    async fn handle_break(&mut self, text: String) -> PumpStep {
        let metrics = &self.exchange.context.metrics;
        metrics.count_broken_response("server");
        self.attempt.test_server();
        let sender = self.sender.clone();
        // The future is large and seldom needed, so it is boxed.
        let resumed = Box::pin(self.resume(&text));
        let is_resumed = tokio::select! {
            () = sender.closed() => return PumpStep::CallerDisconnected,
            is_resumed = resumed => is_resumed,
        };
        if is_resumed {
            PumpStep::Chunk(Bytes::new())
        } else {
            PumpStep::Broken(text)
        }
    }

    /// Reads the next chunk, or returns early when the caller disconnects.
    async fn read_step(&mut self) -> PumpStep {
        let silence = self.exchange.context.settings.silence_timeout;
        let wait = silence.min(self.exchange.time_left());
        let body = &mut self.upstream.body;
        let may_cancel = self.exchange.route.idempotent;
        tokio::select! {
            // The upstream is polled first: once the response has ended, a
            // closed channel may just mean that the caller has received all.
            biased;
            frame = timeout(wait, body.frame()) => match frame {
                Err(_) => PumpStep::Broken("the server sent nothing in time".into()),
                Ok(None) => PumpStep::End,
                Ok(Some(Err(error))) => PumpStep::Broken(describe(&error)),
                Ok(Some(Ok(frame))) => {
                    PumpStep::Chunk(frame.into_data().unwrap_or_default())
                }
            },
            () = self.sender.closed(), if may_cancel => PumpStep::CallerDisconnected,
        }
    }

    /// Delivers a chunk, and turns an incomplete end into a break.
    async fn process_step(&mut self, step: PumpStep) -> PumpStep {
        match step {
            PumpStep::Chunk(bytes) => self.deliver(bytes).await,
            PumpStep::End if self.is_incomplete() => {
                PumpStep::Broken("the stream ended without its last event".into())
            }
            other => other,
        }
    }

    async fn deliver(&mut self, bytes: Bytes) -> PumpStep {
        if let Some(claim) = &mut self.exchange.claim {
            claim.capture(&bytes);
        }
        let chunk = copy_if_short(self.meter.push(bytes));
        self.attempt
            .record_tokens(self.meter.tokens() - self.resumed_from);
        self.first_token = self.first_token.or(self.attempt.first_token());
        if chunk.is_empty() || self.is_abandoned {
            return PumpStep::Chunk(chunk);
        }
        let silence = self.exchange.context.settings.silence_timeout;
        match self.sender.send_timeout(Ok(chunk), silence).await {
            Ok(()) => PumpStep::Chunk(Bytes::new()),
            Err(_) if self.exchange.route.idempotent => PumpStep::CallerDisconnected,
            Err(_) => {
                self.is_abandoned = true;
                PumpStep::Chunk(Bytes::new())
            }
        }
    }

    fn is_incomplete(&self) -> bool {
        let is_ok = self.upstream.status.is_success();
        is_ok && self.meter.is_incomplete()
    }

    /// Resumes the stream at another server, if that is allowed; returns whether
    /// it was resumed.
    async fn resume(&mut self, text: &str) -> bool {
        self.exchange
            .record_decision(format!("The response broke off: {text}."));
        let may_resume = self.exchange.pool().can_resume
            && self.exchange.route.idempotent
            && self.resumes < MAX_RESUMES
            && self.meter.restart();
        if !may_resume {
            return false;
        }
        let tokens = self.meter.tokens();
        let server = self.attempt.grant().server.clone();
        self.exchange.excluded.push(server);
        match self.exchange.run_attempts(Some(tokens)).await {
            Ok(started) if started.upstream.response.status().is_success() => {
                self.switch_upstream(started, tokens);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Replaces the broken upstream by the one that resumes the stream.
    fn switch_upstream(&mut self, started: StartedResponse<C, G>, tokens: TokenCount) {
        self.exchange
            .record_decision(format!("Resumed after {tokens} tokens."));
        self.exchange
            .context
            .metrics
            .count_retry(&self.exchange.route.class);
        let broken = std::mem::replace(&mut self.attempt, started.attempt);
        broken.finish_broken();
        self.upstream = started.upstream.into_stream();
        self.resumed_from = tokens;
        self.resumes += 1;
    }

    /// Records the outcome of a response that ended.
    fn complete(mut self) {
        self.record_claim_outcome();
        let is_failure = self.upstream.status.is_server_error();
        let tokens = self.meter.tokens();
        let elapsed = self.exchange.arrived.elapsed();
        if !is_failure {
            self.record_completion(tokens, elapsed);
        }
        self.exchange.record_decision(format!(
            "Completed with status {} and {tokens} tokens after {} ms; the server took {} ms.",
            self.upstream.status.as_u16(),
            elapsed.as_millis(),
            self.attempt.started().elapsed().as_millis()
        ));
        self.attempt.finish(if is_failure {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed
        });
    }

    /// Updates the metrics for a complete response that isn't a server error.
    fn record_completion(&self, tokens: TokenCount, elapsed: Duration) {
        let route = &self.exchange.route;
        let metrics = &self.exchange.context.metrics;
        let first_token = self
            .first_token
            .map(|time| time.duration_since(self.exchange.arrived));
        if let Some(time) = first_token {
            metrics.observe_first_token(&route.class, time);
            if tokens > 1 {
                let interval = (elapsed - time) / u32::try_from(tokens - 1).unwrap_or(u32::MAX);
                metrics.observe_token_interval(&route.class, interval);
            }
        }
        let first_in_time = match (route.first_token, first_token) {
            (Some(target), Some(time)) => time <= target,
            _ => true,
        };
        let in_time = elapsed <= route.target && first_in_time;
        let is_wasted = !in_time && route.late == LatePolicy::Worthless;
        let good_tokens = if is_wasted { 0 } else { tokens };
        if is_wasted {
            metrics.count_wasted_tokens(WasteCause::Late, tokens);
        }
        metrics.count_completed(&route.class, in_time, good_tokens);
    }

    /// Records the response of a keyed request, unless the server's status
    /// doesn't show whether it ran.
    fn record_claim_outcome(&mut self) {
        let upstream = &self.upstream;
        if self.exchange.ran_state(upstream.status) != RanState::Yes {
            return;
        }
        if let Some(claim) = self.exchange.claim.take() {
            claim.record(upstream.status, &upstream.content_type);
        }
    }

    /// Records the end of a response whose caller disconnected.
    fn cancel(self) {
        let tokens = self.attempt.tokens();
        let metrics = &self.exchange.context.metrics;
        metrics.count_wasted_tokens(WasteCause::Cancelled, tokens);
        self.exchange
            .record_decision(format!("The caller disconnected after {tokens} tokens."));
        self.attempt.finish(AttemptOutcome::Cancelled);
    }

    /// Aborts the caller's connection, so that the caller detects that the
    /// response is incomplete.
    async fn abort(self) {
        let tokens = self.meter.tokens();
        let metrics = &self.exchange.context.metrics;
        metrics.count_wasted_tokens(WasteCause::Broken, tokens);
        metrics.count_unknown_outcome(&self.exchange.route.class);
        self.exchange
            .record_decision(format!("Truncated the response after {tokens} tokens."));
        self.attempt.finish_broken();
        // The send fails only if the caller has already disconnected.
        let _sent = self.sender.send(Err(TruncatedResponse)).await;
    }
}

/// Copies a short chunk, so that it doesn't keep the whole read buffer allocated
/// while it waits for the caller.
fn copy_if_short(chunk: Bytes) -> Bytes {
    if chunk.len() > MAX_COPIED_BYTES {
        return chunk;
    }
    Bytes::copy_from_slice(&chunk)
}
