//! Fleet membership, as a state machine without clock, threads or I/O.
//!
//! The platform's list names the VMs but lags behind; direct heartbeats correct
//! it, and liveness updates in heartbeats gossip what other VMs found. Each
//! start of a daemon is a new *boot* of its VM. Related modules:
//! [`super::targets`] chooses the recipients of heartbeats,
//! [`super::heartbeats`] handles received ones, and [`super::update_queue`]
//! holds the updates to send.
//!
//! Main invariant: what a VM reports about itself takes precedence over what
//! others report about it, and heartbeats of a replaced boot are dropped.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::events::MemberEvent;
use super::member::{HeartbeatTarget, Liveness, MemberRecord, MemberStatus, VmIdentity};
use super::messages::{Heartbeat, Incarnation, VmEndpoint};
use super::targets::{TargetSelector, random_alive};
use super::update_queue::UpdateQueue;
use crate::ids::{PoolName, Revision, VmId};
use crate::rendezvous::{rendezvous_owner, ring_position};
use crate::store::{VmEntry, VmState};

/// Time after which a VM that is neither listed nor sends heartbeats is forgotten.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What a VM knows about the fleet.
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
    /// Number of outstanding grants between this VM and each other one.
    outstanding_grants: IndexMap<VmId, usize>,
    pub(super) update_queue: UpdateQueue,
    pub(super) events: Vec<MemberEvent>,
    round: usize,
}

impl MembershipState {
    /// Creates the state of a VM that knows no other VM.
    pub fn new(identity: VmIdentity) -> Self {
        MembershipState {
            identity,
            incarnation: 1,
            draining: false,
            list_read: false,
            members: IndexMap::new(),
            outstanding_grants: IndexMap::new(),
            update_queue: UpdateQueue::default(),
            events: Vec::new(),
            round: 0,
        }
    }

    /// Applies the platform's list of VMs.
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

