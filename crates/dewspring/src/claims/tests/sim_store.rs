//! A simulated store that loses calls and responses, delays writes and has
//! outages, all generated from one seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::store::{
    EmbeddedStore, ExpectedVersion, PlatformStore, StoreEntry, StoreError, SwapOutcome,
};

/// Longest outage, in steps.
const MAX_OUTAGE: u64 = 100;

/// Probabilities of faults and events, in thousandths, and the deadline of
/// claims.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Per swap: the write takes effect, but its response is lost.
    pub lost_after_write: u16,
    /// Per swap: the call is lost before it takes effect.
    pub lost_before_write: u16,
    /// Per swap: the response is lost, and the write arrives later.
    pub delayed_write: u16,
    /// Per read: the response is lost.
    pub lost_read: u16,
    /// Per step: an outage of the store begins.
    pub outage: u16,
    /// Per step: an entry crashes.
    pub crash: u16,
    /// Per step: an entry is paused, at most for longer than the retention time.
    pub pause: u16,
    /// Per token: the entry releases the claim and doesn't send the request.
    pub release: u16,
    /// Per step: an entry sends a request that it holds a token for, or records
    /// the outcome of one that it sent.
    pub progress: u16,
    /// Steps after which a claim is abandoned.
    pub deadline_steps: u64,
}

/// Counts of the store's calls and faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCounts {
    pub swaps: u64,
    pub lost_responses: u64,
    pub late_writes: u64,
    pub outages: u64,
}

/// A write whose response was lost and which has not arrived yet.
#[derive(Debug)]
struct LateWrite {
    key: String,
    expected: ExpectedVersion,
    value: Vec<u8>,
}

pub struct SimStore {
    rates: FaultRates,
    rng: StdRng,
    store: EmbeddedStore,
    outage_left: u64,
    late_writes: Vec<LateWrite>,
    counts: StoreCounts,
    are_faults_off: bool,
}

impl SimStore {
    pub fn open(rates: FaultRates, seed: u64) -> Self {
        Self {
            rates,
            rng: StdRng::seed_from_u64(!seed),
            store: EmbeddedStore::open(),
            outage_left: 0,
            late_writes: Vec::new(),
            counts: StoreCounts::default(),
            are_faults_off: false,
        }
    }

    pub fn counts(&self) -> StoreCounts {
        self.counts
    }

    /// Stops all faults; delayed writes still arrive.
    pub fn stop_faults(&mut self) {
        self.are_faults_off = true;
        self.outage_left = 0;
    }

    /// Advances the store by one step.
    pub fn advance(&mut self) {
        self.outage_left = self.outage_left.saturating_sub(1);
        if self.draw_fault(self.rates.outage) {
            self.counts.outages += 1;
            self.outage_left = self.rng.random_range(1..MAX_OUTAGE);
        }
        if !self.late_writes.is_empty() && self.rng.random_range(0..5) == 0 {
            self.apply_late_write();
        }
    }

    pub fn read(&mut self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.check_available()?;
        if self.draw_fault(self.rates.lost_read) {
            return Err(StoreError::Unavailable("timeout".to_owned()));
        }
        self.store.get(key)
    }

    pub fn swap(
        &mut self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
    ) -> Result<SwapOutcome, StoreError> {
        self.check_available()?;
        self.counts.swaps += 1;
        if self.draw_fault(self.rates.lost_before_write) {
            return self.lose_response();
        }
        if self.draw_fault(self.rates.delayed_write) {
            let key = key.to_owned();
            self.late_writes.push(LateWrite {
                key,
                expected,
                value,
            });
            return self.lose_response();
        }
        let response = self.store.compare_and_swap(key, expected, &value, None);
        if self.draw_fault(self.rates.lost_after_write) {
            return self.lose_response();
        }
        response
    }

    fn draw_fault(&mut self, thousandths: u16) -> bool {
        !self.are_faults_off && self.rng.random_range(0..1000) < thousandths
    }

    fn check_available(&self) -> Result<(), StoreError> {
        if self.outage_left > 0 {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn lose_response(&mut self) -> Result<SwapOutcome, StoreError> {
        self.counts.lost_responses += 1;
        Err(StoreError::ResponseLost("lost".to_owned()))
    }

    fn apply_late_write(&mut self) {
        let write = self.late_writes.swap_remove(0);
        let response = self
            .store
            .compare_and_swap(&write.key, write.expected, &write.value, None);
        let was_applied = matches!(response, Ok(SwapOutcome::Swapped(_)));
        self.counts.late_writes += u64::from(was_applied);
    }
}
