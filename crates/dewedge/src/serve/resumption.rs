//! Binds streams to the software version that began them.
//!
//! A stream is bound by its first event, or by the origin of the stream that its
//! caller takes up. If this VM doesn't know that origin, it asks the other VMs
//! before it chooses a server; see also [`super::recording`].
//!
//! The main invariant: a bound stream gets events only from servers of its
//! version.

use std::time::Duration;

use crate::directory::{ReplicaIndex, sole};
use crate::format::PlatformFormat;
use crate::metrics::OutcomeLabels;
use crate::origins::{StreamKey, StreamOrigin, VersionId, stream_key};
use crate::tables::RequestKind;

use super::state::{EdgeState, Exchange};
use super::updates::DIGEST_TARGETS;

/// Time for which the other VMs' answers about a stream are awaited; a round
/// trip takes a few ms.
const ORIGIN_WAIT: Duration = Duration::from_millis(100);

/// VMs that are asked for a stream. The one that began it may not have announced
/// it to the others yet, so most fleets are asked as a whole.
const QUERY_TARGETS: usize = 96;

/// Multiple of the longest timeout of a streaming route for which the origin of
/// a stream is kept. Its caller may resume it until its own deadline.
const ORIGIN_TTL_FACTOR: u32 = 2;

/// Time for which origins are kept before the tables are loaded.
const DEFAULT_ORIGIN_TTL: Duration = Duration::from_secs(60);

/// Which software versions may serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VersionBinding {
    /// Any; the first event of its stream binds it.
    Unbound,
    /// Only this one.
    Bound(VersionId),
    /// The version isn't known yet.
    Awaited {
        /// Whether the other VMs have been asked for it.
        is_asked: bool,
    },
}

impl VersionBinding {
    /// Returns the only version that may serve the request, if it is bound.
    pub(crate) fn version(self) -> Option<VersionId> {
        match self {
            Self::Bound(version) => Some(version),
            Self::Unbound | Self::Awaited { .. } => None,
        }
    }
}

/// How the version of a stream that its caller takes up was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OriginSource {
    /// This VM knew the stream when the request arrived.
    Known,
    /// It became known while the other VMs were asked.
    Answered,
    /// The service has had only one version of late.
    SoleVersion,
    /// No VM knows it, and several versions may have begun it.
    Unknown,
}

impl OriginSource {
    /// Returns its name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Answered => "answered",
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
            self.enqueue(exchange_id);
        }
    }

    /// Binds and queues a request that takes a stream up, or asks the other VMs
    /// for the stream.
    pub(crate) fn resolve_binding(&mut self, exchange_id: usize) {
        let exchange = &self.exchanges[exchange_id];
        let is_asked = exchange.binding == VersionBinding::Awaited { is_asked: true };
        if !self.store.is_loaded() && self.now < exchange.wait_until {
            // A VM that has just started knows neither all servers nor all VMs.
            self.await_binding(exchange_id, is_asked);
            return;
        }
        let stream = resumed_stream(exchange);
        match stream.and_then(|stream| self.origins.version_of(stream)) {
            Some(version) => {
                let source = match is_asked {
                    true => OriginSource::Answered,
                    false => OriginSource::Known,
                };
                self.record_resumption(exchange_id, source);
                self.queue_bound(exchange_id, version);
            }
            None if !is_asked && stream.is_some_and(|stream| self.ask_origin(stream)) => {
                self.await_binding(exchange_id, true);
            }
            None => self.queue_unknown(exchange_id),
        }
    }

    /// Asks the other VMs for the origin of a stream; returns whether there are
    /// any.
    fn ask_origin(&mut self, stream: StreamKey) -> bool {
        let query = self.peers.encode_query(stream);
        let targets = self.peers.query_targets(QUERY_TARGETS);
        for address in &targets {
            // Any of the other VMs can answer.
            let _ = self.peer_socket.send_to(&query, *address);
        }
        !targets.is_empty()
    }

    fn await_binding(&mut self, exchange_id: usize, is_asked: bool) {
        self.exchanges[exchange_id].binding = VersionBinding::Awaited { is_asked };
        if !self.awaiting_origin.contains(&exchange_id) {
            self.awaiting_origin.push(exchange_id);
        }
        self.arm_exchange(exchange_id, self.now + ORIGIN_WAIT);
    }

    /// Queues the requests whose streams have become known.
    pub(crate) fn bind_awaiting(&mut self) {
        for exchange_id in std::mem::take(&mut self.awaiting_origin) {
            let awaiting = self
                .exchanges
                .get(exchange_id)
                .filter(|exchange| matches!(exchange.binding, VersionBinding::Awaited { .. }));
            let Some(exchange) = awaiting else {
                continue;
            };
            let stream = resumed_stream(exchange);
            if stream.is_some_and(|stream| self.origins.version_of(stream).is_some()) {
                self.resolve_binding(exchange_id);
            } else {
                self.awaiting_origin.push(exchange_id);
            }
        }
    }

    /// Queues a request whose stream began at `version`, or refuses it if no
    /// server of that version is left.
    fn queue_bound(&mut self, exchange_id: usize, version: VersionId) {
        let exchange = &mut self.exchanges[exchange_id];
        exchange.binding = VersionBinding::Bound(version);
        if self.directory.lists_version(&exchange.service, version) {
            self.enqueue(exchange_id);
        } else {
            self.refuse(exchange_id, "version_gone", 0);
        }
    }

    /// Queues a request whose stream no VM knows, if only one version can have
    /// begun it, or refuses it.
    fn queue_unknown(&mut self, exchange_id: usize) {
        let service = &self.exchanges[exchange_id].service;
        let sole_version = sole(self.recent_versions(service));
        match sole_version {
            Some(version) => {
                self.record_resumption(exchange_id, OriginSource::SoleVersion);
                self.exchanges[exchange_id].binding = VersionBinding::Bound(version);
                self.enqueue(exchange_id);
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
        let asked = match exchange.binding {
            VersionBinding::Awaited { is_asked: true } => self.peers.query_size(QUERY_TARGETS),
            _ => 0,
        };
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

    /// Returns how long the origin of a stream is kept.
    pub(crate) fn origin_ttl(&self) -> Duration {
        let table = self.table.as_ref();
        table
            .and_then(|table| table.longest_stream_timeout())
            .map_or(DEFAULT_ORIGIN_TTL, |timeout| timeout * ORIGIN_TTL_FACTOR)
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
