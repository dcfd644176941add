//! Metrics of the entry.
//!
//! The main invariant: label values come from fixed sets or from the tables, so
//! that the number of series is bounded.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OutcomeLabels {
    pub(crate) service: String,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StoreCallLabels {
    pub(crate) call: &'static str,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DutyLabels {
    pub(crate) duty: &'static str,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct NoticeLabels {
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct LimitLabels {
    pub(crate) limit: &'static str,
    pub(crate) effect: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct PartLabels {
    pub(crate) part: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ReasonLabels {
    pub(crate) reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ResponseLabels {
    pub(crate) source: &'static str,
    pub(crate) method: &'static str,
    pub(crate) content: &'static str,
}

/// All metrics of a process.
#[derive(Debug)]
pub(crate) struct EdgeMetrics {
    registry: Registry,
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    pub(crate) attempts: Family<OutcomeLabels, Counter>,
    pub(crate) responses: Family<ResponseLabels, Counter>,
    broken_responses: Family<ReasonLabels, Counter>,
    pub(crate) resumptions: Family<OutcomeLabels, Counter>,
    pub(crate) first_byte: Family<ServiceLabels, Histogram>,
    pub(crate) queue_wait: Family<ServiceLabels, Histogram>,
    pub(crate) store_calls: Family<StoreCallLabels, Counter>,
    pub(crate) duty_changes: Family<DutyLabels, Counter>,
    pub(crate) api_calls: Family<DutyLabels, Counter>,
    pub(crate) malformed_duty_datagrams: Counter,
    pub(crate) uncounted_requests: Counter,
    pub(crate) reported_choices: Family<ServiceLabels, Counter>,
    pub(crate) load_notices: Family<NoticeLabels, Counter>,
    pub(crate) ended_notices: Family<NoticeLabels, Counter>,
    pub(crate) prefix_notices: Family<NoticeLabels, Counter>,
    pub(crate) limits_met: Family<LimitLabels, Counter>,
    pub(crate) held_bytes: Family<PartLabels, Gauge>,
    pub(crate) caller_connections: Gauge,
    pub(crate) connects: Counter,
    pub(crate) foreign_datagrams: Counter,
    pub(crate) malformed_datagrams: Counter,
    pub(crate) server_crashes: Counter,
    pub(crate) blocked_causes: Gauge,
    block_lifts: Family<NoticeLabels, Counter>,
    pub(crate) in_flight: Gauge,
    pub(crate) table_version: Gauge,
    pub(crate) key_age_ms: Gauge,
    pub(crate) watch_age_ms: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 13))
}

impl EdgeMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("dewspring");
        let requests = Family::default();
        registry.register("requests", "Requests by their outcome", requests.clone());
        let attempts = Family::default();
        registry.register(
            "attempts",
            "Sends to servers by their outcome",
            attempts.clone(),
        );
        let responses = Family::default();
        registry.register(
            "responses",
            "Responses to callers, by their source, the method and whether content followed",
            responses.clone(),
        );
        let broken_responses = Family::default();
        registry.register(
            "broken_responses",
            "Responses of servers that were incomplete or broke the protocol, by the reason",
            broken_responses.clone(),
        );
        let resumptions = Family::default();
        registry.register(
            "resumptions",
            "Streams that callers took up, by how their software version was found",
            resumptions.clone(),
        );
        let first_byte = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register(
            "first_byte_seconds",
            "Time from the request to the first byte of its answer",
            first_byte.clone(),
        );
        let queue_wait = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register(
            "queue_wait_seconds",
            "Time for which sent requests waited for a server",
            queue_wait.clone(),
        );
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let duty_changes = Family::default();
        registry.register(
            "duty_changes",
            "Duties that this VM acquired, lost or released",
            duty_changes.clone(),
        );
        let api_calls = Family::default();
        registry.register(
            "api_calls",
            "Calls to the platform's API by their outcome",
            api_calls.clone(),
        );
        let malformed_duty_datagrams = Counter::default();
        registry.register(
            "malformed_duty_datagrams",
            "Datagrams about duties that could not be read",
            malformed_duty_datagrams.clone(),
        );
        let uncounted_requests = Counter::default();
        registry.register(
            "uncounted_requests",
            "Started requests that no usage report has, because they were known too late",
            uncounted_requests.clone(),
        );
        let reported_choices = Family::default();
        registry.register(
            "reported_choices",
            "Sends to servers that were chosen by the load that they reported",
            reported_choices.clone(),
        );
        let load_notices = Family::default();
        registry.register(
            "load_notices",
            "Reports of servers that other VMs passed on, by what was done with them",
            load_notices.clone(),
        );
        let ended_notices = Family::default();
        registry.register(
            "ended_notices",
            "Servers that other VMs reported as ended, by what was done with the notices",
            ended_notices.clone(),
        );
        let prefix_notices = Family::default();
        registry.register(
            "prefix_notices",
            "Shared prefixes that other VMs announced, by what was done with the notices",
            prefix_notices.clone(),
        );
        let limits_met = Family::default();
        registry.register(
            "limits_met",
            "Limits on callers that were met, by what followed",
            limits_met.clone(),
        );
        let held_bytes = Family::default();
        registry.register(
            "held_bytes",
            "Bytes that callers and servers make the process hold",
            held_bytes.clone(),
        );
        let caller_connections = Gauge::default();
        registry.register(
            "caller_connections",
            "Open connections of callers",
            caller_connections.clone(),
        );
        let connects = Counter::default();
        registry.register(
            "server_connects",
            "New connections to servers",
            connects.clone(),
        );
        let foreign_datagrams = Counter::default();
        registry.register(
            "foreign_datagrams",
            "Datagrams that were ignored because no known VM sent them",
            foreign_datagrams.clone(),
        );
        let malformed_datagrams = Counter::default();
        registry.register(
            "malformed_datagrams",
            "Datagrams of known VMs that could not be read",
            malformed_datagrams.clone(),
        );
        let server_crashes = Counter::default();
        registry.register(
            "server_crashes",
            "Servers that ended while they ran a request of this VM",
            server_crashes.clone(),
        );
        let blocked_causes = Gauge::default();
        registry.register(
            "blocked_causes",
            "Causes of crashes whose requests aren't sent",
            blocked_causes.clone(),
        );
        let block_lifts = Family::default();
        registry.register(
            "block_lifts",
            "Lifts of blocks by operators that were read, and blocks from before that were ignored",
            block_lifts.clone(),
        );
        let in_flight = Gauge::default();
        registry.register(
            "requests_in_flight",
            "Requests without an answer",
            in_flight.clone(),
        );
        let table_version = Gauge::default();
        registry.register(
            "table_version",
            "Version of the tables",
            table_version.clone(),
        );
        let key_age_ms = Gauge::default();
        registry.register(
            "key_confirmation_age_ms",
            "Age of the last confirmation of the keys",
            key_age_ms.clone(),
        );
        let watch_age_ms = Gauge::default();
        registry.register(
            "store_watch_age_ms",
            "Age of the store's last response to a watch",
            watch_age_ms.clone(),
        );
        Self {
            registry,
            requests,
            attempts,
            responses,
            broken_responses,
            resumptions,
            first_byte,
            queue_wait,
            store_calls,
            duty_changes,
            api_calls,
            malformed_duty_datagrams,
            uncounted_requests,
            reported_choices,
            load_notices,
            ended_notices,
            prefix_notices,
            limits_met,
            held_bytes,
            caller_connections,
            connects,
            foreign_datagrams,
            malformed_datagrams,
            server_crashes,
            blocked_causes,
            block_lifts,
            in_flight,
            table_version,
            key_age_ms,
            watch_age_ms,
        }
    }

    /// Counts a server's response that is incomplete or breaks the protocol.
    pub(crate) fn count_broken_response(&self, reason: &'static str) {
        let label = ReasonLabels { reason };
        self.broken_responses.get_or_create(&label).inc();
    }

    /// Counts a change of a duty of this VM.
    pub(crate) fn count_duty_change(&self, duty: &'static str, outcome: &'static str) {
        let label = DutyLabels { duty, outcome };
        self.duty_changes.get_or_create(&label).inc();
    }

    /// Counts a call to the platform's API.
    pub(crate) fn count_api_call(&self, duty: &'static str, outcome: &'static str) {
        let label = DutyLabels { duty, outcome };
        self.api_calls.get_or_create(&label).inc();
    }

    /// Counts reports of servers that other VMs passed on.
    pub(crate) fn count_load_notices(&self, outcome: &'static str, count: u64) {
        if count > 0 {
            let label = NoticeLabels { outcome };
            self.load_notices.get_or_create(&label).inc_by(count);
        }
    }

    /// Counts servers that other VMs reported as ended.
    pub(crate) fn count_ended_notices(&self, outcome: &'static str, count: u64) {
        if count > 0 {
            let label = NoticeLabels { outcome };
            self.ended_notices.get_or_create(&label).inc_by(count);
        }
    }

    /// Counts shared prefixes that other VMs announced.
    pub(crate) fn count_prefix_notices(&self, outcome: &'static str, count: u64) {
        if count > 0 {
            let label = NoticeLabels { outcome };
            self.prefix_notices.get_or_create(&label).inc_by(count);
        }
    }

    /// Counts a lift of a block, or a block that is ignored because of one.
    pub(crate) fn count_lift(&self, outcome: &'static str) {
        let label = NoticeLabels { outcome };
        self.block_lifts.get_or_create(&label).inc();
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}
