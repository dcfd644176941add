//! Binds streams to the software version that began them.
//!
//! A stream is bound by its first event, or by the origin of the stream that its
//! caller takes up. If this VM doesn't know that origin, it asks the other VMs,
//! and reads what the store has of it; see [`super::recording`]. Only if neither
//! knows it, and the services of its route have had one version of late, that
//! version is the origin.
//!
//! The main invariant: a bound stream gets events only from servers of its
//! version, which belong to the service that began it, whatever the weights of
//! its route are now.

use std::time::Duration;

use crate::clock::Moment;
use crate::directory::{ReplicaIndex, sole};
use crate::format::PlatformFormat;
use crate::metrics::OutcomeLabels;
use crate::origins::{StreamKey, StreamOrigin, VersionId, stream_key};
use crate::tables::RequestKind;

use super::state::{EdgeState, Exchange};
use super::timers::TimerKey;
use super::updates::DIGEST_TARGETS;

/// Time for which the other VMs' answers about a stream are awaited; a round
/// trip takes a few ms.
const ORIGIN_WAIT: Duration = Duration::from_millis(100);

/// VMs that are asked for a stream at once. The one that began it may not have
/// announced it to the others yet, so the whole fleet is asked in turn.
const QUERY_TARGETS: usize = 96;

/// Maximum number of times that VMs are asked for a stream.
const MAX_QUERIES: usize = 4;

/// Time for which the store's view is awaited before a stream counts as unknown.
const VIEW_WAIT: Duration = Duration::from_millis(1500);

/// Shortest interval between two requests for the store's view by one VM, for
/// each VM of the fleet; a fleet of 200 takes a quarter of the calls that the
/// store answers.
const VIEW_INTERVAL_PER_VM: Duration = Duration::from_millis(2);

/// Which software versions may serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VersionBinding {
    /// Any; the first event of its stream binds it.
    Unbound,
    /// Only this one.
    Bound(VersionId),
    /// The version isn't known yet.
    Awaited(OriginSearch),
}

/// The search for the origin of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OriginSearch {
    /// When it began.
    begun: Moment,
    /// How many times other VMs were asked.
    queries: usize,
    /// When the answers of those that were asked last are no longer awaited.
    answer_due: Moment,
}

impl VersionBinding {
    /// Returns the only version that may serve the request, if it is bound.
    pub(crate) fn version(self) -> Option<VersionId> {
        match self {
            Self::Bound(version) => Some(version),
            Self::Unbound | Self::Awaited(_) => None,
        }
    }
}

/// How the version of a stream that its caller takes up was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OriginSource {
    /// This VM knew the stream when the request arrived.
    Known,
    /// Another VM or the store has told it.
    Found,
    /// The services of its route have had only one version of late.
    SoleVersion,
    /// Neither the VMs nor the store know it, and several versions may have begun
    /// it.
    Unknown,
}

