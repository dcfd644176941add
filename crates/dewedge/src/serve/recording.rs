//! Records versions and origins of streams in the store.
//!
//! [`VersionTable`](crate::versions::VersionTable) tells which versions services
//! have had of late. While a service has several, or shares a route with another
//! service, the origins of its streams are written to the store by way of a
//! recorder; see [`crate::origin_log`]. In calm times, neither takes a call.
//!
//! The main invariant: as long as a stream can be taken up, either the store has
//! its origin, or it has a record of each version that may have begun it, so no
//! VM infers the wrong one.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;

use crate::clock::Moment;
use crate::directory::ReplicaIndex;
use crate::format::{PlatformFormat, RecordKey, StoreRecord, StoreResponse, VersionCall};
use crate::origin_log::{BatchNumber, OriginOutbox, OriginRecorder};
use crate::origins::{StreamOrigin, VersionId, decode_origins, stream_key};
use crate::versions::{ServiceVersion, VersionChange};

use super::state::{EdgeState, Exchange};
use super::timers::{LazyTimer, TimerKey};

/// Time after which a recorder that didn't acknowledge is tried again.
const RECORDER_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The store's lease for the origins that this VM writes.
#[derive(Clone, Copy, Debug)]
enum OriginLease {
    Closed,
    Opening,
    Open {
        lease: u64,
        opened: Moment,
        ttl: Duration,
    },
}

/// State of recording the origins of streams.
#[derive(Debug)]
pub(crate) struct RecordingState {
    pub(crate) outbox: OriginOutbox,
    /// Batches of other VMs by their addresses; this VM has none.
    recorder: OriginRecorder<Option<SocketAddr>>,
    lease: OriginLease,
    writes: u64,
    place_reset_at: Moment,
    /// Services whose streams may have begun at several versions of late.
    mixed: IndexSet<String>,
    pub(crate) timer: LazyTimer,
}

impl RecordingState {
    /// Returns the state of a VM that has just started; `random` sets it apart from
    /// its earlier starts.
    pub(crate) fn new(random: u64) -> Self {
        Self {
            outbox: OriginOutbox::new(random as BatchNumber),
            recorder: OriginRecorder::default(),
            lease: OriginLease::Closed,
            writes: 0,
            place_reset_at: Moment::ZERO,
            mixed: IndexSet::new(),
            timer: LazyTimer::default(),
        }
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns the versions that may have begun a stream of a service which can
    /// still be taken up.
    pub(crate) fn recent_versions<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = VersionId> + 'a {
        let since = self.now.saturating_sub(self.stream_ttl());
        let listed = self.directory.versions_since(service, since);
        listed.chain(self.versions.recorded(service))
    }

    /// Applies a record of a version, or of origins of streams.
    pub(crate) fn apply_version_record(&mut self, record: &StoreRecord) {
        match (&record.key, record.value.as_deref()) {
            (RecordKey::ServiceVersion(hash), None) => self.versions.forget(*hash),
            (RecordKey::ServiceVersion(_), Some(value)) => match F::read_version_record(value) {
                Ok(version) => {
                    let service = version.names.service.clone();
                    self.versions.record(version, record.revision, self.now);
                    self.begin_recording(&service);
                }
                Err(error) => self.log_unreadable(record, &error.0),
            },
            (_, Some(value)) => match decode_origins(value) {
                Some(origins) => self.learn_origins(&origins),
                None => self.log_unreadable(record, "not whole origins"),
            },
            // The streams can't be taken up any more, or are forgotten soon.
            (_, None) => {}
        }
    }

    /// Forgets what the store has lost, because it returned from an older copy of
    /// its data.
    pub(crate) fn forget_version_records(&mut self) {
        self.versions.forget_records();
        self.recording.lease = OriginLease::Closed;
    }

    fn log_unreadable(&mut self, record: &StoreRecord, reason: &str) {
        self.logs
            .system("versions", "unreadable")
            .text("key", &record.name)
            .text("reason", reason);
    }

