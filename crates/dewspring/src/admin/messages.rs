//! The answers that a daemon gives to operators, in JSON.
//!
//! `dewctl` reads them over the admin address. They are plain data: the
//! duties fill them in and keep nothing of them. Ages and offsets are in
//! milliseconds, since VMs don't share a clock.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DataCentreName, PoolName, RequestId, Revision, ServerName, VmId};

/// Answer of `GET /v1/status`: one daemon as it sees itself and its peers.
///
/// # Examples
///
/// ```
/// use dewspring::admin::StatusReport;
///
/// let text = r#"{"vm":"vm-1","boot":7,"data_centre":"dk-east-1","revision":3,
///     "ready":true,"draining":false,"peers":[],"pools":[]}"#;
/// let report: StatusReport = serde_json::from_str(text)?;
/// assert_eq!(report.revision, 3);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// VM of the daemon.
    pub vm: VmId,
    /// Boot of the daemon.
    pub boot: BootId,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentreName,
    /// Revision in force; 0 before the first one.
    pub revision: Revision,
    /// Identity of the change that made that revision; empty before the first
    /// one.
    #[serde(default)]
    pub change_id: String,
    /// Whether the daemon takes callers' requests.
    pub ready: bool,
    /// Whether the daemon is on its way out.
    pub draining: bool,
    /// The other daemons, as heartbeats show them.
    pub peers: Vec<PeerStatus>,
    /// The pools in force.
    pub pools: Vec<PoolStatus>,
}

/// One peer as a daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// VM of the peer.
    pub vm: VmId,
    /// Whether the peer counts as a member.
    pub state: PeerState,
    /// Time since its last heartbeat in milliseconds; `None` if it was never
    /// heard.
    pub heard_ago_ms: Option<u64>,
}

/// Membership of a peer in one daemon's view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Heartbeats arrive.
    Live,
    /// The peer has said, or the platform says, that it leaves.
    Leaving,
    /// Heartbeats are overdue.
    Suspect,
    /// The peer counts as gone.
    Dead,
}

/// One pool as a daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// VM of the pool's broker in this daemon's view; `None` if no VM is
    /// known to be live.
    pub broker: Option<VmId>,
    /// Requests in this daemon's queue for the pool.
    pub queued: u64,
    /// Requests that this daemon granted and that haven't ended.
    pub in_flight: u64,
    /// The pool's servers, in the order of the table.
    pub servers: Vec<ServerStatus>,
}

/// One backend server as a daemon sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerName,
    /// Whether it receives work.
    pub state: ServerState,
    /// Requests granted to it that haven't ended.
    pub in_flight: u64,
    /// Number of requests that it serves at once.
    pub slots: u32,
}

/// Whether a backend server receives work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It receives work.
    Active,
    /// It receives no new work, by the pools table or the platform's list.
    Draining,
    /// It is kept out because it is slow or fails.
    Ejected,
    /// It was kept out and receives single requests as a trial.
    Probing,
}

/// Answer of `GET /v1/explain/REQUEST_ID`: the decisions on one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// The caller's request.
    pub request: RequestId,
    /// VM whose decisions these are.
    pub vm: VmId,
    /// The decisions, oldest first.
    pub steps: Vec<ExplainStep>,
}

/// One decision on a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// Time since the request reached this VM, in milliseconds.
    pub at_ms: u64,
    /// Part of the daemon that decided, as in its log lines.
    pub part: String,
    /// What was decided and why.
    pub text: String,
}

/// Answer of `POST /v1/drain`: the daemon has begun to leave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// VM of the daemon.
    pub vm: VmId,
    /// Requests that it still has to finish.
    pub in_flight: u64,
}
