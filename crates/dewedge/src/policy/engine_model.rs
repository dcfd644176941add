//! Learns the speed of a service's engines from the streams that a VM forwards.
//!
//! An engine works in steps. Each step reads up to one chunk of the unread
//! prompts and generates one token of every running request, and an event of a
//! stream holds the tokens of several steps. From outside, this shows as:
//!
//! - the time to the first event, a fixed part plus the prefill of the unread
//!   prompt;
//! - the gap between two events while no prompt is read, which grows with the
//!   number of running requests;
//! - the saturated gap, which is the gap while the engine reads full chunks in
//!   every step. It bounds the delay that other prompts can cause to a stream.
//!
//! Each figure starts from a prior and follows the samples with exponential
//! forgetting. [`placement`](super::placement) derives its limits from them.
//!
//! The main invariant: every estimate is finite and within a fixed factor of its
//! prior, whatever the samples are.

use std::time::Duration;

use indexmap::IndexMap;

/// Prior of the prefill rate, in prompt tokens per ms.
const PRIOR_PREFILL_RATE: f64 = 60.0;

/// Prior of the time to the first event apart from prefill, in ms.
const PRIOR_FIRST_EVENT_MS: f64 = 50.0;

/// Prior of the gap between two events of an otherwise idle engine, in ms.
const PRIOR_EVENT_GAP_MS: f64 = 18.0;

/// Prior of the growth of that gap with each running request, in ms.
const PRIOR_GAP_GROWTH_MS: f64 = 0.4;

/// Ratio of the saturated gap to the gap without prefill, unless samples show
/// another one. Engines choose the chunk size so that a step with a full chunk
/// takes one order of magnitude longer than a step without one.
const PRIOR_SATURATION: f64 = 16.0;

/// Bounds of that ratio.
const SATURATION_BOUNDS: (f64, f64) = (4.0, 40.0);

/// Running requests at which the ratio is defined.
const REFERENCE_RUNNING: u32 = 8;

/// Quantile of the long gaps that counts as the saturated gap.
const SATURATED_QUANTILE: f64 = 0.9;

/// Relative change of the saturated gap by one sample.
const SATURATION_STEP: f64 = 0.08;

/// Number of samples that a prior counts as.
const PRIOR_SAMPLES: f64 = 8.0;

/// Number of samples after which old ones are forgotten.
const MEMORY_SAMPLES: f64 = 400.0;

/// Largest factor between an estimate and its prior.
const MAX_DEVIATION: f64 = 10.0;

/// Largest ratio between a sample and its prediction; samples beyond it are
/// clipped, so that single outliers have little effect.
const MAX_RESIDUAL_RATIO: f64 = 2.0;

/// Least ratio of an engine's unread prompts to a gap for which reading them
/// explains the gap.
const EXPLAINING_BACKLOG_RATIO: f64 = 1.0;

/// Least ratio of an engine's unread prompts to the saturated gap for which a
/// shorter gap shows that the saturated gap is shorter, too. It is high because
/// prompts count as unread until their first events arrive.
const SATURATED_BACKLOG_RATIO: f64 = 2.0;

/// Ratio to the gap without prefill, from which a gap is long. Shorter ones show
/// that the engine had already read the prompts whose first events are awaited.
const LONG_GAP_RATIO: f64 = 4.0;

/// Relative change of the saturated gap at which the classification of streams
/// is updated, so that it doesn't alternate.
const CLASSIFICATION_HYSTERESIS: f64 = 0.12;

/// Margin of a gap target above the saturated gap, because slower engines and
/// larger batches have longer gaps than the mean.
const SENSITIVITY_MARGIN: f64 = 1.1;

/// Ratio to the tightest gap target up to which streams share its engines. The
/// prompts of other streams would delay the tightest ones more than they gain.
const TIGHTEST_TARGETS_RANGE: f64 = 1.25;

/// Ratio of a gap target to the saturated gap up to which a stream is
/// gap-sensitive even if other targets are tighter, because it would be late
/// whenever prompts are read beside it.
const SEVERE_TARGET_RATIO: f64 = 0.6;

/// Largest prefill time of a gap-sensitive stream, as a share of the tightest
/// gap target.
const MAX_PREFILL_SHARE: f64 = 0.25;

