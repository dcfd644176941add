//! Recognizes servers that crash, and keeps requests that crash them away.
//!
//! A server may have crashed if an attempt ends with its connection. A new
//! connection that is refused confirms it: the process is gone. What was in
//! flight there goes to the ledger and to the other VMs, so that the crashes of a
//! cause are counted over the whole fleet.
//!
//! Not counted: servers that were leaving, and servers that can't be reached,
//! since a cut link or a power cut looks the same.
//!
//! The main invariant: a request with a blocked cause isn't sent.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dewguard::{
    BLOCK_TIME, CrashCause, CrashLedger, CrashReport, CrashSuspect, RequestHash, UnixMs,
};
use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::crash_notices::{CrashNotice, encode_notices, report_notices};
use crate::directory::{ReplicaIndex, stable_hash, stable_hash_of_parts};
use crate::format::{PlatformFormat, PromptPart, StoreCall};
use crate::logs::LogLine;
use crate::policy::queue::ExchangeId;

use super::state::{EdgeState, Exchange, SentLoad};
use super::timers::{LazyTimer, TimerKey};
use super::updates::DIGEST_TARGETS;

/// Time after the end of an attempt at which its server is tested, so that its
/// other connections have ended by then.
const TEST_DELAY: Duration = Duration::from_millis(20);

/// Bytes that arrive this long after the end of an attempt show that its server
/// goes on.
const LAST_BYTES_TIME: Duration = Duration::from_millis(10);

/// Time from the first event of a response after which its server has survived
/// the request.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Rounds of digests in which each VM is sent a notice; datagrams get lost.
const NOTICE_ROUNDS: usize = 3;

/// Interval at which the VMs repeat what is blocked, for those that have joined
/// or were cut off.
const BLOCK_REFRESH: Duration = Duration::from_secs(1);

/// Maximum notices that wait to be sent.
const MAX_PENDING_NOTICES: usize = 512;

/// Maximum notices in one digest interval.
const MAX_NOTICES: usize = 64;

/// How a new connection to a server ended that tests whether it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerTest {
    /// It was established.
    Running,
    /// It was refused: nothing listens there any more.
    Refused,
    /// It wasn't established in time.
    Unreachable,
}

impl ServerTest {
    /// Returns the result of a test whose connection failed.
    pub(crate) fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unreachable,
        }
    }
}

/// An attempt that ended with its connection.
#[derive(Clone, Debug)]
struct EndedAttempt {
    suspect: CrashSuspect,
    first_event: Option<Moment>,
    /// Whether the response may be complete.
    may_be_complete: bool,
}

/// A server that may have crashed, and the attempts that ended there.
#[derive(Clone, Debug)]
struct SuspectedCrash {
    since: Moment,
    attempts: Vec<EndedAttempt>,
}

/// A notice for the other VMs.
#[derive(Clone, Debug)]
struct PendingNotice {
    notice: CrashNotice,
    sends_left: usize,
}

/// This VM's knowledge of crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    pub(super) ledger: CrashLedger,
    suspected: IndexMap<ReplicaIndex, SuspectedCrash>,
    /// Servers to be tested, the earliest first.
    tests: VecDeque<(Moment, ReplicaIndex)>,
    timer: LazyTimer,
    notices: VecDeque<PendingNotice>,
    /// Blocked causes that the store has, each with the time of its last crash.
    pub(super) stored: IndexMap<CrashCause, UnixMs>,
    /// Keys and revisions of records of lifts that couldn't be read.
    pub(super) unreadable_lifts: IndexSet<(String, u64)>,
    refresh_due: Moment,
}

impl CrashWatch {
    fn announce(&mut self, notice: CrashNotice, sends: usize) {
        if self.notices.len() < MAX_PENDING_NOTICES {
            self.notices.push_back(PendingNotice {
                notice,
                sends_left: sends,
            });
        }
    }

