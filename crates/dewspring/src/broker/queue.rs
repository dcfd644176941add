//! The requests that wait for one pool, in the order of service.
//!
//! The queue decides who is next and who gives way; the pool decides where a
//! request runs. Every request is in all of the indexes or in none.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::messages::GrantRequest;
use super::status::ClassStatus;
use crate::ids::{BootId, ClassName, GrantId, TierLevel, VmId};

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
}

impl QueuedRequest {
    /// Notes the points in time that the question's durations stand for.
    pub(super) fn new(ticket: GrantId, request: GrantRequest, now: Instant) -> Self {
        let deadline = later(now, request.target_left);
        let timeout = later(now, request.timeout_left);
        let give_up_at = match request.late_is_useful {
            true => timeout,
            false => timeout.min(deadline),
        };
        Self {
            ticket,
            asked_at: now,
            arrived_at: now.checked_sub(request.waited).unwrap_or(now),
            deadline,
            give_up_at,
            request,
        }
    }

    /// Whether this request gives way before `other` when room must be made.
    pub(super) fn gives_way_before(&self, other: &Self) -> bool {
        self.arrival() > other.arrival()
    }

    /// Whether this boot of an entry asked for the request.
    pub(super) fn is_asked_by(&self, entry: &VmId, boot: BootId) -> bool {
        self.request.entry == *entry && self.request.entry_boot == boot
    }

    fn arrival(&self) -> ArrivalRank {
        (self.request.tier, self.arrived_at, self.ticket)
    }

    fn rank(&self) -> ServiceRank {
        (self.request.tier, self.deadline, self.ticket)
    }
}

/// Longest time ahead that the broker reckons with.
const HORIZON: Duration = Duration::from_secs(24 * 3_600);

/// Returns the time `wait` after `now`, at most a day ahead.
pub(super) fn later(now: Instant, wait: Duration) -> Instant {
    now + wait.min(HORIZON)
}

type ServiceRank = (TierLevel, Instant, GrantId);
type ArrivalRank = (TierLevel, Instant, GrantId);

/// The requests that wait for one pool.
#[derive(Debug, Default)]
pub(super) struct PoolQueue {
    waiting: IndexMap<GrantId, QueuedRequest>,
    order: BTreeMap<ServiceRank, GrantId>,
    arrivals: BTreeMap<ArrivalRank, GrantId>,
    expiries: BTreeMap<(Instant, GrantId), GrantId>,
}

impl PoolQueue {
    /// Number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request.
    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let ticket = queued.ticket;
        self.order.insert(queued.rank(), ticket);
        self.arrivals.insert(queued.arrival(), ticket);
        self.expiries.insert((queued.give_up_at, ticket), ticket);
        self.waiting.insert(ticket, queued);
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, ticket: GrantId) -> Option<QueuedRequest> {
        let queued = self.waiting.swap_remove(&ticket)?;
        self.order.remove(&queued.rank());
        self.arrivals.remove(&queued.arrival());
        self.expiries.remove(&(queued.give_up_at, ticket));
        Some(queued)
    }

    /// Takes the request out that is to be served next.
    pub(super) fn pop_next(&mut self) -> Option<QueuedRequest> {
        let (_, &ticket) = self.order.first_key_value()?;
        self.remove(ticket)
    }

    /// Returns the request that gives way first: the latest of the lowest
    /// tier that waits.
    pub(super) fn victim(&self) -> Option<&QueuedRequest> {
        let (_, ticket) = self.arrivals.last_key_value()?;
        self.waiting.get(ticket)
    }

    /// Takes a request out that has waited until it is given up.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<QueuedRequest> {
        let (&(give_up_at, _), &ticket) = self.expiries.first_key_value()?;
        if give_up_at > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Takes any request out.
    pub(super) fn pop_any(&mut self) -> Option<QueuedRequest> {
        let (&ticket, _) = self.waiting.last()?;
        self.remove(ticket)
    }

    /// Returns the time at which the next request is given up.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let (&(give_up_at, _), _) = self.expiries.first_key_value()?;
        Some(give_up_at)
    }

    /// Whether a request waits that this boot of an entry asked for.
    pub(super) fn is_asked_by(&self, ticket: GrantId, entry: &VmId, boot: BootId) -> bool {
        let queued = self.waiting.get(&ticket);
        queued.is_some_and(|queued| queued.is_asked_by(entry, boot))
    }

    /// Lists the requests that this boot of an entry asked for.
    pub(super) fn of_entry(&self, entry: &VmId, boot: BootId) -> Vec<GrantId> {
        let waiting = self.waiting.values();
        waiting
            .filter(|queued| queued.is_asked_by(entry, boot))
            .map(|queued| queued.ticket)
            .collect()
    }

    /// Counts the requests that wait by class.
    pub(super) fn status(&self) -> Vec<ClassStatus> {
        let mut classes: IndexMap<(TierLevel, &ClassName), usize> = IndexMap::new();
        for queued in self.waiting.values() {
            let key = (queued.request.tier, &queued.request.class);
            *classes.entry(key).or_default() += 1;
        }
        let status = |((tier, class), queued): ((TierLevel, &ClassName), usize)| ClassStatus {
            class: class.clone(),
            tier,
            queued,
        };
        classes.into_iter().map(status).collect()
    }
}
