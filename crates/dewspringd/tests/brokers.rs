//! The broker's VM is killed, frozen or shut down while requests queue and
//! stream: entries follow to the next broker, and nothing is lost or run twice.

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

/// Slots of each engine by the pools table. The fake engines have room for
/// more, so that too many grants show.
const SLOTS: u64 = 8;
const ENGINES: usize = 2;

/// Tokens of each answer, at 10 ms a token.
const TOKENS: usize = 30;

/// Callers at each entry beside the broker's; they fill the slots and a queue
/// of four answers' time.
const CALLERS: usize = 40;

/// Callers at the broker's own entry; they go first, so that its shutdown ends
/// while the others' requests still queue.
const OWN_CALLERS: usize = 2;

/// Longest time without a new request at any engine after the broker is gone.
const GAP_LIMIT: Duration = Duration::from_millis(1500);

/// Longest time for which an engine runs more than its slots: what the former
/// broker and the fallbacks granted ends within two answers, and half of that
/// more for a busy machine.
const OVERRUN_LIMIT: Duration = Duration::from_millis(900);

/// Most requests that an engine runs: what the former broker granted, what the
/// new one grants, and what the fallbacks of the entries grant together.
const MAX_RUNNING: u64 = 3 * SLOTS;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const FREEZE_TIME: Duration = Duration::from_secs(3);
/// Longest time until every broker knows that nothing runs any more.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
const EXIT_LIMIT: Duration = Duration::from_secs(20);

/// What happens to the broker's VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BrokerLoss {
    Killed,
    Frozen,
    ShutDown,
}

/// What was seen of the engines while the broker changed.
#[derive(Debug)]
struct EngineRecord {
    /// Longest time without a new request at any engine.
    longest_gap: Duration,
    /// Longest time for which an engine ran more than its slots.
    longest_overrun: Duration,
}

/// Watches the engines until it is stopped.
struct EngineWatch {
    stopped: Arc<AtomicBool>,
    watcher: JoinHandle<EngineRecord>,
}

impl EngineWatch {
    fn spawn(engines: Vec<SocketAddr>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&stopped);
        let watcher = thread::spawn(move || watch_engines(&engines, &seen));
        Self { stopped, watcher }
    }

    fn stop(self) -> EngineRecord {
        self.stopped.store(true, Ordering::Relaxed);
        self.watcher.join().expect("the watcher ends")
    }
}

fn watch_engines(engines: &[SocketAddr], stopped: &AtomicBool) -> EngineRecord {
    let mut record = EngineRecord {
        longest_gap: Duration::ZERO,
        longest_overrun: Duration::ZERO,
    };
    let mut count = started_executions(engines);
    let mut count_changed_at = Instant::now();
    let mut overrun_since = vec![None; engines.len()];
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(SAMPLE_INTERVAL);
        let now = Instant::now();
        let present = started_executions(engines);
        record.longest_gap = record.longest_gap.max(now - count_changed_at);
        if present > count {
            count = present;
            count_changed_at = now;
        }
        for (engine, since) in engines.iter().zip(&mut overrun_since) {
            let load = get_json(*engine, "/load").expect("the engine answers");
            if load.body["running"].as_u64() > Some(SLOTS) {
                let began = *since.get_or_insert(now);
                record.longest_overrun = record.longest_overrun.max(now - began);
            } else {
                *since = None;
            }
        }
    }
    record
}

