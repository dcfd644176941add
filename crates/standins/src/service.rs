//! The plain service: it counts executions and answers after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use hyper::{Method, Response, StatusCode};
use indexmap::IndexMap;
use serde_json::json;

use crate::faults::{FaultOrder, FaultPlan, RunFault, mark_leaving, ordered_failure, refusal};
use crate::flags::{count, listen_address, listen_flag, millis, number_flag};
use crate::load::LoadLog;
use crate::slots::SlotQueue;
use crate::web::{
    AnswerBody, DroppedConnection, MalformedRequest, RequestHandler, WebAnswer, WebRequest,
    json_answer,
};

const NORMAL_SPEED: f64 = 1.0;

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
        command
            .arg(listen_flag())
            .arg(Arg::new("name").long("name").default_value("service"))
            .arg(number_flag("delay-ms", "0", "Time that each request takes"))
            .arg(number_flag(
                "slots",
                "64",
                "Requests served at once; others wait",
            ))
            .arg(number_flag("report-lag-ms", "0", "Age of the load reports"))
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

/// Executions by request and by key.
#[derive(Default)]
struct ExecutionCounts {
    requests: IndexMap<String, u64>,
    keys: IndexMap<String, u64>,
}

struct ServiceState {
    settings: ServiceSettings,
    slots: SlotQueue,
    loads: LoadLog,
    faults: Mutex<FaultPlan>,
    counts: Mutex<ExecutionCounts>,
}

/// A running plain service.
#[derive(Clone)]
pub struct FakeService {
    state: Arc<ServiceState>,
}

/// Records the load when a request ends, also when its caller went away; it
/// must be dropped after the slot.
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
            loads: LoadLog::new(settings.slots, Vec::new(), settings.report_lag),
            faults: Mutex::new(FaultPlan::new(NORMAL_SPEED, Instant::now())),
            counts: Mutex::default(),
            settings,
        };
        Self {
            state: Arc::new(state),
        }
    }

    fn faults(&self) -> MutexGuard<'_, FaultPlan> {
        let faults = self.state.faults.lock();
        faults.expect("no holder of the lock panics")
    }

    fn counts(&self) -> MutexGuard<'_, ExecutionCounts> {
        let counts = self.state.counts.lock();
        counts.expect("no holder of the lock panics")
    }

    fn record_load(&self) {
        let leaving = self.faults().is_leaving();
        self.state
            .loads
            .record(self.state.slots.usage(), 0, leaving);
    }

    fn executions(&self) -> Response<AnswerBody> {
        let max_running = self.state.slots.usage().max_running;
        let counts = self.counts();
        let value = json!({
            "executions": counts.requests,
            "keys": counts.keys,
            "max_running": max_running,
        });
        json_answer(StatusCode::OK, &value)
    }

    fn control(&self, request: &WebRequest) -> Response<AnswerBody> {
        let order: FaultOrder = match request.json() {
            Ok(order) => order,
            Err(error) => return error.into(),
        };
        if order.is_about_tokens() {
            return MalformedRequest("a service gives no tokens".to_owned()).into();
        }
        self.faults().apply(&order, Instant::now());
        self.record_load();
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Counts the execution; returns its number.
    fn count(&self, request_id: &str, key: Option<&str>) -> u64 {
        let mut counts = self.counts();
        if let Some(key) = key {
            *counts.keys.entry(key.to_owned()).or_default() += 1;
        }
        let count = counts.requests.entry(request_id.to_owned()).or_default();
        *count += 1;
        *count
    }

    async fn work(&self, request: WebRequest) -> WebAnswer {
        if self.faults().take_refusal() {
            return Ok(refusal());
        }
        let recorder = LoadRecorder(self.clone());
        let place = self.state.slots.enter(0);
        self.record_load();
        let slot = place.await.map_err(|_| DroppedConnection)?;
        self.record_load();
        let service = self.clone();
        // What has begun is finished, also when the caller goes away.
        let work = tokio::spawn(async move {
            let _recorder = recorder;
            let _slot = slot;
            service.execute(&request).await
        });
        work.await.unwrap_or(Err(DroppedConnection))
    }

    async fn execute(&self, request: &WebRequest) -> WebAnswer {
        let request_id = request.header("x-request-id").unwrap_or("anonymous");
        let key = request.header("idempotency-key");
        let execution = self.count(request_id, key);
        let fault = self.faults().take_run_fault();
        if fault == RunFault::ResetBeforeAnswer {
            return Err(DroppedConnection);
        }
        tokio::time::sleep(self.service_time()).await;
        if fault == RunFault::Fail {
            return Ok(ordered_failure());
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
        Ok(json_answer(StatusCode::OK, &value))
    }

    fn service_time(&self) -> Duration {
        let faults = self.faults();
        let stall = faults.stalled_until();
        let stall = stall.saturating_duration_since(Instant::now());
        stall + self.state.settings.delay.div_f64(faults.speed())
    }
}

impl RequestHandler for FakeService {
    async fn handle(&self, request: WebRequest) -> WebAnswer {
        let mut answer = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/load") => json_answer(StatusCode::OK, &self.state.loads.read()),
            (&Method::GET, "/executions") => self.executions(),
            (&Method::GET, "/healthz") => json_answer(StatusCode::OK, &json!({"ok": true})),
            (&Method::POST, "/control") => self.control(&request),
            _ => self.work(request).await?,
        };
        mark_leaving(&mut answer, self.faults().is_leaving());
        Ok(answer)
    }
}
