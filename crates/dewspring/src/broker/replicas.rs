//! The servers of one pool, with the indexes that keep choices fast.
//!
//! Every change of a server goes through [`ReplicaSet::change`], which brings
//! the indexes up to date.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::control::ShareDivisor;
use super::health::{HealthPaces, HealthSample, median_of};
use super::pace::DEFAULT_PACE;
use super::replica::{ReplicaId, ReplicaState};
use super::status::{ServerChange, ServerStatus};
use crate::ids::{ServerName, TokenCount};
use crate::rendezvous::HashRing;
use crate::tables::ServerRow;

/// One server in so many may be ejected or on probe.
const MAX_OUT_FRACTION: usize = 3;

/// Changes of servers' states that are kept for the log.
const MAX_CHANGES: usize = 10_000;

/// What the indexes hold of one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct IndexedState {
    /// Delay in microseconds, if the server is free.
    delay: Option<u64>,
    /// Slots, if the server is serving and fit.
    slots: u32,
    is_serving: bool,
    is_out: bool,
    is_free_for_probe: bool,
}

impl IndexedState {
    fn of(state: &ReplicaState, pool_pace: f64) -> Self {
        let is_active = state.is_serving() && !state.is_out();
        let delay = state.delay(pool_pace) * 1e6;
        Self {
            delay: state.is_free().then_some(delay as u64),
            slots: if is_active { state.share_of_slots() } else { 0 },
            is_serving: state.is_serving(),
            is_out: state.is_out(),
            is_free_for_probe: state.is_free_for_probe(),
        }
    }
}

#[derive(Debug)]
struct ReplicaRow {
    state: ReplicaState,
    indexed: IndexedState,
}

/// The servers of one pool.
#[derive(Debug)]
pub(super) struct ReplicaSet {
    rows: IndexMap<ReplicaId, ReplicaRow>,
    ids: IndexMap<ServerName, ReplicaId>,
    free: BTreeSet<(u64, ReplicaId)>,
    probes: BTreeSet<ReplicaId>,
    out: BTreeSet<ReplicaId>,
    ring: HashRing<ReplicaId>,
    next_id: ReplicaId,
    serving_slots: u64,
    serving_count: usize,
    pool_pace: f64,
    median: HealthPaces,
    changes: Vec<ServerChange>,
}

impl Default for ReplicaSet {
    fn default() -> Self {
        Self {
            rows: IndexMap::new(),
            ids: IndexMap::new(),
            free: BTreeSet::new(),
            probes: BTreeSet::new(),
            out: BTreeSet::new(),
            ring: HashRing::default(),
            next_id: 0,
            serving_slots: 0,
            serving_count: 0,
            pool_pace: DEFAULT_PACE,
            median: HealthPaces::default(),
            changes: Vec::new(),
        }
    }
}

impl ReplicaSet {
    /// Seconds for each token of a request's work, by which servers are judged
    /// that have shown little.
    pub(super) fn pool_pace(&self) -> f64 {
        self.pool_pace
    }

    /// Follows the pool's pace.
    pub(super) fn set_pool_pace(&mut self, pool_pace: f64) {
        self.pool_pace = pool_pace;
        for id in self.ids() {
            self.change(id, |_| ());
        }
    }

    /// Whether no server is known.
    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether any server takes new work at all.
    pub(super) fn is_serving(&self) -> bool {
        self.serving_count > 0
    }

    /// Whether any server takes new work that isn't among `excluded`.
    pub(super) fn is_serving_beside(&self, excluded: &[ServerName]) -> bool {
        if self.serving_count > excluded.len() {
            return true;
        }
        let states = self.rows.values().map(|row| &row.state);
        let mut serving = states.filter(|state| state.is_serving());
        serving.any(|state| !excluded.contains(&state.name))
    }

    /// Slots of the servers that take new work, those included that others
    /// fill now.
    pub(super) fn serving_slots(&self) -> u32 {
        u32::try_from(self.serving_slots).unwrap_or(u32::MAX)
    }

    /// Lists the servers that may get one more request, the least delayed
    /// first.
    pub(super) fn free(&self) -> impl Iterator<Item = ReplicaId> {
        self.free.iter().map(|&(_, replica)| replica)
    }

    /// Lists the servers that wait for a request as a probe.
    pub(super) fn probes(&self) -> impl Iterator<Item = ReplicaId> {
        self.probes.iter().copied()
    }

    /// The servers by the hash of their name.
    pub(super) fn ring(&self) -> &HashRing<ReplicaId> {
        &self.ring
    }

    /// Returns a server.
    pub(super) fn get(&self, replica: ReplicaId) -> Option<&ReplicaState> {
        self.rows.get(&replica).map(|row| &row.state)
    }

    /// Returns the number of a server.
    pub(super) fn id(&self, server: &ServerName) -> Option<ReplicaId> {
        self.ids.get(server).copied()
    }

    /// Lists the numbers of all servers.
    pub(super) fn ids(&self) -> Vec<ReplicaId> {
        self.rows.keys().copied().collect()
    }

    /// Follows the rows of the pools table.
    pub(super) fn configure(&mut self, servers: &[ServerRow], share: ShareDivisor) {
        let listed = servers.iter().map(|server| &server.name);
        let listed = listed.collect::<IndexSet<_>>();
        for id in self.ids() {
            if !listed.contains(&self.rows[&id].state.name) {
                self.change(id, ReplicaState::unlist);
            }
        }
        for server in servers {
            match self.id(&server.name) {
                Some(id) => self.change(id, |state| state.configure(server)),
                None => self.insert(ReplicaState::new(server, share)),
            }
        }
        self.forget_gone();
        self.keep_limit();
    }

