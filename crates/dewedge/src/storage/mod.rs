//! Client of the platform's key-value store.
//!
//! It uses two connections: one for calls, which are made one after the other,
//! and one for a long-polling watch. The client loads the tables and the lists
//! of servers and VMs, watches for changes, and confirms at intervals that the
//! tables are still the latest. Keys are confirmed only by responses to calls
//! that read or confirm the tables, not by the watch.
//!
//! A connection may fall silent without a reset. A confirmation returns the store's
//! revision, so it shows that the watch has missed a change. The watch then goes on
//! over a new connection.
//!
//! In a drill, the store may return from an older copy of its data. Its era then
//! rises, and revisions are given out again.
//!
//! The main invariant: a reported change is never undone by an older one,
//! because each consumer compares revisions within one era.

mod intervals;

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use mio::{Registry, Token};

use crate::call_connection::{CallConnection, CallOutcome, ConnectionKind, MIN_RETRY_DELAY};
use crate::clock::Moment;
use crate::format::{
    DutyCall, PlatformFormat, RecordKey, ReplicaId, StoreCall, StoreEra, StoreRecord,
    StoreResponse, VersionCall,
};
use crate::settings::EdgeSettings;
use intervals::CallIntervals;

/// Time for which the store may hold a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time beyond the wait of a watch after which it times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);

/// Time after a failed call during which removed entries may have been lost in
/// an outage of the store.
const OUTAGE_SUSPICION_TIME: Duration = Duration::from_secs(4);

/// Time after which this VM's entry expires if its lease isn't renewed; until
/// then, other VMs keep sending digests to its address.
const LEASE_TTL: Duration = Duration::from_secs(24);

/// Interval between two renewals; the lease expires after three lost ones.
const RENEW_INTERVAL: Duration = Duration::from_secs(8);

/// Events reported by the store client.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// The current state of an item.
    Record {
        record: StoreRecord,
        /// Revision of the store as of which it was current.
        as_of: u64,
        /// The call that brought it.
        call: &'static str,
        /// Whether a removal may be due to an outage of the store.
        outage_suspected: bool,
    },
    /// The complete list of servers was read.
    Listed {
        replicas: IndexSet<ReplicaId>,
        outage_suspected: bool,
    },
    /// The store confirmed that the tables of this revision, or newer ones
    /// reported before, are the latest; the call was sent at this time.
    Confirmed { revision: u64, sent: Moment },
    /// All lists were read.
    Loaded {
        /// Revision of the store when reading them began.
        revision: u64,
    },
    /// The first response of an era arrived, or the first one at all.
    EraSeen { era: Option<StoreEra> },
    /// The store has returned from an older copy of its data.
    EraChanged { era: StoreEra },
    /// A call about duties ended; without a response, it may still take effect.
    DutyEnded {
        call: DutyCall,
        sent: Moment,
        response: Option<StoreResponse>,
        /// Era of the store as of the response.
        era: Option<StoreEra>,
        /// Revision of the store that was known when the call was sent.
        sent_revision: u64,
    },
    /// A call about versions ended; without a response, it may still take effect.
    VersionEnded {
        call: VersionCall,
        response: Option<StoreResponse>,
    },
    /// The events before this one contain all changes that the store had at this
    /// time.
    ViewConfirmed { at: Moment },
    /// A call ended.
    CallEnded {
        call: &'static str,
        outcome: &'static str,
        elapsed: Duration,
    },
}

