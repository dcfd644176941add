//! Crowds of clients that don't behave, against a daemon.
//!
//! The tests run one at a time. They check that the process lives, that its memory
//! and descriptors stay within their limits, and that an ordinary request is
//! answered; none of them checks times.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use standins::crowd::{ClientClass, Crowd, HoldMonitor};

use common::{ChatCall, FleetPlan, TestFleet, wait_until};

const PATH: &str = "/v1/chat/completions";

/// `max_body_bytes` of the route.
const BODY_BYTES: usize = 1_000_000;

/// Memory limit of the daemon, in megabytes.
const MEMORY_MB: u64 = 64;

/// Maximum number of concurrent connections.
const CONNECTIONS: usize = 500;

/// Descriptors that aren't connections of callers.
const OTHER_DESCRIPTORS: usize = 100;

/// Longest header that is certainly accepted, in bytes.
const HEAD_BYTES: usize = 32 * 1024;

static TURN: Mutex<()> = Mutex::new(());

fn fleet() -> TestFleet {
    let route = format!(
        "[[route]]\nname = \"chat\"\npath = \"{PATH}\"\nmodel = \"small\"\npool = \"engines\"\n\
         tier = 0\ntarget = \"20s\"\ntimeout = \"60s\"\nmax_body_bytes = {BODY_BYTES}\n\
         [[route]]\nname = \"archive\"\npath = \"/archive/\"\npool = \"services\"\n\
         tier = 4\ntarget = \"20s\"\ntimeout = \"60s\"\nidempotent = true\n"
    );
    TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        routes: route,
        daemon_flags: vec![
            format!("--max-connections={CONNECTIONS}"),
            "--header-timeout=60s".into(),
            "--body-timeout=60s".into(),
        ],
        daemon_environment: vec![("DEWSPRING_MEMORY_MB".into(), MEMORY_MB.to_string())],
        ..FleetPlan::default()
    })
}

fn head(workspace: &str, fields: &str) -> Vec<u8> {
    format!("POST {PATH} HTTP/1.1\r\nhost: x\r\nx-workspace: {workspace}\r\n{fields}\r\n").into()
}

fn sized_bodies(count: usize) -> ClientClass {
    let start = head("paper", &format!("content-length: {BODY_BYTES}\r\n"));
    ClientClass::new(count, start, vec![b' '; (BODY_BYTES - 1) / 27], 27)
}

fn chunks(count: usize, size: usize, bytes: usize) -> ClientClass {
    let head = head("paper", "transfer-encoding: chunked\r\n");
    ClientClass::chunked(count, head, size, bytes)
}

fn unfinished_heads(count: usize) -> ClientClass {
    let start = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\nx-padding: ");
    ClientClass::new(
        count,
        start.into(),
        vec![b'x'; 1000],
        (HEAD_BYTES - 1000) / 1000,
    )
}

fn announced_bodies(count: usize) -> ClientClass {
    let start = head("paper", &format!("content-length: {BODY_BYTES}\r\n"));
    ClientClass::new(count, start, Vec::new(), 0)
}

fn idle_connections(count: usize) -> ClientClass {
    let request = b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_vec();
    ClientClass::new(count, request, Vec::new(), 0).awaiting_response()
}

/// Requests to a server whose responses have no end.
fn unread_responses(count: usize) -> ClientClass {
    let request = b"GET /archive/a HTTP/1.1\r\nhost: x\r\n\r\n".to_vec();
    ClientClass::new(count, request, Vec::new(), 0).reading_nothing()
}

