//! Checked settings of one process.
//!
//! The crate of the platform reads them from its own format; everything here
//! uses the project's names and the types of the standard library.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Where callers connect.
    pub entry_address: SocketAddr,
    /// Where the balancer asks whether the VM takes connections.
    pub ready_address: SocketAddr,
    /// Where other VMs send their digests.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Time after which a key that was taken away must be refused.
    pub key_revocation_bound: Duration,
    /// Time within which changed tables must be in force.
    pub table_update_bound: Duration,
    /// Time within which a server that leaves gets its last new request.
    pub drain_bound: Duration,
    /// Whether a key counts only while the store confirms it.
    pub keys_fail_closed: bool,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends of the whole fleet that no request pays for.
    pub retry_slack: f64,
    /// Span over which repeated sends are counted.
    pub retry_window: Duration,
}
