//! Tests of the in-memory store.

use std::thread;
use std::time::Duration;

use crate::store::{
    EmbeddedStore, ExpectedVersion, MAX_VALUE_BYTES, PlatformStore, StoreError, SwapOutcome,
};

const KEY: &str = "/key";

fn put(store: &EmbeddedStore, expected: ExpectedVersion, value: &[u8]) -> SwapOutcome {
    store
        .compare_and_swap(KEY, expected, value, None)
        .expect("the store answers")
}

#[test]
fn swaps_only_what_is_expected() {
    let store = EmbeddedStore::open();
    assert_eq!(
        put(&store, ExpectedVersion::Version(1), b"a"),
        SwapOutcome::Conflict(None)
    );
    assert_eq!(
        put(&store, ExpectedVersion::Absent, b"a"),
        SwapOutcome::Swapped(1)
    );
    let entry = store.get(KEY).expect("the store answers");
    assert_eq!(
        put(&store, ExpectedVersion::Absent, b"b"),
        SwapOutcome::Conflict(entry.clone())
    );
    assert_eq!(
        put(&store, ExpectedVersion::Version(7), b"b"),
        SwapOutcome::Conflict(entry)
    );
    assert_eq!(
        put(&store, ExpectedVersion::Version(1), b"b"),
        SwapOutcome::Swapped(2)
    );
}

#[test]
fn refuses_large_values() {
    let store = EmbeddedStore::open();
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let outcome = store.compare_and_swap(KEY, ExpectedVersion::Absent, &large, None);
    assert!(matches!(outcome, Err(StoreError::Unavailable(_))));
    put(&store, ExpectedVersion::Absent, &large[1..]);
}

#[test]
fn watch_wakes_on_a_write_and_times_out() {
    let store = EmbeddedStore::open();
    let quiet = store.watch(KEY, 0, Duration::from_millis(10));
    assert_eq!(quiet, Ok(None));
    let writer = store.clone();
    let thread = thread::spawn(move || {
        thread::sleep(Duration::from_millis(20));
        put(&writer, ExpectedVersion::Absent, b"a");
    });
    let entry = store
        .watch(KEY, 0, Duration::from_secs(10))
        .expect("the store answers")
        .expect("the write is seen");
    assert_eq!((entry.version, entry.value), (1, b"a".to_vec()));
    assert_eq!(store.watch(KEY, 1, Duration::from_millis(10)), Ok(None));
    thread.join().expect("the writer ends");
}

#[test]
fn key_expires_with_its_lease() {
    let store = EmbeddedStore::open();
    let lease = store
        .grant_lease(Duration::from_millis(100))
        .expect("the store answers");
    store
        .compare_and_swap(KEY, ExpectedVersion::Absent, b"a", Some(lease.id))
        .expect("the lease is live");
    assert!(store.get(KEY).expect("the store answers").is_some());
    assert_eq!(store.renew_lease(lease.id), Ok(lease.time_to_live));
    thread::sleep(Duration::from_millis(120));
    assert_eq!(store.get(KEY), Ok(None));
    assert_eq!(store.renew_lease(lease.id), Err(StoreError::LeaseExpired));
    let late = store.compare_and_swap(KEY, ExpectedVersion::Absent, b"a", Some(lease.id));
    assert_eq!(late, Err(StoreError::LeaseExpired));
}
