//! The servers (replicas) of one pool, indexed for fast choices.
//!
//! Every change to a server goes through [`ReplicaSet::update`], which updates
//! the indexes.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::control::ShareDivisor;
use super::health::{HealthSample, TokenTimes, median_times};
use super::replica::{ReplicaId, ReplicaState};
use super::status::{ServerStateChange, ServerStatus};
use super::time_per_token::DEFAULT_SECONDS_PER_TOKEN;
use crate::ids::{ServerName, TokenCount};
use crate::rendezvous::HashRing;
use crate::tables::ServerRow;

/// At most one serving server in this many may be ejected or being probed.
const EJECTION_LIMIT_DIVISOR: usize = 3;

/// Limit on the state changes that are kept until they are logged.
const MAX_PENDING_CHANGES: usize = 10_000;

/// Values of one server that the indexes depend on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct IndexedState {
    /// Delay in microseconds, if the server is free.
    delay: Option<u64>,
    /// Slots, if the server is serving and healthy.
    slots: u32,
    is_serving: bool,
    is_out_of_rotation: bool,
    is_ready_for_probe: bool,
}

impl IndexedState {
    fn of(state: &ReplicaState, pool_seconds_per_token: f64) -> Self {
        let is_active = state.is_serving() && !state.is_out_of_rotation();
        let delay = state.delay(pool_seconds_per_token) * 1e6;
        Self {
            delay: state.is_free().then_some(delay as u64),
            slots: if is_active { state.slot_share() } else { 0 },
            is_serving: state.is_serving(),
            is_out_of_rotation: state.is_out_of_rotation(),
            is_ready_for_probe: state.is_ready_for_probe(),
        }
    }
}

#[derive(Debug)]
struct IndexedReplica {
    state: ReplicaState,
    indexed: IndexedState,
}

/// The servers of one pool.
#[derive(Debug)]
pub(super) struct ReplicaSet {
    replicas: IndexMap<ReplicaId, IndexedReplica>,
    ids: IndexMap<ServerName, ReplicaId>,
    free: BTreeSet<(u64, ReplicaId)>,
    awaiting_probe: BTreeSet<ReplicaId>,
    out_of_rotation: BTreeSet<ReplicaId>,
    ring: HashRing<ReplicaId>,
    next_id: ReplicaId,
    serving_slots: u64,
    serving_count: usize,
    pool_seconds_per_token: f64,
    median: TokenTimes,
    changes: Vec<ServerStateChange>,
}

impl Default for ReplicaSet {
    fn default() -> Self {
        Self {
            replicas: IndexMap::new(),
            ids: IndexMap::new(),
            free: BTreeSet::new(),
            awaiting_probe: BTreeSet::new(),
            out_of_rotation: BTreeSet::new(),
            ring: HashRing::default(),
            next_id: 0,
            serving_slots: 0,
            serving_count: 0,
            pool_seconds_per_token: DEFAULT_SECONDS_PER_TOKEN,
            median: TokenTimes::default(),
            changes: Vec::new(),
        }
    }
}

impl ReplicaSet {
    /// Returns the average seconds per token of the pool, used for servers with
    /// few samples.
    pub(super) fn pool_seconds_per_token(&self) -> f64 {
        self.pool_seconds_per_token
    }

    /// Sets the average seconds per token of the pool.
    pub(super) fn set_pool_seconds_per_token(&mut self, pool_seconds_per_token: f64) {
        self.pool_seconds_per_token = pool_seconds_per_token;
        for id in self.ids() {
            self.update(id, |_| ());
        }
    }

    /// Returns whether the set has no servers.
    pub(super) fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns whether any server accepts new work.
    pub(super) fn has_serving(&self) -> bool {
        self.serving_count > 0
    }

    /// Returns whether any server that isn't in `excluded` accepts new work.
    pub(super) fn has_serving_except(&self, excluded: &[ServerName]) -> bool {
        if self.serving_count > excluded.len() {
            return true;
        }
        let states = self.replicas.values().map(|replica| &replica.state);
        let mut serving = states.filter(|state| state.is_serving());
        serving.any(|state| !excluded.contains(&state.name))
    }

    /// Returns the slots of the servers that accept new work, including slots
    /// that other brokers fill now.
    pub(super) fn serving_slots(&self) -> u32 {
        u32::try_from(self.serving_slots).unwrap_or(u32::MAX)
    }

    /// Lists the servers that may get one more request, the least delayed
    /// first.
    pub(super) fn free(&self) -> impl Iterator<Item = ReplicaId> {
        self.free.iter().map(|&(_, replica)| replica)
    }

    /// Lists the servers that await a request as a probe.
    pub(super) fn awaiting_probe(&self) -> impl Iterator<Item = ReplicaId> {
        self.awaiting_probe.iter().copied()
    }

    /// Returns the hash ring of the servers' names.
    pub(super) fn ring(&self) -> &HashRing<ReplicaId> {
        &self.ring
    }

    /// Returns a server.
    pub(super) fn get(&self, id: ReplicaId) -> Option<&ReplicaState> {
        self.replicas.get(&id).map(|replica| &replica.state)
    }

    /// Returns the number of a server.
    pub(super) fn id(&self, server: &ServerName) -> Option<ReplicaId> {
        self.ids.get(server).copied()
    }

    /// Lists the numbers of all servers.
    pub(super) fn ids(&self) -> Vec<ReplicaId> {
        self.replicas.keys().copied().collect()
    }

