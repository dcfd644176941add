//! Tests the plain service as a process, and the process handle.

use std::time::{Duration, Instant};

use oxhttp::model::Method;
use serde_json::{Value, json};
use standins::process::{RunningProcess, get_json, post_json, send_json};

fn spawn_service(flags: &[&str]) -> RunningProcess {
    RunningProcess::spawn_path(env!("CARGO_BIN_EXE_fake-service"), flags)
}

#[test]
fn counts_by_request_and_key() {
    struct Case {
        id: &'static str,
        key: Option<&'static str>,
        execution: u64,
    }
    let cases = [
        Case {
            id: "a",
            key: Some("k"),
            execution: 1,
        },
        Case {
            id: "a",
            key: Some("k"),
            execution: 2,
        },
        Case {
            id: "b",
            key: None,
            execution: 1,
        },
    ];
    let service = spawn_service(&["--name", "booking"]);
    let body = json!({"fee": 1});
    for case in cases {
        let mut headers = vec![("x-request-id", case.id)];
        headers.extend(case.key.map(|key| ("idempotency-key", key)));
        let response = send_json(
            Method::PUT,
            service.address(),
            "/payment/1",
            &headers,
            Some(&body),
        )
        .expect("a response");
        let expected = json!({
            "service": "booking", "method": "PUT", "path": "/payment/1",
            "request_id": case.id, "idempotency_key": case.key,
            "execution": case.execution, "body_bytes": 9,
        });
        assert_eq!(response.body, expected);
    }
    let counts = get_json(service.address(), "/executions")
        .expect("counts")
        .body;
    assert_eq!(counts["executions"], json!({"a": 2, "b": 1}));
    assert_eq!(counts["keys"], json!({"k": 2}));
}

#[test]
fn injected_faults_take_effect() {
    struct Case {
        control: Value,
        status: Option<u16>,
        executions: u64,
    }
    let cases = [
        Case {
            control: json!({"refuse_next": 1}),
            status: Some(503),
            executions: 0,
        },
        Case {
            control: json!({"fail_next": 1}),
            status: Some(500),
            executions: 1,
        },
        Case {
            control: json!({"reset_before_answer": 1}),
            status: None,
            executions: 1,
        },
    ];
    for case in cases {
        let service = spawn_service(&[]);
        post_json(service.address(), "/control", &case.control).expect("a response");
        let status = get_json(service.address(), "/x")
            .ok()
            .map(|response| response.status);
        assert_eq!(status, case.status, "{}", case.control);
        let counts = get_json(service.address(), "/executions")
            .expect("counts")
            .body;
        let counted = counts["executions"]["anonymous"].as_u64().unwrap_or(0);
        assert_eq!(counted, case.executions, "{}", case.control);
    }
}

#[test]
fn dropping_the_handle_kills_the_process() {
    let service = spawn_service(&[]);
    let address = service.address();
    assert!(get_json(address, "/healthz").is_ok());
    drop(service);
    assert!(get_json(address, "/healthz").is_err());
}

#[test]
fn a_frozen_process_responds_after_it_resumes() {
    let mut service = spawn_service(&[]);
    service.freeze();
    let address = service.address();
    let started = Instant::now();
    let request = std::thread::spawn(move || get_json(address, "/x"));
    std::thread::sleep(Duration::from_millis(200));
    assert!(!request.is_finished(), "a frozen process does not respond");
    service.resume();
    let response = request.join().expect("no panic").expect("a response");
    assert_eq!(response.status, 200);
    assert!(started.elapsed() >= Duration::from_millis(200));
    service.terminate();
    assert!(service.wait_exit(Duration::from_secs(5)).is_some());
}
