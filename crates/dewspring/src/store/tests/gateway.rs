//! Tests of the gateway clients against servers with valid and faulty responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use standins::broken::call_cases;
use standins::ports::free_address;
use standins::script;

use super::servers::{ScriptedServer, serve_raw};
use crate::observe::DaemonMetrics;
use crate::store::{
    ExpectedVersion, GatewayDirectory, GatewayStore, MAX_VALUE_BYTES, PlatformStore, StoreEntry,
    StoreError, SwapOutcome, VmDirectory, VmState,
};

const KEY: &str = "/k";
const KEY_BASE64: &str = "L2s=";
const TIMEOUT: Duration = Duration::from_millis(300);
const NO_DELAY: Duration = Duration::ZERO;

/// The result of a call, without the text of an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Done,
    Unavailable,
    ResponseLost,
    InvalidResponse,
    LeaseExpired,
}

impl CallResult {
    fn of<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(StoreError::Unavailable(_)) => Self::Unavailable,
            Err(StoreError::ResponseLost(_)) => Self::ResponseLost,
            Err(StoreError::InvalidResponse(_)) => Self::InvalidResponse,
            Err(StoreError::LeaseExpired) => Self::LeaseExpired,
        }
    }
}

fn open(address: SocketAddr) -> GatewayStore {
    GatewayStore::open(address, TIMEOUT)
}

fn swap(store: &GatewayStore) -> Result<SwapOutcome, StoreError> {
    store.compare_and_swap(KEY, ExpectedVersion::Version(6), b"new", Some(9))
}

