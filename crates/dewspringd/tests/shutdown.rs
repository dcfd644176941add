//! A graceful shutdown delivers every response in flight to its last byte.
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
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn responses_in_flight_are_completed() {
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
        let response = call.join().expect("the caller ends");
        assert!(response.is_expected_stream(TOKENS), "{response:?}");
    }
    let status = fleet.daemons[0].process.wait_exit(EXIT_TIMEOUT);
    assert!(status.expect("the daemon ends").success());
    assert_eq!(fleet.executions_of(&late.request_id), 0);
}

#[test]
fn rolling_restarts_break_no_response() {
    let restarts = env::var("DEWSPRING_TEST_RESTARTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RESTARTS);
    let mut fleet = TestFleet::start(FleetPlan::default());
    for restart in 0..restarts {
        let index = restart % fleet.daemons.len();
        let entry = fleet.daemons[index].entry;
        let stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || call_until(entry, &stopped))
            })
            .collect();
        thread::sleep(Duration::from_millis(150));
        fleet.daemons[index].process.terminate();
        let status = fleet.daemons[index].process.wait_exit(EXIT_TIMEOUT);
        assert!(
            status.expect("the daemon ends").success(),
            "restart {restart}"
        );
        stopped.store(true, Ordering::Relaxed);
        let served: usize = callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller ends"))
            .sum();
        assert!(served > 0, "restart {restart}: no request was served");

        let old = &fleet.daemons[index];
        let daemon = fleet.start_daemon_at(index + 1, old.entry, old.admin, old.peer);
        wait_until("the daemon is ready", || is_ready(&daemon));
        fleet.daemons[index] = daemon;
    }
}

/// Sends requests until it is stopped, or the daemon refuses a request or a
/// connection.
///
/// Returns the number of complete responses.
fn call_until(entry: std::net::SocketAddr, stopped: &AtomicBool) -> usize {
    let mut served = 0;
    while !stopped.load(Ordering::Relaxed) {
        let call = ChatCall::new(entry, 10);
        let Some(response) = call.try_send() else {
            break;
        };
        if response.status == 503 {
            assert_eq!(response.ran, "no", "{response:?}");
            break;
        }
        assert!(response.is_expected_stream(10), "{response:?}");
        served += 1;
    }
    served
}
