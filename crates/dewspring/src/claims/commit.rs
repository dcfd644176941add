//! The commit of a group of operations to one page, as a state machine.
//!
//! It returns the next call to the store and applies the response; it makes no
//! calls itself. Main invariant: a claim succeeds only by an acknowledged swap
//! or by its own nonce on a page that was read.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::page::{LedgerPage, PageError};
use super::plan::{
    ClaimTime, OperationKind, PageOperation, PlanResult, VersionedPage, plan_operation,
};
use crate::store::{ExpectedVersion, StoreEntry, StoreError, StoreVersion, SwapOutcome};

/// Number of failed swaps after which the group's operations are abandoned.
const MAX_FAILED_SWAPS: u32 = 24;

/// Number of lost responses after which the store counts as down for this commit.
const MAX_LOST_RESPONSES: u32 = 3;

/// Growth of the longest pause with each failed swap.
const CONFLICT_PAUSE_STEP: Duration = Duration::from_millis(1);

/// Longest pause after any number of failed swaps.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(32);

/// The next action of the caller that runs the commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CommitStep {
    /// Read the page.
    Read,
    /// Compare-and-swap the page.
    Swap {
        expected: ExpectedVersion,
        value: Vec<u8>,
    },
    /// Wait before the next step.
    Pause(Duration),
    /// All operations have their results.
    Finished,
}

/// The result of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum OperationResult {
    /// The content of the page decided the result.
    Planned(PlanResult),
    /// The store returned no usable response.
    StoreFailed,
    /// The deadline has passed, or too many swaps failed.
    Abandoned,
}

/// An operation with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct FinishedOperation {
    pub operation: PageOperation,
    pub result: OperationResult,
}

/// A draft in a swap that the store has not responded to yet.
#[derive(Clone, Debug)]
struct InFlightSwap {
    page: LedgerPage,
    expected: ExpectedVersion,
}

/// The state of a page that a writer keeps between commits.
#[derive(Clone, Debug, Default)]
pub(super) struct PageCache {
    /// The page as last read or written; `None` if it must be read again.
    pub cached: Option<VersionedPage>,
    /// Highest version that the store returned; 0 before the first one.
    pub newest: StoreVersion,
    /// Whether the page was unusable when it was last read.
    pub is_unusable: bool,
}

/// A group of operations that is being committed to one page.
#[derive(Clone, Debug)]
pub(super) struct PageCommit {
    cached: Option<VersionedPage>,
    newest: StoreVersion,
    is_unusable: bool,
    /// Whether the cached page was read during this commit.
    is_fresh: bool,
    pending: Vec<PageOperation>,
    in_flight: Option<InFlightSwap>,
    finished: Vec<FinishedOperation>,
    failed_swaps: u32,
    lost_responses: u32,
    must_pause: bool,
    has_store_failed: bool,
    has_store_responded: bool,
    retention_minutes: u64,
}

impl PageCommit {
    /// Creates a commit that starts from the cached state of the page.
    pub fn new(cache: PageCache, pending: Vec<PageOperation>, retention_minutes: u64) -> Self {
        Self {
            cached: cache.cached,
            newest: cache.newest,
            is_unusable: cache.is_unusable,
            is_fresh: false,
            pending,
            in_flight: None,
            finished: Vec::new(),
            failed_swaps: 0,
            lost_responses: 0,
            must_pause: false,
            has_store_failed: false,
            has_store_responded: false,
            retention_minutes,
        }
    }

    /// Returns whether the store failed during this commit.
    pub fn has_store_failed(&self) -> bool {
        self.has_store_failed
    }

    /// Returns whether the store returned a usable response during this commit.
    pub fn has_store_responded(&self) -> bool {
        self.has_store_responded
    }

