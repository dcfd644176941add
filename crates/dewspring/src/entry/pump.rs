//! Moves an answer from the backend server to the caller, piece by piece.
//!
//! The pump is the only place that knows how an answer ended: whole, cut off
//! by the server, or cancelled by the caller. Dropping its upstream closes
//! the server's connection, so a caller that hangs up cancels the call.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::attempt::AttemptGuard;
use super::body::{BrokenAnswer, PieceSender};
use super::context::ConfigSource;
use super::exchange::{BegunAnswer, Exchange};
use super::grants::GrantSource;
use super::meter::AnswerMeter;
use super::problem::RanState;
use super::upstream::UpstreamStream;
use crate::broker::AttemptOutcome;
use crate::ids::TokenCount;
use crate::observe::WasteCause;
use crate::tables::LatePolicy;

/// Most times that one broken stream is resumed.
const MAX_RESUMES: usize = 2;

/// Longest piece that is copied, in bytes.
const COPIED_BYTES: usize = 1024;

/// What the next read of the server's answer gave.
enum PumpStep {
    /// Bytes of the answer.
    Piece(Bytes),
    /// The whole answer has come.
    End,
    /// The server broke off or was silent.
    Broken(String),
    /// The caller hung up.
    CallerGone,
}

/// The state of one answer on its way.
pub(super) struct AnswerPump<C: ConfigSource, G: GrantSource> {
    exchange: Exchange<C, G>,
    attempt: AttemptGuard<C, G>,
    upstream: UpstreamStream,
    sender: PieceSender,
    meter: AnswerMeter,
    /// Tokens that the caller had when this attempt began.
    resumed_from: TokenCount,
    resumes: usize,
    /// When the caller's first token came, over all attempts.
    first_token: Option<Instant>,
    /// Whether the caller has hung up on a request that is finished all the
    /// same, since it must not run twice.
    is_abandoned: bool,
}

impl<C: ConfigSource, G: GrantSource> AnswerPump<C, G> {
    pub(super) fn new(
        exchange: Exchange<C, G>,
        begun: BegunAnswer<C, G>,
        sender: PieceSender,
        meter: AnswerMeter,
    ) -> Self {
        Self {
            exchange,
            attempt: begun.attempt,
            upstream: begun.upstream.into_stream(),
            sender,
            meter,
            resumed_from: 0,
            resumes: 0,
            first_token: None,
            is_abandoned: false,
        }
    }

    /// Moves the answer until it ends in one way or another.
    pub(super) async fn run(mut self) {
        loop {
            let step = self.next_step().await;
            match self.after_step(step).await {
                PumpStep::Piece(_) => {}
                PumpStep::End => return self.complete(),
                PumpStep::CallerGone => return self.cancel(),
                PumpStep::Broken(text) => match self.after_break(text).await {
                    PumpStep::Piece(_) => {}
                    PumpStep::CallerGone => return self.cancel(),
                    PumpStep::End | PumpStep::Broken(_) => return self.abort().await,
                },
            }
        }
    }

    /// Resumes a broken stream, unless its caller hangs up meanwhile.
    async fn after_break(&mut self, text: String) -> PumpStep {
        let sender = self.sender.clone();
        // The future is large and seldom needed, so it has a place of its own.
        let resumed = Box::pin(self.resume(&text));
        let is_resumed = tokio::select! {
            () = sender.closed() => return PumpStep::CallerGone,
            is_resumed = resumed => is_resumed,
        };
        if is_resumed {
            PumpStep::Piece(Bytes::new())
        } else {
            PumpStep::Broken(text)
        }
    }

