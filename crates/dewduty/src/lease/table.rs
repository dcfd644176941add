//! The state machine that holds, acquires and releases the duties of one VM.

use std::time::Duration;

use indexmap::IndexMap;

use super::api_health::ApiHealth;
use super::candidates::CandidateList;
use super::duty::{AcquireAttempt, DutyRole, DutyState, HolderState};
use super::vm_lease::{RESULT_TIMEOUT, RETRY_DELAY, VmLease};
use super::{
    Authority, ChangeKind, ChangeReason, DutySubject, FencingToken, HolderChange, HolderRecord,
    HoldingView, LeaseAction, LeaseEvent, LeasePolicy, StoreEra, StoreRevision, TokenRecord,
};

/// Longest interval between two polls while a lease is open.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a call after which this process counts as having been frozen.
const FREEZE_GAP: Duration = Duration::from_millis(500);

/// Transactions that may be in flight. The caller makes store calls one after the
/// other, and a renewal must not wait behind those of many subjects.
const MAX_IN_FLIGHT: usize = 4;

/// Bits of a token below the era.
const ERA_SHIFT: u32 = 32;

/// Largest era for which tokens are chosen; larger ones don't fit into the signed
/// 64-bit integers that a reader of the header may use.
const MAX_ERA: StoreEra = (1 << 31) - 1;

/// The duties of one VM.
///
/// # Examples
///
/// ```
/// use dewduty::lease::{DutySubject, LeaseAction, LeaseEvent, LeasePolicy, LeaseTable};
/// use std::time::Duration;
///
/// let second = Duration::from_secs;
/// let policy = LeasePolicy::new("vm-1".to_string(), second(3));
/// let mut table = LeaseTable::new(policy);
/// table.set_subjects([DutySubject::Usage], second(1));
/// table.apply(LeaseEvent::Responded { era: Some(2) }, second(1));
/// table.apply(LeaseEvent::Listed { revision: 40 }, second(1));
/// assert!(table.poll(second(6)).is_empty(), "an earlier holder may still act");
///
/// let ttl = second(6);
/// assert_eq!(table.poll(second(7)), [LeaseAction::OpenLease { ttl }]);
/// table.apply(LeaseEvent::LeaseOpened { lease: 5, sent: second(7) }, second(7));
/// let actions = table.poll(second(7));
/// let [LeaseAction::Acquire { subject, token, era, .. }] = &actions[..] else {
///     panic!("{actions:?}");
/// };
/// let (subject, token, era) = (subject.clone(), *token, *era);
/// assert_eq!(token, 2 << 32);
/// table.apply(LeaseEvent::Acquired { subject, token, era, revision: 41 }, second(7));
/// let authority = table.authority(&DutySubject::Usage, second(7)).unwrap();
/// assert_eq!(authority.token, token);
/// assert!(authority.valid_until < second(13));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseTable {
    policy: LeasePolicy,
    duties: IndexMap<DutySubject, DutyState>,
    candidates: CandidateList,
    lease: VmLease,
    api: ApiHealth,
    era: Option<StoreEra>,
    /// When the first response of the era was seen.
    era_since: Option<Duration>,
    /// Whether the response whose content is passed in is of the era.
    is_current: bool,
    /// Revision as of which all keys were read.
    listed: Option<StoreRevision>,
    stopping: bool,
    /// When the caller last called.
    called: Option<Duration>,
    changes: Vec<HolderChange>,
}

impl LeaseTable {
    /// Returns the table of a VM that wants nothing yet.
    pub fn new(policy: LeasePolicy) -> Self {
        LeaseTable {
            policy,
            duties: IndexMap::new(),
            candidates: CandidateList::default(),
            lease: VmLease::default(),
            api: ApiHealth::default(),
            era: None,
            era_since: None,
            is_current: false,
            listed: None,
            stopping: false,
            called: None,
            changes: Vec::new(),
        }
    }

