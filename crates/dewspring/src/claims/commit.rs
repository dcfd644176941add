//! The commit of a group of messages to one page, as a state machine.
//!
//! It says which call the store gets next and takes in the answer; it makes no
//! call itself. Main invariant: a claim is won only by an acknowledged swap or
//! by its own nonce on a page that was read.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::page::{LedgerPage, PageError};
use super::plan::{ClaimTime, KnownPage, PageWork, PlanResult, WorkKind, plan_work};
use crate::store::{ExpectedVersion, StoreEntry, StoreError, StoreVersion, SwapOutcome};

/// Swaps of one group that may fail before its claims are refused.
const MAX_ATTEMPTS: u32 = 24;

/// Lost answers after which the store counts as down for this commit.
const MAX_LOST_ANSWERS: u32 = 3;

/// Longest pause after the first conflict; it grows with each one.
const CONFLICT_PAUSE: Duration = Duration::from_millis(1);

/// Longest pause after any number of conflicts.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(32);

/// What the store is to be asked next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CommitStep {
    /// Read the page.
    Read,
    /// Swap the page.
    Swap {
        expected: ExpectedVersion,
        value: Vec<u8>,
    },
    /// Wait before the next step.
    Pause(Duration),
    /// All messages have their result.
    Finished,
}

/// How a message ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WorkResult {
    /// The page gave the result.
    Planned(PlanResult),
    /// The store gave no usable answer.
    StoreFailed,
    /// The time or the tries of the message are used up.
    GivenUp,
}

/// A message with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct FinishedWork {
    pub work: PageWork,
    pub result: WorkResult,
}

/// A draft that the store has been asked to take.
#[derive(Clone, Debug)]
struct SentDraft {
    page: LedgerPage,
    expected: ExpectedVersion,
}

/// What a writer remembers of a page from one commit to the next.
#[derive(Clone, Debug, Default)]
pub(super) struct PageMemory {
    /// The page as last known, if anything.
    pub known: Option<KnownPage>,
    /// Newest version that the store gave; 0 before the first one.
    pub newest: StoreVersion,
    /// Whether the page could not be used when it was last read.
    pub is_unusable: bool,
}

/// A group of messages on its way into a page.
#[derive(Clone, Debug)]
pub(super) struct PageCommit {
    known: Option<KnownPage>,
    newest: StoreVersion,
    is_unusable: bool,
    /// Whether the page at hand was read in the course of this commit.
    is_fresh: bool,
    waiting: Vec<PageWork>,
    sent: Option<SentDraft>,
    finished: Vec<FinishedWork>,
    failed_swaps: u32,
    lost_answers: u32,
    must_pause: bool,
    has_store_failed: bool,
    has_store_answered: bool,
    horizon_minutes: u64,
}

impl PageCommit {
    /// Begins a commit with what is remembered of the page.
    pub fn new(memory: PageMemory, waiting: Vec<PageWork>, horizon_minutes: u64) -> Self {
        Self {
            known: memory.known,
            newest: memory.newest,
            is_unusable: memory.is_unusable,
            is_fresh: false,
            waiting,
            sent: None,
            finished: Vec::new(),
            failed_swaps: 0,
            lost_answers: 0,
            must_pause: false,
            has_store_failed: false,
            has_store_answered: false,
            horizon_minutes,
        }
    }

    /// Tells whether the store failed in the course of this commit.
    pub fn has_store_failed(&self) -> bool {
        self.has_store_failed
    }

    /// Tells whether the store gave a usable answer in the course of this
    /// commit.
    pub fn has_store_answered(&self) -> bool {
        self.has_store_answered
    }

