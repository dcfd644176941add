//! Client of the platform's API, to which the holder of a duty makes calls.
//!
//! Calls are made one after the other on one connection. A call that gets no
//! complete response in time is given up, and its connection is reset, so that no
//! byte of it arrives later than that.
//!
//! The main invariant: nothing of a call is sent after its deadline.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use dewduty::lease::{DutySubject, FencingToken};
use mio::{Registry, Token};

use crate::call_connection::{CallConnection, CallOutcome, ConnectionKind};
use crate::clock::Moment;
use crate::format::{ApiCall, ApiResponse, PlatformFormat};

/// A call in progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DutyApiCall {
    /// The duty to which it belongs.
    pub(crate) subject: DutySubject,
    /// Fencing token with which it was made.
    pub(crate) token: FencingToken,
    pub(crate) call: ApiCall,
}

/// A call that ended.
#[derive(Debug)]
pub(crate) struct ApiResult {
    pub(crate) call: DutyApiCall,
    pub(crate) took: Duration,
    /// The response, or why there is none. A call without a response may have
    /// taken effect.
    pub(crate) response: Result<ApiResponse, &'static str>,
}

/// Client of the platform's API on one VM.
#[derive(Debug)]
pub(crate) struct ApiClient<F> {
    address: SocketAddr,
    vm: String,
    connection: CallConnection<DutyApiCall>,
    format: PhantomData<F>,
}

impl<F: PlatformFormat> ApiClient<F> {
    pub(crate) fn new(address: SocketAddr, vm: &str, token: Token) -> Self {
        Self {
            address,
            vm: vm.to_string(),
            connection: CallConnection::new(ConnectionKind::Api, token),
            format: PhantomData,
        }
    }

    /// Makes the next calls to this address.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Returns whether a call can be made now.
    pub(crate) fn is_free(&self) -> bool {
        self.connection.pending.is_none()
    }

    /// Makes a call, which is given up at `deadline`.
    pub(crate) fn send(
        &mut self,
        registry: &Registry,
        call: DutyApiCall,
        now: Moment,
        deadline: Moment,
    ) {
        let bytes = F::write_api_call(&call.call, &self.vm, call.token);
        self.connection
            .send(registry, self.address, call, &bytes, (now, deadline));
    }

    /// Handles an I/O event on the connection.
    pub(crate) fn on_event(&mut self, closing: bool, now: Moment) -> Option<ApiResult> {
        if let Some(result) = self.expire(now) {
            return Some(result);
        }
        let outcome = self.connection.advance(closing, now);
        self.result(outcome, now)
    }

    /// Gives up the call in progress if its deadline has passed.
    pub(crate) fn expire(&mut self, now: Moment) -> Option<ApiResult> {
        let due = self.next_due()?;
        if due > now {
            return None;
        }
        let outcome = self.connection.fail("timeout");
        self.result(outcome, now)
    }

    /// Returns when the call in progress is given up.
    pub(crate) fn next_due(&self) -> Option<Moment> {
        let pending = self.connection.pending.as_ref();
        pending.map(|pending| pending.deadline)
    }

    fn result(&mut self, outcome: CallOutcome<DutyApiCall>, now: Moment) -> Option<ApiResult> {
        match outcome {
            CallOutcome::Pending => None,
            CallOutcome::Completed(call, sent, head, _) => Some(ApiResult {
                call,
                took: now.saturating_sub(sent),
                response: Ok(F::read_api_response(head.status)),
            }),
            CallOutcome::Failed(call, sent, reason) => Some(ApiResult {
                call,
                took: now.saturating_sub(sent),
                response: Err(reason),
            }),
        }
    }
}
