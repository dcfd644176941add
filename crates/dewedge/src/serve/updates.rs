//! Applies updates from the store, and exchanges digests with the other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::DirectoryChange;
use crate::format::{FormatError, PlatformFormat, RecordKey, StoreEra, StoreRecord};
use crate::limit_notices::{LimitNotice, encode_notices};
use crate::load_notices::ReceivedNotices;
use crate::origins::{StreamKey, StreamOrigin};
use crate::peers::{MAX_ORIGINS, PeerMessage};
use crate::storage::{StoreEvent, WATCH_CALL};
use crate::tables::RouteTable;

use super::connections::CONNECT_TIMEOUT;
use super::state::EdgeState;
use super::timers::TimerKey;

/// Revision of tables that were read in an earlier era of the store; the store's
/// own revisions are above it.
const UNKNOWN_REVISION: u64 = 0;

/// Minimum interval between two digests.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which unchanged load is sent again; several lost digests are
/// tolerated before the load expires at the other VMs.
const DIGEST_REFRESH: Duration = Duration::from_millis(300);

/// VMs that receive one digest; in a larger fleet they take turns.
pub(crate) const DIGEST_TARGETS: usize = 24;

/// Maximum bytes of a datagram.
const MAX_DATAGRAM: usize = 2048;

/// Maximum datagrams read at once, so that other events are not delayed.
const MAX_DATAGRAMS: usize = 64;

/// Interval at which missing entries and other time-dependent state are
/// checked.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a VM that may be isolated tests whether a server can be
/// reached.
const REACH_TEST_INTERVAL: Duration = Duration::from_millis(500);

impl<F: PlatformFormat> EdgeState<F> {
    /// Runs the store client and applies its events.
    pub(crate) fn drive_store(&mut self) {
        self.handle_store_events();
        self.store.drive(&self.registry, self.now);
        self.handle_store_events();
        // The events may have led to further calls.
        let due = self.store.next_due(self.now);
        self.store_timer.set(due, TimerKey::Store, &mut self.timers);
    }

    fn handle_store_events(&mut self) {
        for event in self.store.take_events() {
            match event {
                StoreEvent::Record {
                    record,
                    as_of,
                    call,
                    outage_suspected,
                } => self.apply_record(record, as_of, call, outage_suspected),
                StoreEvent::Listed {
                    replicas,
                    outage_suspected,
                } => {
                    let changes = self
                        .directory
                        .apply_list(&replicas, outage_suspected, self.now);
                    for change in changes {
                        self.apply_directory_change(change);
                    }
                }
                StoreEvent::Loaded { revision } => self.on_duties_listed(revision),
                StoreEvent::EraSeen { era } => self.on_store_era(era),
                StoreEvent::DutyEnded {
                    call,
                    sent,
                    response,
                    era,
                    sent_revision,
                } => self.on_duty_ended(call, sent, response, era, sent_revision),
                StoreEvent::VersionEnded { call, response } => {
                    self.on_version_call_ended(call, response);
                }
                StoreEvent::ViewConfirmed { at } => {
                    self.view_confirmed = self.view_confirmed.max(Some(at));
                    self.bind_awaiting();
                }
                StoreEvent::EraChanged { era } => {
                    self.view_confirmed = None;
                    self.begin_store_era(era);
                }
                StoreEvent::Confirmed { revision, sent } => {
                    let tables_current = self
                        .table
                        .as_ref()
                        .is_some_and(|table| table.revision >= revision);
                    if tables_current {
                        self.keys.confirm(sent);
                    }
                }
                StoreEvent::CallEnded {
                    call,
                    outcome,
                    elapsed,
                } => self.record_store_call(call, outcome, elapsed),
            }
        }
    }

    /// Forgets the revisions of the earlier era; what was learned there stays in
    /// force until the store or the operators say otherwise.
    fn begin_store_era(&mut self, era: StoreEra) {
        self.logs.system("store", "new_era").number("era", era);
        self.directory.forget_revisions();
        self.forget_stored_blocks();
        self.forget_version_records();
        if let Some(table) = &mut self.table {
            Arc::make_mut(table).revision = UNKNOWN_REVISION;
        }
    }

