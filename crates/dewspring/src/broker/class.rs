//! The queued requests of one class, shared fairly between workspaces.
//!
//! Workspaces are served by deficit round robin on estimated work; within a
//! workspace the earliest deadline goes first. When a grant ends, its workspace
//! is charged for work that the estimate missed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use indexmap::IndexMap;

use super::queued::QueuedRequest;
use crate::ids::{GrantId, TokenCount, WorkspaceId};

/// Largest debt of a workspace, in quanta.
const MAX_DEBT_QUANTA: i64 = 4;
/// Inverse weight of the newest request in the moving average of work that sets
/// the quantum.
const INVERSE_MEAN_WEIGHT: TokenCount = 8;

/// The next request of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClassHead {
    /// Ticket of the request.
    pub(super) ticket: GrantId,
    /// Time by which the answer is wanted.
    pub(super) deadline: Instant,
    /// Estimated work, in tokens.
    pub(super) work: TokenCount,
}

/// The work and the expiry of a queued request.
#[derive(Clone, Copy, Debug)]
struct QueuedWork {
    work: TokenCount,
    /// Latest time at which the request may start; `None` if a late answer is
    /// useful.
    expires_at: Option<Instant>,
}

impl QueuedWork {
    fn of(queued: &QueuedRequest) -> Self {
        let is_strict = !queued.request.late_is_useful;
        Self {
            work: queued.work,
            expires_at: is_strict.then_some(queued.expires_at),
        }
    }
}

/// A queued request whose late answer is worthless.
#[derive(Clone, Copy, Debug)]
pub(super) struct StrictRequest {
    /// Ticket of the request.
    pub(super) ticket: GrantId,
    /// Latest time at which the request may start.
    pub(super) expires_at: Instant,
    /// Estimated work, in tokens.
    pub(super) work: TokenCount,
    /// Work of the same class that is served first, in tokens.
    pub(super) ahead: TokenCount,
}

#[derive(Debug)]
struct WorkspaceQueue {
    by_deadline: BTreeMap<(Instant, GrantId), QueuedWork>,
    skipped: BTreeMap<(Instant, GrantId), QueuedWork>,
    deficit: i64,
    work: TokenCount,
    /// Work per second of the deadline, counted from `epoch`.
    work_by_second: BTreeMap<i64, TokenCount>,
    epoch: Instant,
}

impl WorkspaceQueue {
    fn new(epoch: Instant) -> Self {
        Self {
            by_deadline: BTreeMap::new(),
            skipped: BTreeMap::new(),
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

    /// Returns the work with earlier deadlines; of work due in the same second,
    /// half is counted.
    fn work_before_deadline(&self, deadline: Instant) -> TokenCount {
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
        self.by_deadline.is_empty() && self.skipped.is_empty()
    }

    fn head(&self) -> Option<ClassHead> {
        let (&(deadline, ticket), queued) = self.by_deadline.first_key_value()?;
        Some(ClassHead {
            ticket,
            deadline,
            work: queued.work,
        })
    }
}

/// The queued requests of one class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    workspaces: IndexMap<WorkspaceId, WorkspaceQueue>,
    rotation: VecDeque<WorkspaceId>,
    /// Whether the first workspace in `rotation` has received its quantum.
    is_front_credited: bool,
    mean_work: TokenCount,
    len: usize,
    skipped_len: usize,
    work: TokenCount,
}

impl ClassQueue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the estimated work of all queued requests, in tokens.
    pub(super) fn work(&self) -> TokenCount {
        self.work
    }

    /// Estimates the work of this class that is served before a request, in
    /// tokens.
    ///
    /// The workspace of the request serves earlier deadlines first, and each
    /// other workspace is assumed to take equally many turns in the meantime.
    pub(super) fn work_ahead(&self, queued: &QueuedRequest) -> TokenCount {
        let Some(queue) = self.workspaces.get(&queued.request.workspace) else {
            return self.work_before(0, queued.work, self.work);
        };
        let own = queue.work_before_deadline(queued.deadline);
        self.work_before(own, queued.work, self.work - queue.work)
    }

    /// Estimates the work served before a request of `next` tokens, with `own`
    /// tokens of its workspace and up to `others` tokens of other workspaces
    /// queued before it.
    fn work_before(&self, own: TokenCount, next: TokenCount, others: TokenCount) -> TokenCount {
        let turns = self.workspaces.len() as TokenCount;
        own + others.min((own + next).saturating_mul(turns))
    }

