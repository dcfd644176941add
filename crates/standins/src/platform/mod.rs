//! The platform: a key-value service with leases and watches, and a list of
//! VMs that is reported with a delay.
//!
//! The key-value service implements the part of etcd v3's JSON gateway
//! protocol that dewspring uses. Tests can take it down, slow it down, lose its
//! responses and restore a snapshot of its state.

mod kv;
mod settings;
mod wire;

pub use settings::{ListedState, ListedVm, PlatformSettings};

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::faults::consume_one;
use crate::lag::LaggedValue;
use crate::race::race;
use crate::web::{
    ChunkSender, DroppedConnection, HandlerResult, RequestHandler, ResponseBody, WebRequest,
    json_response,
};
use kv::{KvError, KvState};
use wire::{
    KeepAliveRequest, LeaseGrantRequest, RangeRequest, StreamItem, TxnRequest, WatchCreate,
    WatchRequest, WatchResponse,
};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Availability of the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum PlatformMode {
    Down,
    Slow,
    Up,
}

/// Body of a `/control` request, which changes the running platform.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformControl {
    mode: Option<PlatformMode>,
    delay_ms: Option<u64>,
    lose_answers: Option<u64>,
    list_lag_ms: Option<u64>,
    vms: Option<Vec<ListedVm>>,
    snapshot: bool,
    restore: bool,
}

/// Numbers of calls by kind, including those closed without a response, and of
/// open watches.
#[derive(Clone, Debug, Default, Serialize)]
struct CallCounts {
    range: u64,
    txn: u64,
    lease_grant: u64,
    lease_keepalive: u64,
    watch: u64,
    vms: u64,
    waiting_watches: u64,
}

struct PlatformState {
    mode: PlatformMode,
    delay: Duration,
    lose_answers: u64,
    kv: KvState,
    /// Incremented by outages and restored snapshots, which end the open
    /// watches.
    watch_epoch: u64,
    snapshot: Option<KvState>,
    vms: LaggedValue<Vec<ListedVm>>,
    counts: CallCounts,
}

/// A running platform.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<PlatformState>>,
    /// Change counter that wakes the open watches.
    changes: watch::Sender<u64>,
}

/// Returns an error response in the format of etcd's gateway.
fn error_response(error: KvError) -> Response<ResponseBody> {
    let (status, code, message) = match error {
        KvError::ValueTooLarge => (
            StatusCode::BAD_REQUEST,
            3,
            "etcdserver: request is too large",
        ),
        KvError::LeaseNotFound => (
            StatusCode::NOT_FOUND,
            5,
            "etcdserver: requested lease not found",
        ),
    };
    json_response(
        status,
        &json!({"error": message, "code": code, "message": message}),
    )
}

