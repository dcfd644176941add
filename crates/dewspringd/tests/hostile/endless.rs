//! Servers that send bytes without end, in a head or a body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{ChatCall, FleetPlan, TestFleet};
use crate::target::TestTarget;

/// Requests that wait for the endless server at the same time.
const CALLERS: usize = 8;

/// Time for which a caller reads from its response.
const READ_TIME: Duration = Duration::from_secs(2);

/// Longest time of a request to a sound server.
const PROMPT: Duration = Duration::from_secs(2);

/// Largest growth of the daemon's memory, in bytes.
const MAX_GROWTH: u64 = 64 << 20;

/// What a server sends without end.
struct EndlessResponse {
    name: &'static str,
    head: &'static str,
    block: String,
}

fn responses() -> [EndlessResponse; 7] {
    let response = |name, head, block| EndlessResponse { name, head, block };
    [
        response(
            "head",
            "HTTP/1.1 200 OK\r\n",
            format!("x-field: {}\r\n", "x".repeat(1000)),
        ),
        response(
            "interim responses",
            "",
            "HTTP/1.1 102 Processing\r\n\r\n".repeat(100),
        ),
        response(
            "chunked body",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            format!("2000\r\n{}\r\n", "x".repeat(0x2000)),
        ),
        response("unframed body", "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(8192)),
        response(
            "bytes after a response without content",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "x".repeat(8192),
        ),
        response(
            "chunk extension",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;a=",
            "x".repeat(8192),
        ),
        response(
            "trailers",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
            format!("x-field: {}\r\n", "x".repeat(1000)),
        ),
    ]
}

/// Starts a server that sends the response on each connection until the daemon
/// closes it.
fn spawn_server(head: &'static str, block: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let block = block.clone();
            thread::spawn(move || {
                let is_read = stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0);
                let mut open = is_read && stream.write_all(head.as_bytes()).is_ok();
                while open {
                    open = stream.write_all(block.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

/// Sends a request and reads what arrives in [`READ_TIME`].
fn call_and_leave(entry: SocketAddr) {
    let mut stream = TcpStream::connect(entry).expect("the daemon listens");
    let timeout = Some(READ_TIME);
    stream.set_read_timeout(timeout).expect("a valid timeout");
    let request = "POST /payment/a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    let started = Instant::now();
    let mut buffer = [0; 65_536];
    while started.elapsed() < READ_TIME {
        // The daemon may end the response, or send nothing.
        if !matches!(stream.read(&mut buffer), Ok(count) if count > 0) {
            return;
        }
    }
}

/// Guards against a server that holds up other requests or fills the memory.
#[test]
fn a_server_that_sends_without_end_delays_nothing_else() {
    for response in responses() {
        let name = response.name;
        let mut fleet = TestFleet::start(FleetPlan {
            daemons: 1,
            engines: 1,
            services: 1,
            ..FleetPlan::default()
        });
        let sound = fleet.services[0].address().to_string();
        let endless = spawn_server(response.head, response.block).to_string();
        let pools = fleet.pools_toml().replace(&sound, &endless);
        fleet.apply_pools(&pools);
        let target = TestTarget::new(&fleet, MAX_GROWTH);
        // The changed table reaches the daemon.
        thread::sleep(Duration::from_secs(1));
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(|| call_and_leave(target.entry)))
                .collect();
            while callers.iter().any(|caller| !caller.is_finished()) {
                let asked = Instant::now();
                let answer = ChatCall::new(target.entry, 2).try_send();
                let answer = answer.unwrap_or_else(|| panic!("{name}: no response"));
                assert!(answer.is_expected_stream(2), "{name}: {answer:?}");
                assert!(asked.elapsed() < PROMPT, "{name}: {:?}", asked.elapsed());
                thread::sleep(Duration::from_millis(50));
            }
        });
        target
            .check_memory()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
    }
}
