//! The client of the platform's list of VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request, StatusCode};
use serde_json::value::RawValue;

use super::gateway_call::{CallTarget, MAX_RESPONSE_BYTES, read_bounded};
use super::platform::{DirectoryError, VmDirectory, VmEntry};

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
            target: CallTarget { address, timeout },
        }
    }
}

impl VmDirectory for GatewayDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        let deadline = Instant::now() + self.target.timeout;
        let request = Request::get(format!("http://{}/vms", self.target.address))
            .body(Body::empty())
            .expect("an address and a path are a valid URI");
        let response = Client::new()
            .with_global_timeout(self.target.timeout)
            .request(request)
            .map_err(|error| DirectoryError(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(DirectoryError(format!("status {}", response.status())));
        }
        let body = read_bounded(response.into_body(), deadline, MAX_RESPONSE_BYTES)
            .map_err(|error| DirectoryError(error.to_string()))?;
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
