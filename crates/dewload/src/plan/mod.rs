//! The requests of a run, drawn in advance from the workload and a seed.
//!
//! The plan depends on nothing else, so two runs with the same seed send the
//! same requests at the same times. Each class has its own random number
//! generator, so a change to one class leaves the others unchanged.

mod sample;
#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::workload::{ClassSpec, PrefixSpec, WorkloadSpec};
use sample::{draw_exponential, draw_length, draw_weighted};

/// Difference between the seeds of consecutive classes: 2^64 divided by the
/// golden ratio.
const CLASS_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
const MAX_REPEAT_DELAY_MILLIS: u64 = 1000;

/// One request of the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlannedRequest {
    /// Position in the sending order, starting with 0.
    pub(crate) sequence: usize,
    /// Send time, relative to the start of the run.
    pub(crate) at: Duration,
    /// Index of the class.
    pub(crate) class: usize,
    /// Index of the target.
    pub(crate) target: usize,
    /// Name of the workspace.
    pub(crate) workspace: String,
    /// Number of the shared prefix, if the prompt begins with one.
    pub(crate) prefix: Option<u32>,
    /// Tokens of the prompt, including its prefix.
    pub(crate) prompt_tokens: u64,
    /// Tokens of the completion; `None` for plain services.
    pub(crate) answer_tokens: Option<u64>,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// Whether an earlier request carries the same key.
    pub(crate) is_repeat: bool,
}

/// Draws all requests of a run, in sending order.
///
/// `run` is part of the idempotency keys and distinguishes them from those of
/// other runs.
///
/// # Panics
///
/// Panics if `weights` is empty.
pub(crate) fn plan_requests(
    workload: &WorkloadSpec,
    weights: &[u32],
    seed: u64,
    run: &str,
) -> Vec<PlannedRequest> {
    assert!(!weights.is_empty(), "there is a target");
    let mut requests = Vec::new();
    for index in 0..workload.classes.len() {
        let class_requests = plan_class(workload, index, seed, run);
        requests.extend(class_requests);
    }
    requests.sort_by_key(|request| request.at);
    assign_targets(&mut requests, weights);
    requests
}

/// Distributes the requests over the targets; a repeat goes to the target after
/// that of the first request with its key.
fn assign_targets(requests: &mut [PlannedRequest], weights: &[u32]) {
    let mut rotation = TargetRotation::new(weights);
    let mut targets: IndexMap<String, usize> = IndexMap::new();
    for (sequence, request) in requests.iter_mut().enumerate() {
        request.sequence = sequence;
        let first = request.key.as_ref().and_then(|key| targets.get(key));
        request.target = match first {
            Some(target) => (target + 1) % weights.len(),
            None => rotation.next_target(),
        };
        if let Some(key) = &request.key {
            targets.entry(key.clone()).or_insert(request.target);
        }
    }
}

fn plan_class(workload: &WorkloadSpec, index: usize, seed: u64, run: &str) -> Vec<PlannedRequest> {
    let class = &workload.classes[index];
    let class_seed = seed.wrapping_add(CLASS_SEED_STEP.wrapping_mul(index as u64 + 1));
    let mut generator = StdRng::seed_from_u64(class_seed);
    let mut requests = Vec::new();
    for at in arrival_times(class, workload.duration_seconds, &mut generator) {
        let mut request = draw_request(class, index, at, &mut generator);
        if class.keyed {
            request.key = Some(format!("{}-{run}-{}", class.name, requests.len()));
        }
        let is_repeated = generator.random_range(0..100) < class.repeat_percent;
        let delay = Duration::from_millis(generator.random_range(0..MAX_REPEAT_DELAY_MILLIS));
        let repeat = is_repeated.then(|| PlannedRequest {
            at: at + delay,
            is_repeat: true,
            ..request.clone()
        });
        requests.push(request);
        requests.extend(repeat);
    }
    requests
}

/// Draws the times of Poisson arrivals at the rate of the class, which a burst
/// multiplies by its factor.
///
/// The intervals are drawn for the base rate and shortened within the burst.
fn arrival_times(class: &ClassSpec, duration: f64, generator: &mut StdRng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut now = 0.0;
    loop {
        now = advance(
            class,
            now,
            draw_exponential(generator, class.rate_per_second),
        );
        if now >= duration {
            return times;
        }
        times.push(Duration::from_secs_f64(now));
    }
}

/// Returns the time `base_seconds` after `now`, where time within the burst counts
/// multiplied by its factor.
fn advance(class: &ClassSpec, now: f64, base_seconds: f64) -> f64 {
    let Some(burst) = &class.burst else {
        return now + base_seconds;
    };
    let (start, end) = (
        burst.start_seconds,
        burst.start_seconds + burst.length_seconds,
    );
    let before_burst = (start - now).max(0.0);
    if base_seconds <= before_burst {
        return now + base_seconds;
    }
    let burst_begin = now.max(start);
    let burst_base_seconds = (end - burst_begin).max(0.0) * burst.factor;
    let remaining = base_seconds - before_burst;
    match remaining <= burst_base_seconds {
        true => burst_begin + remaining / burst.factor,
        false => burst_begin.max(end) + remaining - burst_base_seconds,
    }
}

fn draw_request(
    class: &ClassSpec,
    index: usize,
    at: Duration,
    generator: &mut StdRng,
) -> PlannedRequest {
    let workspace = draw_weighted(generator, &class.workspaces, |share| share.weight);
    let prefix = class
        .prefix
        .as_ref()
        .and_then(|prefix| draw_prefix(prefix, generator));
    let prefix_tokens = match (&class.prefix, prefix) {
        (Some(spec), Some(_)) => spec.tokens,
        _ => 0,
    };
    let prompt_tokens = draw_length(generator, &class.prompt_tokens).max(prefix_tokens + 1);
    let answer = class.answer_tokens.as_ref();
    PlannedRequest {
        sequence: 0,
        at,
        class: index,
        target: 0,
        workspace: workspace.name.clone(),
        prefix,
        prompt_tokens,
        answer_tokens: answer.map(|length| draw_length(generator, length)),
        key: None,
        is_repeat: false,
    }
}

fn draw_prefix(prefix: &PrefixSpec, generator: &mut StdRng) -> Option<u32> {
    let is_shared = generator.random_range(0..100) < prefix.share_percent;
    is_shared.then(|| generator.random_range(0..prefix.count))
}

/// Distributes requests over targets by smooth weighted round-robin.
struct TargetRotation {
    weights: Vec<i64>,
    credits: Vec<i64>,
}

impl TargetRotation {
    fn new(weights: &[u32]) -> Self {
        Self {
            weights: weights.iter().map(|weight| i64::from(*weight)).collect(),
            credits: vec![0; weights.len()],
        }
    }

    fn next_target(&mut self) -> usize {
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let credits = self.credits.iter().enumerate();
        let (target, _) = credits
            .max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))
            .expect("there is a target");
        self.credits[target] -= self.weights.iter().sum::<i64>();
        target
    }
}
