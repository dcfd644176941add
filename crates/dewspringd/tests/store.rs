//! The platform's store misbehaves under a running fleet: the last good
//! revision stays in force everywhere, and requests are served meanwhile.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::{
    ChatCall, FleetPlan, TestDaemon, TestFleet, admin_json, config_key, is_ready, put_key,
    put_request, wait_until,
};
use oxhttp::model::Method;
use serde_json::{Value, json};
use standins::process::{get_json, post_json, send_json};

/// Time in which a change reaches every daemon while the store is well.
const SPREAD_LIMIT: Duration = Duration::from_secs(2);

/// Time for a daemon to see what should change nothing.
const SETTLE_TIME: Duration = Duration::from_millis(150);

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest value of the store, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn store_fleet(daemons: usize) -> TestFleet {
    let fleet = TestFleet::start(FleetPlan {
        daemons,
        engines: 1,
        services: 1,
        daemon_flags: vec![format!(
            "--platform-timeout={}ms",
            PLATFORM_TIMEOUT.as_millis()
        )],
        ..FleetPlan::default()
    });
    for daemon in &fleet.daemons {
        wait_until("the daemon serves", || is_serving(daemon));
    }
    fleet
}

fn is_serving(daemon: &TestDaemon) -> bool {
    ChatCall::new(daemon.entry, 3).send().is_expected_stream(3)
}

fn revision_of(daemon: &TestDaemon) -> u64 {
    admin_json(daemon, "/v1/status").body["revision"]
        .as_u64()
        .expect("the status has a revision")
}

fn assert_in_force(fleet: &TestFleet, revision: u64, when: &str) {
    for daemon in &fleet.daemons {
        assert_eq!(revision_of(daemon), revision, "{when}");
        assert!(is_ready(daemon), "{when}");
    }
}

/// Accepts the next revision and waits until it is in force everywhere.
fn apply_next(fleet: &mut TestFleet, limit: Duration) {
    fleet.apply_tables();
    let (revision, started) = (fleet.revision, Instant::now());
    wait_until("the revision is in force", || {
        fleet
            .daemons
            .iter()
            .all(|daemon| revision_of(daemon) == revision)
    });
    let elapsed = started.elapsed();
    assert!(elapsed < limit, "revision {revision} took {elapsed:?}");
}

/// Watches the daemons and calls them until it is finished.
struct FleetWatch {
    is_finished: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    served: Arc<AtomicUsize>,
    polled: Arc<AtomicUsize>,
}

impl FleetWatch {
    fn start(fleet: &TestFleet) -> Self {
        let mut watch = Self {
            is_finished: Arc::default(),
            threads: Vec::new(),
            served: Arc::default(),
            polled: Arc::default(),
        };
        for daemon in &fleet.daemons {
            let (entry, served) = (daemon.entry, Arc::clone(&watch.served));
            watch.spawn(move || {
                let answer = ChatCall::new(entry, 3).send();
                assert!(answer.is_expected_stream(3), "{answer:?}");
                served.fetch_add(1, Ordering::Relaxed);
            });
            let (admin, polled) = (daemon.admin, Arc::clone(&watch.polled));
            let mut highest = 0;
            watch.spawn(move || {
                let token = format!("Bearer {}", common::SECRET);
                let headers = [("authorization", token.as_str())];
                let status = send_json(Method::GET, admin, "/v1/status", &headers, None);
                let status = status.expect("the daemon answers").body;
                let revision = status["revision"].as_u64().expect("a revision");
                assert!(revision >= highest, "fell from {highest} to {revision}");
                assert_eq!(status["ready"], true, "revision {revision}");
                highest = revision;
                polled.fetch_add(1, Ordering::Relaxed);
            });
        }
        watch
    }

    fn spawn(&mut self, mut step: impl FnMut() + Send + 'static) {
        let is_finished = Arc::clone(&self.is_finished);
        self.threads.push(thread::spawn(move || {
            while !is_finished.load(Ordering::Relaxed) {
                step();
                thread::sleep(POLL_INTERVAL);
            }
        }));
    }

    /// Ends the watch and checks that it saw something.
    fn finish(self) {
        self.is_finished.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("all that was seen was right");
        }
        for count in [&self.served, &self.polled] {
            let count = count.load(Ordering::Relaxed);
            assert!(count >= 10, "only {count} requests or states were seen");
        }
    }
}

struct ValueCase {
    name: &'static str,
    value: Vec<u8>,
}

