//! Which bytes follow the head of a response, for each method, status and kind of
//! route, on kept and pipelined connections, at both ports of the daemon and at the
//! stand-ins.

mod common;

use std::net::SocketAddr;

use common::{FleetPlan, SECRET, TestFleet, is_ready, wait_until};
use standins::framing::{REPLIES, RequestPair, StrictClient, spawn_server};

const METHODS: [&str; 5] = ["GET", "HEAD", "POST", "DELETE", "OPTIONS"];

/// Starts a daemon whose servers all respond as the path says.
fn start(daemon_flags: &[&str]) -> TestFleet {
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        daemon_flags: daemon_flags.iter().map(ToString::to_string).collect(),
        engine_pool: String::new(),
        ..FleetPlan::default()
    });
    let mut pools = fleet.pools_toml();
    for process in fleet.services.iter().chain(&fleet.engines) {
        // A pools table has each address once.
        let address = spawn_server().expect("a port is free");
        pools = pools.replace(&process.address().to_string(), &address.to_string());
    }
    fleet.apply_pools(&pools);
    let entry = fleet.daemons[0].entry;
    wait_until("the changed table is in force", || {
        let request = "GET /archive/200-length HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut client = StrictClient::open(entry).expect("the daemon listens");
        client.send(request.as_bytes());
        let response = client.read("GET");
        response.is_ok_and(|response| response.content == b"/archive/200-length")
    });
    fleet
}

fn request(method: &str, target: &str, more: &str) -> String {
    let content = match (method, target) {
        ("POST", "/v1/chat/completions") => {
            r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"x"}]}"#
        }
        ("POST", _) => "hi",
        _ => "",
    };
    let length = content.len();
    format!(
        "{method} {target} HTTP/1.1\r\nhost: x\r\n{more}content-length: {length}\r\n\r\n{content}"
    )
}

/// Plays each method on each target; returns what broke the protocol.
fn play_all(address: SocketAddr, targets: &[String], more: &str, next: &str) -> Vec<String> {
    let close = format!("connection: close\r\n{more}");
    let second = request("GET", next, &close);
    let mut faults = Vec::new();
    for target in targets {
        for method in METHODS {
            for is_pipelined in [false, true] {
                let pair = RequestPair {
                    method,
                    first: &request(method, target, more),
                    second: &second,
                    is_pipelined,
                };
                if let Err(fault) = pair.play(address) {
                    faults.push(format!("{method} {target}, {is_pipelined}: {fault}"));
                }
            }
        }
    }
    faults
}

