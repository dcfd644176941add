//! Tests of the running ledger against a store with injected faults.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::super::ledger::{ClaimHandle, ClaimLedger, LedgerSettings};
use super::super::messages::{ClaimOutcome, ClaimRequest, ClaimToken, RecordedOutcome};
use super::key;
use crate::store::EmbeddedStore;
use crate::store::tests::faulty::FaultyStore;
use crate::store::tests::{WAIT_TIMEOUT, wait_for};

fn spawn(store: &FaultyStore, vm: &str) -> ClaimLedger {
    let settings = LedgerSettings {
        page_count: 2,
        writers: 2,
        ..LedgerSettings::new("north", vm, 7)
    };
    ClaimLedger::spawn(store.clone(), settings)
}

fn send(handle: &ClaimHandle, number: usize) -> oneshot::Receiver<ClaimOutcome> {
    let (reply, answer) = oneshot::channel();
    let request = ClaimRequest {
        key: key(number),
        fingerprint: 1,
        declared_minute: None,
        deadline: Instant::now() + WAIT_TIMEOUT,
    };
    handle.claim(request, reply);
    answer
}

fn claim(handle: &ClaimHandle, number: usize) -> ClaimOutcome {
    send(handle, number).blocking_recv().expect("an answer")
}

fn claim_token(handle: &ClaimHandle, number: usize) -> ClaimToken {
    match claim(handle, number) {
        ClaimOutcome::Claimed(token) => token,
        other => panic!("not claimed: {other:?}"),
    }
}

#[test]
fn repeats_get_the_recorded_outcome_on_every_vm() {
    let store = FaultyStore::open();
    let (first, second) = (spawn(&store, "a"), spawn(&store, "b"));
    let (a, b) = (first.handle(), second.handle());
    let token = claim_token(&a, 1);
    assert!(token.may_send(Instant::now()));
    let half_retention = Duration::from_secs(12 * 60 * 60);
    assert!(!token.may_send(Instant::now() + half_retention));
    assert_eq!(claim(&b, 1), ClaimOutcome::InProgress);
    let outcome = RecordedOutcome::new(201, "text/plain", b"paid");
    a.record(token, outcome.clone())
        .expect("the ledger has capacity");
    first.shutdown();
    assert_eq!(claim(&b, 1), ClaimOutcome::AlreadyRun(outcome));
    let token = claim_token(&b, 2);
    b.release(token).expect("the ledger has capacity");
    drop(claim_token(&b, 2));
    second.shutdown();
}

#[test]
fn refuses_at_once_while_the_store_is_down() {
    let store = FaultyStore::open();
    let ledger = spawn(&store, "a");
    let handle = ledger.handle();
    let token = claim_token(&handle, 1);
    store.set_down(true);
    let outcome = RecordedOutcome::new(201, "text/plain", b"paid");
    handle
        .record(token, outcome.clone())
        .expect("the ledger has capacity");
    store.set_latency(Duration::from_millis(50));
    let started = Instant::now();
    let calls_before = store.calls();
    for number in 2..100 {
        let refused = claim(&handle, number);
        assert!(matches!(refused, ClaimOutcome::StoreUnavailable { .. }));
    }
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(2), "refused in {elapsed:?}");
    // The open time doubles, so each of the two writers probes a few times.
    let calls = store.calls() - calls_before;
    assert!(calls <= 20, "{calls} calls for 98 refusals");
    store.set_latency(Duration::ZERO);
    store.set_down(false);
    wait_for("outcome", || {
        claim(&handle, 1) == ClaimOutcome::AlreadyRun(outcome.clone())
    });
    ledger.shutdown();
}

#[test]
fn lost_responses_neither_lose_nor_double_a_claim() {
    let store = FaultyStore::open();
    let ledger = spawn(&store, "a");
    let handle = ledger.handle();
    for number in 0..20 {
        store.lose_responses(1);
        drop(claim_token(&handle, number));
        assert_eq!(claim(&handle, number), ClaimOutcome::InProgress);
    }
    ledger.shutdown();
}

#[test]
fn releases_the_claim_of_a_disconnected_caller() {
    let store = FaultyStore::open();
    let ledger = spawn(&store, "a");
    let handle = ledger.handle();
    store.set_latency(Duration::from_millis(50));
    drop(send(&handle, 1));
    store.set_latency(Duration::ZERO);
    wait_for("claim", || {
        matches!(claim(&handle, 1), ClaimOutcome::Claimed(_))
    });
    ledger.shutdown();
    let late = send(&handle, 2).blocking_recv();
    assert!(matches!(late, Ok(ClaimOutcome::Overloaded { .. })));
}

#[test]
fn refuses_claims_on_a_page_restored_to_an_older_version() {
    let store = FaultyStore::open();
    let ledger = spawn(&store, "a");
    let handle = ledger.handle();
    drop(claim_token(&handle, 1));
    store.restore(EmbeddedStore::open());
    for _ in 0..2 {
        let refused = claim(&handle, 1);
        assert!(matches!(refused, ClaimOutcome::StoreUnavailable { .. }));
    }
    ledger.shutdown();
}

#[test]
fn commits_pending_claims_together() {
    let store = FaultyStore::open();
    let ledger = spawn(&store, "a");
    let handle = ledger.handle();
    store.set_latency(Duration::from_millis(20));
    let answers: Vec<_> = (0..200).map(|number| send(&handle, number)).collect();
    for answer in answers {
        let outcome = answer.blocking_recv().expect("an answer");
        assert!(matches!(outcome, ClaimOutcome::Claimed(_)));
    }
    ledger.shutdown();
    let calls = store.calls();
    assert!(calls <= 20, "{calls} calls for 200 claims");
}
