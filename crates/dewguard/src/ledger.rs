//! The crashes of servers and what may have caused them.
//!
//! The main invariant: a cause that a server has survived since its last crash is
//! not blocked, and crashes from before the lift of a cause don't count.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::lifts::{LiftEffect, LiftEntry, LiftTable, UnixMs};

/// Hash of a part of a prompt, the same on all VMs.
pub type PartHash = u64;

/// Hash of a request without the ids of its attempts, the same on all VMs.
pub type RequestHash = u64;

/// Hash of a server's id, the same on all VMs.
pub type ServerHash = u64;

/// Crashes from which a cause is blocked.
const BLOCKING_CRASHES: usize = 3;

/// The same, for a cause that servers survived in the last [`BLOCK_TIME`]. What
/// many sound requests share is present at most crashes, whatever causes them.
const ESTABLISHED_BLOCKING_CRASHES: usize = 6;

/// Time from the last crash for which such a cause is blocked. While it is, no
/// server can show that it survives the cause.
const ESTABLISHED_BLOCK_TIME: Duration = Duration::from_secs(30);

/// Different requests that must have crashed servers before their common part is
/// blocked: a single one may do so whatever its parts are.
const BLOCKING_REQUESTS: usize = 2;

/// Time between two crashes that count as separate. Servers that end at the same
/// moment do so for a common cause outside of their requests.
const MIN_SEPARATION: Duration = Duration::from_millis(100);

/// The same, if a suspect of the second crash was sent after the first one, as a
/// retry is.
const MIN_RETRY_SEPARATION: Duration = Duration::from_millis(20);

/// Longest run after which a request is suspected. One that takes longer is more
/// likely to be the victim, for example of servers that are replaced in turn.
const MAX_RUN_TIME: Duration = Duration::from_secs(10);

/// Error of times that VMs tell each other.
const CLOCK_ERROR: Duration = Duration::from_millis(10);

/// Time within which the reports about a server are about the same crash; a
/// server that restarts under its id takes longer.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// Time from the last crash after which a block is in force. Until then, VMs that
/// know of a survived run can refute it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Time from the last crash for which a cause is blocked, and for which crashes
/// and survived runs are remembered.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of causes for which survived runs are remembered.
const MAX_SURVIVALS: usize = 8192;

/// Maximum number of blocked causes.
const MAX_BLOCKS: usize = 1024;

/// What may crash a server.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CrashCause {
    /// A part of a prompt, whatever else the request holds.
    Part(PartHash),
    /// A request, each time that it comes.
    Request(RequestHash),
}

/// A request that was in flight at a server when it crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashSuspect {
    /// The request.
    pub request: RequestHash,
    /// When it was sent to the server.
    pub sent: Duration,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartHash>,
}

impl CrashSuspect {
    /// Returns what may have crashed the server.
    pub fn causes(&self) -> impl Iterator<Item = CrashCause> + '_ {
        let parts = self.parts.iter().copied().map(CrashCause::Part);
        parts.chain([CrashCause::Request(self.request)])
    }
}

/// A crash of a server as one VM saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The server.
    pub server: ServerHash,
    /// When it crashed.
    pub at: Duration,
    /// The requests of the VM that may have crashed it.
    pub suspects: Vec<CrashSuspect>,
}

/// What follows from a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportEffect {
    /// The causes that are blocked from now on.
    pub blocked: Vec<CrashCause>,
    /// Suspected causes that servers survived before the crash, and when; the other
    /// VMs have to know.
    pub survived: Vec<(CrashCause, Duration)>,
}

/// A blocked cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct CauseBlock {
    last_crash: Duration,
    in_force_at: Duration,
    ends_at: Duration,
}

