//! Which questions are open, and which grants belong to which request.
//!
//! A ticket is known from its question until its refusal, its withdrawal or
//! the end of its grant.

use indexmap::IndexMap;

use crate::ids::{GrantId, PoolName, RequestId};

/// Where a ticket stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum TicketPlace {
    /// In the queue of this pool.
    Queued(PoolName),
    /// In the table of grants.
    Granted,
}

/// The open tickets.
#[derive(Debug, Default)]
pub(super) struct TicketIndex {
    places: IndexMap<GrantId, TicketPlace>,
    requests: IndexMap<RequestId, Vec<GrantId>>,
    last: GrantId,
}

impl TicketIndex {
    /// Draws a new ticket.
    pub(super) fn draw(&mut self) -> GrantId {
        self.last += 1;
        self.last
    }

    /// Notes that a ticket waits in a pool's queue.
    pub(super) fn note_queued(&mut self, ticket: GrantId, request: &RequestId, pool: &PoolName) {
        let place = TicketPlace::Queued(pool.clone());
        self.places.insert(ticket, place);
        match self.requests.get_mut(request) {
            Some(tickets) => tickets.push(ticket),
            None => drop(self.requests.insert(request.clone(), vec![ticket])),
        }
    }

    /// Notes that a ticket that waited is granted.
    pub(super) fn note_granted(&mut self, ticket: GrantId) {
        let place = self.places.get_mut(&ticket);
        *place.expect("a granted ticket waited") = TicketPlace::Granted;
    }

    /// Forgets a ticket.
    pub(super) fn forget(&mut self, ticket: GrantId, request: &RequestId) {
        self.places.swap_remove(&ticket);
        let Some(tickets) = self.requests.get_mut(request) else {
            return;
        };
        tickets.retain(|&other| other != ticket);
        if tickets.is_empty() {
            self.requests.swap_remove(request);
        }
    }

    /// Returns where a ticket stands.
    pub(super) fn place(&self, ticket: GrantId) -> Option<&TicketPlace> {
        self.places.get(&ticket)
    }

    /// Lists the tickets of a request.
    pub(super) fn of_request(&self, request: &RequestId) -> Vec<GrantId> {
        self.requests.get(request).cloned().unwrap_or_default()
    }
}
