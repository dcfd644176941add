//! Every caller gets the complete response to its own request or a visible
//! error, and responses report executions correctly.
//!
//! Callers stream, read whole documents, read slowly or disconnect, while
//! engines reset responses, refuse requests, stall, crash and restart on the
//! same port. `DEWSPRING_TEST_ANSWERS` sets the number of requests and
//! `DEWSPRING_TEST_SEED` the seed.

mod common;

use std::env;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::{CallResponse, ChatCall, FleetPlan, TestFleet};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use standins::process::{RunningProcess, post_json};

const CALLERS: usize = 48;
const DEFAULT_RESPONSES: usize = 2_000;
const DEFAULT_SEED: u64 = 20_261_203;

/// Numbers of requests by outcome, over all callers.
#[derive(Default)]
struct OutcomeCounts {
    complete: AtomicUsize,
    broken: AtomicUsize,
    not_run: AtomicUsize,
    unknown: AtomicUsize,
    disconnected: AtomicUsize,
    /// Ids of requests whose responses report that they didn't run.
    not_run_ids: Mutex<Vec<String>>,
}

/// Returns a whole number from an environment variable, or a default if it is
/// unset or invalid.
fn env_u64(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn responses_are_complete_and_match_their_requests_under_faults() {
    let responses = env_u64("DEWSPRING_TEST_ANSWERS", DEFAULT_RESPONSES as u64) as usize;
    let seed = env_u64("DEWSPRING_TEST_SEED", DEFAULT_SEED);
    println!("responses {responses}, seed {seed}");
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 3,
        engines: 4,
        engine_flags: vec!["--token-interval-ms=1".into(), "--slots=16".into()],
        ..FleetPlan::default()
    });
    let entries: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let outcomes = OutcomeCounts::default();
    let remaining = AtomicUsize::new(responses);
    let is_finished = AtomicBool::new(false);
    let (steady, faulty) = fleet.engines.split_at_mut(1);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (entries, outcomes, remaining) = (&entries, &outcomes, &remaining);
                scope.spawn(move || run_caller(caller as u64, seed, entries, outcomes, remaining))
            })
            .collect();
        scope.spawn(|| inject_faults(faulty, seed, &is_finished));
        for caller in callers {
            caller.join().expect("the caller ends");
        }
        is_finished.store(true, Ordering::Relaxed);
    });
    assert_eq!(steady.len(), 1);
    print_outcomes(&outcomes);
    check_executions(&fleet, &outcomes);
}

fn run_caller(
    caller: u64,
    seed: u64,
    entries: &[SocketAddr],
    outcomes: &OutcomeCounts,
    remaining: &AtomicUsize,
) {
    let mut rng = Gen::from_size_and_seed(100, seed ^ (caller << 32));
    while claim_request(remaining) {
        let entry = entries[u8::arbitrary(&mut rng) as usize % entries.len()];
        let tokens = 1 + usize::from(u8::arbitrary(&mut rng)) % 60;
        match u8::arbitrary(&mut rng) % 10 {
            0 => disconnect(entry, tokens, outcomes),
            1 => read_slowly(entry, tokens, outcomes),
            kind => call(entry, tokens, kind < 8, outcomes),
        }
    }
}

/// Claims one of the remaining requests; returns false if none remains.
fn claim_request(remaining: &AtomicUsize) -> bool {
    let claimed = remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
        remaining.checked_sub(1)
    });
    claimed.is_ok()
}

fn call(entry: SocketAddr, tokens: usize, stream: bool, outcomes: &OutcomeCounts) {
    let response = ChatCall {
        stream,
        ..ChatCall::new(entry, tokens)
    }
    .send();
    let is_complete = if stream {
        response.is_expected_stream(tokens)
    } else {
        is_expected_document(&response, tokens)
    };
    record(outcomes, &response, is_complete);
}

fn record(outcomes: &OutcomeCounts, response: &CallResponse, is_complete: bool) {
    let id = response.request_id.clone();
    match (response.status, response.ran.as_str(), &response.body) {
        (200, "yes", Err(_)) => outcomes.broken.fetch_add(1, Ordering::Relaxed),
        (200, "yes", Ok(_)) => {
            assert!(
                is_complete,
                "an incomplete response or one of another request: {response:?}"
            );
            outcomes.complete.fetch_add(1, Ordering::Relaxed)
        }
        (429 | 503, "no", Ok(_)) => {
            assert!(response.retry_after.is_some(), "{response:?}");
            outcomes
                .not_run_ids
                .lock()
                .expect("no caller panics")
                .push(id);
            outcomes.not_run.fetch_add(1, Ordering::Relaxed)
        }
        (502 | 504, "unknown", Ok(_)) => outcomes.unknown.fetch_add(1, Ordering::Relaxed),
        _ => panic!("unexpected response: {response:?}"),
    };
}

