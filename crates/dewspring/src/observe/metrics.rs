//! Metrics of one daemon in the OpenMetrics text format, which Prometheus scrapes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::broker::RefusalReason;
use crate::ids::{ClassName, TokenCount};

/// Upper bound of the histograms' first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 20;

/// Labels of the metrics that are kept per class of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ClassLabels {
    /// Class of the request.
    pub class: ClassName,
}

/// Labels of the counter of refused requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// Class of the request.
    pub class: ClassName,
    /// Reason of the refusal.
    pub reason: String,
}

/// Why generated tokens were wasted.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum WasteCause {
    /// The server aborted the response.
    Broken,
    /// The caller disconnected.
    Cancelled,
    /// The response missed its target and was useless by then.
    Late,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WasteLabels {
    cause: WasteCause,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SourceLabels {
    source: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LimitLabels {
    limit: &'static str,
    effect: &'static str,
}

type HistogramFamily = Family<ClassLabels, Histogram, fn() -> Histogram>;
type CounterFamily = Family<ClassLabels, Counter>;

/// Metrics of one daemon; clones share them.
///
/// # Examples
///
/// ```
/// use dewspring::observe::DaemonMetrics;
///
/// let metrics = DaemonMetrics::new();
/// metrics.count_request("memo");
/// assert!(metrics.to_text().contains("dewspring_requests_total"));
/// ```
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    registry: Arc<Registry>,
    requests: CounterFamily,
    completed: CounterFamily,
    attained: CounterFamily,
    unknown: CounterFamily,
    retries: CounterFamily,
    refused: Family<RefusalLabels, Counter>,
    good_tokens: CounterFamily,
    wasted_tokens: Family<WasteLabels, Counter>,
    queue_time: HistogramFamily,
    first_token: HistogramFamily,
    token_interval: HistogramFamily,
    connections: Gauge,
    limits_met: Family<LimitLabels, Counter>,
    broken_responses: Family<SourceLabels, Counter>,
    revision: Gauge,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("dewspring");
        let requests = CounterFamily::default();
        let completed = CounterFamily::default();
        let attained = CounterFamily::default();
        let unknown = CounterFamily::default();
        let retries = CounterFamily::default();
        let refused = Family::default();
        let good_tokens = CounterFamily::default();
        let wasted_tokens = Family::default();
        let queue_time = histogram_family();
        let first_token = histogram_family();
        let token_interval = histogram_family();
        let connections = Gauge::default();
        let limits_met = Family::default();
        let broken_responses = Family::default();
        let revision = Gauge::default();

        registry.register("requests", "Requests routed", requests.clone());
        registry.register("completed", "Whole answers delivered", completed.clone());
        registry.register(
            "attained",
            "Whole answers within the target",
            attained.clone(),
        );
        registry.register("unknown", "Requests that may have run", unknown.clone());
        registry.register("retries", "Attempts after the first one", retries.clone());
        registry.register("refused", "Requests refused as not run", refused.clone());
        registry.register(
            "good_tokens",
            "Tokens of answers that were of use",
            good_tokens.clone(),
        );
        registry.register(
            "wasted_tokens",
            "Tokens of answers that were of no use",
            wasted_tokens.clone(),
        );
        registry.register_with_unit(
            "queue_time",
            "Time from arrival to the grant",
            Unit::Seconds,
            queue_time.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token",
            Unit::Seconds,
            first_token.clone(),
        );
        registry.register_with_unit(
            "token_interval",
            "Mean time between the tokens of an answer",
            Unit::Seconds,
            token_interval.clone(),
        );
        registry.register("connections", "Open connections", connections.clone());
        registry.register(
            "limits_met",
            "Limits on callers that were met, by what followed",
            limits_met.clone(),
        );
        registry.register(
            "broken_responses",
            "Responses that were incomplete or broke the protocol, by their sender",
            broken_responses.clone(),
        );
        registry.register("revision", "Configuration in force", revision.clone());

        Self {
            registry: Arc::new(registry),
            requests,
            completed,
            attained,
            unknown,
            retries,
            refused,
            good_tokens,
            wasted_tokens,
            queue_time,
            first_token,
            token_interval,
            connections,
            limits_met,
            broken_responses,
            revision,
        }
    }

    /// Counts a request that matched a route.
    pub fn count_request(&self, class: &str) {
        self.requests.get_or_create(&labels(class)).inc();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, class: &str, reason: RefusalReason) {
        let labels = RefusalLabels {
            class: class.into(),
            reason: format!("{reason:?}"),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts a completely delivered response, its tokens, and whether it met its target.
    pub fn count_completed(&self, class: &str, in_time: bool, tokens: TokenCount) {
        let labels = labels(class);
        self.completed.get_or_create(&labels).inc();
        self.good_tokens.get_or_create(&labels).inc_by(tokens);
        if in_time {
            self.attained.get_or_create(&labels).inc();
        }
    }

    /// Counts a request that may or may not have run.
    pub fn count_unknown_outcome(&self, class: &str) {
        self.unknown.get_or_create(&labels(class)).inc();
    }

    /// Counts an attempt after the first one.
    pub fn count_retry(&self, class: &str) {
        self.retries.get_or_create(&labels(class)).inc();
    }

    /// Counts wasted tokens.
    pub fn count_wasted_tokens(&self, cause: WasteCause, tokens: TokenCount) {
        self.wasted_tokens
            .get_or_create(&WasteLabels { cause })
            .inc_by(tokens);
    }

    /// Records the time from a request's arrival to its grant.
    pub fn observe_queue_time(&self, class: &str, time: Duration) {
        observe(&self.queue_time, class, time);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn observe_first_token(&self, class: &str, time: Duration) {
        observe(&self.first_token, class, time);
    }

    /// Records the mean time between the tokens of one response.
    pub fn observe_token_interval(&self, class: &str, time: Duration) {
        observe(&self.token_interval, class, time);
    }

    /// Sets the number of open connections.
    pub fn set_connections(&self, count: usize) {
        self.connections
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts that a limit on callers was met, and what followed.
    pub fn count_limit(&self, limit: &'static str, effect: &'static str) {
        let labels = LimitLabels { limit, effect };
        self.limits_met.get_or_create(&labels).inc();
    }

    /// Counts a response that is incomplete or breaks the protocol.
    pub fn count_broken_response(&self, source: &'static str) {
        let labels = SourceLabels { source };
        self.broken_responses.get_or_create(&labels).inc();
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let written: Result<(), fmt::Error> = encode(&mut text, &self.registry);
        assert!(written.is_ok(), "writing to a string can't fail");
        text
    }
}

fn labels(class: &str) -> ClassLabels {
    ClassLabels {
        class: class.into(),
    }
}

fn observe(family: &HistogramFamily, class: &str, time: Duration) {
    family
        .get_or_create(&labels(class))
        .observe(time.as_secs_f64());
}

fn histogram_family() -> HistogramFamily {
    Family::new_with_constructor(|| {
        Histogram::new(exponential_buckets(
            FIRST_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ))
    })
}
