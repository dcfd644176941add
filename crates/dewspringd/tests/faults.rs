//! Servers that send late copies, break off, trickle or pause, and callers that
//! can't see the end of a response, read slowly or come last before a stop.

mod common;

use std::fmt;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{DEFAULT_ROUTES, FleetPlan, TestFleet, is_ready, resident_bytes, wait_until};
use socket2::{Domain, SockRef, Socket, Type};

/// Timeout of each route in these tests, and time for the response to arrive.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
const ROUTE_END: Duration = Duration::from_millis(4600);

/// `--silence-timeout` of the daemon.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a response to a request on a connection; the path tells which.
type Script = fn(&str, &mut TcpStream);

/// A server whose responses are written byte by byte, with one address for each
/// pool.
struct ScriptedServer {
    addresses: [SocketAddr; 2],
    counts: Arc<RequestCounts>,
}

/// What a scripted server has received.
#[derive(Default)]
struct RequestCounts {
    /// Requests of callers; the daemon also asks for load reports.
    requests: AtomicU64,
    /// Requests that weren't the first of their connection.
    on_used_connections: AtomicU64,
}

impl ScriptedServer {
    fn spawn(script: Script) -> Self {
        let counts = Arc::<RequestCounts>::default();
        let addresses = [(); 2].map(|()| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("it has an address");
            let counts = Arc::clone(&counts);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let counts = Arc::clone(&counts);
                    thread::spawn(move || serve(stream, script, &counts));
                }
            });
            address
        });
        Self { addresses, counts }
    }

    fn requests(&self) -> u64 {
        self.counts.requests.load(Ordering::SeqCst)
    }
}

/// Responds to the requests of a connection until it ends.
fn serve(stream: TcpStream, script: Script, counts: &RequestCounts) {
    let mut writer = stream.try_clone().expect("a stream can be cloned");
    let mut reader = BufReader::new(stream);
    let mut is_used = false;
    while let Some(path) = read_request(&mut reader) {
        let prefixes = ["/payment/", "/archive/", "/v1/chat/"];
        if prefixes.iter().any(|prefix| path.starts_with(prefix)) {
            counts.requests.fetch_add(1, Ordering::SeqCst);
        }
        let used = u64::from(std::mem::replace(&mut is_used, true));
        counts.on_used_connections.fetch_add(used, Ordering::SeqCst);
        script(&path, &mut writer);
    }
}

/// Reads a request and returns its path; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut start = String::new();
    if !reader.read_line(&mut start).is_ok_and(|count| count > 0) {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
            return None;
        }
        if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = text.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    start.split(' ').nth(1).map(str::to_string)
}

/// Starts one daemon whose pools of services and engines have the scripted server
/// only.
fn start(script: Script) -> (TestFleet, ScriptedServer) {
    start_with_timeout(script, ROUTE_TIMEOUT)
}

fn start_with_timeout(script: Script, timeout: Duration) -> (TestFleet, ScriptedServer) {
    let service = ScriptedServer::spawn(script);
    let timeout = format!("timeout = \"{}s\"", timeout.as_secs());
    let routes = DEFAULT_ROUTES
        .replace("timeout = \"60s\"", &timeout)
        .replace("timeout = \"10s\"", &timeout)
        .replace("target = \"20s\"", "target = \"3s\"")
        .replace("target = \"5s\"", "target = \"3s\"");
    let silence = format!("--silence-timeout={}s", SILENCE_TIMEOUT.as_secs());
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        services: 1,
        daemon_flags: vec![silence],
        routes,
        engine_pool: String::new(),
        ..FleetPlan::default()
    });
    let mut pools = fleet.pools_toml();
    let sound = fleet.services.iter().chain(&fleet.engines);
    for (sound, scripted) in sound.zip(service.addresses) {
        pools = pools.replace(&sound.address().to_string(), &scripted.to_string());
    }
    fleet.apply_pools(&pools);
    let entry = fleet.daemons[0].entry;
    wait_until("the changed table is in force", || {
        let answer = call(entry, "1.1", "/payment/probe", "");
        service.requests() > 0 && !answer.bytes.is_empty()
    });
    (fleet, service)
}

