//! A graceful shutdown cuts off no answer, down to the last byte.
//!
//! `DEWSPRING_TEST_RESTARTS` sets the number of rolling restarts.

mod common;

use std::env;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::{ChatCall, FleetPlan, TestFleet, is_ready, wait_until};

const STREAMS: usize = 24;
const TOKENS: usize = 60;
const DEFAULT_RESTARTS: usize = 10;
const EXIT_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn answers_in_flight_are_finished() {
    let mut fleet = TestFleet::start(FleetPlan::default());
    let entry = fleet.daemons[0].entry;
    let calls: Vec<_> = (0..STREAMS)
        .map(|_| thread::spawn(move || ChatCall::new(entry, TOKENS).send()))
        .collect();
    thread::sleep(Duration::from_millis(100));
    fleet.daemons[0].process.terminate();
    thread::sleep(Duration::from_millis(50));
    let late = ChatCall::new(entry, 1).send();
    assert_eq!(late.status, 503, "{late:?}");
    assert_eq!(late.ran, "no");
    assert!(late.retry_after.is_some());

    for call in calls {
        let answer = call.join().expect("the caller ends");
        assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
    }
    let status = fleet.daemons[0].process.wait_exit(EXIT_LIMIT);
    assert!(status.expect("the daemon ends").success());
    assert_eq!(fleet.executions_of(&late.request_id), 0);
}

#[test]
fn rolling_restarts_break_no_answer() {
    let rounds = env::var("DEWSPRING_TEST_RESTARTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RESTARTS);
    let mut fleet = TestFleet::start(FleetPlan::default());
    for round in 0..rounds {
        let number = round % fleet.daemons.len();
        let entry = fleet.daemons[number].entry;
        let stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || call_until(entry, &stopped))
            })
            .collect();
        thread::sleep(Duration::from_millis(150));
        fleet.daemons[number].process.terminate();
        let status = fleet.daemons[number].process.wait_exit(EXIT_LIMIT);
        assert!(status.expect("the daemon ends").success(), "round {round}");
        stopped.store(true, Ordering::Relaxed);
        let served: usize = callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller ends"))
            .sum();
        assert!(served > 0, "round {round}: nothing was in flight");

        let old = &fleet.daemons[number];
        let daemon = fleet.start_daemon_at(number + 1, old.entry, old.admin, old.peer);
        wait_until("the daemon is ready", || is_ready(&daemon));
        fleet.daemons[number] = daemon;
    }
}

/// Sends requests until the daemon refuses or is gone; returns the number of
/// whole answers.
fn call_until(entry: std::net::SocketAddr, stopped: &AtomicBool) -> usize {
    let mut served = 0;
    while !stopped.load(Ordering::Relaxed) {
        let call = ChatCall::new(entry, 10);
        let Some(answer) = call.try_send() else {
            break;
        };
        if answer.status == 503 {
            assert_eq!(answer.ran, "no", "{answer:?}");
            break;
        }
        assert!(answer.is_expected_stream(10), "{answer:?}");
        served += 1;
    }
    served
}
