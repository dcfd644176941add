//! Priorities, floors and turns hold through real processes under a burst.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::callers::{CallerGroup, addresses, pool_number, pool_status, started_executions};
use common::{CallResponse, ChatCall, FleetPlan, TestFleet, wait_until};

const POOL: &str = "engines";

/// Slots of the one engine of the pool.
const SLOTS: usize = 8;

/// Tokens of each answer.
const TOKENS: usize = 10;

/// Time of one answer at 10 ms a token, and half of it more for a busy machine.
const SERVICE_LIMIT: Duration = Duration::from_millis(150);

/// Longest way of a question to the broker and back.
const GRANT_LIMIT: Duration = Duration::from_millis(100);

/// Time within which a refusal arrives where nothing else runs.
const REFUSAL_LIMIT: Duration = Duration::from_millis(50);

/// Requests that teach the broker the length of a class's answers.
const LESSONS: usize = 16;

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

/// A fleet whose broker, and the two entries beside it, are known.
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
        let entry = |step: usize| fleet.daemons[(broker + step) % 3].entry;
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

    /// Lets the broker learn the length of a class's answers.
    fn teach(&self, label: Option<&'static str>) {
        let calls: Vec<_> = (0..LESSONS)
            .map(|_| {
                let call = self.call(0, label);
                thread::spawn(move || call.send())
            })
            .collect();
        for call in calls {
            let answer = call.join().expect("the caller ends");
            assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
        }
    }

    fn queued(&self) -> usize {
        pool_number(&self.fleet.daemons[self.broker], POOL, "queued") as usize
    }

    fn wait_for_queue(&self, length: usize) {
        wait_until("the queue is long", || self.queued() >= length);
    }
}

#[test]
fn the_highest_tier_waits_behind_no_lower_one() {
    const TRICKLE: usize = 20;
    let tiers = TierFleet::start();
    tiers.teach(Some("high"));
    let burst = CallerGroup::spawn(&tiers.call(0, None), 12 * SLOTS);
    tiers.wait_for_queue(8 * SLOTS);

    let mut waits = Vec::new();
    for _ in 0..TRICKLE {
        let queued = tiers.queued();
        assert!(queued >= 4 * SLOTS, "only {queued} requests are queued");
        let answer = tiers.call(1, Some("high")).send();
        assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
        let limit = SERVICE_LIMIT + GRANT_LIMIT + SERVICE_LIMIT;
        assert!(answer.elapsed < limit, "{answer:?}");
        waits.push(answer.elapsed);
        thread::sleep(GRANT_LIMIT);
    }
    let burst = burst.stop_and_check(TOKENS);
    waits.sort();
    let (median, longest) = (waits[TRICKLE / 2], waits[TRICKLE - 1]);
    println!("high: median {median:?}, longest {longest:?}");
    println!("low: {} answers", burst.len());
}

/// One class that waits during a burst of a higher tier.
struct FloorCase {
    label: Option<&'static str>,
    /// Floor in percent; where the table names none, it is 1.
    floor: usize,
}

#[test]
fn every_class_gets_its_floor_during_a_burst() {
    const RUN_TIME: Duration = Duration::from_secs(8);
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
    tiers.teach(Some("burst"));
    for case in &cases {
        tiers.teach(case.label);
    }
    let flood = ChatCall {
        workspace: "flood",
        ..tiers.call(0, Some("burst"))
    };
    let burst = CallerGroup::spawn(&flood, 6 * SLOTS);
    tiers.wait_for_queue(4 * SLOTS);

    let engines = addresses(&tiers.fleet.engines);
    let begun_before = started_executions(&engines);
    let groups: Vec<_> = cases
        .iter()
        .map(|case| CallerGroup::spawn(&tiers.call(1, case.label), CALLERS))
        .collect();
    thread::sleep(RUN_TIME);
    let granted = started_executions(&engines) - begun_before;
    // The callers that still wait are served soon without the burst; those
    // answers don't count.
    burst.stop_and_check(TOKENS);
    for (case, group) in cases.iter().zip(groups) {
        let served = group.stop_and_check(TOKENS).len().saturating_sub(CALLERS);
        // All answers are of the same length, so the work of the bound
        // 100 w / floor + n W comes to as many requests.
        let needed = granted / (100 / case.floor + classes);
        println!(
            "{:?}: floor {}, {served} of {granted} requests, {needed} needed",
            case.label, case.floor
        );
        assert!(served + 1 >= needed, "{:?}", case.label);
        assert!(served > 0, "{:?}", case.label);
    }
}

