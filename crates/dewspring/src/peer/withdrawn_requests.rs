//! Recently withdrawn grant requests, counted by their request id.
//!
//! A withdrawal names a request id, and it may arrive after a grant was
//! requested again for the same request. So each repetition gets an id of its
//! own, which no earlier withdrawal names.

use indexmap::IndexMap;

use crate::ids::RequestId;

/// Most requests whose withdrawals are remembered; at the limit the older half is evicted.
const MAX_REMEMBERED_REQUESTS: usize = 8_192;

/// Number of withdrawn grant requests of each request.
#[derive(Debug, Default)]
pub(super) struct WithdrawnRequests {
    counts: IndexMap<RequestId, u32>,
}

impl WithdrawnRequests {
    /// Records the withdrawal of a grant request.
    pub(super) fn record(&mut self, request: &RequestId) {
        if self.counts.len() >= MAX_REMEMBERED_REQUESTS {
            self.counts.drain(..MAX_REMEMBERED_REQUESTS / 2);
        }
        *self.counts.entry(request.clone()).or_insert(0) += 1;
    }

    /// Returns the id to send with the next grant request for `request`.
    pub(super) fn next_request_id(&self, request: &RequestId) -> RequestId {
        match self.counts.get(request) {
            None => request.clone(),
            Some(count) => format!("{request}~{count}"),
        }
    }
}
