//! Tiers, floors and fair shares of workspaces during a burst, with real
//! processes.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::callers::{CallerGroup, addresses, pool_number, pool_status, started_executions};
use common::{CallResponse, ChatCall, FleetPlan, TestFleet, wait_until};

const POOL: &str = "engines";

/// Slots of the pool's only engine.
const SLOTS: usize = 8;

/// Tokens of each response.
const TOKENS: usize = 10;

/// Longest time of one response: 10 ms for each token, plus half of that for a
/// busy machine.
const MAX_SERVICE_TIME: Duration = Duration::from_millis(150);

/// Longest round trip of a grant request to the broker.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(100);

/// Longest median time of a refusal while nothing else runs.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);

/// Number of requests from which the broker estimates the length of a class's
/// responses.
const WARMUP_REQUESTS: usize = 16;

const ROUTES: &str = r#"
[[route]]
name = "high"
path = "/v1/chat/completions"
model = "small"
label = "high"
pool = "engines"
tier = 0
target = "2s"
late = "worthless"
timeout = "10s"

[[route]]
name = "burst"
path = "/v1/chat/completions"
model = "small"
label = "burst"
pool = "engines"
tier = 1
target = "20s"
timeout = "25s"

[[route]]
name = "strict"
path = "/v1/chat/completions"
model = "small"
label = "strict"
pool = "engines"
tier = 2
target = "500ms"
late = "worthless"
timeout = "10s"

[[route]]
name = "desk"
path = "/v1/chat/completions"
model = "small"
label = "desk"
pool = "engines"
tier = 2
floor_percent = 10
target = "20s"
timeout = "25s"

[[route]]
name = "night"
path = "/v1/chat/completions"
model = "small"
label = "night"
pool = "engines"
tier = 3
floor_percent = 5
target = "20s"
timeout = "25s"

[[route]]
name = "low"
path = "/v1/chat/completions"
model = "small"
pool = "engines"
tier = 4
target = "20s"
timeout = "25s"
"#;

/// A fleet with its broker and the entries on the two other VMs.
struct TierFleet {
    fleet: TestFleet,
    broker: usize,
    /// Entries of the two VMs that aren't the broker.
    entries: [SocketAddr; 2],
}

impl TierFleet {
    fn start() -> Self {
        let fleet = TestFleet::start(FleetPlan {
            daemons: 3,
            engines: 1,
            services: 1,
            engine_flags: vec!["--token-interval-ms=10".into()],
            routes: ROUTES.into(),
            ..FleetPlan::default()
        });
        let broker = fleet.broker_of(POOL);
        let entry = |offset: usize| fleet.daemons[(broker + offset) % 3].entry;
        let entries = [entry(1), entry(2)];
        Self {
            fleet,
            broker,
            entries,
        }
    }

    fn call(&self, entry: usize, label: Option<&'static str>) -> ChatCall {
        ChatCall {
            label,
            ..ChatCall::new(self.entries[entry], TOKENS)
        }
    }

    /// Sends concurrent requests from which the broker estimates the length of a
    /// class's responses.
    fn warm_up(&self, label: Option<&'static str>) {
        let calls: Vec<_> = (0..WARMUP_REQUESTS)
            .map(|_| {
                let call = self.call(0, label);
                thread::spawn(move || call.send())
            })
            .collect();
        for call in calls {
            let response = call.join().expect("the caller ends");
            assert!(response.is_expected_stream(TOKENS), "{response:?}");
        }
    }

    fn queued(&self) -> usize {
        pool_number(&self.fleet.daemons[self.broker], POOL, "queued") as usize
    }

    fn wait_for_queue(&self, length: usize) {
        wait_until("the queue has its length", || self.queued() >= length);
    }
}

