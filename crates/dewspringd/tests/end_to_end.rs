//! Requests through real processes end to end: from a caller through a daemon
//! to an engine or a service, with the tables in the fake platform's store.

mod common;

use common::{CallResponse, ChatCall, FleetPlan, TestFleet, admin_json, send};
use oxhttp::model::{Body, Request};
use serde_json::{Value, json};

#[test]
fn requests_are_served_through_every_daemon() {
    let fleet = TestFleet::start(FleetPlan::default());
    for daemon in &fleet.daemons {
        let streamed = ChatCall::new(daemon.entry, 20).send();
        assert_eq!(streamed.status, 200, "{streamed:?}");
        assert_eq!(streamed.ran, "yes");
        assert!(streamed.is_expected_stream(20), "{streamed:?}");

        let plain = ChatCall {
            stream: false,
            ..ChatCall::new(daemon.entry, 3)
        }
        .send();
        let body: Value = serde_json::from_str(plain.body.as_ref().expect("a complete response"))
            .expect("the response is JSON");
        let expected = format!("{0}:0 {0}:1 {0}:2 ", plain.request_id);
        assert_eq!(body["choices"][0]["message"]["content"], expected);

        let archive = Request::get(format!("http://{}/archive/1927", daemon.entry));
        let response = send(archive.body(Body::empty()).expect("a valid request"));
        assert_eq!(response.expect("a response").status, 200);

        let explained = admin_json(daemon, &format!("/v1/explain/{}", streamed.request_id));
        let steps = explained.body["steps"].as_array().expect("steps are known");
        assert!(steps.len() >= 3, "{steps:?}");
        assert_eq!(admin_json(daemon, "/v1/status").body["revision"], 1);
    }
    for (request, count) in fleet.executions() {
        assert_eq!(count, 1, "{request} ran {count} times");
    }
}

struct InvalidRequestCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    body: String,
    status: u16,
    problem: &'static str,
}

#[test]
fn invalid_requests_get_a_problem_document() {
    let fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        ..FleetPlan::default()
    });
    let chat = "/v1/chat/completions";
    let case = |name, method, path, body: &str, status, problem| InvalidRequestCase {
        name,
        method,
        path,
        body: body.into(),
        status,
        problem,
    };
    let large = format!(r#"{{"model":"small","prompt":"{}"}}"#, "x".repeat(1 << 21));
    let cases = [
        case("not JSON", "POST", chat, "{", 400, "malformed"),
        case(
            "no prompt",
            "POST",
            chat,
            r#"{"model":"small"}"#,
            400,
            "malformed",
        ),
        case(
            "unknown model",
            "POST",
            chat,
            r#"{"model":"other","prompt":"x"}"#,
            404,
            "unknown-model",
        ),
        case("unknown path", "POST", "/v2/x", "{}", 404, "unknown-path"),
        case(
            "method",
            "DELETE",
            chat,
            r#"{"model":"small","prompt":"x"}"#,
            405,
            "method",
        ),
        case("too large", "POST", chat, &large, 413, "too-large"),
    ];
    for case in cases {
        let entry = fleet.daemons[0].entry;
        let request = Request::builder()
            .method(case.method)
            .uri(format!("http://{entry}{}", case.path))
            .body(Body::from(case.body))
            .expect("a valid request");
        let response: CallResponse = send(request).expect(case.name);
        assert_eq!(response.status, case.status, "{}: {response:?}", case.name);
        assert_eq!(response.ran, "no", "{}", case.name);
        let body: Value =
            serde_json::from_str(response.body.as_ref().expect("a complete response"))
                .expect("the problem is JSON");
        let kind = format!("urn:dewspring:problem:{}", case.problem);
        assert_eq!(body["type"], kind, "{}", case.name);
        assert_eq!(body["request_id"], response.request_id, "{}", case.name);
    }
    assert!(fleet.executions().is_empty());
    assert!(
        ChatCall::new(fleet.daemons[0].entry, 5)
            .send()
            .is_expected_stream(5)
    );
}

#[test]
fn models_are_listed() {
    let fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        ..FleetPlan::default()
    });
    let uri = format!("http://{}/v1/models", fleet.daemons[0].entry);
    let request = Request::get(uri)
        .body(Body::empty())
        .expect("a valid request");
    let response = send(request).expect("a response");
    let body: Value = serde_json::from_str(&response.body.expect("a complete response"))
        .expect("the list is JSON");
    assert_eq!(body["data"][0]["id"], "small");
}

#[test]
fn a_daemon_without_a_configuration_refuses_as_not_run() {
    let fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        ..FleetPlan::default()
    });
    fleet.control_platform(&json!({ "mode": "down" }));
    // The only peer is frozen, or the new daemon would get the configuration
    // from it.
    fleet.daemons[0].process.freeze();
    let fresh = fleet.start_daemon(2);
    let response = ChatCall::new(fresh.entry, 5).send();
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.ran, "no");
    assert!(response.retry_after.is_some());
    fleet.daemons[0].process.resume();
}
