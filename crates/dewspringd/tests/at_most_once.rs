//! At-most-once execution of keyed requests on a route that isn't idempotent.
//!
//! A caller may repeat a key any number of times and through any daemon.
//! `DEWSPRING_TEST_KEYS` sets the number of keys in the run under faults and
//! `DEWSPRING_TEST_SEED` its seed.

mod common;

use std::env;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{CallResponse, FleetPlan, TestDaemon, TestFleet, is_ready, send, wait_until};
use oxhttp::model::{Body, Request};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use standins::process::{RunningProcess, get_json, post_json};

const DEFAULT_KEYS: u64 = 600;
const DEFAULT_SEED: u64 = 20_261_203;
const CALLERS: usize = 12;
const MAX_ATTEMPTS: usize = 12;

fn payment_fleet(daemons: usize, service_pool: &str) -> TestFleet {
    TestFleet::start(FleetPlan {
        daemons,
        engines: 1,
        services: 2,
        service_flags: vec!["--delay-ms=5".into()],
        service_pool: service_pool.into(),
        ..FleetPlan::default()
    })
}

fn send_payment(entry: SocketAddr, key: &str, amount: u32) -> io::Result<CallResponse> {
    let request = Request::post(format!("http://{entry}/payment/fee"))
        .header("idempotency-key", key)
        .header("x-workspace", "agents")
        .body(Body::from(format!("amount={amount}")))
        .expect("a valid request");
    send(request)
}

/// Execution counts of each key, one JSON object for each service.
struct KeyExecutions(Vec<Value>);

impl KeyExecutions {
    fn read(fleet: &TestFleet) -> Self {
        let read = |service: &RunningProcess| {
            let response = get_json(service.address(), "/executions");
            response.expect("the service responds").body["keys"].take()
        };
        Self(fleet.services.iter().map(read).collect())
    }

    /// Returns the execution count of a key, summed over all services.
    fn of(&self, key: &str) -> u64 {
        let counts = self.0.iter().map(|keys| keys[key].as_u64().unwrap_or(0));
        counts.sum()
    }
}

/// Returns the execution count of a key, summed over all services.
fn executions_of_key(fleet: &TestFleet, key: &str) -> u64 {
    KeyExecutions::read(fleet).of(key)
}

#[test]
fn a_repeated_key_gets_the_recorded_response() {
    let fleet = payment_fleet(3, "");
    let first = send_payment(fleet.daemons[0].entry, "k1", 100).expect("a response");
    assert_eq!(first.status, 200, "{first:?}");
    for daemon in &fleet.daemons {
        // The daemon records the outcome shortly after it has sent the response.
        wait_until("the response is recorded", || {
            send_payment(daemon.entry, "k1", 100)
                .expect("a response")
                .status
                == 200
        });
        let repeat = send_payment(daemon.entry, "k1", 100).expect("a response");
        assert_eq!(repeat.body, first.body);
        assert_eq!(repeat.ran, "yes");
        let other = send_payment(daemon.entry, "k1", 101).expect("a response");
        assert_eq!(other.status, 422, "{other:?}");
    }
    assert_eq!(executions_of_key(&fleet, "k1"), 1);
}

#[test]
fn concurrent_repeats_run_once() {
    let fleet = payment_fleet(3, "");
    for round in 0..20 {
        let key = format!("k{round}");
        let responses: Vec<CallResponse> = thread::scope(|scope| {
            let calls: Vec<_> = fleet
                .daemons
                .iter()
                .map(|daemon| {
                    scope.spawn(|| send_payment(daemon.entry, &key, 1).expect("a response"))
                })
                .collect();
            let joined = calls.into_iter().map(|call| call.join().expect("it ends"));
            joined.collect()
        });
        assert_eq!(executions_of_key(&fleet, &key), 1, "{responses:?}");
        assert!(responses.iter().any(|response| response.status == 200));
        let allowed = |response: &CallResponse| [200, 409].contains(&response.status);
        assert!(responses.iter().all(allowed), "{responses:?}");
    }
}

#[test]
fn keyed_requests_are_refused_while_the_store_is_down() {
    let fleet = payment_fleet(1, "");
    let entry = fleet.daemons[0].entry;
    fleet.control_platform(&json!({ "mode": "down" }));
    let started = Instant::now();
    let refused = send_payment(entry, "k1", 1).expect("a response");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.ran, "no");
    assert!(refused.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_secs(3), "{refused:?}");
    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("the key is served", || {
        send_payment(entry, "k1", 1).expect("a response").status == 200
    });
    assert_eq!(executions_of_key(&fleet, "k1"), 1);
}

#[test]
fn a_lost_store_response_is_resolved() {
    let fleet = payment_fleet(2, "");
    for round in 0..10 {
        let key = format!("k{round}");
        fleet.control_platform(&json!({ "lose_answers": 1 }));
        let response = send_payment(fleet.daemons[round % 2].entry, &key, 1).expect("a response");
        let runs = executions_of_key(&fleet, &key);
        let expected = u64::from(response.status == 200);
        assert_eq!(runs, expected, "{response:?}");
    }
}

