//! A simulation of several entries, a faulty store, and callers that repeat
//! their requests.
//!
//! Everything runs on one thread from one seed. Each step advances one entry by
//! at most one call, so that the calls of the entries interleave and a crash
//! can happen between any two steps. One step represents one second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::commit::{CommitStep, PageCache, PageCommit};
use super::super::key::{ClaimKey, ClaimNonce, ClaimOwner, PageNumber};
use super::super::messages::{ClaimOutcome, ClaimRequest, ClaimToken, RecordedOutcome};
use super::super::plan::{ClaimTime, OperationKind, PageOperation};
use super::super::settle::{SettleContext, settle_operation};
use super::key;
use super::sim_store::{FaultRates, SimStore, StoreCounts};

const PAGES: PageNumber = 4;
const RETENTION: Duration = Duration::from_secs(3600);
const FIRST_MINUTE: u64 = 1_000_000;
const KEY_SPACING_STEPS: u64 = 12;

/// Counts of attempts, events and outcomes of a run.
#[derive(Clone, Debug, Default)]
pub struct SimulationTally {
    pub keys: usize,
    pub attempts: u64,
    pub store: StoreCounts,
    pub crashes: u64,
    pub unsent_in_crash: u64,
    pub pauses: u64,
    pub unsent_in_pause: u64,
    pub releases: u64,
    pub expired: u64,
    pub in_progress: u64,
    pub unavailable: u64,
    pub repeats: u64,
    pub wrong_repeats: u64,
    /// Largest number of executions of any key.
    pub most_executions: u32,
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Keys that ran once.
    pub executed: usize,
    /// Keys that never ran, with all attempts answered as not run.
    pub refused: usize,
    /// Keys that never ran, but whose outcome is unknown to a caller.
    pub unknown: usize,
}

#[derive(Debug, Default)]
struct SimEntry {
    owner: Option<ClaimOwner>,
    serial: u64,
    skew_minutes: u64,
    paused_until: u64,
    inbox: Vec<PageOperation>,
    commit: Option<(PageNumber, PageCommit)>,
    pages: IndexMap<PageNumber, PageCache>,
    held: Vec<ClaimToken>,
    running: Vec<ClaimToken>,
}

#[derive(Clone, Debug, Default)]
struct KeyHistory {
    declared_minute: Option<u64>,
    executions: u32,
    is_outcome_unknown: bool,
}

pub struct SimulationWorld {
    rates: FaultRates,
    rng: StdRng,
    started: Instant,
    step: u64,
    store: SimStore,
    entries: Vec<SimEntry>,
    keys: Vec<KeyHistory>,
    numbers: IndexMap<ClaimKey, usize>,
    attempts: BTreeMap<u64, Vec<usize>>,
    are_faults_off: bool,
    tally: SimulationTally,
}

impl SimulationWorld {
    /// Runs a whole simulation and returns its tally.
    pub fn run(keys: usize, rates: FaultRates, seed: u64) -> SimulationTally {
        let mut world = Self {
            rates,
            rng: StdRng::seed_from_u64(seed),
            started: Instant::now(),
            step: 0,
            store: SimStore::open(rates, seed),
            entries: Vec::new(),
            keys: vec![KeyHistory::default(); keys],
            numbers: (0..keys).map(|number| (key(number), number)).collect(),
            attempts: BTreeMap::new(),
            are_faults_off: false,
            tally: SimulationTally::default(),
        };
        for index in 0..4 {
            world.entries.push(SimEntry::default());
            world.boot(index);
        }
        for number in 0..keys {
            world.schedule(number);
        }
        while !world.attempts.is_empty() {
            world.advance();
        }
        world.are_faults_off = true;
        world.store.stop_faults();
        for _ in 0..2000 {
            world.advance();
        }
        world.finish()
    }

    fn draw_event(&mut self, thousandths: u16) -> bool {
        !self.are_faults_off && self.rng.random_range(0..1000) < thousandths
    }

    fn boot(&mut self, index: usize) {
        let owner = ClaimOwner {
            vm: format!("vm-{index}"),
            boot: self.rng.random(),
        };
        self.entries[index] = SimEntry {
            owner: Some(owner),
            skew_minutes: self.rng.random_range(0..=4),
            ..SimEntry::default()
        };
    }

