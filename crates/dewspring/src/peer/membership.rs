//! Which VMs are alive, as a state machine without clock, threads or I/O.
//!
//! The platform's lagging list says who may be asked; direct heartbeats
//! correct it, and news in heartbeats carry what others found. Its neighbours
//! are [`super::targets`], which chooses whom to ask, [`super::observe`], which
//! takes in what is heard, and [`super::update_queue`], which holds what is still to be
//! passed on.
//!
//! The main invariant: what a VM says of itself goes before what others say
//! of it, and heartbeats of a boot that was replaced are dropped.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::events::MemberEvent;
use super::member::{HeartbeatTarget, Liveness, MemberRecord, MemberStatus, VmIdentity};
use super::messages::{Heartbeat, Incarnation, VmEndpoint};
use super::targets::{TargetChoice, random_alive};
use super::update_queue::UpdateQueue;
use crate::ids::{PoolName, Revision, VmId};
use crate::rendezvous::{rendezvous_owner, ring_position};
use crate::store::{VmEntry, VmState};

/// Time for which a VM that the list dropped and that is silent is kept.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// All that a VM knows of the fleet.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use dewspring::peer::{MembershipState, VmIdentity, VmEndpoint};
///
/// let endpoint = VmEndpoint {
///     address: "127.0.0.1:7401".parse().unwrap(),
///     data_centre: "dc-1".to_string(),
/// };
/// let identity = VmIdentity { vm: "vm-1".to_string(), boot: 7, endpoint };
/// let mut membership = MembershipState::new(identity);
/// membership.apply_list(Instant::now(), &[]);
/// assert_eq!(membership.broker_for(&"drafting".to_string()), Some("vm-1".to_string()));
/// ```
#[derive(Debug)]
pub struct MembershipState {
    pub(super) identity: VmIdentity,
    pub(super) incarnation: Incarnation,
    draining: bool,
    list_read: bool,
    pub(super) members: IndexMap<VmId, MemberRecord>,
    /// VMs with outstanding grants and the number of these grants.
    partners: IndexMap<VmId, usize>,
    pub(super) update_queue: UpdateQueue,
    pub(super) events: Vec<MemberEvent>,
    round: usize,
}

impl MembershipState {
    /// Returns the state of a VM that knows only itself.
    pub fn new(identity: VmIdentity) -> Self {
        MembershipState {
            identity,
            incarnation: 1,
            draining: false,
            list_read: false,
            members: IndexMap::new(),
            partners: IndexMap::new(),
            update_queue: UpdateQueue::default(),
            events: Vec::new(),
            round: 0,
        }
    }

    /// Takes in the platform's list.
    pub fn apply_list(&mut self, now: Instant, list: &[VmEntry]) {
        self.list_read = true;
        let listed: IndexSet<&VmId> = list.iter().map(|entry| &entry.vm).collect();
        for (vm, record) in &mut self.members {
            if !listed.contains(vm) {
                record.unlisted_since.get_or_insert(now);
            }
        }
        for entry in list {
            self.apply_entry(entry);
        }
    }

