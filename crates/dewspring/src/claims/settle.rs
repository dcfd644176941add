//! What a finished message means to its caller and to the ledger.
//!
//! Main invariant: an attempt that is answered with anything but a token will
//! not be sent, so its claim, if it may stand, is released.

use std::time::Duration;

use super::commit::{FinishedWork, WorkResult};
use super::messages::{ClaimOutcome, ClaimToken};
use super::plan::{PageWork, PlanResult, WorkKind};

/// Times the usual pause for a full page, which only age makes room on.
const FULL_PAGE_FACTOR: u32 = 60;

/// A finished message, settled.
#[derive(Debug)]
pub(super) struct SettledWork {
    /// Answer to the caller; `None` if the message wants none.
    pub outcome: Option<ClaimOutcome>,
    /// What is still to be done on the page.
    pub follow_up: Option<PageWork>,
}

/// What settling needs to know besides the message.
#[derive(Clone, Copy, Debug)]
pub(super) struct SettleTerms {
    /// Time after which a refused caller may come back.
    pub retry_after: Duration,
    /// Time for which claims are kept.
    pub horizon: Duration,
}

/// Settles a message.
pub(super) fn settle_work(finished: FinishedWork, terms: SettleTerms) -> SettledWork {
    let FinishedWork { work, result } = finished;
    if matches!(work.kind, WorkKind::Claim(_)) {
        return settle_claim(work, result, terms);
    }
    let follow_up = match result {
        WorkResult::Planned(_) => None,
        WorkResult::StoreFailed | WorkResult::GivenUp => Some(work),
    };
    SettledWork {
        outcome: None,
        follow_up,
    }
}

fn settle_claim(work: PageWork, result: WorkResult, terms: SettleTerms) -> SettledWork {
    let SettleTerms {
        retry_after,
        horizon,
    } = terms;
    let outcome = match result {
        WorkResult::Planned(PlanResult::Done) => {
            let token = ClaimToken {
                key: work.key,
                nonce: work.nonce,
                valid_until: work.accepted + horizon / 2,
            };
            return SettledWork {
                outcome: Some(ClaimOutcome::Claimed(token)),
                follow_up: None,
            };
        }
        WorkResult::Planned(PlanResult::Changed) => {
            unreachable!("a changed draft is stored or the message fails")
        }
        WorkResult::Planned(PlanResult::InProgress) => ClaimOutcome::InProgress,
        WorkResult::Planned(PlanResult::Repeat(outcome)) => ClaimOutcome::AlreadyRun(outcome),
        WorkResult::Planned(PlanResult::KeyReused) => ClaimOutcome::KeyReused,
        WorkResult::Planned(PlanResult::Expired) => ClaimOutcome::Expired,
        WorkResult::Planned(PlanResult::PageFull) => ClaimOutcome::Overloaded {
            retry_after: retry_after * FULL_PAGE_FACTOR,
        },
        WorkResult::StoreFailed | WorkResult::GivenUp => {
            ClaimOutcome::StoreUnavailable { retry_after }
        }
    };
    SettledWork {
        outcome: Some(outcome),
        follow_up: release_unsure(work),
    }
}

/// Returns the release of a claim that may stand although it was refused.
fn release_unsure(work: PageWork) -> Option<PageWork> {
    let fence = work.unsure?;
    Some(PageWork {
        kind: WorkKind::Release { fence: Some(fence) },
        unsure: None,
        ..work
    })
}
