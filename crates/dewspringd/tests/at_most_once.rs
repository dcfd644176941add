//! A keyed request of a route that isn't idempotent runs at most once, however
//! often and through whichever daemon its caller repeats it.
//!
//! `DEWSPRING_TEST_KEYS` sets the number of keys of the run under faults,
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
const MAX_TRIES: usize = 12;

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

fn pay(entry: SocketAddr, key: &str, amount: u32) -> io::Result<CallResponse> {
    let request = Request::post(format!("http://{entry}/payment/fee"))
        .header("idempotency-key", key)
        .header("x-workspace", "agents")
        .body(Body::from(format!("amount={amount}")))
        .expect("a valid request");
    send(request)
}

/// How often each key ran, at each service.
struct RunCounts(Vec<Value>);

impl RunCounts {
    fn read(fleet: &TestFleet) -> Self {
        let read = |service: &RunningProcess| {
            let answer = get_json(service.address(), "/executions");
            answer.expect("the service answers").body["keys"].take()
        };
        Self(fleet.services.iter().map(read).collect())
    }

    fn of(&self, key: &str) -> u64 {
        let counts = self.0.iter().map(|keys| keys[key].as_u64().unwrap_or(0));
        counts.sum()
    }
}

/// Returns how often a key ran, over all services.
fn runs_of(fleet: &TestFleet, key: &str) -> u64 {
    RunCounts::read(fleet).of(key)
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let fleet = payment_fleet(3, "");
    let first = pay(fleet.daemons[0].entry, "k1", 100).expect("an answer");
    assert_eq!(first.status, 200, "{first:?}");
    for daemon in &fleet.daemons {
        // The outcome is recorded just after the answer.
        wait_until("the answer is recorded", || {
            pay(daemon.entry, "k1", 100).expect("an answer").status == 200
        });
        let repeat = pay(daemon.entry, "k1", 100).expect("an answer");
        assert_eq!(repeat.body, first.body);
        assert_eq!(repeat.ran, "yes");
        let other = pay(daemon.entry, "k1", 101).expect("an answer");
        assert_eq!(other.status, 422, "{other:?}");
    }
    assert_eq!(runs_of(&fleet, "k1"), 1);
}

#[test]
fn repeats_at_the_same_moment_run_once() {
    let fleet = payment_fleet(3, "");
    for round in 0..20 {
        let key = format!("k{round}");
        let answers: Vec<CallResponse> = thread::scope(|scope| {
            let calls: Vec<_> = fleet
                .daemons
                .iter()
                .map(|daemon| scope.spawn(|| pay(daemon.entry, &key, 1).expect("an answer")))
                .collect();
            let joined = calls.into_iter().map(|call| call.join().expect("it ends"));
            joined.collect()
        });
        assert_eq!(runs_of(&fleet, &key), 1, "{answers:?}");
        assert!(answers.iter().any(|answer| answer.status == 200));
        let allowed = |answer: &CallResponse| [200, 409].contains(&answer.status);
        assert!(answers.iter().all(allowed), "{answers:?}");
    }
}

#[test]
fn a_store_that_is_down_refuses_keyed_requests_at_once() {
    let fleet = payment_fleet(1, "");
    let entry = fleet.daemons[0].entry;
    fleet.control_platform(&json!({ "mode": "down" }));
    let started = Instant::now();
    let refused = pay(entry, "k1", 1).expect("an answer");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.ran, "no");
    assert!(refused.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_secs(3), "{refused:?}");
    fleet.control_platform(&json!({ "mode": "up" }));
    wait_until("the key runs", || {
        pay(entry, "k1", 1).expect("an answer").status == 200
    });
    assert_eq!(runs_of(&fleet, "k1"), 1);
}

#[test]
fn a_lost_answer_of_the_store_is_settled() {
    let fleet = payment_fleet(2, "");
    for round in 0..10 {
        let key = format!("k{round}");
        fleet.control_platform(&json!({ "lose_answers": 1 }));
        let answer = pay(fleet.daemons[round % 2].entry, &key, 1).expect("an answer");
        let runs = runs_of(&fleet, &key);
        let expected = u64::from(answer.status == 200);
        assert_eq!(runs, expected, "{answer:?}");
    }
}

#[test]
fn what_did_not_run_frees_its_key() {
    let fleet = payment_fleet(1, "refusal_means_not_run = true\n");
    for service in &fleet.services {
        let order = json!({ "refuse_next": 3 });
        post_json(service.address(), "/control", &order).expect("the service answers");
    }
    let entry = fleet.daemons[0].entry;
    let refused = pay(entry, "k1", 1).expect("an answer");
    assert_eq!(refused.ran, "no", "{refused:?}");
    assert_eq!(runs_of(&fleet, "k1"), 0);
    wait_until("the key runs", || {
        pay(entry, "k1", 1).expect("an answer").status == 200
    });
    assert_eq!(runs_of(&fleet, "k1"), 1);
}