#[test]
fn a_request_that_did_not_run_releases_its_key() {
    let fleet = payment_fleet(1, "refusal_means_not_run = true\n");
    for service in &fleet.services {
        let command = json!({ "refuse_next": 3 });
        post_json(service.address(), "/control", &command).expect("the service responds");
    }
    let entry = fleet.daemons[0].entry;
    let refused = send_payment(entry, "k1", 1).expect("a response");
    assert_eq!(refused.ran, "no", "{refused:?}");
    assert_eq!(executions_of_key(&fleet, "k1"), 0);
    wait_until("the key is served", || {
        send_payment(entry, "k1", 1).expect("a response").status == 200
    });
    assert_eq!(executions_of_key(&fleet, "k1"), 1);
}

#[test]
fn a_caller_disconnect_does_not_cancel_a_payment() {
    let fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        services: 1,
        service_flags: vec!["--delay-ms=400".into()],
        ..FleetPlan::default()
    });
    let entry = fleet.daemons[0].entry;
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream
        .write_all(
            b"POST /payment/fee HTTP/1.1\r\nhost: x\r\nidempotency-key: k1\r\n\
              x-workspace: agents\r\ncontent-length: 8\r\n\r\namount=1",
        )
        .expect("the request is sent");
    wait_until("the payment runs", || executions_of_key(&fleet, "k1") == 1);
    drop(stream);
    wait_until("the outcome is recorded", || {
        send_payment(entry, "k1", 1).expect("a response").status == 200
    });
    assert_eq!(executions_of_key(&fleet, "k1"), 1);
}

/// Numbers of keys in the run under faults by their final outcome.
#[derive(Default)]
struct KeyOutcomeCounts {
    served: AtomicUsize,
    /// Keys whose outcome stayed unknown to the caller.
    unknown: AtomicUsize,
    /// Keys whose every attempt was refused or failed without a response.
    abandoned: AtomicUsize,
}

/// Returns a whole number from an environment variable, or a default if it is
/// unset or invalid.
fn env_u64(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_key_runs_twice_under_faults() {
    let keys = env_u64("DEWSPRING_TEST_KEYS", DEFAULT_KEYS) as usize;
    let seed = env_u64("DEWSPRING_TEST_SEED", DEFAULT_SEED);
    println!("keys {keys}, seed {seed}");
    let mut fleet = payment_fleet(3, "");
    let entries: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let outcomes = KeyOutcomeCounts::default();
    let next = AtomicUsize::new(0);
    let is_finished = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| send_keys(keys, &next, &entries, &outcomes)))
            .collect();
        let injector = scope.spawn(|| inject_faults(&mut fleet, seed, &is_finished));
        for caller in callers {
            caller.join().expect("the caller ends");
        }
        is_finished.store(true, Ordering::Relaxed);
        injector.join().expect("the fault injector ends");
    });
    check_keys(&fleet, keys, &outcomes);
}

