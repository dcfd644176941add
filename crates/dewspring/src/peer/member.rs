//! State that a VM keeps about one other VM.

use std::time::{Duration, Instant};

use super::messages::{Incarnation, LivenessUpdate, VmEndpoint};
use crate::ids::{BootId, VmId};
use crate::store::VmState;

/// Most replaced boots that are remembered for each VM.
const MAX_FORMER_BOOTS: usize = 4;

/// Consecutive missed replies after which a VM is suspect.
pub(super) const SUSPECT_AFTER_MISSES: u32 = 2;

/// Consecutive missed replies after which a VM is dead.
pub(super) const DEAD_AFTER_MISSES: u32 = 3;

/// Identity of the local VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Boot of the VM: a random id that each start of the daemon draws.
    pub boot: BootId,
    /// Endpoint that other VMs connect to.
    pub endpoint: VmEndpoint,
}

/// Recipient of a heartbeat request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeartbeatTarget {
    /// Name of the VM.
    pub vm: VmId,
    /// Endpoint of the VM.
    pub endpoint: VmEndpoint,
}

/// State of a VM as another VM sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The VM replies, or has not missed a reply yet.
    Live,
    /// The VM missed replies, but too few to count as dead.
    Suspect,
    /// The VM stopped replying.
    Dead,
    /// The VM is leaving the fleet and becomes the broker of no pool.
    Leaving,
}

/// Status of one other VM, for operators and other modules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Endpoint of the VM.
    pub endpoint: VmEndpoint,
    /// Boot of the VM; `None` while unknown.
    pub boot: Option<BootId>,
    /// Membership state of the VM.
    pub state: MemberState,
    /// Whether the VM is on the platform's list.
    pub listed: bool,
    /// Time between the VM's last own heartbeat and this status; `None` before the first one.
    pub last_seen_ago: Option<Duration>,
}

/// Liveness of a VM, without regard to whether it is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// The VM replies, or was sent no request yet.
    Live,
    /// The VM missed some replies.
    Suspect,
    /// The VM counts as dead.
    Dead,
}

/// Record of one other VM.
#[derive(Debug)]
pub(super) struct MemberRecord {
    pub(super) endpoint: VmEndpoint,
    pub(super) ring_position: u64,
    pub(super) list_state: VmState,
    /// When the VM was first missing from the platform's list; `None` while it is listed.
    pub(super) unlisted_since: Option<Instant>,
    pub(super) boot: Option<BootId>,
    former_boots: Vec<BootId>,
    pub(super) incarnation: Incarnation,
    pub(super) draining: bool,
    pub(super) liveness: Liveness,
    pub(super) last_seen_at: Option<Instant>,
    /// Whether a heartbeat request is unanswered.
    pub(super) awaiting_reply: bool,
    pub(super) missed_replies: u32,
    /// Whether the local VM itself found the other one dead.
    pub(super) unreachable: bool,
}

impl MemberRecord {
    /// Creates the record of a VM that has sent no heartbeat.
    pub(super) fn new(endpoint: VmEndpoint, ring_position: u64) -> Self {
        MemberRecord {
            endpoint,
            ring_position,
            list_state: VmState::Live,
            unlisted_since: None,
            boot: None,
            former_boots: Vec::new(),
            incarnation: 0,
            draining: false,
            liveness: Liveness::Live,
            last_seen_at: None,
            awaiting_reply: false,
            missed_replies: 0,
            unreachable: false,
        }
    }

    /// Returns the membership state, which combines liveness and leaving.
    pub(super) fn state(&self) -> MemberState {
        match self.liveness {
            Liveness::Dead => MemberState::Dead,
            _ if self.is_leaving() => MemberState::Leaving,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Live => MemberState::Live,
        }
    }

    /// Returns whether the platform's list or the VM itself reports that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.draining || self.list_state == VmState::Leaving
    }

    /// Returns whether the VM may be a broker.
    ///
    /// A suspect VM stays eligible, so that a short delay doesn't move pools to other brokers.
    pub(super) fn is_eligible(&self) -> bool {
        matches!(self.state(), MemberState::Live | MemberState::Suspect)
    }

    /// Returns whether a later boot replaced this one.
    pub(super) fn is_former(&self, boot: BootId) -> bool {
        self.former_boots.contains(&boot)
    }

    /// Sets the current boot and returns the one that it replaces.
    pub(super) fn replace_boot(&mut self, boot: BootId) -> Option<BootId> {
        let replaced = self.boot.replace(boot).filter(|old| *old != boot);
        if replaced.is_some() {
            self.draining = false;
            if self.unlisted_since.is_some() {
                self.list_state = VmState::Live;
            }
        }
        replaced
    }

    /// Remembers a boot as replaced, after a heartbeat of the VM itself.
    pub(super) fn retire_boot(&mut self, boot: BootId) {
        if self.former_boots.len() == MAX_FORMER_BOOTS {
            self.former_boots.remove(0);
        }
        self.former_boots.push(boot);
    }

    /// Records a heartbeat received from the VM itself.
    pub(super) fn mark_seen(&mut self, now: Instant) {
        self.last_seen_at = Some(now);
        self.mark_live();
    }

    /// Marks the VM as live and resets its missed replies.
    pub(super) fn mark_live(&mut self) {
        self.liveness = Liveness::Live;
        self.awaiting_reply = false;
        self.missed_replies = 0;
        self.unreachable = false;
    }

    /// Records a missed reply and returns whether it made the VM dead.
    pub(super) fn record_miss(&mut self) -> bool {
        self.missed_replies = self.missed_replies.saturating_add(1);
        if self.missed_replies >= DEAD_AFTER_MISSES {
            let newly_dead = self.liveness != Liveness::Dead;
            self.liveness = Liveness::Dead;
            self.unreachable = true;
            return newly_dead;
        }
        if self.missed_replies >= SUSPECT_AFTER_MISSES && self.liveness == Liveness::Live {
            self.liveness = Liveness::Suspect;
        }
        false
    }

    /// Returns the update to gossip about this VM; `None` while its boot is unknown.
    pub(super) fn liveness_update(&self, vm: &VmId) -> Option<LivenessUpdate> {
        Some(LivenessUpdate {
            vm: vm.clone(),
            boot: self.boot?,
            incarnation: self.incarnation,
            dead: self.liveness == Liveness::Dead,
            draining: self.draining,
            endpoint: self.unlisted_since.map(|_| self.endpoint.clone()),
        })
    }
}
