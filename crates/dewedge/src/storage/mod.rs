//! The calls to the platform's store.
//!
//! Two connections: one for calls, one after the other, and one on which a
//! watch waits. The duty loads the tables and the lists, watches for changes,
//! and asks at intervals whether the tables are still the newest; only answers
//! to such calls confirm the keys.
//!
//! The main invariant: a change that was told is never undone by an older one,
//! because each consumer compares revisions.

mod link;
mod pace;

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use mio::{Registry, Token};

use crate::clock::Moment;
use crate::format::{PlatformFormat, RecordKey, ReplicaId, StoreCall, StoreRecord, StoreResponse};
use crate::settings::EdgeSettings;
use link::{CallEnd, RETRY_MIN, StoreLink};
use pace::StorePace;

/// Time after which a call without an answer is given up; far above the store's
/// usual few milliseconds, and a third of the smallest key bound in use.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time beyond the wait of a watch after which it is given up.
const WATCH_SLACK: Duration = Duration::from_millis(1500);

/// Time after trouble with the store in which removed entries may come back.
const LAPSE_SPAN: Duration = Duration::from_secs(4);

/// Time for which the entry of this VM outlives it; the other VMs send digests
/// to its address for so long.
const LEASE_TIME: Duration = Duration::from_secs(24);

/// Time between two renewals; three are lost before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_secs(8);

/// What the storage duty learned.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// An item, as it is now.
    Record {
        record: StoreRecord,
        /// Whether a removal may come from an outage of the store.
        lapse: bool,
    },
    /// The whole list of servers was read.
    Listed {
        replicas: IndexSet<ReplicaId>,
        lapse: bool,
    },
    /// The store confirmed the tables of this revision or a newer one that was
    /// told before; the call was sent at this time.
    Confirmed { revision: u64, sent: Moment },
    /// A call ended.
    Called {
        call: &'static str,
        outcome: &'static str,
        took: Duration,
    },
}

/// The storage duty of one VM.
#[derive(Debug)]
pub(crate) struct StoreDuty<F> {
    address: SocketAddr,
    vm: String,
    peer_address: SocketAddr,
    pace: StorePace,
    calls: StoreLink,
    watch: StoreLink,
    queue: VecDeque<StoreCall>,
    /// Revision up to which changes are known; none while lists are read.
    watched: Option<u64>,
    /// Revision of the store when the lists began to be read.
    list_start: u64,
    listed: IndexSet<ReplicaId>,
    /// Whether all lists were read once in this process.
    listed_once: bool,
    tables_revision: Option<u64>,
    confirm_at: Moment,
    lease: Option<u64>,
    renew_at: Moment,
    trouble: Option<Moment>,
    /// Whether a call failed since the last one that was answered.
    calls_failed: bool,
    draw: u64,
    events: Vec<StoreEvent>,
    format: PhantomData<F>,
}

impl<F: PlatformFormat> StoreDuty<F> {
    pub(crate) fn new(settings: &EdgeSettings, tokens: (Token, Token)) -> Self {
        let mut duty = Self {
            address: settings.store_address,
            vm: settings.vm.clone(),
            peer_address: settings.peer_address,
            pace: StorePace::new(settings),
            calls: StoreLink::new(tokens.0),
            watch: StoreLink::new(tokens.1),
            queue: VecDeque::new(),
            watched: None,
            list_start: 0,
            listed: IndexSet::new(),
            listed_once: false,
            tables_revision: None,
            confirm_at: Moment::ZERO,
            lease: None,
            renew_at: Moment::ZERO,
            trouble: None,
            calls_failed: false,
            draw: crate::directory::stable_hash(settings.vm.as_bytes()),
            events: Vec::new(),
            format: PhantomData,
        };
        duty.reload();
        duty
    }