/// Prompt tokens at which the prior of the prefill rate has full weight.
const PROMPT_SCALE: f64 = 6000.0;

/// Running requests at which the prior of the gap growth has full weight.
const RUNNING_SCALE: f64 = 30.0;

/// Prior of the prefill time of a gap-sensitive stream, in ms.
const PRIOR_STREAM_PREFILL_MS: f64 = 15.0;

/// Prior of the duration of a gap-sensitive stream, in ms.
const PRIOR_STREAM_DURATION_MS: f64 = 1500.0;

/// Straight line fitted by weighted least squares with exponential forgetting.
#[derive(Clone, Copy, Debug)]
struct LineFit {
    prior: (f64, f64),
    /// Scale of the argument, at which the prior of the slope has full weight.
    scale: f64,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl LineFit {
    fn new(intercept: f64, slope: f64, scale: f64) -> Self {
        Self {
            prior: (intercept, slope),
            scale,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        }
    }

    fn record(&mut self, x: f64, y: f64) {
        let (intercept, slope) = self.line();
        let predicted = intercept + slope * x;
        let y = y.clamp(
            predicted / MAX_RESIDUAL_RATIO,
            predicted * MAX_RESIDUAL_RATIO,
        );
        let kept = 1.0 - 1.0 / MEMORY_SAMPLES;
        self.weight = self.weight * kept + 1.0;
        self.sum_x = self.sum_x * kept + x;
        self.sum_y = self.sum_y * kept + y;
        self.sum_xx = self.sum_xx * kept + x * x;
        self.sum_xy = self.sum_xy * kept + x * y;
    }

    /// Returns intercept and slope.
    ///
    /// The prior counts as samples at 0 and at the scale of the argument, so
    /// that the fit is defined for any samples.
    fn line(&self) -> (f64, f64) {
        let (intercept, slope) = self.prior;
        let half = PRIOR_SAMPLES / 2.0;
        let weight = self.weight + PRIOR_SAMPLES;
        let sum_x = self.sum_x + half * self.scale;
        let sum_y = self.sum_y + half * (2.0 * intercept + slope * self.scale);
        let sum_xx = self.sum_xx + half * self.scale * self.scale;
        let sum_xy = self.sum_xy + half * self.scale * (intercept + slope * self.scale);
        let spread = weight * sum_xx - sum_x * sum_x;
        let fitted = (weight * sum_xy - sum_x * sum_y) / spread;
        let fitted = within_deviation(fitted, slope);
        let start = (sum_y - fitted * sum_x) / weight;
        (within_deviation(start, intercept), fitted)
    }
}

fn within_deviation(value: f64, prior: f64) -> f64 {
    value.clamp(prior / MAX_DEVIATION, prior * MAX_DEVIATION)
}

/// Mean with exponential forgetting.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    weight: f64,
    sum: f64,
}

impl RunningMean {
    pub(super) fn record(&mut self, value: f64) {
        let kept = 1.0 - 1.0 / MEMORY_SAMPLES;
        self.weight = self.weight * kept + 1.0;
        self.sum = self.sum * kept + value;
    }

    pub(super) fn mean(&self, prior: f64) -> f64 {
        (self.sum + PRIOR_SAMPLES * prior) / (self.weight + PRIOR_SAMPLES)
    }
}

/// Time to the first event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventSample {
    /// Tokens of the prompt that the engine had to read.
    pub unread_tokens: u32,
    /// Prefill time of the other unread prompts at the engine, in ms.
    pub backlog_ms: f64,
    /// Time from sending the request to its first event.
    pub took: Duration,
}

/// Gap between two events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct GapSample {
    /// Length of the gap.
    pub gap: Duration,
    /// Prefill time of the unread prompts at the engine when the gap began, in
    /// ms.
    pub backlog_ms: f64,
    /// Whether no prompt was unread when the gap ended.
    pub ends_idle: bool,
    /// Requests at the engine.
    pub running: u32,
}

/// Targets of a class of streams, from its route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamClass {
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Target for the time to the first event.
    pub latency_target: Duration,
    /// Target for the gap between two events.
    pub event_gap_target: Duration,
}

