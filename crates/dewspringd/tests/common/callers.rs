//! Callers that keep a fleet busy, and what the fleet shows of itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oxhttp::model::Method;
use serde_json::Value;
use standins::process::{RunningProcess, get_json, send_json};

use super::{CallAnswer, ChatCall, SECRET, TestDaemon, TestFleet, admin_json, send, wait_until};

/// Pause of a caller that was refused or found no entry.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Callers that each send one request after the other until they are stopped.
pub struct CallerGroup {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<std::io::Result<CallAnswer>>>>,
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

    /// Stops the callers after their present requests.
    ///
    /// Returns every answer, and an error for each request without one.
    pub fn stop(self) -> Vec<std::io::Result<CallAnswer>> {
        self.stopped.store(true, Ordering::Relaxed);
        let ended = self.callers.into_iter().map(JoinHandle::join);
        ended
            .flat_map(|answers| answers.expect("the caller ends"))
            .collect()
    }

    /// Stops the callers and checks that each answer is whole.
    pub fn stop_whole(self, tokens: usize) -> Vec<CallAnswer> {
        let answers = self.stop().into_iter();
        let answers: Vec<_> = answers
            .map(|answer| answer.expect("the entry answers"))
            .collect();
        for answer in &answers {
            assert!(answer.is_own_stream(tokens), "{answer:?}");
        }
        answers
    }
}

fn call_until(call: &ChatCall, stopped: &AtomicBool) -> Vec<std::io::Result<CallAnswer>> {
    let mut answers = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let answer = send(call.request());
        if !answer.as_ref().is_ok_and(|answer| answer.status == 200) {
            thread::sleep(REFUSED_PAUSE);
        }
        answers.push(answer);
    }
    answers
}

impl TestFleet {
    /// Returns the index of the daemon that is the broker of a pool, once all
    /// daemons agree.
    pub fn broker_of(&self, pool: &str) -> usize {
        let mut agreed = String::new();
        wait_until("all daemons agree on the broker", || {
            let brokers: BTreeSet<String> = self
                .daemons
                .iter()
                .map(|daemon| text_of(&pool_status(daemon, pool)["broker"]))
                .collect();
            agreed = brokers.first().cloned().unwrap_or_default();
            // A daemon whose broker hasn't shown its state yet names none.
            brokers.len() == 1 && !agreed.is_empty()
        });
        let number = agreed.strip_prefix("vm-").expect("a VM of the fleet");
        number.parse::<usize>().expect("a number") - 1
    }
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the status of the daemon at an admin address; `None` if it gives
/// none.
pub fn try_status(admin: SocketAddr) -> Option<Value> {
    let token = format!("Bearer {SECRET}");
    let headers = [("authorization", token.as_str())];
    let answer = send_json(Method::GET, admin, "/v1/status", &headers, None).ok()?;
    (answer.status == 200).then_some(answer.body)
}

/// Returns a pool as a daemon sees it; null if it doesn't list the pool.
pub fn pool_status(daemon: &TestDaemon, pool: &str) -> Value {
    let status = admin_json(daemon, "/v1/status").body;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let found = pools.into_iter().find(|status| status["pool"] == pool);
    found.unwrap_or(Value::Null)
}

/// Returns a number of a pool's status; 0 if the daemon doesn't list the pool.
pub fn pool_count(daemon: &TestDaemon, pool: &str, key: &str) -> u64 {
    pool_status(daemon, pool)[key].as_u64().unwrap_or(0)
}

/// Returns the number of requests that engines have begun to run.
pub fn begun(engines: &[SocketAddr]) -> usize {
    let counts = engines.iter().map(|&engine| {
        let answer = get_json(engine, "/executions").expect("the engine answers");
        let executions = &answer.body["executions"];
        executions.as_object().map_or(0, serde_json::Map::len)
    });
    counts.sum()
}

/// Returns the addresses of running processes.
pub fn addresses(processes: &[RunningProcess]) -> Vec<SocketAddr> {
    processes.iter().map(RunningProcess::address).collect()
}
