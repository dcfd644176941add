//! Callers that keep a fleet under load, and readers of the fleet's status.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oxhttp::model::Method;
use serde_json::Value;
use standins::process::{RunningProcess, get_json, send_json};

use super::{CallResponse, ChatCall, SECRET, TestDaemon, TestFleet, admin_json, send, wait_until};

/// Delay before the next request of a caller that got no response of status 200.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callers that each send requests back to back until they are stopped.
pub struct CallerGroup {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<std::io::Result<CallResponse>>>>,
}

impl CallerGroup {
    /// Starts callers that all send the same kind of request.
    pub fn spawn(call: &ChatCall, count: usize) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..count)
            .map(|_| {
                let (call, stopped) = (call.clone(), Arc::clone(&stopped));
                thread::spawn(move || call_until(&call, &stopped))
            })
            .collect();
        Self { stopped, callers }
    }

    /// Stops the callers once their current requests have completed.
    ///
    /// Returns the result of every request, with an error for each that got no
    /// response.
    pub fn stop(self) -> Vec<std::io::Result<CallResponse>> {
        self.stopped.store(true, Ordering::Relaxed);
        let ended = self.callers.into_iter().map(JoinHandle::join);
        ended
            .flat_map(|responses| responses.expect("the caller ends"))
            .collect()
    }

    /// Stops the callers and checks that every request got its complete stream.
    ///
    /// # Panics
    ///
    /// Panics if a request failed or its response isn't the expected stream.
    pub fn stop_and_check(self, tokens: usize) -> Vec<CallResponse> {
        let responses = self.stop().into_iter();
        let responses: Vec<_> = responses
            .map(|response| response.expect("the entry responds"))
            .collect();
        for response in &responses {
            assert!(response.is_expected_stream(tokens), "{response:?}");
        }
        responses
    }
}

fn call_until(call: &ChatCall, stopped: &AtomicBool) -> Vec<std::io::Result<CallResponse>> {
    let mut responses = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let response = send(call.request());
        if !response
            .as_ref()
            .is_ok_and(|response| response.status == 200)
        {
            thread::sleep(RETRY_DELAY);
        }
        responses.push(response);
    }
    responses
}

impl TestFleet {
    /// Waits until all daemons agree on the broker of a pool and returns its
    /// index.
    pub fn broker_of(&self, pool: &str) -> usize {
        let mut agreed = String::new();
        wait_until("all daemons agree on the broker", || {
            let brokers: BTreeSet<String> = self
                .daemons
                .iter()
                .map(|daemon| string_or_empty(&pool_status(daemon, pool)["broker"]))
                .collect();
            agreed = brokers.first().cloned().unwrap_or_default();
            // A daemon that hasn't received the broker's state reports no broker.
            brokers.len() == 1 && !agreed.is_empty()
        });
        let number = agreed.strip_prefix("vm-").expect("a VM of the fleet");
        number.parse::<usize>().expect("a number") - 1
    }
}

fn string_or_empty(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the status of the daemon at an admin address, or `None` if the
/// request fails.
pub fn try_status(admin: SocketAddr) -> Option<Value> {
    let token = format!("Bearer {SECRET}");
    let headers = [("authorization", token.as_str())];
    let response = send_json(Method::GET, admin, "/v1/status", &headers, None).ok()?;
    (response.status == 200).then_some(response.body)
}

/// Returns a pool's entry in a daemon's status, or null if the pool isn't listed.
pub fn pool_status(daemon: &TestDaemon, pool: &str) -> Value {
    let status = admin_json(daemon, "/v1/status").body;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let found = pools.into_iter().find(|status| status["pool"] == pool);
    found.unwrap_or(Value::Null)
}

/// Returns a numeric field of a pool's status, or 0 if it is missing.
pub fn pool_number(daemon: &TestDaemon, pool: &str, key: &str) -> u64 {
    pool_status(daemon, pool)[key].as_u64().unwrap_or(0)
}

/// Returns the number of requests started, summed over the engines.
pub fn started_executions(engines: &[SocketAddr]) -> usize {
    let counts = engines.iter().map(|&engine| {
        let response = get_json(engine, "/executions").expect("the engine responds");
        let executions = &response.body["executions"];
        executions.as_object().map_or(0, serde_json::Map::len)
    });
    counts.sum()
}

/// Returns the addresses of running processes.
pub fn addresses(processes: &[RunningProcess]) -> Vec<SocketAddr> {
    processes.iter().map(RunningProcess::address).collect()
}
