//! Responses of servers that are incomplete or break the protocol.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{DEFAULT_ROUTES, FleetPlan, SECRET, TestFleet, wait_until};
use standins::broken::{
    ForwardingSystem, LONG_UPLOAD, RequestForm, ResponseCase, call_cases, malformed_cases,
    play_all, play_unframed,
};
use standins::framing::StrictClient;
use standins::script::{ConnectionEnd, ScriptedServer, TakenRequest};

const ROUTES: [&str; 2] = ["/archive", "/payment"];

struct System {
    fleet: TestFleet,
    server: Arc<ScriptedServer>,
}

impl ForwardingSystem for System {
    fn server(&self) -> &ScriptedServer {
        &self.server
    }

    fn entry(&self) -> SocketAddr {
        self.fleet.daemons[0].entry
    }

    fn pid(&self) -> u32 {
        self.fleet.daemons[0].process.pid()
    }

    fn response_fields(&self, _request: &TakenRequest) -> String {
        "X-Any: a".into()
    }

    fn request_head(&self, form: &RequestForm, _attempt: &str) -> String {
        format!("{} {}/a HTTP/1.1\r\nhost: x\r\n", form.method, form.route)
    }
}

/// Starts a daemon whose services are one scripted server.
fn start() -> System {
    start_with("")
}

/// Starts such a daemon with further keys of the pool, in TOML.
fn start_with(service_pool: &str) -> System {
    let server = Arc::new(ScriptedServer::spawn().expect("a port is free"));
    let limit = format!(
        "pool = \"services\"\nmax_body_bytes = {}\n",
        LONG_UPLOAD + 1000
    );
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        service_pool: service_pool.into(),
        routes: DEFAULT_ROUTES.replace("pool = \"services\"\n", &limit),
        ..FleetPlan::default()
    });
    let service = fleet.services[0].address().to_string();
    let pools = fleet.pools_toml();
    fleet.apply_pools(&pools.replace(&service, &server.address().to_string()));
    let system = System { fleet, server };
    wait_until("the changed table is in force", || {
        let mut client = StrictClient::open(system.entry()).expect("the daemon listens");
        client.send(b"GET /archive/a HTTP/1.1\r\nhost: x\r\n\r\n");
        client.read("GET").is_ok() && system.server.request_count() > 0
    });
    system
}

/// Guards against part of a response without a length that passes for the complete
/// one although its connection was reset.
#[test]
fn a_response_without_a_length_is_complete_only_with_an_orderly_end() {
    let faults = play_unframed(start, &ROUTES);
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// Guards against a response with a status that none can have, or with a field that
/// isn't one, in its head, in that of an interim response or in its trailers.
#[test]
fn a_response_that_breaks_the_protocol_is_none() {
    let forms = RequestForm::all(&ROUTES);
    let forms: Vec<_> = forms.into_iter().step_by(5).collect();
    let faults = play_all(start, &forms, &malformed_cases());
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}

/// Returns how many responses of a source the daemon has counted as broken.
fn broken_responses(system: &System, source: &str) -> u64 {
    let admin = system.fleet.daemons[0].admin;
    let mut client = StrictClient::open(admin).expect("the daemon listens");
    let request = format!("GET /metrics HTTP/1.1\r\nauthorization: Bearer {SECRET}\r\n\r\n");
    client.send(request.as_bytes());
    let page = client.read("GET").expect("metrics are served");
    let text = String::from_utf8_lossy(&page.content).into_owned();
    let name = format!("dewspring_broken_responses_total{{source=\"{source}\"}} ");
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix(&name)?.parse().ok());
    count.unwrap_or(0)
}

/// Guards against a broken response that leaves no trace.
#[test]
fn a_broken_response_is_counted() {
    let system = start();
    let form = RequestForm::all(&["/payment"])[0];
    let part = "HTTP/1.1 200 X\r\n{fields}\r\n\r\nbroken";
    let case = ResponseCase::new("reset", part, ConnectionEnd::Reset);
    assert_eq!(form.faults(&system, &case), Vec::<String>::new());
    assert_eq!(broken_responses(&system, "server"), 1);
}

/// Guards against a broken report of a server's load that is taken for its load.
#[test]
fn a_broken_report_is_counted_and_ignored() {
    let system = start();
    let sound = "HTTP/1.1 200 X\r\nContent-Length: 13\r\n\r\n{\"running\":1}";
    let chunks = "Transfer-Encoding: chunked\r\n\r\nd\r\n{\"running\":1}\r\n0\r\n";
    let broken = [
        sound.replace("200", "000"),
        sound.replace("200", "600"),
        sound.replace("Content", "A b: c\r\nContent"),
        sound.replace("13", "13\r\nA: b\u{1}c"),
        format!("HTTP/1.1 200 X\r\n{chunks}A b: c\r\n\r\n"),
    ];
    for report in broken {
        let before = broken_responses(&system, "report");
        system.server.set_report(&report);
        wait_until(&format!("{report} is counted"), || {
            broken_responses(&system, "report") > before
        });
    }
    system.server.set_report(sound);
    wait_until("the last broken report is over", || {
        let before = broken_responses(&system, "report");
        thread::sleep(Duration::from_secs(1));
        broken_responses(&system, "report") == before
    });
}

/// Guards against a refusal that breaks off and passes for the statement that the
/// request hasn't run.
#[test]
fn a_broken_refusal_promises_nothing() {
    let system = start_with("refusal_means_not_run = true\n");
    let mut faults = Vec::new();
    for (case, is_whole) in call_cases(503, "{}") {
        system.server.respond_next(&case.parts[0], case.end);
        let mut client = StrictClient::open(system.entry()).expect("the daemon listens");
        client.send(b"POST /payment/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi");
        let response = client.read("POST").expect("a response arrives");
        let expected = match is_whole {
            true => (503, Some("no")),
            false => (502, Some("unknown")),
        };
        if (response.status, response.field("x-dewspring-ran")) != expected {
            faults.push(format!("{}: {response:?}", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