fn is_expected_document(response: &CallResponse, tokens: usize) -> bool {
    let Ok(body) = &response.body else {
        return false;
    };
    let Ok(document) = serde_json::from_str::<Value>(body) else {
        return false;
    };
    let expected: String = (0..tokens)
        .map(|token| format!("{}:{token} ", response.request_id))
        .collect();
    document["choices"][0]["message"]["content"] == expected
}

fn start_request(entry: SocketAddr, tokens: usize) -> TcpStream {
    let body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"x"}]}"#;
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         x-answer-tokens: {tokens}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request is sent");
    stream
}

fn disconnect(entry: SocketAddr, tokens: usize, outcomes: &OutcomeCounts) {
    let mut stream = start_request(entry, tokens);
    let mut first_bytes = [0; 32];
    // The response may break off before its first byte.
    let _read = stream.read(&mut first_bytes);
    outcomes.disconnected.fetch_add(1, Ordering::Relaxed);
}

/// Reads a few bytes at a time and checks that a response that ends normally is
/// complete.
fn read_slowly(entry: SocketAddr, tokens: usize, outcomes: &OutcomeCounts) {
    let mut stream = start_request(entry, tokens);
    let mut response = Vec::new();
    let mut buffer = [0; 512];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => response.extend_from_slice(&buffer[..length]),
        }
        thread::sleep(Duration::from_millis(1));
    }
    let text = String::from_utf8_lossy(&response);
    let is_complete = text.ends_with("0\r\n\r\n");
    let is_done = text.contains("data: [DONE]");
    if text.starts_with("HTTP/1.1 200") && is_complete {
        assert!(is_done, "an incomplete response ended normally: {text}");
        outcomes.complete.fetch_add(1, Ordering::Relaxed);
    } else {
        outcomes.broken.fetch_add(1, Ordering::Relaxed);
    }
}

/// Injects random faults into the engines until the callers have finished.
fn inject_faults(engines: &mut [RunningProcess], seed: u64, is_finished: &AtomicBool) {
    let mut rng = Gen::from_size_and_seed(100, seed);
    while !is_finished.load(Ordering::Relaxed) {
        let index = usize::from(u8::arbitrary(&mut rng)) % engines.len();
        match u8::arbitrary(&mut rng) % 6 {
            0 => restart(&mut engines[index], index + 2),
            1 => control(&engines[index], &json!({ "reset_after_tokens": 5 })),
            2 => control(&engines[index], &json!({ "reset_after_tokens": null })),
            3 => control(&engines[index], &json!({ "reset_before_answer": 2 })),
            4 => control(&engines[index], &json!({ "refuse_next": 3 })),
            _ => control(&engines[index], &json!({ "stall_ms": 100 })),
        }
        thread::sleep(Duration::from_millis(60));
    }
}

fn control(engine: &RunningProcess, command: &Value) {
    let response = post_json(engine.address(), "/control", command).expect("the engine responds");
    assert_eq!(response.status, 200);
}

/// Kills an engine and starts another one on the same port.
fn restart(engine: &mut RunningProcess, number: usize) {
    let address = engine.address();
    engine.kill();
    let listen = format!("--listen={address}");
    let name = format!("--name=engine-{number}");
    let flags = ["--model=small", "--token-interval-ms=1", "--slots=16"];
    *engine = RunningProcess::spawn(
        "fake-engine",
        &[&listen, &name, flags[0], flags[1], flags[2]],
    );
}

fn print_outcomes(outcomes: &OutcomeCounts) {
    println!(
        "complete {}, broken {}, not run {}, unknown {}, disconnected {}",
        outcomes.complete.load(Ordering::Relaxed),
        outcomes.broken.load(Ordering::Relaxed),
        outcomes.not_run.load(Ordering::Relaxed),
        outcomes.unknown.load(Ordering::Relaxed),
        outcomes.disconnected.load(Ordering::Relaxed),
    );
    assert!(outcomes.complete.load(Ordering::Relaxed) > 0);
}

/// Checks that no request reported as not run has an execution at a running
/// engine.
fn check_executions(fleet: &TestFleet, outcomes: &OutcomeCounts) {
    let executions = fleet.executions();
    let not_run = outcomes.not_run_ids.lock().expect("no caller panics");
    for id in not_run.iter() {
        let count = executions
            .iter()
            .filter(|(request, _)| request == id)
            .count();
        assert_eq!(count, 0, "{id} was reported as not run but ran");
    }
}
