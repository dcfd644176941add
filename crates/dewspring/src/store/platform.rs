//! The traits for the platform's services, and their types.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{DataCentreName, VmId};

/// Largest value that a store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Version of a key. Each write to the store gets a higher one.
pub type StoreVersion = u64;

/// Identifier of a lease, assigned by the store.
pub type LeaseId = i64;

/// One key's value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// The value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Version of the write that set it.
    pub version: StoreVersion,
}

/// The state of a key that a compare-and-swap expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedVersion {
    /// The key does not exist.
    Absent,
    /// The key's last write has this version.
    Version(StoreVersion),
}

/// The outcome of a completed compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value is set under this new version.
    Swapped(StoreVersion),
    /// The key was not in the expected state; this is its entry, if it exists.
    Conflict(Option<StoreEntry>),
}

/// A lease as the store granted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    pub id: LeaseId,
    /// Time until the lease expires, from the grant or the last renewal.
    pub time_to_live: Duration,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The call may or may not have taken effect.
    #[error("the store's response was lost: {0}")]
    ResponseLost(String),
    /// The store's response violates the protocol.
    #[error("the store's response is invalid: {0}")]
    InvalidResponse(String),
    /// The lease is unknown or has expired.
    #[error("the lease has expired")]
    LeaseExpired,
}

/// The platform's key-value service.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a read has no effect, whatever the error.
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Writes a key if it is in the expected state, and attaches it to the
    /// lease, if one is given.
    ///
    /// # Errors
    ///
    /// [`StoreError::ResponseLost`] if the write may have taken effect, or any
    /// other [`StoreError`].
    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError>;

    /// Waits until a key has a version above `after`.
    ///
    /// Returns `None` if there was none within `timeout`, or if the service
    /// ended the watch early.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a watch has no effect, whatever the error.
    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError>;

    /// Creates a lease.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a lease whose response was lost expires by itself.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease and returns its new time to live.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if the lease has expired, or any other
    /// [`StoreError`].
    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError>;
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address of its daemon's peer port or, on the VM of a backend server, of
    /// the server's HTTP port.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// State that the platform last observed.
    pub state: VmState,
}

/// Why the list of VMs can't be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the list of VMs can't be read: {0}")]
pub struct DirectoryError(pub String);

/// The platform's list of live and leaving VMs, which lags behind their state.
pub trait VmDirectory: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if the list can't be read; callers keep using the
    /// last one.
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError>;
}
