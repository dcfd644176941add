//! Timeouts, connection limits and size limits, and the memory they bound.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request};

use crate::common::{ChatCall, resident_bytes, send, wait_until};
use crate::raw_http::{SendEnd, parse_responses, read_to_close, send_raw};
use crate::requests::{CHAT_BODY, CHAT_PATH, chat_bytes, chunked_bytes, request_bytes};
use crate::target::{
    BATCH_SIZE, CLOSE_TIMEOUT, INPUT_TIMEOUT, MAX_BODY_BYTES, MAX_CONNECTION_GROWTH,
    MAX_CONNECTIONS, MAX_DECISION_BYTES, MAX_HEADER_BYTES, MAX_REQUEST_COPIES, TestTarget,
    limited_fleet, send_and_read, send_batch,
};

struct BoundaryCase {
    name: &'static str,
    body: String,
}

/// Checks that bodies at the limits of validity get a response from the entry, and
/// that the daemon keeps serving.
#[test]
fn boundary_values_are_served() {
    let case = |name, body: String| BoundaryCase { name, body };
    let limit = |number: &str| {
        format!(r#"{{"model":"small","prompt":"x","stream":true,"max_tokens":{number}}}"#)
    };
    let depth = 100;
    let cases = [
        case("zero tokens", limit("0")),
        case("largest 32-bit token limit", limit(&u32::MAX.to_string())),
        case(
            "largest signed 64-bit token limit",
            limit(&i64::MAX.to_string()),
        ),
        case(
            "largest unsigned 64-bit token limit",
            limit(&u64::MAX.to_string()),
        ),
        case(
            "deep prompt",
            format!(
                r#"{{"model":"small","prompt":{}{}}}"#,
                "[".repeat(depth),
                "]".repeat(depth)
            ),
        ),
        case(
            "prompt of four-byte characters",
            format!(
                r#"{{"model":"small","prompt":"{}"}}"#,
                "\u{1f30a}".repeat(1000)
            ),
        ),
        case(
            "null prompt",
            r#"{"model":"small","prompt":null,"messages":[{}]}"#.into(),
        ),
    ];
    let fleet = limited_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let target = TestTarget::new(&fleet, MAX_CONNECTION_GROWTH);
    for case in cases {
        let input = chat_bytes(
            b"x-answer-tokens: 2\r\nconnection: close\r\n",
            case.body.as_bytes(),
        );
        let responses = send_and_read(target.entry, &input).expect(case.name);
        assert_eq!(responses.len(), 1, "{}: {responses:?}", case.name);
        assert!(
            responses[0].header("x-dewspring-ran").is_some(),
            "{}",
            case.name
        );
        target.check_serving().expect(case.name);
    }
}

/// A request that is refused and contains a long name from the caller.
struct LongNameCase {
    name: &'static str,
    input: Vec<u8>,
    status: u16,
}

/// Guards against memory growth by decision records that store a caller's long
/// names, and against responses that repeat them.
#[test]
fn long_names_are_neither_stored_nor_echoed() {
    const BATCHES: usize = 20;
    let case = |name, headers: &str, body: &str, status| LongNameCase {
        name,
        input: chat_bytes(
            format!("{headers}connection: close\r\n").as_bytes(),
            body.as_bytes(),
        ),
        status,
    };
    let long = "m".repeat(60_000);
    let model = format!(r#"{{"model":"{long}","prompt":"x"}}"#);
    let stream = format!(r#"{{"model":"small","prompt":"x","stream":"{long}"}}"#);
    let label = format!("x-request-class: {}\r\n", &long[..30_000]);
    let workspace = format!("x-workspace: {}\r\n", &long[..30_000]);
    let cases = [
        case("model", "", &model, 404),
        case("wrong type", "", &stream, 400),
        case("workspace", &workspace, CHAT_BODY, 400),
        case("label and model", &label, &model, 404),
    ];
    let fleet = limited_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let requests = (BATCHES * BATCH_SIZE * cases.len()) as u64;
    let growth = MAX_CONNECTION_GROWTH + requests * MAX_DECISION_BYTES;
    let target = TestTarget::new(&fleet, growth);
    for case in cases {
        for _ in 0..BATCHES {
            let batch = vec![case.input.clone(); BATCH_SIZE];
            for responses in send_batch(target.entry, &batch).expect(case.name) {
                assert_eq!(responses[0].status, case.status, "{}", case.name);
                let length = responses[0].body.len();
                assert!(length < 1024, "{}: a body of {length} bytes", case.name);
            }
        }
        target.check_memory().expect(case.name);
    }
}

struct SlowCase {
    name: &'static str,
    /// Bytes sent at once.
    start: Vec<u8>,
    /// Bytes sent one by one afterwards.
    trickle: &'static [u8],
}

/// Guards against senders that hold a connection beyond the timeouts, whether
/// they stop or send byte by byte.
#[test]
fn slow_senders_time_out() {
    let case = |name, start: Vec<u8>, trickle| SlowCase {
        name,
        start,
        trickle,
    };
    let request = chat_bytes(b"x-answer-tokens: 2\r\n", CHAT_BODY.as_bytes());
    let header_end = request.len() - CHAT_BODY.len();
    let chunk = format!("{:x}\r\n{{", CHAT_BODY.len());
    let cases = [
        case("nothing", Vec::new(), b""),
        case("half a line", b"POST /v1/ch".to_vec(), b""),
        case("half a header", request[..header_end - 4].to_vec(), b""),
        case("no body", request[..header_end].to_vec(), b""),
        case("half a body", request[..header_end + 20].to_vec(), b""),
        case("half a chunk", chunked_bytes(chunk.as_bytes()), b""),
        case(
            "trickled header",
            b"GET / HTTP/1.1\r\nx: ".to_vec(),
            &[b'a'; 100],
        ),
        case("trickled body", request[..header_end].to_vec(), &[b' '; 70]),
        case("idle after a response", request.clone(), b""),
    ];
    // Three timeouts (header, body and idle connection), and one more for a
    // busy machine.
    let limit = INPUT_TIMEOUT * 4;
    let fleet = limited_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || check_slow_case(entry, case, limit));
        }
    });
    let response = ChatCall::new(entry, 2).send();
    assert!(response.is_expected_stream(2), "{response:?}");
}

