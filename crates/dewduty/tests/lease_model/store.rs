//! A store with leases, conditions and eras, in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use dewduty::lease::{
    DutySubject, HolderRecord, LeaseAction, LeaseEvent, LeaseId, StoreEra, StoreRevision,
    TokenRecord,
};

/// True time in microseconds since the start of a case.
pub type TrueTime = u64;

/// A call of a VM.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    Action(LeaseAction),
    List,
}

impl StoreRequest {
    /// Returns the event for the table if the call fails.
    pub fn failure(&self) -> Vec<LeaseEvent> {
        let StoreRequest::Action(action) = self else {
            return vec![];
        };
        match action.clone() {
            LeaseAction::OpenLease { .. } | LeaseAction::RenewLease { .. } => {
                vec![LeaseEvent::LeaseCallFailed]
            }
            LeaseAction::Acquire { subject, .. } => vec![LeaseEvent::AcquireFailed { subject }],
            LeaseAction::Release { subject, .. } => vec![LeaseEvent::ReleaseFailed { subject }],
            LeaseAction::EndLease { .. } => vec![],
        }
    }
}

/// What happens to leases when the store returns from a copy.
#[derive(Clone, Copy, Debug)]
pub enum RestoredLeases {
    /// They run from the restart.
    Renewed,
    /// They are gone, but their keys aren't.
    KeysWithoutLease,
    /// They are gone with their keys.
    Removed,
}

#[derive(Clone, Debug, Default)]
struct StoreData {
    revision: StoreRevision,
    holders: BTreeMap<DutySubject, HolderRecord>,
    tokens: BTreeMap<DutySubject, TokenRecord>,
    /// TTL and end of each lease.
    leases: BTreeMap<LeaseId, (TrueTime, TrueTime)>,
    last_lease: LeaseId,
}

#[derive(Debug, Default)]
pub struct ModelStore {
    pub era: StoreEra,
    data: StoreData,
    copies: Vec<StoreData>,
    /// Since when the store is down, and whether leases pause meanwhile.
    pub down: Option<(TrueTime, bool)>,
    /// Subjects whose keys have changed and were not yet reported to watches.
    pub changed: Vec<DutySubject>,
}

impl ModelStore {
    pub fn revision(&self) -> StoreRevision {
        self.data.revision
    }

    pub fn copy(&mut self) {
        self.copies.push(self.data.clone());
    }

    /// Returns from the copy that was taken this many copies ago.
    pub fn restore(&mut self, age: usize, leases: RestoredLeases, now: TrueTime) {
        let index = self.copies.len().saturating_sub(age);
        self.copies.truncate(index.max(1));
        self.data = self.copies.last().cloned().unwrap_or_default();
        self.era += 1;
        match leases {
            RestoredLeases::Renewed => {
                let all = self.data.leases.values_mut();
                all.for_each(|(ttl, end)| *end = now + *ttl);
            }
            RestoredLeases::KeysWithoutLease => self.data.leases.clear(),
            RestoredLeases::Removed => {
                self.data.leases.clear();
                self.data.holders.clear();
            }
        }
    }

    pub fn end_outage(&mut self, now: TrueTime) {
        if let Some((since, true)) = self.down.take() {
            let all = self.data.leases.values_mut();
            all.for_each(|(_, end)| *end += now - since);
        }
    }

    /// Removes the leases that have ended, with their keys.
    pub fn expire(&mut self, now: TrueTime) {
        if matches!(self.down, Some((_, true))) {
            return;
        }
        let mut ended = Vec::new();
        self.data.leases.retain(|id, (_, end)| {
            let lives = *end > now;
            ended.extend((!lives).then_some(*id));
            lives
        });
        ended.into_iter().for_each(|lease| self.remove_keys(lease));
    }

    pub fn next_expiry(&self) -> Option<TrueTime> {
        self.data.leases.values().map(|(_, end)| *end).min()
    }

