//! Tests of grant requests while their broker moves, stops or is unreachable.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use tokio::runtime::{Builder, Runtime};

use super::{
    BrokerLocation, FleetGrants, LocalGrants, RemoteBrokerError, RemoteBrokers, VmBrokers,
};
use crate::broker::{
    AttemptOutcome, BrokerHandle, BrokerSettings, Grant, GrantDecision, GrantRelease, GrantRequest,
};
use crate::entry::GrantSource;
use crate::ids::{PoolName, VmId};
use crate::tables::{FleetConfig, PoolKind, PoolRow, PoolTable, ServerRow};

const WAIT: Duration = Duration::from_secs(5);

/// Two VMs: this one, and a remote one whose broker is in this process.
#[derive(Clone)]
struct FakeRemote {
    location: Arc<Mutex<BrokerLocation>>,
    /// The remote broker; `None` while its VM is unreachable.
    broker: Arc<Mutex<Option<BrokerHandle>>>,
}

impl RemoteBrokers for FakeRemote {
    fn broker_location(&self, _pool: &PoolName) -> BrokerLocation {
        self.location.lock().expect("no holder panics").clone()
    }

    fn live_entries(&self) -> u32 {
        2
    }

    async fn request_grant(
        &self,
        _broker: &VmId,
        request: GrantRequest,
    ) -> Result<GrantDecision, RemoteBrokerError> {
        let broker = self.broker.lock().expect("no holder panics").clone();
        match broker {
            Some(broker) => Ok(LocalGrants::new(broker).request_grant(request).await),
            None => Err(RemoteBrokerError("it is down".into())),
        }
    }

    fn release(&self, _broker: &VmId, release: GrantRelease) {
        if let Some(broker) = &*self.broker.lock().expect("no holder panics") {
            broker.release(release);
        }
    }
}

struct Fixture {
    runtime: Runtime,
    own: BrokerHandle,
    far: BrokerHandle,
    remote: FakeRemote,
    grants: FleetGrants<FakeRemote>,
}

