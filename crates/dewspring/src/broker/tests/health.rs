//! Tests of slow and failing servers: ejection, probes and reinstatement.

use std::time::{Duration, Instant};

use super::load::{LoadSimulation, LoadSource, ServerBehaviour};
use super::{BOOT, config, granted, release, request, servers};
use crate::broker::{
    AttemptOutcome, BrokerSettings, BrokerState, Grant, GrantRequest, ServerState,
};

/// Seeds of the simulated load.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Time per token of a healthy server, in seconds.
const SECONDS_PER_TOKEN: f64 = 0.01;

/// Slow from the tenth to the thirtieth second.
fn straggler(grant: &Grant, _: &GrantRequest, elapsed: Duration) -> (f64, AttemptOutcome) {
    let is_slow = grant.server == "server-2" && (10..30).contains(&elapsed.as_secs());
    let seconds_per_token = if is_slow {
        5.0 * SECONDS_PER_TOKEN
    } else {
        SECONDS_PER_TOKEN
    };
    (seconds_per_token, AttemptOutcome::Completed)
}

/// Fails immediately from the tenth to the thirtieth second.
fn crash(grant: &Grant, _: &GrantRequest, elapsed: Duration) -> (f64, AttemptOutcome) {
    match grant.server == "server-2" && (10..30).contains(&elapsed.as_secs()) {
        true => (SECONDS_PER_TOKEN / 100.0, AttemptOutcome::Unknown),
        false => (SECONDS_PER_TOKEN, AttemptOutcome::Completed),
    }
}

/// Half of the pool fails immediately from the tenth to the thirtieth second.
fn wide_crash(grant: &Grant, _: &GrantRequest, elapsed: Duration) -> (f64, AttemptOutcome) {
    match grant.server.as_str() >= "server-3" && (10..30).contains(&elapsed.as_secs()) {
        true => (SECONDS_PER_TOKEN / 100.0, AttemptOutcome::NotRun),
        false => (SECONDS_PER_TOKEN, AttemptOutcome::Completed),
    }
}

struct FaultCase {
    name: &'static str,
    behaviour: ServerBehaviour,
    faulty: &'static [&'static str],
    /// Mean time between two requests, in milliseconds; the pool can serve one
    /// every 46 ms.
    interval: u64,
    /// Limit on the grants to the faulty servers from the fifteenth to the
    /// thirtieth second.
    max_grants: usize,
    /// Limit on the answers that miss their target, in percent.
    max_missed_percent: u32,
}

#[test]
fn a_faulty_server_gets_only_probes_and_comes_back() {
    let cases = [
        FaultCase {
            name: "straggler",
            behaviour: straggler,
            faulty: &["server-2"],
            interval: 80,
            max_grants: 4,
            max_missed_percent: 3,
        },
        FaultCase {
            name: "straggler near full load",
            behaviour: straggler,
            faulty: &["server-2"],
            interval: 50,
            max_grants: 20,
            max_missed_percent: 3,
        },
        FaultCase {
            name: "crash",
            behaviour: crash,
            faulty: &["server-2"],
            interval: 80,
            max_grants: 4,
            max_missed_percent: 2,
        },
        FaultCase {
            name: "crash of half the pool",
            behaviour: wide_crash,
            faulty: &["server-3", "server-4", "server-5"],
            interval: 80,
            max_grants: 80,
            max_missed_percent: 15,
        },
    ];
    for (case, seed) in cases.iter().flat_map(|case| SEEDS.map(|seed| (case, seed))) {
        let mut request = request("r");
        request.target_left = Duration::from_secs(4);
        request.max_tokens = None;
        let source = LoadSource {
            request,
            interval: Duration::from_millis(case.interval),
            answer: 160,
        };
        let simulation = LoadSimulation::run(seed, &[4; 6], vec![source], case.behaviour);
        let outcome = simulation.outcomes[0];
        let grants = case
            .faulty
            .iter()
            .flat_map(|&server| &simulation.grants[server]);
        let between = |from: u64, to: u64| {
            let times = grants.clone().map(Duration::as_secs);
            times.filter(|second| (from..to).contains(second)).count()
        };
        let name = format!("{}, seed {seed}", case.name);
        assert!(between(15, 30) <= case.max_grants, "{name}");
        assert!(between(53, 60) >= 5, "{name}: the server is reinstated");
        let missed = outcome.requested - outcome.in_time;
        assert!(
            missed * 100 <= outcome.requested * case.max_missed_percent,
            "{name}: {outcome:?}"
        );
    }
}

#[test]
fn never_more_than_a_third_is_ejected() {
    let now = Instant::now();
    let mut state = BrokerState::new(BrokerSettings::new("vm", BOOT));
    state.configure(&config(1, servers(&[1; 7])), now);
    for round in 0..100 {
        state.request_grant(request("r"), now);
        let decisions = state.take_decisions();
        assert_eq!(
            granted(&decisions).len(),
            1,
            "round {round}: the pool still serves"
        );
        let mut release = release(decisions[0].ticket);
        release.outcome = AttemptOutcome::NotRun;
        state.release(&release, now);
    }
    let status = state.status();
    let states = status.pools[0].servers.iter().map(|server| server.state);
    assert_eq!(
        states
            .filter(|&state| state == ServerState::Ejected)
            .count(),
        2
    );
    let changes = state.take_state_changes();
    let ejected = changes
        .iter()
        .filter(|change| change.state == ServerState::Ejected);
    assert_eq!(ejected.count(), 2, "{changes:?}");
    // A smaller pool has a lower limit on ejections.
    state.configure(&config(2, servers(&[1; 3])), now);
    let status = state.status();
    let states = status.pools[0].servers.iter().map(|server| server.state);
    assert!(
        states
            .filter(|&state| state == ServerState::Ejected)
            .count()
            <= 1
    );
}