/// Client of the store on one VM.
#[derive(Debug)]
pub(crate) struct StoreClient<F> {
    address: SocketAddr,
    vm: String,
    peer_address: SocketAddr,
    intervals: CallIntervals,
    call_connection: CallConnection<StoreCall>,
    watch_connection: CallConnection<StoreCall>,
    queue: VecDeque<StoreCall>,
    /// Calls about duties, each with the time after which it isn't sent any more.
    duty_queue: VecDeque<(DutyCall, Moment)>,
    /// Calls about versions and origins of streams.
    version_queue: VecDeque<VersionCall>,
    /// When the store was asked for its revision, and the revision, until the watch
    /// has reached it.
    requested_views: VecDeque<(Moment, u64)>,
    era: Option<StoreEra>,
    /// Latest revision of the store that a response has shown in this era.
    known_revision: u64,
    /// The latest revision that was known when the last call was sent.
    sent_revision: u64,
    /// Whether the store has responded since the process started.
    has_responded: bool,
    /// Revision up to which changes are known; `None` while lists are read.
    watch_revision: Option<u64>,
    /// When the store last responded to a watch, or the lists were read.
    watch_answered: Option<Moment>,
    /// Revision of the store when reading the lists began.
    list_revision: u64,
    listed_replicas: IndexSet<ReplicaId>,
    /// Whether everything is to be read again.
    reload_requested: bool,
    /// Whether all lists were read once since the process started.
    loaded: bool,
    tables_revision: Option<u64>,
    confirm_at: Moment,
    lease: Option<u64>,
    renew_at: Moment,
    last_failure: Option<Moment>,
    /// Whether a call has failed since the last successful one.
    calls_failed: bool,
    random_state: u64,
    events: Vec<StoreEvent>,
    format: PhantomData<F>,
}

impl<F: PlatformFormat> StoreClient<F> {
    pub(crate) fn new(settings: &EdgeSettings, tokens: (Token, Token)) -> Self {
        let mut client = Self {
            address: settings.store_address,
            vm: settings.vm.clone(),
            peer_address: settings.peer_address,
            intervals: CallIntervals::new(settings),
            call_connection: CallConnection::new(ConnectionKind::Store, tokens.0),
            watch_connection: CallConnection::new(ConnectionKind::Store, tokens.1),
            queue: VecDeque::new(),
            duty_queue: VecDeque::new(),
            version_queue: VecDeque::new(),
            requested_views: VecDeque::new(),
            era: None,
            known_revision: 0,
            sent_revision: 0,
            has_responded: false,
            watch_revision: None,
            watch_answered: None,
            list_revision: 0,
            listed_replicas: IndexSet::new(),
            reload_requested: false,
            loaded: false,
            tables_revision: None,
            confirm_at: Moment::ZERO,
            lease: None,
            renew_at: Moment::ZERO,
            last_failure: None,
            calls_failed: false,
            random_state: crate::directory::stable_hash(settings.vm.as_bytes()),
            events: Vec::new(),
            format: PhantomData,
        };
        client.reload();
        client
    }

    /// Returns the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<StoreEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the time since the store last responded to a watch.
    pub(crate) fn watch_age(&self, now: Moment) -> Option<Duration> {
        self.watch_answered
            .map(|answered| now.saturating_sub(answered))
    }

    /// Returns whether the tables and the lists were read once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Applies changed settings; the addresses stay as they are.
    pub(crate) fn apply_settings(&mut self, settings: &EdgeSettings) {
        self.intervals = CallIntervals::new(settings);
    }

    /// Sets the revision of the tables in force.
    pub(crate) fn set_tables_revision(&mut self, revision: u64) {
        self.tables_revision = Some(revision);
    }

    /// Writes this VM's entry again, because the store has lost it.
    pub(crate) fn rewrite_own_entry(&mut self, now: Moment) {
        self.lease = None;
        self.renew_at = now;
    }

    /// Writes that a cause of crashes is blocked, or no longer is, or removes a lift;
    /// the last call about an entry replaces earlier ones that weren't sent.
    pub(crate) fn write_block(&mut self, call: StoreCall) {
        let entry = written_entry(&call);
        self.queue.retain(|queued| {
            let other = written_entry(queued);
            other.is_none() || other != entry
        });
        self.queue.push_back(call);
    }