/// The crashes that a VM knows of, and the causes that it blocks.
///
/// # Examples
///
/// ```
/// use dewguard::{CrashCause, CrashLedger, CrashReport, CrashSuspect};
/// use std::time::Duration;
///
/// let mut ledger = CrashLedger::default();
/// for number in 1..=3 {
///     let at = Duration::from_secs(number);
///     let suspect = CrashSuspect { request: number, sent: at, parts: vec![7] };
///     let report = CrashReport { server: number, at, suspects: vec![suspect] };
///     ledger.record_crash(report);
/// }
/// let sent = Duration::from_secs(4);
/// let other = CrashSuspect { request: 4, sent, parts: vec![6, 7] };
/// assert!(ledger.blocked_for(&other, Duration::from_secs(4)).is_some());
/// // A server that survives such a request refutes the block.
/// assert!(ledger.record_survival(CrashCause::Part(7), Duration::from_secs(4)));
/// assert!(ledger.blocked_for(&other, Duration::from_secs(5)).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// The crashes, in the order of their first reports.
    crashes: VecDeque<CrashReport>,
    /// Time of the last crash at which each cause was present.
    last_crashes: IndexMap<CrashCause, Duration>,
    /// When a server last survived a cause that is or was a suspect, as far as any
    /// VM has said.
    survivals: IndexMap<CrashCause, Duration>,
    /// When a server last survived a cause, as far as this VM has seen.
    own_survivals: IndexMap<CrashCause, Duration>,
    blocks: IndexMap<CrashCause, CauseBlock>,
    lifts: LiftTable,
}

impl CrashLedger {
    /// Returns whether there were crashes, blocks or lifts.
    pub fn is_active(&self) -> bool {
        !self.crashes.is_empty() || !self.blocks.is_empty() || !self.lifts.is_empty()
    }

    /// Returns whether any cause is blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Records a crash as one VM saw it.
    pub fn record_crash(&mut self, mut report: CrashReport) -> ReportEffect {
        let earliest = report.at.saturating_sub(MAX_RUN_TIME);
        report.suspects.retain(|suspect| suspect.sent >= earliest);
        let mut causes: Vec<CrashCause> = report
            .suspects
            .iter()
            .flat_map(CrashSuspect::causes)
            .collect();
        causes.sort_unstable();
        causes.dedup();
        let at = report.at;
        self.merge(report);
        let survived = self.recall_survivals(&causes, at);
        let new: Vec<(CrashCause, Duration)> = causes
            .into_iter()
            .filter(|cause| !self.blocks.contains_key(cause))
            .filter_map(|cause| Some((cause, self.convict(cause)?)))
            .collect();
        for (cause, last_crash) in &new {
            self.block(*cause, *last_crash);
        }
        ReportEffect {
            blocked: new.into_iter().map(|(cause, _)| cause).collect(),
            survived,
        }
    }

    /// Takes up what this VM has seen of causes that have become suspects.
    fn recall_survivals(
        &mut self,
        causes: &[CrashCause],
        crashed: Duration,
    ) -> Vec<(CrashCause, Duration)> {
        let mut recalled = Vec::new();
        for cause in causes {
            if let Some(at) = self.own_survivals.get(cause).copied()
                && crashed.saturating_sub(at) < BLOCK_TIME
                && !self.survivals.contains_key(cause)
            {
                self.survivals.insert(*cause, at);
                recalled.push((*cause, at));
            }
        }
        recalled
    }

    /// Records that a server survived a run with a cause; returns whether the
    /// other VMs have to know.
    pub fn record_survival(&mut self, cause: CrashCause, at: Duration) -> bool {
        insert_bounded(&mut self.own_survivals, cause, at);
        let known = self.survivals.get(&cause).copied();
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        let is_refuted = self
            .blocks
            .get(&cause)
            .is_some_and(|block| block.last_crash <= at);
        let last_crash = self.last_crashes.get(&cause).copied();
        let is_suspected =
            last_crash.is_some_and(|last| last <= at && known.is_none_or(|known| known < last));
        if !is_refuted && !is_suspected {
            return false;
        }
        self.remember_survival(cause, at);
        true
    }