    /// Returns whether notices wait to be sent.
    pub(crate) fn has_notices(&self) -> bool {
        !self.notices.is_empty()
    }

    /// Lets a VM that has joined know at once what is blocked.
    pub(crate) fn refresh_now(&mut self) {
        self.refresh_due = Moment::ZERO;
    }

    /// Returns the timer for the test of the next server.
    pub(crate) fn timer_mut(&mut self) -> &mut LazyTimer {
        &mut self.timer
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Records that an attempt ended with its connection, and has its server
    /// tested.
    pub(crate) fn suspect_crash(
        &mut self,
        exchange_id: ExchangeId,
        load: SentLoad,
        may_be_complete: bool,
    ) {
        if !self.directory.get(load.replica).is_listed() {
            return;
        }
        let now = self.now;
        let attempt = EndedAttempt {
            suspect: crash_suspect(&self.exchanges[exchange_id], load.sent),
            first_event: load.first_event,
            may_be_complete,
        };
        if let Some(crash) = self.crashes.suspected.get_mut(&load.replica) {
            crash.attempts.push(attempt);
            return;
        }
        let crash = SuspectedCrash {
            since: now,
            attempts: vec![attempt],
        };
        self.crashes.suspected.insert(load.replica, crash);
        let due = now + TEST_DELAY;
        self.crashes.tests.push_back((due, load.replica));
        self.arm_crash_timer();
    }

    fn arm_crash_timer(&mut self) {
        if let Some((due, _)) = self.crashes.tests.front() {
            self.crashes
                .timer
                .set(*due, TimerKey::CrashTest, &mut self.timers);
        }
    }

    /// Tests the servers that are due.
    pub(crate) fn test_suspected_servers(&mut self) {
        while let Some((due, replica)) = self.crashes.tests.front().copied()
            && due <= self.now
        {
            self.crashes.tests.pop_front();
            self.test_server(replica);
        }
        self.arm_crash_timer();
    }

    fn test_server(&mut self, replica: ReplicaIndex) {
        let Some(crash) = self.crashes.suspected.get(&replica) else {
            return;
        };
        let state = self.directory.get(replica);
        let has_sent = state
            .last_received
            .is_some_and(|received| received > crash.since + LAST_BYTES_TIME);
        // A crash closes all connections; complete responses that end with
        // theirs are common and say nothing.
        let all_complete = crash.attempts.iter().all(|attempt| attempt.may_be_complete);
        if has_sent || all_complete && state.open_connections > 0 {
            self.end_server_test(replica, ServerTest::Running);
            return;
        }
        self.open_test_connection(replica);
    }

    /// Handles the result of a test.
    pub(crate) fn end_server_test(&mut self, replica: ReplicaIndex, test: ServerTest) {
        let Some(crash) = self.crashes.suspected.swap_remove(&replica) else {
            return;
        };
        match test {
            ServerTest::Running => {
                for attempt in &crash.attempts {
                    if attempt.may_be_complete {
                        self.record_survival(&attempt.suspect, self.now);
                    }
                }
            }
            ServerTest::Refused => self.record_crash(replica, crash),
            ServerTest::Unreachable => {}
        }
    }

    fn record_crash(&mut self, replica: ReplicaIndex, crash: SuspectedCrash) {
        let (server, id) = {
            let state = self.directory.get(replica);
            (state.hash, state.id.clone())
        };
        let (survived, suspects): (Vec<_>, Vec<_>) =
            crash.attempts.into_iter().partition(|attempt| {
                let first_event = attempt.first_event;
                first_event.is_some_and(|first| crash.since >= first + SURVIVAL_TIME)
            });
        let report = CrashReport {
            server,
            at: crash.since,
            suspects: suspects.into_iter().map(|ended| ended.suspect).collect(),
        };
        self.metrics.server_crashes.inc();
        self.logs
            .system("crash", "seen")
            .text("server", &id)
            .number("suspects", report.suspects.len() as u64)
            .number("survivors", survived.len() as u64)
            .ms("since_ms", self.now.saturating_sub(crash.since));
        let sends = self.notice_sends();
        for notice in report_notices(&report) {
            self.crashes.announce(notice, sends);
        }
        self.digest_due = true;
        self.apply_report(report, "own");
        for attempt in &survived {
            self.record_survival(&attempt.suspect, crash.since);
        }
    }

    fn apply_report(&mut self, report: CrashReport, source: &'static str) {
        let effect = self.crashes.ledger.record_crash(report);
        let sends = self.notice_sends();
        for (cause, at) in effect.survived {
            let notice = CrashNotice::Survived(cause, at);
            self.crashes.announce(notice, sends);
            self.digest_due = true;
        }
        for cause in effect.blocked {
            self.announce_block(cause, source);
        }
    }

    fn announce_block(&mut self, cause: CrashCause, source: &'static str) {
        let last_crash = self
            .crashes
            .ledger
            .blocks()
            .find_map(|(other, last_crash)| (other == cause).then_some(last_crash));
        if let Some(last_crash) = last_crash {
            let sends = self.notice_sends();
            let notice = CrashNotice::Blocked(cause, last_crash);
            self.crashes.announce(notice, sends);
            self.digest_due = true;
        }
        self.log_cause("blocked", cause, source);
        self.update_blocked_count();
    }

    pub(super) fn update_blocked_count(&self) {
        let count = self.crashes.ledger.blocks().count();
        self.metrics.blocked_causes.set(count as i64);
    }

    /// Writes a block to the store, for VMs that start while no other VM runs.
    ///
    /// The VMs take turns, a second each, until the store has it.
    fn publish_block(&mut self, cause: CrashCause, last_crash: Moment) {
        let age = self.now.saturating_sub(last_crash);
        let rank = self.peers.rank_for(stable_hash(&cause_bytes(cause)));
        let lifts = self.crashes.ledger.lifts();
        let stored = self.crashes.stored.get(&cause);
        let is_stored = stored.is_some_and(|stored| lifts.accepts_entry(cause, *stored));
        if is_stored || u64::from(rank) > age.as_secs() {
            return;
        }
        let last_crash_ms = unix_ms().saturating_sub(millis(age));
        let (last_crash_ms, lift_revision) = (
            lifts.entry_time(cause, last_crash_ms),
            lifts.revision(cause),
        );
        self.write_block(StoreCall::PublishBlock {
            cause,
            last_crash_ms,
            lift_revision,
        });
    }

    pub(super) fn remove_stored_block(&mut self, cause: CrashCause) {
        if self.crashes.stored.swap_remove(&cause).is_some() {
            self.write_block(StoreCall::RemoveBlock(cause));
        }
    }

    pub(super) fn write_block(&mut self, call: StoreCall) {
        self.store.write_block(call);
        self.store_timer
            .set(self.now, TimerKey::Store, &mut self.timers);
    }

    /// Forgets which blocks and lifts the store has; blocks are written again if it
    /// has lost them.
    pub(crate) fn forget_stored_blocks(&mut self) {
        self.crashes.stored.clear();
        self.crashes.ledger.lifts_mut().forget_revisions();
    }

    /// Records that the entry of a blocked cause was removed from the store.
    pub(crate) fn forget_stored_block(&mut self, cause: CrashCause) {
        self.crashes.stored.swap_remove(&cause);
    }

    /// Applies the entry of a blocked cause in the store, and removes it if the
    /// block is over.
    pub(crate) fn apply_stored_block(&mut self, cause: CrashCause, last_crash_ms: UnixMs) {
        let age = Duration::from_millis(unix_ms().saturating_sub(last_crash_ms));
        self.crashes.stored.insert(cause, last_crash_ms);
        if age >= BLOCK_TIME {
            self.remove_stored_block(cause);
        } else if !self.is_cause_blocked(cause) && !self.is_lifted_entry(cause, last_crash_ms) {
            let last_crash = self.now.saturating_sub(age);
            match self.crashes.ledger.adopt_block(cause, last_crash) {
                None => drop(self.log_cause("blocked", cause, "store")),
                // A server has survived it since.
                Some(_) => self.remove_stored_block(cause),
            }
        }
    }

    pub(super) fn log_cause(
        &mut self,
        event: &str,
        cause: CrashCause,
        source: &'static str,
    ) -> LogLine<'_> {
        let (kind, hash) = match cause {
            CrashCause::Part(hash) => ("prompt_part", hash),
            CrashCause::Request(hash) => ("request", hash),
        };
        self.logs
            .system("crash", event)
            .text("cause", kind)
            .text("id", &format!("{hash:x}"))
            .text("source", source)
    }