/// Starts a server that sends chunks without end on each connection.
fn spawn_endless_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let chunk = chunk.clone();
            thread::spawn(move || {
                let is_read = stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0);
                let mut open = is_read && stream.write_all(head.as_bytes()).is_ok();
                while open {
                    open = stream.write_all(chunk.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

/// Bodies whose parsed form would be many times as large.
fn expanding_bodies(count: usize) -> ClientClass {
    let numbers = "1,".repeat(BODY_BYTES / 2 - 100);
    let body = format!(r#"{{"model":"small","prompt":[{numbers}1]}}"#);
    let request = [
        head("paper", &format!("content-length: {}\r\n", body.len())),
        body.into(),
    ]
    .concat();
    ClientClass::new(count, request, Vec::new(), 0)
}

fn withstand(classes: &[ClientClass]) {
    let _turn = TURN.lock().unwrap_or_else(|poison| poison.into_inner());
    let mut fleet = fleet();
    let service = fleet.services[0].address().to_string();
    let endless = spawn_endless_server().to_string();
    let pools = fleet.pools_toml().replace(&service, &endless);
    fleet.apply_pools(&pools);
    let daemon = &fleet.daemons[0];
    let request = b"GET /archive/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    wait_until("the changed table is in force", || {
        let mut stream = TcpStream::connect(daemon.entry).expect("the daemon listens");
        let mut start = Vec::new();
        let sent = stream.write_all(request).is_ok();
        let read = stream.take(4096).read_to_end(&mut start);
        sent && read.is_ok() && String::from_utf8_lossy(&start).contains("xxxx")
    });
    assert_ordinary(daemon.entry, "desk");
    let monitor = HoldMonitor::spawn(daemon.process.pid(), daemon.entry);
    let crowd = Crowd::gather(daemon.entry, classes);
    monitor.settle(daemon.entry);
    assert_ordinary(daemon.entry, "paper");
    assert_ordinary(daemon.entry, "desk");
    let peak = monitor.finish().expect("the process lives");
    drop(crowd);
    let bound = MEMORY_MB * 1_000_000;
    let descriptors = CONNECTIONS + OTHER_DESCRIPTORS;
    println!("{peak:?} of {bound} bytes and {descriptors} descriptors");
    assert!(peak.bytes <= bound, "{peak:?}, above {bound} bytes");
    assert!(
        peak.descriptors <= descriptors,
        "{peak:?}, above {descriptors}"
    );
}

/// Checks that an ordinary caller, who comes again after refusals, is served.
fn assert_ordinary(entry: SocketAddr, workspace: &'static str) {
    let call = ChatCall {
        workspace,
        ..ChatCall::new(entry, 2)
    };
    wait_until("an ordinary request is answered", || {
        let response = call.try_send();
        response.is_some_and(|response| response.is_expected_stream(2))
    });
}

#[test]
fn crowd_of_bodies_with_a_length() {
    withstand(&[sized_bodies(150)]);
}

#[test]
fn crowd_of_large_chunks() {
    withstand(&[chunks(150, 100_000, BODY_BYTES - 100_000)]);
}

#[test]
fn crowd_of_one_byte_chunks() {
    withstand(&[chunks(16, 1, 300_000)]);
}

#[test]
fn crowd_of_unfinished_heads() {
    withstand(&[unfinished_heads(800)]);
}

#[test]
fn crowd_of_announced_bodies() {
    withstand(&[announced_bodies(800)]);
}

#[test]
fn crowd_of_idle_connections() {
    withstand(&[idle_connections(800)]);
}

#[test]
fn crowd_of_unread_responses() {
    withstand(&[unread_responses(100)]);
}

#[test]
fn crowd_of_expanding_bodies() {
    withstand(&[expanding_bodies(20)]);
}

#[test]
fn crowd_of_all_classes() {
    withstand(&[
        sized_bodies(60),
        chunks(60, 100_000, BODY_BYTES - 100_000),
        chunks(4, 1, 300_000),
        unfinished_heads(200),
        announced_bodies(100),
        idle_connections(100),
        unread_responses(20),
        expanding_bodies(10),
    ]);
}

/// A single request inside the limits, sent in pieces.
struct CalmCase {
    name: &'static str,
    fields: String,
    body: Vec<u8>,
    pause: Duration,
}

#[test]
fn the_largest_requests_are_served_in_calm() {
    let _turn = TURN.lock().unwrap_or_else(|poison| poison.into_inner());
    let fleet = fleet();
    let entry = fleet.daemons[0].entry;
    assert_ordinary(entry, "desk");
    let frame = r#"{"model":"small","messages":[{"role":"user","content":""}]}"#;
    let text = "x".repeat(BODY_BYTES - frame.len());
    let body = frame.replace("\"\"", &format!("\"{text}\""));
    let chunked = |size: usize| {
        let chunk =
            |bytes: &[u8]| [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
        let mut all: Vec<u8> = body.as_bytes().chunks(size).flat_map(chunk).collect();
        all.extend_from_slice(b"0\r\n\r\n");
        all
    };
    let length = format!("content-length: {BODY_BYTES}\r\n");
    let transfer = "transfer-encoding: chunked\r\n".to_string();
    let case = |name, fields: &String, body, ms| CalmCase {
        name,
        fields: fields.clone(),
        body,
        pause: Duration::from_millis(ms),
    };
    let cases = [
        case("largest body", &length, body.clone().into_bytes(), 0),
        case("large chunks", &transfer, chunked(100_000), 0),
        case("one-byte chunks", &transfer, chunked(1), 0),
        case("slow body", &length, body.clone().into_bytes(), 300),
    ];
    for case in cases {
        let mut stream = TcpStream::connect(entry).expect("the daemon listens");
        let fields = format!("x-answer-tokens: 2\r\nconnection: close\r\n{}", case.fields);
        let request = [head("desk", &fields), case.body].concat();
        for piece in request.chunks(request.len().div_ceil(10)) {
            stream.write_all(piece).expect(case.name);
            thread::sleep(case.pause);
        }
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        assert!(read.is_ok(), "{}: {read:?}", case.name);
        assert!(
            response.starts_with("HTTP/1.1 200"),
            "{}: {response}",
            case.name
        );
    }
}
