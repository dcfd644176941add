//! State shared by the requests of one engine.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;

use super::cache::{EventPage, PrefixCache};
use super::request::CompletionRequest;
use super::settings::EngineSettings;
use crate::faults::{ExecutionFault, FaultControl, FaultState};
use crate::load::{LaggedLoad, LoadReport};
use crate::slots::SlotQueue;

/// Minimum time between load samples that are caused by generated tokens.
const TOKEN_RECORD_INTERVAL: Duration = Duration::from_millis(5);

/// Execution and token counts, as `/executions` returns them.
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
struct EngineCounts {
    tokens_in_flight: u64,
    report: ExecutionReport,
}

/// The engine's shared state.
pub(super) struct EngineState {
    pub(super) settings: EngineSettings,
    pub(super) slots: SlotQueue,
    counts: Mutex<EngineCounts>,
    faults: Mutex<FaultState>,
    cache: Mutex<PrefixCache>,
    lagged_load: LaggedLoad,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let faults = FaultState::new(settings.speed, Instant::now());
        let models = settings.models.clone();
        Self {
            slots: SlotQueue::new(settings.slots),
            counts: Mutex::default(),
            faults: Mutex::new(faults),
            cache: Mutex::new(PrefixCache::new(settings.cache_prefixes)),
            lagged_load: LaggedLoad::new(settings.slots, models, settings.report_lag),
            settings,
        }
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, FaultState> {
        lock(&self.faults)
    }

    pub(super) fn control(&self, control: &FaultControl, now: Instant) {
        self.faults().apply(control, now);
        self.record_load();
    }

    /// Counts the start of an execution and returns its injected fault.
    pub(super) fn start_execution(&self, request: &CompletionRequest) -> ExecutionFault {
        let mut counts = lock(&self.counts);
        let report = &mut counts.report;
        let started = match request.is_resumed() {
            true => &mut report.resumed,
            false => &mut report.executions,
        };
        *started.entry(request.request_id.clone()).or_default() += 1;
        counts.tokens_in_flight += request.prompt_tokens;
        drop(counts);
        self.record_load();
        self.faults().next_execution_fault()
    }

    pub(super) fn count_token(&self) {
        let mut counts = lock(&self.counts);
        counts.tokens_in_flight += 1;
        counts.report.tokens_generated += 1;
        drop(counts);
        if self.lagged_load.is_stale(TOKEN_RECORD_INTERVAL) {
            self.record_load();
        }
    }

    /// Removes an ended execution, which generated `tokens`, from the load.
    pub(super) fn finish_execution(&self, request: &CompletionRequest, tokens: u64) {
        let mut counts = lock(&self.counts);
        counts.tokens_in_flight -= request.prompt_tokens + tokens;
    }

    pub(super) fn count_wasted(&self, tokens: u64) {
        lock(&self.counts).report.tokens_wasted += tokens;
    }

    pub(super) fn count_cut_off(&self, tokens: u64) {
        lock(&self.counts).report.tokens_cut_off += tokens;
    }

    /// Returns the time to prefill a prompt, and stores its prefix in the
    /// cache.
    pub(super) fn prefill_time(&self, request: &CompletionRequest) -> Duration {
        let cached = request.prefix.as_ref().map_or(0, |(hash, tokens)| {
            lock(&self.cache).touch(hash, *tokens, Instant::now())
        });
        let tokens = (request.prompt_tokens - cached) as f64;
        let speed = self.faults().speed();
        self.settings.prefill_per_token.mul_f64(tokens / speed)
    }

    /// Returns the time to the next token at the current batch size.
    pub(super) fn token_time(&self) -> Duration {
        let others = self.slots.running().saturating_sub(1) as f64;
        let speed = self.faults().speed();
        let slowdown = 1.0 + self.settings.batch_slowdown * others;
        self.settings.token_interval.mul_f64(slowdown / speed)
    }

    pub(super) fn record_load(&self) {
        let leaving = self.faults().is_leaving();
        let tokens = lock(&self.counts).tokens_in_flight;
        self.lagged_load.record(self.slots.usage(), tokens, leaving);
    }

    pub(super) fn load(&self) -> LoadReport<'_> {
        self.lagged_load.read()
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
