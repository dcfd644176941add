//! In-memory store with one key and injected faults: lost requests and responses,
//! delayed writes and concurrent writes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dewspring::store::{
    ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError, StoreVersion,
    SwapOutcome,
};
use dewspring::tables::ConfigDocument;

/// Fault injected into one swap.
#[derive(Clone, Debug)]
pub enum StoreFault {
    /// No fault; the swap is carried out and answered.
    None,
    /// The swap takes effect, but the response is lost.
    LostResponse,
    /// The swap has no effect, and no response arrives.
    LostRequest,
    /// The response is lost, and the swap is carried out late, during the next one.
    Delayed,
    /// The store is unavailable, and the swap has no effect.
    Unavailable,
    /// Another operator's document is written just before the swap.
    ConcurrentWrite(Box<ConfigDocument>),
}

/// SplitMix64 generator, so that a seed always yields the same values.
#[derive(Clone, Debug)]
pub struct SplitMix(pub u64);

impl SplitMix {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

#[derive(Debug, Default)]
struct StoreState {
    version: StoreVersion,
    entry: Option<StoreEntry>,
    /// Every document written, oldest first.
    log: Vec<ConfigDocument>,
    injected_faults: VecDeque<StoreFault>,
    random_faults: Option<SplitMix>,
    delayed: VecDeque<(ExpectedVersion, Vec<u8>)>,
    failing_reads: u64,
}

/// Handle to the store; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct TestStore {
    state: Arc<Mutex<StoreState>>,
}

impl TestStore {
    pub fn new(document: Option<&ConfigDocument>) -> Self {
        let store = Self::default();
        if let Some(document) = document {
            store
                .state()
                .set(&document.to_bytes().expect("a small document"));
        }
        store
    }

    /// Injects faults into the next swaps, one each.
    pub fn inject(&self, faults: impl IntoIterator<Item = StoreFault>) {
        self.state().injected_faults.extend(faults);
    }

    /// Injects faults into about three of ten swaps.
    pub fn fail_at_random(&self, seed: u64) {
        self.state().random_faults = Some(SplitMix(seed));
    }

    /// Fails the next reads.
    pub fn fail_reads(&self, count: u64) {
        self.state().failing_reads = count;
    }

    /// Carries out all delayed swaps.
    pub fn apply_all_delayed(&self) {
        let mut state = self.state();
        while state.apply_delayed() {}
    }

    pub fn log(&self) -> Vec<ConfigDocument> {
        self.state().log.clone()
    }

    pub fn document(&self) -> ConfigDocument {
        self.log().last().expect("a document").clone()
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder panics")
    }
}

impl StoreState {
    fn set(&mut self, value: &[u8]) -> StoreVersion {
        self.version += 1;
        let document = ConfigDocument::from_bytes(value).expect("a whole document");
        self.log.push(document);
        self.entry = Some(StoreEntry {
            value: value.to_vec(),
            version: self.version,
        });
        self.version
    }

    fn swap(&mut self, expected: ExpectedVersion, value: &[u8]) -> SwapOutcome {
        let is_expected = match (expected, &self.entry) {
            (ExpectedVersion::Absent, None) => true,
            (ExpectedVersion::Version(version), Some(entry)) => version == entry.version,
            _ => false,
        };
        if is_expected {
            SwapOutcome::Swapped(self.set(value))
        } else {
            SwapOutcome::Conflict(self.entry.clone())
        }
    }

    fn apply_delayed(&mut self) -> bool {
        let Some((expected, value)) = self.delayed.pop_front() else {
            return false;
        };
        self.swap(expected, &value);
        true
    }

    fn next_fault(&mut self) -> StoreFault {
        if let Some(fault) = self.injected_faults.pop_front() {
            return fault;
        }
        let Some(random) = &mut self.random_faults else {
            return StoreFault::None;
        };
        match random.below(10) {
            0 => StoreFault::LostResponse,
            1 => StoreFault::LostRequest,
            2 => StoreFault::Delayed,
            _ => StoreFault::None,
        }
    }
}

impl PlatformStore for TestStore {
    fn get(&self, _key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let mut state = self.state();
        if state.failing_reads > 0 {
            state.failing_reads -= 1;
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(state.entry.clone())
    }

    fn compare_and_swap(
        &self,
        _key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        _lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        let lost = || Err(StoreError::ResponseLost("reset".to_owned()));
        let mut state = self.state();
        let fault = state.next_fault();
        let outcome = match fault {
            StoreFault::None => Ok(state.swap(expected, value)),
            StoreFault::LostResponse => {
                state.swap(expected, value);
                lost()
            }
            StoreFault::LostRequest => lost(),
            StoreFault::Delayed => {
                state.apply_delayed();
                state.delayed.push_back((expected, value.to_vec()));
                return lost();
            }
            StoreFault::Unavailable => Err(StoreError::Unavailable("down".to_owned())),
            StoreFault::ConcurrentWrite(document) => {
                let bytes = document.to_bytes().expect("a small document");
                state.set(&bytes);
                Ok(state.swap(expected, value))
            }
        };
        state.apply_delayed();
        outcome
    }

    fn watch(
        &self,
        _key: &str,
        _after: StoreVersion,
        _timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        Ok(None)
    }

    fn grant_lease(&self, _time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        Err(StoreError::LeaseExpired)
    }

    fn renew_lease(&self, _lease: LeaseId) -> Result<Duration, StoreError> {
        Err(StoreError::LeaseExpired)
    }
}
