//! The limits of time, connections and memory, one by one.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request};

use crate::common::{ChatCall, resident_bytes, send, wait_until};
use crate::raw_http::{SendEnd, read_answers, read_to_close, send_raw};
use crate::requests::{CHAT_BODY, CHAT_PATH, chat_bytes, chunked_bytes, request_bytes};
use crate::target::{
    BATCH_SIZE, CLOSE_LIMIT, CONNECTION_GROWTH, DECISION_BYTES, HostileTarget, INPUT_TIMEOUT,
    MAX_BODY_BYTES, MAX_CONNECTIONS, MAX_HEADER_BYTES, REQUEST_COPIES, hostile_fleet, send_batch,
    send_one,
};

struct ExtremeCase {
    name: &'static str,
    body: String,
}

/// Bodies that are valid, if only just.
#[test]
fn extreme_but_valid_requests_are_answered() {
    let case = |name, body: String| ExtremeCase { name, body };
    let limit = |number: &str| {
        format!(r#"{{"model":"small","prompt":"x","stream":true,"max_tokens":{number}}}"#)
    };
    let depth = 100;
    let cases = [
        case("no token", limit("0")),
        case("most tokens of 32 bits", limit(&u32::MAX.to_string())),
        case("most tokens of 63 bits", limit(&i64::MAX.to_string())),
        case("most tokens of 64 bits", limit(&u64::MAX.to_string())),
        case(
            "deep prompt",
            format!(
                r#"{{"model":"small","prompt":{}{}}}"#,
                "[".repeat(depth),
                "]".repeat(depth)
            ),
        ),
        case(
            "prompt of other letters",
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
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let target = HostileTarget::new(&fleet, CONNECTION_GROWTH);
    for case in cases {
        let input = chat_bytes(
            b"x-answer-tokens: 2\r\nconnection: close\r\n",
            case.body.as_bytes(),
        );
        let answers = send_one(target.entry, &input).expect(case.name);
        assert_eq!(answers.len(), 1, "{}: {answers:?}", case.name);
        assert!(
            answers[0].header("x-dewspring-ran").is_some(),
            "{}",
            case.name
        );
        target.check_alive().expect(case.name);
    }
}

/// A request that is refused with a long text of the caller's in it.
struct LongCase {
    name: &'static str,
    input: Vec<u8>,
    status: u16,
}

#[test]
fn long_names_are_not_kept() {
    const BATCHES: usize = 20;
    let case = |name, headers: &str, body: &str, status| LongCase {
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
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let requests = (BATCHES * BATCH_SIZE * cases.len()) as u64;
    let growth = CONNECTION_GROWTH + requests * DECISION_BYTES;
    let target = HostileTarget::new(&fleet, growth);
    for case in cases {
        for _ in 0..BATCHES {
            let batch = vec![case.input.clone(); BATCH_SIZE];
            for answers in send_batch(target.entry, &batch).expect(case.name) {
                assert_eq!(answers[0].status, case.status, "{}", case.name);
                let length = answers[0].body.len();
                assert!(length < 1024, "{}: {length} bytes repeated", case.name);
            }
        }
        target.check_memory().expect(case.name);
    }
}

struct SlowCase {
    name: &'static str,
    /// What is sent at once.
    start: Vec<u8>,
    /// What is sent byte by byte thereafter.
    trickle: &'static [u8],
}

#[test]
fn slow_senders_are_cut_off_in_time() {
    let case = |name, start: Vec<u8>, trickle| SlowCase {
        name,
        start,
        trickle,
    };
    let whole = chat_bytes(b"x-answer-tokens: 2\r\n", CHAT_BODY.as_bytes());
    let header_end = whole.len() - CHAT_BODY.len();
    let chunk = format!("{:x}\r\n{{", CHAT_BODY.len());
    let cases = [
        case("nothing", Vec::new(), b""),
        case("half a line", b"POST /v1/ch".to_vec(), b""),
        case("half a header", whole[..header_end - 4].to_vec(), b""),
        case("no body", whole[..header_end].to_vec(), b""),
        case("half a body", whole[..header_end + 20].to_vec(), b""),
        case("half a chunk", chunked_bytes(chunk.as_bytes()), b""),
        case(
            "trickled header",
            b"GET / HTTP/1.1\r\nx: ".to_vec(),
            &[b'a'; 100],
        ),
        case("trickled body", whole[..header_end].to_vec(), &[b' '; 70]),
        case("idle after an answer", whole.clone(), b""),
    ];
    // The timeouts of header, body and idle connection, and time to spare on a
    // busy machine.
    let limit = INPUT_TIMEOUT * 4;
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || check_slow_case(entry, case, limit));
        }
    });
    let answer = ChatCall::new(entry, 2).send();
    assert!(answer.is_expected_stream(2), "{answer:?}");
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
    assert!(transcript.is_closed, "{}: open after {limit:?}", case.name);
    let answers = read_answers(&transcript.bytes, false).expect(case.name);
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    let is_served = case.name.starts_with("idle");
    let expected: &[u16] = if is_served { &[200] } else { &[408] };
    assert!(
        statuses == expected || (statuses.is_empty() && !is_served),
        "{}: {answers:?}",
        case.name
    );
    for answer in &answers {
        let ran = if is_served { "yes" } else { "no" };
        assert_eq!(answer.header("x-dewspring-ran"), Some(ran), "{}", case.name);
    }
}

