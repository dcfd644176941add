//! The requests of one class that wait: fair between workspaces.
//!
//! Workspaces take turns by deficit round robin on estimated work; within a
//! workspace the earliest deadline goes first. A request that was estimated
//! too low is paid for by its workspace when its grant ends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use indexmap::IndexMap;

use super::queued::QueuedRequest;
use crate::ids::{GrantId, TokenCount, WorkspaceId};

/// Largest debt of a workspace, in turns.
const MAX_DEBT_TURNS: i64 = 4;
/// Weight of the newest request in the mean that sets the length of a turn.
const MEAN_WEIGHT: TokenCount = 8;

/// The request of a class that goes next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClassHead {
    /// Its ticket.
    pub(super) ticket: GrantId,
    /// Time by which its answer is wanted.
    pub(super) deadline: Instant,
    /// Its estimated work, in tokens.
    pub(super) work: TokenCount,
}

/// A request as its workspace's order holds it.
#[derive(Clone, Copy, Debug)]
struct QueuedWork {
    work: TokenCount,
    /// Time from which a late answer is worthless, if it is.
    give_up_at: Option<Instant>,
}

impl QueuedWork {
    fn of(queued: &QueuedRequest) -> Self {
        let is_strict = !queued.request.late_is_useful;
        Self {
            work: queued.work,
            give_up_at: is_strict.then_some(queued.give_up_at),
        }
    }
}

/// What decides whether a request that waits can still be served in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct StrictWait {
    /// Its ticket.
    pub(super) ticket: GrantId,
    /// Last time at which its run may begin.
    pub(super) give_up_at: Instant,
    /// Its estimated work, in tokens.
    pub(super) work: TokenCount,
    /// Work of its class that is served before it, in tokens.
    pub(super) ahead: TokenCount,
}

#[derive(Debug)]
struct WorkspaceQueue {
    order: BTreeMap<(Instant, GrantId), QueuedWork>,
    aside: BTreeMap<(Instant, GrantId), QueuedWork>,
    deficit: i64,
    work: TokenCount,
    /// Work by the second of its deadline, counted from `epoch`.
    work_by_second: BTreeMap<i64, TokenCount>,
    epoch: Instant,
}

impl WorkspaceQueue {
    fn new(epoch: Instant) -> Self {
        Self {
            order: BTreeMap::new(),
            aside: BTreeMap::new(),
            deficit: 0,
            work: 0,
            work_by_second: BTreeMap::new(),
            epoch,
        }
    }

    fn add_work(&mut self, queued: &QueuedRequest) {
        let second = self.second_of(queued.deadline);
        *self.work_by_second.entry(second).or_default() += queued.work;
        self.work += queued.work;
    }

    fn remove_work(&mut self, queued: &QueuedRequest) {
        let second = self.second_of(queued.deadline);
        let work = self.work_by_second.get_mut(&second);
        let work = work.expect("the work of a queued request is counted");
        *work -= queued.work;
        if *work == 0 {
            self.work_by_second.remove(&second);
        }
        self.work -= queued.work;
    }

    /// Work with earlier deadlines; of the same second, half of it.
    fn work_until(&self, deadline: Instant) -> TokenCount {
        let second = self.second_of(deadline);
        let earlier = self.work_by_second.range(..second).map(|(_, work)| work);
        let same = self.work_by_second.get(&second).copied();
        earlier.sum::<TokenCount>() + same.unwrap_or_default() / 2
    }

    fn second_of(&self, deadline: Instant) -> i64 {
        match deadline.checked_duration_since(self.epoch) {
            Some(after) => after.as_secs().cast_signed(),
            None => -1 - (self.epoch - deadline).as_secs().cast_signed(),
        }
    }

    fn is_empty(&self) -> bool {
        self.order.is_empty() && self.aside.is_empty()
    }

    fn head(&self) -> Option<ClassHead> {
        let (&(deadline, ticket), queued) = self.order.first_key_value()?;
        Some(ClassHead {
            ticket,
            deadline,
            work: queued.work,
        })
    }
}

/// The requests of one class that wait.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    workspaces: IndexMap<WorkspaceId, WorkspaceQueue>,
    turns: VecDeque<WorkspaceId>,
    /// Whether the first workspace in `turns` has been paid for its turn.
    is_front_paid: bool,
    mean_work: TokenCount,
    len: usize,
    aside_len: usize,
    work: TokenCount,
}

impl ClassQueue {
    /// Number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Estimated work of all requests that wait, in tokens.
    pub(super) fn work(&self) -> TokenCount {
        self.work
    }

    /// Estimates the work of this class that is served before a request is,
    /// in tokens.
    ///
    /// The request's own workspace serves earlier deadlines first, and the
    /// other workspaces take as many turns meanwhile.
    pub(super) fn work_ahead(&self, queued: &QueuedRequest) -> TokenCount {
        let Some(queue) = self.workspaces.get(&queued.request.workspace) else {
            return self.work_before(0, queued.work, self.work);
        };
        let own = queue.work_until(queued.deadline);
        self.work_before(own, queued.work, self.work - queue.work)
    }

    /// Estimates what is served before `own + next` of one workspace is.
    fn work_before(&self, own: TokenCount, next: TokenCount, others: TokenCount) -> TokenCount {
        let turns = self.workspaces.len() as TokenCount;
        own + others.min((own + next).saturating_mul(turns))
    }