    fn record_store_call(&mut self, call: &'static str, outcome: &'static str, elapsed: Duration) {
        let label = crate::metrics::StoreCallLabels { call, outcome };
        self.metrics.store_calls.get_or_create(&label).inc();
        let failed = outcome != "ok";
        let connection = usize::from(call == WATCH_CALL);
        if failed != self.store_failing[connection] {
            self.store_failing[connection] = failed;
            let event = if failed { "lost" } else { "regained" };
            self.logs
                .system("store", event)
                .text("call", call)
                .text("outcome", outcome)
                .ms("took_ms", elapsed);
        }
    }

    fn apply_record(
        &mut self,
        record: StoreRecord,
        as_of: u64,
        call: &'static str,
        outage_suspected: bool,
    ) {
        match record.key {
            RecordKey::Tables => self.apply_tables(record.value, record.revision, call),
            RecordKey::Replica(id) => {
                let change = match &record.value {
                    None => self
                        .directory
                        .remove(&id, record.revision, outage_suspected, self.now),
                    Some(value) => match check_id(&id).and_then(|()| F::read_replica(value)) {
                        Ok(entry) => self.directory.apply(id, entry, record.revision),
                        Err(error) => {
                            self.logs
                                .system("directory", "unreadable")
                                .text("server", &id)
                                .text("reason", &error.0);
                            return;
                        }
                    },
                };
                self.apply_directory_change(change);
            }
            RecordKey::Peer(vm) => match record.value.as_deref().map(F::read_peer) {
                Some(Ok(address)) => {
                    self.peers.set_address(vm, address);
                    self.announce_limits();
                    self.crashes.refresh_now();
                }
                Some(Err(error)) => {
                    self.logs
                        .system("peers", "unreadable")
                        .text("vm", &vm)
                        .text("reason", &error.0);
                }
                None if vm == self.settings.vm => self.store.rewrite_own_entry(self.now),
                None => self.peers.remove(&vm, self.now),
            },
            RecordKey::Block(cause) => match record.value.as_deref().map(F::read_block) {
                Some(Ok(last_crash_ms)) => self.apply_stored_block(cause, last_crash_ms),
                Some(Err(error)) => {
                    self.logs
                        .system("crash", "unreadable")
                        .text("key", &record.name)
                        .text("reason", &error.0);
                }
                None => self.forget_stored_block(cause),
            },
            RecordKey::Lift(_) | RecordKey::UnreadableLift => self.apply_lift_record(&record, call),
            RecordKey::DutyHolder(_) | RecordKey::DutyToken(_) | RecordKey::UsageReport => {
                self.on_duty_record(record, as_of);
            }
            RecordKey::ServiceVersion(_) | RecordKey::StreamOrigins => {
                self.apply_version_record(&record);
            }
            RecordKey::Other => {}
        }
    }

    /// Lets a VM that has joined know all limits.
    fn announce_limits(&mut self) {
        for index in self.directory.limited() {
            let limit = &mut self.directory.get_mut(index).rate_limit;
            limit.announce(self.now);
            self.digest_due = true;
        }
    }

    fn apply_tables(&mut self, value: Option<Vec<u8>>, revision: u64, call: &'static str) {
        let already_applied = self
            .table
            .as_ref()
            .is_some_and(|table| table.revision >= revision);
        let Some(value) = value else {
            self.logs
                .system("tables", "removed")
                .number("revision", revision);
            return;
        };
        if already_applied {
            return;
        }
        let set = match F::read_tables(&value) {
            Ok(set) => set,
            Err(error) => {
                self.logs
                    .system("tables", "unreadable")
                    .number("revision", revision)
                    .text("reason", &error.0);
                return;
            }
        };
        if let Some(table) = &mut self.table
            && table.version > set.version
        {
            self.logs
                .system("tables", "older_version")
                .number("revision", revision)
                .number("version", set.version);
            if table.revision == UNKNOWN_REVISION {
                // In its new era, the store holds nothing newer than the tables
                // in force.
                Arc::make_mut(table).revision = revision;
                self.store.set_tables_revision(revision);
            }
            return;
        }
        let table = RouteTable::index(set, revision);
        let watch_age = self.store.watch_age(self.now).unwrap_or(Duration::MAX);
        self.logs
            .system("tables", "in_force")
            .number("version", table.version)
            .number("revision", revision)
            .number("routes", table.route_count() as u64)
            .text("call", call)
            .ms("watch_age_ms", watch_age);
        for (service, classes) in table.stream_classes() {
            let classes = classes.into_iter().collect();
            self.models.get_mut(service).set_classes(classes);
        }
        self.store.set_tables_revision(revision);
        self.stream_terms.apply_tables(&table, self.now);
        self.table = Some(Arc::new(table));
        let services = self.stream_terms.services(self.now).map(str::to_string);
        for service in services.collect::<Vec<_>>() {
            self.begin_recording(&service);
        }
        let services: Vec<String> = self.queues.keys().cloned().collect();
        self.pending_dispatches.extend(services);
    }

