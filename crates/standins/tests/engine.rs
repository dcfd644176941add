//! Tests the engine as a process: its completions, counts and injected faults.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Method, Request, Response};
use serde_json::{Value, json};
use standins::process::{RunningProcess, get_json, post_json, send_json};

const CHAT: &str = "/v1/chat/completions";

fn spawn_engine(flags: &[&str]) -> RunningProcess {
    let mut arguments = vec!["--model", "wire"];
    if !flags.contains(&"--token-interval-ms") {
        arguments.extend(["--token-interval-ms", "1"]);
    }
    arguments.extend(flags);
    RunningProcess::spawn_path(env!("CARGO_BIN_EXE_fake-engine"), &arguments)
}

fn chat_body(stream: bool) -> Value {
    json!({"model": "wire", "stream": stream, "messages": [{"role": "user", "content": "12345678"}]})
}

fn open_stream(address: SocketAddr, id: &str, tokens: &str) -> std::io::Result<Response<Body>> {
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("x-request-id", id)
        .header("x-answer-tokens", tokens)
        .body(Body::from(chat_body(true).to_string()))
        .expect("a valid request");
    Client::new().request(request)
}

fn token_texts(id: &str, tokens: std::ops::Range<u64>) -> String {
    tokens.map(|token| format!("{id}:{token} ")).collect()
}

