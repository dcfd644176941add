//! State that the requests of one engine share.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize};

use super::cache::{EventPage, PrefixCache};
use super::request::AnswerRequest;
use super::settings::EngineSettings;
use crate::lag::LaggedValue;
use crate::service::{MIN_SPEED, take_one};
use crate::slots::SlotQueue;

/// What a test changes while the engine runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EngineControl {
    speed: Option<f64>,
    leaving: Option<bool>,
    fail_next: Option<u64>,
    #[serde(default, deserialize_with = "present")]
    reset_after_tokens: Option<Option<u64>>,
    reset_before_answer: Option<u64>,
    refuse_next: Option<u64>,
    stall_ms: Option<u64>,
}

/// Tells a null from a field that isn't there.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Option<u64>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

/// A report of the engine's load.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoadReport {
    running: usize,
    waiting: usize,
    slots: usize,
    tokens_in_flight: u64,
    leaving: bool,
    models: Vec<String>,
}

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

/// Faults that are to come.
#[derive(Clone, Debug)]
pub(super) struct FaultPlan {
    pub(super) refuse_next: u64,
    fail_next: u64,
    reset_before_answer: u64,
    reset_after_tokens: Option<u64>,
    stalled_until: Instant,
}

/// The fault that meets one execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunFault {
    None,
    Fail,
    ResetBeforeAnswer,
    ResetAfterTokens(u64),
}

struct RunCounts {
    speed: f64,
    leaving: bool,
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
    loads: Mutex<LaggedValue<LoadReport>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        let report = LoadReport {
            running: 0,
            waiting: 0,
            slots: settings.slots,
            tokens_in_flight: 0,
            leaving: false,
            models: settings.models.clone(),
        };
        let counts = RunCounts {
            speed: settings.speed,
            leaving: false,
            tokens_in_flight: 0,
            report: ExecutionReport::default(),
        };
        let faults = FaultPlan {
            refuse_next: 0,
            fail_next: 0,
            reset_before_answer: 0,
            reset_after_tokens: None,
            stalled_until: now,
        };
        Self {
            slots: SlotQueue::new(settings.slots),
            counts: Mutex::new(counts),
            faults: Mutex::new(faults),
            cache: Mutex::new(PrefixCache::new(settings.cache_prefixes)),
            loads: Mutex::new(LaggedValue::new(report, settings.report_lag, now)),
            settings,
        }
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, FaultPlan> {
        lock(&self.faults)
    }

    pub(super) fn is_leaving(&self) -> bool {
        lock(&self.counts).leaving
    }

    pub(super) fn control(&self, control: EngineControl, now: Instant) {
        let mut counts = lock(&self.counts);
        counts.speed = control.speed.unwrap_or(counts.speed);
        counts.leaving = control.leaving.unwrap_or(counts.leaving);
        drop(counts);
        let mut faults = self.faults();
        faults.fail_next = control.fail_next.unwrap_or(faults.fail_next);
        faults.refuse_next = control.refuse_next.unwrap_or(faults.refuse_next);
        faults.reset_before_answer = control
            .reset_before_answer
            .unwrap_or(faults.reset_before_answer);
        faults.reset_after_tokens = control
            .reset_after_tokens
            .unwrap_or(faults.reset_after_tokens);
        if let Some(stall) = control.stall_ms {
            faults.stalled_until = now + Duration::from_millis(stall);
        }
        drop(faults);
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
        let mut faults = self.faults();
        if take_one(&mut faults.reset_before_answer) {
            return RunFault::ResetBeforeAnswer;
        }
        if take_one(&mut faults.fail_next) {
            return RunFault::Fail;
        }
        match faults.reset_after_tokens {
            Some(tokens) => RunFault::ResetAfterTokens(tokens),
            None => RunFault::None,
        }
    }

    pub(super) fn count_token(&self) {
        let mut counts = lock(&self.counts);
        counts.tokens_in_flight += 1;
        counts.report.tokens_generated += 1;
        drop(counts);
        self.record_load();
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

    pub(super) fn stalled_until(&self) -> Instant {
        self.faults().stalled_until
    }

    /// Returns the time to prefill a prompt, and stores its prefix.
    pub(super) fn prefill_time(&self, wanted: &AnswerRequest) -> Duration {
        let cached = wanted.prefix.as_ref().map_or(0, |(hash, tokens)| {
            lock(&self.cache).touch(hash, *tokens, Instant::now())
        });
        let tokens = (wanted.prompt_tokens - cached) as f64;
        let speed = lock(&self.counts).speed.max(MIN_SPEED);
        self.settings.prefill_per_token.mul_f64(tokens / speed)
    }

    /// Returns the time to the next token at the present batch size.
    pub(super) fn token_time(&self) -> Duration {
        let further = self.slots.usage().running.saturating_sub(1) as f64;
        let speed = lock(&self.counts).speed.max(MIN_SPEED);
        let slowdown = 1.0 + self.settings.batch_slowdown * further;
        self.settings.token_interval.mul_f64(slowdown / speed)
    }

    pub(super) fn record_load(&self) {
        let usage = self.slots.usage();
        let counts = lock(&self.counts);
        let report = LoadReport {
            running: usage.running,
            waiting: usage.waiting,
            slots: self.settings.slots,
            tokens_in_flight: counts.tokens_in_flight,
            leaving: counts.leaving,
            models: self.settings.models.clone(),
        };
        lock(&self.loads).record(report, Instant::now());
    }

    pub(super) fn load(&self) -> LoadReport {
        lock(&self.loads).read(Instant::now())
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