    /// Lists the requests whose late answer is worthless.
    pub(super) fn strict_waits(&self) -> impl Iterator<Item = StrictWait> {
        self.workspaces.values().flat_map(move |queue| {
            let mut own = 0;
            let others = self.work - queue.work;
            queue
                .order
                .iter()
                .filter_map(move |(&(_, ticket), queued)| {
                    let ahead = self.work_before(own, queued.work, others);
                    own += queued.work;
                    Some(StrictWait {
                        ticket,
                        give_up_at: queued.give_up_at?,
                        work: queued.work,
                        ahead,
                    })
                })
        })
    }

    /// Adds a request.
    pub(super) fn push(&mut self, queued: &QueuedRequest) {
        let workspace = &queued.request.workspace;
        if !self.workspaces.contains_key(workspace) {
            self.turns.push_back(workspace.clone());
            let queue = WorkspaceQueue::new(queued.deadline);
            self.workspaces.insert(workspace.clone(), queue);
        }
        let queue = &mut self.workspaces[workspace];
        let key = (queued.deadline, queued.ticket);
        queue.order.insert(key, QueuedWork::of(queued));
        queue.add_work(queued);
        self.len += 1;
        self.work += queued.work;
        self.mean_work = match self.mean_work {
            0 => queued.work,
            mean => (mean * (MEAN_WEIGHT - 1) + queued.work).div_ceil(MEAN_WEIGHT),
        };
    }

    /// Takes a request out that is not to be served.
    pub(super) fn remove(&mut self, queued: &QueuedRequest) {
        self.take(queued, 0);
    }

    /// Takes a request out that is served, and charges its workspace.
    pub(super) fn serve(&mut self, queued: &QueuedRequest) {
        self.take(queued, queued.work);
    }

    /// Charges a workspace for work that its estimate left out; negative work
    /// is given back.
    pub(super) fn correct(&mut self, workspace: &WorkspaceId, work: i64) {
        let max_debt = self.turn_work() * MAX_DEBT_TURNS;
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.deficit = queue.deficit.saturating_sub(work).max(-max_debt);
        }
    }

    /// Passes over a request until [`restore`](Self::restore).
    pub(super) fn set_aside(&mut self, queued: &QueuedRequest) {
        let key = (queued.deadline, queued.ticket);
        let queue = self.workspaces.get_mut(&queued.request.workspace);
        let queue = queue.expect("a queued request's workspace is known");
        let work = queue.order.remove(&key);
        queue.aside.insert(key, work.expect("the request waits"));
        self.aside_len += 1;
    }

    /// Puts the requests back that were passed over.
    pub(super) fn restore(&mut self) {
        if self.aside_len == 0 {
            return;
        }
        for queue in self.workspaces.values_mut() {
            queue.order.append(&mut queue.aside);
        }
        self.aside_len = 0;
    }

    /// Whether every request that waits is passed over.
    pub(super) fn is_passed_over(&self) -> bool {
        self.len == self.aside_len
    }

    /// Returns the request that goes next, if any is not passed over.
    pub(super) fn head(&mut self) -> Option<ClassHead> {
        if self.is_passed_over() {
            return None;
        }
        loop {
            for _ in 0..=self.turns.len() {
                if let Some(head) = self.front_head() {
                    return Some(head);
                }
                self.turns.rotate_left(1);
                self.is_front_paid = false;
            }
            self.skip_rounds();
        }
    }

    /// Pays the first workspace for its turn and returns its request if the
    /// payment covers it.
    fn front_head(&mut self) -> Option<ClassHead> {
        let turn_work = self.turn_work();
        let queue = &mut self.workspaces[&self.turns[0]];
        let head = queue.head()?;
        if !self.is_front_paid {
            queue.deficit += turn_work;
            self.is_front_paid = true;
        }
        (queue.deficit >= signed(head.work)).then_some(head)
    }

    /// Pays every workspace for the rounds in which none could be served.
    fn skip_rounds(&mut self) {
        let turn_work = self.turn_work();
        let waiting = self.workspaces.values().filter_map(|queue| {
            let head = queue.head()?;
            Some(signed(head.work) - queue.deficit)
        });
        let missing = waiting.min().unwrap_or(0).max(0);
        let rounds = missing / turn_work;
        for queue in self.workspaces.values_mut() {
            if !queue.order.is_empty() {
                queue.deficit += rounds * turn_work;
            }
        }
    }

    fn turn_work(&self) -> i64 {
        signed(self.mean_work).max(1)
    }

    fn take(&mut self, queued: &QueuedRequest, charge: TokenCount) {
        let workspace = &queued.request.workspace;
        let key = (queued.deadline, queued.ticket);
        let queue = self.workspaces.get_mut(workspace);
        let queue = queue.expect("a queued request's workspace is known");
        if queue.order.remove(&key).is_none() {
            let aside = queue.aside.remove(&key);
            assert!(aside.is_some(), "a queued request waits in its workspace");
            self.aside_len -= 1;
        }
        queue.remove_work(queued);
        queue.deficit -= signed(charge);
        self.len -= 1;
        self.work -= queued.work;
        if queue.is_empty() {
            self.forget_workspace(workspace);
        }
    }

    fn forget_workspace(&mut self, workspace: &WorkspaceId) {
        self.workspaces.swap_remove(workspace);
        let place = self.turns.iter().position(|other| other == workspace);
        let place = place.expect("every waiting workspace has a turn");
        self.turns.remove(place);
        if place == 0 {
            self.is_front_paid = false;
        }
    }
}

fn signed(work: TokenCount) -> i64 {
    i64::try_from(work).unwrap_or(i64::MAX)
}