    fn remove_keys(&mut self, lease: LeaseId) {
        let before = self.changed.len();
        self.data.holders.retain(|subject, record| {
            let stays = record.lease != lease;
            self.changed.extend((!stays).then(|| subject.clone()));
            stays
        });
        self.data.revision += u64::from(self.changed.len() > before);
    }

    /// Returns what is known of both keys.
    pub fn seen(&self, subject: &DutySubject) -> [LeaseEvent; 2] {
        let revision = self.data.revision;
        [
            LeaseEvent::HolderSeen {
                subject: subject.clone(),
                record: self.data.holders.get(subject).cloned(),
                revision,
            },
            LeaseEvent::TokenSeen {
                subject: subject.clone(),
                record: self.data.tokens.get(subject).copied(),
                revision,
            },
        ]
    }

    /// Executes a call; returns what the response tells the table.
    pub fn execute(
        &mut self,
        vm: &str,
        request: &StoreRequest,
        sent: Duration,
        now: TrueTime,
    ) -> Vec<LeaseEvent> {
        let action = match request {
            StoreRequest::List => {
                let revision = self.data.revision;
                let subjects = self.data.tokens.keys();
                let seen = subjects.flat_map(|subject| self.seen(subject));
                let present = seen
                    .filter(|event| !matches!(event, LeaseEvent::HolderSeen { record: None, .. }));
                return present.chain([LeaseEvent::Listed { revision }]).collect();
            }
            StoreRequest::Action(action) => action.clone(),
        };
        match action {
            LeaseAction::OpenLease { ttl } => {
                let ttl = u64::try_from(ttl.as_micros()).unwrap();
                self.data.last_lease += 1;
                let lease = self.data.last_lease;
                self.data.leases.insert(lease, (ttl, now + ttl));
                vec![LeaseEvent::LeaseOpened { lease, sent }]
            }
            LeaseAction::RenewLease { lease } => match self.data.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    vec![LeaseEvent::LeaseRenewed { lease, sent }]
                }
                None => vec![LeaseEvent::LeaseExpired { lease }],
            },
            LeaseAction::EndLease { lease } => {
                self.data.leases.remove(&lease);
                self.remove_keys(lease);
                vec![]
            }
            LeaseAction::Release { subject, revision } => {
                let holder = self.data.holders.get(&subject);
                if holder.map(|record| record.revision) != Some(revision) {
                    let seen = self.seen(&subject).into_iter();
                    return seen
                        .chain([LeaseEvent::ReleaseFailed { subject }])
                        .collect();
                }
                self.data.holders.remove(&subject);
                self.data.revision += 1;
                self.changed.push(subject.clone());
                vec![LeaseEvent::Released { subject }]
            }
            LeaseAction::Acquire {
                subject,
                token,
                lease,
                token_revision,
                ..
            } => {
                if !self.data.leases.contains_key(&lease) {
                    let expired = LeaseEvent::LeaseExpired { lease };
                    return vec![expired, LeaseEvent::AcquireFailed { subject }];
                }
                let last = self.data.tokens.get(&subject);
                let expected = last.map_or(0, |last| last.revision) == token_revision;
                if !expected || self.data.holders.contains_key(&subject) {
                    let seen = self.seen(&subject).into_iter();
                    return seen
                        .chain([LeaseEvent::AcquireFailed { subject }])
                        .collect();
                }
                self.data.revision += 1;
                let revision = self.data.revision;
                let record = HolderRecord {
                    vm: vm.to_string(),
                    token,
                    lease,
                    revision,
                };
                self.data.holders.insert(subject.clone(), record);
                let record = TokenRecord { token, revision };
                self.data.tokens.insert(subject.clone(), record);
                self.changed.push(subject.clone());
                let era = Some(self.era);
                vec![LeaseEvent::Acquired {
                    subject,
                    token,
                    era,
                    revision,
                }]
            }
        }
    }
}