    fn learn_origins(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            self.origins.learn(*origin, self.now);
        }
        self.bind_awaiting();
    }

    /// Notes the version of a server that has started.
    pub(crate) fn observe_version(&mut self, replica: ReplicaIndex) {
        let entry = &self.directory.get(replica).entry;
        let names = ServiceVersion {
            service: entry.service.clone(),
            version: entry.version.clone(),
        };
        if !self.versions.is_known(names.hash()) {
            self.maintain_versions();
        }
        self.begin_recording(&names.service);
    }

    /// Updates the records of versions, and which services have several.
    pub(crate) fn maintain_versions(&mut self) {
        if self.table.is_none() || !self.store.is_loaded() {
            return;
        }
        let entries = self.directory.iter().filter(|replica| !replica.gone);
        let listed: IndexSet<(&str, &str)> = entries
            .map(|replica| {
                (
                    replica.entry.service.as_str(),
                    replica.entry.version.as_str(),
                )
            })
            .filter(|(service, _)| self.stream_terms.is_resumable(service, self.now))
            .collect();
        let names = listed.into_iter().map(|(service, version)| ServiceVersion {
            service: service.to_string(),
            version: version.to_string(),
        });
        self.versions.observe(names, self.now);
        let ttl = self.stream_ttl();
        while let Some(change) = {
            let rank = |hash| self.peers.rank_for(hash);
            self.versions.next_change(rank, ttl, self.now)
        } {
            self.change_version(change);
        }
        for service in std::mem::take(&mut self.recording.mixed) {
            if self.has_several_versions(&service) {
                self.recording.mixed.insert(service);
            }
        }
        if self.recording.place_reset_at <= self.now {
            self.recording.place_reset_at = self.now + RECORDER_RETRY_INTERVAL;
            self.recording.outbox.reset_place();
        }
    }

    fn change_version(&mut self, change: VersionChange) {
        self.store.call_version(match change {
            VersionChange::Write(record) => VersionCall::Write(record),
            VersionChange::Remove { version, revision } => {
                VersionCall::Remove { version, revision }
            }
        });
        self.store_timer
            .set(self.now, TimerKey::Store, &mut self.timers);
    }

    /// Returns whether streams of a service, or of the routes that it shares, may
    /// have begun at several versions.
    fn has_several_versions(&self, service: &str) -> bool {
        let partners = self.stream_terms.partners(service, self.now);
        let services = std::iter::once(service).chain(partners);
        let mut versions = services.flat_map(|service| self.recent_versions(service));
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Records the streams in progress of a service, and of those that share its
    /// routes, if they now have several versions.
    pub(crate) fn begin_recording(&mut self, service: &str) {
        let partners = self.stream_terms.partners(service, self.now);
        let services = std::iter::once(service).chain(partners);
        let mixed: Vec<String> = services
            .filter(|service| self.stream_terms.is_resumable(service, self.now))
            .filter(|service| !self.recording.mixed.contains(*service))
            .filter(|service| self.has_several_versions(service))
            .map(str::to_string)
            .collect();
        for service in mixed {
            self.record_begun_streams(&service);
            self.recording.mixed.insert(service);
        }
    }

    fn record_begun_streams(&mut self, service: &str) {
        let streams = self.exchanges.iter().map(|(_, exchange)| exchange);
        let origins: Vec<StreamOrigin> = streams
            .filter(|exchange| exchange.service == service)
            .filter_map(begun_stream)
            .collect();
        self.logs
            .system("versions", "several")
            .text("service", service)
            .number("streams", origins.len() as u64);
        for origin in origins {
            self.recording.outbox.push(origin, self.now);
        }
        self.arm_recording();
    }

    /// Has the origin of a stream written to the store if its service has had
    /// several versions of late.
    pub(crate) fn record_origin(&mut self, service: &str, origin: StreamOrigin) {
        if self.recording.mixed.contains(service) {
            self.recording.outbox.push(origin, self.now);
            self.arm_recording();
        }
    }

    /// Takes over a batch of another VM.
    pub(crate) fn record_for(
        &mut self,
        sender: SocketAddr,
        number: BatchNumber,
        origins: &[StreamOrigin],
    ) {
        for origin in origins {
            self.origins.learn(*origin, self.now);
        }
        self.recording.recorder.push(&Some(sender), number, origins);
        self.arm_recording();
    }

    /// Sends batches to their recorders, and writes those that wait here.
    pub(crate) fn run_recording(&mut self) {
        let ttl = self.stream_ttl();
        for send in self.recording.outbox.take_due(ttl, self.now) {
            match self.peers.recorder_at(send.place) {
                None => self
                    .recording
                    .recorder
                    .push(&None, send.number, &send.origins),
                Some(recorder) => {
                    let bytes = self.peers.encode_batch(send.number, &send.origins);
                    // A batch without an acknowledgement is sent again.
                    let _ = self.peer_socket.send_to(&bytes, recorder);
                }
            }
        }
        let is_due = self.recording.recorder.next_due();
        if is_due.is_some_and(|due| due <= self.now) {
            self.write_origins(ttl);
        }
        self.arm_recording();
    }

    fn write_origins(&mut self, ttl: Duration) {
        let call = match self.recording.lease {
            OriginLease::Opening => return,
            // A lease from before the timeouts became longer ends too early.
            OriginLease::Open {
                lease,
                opened,
                ttl: lease_ttl,
            } if ttl <= lease_ttl && self.now < opened + lease_ttl / 2 => {
                let Some(origins) = self.recording.recorder.begin_write(self.now) else {
                    return;
                };
                self.recording.writes += 1;
                VersionCall::WriteOrigins {
                    lease,
                    number: self.recording.writes,
                    origins,
                }
            }
            OriginLease::Closed | OriginLease::Open { .. } => {
                self.recording.lease = OriginLease::Opening;
                VersionCall::OpenLease(ttl)
            }
        };
        self.store.call_version(call);
        self.store_timer
            .set(self.now, TimerKey::Store, &mut self.timers);
    }

    /// Handles the end of a call about versions.
    pub(crate) fn on_version_call_ended(
        &mut self,
        call: VersionCall,
        response: Option<StoreResponse>,
    ) {
        match (call, response) {
            (VersionCall::OpenLease(ttl), Some(StoreResponse::Lease(lease))) => {
                let opened = self.now;
                self.recording.lease = OriginLease::Open { lease, opened, ttl };
            }
            (VersionCall::OpenLease(_), _) => {
                self.recording.lease = OriginLease::Closed;
                self.recording.recorder.discard();
            }
            (VersionCall::WriteOrigins { .. }, Some(StoreResponse::Committed(_))) => {
                for (sender, number) in self.recording.recorder.end_write(true) {
                    self.acknowledge_batch(sender, number);
                }
            }
            (VersionCall::WriteOrigins { .. }, response) => {
                // The senders send their batches again, to other recorders.
                self.recording.recorder.end_write(false);
                if response == Some(StoreResponse::LeaseExpired) {
                    self.recording.lease = OriginLease::Closed;
                }
            }
            (VersionCall::Write(version), Some(StoreResponse::Committed(revision))) => {
                self.versions.record(version, revision, self.now);
            }
            (
                VersionCall::Remove { version, .. },
                Some(StoreResponse::Committed(_) | StoreResponse::Conflict(_)),
            ) => self.versions.forget(version.hash()),
            // The change becomes due again, and a view is requested again.
            (VersionCall::Write(_) | VersionCall::Remove { .. } | VersionCall::List, _) => {}
        }
        self.arm_recording();
    }

    fn acknowledge_batch(&mut self, sender: Option<SocketAddr>, number: BatchNumber) {
        match sender {
            None => self.recording.outbox.acknowledge(number),
            Some(sender) => {
                let bytes = self.peers.encode_recorded(number);
                // Without it, the sender has the batch written once more.
                let _ = self.peer_socket.send_to(&bytes, sender);
            }
        }
    }

    fn arm_recording(&mut self) {
        let writes = match self.recording.lease {
            OriginLease::Opening => None,
            OriginLease::Closed | OriginLease::Open { .. } => self.recording.recorder.next_due(),
        };
        let due = self.recording.outbox.next_due().into_iter().chain(writes);
        if let Some(due) = due.min() {
            self.recording
                .timer
                .set(due, TimerKey::Recording, &mut self.timers);
        }
    }
}

/// Returns the origin of a request's stream, if it has begun and its caller may
/// take it up.
fn begun_stream(exchange: &Exchange) -> Option<StreamOrigin> {
    let version = exchange.binding.version()?;
    let metadata = &exchange.metadata;
    let attempt = metadata
        .resumed_attempt
        .as_ref()
        .unwrap_or(&metadata.attempt);
    exchange.route.is_retryable().then(|| StreamOrigin {
        stream: stream_key(attempt),
        version,
    })
}
