//! Tests of the entry's pure functions.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use quickcheck::{Gen, QuickCheck};

use super::headers::{RAN, REQUEST_ID, forwarded_headers};
use super::{
    AttemptFailure, EventScanner, ModelRequest, Problem, RetryDecision, RetryState, UsageTail,
    decide_retry,
};
use crate::broker::{Refusal, RefusalReason};

mod leaving;

const SEED: u64 = 0x5eed;
const CASES: u64 = 300;
/// Number of responses per problem; enough for shares with an error below 0.1.
const RESPONSES: u32 = 1_000;

fn checker() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
}

struct RetryCase {
    failure: AttemptFailure,
    idempotent: bool,
    attempts: usize,
    has_other_server: bool,
    retried: bool,
}

#[test]
fn only_what_did_not_run_or_is_idempotent_is_retried() {
    let not_run = || AttemptFailure::NotRun("refused".into());
    let broken = || AttemptFailure::BrokenOff("reset".into());
    let case = |failure, idempotent, attempts, has_other_server, retried| RetryCase {
        failure,
        idempotent,
        attempts,
        has_other_server,
        retried,
    };
    let cases = [
        case(not_run(), false, 1, true, true),
        case(not_run(), false, 3, true, false),
        case(not_run(), false, 1, false, false),
        case(broken(), false, 1, true, false),
        case(broken(), true, 1, true, true),
        case(broken(), true, 3, true, false),
        case(AttemptFailure::TimedOut, true, 1, true, false),
    ];
    for case in cases {
        let state = RetryState {
            attempts: case.attempts,
            idempotent: case.idempotent,
            time_left: Duration::from_secs(1),
            has_other_server: case.has_other_server,
        };
        let decision = decide_retry(&case.failure, state);
        assert_eq!(
            decision == RetryDecision::Retry,
            case.retried,
            "{:?} {state:?}",
            case.failure
        );
    }
}

struct ProblemCase {
    problem: Problem,
    status: u16,
    ran: &'static str,
    /// Values of the header and the share of responses with each; empty if the
    /// response has no such header.
    retry_after: &'static [(&'static str, f64)],
}