    /// Makes a call about duties once, unless it can't be sent before `latest`. It
    /// goes before other calls, because a lease must be renewed in time.
    pub(crate) fn call_duty(&mut self, call: DutyCall, latest: Moment) {
        self.duty_queue.push_back((call, latest));
    }

    /// Makes a call about versions once; one that still waits isn't repeated.
    pub(crate) fn call_version(&mut self, call: VersionCall) {
        if !self.version_queue.contains(&call) {
            self.version_queue.push_back(call);
        }
    }

    /// Reads the store's revision, and then all changes up to it.
    pub(crate) fn request_view(&mut self) {
        self.call_version(VersionCall::List);
    }

    /// Reads everything again once the lists in progress are complete, for a consumer
    /// that has just begun.
    pub(crate) fn request_reload(&mut self) {
        self.reload_requested = true;
    }

    /// Begins with a requested reload unless lists are being read.
    fn reload_if_requested(&mut self, now: Moment) {
        if self.reload_requested && self.watch_revision.is_some() {
            self.reload_requested = false;
            self.events.push(StoreEvent::EraSeen { era: self.era });
            self.restart_watch(now);
            self.reload();
        }
    }

    /// Returns the next call to make.
    fn next_call(&mut self, now: Moment) -> Option<StoreCall> {
        while let Some((call, latest)) = self.duty_queue.pop_front() {
            if now <= latest {
                return Some(StoreCall::Duty(call));
            }
            self.fail_duty(StoreCall::Duty(call), now);
        }
        let call = self.queue.pop_front();
        call.or_else(|| self.version_queue.pop_front().map(StoreCall::Version))
    }

    /// Handles an I/O event on one of the two connections.
    pub(crate) fn on_event(&mut self, token: Token, closing: bool, now: Moment) {
        let is_watch = token == self.watch_connection.token;
        let connection = if is_watch {
            &mut self.watch_connection
        } else {
            &mut self.call_connection
        };
        let outcome = connection.advance(closing, now);
        self.handle_outcome(is_watch, outcome, now);
    }

    /// Times out and sends calls as due.
    pub(crate) fn drive(&mut self, registry: &Registry, now: Moment) {
        for is_watch in [false, true] {
            let connection = if is_watch {
                &mut self.watch_connection
            } else {
                &mut self.call_connection
            };
            if connection
                .pending
                .as_ref()
                .is_some_and(|pending| pending.deadline <= now)
            {
                let outcome = connection.fail("timeout");
                self.handle_outcome(is_watch, outcome, now);
            }
        }
        self.reload_if_requested(now);
        self.enqueue_due(now);
        if self.call_connection.is_free(now)
            && let Some(call) = self.next_call(now)
        {
            let bytes = F::write_call(&call);
            self.sent_revision = self.known_revision;
            let times = (now, now + self.intervals.call_timeout);
            self.call_connection
                .send(registry, self.address, call, &bytes, times);
        }
        if self.watch_connection.is_free(now)
            && let Some(after) = self.watch_revision
        {
            let wait = WATCH_WAIT;
            let call = StoreCall::Watch { after, wait };
            let bytes = F::write_call(&call);
            let times = (now, now + WATCH_WAIT + WATCH_TIMEOUT_MARGIN);
            self.watch_connection
                .send(registry, self.address, call, &bytes, times);
        }
    }

    /// Returns when [`drive`](Self::drive) must run again.
    pub(crate) fn next_due(&self, now: Moment) -> Moment {
        let mut dues = vec![now + self.intervals.confirm_interval];
        let (calls, watch) = (&self.call_connection, &self.watch_connection);
        for connection in [calls, watch] {
            let pending = connection.pending.as_ref();
            dues.extend(pending.map(|pending| pending.deadline));
        }
        // A connection without a call to make needs no timer: a VM without load would
        // wake up all the time.
        if calls.pending.is_none() {
            let has_calls = !self.queue.is_empty()
                || !self.duty_queue.is_empty()
                || !self.version_queue.is_empty();
            dues.extend(has_calls.then_some(calls.retry_at));
            let confirm_at = self.tables_revision.map(|_| self.confirm_at);
            dues.extend(confirm_at.map(|confirm_at| confirm_at.max(calls.retry_at)));
        }
        if self.watch_revision.is_some() {
            dues.push(self.renew_at);
            dues.extend(watch.pending.is_none().then_some(watch.retry_at));
            dues.extend(self.reload_requested.then_some(now));
        }
        let next = dues.into_iter().min().unwrap_or(now);
        next.max(now + Duration::from_millis(1))
    }

