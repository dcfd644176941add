//! State machine of a broker: decisions as functions of state, event and time.
//!
//! Nothing here reads a clock, performs I/O or starts a thread. Every grant
//! request gets a ticket, its number at this broker, and exactly one decision
//! unless it is withdrawn first.

mod control;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::admission::{expiry_reason, retry_after};
use super::control::{BrokerSettings, ShareDivisor};
use super::crashes::crash_suspect;
use super::decision::TicketDecision;
use super::grants::{GrantRecord, GrantTable};
use super::messages::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason};
use super::pool::{Placement, PoolState};
use super::queue::ServiceTurn;
use super::queued::{QueuedRequest, add_capped};
use super::status::{BrokerStatus, ServerStateChange};
use super::tickets::{TicketIndex, TicketState};
use crate::ids::{BootId, GrantId, PoolName, RequestId, Revision, ServerName, VmId};

/// Interval between reviews of servers and queues, which also refuse requests
/// that can no longer meet their target.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// State of a broker.
#[derive(Debug)]
pub struct BrokerState {
    settings: BrokerSettings,
    revision: Revision,
    share: ShareDivisor,
    pools: IndexMap<PoolName, PoolState>,
    server_pools: IndexMap<ServerName, PoolName>,
    leaving: IndexSet<ServerName>,
    grants: GrantTable,
    tickets: TicketIndex,
    sweep_at: Option<Instant>,
    decisions: Vec<TicketDecision>,
    rng: SmallRng,
}

