//! Faults of the platform's store under a running fleet: the last valid
//! revision stays in force on every daemon, and requests are still served.

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

/// Longest time until a change is in force on every daemon while the store is
/// healthy.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Time for the daemons to receive a write that they should ignore.
const SETTLE_DELAY: Duration = Duration::from_millis(150);

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest value that the store accepts, in bytes.
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

/// Writes the next revision to the store and waits until it is in force on all
/// daemons.
fn apply_next(fleet: &mut TestFleet, max_delay: Duration) {
    fleet.apply_tables();
    let (revision, started) = (fleet.revision, Instant::now());
    wait_until("the revision is in force", || {
        fleet
            .daemons
            .iter()
            .all(|daemon| revision_of(daemon) == revision)
    });
    let elapsed = started.elapsed();
    assert!(elapsed < max_delay, "revision {revision} took {elapsed:?}");
}

/// Sends requests to the daemons and polls their status until it is finished.
struct FleetMonitor {
    is_finished: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    served: Arc<AtomicUsize>,
    polled: Arc<AtomicUsize>,
}

impl FleetMonitor {
    fn start(fleet: &TestFleet) -> Self {
        let mut monitor = Self {
            is_finished: Arc::default(),
            threads: Vec::new(),
            served: Arc::default(),
            polled: Arc::default(),
        };
        for daemon in &fleet.daemons {
            let (entry, served) = (daemon.entry, Arc::clone(&monitor.served));
            monitor.spawn(move || {
                let response = ChatCall::new(entry, 3).send();
                assert!(response.is_expected_stream(3), "{response:?}");
                served.fetch_add(1, Ordering::Relaxed);
            });
            let (admin, polled) = (daemon.admin, Arc::clone(&monitor.polled));
            let mut highest = 0;
            monitor.spawn(move || {
                let token = format!("Bearer {}", common::SECRET);
                let headers = [("authorization", token.as_str())];
                let status = send_json(Method::GET, admin, "/v1/status", &headers, None);
                let status = status.expect("the daemon responds").body;
                let revision = status["revision"].as_u64().expect("a revision");
                assert!(
                    revision >= highest,
                    "revision decreased from {highest} to {revision}"
                );
                assert_eq!(status["ready"], true, "revision {revision}");
                highest = revision;
                polled.fetch_add(1, Ordering::Relaxed);
            });
        }
        monitor
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

    /// Stops the threads and checks that they made enough requests.
    ///
    /// # Panics
    ///
    /// Panics if a request failed, a revision decreased, or a daemon wasn't ready.
    fn finish(self) {
        self.is_finished.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("every check of the monitor holds");
        }
        for count in [&self.served, &self.polled] {
            let count = count.load(Ordering::Relaxed);
            assert!(count >= 10, "only {count} requests or status polls");
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

/// Returns values that daemons of the fleet must ignore: malformed documents,
/// invalid tables and revisions that aren't newer.
fn invalid_values(fleet: &TestFleet) -> Vec<ValueCase> {
    let case = |name, value: &[u8]| ValueCase {
        name,
        value: value.to_vec(),
    };
    let (routes, pools) = (json!(fleet.plan.routes), json!(fleet.pools_toml()));
    let dangling = json!(fleet.plan.routes.replace("\"engines\"", "\"gone\""));
    // A comment makes the document almost as large as the store accepts.
    let padding = "x".repeat(MAX_VALUE_BYTES - 16 * 1024);
    let large = json!(format!(
        "# {padding}\n{}",
        dangling.as_str().expect("a text")
    ));
    let named = |name, revision: Value, routes: &Value, pools: &Value| ValueCase {
        name,
        value: document(&revision, routes, pools),
    };
    let mut truncated = document(&json!(9), &routes, &pools);
    truncated.truncate(truncated.len() / 2);
    vec![
        case("empty", b""),
        case("garbage", b"\x00\xff\xfe{garbage"),
        case("null", b"null"),
        case("array", b"[1, 2]"),
        case("empty object", b"{}"),
        case("deeply nested", "[".repeat(100_000).as_bytes()),
        case("truncated", &truncated),
        named("revision as a string", json!("9"), &routes, &pools),
        named("negative revision", json!(-9), &routes, &pools),
        named("revision above 64 bits", json!(1e30), &routes, &pools),
        named("revision 0", json!(0), &routes, &pools),
        named(
            "tables that aren't strings",
            json!(9),
            &json!([]),
            &json!({}),
        ),
        named(
            "tables that aren't TOML",
            json!(9),
            &json!("[[route"),
            &pools,
        ),
        named("no pools", json!(9), &routes, &json!("")),
        named("dangling pool", json!(9), &dangling, &pools),
        named(
            "dangling pool in a large document",
            json!(9),
            &large,
            &pools,
        ),
        named("same revision, another change", json!(2), &routes, &pools),
        named("lower revision", json!(1), &routes, &pools),
    ]
}

#[test]
fn an_invalid_document_is_ignored() {
    let mut fleet = store_fleet(2);
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    let monitor = FleetMonitor::start(&fleet);
    let platform = fleet.platform.address();
    for case in invalid_values(&fleet) {
        put_key(platform, &config_key(), &case.value);
        thread::sleep(SETTLE_DELAY);
        assert_in_force(&fleet, 2, case.name);
    }
    let oversized = put_request(&config_key(), &vec![b' '; MAX_VALUE_BYTES + 1]);
    let response = post_json(platform, "/v3/kv/txn", &oversized).expect("a response");
    assert_eq!(response.status, 400, "{:?}", response.body);
    assert_in_force(&fleet, 2, "oversized");
    // A valid revision must still take effect.
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    monitor.finish();
}

#[test]
fn a_daemon_started_with_an_invalid_document_waits_for_a_valid_one() {
    let mut fleet = store_fleet(0);
    put_key(fleet.platform.address(), &config_key(), b"garbage");
    let daemon = fleet.start_daemon(1);
    fleet.daemons.push(daemon);
    thread::sleep(SETTLE_DELAY * 2);
    assert!(!is_ready(&fleet.daemons[0]));
    assert_eq!(revision_of(&fleet.daemons[0]), 0);
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    assert!(is_ready(&fleet.daemons[0]));
}

#[test]
fn restored_older_data_is_ignored() {
    let mut fleet = store_fleet(2);
    let monitor = FleetMonitor::start(&fleet);
    fleet.control_platform(&json!({ "snapshot": true }));
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    fleet.control_platform(&json!({ "restore": true }));
    // The restore closes the watches, so that the daemons read the older data.
    thread::sleep(Duration::from_millis(800));
    assert_in_force(&fleet, 3, "restored to revision 1");
    fleet.revision = 1;
    fleet.apply_tables();
    thread::sleep(SETTLE_DELAY);
    assert_in_force(&fleet, 3, "revision 2 again");
    fleet.revision = 3;
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    monitor.finish();
}

#[test]
fn an_expired_key_keeps_the_revision_in_force() {
    let mut fleet = store_fleet(2);
    let platform = fleet.platform.address();
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    let monitor = FleetMonitor::start(&fleet);
    // The key is attached to a lease that is never renewed.
    let lease = post_json(platform, "/v3/lease/grant", &json!({ "TTL": "1" }));
    let lease = lease.expect("a lease").body["ID"].clone();
    let mut put_with_lease = put_request(
        &config_key(),
        &document(&json!(2), &json!(fleet.plan.routes), &json!("")),
    );
    put_with_lease["success"][0]["request_put"]["lease"] = lease;
    let put = post_json(platform, "/v3/kv/txn", &put_with_lease).expect("a response");
    assert_eq!(put.status, 200);
    let range = json!({ "key": put_with_lease["success"][0]["request_put"]["key"] });
    wait_until("the key has expired", || {
        let response = post_json(platform, "/v3/kv/range", &range).expect("a response");
        response.body["kvs"].as_array().is_none_or(Vec::is_empty)
    });
    // Closed watches make the daemons read the key again.
    let reads = |fleet: &TestFleet| {
        let counts = get_json(fleet.platform.address(), "/counts").expect("counts");
        counts.body["range"].as_u64().expect("a count")
    };
    let before = reads(&fleet);
    fleet.control_platform(&json!({ "mode": "down" }));
    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("both daemons read the key", || reads(&fleet) >= before + 2);
    thread::sleep(SETTLE_DELAY);
    assert_in_force(&fleet, 2, "no key");
    apply_next(&mut fleet, MAX_PROPAGATION_TIME);
    monitor.finish();
}

struct OutageCase {
    name: &'static str,
    command: Value,
}

#[test]
fn an_outage_keeps_the_revision_in_force() {
    let slow = 4 * PLATFORM_TIMEOUT.as_millis();
    let cases = [
        OutageCase {
            name: "down",
            command: json!({ "mode": "down" }),
        },
        OutageCase {
            name: "slow",
            command: json!({ "mode": "slow", "delay_ms": slow as u64 }),
        },
    ];
    // The longest delay between two attempts, and the propagation.
    let recovery = Duration::from_secs(5) + MAX_PROPAGATION_TIME;
    let mut fleet = store_fleet(2);
    let monitor = FleetMonitor::start(&fleet);
    for case in cases {
        // Daemons notice a slow store only when they open their watches again.
        fleet.control_platform(&json!({ "mode": "down" }));
        fleet.control_platform(&case.command);
        thread::sleep(Duration::from_millis(700));
        assert_in_force(&fleet, fleet.revision, case.name);
        fleet.control_platform(&json!({ "mode": "up" }));
        apply_next(&mut fleet, recovery);
    }
    monitor.finish();
}

#[test]
fn a_daemon_started_during_an_outage_waits_for_the_store() {
    let mut fleet = store_fleet(0);
    fleet.control_platform(&json!({ "mode": "down" }));
    let daemon = fleet.start_daemon(1);
    fleet.daemons.push(daemon);
    let daemon = &fleet.daemons[0];
    thread::sleep(Duration::from_millis(500));
    let readyz = get_json(daemon.admin, "/readyz").expect("the daemon responds");
    assert_eq!(readyz.status, 503);
    let health = get_json(daemon.admin, "/healthz").expect("the daemon responds");
    assert_eq!(health.status, 200);
    // The caller must be asked to retry rather than get "unknown path".
    let early = ChatCall::new(daemon.entry, 1).send();
    assert_eq!((early.status, early.ran.as_str()), (503, "no"), "{early:?}");
    assert!(early.retry_after.is_some(), "{early:?}");

    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("the daemon is ready", || is_ready(daemon));
    wait_until("the daemon serves", || is_serving(daemon));
    assert_eq!(revision_of(daemon), 1);
}

/// Guards against a race at startup in which a daemon reports that it is ready
/// before its entry can serve.
#[test]
fn a_ready_daemon_serves_immediately() {
    const STARTS: usize = 100;
    let fleet = store_fleet(0);
    for start in 0..STARTS {
        let daemon = fleet.start_daemon(1);
        while !is_ready(&daemon) {}
        let response = ChatCall::new(daemon.entry, 3).send();
        assert!(
            response.is_expected_stream(3),
            "start {start}: {response:?}"
        );
    }
}
