//! Failover of a pool's broker that is killed, frozen or shut down under load.
//!
//! Entries must move to the next broker, and no request may be lost or run
//! twice.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::callers::{CallerGroup, addresses, pool_number, started_executions};
use common::{CallResponse, ChatCall, FleetPlan, TestFleet, wait_until};
use standins::process::get_json;

const POOL: &str = "engines";

/// Slots of each engine in the pools table. The fake engines accept more, so
/// that excess grants are visible.
const SLOTS: u64 = 8;
const ENGINES: usize = 2;

/// Tokens of each response; an engine generates one in 10 ms.
const TOKENS: usize = 30;

/// Callers at each entry outside the broker's VM; together they fill the slots
/// and a queue that is served in the time of four consecutive responses.
const CALLERS: usize = 40;

/// Callers at the entry on the broker's VM; they have the highest priority, so
/// that its shutdown completes while the others' requests are still queued.
const LOCAL_CALLERS: usize = 2;

/// Longest time without a new request at any engine after the fault.
const MAX_GAP: Duration = Duration::from_millis(1500);

/// Longest time for which an engine runs more requests than it has slots. The
/// requests granted by the former broker and the fallbacks end within the time
/// of two responses; half of that is added for a busy machine.
const MAX_OVERRUN: Duration = Duration::from_millis(900);

/// Largest number of concurrent requests at an engine: one set of slots each
/// for the former broker, the new one and the fallbacks of all entries
/// together.
const MAX_RUNNING: u64 = 3 * SLOTS;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const FREEZE_DURATION: Duration = Duration::from_secs(3);
/// Time within which all grants are released once nothing runs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Fault of the broker's VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BrokerFault {
    Killed,
    Frozen,
    ShutDown,
}

/// Engine load during a change of broker.
#[derive(Debug)]
struct EngineObservation {
    /// Longest time without a new request at any engine.
    longest_gap: Duration,
    /// Longest time for which an engine ran more requests than it has slots.
    longest_overrun: Duration,
}

/// Samples the load of the engines until it is stopped.
struct EngineMonitor {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<EngineObservation>,
}

impl EngineMonitor {
    fn spawn(engines: Vec<SocketAddr>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let monitor_stopped = Arc::clone(&stopped);
        let thread = thread::spawn(move || monitor_engines(&engines, &monitor_stopped));
        Self { stopped, thread }
    }

    fn stop(self) -> EngineObservation {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the monitor ends")
    }
}

fn monitor_engines(engines: &[SocketAddr], stopped: &AtomicBool) -> EngineObservation {
    let mut observation = EngineObservation {
        longest_gap: Duration::ZERO,
        longest_overrun: Duration::ZERO,
    };
    let mut count = started_executions(engines);
    let mut count_changed_at = Instant::now();
    let mut overrun_since = vec![None; engines.len()];
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(SAMPLE_INTERVAL);
        let now = Instant::now();
        let current = started_executions(engines);
        observation.longest_gap = observation.longest_gap.max(now - count_changed_at);
        if current > count {
            count = current;
            count_changed_at = now;
        }
        for (engine, since) in engines.iter().zip(&mut overrun_since) {
            let load = get_json(*engine, "/load").expect("the engine responds");
            if load.body["running"].as_u64() > Some(SLOTS) {
                let began = *since.get_or_insert(now);
                observation.longest_overrun = observation.longest_overrun.max(now - began);
            } else {
                *since = None;
            }
        }
    }
    observation
}

fn max_running(engine: SocketAddr) -> u64 {
    let counts = get_json(engine, "/executions").expect("the engine responds");
    counts.body["max_running"].as_u64().expect("a count")
}

fn start_fleet() -> TestFleet {
    TestFleet::start(FleetPlan {
        daemons: 3,
        engines: ENGINES,
        services: 1,
        engine_flags: vec!["--token-interval-ms=10".into(), "--slots=64".into()],
        ..FleetPlan::default()
    })
}

fn spawn_callers(
    fleet: &TestFleet,
    daemon: usize,
    label: Option<&'static str>,
    count: usize,
) -> CallerGroup {
    let call = ChatCall {
        label,
        ..ChatCall::new(fleet.daemons[daemon].entry, TOKENS)
    };
    CallerGroup::spawn(&call, count)
}