    pub(crate) fn apply_directory_change(&mut self, change: DirectoryChange) {
        let (index, event) = match change {
            DirectoryChange::Unchanged => return,
            DirectoryChange::Started(index) => (index, "started"),
            DirectoryChange::Restarted(index) => (index, "restarted"),
            DirectoryChange::Leaving(index) => (index, "leaving"),
            DirectoryChange::Gone(index) => (index, "gone"),
            DirectoryChange::Missing(index) => (index, "missing"),
        };
        if !matches!(change, DirectoryChange::Missing(_)) {
            // Idle connections to a restarted, leaving or removed server aren't
            // used again.
            let idle = std::mem::take(&mut self.directory.get_mut(index).idle_conns);
            for conn_id in idle {
                self.close_server_conn(conn_id);
            }
            self.load_notices.forget(self.directory.get(index).hash);
            self.ended_notices.forget(self.directory.get(index).hash);
            let server = self.directory.get(index).hash;
            self.prefix_notices.retain(|notice| notice.server != server);
        }
        if let DirectoryChange::Started(_) | DirectoryChange::Restarted(_) = change {
            self.observe_version(index);
            let replica = self.directory.get_mut(index);
            replica.reports.begin(self.now);
            replica.ended.record_started(self.now);
            replica.cached_parts.begin(self.now);
        }
        self.start_warmup(change);
        let replica = self.directory.get(index);
        self.logs
            .system("directory", event)
            .text("server", &replica.id)
            .text("service", &replica.entry.service)
            .text("version", &replica.entry.version)
            .number("started_ms", replica.entry.started_ms);
        let service = replica.entry.service.clone();
        self.pending_dispatches.push_back(service);
    }

    /// Starts the warm-up of a started server.
    ///
    /// Servers in the initial list were running before this process.
    fn start_warmup(&mut self, change: DirectoryChange) {
        let (index, known) = match change {
            DirectoryChange::Started(index) => (index, false),
            DirectoryChange::Restarted(index) => (index, true),
            _ => return,
        };
        if !self.store.is_loaded() {
            return;
        }
        let hash = self.directory.get(index).hash;
        let rank = self.peers.rank_for(hash);
        let warmup = &mut self.directory.get_mut(index).warmup;
        warmup.begin(rank, known, self.now);
    }

    /// Updates state that changes only with time.
    pub(crate) fn run_housekeeping(&mut self) {
        for index in self.directory.expire(self.now) {
            self.apply_directory_change(DirectoryChange::Gone(index));
        }
        self.peers.expire_departed(self.now);
        self.ended_reporters.expire(self.now);
        let load_reports = &self.load_reports;
        self.directory
            .evict_parts(|service| load_reports.get(service).is_some(), self.now);
        self.refresh_fleet_places();
        self.refresh_blocks();
        self.test_reach();
        self.log_isolation();
        let ttl = self.stream_ttl();
        self.origins.expire(ttl, self.now);
        self.maintain_versions();
        self.shed_responses();
        // Ejections end and digests expire without an event.
        self.peer_load_stale = true;
        let waiting: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        self.pending_dispatches.extend(waiting);
        let refresh = self.digest_sent + DIGEST_REFRESH <= self.now;
        self.digest_due |= refresh
            && self
                .directory
                .iter()
                .any(|replica| replica.own_load.requests > 0);
        self.logs.flush();
        let due = self.now + HOUSEKEEPING_INTERVAL;
        self.timers.arm(due, TimerKey::Housekeeping);
    }