/// What a caller received until its connection ended.
struct Received {
    bytes: Vec<u8>,
    /// How the connection ended.
    end: ErrorKind,
}

impl fmt::Debug for Received {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}, then {}", self.text(), self.end)
    }
}

impl Received {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    fn status(&self) -> Option<u16> {
        self.text().split(' ').nth(1)?.parse().ok()
    }

    /// Returns whether the response seems complete to its caller.
    fn is_complete(&self) -> bool {
        let text = self.text().to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return false;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        if head.contains("transfer-encoding: chunked") {
            body.ends_with("0\r\n\r\n")
        } else if let Some(length) = length {
            length.trim().parse() == Ok(body.len())
        } else {
            self.end == ErrorKind::UnexpectedEof
        }
    }
}

/// Sends a request on a connection of its own and reads until that ends.
fn call(entry: SocketAddr, version: &str, path: &str, fields: &str) -> Received {
    let stream = send_request(TcpStream::connect(entry), version, path, fields);
    receive(stream, usize::MAX, Duration::ZERO)
}

fn send_request(
    stream: std::io::Result<TcpStream>,
    version: &str,
    path: &str,
    fields: &str,
) -> TcpStream {
    let mut stream = stream.expect("the daemon listens");
    let limit = Some(Duration::from_secs(12));
    stream.set_read_timeout(limit).expect("a valid timeout");
    let body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"x"}]}"#;
    let request = format!(
        "POST {path} HTTP/{version}\r\nhost: a\r\nconnection: close\r\n{fields}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    stream
}

/// Reads up to `piece` bytes after each pause until the connection ends.
fn receive(mut stream: TcpStream, piece: usize, pause: Duration) -> Received {
    let mut buffer = vec![0; piece.min(65_536)];
    let mut bytes = Vec::new();
    loop {
        thread::sleep(pause);
        match stream.read(&mut buffer) {
            Ok(0) => {
                let end = ErrorKind::UnexpectedEof;
                return Received { bytes, end };
            }
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => {
                let end = error.kind();
                return Received { bytes, end };
            }
        }
    }
}

fn write_all(writer: &mut TcpStream, text: &str) -> bool {
    // The daemon may have closed the connection.
    writer.write_all(text.as_bytes()).is_ok()
}

/// Responds with the path, and sends a copy with a wrong body after 2 ms.
fn copy_late(path: &str, writer: &mut TcpStream) {
    let answer = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 X\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    write_all(writer, &answer(path));
    thread::sleep(Duration::from_millis(2));
    write_all(writer, &answer("stale"));
}

/// Guards against a late copy of a response that reaches the next caller: no
/// connection to a server carries a second request.
#[test]
fn a_late_copy_of_a_response_reaches_no_other_request() {
    let (fleet, service) = start(copy_late);
    let entry = fleet.daemons[0].entry;
    for number in 0..50 {
        let path = format!("/payment/{number}");
        let answer = call(entry, "1.1", &path, "");
        assert!(answer.text().ends_with(&path), "{answer:?}");
    }
    let reused = service.counts.on_used_connections.load(Ordering::SeqCst);
    assert_eq!(reused, 0);
}

