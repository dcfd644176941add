//! Fleets whose VMs and store fail: which VM believes to hold a duty, and which
//! calls arrive at the platform's API.
//!
//! A failed case is printed whole, with the seed of its messages.

mod calls;
mod case;
mod fleet;
mod store;

use case::FleetCase;
use quickcheck::{Gen, QuickCheck};

/// Guards against two holders of a subject at a time, tokens that fall or repeat,
/// holders that alternate, subjects that stay without a holder, and writes to the
/// store without cause.
#[test]
fn a_subject_has_one_holder_at_a_time_and_its_tokens_rise() {
    fn property(case: FleetCase) -> Result<(), String> {
        fleet::run(&case).map_err(|error| format!("{error}: {case:?}"))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(FleetCase) -> Result<(), String>);
}

/// Guards against what only happens when many candidates compete.
#[test]
fn large_fleets_keep_the_same_promises() {
    for vms in [100, 300, 800] {
        let case = FleetCase::of_size(vms, &mut Gen::new(50));
        if let Err(error) = fleet::run(&case) {
            panic!("{error}: {case:?}");
        }
    }
}
