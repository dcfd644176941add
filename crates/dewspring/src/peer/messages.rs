//! The messages of the heartbeats.
//!
//! They hold no points in time, since each VM trusts only its own monotonic
//! clock. The messages of the grants stand in the broker's slice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DataCentreName, RequestId, Revision, VmId};

/// Number that a VM raises to refute older news of itself.
pub type Incarnation = u64;

/// Where a VM is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEndpoint {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
}

/// What one VM knows of another, passed along in heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessUpdate {
    /// The VM that the news is about.
    pub vm: VmId,
    /// Boot of that VM.
    pub boot: BootId,
    /// Incarnation that the news is about; the newest wins.
    pub incarnation: Incarnation,
    /// Whether the VM stopped answering.
    pub dead: bool,
    /// Whether the VM is about to leave.
    pub draining: bool,
    /// Where it is reached; only of a VM that is not on the sender's list.
    pub endpoint: Option<VmEndpoint>,
}

/// What a VM says of itself; a heartbeat is answered by a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The VM that sends the heartbeat.
    pub vm: VmId,
    /// Its boot.
    pub boot: BootId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force on it; 0 before the first one.
    pub revision: Revision,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Where it is reached; only in a heartbeat that is no answer.
    pub endpoint: Option<VmEndpoint>,
    /// A bounded number of news.
    pub updates: Vec<LivenessUpdate>,
}

/// An entry's word that it waits no more for a decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantWithdrawal {
    /// The caller's request.
    pub request: RequestId,
    /// VM of the entry that asked.
    pub entry: VmId,
    /// Boot of that entry.
    pub boot: BootId,
}