/// Responds as the second part of the path says: `<framing>-<end>`.
fn break_off(path: &str, writer: &mut TcpStream) {
    let name = path.rsplit('/').next().unwrap_or_default();
    let (framing, end) = name.split_once('-').unwrap_or(("length", "whole"));
    let (head, part, rest) = match framing {
        "length" => ("content-length: 8\r\n", "half", "rest"),
        "chunked" => (
            "transfer-encoding: chunked\r\n",
            "4\r\nhalf\r\n",
            "4\r\nrest\r\n0\r\n\r\n",
        ),
        _ => ("connection: close\r\n", "half", "rest"),
    };
    let response = format!("HTTP/1.1 200 X\r\ncontent-type: text/plain\r\n{head}\r\n{part}");
    write_all(writer, &response);
    // The daemon reads the first part before the connection ends.
    thread::sleep(Duration::from_millis(50));
    match end {
        "whole" => {
            write_all(writer, rest);
        }
        "reset" => {
            let _ = SockRef::from(&*writer).set_linger(Some(Duration::ZERO));
        }
        _ => {}
    }
    if end != "reset" {
        let _ = writer.shutdown(std::net::Shutdown::Both);
        return;
    }
    // The thread's two handles keep the socket open; only a close resets it.
    let _ = SockRef::from(&*writer).set_read_timeout(Some(Duration::from_millis(1)));
}

/// A response that its server ends.
struct BreakCase {
    response: &'static str,
    complete: bool,
}

const BREAK_CASES: [BreakCase; 8] = [
    break_case("length-whole", true),
    break_case("length-close", false),
    break_case("length-reset", false),
    break_case("chunked-whole", true),
    break_case("chunked-close", false),
    break_case("chunked-reset", false),
    break_case("unframed-whole", true),
    break_case("unframed-reset", false),
];

const fn break_case(response: &'static str, complete: bool) -> BreakCase {
    BreakCase { response, complete }
}