    /// Records that a server survived a request.
    fn record_survival(&mut self, survivor: &CrashSuspect, at: Moment) {
        let sends = self.notice_sends();
        for cause in survivor.causes() {
            let was_blocked = self.is_cause_blocked(cause);
            if self.crashes.ledger.record_survival(cause, at) {
                let notice = CrashNotice::Survived(cause, at);
                self.crashes.announce(notice, sends);
                self.digest_due = true;
                if was_blocked {
                    self.log_cause("unblocked", cause, "own");
                    self.remove_stored_block(cause);
                }
            }
        }
    }

    /// Records that the server of an exchange survived it.
    pub(crate) fn record_survived_exchange(&mut self, exchange_id: ExchangeId) {
        if let Some(exchange) = self.exchanges.get(exchange_id) {
            let survivor = crash_suspect(exchange, exchange.sent_load.sent);
            self.record_survival(&survivor, self.now);
        }
    }

    /// Records that the server of a stream survived its beginning, once for each
    /// attempt.
    pub(crate) fn record_survived_stream(&mut self, exchange_id: ExchangeId) {
        let now = self.now;
        let load = &mut self.exchanges[exchange_id].sent_load;
        let has_survived = load
            .first_event
            .is_some_and(|first| now >= first + SURVIVAL_TIME);
        if has_survived && !std::mem::replace(&mut load.survived, true) {
            self.record_survived_exchange(exchange_id);
        }
    }

