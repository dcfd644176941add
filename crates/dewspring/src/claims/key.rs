//! Identifiers of a claim: the hash of the caller's key, and the nonce.
//!
//! The key is the same for all attempts of a request; the nonce identifies one
//! attempt.

use std::hash::Hasher;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::ids::{BootId, VmId};

/// Number of a page of the ledger, starting at 0.
pub(super) type PageNumber = u32;

/// Keys of the SipHash; the same on all VMs and in all versions.
const HASH_KEYS: (u64, u64) = (0x6465_7773_7072_696e, 0x675f_636c_6169_6d73);

/// Hash of a workspace and the idempotency key that its caller chose.
///
/// # Examples
///
/// ```
/// use dewspring::claims::ClaimKey;
///
/// let key = ClaimKey::new("rollehyre", "payment-17");
/// assert_ne!(key, ClaimKey::new("magnolia", "payment-17"));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the idempotency key that a caller of this workspace sent.
    pub fn new(workspace: &str, key: &str) -> Self {
        let mut hasher = SipHasher24::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
        hasher.write(&(workspace.len() as u64).to_le_bytes());
        hasher.write(workspace.as_bytes());
        hasher.write(key.as_bytes());
        Self(hasher.finish128().as_u128())
    }

    /// Returns the page that holds the claim.
    pub(super) fn page(self, page_count: PageNumber) -> PageNumber {
        let page = self.0 % u128::from(page_count);
        PageNumber::try_from(page).expect("a remainder is below its divisor")
    }

    pub(super) fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }

    pub(super) fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }
}

/// The VM and the boot of the daemon that made a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct ClaimOwner {
    pub vm: VmId,
    pub boot: BootId,
}

/// Identifies one claim among those of all VMs and boots.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct ClaimNonce {
    pub owner: ClaimOwner,
    pub serial: u64,
}