    /// Starts a round of heartbeats and returns its targets.
    ///
    /// It is called once per [`HEARTBEAT_INTERVAL`](super::HEARTBEAT_INTERVAL).
    /// An unanswered request of an earlier round counts as a missed reply.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        self.record_misses();
        self.forget_unlisted(now);
        self.round = self.round.wrapping_add(1);
        let selector = TargetSelector {
            members: &self.members,
            outstanding_grants: &self.outstanding_grants,
            ring_position: ring_position(&self.identity.vm),
            data_centre: &self.identity.endpoint.data_centre,
            round: self.round,
        };
        let targets = selector.select(rng);
        targets
            .into_iter()
            .map(|vm| self.start_request(vm))
            .collect()
    }

    /// Returns a heartbeat request to `recipient`.
    pub fn heartbeat_request(&mut self, recipient: &VmId, revision: Revision) -> Heartbeat {
        let endpoint = Some(self.identity.endpoint.clone());
        self.heartbeat(recipient, revision, endpoint)
    }

    /// Returns the reply to a heartbeat request.
    ///
    /// If the sender is known under another boot, the reply carries an update
    /// with that boot, so that the sender refutes it.
    pub fn heartbeat_reply(&mut self, request: &Heartbeat, revision: Revision) -> Heartbeat {
        let mut reply = self.heartbeat(&request.vm, revision, None);
        if let Some(record) = self.members.get(&request.vm)
            && record.boot != Some(request.boot)
        {
            reply.updates.extend(record.liveness_update(&request.vm));
        }
        reply
    }

    /// Marks this VM as leaving, which its heartbeats report from now on.
    pub fn set_draining(&mut self) {
        if !self.draining {
            self.draining = true;
            self.incarnation = self.incarnation.saturating_add(1);
        }
    }

    /// Returns whether this VM is marked as leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Counts a new grant between this VM and `peer`.
    pub fn add_outstanding_grant(&mut self, peer: &VmId) {
        *self.outstanding_grants.entry(peer.clone()).or_insert(0) += 1;
    }

    /// Counts the end of a grant between this VM and `peer`.
    pub fn remove_outstanding_grant(&mut self, peer: &VmId) {
        if let Some(count) = self.outstanding_grants.get_mut(peer) {
            *count -= 1;
            if *count == 0 {
                self.outstanding_grants.swap_remove(peer);
            }
        }
    }

    /// Returns the VM that is the broker of a pool; leaving VMs are excluded.
    ///
    /// Returns `None` if this VM is leaving and no other one is eligible.
    pub fn broker_for(&self, pool: &PoolName) -> Option<VmId> {
        let vms = self.eligible_vms();
        rendezvous_owner(pool, vms.iter()).cloned()
    }

    /// Returns the VMs that may be brokers, including this one unless it drains.
    pub fn eligible_vms(&self) -> Vec<VmId> {
        let eligible = self.members.iter().filter(|(_, r)| r.is_eligible());
        let mut vms: Vec<VmId> = eligible.map(|(vm, _)| vm.clone()).collect();
        if !self.draining {
            vms.push(self.identity.vm.clone());
        }
        vms
    }

    /// Returns the status of all other VMs, sorted by name.
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

    /// Returns random VMs to which a change is gossiped at once.
    pub fn gossip_targets(&self, rng: &mut impl Rng) -> Vec<HeartbeatTarget> {
        random_alive(&self.members, rng)
            .into_iter()
            .map(|(vm, record)| HeartbeatTarget {
                vm: vm.clone(),
                endpoint: record.endpoint.clone(),
            })
            .collect()
    }

    /// Returns whether each expected VM has sent a heartbeat or is dead.
    ///
    /// The VMs on the platform's list are expected. While the list hasn't been
    /// read, those known from heartbeats are, and at least one of them must have
    /// sent one.
    pub fn all_peers_contacted(&self) -> bool {
        let is_contacted =
            |r: &MemberRecord| r.last_seen_at.is_some() || r.liveness == Liveness::Dead;
        let mut members = self.members.values();
        if self.list_read {
            let mut listed = members.filter(|record| record.unlisted_since.is_none());
            return listed.all(is_contacted);
        }
        let has_sender = self.members.values().any(|r| r.last_seen_at.is_some());
        has_sender && members.all(is_contacted)
    }

    /// Returns whether any other VM is known.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Removes and returns the events since the last call.
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

    fn record_misses(&mut self) {
        let unanswered = self.members.iter_mut().filter(|(_, r)| r.awaiting_reply);
        let dead: Vec<VmId> = unanswered
            .filter_map(|(vm, record)| record.record_miss().then(|| vm.clone()))
            .collect();
        for vm in dead {
            self.record_death(&vm);
        }
    }

    /// Queues the events and the liveness update of a VM's death.
    fn record_death(&mut self, vm: &VmId) {
        self.outstanding_grants.swap_remove(vm);
        self.events.push(MemberEvent::Died(vm.clone()));
        let record = &self.members[vm];
        if let Some(boot) = record.boot {
            self.events.push(MemberEvent::BootEnded(vm.clone(), boot));
        }
        self.update_queue.push_if_some(record.liveness_update(vm));
    }

    fn forget_unlisted(&mut self, now: Instant) {
        let is_expired =
            |since: Instant| now.saturating_duration_since(since) >= UNLISTED_RETENTION;
        let update_queue = &mut self.update_queue;
        let outstanding_grants = &mut self.outstanding_grants;
        self.members.retain(|vm, record| {
            let keep = !record.unlisted_since.is_some_and(is_expired)
                || record
                    .last_seen_at
                    .is_some_and(|last_seen| !is_expired(last_seen));
            if !keep {
                update_queue.remove(vm);
                outstanding_grants.swap_remove(vm);
            }
            keep
        });
    }

    fn start_request(&mut self, vm: VmId) -> HeartbeatTarget {
        let record = &mut self.members[&vm];
        record.awaiting_reply = true;
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
            updates: self
                .update_queue
                .next_batch(recipient, self.members.len() + 1),
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
        last_seen_ago: record
            .last_seen_at
            .map(|last_seen| now.saturating_duration_since(last_seen)),
    }
}
