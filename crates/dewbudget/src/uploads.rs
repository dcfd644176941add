//! Decides which request bodies are read on when the memory for bodies is short.
//!
//! In calm, every body is read as fast as it arrives; a declared length reserves
//! nothing. Once the bodies hold more than [`SLOW_SHARE`] of their limit, only as
//! many are read on as surely fit when they are complete. The workspace that holds
//! least comes first, and within it the body that needs least; bodies that have
//! stalled come last. The others wait, and new bodies of a workspace with waiting
//! ones are refused before they are read. If nothing fits, stalled bodies and those
//! of the workspace that holds most are given up; none of them has run.
//!
//! The main invariant: one body that fits into the limit can always be completed,
//! whatever the others do.

use std::cmp::Reverse;
use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;

/// Share of the limit from which bodies may have to wait.
const SLOW_SHARE: f64 = 0.5;

/// Share of the limit that large bodies may use; the rest is for small ones.
const LARGE_SHARE: f64 = 0.75;

/// Share of the limit that one workspace may use if there are others.
const WORKSPACE_SHARE: f64 = 0.75;

/// Size up to which a body counts as small, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;

/// Time without a byte after which a body that is read counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Limits on the bodies that are held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UploadLimits {
    /// Maximum bytes of all bodies.
    pub bodies: u64,
    /// Maximum bytes of one body.
    pub body: u64,
    /// Bytes that are held for a body that waits, besides what was received.
    pub waiting: u64,
    /// Whether bodies of several workspaces may arrive.
    pub has_workspaces: bool,
}

impl UploadLimits {
    fn share(&self, share: f64) -> u64 {
        (self.bodies as f64 * share) as u64
    }

    fn workspace(&self) -> u64 {
        match self.has_workspaces {
            true => self.share(WORKSPACE_SHARE),
            false => self.bodies,
        }
    }

    /// Returns the limit for the completion of a body that needs `remaining` more
    /// bytes.
    fn for_remaining(&self, remaining: u64) -> u64 {
        match remaining <= SMALL_BYTES {
            true => self.bodies,
            false => self.share(LARGE_SHARE),
        }
    }
}

/// Why a new body is refused before it is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadRefusal {
    /// Bodies of the workspace already wait, or it holds its share.
    Workspace,
    /// The bodies hold all of their limit.
    Memory,
}

impl UploadRefusal {
    /// Returns the name of the limit in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Workspace => "workspace_bodies",
            Self::Memory => "bodies",
        }
    }
}

/// Changes that a plan makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UploadPlan<K> {
    /// Bodies to read on.
    pub resumed: Vec<K>,
    /// Bodies that wait from now on.
    pub paused: Vec<K>,
    /// Bodies to give up.
    pub refused: Vec<K>,
}

/// A body that is being read.
#[derive(Clone, Debug)]
struct Upload {
    workspace: String,
    declared: Option<u64>,
    received: u64,
    last_byte: Duration,
    waits: bool,
}

impl Upload {
    /// Returns the bytes that it needs to be complete. If that is unknown, it is
    /// expected to double.
    fn remaining(&self, limits: &UploadLimits) -> u64 {
        let left = limits.body.saturating_sub(self.received);
        match self.declared {
            Some(length) => length.saturating_sub(self.received),
            None => self.received.max(SMALL_BYTES).min(left),
        }
    }

    fn held(&self, limits: &UploadLimits) -> u64 {
        self.received + if self.waits { limits.waiting } else { 0 }
    }

    fn has_stalled(&self, now: Duration) -> bool {
        !self.waits && now.saturating_sub(self.last_byte) >= STALL_TIME
    }
}

/// Memory that a plan may still commit.
struct PlanBudget<'a> {
    limits: &'a UploadLimits,
    /// Bytes that are held or committed.
    used: u64,
    /// The same, by workspace.
    workspaces: IndexMap<String, u64>,
}

/// What keeps a body from being completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shortage {
    /// The share of its workspace.
    Workspace,
    /// The limit on all bodies.
    Memory,
}

