//! Which store calls are due, and when.
//!
//! The main invariant: a transaction is returned only while no other VM can have
//! acquired anything in an era that this VM doesn't know of.

use std::time::Duration;

use super::{LeaseTable, MAX_ERA, MAX_IN_FLIGHT};
use crate::lease::duty::{AcquireAttempt, DutyRole, DutyState, HolderState};
use crate::lease::vm_lease::RESULT_TIMEOUT;
use crate::lease::{ChangeKind, ChangeReason, FencingToken, LeaseAction};

impl LeaseTable {
    pub(super) fn time_out(&mut self, now: Duration) {
        self.lease.time_out(now);
        for duty in self.duties.values_mut() {
            if duty.is_overdue(now) {
                duty.end_transaction(now);
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
    pub(super) fn rank_candidates(&mut self, now: Duration) {
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

    pub(super) fn duty_due(&self, duty: &DutyState, now: Duration) -> Option<Duration> {
        if let Some(asked) = duty.asked {
            return Some(asked + RESULT_TIMEOUT);
        }
        let due = Self::release_due(duty).or_else(|| self.candidate_due(duty))?;
        let lease_due = match self.lease.open {
            Some(_) => Duration::ZERO,
            None => self.lease.opening_due(),
        };
        let due = due.max(lease_due);
        let unranked = duty.rank.is_none() && matches!(duty.role, DutyRole::Candidate);
        // What is due already waits for a result or a renewal.
        (due > now || unranked).then_some(due)
    }

    /// Adds the transactions that are due, those first that have waited longest;
    /// returns whether a lease has to be opened for one.
    pub(super) fn poll_duties(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) -> bool {
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

    /// Adds the transaction of a duty; returns whether it waits for the lease. The
    /// lease must have been confirmed recently: if the store has meanwhile returned
    /// from a copy, revisions have other meanings, and the transaction could remove
    /// the key of a new holder or set the token back. Within a TTL of the
    /// confirmation, the new era has no holder yet.
    fn poll_duty(&mut self, index: usize, now: Duration, actions: &mut Vec<LeaseAction>) -> bool {
        let Some(lease) = self.lease.open else {
            return true;
        };
        if now > lease.sent + self.policy.send_window() {
            self.lease.hasten_renewal(now);
            return true;
        }
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
    pub(super) fn end_idle_lease(&mut self, now: Duration) -> Option<LeaseAction> {
        let idle_at = self.lease.idle_at(self.policy.ttl)?;
        let needed = self.duties.values().any(DutyState::needs_lease);
        if needed || (now < idle_at && !self.stopping) {
            return None;
        }
        let lease = self.lease.open?;
        self.lose_lease(ChangeReason::LeaseExpired, now);
        // The id may be another VM's in a new era. Without a call, the lease expires.
        let confirmed = now <= lease.sent + self.policy.send_window();
        confirmed.then_some(LeaseAction::EndLease { lease: lease.id })
    }
}
