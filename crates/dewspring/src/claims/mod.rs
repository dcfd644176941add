//! The ledger of claims, which keeps keyed requests from running twice.
