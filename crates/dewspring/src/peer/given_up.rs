//! Requests whose questions were given up lately.
//!
//! A withdrawal names a request, and it may arrive after the same request was
//! asked again. So a repeated question gets an id of its own, which no earlier
//! withdrawal names.

use indexmap::IndexMap;

use crate::ids::RequestId;

/// Requests that are remembered.
const REMEMBERED: usize = 8_192;

/// How many questions of each request were given up.
#[derive(Debug, Default)]
pub(super) struct GivenUpQuestions {
    counts: IndexMap<RequestId, u32>,
}

impl GivenUpQuestions {
    /// Notes that a question of a request was given up.
    pub(super) fn note(&mut self, request: &RequestId) {
        if self.counts.len() >= REMEMBERED {
            self.counts.drain(..REMEMBERED / 2);
        }
        *self.counts.entry(request.clone()).or_insert(0) += 1;
    }

    /// Returns the id under which a request is to be asked.
    pub(super) fn question_id(&self, request: &RequestId) -> RequestId {
        match self.counts.get(request) {
            None => request.clone(),
            Some(count) => format!("{request}~{count}"),
        }
    }
}