    /// Records that another VM knows of a survived run; returns whether it is
    /// news.
    pub fn learn_survival(&mut self, cause: CrashCause, at: Duration) -> bool {
        let known = self.survivals.get(&cause).copied();
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        self.remember_survival(cause, at);
        true
    }

    /// Adopts a block of another VM; returns when a server survived the cause, if
    /// that refutes the block.
    pub fn adopt_block(&mut self, cause: CrashCause, last_crash: Duration) -> Option<Duration> {
        let survived = self.survivals.get(&cause).copied();
        if survived.is_some_and(|survived| survived >= last_crash) {
            return survived;
        }
        self.block(cause, last_crash);
        None
    }

    /// Records a lift that was read from the store. It ends the block of its cause,
    /// unless the store's entry of the block, whose last crash was at `stored_ms`, is
    /// newer.
    pub fn read_lift(
        &mut self,
        cause: CrashCause,
        entry: LiftEntry,
        stored_ms: Option<UnixMs>,
        now: Duration,
    ) -> LiftEffect {
        if !self.lifts.read(cause, entry, now) {
            return LiftEffect::Unchanged;
        }
        let is_newer = stored_ms.is_some_and(|ms| self.lifts.accepts_entry(cause, ms));
        let ended_block = !is_newer && self.blocks.shift_remove(&cause).is_some();
        LiftEffect::Applied { ended_block }
    }

    /// Returns the lifts that this VM knows.
    pub fn lifts(&self) -> &LiftTable {
        &self.lifts
    }

    /// Returns the lifts that this VM knows, to change them.
    pub fn lifts_mut(&mut self) -> &mut LiftTable {
        &mut self.lifts
    }

    /// Returns for how long a request is blocked, if it is.
    pub fn blocked_for(&self, request: &CrashSuspect, now: Duration) -> Option<Duration> {
        request
            .causes()
            .filter_map(|cause| self.blocks.get(&cause))
            .filter(|block| block.in_force_at <= now)
            .map(|block| block.ends_at.saturating_sub(now))
            .max()
    }

