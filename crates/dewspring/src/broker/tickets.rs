//! Index of the open tickets, and of the tickets of each request.
//!
//! A ticket, the number of one grant request, is open until its refusal, its
//! withdrawal or the end of its grant.

use indexmap::IndexMap;

use crate::ids::{GrantId, PoolName, RequestId};

/// State of an open ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum TicketState {
    /// Queued for this pool.
    Queued(PoolName),
    /// In the table of active grants.
    Granted,
}

/// The open tickets.
#[derive(Debug, Default)]
pub(super) struct TicketIndex {
    states: IndexMap<GrantId, TicketState>,
    requests: IndexMap<RequestId, Vec<GrantId>>,
    last: GrantId,
}

impl TicketIndex {
    /// Issues a new ticket.
    pub(super) fn issue(&mut self) -> GrantId {
        self.last += 1;
        self.last
    }

    /// Records that a ticket is queued for a pool.
    pub(super) fn record_queued(&mut self, ticket: GrantId, request: &RequestId, pool: &PoolName) {
        let state = TicketState::Queued(pool.clone());
        self.states.insert(ticket, state);
        match self.requests.get_mut(request) {
            Some(tickets) => tickets.push(ticket),
            None => drop(self.requests.insert(request.clone(), vec![ticket])),
        }
    }

    /// Records that a queued ticket is granted.
    pub(super) fn record_granted(&mut self, ticket: GrantId) {
        let state = self.states.get_mut(&ticket);
        *state.expect("a granted ticket was queued") = TicketState::Granted;
    }

    /// Removes a ticket.
    pub(super) fn remove(&mut self, ticket: GrantId, request: &RequestId) {
        self.states.swap_remove(&ticket);
        let Some(tickets) = self.requests.get_mut(request) else {
            return;
        };
        tickets.retain(|&other| other != ticket);
        if tickets.is_empty() {
            self.requests.swap_remove(request);
        }
    }

    /// Returns the state of a ticket; `None` if it is not open.
    pub(super) fn state(&self, ticket: GrantId) -> Option<&TicketState> {
        self.states.get(&ticket)
    }

    /// Lists the open tickets of a request.
    pub(super) fn of_request(&self, request: &RequestId) -> Vec<GrantId> {
        self.requests.get(request).cloned().unwrap_or_default()
    }
}