/// Estimates for the engines of one service.
///
/// Engines of one service may differ in speed; placement multiplies these
/// estimates by the slowness of each engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    first_event: LineFit,
    event_gap: LineFit,
    /// Ratio of the saturated gap to the gap without prefill.
    saturation: f64,
    /// Saturated gap by which streams are classified, in ms.
    classified_gap_ms: f64,
    /// Tightest target for the gap between two events, in ms.
    tightest_target_ms: f64,
    classes: Vec<StreamClass>,
    stream_prefill: RunningMean,
    stream_duration: RunningMean,
}

impl Default for EngineModel {
    fn default() -> Self {
        let mut model = Self {
            first_event: LineFit::new(PRIOR_FIRST_EVENT_MS, 1.0 / PRIOR_PREFILL_RATE, PROMPT_SCALE),
            event_gap: LineFit::new(PRIOR_EVENT_GAP_MS, PRIOR_GAP_GROWTH_MS, RUNNING_SCALE),
            saturation: PRIOR_SATURATION,
            classified_gap_ms: 0.0,
            tightest_target_ms: f64::INFINITY,
            classes: Vec::new(),
            stream_prefill: RunningMean::default(),
            stream_duration: RunningMean::default(),
        };
        model.classified_gap_ms = model.saturated_gap_ms();
        model
    }
}

