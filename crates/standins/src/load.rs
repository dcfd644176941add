//! Load reports, which are read later than they were true.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::lag::LaggedValue;
use crate::slots::SlotUsage;

/// A report of a server's load.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadReport<'a> {
    running: usize,
    waiting: usize,
    slots: usize,
    tokens_in_flight: u64,
    leaving: bool,
    models: &'a [String],
}

/// The part of a report that changes.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSample {
    running: usize,
    waiting: usize,
    tokens_in_flight: u64,
    leaving: bool,
}

/// The reports of one server.
pub(crate) struct LoadLog {
    samples: Mutex<LaggedValue<LoadSample>>,
    slots: usize,
    models: Vec<String>,
}

impl LoadLog {
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

    /// Returns whether the last record is older than `age`.
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
