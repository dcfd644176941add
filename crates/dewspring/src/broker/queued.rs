//! A queued grant request and its deadlines.

use std::time::{Duration, Instant};

use super::messages::GrantRequest;
use crate::ids::{BootId, GrantId, TokenCount, VmId};

/// Limit on how far ahead of the current time a deadline may be.
const MAX_TIME_AHEAD: Duration = Duration::from_secs(24 * 3_600);

/// Returns the time `wait` after `now`, limited to one day ahead.
pub(super) fn add_capped(now: Instant, wait: Duration) -> Instant {
    now + wait.min(MAX_TIME_AHEAD)
}

/// Rank of a request in its workspace; the highest rank is refused first.
pub(super) type ArrivalRank = (Instant, GrantId);

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueuedRequest {
    /// Ticket of the grant request, which becomes the number of the grant.
    pub(super) ticket: GrantId,
    /// The grant request.
    pub(super) request: GrantRequest,
    /// Time at which the broker received the grant request.
    pub(super) received_at: Instant,
    /// Time at which the request arrived at its entry, as far as known.
    pub(super) arrived_at: Instant,
    /// Time by which the answer is wanted.
    pub(super) deadline: Instant,
    /// Time at which the request is refused if it is still queued.
    pub(super) expires_at: Instant,
    /// Estimated work, in tokens.
    pub(super) work: TokenCount,
}

impl QueuedRequest {
    /// Converts the durations of a grant request into points in time.
    ///
    /// The pool sets the work and the final expiry time from its estimates.
    pub(super) fn new(ticket: GrantId, request: GrantRequest, now: Instant) -> Self {
        let deadline = add_capped(now, request.target_left);
        let expires_at = add_capped(now, request.timeout_left);
        Self {
            ticket,
            received_at: now,
            arrived_at: now.checked_sub(request.waited).unwrap_or(now),
            deadline,
            expires_at,
            work: 0,
            request,
        }
    }

    /// Returns the time at which the request times out, even if a late answer
    /// is useful.
    pub(super) fn timeout_at(&self) -> Instant {
        add_capped(self.received_at, self.request.timeout_left)
    }

    /// Returns whether the request came from this boot of an entry.
    pub(super) fn is_requested_by(&self, entry: &VmId, boot: BootId) -> bool {
        self.request.entry == *entry && self.request.entry_boot == boot
    }

    /// Returns the rank of the request in its workspace.
    pub(super) fn arrival_rank(&self) -> ArrivalRank {
        (self.arrived_at, self.ticket)
    }
}