    /// Takes the messages that have ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedWork> {
        std::mem::take(&mut self.finished)
    }

    /// Returns what is to be remembered of the page.
    pub fn into_memory(self) -> PageMemory {
        PageMemory {
            known: self.known,
            newest: self.newest,
            is_unusable: self.is_unusable,
        }
    }

    /// Decides what comes next.
    ///
    /// # Panics
    ///
    /// If the answer to the last swap was not taken in.
    pub fn next_step(&mut self, time: ClaimTime, rng: &mut impl Rng) -> CommitStep {
        assert!(self.sent.is_none(), "a swap waits for its answer");
        self.give_up_late(time);
        if self.waiting.is_empty() {
            return CommitStep::Finished;
        }
        if std::mem::take(&mut self.must_pause) {
            return CommitStep::Pause(conflict_pause(self.failed_swaps, rng));
        }
        match self.known.clone() {
            None => CommitStep::Read,
            Some(known) => self.plan(known, time.minute),
        }
    }

    /// Refuses all messages without a call.
    pub fn refuse(&mut self) {
        for work in std::mem::take(&mut self.waiting) {
            self.finish(work, WorkResult::StoreFailed);
        }
    }

    /// Takes in the answer to a read.
    pub fn take_read(&mut self, answer: Result<Option<StoreEntry>, StoreError>) {
        match answer {
            Ok(entry) => self.learn(entry),
            Err(_) => self.fail(),
        }
    }

    /// Takes in the answer to a swap.
    ///
    /// # Panics
    ///
    /// If no swap was under way.
    pub fn take_swap(&mut self, answer: Result<SwapOutcome, StoreError>) {
        let sent = self.sent.take().expect("a swap is under way");
        match answer {
            Ok(SwapOutcome::Swapped(version)) => self.finish_sent(sent, version),
            Ok(SwapOutcome::Conflict(entry)) => {
                self.count_failed_swap();
                self.learn(entry);
            }
            // Surely without effect.
            Err(StoreError::Unavailable(_)) => self.fail(),
            Err(_) => self.lose_answer(&sent),
        }
    }

    /// Plans all messages on a draft of the page.
    fn plan(&mut self, known: KnownPage, minute: u64) -> CommitStep {
        let mut draft = known.page;
        draft.prune(minute.saturating_sub(self.horizon_minutes));
        let results: Vec<PlanResult> = self
            .waiting
            .iter()
            .map(|work| {
                plan_work(
                    &mut draft,
                    known.version,
                    work,
                    minute,
                    self.horizon_minutes,
                )
            })
            .collect();
        let needs_page = |result: &PlanResult| *result != PlanResult::Changed;
        if !self.is_fresh && results.iter().any(needs_page) {
            // What is remembered may be old: only a swap may rely on it.
            return CommitStep::Read;
        }
        self.finish_planned(&results);
        if self.waiting.is_empty() {
            return CommitStep::Finished;
        }
        let value = draft.encode();
        let expected = known.version;
        self.sent = Some(SentDraft {
            page: draft,
            expected,
        });
        CommitStep::Swap { expected, value }
    }

    /// Ends the messages that need no swap.
    fn finish_planned(&mut self, results: &[PlanResult]) {
        let waiting = std::mem::take(&mut self.waiting);
        for (work, result) in waiting.into_iter().zip(results) {
            if *result == PlanResult::Changed {
                self.waiting.push(work);
            } else {
                self.finish(work, WorkResult::Planned(result.clone()));
            }
        }
    }

    fn finish_sent(&mut self, sent: SentDraft, version: u64) {
        self.has_store_answered = true;
        self.newest = version;
        self.known = Some(KnownPage {
            page: sent.page,
            version: ExpectedVersion::Version(version),
        });
        for work in std::mem::take(&mut self.waiting) {
            self.finish(work, WorkResult::Planned(PlanResult::Done));
        }
    }

    /// Notes that a swap may have taken effect, or may do so later.
    fn lose_answer(&mut self, sent: &SentDraft) {
        for work in &mut self.waiting {
            work.unsure = Some(sent.expected);
        }
        self.known = None;
        self.count_failed_swap();
        self.lost_answers += 1;
        if self.lost_answers >= MAX_LOST_ANSWERS {
            self.fail();
        }
    }

    /// Takes the page as the store holds it.
    ///
    /// A page that can't be read, or that came back older than it was, may
    /// lack claims: no message is committed to it.
    fn learn(&mut self, entry: Option<StoreEntry>) {
        self.has_store_answered = true;
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        match load_page(entry, self.newest) {
            Ok(known) => {
                self.known = Some(known);
                self.newest = version;
                self.is_unusable = false;
                self.is_fresh = true;
            }
            Err(error) => {
                if !self.is_unusable {
                    log::error!("claims: refused, a page can't be used: {error}");
                }
                self.is_unusable = true;
                self.known = None;
                self.refuse();
            }
        }
    }

    fn count_failed_swap(&mut self) {
        self.failed_swaps += 1;
        self.must_pause = true;
    }

    fn fail(&mut self) {
        self.known = None;
        self.has_store_failed = true;
        self.refuse();
    }

    /// Ends claims whose deadline has passed, or all if the tries are used up.
    fn give_up_late(&mut self, time: ClaimTime) {
        let is_spent = self.failed_swaps >= MAX_ATTEMPTS;
        for work in std::mem::take(&mut self.waiting) {
            if is_spent || is_late(&work, time) {
                self.finish(work, WorkResult::GivenUp);
            } else {
                self.waiting.push(work);
            }
        }
    }

    fn finish(&mut self, work: PageWork, result: WorkResult) {
        self.finished.push(FinishedWork { work, result });
    }
}

fn is_late(work: &PageWork, time: ClaimTime) -> bool {
    match &work.kind {
        WorkKind::Claim(request) => request.deadline <= time.now,
        WorkKind::Record(_) | WorkKind::Release { .. } => false,
    }
}

fn load_page(entry: Option<StoreEntry>, newest: StoreVersion) -> Result<KnownPage, PageError> {
    let found = entry.as_ref().map_or(0, |entry| entry.version);
    if found < newest {
        return Err(PageError::Older { found, newest });
    }
    let Some(entry) = entry else {
        return Ok(KnownPage {
            page: LedgerPage::default(),
            version: ExpectedVersion::Absent,
        });
    };
    Ok(KnownPage {
        page: LedgerPage::decode(&entry.value)?,
        version: ExpectedVersion::Version(entry.version),
    })
}

fn conflict_pause(failed_swaps: u32, rng: &mut impl Rng) -> Duration {
    let longest = (CONFLICT_PAUSE * failed_swaps.max(1)).min(MAX_CONFLICT_PAUSE);
    longest.mul_f64(rng.random_range(0.0..=1.0))
}
