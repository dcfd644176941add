//! The ledger of claims, which keeps keyed requests from running twice.
//!
//! A request with an idempotency key is sent only after its claim stands in
//! the platform's store. Claims lie in pages, and a page changes only by
//! compare-and-swap. [`ClaimHandle`] takes the claims of the entry duty; a
//! writer thread commits those that wait for one page with one swap. Main
//! invariant: a token is given out only for a claim whose nonce was seen in the
//! store or whose swap was acknowledged, and at most once for each nonce.

mod breaker;
mod commit;
mod key;
mod ledger;
mod messages;
mod page;
mod plan;
mod settle;
mod writer;

#[cfg(test)]
mod tests;

pub use key::ClaimKey;
pub use ledger::{ClaimHandle, ClaimLedger, LedgerSettings};
pub use messages::{
    ClaimOutcome, ClaimRequest, ClaimToken, LedgerOverloaded, RecordedBody, RecordedOutcome,
};
