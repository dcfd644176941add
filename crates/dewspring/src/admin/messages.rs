//! JSON responses to operators.
//!
//! `dewctl` reads them over the admin address. They are plain data without
//! behaviour. Times are ages or offsets in milliseconds, since VMs don't share a
//! clock.

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DataCentreName, PoolName, RequestId, Revision, ServerName, VmId};

/// Response of `GET /v1/status`: a daemon's view of itself and its peers.
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
    /// Boot of the daemon: a random id drawn at its start.
    pub boot: BootId,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: Revision,
    /// Id of the change that created the revision; empty before the first one.
    #[serde(default)]
    pub change_id: String,
    /// Whether the daemon accepts callers' requests.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    pub draining: bool,
    /// The other daemons, as seen by heartbeats.
    pub peers: Vec<PeerStatus>,
    /// The pools of the configuration in force.
    pub pools: Vec<PoolStatus>,
}

/// Status of one peer in a daemon's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// VM of the peer.
    pub vm: VmId,
    /// Membership state of the peer.
    pub state: PeerState,
    /// Time since the peer's last heartbeat in milliseconds; `None` before the
    /// first one.
    pub heard_ago_ms: Option<u64>,
}

/// Membership state of a peer in a daemon's view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Heartbeats arrive.
    Live,
    /// The peer itself or the platform's list reports that it is leaving.
    Leaving,
    /// Heartbeats are overdue, but too few to count as dead.
    Suspect,
    /// The peer stopped replying.
    Dead,
}

/// Status of one pool in a daemon's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// VM of the pool's broker in this daemon's view; `None` if no VM is known
    /// to be live.
    pub broker: Option<VmId>,
    /// Requests in this daemon's queue for the pool.
    pub queued: u64,
    /// Requests granted by this daemon that haven't ended.
    pub in_flight: u64,
    /// The pool's backend servers, in the order of the pools table.
    pub servers: Vec<ServerStatus>,
}

/// Status of one backend server in a daemon's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerName,
    /// Whether the server receives requests.
    pub state: ServerState,
    /// Requests granted to the server that haven't ended.
    pub in_flight: u64,
    /// Number of requests that the server can run at the same time.
    pub slots: u32,
}

/// Whether a backend server receives requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// The server receives requests.
    Active,
    /// The server receives no new requests, by the pools table, the platform's
    /// list or its own report.
    Draining,
    /// The server receives no requests because it is slow or fails.
    Ejected,
    /// The server was ejected and receives single requests as probes.
    Probing,
}

/// Response of `GET /v1/explain/REQUEST_ID`: the decisions on one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// Id of the caller's request.
    pub request: RequestId,
    /// VM that made the decisions.
    pub vm: VmId,
    /// Decisions, oldest first.
    pub steps: Vec<ExplainStep>,
}

/// One decision on a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// Time since the request reached this VM, in milliseconds.
    pub at_ms: u64,
    /// Component of the daemon that decided, as in its log lines.
    pub part: String,
    /// What was decided and why.
    pub text: String,
}

/// Response of `POST /v1/drain`: the daemon has started to shut down.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// VM of the daemon.
    pub vm: VmId,
    /// Requests that are still in flight.
    pub in_flight: u64,
}
