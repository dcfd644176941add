//! The requests that wait for one pool, in the order of service.
//!
//! The queue decides who is next and who gives way; the pool decides where a
//! request runs. Every request is in all of the indexes or in none.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::{Equivalent, IndexMap};

use super::class::{ClassHead, ClassQueue};
use super::floor::{ClassFloor, scaled_floors};
use super::queued::QueuedRequest;
use super::shares::TierShares;
use super::status::ClassStatus;
use super::victim::TierLoads;
use crate::ids::{BootId, ClassName, GrantId, TierLevel, TokenCount, VmId, WorkspaceId};

/// Why a request's turn has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ServiceTurn {
    /// No request of a higher tier waits.
    Priority,
    /// The guaranteed share of its class is due.
    Floor,
}

/// The request that goes next, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct QueueHead {
    /// Its ticket.
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

/// What the other classes mean for the wait of one class.
#[derive(Clone, Copy, Debug)]
struct ClassPosition {
    /// Work of other classes that goes first, in tokens.
    others: TokenCount,
    /// Share of the pool that is left to the tier.
    share: f64,
    /// Pool's work for each token that the floor yields.
    floor_factor: f64,
}

impl ClassPosition {
    /// Returns the pool's work in which `ahead` of the class is served, and
    /// what goes before it: by priority, or by the floor if that is sooner.
    fn pool_work(&self, ahead: TokenCount, next: TokenCount) -> TokenCount {
        let by_priority = (ahead + self.others) as f64 / self.share;
        let by_floor = (ahead + next) as f64 * self.floor_factor;
        by_priority.min(by_floor) as TokenCount
    }
}

/// The requests that wait for one pool.
#[derive(Debug, Default)]
pub(super) struct PoolQueue {
    waiting: IndexMap<GrantId, QueuedRequest>,
    classes: IndexMap<ClassKey, ClassState>,
    tiers: IndexMap<TierLevel, TierLoads>,
    expiries: BTreeSet<(Instant, GrantId)>,
    due_count: u64,
    shares: TierShares,
    has_aside: bool,
}

