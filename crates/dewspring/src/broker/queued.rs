//! One request that waits, with the points in time that matter to it.

use std::time::{Duration, Instant};

use super::messages::GrantRequest;
use crate::ids::{BootId, GrantId, TokenCount, VmId};

/// Longest time ahead that the broker reckons with.
const HORIZON: Duration = Duration::from_secs(24 * 3_600);

/// Returns the time `wait` after `now`, at most a day ahead.
pub(super) fn later(now: Instant, wait: Duration) -> Instant {
    now + wait.min(HORIZON)
}

/// Order in which requests of a workspace give way: the last one goes first.
pub(super) type ArrivalRank = (Instant, GrantId);

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueuedRequest {
    /// Number of the question; it becomes the grant's number.
    pub(super) ticket: GrantId,
    /// The question.
    pub(super) request: GrantRequest,
    /// Time at which the broker received it.
    pub(super) asked_at: Instant,
    /// Time at which the request arrived at its entry, as far as known.
    pub(super) arrived_at: Instant,
    /// Time by which the answer is wanted.
    pub(super) deadline: Instant,
    /// Time at which the request is refused if it still waits.
    pub(super) give_up_at: Instant,
    /// Estimated work, in tokens.
    pub(super) work: TokenCount,
}

impl QueuedRequest {
    /// Notes the points in time that the question's durations stand for.
    ///
    /// The work and the moment to give up wait for the pool's estimates.
    pub(super) fn new(ticket: GrantId, request: GrantRequest, now: Instant) -> Self {
        let deadline = later(now, request.target_left);
        let give_up_at = later(now, request.timeout_left);
        Self {
            ticket,
            asked_at: now,
            arrived_at: now.checked_sub(request.waited).unwrap_or(now),
            deadline,
            give_up_at,
            work: 0,
            request,
        }
    }

    /// Returns the time at which the request is given up whatever it is worth.
    pub(super) fn timeout(&self) -> Instant {
        later(self.asked_at, self.request.timeout_left)
    }

    /// Whether this boot of an entry asked for the request.
    pub(super) fn is_asked_by(&self, entry: &VmId, boot: BootId) -> bool {
        self.request.entry == *entry && self.request.entry_boot == boot
    }

    /// Returns the request's place in its workspace's order of giving way.
    pub(super) fn arrival(&self) -> ArrivalRank {
        (self.arrived_at, self.ticket)
    }
}