    fn enqueue_due(&mut self, now: Moment) {
        if let Some(revision) = self.tables_revision
            && self.confirm_at <= now
            && self.call_connection.is_free(now)
            && !self
                .queue
                .iter()
                .any(|call| matches!(call, StoreCall::ConfirmTables(_)))
        {
            self.confirm_at = now + self.intervals.confirm_interval;
            self.queue.push_front(StoreCall::ConfirmTables(revision));
        }
        if self.watch_revision.is_some() && self.renew_at <= now {
            self.renew_at = now + RENEW_INTERVAL;
            let call = match self.lease {
                Some(lease) => StoreCall::RenewLease(lease),
                None => StoreCall::OpenLease(LEASE_TTL),
            };
            self.queue.push_back(call);
        }
    }

    /// Restarts the watch, because the failure that affected the calls may have
    /// left its connection dead.
    fn restart_watch(&mut self, now: Moment) {
        if matches!(
            self.watch_connection.fail("restarted"),
            CallOutcome::Failed(..)
        ) {
            self.watch_connection.retry_at = now;
        }
    }

    /// Reads the tables and all lists again.
    fn reload(&mut self) {
        self.watch_revision = None;
        self.listed_replicas.clear();
        // Calls that write aren't repeated by themselves.
        self.queue.retain(is_write);
        self.queue.push_front(StoreCall::ListReplicas(None));
        self.queue.push_front(StoreCall::ReadTables);
    }

    fn handle_outcome(&mut self, is_watch: bool, outcome: CallOutcome<StoreCall>, now: Moment) {
        match outcome {
            CallOutcome::Pending => {}
            CallOutcome::Failed(call, sent, reason) => {
                self.record_call(&call, reason, sent, now);
                self.handle_failure(is_watch, call, (sent, now));
            }
            CallOutcome::Completed(call, sent, head, body) => {
                if self.begins_era(F::store_era(&head.fields)) {
                    // Revisions of the earlier era mean nothing in this response.
                    self.record_call(&call, "new_era", sent, now);
                    self.fail_version(call.clone());
                    self.fail_duty(call, sent);
                    self.begin_era(now);
                    return;
                }
                match F::read_response(&call, head.status, &body) {
                    Ok(StoreResponse::Refused(_)) => {
                        self.record_call(&call, "refused", sent, now);
                        self.handle_failure(is_watch, call, (sent, now));
                    }
                    Ok(response) => {
                        self.record_call(&call, "ok", sent, now);
                        if !is_watch && std::mem::take(&mut self.calls_failed) {
                            self.restart_watch(now);
                        }
                        if !is_watch {
                            self.intervals.record_call(now.saturating_sub(sent));
                        }
                        self.handle_response(call, response, body.len(), (sent, now));
                    }
                    Err(_) => {
                        self.record_call(&call, "malformed", sent, now);
                        self.handle_failure(is_watch, call, (sent, now));
                    }
                }
            }
        }
    }

    /// Notes the era of a response, and returns whether it is a later one than
    /// before.
    fn begins_era(&mut self, era: Option<StoreEra>) -> bool {
        let is_first = !std::mem::replace(&mut self.has_responded, true);
        if is_first {
            self.events.push(StoreEvent::EraSeen { era });
        }
        let Some(era) = era else {
            return false;
        };
        let known = self.era.replace(era);
        // The responses before may have been errors, which needn't name the era.
        let begins = known.map_or(!is_first, |known| known < era);
        if begins {
            self.events.push(StoreEvent::EraSeen { era: Some(era) });
            self.events.push(StoreEvent::EraChanged { era });
        } else {
            // A response of an earlier era arrived late.
            self.era = known.max(Some(era));
        }
        begins
    }

