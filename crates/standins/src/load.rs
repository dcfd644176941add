//! Load reports, which servers publish with a delay.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::lag::LaggedValue;
use crate::slots::SlotUsage;

/// A load report, as `/load` returns it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadReport<'a> {
    running: usize,
    waiting: usize,
    slots: usize,
    tokens_in_flight: u64,
    leaving: bool,
    models: &'a [String],
}

/// The part of a report that changes over time.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSample {
    running: usize,
    waiting: usize,
    tokens_in_flight: u64,
    leaving: bool,
}

/// The load of one server, reported with a lag.
pub(crate) struct LaggedLoad {
    samples: Mutex<LaggedValue<LoadSample>>,
    slots: usize,
    models: Vec<String>,
}

impl LaggedLoad {
    pub(crate) fn new(slots: usize, models: Vec<String>, lag: Duration) -> Self {
        let samples = LaggedValue::new(LoadSample::default(), lag, Instant::now());
        Self {
            samples: Mutex::new(samples),
            slots,
            models,
        }
    }

    pub(crate) fn record(&self, usage: SlotUsage, tokens_in_flight: u64, leaving: bool) {
        let sample = LoadSample {
            running: usage.running,
            waiting: usage.waiting,
            tokens_in_flight,
            leaving,
        };
        self.lock().record(sample, Instant::now());
    }

    /// Returns whether the newest sample is older than `age`.
    pub(crate) fn is_stale(&self, age: Duration) -> bool {
        self.lock().newest_at().elapsed() > age
    }

    pub(crate) fn read(&self) -> LoadReport<'_> {
        let sample = self.lock().read(Instant::now());
        LoadReport {
            running: sample.running,
            waiting: sample.waiting,
            slots: self.slots,
            tokens_in_flight: sample.tokens_in_flight,
            leaving: sample.leaving,
            models: &self.models,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LaggedValue<LoadSample>> {
        self.samples.lock().expect("no holder of the lock panics")
    }
}
