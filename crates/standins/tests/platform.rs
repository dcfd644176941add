//! Tests the platform as a process: compare-and-swap, leases, watches and
//! outages.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request};
use serde_json::{Value, json};
use standins::process::{JsonResponse, RunningProcess, get_json, post_json};

/// The key "k" in base64.
const KEY: &str = "aw==";

fn spawn_platform(flags: &[&str]) -> RunningProcess {
    RunningProcess::spawn_path(env!("CARGO_BIN_EXE_fake-platform"), flags)
}

fn swap_request(expected: u64, value: &str, lease: &str) -> Value {
    json!({
        "compare": [{"key": KEY, "target": "MOD", "result": "EQUAL",
            "mod_revision": expected.to_string()}],
        "success": [{"request_put": {"key": KEY, "value": value, "lease": lease}}],
        "failure": [{"request_range": {"key": KEY}}],
    })
}

fn post(address: SocketAddr, path: &str, body: &Value) -> JsonResponse {
    post_json(address, path, body).expect("a response")
}

fn read(address: SocketAddr) -> Value {
    post(address, "/v3/kv/range", &json!({"key": KEY})).body
}

/// Opens a watch and returns its lines as JSON.
fn watch(address: SocketAddr, start: &str) -> impl Iterator<Item = Value> {
    let body = json!({"create_request": {"key": KEY, "start_revision": start}});
    let request = Request::post(format!("http://{address}/v3/watch"))
        .body(Body::from(body.to_string()))
        .expect("a valid request");
    let response = Client::new().request(request).expect("a response");
    BufReader::new(response.into_body())
        .lines()
        .map_while(Result::ok)
        .map(|line| serde_json::from_str(&line).expect("JSON"))
}

#[test]
fn compare_and_swap() {
    struct Case {
        name: &'static str,
        request: Value,
        status: u16,
        succeeded: bool,
        revision: &'static str,
    }
    let large = "A".repeat(1_500_000);
    let cases = [
        Case {
            name: "an absent key",
            request: swap_request(0, "MQ==", "0"),
            status: 200,
            succeeded: true,
            revision: "2",
        },
        Case {
            name: "a conflict",
            request: swap_request(0, "Mg==", "0"),
            status: 200,
            succeeded: false,
            revision: "2",
        },
        Case {
            name: "the right revision",
            request: swap_request(2, "Mw==", "0"),
            status: 200,
            succeeded: true,
            revision: "3",
        },
        Case {
            name: "a value that is too large",
            request: swap_request(3, &large, "0"),
            status: 400,
            succeeded: false,
            revision: "",
        },
        Case {
            name: "an unknown lease",
            request: swap_request(3, "Mw==", "77"),
            status: 404,
            succeeded: false,
            revision: "",
        },
    ];
    let platform = spawn_platform(&[]);
    let address = platform.address();
    assert_eq!(
        read(address)["kvs"],
        Value::Null,
        "an absent key has no kvs"
    );
    for case in cases {
        let response = post(address, "/v3/kv/txn", &case.request);
        assert_eq!(response.status, case.status, "{}", case.name);
        if case.status != 200 {
            continue;
        }
        let succeeded = response.body["succeeded"].as_bool().unwrap_or(false);
        assert_eq!(succeeded, case.succeeded, "{}", case.name);
        assert_eq!(
            response.body["header"]["revision"], case.revision,
            "{}",
            case.name
        );
        if !case.succeeded {
            let found = &response.body["responses"][0]["response_range"]["kvs"][0];
            assert_eq!(found["value"], "MQ==");
        }
    }
    let expected = json!({"key": KEY, "create_revision": "2", "mod_revision": "3",
        "version": "2", "value": "Mw=="});
    assert_eq!(read(address)["kvs"][0], expected);
    let counts = get_json(address, "/counts").expect("counts").body;
    assert_eq!(counts["txn"], 5);
    assert_eq!(counts["range"], 2);
}

#[test]
fn a_write_with_a_lost_response_takes_effect() {
    let platform = spawn_platform(&[]);
    let address = platform.address();
    post(address, "/control", &json!({"lose_answers": 1}));
    let lost = post_json(address, "/v3/kv/txn", &swap_request(0, "MQ==", "0"));
    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(read(address)["kvs"][0]["value"], "MQ==");
}