    /// Sets the subjects that this VM may hold. Those that are no longer among them
    /// are released.
    pub fn set_subjects(&mut self, subjects: impl IntoIterator<Item = DutySubject>, now: Duration) {
        self.note_call(now);
        for duty in self.duties.values_mut() {
            duty.wanted = false;
        }
        for subject in subjects {
            let duty = self.duties.entry(subject);
            duty.or_insert_with(|| DutyState::new(self.listed, now))
                .wanted = true;
        }
        for index in 0..self.duties.len() {
            if !self.duties[index].wanted {
                self.give_up(index, ChangeReason::NotWanted, now);
            }
        }
    }

    /// Takes in what happened.
    pub fn apply(&mut self, event: LeaseEvent, now: Duration) {
        self.note_call(now);
        match event {
            LeaseEvent::Responded { era } => self.note_era(era, now),
            LeaseEvent::Listed { revision } => self.note_listed(revision, now),
            LeaseEvent::HolderSeen {
                subject,
                record,
                revision,
            } => self.note_holder(subject, record, revision, now),
            LeaseEvent::TokenSeen {
                subject,
                record,
                revision,
            } => self.note_token(subject, record, revision, now),
            LeaseEvent::LeaseOpened { lease, sent } if self.is_current => {
                self.lease.record_opening(lease, sent, &self.policy);
            }
            LeaseEvent::LeaseRenewed { lease, sent } if self.is_current => {
                self.lease.record_renewal(lease, sent, &self.policy);
            }
            LeaseEvent::LeaseExpired { lease }
                if self.is_current && self.lease.id() == Some(lease) =>
            {
                self.lease.record_failure(now);
                self.lose_lease(ChangeReason::LeaseExpired, now);
            }
            LeaseEvent::LeaseOpened { .. }
            | LeaseEvent::LeaseRenewed { .. }
            | LeaseEvent::LeaseExpired { .. }
            | LeaseEvent::LeaseCallFailed => self.lease.record_failure(now),
            LeaseEvent::Acquired {
                subject,
                token,
                era,
                revision,
            } => self.note_acquired(&subject, token, (era, revision), now),
            LeaseEvent::AcquireFailed { subject } | LeaseEvent::ReleaseFailed { subject } => {
                if let Some(duty) = self.duties.get_mut(&subject) {
                    duty.note_failure(now + RETRY_DELAY);
                }
            }
            LeaseEvent::Released { subject } => self.note_released(&subject, now),
            LeaseEvent::ApiAnswered { .. } => self.api.record_answer(),
            LeaseEvent::ApiFailed { subject } => self.note_api_failure(&subject, now),
            LeaseEvent::VmsChanged(vms) => {
                if self.candidates.replace(vms) {
                    self.duties.values_mut().for_each(|duty| duty.rank = None);
                }
            }
            LeaseEvent::Stopping => {
                self.stopping = true;
                self.give_up_all(ChangeReason::Stopping, now);
            }
        }
    }

    /// Returns the store calls that are due. A call is returned once until its result
    /// is applied or counts as lost; they may be made later, one after the other.
    pub fn poll(&mut self, now: Duration) -> Vec<LeaseAction> {
        self.note_call(now);
        self.time_out(now);
        let mut actions = Vec::new();
        if let Some(lease) = self.lease.take_renewal(now) {
            actions.push(LeaseAction::RenewLease { lease });
        }
        self.rank_candidates(now);
        let wants_lease = self.poll_duties(now, &mut actions);
        if wants_lease || self.duties.values().any(DutyState::needs_lease) {
            self.lease.mark_used(now);
        }
        if wants_lease && self.lease.take_opening(now) {
            let ttl = self.policy.ttl;
            actions.push(LeaseAction::OpenLease { ttl });
        }
        actions.extend(self.end_idle_lease(now));
        actions
    }

