//! The state machine that holds, acquires and releases the duties of one VM.

use std::time::Duration;

use indexmap::IndexMap;

use super::api_health::ApiHealth;
use super::candidates::CandidateList;
use super::duty::{DutyRole, DutyState, HolderState};
use super::vm_lease::{RETRY_DELAY, VmLease};
use super::{
    Authority, ChangeReason, DutySubject, HolderChange, HolderRecord, HoldingView, LeaseAction,
    LeaseEvent, LeasePolicy, StoreEra, StoreRevision,
};

mod due;
mod events;

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
                    duty.end_transaction(now + RETRY_DELAY);
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

    /// Returns the store calls that are due; to be called after events and as
    /// [`next_due`](Self::next_due) says. A call is returned once until its result
    /// is applied or counts as lost. Calls may be made later, one after the other, but
    /// one that isn't sent within [`LeasePolicy::send_window`] must be dropped and
    /// passed in as failed.
    pub fn poll(&mut self, now: Duration) -> Vec<LeaseAction> {
        self.note_call(now);
        self.time_out(now);
        let mut actions = Vec::new();
        self.rank_candidates(now);
        let wants_lease = self.poll_duties(now, &mut actions);
        if wants_lease || self.duties.values().any(DutyState::needs_lease) {
            self.lease.mark_used(now);
        }
        if wants_lease && self.lease.take_opening(now) {
            let ttl = self.policy.ttl;
            actions.push(LeaseAction::OpenLease { ttl });
        }
        if let Some(lease) = self.lease.take_renewal(now) {
            actions.insert(0, LeaseAction::RenewLease { lease });
        }
        actions.extend(self.end_idle_lease(now));
        actions
    }

    /// Returns when [`poll`](Self::poll) has to be called again at the latest, if
    /// nothing happens before.
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
}
