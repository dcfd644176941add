//! Tests of the check of streamed completions and of request bodies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use standins::broken::call_cases;
use standins::script::ScriptedServer;

use super::events::{StreamCheck, StreamResult};
use super::exchange::{HttpExchange, PreparedRequest};
use super::outcome::RequestOutcome;
use super::request_body;
use crate::plan::plan_requests;
use crate::workload::WorkloadSpec;

fn token(id: &str, number: u64) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{id}:{number} \"}}}}]}}\n\n")
}

fn finish() -> String {
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n".to_owned()
}

fn stream_text(id: &str, tokens: u64) -> String {
    let tokens: String = (0..tokens).map(|number| token(id, number)).collect();
    tokens + &finish() + "data: [DONE]\n\n"
}

#[test]
fn streams_are_classified() {
    struct Case {
        name: &'static str,
        text: String,
        tokens: u64,
        result: StreamResult,
    }
    let cases = [
        Case {
            name: "a whole completion",
            text: stream_text("a", 3),
            tokens: 3,
            result: StreamResult::Whole,
        },
        Case {
            name: "the completion of another request",
            text: stream_text("b", 3),
            tokens: 3,
            result: StreamResult::Wrong,
        },
        Case {
            name: "too few tokens with a final event",
            text: stream_text("a", 2),
            tokens: 2,
            result: StreamResult::Wrong,
        },
        Case {
            name: "a repeated token",
            text: token("a", 0) + &token("a", 0),
            tokens: 2,
            result: StreamResult::Wrong,
        },
        Case {
            name: "a missing token",
            text: token("a", 0) + &token("a", 2),
            tokens: 2,
            result: StreamResult::Wrong,
        },
        Case {
            name: "cut off between events",
            text: token("a", 0),
            tokens: 1,
            result: StreamResult::CutOff,
        },
        Case {
            name: "cut off within an event",
            text: token("a", 0) + "data: {\"cho",
            tokens: 1,
            result: StreamResult::CutOff,
        },
        Case {
            name: "no done event",
            text: token("a", 0) + &token("a", 1) + &token("a", 2) + &finish(),
            tokens: 3,
            result: StreamResult::CutOff,
        },
        Case {
            name: "a token after the end",
            text: stream_text("a", 3) + &token("a", 3),
            tokens: 3,
            result: StreamResult::Wrong,
        },
    ];
    for case in cases {
        let mut check = StreamCheck::new("a", Some(3));
        check.push(case.text.as_bytes());
        assert_eq!(check.result(), case.result, "{}", case.name);
        assert_eq!(check.tokens(), case.tokens, "{}", case.name);
    }
}

#[test]
fn chunks_may_be_cut_anywhere() {
    fn check(sizes: Vec<u8>) -> bool {
        let text = stream_text("a", 5);
        let mut rest = text.as_bytes();
        let mut check = StreamCheck::new("a", Some(5));
        for size in sizes {
            let (now, later) = rest.split_at(rest.len().min(usize::from(size)));
            check.push(now);
            rest = later;
        }
        check.push(rest);
        check.result() == StreamResult::Whole && check.tokens() == 5
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn prompts_share_their_prefix() {
    let workload = WorkloadSpec::parse(
        r#"
        duration_seconds = 20
        [[class]]
        name = "memo"
        path = "/chat"
        model = "m"
        rate_per_second = 5
        target_ms = 100
        prompt_tokens = { median = 100, sigma = 0.5, max = 500 }
        answer_tokens = { median = 50, sigma = 1, max = 400 }
        prefix = { count = 1, tokens = 60, share_percent = 100 }
        workspaces = [{ name = "a", weight = 1 }]
        "#,
    )
    .expect("a valid workload");
    let plan = plan_requests(&workload, &[1], 1, "run");
    let class = &workload.classes[0];
    let message = |index: usize, number: usize| {
        let body = request_body(class, &plan[index]);
        let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        body["messages"][number]["content"]
            .as_str()
            .expect("text")
            .to_owned()
    };
    assert_eq!(message(0, 0), message(1, 0));
    assert_eq!(message(0, 0).len(), 240);
    assert_ne!(message(0, 1), message(1, 1));
}

/// Guards against a broken response that counts as completed or refused.
#[test]
fn a_broken_response_has_no_outcome_of_its_own() {
    let server = Arc::new(ScriptedServer::spawn().expect("a port is free"));
    let request = PreparedRequest {
        address: server.address(),
        method: "POST".into(),
        path: "/archive/a".into(),
        headers: Vec::new(),
        body: "hi".into(),
        is_model: false,
        answer_tokens: None,
        key: Some("k".into()),
    };
    let document = r#"{"body_bytes":2,"idempotency_key":"k"}"#;
    let mut faults = Vec::new();
    for (status, content) in [(200, document), (503, "{}")] {
        for (case, is_whole) in call_cases(status, content) {
            server.respond_next(&case.parts[0], case.end);
            let exchange = HttpExchange {
                started: Instant::now(),
                timeout: Duration::from_secs(1),
            };
            let outcome = exchange.run(&request).outcome;
            let is_as_expected = match &outcome {
                RequestOutcome::Completed => is_whole && status == 200,
                RequestOutcome::Refused { status: found, .. } => is_whole && *found == status,
                RequestOutcome::Broken | RequestOutcome::Unknown { .. } => !is_whole,
                _ => false,
            };
            if !is_as_expected {
                faults.push(format!("{status}, {}: {outcome:?}", case.name));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
