//! State that the requests of one engine share.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;

use super::cache::{EventPage, PrefixCache};
use super::request::AnswerRequest;
use super::settings::EngineSettings;
use crate::faults::{FaultOrder, FaultPlan, RunFault};
use crate::load::{LoadLog, LoadReport};
use crate::slots::SlotQueue;

/// Time between records of the tokens in flight.
const TOKEN_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of what the engine ran.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct ExecutionReport {
    executions: IndexMap<String, u64>,
    resumed: IndexMap<String, u64>,
    tokens_generated: u64,
    tokens_wasted: u64,
    tokens_cut_off: u64,
    max_running: usize,
}

#[derive(Default)]
struct RunCounts {
    tokens_in_flight: u64,
    report: ExecutionReport,
}

/// The engine's shared state.
pub(super) struct EngineState {
    pub(super) settings: EngineSettings,
    pub(super) slots: SlotQueue,
    counts: Mutex<RunCounts>,
    faults: Mutex<FaultPlan>,
    cache: Mutex<PrefixCache>,
    loads: LoadLog,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let faults = FaultPlan::new(settings.speed, Instant::now());
        let models = settings.models.clone();
        Self {
            slots: SlotQueue::new(settings.slots),
            counts: Mutex::default(),
            faults: Mutex::new(faults),
            cache: Mutex::new(PrefixCache::new(settings.cache_prefixes)),
            loads: LoadLog::new(settings.slots, models, settings.report_lag),
            settings,
        }
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, FaultPlan> {
        lock(&self.faults)
    }

    pub(super) fn control(&self, order: &FaultOrder, now: Instant) {
        self.faults().apply(order, now);
        self.record_load();
    }

    /// Counts the start of an execution and returns the fault that meets it.
    pub(super) fn start(&self, wanted: &AnswerRequest) -> RunFault {
        let mut counts = lock(&self.counts);
        let report = &mut counts.report;
        let started = match wanted.is_resumed() {
            true => &mut report.resumed,
            false => &mut report.executions,
        };
        *started.entry(wanted.request_id.clone()).or_default() += 1;
        counts.tokens_in_flight += wanted.prompt_tokens;
        drop(counts);
        self.record_load();
        self.faults().take_run_fault()
    }

    pub(super) fn count_token(&self) {
        let mut counts = lock(&self.counts);
        counts.tokens_in_flight += 1;
        counts.report.tokens_generated += 1;
        drop(counts);
        if self.loads.is_stale(TOKEN_REPORT_INTERVAL) {
            self.record_load();
        }
    }

    /// Counts the end of an execution that gave `tokens`.
    pub(super) fn finish(&self, wanted: &AnswerRequest, tokens: u64) {
        let mut counts = lock(&self.counts);
        counts.tokens_in_flight -= wanted.prompt_tokens + tokens;
    }

    pub(super) fn count_wasted(&self, tokens: u64) {
        lock(&self.counts).report.tokens_wasted += tokens;
    }

    pub(super) fn count_cut_off(&self, tokens: u64) {
        lock(&self.counts).report.tokens_cut_off += tokens;
    }

    /// Returns the time to prefill a prompt, and stores its prefix.
    pub(super) fn prefill_time(&self, wanted: &AnswerRequest) -> Duration {
        let cached = wanted.prefix.as_ref().map_or(0, |(hash, tokens)| {
            lock(&self.cache).touch(hash, *tokens, Instant::now())
        });
        let tokens = (wanted.prompt_tokens - cached) as f64;
        let speed = self.faults().speed();
        self.settings.prefill_per_token.mul_f64(tokens / speed)
    }

    /// Returns the time to the next token at the present batch size.
    pub(super) fn token_time(&self) -> Duration {
        let further = self.slots.running().saturating_sub(1) as f64;
        let speed = self.faults().speed();
        let slowdown = 1.0 + self.settings.batch_slowdown * further;
        self.settings.token_interval.mul_f64(slowdown / speed)
    }

    pub(super) fn record_load(&self) {
        let leaving = self.faults().is_leaving();
        let tokens = lock(&self.counts).tokens_in_flight;
        self.loads.record(self.slots.usage(), tokens, leaving);
    }

    pub(super) fn load(&self) -> LoadReport<'_> {
        self.loads.read()
    }

    pub(super) fn cache_events(&self, after: u64, now: Instant) -> EventPage {
        let settings = &self.settings;
        lock(&self.cache).events(after, settings.report_lag, settings.event_gaps_percent, now)
    }

    pub(super) fn executions(&self) -> ExecutionReport {
        let mut report = lock(&self.counts).report.clone();
        report.max_running = self.slots.usage().max_running;
        report
    }
}
