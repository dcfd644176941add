//! The plain service: it counts executions and responds after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use hyper::{Method, Response, StatusCode};
use indexmap::IndexMap;
use serde_json::json;

use crate::faults::{
    ExecutionFault, FaultControl, FaultState, add_leaving_header, injected_failure,
    refusal_response,
};
use crate::flags::{count, listen_address, listen_flag, millis, number_flag};
use crate::load::LaggedLoad;
use crate::slots::SlotQueue;
use crate::web::{
    DroppedConnection, HandlerResult, MalformedRequest, RequestHandler, ResponseBody, WebRequest,
    json_response,
};

const NORMAL_SPEED: f64 = 1.0;

/// Settings of one plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the service in its responses.
    pub name: String,
    /// Time that each request takes.
    pub delay: Duration,
    /// Maximum number of requests served concurrently.
    pub slots: usize,
    /// Delay of the load reports.
    pub report_lag: Duration,
}

impl ServiceSettings {
    /// Adds the flags of the service to a command.
    #[must_use]
    pub fn flags(command: Command) -> Command {
        command
            .arg(listen_flag())
            .arg(Arg::new("name").long("name").default_value("service"))
            .arg(number_flag(
                "delay-ms",
                "0",
                "Time that each request takes, in milliseconds",
            ))
            .arg(number_flag(
                "slots",
                "64",
                "Maximum number of requests served concurrently; others wait",
            ))
            .arg(number_flag(
                "report-lag-ms",
                "0",
                "Delay of the load reports, in milliseconds",
            ))
    }

    /// Reads the settings from parsed flags.
    ///
    /// # Panics
    ///
    /// Panics if the matches come from another command.
    #[must_use]
    pub fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            listen: listen_address(matches),
            name: matches.get_one("name").cloned().expect("a default"),
            delay: millis(matches, "delay-ms"),
            slots: count(matches, "slots"),
            report_lag: millis(matches, "report-lag-ms"),
        }
    }
}

/// Numbers of executions by request ID and by idempotency key.
#[derive(Default)]
struct ExecutionCounts {
    requests: IndexMap<String, u64>,
    keys: IndexMap<String, u64>,
}

struct ServiceState {
    settings: ServiceSettings,
    slots: SlotQueue,
    load: LaggedLoad,
    faults: Mutex<FaultState>,
    counts: Mutex<ExecutionCounts>,
}

/// A running plain service.
#[derive(Clone)]
pub struct FakeService {
    state: Arc<ServiceState>,
}

/// Records the load when a request ends, even if its caller disconnected.
///
/// Must be dropped after the slot, or the load would still include it.
struct LoadRecorder(FakeService);

impl Drop for LoadRecorder {
    fn drop(&mut self) {
        self.0.record_load();
    }
}

impl FakeService {
    /// Creates the service.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        let state = ServiceState {
            slots: SlotQueue::new(settings.slots),
            load: LaggedLoad::new(settings.slots, Vec::new(), settings.report_lag),
            faults: Mutex::new(FaultState::new(NORMAL_SPEED, Instant::now())),
            counts: Mutex::default(),
            settings,
        };
        Self {
            state: Arc::new(state),
        }
    }

    fn faults(&self) -> MutexGuard<'_, FaultState> {
        let faults = self.state.faults.lock();
        faults.expect("no holder of the lock panics")
    }

    fn counts(&self) -> MutexGuard<'_, ExecutionCounts> {
        let counts = self.state.counts.lock();
        counts.expect("no holder of the lock panics")
    }

    fn record_load(&self) {
        let leaving = self.faults().is_leaving();
        self.state.load.record(self.state.slots.usage(), 0, leaving);
    }

    fn executions(&self) -> Response<ResponseBody> {
        let max_running = self.state.slots.usage().max_running;
        let counts = self.counts();
        let value = json!({
            "executions": counts.requests,
            "keys": counts.keys,
            "max_running": max_running,
        });
        json_response(StatusCode::OK, &value)
    }

    fn control(&self, request: &WebRequest) -> Response<ResponseBody> {
        let control: FaultControl = match request.json() {
            Ok(control) => control,
            Err(error) => return error.into(),
        };
        if control.requires_tokens() {
            return MalformedRequest("a service gives no tokens".to_owned()).into();
        }
        self.faults().apply(&control, Instant::now());
        self.record_load();
        json_response(StatusCode::OK, &json!({}))
    }

    /// Counts an execution and returns its number among those of the request
    /// ID, starting with 1.
    fn count_execution(&self, request_id: &str, key: Option<&str>) -> u64 {
        let mut counts = self.counts();
        if let Some(key) = key {
            *counts.keys.entry(key.to_owned()).or_default() += 1;
        }
        let count = counts.requests.entry(request_id.to_owned()).or_default();
        *count += 1;
        *count
    }

    async fn serve_request(&self, request: WebRequest) -> HandlerResult {
        if self.faults().consume_refusal() {
            return Ok(refusal_response());
        }
        let recorder = LoadRecorder(self.clone());
        let pending_slot = self.state.slots.enter(0);
        self.record_load();
        let slot = pending_slot.await.map_err(|_| DroppedConnection)?;
        self.record_load();
        let service = self.clone();
        // An execution that has started runs to its end, even if the caller
        // disconnects.
        let execution = tokio::spawn(async move {
            let _recorder = recorder;
            let _slot = slot;
            service.execute(&request).await
        });
        execution.await.unwrap_or(Err(DroppedConnection))
    }

    async fn execute(&self, request: &WebRequest) -> HandlerResult {
        let request_id = request.header("x-request-id").unwrap_or("anonymous");
        let key = request.header("idempotency-key");
        let execution = self.count_execution(request_id, key);
        let fault = self.faults().next_execution_fault();
        if fault == ExecutionFault::ResetBeforeAnswer {
            return Err(DroppedConnection);
        }
        tokio::time::sleep(self.service_time()).await;
        if fault == ExecutionFault::Fail {
            return Ok(injected_failure());
        }
        let value = json!({
            "service": self.state.settings.name,
            "method": request.method.as_str(),
            "path": request.path,
            "request_id": request_id,
            "idempotency_key": key,
            "execution": execution,
            "body_bytes": request.body.len(),
        });
        Ok(json_response(StatusCode::OK, &value))
    }

    fn service_time(&self) -> Duration {
        let faults = self.faults();
        let stall = faults.stalled_until();
        let stall = stall.saturating_duration_since(Instant::now());
        stall + self.state.settings.delay.div_f64(faults.speed())
    }
}

impl RequestHandler for FakeService {
    async fn handle(&self, request: WebRequest) -> HandlerResult {
        let mut response = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.state.load.read()),
            (&Method::GET, "/executions") => self.executions(),
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({"ok": true})),
            (&Method::POST, "/control") => self.control(&request),
            _ => self.serve_request(request).await?,
        };
        add_leaving_header(&mut response, self.faults().is_leaving());
        Ok(response)
    }
}
