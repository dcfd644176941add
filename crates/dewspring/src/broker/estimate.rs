//! Estimates the work of a request before the length of its answer is known.
//!
//! Work is measured in generated tokens: a prompt counts as the tokens that a
//! server would generate in the time in which it processes the prompt.
//!
//! Answer lengths are learned from releases, for each class and workspace. A
//! workspace with few releases uses the estimate of its class.

use indexmap::IndexMap;

use super::messages::GrantRequest;
use crate::ids::{ClassName, TokenCount, WorkspaceId};

/// Fixed work of every request, in tokens.
const REQUEST_OVERHEAD: TokenCount = 16;
/// Upper bound of an estimate, in tokens.
const MAX_WORK: TokenCount = 100_000_000;
/// Prompt tokens that an engine processes in the time of one generated token.
const PROMPT_TOKENS_PER_TOKEN: TokenCount = 16;
/// Assumed answer length before any release, in tokens.
const DEFAULT_ANSWER_TOKENS: TokenCount = 256;
/// Quantile of answer lengths for the normal estimate.
const MEDIAN: f32 = 0.5;
/// Quantile of answer lengths for the estimate of a long answer.
const HIGH_QUANTILE: f32 = 0.9;
/// Samples from which a workspace has an estimate of its own.
const MIN_SAMPLES: f32 = 8.0;
/// Total weight of samples at which all weights are halved.
const MAX_SAMPLES: f32 = 512.0;
/// Number of histogram buckets: 24 doublings of the length.
const BUCKET_COUNT: usize = 96;
/// Histogram buckets for each doubling of the length.
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Limit on the classes, and on the workspaces of a class, with a history.
const MAX_HISTORIES: usize = 256;

/// Returns the work of a prompt alone, in generated tokens.
pub(super) fn prompt_work(prompt: TokenCount) -> TokenCount {
    prompt / PROMPT_TOKENS_PER_TOKEN
}

/// Returns the work of a prompt and its answer, in generated tokens.
pub(super) fn request_work(prompt: TokenCount, answer: TokenCount) -> TokenCount {
    REQUEST_OVERHEAD
        .saturating_add(prompt_work(prompt))
        .saturating_add(answer)
        .min(MAX_WORK)
}

/// Answer lengths learned from releases.
#[derive(Debug, Default)]
pub(super) struct WorkEstimator {
    classes: IndexMap<ClassName, ClassHistory>,
}

#[derive(Debug, Default)]
struct ClassHistory {
    all: LengthHistogram,
    workspaces: IndexMap<WorkspaceId, LengthHistogram>,
}

impl WorkEstimator {
    /// Estimates the work of a request, in generated tokens.
    pub(super) fn work(&self, request: &GrantRequest) -> TokenCount {
        self.work_at_quantile(request, MEDIAN)
    }

    /// Estimates the work of a request with a long answer; `None` if no answer
    /// lengths of its class are known.
    pub(super) fn long_answer_work(&self, request: &GrantRequest) -> Option<TokenCount> {
        self.answer_quantile(&request.class, &request.workspace, HIGH_QUANTILE)?;
        Some(self.work_at_quantile(request, HIGH_QUANTILE))
    }

    fn work_at_quantile(&self, request: &GrantRequest, quantile: f32) -> TokenCount {
        let answer = self.answer_quantile(&request.class, &request.workspace, quantile);
        let answer = match (answer, request.max_tokens) {
            (Some(answer), Some(limit)) => answer.min(limit),
            (Some(answer), None) => answer,
            (None, limit) => limit.unwrap_or(DEFAULT_ANSWER_TOKENS),
        };
        request_work(request.prompt_tokens, answer)
    }

    /// Records the length of an answer.
    pub(super) fn record(
        &mut self,
        class: &ClassName,
        workspace: &WorkspaceId,
        answer: TokenCount,
    ) {
        let Some(history) = bounded_entry(&mut self.classes, class) else {
            return;
        };
        history.all.record(answer);
        if let Some(histogram) = bounded_entry(&mut history.workspaces, workspace) {
            histogram.record(answer);
        }
    }

    fn answer_quantile(
        &self,
        class: &ClassName,
        workspace: &WorkspaceId,
        quantile: f32,
    ) -> Option<TokenCount> {
        let history = self.classes.get(class)?;
        let own = history.workspaces.get(workspace);
        let own = own.filter(|histogram| histogram.total >= MIN_SAMPLES);
        own.unwrap_or(&history.all).quantile(quantile)
    }
}

/// Returns the value of a key, inserting a default value unless the map is
/// full.
fn bounded_entry<'a, V: Default>(
    map: &'a mut IndexMap<String, V>,
    key: &String,
) -> Option<&'a mut V> {
    if !map.contains_key(key) {
        if map.len() >= MAX_HISTORIES {
            return None;
        }
        map.insert(key.clone(), V::default());
    }
    map.get_mut(key)
}

/// A histogram of lengths in which older samples decay.
#[derive(Debug)]
struct LengthHistogram {
    buckets: [f32; BUCKET_COUNT],
    total: f32,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            buckets: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl LengthHistogram {
    fn record(&mut self, length: TokenCount) {
        if self.total >= MAX_SAMPLES {
            self.buckets.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
        }
        self.buckets[bucket_of(length)] += 1.0;
        self.total += 1.0;
    }

    fn quantile(&self, quantile: f32) -> Option<TokenCount> {
        if self.total < 1.0 {
            return None;
        }
        let wanted = self.total * quantile;
        let mut below = 0.0;
        for (bucket, weight) in self.buckets.iter().enumerate() {
            below += weight;
            if below >= wanted {
                return Some(bucket_midpoint(bucket));
            }
        }
        Some(bucket_midpoint(BUCKET_COUNT - 1))
    }
}

fn bucket_of(length: TokenCount) -> usize {
    let doublings = (length as f32 + 1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_midpoint(bucket: usize) -> TokenCount {
    let doublings = (bucket as f32 + 0.5) / BUCKETS_PER_DOUBLING;
    (doublings.exp2() - 1.0).round() as TokenCount
}
