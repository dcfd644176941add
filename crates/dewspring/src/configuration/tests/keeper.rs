//! Tests of the running keeper against a store with injected faults.

use std::thread;
use std::time::{Duration, Instant};

use super::super::exchange::{ConfigExchange, ConfigSnapshot};
use super::super::files::{LoadTablesError, load_table_files};
use super::super::keeper::{ConfigKeeper, KeeperSettings};
use super::super::state::ConfigProblem;
use super::{document, read_plain};
use crate::ids::Revision;
use crate::store::tests::faulty::FaultyStore;
use crate::store::tests::wait_for;
use crate::store::{EmbeddedStore, ExpectedVersion, PlatformStore, StoreError, SwapOutcome};
use crate::tables::{ConfigDocument, config_key};

const FLEET: &str = "north";
/// Time within which a change must be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(6);
const ROUTES: &str = r#"
[[route]]
name = "pay"
path = "/pay"
pool = "desk"
tier = 0
target = "2s"
idempotent = false
"#;
const POOLS: &str = r#"
[[pool]]
name = "desk"
kind = "service"
server = [{ name = "d1", address = "127.0.0.1:9101", data_centre = "dc-1", slots = 4 }]
"#;

fn spawn(store: &FaultyStore) -> ConfigKeeper {
    let settings = KeeperSettings {
        watch_timeout: Duration::from_millis(100),
        retry_base: Duration::from_millis(5),
        retry_limit: Duration::from_millis(20),
        ..KeeperSettings::new(FLEET, 3)
    };
    ConfigKeeper::spawn_with(store.clone(), settings, read_plain)
}

fn write(store: &EmbeddedStore, bytes: &[u8]) {
    let key = config_key(FLEET);
    let expected = match store.get(&key).expect("the store answers") {
        Some(entry) => ExpectedVersion::Version(entry.version),
        None => ExpectedVersion::Absent,
    };
    let outcome = store.compare_and_swap(&key, expected, bytes, None);
    assert!(matches!(outcome, Ok(SwapOutcome::Swapped(_))));
}

fn wait_for_revision(keeper: &ConfigKeeper, revision: Revision) {
    wait_for("revision", || keeper.revision() == revision);
    assert_eq!(keeper.current().revision, revision);
}

#[test]
fn follows_the_store_through_faults() {
    let store = FaultyStore::open();
    write(&store.inner(), &document(1, "a"));
    store.set_down(true);
    let keeper = spawn(&store);
    let revisions = keeper.subscribe();
    assert!(!keeper.is_ready());
    store.set_latency(Duration::from_millis(20));
    store.set_down(false);
    wait_for("readiness", || keeper.is_ready());
    wait_for_revision(&keeper, 1);
    store.set_latency(Duration::ZERO);

    store.set_down(true);
    wait_for("outage", || keeper.status().store_down_since.is_some());
    assert!(keeper.is_ready());
    write(&store.inner(), &document(2, "b"));
    store.set_down(false);
    wait_for_revision(&keeper, 2);

    write(&store.inner(), b"no document");
    wait_for("problem", || keeper.status().store_problem.is_some());
    assert_eq!(keeper.current().change_id, "b");
    let entry = store.inner().get(&config_key(FLEET));
    let version = entry.expect("an answer").expect("a document").version;
    store.lose_responses(1);
    let lost = store.compare_and_swap(
        &config_key(FLEET),
        ExpectedVersion::Version(version),
        &document(3, "c"),
        None,
    );
    assert!(matches!(lost, Err(StoreError::ResponseLost(_))));
    wait_for_revision(&keeper, 3);
    assert_eq!(keeper.status().store_problem, None);
    assert_eq!(revisions.try_iter().collect::<Vec<_>>(), [1, 2, 3]);
}

/// Guards against a watch on a silent connection that hides a change for longer
/// than the fleet's bound.
#[test]
fn a_silent_watch_delays_no_change_beyond_the_bound() {
    let store = FaultyStore::open();
    write(&store.inner(), &document(1, "a"));
    store.silence_watches();
    let keeper = ConfigKeeper::spawn_with(store.clone(), KeeperSettings::new(FLEET, 3), read_plain);
    wait_for_revision(&keeper, 1);
    write(&store.inner(), &document(2, "b"));
    thread::sleep(CHANGE_BOUND);
    assert_eq!(keeper.revision(), 2);
}

