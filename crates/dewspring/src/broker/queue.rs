//! The queued requests of one pool, in the order of service.
//!
//! The queue decides which request is next and which is refused when the queue
//! is full; the pool chooses the server. Every request is in all of the indexes
//! or in none.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::{Equivalent, IndexMap};

use super::class::{ClassHead, ClassQueue};
use super::floor::{ClassFloor, credit_floors};
use super::queued::QueuedRequest;
use super::shares::TierShares;
use super::status::ClassStatus;
use super::victim::TierLoads;
use crate::ids::{BootId, ClassName, GrantId, TierLevel, TokenCount, VmId, WorkspaceId};

/// Why a request is served next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ServiceTurn {
    /// No request of a higher tier is queued.
    Priority,
    /// The floor of its class is due.
    Floor,
}

/// The next request, and why it is next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct QueueHead {
    /// Ticket of the request.
    pub(super) ticket: GrantId,
    /// Why it is next.
    pub(super) turn: ServiceTurn,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ClassKey {
    tier: TierLevel,
    class: ClassName,
}

#[derive(Hash)]
struct ClassRef<'a> {
    tier: TierLevel,
    class: &'a str,
}

impl Equivalent<ClassKey> for ClassRef<'_> {
    fn equivalent(&self, key: &ClassKey) -> bool {
        self.tier == key.tier && self.class == key.class
    }
}

fn class_of(queued: &QueuedRequest) -> ClassRef<'_> {
    ClassRef {
        tier: queued.request.tier,
        class: &queued.request.class,
    }
}

#[derive(Debug, Default)]
struct ClassState {
    queue: ClassQueue,
    floor: ClassFloor,
}

/// Effect of the other classes on the wait of one class.
#[derive(Clone, Copy, Debug)]
struct ClassPosition {
    /// Work of other classes that is served first, in tokens.
    other_work: TokenCount,
    /// Share of the pool available to the tier.
    tier_share: f64,
    /// Work of the pool for each token served by the floor of the class.
    floor_factor: f64,
}

impl ClassPosition {
    /// Returns the work that the pool does before it serves a request: by
    /// priority, or by the floor if that is sooner.
    ///
    /// The request has `next` tokens of work, and its class serves `ahead`
    /// tokens first.
    fn pool_work(&self, ahead: TokenCount, next: TokenCount) -> TokenCount {
        let by_priority = (ahead + self.other_work) as f64 / self.tier_share;
        let by_floor = (ahead + next) as f64 * self.floor_factor;
        by_priority.min(by_floor) as TokenCount
    }
}

/// The queued requests of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolQueue {
    waiting: IndexMap<GrantId, QueuedRequest>,
    classes: IndexMap<ClassKey, ClassState>,
    tiers: IndexMap<TierLevel, TierLoads>,
    expiries: BTreeSet<(Instant, GrantId)>,
    due_count: u64,
    shares: TierShares,
    has_skipped: bool,
}

