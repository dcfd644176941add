//! The plain service: it counts executions and answers after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::lag::LaggedValue;
use crate::slots::SlotQueue;
use crate::web::{
    AnswerBody, DroppedConnection, RequestHandler, WebAnswer, WebRequest, error_answer, json_answer,
};

/// Lowest speed that can be set, as a factor.
pub(crate) const MIN_SPEED: f64 = 0.001;

/// Settings of one plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name that the answers give.
    pub name: String,
    /// Time that each request takes.
    pub delay: Duration,
    /// Requests that are served at once.
    pub slots: usize,
    /// Age of the load reports.
    pub report_lag: Duration,
}

impl ServiceSettings {
    /// Adds the flags of the service to a command.
    #[must_use]
    pub fn flags(command: Command) -> Command {
        let millis = |name: &'static str| {
            Arg::new(name)
                .long(name)
                .value_parser(value_parser!(u64))
                .default_value("0")
        };
        command
            .arg(listen_flag())
            .arg(Arg::new("name").long("name").default_value("service"))
            .arg(millis("delay-ms").help("Time that each request takes"))
            .arg(millis("report-lag-ms").help("Age of the load reports"))
            .arg(
                Arg::new("slots")
                    .long("slots")
                    .value_parser(value_parser!(u32))
                    .default_value("64")
                    .help("Requests served at once; others wait"),
            )
    }

    /// Reads the settings from parsed flags.
    ///
    /// # Panics
    ///
    /// Panics if the matches come from another command.
    #[must_use]
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let millis =
            |name| Duration::from_millis(*matches.get_one::<u64>(name).expect("a default"));
        let slots: u32 = *matches.get_one("slots").expect("a default");
        Self {
            listen: *matches.get_one("listen").expect("a default"),
            name: matches.get_one("name").cloned().expect("a default"),
            delay: millis("delay-ms"),
            slots: slots as usize,
            report_lag: millis("report-lag-ms"),
        }
    }
}

/// The flag for the address to listen on.
pub(crate) fn listen_flag() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on")
}

/// What a test changes while the service runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceControl {
    speed: Option<f64>,
    leaving: Option<bool>,
    fail_next: Option<u64>,
    reset_before_answer: Option<u64>,
    refuse_next: Option<u64>,
    stall_ms: Option<u64>,
}

/// A report of the service's load.
#[derive(Clone, Debug, Serialize)]
struct LoadReport {
    running: usize,
    waiting: usize,
    slots: usize,
    tokens_in_flight: u64,
    leaving: bool,
    models: Vec<String>,
}

struct ServiceState {
    speed: f64,
    leaving: bool,
    fail_next: u64,
    reset_before_answer: u64,
    refuse_next: u64,
    stalled_until: Instant,
    executions: IndexMap<String, u64>,
    keys: IndexMap<String, u64>,
    reports: LaggedValue<LoadReport>,
}

/// A running plain service.
#[derive(Clone)]
pub struct FakeService {
    settings: Arc<ServiceSettings>,
    slots: SlotQueue,
    state: Arc<Mutex<ServiceState>>,
}

/// Records the load when a request ends, also when its caller went away; it
/// must be dropped after the slot.
struct LoadRecorder(FakeService);

impl Drop for LoadRecorder {
    fn drop(&mut self) {
        self.0.record_load();
    }
}

/// Takes one from a counter of requests that are to go wrong.
pub(crate) fn take_one(counter: &mut u64) -> bool {
    let due = *counter > 0;
    *counter = counter.saturating_sub(1);
    due
}

