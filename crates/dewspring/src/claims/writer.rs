//! The thread that commits claims to their pages.
//!
//! It receives all pending messages, groups them by page, and commits each
//! group with a single swap if the page was not changed concurrently. Outcomes
//! and releases that failed are deferred and retried.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::breaker::{StoreBreaker, retry_after};
use super::commit::{CommitStep, FinishedOperation, PageCache, PageCommit};
use super::key::{ClaimKey, ClaimNonce, ClaimOwner, PageNumber};
use super::ledger::LedgerSettings;
use super::messages::{ClaimOutcome, ClaimRequest, ClaimToken, RecordedOutcome};
use super::plan::{ClaimTime, OperationId, OperationKind, PageOperation};
use super::settle::{SettleContext, settle_operation};
use crate::store::PlatformStore;

/// Most messages, and most deferred operations, that are handled in one round.
const MAX_BATCH: usize = 256;

/// Most pages that are cached, so that a swap needs no read before it.
const MAX_CACHED_PAGES: usize = 64;

/// Most outcomes and releases that are deferred while the store is down.
const MAX_DEFERRED: usize = 4096;

/// Interval between retries of deferred operations, and longest wait for a
/// message.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

const SECONDS_PER_MINUTE: u64 = 60;

/// A message to a writer thread.
#[derive(Debug)]
pub(super) enum WriterMessage {
    Claim {
        request: ClaimRequest,
        reply: oneshot::Sender<ClaimOutcome>,
    },
    Record {
        token: ClaimToken,
        outcome: RecordedOutcome,
    },
    Release {
        token: ClaimToken,
    },
    Stop,
}

/// Generates the nonces of one writer.
#[derive(Debug)]
pub(super) struct NonceSource {
    pub owner: ClaimOwner,
    /// Next serial number. It grows by `step`, the number of writers on the VM,
    /// so that no two writers use the same serial number.
    pub next: u64,
    pub step: u64,
}

impl NonceSource {
    fn next_nonce(&mut self) -> ClaimNonce {
        let serial = self.next;
        self.next += self.step;
        ClaimNonce {
            owner: self.owner.clone(),
            serial,
        }
    }
}

pub(super) struct ClaimWriter<S> {
    store: S,
    settings: LedgerSettings,
    messages: Receiver<WriterMessage>,
    nonces: NonceSource,
    rng: StdRng,
    /// Shared by the writers of this VM, so that a failure seen by one of them
    /// stops the calls of all.
    breaker: Arc<Mutex<StoreBreaker>>,
    pages: IndexMap<PageNumber, PageCache>,
    replies: IndexMap<OperationId, oneshot::Sender<ClaimOutcome>>,
    last_operation_id: OperationId,
    deferred: VecDeque<PageOperation>,
    next_retry: Instant,
    is_stopping: bool,
}

impl<S: PlatformStore> ClaimWriter<S> {
    pub fn new(
        store: S,
        settings: LedgerSettings,
        messages: Receiver<WriterMessage>,
        nonces: NonceSource,
        breaker: Arc<Mutex<StoreBreaker>>,
        rng: StdRng,
    ) -> Self {
        Self {
            store,
            settings,
            messages,
            nonces,
            rng,
            breaker,
            pages: IndexMap::new(),
            replies: IndexMap::new(),
            last_operation_id: 0,
            deferred: VecDeque::new(),
            next_retry: Instant::now(),
            is_stopping: false,
        }
    }

    /// Commits operations until `Stop` arrives, then retries the deferred ones
    /// once.
    pub fn run(mut self) {
        while !self.is_stopping {
            let mut batch = self.receive_batch();
            batch.extend(self.take_due_retries());
            self.commit_batch(batch);
        }
        let rest: Vec<PageOperation> = self.deferred.drain(..).collect();
        self.commit_batch(rest);
        if !self.deferred.is_empty() {
            log::warn!("claims: {} outcomes were not recorded", self.deferred.len());
        }
    }

