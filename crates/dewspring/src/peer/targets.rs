//! Whom a VM sends heartbeats to.
//!
//! A small fleet is a full mesh. In a large one each VM asks its successors on
//! two rings (its data centre and the whole fleet), some VMs with which grants
//! are outstanding, and some random ones, so that the number of heartbeats of
//! a VM doesn't grow with the fleet.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::seq::index::sample;

use super::member::{Liveness, MemberRecord};
use crate::ids::{DataCentreName, VmId};

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Number of other VMs up to which all of them are asked.
const FULL_MESH_LIMIT: usize = 8;

/// Successors asked on the ring of the own data centre.
const NEAR_SUCCESSORS: usize = 2;

/// Successors asked on the ring of the whole fleet.
const FLEET_SUCCESSORS: usize = 1;

/// VMs with outstanding grants asked in one round.
const GRANT_PARTNERS: usize = 2;

/// Random VMs asked in one round.
const RANDOM_TARGETS: usize = 1;

/// Silent VMs asked again in one round.
const SILENT_TARGETS: usize = 4;

/// VMs of which nothing was heard yet, asked in one round.
const UNHEARD_TARGETS: usize = 8;

/// Random VMs that hear of a new revision at once.
const SPREAD_TARGETS: usize = 8;

/// Dead VMs asked in one round, to notice that they are back.
const DEAD_TARGETS: usize = 1;

/// What the choice depends on.
pub(super) struct TargetChoice<'a> {
    pub(super) members: &'a IndexMap<VmId, MemberRecord>,
    pub(super) partners: &'a IndexMap<VmId, usize>,
    pub(super) position: u64,
    pub(super) data_centre: &'a DataCentreName,
    /// Number of the round, from which partners take turns.
    pub(super) round: usize,
}

/// A VM with its record.
pub(super) type MemberEntry<'a> = (&'a VmId, &'a MemberRecord);

impl<'a> TargetChoice<'a> {
    /// Returns the VMs to ask in this round, each once.
    pub(super) fn choose(&self, rng: &mut impl Rng) -> IndexSet<VmId> {
        let (dead, alive): (Vec<MemberEntry<'a>>, Vec<MemberEntry<'a>>) = self
            .members
            .iter()
            .partition(|(_, record)| record.liveness == Liveness::Dead);
        let mut targets = IndexSet::new();
        if alive.len() <= FULL_MESH_LIMIT {
            targets.extend(alive.iter().map(|(vm, _)| *vm));
        } else {
            self.add_silent(&mut targets, &alive);
            self.add_successors(&mut targets, &alive);
            self.add_partners(&mut targets);
            self.add_unheard(&mut targets, &alive);
            add_random(&mut targets, &alive, RANDOM_TARGETS, rng);
        }
        add_random(&mut targets, &dead, DEAD_TARGETS, rng);
        targets.into_iter().cloned().collect()
    }

    fn add_silent(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let silent = alive.iter().filter(|(_, record)| record.waiting);
        targets.extend(silent.take(SILENT_TARGETS).map(|(vm, _)| *vm));
    }

    fn add_successors(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let near = alive
            .iter()
            .filter(|(_, record)| record.endpoint.data_centre == *self.data_centre);
        targets.extend(self.nearest(near, NEAR_SUCCESSORS));
        targets.extend(self.nearest(alive.iter(), FLEET_SUCCESSORS));
    }

    fn add_partners(&self, targets: &mut IndexSet<&'a VmId>) {
        let partners = self.partners.keys();
        let alive: Vec<&VmId> = partners.filter(|vm| self.is_alive(vm)).collect();
        let start = self.round.wrapping_mul(GRANT_PARTNERS);
        for turn in 0..GRANT_PARTNERS.min(alive.len()) {
            let index = start.wrapping_add(turn) % alive.len();
            targets.insert(alive[index]);
        }
    }

    fn add_unheard(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let unheard = alive
            .iter()
            .filter(|(_, record)| record.heard_at.is_none() && !record.waiting);
        targets.extend(self.nearest(unheard, UNHEARD_TARGETS));
    }

    fn is_alive(&self, vm: &VmId) -> bool {
        self.members
            .get(vm)
            .is_some_and(|record| record.liveness != Liveness::Dead)
    }

    /// Returns the first VMs after the own position on a ring.
    fn nearest<'b>(
        &self,
        candidates: impl Iterator<Item = &'b MemberEntry<'a>>,
        count: usize,
    ) -> Vec<&'a VmId>
    where
        'a: 'b,
    {
        // The few that are wanted are kept sorted, so that the others cost one
        // comparison each.
        let mut nearest: Vec<(u64, &VmId)> = Vec::with_capacity(count + 1);
        for (vm, record) in candidates {
            let distance = record.position.wrapping_sub(self.position);
            let is_full = nearest.len() == count;
            if is_full && nearest.last().is_none_or(|last| *last <= (distance, *vm)) {
                continue;
            }
            let index = nearest.partition_point(|other| *other < (distance, *vm));
            nearest.insert(index, (distance, *vm));
            nearest.truncate(count);
        }
        nearest.into_iter().map(|(_, vm)| vm).collect()
    }
}

/// Returns some random VMs that are not dead.
pub(super) fn random_alive<'a>(
    members: &'a IndexMap<VmId, MemberRecord>,
    rng: &mut impl Rng,
) -> Vec<MemberEntry<'a>> {
    let alive: Vec<MemberEntry<'a>> = members
        .iter()
        .filter(|(_, record)| record.liveness != Liveness::Dead)
        .collect();
    let amount = SPREAD_TARGETS.min(alive.len());
    let drawn = sample(rng, alive.len(), amount);
    drawn.into_iter().map(|index| alive[index]).collect()
}

/// Adds some candidates at random, each once.
fn add_random<'a>(
    targets: &mut IndexSet<&'a VmId>,
    candidates: &[MemberEntry<'a>],
    count: usize,
    rng: &mut impl Rng,
) {
    let amount = count.min(candidates.len());
    let drawn = sample(rng, candidates.len(), amount);
    targets.extend(drawn.into_iter().map(|index| candidates[index].0));
}