    /// Reads everything again and writes what is this VM's own, because the
    /// store has returned from an older copy of its data.
    fn begin_era(&mut self, now: Moment) {
        // Servers whose entries were lost write them again shortly.
        self.last_failure = Some(now);
        self.tables_revision = None;
        self.known_revision = 0;
        self.sent_revision = 0;
        self.queue.clear();
        for (call, _) in std::mem::take(&mut self.duty_queue) {
            self.fail_duty(StoreCall::Duty(call), now);
        }
        for call in std::mem::take(&mut self.version_queue) {
            self.fail_version(StoreCall::Version(call));
        }
        self.requested_views.clear();
        self.rewrite_own_entry(now);
        self.restart_watch(now);
        // A call that was sent in the earlier era confirms nothing.
        if let CallOutcome::Failed(call, sent, _) = self.call_connection.fail("new_era") {
            self.fail_version(call.clone());
            self.fail_duty(call, sent);
        }
        self.reload();
    }

    /// Reports that a call about duties got no response.
    fn fail_duty(&mut self, call: StoreCall, sent: Moment) {
        if let StoreCall::Duty(call) = call {
            self.events.push(StoreEvent::DutyEnded {
                call,
                sent,
                response: None,
                era: self.era,
                sent_revision: self.sent_revision,
            });
        }
    }

    /// Reports that a call about versions got no response.
    fn fail_version(&mut self, call: StoreCall) {
        if let StoreCall::Version(call) = call {
            let response = None;
            self.events
                .push(StoreEvent::VersionEnded { call, response });
        }
    }

    fn record_call(&mut self, call: &StoreCall, outcome: &'static str, sent: Moment, now: Moment) {
        self.events.push(StoreEvent::CallEnded {
            call: call_name(call),
            outcome,
            elapsed: now.saturating_sub(sent),
        });
    }

    fn handle_failure(&mut self, is_watch: bool, call: StoreCall, times: (Moment, Moment)) {
        let (sent, now) = times;
        self.last_failure = Some(now);
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let jitter = (self.random_state >> 40) as f64 / (1u64 << 24) as f64;
        let connection = if is_watch {
            &mut self.watch_connection
        } else {
            &mut self.call_connection
        };
        connection.back_off(sent, jitter);
        self.calls_failed |= !is_watch;
        match call {
            // The calls' connection may be dead as well.
            StoreCall::Watch { .. } => self.call_connection.close_idle(),
            StoreCall::ConfirmTables(_) => self.confirm_at = now,
            // The lease is renewed or opened again shortly.
            StoreCall::RenewLease(_) | StoreCall::OpenLease(_) => {
                self.renew_at = now + Duration::from_secs(1);
            }
            // Blocks that the store doesn't have are written again shortly, and lifts
            // that are over are removed again.
            StoreCall::PublishBlock { .. }
            | StoreCall::RemoveBlock(_)
            | StoreCall::RemoveLift { .. } => {}
            call @ StoreCall::Duty(_) => self.fail_duty(call, sent),
            call @ StoreCall::Version(_) => self.fail_version(call),
            call => self.queue.push_front(call),
        }
    }

    fn is_outage_suspected(&self, now: Moment) -> bool {
        self.last_failure
            .is_some_and(|last_failure| now.saturating_sub(last_failure) < OUTAGE_SUSPICION_TIME)
    }

    fn push_record(&mut self, record: StoreRecord, call: &'static str, now: Moment) {
        let as_of = record.revision;
        self.push_record_as_of(record, as_of, call, now);
    }