    /// Waits for a message and receives the others that are pending.
    fn receive_batch(&mut self) -> Vec<PageOperation> {
        let first = match self.messages.recv_timeout(RETRY_INTERVAL) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => return Vec::new(),
            Err(RecvTimeoutError::Disconnected) => WriterMessage::Stop,
        };
        let others: Vec<WriterMessage> = self.messages.try_iter().take(MAX_BATCH - 1).collect();
        std::iter::once(first)
            .chain(others)
            .filter_map(|message| self.start_operation(message))
            .collect()
    }

    fn start_operation(&mut self, message: WriterMessage) -> Option<PageOperation> {
        match message {
            WriterMessage::Claim { request, reply } => {
                let nonce = self.nonces.next_nonce();
                let operation =
                    self.new_operation(request.key, nonce, OperationKind::Claim(request));
                self.replies.insert(operation.id, reply);
                Some(operation)
            }
            WriterMessage::Record { token, outcome } => {
                Some(self.new_operation(token.key, token.nonce, OperationKind::Record(outcome)))
            }
            WriterMessage::Release { token } => {
                let kind = OperationKind::Release { fence: None };
                Some(self.new_operation(token.key, token.nonce, kind))
            }
            WriterMessage::Stop => {
                self.is_stopping = true;
                None
            }
        }
    }

    fn new_operation(
        &mut self,
        key: ClaimKey,
        nonce: ClaimNonce,
        kind: OperationKind,
    ) -> PageOperation {
        self.last_operation_id += 1;
        PageOperation {
            id: self.last_operation_id,
            key,
            nonce,
            kind,
            accepted_at: Instant::now(),
            unconfirmed_swap: None,
        }
    }

    /// Takes deferred operations if their next retry is due and the breaker is
    /// closed.
    fn take_due_retries(&mut self) -> Vec<PageOperation> {
        let now = Instant::now();
        if now < self.next_retry || self.breaker().is_open(now) {
            return Vec::new();
        }
        self.next_retry = now + RETRY_INTERVAL;
        let count = self.deferred.len().min(MAX_BATCH);
        self.deferred.drain(..count).collect()
    }

    /// Takes the deferred operations of one page.
    fn take_deferred_for(&mut self, page: PageNumber) -> Vec<PageOperation> {
        let page_count = self.settings.page_count;
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|operation| operation.key.page(page_count) == page);
        self.deferred = kept;
        taken.into()
    }

    fn commit_batch(&mut self, batch: Vec<PageOperation>) {
        let mut groups: IndexMap<PageNumber, Vec<PageOperation>> = IndexMap::new();
        for operation in batch {
            let page = operation.key.page(self.settings.page_count);
            groups.entry(page).or_default().push(operation);
        }
        for (page, group) in groups {
            self.commit_group(page, group);
        }
    }

    fn commit_group(&mut self, page: PageNumber, group: Vec<PageOperation>) {
        let is_open = self.breaker().is_open(Instant::now());
        let mut operations = if is_open {
            Vec::new()
        } else {
            // Deferred operations come first: a release may free the key of a
            // claim in the group.
            self.take_deferred_for(page)
        };
        operations.extend(group);
        let cache = self.pages.shift_remove(&page).unwrap_or_default();
        let retention_minutes = self.settings.retention_minutes();
        let mut commit = PageCommit::new(cache, operations, retention_minutes);
        if is_open {
            commit.reject_pending();
        } else {
            let started = Instant::now();
            self.run_commit(page, &mut commit);
            self.update_breaker(&commit, started.elapsed());
        }
        self.finish_all(commit.take_finished());
        self.update_cache(page, commit.into_cache());
    }

    /// Runs the steps of a commit until it has finished.
    fn run_commit(&mut self, page: PageNumber, commit: &mut PageCommit) {
        let key = page_key(&self.settings.fleet, page);
        loop {
            match commit.next_step(current_time(), &mut self.rng) {
                CommitStep::Read => commit.apply_read(self.store.get(&key)),
                CommitStep::Swap { expected, value } => {
                    let response = self.store.compare_and_swap(&key, expected, &value, None);
                    commit.apply_swap(response);
                }
                CommitStep::Pause(pause) => thread::sleep(pause),
                CommitStep::Finished => return,
            }
            self.finish_all(commit.take_finished());
        }
    }

    fn update_breaker(&mut self, commit: &PageCommit, waited: Duration) {
        if commit.has_store_failed() {
            log::warn!("claims: the store failed, claims are refused for a while");
            let mut breaker = lock_breaker(&self.breaker);
            breaker.record_failure(Instant::now(), waited, &mut self.rng);
        } else if commit.has_store_responded() {
            self.breaker().record_success();
        }
    }

    fn breaker(&self) -> MutexGuard<'_, StoreBreaker> {
        lock_breaker(&self.breaker)
    }

    /// Caches a page and evicts the least recently used one above the limit;
    /// the version of an evicted page is kept.
    fn update_cache(&mut self, page: PageNumber, cache: PageCache) {
        self.pages.insert(page, cache);
        let mut cached: Vec<&mut PageCache> = self
            .pages
            .values_mut()
            .filter(|cache| cache.cached.is_some())
            .collect();
        if cached.len() > MAX_CACHED_PAGES {
            cached[0].cached = None;
        }
    }

    fn finish_all(&mut self, finished: Vec<FinishedOperation>) {
        for operation in finished {
            self.finish(operation);
        }
    }

    fn finish(&mut self, finished: FinishedOperation) {
        let id = finished.operation.id;
        let context = SettleContext {
            retry_after: retry_after(&mut self.rng),
            retention: self.settings.retention,
        };
        let settled = settle_operation(finished, context);
        if let Some(operation) = settled.follow_up {
            self.defer(operation);
        }
        let reply = self.replies.swap_remove(&id);
        let (Some(reply), Some(outcome)) = (reply, settled.outcome) else {
            return;
        };
        // A caller that dropped its receiver won't send the request, so its
        // claim is released.
        if let Err(ClaimOutcome::Claimed(token)) = reply.send(outcome) {
            let kind = OperationKind::Release { fence: None };
            let operation = self.new_operation(token.key, token.nonce, kind);
            self.defer(operation);
        }
    }

    fn defer(&mut self, operation: PageOperation) {
        if self.deferred.len() >= MAX_DEFERRED {
            log::warn!("claims: dropped the oldest deferred outcome, too many are deferred");
            self.deferred.pop_front();
        }
        self.deferred.push_back(operation);
    }
}

fn lock_breaker(breaker: &Mutex<StoreBreaker>) -> MutexGuard<'_, StoreBreaker> {
    breaker
        .lock()
        .expect("no holder of the breaker's lock panics")
}

/// Returns the store key of a page.
pub(super) fn page_key(fleet: &str, page: PageNumber) -> String {
    format!("/dewspring/{fleet}/claims/{page}")
}

fn current_time() -> ClaimTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the VM's clock is set");
    ClaimTime {
        now: Instant::now(),
        minute: since_epoch.as_secs() / SECONDS_PER_MINUTE,
    }
}