fn send_keys(keys: usize, next: &AtomicUsize, entries: &[SocketAddr], outcomes: &KeyOutcomeCounts) {
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= keys {
            return;
        }
        let count = match repeat_until_final(number, entries) {
            Some(200) => &outcomes.served,
            Some(_) => &outcomes.unknown,
            None => &outcomes.abandoned,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Repeats a key through the daemons in turn until it is served, in at most
/// [`MAX_ATTEMPTS`].
///
/// Returns 200 if the key was served, or else the last status after which the key
/// may have run, or `None` if there was none.
fn repeat_until_final(number: usize, entries: &[SocketAddr]) -> Option<u16> {
    let key = format!("key-{number}");
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        let entry = entries[(number + attempt) % entries.len()];
        if let Ok(response) = send_payment(entry, &key, 1) {
            match response.status {
                200 => return Some(200),
                // The request may have run; the caller repeats it, as a balancer
                // would.
                409 | 502 | 504 => last = Some(response.status),
                503 | 429 => {}
                _ => panic!("unexpected response: {response:?}"),
            }
        }
        thread::sleep(Duration::from_millis(20 + 20 * attempt as u64));
    }
    last
}

/// Injects random faults into the platform, the daemons and the services until
/// the callers have finished.
fn inject_faults(fleet: &mut TestFleet, seed: u64, is_finished: &AtomicBool) {
    let mut rng = Gen::from_size_and_seed(100, seed);
    while !is_finished.load(Ordering::Relaxed) {
        let index = usize::from(u8::arbitrary(&mut rng)) % fleet.daemons.len();
        match u8::arbitrary(&mut rng) % 6 {
            0 => fleet.control_platform(&json!({ "lose_answers": 2 })),
            1 => interrupt_platform(fleet),
            2 => freeze(&fleet.daemons[index]),
            3 => restart(fleet, index),
            4 => {
                let command = json!({ "reset_before_answer": 1 });
                let service = &fleet.services[index % fleet.services.len()];
                post_json(service.address(), "/control", &command).expect("the service responds");
            }
            _ => {}
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn interrupt_platform(fleet: &TestFleet) {
    fleet.control_platform(&json!({ "mode": "down" }));
    thread::sleep(Duration::from_millis(150));
    fleet.control_platform(&json!({ "mode": "up" }));
}

fn freeze(daemon: &TestDaemon) {
    daemon.process.freeze();
    thread::sleep(Duration::from_millis(250));
    daemon.process.resume();
}

fn restart(fleet: &mut TestFleet, index: usize) {
    fleet.daemons[index].process.kill();
    let old = &fleet.daemons[index];
    let daemon = fleet.start_daemon_at(index + 1, old.entry, old.admin, old.peer);
    wait_until("the daemon is ready", || is_ready(&daemon));
    fleet.daemons[index] = daemon;
}

fn check_keys(fleet: &TestFleet, keys: usize, outcomes: &KeyOutcomeCounts) {
    let counts = KeyExecutions::read(fleet);
    let mut once = 0;
    for number in 0..keys {
        let key = format!("key-{number}");
        let runs = counts.of(&key);
        assert!(runs <= 1, "{key} ran {runs} times");
        once += runs;
    }
    println!(
        "ran once {once} of {keys}; served {}, unknown {}, abandoned {}",
        outcomes.served.load(Ordering::Relaxed),
        outcomes.unknown.load(Ordering::Relaxed),
        outcomes.abandoned.load(Ordering::Relaxed),
    );
    assert!(outcomes.served.load(Ordering::Relaxed) > 0);
}

/// What happens to a process while another one takes its VM's name over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HandOver {
    /// Both go on.
    Overlap,
    /// The old one is frozen with requests in work, and goes on after the new one
    /// has served their repetitions.
    Frozen,
    /// The old one shuts down.
    ShutDown,
}

/// Number of keys that are sent during a hand-over.
const HAND_OVER_KEYS: usize = 120;

/// Guards against two processes of one VM that both act for a moment: neither a
/// key that is repeated through both, nor a request without one, runs twice.
#[test]
fn a_hand_over_between_two_processes_runs_nothing_twice() {
    for hand_over in [HandOver::Overlap, HandOver::Frozen, HandOver::ShutDown] {
        let mut fleet = payment_fleet(2, "");
        let successor = fleet.start_daemon(1);
        wait_until("the new process is ready", || is_ready(&successor));
        let mut old = std::mem::replace(&mut fleet.daemons[0], successor);
        let entries = [old.entry, fleet.daemons[0].entry, fleet.daemons[1].entry];
        let served: usize = thread::scope(|scope| {
            let callers = entries.map(|entry| scope.spawn(move || send_all_keys(entry)));
            thread::sleep(Duration::from_millis(150));
            fleet.publish_vms();
            match hand_over {
                HandOver::Overlap => {}
                HandOver::Frozen => {
                    old.process.freeze();
                    thread::sleep(Duration::from_millis(600));
                    old.process.resume();
                }
                HandOver::ShutDown => {
                    old.process.terminate();
                    let ended = old.process.wait_exit(Duration::from_secs(10));
                    assert!(ended.is_some_and(|status| status.success()));
                }
            }
            let counts = callers.map(|caller| caller.join().expect("the caller ends"));
            counts.into_iter().sum()
        });
        let counts = KeyExecutions::read(&fleet);
        let runs: Vec<u64> = (0..HAND_OVER_KEYS)
            .map(|number| counts.of(&format!("key-{number}")))
            .collect();
        assert!(
            runs.iter().all(|count| *count <= 1),
            "{hand_over:?}: {runs:?}"
        );
        let ran = runs.iter().sum::<u64>() as usize;
        assert!(ran > HAND_OVER_KEYS / 2, "{hand_over:?}: {ran} keys ran");
        assert!(
            served >= ran,
            "{hand_over:?}: {served} responses, {ran} keys ran"
        );
        for (request, count) in fleet.executions() {
            assert_eq!(count, 1, "{hand_over:?}: {request}");
        }
    }
}

/// Sends all keys through a daemon, and a request without a key after each; returns
/// the number of keys that it served.
fn send_all_keys(entry: SocketAddr) -> usize {
    let mut served = 0;
    for number in 0..HAND_OVER_KEYS {
        let response = send_payment(entry, &format!("key-{number}"), 1);
        served += usize::from(response.is_ok_and(|response| response.status == 200));
        let request = Request::post(format!("http://{entry}/payment/fee"))
            .body(Body::from("amount=1"))
            .expect("a valid request");
        // The process may have ended; its requests aren't repeated.
        let _ = send(request);
    }
    served
}