/// Guards against content after the head of a response to HEAD or with the status
/// 204 or 304, and against any other byte that isn't part of the next response.
#[test]
fn no_byte_follows_a_response_that_is_not_part_of_the_next_one() {
    let fleet = start(&[]);
    let mut targets = vec!["/v1/chat/completions".to_string()];
    for route in ["/payment", "/archive", "/none"] {
        targets.extend(REPLIES.iter().map(|reply| format!("{route}/{reply}")));
    }
    let entry = fleet.daemons[0].entry;
    let mut faults = play_all(entry, &targets, "", "/archive/200-length");
    let asked = ["/archive/200-length", "/payment/204-bare", "/none"].map(str::to_string);
    let expect = "expect: 100-continue\r\n";
    faults.extend(play_all(entry, &asked, expect, "/archive/200-length"));
    assert!(
        faults.is_empty(),
        "{}:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

/// Guards against the same faults of the admin port, and of the stand-ins.
#[test]
fn admin_and_standin_responses_end_where_they_should() {
    let fleet = start(&[]);
    let paths = [
        "/healthz",
        "/readyz",
        "/metrics",
        "/v1/status",
        "/v1/explain/a",
        "/none",
    ];
    let paths = paths.map(str::to_string);
    let admin = fleet.daemons[0].admin;
    let secret = format!("authorization: Bearer {SECRET}\r\n");
    let mut faults = play_all(admin, &paths, &secret, "/healthz");
    faults.extend(play_all(admin, &paths, "", "/healthz"));
    let standins = [&fleet.platform, &fleet.services[0], &fleet.engines[0]];
    for process in standins {
        let paths = ["/healthz", "/load", "/v1/models", "/none"].map(str::to_string);
        faults.extend(play_all(process.address(), &paths, "", "/healthz"));
    }
    assert!(
        faults.is_empty(),
        "{}:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

/// Requests after which a connection ends, in all their bytes.
const LAST_REQUESTS: [(&str, &str); 8] = [
    (
        "HEAD",
        "HEAD /archive/200-length HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n",
    ),
    ("HEAD", "HEAD /archive/200-length HTTP/1.1\r\nhost: "),
    (
        "HEAD",
        "HEAD /archive/200-length HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\nx",
    ),
    (
        "POST",
        "POST /archive/200-length HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\nx",
    ),
    (
        "HEAD",
        "HEAD /none HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nshort",
    ),
    (
        "HEAD",
        "HEAD /archive/200-length HTTP/1.1\r\nhost: x\r\nx: {long}\r\n\r\n",
    ),
    ("HEAD", "HEAD /archive/200-length HTTP/1.0\r\n\r\n"),
    (
        "CONNECT",
        "CONNECT /archive/200-length HTTP/1.1\r\nhost: x\r\n\r\n",
    ),
];

/// Guards against content after the head of the last response of a connection, also
/// if the request's head or body wasn't read to its end.
#[test]
fn the_last_response_of_a_connection_ends_where_it_should() {
    let fleet = start(&["--header-timeout=1s"]);
    let long = "x".repeat(1 << 20);
    let mut faults = Vec::new();
    for (method, bytes) in LAST_REQUESTS {
        let entry = fleet.daemons[0].entry;
        let mut client = StrictClient::open(entry).expect("the daemon listens");
        client.send(bytes.replace("{long}", &long).as_bytes());
        match client.read(method) {
            // The library closes a connection without a response in some cases.
            Err(fault) if fault == "in place of a response: \"\"" => {}
            Err(fault) => faults.push(format!("{bytes}: {fault}")),
            Ok(response) if response.status < 300 && method == "CONNECT" => {
                faults.push(format!("{bytes}: {response:?}"));
            }
            Ok(response) if response.closes() => {
                let finished = client.finish().err();
                faults.extend(finished.map(|fault| format!("{bytes}: {fault}")));
            }
            Ok(_) => {}
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against content in the refusal of an excess connection, which is sent
/// before a request is read, so that it may answer HEAD.
#[test]
fn the_refusal_of_an_excess_connection_has_no_content() {
    let fleet = start(&["--max-connections=1"]);
    let entry = fleet.daemons[0].entry;
    let open = || StrictClient::open(entry).expect("the daemon listens");
    let partial = "GET /archive/a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nshort";
    wait_until("an excess connection is refused", || {
        // Connections from before may still be open.
        let (mut holder, mut client) = (open(), open());
        holder.send(partial.as_bytes());
        client.send(b"HEAD /archive/200-length HTTP/1.1\r\nhost: x\r\n\r\n");
        let response = client.read("HEAD").expect("a response arrives");
        if response.status == 503 && response.closes() {
            client.finish().expect("nothing follows");
        }
        response.status == 503
    });
}

/// Guards against the same faults while the daemon stops.
#[test]
fn responses_of_a_stopping_daemon_end_where_they_should() {
    let fleet = start(&[]);
    let daemon = &fleet.daemons[0];
    // Keeps the daemon from ending.
    let mut holder = StrictClient::open(daemon.entry).expect("the daemon listens");
    holder.send(b"POST /archive/200-length HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nshort");
    daemon.process.terminate();
    wait_until("it isn't ready", || !is_ready(daemon));
    let targets = ["/archive/200-length", "/none"].map(str::to_string);
    let faults = play_all(daemon.entry, &targets, "", "/archive/200-length");
    assert!(faults.is_empty(), "{faults:#?}");
}
