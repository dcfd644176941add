//! A store with injected faults.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::store::{
    EmbeddedStore, ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError,
    StoreVersion, SwapOutcome,
};

/// Interval at which a watch checks whether the store has gone down.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct FaultSwitches {
    inner: Mutex<EmbeddedStore>,
    is_down: AtomicBool,
    has_silent_watches: AtomicBool,
    latency_millis: AtomicU64,
    lost_responses: AtomicU64,
    calls: AtomicU64,
}

/// An embedded store whose faults a test switches on and off.
#[derive(Clone, Debug)]
pub(crate) struct FaultyStore {
    switches: Arc<FaultSwitches>,
}

impl FaultyStore {
    pub fn open() -> Self {
        Self {
            switches: Arc::new(FaultSwitches {
                inner: Mutex::new(EmbeddedStore::open()),
                is_down: AtomicBool::new(false),
                has_silent_watches: AtomicBool::new(false),
                latency_millis: AtomicU64::new(0),
                lost_responses: AtomicU64::new(0),
                calls: AtomicU64::new(0),
            }),
        }
    }

    pub fn set_down(&self, is_down: bool) {
        self.switches.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Lets watches end without an event, whatever changes.
    pub fn silence_watches(&self) {
        self.switches
            .has_silent_watches
            .store(true, Ordering::SeqCst);
    }

    pub fn set_latency(&self, latency: Duration) {
        let millis = u64::try_from(latency.as_millis()).expect("a short time");
        self.switches.latency_millis.store(millis, Ordering::SeqCst);
    }

    /// Loses the responses to the next `count` writes, which take effect.
    pub fn lose_responses(&self, count: u64) {
        self.switches.lost_responses.store(count, Ordering::SeqCst);
    }

    /// Replaces the contents, as after a restore from a backup.
    pub fn restore(&self, store: EmbeddedStore) {
        *self.switches.inner.lock().expect("the store") = store;
    }

    /// Returns the number of calls so far, not counting watches.
    pub fn calls(&self) -> u64 {
        self.switches.calls.load(Ordering::SeqCst)
    }

    /// Returns the store behind the faults.
    pub fn inner(&self) -> EmbeddedStore {
        self.switches.inner.lock().expect("the store").clone()
    }

    fn inject_faults(&self) -> Result<EmbeddedStore, StoreError> {
        let latency = self.switches.latency_millis.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(latency));
        if self.switches.is_down.load(Ordering::SeqCst) {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(self.inner())
    }

    fn begin_call(&self) -> Result<EmbeddedStore, StoreError> {
        self.switches.calls.fetch_add(1, Ordering::SeqCst);
        self.inject_faults()
    }
}

impl PlatformStore for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.begin_call()?.get(key)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        let outcome = self
            .begin_call()?
            .compare_and_swap(key, expected, value, lease);
        let lost = &self.switches.lost_responses;
        let decrement = |left: u64| left.checked_sub(1);
        if lost
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
        {
            return Err(StoreError::ResponseLost("lost".to_owned()));
        }
        outcome
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        if self.switches.has_silent_watches.load(Ordering::SeqCst) {
            thread::sleep(timeout);
            return Ok(None);
        }
        let mut remaining = timeout;
        while !remaining.is_zero() {
            let slice = remaining.min(WATCH_POLL_INTERVAL);
            if let Some(entry) = self.inject_faults()?.watch(key, after, slice)? {
                return Ok(Some(entry));
            }
            remaining -= slice;
        }
        Ok(None)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        self.begin_call()?.grant_lease(time_to_live)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.begin_call()?.renew_lease(lease)
    }
}