    /// Reads on, and notices at once when the caller hangs up.
    async fn next_step(&mut self) -> PumpStep {
        let silence = self.exchange.context.settings.silence_timeout;
        let wait = silence.min(self.exchange.time_left());
        let body = &mut self.upstream.body;
        let may_cancel = self.exchange.route.idempotent;
        tokio::select! {
            // An answer that has ended is looked at first: its caller's side
            // may be gone because it has got everything.
            biased;
            frame = timeout(wait, body.frame()) => match frame {
                Err(_) => PumpStep::Broken("the server was silent".into()),
                Ok(None) => PumpStep::End,
                Ok(Some(Err(error))) => PumpStep::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    PumpStep::Piece(frame.into_data().unwrap_or_default())
                }
            },
            () = self.sender.closed(), if may_cancel => PumpStep::CallerGone,
        }
    }

    /// Delivers a piece, and checks that an end is a real end.
    async fn after_step(&mut self, step: PumpStep) -> PumpStep {
        match step {
            PumpStep::Piece(bytes) => self.deliver(bytes).await,
            PumpStep::End if self.is_short() => {
                PumpStep::Broken("the stream ended without its last event".into())
            }
            other => other,
        }
    }

    async fn deliver(&mut self, bytes: Bytes) -> PumpStep {
        if let Some(claim) = &mut self.exchange.claim {
            claim.capture(&bytes);
        }
        let piece = compact(self.meter.push(bytes));
        self.attempt
            .note_tokens(self.meter.tokens() - self.resumed_from);
        self.first_token = self.first_token.or(self.attempt.first_token());
        if piece.is_empty() || self.is_abandoned {
            return PumpStep::Piece(piece);
        }
        let silence = self.exchange.context.settings.silence_timeout;
        match self.sender.send_timeout(Ok(piece), silence).await {
            Ok(()) => PumpStep::Piece(Bytes::new()),
            Err(_) if self.exchange.route.idempotent => PumpStep::CallerGone,
            Err(_) => {
                self.is_abandoned = true;
                PumpStep::Piece(Bytes::new())
            }
        }
    }

    fn is_short(&self) -> bool {
        let is_ok = self.upstream.status.is_success();
        is_ok && self.meter.is_short()
    }

    /// Goes on with the stream at another server, if that is allowed.
    async fn resume(&mut self, text: &str) -> bool {
        self.exchange.note(format!("The answer broke: {text}."));
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
        match self.exchange.begin(Some(tokens)).await {
            Ok(begun) if begun.upstream.response.status().is_success() => {
                self.switch(begun, tokens);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn switch(&mut self, begun: BegunAnswer<C, G>, tokens: TokenCount) {
        self.exchange
            .note(format!("Resumed after {tokens} tokens."));
        self.exchange
            .context
            .metrics
            .count_retry(&self.exchange.route.class);
        let broken = std::mem::replace(&mut self.attempt, begun.attempt);
        broken.finish(AttemptOutcome::Unknown);
        self.upstream = begun.upstream.into_stream();
        self.resumed_from = tokens;
        self.resumes += 1;
    }

    fn complete(mut self) {
        self.record_outcome();
        let is_failure = self.upstream.status.is_server_error();
        let tokens = self.meter.tokens();
        let elapsed = self.exchange.arrived.elapsed();
        if !is_failure {
            self.measure(tokens, elapsed);
        }
        self.exchange.note(format!(
            "Completed with status {} and {tokens} tokens after {} ms; the server took {} ms.",
            self.upstream.status.as_u16(),
            elapsed.as_millis(),
            self.attempt.sent().elapsed().as_millis()
        ));
        self.attempt.finish(if is_failure {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed
        });
    }

    /// Counts a whole answer that the server did not mark as failed.
    fn measure(&self, tokens: TokenCount, elapsed: Duration) {
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

    /// Records the answer of a keyed request, unless the server's status
    /// leaves open whether it ran.
    fn record_outcome(&mut self) {
        let upstream = &self.upstream;
        if self.exchange.ran_state(upstream.status) != RanState::Yes {
            return;
        }
        if let Some(claim) = self.exchange.claim.take() {
            claim.record(upstream.status, &upstream.content_type);
        }
    }

    fn cancel(self) {
        let tokens = self.attempt.tokens();
        let metrics = &self.exchange.context.metrics;
        metrics.count_wasted_tokens(WasteCause::Cancelled, tokens);
        self.exchange
            .note(format!("The caller hung up after {tokens} tokens."));
        self.attempt.finish(AttemptOutcome::Cancelled);
    }

    /// Lets the caller see that the answer isn't whole.
    async fn abort(self) {
        let tokens = self.meter.tokens();
        let metrics = &self.exchange.context.metrics;
        metrics.count_wasted_tokens(WasteCause::Broken, tokens);
        metrics.count_unknown_outcome(&self.exchange.route.class);
        self.exchange
            .note(format!("Cut the answer off after {tokens} tokens."));
        self.attempt.finish(AttemptOutcome::Unknown);
        // A caller that has hung up needs no sign.
        let _gone = self.sender.send(Err(BrokenAnswer)).await;
    }
}

/// Copies a short piece, so that it doesn't hold the whole buffer in which it
/// was read while it waits for the caller.
fn compact(piece: Bytes) -> Bytes {
    if piece.len() > COPIED_BYTES {
        return piece;
    }
    Bytes::copy_from_slice(&piece)
}