fn document(revision: &Value, routes: &Value, pools: &Value) -> Vec<u8> {
    let document = json!({
        "revision": revision, "change_id": "bad", "operator": "test",
        "applied_at": 0, "routes": routes, "pools": pools, "history": [],
    });
    document.to_string().into_bytes()
}

/// Values that are no good document beside a fleet's tables.
fn bad_values(fleet: &TestFleet) -> Vec<ValueCase> {
    let case = |name, value: &[u8]| ValueCase {
        name,
        value: value.to_vec(),
    };
    let (routes, pools) = (json!(fleet.plan.routes), json!(fleet.pools_toml()));
    let dangling = json!(fleet.plan.routes.replace("\"engines\"", "\"gone\""));
    // Its comment makes the document almost as large as a value may be.
    let padding = "x".repeat(MAX_VALUE_BYTES - 16 * 1024);
    let large = json!(format!(
        "# {padding}\n{}",
        dangling.as_str().expect("a text")
    ));
    let named = |name, revision: Value, routes: &Value, pools: &Value| ValueCase {
        name,
        value: document(&revision, routes, pools),
    };
    let mut cut = document(&json!(9), &routes, &pools);
    cut.truncate(cut.len() / 2);
    vec![
        case("empty", b""),
        case("garbage", b"\x00\xff\xfe{garbage"),
        case("null", b"null"),
        case("another type", b"[1, 2]"),
        case("nothing in it", b"{}"),
        case("deep", "[".repeat(100_000).as_bytes()),
        case("cut", &cut),
        named("revision as text", json!("9"), &routes, &pools),
        named("revision below zero", json!(-9), &routes, &pools),
        named("revision above 64 bits", json!(1e30), &routes, &pools),
        named("revision 0", json!(0), &routes, &pools),
        named("tables of another type", json!(9), &json!([]), &json!({})),
        named(
            "tables that are no TOML",
            json!(9),
            &json!("[[route"),
            &pools,
        ),
        named("no pools", json!(9), &routes, &json!("")),
        named("dangling pool", json!(9), &dangling, &pools),
        named("large and dangling", json!(9), &large, &pools),
        named("same revision, another change", json!(2), &routes, &pools),
        named("lower revision", json!(1), &routes, &pools),
    ]
}

#[test]
fn a_bad_document_changes_nothing() {
    let mut fleet = store_fleet(2);
    apply_next(&mut fleet, SPREAD_LIMIT);
    let watch = FleetWatch::start(&fleet);
    let platform = fleet.platform.address();
    for case in bad_values(&fleet) {
        put_key(platform, &config_key(), &case.value);
        thread::sleep(SETTLE_TIME);
        assert_in_force(&fleet, 2, case.name);
    }
    let oversized = put_request(&config_key(), &vec![b' '; MAX_VALUE_BYTES + 1]);
    let answer = post_json(platform, "/v3/kv/txn", &oversized).expect("an answer");
    assert_eq!(answer.status, 400, "{:?}", answer.body);
    assert_in_force(&fleet, 2, "oversized");
    // The daemons still follow the store.
    apply_next(&mut fleet, SPREAD_LIMIT);
    watch.finish();
}

#[test]
fn a_daemon_that_starts_with_a_bad_document_waits_for_a_good_one() {
    let mut fleet = store_fleet(0);
    put_key(fleet.platform.address(), &config_key(), b"garbage");
    let daemon = fleet.start_daemon(1);
    fleet.daemons.push(daemon);
    thread::sleep(SETTLE_TIME * 2);
    assert!(!is_ready(&fleet.daemons[0]));
    assert_eq!(revision_of(&fleet.daemons[0]), 0);
    apply_next(&mut fleet, SPREAD_LIMIT);
    assert!(is_ready(&fleet.daemons[0]));
}

#[test]
fn a_store_with_older_data_reverts_nothing() {
    let mut fleet = store_fleet(2);
    let watch = FleetWatch::start(&fleet);
    fleet.control_platform(&json!({ "snapshot": true }));
    apply_next(&mut fleet, SPREAD_LIMIT);
    apply_next(&mut fleet, SPREAD_LIMIT);
    fleet.control_platform(&json!({ "restore": true }));
    // The restore ends the watches, so the daemons read the older data.
    thread::sleep(Duration::from_millis(800));
    assert_in_force(&fleet, 3, "restored to revision 1");
    fleet.revision = 1;
    fleet.apply_tables();
    thread::sleep(SETTLE_TIME);
    assert_in_force(&fleet, 3, "revision 2 again");
    fleet.revision = 3;
    apply_next(&mut fleet, SPREAD_LIMIT);
    watch.finish();
}

