//! What the entry reports to the brokers about a server's response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

use crate::broker::{AttemptOutcome, Grant, GrantDecision, GrantRelease, GrantRequest};
use crate::claims::{ClaimLedger, LedgerSettings};
use crate::entry::{ConfigSource, EntryContext, EntryServer, EntrySettings, GrantSource};
use crate::ids::ServerName;
use crate::observe::{DaemonMetrics, DecisionLog};
use crate::store::EmbeddedStore;
use crate::tables::{FleetConfig, TableTexts};

const WAIT: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_millis(100);
const ROUTES: &str = "[[route]]\nname = \"archive\"\npath = \"/archive/\"\npool = \"services\"\n\
    tier = 3\ntarget = \"5s\"\ntimeout = \"10s\"\nidempotent = true\n";

#[derive(Clone)]
struct FixedConfig(Arc<FleetConfig>);

impl ConfigSource for FixedConfig {
    fn current(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.0)
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// Always grants the same server, and records the calls that it receives.
#[derive(Clone)]
struct FakeGrants {
    server: SocketAddr,
    marks: Sender<ServerName>,
    releases: Sender<GrantRelease>,
    /// Number of grants, counted from the first, that arrive expired.
    late_grants: u64,
    requested: Arc<AtomicU64>,
}

impl GrantSource for FakeGrants {
    async fn request_grant(&self, _request: GrantRequest) -> GrantDecision {
        let id = self.requested.fetch_add(1, Ordering::Relaxed) + 1;
        let is_late = id <= self.late_grants;
        if is_late {
            tokio::time::sleep(LATE).await;
        }
        GrantDecision::Granted(Grant {
            id,
            broker: "vm-2".into(),
            boot: 2,
            server: "desk".into(),
            address: self.server,
            valid_for: if is_late { LATE / 2 } else { WAIT },
            reason: String::new(),
        })
    }

    fn release(&self, _grant: &Grant, release: GrantRelease) {
        self.releases.send(release).expect("the test listens");
    }

    fn mark_leaving(&self, server: &ServerName) {
        self.marks.send(server.clone()).expect("the test listens");
    }
}

fn open_entry(grants: FakeGrants) -> EntryServer<FixedConfig, FakeGrants> {
    let server = grants.server;
    let pools = format!(
        "[[pool]]\nname = \"services\"\nkind = \"service\"\n\n[[pool.server]]\n\
         name = \"desk\"\naddress = \"{server}\"\ndata_centre = \"centre\"\nslots = 1\n"
    );
    let texts = TableTexts {
        routes: ROUTES.into(),
        pools,
    };
    let tables = texts.check().expect("the tables are valid");
    let config = FleetConfig {
        revision: 1,
        change_id: String::new(),
        routes: tables.routes,
        pools: tables.pools,
    };
    let settings = EntrySettings {
        vm: "vm-1".into(),
        boot: 1,
        threads: 1,
        max_connections: 10,
        memory_bytes: 1_700_000_000,
        header_timeout: WAIT,
        body_timeout: WAIT,
        connect_timeout: WAIT,
        silence_timeout: WAIT,
        workspace_header: "x-workspace".into(),
        class_header: "x-class".into(),
    };
    let ledger = ClaimLedger::spawn(EmbeddedStore::open(), LedgerSettings::new("f", "vm-1", 1));
    let context = EntryContext::new(
        settings,
        FixedConfig(Arc::new(config)),
        grants,
        ledger.handle(),
        DaemonMetrics::new(),
        DecisionLog::new(1),
    );
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    EntryServer::bind(address, Arc::new(context)).expect("the address is free")
}

/// Responds to one request.
fn respond_once(listener: &TcpListener, header: &str) {
    let (mut server, _) = listener.accept().expect("the entry calls");
    // The request fits into one read.
    let _length = server.read(&mut [0; 4_096]).expect("the entry writes");
    let answer = format!("HTTP/1.1 200 OK\r\n{header}content-length: 0\r\n\r\n");
    server
        .write_all(answer.as_bytes())
        .expect("the entry reads");
}

/// Sends one request through an entry, and returns the reports of leaving
/// servers and the releases.
fn serve_one(header: &'static str, late_grants: u64) -> (Receiver<ServerName>, Vec<GrantRelease>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let server = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || respond_once(&listener, header));
    let (marks, marked) = unbounded();
    let (releases, released) = unbounded();
    let entry = open_entry(FakeGrants {
        server,
        marks,
        releases,
        late_grants,
        requested: Arc::default(),
    });
    let mut caller = TcpStream::connect(entry.address()).expect("the entry listens");
    let call = b"GET /archive/1 HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    caller.write_all(call).expect("the entry reads");
    let releases = (0..=late_grants)
        .map(|_| released.recv_timeout(WAIT).expect("a grant is released"))
        .collect();
    entry.shut_down(WAIT);
    (marked, releases)
}

#[test]
fn a_leaving_server_is_reported_to_the_broker() {
    for (header, leaving) in [("", false), ("x-leaving: true\r\n", true)] {
        let (marks, releases) = serve_one(header, 0);
        assert_eq!(releases[0].leaving, leaving, "{header}");
        assert_eq!(marks.try_recv().is_ok(), leaving, "{header}");
    }
}

#[test]
fn a_grant_that_arrives_expired_is_returned_unused() {
    let (_, releases) = serve_one("", 1);
    let ends: Vec<_> = releases
        .iter()
        .map(|end| (end.grant, end.outcome))
        .collect();
    let expected = [(1, AttemptOutcome::NotRun), (2, AttemptOutcome::Completed)];
    assert_eq!(ends, expected);
}