impl EngineModel {
    /// Returns the prefill time of so many tokens, in ms.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::engine_model::{EngineModel, FirstEventSample};
    /// use std::time::Duration;
    ///
    /// let mut model = EngineModel::default();
    /// let prior = model.prefill_ms(6000);
    /// for unread_tokens in [500, 2000, 4000, 8000].repeat(50) {
    ///     // 30 tokens per ms after 80 ms.
    ///     let took = Duration::from_millis(80 + u64::from(unread_tokens) / 30);
    ///     model.record_first_event(FirstEventSample { unread_tokens, backlog_ms: 0.0, took });
    /// }
    /// assert!(model.prefill_ms(6000) > 1.8 * prior);
    /// ```
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        self.first_event.line().1 * f64::from(tokens)
    }

    /// Returns the time to the first event apart from prefill, in ms.
    pub fn first_event_ms(&self) -> f64 {
        self.first_event.line().0
    }

    /// Returns the gap between two events while no prompt is read, in ms.
    pub fn event_gap_ms(&self, running: u32) -> f64 {
        let (idle, growth) = self.event_gap.line();
        idle + growth * f64::from(running)
    }

    /// Returns the growth of that gap with each running request, in ms.
    pub fn gap_growth_ms(&self) -> f64 {
        self.event_gap.line().1
    }

    /// Returns the gap between two events while the engine reads full chunks in
    /// every step, in ms.
    pub fn saturated_gap_ms(&self) -> f64 {
        self.saturation * self.event_gap_ms(REFERENCE_RUNNING)
    }

    /// Returns whether a stream is gap-sensitive: prompts at the same engine can
    /// delay its events beyond the target, the target is among the tightest ones
    /// of the service, and its own prompt can't delay other such streams.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::engine_model::EngineModel;
    /// use std::time::Duration;
    ///
    /// let model = EngineModel::default();
    /// assert!(model.is_gap_sensitive(Duration::from_millis(200), 800));
    /// assert!(!model.is_gap_sensitive(Duration::from_millis(200), 20_000));
    /// assert!(!model.is_gap_sensitive(Duration::from_secs(2), 800));
    /// ```
    pub fn is_gap_sensitive(&self, event_gap_target: Duration, prompt_tokens: u32) -> bool {
        let target_ms = event_gap_target.as_secs_f64() * 1000.0;
        let tightest_ms = target_ms.min(self.tightest_target_ms);
        let is_tight = target_ms <= tightest_ms * TIGHTEST_TARGETS_RANGE
            || target_ms <= self.classified_gap_ms * SEVERE_TARGET_RATIO;
        is_tight
            && target_ms < self.classified_gap_ms * SENSITIVITY_MARGIN
            && self.prefill_ms(prompt_tokens) <= tightest_ms * MAX_PREFILL_SHARE
    }

    /// Sets the classes of streams that the service serves, from the operators'
    /// tables.
    pub fn set_classes(&mut self, classes: Vec<StreamClass>) {
        let targets = classes.iter().map(|class| class.event_gap_target);
        let tightest = targets.min().map(|target| target.as_secs_f64() * 1000.0);
        self.tightest_target_ms = tightest.unwrap_or(f64::INFINITY);
        self.classes = classes;
    }

    /// Returns the tightest target for the gap between two events, in ms; infinite
    /// without streams.
    pub fn tightest_target_ms(&self) -> f64 {
        self.tightest_target_ms
    }

    /// Returns the classes that are more urgent than a rank and share their
    /// engines with it, because they aren't gap-sensitive.
    pub fn more_urgent_classes(&self, priority: u8) -> impl Iterator<Item = &StreamClass> {
        self.classes.iter().filter(move |class| {
            class.priority < priority && !self.is_gap_sensitive(class.event_gap_target, 0)
        })
    }

    /// Returns the share of an engine's time that the prefill of one
    /// gap-sensitive stream takes while the stream runs.
    pub fn stream_prefill_share(&self) -> f64 {
        let prefill = self.stream_prefill.mean(PRIOR_STREAM_PREFILL_MS);
        prefill / self.stream_duration.mean(PRIOR_STREAM_DURATION_MS).max(1.0)
    }

    /// Records the time to the first event of a stream.
    ///
    /// Samples with other unread prompts are ignored, because the order in
    /// which the engine reads them is unknown.
    pub fn record_first_event(&mut self, sample: FirstEventSample) {
        if sample.backlog_ms > 0.0 {
            return;
        }
        let took_ms = sample.took.as_secs_f64() * 1000.0;
        self.first_event
            .record(f64::from(sample.unread_tokens), took_ms);
    }

    /// Records the gap between two events of a stream, and returns whether the
    /// saturated gap by which streams are classified has changed.
    pub fn record_gap(&mut self, sample: GapSample) -> bool {
        let gap_ms = sample.gap.as_secs_f64() * 1000.0;
        let saturated_ms = self.saturated_gap_ms();
        if sample.backlog_ms <= 0.0 && sample.ends_idle {
            self.event_gap.record(f64::from(sample.running), gap_ms);
        } else if gap_ms > saturated_ms {
            if sample.backlog_ms >= EXPLAINING_BACKLOG_RATIO * gap_ms {
                self.adjust_saturation(SATURATED_QUANTILE);
            }
        } else if sample.backlog_ms >= SATURATED_BACKLOG_RATIO * saturated_ms
            && gap_ms >= LONG_GAP_RATIO * self.event_gap_ms(sample.running)
        {
            self.adjust_saturation(SATURATED_QUANTILE - 1.0);
        }
        self.reclassify()
    }

    /// Records the prefill time and the duration of a gap-sensitive stream.
    pub fn record_stream(&mut self, prefill_ms: f64, duration: Duration) {
        self.stream_prefill.record(prefill_ms);
        self.stream_duration.record(duration.as_secs_f64() * 1000.0);
    }

    fn adjust_saturation(&mut self, direction: f64) {
        let (least, most) = SATURATION_BOUNDS;
        let changed = self.saturation * (1.0 + SATURATION_STEP * direction);
        self.saturation = changed.clamp(least, most);
    }

    fn reclassify(&mut self) -> bool {
        let estimate = self.saturated_gap_ms();
        let change = (estimate - self.classified_gap_ms).abs();
        let changed = change > CLASSIFICATION_HYSTERESIS * self.classified_gap_ms;
        if changed {
            self.classified_gap_ms = estimate;
        }
        changed
    }
}

/// The models of all services.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    models: IndexMap<String, EngineModel>,
    prior: EngineModel,
}

impl ModelTable {
    /// Returns the model of a service; without samples it is the prior.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::engine_model::ModelTable;
    ///
    /// let mut table = ModelTable::default();
    /// let prior = table.get("draft").first_event_ms();
    /// assert_eq!(table.get_mut("draft").first_event_ms(), prior);
    /// ```
    pub fn get(&self, service: &str) -> &EngineModel {
        self.models.get(service).unwrap_or(&self.prior)
    }

    /// Returns the model of a service for recording samples.
    pub fn get_mut(&mut self, service: &str) -> &mut EngineModel {
        if !self.models.contains_key(service) {
            self.models
                .insert(service.to_string(), EngineModel::default());
        }
        &mut self.models[service]
    }
}
