//! Enums over the implementations of each trait, chosen by the settings.
//!
//! They allow static dispatch in place of `dyn`.

use std::time::Duration;

use super::platform::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError,
    StoreVersion, SwapOutcome, VmDirectory, VmEntry,
};
use super::{EmbeddedDirectory, EmbeddedStore, GatewayDirectory, GatewayStore};

/// A store of either kind, as chosen by the settings.
///
/// # Examples
///
/// ```
/// use dewspring::store::{AnyStore, EmbeddedStore, PlatformStore};
///
/// let store = AnyStore::Embedded(EmbeddedStore::open());
/// assert_eq!(store.get("/key"), Ok(None));
/// ```
#[derive(Clone, Debug)]
pub enum AnyStore {
    /// An in-memory store.
    Embedded(EmbeddedStore),
    /// The platform's key-value service.
    Gateway(GatewayStore),
}

impl PlatformStore for AnyStore {
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        match self {
            Self::Embedded(store) => store.get(key),
            Self::Gateway(store) => store.get(key),
        }
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        match self {
            Self::Embedded(store) => store.compare_and_swap(key, expected, value, lease),
            Self::Gateway(store) => store.compare_and_swap(key, expected, value, lease),
        }
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        match self {
            Self::Embedded(store) => store.watch(key, after, timeout),
            Self::Gateway(store) => store.watch(key, after, timeout),
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        match self {
            Self::Embedded(store) => store.grant_lease(time_to_live),
            Self::Gateway(store) => store.grant_lease(time_to_live),
        }
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        match self {
            Self::Embedded(store) => store.renew_lease(lease),
            Self::Gateway(store) => store.renew_lease(lease),
        }
    }
}

/// A list of VMs of either kind, as chosen by the settings.
#[derive(Clone, Debug)]
pub enum AnyDirectory {
    /// An in-memory list.
    Embedded(EmbeddedDirectory),
    /// The platform's list.
    Gateway(GatewayDirectory),
}

impl VmDirectory for AnyDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        match self {
            Self::Embedded(directory) => directory.list(),
            Self::Gateway(directory) => directory.list(),
        }
    }
}
