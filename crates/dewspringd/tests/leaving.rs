//! A backend server gets no new requests from 3 s after it is marked as leaving,
//! whether by itself, an operator or the platform's list.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{ChatCall, FleetPlan, TestFleet};
use serde_json::json;
use standins::process::{get_json, post_json};

/// Time after the mark from which the server must get no new requests.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(3);

/// Time after [`MAX_LEAVE_DELAY`] for which callers keep sending requests.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Lag of the platform's list in cases whose mark must take effect before it.
const LONG_LIST_LAG_MS: u64 = 10_000;

struct LeavingCase {
    name: &'static str,
    /// Marks the first engine as leaving or draining.
    mark: fn(&mut TestFleet),
    list_lag_ms: u64,
    /// Whether the pool's broker is frozen just before the mark.
    is_broker_frozen: bool,
}

#[test]
fn a_leaving_server_gets_no_new_requests() {
    let cases = [
        LeavingCase {
            name: "reported by the server",
            mark: report_leaving,
            list_lag_ms: LONG_LIST_LAG_MS,
            is_broker_frozen: false,
        },
        LeavingCase {
            name: "drained by an operator",
            mark: apply_drain,
            list_lag_ms: LONG_LIST_LAG_MS,
            is_broker_frozen: false,
        },
        LeavingCase {
            name: "listed by the platform",
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
            name: "reported by the server with a frozen broker",
            mark: report_leaving,
            list_lag_ms: LONG_LIST_LAG_MS,
            is_broker_frozen: true,
        },
        LeavingCase {
            name: "drained by an operator with a frozen broker",
            mark: apply_drain,
            list_lag_ms: LONG_LIST_LAG_MS,
            is_broker_frozen: true,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| run_case(case));
        }
    });
}

fn report_leaving(fleet: &mut TestFleet) {
    let command = json!({ "leaving": true });
    let response = post_json(fleet.engines[0].address(), "/control", &command);
    assert_eq!(response.expect("the engine responds").status, 200);
}

fn apply_drain(fleet: &mut TestFleet) {
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
    let stop_at = Instant::now() + Duration::from_secs(1) + MAX_LEAVE_DELAY + OBSERVATION_TIME;
    let callers: Vec<_> = fleet
        .daemons
        .iter()
        .enumerate()
        .filter(|(index, _)| !case.is_broker_frozen || *index != broker)
        .flat_map(|(_, daemon)| [daemon.entry; 4])
        .map(|entry| thread::spawn(move || call_until(entry, stop_at)))
        .collect();

    thread::sleep(Duration::from_secs(1));
    assert!(
        executions(&fleet, 0) > 0,
        "{}: the server got no request before the mark",
        case.name
    );
    if case.is_broker_frozen {
        fleet.daemons[broker].process.freeze();
    }
    (case.mark)(&mut fleet);
    thread::sleep(MAX_LEAVE_DELAY);
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
        let response = ChatCall::new(entry, 10).send();
        assert!(response.is_expected_stream(10), "{response:?}");
    }
}

fn executions(fleet: &TestFleet, engine: usize) -> usize {
    let address = fleet.engines[engine].address();
    let counts = get_json(address, "/executions").expect("the engine responds");
    counts.body["executions"]
        .as_object()
        .map_or(0, serde_json::Map::len)
}
