//! An in-memory store and an in-memory list of VMs.
//!
//! They are used by a daemon that runs without the platform, and by tests. The
//! store keeps the main invariant of the platform's store: each write gets a
//! version higher than all before.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::platform::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, MAX_VALUE_BYTES, PlatformStore,
    StoreEntry, StoreError, StoreVersion, SwapOutcome, VmDirectory, VmEntry,
};

/// A key's value, and the lease that it is attached to.
#[derive(Debug)]
struct StoredValue {
    entry: StoreEntry,
    lease: Option<LeaseId>,
}

/// Time to live and expiry of a granted lease.
#[derive(Debug)]
struct LeaseState {
    time_to_live: Duration,
    expires_at: Instant,
}

/// Contents of the store.
#[derive(Debug, Default)]
struct StoreState {
    version: StoreVersion,
    last_lease: LeaseId,
    values: IndexMap<String, StoredValue>,
    leases: IndexMap<LeaseId, LeaseState>,
}

impl StoreState {
    /// Removes expired leases and the keys that are attached to them.
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        self.values
            .retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn entry(&self, key: &str) -> Option<&StoreEntry> {
        self.values.get(key).map(|value| &value.entry)
    }

    fn is_expected(&self, key: &str, expected: ExpectedVersion) -> bool {
        match (self.entry(key), expected) {
            (None, ExpectedVersion::Absent) => true,
            (Some(entry), ExpectedVersion::Version(version)) => entry.version == version,
            _ => false,
        }
    }

    fn put(&mut self, key: &str, value: &[u8], lease: Option<LeaseId>) -> StoreVersion {
        self.version += 1;
        let entry = StoreEntry {
            value: value.to_vec(),
            version: self.version,
        };
        self.values
            .insert(key.to_owned(), StoredValue { entry, lease });
        self.version
    }
}

#[derive(Debug, Default)]
struct SharedState {
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// An in-memory store; clones share their contents.
///
/// # Examples
///
/// ```
/// use dewspring::store::{EmbeddedStore, ExpectedVersion, PlatformStore};
///
/// let store = EmbeddedStore::open();
/// store.compare_and_swap("/key", ExpectedVersion::Absent, b"value", None)?;
/// assert_eq!(store.get("/key")?.expect("the key is set").value, b"value");
/// # Ok::<(), dewspring::store::StoreError>(())
/// ```
#[derive(Clone, Debug)]
pub struct EmbeddedStore {
    shared: Arc<SharedState>,
}

impl EmbeddedStore {
    /// Opens an empty store.
    pub fn open() -> Self {
        Self {
            shared: Arc::default(),
        }
    }

    /// Locks the state and removes expired leases.
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let mut state = self
            .shared
            .state
            .lock()
            .expect("no holder of the store's lock panics");
        state.expire(Instant::now());
        state
    }
}

impl PlatformStore for EmbeddedStore {
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        Ok(self.lock().entry(key).cloned())
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        check_value_size(value)?;
        let mut state = self.lock();
        if !state.is_expected(key, expected) {
            return Ok(SwapOutcome::Conflict(state.entry(key).cloned()));
        }
        if lease.is_some_and(|lease| !state.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseExpired);
        }
        let version = state.put(key, value, lease);
        drop(state);
        self.shared.changed.notify_all();
        Ok(SwapOutcome::Swapped(version))
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if let Some(entry) = state.entry(key).filter(|entry| entry.version > after) {
                return Ok(Some(entry.clone()));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, remaining)
                .expect("no holder of the store's lock panics")
                .0;
            state.expire(Instant::now());
        }
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        let mut state = self.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        let lease = LeaseState {
            time_to_live,
            expires_at: Instant::now() + time_to_live,
        };
        state.leases.insert(id, lease);
        Ok(LeaseGrant { id, time_to_live })
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let mut state = self.lock();
        let lease = state
            .leases
            .get_mut(&lease)
            .ok_or(StoreError::LeaseExpired)?;
        lease.expires_at = Instant::now() + lease.time_to_live;
        Ok(lease.time_to_live)
    }
}

/// Checks that a value is not larger than [`MAX_VALUE_BYTES`].
///
/// # Errors
///
/// [`StoreError::Unavailable`] if it is larger; nothing has been written then.
pub(super) fn check_value_size(value: &[u8]) -> Result<(), StoreError> {
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(StoreError::Unavailable(format!(
        "a value of {} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes",
        value.len()
    )))
}

/// An in-memory list of VMs; clones share it.
///
/// # Examples
///
/// ```
/// use dewspring::store::{EmbeddedDirectory, VmDirectory};
///
/// let directory = EmbeddedDirectory::open(Vec::new());
/// assert_eq!(directory.list(), Ok(Vec::new()));
/// ```
#[derive(Clone, Debug)]
pub struct EmbeddedDirectory {
    entries: Arc<Mutex<Vec<VmEntry>>>,
}

impl EmbeddedDirectory {
    /// Opens a list with these VMs.
    pub fn open(entries: Vec<VmEntry>) -> Self {
        Self {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    /// Replaces the whole list.
    pub fn replace(&self, entries: Vec<VmEntry>) {
        *self.lock() = entries;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<VmEntry>> {
        self.entries
            .lock()
            .expect("no holder of the list's lock panics")
    }
}

impl VmDirectory for EmbeddedDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        Ok(self.lock().clone())
    }
}
