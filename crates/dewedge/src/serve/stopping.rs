//! Ends callers' connections while the process stops.
//!
//! The main invariant: a caller whose connection was accepted gets an answer to
//! the request that it sends on it, until the end of the grace period, and can take
//! an answer that is ready.

use std::time::Duration;

use crate::clock::Moment;
use crate::format::PlatformFormat;

use super::state::{CallerConn, CallerPhase, EdgeState, ExchangePhase};

/// Time for the first request of a connection that was accepted as one of the
/// last; a round trip takes a few ms, and packets may be lost.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Reason in the answers to requests that the stop ends.
const STOPPING: &str = "stopping";

/// Share of the grace period after which the process ends, also if callers haven't
/// taken all of their last responses.
const DELIVERY_SHARE: f64 = 0.98;

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns whether a request with this deadline is refused, because the process
    /// may end before it. While the balancer still sends requests, they are taken all
    /// the same.
    pub(crate) fn would_be_cut_off(&self, deadline: Moment) -> bool {
        self.cut_off_time()
            .is_some_and(|cut| cut < deadline && (self.has_left_balancer() || cut <= self.now))
    }

    /// Returns until when callers can take their last responses, if the process is
    /// stopping.
    pub(crate) fn delivery_end(&self) -> Option<Moment> {
        let since = self.stopping?;
        Some(since + self.settings.stop_grace.mul_f64(DELIVERY_SHARE))
    }

    /// Returns whether callers are still taking their last responses, and the grace
    /// period leaves time for it.
    pub(crate) fn delivers_last_responses(&self) -> bool {
        let takes = |conn: &CallerConn| match conn.phase {
            CallerPhase::Lingering => true,
            CallerPhase::Head => conn.channel.unsent() > 0,
            CallerPhase::Body(_) | CallerPhase::Busy(_) => false,
        };
        let has_time = self.delivery_end().is_some_and(|end| self.now < end);
        has_time && self.caller_conns.iter().any(|(_, conn)| takes(conn))
    }

    /// Closes connections whose callers send no more requests, because the
    /// balancer has removed the VM.
    pub(crate) fn close_idle_callers(&mut self) {
        let now = self.now;
        let is_idle = |conn: &CallerConn| {
            matches!(conn.phase, CallerPhase::Head)
                && conn.read_since.is_none()
                && conn.idle_since + FIRST_REQUEST_TIME <= now
        };
        let conns = self.caller_conns.iter();
        let idle: Vec<usize> = conns
            .filter(|(_, conn)| is_idle(conn))
            .map(|(caller, _)| caller)
            .collect();
        for caller in idle {
            self.close_if_idle(caller);
        }
    }

    /// Answers the requests that have not ended by the end of the grace period.
    pub(crate) fn end_remaining_requests(&mut self) {
        let exchanges: Vec<usize> = self.exchanges.iter().map(|(id, _)| id).collect();
        for exchange_id in exchanges {
            let exchange = &mut self.exchanges[exchange_id];
            exchange.may_have_run |= exchange.phase != ExchangePhase::Waiting;
            self.fail_request(exchange_id, STOPPING);
        }
        let is_reading = |conn: &CallerConn| match conn.phase {
            CallerPhase::Body { .. } => true,
            CallerPhase::Head => conn.read_since.is_some(),
            CallerPhase::Busy(_) | CallerPhase::Lingering => false,
        };
        let conns = self.caller_conns.iter();
        let reading: Vec<usize> = conns
            .filter(|(_, conn)| is_reading(conn))
            .map(|(caller, _)| caller)
            .collect();
        for caller in reading {
            self.respond(caller, 503, STOPPING, None);
        }
    }
}