impl PlanBudget<'_> {
    fn own(&self, workspace: &str) -> u64 {
        self.workspaces.get(workspace).copied().unwrap_or(0)
    }

    fn shortage(&self, workspace: &str, remaining: u64) -> Option<Shortage> {
        if self.own(workspace).saturating_add(remaining) > self.limits.workspace() {
            Some(Shortage::Workspace)
        } else if self.used.saturating_add(remaining) > self.limits.for_remaining(remaining) {
            Some(Shortage::Memory)
        } else {
            None
        }
    }

    fn commit(&mut self, workspace: &str, remaining: u64) {
        self.used += remaining;
        *self.workspaces.entry(workspace.to_string()).or_default() += remaining;
    }

    fn release(&mut self, upload: &Upload) {
        let held = upload.held(self.limits);
        self.used = self.used.saturating_sub(held);
        if let Some(own) = self.workspaces.get_mut(&upload.workspace) {
            *own = own.saturating_sub(held);
        }
    }
}

/// All bodies that are being read, and the bytes of accepted requests.
#[derive(Clone, Debug)]
pub struct UploadTable<K> {
    /// In the order of their beginning.
    uploads: IndexMap<K, Upload>,
    /// Bytes of accepted requests, by workspace.
    accepted: IndexMap<String, u64>,
    waiting: usize,
}