    /// Schedules the uses of a key: the first one, and repeats shortly after it
    /// or after the retention time.
    fn schedule(&mut self, number: usize) {
        let first = number as u64 * KEY_SPACING_STEPS;
        let is_declared = self.rng.random_range(0..10) < 7;
        self.keys[number].declared_minute = is_declared.then_some(FIRST_MINUTE + first / 60);
        self.attempts.entry(first).or_default().push(number);
        for _ in 0..self.rng.random_range(0..4) {
            // Only a key with a declared time may be repeated that late.
            let is_late = is_declared && self.rng.random_range(0..4) == 0;
            let longest = if is_late { 9000 } else { 200 };
            let step = first + self.rng.random_range(0..longest);
            self.attempts.entry(step).or_default().push(number);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        while let Some(due) = self.attempts.first_entry() {
            if *due.key() > self.step {
                break;
            }
            for number in due.remove() {
                self.submit(number);
            }
        }
        self.store.advance();
        let index = self.rng.random_range(0..self.entries.len());
        if self.draw_event(self.rates.crash) {
            self.crash(index);
        }
        if self.draw_event(self.rates.pause) {
            self.pause(index);
        }
        if self.are_faults_off || self.step >= self.entries[index].paused_until {
            self.step_commit(index);
            self.advance_requests(index);
        }
    }

    /// Pauses an entry between two of its steps; the entry does not notice it.
    fn pause(&mut self, index: usize) {
        let is_long = self.rng.random_range(0..4) == 0;
        let longest = if is_long { 8000 } else { 300 };
        self.tally.pauses += 1;
        self.tally.unsent_in_pause += self.entries[index].held.len() as u64;
        self.entries[index].paused_until = self.step + self.rng.random_range(1..longest);
    }

    fn submit(&mut self, number: usize) {
        self.tally.attempts += 1;
        let index = self.rng.random_range(0..self.entries.len());
        let request = ClaimRequest {
            key: key(number),
            fingerprint: number as u64,
            declared_minute: self.keys[number].declared_minute,
            deadline: self.now() + Duration::from_secs(self.rates.deadline_steps),
        };
        let accepted_at = self.now();
        let entry = &mut self.entries[index];
        entry.serial += 1;
        let nonce = ClaimNonce {
            owner: entry.owner.clone().expect("the entry has booted"),
            serial: entry.serial,
        };
        entry.inbox.push(PageOperation {
            id: number as u64,
            key: request.key,
            nonce,
            kind: OperationKind::Claim(request),
            accepted_at,
            unconfirmed_swap: None,
        });
    }

    fn now(&self) -> Instant {
        self.started + Duration::from_secs(self.step)
    }

    fn time(&self, index: usize) -> ClaimTime {
        ClaimTime {
            now: self.now(),
            minute: FIRST_MINUTE + self.step / 60 + self.entries[index].skew_minutes,
        }
    }

    /// Crashes an entry: it loses its state and restarts with a new boot.
    fn crash(&mut self, index: usize) {
        self.tally.crashes += 1;
        self.tally.unsent_in_crash += self.entries[index].held.len() as u64;
        let entry = std::mem::take(&mut self.entries[index]);
        let in_commit = entry.commit.map(|(_, mut commit)| {
            commit.reject_pending();
            commit.take_finished()
        });
        let in_commit = in_commit.into_iter().flatten().map(|done| done.operation);
        for operation in entry.inbox.into_iter().chain(in_commit) {
            self.keys[operation.id as usize].is_outcome_unknown = true;
        }
        self.boot(index);
    }

    /// Advances the entry's commit by one step, or begins one.
    fn step_commit(&mut self, index: usize) {
        let time = self.time(index);
        let entry = &mut self.entries[index];
        let Some((page, mut commit)) = entry.commit.take() else {
            begin_commit(entry);
            return;
        };
        let key = format!("/claims/{page}");
        let is_finished = match commit.next_step(time, &mut self.rng) {
            CommitStep::Read => {
                commit.apply_read(self.store.read(&key));
                false
            }
            CommitStep::Swap { expected, value } => {
                commit.apply_swap(self.store.swap(&key, expected, value));
                false
            }
            CommitStep::Pause(_) => false,
            CommitStep::Finished => true,
        };
        for finished in commit.take_finished() {
            let context = SettleContext {
                retry_after: Duration::from_secs(1),
                retention: RETENTION,
            };
            let number = finished.operation.id as usize;
            let settled = settle_operation(finished, context);
            self.entries[index].inbox.extend(settled.follow_up);
            if let Some(outcome) = settled.outcome {
                self.handle_outcome(index, number, outcome);
            }
        }
        if is_finished {
            let cache = commit.into_cache();
            self.entries[index].pages.insert(page, cache);
        } else {
            self.entries[index].commit = Some((page, commit));
        }
    }

    fn handle_outcome(&mut self, index: usize, number: usize, outcome: ClaimOutcome) {
        match outcome {
            ClaimOutcome::Claimed(token) => self.entries[index].held.push(token),
            ClaimOutcome::AlreadyRun(outcome) => {
                self.tally.repeats += 1;
                let is_own = outcome == outcome_of(number);
                let is_right = is_own && self.keys[number].executions == 1;
                self.tally.wrong_repeats += u64::from(!is_right);
            }
            ClaimOutcome::InProgress => {
                self.tally.in_progress += 1;
                self.keys[number].is_outcome_unknown = true;
            }
            ClaimOutcome::Expired => self.tally.expired += 1,
            ClaimOutcome::KeyReused => self.tally.wrong_repeats += 1,
            ClaimOutcome::StoreUnavailable { .. } | ClaimOutcome::Overloaded { .. } => {
                self.tally.unavailable += 1;
            }
        }
    }

    /// Records the outcome of a sent request, and sends or releases the request
    /// of a held token.
    fn advance_requests(&mut self, index: usize) {
        if !self.are_faults_off && !self.draw_event(self.rates.progress) {
            return;
        }
        if let Some(token) = self.entries[index].running.pop() {
            let number = self.numbers[&token.key];
            let kind = OperationKind::Record(outcome_of(number));
            self.return_token(index, number, token, kind);
        }
        let Some(token) = self.entries[index].held.pop() else {
            return;
        };
        let number = self.numbers[&token.key];
        if self.draw_event(self.rates.release) || !token.may_send(self.now()) {
            self.tally.releases += 1;
            self.return_token(index, number, token, OperationKind::Release { fence: None });
            return;
        }
        self.keys[number].executions += 1;
        self.entries[index].running.push(token);
    }

    fn return_token(
        &mut self,
        index: usize,
        number: usize,
        token: ClaimToken,
        kind: OperationKind,
    ) {
        let accepted_at = self.now();
        self.entries[index].inbox.push(PageOperation {
            id: number as u64,
            key: token.key,
            nonce: token.nonce,
            kind,
            accepted_at,
            unconfirmed_swap: None,
        });
    }

    fn finish(mut self) -> SimulationTally {
        self.tally.keys = self.keys.len();
        self.tally.store = self.store.counts();
        for history in &self.keys {
            self.tally.most_executions = self.tally.most_executions.max(history.executions);
            match (history.executions, history.is_outcome_unknown) {
                (0, false) => self.tally.refused += 1,
                (0, true) => self.tally.unknown += 1,
                (1, _) => self.tally.executed += 1,
                _ => self.tally.doubled += 1,
            }
        }
        self.tally
    }
}

fn outcome_of(number: usize) -> RecordedOutcome {
    RecordedOutcome::new(201, "text/plain", number.to_string().as_bytes())
}

/// Begins to commit all operations of one page.
fn begin_commit(entry: &mut SimEntry) {
    let Some(first) = entry.inbox.first() else {
        return;
    };
    let page = first.key.page(PAGES);
    let inbox = std::mem::take(&mut entry.inbox);
    let (group, rest) = inbox
        .into_iter()
        .partition(|operation| operation.key.page(PAGES) == page);
    entry.inbox = rest;
    let cache = entry.pages.swap_remove(&page).unwrap_or_default();
    entry.commit = Some((
        page,
        PageCommit::new(cache, group, RETENTION.as_secs() / 60),
    ));
}