    /// Begins a round of heartbeats and returns whom to ask.
    ///
    /// It is called once for each [`HEARTBEAT_INTERVAL`](super::HEARTBEAT_INTERVAL). A question of an
    /// earlier round that has no answer yet counts as missed.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        self.count_misses();
        self.forget_lost(now);
        self.round = self.round.wrapping_add(1);
        let choice = TargetChoice {
            members: &self.members,
            partners: &self.partners,
            position: ring_position(&self.identity.vm),
            data_centre: &self.identity.endpoint.data_centre,
            round: self.round,
        };
        let chosen = choice.choose(rng);
        chosen.into_iter().map(|vm| self.ask(vm)).collect()
    }

    /// Returns the heartbeat that asks `recipient`.
    pub fn question(&mut self, recipient: &VmId, revision: Revision) -> Heartbeat {
        let endpoint = Some(self.identity.endpoint.clone());
        self.heartbeat(recipient, revision, endpoint)
    }

    /// Returns the heartbeat that answers the one of another VM.
    ///
    /// A VM that is known under another boot is sent that entry and refutes it.
    pub fn answer(&mut self, question: &Heartbeat, revision: Revision) -> Heartbeat {
        let mut answer = self.heartbeat(&question.vm, revision, None);
        if let Some(record) = self.members.get(&question.vm)
            && record.boot != Some(question.boot)
        {
            answer.updates.extend(record.liveness_update(&question.vm));
        }
        answer
    }

    /// Says from now on that this VM is about to leave.
    pub fn set_draining(&mut self) {
        if !self.draining {
            self.draining = true;
            self.incarnation = self.incarnation.saturating_add(1);
        }
    }

    /// Whether this VM says that it is about to leave.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Notes a grant between this VM and another one.
    pub fn open_grant(&mut self, partner: &VmId) {
        *self.partners.entry(partner.clone()).or_insert(0) += 1;
    }

    /// Notes the end of a grant between this VM and another one.
    pub fn close_grant(&mut self, partner: &VmId) {
        if let Some(count) = self.partners.get_mut(partner) {
            *count -= 1;
            if *count == 0 {
                self.partners.swap_remove(partner);
            }
        }
    }

    /// Returns the VM that is the broker of a pool; leaving VMs are none.
    ///
    /// Returns `None` when this VM leaves and no other one is alive.
    pub fn broker_for(&self, pool: &PoolName) -> Option<VmId> {
        let vms = self.eligible_vms();
        rendezvous_owner(pool, vms.iter()).cloned()
    }

    /// Returns the VMs that may be brokers, this one included.
    pub fn eligible_vms(&self) -> Vec<VmId> {
        let eligible = self.members.iter().filter(|(_, r)| r.is_eligible());
        let mut vms: Vec<VmId> = eligible.map(|(vm, _)| vm.clone()).collect();
        if !self.draining {
            vms.push(self.identity.vm.clone());
        }
        vms
    }

    /// Returns the status of all other VMs, in the order of their names.
    pub fn members(&self, now: Instant) -> Vec<MemberStatus> {
        let mut members: Vec<MemberStatus> = self
            .members
            .iter()
            .map(|(vm, record)| member_status(now, vm, record))
            .collect();
        members.sort_by(|left, right| left.vm.cmp(&right.vm));
        members
    }

    /// Returns the status of one other VM, if it is known.
    pub fn member(&self, now: Instant, vm: &VmId) -> Option<MemberStatus> {
        let record = self.members.get(vm)?;
        Some(member_status(now, vm, record))
    }

    /// Returns some random VMs that are to hear of a new revision at once.
    pub fn spread_targets(&self, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        random_alive(&self.members, rng)
            .into_iter()
            .map(|(vm, record)| HeartbeatTarget {
                vm: vm.clone(),
                endpoint: record.endpoint.clone(),
            })
            .collect()
    }

    /// Whether each VM that may be asked has answered or is dead.
    ///
    /// Those are the VMs on the list. Until the list can be read, they are
    /// those that have spoken to this VM or were named by one that has, and
    /// there must be one.
    pub fn all_peers_contacted(&self) -> bool {
        let is_settled = |r: &MemberRecord| r.heard_at.is_some() || r.liveness == Liveness::Dead;
        let mut members = self.members.values();
        if self.list_read {
            let mut listed = members.filter(|record| record.unlisted_since.is_none());
            return listed.all(is_settled);
        }
        let has_heard = self.members.values().any(|r| r.heard_at.is_some());
        has_heard && members.all(is_settled)
    }

    /// Whether any other VM is known.
    pub fn knows_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    fn apply_entry(&mut self, entry: &VmEntry) {
        if entry.vm == self.identity.vm {
            if entry.state == VmState::Leaving {
                self.set_draining();
            }
            return;
        }
        let endpoint = VmEndpoint {
            address: entry.address,
            data_centre: entry.data_centre.clone(),
        };
        let record = self
            .members
            .entry(entry.vm.clone())
            .or_insert_with(|| MemberRecord::new(endpoint.clone(), ring_position(&entry.vm)));
        record.endpoint = endpoint;
        record.list_state = entry.state;
        record.unlisted_since = None;
    }

    pub(super) fn add_unlisted(&mut self, now: Instant, vm: &VmId, endpoint: VmEndpoint) {
        let mut record = MemberRecord::new(endpoint, ring_position(vm));
        record.unlisted_since = Some(now);
        self.members.insert(vm.clone(), record);
    }

    fn count_misses(&mut self) {
        let waiting = self.members.iter_mut().filter(|(_, r)| r.waiting);
        let dead: Vec<VmId> = waiting
            .filter_map(|(vm, record)| record.count_miss().then(|| vm.clone()))
            .collect();
        for vm in dead {
            self.note_death(&vm);
        }
    }

    /// Tells the other duties and the fleet that a VM is dead.
    fn note_death(&mut self, vm: &VmId) {
        self.partners.swap_remove(vm);
        self.events.push(MemberEvent::Died(vm.clone()));
        let record = &self.members[vm];
        if let Some(boot) = record.boot {
            self.events.push(MemberEvent::BootEnded(vm.clone(), boot));
        }
        self.update_queue.push_some(record.liveness_update(vm));
    }

    fn forget_lost(&mut self, now: Instant) {
        let lost = |since: Instant| now.saturating_duration_since(since) >= FORGET_AFTER;
        let update_queue = &mut self.update_queue;
        let partners = &mut self.partners;
        self.members.retain(|vm, record| {
            let keep = !record.unlisted_since.is_some_and(lost)
                || record.heard_at.is_some_and(|heard| !lost(heard));
            if !keep {
                update_queue.remove(vm);
                partners.swap_remove(vm);
            }
            keep
        });
    }

    fn ask(&mut self, vm: VmId) -> HeartbeatTarget {
        let record = &mut self.members[&vm];
        record.waiting = true;
        let endpoint = record.endpoint.clone();
        HeartbeatTarget { vm, endpoint }
    }

    fn heartbeat(
        &mut self,
        recipient: &VmId,
        revision: Revision,
        endpoint: Option<VmEndpoint>,
    ) -> Heartbeat {
        Heartbeat {
            vm: self.identity.vm.clone(),
            boot: self.identity.boot,
            incarnation: self.incarnation,
            revision,
            draining: self.draining,
            endpoint,
            updates: self.update_queue.take(recipient, self.members.len() + 1),
        }
    }
}

fn member_status(now: Instant, vm: &VmId, record: &MemberRecord) -> MemberStatus {
    MemberStatus {
        vm: vm.clone(),
        endpoint: record.endpoint.clone(),
        boot: record.boot,
        state: record.state(),
        listed: record.unlisted_since.is_none(),
        heard_ago: record
            .heard_at
            .map(|heard| now.saturating_duration_since(heard)),
    }
}