impl PoolQueue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns a queued request.
    pub(super) fn get(&self, ticket: GrantId) -> Option<&QueuedRequest> {
        self.waiting.get(&ticket)
    }

    /// Adds a request.
    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let key = class_of(&queued);
        if !self.classes.contains_key(&key) {
            let key = ClassKey {
                tier: key.tier,
                class: key.class.to_owned(),
            };
            self.classes.insert(key, ClassState::default());
        }
        let class = &mut self.classes[&class_of(&queued)];
        class.queue.push(&queued);
        class.floor.set_percent(queued.request.floor_percent);
        let loads = self.tiers.entry(queued.request.tier).or_default();
        loads.add(&queued);
        self.expiries.insert((queued.expires_at, queued.ticket));
        self.waiting.insert(queued.ticket, queued);
    }

    /// Removes a request that is not served.
    pub(super) fn remove(&mut self, ticket: GrantId) -> Option<QueuedRequest> {
        let queued = self.unindex(ticket)?;
        let class = self.classes.get_mut(&class_of(&queued));
        let class = class.expect("a queued request's class is known");
        class.queue.remove(&queued);
        self.remove_empty_class(&queued);
        Some(queued)
    }

    /// Removes a request that is served, and charges its class and its
    /// workspace.
    pub(super) fn serve(&mut self, head: QueueHead) -> QueuedRequest {
        let queued = self
            .unindex(head.ticket)
            .expect("the served request is queued");
        self.shares
            .record(queued.request.tier, head.turn, queued.work);
        self.credit_waiting_floors(queued.work);
        let class = self.classes.get_mut(&class_of(&queued));
        let class = class.expect("a queued request's class is known");
        class.queue.serve(&queued);
        class.floor.charge(queued.work);
        self.remove_empty_class(&queued);
        queued
    }

    /// Returns the next request to serve.
    pub(super) fn head(&mut self) -> Option<QueueHead> {
        let mut due: Option<(u64, GrantId)> = None;
        let mut first: Option<(TierLevel, Instant, GrantId)> = None;
        for (key, class) in &mut self.classes {
            let Some(head) = class.queue.head() else {
                continue;
            };
            let ClassHead {
                ticket, deadline, ..
            } = head;
            if let Some(sequence) = class.floor.due_sequence(head.work, &mut self.due_count) {
                due = Some(due.map_or((sequence, ticket), |due| due.min((sequence, ticket))));
            }
            let rank = (key.tier, deadline, ticket);
            first = Some(first.map_or(rank, |first| first.min(rank)));
        }
        let by_priority = first.map(|(_, _, ticket)| ticket)?;
        Some(match due {
            Some((_, ticket)) if ticket != by_priority => QueueHead {
                ticket,
                turn: ServiceTurn::Floor,
            },
            _ => QueueHead {
                ticket: by_priority,
                turn: ServiceTurn::Priority,
            },
        })
    }

    /// Skips a request until [`restore_skipped`](Self::restore_skipped).
    pub(super) fn skip(&mut self, ticket: GrantId) {
        let queued = &self.waiting[&ticket];
        let class = self.classes.get_mut(&class_of(queued));
        let class = class.expect("a queued request's class is known");
        class.queue.skip(queued);
        self.has_skipped = true;
    }

    /// Puts the skipped requests back into the order of service.
    pub(super) fn restore_skipped(&mut self) {
        if std::mem::take(&mut self.has_skipped) {
            let classes = self.classes.values_mut();
            classes.for_each(|class| class.queue.restore_skipped());
        }
    }

    /// Charges a workspace for work that the estimate of one of its requests
    /// missed; negative work is credited.
    pub(super) fn adjust_charge(
        &mut self,
        tier: TierLevel,
        class: &ClassName,
        workspace: &WorkspaceId,
        work: i64,
    ) {
        if let Some(class) = self.classes.get_mut(&ClassRef { tier, class }) {
            class.queue.adjust_charge(workspace, work);
        }
    }

    /// Estimates the work that is served before a new request, in tokens.
    pub(super) fn work_ahead(&self, queued: &QueuedRequest) -> TokenCount {
        let key = class_of(queued);
        let Some(class) = self.classes.get(&key) else {
            let other_work = self.work_of_other_classes(key.tier, key.class) as f64;
            return (other_work / self.shares.available_to(key.tier)) as TokenCount;
        };
        let ahead = class.queue.work_ahead(queued);
        let position = self.position(key.tier, key.class, class);
        position.pool_work(ahead, queued.work)
    }

    /// Returns the estimated work of this and all higher tiers, in tokens.
    pub(super) fn work_down_to(&self, tier: TierLevel) -> TokenCount {
        let classes = self.classes.iter();
        let classes = classes.filter(|(key, _)| key.tier <= tier);
        classes.map(|(_, class)| class.queue.work()).sum()
    }

    /// Lists the requests whose late answer is worthless and for which
    /// `is_late` holds, given their expiry time and the work that the pool does
    /// before them.
    pub(super) fn late_requests(
        &self,
        is_late: impl Fn(Instant, TokenCount) -> bool,
    ) -> Vec<GrantId> {
        let mut late = Vec::new();
        for (key, class) in &self.classes {
            let position = self.position(key.tier, &key.class, class);
            let requests = class.queue.strict_requests();
            let requests = requests.filter(|request| {
                let ahead = position.pool_work(request.ahead, request.work);
                is_late(request.expires_at, ahead)
            });
            late.extend(requests.map(|request| request.ticket));
        }
        late
    }

    /// Returns the position of a class among the others.
    fn position(&self, tier: TierLevel, name: &str, class: &ClassState) -> ClassPosition {
        let floors = self.classes.values().map(|class| class.floor.percent());
        ClassPosition {
            other_work: self.work_of_other_classes(tier, name),
            tier_share: self.shares.available_to(tier),
            floor_factor: class.floor.pool_work_factor(floors.sum()),
        }
    }

    /// Returns the estimated work of the other classes in this and all higher
    /// tiers, in tokens.
    fn work_of_other_classes(&self, tier: TierLevel, name: &str) -> TokenCount {
        let own = self.classes.get(&ClassRef { tier, class: name });
        let own = own.map_or(0, |class| class.queue.work());
        self.work_down_to(tier) - own
    }

    /// Removes the request to refuse when the queue is full: in the lowest
    /// queued tier, the latest request of the workspace with the most queued
    /// work.
    pub(super) fn pop_victim(&mut self) -> Option<QueuedRequest> {
        let classes = self.classes.iter();
        let waiting = classes.filter(|(_, class)| class.queue.len() > 0);
        let tier = waiting.map(|(key, _)| key.tier).max()?;
        let mut victims =
            self.tiers[&tier].victims(|ticket| &self.waiting[&ticket].request.workspace);
        let ticket = victims.next()?;
        drop(victims);
        self.remove(ticket)
    }

    /// Removes a request that has expired; `None` if there is none.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<QueuedRequest> {
        let &(expires_at, ticket) = self.expiries.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Removes any one request.
    pub(super) fn pop_any(&mut self) -> Option<QueuedRequest> {
        let (&ticket, _) = self.waiting.last()?;
        self.remove(ticket)
    }

    /// Returns the time at which the next request expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|&(expires_at, _)| expires_at)
    }

    /// Returns whether a queued request came from this boot of an entry.
    pub(super) fn is_requested_by(&self, ticket: GrantId, entry: &VmId, boot: BootId) -> bool {
        let queued = self.waiting.get(&ticket);
        queued.is_some_and(|queued| queued.is_requested_by(entry, boot))
    }

    /// Lists the queued requests from this boot of an entry.
    pub(super) fn of_entry(&self, entry: &VmId, boot: BootId) -> Vec<GrantId> {
        let waiting = self.waiting.values();
        waiting
            .filter(|queued| queued.is_requested_by(entry, boot))
            .map(|queued| queued.ticket)
            .collect()
    }

    /// Returns the number of queued requests in each class.
    pub(super) fn status(&self) -> Vec<ClassStatus> {
        let status = |(key, class): (&ClassKey, &ClassState)| ClassStatus {
            class: key.class.clone(),
            tier: key.tier,
            queued: class.queue.len(),
        };
        self.classes.iter().map(status).collect()
    }

    fn unindex(&mut self, ticket: GrantId) -> Option<QueuedRequest> {
        let queued = self.waiting.swap_remove(&ticket)?;
        self.tiers[&queued.request.tier].remove(&queued);
        self.expiries.remove(&(queued.expires_at, ticket));
        Some(queued)
    }

    fn remove_empty_class(&mut self, queued: &QueuedRequest) {
        let key = class_of(queued);
        if self.classes[&key].queue.len() == 0 {
            self.classes.swap_remove(&key);
        }
    }

    /// Credits the floor of every class with queued requests for `work` granted
    /// tokens.
    fn credit_waiting_floors(&mut self, work: TokenCount) {
        let classes = self.classes.values_mut();
        let waiting = classes.filter(|class| !class.queue.is_all_skipped());
        credit_floors(waiting.map(|class| &mut class.floor), work);
    }
}