impl BrokerState {
    /// Returns a broker without pools.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::broker::{BrokerSettings, BrokerState};
    ///
    /// let state = BrokerState::new(BrokerSettings::new("vm-1", 7));
    /// assert_eq!(state.status().in_flight(), 0);
    /// ```
    pub fn new(settings: BrokerSettings) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            revision: 0,
            share: ShareDivisor::WHOLE,
            pools: IndexMap::new(),
            server_pools: IndexMap::new(),
            leaving: IndexSet::new(),
            grants: GrantTable::default(),
            tickets: TicketIndex::default(),
            sweep_at: None,
            decisions: Vec::new(),
            rng,
        }
    }

    /// Requests a grant and returns the ticket of the grant request.
    ///
    /// The decision is available from [`take_decisions`](Self::take_decisions),
    /// immediately or later.
    pub fn request_grant(&mut self, request: GrantRequest, now: Instant) -> GrantId {
        self.advance(now);
        let ticket = self.tickets.issue();
        let mut queued = QueuedRequest::new(ticket, request, now);
        if let Some(reason) = self.check_admission(&mut queued, now) {
            self.refuse(queued, reason, now);
            return ticket;
        }
        let name = queued.request.pool.clone();
        self.enqueue(&name, queued);
        self.dispatch(&name, now);
        self.enforce_queue_limit(&name, now);
        ticket
    }

    /// Returns whether the retry budget of the request's pool allows it.
    ///
    /// A request that excludes servers is a retry, and
    /// [`request_grant`](Self::request_grant) refuses it as overloaded when the
    /// budget is used up.
    pub fn may_retry(&self, request: &GrantRequest, now: Instant) -> bool {
        let pool = self.pools.get(&request.pool);
        pool.is_some_and(|pool| pool.may_retry(request, now))
    }

    /// Withdraws a request whose entry no longer waits for a decision: removes it
    /// from the queue and returns its grants unused.
    ///
    /// Returns the tickets that will get no decision.
    pub fn withdraw(
        &mut self,
        request: &RequestId,
        entry: &VmId,
        boot: BootId,
        now: Instant,
    ) -> Vec<GrantId> {
        self.advance(now);
        let mut tickets = self.tickets.of_request(request);
        tickets.retain(|&ticket| self.is_requested_by(ticket, entry, boot));
        self.cancel_all(tickets, now)
    }

    /// Cancels one grant request: removes it from the queue or returns its
    /// grant unused.
    ///
    /// Returns whether the ticket was queued, so that it will get no decision.
    pub fn cancel(&mut self, ticket: GrantId, now: Instant) -> bool {
        match self.tickets.state(ticket).cloned() {
            None => false,
            Some(TicketState::Queued(name)) => {
                let pool = self.pools.get_mut(&name);
                let queued = pool.and_then(|pool| pool.queue.remove(ticket));
                let queued = queued.expect("a queued ticket is in its pool's queue");
                self.tickets.remove(ticket, &queued.request.request);
                true
            }
            Some(TicketState::Granted) => {
                let record = self.grants.remove(ticket);
                let record = record.expect("a granted ticket is in the table of grants");
                self.end_grant(record, None, now);
                false
            }
        }
    }

    /// Ends a grant, and marks its server if the response announced that the
    /// server is leaving. A release from another boot or of an ended grant is
    /// ignored.
    pub fn release(&mut self, release: &GrantRelease, now: Instant) {
        self.advance(now);
        if release.boot != self.settings.boot {
            return;
        }
        let Some(record) = self.grants.remove(release.grant) else {
            return;
        };
        if release.leaving {
            // Mark before freeing the slot, so that no request gets it.
            self.mark_server_leaving(&record, now);
        }
        self.end_grant(record, Some(release), now);
    }

    /// Applies everything due by `now`: refuses expired requests, ends grants
    /// that were never released, and reviews servers and queues.
    pub fn advance(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            while let Some(queued) = self.pools[index].queue.pop_expired(now) {
                let reason = expiry_reason(&queued, now);
                self.refuse(queued, reason, now);
            }
        }
        // Grants end after expired requests are refused, so that no freed slot
        // goes to an expired request.
        while let Some(record) = self.grants.pop_expired(now) {
            self.end_grant(record, None, now);
        }
        self.sweep(now);
    }

    /// Returns the time at which [`advance`](Self::advance) is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let queues = self.pools.values().map(|pool| &pool.queue);
        let expiries = queues.filter_map(|queue| queue.next_expiry());
        let due = expiries.chain(self.grants.next_expiry()).min();
        let sweep_at = self.sweep_at.filter(|_| self.is_anything_queued());
        due.into_iter().chain(sweep_at).min()
    }

    /// Refuses all queued requests because the daemon shuts down.
    pub fn shut_down(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            self.refuse_all(index, RefusalReason::ShuttingDown, now);
        }
    }

    /// Removes and returns the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<TicketDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Removes and returns the changes of servers' states since the last call,
    /// to be logged.
    pub fn take_state_changes(&mut self) -> Vec<ServerStateChange> {
        let pools = self.pools.values_mut();
        pools.flat_map(PoolState::take_state_changes).collect()
    }

    /// Returns the status for operators.
    pub fn status(&self) -> BrokerStatus {
        let pools = self.pools.iter();
        BrokerStatus {
            revision: self.revision,
            pools: pools.map(|(name, pool)| pool.status(name)).collect(),
        }
    }

    /// Cancels the queued tickets first, so that no freed slot goes to one of
    /// them.
    fn cancel_all(&mut self, mut tickets: Vec<GrantId>, now: Instant) -> Vec<GrantId> {
        let state_of = |ticket: &GrantId| self.tickets.state(*ticket);
        tickets.sort_by_key(|ticket| state_of(ticket) == Some(&TicketState::Granted));
        tickets.retain(|&ticket| self.cancel(ticket, now));
        tickets
    }

    fn is_anything_queued(&self) -> bool {
        self.pools.values().any(|pool| pool.queue.len() > 0)
    }

    /// Periodically reviews servers and queues, and refuses the requests that
    /// can no longer meet their target.
    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|sweep_at| sweep_at > now) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_INTERVAL);
        for index in 0..self.pools.len() {
            self.pools[index].review(now);
            for ticket in self.pools[index].late_requests(now) {
                let queued = self.pools[index].queue.remove(ticket);
                let queued = queued.expect("a late request is queued");
                self.refuse(queued, RefusalReason::TargetMissed, now);
            }
        }
        self.reevaluate_pools(now);
    }

    fn check_admission(
        &mut self,
        queued: &mut QueuedRequest,
        now: Instant,
    ) -> Option<RefusalReason> {
        match self.pools.get_mut(&queued.request.pool) {
            Some(pool) => pool.check_admission(queued, now),
            None => Some(RefusalReason::NoServer),
        }
    }

    fn enqueue(&mut self, name: &PoolName, queued: QueuedRequest) {
        let request = &queued.request.request;
        self.tickets.record_queued(queued.ticket, request, name);
        let pool = self.pools.get_mut(name).expect("the pool is known");
        pool.queue.push(queued);
    }

    /// Refuses one request if the queue is over its limit; this may be the
    /// newest request itself.
    fn enforce_queue_limit(&mut self, name: &PoolName, now: Instant) {
        let limit = self.settings.queue_limit;
        let pool = self.pools.get_mut(name).expect("the pool is known");
        if pool.queue.len() <= limit {
            return;
        }
        let victim = pool.queue.pop_victim();
        let victim = victim.expect("a queue over its limit has a victim");
        self.refuse(victim, RefusalReason::QueueFull, now);
    }

    fn dispatch(&mut self, name: &PoolName, now: Instant) {
        while let Some(pool) = self.pools.get_mut(name) {
            let placement = pool.place_next(now);
            let blocked = pool.take_blocked();
            let is_done = placement.is_none() && blocked.is_empty();
            for queued in blocked {
                self.refuse(queued, RefusalReason::CrashesServers, now);
            }
            if let Some(placement) = placement {
                self.grant(name, placement, now);
            }
            if is_done {
                return;
            }
        }
    }

    fn grant(&mut self, name: &PoolName, placement: Placement, now: Instant) {
        let Placement {
            queued,
            replica,
            server,
            address,
            turn,
            reason,
        } = placement;
        let waited = now.saturating_duration_since(queued.received_at);
        let validity = self.settings.grant_validity;
        let request = &queued.request;
        let record = GrantRecord {
            id: queued.ticket,
            request: request.request.clone(),
            entry: request.entry.clone(),
            entry_boot: request.entry_boot,
            pool: name.clone(),
            replica,
            class: request.class.clone(),
            tier: request.tier,
            workspace: request.workspace.clone(),
            suspect: crash_suspect(request),
            prompt_tokens: request.prompt_tokens,
            work: queued.work,
            expires_at: add_capped(now, validity + request.timeout_left.saturating_sub(waited)),
        };
        let grant = Grant {
            id: queued.ticket,
            broker: self.settings.vm.clone(),
            boot: self.settings.boot,
            address,
            server,
            valid_for: waited + validity,
            reason,
        };
        self.grants.insert(record);
        self.tickets.record_granted(queued.ticket);
        self.record_decision(queued, Some(turn), GrantDecision::Granted(grant), now);
    }

    fn end_grant(&mut self, record: GrantRecord, release: Option<&GrantRelease>, now: Instant) {
        self.tickets.remove(record.id, &record.request);
        let pool = self.pools.get_mut(&record.pool);
        let pool = pool.expect("a pool with grants is not removed");
        pool.end_grant(&record, release, now);
        self.reevaluate_pool(&record.pool, now);
    }

    fn refuse_all(&mut self, index: usize, reason: RefusalReason, now: Instant) {
        while let Some(queued) = self.pools[index].queue.pop_any() {
            self.refuse(queued, reason, now);
        }
    }

    fn refuse(&mut self, queued: QueuedRequest, reason: RefusalReason, now: Instant) {
        self.tickets.remove(queued.ticket, &queued.request.request);
        let request = &queued.request;
        let pool = self.pools.get_mut(&request.pool);
        let mut blocked_for = None;
        let drain_time = pool.map(|pool| {
            blocked_for = pool.blocked_for(request, now);
            pool.record_refusal(reason, request.tier, now)
        });
        let drain_time = drain_time.unwrap_or_default();
        // A blocked request would be refused again any sooner.
        let retry_after = match (reason, blocked_for) {
            (RefusalReason::CrashesServers, Some(blocked)) => blocked,
            _ => retry_after(reason, drain_time, &mut self.rng),
        };
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.record_decision(queued, None, GrantDecision::Refused(refusal), now);
    }

    fn record_decision(
        &mut self,
        queued: QueuedRequest,
        turn: Option<ServiceTurn>,
        decision: GrantDecision,
        now: Instant,
    ) {
        let request = queued.request;
        self.decisions.push(TicketDecision {
            ticket: queued.ticket,
            request: request.request,
            pool: request.pool,
            class: request.class,
            tier: request.tier,
            workspace: request.workspace,
            waited: now.saturating_duration_since(queued.received_at),
            turn,
            decision,
        });
    }

    fn is_requested_by(&self, ticket: GrantId, entry: &VmId, boot: BootId) -> bool {
        match self.tickets.state(ticket) {
            None => false,
            Some(TicketState::Granted) => self.grants.is_held_by(ticket, entry, boot),
            Some(TicketState::Queued(name)) => {
                let pool = self.pools.get(name);
                pool.is_some_and(|pool| pool.queue.is_requested_by(ticket, entry, boot))
            }
        }
    }
}
