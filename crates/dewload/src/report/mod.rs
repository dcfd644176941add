//! What a run gave, by class and for the servers.

mod quantiles;
mod table;
#[cfg(test)]
mod tests;

pub(crate) use quantiles::{LatencyHistogram, LatencyQuantiles};
pub(crate) use table::{csv_text, table_text};

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::client::RequestOutcome;
use crate::runner::{FinishedRequest, FinishedRun, ServerCounts};
use crate::workload::{ClassSpec, LateValue, WorkloadSpec};

/// Identity that an engine gives to requests without one.
const ANONYMOUS_ID: &str = "anonymous";
const LATE_START: Duration = Duration::from_millis(20);

/// Numbers of requests by their ends.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct OutcomeCounts {
    pub(crate) sent: u64,
    pub(crate) completed: u64,
    /// Refusals by status and by what the answer says of the execution.
    pub(crate) refused: IndexMap<String, u64>,
    /// Open ends by status or by the kind of error.
    pub(crate) unknown: IndexMap<String, u64>,
    pub(crate) broken: u64,
    pub(crate) wrong: u64,
    pub(crate) unreachable: u64,
}

impl OutcomeCounts {
    fn count(&mut self, outcome: &RequestOutcome) {
        self.sent += 1;
        let count = match outcome {
            RequestOutcome::Completed => &mut self.completed,
            RequestOutcome::Refused { status, ran } => {
                self.refused.entry(format!("{status} {ran}")).or_default()
            }
            RequestOutcome::Unknown { reason } => self.unknown.entry(reason.clone()).or_default(),
            RequestOutcome::Broken => &mut self.broken,
            RequestOutcome::Wrong => &mut self.wrong,
            RequestOutcome::Unreachable => &mut self.unreachable,
        };
        *count += 1;
    }
}

/// What one class got.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ClassReport {
    pub(crate) class: String,
    /// First sendings.
    pub(crate) outcomes: OutcomeCounts,
    /// Second sendings with the same key.
    pub(crate) repeats: OutcomeCounts,
    /// Complete answers within all targets of the class.
    pub(crate) in_target: u64,
    /// Share of the requests that were sent, in percent.
    pub(crate) attainment_percent: f64,
    /// The same for requests sent during the burst of any class.
    pub(crate) attainment_in_burst_percent: Option<f64>,
    /// Requests that started late since too many were in flight.
    pub(crate) late_starts: u64,
    /// Tokens of useful answers.
    pub(crate) useful_tokens: u64,
    /// Useful tokens a second of the run.
    pub(crate) goodput_tokens_per_second: f64,
    /// Useful answers a second of the run.
    pub(crate) goodput_answers_per_second: f64,
    pub(crate) first_token: LatencyQuantiles,
    pub(crate) between_tokens: LatencyQuantiles,
    pub(crate) whole_answer: LatencyQuantiles,
}

/// What the servers counted during the run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct WasteReport {
    pub(crate) servers_asked: usize,
    /// Servers that gave no counts at the end; the sums below lack them.
    pub(crate) servers_gone: usize,
    pub(crate) tokens_generated: u64,
    /// Tokens of callers that went away.
    pub(crate) tokens_wasted: u64,
    /// Tokens that were given before a reset.
    pub(crate) tokens_cut_off: u64,
    /// Tokens that were generated and reached no caller in a complete answer,
    /// in percent.
    pub(crate) not_useful_percent: f64,
    /// Request identities that ran more than once.
    pub(crate) repeated_requests: u64,
    /// Idempotency keys that ran more than once.
    pub(crate) repeated_keys: u64,
    pub(crate) resumed_requests: u64,
}

/// The report of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RunReport {
    pub(crate) seed: u64,
    pub(crate) planned_seconds: f64,
    pub(crate) elapsed_seconds: f64,
    pub(crate) classes: Vec<ClassReport>,
    pub(crate) waste: WasteReport,
    pub(crate) failed_faults: Vec<String>,
}

/// Sums up a run; `counts` holds what each server counted during it, or nothing
/// if the server was gone at the end.
pub(crate) fn report_run(
    workload: &WorkloadSpec,
    mut run: FinishedRun,
    counts: &[Option<ServerCounts>],
    seed: u64,
) -> RunReport {
    mark_shared_ids(&mut run.requests);
    let classes = workload
        .classes
        .iter()
        .enumerate()
        .map(|(index, class)| {
            let is_burst = |request: &FinishedRequest| workload.is_burst(request.planned.at);
            report_class(class, index, &run, is_burst)
        })
        .collect();
    RunReport {
        seed,
        planned_seconds: workload.duration_seconds,
        elapsed_seconds: run.elapsed.as_secs_f64(),
        classes,
        waste: report_waste(&run, counts),
        failed_faults: run.failed_faults,
    }
}

