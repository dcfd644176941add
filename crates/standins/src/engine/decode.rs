//! The run of one request: wait for a slot, prefill, and give the tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::answer::{DONE_EVENT, final_event, token_event, token_text, whole_answer};
use super::request::AnswerRequest;
use super::state::EngineState;
use crate::faults::RunFault;
use crate::race::race;
use crate::web::{ChunkSender, DroppedConnection};

/// Time in which the tokens before a reset leave the process.
const RESET_PAUSE: Duration = Duration::from_millis(10);

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DecodeEnd {
    /// The whole answer was given.
    Completed,
    /// The caller went away.
    Cancelled,
    /// The run fails with an error answer.
    Failed,
    /// The connection is to be dropped.
    Dropped,
}

/// One request on its way through the engine.
pub(super) struct DecodeJob {
    pub(super) state: Arc<EngineState>,
    pub(super) wanted: AnswerRequest,
    pub(super) sender: ChunkSender,
}

impl DecodeJob {
    /// Runs the request to its end; a caller that goes away ends it early.
    pub(super) async fn run(self) -> DecodeEnd {
        let priority = match self.state.settings.honour_priority {
            true => self.wanted.priority,
            false => 0,
        };
        let place = self.state.slots.enter(priority);
        self.state.record_load();
        let Some(Ok(slot)) = race(place, self.sender.closed()).await else {
            self.state.record_load();
            return DecodeEnd::Cancelled;
        };
        let fault = self.state.start(&self.wanted);
        let mut given = 0;
        let end = self.execute(fault, &mut given).await;
        match end {
            DecodeEnd::Cancelled => self.state.count_wasted(given),
            DecodeEnd::Dropped => self.state.count_cut_off(given),
            DecodeEnd::Completed | DecodeEnd::Failed => (),
        }
        self.state.finish(&self.wanted, given);
        drop(slot);
        self.state.record_load();
        end
    }

    async fn execute(&self, fault: RunFault, given: &mut u64) -> DecodeEnd {
        let reset_at = match fault {
            RunFault::Fail => return DecodeEnd::Failed,
            RunFault::ResetBeforeAnswer => return DecodeEnd::Dropped,
            RunFault::ResetAfterTokens(tokens) => Some(tokens),
            RunFault::None => None,
        };
        let mut due = Instant::now() + self.state.prefill_time(&self.wanted);
        let mut text = String::new();
        for token in self.wanted.first_token..self.wanted.end_token {
            if reset_at == Some(*given) {
                return self.drop_connection().await;
            }
            due += self.state.token_time();
            if !self.wait_until(&mut due).await {
                return DecodeEnd::Cancelled;
            }
            *given += 1;
            self.state.count_token();
            match self.wanted.stream {
                true => self.send(token_event(&self.wanted, token)),
                false => text.push_str(&token_text(&self.wanted, token)),
            }
        }
        if reset_at == Some(*given) {
            return self.drop_connection().await;
        }
        match self.wanted.stream {
            true => {
                self.send(final_event(&self.wanted));
                self.send(DONE_EVENT);
            }
            false => self.send(whole_answer(&self.wanted, &text)),
        }
        DecodeEnd::Completed
    }

    /// Waits until a time, or for the end of a stall, which moves it; returns
    /// false if the caller went away.
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

    /// Drops the connection once the tokens before it are on their way.
    async fn drop_connection(&self) -> DecodeEnd {
        tokio::time::sleep(RESET_PAUSE).await;
        // A caller that is gone already needs no dropped connection.
        let _ = self.sender.send(Err(DroppedConnection));
        DecodeEnd::Dropped
    }

    fn send(&self, chunk: impl Into<Bytes>) {
        // The next wait finds out that the caller is gone.
        let _ = self.sender.send(Ok(chunk.into()));
    }
}

/// Sleeps, or lets others run if there is nothing to sleep for.
async fn sleep(wait: Duration) {
    if wait.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(wait).await;
    }
}