fn wait_for(what: &str, is_done: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_done() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn executions(address: SocketAddr) -> Value {
    get_json(address, "/executions").expect("counts").body
}

#[test]
fn whole_completions() {
    struct Case {
        name: &'static str,
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        body: Value,
        status: u16,
        text: &'static str,
        finish: &'static str,
    }
    let cases = [
        Case {
            name: "chat with a given length",
            path: CHAT,
            headers: &[("x-request-id", "a"), ("x-answer-tokens", "2")],
            body: chat_body(false),
            status: 200,
            text: "a:0 a:1 ",
            finish: "stop",
        },
        Case {
            name: "a truncated completion without a request ID",
            path: "/v1/completions",
            headers: &[("x-answer-tokens", "9")],
            body: json!({"model": "wire", "prompt": "x", "max_tokens": 1}),
            status: 200,
            text: "anonymous:0 ",
            finish: "length",
        },
        Case {
            name: "a resumed completion",
            path: CHAT,
            headers: &[
                ("x-request-id", "r"),
                ("x-answer-tokens", "4"),
                ("x-resume-from", "3"),
            ],
            body: chat_body(false),
            status: 200,
            text: "r:3 ",
            finish: "stop",
        },
        Case {
            name: "an unknown model",
            path: CHAT,
            headers: &[],
            body: json!({"model": "other", "messages": [{"role": "user", "content": "x"}]}),
            status: 404,
            text: "",
            finish: "",
        },
        Case {
            name: "no messages",
            path: CHAT,
            headers: &[],
            body: json!({"model": "wire"}),
            status: 400,
            text: "",
            finish: "",
        },
    ];
    let engine = spawn_engine(&[]);
    for case in cases {
        let response = send_json(
            Method::POST,
            engine.address(),
            case.path,
            case.headers,
            Some(&case.body),
        )
        .expect(case.name);
        assert_eq!(response.status, case.status, "{}", case.name);
        if case.status != 200 {
            assert!(
                response.body["error"]["message"].is_string(),
                "{}",
                case.name
            );
            continue;
        }
        let choice = &response.body["choices"][0];
        let content = choice["message"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        assert_eq!(content, Some(case.text), "{}", case.name);
        assert_eq!(choice["finish_reason"], case.finish, "{}", case.name);
        assert!(response.body["usage"]["completion_tokens"].is_u64());
    }
    let counts = executions(engine.address());
    assert_eq!(counts["executions"], json!({"a": 1, "anonymous": 1}));
    assert_eq!(counts["resumed"], json!({"r": 1}));
    assert_eq!(counts["tokens_generated"], 4);
}

#[test]
fn streams_token_by_token() {
    let engine = spawn_engine(&["--token-interval-ms", "20"]);
    let started = Instant::now();
    let mut response = open_stream(engine.address(), "s", "20").expect("a response");
    let mut first = [0; 64];
    let read = response.body_mut().read(&mut first).expect("a first chunk");
    let first_byte = started.elapsed();
    let mut rest = String::from_utf8(first[..read].to_vec()).expect("text");
    response
        .body_mut()
        .read_to_string(&mut rest)
        .expect("a body");
    assert!(
        started.elapsed() >= Duration::from_millis(380),
        "{:?}",
        started.elapsed()
    );
    assert!(first_byte < Duration::from_millis(300), "{first_byte:?}");

    let events: Vec<&str> = rest
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    assert_eq!(events.len(), 22);
    assert_eq!(events[21], "[DONE]");
    let chunks: Vec<Value> = events[..21]
        .iter()
        .map(|event| serde_json::from_str(event).expect("JSON"))
        .collect();
    let found: String = chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(found, token_texts("s", 0..20));
    assert_eq!(chunks[20]["choices"][0]["finish_reason"], "stop");
    assert_eq!(chunks[20]["usage"]["prompt_tokens"], 2);
    assert_eq!(chunks[20]["usage"]["completion_tokens"], 20);
}

#[test]
fn a_disconnect_cancels_the_request() {
    struct Case {
        name: &'static str,
        stream: bool,
    }
    let cases = [
        Case {
            name: "streamed",
            stream: true,
        },
        Case {
            name: "whole",
            stream: false,
        },
    ];
    for case in cases {
        let engine = spawn_engine(&["--token-interval-ms", "10", "--slots", "1"]);
        let address = engine.address();
        let request = Request::post(format!("http://{address}{CHAT}"))
            .header("x-answer-tokens", "100000")
            .body(Body::from(chat_body(case.stream).to_string()))
            .expect("a valid request");
        let client = Client::new().with_global_timeout(Duration::from_millis(300));
        let response = client.request(request);
        drop(response);
        wait_for(case.name, || {
            get_json(address, "/load").expect("a load").body["running"] == 0
        });
        let counts = executions(address);
        assert!(counts["tokens_wasted"].as_u64() > Some(0), "{}", case.name);
        assert_eq!(counts["tokens_wasted"], counts["tokens_generated"]);
    }
}

#[test]
fn injected_faults_take_effect() {
    struct Case {
        name: &'static str,
        control: Value,
        /// Status of the response, or `None` for a dropped connection.
        status: Option<u16>,
        executions: u64,
    }
    let cases = [
        Case {
            name: "refuse",
            control: json!({"refuse_next": 1}),
            status: Some(503),
            executions: 0,
        },
        Case {
            name: "fail",
            control: json!({"fail_next": 1}),
            status: Some(500),
            executions: 1,
        },
        Case {
            name: "reset before the response",
            control: json!({"reset_before_answer": 1}),
            status: None,
            executions: 1,
        },
        Case {
            name: "reset after tokens, not streamed",
            control: json!({"reset_after_tokens": 3}),
            status: None,
            executions: 1,
        },
        Case {
            name: "an unknown field",
            control: json!({"explode": 1}),
            status: Some(200),
            executions: 1,
        },
    ];
    for case in cases {
        let engine = spawn_engine(&[]);
        let address = engine.address();
        let control = post_json(address, "/control", &case.control).expect("a response");
        let expected = if case.control["explode"].is_null() {
            200
        } else {
            400
        };
        assert_eq!(control.status, expected, "{}", case.name);
        let response = send_json(
            Method::POST,
            address,
            CHAT,
            &[("x-request-id", "f")],
            Some(&chat_body(false)),
        );
        assert_eq!(
            response.ok().map(|response| response.status),
            case.status,
            "{}",
            case.name
        );
        let counted = executions(address)["executions"]["f"].as_u64().unwrap_or(0);
        assert_eq!(counted, case.executions, "{}", case.name);
        let clear = json!({"reset_after_tokens": null});
        post_json(address, "/control", &clear).expect("a response");
        let again = post_json(address, CHAT, &chat_body(false)).expect("a response");
        assert_eq!(again.status, 200, "{} has ended", case.name);
    }
}

#[test]
fn a_stream_is_cut_off_after_tokens() {
    let engine = spawn_engine(&[]);
    let control = json!({"reset_after_tokens": 3});
    post_json(engine.address(), "/control", &control).expect("a response");
    let response = open_stream(engine.address(), "b", "10").expect("a response header");
    let mut bytes = Vec::new();
    let result = response.into_body().read_to_end(&mut bytes);
    assert!(result.is_err(), "the response is cut off");
    let found = String::from_utf8_lossy(&bytes);
    assert!(found.contains("b:2 ") && !found.contains("b:3 "), "{found}");
    assert_eq!(executions(engine.address())["tokens_cut_off"], 3);
}

#[test]
fn priorities_order_the_queue() {
    struct Case {
        name: &'static str,
        flags: &'static [&'static str],
        order: [&'static str; 2],
    }
    let cases = [
        Case {
            name: "honoured",
            flags: &["--slots", "1", "--honour-priority"],
            order: ["high", "low"],
        },
        Case {
            name: "ignored",
            flags: &["--slots", "1"],
            order: ["low", "high"],
        },
    ];
    for case in cases {
        let engine = spawn_engine(case.flags);
        let address = engine.address();
        let send = |id: &'static str, priority: &'static str| {
            thread::spawn(move || {
                let headers = [
                    ("x-request-id", id),
                    ("x-priority", priority),
                    ("x-answer-tokens", "100"),
                ];
                let response = send_json(
                    Method::POST,
                    address,
                    CHAT,
                    &headers,
                    Some(&chat_body(false)),
                );
                assert_eq!(response.expect("a response").status, 200);
                (Instant::now(), id)
            })
        };
        let waiting = |count: u64| {
            wait_for(case.name, || {
                get_json(address, "/load").expect("a load").body["waiting"] == count
            });
        };
        let first = send("first", "0");
        wait_for(case.name, || {
            get_json(address, "/load").expect("a load").body["running"] == 1
        });
        let low = send("low", "4");
        waiting(1);
        let high = send("high", "1");
        waiting(2);
        let mut ends = [first, low, high].map(|request| request.join().expect("a response"));
        ends.sort();
        assert_eq!(ends.map(|(_, id)| id)[1..], case.order, "{}", case.name);
        let counts = executions(address);
        assert_eq!(counts["max_running"], 1);
    }
}

#[test]
fn a_full_queue_refuses() {
    let engine = spawn_engine(&["--slots", "1", "--not-run-503", "--queue-limit", "0"]);
    let address = engine.address();
    let running = open_stream(address, "running", "100000").expect("a response");
    let response = post_json(address, CHAT, &chat_body(false)).expect("a response");
    assert_eq!(response.status, 503);
    assert_eq!(executions(address)["executions"], json!({"running": 1}));
    drop(running);
}

#[test]
fn a_leaving_engine_reports_it_and_serves() {
    let engine = spawn_engine(&[]);
    let address = engine.address();
    post_json(address, "/control", &json!({"leaving": true})).expect("a response");
    let response = open_stream(address, "l", "1").expect("a response");
    assert_eq!(
        response
            .headers()
            .get("x-leaving")
            .map(|value| value.as_bytes()),
        Some(&b"true"[..])
    );
    assert_eq!(response.status().as_u16(), 200);
    let load = get_json(address, "/load").expect("a load").body;
    assert_eq!(load["leaving"], true);
    assert_eq!(load["models"], json!(["wire"]));
}

#[test]
fn reports_lag() {
    let engine = spawn_engine(&["--report-lag-ms", "400"]);
    let address = engine.address();
    post_json(address, "/control", &json!({"leaving": true})).expect("a response");
    let load = || get_json(address, "/load").expect("a load").body["leaving"].clone();
    assert_eq!(load(), false, "the report is still old");
    wait_for("the delayed report", || load() == true);
}

#[test]
fn cache_events_and_hits() {
    let engine = spawn_engine(&["--cache-prefixes", "1", "--prefill-us-per-token", "20000"]);
    let address = engine.address();
    let body = json!({"model": "wire", "max_tokens": 1, "prompt": "x".repeat(40)});
    let timed = |hash: &str| {
        let headers = [("x-prefix-hash", hash), ("x-prefix-tokens", "10")];
        let started = Instant::now();
        send_json(
            Method::POST,
            address,
            "/v1/completions",
            &headers,
            Some(&body),
        )
        .expect("a response");
        started.elapsed()
    };
    let full_prefill = Duration::from_millis(200);
    assert!(timed("aa") >= full_prefill);
    assert!(timed("aa") < full_prefill, "the prefix is cached");
    assert!(timed("bb") >= full_prefill);
    assert!(timed("aa") >= full_prefill, "the prefix was evicted");
    let page = get_json(address, "/cache_events?after=1")
        .expect("events")
        .body;
    let expected = json!({"next": 5, "events": [
        {"sequence": 2, "kind": "evicted", "prefix": "aa"},
        {"sequence": 3, "kind": "stored", "prefix": "bb"},
        {"sequence": 4, "kind": "evicted", "prefix": "bb"},
        {"sequence": 5, "kind": "stored", "prefix": "aa"},
    ]});
    assert_eq!(page, expected);
}
