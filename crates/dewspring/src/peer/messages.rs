//! Messages of heartbeats, and the withdrawal of a grant request.
//!
//! They carry no timestamps, since each VM trusts only its own monotonic
//! clock. The other grant messages are in [`crate::broker`].
//!
//! They are encoded with bincode, which is positional: the order of fields is
//! part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DataCentreName, RequestId, Revision, VmId};

/// Version of the information about a VM, raised only by that VM.
///
/// A VM raises it to refute wrong updates about itself, as in SWIM.
pub type Incarnation = u64;

/// Where a VM can be reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEndpoint {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
}

/// What one VM knows about another one, gossiped in heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessUpdate {
    /// VM that the update is about.
    pub vm: VmId,
    /// Boot of that VM.
    pub boot: BootId,
    /// Incarnation that the update is about; the highest wins.
    pub incarnation: Incarnation,
    /// Whether the VM counts as dead.
    pub dead: bool,
    /// Whether the VM is leaving the fleet.
    pub draining: bool,
    /// Endpoint of the VM; set only if it is not on the sender's list.
    pub endpoint: Option<VmEndpoint>,
}

/// State that a VM reports about itself, in a heartbeat request or reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// VM that sends the heartbeat.
    pub vm: VmId,
    /// Boot of the sender.
    pub boot: BootId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force on the sender; 0 before the first one.
    pub revision: Revision,
    /// Whether the sender is leaving the fleet.
    pub draining: bool,
    /// Endpoint of the sender; set only in requests.
    pub endpoint: Option<VmEndpoint>,
    /// Updates about other VMs, bounded in number.
    pub updates: Vec<LivenessUpdate>,
}

/// Cancels a grant request whose entry no longer waits for the decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantWithdrawal {
    /// Id under which the grant was requested.
    pub request: RequestId,
    /// VM of the entry that requested the grant.
    pub entry: VmId,
    /// Boot of that entry.
    pub boot: BootId,
}
