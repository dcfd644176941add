//! Every caller gets the whole answer to its own request, or sees that it
//! broke; and what is said about executions is true.
//!
//! Callers of many kinds run while engines reset answers, refuse, stall, die
//! and come back on the same port. `DEWSPRING_TEST_ANSWERS` sets the number of
//! answers, `DEWSPRING_TEST_SEED` the seed.

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
const DEFAULT_ANSWERS: usize = 2_000;
const DEFAULT_SEED: u64 = 20_261_203;

/// What one caller saw of one request.
#[derive(Default)]
struct Tally {
    whole: AtomicUsize,
    broken: AtomicUsize,
    not_run: AtomicUsize,
    unknown: AtomicUsize,
    hung_up: AtomicUsize,
    /// Requests that were answered as not run.
    not_run_ids: Mutex<Vec<String>>,
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn answers_are_whole_and_own_under_faults() {
    let answers = setting("DEWSPRING_TEST_ANSWERS", DEFAULT_ANSWERS as u64) as usize;
    let seed = setting("DEWSPRING_TEST_SEED", DEFAULT_SEED);
    println!("answers {answers}, seed {seed}");
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 3,
        engines: 4,
        engine_flags: vec!["--token-interval-ms=1".into(), "--slots=16".into()],
        ..FleetPlan::default()
    });
    let entries: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let tally = Tally::default();
    let left = AtomicUsize::new(answers);
    let is_over = AtomicBool::new(false);
    let (steady, shaken) = fleet.engines.split_at_mut(1);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (entries, tally, left) = (&entries, &tally, &left);
                scope.spawn(move || run_caller(caller as u64, seed, entries, tally, left))
            })
            .collect();
        scope.spawn(|| shake_engines(shaken, seed, &is_over));
        for caller in callers {
            caller.join().expect("the caller ends");
        }
        is_over.store(true, Ordering::Relaxed);
    });
    assert_eq!(steady.len(), 1);
    report(&tally);
    check_executions(&fleet, &tally);
}

fn run_caller(caller: u64, seed: u64, entries: &[SocketAddr], tally: &Tally, left: &AtomicUsize) {
    let mut random = Gen::from_size_and_seed(100, seed ^ (caller << 32));
    while take_one(left) {
        let entry = entries[u8::arbitrary(&mut random) as usize % entries.len()];
        let tokens = 1 + usize::from(u8::arbitrary(&mut random)) % 60;
        match u8::arbitrary(&mut random) % 10 {
            0 => hang_up(entry, tokens, tally),
            1 => read_slowly(entry, tokens, tally),
            kind => call(entry, tokens, kind < 8, tally),
        }
    }
}

fn take_one(left: &AtomicUsize) -> bool {
    let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
        left.checked_sub(1)
    });
    taken.is_ok()
}

fn call(entry: SocketAddr, tokens: usize, stream: bool, tally: &Tally) {
    let answer = ChatCall {
        stream,
        ..ChatCall::new(entry, tokens)
    }
    .send();
    let is_whole = if stream {
        answer.is_expected_stream(tokens)
    } else {
        is_own_document(&answer, tokens)
    };
    count(tally, &answer, is_whole);
}

fn count(tally: &Tally, answer: &CallResponse, is_whole: bool) {
    let id = answer.request_id.clone();
    match (answer.status, answer.ran.as_str(), &answer.body) {
        (200, "yes", Err(_)) => tally.broken.fetch_add(1, Ordering::Relaxed),
        (200, "yes", Ok(_)) => {
            assert!(is_whole, "a short or foreign answer: {answer:?}");
            tally.whole.fetch_add(1, Ordering::Relaxed)
        }
        (429 | 503, "no", Ok(_)) => {
            assert!(answer.retry_after.is_some(), "{answer:?}");
            tally.not_run_ids.lock().expect("no caller panics").push(id);
            tally.not_run.fetch_add(1, Ordering::Relaxed)
        }
        (502 | 504, "unknown", Ok(_)) => tally.unknown.fetch_add(1, Ordering::Relaxed),
        _ => panic!("an answer that no rule allows: {answer:?}"),
    };
}

