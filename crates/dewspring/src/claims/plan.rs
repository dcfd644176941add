//! The effect of one operation on a page, as pure functions.
//!
//! An operation is planned on a draft of the page. Its change takes effect only
//! once the store has accepted the draft.

use std::time::Instant;

use super::key::{ClaimKey, ClaimNonce};
use super::messages::{ClaimRequest, RecordedOutcome};
use super::page::{ClaimState, LedgerClaim, LedgerPage};
use crate::store::ExpectedVersion;

/// Largest tolerated difference between the clocks of VMs and callers, in
/// minutes.
pub(super) const MAX_CLOCK_SKEW_MINUTES: u64 = 5;

/// The current time, on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimTime {
    pub now: Instant,
    /// Minutes since the Unix epoch by the VM's wall clock.
    pub minute: u64,
}

/// Identifier of an operation within its writer.
pub(super) type OperationId = u64;

/// The kinds of operations on a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum OperationKind {
    /// Makes this claim.
    Claim(ClaimRequest),
    /// Records the outcome of a claim that this daemon made.
    Record(RecordedOutcome),
    /// Removes a claim of this daemon whose request was never sent.
    Release {
        /// Expected version of a swap of the claim that may still be in
        /// flight. If the page is at this version, the release writes it even
        /// without the claim, so that the late swap conflicts.
        fence: Option<ExpectedVersion>,
    },
}

/// One pending operation on a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PageOperation {
    pub id: OperationId,
    pub key: ClaimKey,
    pub nonce: ClaimNonce,
    pub kind: OperationKind,
    /// Time at which the writer received the operation.
    pub accepted_at: Instant,
    /// Expected version of the last swap whose response was lost; that swap may
    /// have taken effect.
    pub unconfirmed_swap: Option<ExpectedVersion>,
}

/// The result of planning an operation on a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PlanResult {
    /// The draft was changed; the operation is done once the draft is stored.
    Changed,
    /// The page already has the state that the operation asks for.
    Done,
    /// Another claim holds the key and has no outcome yet.
    InProgress,
    /// The request ran under another claim of the key, with this outcome.
    AlreadyRun(RecordedOutcome),
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// Claims of the key's declared time may have been pruned, or that time
    /// lies in the future.
    Expired,
    /// The page has no capacity for another claim.
    PageFull,
}

/// A page and its version in the store.
#[derive(Clone, Debug)]
pub(super) struct VersionedPage {
    pub page: LedgerPage,
    pub version: ExpectedVersion,
}

/// Applies one operation to a draft of the page.
pub(super) fn plan_operation(
    draft: &mut LedgerPage,
    version: ExpectedVersion,
    operation: &PageOperation,
    minute: u64,
    retention_minutes: u64,
) -> PlanResult {
    match &operation.kind {
        OperationKind::Claim(request) => {
            plan_claim(draft, operation, request, minute, retention_minutes)
        }
        OperationKind::Record(outcome) => plan_record(draft, operation, outcome),
        OperationKind::Release { fence } => plan_release(draft, version, operation, *fence),
    }
}

fn plan_claim(
    draft: &mut LedgerPage,
    operation: &PageOperation,
    request: &ClaimRequest,
    minute: u64,
    retention_minutes: u64,
) -> PlanResult {
    if let Some(claim) = draft.claim(operation.key) {
        return classify_existing(claim, &operation.nonce, request.fingerprint);
    }
    let oldest = draft
        .pruned_before()
        .max(minute.saturating_sub(retention_minutes));
    if !is_declared_time_valid(request.declared_minute, oldest, minute) {
        return PlanResult::Expired;
    }
    if !draft.has_capacity(&operation.nonce.owner) {
        return PlanResult::PageFull;
    }
    let claim = LedgerClaim {
        nonce: operation.nonce.clone(),
        fingerprint: request.fingerprint,
        created_minute: minute,
        state: ClaimState::Claimed,
    };
    draft.insert(operation.key, claim);
    PlanResult::Changed
}

/// Returns the result for a key that already has a claim on the page.
fn classify_existing(claim: &LedgerClaim, nonce: &ClaimNonce, fingerprint: u64) -> PlanResult {
    if claim.nonce == *nonce {
        return PlanResult::Done;
    }
    if claim.fingerprint != fingerprint {
        return PlanResult::KeyReused;
    }
    match &claim.state {
        ClaimState::Claimed => PlanResult::InProgress,
        ClaimState::Recorded(outcome) => PlanResult::AlreadyRun(outcome.clone()),
    }
}

/// Returns whether the page still holds all claims of keys that were chosen at
/// the declared time, and that time doesn't lie in the future. A key without a
/// declared time is always valid.
fn is_declared_time_valid(declared: Option<u64>, oldest: u64, minute: u64) -> bool {
    declared.is_none_or(|declared| {
        declared >= oldest.saturating_add(MAX_CLOCK_SKEW_MINUTES)
            && declared <= minute.saturating_add(MAX_CLOCK_SKEW_MINUTES)
    })
}

fn plan_record(
    draft: &mut LedgerPage,
    operation: &PageOperation,
    outcome: &RecordedOutcome,
) -> PlanResult {
    match own_claim(draft, operation) {
        Some(claim) if claim.state == ClaimState::Claimed => {
            draft.record(operation.key, outcome);
            PlanResult::Changed
        }
        // The outcome is already recorded, or the claim was pruned.
        _ => PlanResult::Done,
    }
}

fn plan_release(
    draft: &mut LedgerPage,
    version: ExpectedVersion,
    operation: &PageOperation,
    fence: Option<ExpectedVersion>,
) -> PlanResult {
    if own_claim(draft, operation).is_some() {
        draft.remove(operation.key);
        return PlanResult::Changed;
    }
    if fence == Some(version) {
        return PlanResult::Changed;
    }
    PlanResult::Done
}

fn own_claim<'a>(page: &'a LedgerPage, operation: &PageOperation) -> Option<&'a LedgerClaim> {
    page.claim(operation.key)
        .filter(|claim| claim.nonce == operation.nonce)
}
