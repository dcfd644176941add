//! The platform: a key-value service with leases and watches, and a list of
//! VMs that lags.
//!
//! The key-value service speaks the JSON gateway protocol of etcd v3, as far
//! as dewspring uses it. Tests can take it down, slow it, lose its answers and
//! set it back to an older state.

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

use crate::faults::take_one;
use crate::lag::LaggedValue;
use crate::race::race;
use crate::web::{
    AnswerBody, ChunkSender, DroppedConnection, RequestHandler, WebAnswer, WebRequest, json_answer,
};
use kv::{KvError, KvState};
use wire::{
    KeepAliveRequest, LeaseGrantRequest, RangeRequest, StreamItem, TxnRequest, WatchCreate,
    WatchRequest, WatchResponse,
};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum PlatformMode {
    Down,
    Slow,
    Up,
}

/// What a test changes while the platform runs.
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

/// Calls by kind, with those that were closed without an answer.
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
    /// Counts what ends waiting watches: outages, and remembered states put back.
    breaks: u64,
    snapshot: Option<KvState>,
    vms: LaggedValue<Vec<ListedVm>>,
    counts: CallCounts,
}

/// A running platform.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<PlatformState>>,
    /// Counts the changes that waiting watches have to look at.
    changes: watch::Sender<u64>,
}

fn error_for(error: KvError) -> Response<AnswerBody> {
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
    json_answer(
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
            breaks: 0,
            snapshot: None,
            vms: LaggedValue::new(settings.vms, settings.list_lag, Instant::now()),
            counts: CallCounts::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changes: watch::Sender::new(0),
        }
    }

    /// Locks the state, with the leases that ran out removed.
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.kv.expire(Instant::now()) {
            self.notify();
        }
        state
    }

    fn notify(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn control(&self, request: &WebRequest) -> Response<AnswerBody> {
        let control: PlatformControl = match request.json() {
            Ok(control) => control,
            Err(error) => return error.into(),
        };
        let mut state = self.lock();
        state.mode = control.mode.unwrap_or(state.mode);
        if state.mode == PlatformMode::Down {
            // An outage ends the watches that wait, however short it is.
            state.breaks += 1;
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
            state.breaks += 1;
        }
        drop(state);
        self.notify();
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Waits as long as the mode asks, or drops the connection.
    async fn pass_mode(&self) -> Result<(), DroppedConnection> {
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

    fn txn(&self, request: &TxnRequest) -> WebAnswer {
        let mut state = self.lock();
        let (response, wrote) = match state.kv.txn(request) {
            Ok(done) => done,
            Err(error) => return Ok(error_for(error)),
        };
        if wrote {
            self.notify();
            if take_one(&mut state.lose_answers) {
                return Err(DroppedConnection);
            }
        }
        Ok(json_answer(StatusCode::OK, &response))
    }

    fn grant(&self, request: &LeaseGrantRequest) -> WebAnswer {
        let mut state = self.lock();
        let response = state.kv.grant(request, Instant::now());
        if take_one(&mut state.lose_answers) {
            return Err(DroppedConnection);
        }
        Ok(json_answer(StatusCode::OK, &response))
    }

    fn watch(&self, request: WatchRequest) -> WebAnswer {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (created, breaks) = {
            let state = self.lock();
            let created = WatchResponse {
                header: state.kv.header(),
                created: true,
                events: Vec::new(),
            };
            (created, state.breaks)
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
            breaks,
            sender,
        };
        tokio::spawn(watcher.run(self.changes.subscribe()));
        let body = AnswerBody::stream(stream_line(created), receiver);
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

    async fn platform_call(&self, request: &WebRequest) -> WebAnswer {
        self.count(&request.path);
        self.pass_mode().await?;
        let answer = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/vms") => {
                let vms = self.lock().vms.read(Instant::now());
                Ok(Ok(json_answer(StatusCode::OK, &vms)))
            }
            (&Method::POST, "/v3/kv/range") => request.json().map(|range: RangeRequest| {
                let response = self.lock().kv.range(&range);
                Ok(json_answer(StatusCode::OK, &response))
            }),
            (&Method::POST, "/v3/kv/txn") => request.json().map(|txn| self.txn(&txn)),
            (&Method::POST, "/v3/lease/grant") => request.json().map(|grant| self.grant(&grant)),
            (&Method::POST, "/v3/lease/keepalive") => {
                request.json().map(|renewal: KeepAliveRequest| {
                    let mut state = self.lock();
                    let result = state.kv.keep_alive(renewal.id.0, Instant::now());
                    Ok(json_answer(StatusCode::OK, &StreamItem { result }))
                })
            }
            (&Method::POST, "/v3/watch") => request.json().map(|watch| self.watch(watch)),
            _ => Ok(Ok(json_answer(
                StatusCode::NOT_FOUND,
                &json!({"error": "Not Found", "code": 5, "message": "Not Found"}),
            ))),
        };
        answer.unwrap_or_else(|error| Ok(error.into()))
    }
}

/// One waiting watch.
struct KeyWatcher {
    platform: FakePlatform,
    watch: WatchCreate,
    /// First revision that was not looked at yet.
    next: u64,
    /// Breaks when the watch began; a later one ends it.
    breaks: u64,
    sender: ChunkSender,
}

impl KeyWatcher {
    /// Sends events until the caller leaves or the platform drops the watch.
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
        if state.mode == PlatformMode::Down || state.breaks != self.breaks {
            // A caller that left already needs no dropped connection.
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
    async fn handle(&self, request: WebRequest) -> WebAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Ok(json_answer(StatusCode::OK, &json!({"ok": true}))),
            (&Method::GET, "/counts") => {
                let counts = self.lock().counts.clone();
                Ok(json_answer(StatusCode::OK, &counts))
            }
            (&Method::POST, "/control") => Ok(self.control(&request)),
            _ => self.platform_call(&request).await,
        }
    }
}
