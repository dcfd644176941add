//! Properties of rendezvous hashing, and owners that must not change between
//! releases.

use indexmap::IndexSet;
use quickcheck::{Gen, QuickCheck};

use super::{HashRing, rendezvous_owner, rendezvous_weight, stable_hash};
use crate::ids::VmId;

const SEED: u64 = 20_261_203;

fn vm_names(count: usize) -> Vec<VmId> {
    (0..count).map(|index| format!("vm-{index:03}")).collect()
}

fn checker() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
}

#[test]
fn only_the_names_of_a_removed_vm_move() {
    fn property(name: String, count: u8, removed: u8) -> bool {
        let vms = vm_names(usize::from(count % 40) + 2);
        let removed = &vms[usize::from(removed) % vms.len()];
        let before = rendezvous_owner(&name, &vms).expect("there are VMs");
        let after = rendezvous_owner(&name, vms.iter().filter(|vm| *vm != removed));
        before == removed || after == Some(before)
    }
    checker().quickcheck(property as fn(String, u8, u8) -> bool);
}

#[test]
fn order_of_candidates_does_not_matter() {
    fn property(name: String, mut vms: Vec<VmId>, rotation: usize) -> bool {
        let before = rendezvous_owner(&name, &vms).cloned();
        let middle = rotation % vms.len().max(1);
        vms.rotate_left(middle);
        before == rendezvous_owner(&name, &vms).cloned()
    }
    checker().quickcheck(property as fn(String, Vec<VmId>, usize) -> bool);
}

#[test]
fn names_are_spread_evenly() {
    struct Case {
        vms: usize,
        names: usize,
        most_over_mean: f64,
    }
    let cases = [
        Case {
            vms: 8,
            names: 8_000,
            most_over_mean: 1.15,
        },
        Case {
            vms: 800,
            names: 80_000,
            most_over_mean: 1.5,
        },
    ];
    for case in cases {
        let vms: IndexSet<VmId> = vm_names(case.vms).into_iter().collect();
        let mut counts = vec![0_usize; case.vms];
        for name in 0..case.names {
            let owner = rendezvous_owner(&format!("pool-{name}"), &vms).expect("there are VMs");
            let index = vms.get_index_of(owner).expect("it is one");
            counts[index] += 1;
        }
        let mean = case.names as f64 / case.vms as f64;
        let most = *counts.iter().max().expect("there are VMs") as f64;
        assert!(
            most / mean <= case.most_over_mean,
            "{} VMs: {most} of {mean}",
            case.vms
        );
    }
}

#[test]
fn no_candidate_means_no_owner() {
    assert_eq!(rendezvous_owner("pool", std::iter::empty()), None);
}

#[test]
fn owners_stay_the_same_between_releases() {
    struct Case {
        name: &'static str,
        owner: &'static str,
    }
    let cases = [
        Case {
            name: "drafting",
            owner: "vm-004",
        },
        Case {
            name: "booking",
            owner: "vm-039",
        },
        Case {
            name: "",
            owner: "vm-027",
        },
    ];
    let vms = vm_names(40);
    for case in cases {
        let owner = rendezvous_owner(case.name, &vms).map(String::as_str);
        assert_eq!(owner, Some(case.owner), "{}", case.name);
    }
}

#[test]
fn a_ring_ranks_the_candidates_for_a_key_by_weight() {
    let mut ring = HashRing::default();
    let hashes: Vec<u64> = (0..5_u64).map(stable_hash).collect();
    for (member, hash) in hashes.iter().enumerate() {
        ring.insert(*hash, member);
    }
    let key = stable_hash("prefix");
    let ranked = ring.ranked_candidates(key);
    assert_eq!(ranked.len(), 5);
    let weights = ranked
        .iter()
        .map(|member| rendezvous_weight(key, hashes[*member]));
    assert!(weights.is_sorted_by(|one, other| one >= other));
    ring.remove(hashes[ranked[0]]);
    assert_eq!(ring.ranked_candidates(key), ranked[1..]);
}