#[test]
fn the_highest_tier_does_not_wait_for_lower_tiers() {
    const HIGH_REQUESTS: usize = 20;
    let tiers = TierFleet::start();
    tiers.warm_up(Some("high"));
    let burst = CallerGroup::spawn(&tiers.call(0, None), 12 * SLOTS);
    tiers.wait_for_queue(8 * SLOTS);

    let mut waits = Vec::new();
    for _ in 0..HIGH_REQUESTS {
        let queued = tiers.queued();
        assert!(queued >= 4 * SLOTS, "only {queued} requests are queued");
        let response = tiers.call(1, Some("high")).send();
        assert!(response.is_expected_stream(TOKENS), "{response:?}");
        let limit = MAX_SERVICE_TIME + MAX_GRANT_DELAY + MAX_SERVICE_TIME;
        assert!(response.elapsed < limit, "{response:?}");
        waits.push(response.elapsed);
        thread::sleep(MAX_GRANT_DELAY);
    }
    let burst = burst.stop_and_check(TOKENS);
    waits.sort();
    let (median, longest) = (waits[HIGH_REQUESTS / 2], waits[HIGH_REQUESTS - 1]);
    println!("high: median {median:?}, longest {longest:?}");
    println!("low: {} responses", burst.len());
}

/// A class with waiting requests during a burst of a higher tier.
struct FloorCase {
    label: Option<&'static str>,
    /// Floor in percent; 1 if the table sets none.
    floor: usize,
}

#[test]
fn every_class_gets_its_floor_during_a_burst() {
    const RUN_DURATION: Duration = Duration::from_secs(8);
    const CALLERS: usize = 2;
    let cases = [
        FloorCase {
            label: Some("desk"),
            floor: 10,
        },
        FloorCase {
            label: Some("night"),
            floor: 5,
        },
        FloorCase {
            label: None,
            floor: 1,
        },
    ];
    let classes = cases.len() + 1;
    let tiers = TierFleet::start();
    tiers.warm_up(Some("burst"));
    for case in &cases {
        tiers.warm_up(case.label);
    }
    let flood = ChatCall {
        workspace: "flood",
        ..tiers.call(0, Some("burst"))
    };
    let burst = CallerGroup::spawn(&flood, 6 * SLOTS);
    tiers.wait_for_queue(4 * SLOTS);

    let engines = addresses(&tiers.fleet.engines);
    let started_before = started_executions(&engines);
    let groups: Vec<_> = cases
        .iter()
        .map(|case| CallerGroup::spawn(&tiers.call(1, case.label), CALLERS))
        .collect();
    thread::sleep(RUN_DURATION);
    let granted = started_executions(&engines) - started_before;
    // The request of each caller that waits when the burst stops is then served
    // quickly, so its response isn't counted below.
    burst.stop_and_check(TOKENS);
    for (case, group) in cases.iter().zip(groups) {
        let served = group.stop_and_check(TOKENS).len().saturating_sub(CALLERS);
        // A floor grants a request of `w` tokens before the pool has granted
        // another `100 w / floor + n W` tokens to its `n` classes. All responses
        // have the same length, so this also bounds the number of requests.
        let required = granted / (100 / case.floor + classes);
        println!(
            "{:?}: floor {}, {served} of {granted} requests, {required} required",
            case.label, case.floor
        );
        assert!(served + 1 >= required, "{:?}", case.label);
        assert!(served > 0, "{:?}", case.label);
    }
}

#[test]
fn a_flood_from_one_workspace_leaves_others_their_share() {
    const RUN_DURATION: Duration = Duration::from_secs(6);
    let tiers = TierFleet::start();
    tiers.warm_up(None);
    let flood = ChatCall {
        workspace: "flood",
        ..tiers.call(0, None)
    };
    let flood = CallerGroup::spawn(&flood, 8 * SLOTS);
    tiers.wait_for_queue(6 * SLOTS);

    let engines = addresses(&tiers.fleet.engines);
    let started_before = started_executions(&engines);
    let groups = ["desk-a", "desk-b"].map(|workspace| {
        let call = ChatCall {
            workspace,
            ..tiers.call(1, None)
        };
        CallerGroup::spawn(&call, SLOTS)
    });
    thread::sleep(RUN_DURATION);
    let granted = started_executions(&engines) - started_before;
    let responses = groups.map(|group| group.stop_and_check(TOKENS).len());
    let flooded = flood.stop_and_check(TOKENS).len();
    println!("of {granted} requests: {responses:?}, flood {flooded} in total");
    // Three workspaces have requests queued all the time; a quarter of the
    // share is allowed for the start.
    let required = granted / 3 * 3 / 4;
    for responses in responses {
        assert!(
            responses >= required,
            "{responses} of {granted}, {required} required"
        );
    }
}

