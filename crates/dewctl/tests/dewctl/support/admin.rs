//! Fake of a daemon's admin interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dewspring::admin::{
    DrainReport, ExplainReport, ExplainStep, PeerState, PeerStatus, PoolStatus, ServerState,
    ServerStatus, StatusReport,
};
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use oxhttp::{ListeningServer, Server};
use serde::Serialize;
use standins::ports::free_address;

pub const SECRET: &str = "a-shared-secret-of-the-fleet";

/// A daemon that has a new revision in force after some status requests.
pub struct FakeDaemon {
    pub address: SocketAddr,
    pub drains: Arc<AtomicU64>,
    _server: ListeningServer,
}

#[derive(Clone)]
struct DaemonState {
    vm: String,
    revision: u64,
    change_id: String,
    /// Number of status responses before the revision is in force.
    lag: Arc<AtomicU64>,
    drains: Arc<AtomicU64>,
}

impl FakeDaemon {
    pub fn spawn(vm: &str, revision: u64, lag: u64) -> Self {
        Self::spawn_with_change(vm, revision, lag, "")
    }

    /// Starts a daemon that reports the change id of its revision.
    pub fn spawn_with_change(vm: &str, revision: u64, lag: u64, change_id: &str) -> Self {
        let address = free_address();
        let drains = Arc::new(AtomicU64::new(0));
        let state = DaemonState {
            vm: vm.to_owned(),
            revision,
            change_id: change_id.to_owned(),
            lag: Arc::new(AtomicU64::new(lag)),
            drains: Arc::clone(&drains),
        };
        let server = Server::new(move |request| state.answer(request))
            .bind(address)
            .with_global_timeout(Duration::from_secs(5))
            .spawn()
            .expect("the server starts");
        Self {
            address,
            drains,
            _server: server,
        }
    }
}

/// A `dewnode` VM whose ready address shows a text as its duties.
pub struct FakeNode {
    pub address: SocketAddr,
    _server: ListeningServer,
}

impl FakeNode {
    pub fn spawn(duties: &str) -> Self {
        let address = free_address();
        let duties = duties.to_owned();
        let answer = move |request: &mut Request<Body>| {
            let is_secret_sent = request.headers().contains_key(AUTHORIZATION);
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/duties") if !is_secret_sent => {
                    Response::new(Body::from(duties.clone()))
                }
                _ => empty(StatusCode::NOT_FOUND),
            }
        };
        let server = Server::new(answer)
            .bind(address)
            .with_global_timeout(Duration::from_secs(5))
            .spawn()
            .expect("the server starts");
        Self {
            address,
            _server: server,
        }
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    Response::new(Body::from(serde_json::to_vec(value).expect("plain data")))
}

fn empty(status: StatusCode) -> Response<Body> {
    let response = Response::builder().status(status);
    response.body(Body::empty()).expect("a valid response")
}

impl DaemonState {
    fn answer(&self, request: &mut Request<Body>) -> Response<Body> {
        let expected = format!("Bearer {SECRET}");
        let given = request.headers().get(AUTHORIZATION);
        if given.is_none_or(|given| given.as_bytes() != expected.as_bytes()) {
            return empty(StatusCode::UNAUTHORIZED);
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/status") => json(&self.status()),
            (&Method::GET, "/v1/explain/r-7") => json(&self.explanation()),
            (&Method::POST, "/v1/drain") => {
                self.drains.fetch_add(1, Ordering::SeqCst);
                json(&DrainReport {
                    vm: self.vm.clone(),
                    in_flight: 3,
                })
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn status(&self) -> StatusReport {
        let lag = &self.lag;
        let decrement = |left: u64| left.checked_sub(1);
        let lags = lag
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok();
        let server = |server: &str, state| ServerStatus {
            server: server.to_owned(),
            state,
            in_flight: 2,
            slots: 8,
        };
        StatusReport {
            vm: self.vm.clone(),
            boot: 1,
            data_centre: "dc-1".to_owned(),
            revision: self.revision - u64::from(lags),
            change_id: self.change_id.clone(),
            ready: true,
            draining: false,
            peers: vec![PeerStatus {
                vm: "vm-9".to_owned(),
                state: PeerState::Live,
                heard_ago_ms: Some(40),
            }],
            pools: vec![PoolStatus {
                pool: "engines".to_owned(),
                broker: Some(self.vm.clone()),
                queued: 5,
                in_flight: 4,
                servers: vec![
                    server("s0", ServerState::Active),
                    server("s1", ServerState::Ejected),
                ],
            }],
        }
    }

    fn explanation(&self) -> ExplainReport {
        ExplainReport {
            request: "r-7".to_owned(),
            vm: self.vm.clone(),
            steps: vec![ExplainStep {
                at_ms: 12,
                part: "broker".to_owned(),
                text: "granted s0: least load.".to_owned(),
            }],
        }
    }
}