/// An identity belongs to one request: a second answer under it is wrong.
fn mark_shared_ids(requests: &mut [FinishedRequest]) {
    let mut known = IndexSet::new();
    let answered = requests
        .iter_mut()
        .filter(|request| request.answer.outcome == RequestOutcome::Completed)
        .filter(|request| !request.planned.is_repeat);
    for request in answered {
        let Some(id) = &request.answer.request_id else {
            continue;
        };
        if id != ANONYMOUS_ID && !known.insert(id.clone()) {
            request.answer.outcome = RequestOutcome::Wrong;
        }
    }
}

fn report_class(
    class: &ClassSpec,
    index: usize,
    run: &FinishedRun,
    is_burst: impl Fn(&FinishedRequest) -> bool,
) -> ClassReport {
    let mut outcomes = OutcomeCounts::default();
    let mut repeats = OutcomeCounts::default();
    let mut latencies = ClassLatencies::default();
    let (mut in_target, mut late_starts) = (0, 0);
    let (mut useful_tokens, mut useful_answers) = (0, 0);
    let (mut burst_sent, mut burst_in_target) = (0, 0);
    let requests = run
        .requests
        .iter()
        .filter(|request| request.planned.class == index);
    for request in requests {
        if request.planned.is_repeat {
            repeats.count(&request.answer.outcome);
            continue;
        }
        outcomes.count(&request.answer.outcome);
        burst_sent += u64::from(is_burst(request));
        late_starts += u64::from(request.delay > LATE_START);
        if request.answer.outcome != RequestOutcome::Completed {
            continue;
        }
        latencies.record(request);
        let is_in_target = meets_target(class, request);
        in_target += u64::from(is_in_target);
        burst_in_target += u64::from(is_in_target && is_burst(request));
        if is_in_target || class.late == LateValue::Useful {
            useful_tokens += request.answer.tokens;
            useful_answers += 1;
        }
    }
    let seconds = run.elapsed.as_secs_f64();
    ClassReport {
        class: class.name.clone(),
        in_target,
        attainment_percent: percent(in_target, outcomes.sent),
        attainment_in_burst_percent: (burst_sent > 0).then(|| percent(burst_in_target, burst_sent)),
        outcomes,
        repeats,
        late_starts,
        useful_tokens,
        goodput_tokens_per_second: useful_tokens as f64 / seconds,
        goodput_answers_per_second: f64::from(useful_answers) / seconds,
        first_token: latencies.first_token.quantiles(),
        between_tokens: latencies.between_tokens.quantiles(),
        whole_answer: latencies.whole_answer.quantiles(),
    }
}

/// Latencies of the complete answers of one class.
#[derive(Default)]
struct ClassLatencies {
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    whole_answer: LatencyHistogram,
}

impl ClassLatencies {
    fn record(&mut self, request: &FinishedRequest) {
        let times = &request.answer.times;
        if let Some(first) = times.first_token {
            self.first_token.record(first);
        }
        for gap in &times.gaps {
            self.between_tokens.record(*gap);
        }
        self.whole_answer.record(times.end);
    }
}

fn meets_target(class: &ClassSpec, request: &FinishedRequest) -> bool {
    let times = &request.answer.times;
    let is_first_in_time = match (class.first_token_ms, times.first_token) {
        (Some(target), Some(first)) => first <= Duration::from_millis(target),
        (Some(_), None) => false,
        (None, _) => true,
    };
    is_first_in_time && times.end <= Duration::from_millis(class.target_ms)
}

fn report_waste(run: &FinishedRun, counts: &[Option<ServerCounts>]) -> WasteReport {
    let mut sum = ServerCounts::default();
    counts.iter().flatten().for_each(|counts| sum.add(counts));
    let received: u64 = run
        .requests
        .iter()
        .filter(|request| request.answer.outcome == RequestOutcome::Completed)
        .map(|request| request.answer.tokens)
        .sum();
    WasteReport {
        servers_asked: counts.len(),
        servers_gone: counts.iter().filter(|counts| counts.is_none()).count(),
        tokens_generated: sum.tokens_generated,
        tokens_wasted: sum.tokens_wasted,
        tokens_cut_off: sum.tokens_cut_off,
        not_useful_percent: percent(
            sum.tokens_generated.saturating_sub(received),
            sum.tokens_generated,
        ),
        repeated_requests: repeated_names(&sum.executions),
        repeated_keys: repeated_names(&sum.keys),
        resumed_requests: sum.resumed.len() as u64,
    }
}

fn repeated_names(counts: &IndexMap<String, u64>) -> u64 {
    let repeated = counts
        .iter()
        .filter(|(name, count)| *name != ANONYMOUS_ID && **count > 1);
    repeated.count() as u64
}

fn percent(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => 100.0 * part as f64 / whole as f64,
    }
}