    pub(super) fn is_cause_blocked(&self, cause: CrashCause) -> bool {
        let mut blocks = self.crashes.ledger.blocks();
        blocks.any(|(other, _)| other == cause)
    }

    /// Returns for how long a request must not be sent, because requests like it
    /// crash servers.
    pub(crate) fn blocked_for(&self, exchange_id: ExchangeId) -> Option<Duration> {
        if !self.crashes.ledger.has_blocks() {
            return None;
        }
        let exchange = self.exchanges.get(exchange_id)?;
        let ledger = &self.crashes.ledger;
        ledger.blocked_for(&crash_suspect(exchange, self.now), self.now)
    }

    /// Applies what another VM says about crashes.
    pub(crate) fn apply_crash_notices(&mut self, notices: Vec<CrashNotice>) {
        for notice in notices {
            match notice {
                CrashNotice::Crashed(report) => self.apply_report(report, "other_vm"),
                CrashNotice::Blocked(cause, last_crash) => self.adopt_block(cause, last_crash),
                CrashNotice::Survived(cause, at) => {
                    let was_blocked = self.is_cause_blocked(cause);
                    self.crashes.ledger.learn_survival(cause, at);
                    if was_blocked && !self.is_cause_blocked(cause) {
                        self.log_cause("unblocked", cause, "other_vm");
                    }
                }
            }
        }
    }

    fn adopt_block(&mut self, cause: CrashCause, last_crash: Moment) {
        if self.is_lifted_notice(cause) {
            return;
        }
        let was_blocked = self.is_cause_blocked(cause);
        let refuted = self.crashes.ledger.adopt_block(cause, last_crash);
        if let Some(survived) = refuted {
            let notice = CrashNotice::Survived(cause, survived);
            self.crashes.announce(notice, 1);
            self.digest_due = true;
        } else if !was_blocked {
            self.announce_block(cause, "other_vm");
        }
    }