    /// Returns when [`poll`](Self::poll) has to be called again at the latest.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let regular = self.lease.open.map(|_| now + POLL_INTERVAL);
        let idle = self.lease.idle_at(self.policy.ttl);
        let duties = self
            .duties
            .values()
            .filter_map(|duty| self.duty_due(duty, now));
        let dues = [regular, idle, self.lease.next_due()];
        dues.into_iter().flatten().chain(duties).min()
    }

    /// Returns the right of this VM to begin a call now, if it has it: the call must
    /// be able to end while the lease is valid, and a process that was frozen has to
    /// renew the lease first.
    pub fn authority(&self, subject: &DutySubject, now: Duration) -> Option<Authority> {
        let duty = self.duties.get(subject)?;
        let (DutyRole::Holding(asked), Some(record)) = (duty.role, duty.record()) else {
            return None;
        };
        let lease = self.lease.open?;
        let valid_until = self.policy.valid_until(lease.sent);
        let frozen = now.saturating_sub(self.called?) > FREEZE_GAP;
        let asked_again = asked.max(lease.sent) >= self.lease.thawed;
        let in_time = now + self.policy.call_timeout < valid_until;
        (!frozen && asked_again && in_time).then_some(Authority {
            token: record.token,
            valid_until,
            holder_revision: record.revision,
        })
    }

    /// Begins a call to the platform's API, if this VM may make it. A release waits
    /// for [`end_call`](Self::end_call).
    pub fn begin_call(&mut self, subject: &DutySubject, now: Duration) -> Option<Authority> {
        self.note_call(now);
        let authority = self.authority(subject, now)?;
        let duty = self.duties.get_mut(subject)?;
        duty.calls += 1;
        duty.call_began = Some(now);
        Some(authority)
    }

    /// Ends a call that completed or was aborted.
    pub fn end_call(&mut self, subject: &DutySubject) {
        if let Some(duty) = self.duties.get_mut(subject) {
            duty.calls = duty.calls.saturating_sub(1);
        }
    }

    /// Returns the holder as last seen.
    pub fn holder(&self, subject: &DutySubject) -> Option<&HolderRecord> {
        self.duties.get(subject)?.record()
    }

    /// Returns the first candidates for a subject, in order.
    pub fn candidates(&self, subject: &DutySubject, most: usize) -> Vec<&str> {
        self.candidates.first(subject, most)
    }

    /// Returns all holders as last seen.
    pub fn holdings(&self) -> impl Iterator<Item = HoldingView<'_>> {
        let held = self.duties.iter().filter_map(|(subject, duty)| {
            let HolderState::Present(record, since) = &duty.holder else {
                return None;
            };
            Some((subject, duty, record, *since))
        });
        held.map(|(subject, duty, record, since)| HoldingView {
            subject,
            holder: &record.vm,
            token: record.token,
            since,
            own: matches!(duty.role, DutyRole::Holding(_)),
        })
    }

    /// Returns whether the VM may end: it was told to stop, holds nothing and waits
    /// for no result.
    pub fn is_idle(&self) -> bool {
        let in_use = self.duties.values().any(DutyState::needs_lease);
        self.stopping && !in_use && self.lease.open.is_none() && !self.lease.is_in_flight()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<HolderChange> {
        std::mem::take(&mut self.changes)
    }

    /// Notices whether this process was frozen since the last call.
    fn note_call(&mut self, now: Duration) {
        if self
            .called
            .is_some_and(|called| now.saturating_sub(called) > FREEZE_GAP)
        {
            self.lease.record_thaw(now);
        }
        self.called = self.called.max(Some(now));
    }

    fn note_era(&mut self, era: Option<StoreEra>, now: Duration) {
        if self.era_since.is_none() || self.era < era {
            self.era = era;
            self.era_since = Some(now);
            self.listed = None;
            self.lose_lease(ChangeReason::EraChanged, now);
            self.duties.values_mut().for_each(DutyState::forget_keys);
        }
        self.is_current = self.era == era;
    }

    fn note_listed(&mut self, revision: StoreRevision, now: Duration) {
        if !self.is_current {
            return;
        }
        self.listed = Some(revision);
        for index in 0..self.duties.len() {
            self.duties[index].note_listed(revision, now);
            self.settle(index, ChangeReason::FoundInStore, now);
        }
    }

    /// Returns the index of a subject, which needn't be one that this VM may hold.
    fn duty_index(&mut self, subject: DutySubject, now: Duration) -> usize {
        let entry = self.duties.entry(subject);
        let index = entry.index();
        entry.or_insert_with(|| DutyState::new(self.listed, now));
        index
    }

    fn note_holder(
        &mut self,
        subject: DutySubject,
        record: Option<HolderRecord>,
        revision: StoreRevision,
        now: Duration,
    ) {
        if self.is_current {
            let index = self.duty_index(subject, now);
            self.duties[index].note_holder(record, revision, now);
            self.settle(index, ChangeReason::FoundInStore, now);
        }
    }

    fn note_token(
        &mut self,
        subject: DutySubject,
        record: Option<TokenRecord>,
        revision: StoreRevision,
        now: Duration,
    ) {
        if self.is_current {
            let index = self.duty_index(subject, now);
            self.duties[index].note_token(record, revision);
        }
    }

    fn note_acquired(
        &mut self,
        subject: &DutySubject,
        token: FencingToken,
        (era, revision): (Option<StoreEra>, StoreRevision),
        now: Duration,
    ) {
        let Some(index) = self.duties.get_index_of(subject) else {
            return;
        };
        let duty = &mut self.duties[index];
        duty.note_failure(now + RETRY_DELAY);
        let counts = self.is_current && era == self.era;
        let lease = self.lease.id();
        let matching = duty
            .attempt
            .filter(|attempt| counts && attempt.token == token && Some(attempt.lease) == lease);
        let Some(attempt) = matching else {
            self.record_change(index, ChangeKind::Refused, ChangeReason::Superseded, token);
            return;
        };
        let record = HolderRecord {
            vm: self.policy.vm.clone(),
            token,
            lease: attempt.lease,
            revision,
        };
        duty.note_holder(Some(record), revision, now);
        duty.note_token(Some(TokenRecord { token, revision }), revision);
        self.settle(index, ChangeReason::Committed, now);
    }

    fn note_released(&mut self, subject: &DutySubject, now: Duration) {
        let Some(index) = self.duties.get_index_of(subject) else {
            return;
        };
        let duty = &mut self.duties[index];
        duty.note_failure(now + RETRY_DELAY);
        if let Some(revision) = duty.releasing.take_if(|_| self.is_current) {
            duty.note_removal(revision, now);
            self.settle(index, ChangeReason::KeyRemoved, now);
        }
    }

    fn note_api_failure(&mut self, subject: &DutySubject, now: Duration) {
        let duty = self.duties.get(subject);
        let began = duty.and_then(|duty| duty.call_began).unwrap_or(now);
        if self.api.record_failure(began, now, &self.policy) {
            self.give_up_all(ChangeReason::ApiUnreachable, now);
        }
    }

    /// Returns whether a holder key is this process's own: only it renews the lease.
    fn is_own(&self, record: &HolderRecord) -> bool {
        record.vm == self.policy.vm
            && Some(record.lease) == self.lease.id()
            && record.token >= self.token_floor()
    }

    /// Returns the first token of the era.
    fn token_floor(&self) -> FencingToken {
        self.era.unwrap_or(0).min(MAX_ERA) << ERA_SHIFT
    }

    /// Brings the part of this process in a duty into line with the holder key.
    fn settle(&mut self, index: usize, reason: ChangeReason, now: Duration) {
        let duty = &self.duties[index];
        let record = duty.record();
        let own = record.filter(|record| self.is_own(record));
        match (duty.role, own) {
            (DutyRole::Candidate, Some(record)) => {
                let token = record.token;
                let attempt = duty.attempt.filter(|attempt| attempt.token == token);
                let refusal = self.refusal(duty, now);
                let duty = &mut self.duties[index];
                if let Some(refusal) = refusal {
                    duty.role = DutyRole::Leaving(refusal);
                    self.record_change(index, ChangeKind::Refused, refusal, token);
                } else {
                    let asked = attempt.map_or(Duration::ZERO, |attempt| attempt.asked);
                    duty.role = DutyRole::Holding(asked);
                    self.record_change(index, ChangeKind::Acquired, reason, token);
                }
            }
            (DutyRole::Holding(_), None) => {
                let reason = match record {
                    Some(_) => ChangeReason::OtherHolder,
                    None => ChangeReason::KeyRemoved,
                };
                self.leave(index, reason, now);
            }
            (DutyRole::Leaving(reason), None) => self.leave(index, reason, now),
            (DutyRole::Candidate, None)
            | (DutyRole::Holding(_) | DutyRole::Leaving(_), Some(_)) => {}
        }
    }

    /// Returns why an acquisition that is found in the store can't be kept.
    fn refusal(&self, duty: &DutyState, now: Duration) -> Option<ChangeReason> {
        if self.stopping {
            Some(ChangeReason::Stopping)
        } else if !duty.wanted {
            Some(ChangeReason::NotWanted)
        } else if now < self.api.paused_until {
            Some(ChangeReason::ApiUnreachable)
        } else if now < duty.paused_until {
            Some(ChangeReason::Paused)
        } else {
            None
        }
    }

    /// Ends this process's part in a duty whose key is no longer its own.
    fn leave(&mut self, index: usize, reason: ChangeReason, now: Duration) {
        let duty = &mut self.duties[index];
        let kind = match std::mem::take(&mut duty.role) {
            DutyRole::Candidate => return,
            DutyRole::Holding(_) => ChangeKind::Lost,
            DutyRole::Leaving(_) => ChangeKind::Released,
        };
        let token = duty.attempt.take().map_or(0, |attempt| attempt.token);
        duty.paused_until = now + self.policy.ttl;
        self.record_change(index, kind, reason, token);
    }

    /// Gives up a duty; its key is released once no call is in progress.
    fn give_up(&mut self, index: usize, reason: ChangeReason, now: Duration) {
        let duty = &mut self.duties[index];
        if matches!(duty.role, DutyRole::Holding(_)) {
            duty.role = DutyRole::Leaving(reason);
            duty.paused_until = now + self.policy.ttl;
            duty.retry_at = now;
        }
    }

    fn give_up_all(&mut self, reason: ChangeReason, now: Duration) {
        for index in 0..self.duties.len() {
            self.give_up(index, reason, now);
        }
    }

    /// Ends all duties with the lease that their keys were attached to.
    fn lose_lease(&mut self, reason: ChangeReason, now: Duration) {
        for index in 0..self.duties.len() {
            self.leave(index, reason, now);
            self.duties[index].attempt = None;
        }
        self.lease.forget();
    }

    fn record_change(
        &mut self,
        index: usize,
        kind: ChangeKind,
        reason: ChangeReason,
        token: FencingToken,
    ) {
        let Some((subject, duty)) = self.duties.get_index(index) else {
            return;
        };
        self.changes.push(HolderChange {
            subject: subject.clone(),
            kind,
            reason,
            token,
            era: self.era,
            rank: duty.rank,
            lease_age: self
                .lease
                .open
                .zip(self.called)
                .map(|(lease, now)| now.saturating_sub(lease.sent)),
        });
    }

    fn time_out(&mut self, now: Duration) {
        self.lease.time_out(now);
        for duty in self.duties.values_mut() {
            if duty.is_overdue(now) {
                duty.note_failure(now);
            }
        }
    }

    /// Returns from when the delay of a candidate counts: since the key is absent or
    /// outdated, but not before an earlier holder's lease must have ended.
    fn vacant_since(&self, duty: &DutyState) -> Option<Duration> {
        let since = match &duty.holder {
            HolderState::Absent(since) => *since,
            // The key is of an earlier era: its lease may not exist any more.
            HolderState::Present(record, since) if record.token < self.token_floor() => *since,
            HolderState::Present(..) | HolderState::Unknown => return None,
        };
        let eligible = duty.wanted && !self.stopping && duty.calls == 0 && duty.token.is_some();
        let candidate = matches!(duty.role, DutyRole::Candidate);
        let waited = self.era_since? + self.policy.ttl;
        (eligible && candidate && duty.asked.is_none()).then_some(since.max(waited))
    }

    /// Computes the ranks that are needed by now; each costs a hash for each VM.
    fn rank_candidates(&mut self, now: Duration) {
        for index in 0..self.duties.len() {
            let duty = &self.duties[index];
            let needed = self.vacant_since(duty).is_some_and(|since| since <= now);
            if needed && duty.rank.is_none() {
                let (subject, _) = self.duties.get_index(index).expect("the index is in range");
                let rank = self.candidates.rank(subject, &self.policy.vm);
                self.duties[index].rank = Some(rank);
            }
        }
    }

    /// Returns when a candidate may try to acquire, or has to find out its rank.
    fn candidate_due(&self, duty: &DutyState) -> Option<Duration> {
        let since = self.vacant_since(duty)?;
        let Some(rank) = duty.rank else {
            return Some(since);
        };
        let pauses = duty.paused_until.max(self.api.paused_until);
        let delayed = since + self.policy.delay(rank);
        Some(delayed.max(pauses).max(duty.retry_at))
    }

    /// Returns when a key that is to be released may be.
    fn release_due(duty: &DutyState) -> Option<Duration> {
        let leaving = matches!(duty.role, DutyRole::Leaving(_));
        (leaving && duty.calls == 0 && duty.asked.is_none()).then_some(duty.retry_at)
    }

    fn duty_due(&self, duty: &DutyState, now: Duration) -> Option<Duration> {
        if let Some(asked) = duty.asked {
            return Some(asked + RESULT_TIMEOUT);
        }
        let due = Self::release_due(duty).or_else(|| self.candidate_due(duty))?;
        let lease_due = match self.lease.open {
            Some(_) => Duration::ZERO,
            None => self.lease.opening_due(),
        };
        // What is due already waits for a result or a renewal.
        let due = due.max(lease_due);
        (due > now || duty.rank.is_none()).then_some(due)
    }

    /// Adds the transactions that are due, those first that have waited longest;
    /// returns whether a lease has to be opened for one.
    fn poll_duties(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) -> bool {
        let in_flight = self.duties.values().filter(|duty| duty.asked.is_some());
        let free = MAX_IN_FLIGHT.saturating_sub(in_flight.count());
        let mut due = self
            .duties
            .values()
            .enumerate()
            .filter_map(|(index, duty)| {
                let due = Self::release_due(duty).or_else(|| self.candidate_due(duty))?;
                (due <= now).then_some((due, index))
            })
            .collect::<Vec<_>>();
        due.sort_unstable();
        let mut wants_lease = false;
        for (_, index) in due.into_iter().take(free) {
            wants_lease |= self.poll_duty(index, now, actions);
        }
        wants_lease
    }

    /// Adds the transaction of a duty; returns whether a lease has to be opened for
    /// it.
    fn poll_duty(&mut self, index: usize, now: Duration, actions: &mut Vec<LeaseAction>) -> bool {
        let (subject, duty) = self.duties.get_index(index).expect("the index is in range");
        let subject = subject.clone();
        if let Some(record) = duty.record() {
            let revision = record.revision;
            let duty = &mut self.duties[index];
            duty.asked = Some(now);
            duty.releasing = Some(revision);
            actions.push(LeaseAction::Release { subject, revision });
            return false;
        }
        let last = duty.token.expect("the token of a candidate is known");
        let Some(token) = self.next_token(last.token) else {
            self.duties[index].retry_at = now + self.policy.unreachable_pause;
            self.record_change(index, ChangeKind::Refused, ChangeReason::EraTooLarge, 0);
            return false;
        };
        let Some(lease) = self.lease.open else {
            return true;
        };
        if self.policy.valid_until(lease.sent) <= now + self.policy.call_timeout {
            return true;
        }
        let duty = &mut self.duties[index];
        duty.asked = Some(now);
        duty.attempt = Some(AcquireAttempt {
            token,
            lease: lease.id,
            asked: now,
        });
        actions.push(LeaseAction::Acquire {
            subject,
            token,
            lease: lease.id,
            token_revision: last.revision,
            era: self.era,
        });
        false
    }

    fn next_token(&self, last: FencingToken) -> Option<FencingToken> {
        let fits = self.era.is_none_or(|era| era <= MAX_ERA);
        let next = last.checked_add(1)?;
        fits.then_some(next.max(self.token_floor()))
    }

    /// Ends the lease if nothing has needed it for a TTL, or the VM stops.
    fn end_idle_lease(&mut self, now: Duration) -> Option<LeaseAction> {
        let idle_at = self.lease.idle_at(self.policy.ttl)?;
        let needed = self.duties.values().any(DutyState::needs_lease);
        if needed || (now < idle_at && !self.stopping) {
            return None;
        }
        let lease = self.lease.id()?;
        self.lose_lease(ChangeReason::LeaseExpired, now);
        Some(LeaseAction::EndLease { lease })
    }
}