#[test]
fn problems_say_whether_the_request_ran() {
    let refusal = |reason, millis| {
        Problem::Refused(Refusal {
            reason,
            retry_after: Duration::from_millis(millis),
        })
    };
    let case = |problem, status, ran, retry_after| ProblemCase {
        problem,
        status,
        ran,
        retry_after,
    };
    let full = |millis| refusal(RefusalReason::QueueFull, millis);
    let unreachable = Problem::Unreachable(Duration::from_millis(4500));
    let not_ready = Problem::NotReady(Duration::from_millis(500));
    let shut_down = refusal(RefusalReason::ShuttingDown, 0);
    let cases = [
        case(full(1200), 429, "no", &[("1", 0.8), ("2", 0.2)]),
        case(full(2000), 429, "no", &[("2", 1.0)]),
        case(full(300), 429, "no", &[("1", 1.0)]),
        case(unreachable, 503, "no", &[("4", 0.5), ("5", 0.5)]),
        case(not_ready, 503, "no", &[("0", 0.5), ("1", 0.5)]),
        case(shut_down, 503, "no", &[("0", 1.0)]),
        case(Problem::UnknownPath, 404, "no", &[]),
        case(Problem::BodyTooLarge(9), 413, "no", &[]),
        case(Problem::Unknown("reset".into()), 502, "unknown", &[]),
        case(Problem::TimedOut, 504, "unknown", &[]),
        case(Problem::InProgress, 409, "unknown", &[]),
    ];
    for case in cases {
        let mut seconds = BTreeMap::new();
        for _ in 0..RESPONSES {
            let response = case.problem.to_response(&"a-1-1".into());
            let headers = response.headers();
            assert_eq!(response.status().as_u16(), case.status);
            assert_eq!(headers[RAN], case.ran);
            assert_eq!(headers[REQUEST_ID], "a-1-1");
            if let Some(value) = headers.get(RETRY_AFTER) {
                let value = value.to_str().expect("a number").to_owned();
                *seconds.entry(value).or_insert(0.0) += 1.0 / f64::from(RESPONSES);
            }
        }
        let shares = seconds.iter();
        let shares = shares.map(|(value, share)| (value.as_str(), *share));
        let shares = shares.collect::<Vec<_>>();
        assert_eq!(shares.len(), case.retry_after.len(), "{shares:?}");
        for (share, expected) in shares.iter().zip(case.retry_after) {
            assert_eq!(share.0, expected.0);
            assert!((share.1 - expected.1).abs() < 0.1, "{shares:?}");
        }
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    let pairs = [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("host", "router"),
        ("x-request-id", "forged"),
        ("x-resume-from", "7"),
        ("authorization", "Bearer token"),
        ("idempotency-key", "k1"),
    ];
    for (name, value) in pairs {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let forwarded = forwarded_headers(&headers);
    let names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(names.contains(&"authorization") && names.contains(&"idempotency-key"));
}

/// Builds a stream of events from token texts.
fn stream_of(tokens: &[u8]) -> Vec<u8> {
    let mut stream = Vec::new();
    for token in tokens {
        let event = format!("data: {{\"choices\":[{{\"text\":\"t{token}\"}}]}}\n\n");
        stream.extend_from_slice(event.as_bytes());
    }
    stream.extend_from_slice(b"data: [DONE]\n\n");
    stream
}

#[test]
fn any_cut_of_a_stream_gives_the_same_events() {
    fn property(tokens: Vec<u8>, cuts: Vec<u8>) -> bool {
        let stream = stream_of(&tokens);
        let mut scanner = EventScanner::default();
        let mut delivered = Vec::new();
        let mut rest = &stream[..];
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().map_or(1, |cut| usize::from(*cut) % 40 + 1);
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            let whole = scanner.push(Bytes::copy_from_slice(piece));
            assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            delivered.extend_from_slice(&whole);
            rest = left;
        }
        delivered == stream && scanner.is_done() && scanner.tokens() == tokens.len() as u64
    }
    checker().quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn a_broken_stream_counts_only_whole_events() {
    fn property(tokens: Vec<u8>, cut: u16) -> bool {
        let stream = stream_of(&tokens);
        let cut = usize::from(cut) % stream.len();
        let mut scanner = EventScanner::default();
        let whole = scanner.push(Bytes::copy_from_slice(&stream[..cut]));
        let ends = stream[..cut]
            .windows(2)
            .filter(|end| end == b"\n\n")
            .count();
        !scanner.is_done() && scanner.tokens() == ends as u64 && stream.starts_with(&whole)
    }
    checker().quickcheck(property as fn(Vec<u8>, u16) -> bool);
}

#[test]
fn no_body_makes_the_reader_panic() {
    fn property(bytes: Vec<u8>, cut: u8) -> bool {
        // Arbitrary bytes, and a valid body cut anywhere.
        let arbitrary = ModelRequest::parse(&bytes);
        let valid = r#"{"model":"wire","messages":[{"role":"user","content":"ä€"}]}"#;
        let cut = usize::from(cut) % valid.len();
        let truncated = ModelRequest::parse(&valid.as_bytes()[..cut]);
        arbitrary.is_err() && truncated.is_err()
    }
    checker().quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn usage_is_found_in_any_cut_of_a_document() {
    fn property(tokens: u32, padding: u8, cut: u8) -> bool {
        let padding = "x".repeat(usize::from(padding) * 16);
        let document = format!(
            r#"{{"text":"{padding}","usage":{{"completion_tokens":{tokens},"total_tokens":7}}}}"#
        );
        let mut tail = UsageTail::default();
        for piece in document.as_bytes().chunks(usize::from(cut) + 1) {
            tail.push(piece);
        }
        tail.tokens() == u64::from(tokens)
    }
    checker().quickcheck(property as fn(u32, u8, u8) -> bool);
}

struct BodyCase {
    body: &'static str,
    model: Option<&'static str>,
}

#[test]
fn bodies_are_read_for_routing() {
    let cases = [
        BodyCase {
            body: r#"{"model":"m","prompt":"p","stream":true,"other":1}"#,
            model: Some("m"),
        },
        BodyCase {
            body: r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}"#,
            model: Some("m"),
        },
        BodyCase {
            body: r#"{"model":"m"}"#,
            model: None,
        },
        BodyCase {
            body: r#"{"prompt":"p"}"#,
            model: None,
        },
        BodyCase {
            body: r#"["m"]"#,
            model: None,
        },
    ];
    for case in cases {
        let parsed = ModelRequest::parse(case.body.as_bytes()).ok();
        let model = parsed.map(|request| request.model);
        assert_eq!(model.as_deref(), case.model, "{}", case.body);
    }
}
