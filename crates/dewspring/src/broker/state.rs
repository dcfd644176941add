//! The broker's decisions as plain functions of state, event and time.
//!
//! Nothing here reads a clock, does I/O or starts a thread. Every question
//! gets a ticket and exactly one decision, unless it is withdrawn first.

mod control;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::admission::{expiry_reason, retry_after};
use super::control::{BrokerSettings, ShareDivisor};
use super::decision::TicketDecision;
use super::grants::{GrantRecord, GrantTable};
use super::messages::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason};
use super::pool::{Placement, PoolState};
use super::queue::ServiceTurn;
use super::queued::{QueuedRequest, later};
use super::status::{BrokerStatus, ServerChange};
use super::tickets::{TicketIndex, TicketPlace};
use crate::ids::{BootId, GrantId, PoolName, RequestId, Revision, ServerName, VmId};

/// Time between two looks for requests that wait in vain.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What a broker knows and decides.
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
    generator: SmallRng,
}

impl BrokerState {
    /// Returns a broker that knows no pool yet.
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
        let generator = SmallRng::seed_from_u64(settings.seed);
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
            generator,
        }
    }

    /// Takes a question and returns its ticket.
    ///
    /// The decision comes from [`take_decisions`](Self::take_decisions), at
    /// once or later.
    pub fn request_grant(&mut self, request: GrantRequest, now: Instant) -> GrantId {
        self.advance(now);
        let ticket = self.tickets.draw();
        let mut queued = QueuedRequest::new(ticket, request, now);
        if let Some(reason) = self.judge(&mut queued, now) {
            self.refuse(queued, reason, now);
            return ticket;
        }
        let name = queued.request.pool.clone();
        self.enqueue(&name, queued);
        self.dispatch(&name, now);
        self.make_room(&name, now);
        ticket
    }

    /// Whether the retry budget of the request's pool has room for it.
    ///
    /// A request that excludes servers is a retry, and [`request_grant`](Self::request_grant)
    /// refuses it as overloaded when the budget is used up.
    pub fn may_retry(&self, request: &GrantRequest, now: Instant) -> bool {
        let pool = self.pools.get(&request.pool);
        pool.is_some_and(|pool| pool.may_retry(request, now))
    }

    /// Forgets a request whose caller is gone: it leaves the queue, and what
    /// was granted to it is given back.
    ///
    /// Returns the tickets that get no decision any more.
    pub fn withdraw(
        &mut self,
        request: &RequestId,
        entry: &VmId,
        boot: BootId,
        now: Instant,
    ) -> Vec<GrantId> {
        self.advance(now);
        let mut tickets = self.tickets.of_request(request);
        tickets.retain(|&ticket| self.is_asked_by(ticket, entry, boot));
        self.cancel_all(tickets, now)
    }

    /// Forgets one question: it leaves the queue, or its grant is given back.
    ///
    /// Returns whether the ticket waited, so that it gets no decision any more.
    pub fn cancel(&mut self, ticket: GrantId, now: Instant) -> bool {
        match self.tickets.place(ticket).cloned() {
            None => false,
            Some(TicketPlace::Queued(name)) => {
                let pool = self.pools.get_mut(&name);
                let queued = pool.and_then(|pool| pool.queue.remove(ticket));
                let queued = queued.expect("a queued ticket is in its pool's queue");
                self.tickets.forget(ticket, &queued.request.request);
                true
            }
            Some(TicketPlace::Granted) => {
                let record = self.grants.remove(ticket);
                let record = record.expect("a granted ticket is in the table of grants");
                self.end(record, None, now);
                false
            }
        }
    }

    /// Ends a grant, and marks its server if that said that it is leaving; a
    /// grant of another boot or one that has ended already is passed over.
    pub fn release(&mut self, release: &GrantRelease, now: Instant) {
        self.advance(now);
        if release.boot != self.settings.boot {
            return;
        }
        let Some(record) = self.grants.remove(release.grant) else {
            return;
        };
        if release.leaving {
            // Before the slot comes free, so that no request gets it.
            self.mark_server_of(&record, now);
        }
        self.end(record, Some(release), now);
    }

    /// Does what has become due: gives up waiting requests and ends grants
    /// that were never released.
    pub fn advance(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            while let Some(queued) = self.pools[index].queue.pop_expired(now) {
                let reason = expiry_reason(&queued, now);
                self.refuse(queued, reason, now);
            }
        }
        // Only now, since a slot that comes free must not go to a request that
        // is past its time.
        while let Some(record) = self.grants.pop_expired(now) {
            self.end(record, None, now);
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

    /// Refuses all that waits, because the daemon shuts down.
    pub fn shut_down(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            self.flush(index, RefusalReason::ShuttingDown, now);
        }
    }

    /// Takes the decisions made since the last call, in their order.
    pub fn take_decisions(&mut self) -> Vec<TicketDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the changes of servers' states since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<ServerChange> {
        let pools = self.pools.values_mut();
        pools.flat_map(PoolState::take_changes).collect()
    }

    /// Describes the broker to operators.
    pub fn status(&self) -> BrokerStatus {
        let pools = self.pools.iter();
        BrokerStatus {
            revision: self.revision,
            pools: pools.map(|(name, pool)| pool.status(name)).collect(),
        }
    }

    /// Cancels the queued tickets first, so that no grant goes to one of them
    /// when a slot comes free.
    fn cancel_all(&mut self, mut tickets: Vec<GrantId>, now: Instant) -> Vec<GrantId> {
        let place = |ticket: &GrantId| self.tickets.place(*ticket);
        tickets.sort_by_key(|ticket| place(ticket) == Some(&TicketPlace::Granted));
        tickets.retain(|&ticket| self.cancel(ticket, now));
        tickets
    }

    fn is_anything_queued(&self) -> bool {
        self.pools.values().any(|pool| pool.queue.len() > 0)
    }

    /// Refuses the requests that wait in vain, from time to time.
    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|sweep_at| sweep_at > now) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_INTERVAL);
        for index in 0..self.pools.len() {
            self.pools[index].review(now);
            for ticket in self.pools[index].late_requests(now) {
                let queued = self.pools[index].queue.remove(ticket);
                let queued = queued.expect("a late request waits");
                self.refuse(queued, RefusalReason::TargetMissed, now);
            }
        }
        self.settle(now);
    }

    fn judge(&mut self, queued: &mut QueuedRequest, now: Instant) -> Option<RefusalReason> {
        match self.pools.get_mut(&queued.request.pool) {
            Some(pool) => pool.judge(queued, now),
            None => Some(RefusalReason::NoServer),
        }
    }

    fn enqueue(&mut self, name: &PoolName, queued: QueuedRequest) {
        let request = &queued.request.request;
        self.tickets.note_queued(queued.ticket, request, name);
        let pool = self.pools.get_mut(name).expect("the pool is known");
        pool.queue.push(queued);
    }

    /// Refuses a request of the lowest tier if too many wait; that may be the
    /// newest one itself.
    fn make_room(&mut self, name: &PoolName, now: Instant) {
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
            let Some(placement) = pool.place_next(now) else {
                return;
            };
            self.grant(name, placement, now);
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
        let waited = now.saturating_duration_since(queued.asked_at);
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
            prompt_tokens: request.prompt_tokens,
            work: queued.work,
            expires_at: later(now, validity + request.timeout_left.saturating_sub(waited)),
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
        self.tickets.note_granted(queued.ticket);
        self.decide(queued, Some(turn), GrantDecision::Granted(grant), now);
    }

    fn end(&mut self, record: GrantRecord, release: Option<&GrantRelease>, now: Instant) {
        self.tickets.forget(record.id, &record.request);
        let pool = self.pools.get_mut(&record.pool);
        let pool = pool.expect("a pool stays known while it has grants");
        pool.end(&record, release, now);
        self.settle_pool(&record.pool, now);
    }

    fn flush(&mut self, index: usize, reason: RefusalReason, now: Instant) {
        while let Some(queued) = self.pools[index].queue.pop_any() {
            self.refuse(queued, reason, now);
        }
    }

    fn refuse(&mut self, queued: QueuedRequest, reason: RefusalReason, now: Instant) {
        self.tickets.forget(queued.ticket, &queued.request.request);
        let request = &queued.request;
        let pool = self.pools.get_mut(&request.pool);
        let drain_time = pool.map(|pool| pool.note_refusal(reason, request.tier, now));
        let drain_time = drain_time.unwrap_or_default();
        let refusal = Refusal {
            reason,
            retry_after: retry_after(reason, drain_time, &mut self.generator),
        };
        self.decide(queued, None, GrantDecision::Refused(refusal), now);
    }

    fn decide(
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
            waited: now.saturating_duration_since(queued.asked_at),
            turn,
            decision,
        });
    }

    fn is_asked_by(&self, ticket: GrantId, entry: &VmId, boot: BootId) -> bool {
        match self.tickets.place(ticket) {
            None => false,
            Some(TicketPlace::Granted) => self.grants.is_held_by(ticket, entry, boot),
            Some(TicketPlace::Queued(name)) => {
                let pool = self.pools.get(name);
                pool.is_some_and(|pool| pool.queue.is_asked_by(ticket, entry, boot))
            }
        }
    }
}
