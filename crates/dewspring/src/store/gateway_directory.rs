//! The client of the platform's list of VMs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dewhttp::CallRequest;
use serde_json::value::RawValue;

use super::gateway_call::{CallTarget, MAX_RESPONSE_BYTES, OK};
use super::platform::{DirectoryError, VmDirectory, VmEntry};
use crate::observe::DaemonMetrics;

/// The platform's list of VMs, reached over HTTP.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewspring::store::{GatewayDirectory, VmDirectory};
///
/// let address = "127.0.0.1:9".parse().expect("an address");
/// let directory = GatewayDirectory::open(address, Duration::from_millis(100));
/// assert!(directory.list().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct GatewayDirectory {
    target: CallTarget,
}

impl GatewayDirectory {
    /// Opens a client whose calls take at most about `timeout` each.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            target: CallTarget {
                address,
                timeout,
                metrics: None,
            },
        }
    }

    /// Counts broken responses in these metrics.
    #[must_use]
    pub fn counted_by(mut self, metrics: DaemonMetrics) -> Self {
        self.target.metrics = Some(Arc::new(metrics));
        self
    }
}

impl VmDirectory for GatewayDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        let request = CallRequest {
            method: "GET",
            target: "/vms",
            fields: &[],
            content: b"",
        };
        let failed = |error: io::Error| {
            self.target.record_error(&error);
            DirectoryError(error.to_string())
        };
        let response = request
            .send(self.target.address, self.target.timeout)
            .map_err(failed)?;
        let status = response.status();
        if status != OK {
            return Err(DirectoryError(format!("status {status}")));
        }
        let body = response.read_all(MAX_RESPONSE_BYTES).map_err(failed)?;
        read_vms(&body).map_err(|error| DirectoryError(error.to_string()))
    }
}

/// Reads the list of VMs; an entry that can't be read is left out, so that the
/// others are followed.
fn read_vms(body: &[u8]) -> serde_json::Result<Vec<VmEntry>> {
    let rows: Vec<&RawValue> = serde_json::from_slice(body)?;
    let entries = rows.into_iter().filter_map(|row| {
        let entry = serde_json::from_str(row.get());
        entry
            .inspect_err(|error| log::warn!("membership: Ignored an entry of a VM: {error}."))
            .ok()
    });
    Ok(entries.collect())
}