    /// Returns what was learned since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<StoreEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether the tables and the lists were read once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.listed_once
    }

    /// Takes changed settings; the addresses stay.
    pub(crate) fn set_pace(&mut self, settings: &EdgeSettings) {
        self.pace = StorePace::new(settings);
    }

    /// Sets the revision of the tables in force.
    pub(crate) fn set_tables_revision(&mut self, revision: u64) {
        self.tables_revision = Some(revision);
    }

    /// Takes an event of one of the two connections.
    pub(crate) fn on_ready(&mut self, token: Token, closing: bool, now: Moment) {
        let is_watch = token == self.watch.token;
        let link = if is_watch {
            &mut self.watch
        } else {
            &mut self.calls
        };
        let end = link.advance(closing);
        self.finish(is_watch, end, now);
    }

    /// Gives up calls whose time is over and sends what is due; returns when it
    /// wants to be called again.
    pub(crate) fn drive(&mut self, registry: &Registry, now: Moment) -> Moment {
        for is_watch in [false, true] {
            let link = if is_watch {
                &mut self.watch
            } else {
                &mut self.calls
            };
            if link
                .pending
                .as_ref()
                .is_some_and(|pending| pending.until <= now)
            {
                let end = link.fail("timeout");
                self.finish(is_watch, end, now);
            }
        }
        self.enqueue_due(now);
        if self.calls.is_free(now)
            && let Some(call) = self.queue.pop_front()
        {
            let bytes = F::write_call(&call);
            let timeout = match call {
                StoreCall::ConfirmTables(_) => self.pace.confirm_timeout,
                _ => CALL_TIMEOUT,
            };
            let times = (now, now + timeout);
            self.calls.send(registry, self.address, call, &bytes, times);
        }
        if self.watch.is_free(now)
            && let Some(after) = self.watched
        {
            let wait = WATCH_WAIT;
            let call = StoreCall::Watch { after, wait };
            let bytes = F::write_call(&call);
            let times = (now, now + WATCH_WAIT + WATCH_SLACK);
            self.watch.send(registry, self.address, call, &bytes, times);
        }
        self.next_due(now)
    }

    fn next_due(&self, now: Moment) -> Moment {
        let mut due = now + self.pace.confirm_interval;
        for link in [&self.calls, &self.watch] {
            match &link.pending {
                Some(pending) => due = due.min(pending.until),
                None => due = due.min(link.retry_at.max(now + Duration::from_millis(1))),
            }
        }
        if self.calls.pending.is_none() && self.tables_revision.is_some() {
            due = due.min(self.confirm_at.max(self.calls.retry_at));
        }
        due
    }

    fn enqueue_due(&mut self, now: Moment) {
        if let Some(revision) = self.tables_revision
            && self.confirm_at <= now
            && self.calls.is_free(now)
            && !self
                .queue
                .iter()
                .any(|call| matches!(call, StoreCall::ConfirmTables(_)))
        {
            self.confirm_at = now + self.pace.confirm_interval;
            self.queue.push_front(StoreCall::ConfirmTables(revision));
        }
        if self.watched.is_some() && self.renew_at <= now {
            self.renew_at = now + RENEW_INTERVAL;
            let call = match self.lease {
                Some(lease) => StoreCall::RenewLease(lease),
                None => StoreCall::OpenLease(LEASE_TIME),
            };
            self.queue.push_back(call);
        }
    }

    /// Sends the watch anew, because its connection may have gone silent in the
    /// trouble that the calls had.
    fn restart_watch(&mut self, now: Moment) {
        if matches!(self.watch.fail("restarted"), CallEnd::Failed(..)) {
            self.watch.retry_at = now;
        }
    }

    /// Reads the tables and all lists again.
    fn reload(&mut self) {
        self.watched = None;
        self.listed.clear();
        self.queue.clear();
        self.queue.push_back(StoreCall::ReadTables);
        self.queue.push_back(StoreCall::ListReplicas(None));
    }

    fn finish(&mut self, is_watch: bool, end: CallEnd, now: Moment) {
        match end {
            CallEnd::Waiting => {}
            CallEnd::Failed(call, reason) => {
                self.note_call(&call, reason, now, now);
                self.give_back(is_watch, call, now);
            }
            CallEnd::Answered(call, sent, status, body) => {
                match F::read_response(&call, status, &body) {
                    Ok(StoreResponse::Refused(_)) => {
                        self.note_call(&call, "refused", sent, now);
                        self.give_back(is_watch, call, now);
                    }
                    Ok(answer) => {
                        self.note_call(&call, "ok", sent, now);
                        if !is_watch && std::mem::take(&mut self.calls_failed) {
                            self.restart_watch(now);
                        }
                        self.take_answer(call, answer, sent, now);
                    }
                    Err(_) => {
                        self.note_call(&call, "malformed", sent, now);
                        self.give_back(is_watch, call, now);
                    }
                }
            }
        }
    }

    fn note_call(&mut self, call: &StoreCall, outcome: &'static str, sent: Moment, now: Moment) {
        self.events.push(StoreEvent::Called {
            call: call_name(call),
            outcome,
            took: now.saturating_sub(sent),
        });
    }

    fn give_back(&mut self, is_watch: bool, call: StoreCall, now: Moment) {
        self.trouble = Some(now);
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let draw = (self.draw >> 40) as f64 / (1u64 << 24) as f64;
        let link = if is_watch {
            &mut self.watch
        } else {
            &mut self.calls
        };
        link.pause(now, draw);
        self.calls_failed |= !is_watch;
        match call {
            StoreCall::Watch { .. } => {}
            StoreCall::ConfirmTables(_) => self.confirm_at = now,
            // The lease is renewed or opened again soon.
            StoreCall::RenewLease(_) | StoreCall::OpenLease(_) => {
                self.renew_at = now + Duration::from_secs(1);
            }
            call => self.queue.push_front(call),
        }
    }

    fn is_lapse(&self, now: Moment) -> bool {
        self.trouble
            .is_some_and(|trouble| now.saturating_sub(trouble) < LAPSE_SPAN)
    }

    fn tell(&mut self, record: StoreRecord, now: Moment) {
        let lapse = self.is_lapse(now);
        self.events.push(StoreEvent::Record { record, lapse });
    }

    fn take_answer(&mut self, call: StoreCall, answer: StoreResponse, sent: Moment, now: Moment) {
        match (call, answer) {
            (StoreCall::ReadTables, StoreResponse::Record(Some(record), as_of)) => {
                self.list_start = as_of;
                let revision = record.revision;
                self.tell(record, now);
                self.events.push(StoreEvent::Confirmed { revision, sent });
                self.confirm_at = sent + self.pace.confirm_interval;
            }
            (StoreCall::ReadTables, StoreResponse::Record(None, _)) => {
                // The operators haven't written them yet.
                self.calls.retry_at = now + RETRY_MIN;
                self.queue.push_front(StoreCall::ReadTables);
            }
            (StoreCall::ListReplicas(_), StoreResponse::Page { records, more, .. }) => {
                self.take_replicas(records, more, now);
            }
            (StoreCall::ListPeers(_), StoreResponse::Page { records, more, .. }) => {
                self.take_peers(records, more, now);
            }
            (StoreCall::Watch { .. }, StoreResponse::Changes { records, as_of }) => {
                for record in records {
                    self.tell(record, now);
                }
                if self.watched.is_some_and(|watched| watched < as_of) {
                    self.watched = Some(as_of);
                }
                self.watch.retry_at = now + self.pace.watch_pause;
            }
            (StoreCall::Watch { .. }, StoreResponse::Compacted) => self.reload(),
            (StoreCall::ConfirmTables(revision), StoreResponse::Succeeded) => {
                self.events.push(StoreEvent::Confirmed { revision, sent });
            }
            (StoreCall::ConfirmTables(_), StoreResponse::Changed(Some(record))) => {
                let revision = record.revision;
                self.tell(record, now);
                self.events.push(StoreEvent::Confirmed { revision, sent });
            }
            (StoreCall::OpenLease(_), StoreResponse::Lease(lease)) => {
                self.lease = Some(lease);
                let call = StoreCall::PublishPeer {
                    vm: self.vm.clone(),
                    address: self.peer_address,
                    lease,
                };
                self.queue.push_back(call);
            }
            (
                StoreCall::RenewLease(_) | StoreCall::PublishPeer { .. },
                StoreResponse::LeaseExpired,
            ) => {
                self.lease = None;
                self.renew_at = now;
            }
            _ => {}
        }
    }

    fn take_replicas(&mut self, records: Vec<StoreRecord>, more: bool, now: Moment) {
        let last = records.last().map(|record| record.name.clone());
        for record in records {
            if let RecordKey::Replica(id) = &record.key {
                self.listed.insert(id.clone());
            }
            self.tell(record, now);
        }
        if more && last.is_some() {
            self.queue.push_front(StoreCall::ListReplicas(last));
            return;
        }
        let replicas = std::mem::take(&mut self.listed);
        let lapse = self.is_lapse(now);
        self.events.push(StoreEvent::Listed { replicas, lapse });
        self.queue.push_front(StoreCall::ListPeers(None));
    }

    fn take_peers(&mut self, records: Vec<StoreRecord>, more: bool, now: Moment) {
        let last = records.last().map(|record| record.name.clone());
        for record in records {
            self.tell(record, now);
        }
        if more && last.is_some() {
            self.queue.push_front(StoreCall::ListPeers(last));
            return;
        }
        self.watched = Some(self.list_start);
        self.listed_once = true;
    }
}

/// Name of the call that has a connection of its own.
pub(crate) const WATCH_CALL: &str = "watch";

fn call_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::ReadTables => "read_tables",
        StoreCall::ListReplicas(_) => "list_replicas",
        StoreCall::ListPeers(_) => "list_peers",
        StoreCall::Watch { .. } => WATCH_CALL,
        StoreCall::ConfirmTables(_) => "confirm_tables",
        StoreCall::OpenLease(_) => "open_lease",
        StoreCall::RenewLease(_) => "renew_lease",
        StoreCall::PublishPeer { .. } => "publish_peer",
    }
}
