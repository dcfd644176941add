//! Choice of the VMs that receive a heartbeat request in a round.
//!
//! A small fleet is a full mesh. In a large one each VM sends requests to its
//! successors on two rings (its data centre and the whole fleet), to some VMs
//! with outstanding grants, and to some random ones, so that the number of
//! heartbeats per VM doesn't grow with the fleet.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::seq::index::sample;

use super::member::{Liveness, MemberRecord};
use crate::ids::{DataCentreName, VmId};

/// Interval between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Number of other live VMs up to which each round targets all of them.
const FULL_MESH_LIMIT: usize = 8;

/// Targets per round among the successors in the same data centre.
const DATA_CENTRE_SUCCESSORS: usize = 2;

/// Targets per round among the successors in the whole fleet.
const FLEET_SUCCESSORS: usize = 1;

/// Targets per round among the VMs with outstanding grants.
const GRANT_PEER_TARGETS: usize = 2;

/// Random targets per round.
const RANDOM_TARGETS: usize = 1;

/// Targets per round among the VMs with an unanswered request.
const UNANSWERED_TARGETS: usize = 4;

/// Targets per round among the VMs that have sent no heartbeat yet.
const UNSEEN_TARGETS: usize = 8;

/// Random VMs that receive a change at once.
const GOSSIP_FANOUT: usize = 8;

/// Targets per round among the dead VMs, to detect their recovery.
const DEAD_TARGETS: usize = 1;

/// Inputs of the choice of targets.
pub(super) struct TargetSelector<'a> {
    pub(super) members: &'a IndexMap<VmId, MemberRecord>,
    pub(super) outstanding_grants: &'a IndexMap<VmId, usize>,
    pub(super) ring_position: u64,
    pub(super) data_centre: &'a DataCentreName,
    /// Number of the round, which rotates through the VMs with outstanding grants.
    pub(super) round: usize,
}

/// A VM with its record.
pub(super) type MemberEntry<'a> = (&'a VmId, &'a MemberRecord);

impl<'a> TargetSelector<'a> {
    /// Returns the targets of this round, without duplicates.
    pub(super) fn select(&self, rng: &mut impl Rng) -> IndexSet<VmId> {
        let (dead, alive): (Vec<MemberEntry<'a>>, Vec<MemberEntry<'a>>) = self
            .members
            .iter()
            .partition(|(_, record)| record.liveness == Liveness::Dead);
        let mut targets = IndexSet::new();
        if alive.len() <= FULL_MESH_LIMIT {
            targets.extend(alive.iter().map(|(vm, _)| *vm));
        } else {
            self.add_unanswered(&mut targets, &alive);
            self.add_successors(&mut targets, &alive);
            self.add_grant_peers(&mut targets);
            self.add_unseen(&mut targets, &alive);
            add_random(&mut targets, &alive, RANDOM_TARGETS, rng);
        }
        add_random(&mut targets, &dead, DEAD_TARGETS, rng);
        targets.into_iter().cloned().collect()
    }

    fn add_unanswered(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let unanswered = alive.iter().filter(|(_, record)| record.awaiting_reply);
        targets.extend(unanswered.take(UNANSWERED_TARGETS).map(|(vm, _)| *vm));
    }

    fn add_successors(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let same_data_centre = alive
            .iter()
            .filter(|(_, record)| record.endpoint.data_centre == *self.data_centre);
        targets.extend(self.nearest(same_data_centre, DATA_CENTRE_SUCCESSORS));
        targets.extend(self.nearest(alive.iter(), FLEET_SUCCESSORS));
    }

    fn add_grant_peers(&self, targets: &mut IndexSet<&'a VmId>) {
        let peers = self.outstanding_grants.keys();
        let alive: Vec<&VmId> = peers.filter(|vm| self.is_alive(vm)).collect();
        let start = self.round.wrapping_mul(GRANT_PEER_TARGETS);
        for offset in 0..GRANT_PEER_TARGETS.min(alive.len()) {
            let index = start.wrapping_add(offset) % alive.len();
            targets.insert(alive[index]);
        }
    }

    fn add_unseen(&self, targets: &mut IndexSet<&'a VmId>, alive: &[MemberEntry<'a>]) {
        let unseen = alive
            .iter()
            .filter(|(_, record)| record.last_seen_at.is_none() && !record.awaiting_reply);
        targets.extend(self.nearest(unseen, UNSEEN_TARGETS));
    }

    fn is_alive(&self, vm: &VmId) -> bool {
        self.members
            .get(vm)
            .is_some_and(|record| record.liveness != Liveness::Dead)
    }

    /// Returns the first `count` candidates after the local VM's position on the ring.
    fn nearest<'b>(
        &self,
        candidates: impl Iterator<Item = &'b MemberEntry<'a>>,
        count: usize,
    ) -> Vec<&'a VmId>
    where
        'a: 'b,
    {
        // The nearest ones are kept sorted, so that most candidates cost one comparison.
        let mut nearest: Vec<(u64, &VmId)> = Vec::with_capacity(count + 1);
        for (vm, record) in candidates {
            let distance = record.ring_position.wrapping_sub(self.ring_position);
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

/// Returns up to [`GOSSIP_FANOUT`] random VMs that aren't dead.
pub(super) fn random_alive<'a>(
    members: &'a IndexMap<VmId, MemberRecord>,
    rng: &mut impl Rng,
) -> Vec<MemberEntry<'a>> {
    let alive: Vec<MemberEntry<'a>> = members
        .iter()
        .filter(|(_, record)| record.liveness != Liveness::Dead)
        .collect();
    let amount = GOSSIP_FANOUT.min(alive.len());
    let indices = sample(rng, alive.len(), amount);
    indices.into_iter().map(|index| alive[index]).collect()
}

/// Adds up to `count` distinct random candidates.
fn add_random<'a>(
    targets: &mut IndexSet<&'a VmId>,
    candidates: &[MemberEntry<'a>],
    count: usize,
    rng: &mut impl Rng,
) {
    let amount = count.min(candidates.len());
    let indices = sample(rng, candidates.len(), amount);
    targets.extend(indices.into_iter().map(|index| candidates[index].0));
}
