//! Rendezvous hashing: maps keys to the VMs or servers that own them.
//!
//! Each pair of a key and a candidate has a weight, and the candidate with the
//! highest weight owns the key. When a candidate is removed, only its keys move.
//! The peer component selects the broker of a pool with it, and the broker
//! selects servers for prompt prefixes.
//!
//! Invariant: the weights are the same on all VMs.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::ids::VmId;

#[cfg(test)]
mod tests;

/// SipHash keys for the weights of VMs.
const VM_HASH_KEYS: (u64, u64) = (0x6465_7773_7072_696e, 0x672d_7065_6572_2d31);

/// Byte between a name and a VM that are hashed together.
const SEPARATOR: u8 = 0xff;

/// Number of ring members that are candidates for a key.
const CANDIDATE_COUNT: usize = 8;

/// Returns the candidate that owns a name, if there is any.
///
/// The result doesn't depend on the order of the candidates.
///
/// # Examples
///
/// ```
/// use dewspring::peer::rendezvous_owner;
///
/// let vms = ["vm-1".to_string(), "vm-2".to_string()];
/// let owner = rendezvous_owner("drafting", vms.iter());
/// assert!(owner.is_some());
/// assert_eq!(owner, rendezvous_owner("drafting", vms.iter().rev()));
/// ```
pub fn rendezvous_owner<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    let hasher = name_hasher(name);
    candidates
        .into_iter()
        .max_by_key(|vm| (vm_weight(hasher, vm), *vm))
}

/// Returns the position of a VM on the heartbeat ring.
pub(crate) fn ring_position(vm: &str) -> u64 {
    vm_weight(name_hasher(""), vm)
}

/// Returns a hash that is the same on all VMs.
pub(crate) fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the weight of a hashed candidate for a hashed key.
pub(crate) fn rendezvous_weight(key: u64, candidate: u64) -> u64 {
    SipHasher13::new_with_keys(key, candidate).finish()
}

/// A ring of members ordered by hash, for selection without a scan of all
/// members.
///
/// Weights are computed only for the first members after the key, which are all
/// members of a small ring. Adding or removing a member moves only keys near it.
#[derive(Debug)]
pub(crate) struct HashRing<Member> {
    points: BTreeMap<u64, Member>,
}

impl<Member> Default for HashRing<Member> {
    fn default() -> Self {
        HashRing {
            points: BTreeMap::new(),
        }
    }
}

impl<Member: Copy + Ord> HashRing<Member> {
    /// Adds a member.
    pub(crate) fn insert(&mut self, hash: u64, member: Member) {
        self.points.insert(hash, member);
    }

    /// Removes a member.
    pub(crate) fn remove(&mut self, hash: u64) {
        self.points.remove(&hash);
    }

    /// Returns the candidates for a key, by descending weight.
    pub(crate) fn ranked_candidates(&self, key: u64) -> Vec<Member> {
        let after = self.points.range(key..);
        let window = after.chain(self.points.range(..key)).take(CANDIDATE_COUNT);
        let mut candidates = window
            .map(|(&hash, &member)| (rendezvous_weight(key, hash), member))
            .collect::<Vec<_>>();
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        candidates.into_iter().map(|(_, member)| member).collect()
    }
}

/// Returns a hasher with the state after a name, to be continued with each VM.
fn name_hasher(name: &str) -> SipHasher13 {
    let mut hasher = SipHasher13::new_with_keys(VM_HASH_KEYS.0, VM_HASH_KEYS.1);
    hasher.write(name.as_bytes());
    hasher.write_u8(SEPARATOR);
    hasher
}

/// Returns the weight of a VM for the name in the hasher.
fn vm_weight(mut hasher: SipHasher13, vm: &str) -> u64 {
    hasher.write(vm.as_bytes());
    hasher.finish()
}
