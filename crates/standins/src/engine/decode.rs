//! The execution of one request: wait for a slot, prefill and decode.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::completion::{DONE_EVENT, completion_json, final_event, token_event, token_text};
use super::request::CompletionRequest;
use super::state::EngineState;
use crate::faults::ExecutionFault;
use crate::race::race;
use crate::web::{ChunkSender, DroppedConnection};

/// Time for the tokens already sent to leave the process before the connection is
/// reset.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// How the execution of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DecodeOutcome {
    /// The whole completion was generated.
    Completed,
    /// The caller disconnected.
    Cancelled,
    /// The execution failed and the response is an error.
    Failed,
    /// The connection is dropped.
    Dropped,
}

/// The execution of one request.
pub(super) struct DecodeJob {
    pub(super) state: Arc<EngineState>,
    pub(super) request: CompletionRequest,
    pub(super) sender: ChunkSender,
}

impl DecodeJob {
    /// Executes the request; stops early if the caller disconnects.
    pub(super) async fn run(self) -> DecodeOutcome {
        let priority = match self.state.settings.honour_priority {
            true => self.request.priority,
            false => 0,
        };
        let pending_slot = self.state.slots.enter(priority);
        self.state.record_load();
        let Some(Ok(slot)) = race(pending_slot, self.sender.closed()).await else {
            self.state.record_load();
            return DecodeOutcome::Cancelled;
        };
        let fault = self.state.start_execution(&self.request);
        let mut generated = 0;
        let outcome = self.execute(fault, &mut generated).await;
        match outcome {
            DecodeOutcome::Cancelled => self.state.count_wasted(generated),
            DecodeOutcome::Dropped => self.state.count_cut_off(generated),
            DecodeOutcome::Completed | DecodeOutcome::Failed => (),
        }
        self.state.finish_execution(&self.request, generated);
        drop(slot);
        self.state.record_load();
        outcome
    }

    async fn execute(&self, fault: ExecutionFault, generated: &mut u64) -> DecodeOutcome {
        let reset_at = match fault {
            ExecutionFault::Fail => return DecodeOutcome::Failed,
            ExecutionFault::ResetBeforeAnswer => return DecodeOutcome::Dropped,
            ExecutionFault::ResetAfterTokens(tokens) => Some(tokens),
            ExecutionFault::None => None,
        };
        let mut due = Instant::now() + self.state.prefill_time(&self.request);
        let mut text = String::new();
        for token in self.request.first_token..self.request.end_token {
            if reset_at == Some(*generated) {
                return self.drop_connection().await;
            }
            due += self.state.token_time();
            if !self.wait_until(&mut due).await {
                return DecodeOutcome::Cancelled;
            }
            *generated += 1;
            self.state.count_token();
            match self.request.stream {
                true => self.send(token_event(&self.request, token)),
                false => text.push_str(&token_text(&self.request, token)),
            }
        }
        if reset_at == Some(*generated) {
            return self.drop_connection().await;
        }
        match self.request.stream {
            true => {
                self.send(final_event(&self.request));
                self.send(DONE_EVENT);
            }
            false => self.send(completion_json(&self.request, &text)),
        }
        DecodeOutcome::Completed
    }

    /// Waits until `due`, which an injected stall postpones; returns false if
    /// the caller disconnected.
    async fn wait_until(&self, due: &mut Instant) -> bool {
        loop {
            *due = (*due).max(self.state.faults().stalled_until());
            let wait = due.saturating_duration_since(Instant::now());
            if race(sleep(wait), self.sender.closed()).await.is_none() {
                return false;
            }
            if self.state.faults().stalled_until() <= Instant::now() {
                return !self.sender.is_closed();
            }
        }
    }

    /// Drops the connection after the tokens sent so far had time to leave the
    /// process.
    async fn drop_connection(&self) -> DecodeOutcome {
        tokio::time::sleep(RESET_DELAY).await;
        // The send fails if the caller has already disconnected.
        let _ = self.sender.send(Err(DroppedConnection));
        DecodeOutcome::Dropped
    }

    fn send(&self, chunk: impl Into<Bytes>) {
        // The next wait detects that the caller disconnected.
        let _ = self.sender.send(Ok(chunk.into()));
    }
}

/// Sleeps, or yields to other tasks if the duration is zero.
async fn sleep(wait: Duration) {
    if wait.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(wait).await;
    }
}
