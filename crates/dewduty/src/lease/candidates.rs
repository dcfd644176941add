//! The order in which VMs are candidates for a subject.
//!
//! Invariant: VMs that know the same names have the same order.

use std::cmp::Reverse;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::{DutySubject, VmName};

/// SipHash keys for the weights of VMs.
const HASH_KEYS: (u64, u64) = (0x6465_7764_7574_7921, 0x6c65_6173_652d_2d31);

/// Byte between a subject and a VM that are hashed together; it is in no UTF-8 text.
const SEPARATOR: u8 = 0xff;

/// The known VMs.
#[derive(Clone, Debug, Default)]
pub(crate) struct CandidateList {
    vms: Vec<VmName>,
}

impl CandidateList {
    /// Replaces the known VMs; returns whether they are others than before.
    pub(crate) fn replace(&mut self, mut vms: Vec<VmName>) -> bool {
        vms.sort_unstable();
        vms.dedup();
        let changed = vms != self.vms;
        self.vms = vms;
        changed
    }

    /// Returns how many VMs come before this one.
    pub(crate) fn rank(&self, subject: &DutySubject, vm: &str) -> usize {
        let hasher = subject_hasher(subject);
        let own = (vm_weight(hasher, vm), vm);
        let others = self.vms.iter().map(|name| (vm_weight(hasher, name), name));
        others
            .filter(|&(weight, name)| (weight, name.as_str()) > own)
            .count()
    }

    /// Returns the first VMs in order.
    pub(crate) fn first(&self, subject: &DutySubject, most: usize) -> Vec<&str> {
        let hasher = subject_hasher(subject);
        let mut weighted = self
            .vms
            .iter()
            .map(|vm| Reverse((vm_weight(hasher, vm), vm.as_str())))
            .collect::<Vec<_>>();
        if most < weighted.len() {
            weighted.select_nth_unstable(most);
            weighted.truncate(most);
        }
        weighted.sort_unstable();
        weighted.into_iter().map(|Reverse((_, vm))| vm).collect()
    }
}

/// Returns a hasher with the state after a subject, to be continued with each VM.
fn subject_hasher(subject: &DutySubject) -> SipHasher13 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(subject.to_string().as_bytes());
    hasher.write_u8(SEPARATOR);
    hasher
}

/// Returns the weight of a VM for the subject in the hasher.
fn vm_weight(mut hasher: SipHasher13, vm: &str) -> u64 {
    hasher.write(vm.as_bytes());
    hasher.finish()
}