impl OriginSource {
    /// Returns its name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Found => "found",
            Self::SoleVersion => "sole_version",
            Self::Unknown => "unknown",
        }
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Queues a new request; one that takes a stream up is bound first.
    pub(crate) fn enqueue_new(&mut self, exchange_id: usize) {
        if is_resumption(&self.exchanges[exchange_id]) {
            self.resolve_binding(exchange_id);
        } else {
            self.count_new_request(exchange_id);
            self.enqueue(exchange_id);
        }
    }

    /// Binds and queues a request that takes a stream up, or searches for the
    /// origin of the stream.
    pub(crate) fn resolve_binding(&mut self, exchange_id: usize) {
        let exchange = &self.exchanges[exchange_id];
        let mut search = match exchange.binding {
            VersionBinding::Awaited(search) => search,
            VersionBinding::Unbound | VersionBinding::Bound(_) => OriginSearch {
                begun: self.now,
                queries: 0,
                answer_due: self.now,
            },
        };
        let wait_until = exchange.wait_until;
        if !self.store.is_loaded() && self.now < wait_until {
            // A VM that has just started knows neither all servers nor all VMs.
            self.await_binding(exchange_id, search);
            return;
        }
        let Some(stream) = resumed_stream(exchange) else {
            self.queue_unknown(exchange_id, true);
            return;
        };
        if let Some(version) = self.origins.version_of(stream) {
            let source = match search.queries {
                0 => OriginSource::Known,
                _ => OriginSource::Found,
            };
            self.record_resumption(exchange_id, source);
            self.queue_bound(exchange_id, version);
            return;
        }
        if search.answer_due <= self.now && search.queries < self.query_count() {
            self.ask_origin(stream);
            search.queries += 1;
            search.answer_due = self.now + ORIGIN_WAIT;
        }
        let is_asked = search.queries >= self.query_count() && search.answer_due <= self.now;
        let is_confirmed = self.is_view_confirmed(search.begun);
        if !is_confirmed {
            self.request_view();
        }
        let is_over = self.now >= wait_until.min(search.begun + VIEW_WAIT);
        if is_asked && (is_confirmed || is_over) {
            self.queue_unknown(exchange_id, is_confirmed);
        } else {
            self.await_binding(exchange_id, search);
        }
    }

    /// Returns how many times VMs are asked for a stream, so that all of them are.
    fn query_count(&self) -> usize {
        self.peers.rounds(QUERY_TARGETS).min(MAX_QUERIES)
    }

    /// Asks other VMs for the origin of a stream.
    fn ask_origin(&mut self, stream: StreamKey) {
        let query = self.peers.encode_query(stream);
        for address in &self.peers.query_targets(QUERY_TARGETS) {
            // Any of the other VMs can answer.
            let _ = self.peer_socket.send_to(&query, *address);
        }
    }

    /// Returns whether all changes were applied that the store had at `since`.
    fn is_view_confirmed(&self, since: Moment) -> bool {
        self.view_confirmed
            .is_some_and(|confirmed| confirmed >= since)
    }

    /// Requests the store's view, unless that was done just now.
    fn request_view(&mut self) {
        let interval = VIEW_INTERVAL_PER_VM * u32::try_from(self.peers.vm_count()).unwrap_or(1);
        if self.view_requested + interval <= self.now {
            self.view_requested = self.now;
            self.store.request_view();
            self.store_timer
                .set(self.now, TimerKey::Store, &mut self.timers);
        }
    }

    fn await_binding(&mut self, exchange_id: usize, search: OriginSearch) {
        self.exchanges[exchange_id].binding = VersionBinding::Awaited(search);
        if !self.awaiting_origin.contains(&exchange_id) {
            self.awaiting_origin.push(exchange_id);
        }
        let due = match search.answer_due > self.now {
            true => search.answer_due,
            false => self.now + ORIGIN_WAIT,
        };
        self.arm_exchange(exchange_id, due);
    }

    /// Resolves the requests whose streams have become known, or of which no more
    /// will become known.
    pub(crate) fn bind_awaiting(&mut self) {
        for exchange_id in std::mem::take(&mut self.awaiting_origin) {
            let Some(exchange) = self.exchanges.get(exchange_id) else {
                continue;
            };
            let VersionBinding::Awaited(search) = exchange.binding else {
                continue;
            };
            let stream = resumed_stream(exchange);
            let is_known = stream.is_some_and(|stream| self.origins.version_of(stream).is_some());
            let is_over = search.answer_due <= self.now && self.is_view_confirmed(search.begun);
            if is_known || is_over {
                self.resolve_binding(exchange_id);
            } else {
                self.awaiting_origin.push(exchange_id);
            }
        }
    }

    /// Queues a request whose stream began at `version`, at the service of that
    /// version, or refuses it if its route has no server of that version.
    fn queue_bound(&mut self, exchange_id: usize, version: VersionId) {
        let exchange = &mut self.exchanges[exchange_id];
        exchange.binding = VersionBinding::Bound(version);
        let shares = exchange.route.shares.iter();
        let mut allowed = shares.filter(|share| share.weight > 0);
        match allowed.find(|share| self.directory.lists_version(&share.service, version)) {
            Some(share) => {
                exchange.service = share.service.clone();
                self.count_new_request(exchange_id);
                self.enqueue(exchange_id);
            }
            None => self.refuse(exchange_id, "version_gone", 0),
        }
    }

    /// Queues a request whose stream is unknown, if only one version can have
    /// begun it, or refuses it. Without the store's view, another version may have
    /// been listed that this VM hasn't read yet.
    fn queue_unknown(&mut self, exchange_id: usize, is_view_confirmed: bool) {
        let route = &self.exchanges[exchange_id].route;
        let shares = route.shares.iter().map(|share| share.service.as_str());
        let services = self
            .stream_terms
            .route_services(route, self.now)
            .chain(shares);
        let versions = services.flat_map(|service| self.recent_versions(service));
        match sole(versions).filter(|_| is_view_confirmed) {
            Some(version) => {
                self.record_resumption(exchange_id, OriginSource::SoleVersion);
                self.queue_bound(exchange_id, version);
            }
            None => {
                self.record_resumption(exchange_id, OriginSource::Unknown);
                self.refuse(exchange_id, "version_unknown", 0);
            }
        }
    }

    /// Logs and counts how the version of a stream was found.
    fn record_resumption(&mut self, exchange_id: usize, source: OriginSource) {
        let exchange = &self.exchanges[exchange_id];
        let resumed = exchange.metadata.resumed_attempt.as_deref();
        let queries = match exchange.binding {
            VersionBinding::Awaited(search) => search.queries,
            VersionBinding::Unbound | VersionBinding::Bound(_) => 0,
        };
        let asked = self.peers.query_size(queries * QUERY_TARGETS);
        self.logs
            .request("resumption", "resolved")
            .text("request", &exchange.metadata.attempt)
            .text("resumes", resumed.unwrap_or(""))
            .text("origin", source.name())
            .number("asked_vms", asked as u64)
            .ms("waited_ms", self.now.saturating_sub(exchange.arrived));
        let service = exchange.service.clone();
        let outcome = source.name();
        let label = OutcomeLabels { service, outcome };
        self.metrics.resumptions.get_or_create(&label).inc();
    }

    /// Binds a stream by its first event, and records its origin if its caller
    /// may resume it.
    pub(crate) fn bind_stream(&mut self, exchange_id: usize) {
        let now = self.now;
        let rounds = self.peers.vm_count().div_ceil(DIGEST_TARGETS) + 1;
        let exchange = &mut self.exchanges[exchange_id];
        let version = self.directory.version_of(exchange.sent_load.replica);
        if exchange.binding == VersionBinding::Unbound {
            exchange.binding = VersionBinding::Bound(version);
        }
        if exchange.route.is_retryable() {
            let attempt = exchange.metadata.resumed_attempt.as_ref();
            let stream = stream_key(attempt.unwrap_or(&exchange.metadata.attempt));
            let origin = StreamOrigin { stream, version };
            self.origins.record(origin, rounds, now);
            self.digest_due = true;
            let service = exchange.service.clone();
            self.record_origin(&service, origin);
        }
    }

    /// Returns whether a server may serve a request.
    pub(crate) fn fits_version(&self, exchange: &Exchange, replica: ReplicaIndex) -> bool {
        let version = exchange.binding.version();
        version.is_none_or(|version| self.directory.version_of(replica) == version)
    }

    /// Returns for how long a stream can be taken up, by the tables that this VM
    /// has had and by those of the VMs that recorded the versions.
    pub(crate) fn stream_ttl(&self) -> Duration {
        let recorded = self.versions.longest_stream_ttl();
        self.stream_terms.ttl(self.now).max(recorded)
    }
}

/// Returns the key of the stream that a request takes up, if its caller names it.
fn resumed_stream(exchange: &Exchange) -> Option<StreamKey> {
    exchange.metadata.resumed_attempt.as_deref().map(stream_key)
}

/// Returns whether the caller takes up a stream of which it has events.
fn is_resumption(exchange: &Exchange) -> bool {
    exchange.route.kind == RequestKind::Streaming && exchange.metadata.last_event_id.is_some()
}
