//! Results of handling a heartbeat, and the membership changes that follow.

use crate::ids::{BootId, VmId};

/// Whether a received heartbeat was applied or why it was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeartbeatVerdict {
    /// The heartbeat was applied.
    Accepted,
    /// Dropped: it comes from a boot that was replaced.
    FormerBoot,
    /// Dropped: the reply comes from another VM than the request was sent to.
    WrongVm,
    /// Dropped: its sender has the name of the local VM.
    OwnName,
    /// Dropped: its sender is unknown and sent no endpoint.
    Unknown,
}

/// Membership change that other modules must react to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A VM stopped replying; calls to it are aborted.
    Died(VmId),
    /// A boot of a VM died or was replaced; its grants end.
    BootEnded(VmId, BootId),
    /// A VM that counted as dead is live again.
    Recovered(VmId),
    /// A VM reports that it is leaving the fleet.
    Leaving(VmId),
}