fn check_slow_case(entry: SocketAddr, case: &SlowCase, limit: Duration) {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    let started = Instant::now();
    stream.write_all(&case.start).expect("the start is sent");
    let mut writer = stream.try_clone().expect("a second handle");
    let trickle = case.trickle;
    let transcript = thread::scope(|scope| {
        scope.spawn(move || {
            for byte in trickle {
                thread::sleep(Duration::from_millis(40));
                if writer.write_all(&[*byte]).is_err() {
                    break;
                }
            }
        });
        read_to_close(&mut stream, started, limit)
    });
    assert!(
        transcript.is_closed,
        "{}: the connection is open after {limit:?}",
        case.name
    );
    let responses = parse_responses(&transcript.bytes, false).expect(case.name);
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    let expects_response = case.name.starts_with("idle");
    let expected: &[u16] = if expects_response { &[200] } else { &[408] };
    assert!(
        statuses == expected || (statuses.is_empty() && !expects_response),
        "{}: {responses:?}",
        case.name
    );
    for response in &responses {
        let ran = if expects_response { "yes" } else { "no" };
        assert_eq!(
            response.header("x-dewspring-ran"),
            Some(ran),
            "{}",
            case.name
        );
    }
}

/// Guards against connections above the limit that disturb a running stream, get
/// no response because of a TCP reset, or use more memory than a served request.
#[test]
fn excess_connections_are_refused_while_others_are_served() {
    const CONNECTIONS: usize = 16;
    const EXCESS: usize = 40;
    let fleet = limited_fleet(Duration::from_secs(2), CONNECTIONS as u64);
    let entry = fleet.daemons[0].entry;
    let memory = resident_bytes(fleet.daemons[0].process.pid());
    // One caller streams while idle connections use up the limit.
    let served = thread::spawn(move || ChatCall::new(entry, 200).send());
    wait_until("the stream runs", || !fleet.executions().is_empty());
    let held: Vec<_> = (1..CONNECTIONS)
        .map(|_| TcpStream::connect(entry).expect("a connection"))
        .collect();

    let silent: Vec<_> = (0..EXCESS)
        .map(|_| send_raw(entry, b"", SendEnd::KeepOpen, CLOSE_TIMEOUT))
        .collect();
    for transcript in &silent {
        assert!(transcript.is_closed);
        let responses = parse_responses(&transcript.bytes, false).expect("HTTP");
        assert_eq!(responses.len(), 1);
        assert_eq!(responses[0].status, 503);
        assert_eq!(responses[0].header("x-dewspring-ran"), Some("no"));
    }
    // A TCP reset must not discard the response of callers that send a whole
    // request.
    for _ in 0..EXCESS {
        let request = Request::post(format!("http://{entry}{CHAT_PATH}"))
            .body(Body::from(vec![b' '; 200_000]))
            .expect("a valid request");
        let response = send(request).expect("a refused caller gets its response");
        assert_eq!((response.status, response.ran.as_str()), (503, "no"));
    }
    let response = served.join().expect("the caller ends");
    assert!(response.is_expected_stream(200), "{response:?}");
    drop(held);
    wait_until("callers are served again", || {
        ChatCall::new(entry, 2).send().is_expected_stream(2)
    });
    let limit =
        (EXCESS + CONNECTIONS) as u64 * MAX_REQUEST_COPIES * (MAX_HEADER_BYTES + MAX_BODY_BYTES);
    let growth = resident_bytes(fleet.daemons[0].process.pid()).saturating_sub(memory);
    assert!(
        growth <= limit,
        "memory grew by {growth} bytes, above {limit}"
    );
}