    /// Lists the requests whose late answer is worthless.
    pub(super) fn strict_requests(&self) -> impl Iterator<Item = StrictRequest> {
        self.workspaces.values().flat_map(move |queue| {
            let mut own = 0;
            let others = self.work - queue.work;
            queue
                .by_deadline
                .iter()
                .filter_map(move |(&(_, ticket), queued)| {
                    let ahead = self.work_before(own, queued.work, others);
                    own += queued.work;
                    Some(StrictRequest {
                        ticket,
                        expires_at: queued.expires_at?,
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
            self.rotation.push_back(workspace.clone());
            let queue = WorkspaceQueue::new(queued.deadline);
            self.workspaces.insert(workspace.clone(), queue);
        }
        let queue = &mut self.workspaces[workspace];
        let key = (queued.deadline, queued.ticket);
        queue.by_deadline.insert(key, QueuedWork::of(queued));
        queue.add_work(queued);
        self.len += 1;
        self.work += queued.work;
        self.mean_work = match self.mean_work {
            0 => queued.work,
            mean => (mean * (INVERSE_MEAN_WEIGHT - 1) + queued.work).div_ceil(INVERSE_MEAN_WEIGHT),
        };
    }

    /// Removes a request that is not served.
    pub(super) fn remove(&mut self, queued: &QueuedRequest) {
        self.remove_charged(queued, 0);
    }

    /// Removes a request that is served, and charges its workspace.
    pub(super) fn serve(&mut self, queued: &QueuedRequest) {
        self.remove_charged(queued, queued.work);
    }

    /// Charges a workspace for work that an estimate missed; negative work is
    /// credited.
    pub(super) fn adjust_charge(&mut self, workspace: &WorkspaceId, work: i64) {
        let max_debt = self.quantum() * MAX_DEBT_QUANTA;
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.deficit = queue.deficit.saturating_sub(work).max(-max_debt);
        }
    }

    /// Skips a request until [`restore_skipped`](Self::restore_skipped).
    pub(super) fn skip(&mut self, queued: &QueuedRequest) {
        let key = (queued.deadline, queued.ticket);
        let queue = self.workspaces.get_mut(&queued.request.workspace);
        let queue = queue.expect("a queued request's workspace is known");
        let work = queue.by_deadline.remove(&key);
        queue
            .skipped
            .insert(key, work.expect("the skipped request is queued"));
        self.skipped_len += 1;
    }

    /// Puts the skipped requests back into the order of service.
    pub(super) fn restore_skipped(&mut self) {
        if self.skipped_len == 0 {
            return;
        }
        for queue in self.workspaces.values_mut() {
            queue.by_deadline.append(&mut queue.skipped);
        }
        self.skipped_len = 0;
    }

    /// Returns whether every queued request is skipped.
    pub(super) fn is_all_skipped(&self) -> bool {
        self.len == self.skipped_len
    }

    /// Returns the next request; `None` if every queued request is skipped.
    pub(super) fn head(&mut self) -> Option<ClassHead> {
        if self.is_all_skipped() {
            return None;
        }
        loop {
            for _ in 0..=self.rotation.len() {
                if let Some(head) = self.front_head() {
                    return Some(head);
                }
                self.rotation.rotate_left(1);
                self.is_front_credited = false;
            }
            self.skip_rounds();
        }
    }

    /// Credits the first workspace with its quantum and returns its next
    /// request if the deficit counter covers it.
    fn front_head(&mut self) -> Option<ClassHead> {
        let quantum = self.quantum();
        let queue = &mut self.workspaces[&self.rotation[0]];
        let head = queue.head()?;
        if !self.is_front_credited {
            queue.deficit += quantum;
            self.is_front_credited = true;
        }
        (queue.deficit >= signed(head.work)).then_some(head)
    }

    /// Credits every workspace for the rounds in which none could be served.
    fn skip_rounds(&mut self) {
        let quantum = self.quantum();
        let waiting = self.workspaces.values().filter_map(|queue| {
            let head = queue.head()?;
            Some(signed(head.work) - queue.deficit)
        });
        let missing = waiting.min().unwrap_or(0).max(0);
        let rounds = missing / quantum;
        for queue in self.workspaces.values_mut() {
            if !queue.by_deadline.is_empty() {
                queue.deficit += rounds * quantum;
            }
        }
    }

    fn quantum(&self) -> i64 {
        signed(self.mean_work).max(1)
    }

    fn remove_charged(&mut self, queued: &QueuedRequest, charge: TokenCount) {
        let workspace = &queued.request.workspace;
        let key = (queued.deadline, queued.ticket);
        let queue = self.workspaces.get_mut(workspace);
        let queue = queue.expect("a queued request's workspace is known");
        if queue.by_deadline.remove(&key).is_none() {
            let skipped = queue.skipped.remove(&key);
            assert!(
                skipped.is_some(),
                "a queued request is in its workspace's queue"
            );
            self.skipped_len -= 1;
        }
        queue.remove_work(queued);
        queue.deficit -= signed(charge);
        self.len -= 1;
        self.work -= queued.work;
        if queue.is_empty() {
            self.remove_workspace(workspace);
        }
    }

    fn remove_workspace(&mut self, workspace: &WorkspaceId) {
        self.workspaces.swap_remove(workspace);
        let index = self.rotation.iter().position(|other| other == workspace);
        let index = index.expect("every queued workspace is in the rotation");
        self.rotation.remove(index);
        if index == 0 {
            self.is_front_credited = false;
        }
    }
}

fn signed(work: TokenCount) -> i64 {
    i64::try_from(work).unwrap_or(i64::MAX)
}