    /// Returns how often a notice is sent so that all VMs get it several times.
    fn notice_sends(&self) -> usize {
        self.peers.vm_count().div_ceil(DIGEST_TARGETS) * NOTICE_ROUNDS
    }

    /// Repeats what is blocked, and forgets what happened long ago.
    pub(crate) fn refresh_blocks(&mut self) {
        if self.crashes.refresh_due > self.now || !self.crashes.ledger.is_active() {
            return;
        }
        self.crashes.refresh_due = self.now + BLOCK_REFRESH;
        let blocked = |watch: &CrashWatch| -> Vec<_> { watch.ledger.blocks().collect() };
        let before = blocked(&self.crashes);
        self.remove_old_lifts();
        self.crashes.ledger.expire(self.now);
        let blocks = blocked(&self.crashes);
        for (cause, _) in before {
            if !self.is_cause_blocked(cause) {
                self.remove_stored_block(cause);
            }
        }
        self.metrics.blocked_causes.set(blocks.len() as i64);
        for (cause, last_crash) in blocks {
            let notice = CrashNotice::Blocked(cause, last_crash);
            self.crashes.announce(notice, 1);
            self.digest_due = true;
            self.publish_block(cause, last_crash);
        }
    }

    /// Returns the datagrams with the notices that are due.
    pub(crate) fn next_crash_datagrams(&mut self) -> Vec<Vec<u8>> {
        let count = self.crashes.notices.len().min(MAX_NOTICES);
        let mut due: Vec<PendingNotice> = self.crashes.notices.drain(..count).collect();
        let datagrams = encode_notices(due.iter().map(|pending| &pending.notice), self.now);
        for pending in &mut due {
            pending.sends_left = pending.sends_left.saturating_sub(1);
        }
        due.retain(|pending| pending.sends_left > 0);
        self.crashes.notices.extend(due);
        datagrams
    }
}

/// Returns bytes that differ for each cause.
pub(super) fn cause_bytes(cause: CrashCause) -> [u8; 9] {
    let (kind, hash) = match cause {
        CrashCause::Part(id) => (0, id),
        CrashCause::Request(hash) => (1, hash),
    };
    let mut bytes = [kind; 9];
    bytes[1..].copy_from_slice(&hash.to_be_bytes());
    bytes
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the Unix time, in ms; VMs may differ by seconds.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, millis)
}

/// Returns what of a request may crash a server. The last part of a prompt
/// belongs to the request alone.
fn crash_suspect(exchange: &Exchange, sent: Moment) -> CrashSuspect {
    let parts = exchange.metadata.prompt_parts.as_slice();
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    CrashSuspect {
        request: request_hash(exchange),
        sent,
        parts: shared.iter().map(|part: &PromptPart| part.id).collect(),
    }
}

/// Returns the hash of a request, which is the same for each of its repetitions.
pub(super) fn request_hash(exchange: &Exchange) -> RequestHash {
    *exchange.request_hash.get_or_init(|| {
        let workspace = exchange.workspace.as_deref().unwrap_or_default();
        let fields = [
            exchange.method.as_bytes(),
            exchange.target.as_bytes(),
            workspace.as_bytes(),
        ];
        let hashes: Vec<u8> = fields
            .iter()
            .map(|field| stable_hash(field))
            .chain([stable_hash_of_parts(exchange.body.segments())])
            .flat_map(u64::to_be_bytes)
            .collect();
        stable_hash(&hashes)
    })
}

/// Returns whether the end of an attempt may be the end of its server.
pub(crate) fn ends_with_connection(reason: &str) -> bool {
    matches!(
        reason,
        "closed" | "connection reset" | "event cut off" | "closed before the first event"
    )
}