impl<K> Default for UploadTable<K> {
    fn default() -> Self {
        Self {
            uploads: IndexMap::new(),
            accepted: IndexMap::new(),
            waiting: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> UploadTable<K> {
    /// Adds a body that begins to arrive. `held` is what all bodies hold, and
    /// `declared` the length that its caller announced.
    ///
    /// # Errors
    ///
    /// Returns why the body must not be read.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbudget::{UploadLimits, UploadRefusal, UploadTable};
    /// use std::time::Duration;
    ///
    /// let limits = UploadLimits { bodies: 10_000_000, body: 4_000_000, waiting: 0, has_workspaces: true };
    /// let mut table = UploadTable::default();
    /// let begun = table.begin(1, "desk", Some(4_000_000), 0, &limits, Duration::ZERO);
    /// assert_eq!(begun, Ok(()));
    /// let full = table.begin(2, "desk", Some(1), 10_000_000, &limits, Duration::ZERO);
    /// assert_eq!(full, Err(UploadRefusal::Memory));
    /// ```
    pub fn begin(
        &mut self,
        key: K,
        workspace: &str,
        declared: Option<u64>,
        held: u64,
        limits: &UploadLimits,
        now: Duration,
    ) -> Result<(), UploadRefusal> {
        let size = declared.unwrap_or(0);
        if self.waiting > 0 && size > SMALL_BYTES {
            let waits = |upload: &Upload| upload.waits && upload.workspace == workspace;
            if self.uploads.values().any(waits) {
                return Err(UploadRefusal::Workspace);
            }
        }
        self.admit(workspace, size.min(SMALL_BYTES), held, limits)?;
        let upload = Upload {
            workspace: workspace.to_string(),
            declared,
            received: 0,
            last_byte: now,
            waits: false,
        };
        self.uploads.insert(key, upload);
        Ok(())
    }

    /// Checks that a workspace may hold `bytes` more in accepted requests.
    ///
    /// # Errors
    ///
    /// Returns which limit it would exceed.
    pub fn admit(
        &self,
        workspace: &str,
        bytes: u64,
        held: u64,
        limits: &UploadLimits,
    ) -> Result<(), UploadRefusal> {
        let accepted = self.accepted.get(workspace).copied().unwrap_or(0);
        if accepted.saturating_add(bytes) > limits.workspace() {
            return Err(UploadRefusal::Workspace);
        }
        if held.saturating_add(bytes) > limits.bodies {
            return Err(UploadRefusal::Memory);
        }
        Ok(())
    }

    /// Records that a body has received this many bytes in all; returns whether
    /// they are more than before.
    pub fn record(&mut self, key: K, received: u64, now: Duration) -> bool {
        match self.uploads.get_mut(&key) {
            Some(upload) if received > upload.received => {
                upload.received = received;
                upload.last_byte = now;
                true
            }
            _ => false,
        }
    }

    /// Removes a body that is complete or given up.
    pub fn end(&mut self, key: K) {
        if let Some(upload) = self.uploads.shift_remove(&key) {
            self.waiting -= usize::from(upload.waits);
        }
    }

    /// Counts the bytes of a request that was accepted.
    pub fn accept(&mut self, workspace: &str, bytes: u64) {
        *self.accepted.entry(workspace.to_string()).or_default() += bytes;
    }

    /// Stops counting the bytes of an accepted request that has ended.
    pub fn release(&mut self, workspace: &str, bytes: u64) {
        if let Some(own) = self.accepted.get_mut(workspace) {
            *own = own.saturating_sub(bytes);
            if *own == 0 {
                self.accepted.swap_remove(workspace);
            }
        }
    }

    /// Returns whether a body waits.
    pub fn waits(&self, key: K) -> bool {
        self.uploads.get(&key).is_some_and(|upload| upload.waits)
    }

    /// Returns how many of the next `most` bytes a body needs.
    pub fn next_bytes(&self, key: K, most: u64, limits: &UploadLimits) -> u64 {
        let upload = self.uploads.get(&key);
        upload.map_or(0, |upload| upload.remaining(limits).min(most))
    }

    /// Lets a body wait until a plan resumes it.
    pub fn pause(&mut self, key: K) {
        if let Some(upload) = self.uploads.get_mut(&key)
            && !upload.waits
        {
            upload.waits = true;
            self.waiting += 1;
        }
    }

    /// Returns whether bodies may be read without a plan.
    pub fn is_calm(&self, held: u64, limits: &UploadLimits) -> bool {
        self.waiting == 0 && held <= limits.share(SLOW_SHARE)
    }

    /// Decides anew which bodies are read on. `held` is what all bodies hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbudget::{UploadLimits, UploadTable};
    /// use std::time::Duration;
    ///
    /// let limits = UploadLimits { bodies: 8_000_000, body: 4_000_000, waiting: 0, has_workspaces: true };
    /// let mut table = UploadTable::default();
    /// for key in 0..3 {
    ///     let declared = Some(4_000_000);
    ///     table.begin(key, "desk", declared, 0, &limits, Duration::ZERO).unwrap();
    ///     table.record(key, 1_500_000, Duration::ZERO);
    /// }
    /// let plan = table.plan(4_500_000, &limits, Duration::ZERO);
    /// // Only one of them fits as a whole besides what the others hold; it is
    /// // completed at the cost of the newest one.
    /// assert_eq!(plan.refused, [2]);
    /// assert!(!table.waits(0) && table.waits(1));
    /// ```
    pub fn plan(&mut self, held: u64, limits: &UploadLimits, now: Duration) -> UploadPlan<K> {
        let mut workspaces = self.accepted.clone();
        for upload in self.uploads.values() {
            *workspaces.entry(upload.workspace.clone()).or_default() += upload.held(limits);
        }
        let mut budget = PlanBudget {
            limits,
            used: held,
            workspaces,
        };
        let mut refused = Vec::new();
        while budget.used > limits.bodies
            && let Some(victim) = self
                .stalled_victim(None, &refused, &budget, now)
                .or_else(|| self.newest_victim(None, &refused, &budget, now))
        {
            budget.release(&self.uploads[&victim]);
            refused.push(victim);
        }
        let mut reading = Vec::new();
        let mut queues = self.queues(limits, now);
        while let Some(key) = next_of_lightest(&mut queues, &budget) {
            let upload = &self.uploads[&key];
            let remaining = upload.remaining(limits);
            let workspace = upload.workspace.clone();
            while let Some(shortage) = budget.shortage(&workspace, remaining) {
                let next = Some((key, shortage));
                let mut victim = self.stalled_victim(next, &refused, &budget, now);
                if victim.is_none() && reading.is_empty() {
                    victim = self.newest_victim(next, &refused, &budget, now);
                }
                let Some(victim) = victim else {
                    break;
                };
                budget.release(&self.uploads[&victim]);
                refused.push(victim);
            }
            if !refused.contains(&key) && budget.shortage(&workspace, remaining).is_none() {
                budget.commit(&workspace, remaining);
                reading.push(key);
            }
        }
        for key in &refused {
            self.end(*key);
        }
        let (resumed, paused) = self.apply(&reading, now);
        UploadPlan {
            resumed,
            paused,
            refused,
        }
    }

    /// Returns the bodies of each workspace that haven't stalled, best first; those
    /// that have stalled are read when they send again.
    fn queues(&self, limits: &UploadLimits, now: Duration) -> IndexMap<String, Vec<K>> {
        let mut queues: IndexMap<String, Vec<K>> = IndexMap::new();
        for (key, upload) in &self.uploads {
            if !upload.has_stalled(now) {
                queues
                    .entry(upload.workspace.clone())
                    .or_default()
                    .push(*key);
            }
        }
        for queue in queues.values_mut() {
            queue.sort_by_key(|key| self.uploads[key].remaining(limits));
            queue.reverse();
        }
        queues
    }

    /// Returns the bodies that may be given up for the completion of `next`, or so that
    /// the bodies fit into their limit, the newest first.
    fn candidates<'a>(
        &'a self,
        next: Option<(K, Shortage)>,
        refused: &'a [K],
        budget: &'a PlanBudget<'_>,
    ) -> impl Iterator<Item = (K, &'a Upload)> {
        let own = next.map(|(key, _)| self.uploads[&key].workspace.as_str());
        let is_own_only = matches!(next, Some((_, Shortage::Workspace)));
        let others = self
            .uploads
            .iter()
            .rev()
            .map(|(key, upload)| (*key, upload));
        others.filter(move |(key, upload)| {
            let helps = !is_own_only || own == Some(upload.workspace.as_str());
            let is_next = next.is_some_and(|(next, _)| next == *key);
            helps && !is_next && upload.held(budget.limits) > 0 && !refused.contains(key)
        })
    }

    /// Returns the body to give up that has stalled for longest in the workspace that
    /// holds most.
    fn stalled_victim(
        &self,
        next: Option<(K, Shortage)>,
        refused: &[K],
        budget: &PlanBudget<'_>,
        now: Duration,
    ) -> Option<K> {
        let candidates = self.candidates(next, refused, budget);
        let stalled = candidates.filter(|(_, upload)| upload.has_stalled(now));
        let victim = stalled
            .max_by_key(|(_, upload)| (budget.own(&upload.workspace), Reverse(upload.last_byte)));
        victim.map(|(key, _)| key)
    }

    /// Returns the newest body of the workspace that holds most. While accepted requests
    /// hold bytes, which they free by themselves, a body is given up for another one of
    /// its workspace only if it has waited for long.
    fn newest_victim(
        &self,
        next: Option<(K, Shortage)>,
        refused: &[K],
        budget: &PlanBudget<'_>,
        now: Duration,
    ) -> Option<K> {
        let weight = |upload: &Upload| budget.own(&upload.workspace);
        let candidates = || self.candidates(next, refused, budget);
        let heaviest = candidates().map(|(_, upload)| weight(upload)).max()?;
        let (key, upload) = candidates().find(|(_, upload)| weight(upload) == heaviest)?;
        let own = next.map(|(key, _)| weight(&self.uploads[&key]));
        let is_fair = own.is_none_or(|own| heaviest > own);
        let has_waited = now.saturating_sub(upload.last_byte) >= STALL_TIME;
        let is_freed = self.accepted.values().any(|bytes| *bytes > 0);
        (is_fair || has_waited || !is_freed).then_some(key)
    }

    /// Lets the given bodies and stalled ones be read, and the others wait; returns
    /// those that are resumed and those that are paused.
    fn apply(&mut self, reading: &[K], now: Duration) -> (Vec<K>, Vec<K>) {
        let (mut resumed, mut paused) = (Vec::new(), Vec::new());
        let is_read: IndexMap<K, ()> = reading.iter().map(|key| (*key, ())).collect();
        self.waiting = 0;
        for (key, upload) in &mut self.uploads {
            let waits = !is_read.contains_key(key) && !upload.has_stalled(now);
            if upload.waits && !waits {
                upload.last_byte = now;
                resumed.push(*key);
            } else if waits && !upload.waits {
                paused.push(*key);
            }
            upload.waits = waits;
            self.waiting += usize::from(waits);
        }
        (resumed, paused)
    }
}

/// Takes the best body of the workspace that holds or was committed least.
fn next_of_lightest<K>(
    queues: &mut IndexMap<String, Vec<K>>,
    budget: &PlanBudget<'_>,
) -> Option<K> {
    let weight = |name: &str| budget.workspaces.get(name).copied().unwrap_or(0);
    let waiting = queues.iter_mut().filter(|(_, queue)| !queue.is_empty());
    let (_, queue) = waiting.min_by_key(|(name, _)| weight(name))?;
    queue.pop()
}