#[test]
fn a_drained_pool_refuses_immediately() {
    const REQUESTS: usize = 21;
    let mut tiers = TierFleet::start();
    let drained = tiers.fleet.pools_toml();
    let drained = drained.replace("slots = 8", "slots = 8, drain = true");
    tiers.fleet.apply_pools(&drained);
    wait_until("the pool is drained", || {
        let daemons = tiers.fleet.daemons.iter();
        daemons
            .map(|daemon| pool_status(daemon, POOL))
            .all(|pool| pool["servers"][0]["state"] == "draining")
    });
    for daemon in &tiers.fleet.daemons {
        let call = ChatCall::new(daemon.entry, TOKENS);
        let responses: Vec<_> = (0..REQUESTS).map(|_| call.send()).collect();
        let mut times: Vec<_> = responses.iter().map(|response| response.elapsed).collect();
        times.sort();
        println!("median {:?}, all {times:?}", times[REQUESTS / 2]);
        for response in &responses {
            assert_refused(response, "no-server");
            assert!(response.elapsed < Duration::from_secs(1), "{response:?}");
        }
        assert!(times[REQUESTS / 2] < MAX_REFUSAL_TIME, "{times:?}");
    }
}

#[test]
fn requests_that_miss_their_target_are_refused_early_with_spread_retry_times() {
    const REQUESTS: usize = 30;
    const TARGET: Duration = Duration::from_millis(500);
    let tiers = TierFleet::start();
    tiers.warm_up_strict();
    tiers.warm_up(Some("burst"));
    let burst = CallerGroup::spawn(&tiers.call(0, Some("burst")), 10 * SLOTS);
    tiers.wait_for_queue(8 * SLOTS);
    let calls: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let call = tiers.call(1, Some("strict"));
            thread::spawn(move || call.send())
        })
        .collect();
    let responses: Vec<_> = calls
        .into_iter()
        .map(|call| call.join().expect("the caller ends"))
        .collect();
    burst.stop_and_check(TOKENS);

    let mut times: Vec<_> = responses.iter().map(|response| response.elapsed).collect();
    times.sort();
    println!(
        "median {:?}, longest {:?}",
        times[REQUESTS / 2],
        times[REQUESTS - 1]
    );
    for response in &responses {
        assert_refused(response, "target-missed");
        assert!(response.elapsed < TARGET / 2, "{response:?}");
    }
    let millis: BTreeSet<_> = responses
        .iter()
        .filter_map(|response| response.retry_after_ms)
        .collect();
    let seconds: BTreeSet<_> = responses
        .iter()
        .filter_map(|response| response.retry_after.clone())
        .collect();
    println!("retry after {seconds:?} s, {millis:?} ms");
    assert!(millis.len() > REQUESTS * 3 / 4, "{millis:?}");
    assert!(seconds.len() > 1, "{seconds:?}");
}

#[test]
fn a_class_without_history_is_not_refused_on_an_estimated_length() {
    let tiers = TierFleet::start();
    // The pool's token rate is known and the pool is idle: a response takes a
    // fifth of the target.
    tiers.warm_up(None);
    let response = tiers.call(1, Some("strict")).send();
    assert!(response.is_expected_stream(TOKENS), "{response:?}");
}

impl TierFleet {
    /// Warms up the strict class one request at a time, because only an idle pool
    /// meets its target.
    fn warm_up_strict(&self) {
        for _ in 0..WARMUP_REQUESTS {
            let response = self.call(0, Some("strict")).send();
            assert!(response.is_expected_stream(TOKENS), "{response:?}");
        }
    }
}

fn assert_refused(response: &CallResponse, problem: &str) {
    assert!([429, 503].contains(&response.status), "{response:?}");
    assert_eq!(response.ran, "no", "{response:?}");
    let body = response.body.as_ref().expect("a complete refusal");
    assert!(body.contains(problem), "{response:?}");
    assert!(response.retry_after.is_some(), "{response:?}");
}
