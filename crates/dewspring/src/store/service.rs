//! The traits through which the library meets the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{DataCentreName, VmId};

/// Largest value that a store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Version of a key: it rises with each write of the store.
pub type StoreVersion = u64;

/// Identity of a lease, given out by the store.
pub type LeaseId = i64;

/// One key's value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// The value; at most one megabyte.
    pub value: Vec<u8>,
    /// Version of the write that set it.
    pub version: StoreVersion,
}

/// What a compare-and-swap expects of the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedVersion {
    /// The key does not exist.
    Absent,
    /// The key was last written by this version.
    Version(StoreVersion),
}

/// What a compare-and-swap that was answered did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value is set under this new version.
    Swapped(StoreVersion),
    /// The key was not as expected; the entry is what it holds, if any.
    Conflict(Option<StoreEntry>),
}

/// A lease as the store granted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Identity of the lease.
    pub id: LeaseId,
    /// Time to live from the grant or the last renewal.
    pub time_to_live: Duration,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call surely had no effect.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The call may or may not have taken effect.
    #[error("the store's answer was lost: {0}")]
    AnswerLost(String),
    /// The store answered something that the protocol doesn't allow.
    #[error("the store answered badly: {0}")]
    BadAnswer(String),
    /// The lease is unknown or has run out.
    #[error("the lease has run out")]
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

    /// Sets a key if it is as expected, under a lease if one is given.
    ///
    /// # Errors
    ///
    /// [`StoreError::AnswerLost`] if the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError>;

    /// Waits until a key has a version above `after`, or until `timeout`.
    ///
    /// Returns `None` when nothing newer came in time.
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

    /// Asks for a new lease.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a lease whose answer was lost runs out by itself.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease and returns its new time to live.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if the lease is gone.
    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError>;
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to leave.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address of its daemon's peer port; a backend server's HTTP port.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// State as the platform last saw it.
    pub state: VmState,
}

/// Why the list of VMs can't be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the list of VMs can't be read: {0}")]
pub struct DirectoryError(pub String);

/// The platform's lagging list of live and leaving VMs.
pub trait VmDirectory: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if the platform gives no list; the last list stays
    /// in force.
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError>;
}
