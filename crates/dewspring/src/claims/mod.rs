//! The ledger of claims, which prevents keyed requests from running twice.
//!
//! A claim reserves the idempotency key of one request. The request is sent
//! only after its claim is in the platform's store. The ledger is divided into
//! pages, each stored under one key and changed only by compare-and-swap.
//! [`ClaimHandle`] accepts claims from the entry, which serves the callers'
//! connections; a writer thread commits all claims that are pending for a page
//! with one swap.
//!
//! Main invariant: a token is issued only for a claim whose nonce was read from
//! the store or whose swap was acknowledged, and at most once for each nonce.

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