#[test]
fn reports_a_restored_store_and_writes_nothing_back() {
    let store = FaultyStore::open();
    write(&store.inner(), &document(1, "a"));
    write(&store.inner(), &document(2, "b"));
    let keeper = spawn(&store);
    wait_for_revision(&keeper, 2);

    let old = EmbeddedStore::open();
    write(&old, &document(1, "a"));
    store.restore(old.clone());
    let behind = ConfigProblem::StoreBehind {
        stored: 1,
        in_force: 2,
    };
    wait_for("report", || {
        keeper.status().store_problem == Some(behind.clone())
    });
    write(&old, &document(2, "other"));
    wait_for("conflict", || {
        let problem = keeper.status().store_problem;
        matches!(problem, Some(ConfigProblem::ChangeConflict { .. }))
    });
    assert_eq!(keeper.current().change_id, "b");
    let entry = old.get(&config_key(FLEET)).expect("the store answers");
    assert_eq!(entry.expect("a document").value, document(2, "other"));
    write(&old, &document(3, "c"));
    wait_for_revision(&keeper, 3);
}

#[test]
fn accepts_offers_while_the_store_is_down() {
    let store = FaultyStore::open();
    store.set_down(true);
    let keeper = spawn(&store);
    assert_eq!(keeper.snapshot(), None);
    wait_for("outage", || keeper.status().store_down_since.is_some());
    let offer = ConfigSnapshot {
        revision: 4,
        document: document(4, "d"),
    };
    keeper.offer(offer.clone());
    wait_for_revision(&keeper, 4);
    assert!(!keeper.is_ready());
    keeper.record_peers_synced();
    wait_for("readiness", || keeper.is_ready());
    assert_eq!(keeper.snapshot(), Some(offer));
}

#[test]
fn backs_off_from_a_failing_store_and_stops_with_its_handle() {
    let store = FaultyStore::open();
    store.set_down(true);
    let started = Instant::now();
    let keeper = spawn(&store);
    thread::sleep(Duration::from_millis(200));
    let calls = store.calls();
    // The first two pauses may be shorter than half of the limit of 20 ms.
    let limit = started.elapsed().as_millis() / 10 + 4;
    assert!(u128::from(calls) <= limit, "{calls} calls, limit {limit}");
    drop(keeper);
    wait_for("end", || {
        let before = store.calls();
        thread::sleep(Duration::from_millis(60));
        store.calls() == before
    });
}

#[test]
fn reads_the_tables() {
    struct TableCase {
        name: &'static str,
        pools: String,
        is_valid: bool,
    }
    let cases = [
        TableCase {
            name: "valid",
            pools: POOLS.to_owned(),
            is_valid: true,
        },
        TableCase {
            name: "not TOML",
            pools: "[[".to_owned(),
            is_valid: false,
        },
        TableCase {
            name: "route without its pool",
            pools: POOLS.replace("desk", "other"),
            is_valid: false,
        },
    ];
    for case in cases {
        let mut change: ConfigDocument =
            serde_json::from_slice(&document(1, "a")).expect("a document");
        change.routes = ROUTES.to_owned();
        change.pools = case.pools;
        let store = EmbeddedStore::open();
        write(&store, &change.to_bytes().expect("a small document"));
        let keeper = ConfigKeeper::spawn(store, KeeperSettings::new(FLEET, 3));
        wait_for("result of the read", || {
            keeper.is_ready() || keeper.status().store_problem.is_some()
        });
        assert_eq!(keeper.is_ready(), case.is_valid, "{}", case.name);
    }
}

#[test]
fn loads_checked_files() {
    let directory = std::env::temp_dir().join(format!("dewspring-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let (routes, pools) = (directory.join("routes.toml"), directory.join("pools.toml"));
    std::fs::write(&routes, ROUTES).expect("a file");
    std::fs::write(&pools, POOLS).expect("a file");
    let document = load_table_files(&routes, &pools).expect("valid tables");
    std::fs::write(&pools, POOLS.replace("desk", "other")).expect("a file");
    let invalid = load_table_files(&routes, &pools);
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    assert_eq!((document.revision, document.routes.as_str()), (1, ROUTES));
    assert!(matches!(invalid, Err(LoadTablesError::Tables(_))));
    let missing = load_table_files(&routes, &pools);
    assert!(matches!(missing, Err(LoadTablesError::File { .. })));
}
