//! What the store and the other VMs tell.

use std::sync::Arc;
use std::time::Duration;

use crate::directory::DirectoryChange;
use crate::format::{PlatformFormat, RecordKey, StoreRecord};
use crate::storage::{StoreEvent, WATCH_CALL};
use crate::tables::RouteTable;

use super::state::EdgeState;
use super::timers::TimerKey;

/// Time between two digests while work changes.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which work that doesn't change is told again; several digests
/// are lost before one grows old.
const DIGEST_REFRESH: Duration = Duration::from_millis(300);

/// VMs to which one digest goes; a larger fleet takes turns.
const DIGEST_TARGETS: usize = 24;

/// Bytes of a datagram at most.
const MAX_DATAGRAM: usize = 2048;

/// Datagrams that are read before other work goes on.
const MAX_DATAGRAMS: usize = 64;

/// Time between two looks at entries that are missing.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

impl<F: PlatformFormat> EdgeState<F> {
    /// Drives the storage duty and takes what it learned.
    pub(crate) fn drive_store(&mut self) {
        self.take_store_events();
        let due = self.store.drive(&self.registry, self.now);
        self.take_store_events();
        self.store_timer.set(due, TimerKey::Store, &mut self.timers);
    }

    fn take_store_events(&mut self) {
        for event in self.store.take_events() {
            match event {
                StoreEvent::Record { record, lapse } => self.take_record(record, lapse),
                StoreEvent::Listed { replicas, lapse } => {
                    let changes = self.directory.relist(&replicas, lapse, self.now);
                    for change in changes {
                        self.note_change(change);
                    }
                }
                StoreEvent::Confirmed { revision, sent } => {
                    let held = self
                        .table
                        .as_ref()
                        .is_some_and(|table| table.revision >= revision);
                    if held {
                        self.keys.confirm(sent);
                    }
                }
                StoreEvent::Called {
                    call,
                    outcome,
                    took,
                } => self.note_call(call, outcome, took),
            }
        }
    }

    fn note_call(&mut self, call: &'static str, outcome: &'static str, took: Duration) {
        let label = crate::metrics::StoreLabel { call, outcome };
        self.metrics.store_calls.get_or_create(&label).inc();
        let lost = outcome != "ok";
        let connection = usize::from(call == WATCH_CALL);
        if lost != self.store_lost[connection] {
            self.store_lost[connection] = lost;
            let event = if lost { "lost" } else { "regained" };
            self.logs
                .system("store", event)
                .text("call", call)
                .text("outcome", outcome)
                .ms("took_ms", took);
        }
    }

    fn take_record(&mut self, record: StoreRecord, lapse: bool) {
        match record.key {
            RecordKey::Tables => self.take_tables(record.value, record.revision),
            RecordKey::Replica(id) => {
                let change = match &record.value {
                    None => self.directory.remove(&id, record.revision, lapse, self.now),
                    Some(value) => match F::read_replica(value) {
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
                self.note_change(change);
            }
            RecordKey::Peer(vm) => match record.value.as_deref().map(F::read_peer) {
                Some(Ok(address)) => self.peers.set(vm, address),
                Some(Err(error)) => {
                    self.logs
                        .system("peers", "unreadable")
                        .text("vm", &vm)
                        .text("reason", &error.0);
                }
                None => self.peers.remove(&vm),
            },
            RecordKey::Other => {}
        }
    }

    fn take_tables(&mut self, value: Option<Vec<u8>>, revision: u64) {
        let known = self
            .table
            .as_ref()
            .is_some_and(|table| table.revision >= revision);
        let Some(value) = value else {
            self.logs
                .system("tables", "removed")
                .number("revision", revision);
            return;
        };
        if known {
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
        if self
            .table
            .as_ref()
            .is_some_and(|table| table.version > set.version)
        {
            self.logs
                .system("tables", "older_version")
                .number("revision", revision)
                .number("version", set.version);
            return;
        }
        let table = RouteTable::index(set, revision);
        self.logs
            .system("tables", "in_force")
            .number("version", table.version)
            .number("revision", revision)
            .number("routes", table.route_count() as u64);
        self.store.set_tables_revision(revision);
        self.table = Some(Arc::new(table));
        let services: Vec<String> = self.queues.keys().cloned().collect();
        self.wakes.extend(services);
    }

    fn note_change(&mut self, change: DirectoryChange) {
        let (index, event) = match change {
            DirectoryChange::Unchanged => return,
            DirectoryChange::Started(index) => (index, "started"),
            DirectoryChange::Restarted(index) => (index, "restarted"),
            DirectoryChange::Leaving(index) => (index, "leaving"),
            DirectoryChange::Gone(index) => (index, "gone"),
            DirectoryChange::Missing(index) => (index, "missing"),
        };
        if !matches!(change, DirectoryChange::Missing(_)) {
            // Kept connections belong to the start of the server that is over.
            let idle = std::mem::take(&mut self.directory.get_mut(index).idle);
            for server in idle {
                self.drop_server(server);
            }
        }
        self.start_warmup(change);
        let replica = self.directory.get(index);
        self.logs
            .system("directory", event)
            .text("server", &replica.id)
            .text("service", &replica.entry.service)
            .number("started_ms", replica.entry.started_ms);
        let service = replica.entry.service.clone();
        self.wakes.push_back(service);
    }

    /// Lets this VM begin with a server in its turn.
    ///
    /// Servers of the first list were there before this process.
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

    /// Looks after what changes with time alone.
    pub(crate) fn keep_house(&mut self) {
        for index in self.directory.expire(self.now) {
            self.note_change(DirectoryChange::Gone(index));
        }
        // Servers come back from a pause, and digests grow old, without an event.
        self.others_stale = true;
        let waiting: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        self.wakes.extend(waiting);
        let refresh = self.digest_sent + DIGEST_REFRESH <= self.now;
        self.digest_due |= refresh
            && self
                .directory
                .iter()
                .any(|replica| replica.own_load.requests > 0);
        self.logs.hand_over();
        let due = self.now + HOUSEKEEPING_INTERVAL;
        self.timers.arm(due, TimerKey::Housekeeping);
    }

    /// Reads the digests of the other VMs.
    pub(crate) fn read_digests(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM];
        for _ in 0..MAX_DATAGRAMS {
            let Ok((length, _)) = self.peer_socket.recv_from(&mut buffer) else {
                return;
            };
            if self.peers.receive(&buffer[..length], self.now) {
                self.others_stale = true;
            }
        }
    }

    /// Arms the timer of the digest, if this VM's work changed.
    pub(crate) fn schedule_digest(&mut self) {
        if std::mem::take(&mut self.digest_due) {
            let due = self.now.max(self.digest_sent + DIGEST_INTERVAL);
            self.digest_timer
                .set(due, TimerKey::Digest, &mut self.timers);
        }
    }

    /// Sends the digest of this VM's work.
    pub(crate) fn send_digest(&mut self) {
        self.digest_sent = self.now;
        let bytes = self.peers.encode(&self.directory, self.now);
        for address in self.peers.targets(DIGEST_TARGETS) {
            // A lost digest is made up for by the next one.
            let _ = self.peer_socket.send_to(&bytes, address);
        }
    }
}
