//! The reply and the follow-up of a finished operation.
//!
//! Main invariant: an attempt that gets any reply but a token will not be sent,
//! so its claim is released if it may be in the store.

use std::time::Duration;

use super::commit::{FinishedOperation, OperationResult};
use super::messages::{ClaimOutcome, ClaimToken};
use super::plan::{OperationKind, PageOperation, PlanResult};

/// Factor on the retry delay for a full page, where only the pruning of old
/// claims frees capacity.
const FULL_PAGE_RETRY_FACTOR: u32 = 60;

/// Consequences of a finished operation.
#[derive(Debug)]
pub(super) struct SettledOperation {
    /// Reply to the caller; `None` if the operation has no reply.
    pub outcome: Option<ClaimOutcome>,
    /// Operation that must still be committed to the page.
    pub follow_up: Option<PageOperation>,
}

/// Parameters for settling an operation.
#[derive(Clone, Copy, Debug)]
pub(super) struct SettleContext {
    /// Time after which a refused caller may retry.
    pub retry_after: Duration,
    /// Time for which claims are kept.
    pub retention: Duration,
}

/// Returns the reply and the follow-up of a finished operation.
///
/// # Panics
///
/// If a changed draft was finished without having been stored.
pub(super) fn settle_operation(
    finished: FinishedOperation,
    context: SettleContext,
) -> SettledOperation {
    let FinishedOperation { operation, result } = finished;
    if matches!(operation.kind, OperationKind::Claim(_)) {
        return settle_claim(operation, result, context);
    }
    let follow_up = match result {
        OperationResult::Planned(_) => None,
        OperationResult::StoreFailed | OperationResult::Abandoned => Some(operation),
    };
    SettledOperation {
        outcome: None,
        follow_up,
    }
}

fn settle_claim(
    operation: PageOperation,
    result: OperationResult,
    context: SettleContext,
) -> SettledOperation {
    let SettleContext {
        retry_after,
        retention,
    } = context;
    let outcome = match result {
        OperationResult::Planned(PlanResult::Done) => {
            let token = ClaimToken {
                key: operation.key,
                nonce: operation.nonce,
                valid_until: operation.accepted_at + retention / 2,
            };
            return SettledOperation {
                outcome: Some(ClaimOutcome::Claimed(token)),
                follow_up: None,
            };
        }
        OperationResult::Planned(PlanResult::Changed) => {
            unreachable!("a changed draft is stored or the operation fails")
        }
        OperationResult::Planned(PlanResult::InProgress) => ClaimOutcome::InProgress,
        OperationResult::Planned(PlanResult::AlreadyRun(outcome)) => {
            ClaimOutcome::AlreadyRun(outcome)
        }
        OperationResult::Planned(PlanResult::KeyReused) => ClaimOutcome::KeyReused,
        OperationResult::Planned(PlanResult::Expired) => ClaimOutcome::Expired,
        OperationResult::Planned(PlanResult::PageFull) => ClaimOutcome::Overloaded {
            retry_after: retry_after * FULL_PAGE_RETRY_FACTOR,
        },
        OperationResult::StoreFailed | OperationResult::Abandoned => {
            ClaimOutcome::StoreUnavailable { retry_after }
        }
    };
    SettledOperation {
        outcome: Some(outcome),
        follow_up: release_unconfirmed(operation),
    }
}

/// Returns the release of a refused claim that may be in the store after all.
fn release_unconfirmed(operation: PageOperation) -> Option<PageOperation> {
    let fence = operation.unconfirmed_swap?;
    Some(PageOperation {
        kind: OperationKind::Release { fence: Some(fence) },
        unconfirmed_swap: None,
        ..operation
    })
}
