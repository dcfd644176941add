//! What a VM holds of one other VM.

use std::time::{Duration, Instant};

use super::messages::{Incarnation, LivenessUpdate, VmEndpoint};
use crate::ids::{BootId, VmId};
use crate::store::VmState;

/// Number of former boots that are remembered of a VM.
const FORMER_BOOTS: usize = 4;

/// Missed answers in a row after which a VM is suspect.
pub(super) const SUSPECT_AFTER_MISSES: u32 = 2;

/// Missed answers in a row after which a VM is dead.
pub(super) const DEAD_AFTER_MISSES: u32 = 3;

/// Who this VM is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootId,
    /// Where it is reached.
    pub endpoint: VmEndpoint,
}

/// A VM that is to be sent a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeartbeatTarget {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it is reached.
    pub endpoint: VmEndpoint,
}

/// State of a VM as another VM sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The VM answers, or has missed no answer yet.
    Live,
    /// The VM missed answers, but not enough of them to be dead.
    Suspect,
    /// The VM stopped answering.
    Dead,
    /// The VM is about to leave and is given no new duties.
    Leaving,
}

/// One VM as operators and the other duties see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Where it is reached.
    pub endpoint: VmEndpoint,
    /// Its boot; `None` before anything was heard of it.
    pub boot: Option<BootId>,
    /// Its state.
    pub state: MemberState,
    /// Whether the platform's list names it.
    pub listed: bool,
    /// Time since it was last heard itself, as of this status; `None` before.
    pub heard_ago: Option<Duration>,
}

/// Liveness of a VM by the answers that it missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// It answers, or it was not asked.
    Live,
    /// It missed some answers.
    Suspect,
    /// It counts as dead.
    Dead,
}

/// All that is held of one other VM.
#[derive(Debug)]
pub(super) struct MemberRecord {
    pub(super) endpoint: VmEndpoint,
    pub(super) position: u64,
    pub(super) list_state: VmState,
    /// Time since which the list doesn't name the VM; `None` while it does.
    pub(super) unlisted_since: Option<Instant>,
    pub(super) boot: Option<BootId>,
    former: Vec<BootId>,
    pub(super) incarnation: Incarnation,
    pub(super) draining: bool,
    pub(super) liveness: Liveness,
    pub(super) heard_at: Option<Instant>,
    /// Whether a question is out that has no answer.
    pub(super) waiting: bool,
    pub(super) missed: u32,
    /// Whether this VM's own questions found the other one dead.
    pub(super) unreachable: bool,
}

impl MemberRecord {
    /// Returns the record of a VM of which nothing was heard.
    pub(super) fn new(endpoint: VmEndpoint, position: u64) -> Self {
        MemberRecord {
            endpoint,
            position,
            list_state: VmState::Live,
            unlisted_since: None,
            boot: None,
            former: Vec::new(),
            incarnation: 0,
            draining: false,
            liveness: Liveness::Live,
            heard_at: None,
            waiting: false,
            missed: 0,
            unreachable: false,
        }
    }

    /// Returns the state that the rest of the daemon sees.
    pub(super) fn state(&self) -> MemberState {
        match self.liveness {
            Liveness::Dead => MemberState::Dead,
            _ if self.is_leaving() => MemberState::Leaving,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Live => MemberState::Live,
        }
    }

    /// Whether the list or the VM itself says that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.draining || self.list_state == VmState::Leaving
    }

    /// Whether the VM may be a broker.
    ///
    /// A suspect VM stays eligible, so that a short delay moves no pool.
    pub(super) fn is_eligible(&self) -> bool {
        matches!(self.state(), MemberState::Live | MemberState::Suspect)
    }

    /// Whether a boot was replaced by a later one.
    pub(super) fn is_former(&self, boot: BootId) -> bool {
        self.former.contains(&boot)
    }

    /// Takes a new boot and returns the one that it replaces.
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

    /// Remembers a boot that the VM itself has replaced.
    pub(super) fn retire_boot(&mut self, boot: BootId) {
        if self.former.len() == FORMER_BOOTS {
            self.former.remove(0);
        }
        self.former.push(boot);
    }

    /// Notes an answer or a question that came from the VM itself.
    pub(super) fn mark_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.mark_live();
    }

    /// Resets the missed answers.
    pub(super) fn mark_live(&mut self) {
        self.liveness = Liveness::Live;
        self.waiting = false;
        self.missed = 0;
        self.unreachable = false;
    }

    /// Counts a missed answer and returns whether the VM is now newly dead.
    pub(super) fn count_miss(&mut self) -> bool {
        self.missed = self.missed.saturating_add(1);
        if self.missed >= DEAD_AFTER_MISSES {
            let newly_dead = self.liveness != Liveness::Dead;
            self.liveness = Liveness::Dead;
            self.unreachable = true;
            return newly_dead;
        }
        if self.missed >= SUSPECT_AFTER_MISSES && self.liveness == Liveness::Live {
            self.liveness = Liveness::Suspect;
        }
        false
    }

    /// Returns what others are to be told; `None` while no boot is known.
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