#[test]
fn a_flood_from_one_workspace_leaves_the_others_their_share() {
    const RUN_TIME: Duration = Duration::from_secs(6);
    let tiers = TierFleet::start();
    tiers.teach(None);
    let flood = ChatCall {
        workspace: "flood",
        ..tiers.call(0, None)
    };
    let flood = CallerGroup::spawn(&flood, 8 * SLOTS);
    tiers.wait_for_queue(6 * SLOTS);

    let engines = addresses(&tiers.fleet.engines);
    let begun_before = started_executions(&engines);
    let groups = ["desk-a", "desk-b"].map(|workspace| {
        let call = ChatCall {
            workspace,
            ..tiers.call(1, None)
        };
        CallerGroup::spawn(&call, SLOTS)
    });
    thread::sleep(RUN_TIME);
    let granted = started_executions(&engines) - begun_before;
    let answers = groups.map(|group| group.stop_and_check(TOKENS).len());
    let flooded = flood.stop_and_check(TOKENS).len();
    println!("of {granted} requests: {answers:?}, flood {flooded} in all");
    // Three workspaces always wait; a quarter is left for the start.
    let needed = granted / 3 * 3 / 4;
    for answers in answers {
        assert!(answers >= needed, "{answers} of {granted}, {needed} needed");
    }
}

#[test]
fn a_refusal_comes_at_once_where_nothing_runs() {
    const CALLS: usize = 21;
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
        let answers: Vec<_> = (0..CALLS).map(|_| call.send()).collect();
        let mut times: Vec<_> = answers.iter().map(|answer| answer.elapsed).collect();
        times.sort();
        println!("median {:?}, all {times:?}", times[CALLS / 2]);
        for answer in &answers {
            assert_refused(answer, "no-server");
            assert!(answer.elapsed < Duration::from_secs(1), "{answer:?}");
        }
        assert!(times[CALLS / 2] < REFUSAL_LIMIT, "{times:?}");
    }
}

#[test]
fn refusals_of_one_burst_come_early_and_spread_their_return() {
    const CALLS: usize = 30;
    const TARGET: Duration = Duration::from_millis(500);
    let tiers = TierFleet::start();
    tiers.teach_strict();
    tiers.teach(Some("burst"));
    let burst = CallerGroup::spawn(&tiers.call(0, Some("burst")), 10 * SLOTS);
    tiers.wait_for_queue(8 * SLOTS);
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let call = tiers.call(1, Some("strict"));
            thread::spawn(move || call.send())
        })
        .collect();
    let answers: Vec<_> = calls
        .into_iter()
        .map(|call| call.join().expect("the caller ends"))
        .collect();
    burst.stop_and_check(TOKENS);

    let mut times: Vec<_> = answers.iter().map(|answer| answer.elapsed).collect();
    times.sort();
    println!(
        "median {:?}, longest {:?}",
        times[CALLS / 2],
        times[CALLS - 1]
    );
    for answer in &answers {
        assert_refused(answer, "target-missed");
        assert!(answer.elapsed < TARGET / 2, "{answer:?}");
    }
    let millis: BTreeSet<_> = answers.iter().filter_map(|a| a.retry_after_ms).collect();
    let seconds: BTreeSet<_> = answers
        .iter()
        .filter_map(|a| a.retry_after.clone())
        .collect();
    println!("retry after {seconds:?} s, {millis:?} ms");
    assert!(millis.len() > CALLS * 3 / 4, "{millis:?}");
    assert!(seconds.len() > 1, "{seconds:?}");
}

#[test]
fn a_class_without_history_is_not_refused_for_a_guessed_length() {
    let tiers = TierFleet::start();
    // The pool's pace is known, and the pool is idle: an answer takes a fifth
    // of the target.
    tiers.teach(None);
    let answer = tiers.call(1, Some("strict")).send();
    assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
}

impl TierFleet {
    /// Teaches the class whose target only an idle pool can meet.
    fn teach_strict(&self) {
        for _ in 0..LESSONS {
            let answer = self.call(0, Some("strict")).send();
            assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
        }
    }
}

fn assert_refused(answer: &CallResponse, slug: &str) {
    assert!([429, 503].contains(&answer.status), "{answer:?}");
    assert_eq!(answer.ran, "no", "{answer:?}");
    let body = answer.body.as_ref().expect("a whole refusal");
    assert!(body.contains(slug), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
}
