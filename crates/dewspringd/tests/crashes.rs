//! Prompts that crash each engine which begins to answer them.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::{CallResponse, ChatCall, FleetPlan, TestFleet, send};
use oxhttp::model::{Body, Request};
use serde_json::json;
use standins::process::RunningProcess;

/// Text in a prompt that crashes the engine.
const DEADLY_TEXT: &str = "plum-colored";

/// Crashes after which the fleet has [`STABLE_WINDOW`] to learn of the cause.
const COUNTED_CRASHES: usize = 5;

/// `stable-window-ms` of the users' platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Crashes that are permitted after that.
const ALLOWED_CRASHES: usize = 3;

/// Time for which prompts that crash engines are sent.
const LENGTH: Duration = Duration::from_secs(9);

fn fleet(engines: usize) -> TestFleet {
    TestFleet::start(FleetPlan {
        daemons: 2,
        engines,
        services: 1,
        engine_flags: vec![
            "--token-interval-ms=5".into(),
            format!("--crash-on={DEADLY_TEXT}"),
        ],
        ..FleetPlan::default()
    })
}

/// Sends a prompt whose start is that of many others.
fn send_chat(entry: SocketAddr, start: &str, number: usize) -> CallResponse {
    let body = json!({
        "model": "small",
        "stream": true,
        "max_tokens": 4,
        "messages": [
            {"role": "system", "content": start},
            {"role": "user", "content": format!("Question {number}")},
        ],
    });
    let request = Request::post(format!("http://{entry}/v1/chat/completions"))
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()));
    send(request.expect("a valid request")).expect("the entry responds")
}

fn count_crashed(engines: &mut [RunningProcess]) -> usize {
    let exits = engines
        .iter_mut()
        .map(|engine| engine.wait_exit(Duration::ZERO));
    exits.flatten().count()
}

/// Guards against a start of prompts that crashes engine after engine, because
/// the broker doesn't know what crashed the earlier ones.
#[test]
fn a_start_of_prompts_that_crashes_engines_is_blocked() {
    let mut fleet = fleet(14);
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let began = Instant::now();
    let mut refused = None;
    let mut unserved = 0;
    let mut counted_from = None;
    let mut crashed_before = 0;
    for number in 0.. {
        if began.elapsed() >= LENGTH {
            break;
        }
        let entry = entries[number % entries.len()];
        let response = send_chat(entry, DEADLY_TEXT, number);
        if response.status == 503 && response.ran == "no" {
            refused = Some(response);
        }
        let sound = ChatCall::new(entry, 4).send();
        let crashed = count_crashed(&mut fleet.engines);
        if crashed >= COUNTED_CRASHES {
            let from = *counted_from.get_or_insert_with(|| Instant::now() + STABLE_WINDOW);
            if Instant::now() < from {
                crashed_before = crashed;
            } else if !sound.is_expected_stream(4) {
                unserved += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let crashed = count_crashed(&mut fleet.engines) - crashed_before;
    assert!(
        crashed <= ALLOWED_CRASHES,
        "{crashed} engines crashed after the bound"
    );
    assert_eq!(unserved, 0, "sound requests go on");
    let refused = refused.expect("the last requests are refused");
    // The caller learns when the block ends.
    assert!(
        refused.retry_after_ms.is_some_and(|ms| ms > 60_000),
        "{refused:?}"
    );
}

/// Guards against prompts that are blocked because their engines ended for
/// another cause.
#[test]
fn engines_that_end_for_another_cause_block_no_prompts() {
    let mut fleet = fleet(6);
    let entry = fleet.daemons[0].entry;
    let call = ChatCall::new(entry, 40);
    for engine in 0..4 {
        let running: Vec<_> = (0..6)
            .map(|_| {
                let call = call.clone();
                thread::spawn(move || call.send())
            })
            .collect();
        thread::sleep(Duration::from_millis(60));
        fleet.engines[engine].kill();
        for call in running {
            call.join().expect("the caller ends");
        }
    }
    thread::sleep(Duration::from_secs(1));
    for _ in 0..5 {
        let response = call.send();
        assert!(response.is_expected_stream(40), "{response:?}");
    }
}