    /// Reports a record of a list, which was current as of a later revision than
    /// its own.
    fn push_record_as_of(
        &mut self,
        record: StoreRecord,
        as_of: u64,
        call: &'static str,
        now: Moment,
    ) {
        let outage_suspected = self.is_outage_suspected(now);
        self.known_revision = self.known_revision.max(as_of);
        self.events.push(StoreEvent::Record {
            record,
            as_of,
            call,
            outage_suspected,
        });
    }

    fn handle_response(
        &mut self,
        call: StoreCall,
        response: StoreResponse,
        bytes: usize,
        times: (Moment, Moment),
    ) {
        let (sent, now) = times;
        let name = call_name(&call);
        match (call, response) {
            (StoreCall::Duty(call), response) => self.events.push(StoreEvent::DutyEnded {
                call,
                sent,
                response: Some(response),
                era: self.era,
                sent_revision: self.sent_revision,
            }),
            (StoreCall::Version(VersionCall::List), StoreResponse::Page { records, as_of, .. }) => {
                for record in records {
                    self.push_record_as_of(record, as_of, name, now);
                }
                self.requested_views.push_back((sent, as_of));
                self.check_watch(as_of, now);
                self.watch_connection.hasten(now);
                self.confirm_view();
            }
            (StoreCall::Version(call), response) => {
                let response = Some(response);
                self.events
                    .push(StoreEvent::VersionEnded { call, response });
            }
            (StoreCall::ReadTables, StoreResponse::Record(Some(record), as_of)) => {
                self.list_revision = as_of;
                let revision = record.revision;
                self.push_record(record, name, now);
                self.events.push(StoreEvent::Confirmed { revision, sent });
                self.confirm_at = sent + self.intervals.confirm_interval;
            }
            (StoreCall::ReadTables, StoreResponse::Record(None, _)) => {
                // The operators haven't written the tables yet.
                self.call_connection.retry_at = now + MIN_RETRY_DELAY;
                self.queue.push_front(StoreCall::ReadTables);
            }
            (StoreCall::ListReplicas(_), StoreResponse::Page { records, more, .. }) => {
                self.handle_replica_page(records, more, now);
            }
            (
                StoreCall::ListPeers(_),
                StoreResponse::Page {
                    records,
                    more,
                    as_of,
                },
            ) => {
                self.handle_peer_page(records, more, as_of, now);
            }
            (StoreCall::Watch { .. }, StoreResponse::Changes { records, as_of }) => {
                self.watch_answered = Some(now);
                for record in records {
                    self.push_record(record, name, now);
                }
                self.known_revision = self.known_revision.max(as_of);
                if self
                    .watch_revision
                    .is_some_and(|watch_revision| watch_revision < as_of)
                {
                    self.watch_revision = Some(as_of);
                }
                self.confirm_view();
                let recovering = self.is_outage_suspected(now);
                let delay = self.intervals.delay_after_watch(bytes, recovering);
                self.watch_connection.retry_at = now + delay;
                if !self.requested_views.is_empty() {
                    self.watch_connection.hasten(now);
                }
            }
            (StoreCall::Watch { .. }, StoreResponse::Compacted) => self.reload(),
            (StoreCall::ConfirmTables(revision), StoreResponse::Committed(current)) => {
                self.events.push(StoreEvent::Confirmed { revision, sent });
                self.known_revision = self.known_revision.max(current);
                self.check_watch(current, now);
            }
            (StoreCall::ConfirmTables(_), StoreResponse::Changed(Some(record))) => {
                let revision = record.revision;
                self.check_watch(revision, now);
                self.push_record(record, name, now);
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

    /// Lets the watch time out soon if the store has changes that the watch
    /// should have brought: its connection may have fallen silent.
    fn check_watch(&mut self, current_revision: u64, now: Moment) {
        if self
            .watch_revision
            .is_some_and(|watch_revision| watch_revision < current_revision)
        {
            let due = now + self.intervals.overdue_time();
            self.watch_connection.expect_response(due);
        }
    }

    fn handle_replica_page(&mut self, records: Vec<StoreRecord>, more: bool, now: Moment) {
        let last = records.last().map(|record| record.name.clone());
        for record in records {
            if let RecordKey::Replica(id) = &record.key {
                self.listed_replicas.insert(id.clone());
            }
            self.push_record(record, "list_replicas", now);
        }
        if more && last.is_some() {
            self.queue.push_front(StoreCall::ListReplicas(last));
            return;
        }
        let replicas = std::mem::take(&mut self.listed_replicas);
        let outage_suspected = self.is_outage_suspected(now);
        self.events.push(StoreEvent::Listed {
            replicas,
            outage_suspected,
        });
        self.queue.push_front(StoreCall::ListPeers(None));
    }

    fn handle_peer_page(&mut self, records: Vec<StoreRecord>, more: bool, as_of: u64, now: Moment) {
        let last = records.last().map(|record| record.name.clone());
        for record in records {
            self.push_record_as_of(record, as_of, "list_peers", now);
        }
        if more && last.is_some() {
            self.queue.push_front(StoreCall::ListPeers(last));
            return;
        }
        self.watch_revision = Some(self.list_revision);
        self.watch_answered = Some(now);
        self.loaded = true;
        let revision = self.list_revision;
        self.events.push(StoreEvent::Loaded { revision });
        self.confirm_view();
    }

    /// Confirms the requested views whose revisions the watch has reached.
    fn confirm_view(&mut self) {
        while let Some((sent, revision)) = self.requested_views.front().copied()
            && self
                .watch_revision
                .is_some_and(|watch_revision| watch_revision >= revision)
        {
            self.requested_views.pop_front();
            self.events.push(StoreEvent::ViewConfirmed { at: sent });
        }
    }
}

/// Returns the entry of a block or a lift that a call changes.
fn written_entry(call: &StoreCall) -> Option<RecordKey> {
    match call {
        StoreCall::PublishBlock { cause, .. } | StoreCall::RemoveBlock(cause) => {
            Some(RecordKey::Block(*cause))
        }
        StoreCall::LiftBlock { cause, .. } | StoreCall::RemoveLift { cause, .. } => {
            Some(RecordKey::Lift(*cause))
        }
        _ => None,
    }
}

fn is_write(call: &StoreCall) -> bool {
    matches!(
        call,
        StoreCall::OpenLease(_)
            | StoreCall::PublishPeer { .. }
            | StoreCall::RenewLease(_)
            | StoreCall::PublishBlock { .. }
            | StoreCall::RemoveBlock(_)
            | StoreCall::LiftBlock { .. }
            | StoreCall::RemoveLift { .. }
    )
}

/// Name of the watch call, which uses its own connection.
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
        StoreCall::PublishBlock { .. } => "publish_block",
        StoreCall::RemoveBlock(_) => "remove_block",
        StoreCall::LiftBlock { .. } => "lift_block",
        StoreCall::RemoveLift { .. } => "remove_lift",
        StoreCall::Version(VersionCall::List) => "list_versions",
        StoreCall::Version(VersionCall::Write(_)) => "write_version",
        StoreCall::Version(VersionCall::Remove { .. }) => "remove_version",
        StoreCall::Version(VersionCall::OpenLease(_)) => "open_origin_lease",
        StoreCall::Version(VersionCall::WriteOrigins { .. }) => "write_origins",
        StoreCall::Duty(DutyCall::OpenLease(_)) => "open_duty_lease",
        StoreCall::Duty(DutyCall::RenewLease(_)) => "renew_duty_lease",
        StoreCall::Duty(DutyCall::EndLease(_)) => "end_duty_lease",
        StoreCall::Duty(DutyCall::Acquire { .. }) => "acquire_duty",
        StoreCall::Duty(DutyCall::Release { .. }) => "release_duty",
        StoreCall::Duty(DutyCall::WriteReport { .. }) => "write_report",
    }
}
