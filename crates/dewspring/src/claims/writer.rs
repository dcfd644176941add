//! The thread that commits claims to their pages.
//!
//! It takes all messages that wait, groups them by page, and commits each
//! group with one swap where nobody else changed the page. Outcomes and
//! releases that the store didn't take are kept and tried again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::breaker::{StoreBreaker, retry_after};
use super::commit::{CommitStep, FinishedWork, PageCommit, PageMemory};
use super::key::{ClaimKey, ClaimNonce, ClaimOwner, PageNumber};
use super::ledger::LedgerSettings;
use super::messages::{ClaimOutcome, ClaimRequest, ClaimToken, RecordedOutcome};
use super::plan::{ClaimTime, PageWork, WorkId, WorkKind};
use super::settle::{SettleTerms, settle_work};
use crate::store::PlatformStore;

/// Messages that are taken for one round.
const MAX_BATCH: usize = 256;

/// Pages that are remembered, so that a swap needs no read before it.
const MAX_KNOWN_PAGES: usize = 64;

/// Outcomes and releases that are kept for the store to come back.
const MAX_DEFERRED: usize = 4096;

/// Pause between tries of what is kept, and longest sleep of the thread.
const DEFERRED_INTERVAL: Duration = Duration::from_millis(500);

const SECONDS_PER_MINUTE: u64 = 60;

/// What a writer is told.
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

/// Gives out the nonces of one writer.
#[derive(Debug)]
pub(super) struct NonceSource {
    pub owner: ClaimOwner,
    /// Next serial number; the writers of a VM count in steps of their number,
    /// so that they share none.
    pub next: u64,
    pub step: u64,
}