/// Guards against a response that broke off halfway and reaches its caller as a
/// complete success, also a caller that has no chunks and sees only the end of its
/// connection.
#[test]
fn a_response_that_breaks_off_seems_complete_to_no_caller() {
    let (fleet, _service) = start(break_off);
    let entry = fleet.daemons[0].entry;
    let mut faults = Vec::new();
    for case in BREAK_CASES {
        for version in ["1.1", "1.0"] {
            let answer = call(entry, version, &format!("/payment/{}", case.response), "");
            if answer.is_complete() != case.complete {
                faults.push(format!("{} to HTTP/{version}: {answer:?}", case.response));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Streams as the class header of the path says: whole, or without the last event.
fn stream_events(path: &str, writer: &mut TcpStream) {
    if path.starts_with("/payment/") {
        write_all(writer, "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok");
        return;
    }
    let head = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n";
    let event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    write_all(writer, &format!("{head}{event}{event}"));
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

/// Guards against a stream without its last event that seems complete, because its
/// server ended the connection, which is its only framing.
#[test]
fn a_stream_without_its_last_event_seems_complete_to_no_caller() {
    let (fleet, _service) = start(stream_events);
    for version in ["1.1", "1.0"] {
        let entry = fleet.daemons[0].entry;
        let answer = call(entry, version, "/v1/chat/completions", "");
        assert_eq!(answer.status(), Some(200), "{answer:?}");
        assert!(!answer.is_complete(), "HTTP/{version}: {answer:?}");
    }
}

/// Pause between two pieces of a response.
const PIECE_PAUSE: Duration = Duration::from_millis(500);

/// Sends a piece of a response now and then, without end.
fn trickle(path: &str, writer: &mut TcpStream) {
    let chunked = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n";
    let stream = format!("{chunked}content-type: text/event-stream\r\n\r\n");
    let (start, piece) = match path {
        "/payment/head" => ("HTTP/1.1 200 X\r\nx-long: ".to_string(), "x"),
        "/payment/length" => (
            "HTTP/1.1 200 X\r\ncontent-length: 999\r\n\r\n".to_string(),
            "x",
        ),
        "/payment/chunks" => (format!("{chunked}\r\n"), "1\r\nx\r\n"),
        "/v1/chat/completions" => (stream, "3\r\n:\n\n\r\n"),
        _ => {
            write_all(writer, "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok");
            return;
        }
    };
    let mut open = write_all(writer, &start);
    while open {
        thread::sleep(PIECE_PAUSE);
        open = write_all(writer, piece);
    }
}

/// Guards against a response that never ends because each byte of it counts as
/// progress.
#[test]
fn a_server_that_sends_a_byte_now_and_then_holds_no_request_beyond_its_timeout() {
    let (fleet, _service) = start(trickle);
    let entry = fleet.daemons[0].entry;
    let paths = [
        "/payment/head",
        "/payment/length",
        "/payment/chunks",
        "/v1/chat/completions",
    ];
    let calls = paths.map(|path| {
        thread::spawn(move || {
            let started = Instant::now();
            let answer = call(entry, "1.1", path, "");
            (
                path,
                answer.is_complete(),
                answer.status(),
                started.elapsed(),
            )
        })
    });
    for call in calls {
        let (path, is_complete, status, took) = call.join().expect("the caller ends");
        assert!(took < ROUTE_END, "{path}: {took:?}");
        assert!(!is_complete || status == Some(504), "{path}: {status:?}");
    }
}

/// Streams four pieces with gaps below the silence timeout.
fn pause_regularly(_path: &str, writer: &mut TcpStream) {
    write_all(writer, "HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\n");
    for _ in 0..4 {
        thread::sleep(SILENCE_TIMEOUT * 2 / 5);
        write_all(writer, "x");
    }
}

/// Guards against a response that is cut because it comes in long, regular gaps.
#[test]
fn a_response_with_long_regular_gaps_is_whole() {
    let (fleet, service) = start(pause_regularly);
    let before = service.requests();
    let answer = call(fleet.daemons[0].entry, "1.1", "/archive/a", "");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(service.requests() - before, 1);
}

/// Bytes of a bulk response, and of what a caller takes each time.
const BULK_BYTES: usize = 12 << 20;
const BULK_PIECE: usize = 64 * 1024;

/// Sends a large response as fast as it is taken.
fn send_bulk(path: &str, writer: &mut TcpStream) {
    if path == "/payment/probe" {
        write_all(writer, "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok");
        return;
    }
    let piece = "x".repeat(BULK_PIECE);
    let mut open = write_all(
        writer,
        &format!("HTTP/1.1 200 X\r\ncontent-length: {BULK_BYTES}\r\n\r\n"),
    );
    for _ in 0..BULK_BYTES / BULK_PIECE {
        open = open && write_all(writer, &piece);
    }
}

/// Connects with a small receive buffer.
fn connect_small(entry: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(64 * 1024)?;
    socket.connect(&entry.into())?;
    Ok(TcpStream::from(socket))
}

/// Pauses of callers between two pieces of [`BULK_PIECE`] bytes. The slowest needs
/// the whole time of [`BULK_TIMEOUT`] less a margin.
const READ_PAUSES: [Duration; 4] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(80),
];
const BULK_TIMEOUT: Duration = Duration::from_secs(25);

/// Guards against a caller that is cut off although it reads on, one that has
/// stalled and holds a server, and memory that is filled for both.
#[test]
fn a_caller_keeps_its_response_while_it_reads() {
    let (fleet, service) = start_with_timeout(send_bulk, BULK_TIMEOUT);
    let entry = fleet.daemons[0].entry;
    let pid = fleet.daemons[0].process.pid();
    let before = resident_bytes(pid);
    let slow = READ_PAUSES.map(|pause| {
        thread::spawn(move || {
            let stream = send_request(connect_small(entry), "1.1", "/archive/a", "");
            let answer = receive(stream, BULK_PIECE, pause);
            (pause, answer.is_complete(), answer.bytes.len())
        })
    });
    let stalled: Vec<_> = (0..8)
        .map(|_| send_request(connect_small(entry), "1.1", "/archive/a", ""))
        .collect();
    let started = Instant::now();
    wait_until("the stalled callers are given up", || {
        in_flight(&fleet) <= READ_PAUSES.len() as u64
    });
    assert!(started.elapsed() < SILENCE_TIMEOUT * 3);
    let growth = resident_bytes(pid).saturating_sub(before);
    assert!(growth < 64 << 20, "{growth} bytes");
    let cut: Vec<_> = slow
        .into_iter()
        .map(|caller| caller.join().expect("the caller ends"))
        .filter(|(_, is_complete, _)| !is_complete)
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    for stream in stalled {
        let answer = receive(stream, usize::MAX, Duration::ZERO);
        assert!(!answer.is_complete(), "{} bytes", answer.bytes.len());
    }
    assert!(service.requests() >= 12);
}

/// Returns the number of requests at servers.
fn in_flight(fleet: &TestFleet) -> u64 {
    let status = common::admin_json(&fleet.daemons[0], "/v1/status").body;
    let pools = status["pools"].as_array().expect("pools are listed");
    let counts = pools.iter().map(|pool| pool["in_flight"].as_u64());
    counts.map(|count| count.unwrap_or(0)).sum()
}

/// Refuses with 503, without a promise that nothing ran.
fn refuse(path: &str, writer: &mut TcpStream) {
    let status = if path == "/payment/probe" { 200 } else { 503 };
    write_all(
        writer,
        &format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nno"),
    );
}

/// Guards against a 503 that is taken as not run although its server doesn't
/// promise that, and against a second run because of it.
#[test]
fn a_refusal_without_a_promise_leaves_open_whether_the_request_ran() {
    let (fleet, service) = start(refuse);
    let before = service.requests();
    for path in ["/payment/a", "/archive/a"] {
        let answer = call(fleet.daemons[0].entry, "1.1", path, "");
        assert_eq!(answer.status(), Some(503), "{path}");
        let text = answer.text();
        assert!(text.contains("x-dewspring-ran: unknown"), "{path}: {text}");
    }
    assert_eq!(service.requests() - before, 2);
}

/// A connection that a stopping daemon accepts as one of the last.
struct LastConnection {
    name: &'static str,
    /// Time from the stop signal to the connection.
    connected: Duration,
    /// Time from the connection to its request.
    sent: Duration,
    /// Whether the daemon is frozen meanwhile, so that the connection waits in the
    /// kernel's queue.
    frozen: bool,
}

/// Guards against requests of connections that were established before the daemon
/// stopped listening and that are cut off without an answer.
#[test]
fn the_requests_of_the_last_connections_are_answered() {
    let ms = Duration::from_millis;
    let cases =
        [(250, 20), (250, 100), (280, 40), (200, 200)].map(|(connected, sent)| LastConnection {
            name: "accepted",
            connected: ms(connected),
            sent: ms(sent),
            frozen: false,
        });
    let queued = LastConnection {
        name: "queued",
        connected: ms(150),
        sent: ms(300),
        frozen: true,
    };
    let mut unanswered = Vec::new();
    for case in cases.into_iter().chain([queued]) {
        let mut fleet = TestFleet::start(FleetPlan {
            daemons: 1,
            ..FleetPlan::default()
        });
        assert!(is_ready(&fleet.daemons[0]));
        let entry = fleet.daemons[0].entry;
        let process = &mut fleet.daemons[0].process;
        process.terminate();
        thread::sleep(case.connected);
        if case.frozen {
            process.freeze();
        }
        let stream = TcpStream::connect(entry);
        thread::sleep(case.sent);
        if case.frozen {
            process.resume();
            thread::sleep(Duration::from_millis(20));
        }
        let answer = stream.and_then(|mut stream| {
            stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n")?;
            Ok(receive(stream, usize::MAX, Duration::ZERO))
        });
        let status = answer.ok().and_then(|answer| answer.status());
        if status != Some(503) {
            let (name, at, sent) = (case.name, case.connected, case.sent);
            unanswered.push(format!("{name} at {at:?}, sent after {sent:?}: {status:?}"));
        }
        let ended = process.wait_exit(Duration::from_secs(10));
        assert!(ended.expect("the daemon ends").success());
    }
    assert!(unanswered.is_empty(), "{}", unanswered.join("\n"));
}