#[test]
fn a_key_that_vanishes_takes_nothing_away() {
    let mut fleet = store_fleet(2);
    let platform = fleet.platform.address();
    apply_next(&mut fleet, SPREAD_LIMIT);
    let watch = FleetWatch::start(&fleet);
    // The key is bound to a lease that nobody renews.
    let lease = post_json(platform, "/v3/lease/grant", &json!({ "TTL": "1" }));
    let lease = lease.expect("a lease").body["ID"].clone();
    let mut order = put_request(
        &config_key(),
        &document(&json!(2), &json!(fleet.plan.routes), &json!("")),
    );
    order["success"][0]["request_put"]["lease"] = lease;
    let put = post_json(platform, "/v3/kv/txn", &order).expect("an answer");
    assert_eq!(put.status, 200);
    let range = json!({ "key": order["success"][0]["request_put"]["key"] });
    wait_until("the key is gone", || {
        let answer = post_json(platform, "/v3/kv/range", &range).expect("an answer");
        answer.body["kvs"].as_array().is_none_or(Vec::is_empty)
    });
    // Broken watches make the daemons read the key again.
    let reads = |fleet: &TestFleet| {
        let counts = get_json(fleet.platform.address(), "/counts").expect("counts");
        counts.body["range"].as_u64().expect("a count")
    };
    let before = reads(&fleet);
    fleet.control_platform(&json!({ "mode": "down" }));
    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("both daemons read the key", || reads(&fleet) >= before + 2);
    thread::sleep(SETTLE_TIME);
    assert_in_force(&fleet, 2, "no key");
    apply_next(&mut fleet, SPREAD_LIMIT);
    watch.finish();
}

struct OutageCase {
    name: &'static str,
    order: Value,
}

#[test]
fn an_outage_of_the_store_changes_nothing() {
    let slow = 4 * PLATFORM_TIMEOUT.as_millis();
    let cases = [
        OutageCase {
            name: "down",
            order: json!({ "mode": "down" }),
        },
        OutageCase {
            name: "slow",
            order: json!({ "mode": "slow", "delay_ms": slow as u64 }),
        },
    ];
    // The longest pause between two tries, and the spread.
    let recovery = Duration::from_secs(5) + SPREAD_LIMIT;
    let mut fleet = store_fleet(2);
    let watch = FleetWatch::start(&fleet);
    for case in cases {
        // A restart of the watches makes the daemons feel the slow store too.
        fleet.control_platform(&json!({ "mode": "down" }));
        fleet.control_platform(&case.order);
        thread::sleep(Duration::from_millis(700));
        assert_in_force(&fleet, fleet.revision, case.name);
        fleet.control_platform(&json!({ "mode": "up" }));
        apply_next(&mut fleet, recovery);
    }
    watch.finish();
}

#[test]
fn a_daemon_that_starts_while_the_store_is_down_waits() {
    let mut fleet = store_fleet(0);
    fleet.control_platform(&json!({ "mode": "down" }));
    let daemon = fleet.start_daemon(1);
    fleet.daemons.push(daemon);
    let daemon = &fleet.daemons[0];
    thread::sleep(Duration::from_millis(500));
    let readyz = get_json(daemon.admin, "/readyz").expect("the daemon answers");
    assert_eq!(readyz.status, 503);
    let health = get_json(daemon.admin, "/healthz").expect("the daemon answers");
    assert_eq!(health.status, 200);
    // A caller is told to come back, not that its path is unknown.
    let early = ChatCall::new(daemon.entry, 1).send();
    assert_eq!((early.status, early.ran.as_str()), (503, "no"), "{early:?}");
    assert!(early.retry_after.is_some(), "{early:?}");

    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("the daemon is ready", || is_ready(daemon));
    wait_until("the daemon serves", || is_serving(daemon));
    assert_eq!(revision_of(daemon), 1);
}

#[test]
fn a_daemon_that_is_ready_serves_at_once() {
    const STARTS: usize = 100;
    let fleet = store_fleet(0);
    for start in 0..STARTS {
        let daemon = fleet.start_daemon(1);
        while !is_ready(&daemon) {}
        let answer = ChatCall::new(daemon.entry, 3).send();
        assert!(answer.is_expected_stream(3), "start {start}: {answer:?}");
    }
}