fn inject_fault(fleet: &mut TestFleet, broker: usize, fault: BrokerFault) {
    let process = &mut fleet.daemons[broker].process;
    match fault {
        BrokerFault::Killed => process.kill(),
        BrokerFault::Frozen => {
            process.freeze();
            thread::sleep(FREEZE_DURATION);
            process.resume();
        }
        BrokerFault::ShutDown => {
            process.terminate();
            let status = process.wait_exit(EXIT_TIMEOUT);
            assert!(status.expect("the daemon ends").success());
        }
    }
}

/// Injects a fault into the broker under load and checks the responses and the
/// engine load.
///
/// Returns the fleet and the index of the former broker.
fn run_case(fault: BrokerFault) -> (TestFleet, usize) {
    let mut fleet = start_fleet();
    let broker = fleet.broker_of(POOL);
    let others = [(broker + 1) % 3, (broker + 2) % 3];
    let local_callers = spawn_callers(&fleet, broker, Some("high"), LOCAL_CALLERS);
    let callers = others.map(|daemon| spawn_callers(&fleet, daemon, None, CALLERS));
    wait_until("requests queue", || {
        pool_number(&fleet.daemons[broker], POOL, "queued") > 4 * SLOTS
    });
    let engines = addresses(&fleet.engines);
    thread::sleep(Duration::from_millis(500));

    let monitor = EngineMonitor::spawn(engines.clone());
    inject_fault(&mut fleet, broker, fault);
    thread::sleep(Duration::from_secs(3));
    let observation = monitor.stop();
    let responses = callers.map(|group| group.stop_and_check(TOKENS).len());
    let local_responses = local_callers.stop();
    let running: Vec<_> = engines.iter().copied().map(max_running).collect();
    println!("{fault:?}: {responses:?} responses, {observation:?}, at most {running:?} running");

    check_local_responses(fault, &local_responses);
    for (request, count) in fleet.executions() {
        assert_eq!(count, 1, "{request} ran {count} times");
    }
    assert!(observation.longest_gap < MAX_GAP, "{observation:?}");
    assert!(observation.longest_overrun < MAX_OVERRUN, "{observation:?}");
    assert!(
        running.iter().all(|&running| running <= MAX_RUNNING),
        "{running:?}"
    );
    (fleet, broker)
}

/// Checks the responses of the entry on the broker's VM.
fn check_local_responses(fault: BrokerFault, responses: &[std::io::Result<CallResponse>]) {
    for response in responses {
        match (fault, response) {
            // The kill also ends the entry, so its callers may see any error.
            (BrokerFault::Killed, _) => (),
            (BrokerFault::ShutDown, Err(_)) => (),
            (BrokerFault::ShutDown, Ok(response)) if response.status == 503 => {
                assert_eq!(response.ran, "no", "{response:?}");
            }
            (_, response) => {
                let response = response.as_ref().expect("the entry responds");
                assert!(response.is_expected_stream(TOKENS), "{response:?}");
            }
        }
    }
}

/// Checks that no daemon reports a queued request or an outstanding grant once
/// nothing runs.
fn check_grants_released((fleet, broker): &(TestFleet, usize), fault: BrokerFault) {
    let ended = (fault != BrokerFault::Frozen).then_some(*broker);
    let outstanding = |daemon| {
        let count = |key| pool_number(daemon, POOL, key);
        (count("queued"), count("in_flight"))
    };
    let all_outstanding = || {
        let daemons = fleet.daemons.iter().enumerate();
        let running = daemons.filter(|(index, _)| Some(*index) != ended);
        running
            .map(|(_, daemon)| outstanding(daemon))
            .collect::<Vec<_>>()
    };
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    while all_outstanding()
        .iter()
        .any(|&outstanding| outstanding != (0, 0))
        && Instant::now() < deadline
    {
        thread::sleep(SAMPLE_INTERVAL);
    }
    let left = all_outstanding();
    assert!(
        left.iter().all(|&outstanding| outstanding == (0, 0)),
        "the broker was vm-{}; queued and in flight at each VM: {left:?}",
        broker + 1
    );
}

#[test]
fn entries_fail_over_from_a_killed_broker() {
    let ended = run_case(BrokerFault::Killed);
    check_grants_released(&ended, BrokerFault::Killed);
}

#[test]
fn entries_fail_over_from_a_frozen_broker() {
    run_case(BrokerFault::Frozen);
}

#[test]
fn a_resumed_broker_releases_its_grants() {
    let ended = run_case(BrokerFault::Frozen);
    check_grants_released(&ended, BrokerFault::Frozen);
}

#[test]
fn a_broker_shutdown_refuses_no_queued_request() {
    let ended = run_case(BrokerFault::ShutDown);
    check_grants_released(&ended, BrokerFault::ShutDown);
}