    /// Ends a grant, and ejects the server if it fails too often.
    pub(super) fn end(
        &mut self,
        id: ReplicaId,
        work: TokenCount,
        sample: Option<&HealthSample>,
        now: Instant,
    ) {
        let median = self.median;
        self.change(id, |state| state.end(work, sample, median, now));
        self.eject_if(id, now, |state| state.health().is_failing());
        if self.get(id).is_some_and(ReplicaState::is_gone) {
            self.forget(id);
        }
    }

    /// Compares the servers with each other, ejects the unfit and lets the
    /// ejected be probed.
    ///
    /// A slow server still does some work, so it is ejected only while nothing
    /// is `queued`, and comes back when something is.
    pub(super) fn review(&mut self, queued: usize, now: Instant) {
        let states = self.rows.values().map(|row| &row.state);
        let serving = states.filter(|state| state.is_serving());
        let median = median_of(serving.map(|state| state.health().paces(now)));
        self.median = median;
        for id in self.ids() {
            self.change(id, |state| state.review(median, now));
            self.eject_if(id, now, |state| state.health().is_failing());
            if queued == 0 {
                self.eject_if(id, now, |state| state.health().is_slow());
            }
        }
        if queued > 0 {
            self.reinstate_slow();
        }
        self.keep_limit();
    }

    fn reinstate_slow(&mut self) {
        let rows = self.out.iter().map(|id| (id, &self.rows[id].state));
        let mut slow = rows.filter(|(_, state)| state.health().is_out_for_slowness());
        let id = slow.next().map(|(&id, _)| id);
        if let Some(id) = id {
            self.change(id, ReplicaState::reinstate);
        }
    }

    /// Takes servers back while more than the limit are out.
    pub(super) fn keep_limit(&mut self) {
        while self.out.len() > self.out_limit() {
            let id = self.out.first().copied();
            let id = id.expect("some server is out");
            self.change(id, ReplicaState::reinstate);
        }
    }

    /// Number of servers that may be out: never more than a third.
    fn out_limit(&self) -> usize {
        self.serving_count / MAX_OUT_FRACTION
    }

    fn eject_if(
        &mut self,
        id: ReplicaId,
        now: Instant,
        is_unfit: impl FnOnce(&ReplicaState) -> bool,
    ) {
        let state = self.get(id).expect("the server is known");
        let is_unfit = state.is_serving() && is_unfit(state);
        if is_unfit && self.out.len() < self.out_limit() {
            self.change(id, |state| state.eject(now));
        }
    }

    /// Changes a server and brings the indexes up to date.
    pub(super) fn change<T>(
        &mut self,
        id: ReplicaId,
        change: impl FnOnce(&mut ReplicaState) -> T,
    ) -> T {
        let row = self.rows.get_mut(&id).expect("the server is known");
        let state = row.state.state();
        let result = change(&mut row.state);
        let server = &row.state;
        if server.state() != state && self.changes.len() < MAX_CHANGES {
            self.changes.push(ServerChange {
                server: server.name.clone(),
                state: server.state(),
            });
        }
        let indexed = IndexedState::of(&row.state, self.pool_pace);
        let before = std::mem::replace(&mut row.indexed, indexed);
        self.reindex(id, before, indexed);
        result
    }

    /// Forgets the servers that have left the table and are idle.
    fn forget_gone(&mut self) {
        let gone = self.rows.iter().filter(|(_, row)| row.state.is_gone());
        let gone = gone.map(|(&id, _)| id).collect::<Vec<_>>();
        for id in gone {
            self.forget(id);
        }
    }

    /// Takes the changes of servers' states since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<ServerChange> {
        std::mem::take(&mut self.changes)
    }

    /// Describes the servers to operators.
    pub(super) fn status(&self) -> Vec<ServerStatus> {
        self.rows.values().map(|row| row.state.status()).collect()
    }

    fn insert(&mut self, state: ReplicaState) {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(state.name.clone(), id);
        self.ring.insert(state.name_hash, id);
        let indexed = IndexedState::of(&state, self.pool_pace);
        self.rows.insert(id, ReplicaRow { state, indexed });
        self.reindex(id, IndexedState::default(), indexed);
    }

    fn forget(&mut self, id: ReplicaId) {
        let row = self.rows.shift_remove(&id).expect("the server is known");
        self.reindex(id, row.indexed, IndexedState::default());
        self.ids.swap_remove(&row.state.name);
        self.ring.remove(row.state.name_hash);
    }

    fn reindex(&mut self, id: ReplicaId, before: IndexedState, after: IndexedState) {
        if before == after {
            return;
        }
        if let Some(delay) = before.delay {
            self.free.remove(&(delay, id));
        }
        if let Some(delay) = after.delay {
            self.free.insert((delay, id));
        }
        set_member(&mut self.probes, id, after.is_free_for_probe);
        set_member(&mut self.out, id, after.is_out);
        self.serving_slots += u64::from(after.slots);
        self.serving_slots -= u64::from(before.slots);
        self.serving_count += usize::from(after.is_serving);
        self.serving_count -= usize::from(before.is_serving);
    }
}

fn set_member(set: &mut BTreeSet<ReplicaId>, id: ReplicaId, is_member: bool) {
    match is_member {
        true => set.insert(id),
        false => set.remove(&id),
    };
}
