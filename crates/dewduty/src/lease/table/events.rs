//! What events change: the keys as seen, and this process's part in each duty.
//!
//! The main invariant: a process is the holder only by a key that is attached to the
//! lease which it renews, in the era in which the lease was opened.

use std::time::Duration;

use super::{ERA_SHIFT, FREEZE_GAP, LeaseTable, MAX_ERA};
use crate::lease::duty::{DutyRole, DutyState};
use crate::lease::vm_lease::RETRY_DELAY;
use crate::lease::{
    ChangeKind, ChangeReason, DutySubject, FencingToken, HolderChange, HolderRecord, StoreEra,
    StoreRevision, TokenRecord,
};

impl LeaseTable {
    /// Notices whether this process was frozen since the last call.
    pub(super) fn note_call(&mut self, now: Duration) {
        if self
            .called
            .is_some_and(|called| now.saturating_sub(called) > FREEZE_GAP)
        {
            self.lease.record_thaw(now);
        }
        self.called = self.called.max(Some(now));
    }

    pub(super) fn note_era(&mut self, era: Option<StoreEra>, now: Duration) {
        if self.era_since.is_none() || self.era < era {
            self.era = era;
            self.era_since = Some(now);
            self.listed = None;
            self.lose_lease(ChangeReason::EraChanged, now);
            self.duties.values_mut().for_each(DutyState::forget_keys);
        }
        self.is_current = self.era == era;
    }

    pub(super) fn note_listed(&mut self, revision: StoreRevision, now: Duration) {
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

    pub(super) fn note_holder(
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

    pub(super) fn note_token(
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

    pub(super) fn note_acquired(
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
        duty.end_transaction(now + RETRY_DELAY);
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

    pub(super) fn note_released(&mut self, subject: &DutySubject, now: Duration) {
        let Some(index) = self.duties.get_index_of(subject) else {
            return;
        };
        let duty = &mut self.duties[index];
        duty.end_transaction(now + RETRY_DELAY);
        if let Some(revision) = duty.releasing.take_if(|_| self.is_current) {
            duty.note_removal(revision, now);
            self.settle(index, ChangeReason::KeyRemoved, now);
        }
    }

    pub(super) fn note_api_failure(&mut self, subject: &DutySubject, now: Duration) {
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
    pub(super) fn token_floor(&self) -> FencingToken {
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
                    duty.retry_at = now;
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
    pub(super) fn give_up(&mut self, index: usize, reason: ChangeReason, now: Duration) {
        let duty = &mut self.duties[index];
        if matches!(duty.role, DutyRole::Holding(_)) {
            duty.role = DutyRole::Leaving(reason);
            duty.paused_until = now + self.policy.ttl;
            duty.retry_at = now;
        }
    }

    pub(super) fn give_up_all(&mut self, reason: ChangeReason, now: Duration) {
        for index in 0..self.duties.len() {
            self.give_up(index, reason, now);
        }
    }

    /// Ends all duties with the lease that their keys were attached to.
    pub(super) fn lose_lease(&mut self, reason: ChangeReason, now: Duration) {
        for index in 0..self.duties.len() {
            self.leave(index, reason, now);
            self.duties[index].attempt = None;
        }
        self.lease.forget();
    }

    pub(super) fn record_change(
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
}
