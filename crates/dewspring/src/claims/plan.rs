//! What one message does to a page, as plain functions.
//!
//! A plan changes a draft of the page; the change is true only once the store
//! took the draft.

use std::time::Instant;

use super::key::{ClaimKey, ClaimNonce};
use super::messages::{ClaimRequest, RecordedOutcome};
use super::page::{ClaimState, LedgerClaim, LedgerPage};
use crate::store::ExpectedVersion;

/// Minutes by which the clocks of VMs and callers may differ.
pub(super) const CLOCK_SKEW_MINUTES: u64 = 5;

/// The time as the decisions need it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimTime {
    pub now: Instant,
    /// Minutes since the Unix epoch by the VM's wall clock.
    pub minute: u64,
}

/// Identity of a message within its writer.
pub(super) type WorkId = u64;

/// What is to be done on a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WorkKind {
    /// Make this claim.
    Claim(ClaimRequest),
    /// Record the outcome of an own claim.
    Record(RecordedOutcome),
    /// Take back an own claim whose request was never sent.
    Release {
        /// Page version against which a write of the claim may still be under
        /// way; the release moves the page past it.
        fence: Option<ExpectedVersion>,
    },
}

/// One message for a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PageWork {
    pub id: WorkId,
    pub key: ClaimKey,
    pub nonce: ClaimNonce,
    pub kind: WorkKind,
    /// Time at which the writer took the message.
    pub accepted: Instant,
    /// Page version against which the last swap whose answer was lost was
    /// sent.
    pub unsure: Option<ExpectedVersion>,
}

/// What a message does to the page at hand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PlanResult {
    /// The draft was changed; the message is done once the draft is stored.
    Changed,
    /// The page already holds what the message wants.
    Done,
    /// Another claim holds the key.
    InProgress,
    /// Another claim of the key has this outcome.
    Repeat(RecordedOutcome),
    /// The key belongs to another request.
    KeyReused,
    /// The key is older than what the page still knows.
    Expired,
    /// The page has no room.
    PageFull,
}

/// A page as the store holds it under a version.
#[derive(Clone, Debug)]
pub(super) struct KnownPage {
    pub page: LedgerPage,
    pub version: ExpectedVersion,
}

/// Applies one message to a draft.
pub(super) fn plan_work(
    draft: &mut LedgerPage,
    version: ExpectedVersion,
    work: &PageWork,
    minute: u64,
    horizon_minutes: u64,
) -> PlanResult {
    match &work.kind {
        WorkKind::Claim(request) => plan_claim(draft, work, request, minute, horizon_minutes),
        WorkKind::Record(outcome) => plan_record(draft, work, outcome),
        WorkKind::Release { fence } => plan_release(draft, version, work, *fence),
    }
}

fn plan_claim(
    draft: &mut LedgerPage,
    work: &PageWork,
    request: &ClaimRequest,
    minute: u64,
    horizon_minutes: u64,
) -> PlanResult {
    if let Some(claim) = draft.claim(work.key) {
        return judge_existing(claim, &work.nonce, request.fingerprint);
    }
    let oldest = draft
        .pruned_before()
        .max(minute.saturating_sub(horizon_minutes));
    if !is_vouched_for(request.declared_minute, oldest, minute) {
        return PlanResult::Expired;
    }
    if !draft.has_room(&work.nonce.owner) {
        return PlanResult::PageFull;
    }
    let claim = LedgerClaim {
        nonce: work.nonce.clone(),
        fingerprint: request.fingerprint,
        created_minute: minute,
        state: ClaimState::Claimed,
    };
    draft.insert(work.key, claim);
    PlanResult::Changed
}

/// Compares the nonce of a claim that stands with the own one.
fn judge_existing(claim: &LedgerClaim, nonce: &ClaimNonce, fingerprint: u64) -> PlanResult {
    if claim.nonce == *nonce {
        return PlanResult::Done;
    }
    if claim.fingerprint != fingerprint {
        return PlanResult::KeyReused;
    }
    match &claim.state {
        ClaimState::Claimed => PlanResult::InProgress,
        ClaimState::Recorded(outcome) => PlanResult::Repeat(outcome.clone()),
    }
}

/// Tells whether a claim of a key drawn at that time would still be known.
fn is_vouched_for(declared: Option<u64>, oldest: u64, minute: u64) -> bool {
    declared.is_none_or(|declared| {
        declared >= oldest.saturating_add(CLOCK_SKEW_MINUTES)
            && declared <= minute.saturating_add(CLOCK_SKEW_MINUTES)
    })
}

fn plan_record(draft: &mut LedgerPage, work: &PageWork, outcome: &RecordedOutcome) -> PlanResult {
    match own_claim(draft, work) {
        Some(claim) if claim.state == ClaimState::Claimed => {
            draft.record(work.key, outcome);
            PlanResult::Changed
        }
        // It is recorded already, or has gone by age.
        _ => PlanResult::Done,
    }
}

fn plan_release(
    draft: &mut LedgerPage,
    version: ExpectedVersion,
    work: &PageWork,
    fence: Option<ExpectedVersion>,
) -> PlanResult {
    if own_claim(draft, work).is_some() {
        draft.remove(work.key);
        return PlanResult::Changed;
    }
    if fence == Some(version) {
        return PlanResult::Changed;
    }
    PlanResult::Done
}

fn own_claim<'a>(page: &'a LedgerPage, work: &PageWork) -> Option<&'a LedgerClaim> {
    page.claim(work.key)
        .filter(|claim| claim.nonce == work.nonce)
}