    fn refresh_fleet_places(&mut self) {
        for index in self.directory.limited() {
            let replica = self.directory.get_mut(index);
            replica
                .rate_limit
                .set_place(self.peers.place_for(replica.hash));
        }
    }

    /// While the VM may be isolated, opens a connection to a server to find out;
    /// it is closed unused.
    fn test_reach(&mut self) {
        if !self.may_be_isolated() || self.reach_test_due > self.now {
            return;
        }
        self.reach_test_due = self.now + REACH_TEST_INTERVAL;
        let listed: Vec<usize> = self
            .directory
            .iter()
            .enumerate()
            .filter(|(_, replica)| replica.is_listed())
            .map(|(index, _)| index)
            .collect();
        if listed.is_empty() {
            return;
        }
        let replica = listed[self.next_random() as usize % listed.len()];
        if let Ok(conn_id) = self.connect(replica) {
            self.arm_server(conn_id, self.now + CONNECT_TIMEOUT);
        }
    }

    /// Logs a change of whether the VM seems isolated from all servers.
    fn log_isolation(&mut self) {
        let isolated = self.is_isolated();
        if isolated != std::mem::replace(&mut self.was_isolated, isolated) {
            let event = if isolated { "isolated" } else { "connected" };
            self.logs
                .system("process", event)
                .number("unanswered_sends", self.unanswered_sends)
                .ms("silent_ms", self.now.saturating_sub(self.last_received));
        }
    }