    /// Returns the blocked causes, each with the time of its last crash.
    pub fn blocks(&self) -> impl Iterator<Item = (CrashCause, Duration)> + '_ {
        self.blocks
            .iter()
            .map(|(cause, block)| (*cause, block.last_crash))
    }

    /// Forgets what happened longer than [`BLOCK_TIME`] ago.
    pub fn expire(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < BLOCK_TIME;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.survivals.retain(|_, at| is_recent(*at));
        self.blocks.retain(|_, block| now < block.ends_at);
        self.own_survivals.retain(|_, at| is_recent(*at));
        self.last_crashes.retain(|_, at| is_recent(*at));
        self.lifts.expire(now);
    }

    /// Adds a report to the crash that it is about.
    fn merge(&mut self, report: CrashReport) {
        for cause in report.suspects.iter().flat_map(CrashSuspect::causes) {
            let last = self.last_crashes.entry(cause).or_default();
            *last = report.at.max(*last);
        }
        let same = self.crashes.iter_mut().find(|crash| {
            crash.server == report.server && crash.at.abs_diff(report.at) < SAME_CRASH_TIME
        });
        let Some(crash) = same else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(report);
            return;
        };
        crash.at = crash.at.min(report.at);
        for suspect in report.suspects {
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains(&suspect) {
                crash.suspects.push(suspect);
            }
        }
    }

    /// Returns the time of the last crash that a cause explains, if it is to be
    /// blocked.
    fn convict(&self, cause: CrashCause) -> Option<Duration> {
        let survived = self.survivals.get(&cause).copied();
        let mut times = Vec::new();
        let mut requests = Vec::new();
        for crash in &self.crashes {
            if survived.is_some_and(|survived| crash.at <= survived) || self.is_settled(crash) {
                continue;
            }
            let suspects: Vec<_> = self
                .blamed(crash)
                .filter(|suspect| has(suspect, cause))
                .collect();
            if let Some(last_sent) = suspects.iter().map(|suspect| suspect.sent).max() {
                times.push((crash.at, last_sent));
            }
            requests.extend(suspects.iter().map(|suspect| suspect.request));
        }
        requests.sort_unstable();
        requests.dedup();
        times.sort_unstable();
        let has_requests = match cause {
            CrashCause::Part(_) => requests.len() >= BLOCKING_REQUESTS,
            CrashCause::Request(_) => true,
        };
        let needed_crashes = match survived {
            None => BLOCKING_CRASHES,
            Some(_) => ESTABLISHED_BLOCKING_CRASHES,
        };
        let is_convicted = has_requests && count_separate(&times) >= needed_crashes;
        times.last().map(|(at, _)| *at).filter(|_| is_convicted)
    }

    /// Returns whether a crash counts for nothing: a cause that has been lifted since
    /// was present. Its neighbours weren't blamed before, and must not be because of
    /// the lift.
    fn is_settled(&self, crash: &CrashReport) -> bool {
        let mut causes = crash.suspects.iter().flat_map(CrashSuspect::causes);
        !self.lifts.is_empty() && causes.any(|cause| self.lifts.settles(cause, crash.at))
    }

    /// Returns the suspects of a crash that may have caused it: those with a
    /// blocked cause, which explains the crash, or all.
    fn blamed<'a>(&'a self, crash: &'a CrashReport) -> impl Iterator<Item = &'a CrashSuspect> {
        let is_blocked = |suspect: &CrashSuspect| {
            let mut causes = suspect.causes();
            causes.any(|cause| self.blocks.contains_key(&cause))
        };
        let is_explained = crash.suspects.iter().any(is_blocked);
        crash
            .suspects
            .iter()
            .filter(move |suspect| !is_explained || is_blocked(suspect))
    }

    fn block(&mut self, cause: CrashCause, last_crash: Duration) {
        let block_time = match self.survivals.contains_key(&cause) {
            true => ESTABLISHED_BLOCK_TIME,
            false => BLOCK_TIME,
        };
        if let Some(block) = self.blocks.get_mut(&cause) {
            block.last_crash = block.last_crash.max(last_crash);
            block.ends_at = block.last_crash + block_time;
            return;
        }
        if self.blocks.len() >= MAX_BLOCKS {
            self.blocks.shift_remove_index(0);
        }
        let in_force_at = last_crash + SETTLING_TIME;
        self.blocks.insert(
            cause,
            CauseBlock {
                last_crash,
                in_force_at,
                ends_at: last_crash + block_time,
            },
        );
    }

    fn remember_survival(&mut self, cause: CrashCause, at: Duration) {
        insert_bounded(&mut self.survivals, cause, at);
        if self
            .blocks
            .get(&cause)
            .is_some_and(|block| block.last_crash <= at)
        {
            self.blocks.shift_remove(&cause);
        }
    }
}

/// Records a survived run; an arbitrary older one makes room.
fn insert_bounded(survivals: &mut IndexMap<CrashCause, Duration>, cause: CrashCause, at: Duration) {
    if survivals.len() >= MAX_SURVIVALS && !survivals.contains_key(&cause) {
        survivals.swap_remove_index(0);
    }
    survivals.insert(cause, at);
}

fn has(suspect: &CrashSuspect, cause: CrashCause) -> bool {
    suspect.causes().any(|other| other == cause)
}

/// Returns how many crashes count as separate; each is given, in order, by its
/// time and that at which its last suspect was sent.
fn count_separate(crashes: &[(Duration, Duration)]) -> usize {
    let mut count = 0;
    let mut last: Option<Duration> = None;
    for (at, sent) in crashes {
        let is_separate = |last: Duration| {
            let is_later_send = *sent + CLOCK_ERROR >= last;
            *at >= last + MIN_SEPARATION || is_later_send && *at >= last + MIN_RETRY_SEPARATION
        };
        if last.is_none_or(is_separate) {
            count += 1;
            last = Some(*at);
        }
    }
    count
}