#[test]
fn a_caller_that_hangs_up_does_not_cut_a_payment_off() {
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
    wait_until("the payment runs", || runs_of(&fleet, "k1") == 1);
    drop(stream);
    wait_until("the outcome is recorded", || {
        pay(entry, "k1", 1).expect("an answer").status == 200
    });
    assert_eq!(runs_of(&fleet, "k1"), 1);
}

/// What became of the keys of the run under faults.
#[derive(Default)]
struct KeyTally {
    served: AtomicUsize,
    unknown: AtomicUsize,
    given_up: AtomicUsize,
}

fn setting(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_key_runs_twice_under_faults() {
    let keys = setting("DEWSPRING_TEST_KEYS", DEFAULT_KEYS) as usize;
    let seed = setting("DEWSPRING_TEST_SEED", DEFAULT_SEED);
    println!("keys {keys}, seed {seed}");
    let mut fleet = payment_fleet(3, "");
    let entries: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let tally = KeyTally::default();
    let next = AtomicUsize::new(0);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| run_keys(keys, &next, &entries, &tally)))
            .collect();
        let shaker = scope.spawn(|| shake_fleet(&mut fleet, seed, &is_over));
        for caller in callers {
            caller.join().expect("the caller ends");
        }
        is_over.store(true, Ordering::Relaxed);
        shaker.join().expect("the faults end");
    });
    check_keys(&fleet, keys, &tally);
}

fn run_keys(keys: usize, next: &AtomicUsize, entries: &[SocketAddr], tally: &KeyTally) {
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= keys {
            return;
        }
        let count = match repeat_until_final(number, entries) {
            Some(200) => &tally.served,
            Some(_) => &tally.unknown,
            None => &tally.given_up,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Repeats a key through other daemons until it is served or its outcome can't
/// be known; returns the final status.
fn repeat_until_final(number: usize, entries: &[SocketAddr]) -> Option<u16> {
    let key = format!("key-{number}");
    let mut last = None;
    for attempt in 0..MAX_TRIES {
        let entry = entries[(number + attempt) % entries.len()];
        if let Ok(answer) = pay(entry, &key, 1) {
            match answer.status {
                200 => return Some(200),
                // The caller can't know; it asks again, as a balancer would.
                409 | 502 | 504 => last = Some(answer.status),
                503 | 429 => {}
                _ => panic!("an answer that no rule allows: {answer:?}"),
            }
        }
        thread::sleep(Duration::from_millis(20 + 20 * attempt as u64));
    }
    last
}

/// Brings faults to the platform, the daemons and the services.
fn shake_fleet(fleet: &mut TestFleet, seed: u64, is_over: &AtomicBool) {
    let mut random = Gen::from_size_and_seed(100, seed);
    while !is_over.load(Ordering::Relaxed) {
        let place = usize::from(u8::arbitrary(&mut random)) % fleet.daemons.len();
        match u8::arbitrary(&mut random) % 6 {
            0 => fleet.control_platform(&json!({ "lose_answers": 2 })),
            1 => pause_platform(fleet),
            2 => freeze(&fleet.daemons[place]),
            3 => restart(fleet, place),
            4 => {
                let order = json!({ "reset_before_answer": 1 });
                let service = &fleet.services[place % fleet.services.len()];
                post_json(service.address(), "/control", &order).expect("the service answers");
            }
            _ => {}
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn pause_platform(fleet: &TestFleet) {
    fleet.control_platform(&json!({ "mode": "down" }));
    thread::sleep(Duration::from_millis(150));
    fleet.control_platform(&json!({ "mode": "up" }));
}

fn freeze(daemon: &TestDaemon) {
    daemon.process.freeze();
    thread::sleep(Duration::from_millis(250));
    daemon.process.resume();
}

fn restart(fleet: &mut TestFleet, place: usize) {
    fleet.daemons[place].process.kill();
    let old = &fleet.daemons[place];
    let daemon = fleet.start_daemon_at(place + 1, old.entry, old.admin, old.peer);
    wait_until("the daemon is ready", || is_ready(&daemon));
    fleet.daemons[place] = daemon;
}

fn check_keys(fleet: &TestFleet, keys: usize, tally: &KeyTally) {
    let counts = RunCounts::read(fleet);
    let mut once = 0;
    for number in 0..keys {
        let key = format!("key-{number}");
        let runs = counts.of(&key);
        assert!(runs <= 1, "{key} ran {runs} times");
        once += runs;
    }
    println!(
        "ran once {once} of {keys}; served {}, unknown {}, given up {}",
        tally.served.load(Ordering::Relaxed),
        tally.unknown.load(Ordering::Relaxed),
        tally.given_up.load(Ordering::Relaxed),
    );
    assert!(tally.served.load(Ordering::Relaxed) > 0);
}
