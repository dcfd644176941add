//! Tests of the ledger of claims.

mod commit;
mod ledger;
mod page;
mod properties;
mod sim_store;
mod simulation;
mod world;

use super::key::{ClaimKey, ClaimNonce, ClaimOwner};

/// Returns the key of a request with this number.
fn key(number: usize) -> ClaimKey {
    ClaimKey::new("rollehyre", &format!("payment-{number}"))
}

/// Returns a nonce of a VM on its first boot.
fn nonce(vm: &str, serial: u64) -> ClaimNonce {
    let owner = ClaimOwner {
        vm: vm.to_owned(),
        boot: u64::MAX,
    };
    ClaimNonce { owner, serial }
}