fn max_running(engine: SocketAddr) -> u64 {
    let counts = get_json(engine, "/executions").expect("the engine answers");
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

fn lose_broker(fleet: &mut TestFleet, broker: usize, loss: BrokerLoss) {
    let process = &mut fleet.daemons[broker].process;
    match loss {
        BrokerLoss::Killed => process.kill(),
        BrokerLoss::Frozen => {
            process.freeze();
            thread::sleep(FREEZE_TIME);
            process.resume();
        }
        BrokerLoss::ShutDown => {
            process.terminate();
            let status = process.wait_exit(EXIT_LIMIT);
            assert!(status.expect("the daemon ends").success());
        }
    }
}

/// Loses the broker under load, checks what callers and engines saw, and
/// returns the fleet with the index of the lost broker.
fn run_case(loss: BrokerLoss) -> (TestFleet, usize) {
    let mut fleet = start_fleet();
    let broker = fleet.broker_of(POOL);
    let others = [(broker + 1) % 3, (broker + 2) % 3];
    let own_callers = spawn_callers(&fleet, broker, Some("high"), OWN_CALLERS);
    let callers = others.map(|daemon| spawn_callers(&fleet, daemon, None, CALLERS));
    wait_until("requests queue", || {
        pool_number(&fleet.daemons[broker], POOL, "queued") > 4 * SLOTS
    });
    let engines = addresses(&fleet.engines);
    thread::sleep(Duration::from_millis(500));

    let watch = EngineWatch::spawn(engines.clone());
    lose_broker(&mut fleet, broker, loss);
    thread::sleep(Duration::from_secs(3));
    let record = watch.stop();
    let answers = callers.map(|group| group.stop_and_check(TOKENS).len());
    let own_answers = own_callers.stop();
    let running: Vec<_> = engines.iter().copied().map(max_running).collect();
    println!("{loss:?}: {answers:?} answers, {record:?}, at most {running:?} running");

    check_own_answers(loss, &own_answers);
    for (request, count) in fleet.executions() {
        assert_eq!(count, 1, "{request} ran {count} times");
    }
    assert!(record.longest_gap < GAP_LIMIT, "{record:?}");
    assert!(record.longest_overrun < OVERRUN_LIMIT, "{record:?}");
    assert!(
        running.iter().all(|&most| most <= MAX_RUNNING),
        "{running:?}"
    );
    (fleet, broker)
}

/// Checks the answers of the entry on the broker's own VM.
fn check_own_answers(loss: BrokerLoss, answers: &[std::io::Result<CallResponse>]) {
    for answer in answers {
        match (loss, answer) {
            // The entry has died, and its callers with it.
            (BrokerLoss::Killed, _) => (),
            (BrokerLoss::ShutDown, Err(_)) => (),
            (BrokerLoss::ShutDown, Ok(answer)) if answer.status == 503 => {
                assert_eq!(answer.ran, "no", "{answer:?}");
            }
            (_, answer) => {
                let answer = answer.as_ref().expect("the entry answers");
                assert!(answer.is_expected_stream(TOKENS), "{answer:?}");
            }
        }
    }
}

/// Checks that no broker counts a grant as out once nothing runs.
fn check_no_leak((fleet, broker): &(TestFleet, usize), loss: BrokerLoss) {
    let ended = (loss != BrokerLoss::Frozen).then_some(*broker);
    let held = |daemon| {
        let count = |key| pool_number(daemon, POOL, key);
        (count("queued"), count("in_flight"))
    };
    let all_held = || {
        let daemons = fleet.daemons.iter().enumerate();
        let left = daemons.filter(|(index, _)| Some(*index) != ended);
        left.map(|(_, daemon)| held(daemon)).collect::<Vec<_>>()
    };
    let limit = Instant::now() + RELEASE_LIMIT;
    while all_held().iter().any(|&held| held != (0, 0)) && Instant::now() < limit {
        thread::sleep(SAMPLE_INTERVAL);
    }
    let left = all_held();
    assert!(
        left.iter().all(|&held| held == (0, 0)),
        "the broker was vm-{}; queued and in flight at each VM: {left:?}",
        broker + 1
    );
}

#[test]
fn a_killed_broker_is_followed() {
    let ended = run_case(BrokerLoss::Killed);
    check_no_leak(&ended, BrokerLoss::Killed);
}

#[test]
fn a_frozen_broker_is_followed_and_comes_back() {
    run_case(BrokerLoss::Frozen);
}

#[test]
fn a_broker_that_was_frozen_keeps_no_grant() {
    let ended = run_case(BrokerLoss::Frozen);
    check_no_leak(&ended, BrokerLoss::Frozen);
}

#[test]
fn a_broker_that_shuts_down_refuses_no_queued_caller() {
    let ended = run_case(BrokerLoss::ShutDown);
    check_no_leak(&ended, BrokerLoss::ShutDown);
}
