//! A graceful shutdown delivers every response in flight to its last byte.
//!
//! `DEWSPRING_TEST_RESTARTS` sets the number of rolling restarts.

mod common;

use std::env;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::{ChatCall, DEFAULT_ROUTES, FleetPlan, TestFleet, is_ready, wait_until};
use standins::framing::StrictClient;

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

/// A request that a shutdown with a limit of 4 s meets; times since the signal in ms.
struct LateCase {
    name: &'static str,
    path: &'static str,
    begin: i64,
    last_byte: i64,
    status: u16,
    ran: &'static str,
    executions: u64,
}

/// Guards against requests that are passed on so late in a shutdown that they end with
/// the process, among them such that may not be repeated, and against requests that
/// end with it without a response.
#[test]
fn a_shutdown_leaves_no_request_without_a_response() {
    let case = |name, path, begin, last_byte, status, ran, executions| LateCase {
        name,
        path,
        begin,
        last_byte,
        status,
        ran,
        executions,
    };
    let cases = [
        case("late last byte", "/payment/a", -300, 2000, 503, "no", 0),
        case(
            "late last byte, idempotent",
            "/archive/a",
            -300,
            2500,
            503,
            "no",
            0,
        ),
        case("no last byte", "/payment/b", -300, 4500, 503, "no", 0),
        case("at its server", "/payment/c", -300, -300, 502, "unknown", 1),
        case(
            "at its server, idempotent",
            "/archive/c",
            -300,
            -300,
            502,
            "unknown",
            1,
        ),
    ];
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        daemon_flags: vec!["--shutdown-timeout=4s".into()],
        service_flags: vec!["--delay-ms=9000".into(), "--slots=9".into()],
        ..FleetPlan::default()
    });
    let entry = fleet.daemons[0].entry;
    let play = move |case: LateCase| {
        let mut client = StrictClient::open(entry).expect("the daemon listens");
        let path = case.path;
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbod");
        client.send(head.as_bytes());
        thread::sleep(Duration::from_millis((case.last_byte - case.begin) as u64));
        client.send(b"y");
        (client.read("POST"), case)
    };
    let calls = cases.map(|case| thread::spawn(move || play(case)));
    thread::sleep(Duration::from_millis(300));
    fleet.daemons[0].process.terminate();
    let mut faults = Vec::new();
    for call in calls {
        let (response, case) = call.join().expect("the caller ends");
        let response = match response {
            Ok(response) => response,
            Err(fault) => {
                faults.push(format!("{}: {fault}", case.name));
                continue;
            }
        };
        let ran = response.field("x-dewspring-ran").unwrap_or_default();
        let id = response.field("x-request-id").unwrap_or_default();
        let executions = fleet.executions_of(id);
        if (response.status, ran, executions) != (case.status, case.ran, case.executions) {
            faults.push(format!("{}: {response:?}, {executions}", case.name));
        }
    }
    let status = fleet.daemons[0].process.wait_exit(EXIT_TIMEOUT);
    assert!(faults.is_empty(), "{faults:#?}");
    assert_eq!(
        status.expect("the daemon ends").code(),
        Some(1),
        "it cut requests"
    );
}

/// Sends requests that must not be repeated, on kept or each on a new connection, until
/// the daemon no longer listens; returns the statuses, 0 for no response.
fn call_through_shutdown(entry: std::net::SocketAddr, is_kept: bool) -> Vec<u16> {
    let mut statuses = Vec::new();
    while let Ok(mut client) = StrictClient::open(entry) {
        loop {
            client.send(b"POST /payment/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi");
            let response = client.read("POST");
            statuses.push(response.as_ref().map_or(0, |response| response.status));
            let is_open = response.is_ok_and(|response| !response.closes());
            thread::sleep(Duration::from_millis(10));
            if !is_kept || !is_open {
                break;
            }
        }
    }
    statuses
}

/// Guards against requests that run and get no response while several daemons stop in
/// turn, each kept open by streams up to the end of its time.
#[test]
fn shutdowns_in_turn_leave_no_request_that_ran_without_a_response() {
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 3,
        daemon_flags: vec!["--shutdown-timeout=4s".into()],
        service_flags: vec!["--delay-ms=30".into(), "--slots=64".into()],
        routes: DEFAULT_ROUTES
            .replace("target = \"5s\"", "target = \"1s\"")
            .replace("timeout = \"10s\"", "timeout = \"2s\""),
        ..FleetPlan::default()
    });
    let statuses: Vec<u16> = thread::scope(|scope| {
        let mut callers = Vec::new();
        for (daemon, turn) in fleet.daemons.iter().zip(0..) {
            let entry = daemon.entry;
            for is_kept in [true, true, true, false, false] {
                callers.push(scope.spawn(move || call_through_shutdown(entry, is_kept)));
            }
            scope.spawn(move || {
                // Broken off at the end of the daemon's time.
                let call = move || ChatCall::new(entry, 10_000).send();
                let stream = thread::spawn(call);
                thread::sleep(Duration::from_millis(500 + 700 * turn));
                daemon.process.terminate();
                drop(stream.join());
            });
        }
        let callers = callers.into_iter();
        let statuses = callers.flat_map(|caller| caller.join().expect("a caller ends"));
        statuses.collect()
    });
    for daemon in &mut fleet.daemons {
        assert!(daemon.process.wait_exit(EXIT_TIMEOUT).is_some());
    }
    let count = |status| statuses.iter().filter(|found| **found == status).count() as u64;
    let ran: u64 = fleet.executions().iter().map(|(_, count)| count).sum();
    let streams = fleet.daemons.len() as u64;
    assert_eq!(
        ran - streams,
        count(200),
        "200s: {}, of {}",
        count(200),
        statuses.len()
    );
    assert_eq!(count(200) + count(503) + count(0), statuses.len() as u64);
    assert!(count(503) > 100, "requests came late");
}
