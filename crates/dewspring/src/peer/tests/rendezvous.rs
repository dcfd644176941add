//! Properties of rendezvous hashing.

use quickcheck::{Gen, QuickCheck};

use crate::ids::VmId;
use crate::peer::rendezvous_owner;

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
fn only_the_names_of_a_lost_vm_move() {
    fn property(name: String, count: u8, lost: u8) -> bool {
        let vms = vm_names(usize::from(count % 40) + 2);
        let lost = &vms[usize::from(lost) % vms.len()];
        let before = rendezvous_owner(&name, &vms).expect("there are VMs");
        let after = rendezvous_owner(&name, vms.iter().filter(|vm| *vm != lost));
        before == lost || after == Some(before)
    }
    checker().quickcheck(property as fn(String, u8, u8) -> bool);
}

#[test]
fn order_of_candidates_is_of_no_account() {
    fn property(name: String, mut vms: Vec<VmId>, turn: usize) -> bool {
        let before = rendezvous_owner(&name, &vms).cloned();
        let middle = turn % vms.len().max(1);
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
        let vms = vm_names(case.vms);
        let mut counts = vec![0_usize; case.vms];
        for name in 0..case.names {
            let owner = rendezvous_owner(&format!("pool-{name}"), &vms).expect("there are VMs");
            let index = vms.iter().position(|vm| vm == owner).expect("it is one");
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
