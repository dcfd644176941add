//! How much work a request is before its answer is known.
//!
//! Lengths of answers are learnt from releases, by class and workspace. A
//! workspace with few releases is estimated as its class.

use indexmap::IndexMap;

use super::messages::GrantRequest;
use crate::ids::{ClassName, TokenCount, WorkspaceId};

/// Work of any request besides its tokens, in tokens.
const REQUEST_OVERHEAD: TokenCount = 16;
/// Largest work that is reckoned with, in tokens.
const MAX_WORK: TokenCount = 100_000_000;
/// Prompt tokens that an engine reads in the time of one generated token.
const PROMPT_TOKENS_PER_TOKEN: TokenCount = 16;
/// Answer that is assumed before anything is known, in tokens.
const DEFAULT_ANSWER: TokenCount = 256;
/// Share of answers that are no longer than the estimate.
const MEDIAN: f32 = 0.5;
/// Share of answers that are no longer than the longest that is reckoned with.
const LONGEST: f32 = 0.9;
/// Releases after which a workspace is estimated by itself.
const MIN_SAMPLES: f32 = 8.0;
/// Weight of samples at which older ones begin to count less.
const MAX_SAMPLES: f32 = 512.0;
/// Buckets of a histogram: four to each doubling of the length.
const BUCKET_COUNT: usize = 96;
/// Buckets to each doubling of the length.
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Classes, and workspaces of a class, that are remembered.
const MAX_HISTORIES: usize = 256;

/// Returns the work of a prompt alone, in generated tokens.
pub(super) fn prompt_work(prompt: TokenCount) -> TokenCount {
    prompt / PROMPT_TOKENS_PER_TOKEN
}

/// Returns the work of a prompt and its answer, in generated tokens.
pub(super) fn work_of(prompt: TokenCount, answer: TokenCount) -> TokenCount {
    REQUEST_OVERHEAD
        .saturating_add(prompt_work(prompt))
        .saturating_add(answer)
        .min(MAX_WORK)
}

/// What releases have taught about the lengths of answers.
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
        self.work_at(request, MEDIAN)
    }

    /// Estimates the work of a request if its answer is among the long ones;
    /// `None` if nothing is known of answers in its class.
    pub(super) fn longest_work(&self, request: &GrantRequest) -> Option<TokenCount> {
        self.answer(&request.class, &request.workspace, LONGEST)?;
        Some(self.work_at(request, LONGEST))
    }

    fn work_at(&self, request: &GrantRequest, quantile: f32) -> TokenCount {
        let answer = self.answer(&request.class, &request.workspace, quantile);
        let answer = match (answer, request.max_tokens) {
            (Some(answer), Some(limit)) => answer.min(limit),
            (Some(answer), None) => answer,
            (None, limit) => limit.unwrap_or(DEFAULT_ANSWER),
        };
        work_of(request.prompt_tokens, answer)
    }

    /// Learns the length of an answer.
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

    fn answer(
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

/// Returns the value of a key, made if there is room for it.
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

/// A running histogram of lengths, in which old samples count less.
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
                return Some(middle_of(bucket));
            }
        }
        Some(middle_of(BUCKET_COUNT - 1))
    }
}

fn bucket_of(length: TokenCount) -> usize {
    let doublings = (length as f32 + 1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn middle_of(bucket: usize) -> TokenCount {
    let doublings = (bucket as f32 + 0.5) / BUCKETS_PER_DOUBLING;
    (doublings.exp2() - 1.0).round() as TokenCount
}