/// Guards against idle connections to the admin port that delay its readiness
/// probe.
#[test]
fn idle_connections_do_not_block_the_readiness_probe() {
    const SILENT: usize = 100;
    const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
    let fleet = limited_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let admin = fleet.daemons[0].admin;
    let _silent: Vec<_> = (0..SILENT)
        .map(|_| TcpStream::connect(admin).expect("a connection"))
        .collect();
    let probe = request_bytes("GET", "/readyz", b"connection: close\r\n", b"");
    let transcript = send_raw(admin, &probe, SendEnd::KeepOpen, PROBE_TIMEOUT);
    assert!(transcript.is_closed, "no response after {PROBE_TIMEOUT:?}");
    let responses = parse_responses(&transcript.bytes, false).expect("HTTP");
    assert_eq!(responses[0].status, 200);
}

struct EarlyRefusalCase {
    name: &'static str,
    path: &'static str,
    bytes: usize,
    status: u16,
}

/// Guards against a refusal that a TCP reset discards because the daemon closes
/// the connection with request bytes unread.
#[test]
fn an_early_refusal_reaches_a_caller_that_is_still_sending() {
    const REPETITIONS: usize = 5;
    let case = |name, path, bytes, status| EarlyRefusalCase {
        name,
        path,
        bytes,
        status,
    };
    let cases = [
        case("unknown path", "/v2/nothing", 8 << 20, 404),
        case("body above the limit", CHAT_PATH, 8 << 20, 413),
        case("body far above the limit", CHAT_PATH, 40 << 20, 413),
    ];
    let fleet = limited_fleet(Duration::from_secs(2), MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    for case in cases {
        for _ in 0..REPETITIONS {
            let request = Request::post(format!("http://{entry}{}", case.path))
                .body(Body::from(vec![b' '; case.bytes]))
                .expect("a valid request");
            let response = send(request).expect(case.name);
            assert_eq!(response.status, case.status, "{}", case.name);
            assert_eq!(response.ran, "no", "{}", case.name);
        }
    }
}

/// Checks that the declared length alone causes the refusal; the body is never
/// sent.
#[test]
fn a_declared_length_above_the_limit_is_refused_at_once() {
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
    let fleet = limited_fleet(Duration::from_secs(5), MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    for length in [MAX_BODY_BYTES + 1, 99_999_999_999_999] {
        let head =
            format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n");
        let transcript = send_raw(entry, head.as_bytes(), SendEnd::KeepOpen, REFUSAL_TIMEOUT);
        let responses = parse_responses(&transcript.bytes, false).expect("HTTP");
        let status = responses.first().map(|response| response.status);
        assert_eq!(status, Some(413), "length {length}");
    }
}