impl FakePlatform {
    /// Creates the platform.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        let state = PlatformState {
            mode: PlatformMode::Up,
            delay: Duration::ZERO,
            lose_answers: 0,
            kv: KvState::new(),
            watch_epoch: 0,
            snapshot: None,
            vms: LaggedValue::new(settings.vms, settings.list_lag, Instant::now()),
            counts: CallCounts::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changes: watch::Sender::new(0),
        }
    }

    /// Locks the state and removes expired leases from it.
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.kv.expire(Instant::now()) {
            self.notify_watchers();
        }
        state
    }

    fn notify_watchers(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn control(&self, request: &WebRequest) -> Response<ResponseBody> {
        let control: PlatformControl = match request.json() {
            Ok(control) => control,
            Err(error) => return error.into(),
        };
        let mut state = self.lock();
        state.mode = control.mode.unwrap_or(state.mode);
        if state.mode == PlatformMode::Down {
            // Even the shortest outage ends the open watches.
            state.watch_epoch += 1;
        }
        state.lose_answers = control.lose_answers.unwrap_or(state.lose_answers);
        if let Some(delay) = control.delay_ms {
            state.delay = Duration::from_millis(delay);
        }
        if let Some(lag) = control.list_lag_ms {
            state.vms.set_lag(Duration::from_millis(lag));
        }
        if let Some(vms) = control.vms {
            state.vms.record(vms, Instant::now());
        }
        if control.snapshot {
            state.snapshot = Some(state.kv.clone());
        }
        if let Some(snapshot) = state.snapshot.as_ref().filter(|_| control.restore) {
            state.kv = snapshot.clone();
            state.watch_epoch += 1;
        }
        drop(state);
        self.notify_watchers();
        json_response(StatusCode::OK, &json!({}))
    }

    /// Delays the call in slow mode, and drops the connection during an outage.
    async fn apply_mode(&self) -> Result<(), DroppedConnection> {
        let (mode, delay) = {
            let state = self.lock();
            (state.mode, state.delay)
        };
        match mode {
            PlatformMode::Down => return Err(DroppedConnection),
            PlatformMode::Slow => tokio::time::sleep(delay).await,
            PlatformMode::Up => (),
        }
        match self.lock().mode {
            PlatformMode::Down => Err(DroppedConnection),
            PlatformMode::Slow | PlatformMode::Up => Ok(()),
        }
    }

    fn txn(&self, request: &TxnRequest) -> HandlerResult {
        let mut state = self.lock();
        let (response, wrote) = match state.kv.txn(request) {
            Ok(done) => done,
            Err(error) => return Ok(error_response(error)),
        };
        if wrote {
            self.notify_watchers();
            if consume_one(&mut state.lose_answers) {
                return Err(DroppedConnection);
            }
        }
        Ok(json_response(StatusCode::OK, &response))
    }

    fn grant(&self, request: &LeaseGrantRequest) -> HandlerResult {
        let mut state = self.lock();
        let response = state.kv.grant(request, Instant::now());
        if consume_one(&mut state.lose_answers) {
            return Err(DroppedConnection);
        }
        Ok(json_response(StatusCode::OK, &response))
    }

    fn watch(&self, request: WatchRequest) -> HandlerResult {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (created, watch_epoch) = {
            let state = self.lock();
            let created = WatchResponse {
                header: state.kv.header(),
                created: true,
                events: Vec::new(),
            };
            (created, state.watch_epoch)
        };
        let watch = request.create_request;
        let next = match watch.start_revision.0 {
            0 => created.header.revision.0 + 1,
            revision => revision,
        };
        let watcher = KeyWatcher {
            platform: self.clone(),
            watch,
            next,
            watch_epoch,
            sender,
        };
        tokio::spawn(watcher.run(self.changes.subscribe()));
        let body = ResponseBody::stream(stream_line(created), receiver);
        Ok(Response::new(body))
    }

    fn count(&self, path: &str) {
        let counts = &mut self.lock().counts;
        let count = match path {
            "/v3/kv/range" => &mut counts.range,
            "/v3/kv/txn" => &mut counts.txn,
            "/v3/lease/grant" => &mut counts.lease_grant,
            "/v3/lease/keepalive" => &mut counts.lease_keepalive,
            "/v3/watch" => &mut counts.watch,
            "/vms" => &mut counts.vms,
            _ => return,
        };
        *count += 1;
    }

    async fn handle_call(&self, request: &WebRequest) -> HandlerResult {
        self.count(&request.path);
        self.apply_mode().await?;
        let result = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/vms") => {
                let vms = self.lock().vms.read(Instant::now());
                Ok(Ok(json_response(StatusCode::OK, &vms)))
            }
            (&Method::POST, "/v3/kv/range") => request.json().map(|range: RangeRequest| {
                let response = self.lock().kv.range(&range);
                Ok(json_response(StatusCode::OK, &response))
            }),
            (&Method::POST, "/v3/kv/txn") => request.json().map(|txn| self.txn(&txn)),
            (&Method::POST, "/v3/lease/grant") => request.json().map(|grant| self.grant(&grant)),
            (&Method::POST, "/v3/lease/keepalive") => {
                request.json().map(|renewal: KeepAliveRequest| {
                    let mut state = self.lock();
                    let response = state.kv.keep_alive(renewal.id.0, Instant::now());
                    Ok(json_response(
                        StatusCode::OK,
                        &StreamItem { result: response },
                    ))
                })
            }
            (&Method::POST, "/v3/watch") => request.json().map(|watch| self.watch(watch)),
            _ => Ok(Ok(json_response(
                StatusCode::NOT_FOUND,
                &json!({"error": "Not Found", "code": 5, "message": "Not Found"}),
            ))),
        };
        result.unwrap_or_else(|error| Ok(error.into()))
    }
}

/// One open watch.
struct KeyWatcher {
    platform: FakePlatform,
    watch: WatchCreate,
    /// First revision whose events were not yet sent.
    next: u64,
    /// Epoch at the start of the watch; a later one ends it.
    watch_epoch: u64,
    sender: ChunkSender,
}

impl KeyWatcher {
    /// Sends events until the caller disconnects or the platform drops the
    /// watch.
    async fn run(mut self, mut changes: watch::Receiver<u64>) {
        self.platform.lock().counts.waiting_watches += 1;
        loop {
            changes.mark_unchanged();
            if self.send_new_events().is_err() {
                break;
            }
            let wait = tokio::time::timeout(LEASE_CHECK_INTERVAL, changes.changed());
            if race(wait, self.sender.closed()).await.is_none() {
                break;
            }
        }
        self.platform.lock().counts.waiting_watches -= 1;
    }

    fn send_new_events(&mut self) -> Result<(), DroppedConnection> {
        let state = self.platform.lock();
        if state.mode == PlatformMode::Down || state.watch_epoch != self.watch_epoch {
            // The send fails if the caller has already disconnected.
            let _ = self.sender.send(Err(DroppedConnection));
            return Err(DroppedConnection);
        }
        let events = state.kv.events_from(self.next, &self.watch);
        self.next = self.next.max(state.kv.revision() + 1);
        if events.is_empty() {
            return Ok(());
        }
        let response = WatchResponse {
            header: state.kv.header(),
            created: false,
            events,
        };
        self.sender
            .send(Ok(stream_line(response).into()))
            .map_err(|_| DroppedConnection)
    }
}

fn stream_line(result: WatchResponse) -> String {
    let line = serde_json::to_string(&StreamItem { result }).expect("plain JSON");
    format!("{line}\n")
}

impl RequestHandler for FakePlatform {
    async fn handle(&self, request: WebRequest) -> HandlerResult {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Ok(json_response(StatusCode::OK, &json!({"ok": true}))),
            (&Method::GET, "/counts") => {
                let counts = self.lock().counts.clone();
                Ok(json_response(StatusCode::OK, &counts))
            }
            (&Method::POST, "/control") => Ok(self.control(&request)),
            _ => self.handle_call(&request).await,
        }
    }
}