#[test]
fn a_call_during_an_outage_has_no_effect() {
    let platform = spawn_platform(&[]);
    let address = platform.address();
    let mut lines = watch(address, "0");
    assert_eq!(
        lines.next().expect("a first line")["result"]["created"],
        true
    );
    post(address, "/control", &json!({"mode": "down"}));
    assert!(post_json(address, "/v3/kv/txn", &swap_request(0, "MQ==", "0")).is_err());
    assert!(get_json(address, "/vms").is_err());
    assert!(lines.next().is_none(), "the outage ends the watch");
    assert_eq!(get_json(address, "/counts").expect("counts").body["txn"], 1);
    post(
        address,
        "/control",
        &json!({"mode": "slow", "delay_ms": 150}),
    );
    let started = Instant::now();
    assert_eq!(read(address)["kvs"], Value::Null);
    assert!(started.elapsed() >= Duration::from_millis(150));
}

#[test]
fn watches_report_changes() {
    let platform = spawn_platform(&[]);
    let address = platform.address();
    post(address, "/v3/kv/txn", &swap_request(0, "MQ==", "0"));
    let mut lines = watch(address, "2");
    let mut result = move || lines.next().expect("a line")["result"].clone();
    assert_eq!(result()["created"], true);
    assert_eq!(result()["events"][0]["kv"]["value"], "MQ==");
    post(address, "/v3/kv/txn", &swap_request(2, "Mg==", "0"));
    let change = result();
    assert_eq!(change["header"]["revision"], "3");
    assert_eq!(change["events"][0]["type"], "PUT");
    assert_eq!(change["events"][0]["kv"]["mod_revision"], "3");
    let counts = get_json(address, "/counts").expect("counts").body;
    assert_eq!(counts["waiting_watches"], 1);
}

#[test]
fn leases_expire() {
    let platform = spawn_platform(&[]);
    let address = platform.address();
    let grant = post(address, "/v3/lease/grant", &json!({"TTL": "1"})).body;
    let lease = grant["ID"].as_str().expect("an id");
    assert_eq!(grant["TTL"], "1");
    let put = post(address, "/v3/kv/txn", &swap_request(0, "MQ==", lease));
    assert_eq!(put.body["succeeded"], true);
    let keep_alive = || post(address, "/v3/lease/keepalive", &json!({"ID": lease})).body;
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500));
        assert_eq!(keep_alive()["result"]["TTL"], "1");
    }
    assert_eq!(read(address)["kvs"][0]["lease"], lease);
    let mut lines = watch(address, "0").skip(1);
    let deleted = lines.next().expect("an event");
    assert_eq!(deleted["result"]["events"][0]["type"], "DELETE");
    assert_eq!(read(address)["kvs"], Value::Null);
    assert_eq!(
        keep_alive()["result"]["TTL"],
        Value::Null,
        "the lease has expired"
    );
}

#[test]
fn restores_a_lower_revision() {
    let platform = spawn_platform(&[]);
    let address = platform.address();
    post(address, "/v3/kv/txn", &swap_request(0, "MQ==", "0"));
    post(address, "/control", &json!({"snapshot": true}));
    post(address, "/v3/kv/txn", &swap_request(2, "Mg==", "0"));
    post(address, "/control", &json!({"restore": true}));
    let found = read(address);
    assert_eq!(found["header"]["revision"], "2");
    assert_eq!(found["kvs"][0]["value"], "MQ==");
}

#[test]
fn the_list_of_vms_lags() {
    let platform = spawn_platform(&["--list-lag-ms", "300"]);
    let address = platform.address();
    let vms = json!([{"vm": "a", "address": "127.0.0.1:7001",
        "data_centre": "dk-east-1", "state": "leaving"}]);
    post(address, "/control", &json!({"vms": vms}));
    let list = || get_json(address, "/vms").expect("a list").body;
    assert_eq!(list(), json!([]), "the list is still old");
    let deadline = Instant::now() + Duration::from_secs(5);
    while list() != vms {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for the change"
        );
        thread::sleep(Duration::from_millis(10));
    }
}
