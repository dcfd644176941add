//! Rendezvous hashing: which VM is in charge of a name.
//!
//! Each pair of name and VM has a score, and the VM with the highest score is
//! in charge. When a VM is lost, only the names that it was in charge of move.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ids::VmId;

/// Keys of the hash; equal on all VMs, so that they agree.
const SCORE_KEYS: (u64, u64) = (0x6465_7773_7072_696e, 0x672d_7065_6572_2d31);

/// Returns the candidate that is in charge of a name, if there is any.
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
    candidates
        .into_iter()
        .max_by_key(|vm| (pair_score(name, vm), *vm))
}

/// Returns the place of a VM on the ring of heartbeats.
pub(super) fn ring_position(vm: &str) -> u64 {
    pair_score("", vm)
}

/// Hashes a name together with a VM.
fn pair_score(name: &str, vm: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(SCORE_KEYS.0, SCORE_KEYS.1);
    hasher.write(name.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(vm.as_bytes());
    hasher.finish()
}
