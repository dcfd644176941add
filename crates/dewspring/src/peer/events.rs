//! What the membership made of a heartbeat, and what follows for others.

use crate::ids::{BootId, VmId};

/// What became of a heartbeat that was received.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeartbeatVerdict {
    /// It was taken in.
    Accepted,
    /// It comes from a boot that was replaced, and was dropped.
    FormerBoot,
    /// It comes from a VM that was not asked, and was dropped.
    WrongVm,
    /// It carries this VM's own name, and was dropped.
    OwnName,
    /// It comes from an unknown VM that doesn't say where it is.
    Unknown,
}

/// A change that the other duties have to know of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A VM stopped answering: calls to it are over.
    Died(VmId),
    /// A boot of a VM stopped answering or was replaced: its grants are over.
    BootEnded(VmId, BootId),
    /// A VM that counted as dead answers again.
    Returned(VmId),
    /// A VM says that it is about to leave.
    Leaving(VmId),
}