    /// Reads the digests of the other VMs.
    pub(crate) fn read_digests(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM];
        for _ in 0..MAX_DATAGRAMS {
            let Ok((length, sender)) = self.peer_socket.recv_from(&mut buffer) else {
                break;
            };
            if !self.peers.is_known(sender) {
                self.metrics.foreign_datagrams.inc();
                continue;
            }
            if self.receive_duty_datagram(&buffer[..length], sender) {
                continue;
            }
            match self.peers.receive(&buffer[..length], self.now) {
                PeerMessage::Malformed => self.record_malformed_datagram(sender),
                PeerMessage::Own => {}
                PeerMessage::Limits(notices) => self.apply_limit_notices(&notices),
                PeerMessage::Reports(notices) => self.apply_load_notices(notices),
                PeerMessage::Ended(received) => self.apply_ended_notices(received, sender),
                PeerMessage::Prefixes(received) => self.apply_prefix_notices(received),
                PeerMessage::Crashes(notices) => self.apply_crash_notices(notices),
                PeerMessage::OriginQuery(stream) => self.answer_origin_query(stream, sender),
                PeerMessage::OriginBatch { number, origins } => {
                    self.record_for(sender, number, &origins);
                }
                PeerMessage::OriginsRecorded(number) => {
                    self.recording.outbox.acknowledge(number);
                }
                PeerMessage::Digest { is_new, origins } => {
                    self.peer_load_stale |= is_new;
                    for origin in origins {
                        self.origins.learn(origin, self.now);
                    }
                }
            }
        }
        self.bind_awaiting();
    }

    /// Counts a datagram that can't be read. Only the first one is logged: a VM with
    /// other software may send many.
    fn record_malformed_datagram(&mut self, sender: SocketAddr) {
        if self.metrics.malformed_datagrams.inc() == 0 {
            self.logs
                .system("peers", "malformed_datagram")
                .text("sender", &sender.to_string());
        }
    }

    fn apply_limit_notices(&mut self, notices: &[LimitNotice]) {
        for notice in notices {
            if let Some(index) = self.directory.by_hash(notice.server) {
                self.set_rate_limit(index, notice.rate, notice.heard_at, "other_vm");
            }
        }
    }

    /// Applies the reports of servers that another VM has received.
    fn apply_load_notices(&mut self, received: Option<ReceivedNotices>) {
        let Some(received) = received else {
            self.metrics.count_load_notices("malformed", 1);
            return;
        };
        let (mut used, mut superseded, mut unknown) = (0, 0, 0);
        for dated in &received.facts {
            let notice = dated.fact;
            let Some(index) = self.directory.by_hash(notice.server()) else {
                unknown += 1;
                continue;
            };
            let replica = self.directory.get_mut(index);
            let service = &replica.entry.service;
            let Some(service) = self.load_reports.enable(service, &notice.report()) else {
                continue;
            };
            let reports = &mut replica.reports;
            match reports.record_notice(notice.report(), dated.heard_at, service) {
                true => used += 1,
                false => superseded += 1,
            }
        }
        // The increase of the digests counts from their next sum on.
        self.peer_load_stale |= used > 0;
        self.metrics.count_load_notices("used", used);
        self.metrics.count_load_notices("superseded", superseded);
        self.metrics.count_load_notices("unknown_server", unknown);
        self.metrics
            .count_load_notices("repeated", received.repeated);
        self.metrics.count_load_notices("late", received.late);
    }

    /// Answers the question of another VM for a stream, if its origin is known.
    fn answer_origin_query(&mut self, stream: StreamKey, sender: SocketAddr) {
        if let Some(version) = self.origins.version_of(stream) {
            let answer = self.peers.encode_origin(StreamOrigin { stream, version });
            // A VM that gets no answer asks the next time.
            let _ = self.peer_socket.send_to(&answer, sender);
        }
    }

    /// Schedules a digest if the load of this VM has changed.
    pub(crate) fn schedule_digest(&mut self) {
        if std::mem::take(&mut self.digest_due) {
            let due = self.now.max(self.digest_sent + DIGEST_INTERVAL);
            self.digest_timer
                .set(due, TimerKey::Digest, &mut self.timers);
        }
    }

    /// Sends the digest of this VM's load.
    pub(crate) fn send_digest(&mut self) {
        self.digest_sent = self.now;
        let origins = self.origins.next_announcements(MAX_ORIGINS);
        self.digest_due |= self.origins.has_announcements();
        let bytes = self.peers.encode(&self.directory, &origins, self.now);
        let notices = self.limit_notices();
        self.digest_due |= !notices.is_empty();
        let notice_bytes = encode_notices(&notices, self.now);
        let load_notices = self
            .load_notices
            .next_datagram(self.peers.own_hash(), self.now);
        self.digest_due |= !self.load_notices.is_empty();
        let ended_notices = self
            .ended_notices
            .next_datagram(self.peers.own_hash(), self.now);
        self.digest_due |= !self.ended_notices.is_empty();
        let prefix_notices = self
            .prefix_notices
            .next_datagram(self.peers.own_hash(), self.now);
        self.digest_due |= !self.prefix_notices.is_empty();
        let crash_datagrams = self.next_crash_datagrams();
        self.digest_due |= self.crashes.has_notices();
        for address in self.peers.next_targets(DIGEST_TARGETS) {
            // The next digest replaces a lost one.
            let _ = self.peer_socket.send_to(&bytes, address);
            if !notices.is_empty() {
                let _ = self.peer_socket.send_to(&notice_bytes, address);
            }
            let datagrams = load_notices.iter().chain(&ended_notices);
            for datagram in datagrams.chain(&prefix_notices) {
                let _ = self.peer_socket.send_to(datagram, address);
            }
            for datagram in &crash_datagrams {
                let _ = self.peer_socket.send_to(datagram, address);
            }
        }
    }

    /// Returns the limits that the other VMs are to be told.
    fn limit_notices(&self) -> Vec<LimitNotice> {
        let announced = self
            .directory
            .iter()
            .filter(|replica| replica.rate_limit.is_announced(self.now));
        announced
            .map(|replica| LimitNotice {
                server: replica.hash,
                rate: replica.rate_limit.rate(),
                heard_at: replica.rate_limit.heard_at(),
            })
            .collect()
    }
}

/// Checks that the id of a server, which its requests name in a header, adds nothing
/// else to them.
fn check_id(id: &str) -> Result<(), FormatError> {
    match !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(()),
        false => Err(FormatError(
            "id: expected visible ASCII characters".to_string(),
        )),
    }
}