impl FakeService {
    /// Creates the service.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        let now = Instant::now();
        let report = LoadReport {
            running: 0,
            waiting: 0,
            slots: settings.slots,
            tokens_in_flight: 0,
            leaving: false,
            models: Vec::new(),
        };
        let state = ServiceState {
            speed: 1.0,
            leaving: false,
            fail_next: 0,
            reset_before_answer: 0,
            refuse_next: 0,
            stalled_until: now,
            executions: IndexMap::new(),
            keys: IndexMap::new(),
            reports: LaggedValue::new(report, settings.report_lag, now),
        };
        Self {
            slots: SlotQueue::new(settings.slots),
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn record_load(&self) {
        let usage = self.slots.usage();
        let mut state = self.lock();
        let report = LoadReport {
            running: usage.running,
            waiting: usage.waiting,
            slots: self.settings.slots,
            tokens_in_flight: 0,
            leaving: state.leaving,
            models: Vec::new(),
        };
        state.reports.record(report, Instant::now());
    }

    fn load(&self) -> Response<AnswerBody> {
        let report = self.lock().reports.read(Instant::now());
        json_answer(StatusCode::OK, &report)
    }

    fn executions(&self) -> Response<AnswerBody> {
        let max_running = self.slots.usage().max_running;
        let state = self.lock();
        let value = json!({
            "executions": state.executions,
            "keys": state.keys,
            "max_running": max_running,
        });
        json_answer(StatusCode::OK, &value)
    }

    fn control(&self, request: &WebRequest) -> Response<AnswerBody> {
        let control: ServiceControl = match request.json() {
            Ok(control) => control,
            Err(error) => return error.into(),
        };
        let mut state = self.lock();
        state.speed = control.speed.unwrap_or(state.speed);
        state.leaving = control.leaving.unwrap_or(state.leaving);
        state.fail_next = control.fail_next.unwrap_or(state.fail_next);
        state.refuse_next = control.refuse_next.unwrap_or(state.refuse_next);
        state.reset_before_answer = control
            .reset_before_answer
            .unwrap_or(state.reset_before_answer);
        if let Some(stall) = control.stall_ms {
            state.stalled_until = Instant::now() + Duration::from_millis(stall);
        }
        drop(state);
        self.record_load();
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Counts the execution; returns its number.
    fn count(&self, request_id: &str, key: Option<&str>) -> u64 {
        let mut state = self.lock();
        if let Some(key) = key {
            *state.keys.entry(key.to_owned()).or_default() += 1;
        }
        let count = state.executions.entry(request_id.to_owned()).or_default();
        *count += 1;
        *count
    }

    async fn work(&self, request: WebRequest) -> WebAnswer {
        if take_one(&mut self.lock().refuse_next) {
            return Ok(refusal());
        }
        let _recorder = LoadRecorder(self.clone());
        let place = self.slots.enter(0);
        self.record_load();
        let _slot = place.await.map_err(|_| DroppedConnection)?;
        self.record_load();
        self.execute(&request).await
    }

    async fn execute(&self, request: &WebRequest) -> WebAnswer {
        let request_id = request.header("x-request-id").unwrap_or("anonymous");
        let key = request.header("idempotency-key");
        let execution = self.count(request_id, key);
        let (fail, reset, leaving, wait) = {
            let mut state = self.lock();
            let reset = take_one(&mut state.reset_before_answer);
            let fail = !reset && take_one(&mut state.fail_next);
            let stall = state
                .stalled_until
                .saturating_duration_since(Instant::now());
            let wait = stall + self.settings.delay.div_f64(state.speed.max(MIN_SPEED));
            (fail, reset, state.leaving, wait)
        };
        if reset {
            return Err(DroppedConnection);
        }
        tokio::time::sleep(wait).await;
        if fail {
            let message = "the service fails as it was told";
            return Ok(error_answer(StatusCode::INTERNAL_SERVER_ERROR, message));
        }
        let value = json!({
            "service": self.settings.name,
            "method": request.method.as_str(),
            "path": request.path,
            "request_id": request_id,
            "idempotency_key": key,
            "execution": execution,
            "body_bytes": request.body.len(),
        });
        let mut answer = json_answer(StatusCode::OK, &value);
        mark_leaving(&mut answer, leaving);
        Ok(answer)
    }
}

/// A 503 answer for a request that is not run.
pub(crate) fn refusal() -> Response<AnswerBody> {
    let mut answer = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not run");
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

/// Adds the header of a leaving server.
pub(crate) fn mark_leaving(answer: &mut Response<AnswerBody>, leaving: bool) {
    if leaving {
        answer
            .headers_mut()
            .insert("x-leaving", HeaderValue::from_static("true"));
    }
}

impl RequestHandler for FakeService {
    async fn handle(&self, request: WebRequest) -> WebAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/load") => Ok(self.load()),
            (&Method::GET, "/executions") => Ok(self.executions()),
            (&Method::GET, "/healthz") => Ok(json_answer(StatusCode::OK, &json!({"ok": true}))),
            (&Method::POST, "/control") => Ok(self.control(&request)),
            _ => self.work(request).await,
        }
    }
}
