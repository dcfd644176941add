//! Validated settings of one process.
//!
//! The crate of the platform reads them from its own format.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// Address for callers.
    pub entry_address: SocketAddr,
    /// Address for readiness checks of the balancer.
    pub ready_address: SocketAddr,
    /// Address for digests of other VMs.
    pub peer_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of sockets of the process.
    pub max_sockets: usize,
    /// Grace period from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Time after which a revoked key must be refused.
    pub key_revocation_bound: Duration,
    /// Time within which changed tables must be in force.
    pub table_update_bound: Duration,
    /// Time within which a leaving server must get its last new request.
    pub drain_bound: Duration,
    /// Time after a disturbance of this VM or of the store from which the bounds
    /// hold again.
    pub recovery_bound: Duration,
    /// Whether keys are accepted only while the store confirms the tables.
    pub keys_fail_closed: bool,
    /// Permitted retries per request.
    pub retry_ratio: f64,
    /// Permitted retries of the whole fleet in addition to the ratio.
    pub retry_slack: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Duties that one VM at a time performs for the fleet, if the deployment has
    /// any.
    pub duties: Option<DutySettings>,
}

/// Duties that one VM at a time performs for the fleet, by calls to the
/// platform's API.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform's API.
    pub api_address: SocketAddr,
    /// Calls a second that the API accepts from all VMs together.
    pub calls_per_second: f64,
    /// Whether usage is reported.
    pub reports_usage: bool,
    /// Whether servers are ordered.
    pub orders_servers: bool,
    /// Time within which a duty must not return to an earlier holder.
    pub lease_time: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window at which its report is due.
    pub usage_due: Duration,
}