impl PoolQueue {
    /// Number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns a request that waits.
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
        self.expiries.insert((queued.give_up_at, queued.ticket));
        self.waiting.insert(queued.ticket, queued);
    }

    /// Takes a request out that is not to be served.
    pub(super) fn remove(&mut self, ticket: GrantId) -> Option<QueuedRequest> {
        let queued = self.forget(ticket)?;
        let class = self.classes.get_mut(&class_of(&queued));
        let class = class.expect("a queued request's class is known");
        class.queue.remove(&queued);
        self.forget_empty(&queued);
        Some(queued)
    }

    /// Takes a request out that is served, and charges its class and its
    /// workspace.
    pub(super) fn serve(&mut self, head: QueueHead) -> QueuedRequest {
        let queued = self.forget(head.ticket).expect("the served request waits");
        self.shares
            .record(queued.request.tier, head.turn, queued.work);
        self.pay_floors(queued.work);
        let class = self.classes.get_mut(&class_of(&queued));
        let class = class.expect("a queued request's class is known");
        class.queue.serve(&queued);
        class.floor.charge(queued.work);
        self.forget_empty(&queued);
        queued
    }

    /// Returns the request that is to be served next.
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
            if let Some(since) = class.floor.due_since(head.work, &mut self.due_count) {
                due = Some(due.map_or((since, ticket), |due| due.min((since, ticket))));
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

    /// Passes over a request until [`restore`](Self::restore).
    pub(super) fn set_aside(&mut self, ticket: GrantId) {
        let queued = &self.waiting[&ticket];
        let class = self.classes.get_mut(&class_of(queued));
        let class = class.expect("a queued request's class is known");
        class.queue.set_aside(queued);
        self.has_aside = true;
    }

    /// Puts the requests back that were passed over.
    pub(super) fn restore(&mut self) {
        if std::mem::take(&mut self.has_aside) {
            let classes = self.classes.values_mut();
            classes.for_each(|class| class.queue.restore());
        }
    }

    /// Charges a workspace for work that the estimate of one of its requests
    /// left out; negative work is given back.
    pub(super) fn correct(
        &mut self,
        tier: TierLevel,
        class: &ClassName,
        workspace: &WorkspaceId,
        work: i64,
    ) {
        if let Some(class) = self.classes.get_mut(&ClassRef { tier, class }) {
            class.queue.correct(workspace, work);
        }
    }

    /// Estimates the work that is served before a new request would be, in
    /// tokens.
    pub(super) fn work_ahead(&self, queued: &QueuedRequest) -> TokenCount {
        let key = class_of(queued);
        let Some(class) = self.classes.get(&key) else {
            let others = self.work_of_others(key.tier, key.class) as f64;
            return (others / self.shares.left_to(key.tier)) as TokenCount;
        };
        let ahead = class.queue.work_ahead(queued);
        let position = self.position(key.tier, key.class, class);
        position.pool_work(ahead, queued.work)
    }

    /// Estimated work of this and all higher tiers, in tokens.
    pub(super) fn work_down_to(&self, tier: TierLevel) -> TokenCount {
        let classes = self.classes.iter();
        let classes = classes.filter(|(key, _)| key.tier <= tier);
        classes.map(|(_, class)| class.queue.work()).sum()
    }

    /// Lists the requests whose late answer is worthless and for which
    /// `is_late` holds, given their last moment and the pool's work that is
    /// served before them.
    pub(super) fn late_requests(
        &self,
        is_late: impl Fn(Instant, TokenCount) -> bool,
    ) -> Vec<GrantId> {
        let mut late = Vec::new();
        for (key, class) in &self.classes {
            let position = self.position(key.tier, &key.class, class);
            let waits = class.queue.strict_waits();
            let waits = waits.filter(|wait| {
                let ahead = position.pool_work(wait.ahead, wait.work);
                is_late(wait.give_up_at, ahead)
            });
            late.extend(waits.map(|wait| wait.ticket));
        }
        late
    }

    /// Returns where a class stands among the others.
    fn position(&self, tier: TierLevel, name: &str, class: &ClassState) -> ClassPosition {
        let floors = self.classes.values().map(|class| class.floor.percent());
        ClassPosition {
            others: self.work_of_others(tier, name),
            share: self.shares.left_to(tier),
            floor_factor: class.floor.pool_factor(floors.sum()),
        }
    }

    /// Estimated work of the other classes down to a tier, in tokens.
    fn work_of_others(&self, tier: TierLevel, name: &str) -> TokenCount {
        let own = self.classes.get(&ClassRef { tier, class: name });
        let own = own.map_or(0, |class| class.queue.work());
        self.work_down_to(tier) - own
    }

    /// Takes the request out that gives way first: in the lowest tier that
    /// waits, the latest of the workspace with the most queued work.
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

    /// Takes a request out that has waited until it is given up.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<QueuedRequest> {
        let &(give_up_at, ticket) = self.expiries.first()?;
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
        self.expiries.first().map(|&(give_up_at, _)| give_up_at)
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
        let status = |(key, class): (&ClassKey, &ClassState)| ClassStatus {
            class: key.class.clone(),
            tier: key.tier,
            queued: class.queue.len(),
        };
        self.classes.iter().map(status).collect()
    }

    fn forget(&mut self, ticket: GrantId) -> Option<QueuedRequest> {
        let queued = self.waiting.swap_remove(&ticket)?;
        self.tiers[&queued.request.tier].remove(&queued);
        self.expiries.remove(&(queued.give_up_at, ticket));
        Some(queued)
    }

    fn forget_empty(&mut self, queued: &QueuedRequest) {
        let key = class_of(queued);
        if self.classes[&key].queue.len() == 0 {
            self.classes.swap_remove(&key);
        }
    }

    /// Gives every class that waits its guaranteed share of `work`.
    fn pay_floors(&mut self, work: TokenCount) {
        let classes = self.classes.values_mut();
        let waiting = classes.filter(|class| !class.queue.is_passed_over());
        scaled_floors(waiting.map(|class| &mut class.floor), work);
    }
}