    /// Applies the server rows of the pools table.
    pub(super) fn configure(&mut self, servers: &[ServerRow], share: ShareDivisor) {
        let listed = servers.iter().map(|server| &server.name);
        let listed = listed.collect::<IndexSet<_>>();
        for id in self.ids() {
            if !listed.contains(&self.replicas[&id].state.name) {
                self.update(id, ReplicaState::unlist);
            }
        }
        for server in servers {
            match self.id(&server.name) {
                Some(id) => self.update(id, |state| state.configure(server)),
                None => self.insert(ReplicaState::new(server, share)),
            }
        }
        self.remove_retired();
        self.enforce_ejection_limit();
    }

    /// Ends a grant, and ejects the server if it fails too often.
    pub(super) fn end_grant(
        &mut self,
        id: ReplicaId,
        work: TokenCount,
        sample: Option<&HealthSample>,
        now: Instant,
    ) {
        let median = self.median;
        self.update(id, |state| state.record_end(work, sample, median, now));
        self.eject_if(id, now, |state| state.health().is_failing());
        if self.get(id).is_some_and(ReplicaState::is_retired) {
            self.remove(id);
        }
    }

    /// Compares the servers with each other, ejects the unhealthy ones and lets
    /// ejected ones be probed when their ejection time is over.
    ///
    /// A slow server still does some work, so it is ejected only while nothing
    /// is `queued`, and is reinstated when something is.
    pub(super) fn review(&mut self, queued: usize, now: Instant) {
        let states = self.replicas.values().map(|replica| &replica.state);
        let serving = states.filter(|state| state.is_serving());
        let median = median_times(serving.map(|state| state.health().token_times(now)));
        self.median = median;
        for id in self.ids() {
            self.update(id, |state| state.review(median, now));
            self.eject_if(id, now, |state| state.health().is_failing());
            if queued == 0 {
                self.eject_if(id, now, |state| state.health().is_slow());
            }
        }
        if queued > 0 {
            self.reinstate_slow();
        }
        self.enforce_ejection_limit();
    }

    fn reinstate_slow(&mut self) {
        let replicas = self
            .out_of_rotation
            .iter()
            .map(|id| (id, &self.replicas[id].state));
        let mut slow = replicas.filter(|(_, state)| state.health().is_ejected_for_slowness());
        let id = slow.next().map(|(&id, _)| id);
        if let Some(id) = id {
            self.update(id, ReplicaState::reinstate);
        }
    }

    /// Reinstates servers while more than the limit are ejected or being
    /// probed.
    pub(super) fn enforce_ejection_limit(&mut self) {
        while self.out_of_rotation.len() > self.ejection_limit() {
            let id = self.out_of_rotation.first().copied();
            let id = id.expect("a server is out of rotation");
            self.update(id, ReplicaState::reinstate);
        }
    }

    /// Returns the number of servers that may be ejected or being probed: at
    /// most a third.
    fn ejection_limit(&self) -> usize {
        self.serving_count / EJECTION_LIMIT_DIVISOR
    }

    fn eject_if(
        &mut self,
        id: ReplicaId,
        now: Instant,
        is_unhealthy: impl FnOnce(&ReplicaState) -> bool,
    ) {
        let state = self.get(id).expect("the server is known");
        let is_unhealthy = state.is_serving() && is_unhealthy(state);
        if is_unhealthy && self.out_of_rotation.len() < self.ejection_limit() {
            self.update(id, |state| state.eject(now));
        }
    }

    /// Changes a server and updates the indexes.
    pub(super) fn update<T>(
        &mut self,
        id: ReplicaId,
        change: impl FnOnce(&mut ReplicaState) -> T,
    ) -> T {
        let replica = self.replicas.get_mut(&id).expect("the server is known");
        let state = replica.state.state();
        let result = change(&mut replica.state);
        let server = &replica.state;
        if server.state() != state && self.changes.len() < MAX_PENDING_CHANGES {
            self.changes.push(ServerStateChange {
                server: server.name.clone(),
                state: server.state(),
            });
        }
        let indexed = IndexedState::of(&replica.state, self.pool_seconds_per_token);
        let before = std::mem::replace(&mut replica.indexed, indexed);
        self.reindex(id, before, indexed);
        result
    }

    /// Removes the servers that are unlisted and idle.
    fn remove_retired(&mut self) {
        let retired = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.state.is_retired());
        let retired = retired.map(|(&id, _)| id).collect::<Vec<_>>();
        for id in retired {
            self.remove(id);
        }
    }

    /// Removes and returns the changes of servers' states since the last call.
    pub(super) fn take_state_changes(&mut self) -> Vec<ServerStateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the status of the servers for operators.
    pub(super) fn status(&self) -> Vec<ServerStatus> {
        self.replicas
            .values()
            .map(|replica| replica.state.status())
            .collect()
    }

    fn insert(&mut self, state: ReplicaState) {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(state.name.clone(), id);
        self.ring.insert(state.name_hash, id);
        let indexed = IndexedState::of(&state, self.pool_seconds_per_token);
        self.replicas.insert(id, IndexedReplica { state, indexed });
        self.reindex(id, IndexedState::default(), indexed);
    }

    fn remove(&mut self, id: ReplicaId) {
        let replica = self
            .replicas
            .shift_remove(&id)
            .expect("the server is known");
        self.reindex(id, replica.indexed, IndexedState::default());
        self.ids.swap_remove(&replica.state.name);
        self.ring.remove(replica.state.name_hash);
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
        set_member(&mut self.awaiting_probe, id, after.is_ready_for_probe);
        set_member(&mut self.out_of_rotation, id, after.is_out_of_rotation);
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
