//! A backend server that is leaving gets no new work within 3 s of its mark.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{ChatCall, FleetPlan, TestFleet};
use serde_json::json;
use standins::process::{get_json, post_json};

/// Time after the mark from which no new work may come.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the calls go on after that.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Lag of the platform's list where another mark comes sooner.
const LIST_LAG_MS: u64 = 10_000;

struct LeavingCase {
    name: &'static str,
    /// Marks the first engine as leaving.
    mark: fn(&mut TestFleet),
    list_lag_ms: u64,
    /// Whether the pool's broker is frozen from the moment of the mark on.
    is_broker_frozen: bool,
}

#[test]
fn no_new_work_after_a_mark() {
    let cases = [
        LeavingCase {
            name: "the server says it",
            mark: say_leaving,
            list_lag_ms: LIST_LAG_MS,
            is_broker_frozen: false,
        },
        LeavingCase {
            name: "the operators drain it",
            mark: drain,
            list_lag_ms: LIST_LAG_MS,
            is_broker_frozen: false,
        },
        LeavingCase {
            name: "the platform's list says it",
            mark: |fleet| {
                let address = fleet.engines[0].address().to_string();
                let entry = json!({
                    "vm": "engine-vm", "address": address,
                    "data_centre": "dk-east-1", "state": "leaving",
                });
                fleet.publish_vms_with(&[entry]);
            },
            list_lag_ms: 0,
            is_broker_frozen: false,
        },
        LeavingCase {
            name: "the server says it while the broker is frozen",
            mark: say_leaving,
            list_lag_ms: LIST_LAG_MS,
            is_broker_frozen: true,
        },
        LeavingCase {
            name: "the operators drain it while the broker is frozen",
            mark: drain,
            list_lag_ms: LIST_LAG_MS,
            is_broker_frozen: true,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| run_case(case));
        }
    });
}

fn say_leaving(fleet: &mut TestFleet) {
    let order = json!({ "leaving": true });
    let answer = post_json(fleet.engines[0].address(), "/control", &order);
    assert_eq!(answer.expect("the engine answers").status, 200);
}

fn drain(fleet: &mut TestFleet) {
    let pools = fleet.pools_toml();
    let drained = pools.replacen("slots = 8", "slots = 8, drain = true", 1);
    fleet.apply_pools(&drained);
}

fn run_case(case: &LeavingCase) {
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 3,
        ..FleetPlan::default()
    });
    let broker = fleet.broker_of("engines");
    fleet.control_platform(&json!({ "list_lag_ms": case.list_lag_ms }));
    let stop_at = Instant::now() + Duration::from_secs(1) + LEAVE_LIMIT + WATCH_TIME;
    let callers: Vec<_> = fleet
        .daemons
        .iter()
        .enumerate()
        .filter(|(place, _)| !case.is_broker_frozen || *place != broker)
        .flat_map(|(_, daemon)| [daemon.entry; 4])
        .map(|entry| thread::spawn(move || call_until(entry, stop_at)))
        .collect();

    thread::sleep(Duration::from_secs(1));
    assert!(
        executions(&fleet, 0) > 0,
        "{}: the server had work",
        case.name
    );
    if case.is_broker_frozen {
        fleet.daemons[broker].process.freeze();
    }
    (case.mark)(&mut fleet);
    thread::sleep(LEAVE_LIMIT);
    let at_limit = executions(&fleet, 0);
    let others_at_limit = executions(&fleet, 1);
    for caller in callers {
        caller.join().expect("the caller ends");
    }
    assert_eq!(executions(&fleet, 0), at_limit, "{}", case.name);
    assert!(executions(&fleet, 1) > others_at_limit, "{}", case.name);
}

fn call_until(entry: std::net::SocketAddr, stop_at: Instant) {
    while Instant::now() < stop_at {
        let answer = ChatCall::new(entry, 10).send();
        assert!(answer.is_expected_stream(10), "{answer:?}");
    }
}

fn executions(fleet: &TestFleet, engine: usize) -> usize {
    let address = fleet.engines[engine].address();
    let counts = get_json(address, "/executions").expect("the engine answers");
    counts.body["executions"]
        .as_object()
        .map_or(0, serde_json::Map::len)
}