    /// Takes the operations that have finished since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedOperation> {
        std::mem::take(&mut self.finished)
    }

    /// Returns the state of the page for the next commit.
    pub fn into_cache(self) -> PageCache {
        PageCache {
            cached: self.cached,
            newest: self.newest,
            is_unusable: self.is_unusable,
        }
    }

    /// Returns the next step of the commit.
    ///
    /// # Panics
    ///
    /// If the response to the last swap has not been applied.
    pub fn next_step(&mut self, time: ClaimTime, rng: &mut impl Rng) -> CommitStep {
        assert!(self.in_flight.is_none(), "the last swap has a response");
        self.abandon_expired(time);
        if self.pending.is_empty() {
            return CommitStep::Finished;
        }
        if std::mem::take(&mut self.must_pause) {
            return CommitStep::Pause(conflict_pause(self.failed_swaps, rng));
        }
        match self.cached.clone() {
            None => CommitStep::Read,
            Some(cached) => self.plan(cached, time.minute),
        }
    }

    /// Fails all pending operations without a call to the store.
    pub fn reject_pending(&mut self) {
        for operation in std::mem::take(&mut self.pending) {
            self.finish(operation, OperationResult::StoreFailed);
        }
    }

    /// Applies the response to a read.
    pub fn apply_read(&mut self, response: Result<Option<StoreEntry>, StoreError>) {
        match response {
            Ok(entry) => self.load_entry(entry),
            Err(_) => self.handle_store_failure(),
        }
    }

    /// Applies the response to a swap.
    ///
    /// # Panics
    ///
    /// If no swap was in flight.
    pub fn apply_swap(&mut self, response: Result<SwapOutcome, StoreError>) {
        let swap = self.in_flight.take().expect("a swap is in flight");
        match response {
            Ok(SwapOutcome::Swapped(version)) => self.finish_swap(swap, version),
            Ok(SwapOutcome::Conflict(entry)) => {
                self.record_failed_swap();
                self.load_entry(entry);
            }
            // `Unavailable` means that the swap had no effect.
            Err(StoreError::Unavailable(_)) => self.handle_store_failure(),
            Err(_) => self.handle_lost_response(&swap),
        }
    }

    /// Plans all pending operations on a draft of the page.
    fn plan(&mut self, cached: VersionedPage, minute: u64) -> CommitStep {
        let mut draft = cached.page;
        draft.prune(minute.saturating_sub(self.retention_minutes));
        let results: Vec<PlanResult> = self
            .pending
            .iter()
            .map(|operation| {
                plan_operation(
                    &mut draft,
                    cached.version,
                    operation,
                    minute,
                    self.retention_minutes,
                )
            })
            .collect();
        let needs_page = |result: &PlanResult| *result != PlanResult::Changed;
        if !self.is_fresh && results.iter().any(needs_page) {
            // The cached page may be stale. A swap detects that, but a result
            // that is returned without a swap needs a fresh read.
            return CommitStep::Read;
        }
        self.finish_planned(&results);
        if self.pending.is_empty() {
            return CommitStep::Finished;
        }
        let value = draft.encode();
        let expected = cached.version;
        self.in_flight = Some(InFlightSwap {
            page: draft,
            expected,
        });
        CommitStep::Swap { expected, value }
    }

    /// Finishes the operations that need no swap.
    fn finish_planned(&mut self, results: &[PlanResult]) {
        let pending = std::mem::take(&mut self.pending);
        for (operation, result) in pending.into_iter().zip(results) {
            if *result == PlanResult::Changed {
                self.pending.push(operation);
            } else {
                self.finish(operation, OperationResult::Planned(result.clone()));
            }
        }
    }

    fn finish_swap(&mut self, swap: InFlightSwap, version: u64) {
        self.has_store_responded = true;
        self.newest = version;
        self.cached = Some(VersionedPage {
            page: swap.page,
            version: ExpectedVersion::Version(version),
        });
        for operation in std::mem::take(&mut self.pending) {
            self.finish(operation, OperationResult::Planned(PlanResult::Done));
        }
    }

    /// Handles a swap that may have taken effect, or may still do so later.
    fn handle_lost_response(&mut self, swap: &InFlightSwap) {
        for operation in &mut self.pending {
            operation.unconfirmed_swap = Some(swap.expected);
        }
        self.cached = None;
        self.record_failed_swap();
        self.lost_responses += 1;
        if self.lost_responses >= MAX_LOST_RESPONSES {
            self.handle_store_failure();
        }
    }

    /// Replaces the cached page by the store's entry.
    ///
    /// A page that can't be decoded, or whose version is older than one seen
    /// before, may lack claims: nothing is committed to it, and all pending
    /// operations fail.
    fn load_entry(&mut self, entry: Option<StoreEntry>) {
        self.has_store_responded = true;
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        match load_page(entry, self.newest) {
            Ok(cached) => {
                self.cached = Some(cached);
                self.newest = version;
                self.is_unusable = false;
                self.is_fresh = true;
            }
            Err(error) => {
                if !self.is_unusable {
                    log::error!("claims: refused, a page can't be used: {error}");
                }
                self.is_unusable = true;
                self.cached = None;
                self.reject_pending();
            }
        }
    }

    fn record_failed_swap(&mut self) {
        self.failed_swaps += 1;
        self.must_pause = true;
    }

    fn handle_store_failure(&mut self) {
        self.cached = None;
        self.has_store_failed = true;
        self.reject_pending();
    }

    /// Abandons claims whose deadline has passed, or all operations if too many
    /// swaps failed.
    fn abandon_expired(&mut self, time: ClaimTime) {
        let is_exhausted = self.failed_swaps >= MAX_FAILED_SWAPS;
        for operation in std::mem::take(&mut self.pending) {
            if is_exhausted || is_past_deadline(&operation, time) {
                self.finish(operation, OperationResult::Abandoned);
            } else {
                self.pending.push(operation);
            }
        }
    }

    fn finish(&mut self, operation: PageOperation, result: OperationResult) {
        self.finished.push(FinishedOperation { operation, result });
    }
}

fn is_past_deadline(operation: &PageOperation, time: ClaimTime) -> bool {
    match &operation.kind {
        OperationKind::Claim(request) => request.deadline <= time.now,
        OperationKind::Record(_) | OperationKind::Release { .. } => false,
    }
}

fn load_page(entry: Option<StoreEntry>, newest: StoreVersion) -> Result<VersionedPage, PageError> {
    let found = entry.as_ref().map_or(0, |entry| entry.version);
    if found < newest {
        return Err(PageError::Older { found, newest });
    }
    let Some(entry) = entry else {
        return Ok(VersionedPage {
            page: LedgerPage::default(),
            version: ExpectedVersion::Absent,
        });
    };
    Ok(VersionedPage {
        page: LedgerPage::decode(&entry.value)?,
        version: ExpectedVersion::Version(entry.version),
    })
}

fn conflict_pause(failed_swaps: u32, rng: &mut impl Rng) -> Duration {
    let longest = (CONFLICT_PAUSE_STEP * failed_swaps.max(1)).min(MAX_CONFLICT_PAUSE);
    longest.mul_f64(rng.random_range(0.0..=1.0))
}