#[test]
fn reads_a_key() {
    let full = format!(
        r#"{{"header":{{"revision":"8"}},"kvs":[{{"key":"{KEY_BASE64}","value":"YWI=","mod_revision":"7"}}]}}"#
    );
    let server = ScriptedServer::spawn(200, full, NO_DELAY);
    let entry = StoreEntry {
        value: b"ab".to_vec(),
        version: 7,
    };
    assert_eq!(open(server.address).get(KEY), Ok(Some(entry)));
    let calls = server.calls();
    assert_eq!(calls[0].path, "/v3/kv/range");
    assert_eq!(calls[0].body, json!({ "key": KEY_BASE64 }));

    let server = ScriptedServer::spawn(200, r#"{"header":{"revision":"8"}}"#, NO_DELAY);
    assert_eq!(open(server.address).get(KEY), Ok(None));
}

#[test]
fn swaps_by_one_transaction() {
    let answer = r#"{"header":{"revision":"9"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"9"}}}]}"#;
    let server = ScriptedServer::spawn(200, answer, NO_DELAY);
    let store = open(server.address);
    assert_eq!(swap(&store), Ok(SwapOutcome::Swapped(9)));
    store
        .compare_and_swap(KEY, ExpectedVersion::Absent, b"new", None)
        .expect("the answer is read");
    let range = json!([{ "request_range": { "key": KEY_BASE64 } }]);
    let versioned = json!({
        "compare": [{ "key": KEY_BASE64, "result": "EQUAL", "target": "MOD", "mod_revision": "6" }],
        "success": [{ "request_put": { "key": KEY_BASE64, "value": "bmV3", "lease": "9" } }],
        "failure": range,
    });
    let absent = json!({
        "compare": [{ "key": KEY_BASE64, "result": "EQUAL", "target": "CREATE", "create_revision": "0" }],
        "success": [{ "request_put": { "key": KEY_BASE64, "value": "bmV3" } }],
        "failure": range,
    });
    let calls = server.calls();
    assert_eq!(calls[0].path, "/v3/kv/txn");
    assert_eq!(calls[0].body, versioned);
    assert_eq!(calls[1].body, absent);
}

#[test]
fn reads_conflicts() {
    struct ConflictCase {
        range: &'static str,
        entry: Option<StoreEntry>,
    }
    let cases = [
        ConflictCase {
            range: "{}",
            entry: None,
        },
        ConflictCase {
            range: r#"{"kvs":[{"key":"L2s=","mod_revision":7}]}"#,
            entry: Some(StoreEntry {
                value: Vec::new(),
                version: 7,
            }),
        },
    ];
    for case in cases {
        let answer = format!(
            r#"{{"header":{{"revision":"8"}},"responses":[{{"response_range":{}}}]}}"#,
            case.range
        );
        let server = ScriptedServer::spawn(200, answer, NO_DELAY);
        let outcome = swap(&open(server.address));
        assert_eq!(outcome, Ok(SwapOutcome::Conflict(case.entry)));
    }
}

#[test]
fn maps_invalid_responses_to_errors() {
    struct AnswerCase {
        name: &'static str,
        status: u16,
        answer: String,
        read: CallResult,
        write: CallResult,
    }
    let case = |name, status, answer: &str, read, write| AnswerCase {
        name,
        status,
        answer: answer.to_owned(),
        read,
        write,
    };
    use CallResult::{InvalidResponse, LeaseExpired, ResponseLost, Unavailable};
    let kv = |fields: &str| format!(r#"{{"header":{{"revision":"8"}},"kvs":[{fields}]}}"#);
    let huge = STANDARD.encode(vec![0; 2 * MAX_VALUE_BYTES]);
    let huge = kv(&format!(
        r#"{{"key":"L2s=","value":"{huge}","mod_revision":"7"}}"#
    ));
    let cases = [
        case("garbage", 200, "<html>", InvalidResponse, ResponseLost),
        case("wrong type", 200, "[1]", InvalidResponse, ResponseLost),
        case("no header", 200, "{}", InvalidResponse, ResponseLost),
        case(
            "truncated",
            200,
            r#"{"header":{"#,
            Unavailable,
            ResponseLost,
        ),
        case("empty", 200, "", Unavailable, ResponseLost),
        case("huge", 200, &huge, InvalidResponse, ResponseLost),
        case(
            "no version",
            200,
            &kv(r#"{"key":"L2s=","mod_revision":"-1"}"#),
            InvalidResponse,
            ResponseLost,
        ),
        case(
            "other key",
            200,
            &kv(r#"{"key":"L3g=","mod_revision":"1"}"#),
            InvalidResponse,
            ResponseLost,
        ),
        case(
            "bad base64",
            200,
            &kv(r#"{"key":"L2s=","value":"*","mod_revision":"1"}"#),
            InvalidResponse,
            ResponseLost,
        ),
        case("limited", 429, "", Unavailable, Unavailable),
        case("bad request", 400, "{}", InvalidResponse, InvalidResponse),
        case("down", 503, "", Unavailable, ResponseLost),
        case(
            "lease",
            404,
            r#"{"code":5,"message":"etcdserver: requested lease not found"}"#,
            LeaseExpired,
            LeaseExpired,
        ),
    ];
    for case in cases {
        let server = ScriptedServer::spawn(case.status, case.answer, NO_DELAY);
        let store = open(server.address);
        assert_eq!(CallResult::of(&store.get(KEY)), case.read, "{}", case.name);
        assert_eq!(CallResult::of(&swap(&store)), case.write, "{}", case.name);
    }
}

#[test]
fn distinguishes_refused_slow_and_truncated_calls() {
    let down = open(free_address());
    assert_eq!(CallResult::of(&down.get(KEY)), CallResult::Unavailable);
    assert_eq!(CallResult::of(&swap(&down)), CallResult::Unavailable);

    let server = ScriptedServer::spawn(200, "{}", TIMEOUT * 3);
    let slow = open(server.address);
    let started = Instant::now();
    assert_eq!(CallResult::of(&slow.get(KEY)), CallResult::Unavailable);
    assert_eq!(CallResult::of(&swap(&slow)), CallResult::ResponseLost);
    assert!(started.elapsed() < TIMEOUT * 4, "the timeout bounds a call");

    let cuts: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"header\":",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\n{\"he",
    ];
    for cut in cuts {
        let write = swap(&open(serve_raw(cut, NO_DELAY)));
        assert_eq!(CallResult::of(&write), CallResult::ResponseLost, "{cut:?}");
        let read = open(serve_raw(cut, NO_DELAY)).get(KEY);
        assert!(read.is_err(), "{cut:?}");
    }
}

#[test]
fn watches_by_a_stream() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let created = r#"{"result":{"header":{"revision":"3"},"created":true}}"#;
    let event = |version: u32| {
        format!(
            r#"{{"result":{{"header":{{"revision":"{version}"}},"events":[{{"type":"PUT","kv":{{"key":"L2s=","value":"YQ==","mod_revision":"{version}"}}}}]}}}}"#
        )
    };
    struct WatchCase {
        name: &'static str,
        lines: String,
        close_delay: Duration,
        result: CallResult,
        version: Option<u64>,
    }
    let case = |name, lines: String, close_delay, result, version| WatchCase {
        name,
        lines,
        close_delay,
        result,
        version,
    };
    let deleted = r#"{"result":{"header":{"revision":"4"},"events":[{"type":"DELETE","kv":{"key":"L2s=","mod_revision":"4"}}]}}"#;
    use CallResult::{Done, InvalidResponse, Unavailable};
    let close_delay = TIMEOUT * 2;
    let cases = [
        case(
            "event",
            format!("{created}\n{}\n", event(4)),
            close_delay,
            Done,
            Some(4),
        ),
        case("last line", event(4), NO_DELAY, Done, Some(4)),
        case(
            "old event",
            format!("{created}\n{}\n", event(3)),
            close_delay,
            Done,
            None,
        ),
        case(
            "delete",
            format!("{created}\n{deleted}\n"),
            close_delay,
            Done,
            None,
        ),
        case("quiet", format!("{created}\n"), close_delay, Done, None),
        case("ended", format!("{created}\n"), NO_DELAY, Done, None),
        case("empty", String::new(), NO_DELAY, InvalidResponse, None),
        case(
            "cut",
            event(4)[..40].to_owned(),
            NO_DELAY,
            Unavailable,
            None,
        ),
        case(
            "garbage",
            "no JSON\n".to_owned(),
            NO_DELAY,
            InvalidResponse,
            None,
        ),
        case(
            "cancelled",
            r#"{"result":{"header":{"revision":"4"},"canceled":true}}"#.to_owned(),
            NO_DELAY,
            Unavailable,
            None,
        ),
    ];
    for case in cases {
        let mut answer = head.to_owned();
        if !case.lines.is_empty() {
            answer += &format!("{:x}\r\n{}\r\n", case.lines.len(), case.lines);
        }
        if case.close_delay.is_zero() {
            answer += "0\r\n\r\n";
        }
        let address = serve_raw(answer, case.close_delay);
        let watched = open(address).watch(KEY, 3, TIMEOUT);
        assert_eq!(CallResult::of(&watched), case.result, "{}", case.name);
        let version = watched.ok().flatten().map(|entry| entry.version);
        assert_eq!(version, case.version, "{}", case.name);
    }
    let cut = serve_raw(format!("{head}10\r\n{{\"re"), NO_DELAY);
    let cut = open(cut).watch(KEY, 3, TIMEOUT);
    assert_eq!(CallResult::of(&cut), CallResult::Unavailable);
    let headless = serve_raw("", TIMEOUT * 2);
    assert_eq!(open(headless).watch(KEY, 3, TIMEOUT), Ok(None));
    let down = open(free_address()).watch(KEY, 3, TIMEOUT);
    assert_eq!(CallResult::of(&down), CallResult::Unavailable);
}

#[test]
fn grants_and_renews_leases() {
    let answer = r#"{"header":{"revision":"3"},"ID":"77","TTL":"10"}"#;
    let server = ScriptedServer::spawn(200, answer, NO_DELAY);
    let lease = open(server.address)
        .grant_lease(Duration::from_millis(10_500))
        .expect("the answer is read");
    assert_eq!(lease.id, 77);
    assert_eq!(lease.time_to_live, Duration::from_secs(10));
    let calls = server.calls();
    assert_eq!(calls[0].path, "/v3/lease/grant");
    assert_eq!(calls[0].body, json!({ "TTL": "10" }));

    struct RenewalCase {
        answer: &'static str,
        result: CallResult,
    }
    let cases = [
        RenewalCase {
            answer: r#"{"result":{"header":{"revision":"3"},"ID":"77","TTL":"10"}}"#,
            result: CallResult::Done,
        },
        RenewalCase {
            answer: r#"{"result":{"header":{"revision":"3"},"ID":"77"}}"#,
            result: CallResult::LeaseExpired,
        },
        RenewalCase {
            answer: r#"{"result":{"header":{"revision":"3"},"ID":"78","TTL":"10"}}"#,
            result: CallResult::ResponseLost,
        },
    ];
    for case in cases {
        let server = ScriptedServer::spawn(200, case.answer, NO_DELAY);
        let renewed = open(server.address).renew_lease(77);
        assert_eq!(CallResult::of(&renewed), case.result, "{}", case.answer);
        assert_eq!(server.calls()[0].body, json!({ "ID": "77" }));
    }
}

/// Guards against a list of VMs that isn't followed any more because of one entry.
#[test]
fn a_vm_with_an_odd_entry_is_left_out_of_the_list() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        nested,
        r#"{"vm":"b","address":"127.0.0.1:65536","data_centre":"dc-1","state":"live"}"#.into(),
        r#"{"vm":"b","address":"127.0.0.1:1","data_centre":1e400,"state":"live"}"#.into(),
        "7".to_owned(),
    ];
    let sound = r#"{"vm":"a","address":"127.0.0.1:7000","data_centre":"dc-1","state":"live"}"#;
    for odd in odd {
        let server = ScriptedServer::spawn(200, format!("[{odd},{sound}]"), NO_DELAY);
        let list = GatewayDirectory::open(server.address, TIMEOUT).list();
        let names = list.map(|list| list.into_iter().map(|entry| entry.vm).collect());
        assert_eq!(names, Ok(vec!["a".to_owned()]), "{:.60}", odd);
    }
}

#[test]
fn lists_vms() {
    let answer =
        r#"[{"vm":"a","address":"127.0.0.1:7000","data_centre":"dc-1","state":"leaving"}]"#;
    let server = ScriptedServer::spawn(200, answer, NO_DELAY);
    let list = GatewayDirectory::open(server.address, TIMEOUT)
        .list()
        .expect("the answer is read");
    assert_eq!(list[0].vm, "a");
    assert_eq!(list[0].state, VmState::Leaving);
    for (status, answer) in [(200, "{}"), (200, "[{"), (503, "[]")] {
        let server = ScriptedServer::spawn(status, answer, NO_DELAY);
        let list = GatewayDirectory::open(server.address, TIMEOUT).list();
        assert!(list.is_err(), "{status} {answer}");
    }
    assert!(
        GatewayDirectory::open(free_address(), TIMEOUT)
            .list()
            .is_err()
    );
}

/// Guards against a broken response that passes for what the store says: a write
/// whose response is broken may have had an effect, whatever its status.
#[test]
fn a_broken_response_says_nothing() {
    let server = Arc::new(script::ScriptedServer::spawn().expect("a port is free"));
    let swapped = r#"{"header":{"revision":"9"},"succeeded":true}"#;
    let expired = r#"{"code":5,"message":"etcdserver: requested lease not found"}"#;
    let metrics = DaemonMetrics::new();
    let store = open(server.address()).counted_by(metrics.clone());
    let (mut faults, mut broken) = (Vec::new(), 0);
    for (status, content, whole) in [
        (200, swapped, CallResult::Done),
        (429, "{}", CallResult::Unavailable),
        (400, "{}", CallResult::InvalidResponse),
        (404, expired, CallResult::LeaseExpired),
    ] {
        for (case, is_whole) in call_cases(status, content) {
            server.respond_next(&case.parts[0], case.end);
            let found = CallResult::of(&swap(&store));
            broken += usize::from(!is_whole);
            let expected = match is_whole {
                true => whole,
                false => CallResult::ResponseLost,
            };
            if found != expected {
                faults.push(format!("{status}, {}: {found:?}", case.name));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
    let line = format!("dewspring_broken_responses_total{{source=\"store\"}} {broken}\n");
    assert!(metrics.to_text().contains(&line), "{}", metrics.to_text());
}
