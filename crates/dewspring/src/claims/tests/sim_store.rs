//! A store that loses calls and answers, lets writes land late and goes down,
//! all drawn from one seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::store::{
    EmbeddedStore, ExpectedVersion, PlatformStore, StoreEntry, StoreError, SwapOutcome,
};

/// Longest outage, in steps.
const MAX_OUTAGE: u64 = 100;

/// How often things go wrong, in thousandths, and how long callers wait.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Of swaps: the answer is lost, the write takes effect.
    pub lost_done: u16,
    /// Of swaps: the call is lost on its way.
    pub lost_undone: u16,
    /// Of swaps: the answer is lost, the write takes effect later, if it can.
    pub delayed: u16,
    /// Of reads: the answer is lost.
    pub lost_read: u16,
    /// Of steps: an outage of the store begins.
    pub outage: u16,
    /// Of steps: an entry crashes.
    pub crash: u16,
    /// Of steps: an entry is paused, for up to longer than the horizon.
    pub pause: u16,
    /// Of claims won: the entry takes the claim back and sends nothing.
    pub release: u16,
    /// Of steps: an entry that holds a claim or an answer goes on with it.
    pub progress: u16,
    /// Steps after which a claim is given up.
    pub deadline_steps: u64,
}

/// What the store has been through.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCounts {
    pub swaps: u64,
    pub lost_answers: u64,
    pub late_writes: u64,
    pub outages: u64,
}

/// A write whose answer was lost and which has not arrived yet.
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
    is_calm: bool,
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
            is_calm: false,
        }
    }

    pub fn counts(&self) -> StoreCounts {
        self.counts
    }

    /// Ends all faults; writes under way still land.
    pub fn calm_down(&mut self) {
        self.is_calm = true;
        self.outage_left = 0;
    }

    /// Lets one step pass.
    pub fn advance(&mut self) {
        self.outage_left = self.outage_left.saturating_sub(1);
        if self.roll(self.rates.outage) {
            self.counts.outages += 1;
            self.outage_left = self.rng.random_range(1..MAX_OUTAGE);
        }
        if !self.late_writes.is_empty() && self.rng.random_range(0..5) == 0 {
            self.land_late_write();
        }
    }

    pub fn read(&mut self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.check_up()?;
        if self.roll(self.rates.lost_read) {
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
        self.check_up()?;
        self.counts.swaps += 1;
        if self.roll(self.rates.lost_undone) {
            return self.lose_answer();
        }
        if self.roll(self.rates.delayed) {
            let key = key.to_owned();
            self.late_writes.push(LateWrite {
                key,
                expected,
                value,
            });
            return self.lose_answer();
        }
        let answer = self.store.compare_and_swap(key, expected, &value, None);
        if self.roll(self.rates.lost_done) {
            return self.lose_answer();
        }
        answer
    }

    fn roll(&mut self, thousandths: u16) -> bool {
        !self.is_calm && self.rng.random_range(0..1000) < thousandths
    }

    fn check_up(&self) -> Result<(), StoreError> {
        if self.outage_left > 0 {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn lose_answer(&mut self) -> Result<SwapOutcome, StoreError> {
        self.counts.lost_answers += 1;
        Err(StoreError::AnswerLost("lost".to_owned()))
    }

    fn land_late_write(&mut self) {
        let write = self.late_writes.swap_remove(0);
        let answer = self
            .store
            .compare_and_swap(&write.key, write.expected, &write.value, None);
        let has_landed = matches!(answer, Ok(SwapOutcome::Swapped(_)));
        self.counts.late_writes += u64::from(has_landed);
    }
}
