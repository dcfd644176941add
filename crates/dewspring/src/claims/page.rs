//! One page of the ledger and its stored form.
//!
//! Main invariant: a page holds at most one claim for a key, and a claim is
//! removed only by a release of its owner or by its age.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::key::{ClaimKey, ClaimNonce, ClaimOwner};
use super::messages::RecordedOutcome;
use crate::ids::{BootId, VmId};
use crate::store::{Base64Bytes, MAX_VALUE_BYTES, StoreVersion};

/// Upper bound of the size of a stored claim, with an outcome but without its
/// body, in bytes.
pub(super) const MAX_CLAIM_BYTES: usize = 192;

/// Upper bound of the size of a stored owner, without the VM's name, in bytes.
const MAX_OWNER_BYTES: usize = 48;

/// Size of a page, in bytes, up to which outcomes are recorded with their
/// bodies.
const BODY_LIMIT_BYTES: usize = MAX_VALUE_BYTES / 2;

/// Upper bound of the size of an empty stored page, in bytes.
const PAGE_OVERHEAD_BYTES: usize = 256;

/// Progress of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ClaimState {
    /// The request may have been sent.
    Claimed,
    /// The request ran.
    Recorded(RecordedOutcome),
}

/// One claim on a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LedgerClaim {
    pub nonce: ClaimNonce,
    pub fingerprint: u64,
    pub created_minute: u64,
    pub state: ClaimState,
}

/// The claims whose keys belong to one page.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct LedgerPage {
    claims: IndexMap<ClaimKey, LedgerClaim>,
    /// Claims made before this minute may have been pruned.
    pruned_before: u64,
    /// Upper bound of the stored page's size, in bytes; recomputed by `prune`.
    reserved_bytes: usize,
}

/// Why a page can't be used; such a page is never overwritten.
#[derive(Debug, Error)]
pub(super) enum PageError {
    #[error("it has version {found}, but had version {newest} before")]
    Older {
        found: StoreVersion,
        newest: StoreVersion,
    },
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("a claim of an owner that the page doesn't list")]
    UnknownOwner,
    #[error("a key that is not 16 bytes long")]
    BadKey,
    #[error("a key that is claimed twice")]
    DuplicateKey,
}

#[derive(Deserialize, Serialize)]
struct StoredOwner {
    vm: VmId,
    boot: BootId,
}

/// Stored form of a claim; the names are short to save space in the page.
#[derive(Deserialize, Serialize)]
struct StoredClaim {
    #[serde(rename = "k")]
    key: Base64Bytes,
    #[serde(rename = "f")]
    fingerprint: u64,
    /// Index into the owners of the page.
    #[serde(rename = "w")]
    owner: usize,
    #[serde(rename = "n")]
    serial: u64,
    #[serde(rename = "m")]
    minute: u64,
    #[serde(default, rename = "o", skip_serializing_if = "Option::is_none")]
    outcome: Option<RecordedOutcome>,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredPage {
    pruned_before: u64,
    owners: Vec<StoredOwner>,
    claims: Vec<StoredClaim>,
}

impl LedgerPage {
    pub fn claim(&self, key: ClaimKey) -> Option<&LedgerClaim> {
        self.claims.get(&key)
    }

    pub fn pruned_before(&self) -> u64 {
        self.pruned_before
    }

    pub fn insert(&mut self, key: ClaimKey, claim: LedgerClaim) {
        self.reserved_bytes += MAX_CLAIM_BYTES + owner_bytes(&claim.nonce.owner);
        let former = self.claims.insert(key, claim);
        assert!(former.is_none(), "a claim is never overwritten");
    }

    /// Records the outcome of a claim, without the body if the page is too full.
    ///
    /// # Panics
    ///
    /// If the page holds no claim for the key.
    pub fn record(&mut self, key: ClaimKey, outcome: &RecordedOutcome) {
        let body_bytes = outcome.body_bytes();
        let has_capacity = self.reserved_bytes + body_bytes <= BODY_LIMIT_BYTES;
        let claim = self.claims.get_mut(&key).expect("the claim was found");
        if has_capacity {
            self.reserved_bytes += body_bytes;
            claim.state = ClaimState::Recorded(outcome.clone());
        } else {
            claim.state = ClaimState::Recorded(outcome.without_body());
        }
    }