#[test]
fn a_flood_of_connections_is_refused_and_harms_no_one() {
    const CONNECTIONS: usize = 16;
    const EXCESS: usize = 40;
    let fleet = hostile_fleet(Duration::from_secs(2), CONNECTIONS as u64);
    let entry = fleet.daemons[0].entry;
    let memory = resident_bytes(fleet.daemons[0].process.pid());
    // One caller is served while others hold the remaining connections.
    let served = thread::spawn(move || ChatCall::new(entry, 200).send());
    wait_until("the stream runs", || !fleet.executions().is_empty());
    let held: Vec<_> = (1..CONNECTIONS)
        .map(|_| TcpStream::connect(entry).expect("a connection"))
        .collect();

    let silent: Vec<_> = (0..EXCESS)
        .map(|_| send_raw(entry, b"", SendEnd::Silence, CLOSE_LIMIT))
        .collect();
    for transcript in &silent {
        assert!(transcript.is_closed);
        let answers = read_answers(&transcript.bytes, false).expect("HTTP");
        assert_eq!(answers.len(), 1);
        assert_eq!(answers[0].status, 503);
        assert_eq!(answers[0].header("x-dewspring-ran"), Some("no"));
    }
    // Callers that send a whole request must not lose the answer to a reset.
    for _ in 0..EXCESS {
        let request = Request::post(format!("http://{entry}{CHAT_PATH}"))
            .body(Body::from(vec![b' '; 200_000]))
            .expect("a valid request");
        let answer = send(request).expect("a refused caller gets its answer");
        assert_eq!((answer.status, answer.ran.as_str()), (503, "no"));
    }
    let answer = served.join().expect("the caller ends");
    assert!(answer.is_expected_stream(200), "{answer:?}");
    drop(held);
    wait_until("callers are served again", || {
        ChatCall::new(entry, 2).send().is_expected_stream(2)
    });
    let limit =
        (EXCESS + CONNECTIONS) as u64 * REQUEST_COPIES * (MAX_HEADER_BYTES + MAX_BODY_BYTES);
    let growth = resident_bytes(fleet.daemons[0].process.pid()).saturating_sub(memory);
    assert!(growth <= limit, "{growth} bytes more, above {limit}");
}

#[test]
fn silent_connections_do_not_hide_readiness() {
    const SILENT: usize = 100;
    const PROBE_LIMIT: Duration = Duration::from_secs(3);
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let admin = fleet.daemons[0].admin;
    let _silent: Vec<_> = (0..SILENT)
        .map(|_| TcpStream::connect(admin).expect("a connection"))
        .collect();
    let probe = request_bytes("GET", "/readyz", b"connection: close\r\n", b"");
    let transcript = send_raw(admin, &probe, SendEnd::Silence, PROBE_LIMIT);
    assert!(transcript.is_closed, "no answer after {PROBE_LIMIT:?}");
    let answers = read_answers(&transcript.bytes, false).expect("HTTP");
    assert_eq!(answers[0].status, 200);
}

struct EarlyCase {
    name: &'static str,
    path: &'static str,
    bytes: usize,
    status: u16,
}

#[test]
fn an_early_refusal_reaches_a_caller_that_still_sends() {
    const TRIES: usize = 5;
    let case = |name, path, bytes, status| EarlyCase {
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
    let fleet = hostile_fleet(Duration::from_secs(2), MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    for case in cases {
        for _ in 0..TRIES {
            let request = Request::post(format!("http://{entry}{}", case.path))
                .body(Body::from(vec![b' '; case.bytes]))
                .expect("a valid request");
            let answer = send(request).expect(case.name);
            assert_eq!(answer.status, case.status, "{}", case.name);
            assert_eq!(answer.ran, "no", "{}", case.name);
        }
    }
}

/// The body is never sent; its declared length alone decides.
#[test]
fn a_declared_length_above_the_limit_is_refused_at_once() {
    const AT_ONCE: Duration = Duration::from_millis(500);
    let fleet = hostile_fleet(Duration::from_secs(5), MAX_CONNECTIONS);
    let entry = fleet.daemons[0].entry;
    for length in [MAX_BODY_BYTES + 1, 99_999_999_999_999] {
        let head =
            format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n");
        let transcript = send_raw(entry, head.as_bytes(), SendEnd::Silence, AT_ONCE);
        let answers = read_answers(&transcript.bytes, false).expect("HTTP");
        let status = answers.first().map(|answer| answer.status);
        assert_eq!(status, Some(413), "length {length}");
    }
}
