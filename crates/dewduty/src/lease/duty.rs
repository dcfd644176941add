//! What a VM knows of one subject and does about it.

use std::time::Duration;

use super::vm_lease::RESULT_TIMEOUT;
use super::{ChangeReason, FencingToken, HolderRecord, LeaseId, StoreRevision, TokenRecord};

/// The holder key as last seen, and since when it is so.
#[derive(Clone, Debug, Default)]
pub(crate) enum HolderState {
    #[default]
    Unknown,
    Absent(Duration),
    Present(HolderRecord, Duration),
}

/// Part of this process in a duty.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum DutyRole {
    /// It isn't the holder.
    #[default]
    Candidate,
    /// It is the holder; its acquisition was asked for at this time.
    Holding(Duration),
    /// The key is still its own, but is to be released.
    Leaving(ChangeReason),
}

/// The last transaction of an acquisition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcquireAttempt {
    pub(crate) token: FencingToken,
    pub(crate) lease: LeaseId,
    pub(crate) asked: Duration,
}

/// State of one subject.
#[derive(Clone, Debug, Default)]
pub(crate) struct DutyState {
    pub(crate) wanted: bool,
    pub(crate) role: DutyRole,
    pub(crate) holder: HolderState,
    holder_as_of: StoreRevision,
    /// The token key; `None` if it isn't known.
    pub(crate) token: Option<TokenRecord>,
    token_as_of: StoreRevision,
    pub(crate) attempt: Option<AcquireAttempt>,
    /// Revision of the holder key that the last release expects.
    pub(crate) releasing: Option<StoreRevision>,
    /// When the transaction in flight was returned.
    pub(crate) asked: Option<Duration>,
    pub(crate) retry_at: Duration,
    /// Until when nothing is acquired, because this VM was the holder.
    pub(crate) paused_until: Duration,
    /// Calls to the API in progress.
    pub(crate) calls: usize,
    pub(crate) call_began: Option<Duration>,
    /// Rank of this VM, once it was needed.
    pub(crate) rank: Option<usize>,
}

impl DutyState {
    /// Returns the state of a subject of which nothing was reported, when all keys
    /// were read as of this revision.
    pub(crate) fn new(listed: Option<StoreRevision>, now: Duration) -> Self {
        let mut duty = DutyState::default();
        if let Some(revision) = listed {
            duty.note_listed(revision, now);
        }
        duty
    }

    pub(crate) fn record(&self) -> Option<&HolderRecord> {
        match &self.holder {
            HolderState::Present(record, _) => Some(record),
            HolderState::Absent(_) | HolderState::Unknown => None,
        }
    }

    /// Returns whether the key is, or may become, this process's own.
    pub(crate) fn needs_lease(&self) -> bool {
        self.asked.is_some() || !matches!(self.role, DutyRole::Candidate)
    }

    /// Notes the holder key unless a later state is known.
    pub(crate) fn note_holder(
        &mut self,
        record: Option<HolderRecord>,
        revision: StoreRevision,
        now: Duration,
    ) {
        let known = !matches!(self.holder, HolderState::Unknown);
        if known && revision < self.holder_as_of {
            return;
        }
        self.holder_as_of = revision;
        match record {
            Some(record) if self.record() != Some(&record) => {
                self.holder = HolderState::Present(record, now);
            }
            None if !matches!(self.holder, HolderState::Absent(_)) => {
                self.holder = HolderState::Absent(now);
            }
            _ => {}
        }
    }

    /// Notes the token key unless a later state is known.
    pub(crate) fn note_token(&mut self, record: Option<TokenRecord>, revision: StoreRevision) {
        if self.token.is_none() || revision >= self.token_as_of {
            self.token_as_of = revision;
            self.token = Some(record.unwrap_or(TokenRecord {
                token: 0,
                revision: 0,
            }));
        }
    }

    /// Notes that keys are absent of which nothing was reported since this revision.
    pub(crate) fn note_listed(&mut self, revision: StoreRevision, now: Duration) {
        if matches!(self.holder, HolderState::Unknown) || self.holder_as_of < revision {
            self.note_holder(None, revision, now);
        }
        if self.token.is_none() || self.token_as_of < revision {
            self.note_token(None, revision);
        }
    }

    /// Notes that the key of this revision was removed.
    pub(crate) fn note_removal(&mut self, revision: StoreRevision, now: Duration) {
        if self.record().map(|record| record.revision) == Some(revision) {
            self.note_holder(None, self.holder_as_of.max(revision + 1), now);
        }
    }

    /// Forgets what was known of the store; revisions mean something else now.
    pub(crate) fn forget_keys(&mut self) {
        self.holder = HolderState::Unknown;
        self.holder_as_of = 0;
        self.token = None;
        self.token_as_of = 0;
        self.attempt = None;
        self.releasing = None;
    }

    /// Notes that the transaction in flight has ended or has no result.
    pub(crate) fn end_transaction(&mut self, retry_at: Duration) {
        self.asked = None;
        self.retry_at = retry_at;
    }

    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        self.asked
            .is_some_and(|asked| asked + RESULT_TIMEOUT <= now)
    }
}