    pub fn remove(&mut self, key: ClaimKey) {
        self.claims.swap_remove(&key);
    }

    /// Removes the claims that were made before a minute, and recomputes the
    /// size of the page.
    pub fn prune(&mut self, cutoff: u64) {
        self.pruned_before = self.pruned_before.max(cutoff);
        let cutoff = self.pruned_before;
        self.claims
            .retain(|_, claim| claim.created_minute >= cutoff);
        self.reserved_bytes = self.measure();
    }

    /// Returns whether one more claim fits, with an outcome but without a body.
    pub fn has_capacity(&self, owner: &ClaimOwner) -> bool {
        self.reserved_bytes + MAX_CLAIM_BYTES + owner_bytes(owner) <= MAX_VALUE_BYTES
    }

    fn measure(&self) -> usize {
        let owners: IndexSet<&ClaimOwner> = self.owners().collect();
        let owners: usize = owners.into_iter().map(owner_bytes).sum();
        let bodies: usize = self.claims.values().map(body_bytes).sum();
        PAGE_OVERHEAD_BYTES + self.claims.len() * MAX_CLAIM_BYTES + owners + bodies
    }

    fn owners(&self) -> impl Iterator<Item = &ClaimOwner> {
        self.claims.values().map(|claim| &claim.nonce.owner)
    }

    /// Encodes the page for the store.
    pub fn encode(&self) -> Vec<u8> {
        let owners: IndexSet<&ClaimOwner> = self.owners().collect();
        let claims = self.claims.iter().map(|(key, claim)| StoredClaim {
            key: Base64Bytes(key.to_bytes().to_vec()),
            fingerprint: claim.fingerprint,
            owner: owners
                .get_index_of(&claim.nonce.owner)
                .expect("all owners are listed"),
            serial: claim.nonce.serial,
            minute: claim.created_minute,
            outcome: match &claim.state {
                ClaimState::Claimed => None,
                ClaimState::Recorded(outcome) => Some(outcome.clone()),
            },
        });
        let stored = StoredPage {
            pruned_before: self.pruned_before,
            claims: claims.collect(),
            owners: owners.into_iter().map(encode_owner).collect(),
        };
        serde_json::to_vec(&stored).expect("a page is plain JSON")
    }

    /// Decodes a page from the store.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the bytes aren't a valid page.
    pub fn decode(bytes: &[u8]) -> Result<Self, PageError> {
        let stored: StoredPage = serde_json::from_slice(bytes)?;
        let mut claims = IndexMap::with_capacity(stored.claims.len());
        for claim in stored.claims {
            let owner = stored
                .owners
                .get(claim.owner)
                .ok_or(PageError::UnknownOwner)?;
            let (key, claim) = decode_claim(claim, owner)?;
            if claims.insert(key, claim).is_some() {
                return Err(PageError::DuplicateKey);
            }
        }
        let mut page = Self {
            claims,
            ..Self::default()
        };
        page.prune(stored.pruned_before);
        Ok(page)
    }
}

fn decode_claim(
    stored: StoredClaim,
    owner: &StoredOwner,
) -> Result<(ClaimKey, LedgerClaim), PageError> {
    let key = stored.key.0.try_into().map_err(|_| PageError::BadKey)?;
    let owner = ClaimOwner {
        vm: owner.vm.clone(),
        boot: owner.boot,
    };
    let claim = LedgerClaim {
        nonce: ClaimNonce {
            owner,
            serial: stored.serial,
        },
        fingerprint: stored.fingerprint,
        created_minute: stored.minute,
        state: stored
            .outcome
            .map_or(ClaimState::Claimed, ClaimState::Recorded),
    };
    Ok((ClaimKey::from_bytes(key), claim))
}

fn encode_owner(owner: &ClaimOwner) -> StoredOwner {
    StoredOwner {
        vm: owner.vm.clone(),
        boot: owner.boot,
    }
}

fn owner_bytes(owner: &ClaimOwner) -> usize {
    MAX_OWNER_BYTES + owner.vm.len() * 6
}

fn body_bytes(claim: &LedgerClaim) -> usize {
    match &claim.state {
        ClaimState::Claimed => 0,
        ClaimState::Recorded(outcome) => outcome.body_bytes(),
    }
}