impl NonceSource {
    fn draw(&mut self) -> ClaimNonce {
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
    /// Shared by the writers of this VM: what one of them finds spares the
    /// others a wait.
    breaker: Arc<Mutex<StoreBreaker>>,
    pages: IndexMap<PageNumber, PageMemory>,
    replies: IndexMap<WorkId, oneshot::Sender<ClaimOutcome>>,
    next_work: WorkId,
    deferred: VecDeque<PageWork>,
    deferred_at: Instant,
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
            next_work: 0,
            deferred: VecDeque::new(),
            deferred_at: Instant::now(),
            is_stopping: false,
        }
    }

    /// Writes until it is told to stop, then tries once more what it kept.
    pub fn run(mut self) {
        while !self.is_stopping {
            let mut batch = self.collect();
            batch.extend(self.take_due());
            self.commit_batch(batch);
        }
        let rest: Vec<PageWork> = self.deferred.drain(..).collect();
        self.commit_batch(rest);
        if !self.deferred.is_empty() {
            log::warn!("claims: {} outcomes were not recorded", self.deferred.len());
        }
    }

    /// Waits for a message and takes those that wait with it.
    fn collect(&mut self) -> Vec<PageWork> {
        let first = match self.messages.recv_timeout(DEFERRED_INTERVAL) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => return Vec::new(),
            Err(RecvTimeoutError::Disconnected) => WriterMessage::Stop,
        };
        let others: Vec<WriterMessage> = self.messages.try_iter().take(MAX_BATCH - 1).collect();
        std::iter::once(first)
            .chain(others)
            .filter_map(|message| self.accept(message))
            .collect()
    }

    fn accept(&mut self, message: WriterMessage) -> Option<PageWork> {
        match message {
            WriterMessage::Claim { request, reply } => {
                let nonce = self.nonces.draw();
                let work = self.make_work(request.key, nonce, WorkKind::Claim(request));
                self.replies.insert(work.id, reply);
                Some(work)
            }
            WriterMessage::Record { token, outcome } => {
                Some(self.make_work(token.key, token.nonce, WorkKind::Record(outcome)))
            }
            WriterMessage::Release { token } => {
                let kind = WorkKind::Release { fence: None };
                Some(self.make_work(token.key, token.nonce, kind))
            }
            WriterMessage::Stop => {
                self.is_stopping = true;
                None
            }
        }
    }

    fn make_work(&mut self, key: ClaimKey, nonce: ClaimNonce, kind: WorkKind) -> PageWork {
        self.next_work += 1;
        PageWork {
            id: self.next_work,
            key,
            nonce,
            kind,
            accepted: Instant::now(),
            unsure: None,
        }
    }

    /// Takes what is kept, if it is time for another try.
    fn take_due(&mut self) -> Vec<PageWork> {
        let now = Instant::now();
        if now < self.deferred_at || self.breaker().is_open(now) {
            return Vec::new();
        }
        self.deferred_at = now + DEFERRED_INTERVAL;
        let count = self.deferred.len().min(MAX_BATCH);
        self.deferred.drain(..count).collect()
    }

    /// Takes what is kept for one page.
    fn take_deferred(&mut self, page: PageNumber) -> Vec<PageWork> {
        let page_count = self.settings.page_count;
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|work| work.key.page(page_count) == page);
        self.deferred = kept;
        taken.into()
    }

    fn commit_batch(&mut self, batch: Vec<PageWork>) {
        let mut groups: IndexMap<PageNumber, Vec<PageWork>> = IndexMap::new();
        for work in batch {
            let page = work.key.page(self.settings.page_count);
            groups.entry(page).or_default().push(work);
        }
        for (page, group) in groups {
            self.commit_group(page, group);
        }
    }

    fn commit_group(&mut self, page: PageNumber, group: Vec<PageWork>) {
        let is_open = self.breaker().is_open(Instant::now());
        let mut work = if is_open {
            Vec::new()
        } else {
            // What is kept goes first: a release may free the key of a claim.
            self.take_deferred(page)
        };
        work.extend(group);
        let memory = self.pages.shift_remove(&page).unwrap_or_default();
        let horizon_minutes = self.settings.horizon_minutes();
        let mut commit = PageCommit::new(memory, work, horizon_minutes);
        if is_open {
            commit.refuse();
        } else {
            let started = Instant::now();
            self.drive(page, &mut commit);
            self.judge_store(&commit, started.elapsed());
        }
        self.finish_all(commit.take_finished());
        self.remember(page, commit.into_memory());
    }

    /// Makes the calls that a commit asks for.
    fn drive(&mut self, page: PageNumber, commit: &mut PageCommit) {
        let key = page_key(&self.settings.fleet, page);
        loop {
            match commit.next_step(read_time(), &mut self.rng) {
                CommitStep::Read => commit.take_read(self.store.get(&key)),
                CommitStep::Swap { expected, value } => {
                    let answer = self.store.compare_and_swap(&key, expected, &value, None);
                    commit.take_swap(answer);
                }
                CommitStep::Pause(pause) => thread::sleep(pause),
                CommitStep::Finished => return,
            }
            self.finish_all(commit.take_finished());
        }
    }

    fn judge_store(&mut self, commit: &PageCommit, waited: Duration) {
        if commit.has_store_failed() {
            log::warn!("claims: the store failed, claims are refused for a while");
            let mut breaker = lock_breaker(&self.breaker);
            breaker.fail(Instant::now(), waited, &mut self.rng);
        } else if commit.has_store_answered() {
            self.breaker().succeed();
        }
    }

    fn breaker(&self) -> MutexGuard<'_, StoreBreaker> {
        lock_breaker(&self.breaker)
    }

    /// Remembers a page; of the pages used longest ago only the version.
    fn remember(&mut self, page: PageNumber, memory: PageMemory) {
        self.pages.insert(page, memory);
        let mut known: Vec<&mut PageMemory> = self
            .pages
            .values_mut()
            .filter(|memory| memory.known.is_some())
            .collect();
        if known.len() > MAX_KNOWN_PAGES {
            known[0].known = None;
        }
    }

    fn finish_all(&mut self, finished: Vec<FinishedWork>) {
        for work in finished {
            self.finish(work);
        }
    }

    fn finish(&mut self, finished: FinishedWork) {
        let id = finished.work.id;
        let terms = SettleTerms {
            retry_after: retry_after(&mut self.rng),
            horizon: self.settings.horizon,
        };
        let settled = settle_work(finished, terms);
        if let Some(work) = settled.follow_up {
            self.defer(work);
        }
        let reply = self.replies.swap_remove(&id);
        let (Some(reply), Some(outcome)) = (reply, settled.outcome) else {
            return;
        };
        // A caller that has gone will not send: its claim is taken back.
        if let Err(ClaimOutcome::Claimed(token)) = reply.send(outcome) {
            let kind = WorkKind::Release { fence: None };
            let work = self.make_work(token.key, token.nonce, kind);
            self.defer(work);
        }
    }

    fn defer(&mut self, work: PageWork) {
        if self.deferred.len() >= MAX_DEFERRED {
            log::warn!("claims: dropped the oldest outcome that the store didn't take");
            self.deferred.pop_front();
        }
        self.deferred.push_back(work);
    }
}

fn lock_breaker(breaker: &Mutex<StoreBreaker>) -> MutexGuard<'_, StoreBreaker> {
    breaker
        .lock()
        .expect("no holder of the breaker's lock panics")
}

/// Returns the key of a page in the store.
pub(super) fn page_key(fleet: &str, page: PageNumber) -> String {
    format!("/dewspring/{fleet}/claims/{page}")
}

fn read_time() -> ClaimTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the VM's clock is set");
    ClaimTime {
        now: Instant::now(),
        minute: since_epoch.as_secs() / SECONDS_PER_MINUTE,
    }
}
