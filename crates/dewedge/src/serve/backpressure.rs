//! Passes the pace of a caller that reads slowly on to the server of its stream.
//!
//! While more is buffered for a caller than [`PAUSE_UNSENT`], nothing is read from
//! its server, whose kernel then slows it down. The server isn't suspected for
//! what the VM doesn't read.
//!
//! The main invariant: a caller is cut off only if it has taken nothing for
//! [`STALL_TIME`].

use std::time::Duration;

use dewbudget::AccountPart;

use crate::clock::Moment;
use crate::format::PlatformFormat;
use crate::policy::queue::ExchangeId;

use super::state::{CallerId, EdgeState, ExchangePhase, ServerConnId};

/// Bytes buffered for a caller from which its server is no longer read. Whole
/// answers of models are far smaller, so their servers don't wait for callers.
const PAUSE_UNSENT: usize = 1 << 20;

/// The same while memory for responses is short.
const PAUSE_UNSENT_SHORT: usize = 64 * 1024;

/// Bytes buffered for a caller up to which its server is read again.
const RESUME_UNSENT: usize = PAUSE_UNSENT / 4;

/// The same while memory for responses is short.
const RESUME_UNSENT_SHORT: usize = PAUSE_UNSENT_SHORT / 4;

/// Time for which a caller with unsent bytes may take nothing; the kernel aborts
/// a connection whose peer's window stays closed for as long.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(4);

/// Interval at which a caller that holds its server up is checked.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How a caller takes the bytes that are buffered for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SendProgress {
    /// Fewest unsent bytes so far.
    unsent: usize,
    /// When they became fewer.
    at: Moment,
}

impl SendProgress {
    /// Starts to observe a caller.
    pub(crate) fn start(now: Moment) -> Self {
        Self {
            unsent: usize::MAX,
            at: now,
        }
    }

    /// Records the unsent bytes; returns whether the caller has stalled.
    pub(crate) fn has_stalled(&mut self, unsent: usize, now: Moment) -> bool {
        if unsent < self.unsent {
            self.unsent = unsent;
            self.at = now;
        }
        now.saturating_sub(self.at) >= STALL_TIME
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns whether the server of a request isn't read, on this connection,
    /// because of its caller.
    pub(crate) fn is_paused(&self, exchange_id: ExchangeId, conn_id: ServerConnId) -> bool {
        self.exchanges.get(exchange_id).is_some_and(|exchange| {
            exchange.pause.is_some() && exchange.phase == ExchangePhase::Sent(conn_id)
        })
    }

    /// Pauses the server of a stream if too much is buffered for its caller.
    pub(crate) fn pause_if_behind(&mut self, exchange_id: ExchangeId, caller: CallerId) {
        let now = self.now;
        if self.unsent_bytes(caller) <= self.pause_limit() {
            return;
        }
        let exchange = &mut self.exchanges[exchange_id];
        if exchange.pause.is_none() {
            exchange.pause = Some(SendProgress::start(now));
            self.arm_exchange(exchange_id, now + STALL_CHECK_INTERVAL);
        }
    }

    /// Returns how much may be buffered for a caller before its server isn't read;
    /// less if responses use up half of their memory.
    fn pause_limit(&self) -> usize {
        let held = self.account.held(AccountPart::Responses);
        match held > self.memory_limits().responses / 2 {
            true => PAUSE_UNSENT_SHORT,
            false => PAUSE_UNSENT,
        }
    }

    /// Reads the server of a stream again if its caller has taken enough.
    pub(crate) fn resume_if_taken(&mut self, exchange_id: ExchangeId) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        let limit = match self.pause_limit() {
            PAUSE_UNSENT => RESUME_UNSENT,
            _ => RESUME_UNSENT_SHORT,
        };
        if exchange.pause.is_none() || self.unsent_bytes(exchange.caller) > limit {
            return;
        }
        let exchange = &mut self.exchanges[exchange_id];
        exchange.pause = None;
        if let Some(stream) = &mut exchange.stream {
            // The server's silence counts from now on.
            stream.last_event_at = now;
        }
        if let ExchangePhase::Sent(conn_id) = exchange.phase {
            // Its end may have arrived meanwhile; the event for it has passed.
            self.unread_servers.push(conn_id, true);
        }
    }

    /// Checks a caller that holds its server up; one that has stalled is cut off.
    pub(crate) fn check_paused(&mut self, exchange_id: ExchangeId) {
        let now = self.now;
        let caller = self.exchanges[exchange_id].caller;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        if conn.channel.flush().is_err() {
            self.close_caller(caller, "broken");
            return;
        }
        let unsent = conn.channel.unsent();
        let pause = &mut self.exchanges[exchange_id].pause;
        if pause
            .as_mut()
            .is_some_and(|progress| progress.has_stalled(unsent, now))
        {
            self.close_caller(caller, "caller too slow");
            return;
        }
        self.resume_if_taken(exchange_id);
        self.arm_exchange(exchange_id, now + STALL_CHECK_INTERVAL);
    }

    fn unsent_bytes(&self, caller: CallerId) -> usize {
        let conn = self.caller_conns.get(caller);
        conn.map_or(0, |conn| conn.channel.unsent())
    }
}
