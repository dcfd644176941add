//! Failures of backend servers and callers; responses must report correctly
//! whether a request ran.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::{CallResponse, ChatCall, FleetPlan, TestFleet, admin_json, send, wait_until};
use oxhttp::model::{Body, Request};
use serde_json::{Value, json};
use standins::process::{get_json, post_json};

fn control(server: std::net::SocketAddr, command: &Value) {
    let response = post_json(server, "/control", command).expect("the server responds");
    assert_eq!(response.status, 200);
}

fn small_fleet(engines: usize, services: usize, engine_pool: &str) -> TestFleet {
    TestFleet::start(FleetPlan {
        daemons: 1,
        engines,
        services,
        engine_pool: engine_pool.into(),
        ..FleetPlan::default()
    })
}

fn call_service(fleet: &TestFleet, path: &str) -> CallResponse {
    let uri = format!("http://{}{path}", fleet.daemons[0].entry);
    let request = Request::post(uri)
        .body(Body::from("amount=100"))
        .expect("a valid request");
    send(request).expect("a response")
}

fn in_flight(fleet: &TestFleet) -> u64 {
    let status = admin_json(&fleet.daemons[0], "/v1/status").body;
    let pools = status["pools"].as_array().expect("pools are listed");
    pools
        .iter()
        .map(|pool| pool["in_flight"].as_u64().unwrap_or(0))
        .sum()
}

#[test]
fn a_request_that_did_not_run_is_retried_on_another_server() {
    let mut fleet = small_fleet(2, 1, "refusal_means_not_run = true\n");
    let entry = fleet.daemons[0].entry;
    control(fleet.engines[1].address(), &json!({ "refuse_next": 1000 }));
    for _ in 0..10 {
        let response = ChatCall::new(entry, 5).send();
        assert!(response.is_expected_stream(5), "{response:?}");
        assert_eq!(fleet.executions_of(&response.request_id), 1);
    }
    fleet.engines[1].kill();
    for _ in 0..10 {
        let response = ChatCall::new(entry, 5).send();
        assert!(response.is_expected_stream(5), "{response:?}");
        assert_eq!(fleet.executions_of(&response.request_id), 1);
    }
}

#[test]
fn requests_to_an_unreachable_pool_are_refused_as_not_run() {
    let mut fleet = small_fleet(1, 1, "");
    fleet.engines[0].kill();
    let response = ChatCall::new(fleet.daemons[0].entry, 5).send();
    assert!([429, 503].contains(&response.status), "{response:?}");
    assert_eq!(response.ran, "no");
    assert!(response.retry_after.is_some());
    assert!(response.elapsed < Duration::from_secs(5), "{response:?}");
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let fleet = small_fleet(1, 2, "");
    for service in &fleet.services {
        control(service.address(), &json!({ "reset_before_answer": 1 }));
    }
    let payment = call_service(&fleet, "/payment/1");
    assert_eq!(payment.status, 502, "{payment:?}");
    assert_eq!(payment.ran, "unknown");
    assert_eq!(fleet.executions_of(&payment.request_id), 1);

    // One of the two services still resets its response; the other one responds.
    let archive = call_service(&fleet, "/archive/1");
    assert_eq!(archive.status, 200, "{archive:?}");
    assert!(fleet.executions_of(&archive.request_id) <= 2);
}

/// Guards against a retry whose failure to connect overwrites that the first
/// attempt may have run.
#[test]
fn a_failed_retry_still_reports_that_the_request_may_have_run() {
    let mut fleet = small_fleet(1, 2, "");
    for service in &fleet.services {
        control(service.address(), &json!({ "reset_before_answer": 100 }));
    }
    let killed = fleet.services.len() - 1;
    let survivor = fleet.services[0].address();
    fleet.services[killed].kill();
    let mut ran = 0;
    for number in 0..6 {
        let response = call_service(&fleet, &format!("/archive/{number}"));
        let counts = get_json(survivor, "/executions").expect("the service responds");
        let did_run = !counts.body["executions"][&response.request_id].is_null();
        let expected = if did_run { "unknown" } else { "no" };
        assert_eq!(response.ran, expected, "{response:?}");
        ran += u32::from(did_run);
    }
    assert!(ran > 0, "no request reached the service that resets");
}

#[test]
fn a_broken_stream_is_resumed_without_a_gap() {
    // Each engine breaks off after generating 7 tokens, so a response of 12
    // tokens needs exactly one resume; the retry budget allows one for each
    // request.
    let fleet = small_fleet(2, 1, "can_resume = true\nretry_percent = 100\n");
    for engine in &fleet.engines {
        control(engine.address(), &json!({ "reset_after_tokens": 7 }));
    }
    for _ in 0..10 {
        let response = ChatCall::new(fleet.daemons[0].entry, 12).send();
        assert!(response.is_expected_stream(12), "{response:?}");
        assert_eq!(fleet.executions_of(&response.request_id), 1);
    }
}

#[test]
fn a_broken_stream_that_cannot_be_resumed_ends_with_an_error() {
    let fleet = small_fleet(1, 1, "");
    control(
        fleet.engines[0].address(),
        &json!({ "reset_after_tokens": 7 }),
    );
    let response = ChatCall::new(fleet.daemons[0].entry, 20).send();
    assert_eq!(response.status, 200);
    assert!(response.body.is_err(), "{response:?}");
}

#[test]
fn a_caller_disconnect_cancels_its_request() {
    let fleet = small_fleet(1, 1, "");
    let entry = fleet.daemons[0].entry;
    let body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"x"}]}"#;
    for stage in ["before the response", "within the response"] {
        let mut stream = TcpStream::connect(entry).expect("a connection");
        write!(
            stream,
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-answer-tokens: 5000\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("the request is sent");
        if stage == "within the response" {
            let mut first_bytes = [0; 16];
            stream
                .read_exact(&mut first_bytes)
                .expect("a response begins");
        }
        wait_until("the request runs", || in_flight(&fleet) == 1);
        drop(stream);
        wait_until("the grant is released", || in_flight(&fleet) == 0);
        let engine = fleet.engines[0].address();
        wait_until("the engine is free", || {
            let load = get_json(engine, "/load").expect("the engine responds");
            load.body["running"] == 0
        });
        let counts = get_json(engine, "/executions").expect("the engine responds");
        let generated = counts.body["tokens_generated"].as_u64().expect("a count");
        assert!(generated < 5000, "{stage}: {generated} tokens");
    }
}

#[test]
fn slow_callers_do_not_delay_others() {
    let fleet = small_fleet(1, 1, "");
    let entry = fleet.daemons[0].entry;
    // Callers that send part of a body and then nothing.
    let mut slow = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(entry).expect("a connection");
        stream
            .write_all(
                b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{",
            )
            .expect("the request is sent");
        slow.push(stream);
    }
    let calls: Vec<_> = (0..8)
        .map(|_| thread::spawn(move || ChatCall::new(entry, 20).send()))
        .collect();
    for call in calls {
        let response = call.join().expect("the caller ends");
        assert!(response.is_expected_stream(20), "{response:?}");
    }
}
