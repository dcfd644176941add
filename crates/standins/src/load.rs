//! Load reports, which are read later than they were true.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::lag::LaggedValue;
use crate::slots::SlotUsage;

/// A report of a server's load.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadReport {
    running: usize,
    waiting: usize,
    slots: usize,
    tokens_in_flight: u64,
    leaving: bool,
    models: Vec<String>,
}

/// The reports of one server.
pub(crate) struct LoadLog {
    reports: Mutex<LaggedValue<LoadReport>>,
    empty: LoadReport,
}

impl LoadLog {
    pub(crate) fn new(slots: usize, models: Vec<String>, lag: Duration) -> Self {
        let empty = LoadReport {
            running: 0,
            waiting: 0,
            slots,
            tokens_in_flight: 0,
            leaving: false,
            models,
        };
        Self {
            reports: Mutex::new(LaggedValue::new(empty.clone(), lag, Instant::now())),
            empty,
        }
    }

    pub(crate) fn record(&self, usage: SlotUsage, tokens_in_flight: u64, leaving: bool) {
        let report = LoadReport {
            running: usage.running,
            waiting: usage.waiting,
            tokens_in_flight,
            leaving,
            ..self.empty.clone()
        };
        let mut reports = self.reports.lock().expect("no holder of the lock panics");
        reports.record(report, Instant::now());
    }

    pub(crate) fn read(&self) -> LoadReport {
        let mut reports = self.reports.lock().expect("no holder of the lock panics");
        reports.read(Instant::now())
    }
}