fn is_own_document(answer: &CallResponse, tokens: usize) -> bool {
    let Ok(body) = &answer.body else {
        return false;
    };
    let Ok(document) = serde_json::from_str::<Value>(body) else {
        return false;
    };
    let expected: String = (0..tokens)
        .map(|token| format!("{}:{token} ", answer.request_id))
        .collect();
    document["choices"][0]["message"]["content"] == expected
}

fn send_raw(entry: SocketAddr, tokens: usize) -> TcpStream {
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

fn hang_up(entry: SocketAddr, tokens: usize, tally: &Tally) {
    let mut stream = send_raw(entry, tokens);
    let mut start = [0; 32];
    // The answer may have broken before its first byte.
    let _read = stream.read(&mut start);
    tally.hung_up.fetch_add(1, Ordering::Relaxed);
}

/// Reads a few bytes at a time; the answer must still be whole, or broken.
fn read_slowly(entry: SocketAddr, tokens: usize, tally: &Tally) {
    let mut stream = send_raw(entry, tokens);
    let mut answer = Vec::new();
    let mut piece = [0; 512];
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&piece[..length]),
        }
        thread::sleep(Duration::from_millis(1));
    }
    let text = String::from_utf8_lossy(&answer);
    let is_whole = text.ends_with("0\r\n\r\n");
    let is_done = text.contains("data: [DONE]");
    if text.starts_with("HTTP/1.1 200") && is_whole {
        assert!(is_done, "a short answer ended normally: {text}");
        tally.whole.fetch_add(1, Ordering::Relaxed);
    } else {
        tally.broken.fetch_add(1, Ordering::Relaxed);
    }
}

/// Brings faults to engines until the callers are done.
fn shake_engines(engines: &mut [RunningProcess], seed: u64, is_over: &AtomicBool) {
    let mut random = Gen::from_size_and_seed(100, seed);
    while !is_over.load(Ordering::Relaxed) {
        let place = usize::from(u8::arbitrary(&mut random)) % engines.len();
        match u8::arbitrary(&mut random) % 6 {
            0 => restart(&mut engines[place], place + 2),
            1 => control(&engines[place], &json!({ "reset_after_tokens": 5 })),
            2 => control(&engines[place], &json!({ "reset_after_tokens": null })),
            3 => control(&engines[place], &json!({ "reset_before_answer": 2 })),
            4 => control(&engines[place], &json!({ "refuse_next": 3 })),
            _ => control(&engines[place], &json!({ "stall_ms": 100 })),
        }
        thread::sleep(Duration::from_millis(60));
    }
}

fn control(engine: &RunningProcess, order: &Value) {
    let answer = post_json(engine.address(), "/control", order).expect("the engine answers");
    assert_eq!(answer.status, 200);
}

/// Kills an engine and starts it anew on the same port.
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

fn report(tally: &Tally) {
    println!(
        "whole {}, broken {}, not run {}, unknown {}, hung up {}",
        tally.whole.load(Ordering::Relaxed),
        tally.broken.load(Ordering::Relaxed),
        tally.not_run.load(Ordering::Relaxed),
        tally.unknown.load(Ordering::Relaxed),
        tally.hung_up.load(Ordering::Relaxed),
    );
    assert!(tally.whole.load(Ordering::Relaxed) > 0);
}

/// A request that was answered as not run has no execution that the present
/// engines know of.
fn check_executions(fleet: &TestFleet, tally: &Tally) {
    let executions = fleet.executions();
    let not_run = tally.not_run_ids.lock().expect("no caller panics");
    for id in not_run.iter() {
        let count = executions
            .iter()
            .filter(|(request, _)| request == id)
            .count();
        assert_eq!(count, 0, "{id} was answered as not run and ran");
    }
}