impl Fixture {
    fn open(location: BrokerLocation) -> Self {
        let own = BrokerHandle::spawn(BrokerSettings::new("here", 1));
        let fallback = BrokerHandle::spawn(BrokerSettings::new("here", 2));
        let far = BrokerHandle::spawn(BrokerSettings::new("far", 3));
        let config = Arc::new(one_server());
        for broker in [&own, &fallback, &far] {
            broker.configure(Arc::clone(&config));
        }
        let remote = FakeRemote {
            location: Arc::new(Mutex::new(location)),
            broker: Arc::new(Mutex::new(Some(far.clone()))),
        };
        let brokers = VmBrokers {
            own: own.clone(),
            own_boot: 1,
            fallback,
            fallback_boot: 2,
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        Self {
            runtime,
            own,
            far,
            grants: FleetGrants::new(brokers, remote.clone()),
            remote,
        }
    }

    fn request_grant(&self, name: &str) -> tokio::task::JoinHandle<GrantDecision> {
        let grants = self.grants.clone();
        let request = request(name);
        self.runtime
            .spawn(async move { grants.request_grant(request).await })
    }

    fn expect_grant(&self, pending: tokio::task::JoinHandle<GrantDecision>) -> Grant {
        let decision = self
            .runtime
            .block_on(async { tokio::time::timeout(WAIT, pending).await })
            .expect("a decision arrives in time")
            .expect("the task doesn't panic");
        match decision {
            GrantDecision::Granted(grant) => grant,
            GrantDecision::Refused(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    fn release(&self, grant: &Grant) {
        let release = GrantRelease {
            grant: grant.id,
            boot: grant.boot,
            outcome: AttemptOutcome::Completed,
            tokens: 1,
            first_token: None,
            elapsed: Duration::from_millis(1),
            leaving: false,
        };
        self.grants.release(grant, release);
    }
}

/// Returns a pool with one server that has one slot.
fn one_server() -> FleetConfig {
    let server = ServerRow {
        name: "s1".into(),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        data_centre: "d".into(),
        slots: 1,
        drain: false,
    };
    let pool = PoolRow {
        name: "p".into(),
        kind: PoolKind::Service,
        model: None,
        servers: vec![server],
        honours_priority: false,
        can_resume: false,
        checks_fencing: false,
        refusal_means_not_run: false,
        retry_percent: 10,
    };
    FleetConfig {
        revision: 1,
        pools: PoolTable {
            rows: IndexMap::from([("p".to_string(), pool)]),
        },
        ..FleetConfig::default()
    }
}

fn request(name: &str) -> GrantRequest {
    GrantRequest {
        request: name.into(),
        entry: "here".into(),
        entry_boot: 9,
        pool: "p".into(),
        class: "c".into(),
        tier: 0,
        workspace: "w".into(),
        waited: Duration::ZERO,
        target_left: WAIT,
        timeout_left: WAIT,
        late_is_useful: true,
        floor_percent: 1,
        prompt_tokens: 1,
        max_tokens: None,
        prefix: None,
        excluded: Vec::new(),
        fingerprint: 0,
    }
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_pending_grant_request_follows_the_broker() {
    let fixture = Fixture::open(BrokerLocation::Local);
    let first = fixture.expect_grant(fixture.request_grant("r1"));
    assert_eq!(first.broker, "here");
    let second = fixture.request_grant("r2");
    wait_for("r2 waits", || fixture.own.status().queued() == 1);

    *fixture.remote.location.lock().expect("no holder panics") =
        BrokerLocation::Remote("far".into());
    let grant = fixture.expect_grant(second);
    assert_eq!(grant.broker, "far");
    wait_for("r2 left the old queue", || {
        fixture.own.status().queued() == 0
    });
    fixture.release(&grant);
    wait_for("the far grant ends", || {
        fixture.far.status().in_flight() == 0
    });
    fixture.release(&first);
    wait_for("the own grant ends", || {
        fixture.own.status().in_flight() == 0
    });
}

#[test]
fn the_fallback_decides_while_the_broker_is_down() {
    let fixture = Fixture::open(BrokerLocation::Remote("far".into()));
    *fixture.remote.broker.lock().expect("no holder panics") = None;
    let grant = fixture.expect_grant(fixture.request_grant("r1"));
    assert_eq!((grant.broker.as_str(), grant.boot), ("here", 2));
    fixture.release(&grant);

    *fixture.remote.broker.lock().expect("no holder panics") = Some(fixture.far.clone());
    let grant = fixture.expect_grant(fixture.request_grant("r2"));
    assert_eq!(grant.broker, "far");
}

#[test]
fn pending_grant_requests_move_when_their_broker_shuts_down() {
    let fixture = Fixture::open(BrokerLocation::Remote("far".into()));
    let first = fixture.expect_grant(fixture.request_grant("r1"));
    let second = fixture.request_grant("r2");
    wait_for("r2 waits", || fixture.far.status().queued() == 1);
    *fixture.remote.location.lock().expect("no holder panics") = BrokerLocation::Local;
    fixture.far.shut_down();
    assert_eq!(fixture.expect_grant(second).broker, "here");
    assert_eq!(first.broker, "far");
}

#[test]
fn a_caller_that_hangs_up_leaves_no_grant() {
    let fixture = Fixture::open(BrokerLocation::Local);
    let first = fixture.expect_grant(fixture.request_grant("r1"));
    let second = fixture.request_grant("r2");
    wait_for("r2 waits", || fixture.own.status().queued() == 1);
    second.abort();
    wait_for("r2 is withdrawn", || fixture.own.status().queued() == 0);
    fixture.release(&first);
    wait_for("nothing is granted", || {
        fixture.own.status().in_flight() == 0
    });
}
