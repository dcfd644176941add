//! Property: no combination of faults makes a key run twice.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use super::sim_store::FaultRates;
use super::simulation::check;
use super::world::SimulationWorld;

impl Arbitrary for FaultRates {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut rate = |most: u16| u16::arbitrary(g) % (most + 1);
        Self {
            lost_after_write: rate(300),
            lost_before_write: rate(300),
            delayed_write: rate(300),
            lost_read: rate(300),
            outage: rate(20),
            crash: rate(20),
            pause: rate(5),
            release: rate(500),
            progress: 20 + rate(500),
            deadline_steps: 10 + u64::from(rate(200)),
        }
    }
}

fn runs_at_most_once(rates: FaultRates, seed: u64) -> TestResult {
    match check(&SimulationWorld::run(40, rates, seed)) {
        Ok(()) => TestResult::passed(),
        Err(why) => TestResult::error(why),
    }
}

#[test]
fn no_mix_of_faults_runs_a_key_twice() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x00c1_a115))
        .tests(100)
        .min_tests_passed(100)
        .quickcheck(runs_at_most_once as fn(FaultRates, u64) -> TestResult);
}
