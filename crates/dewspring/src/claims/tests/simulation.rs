//! Runs whole simulations and checks that each key runs at most once.
//!
//! `CLAIM_KEYS` and `CLAIM_SEED` set the number of keys and the seed:
//!
//! ```text
//! CLAIM_KEYS=10000 CLAIM_SEED=7 \
//!     cargo test --release -p dewspring --lib claims::tests::simulation -- --nocapture
//! ```

use std::env;

use super::sim_store::FaultRates;
use super::world::{SimulationTally, SimulationWorld};

const KEYS: usize = 600;
const SEED: u64 = 0x000c_1a11;

const RATES: FaultRates = FaultRates {
    lost_after_write: 60,
    lost_before_write: 30,
    delayed_write: 40,
    lost_read: 60,
    outage: 2,
    crash: 4,
    pause: 2,
    release: 100,
    progress: 200,
    deadline_steps: 100,
};

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Returns an error if a run violated a guarantee of the ledger.
pub(super) fn check(tally: &SimulationTally) -> Result<(), String> {
    if tally.most_executions > 1 {
        return Err(format!("{} keys ran twice or more", tally.doubled));
    }
    if tally.wrong_repeats > 0 {
        return Err(format!("{} wrong answers", tally.wrong_repeats));
    }
    Ok(())
}

#[test]
fn keys_run_at_most_once_through_all_faults() {
    let keys = setting("CLAIM_KEYS", KEYS as u64) as usize;
    let seed = setting("CLAIM_SEED", SEED);
    let tally = SimulationWorld::run(keys, RATES, seed);
    println!("seed {seed}: {tally:#?}");
    check(&tally).expect("the guarantees hold");
    let event_counts = [
        ("lost responses", tally.store.lost_responses),
        ("late writes", tally.store.late_writes),
        ("outages", tally.store.outages),
        ("crashes", tally.crashes),
        ("claims unsent in a crash", tally.unsent_in_crash),
        ("claims unsent in a pause", tally.unsent_in_pause),
        ("releases", tally.releases),
        ("expired keys", tally.expired),
        ("repeats", tally.repeats),
    ];
    for (what, count) in event_counts {
        assert!(count > 0, "the run had no {what}");
    }
}

#[test]
fn without_faults_every_key_runs() {
    let no_faults = FaultRates {
        lost_after_write: 0,
        lost_before_write: 0,
        delayed_write: 0,
        lost_read: 0,
        outage: 0,
        crash: 0,
        pause: 0,
        release: 0,
        progress: 500,
        deadline_steps: 1000,
    };
    let tally = SimulationWorld::run(200, no_faults, SEED);
    check(&tally).expect("the guarantees hold");
    assert_eq!(tally.executed, 200, "{tally:#?}");
}
