//! The open-loop run of a workload: requests are sent at their planned times,
//! independently of the responses.
//!
//! Each request in flight has a thread. At the workload's limit on requests in
//! flight, further ones start late; their latencies still count from the
//! planned time.

mod faults;
mod in_flight;
mod servers;
#[cfg(test)]
mod tests;

pub(crate) use servers::{ServerCounts, read_counts};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{HttpExchange, PreparedRequest, ResponseRecord, request_body, request_headers};
use crate::plan::PlannedRequest;
use crate::target::NamedServer;
use crate::workload::WorkloadSpec;
use faults::spawn_faults;
use in_flight::InFlightLimit;

const THREAD_STACK_BYTES: usize = 256 << 10;
const START_DELAY: Duration = Duration::from_millis(50);

/// One request with its result.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinishedRequest {
    pub(crate) planned: PlannedRequest,
    pub(crate) response: ResponseRecord,
    /// Time from the planned to the actual start.
    pub(crate) lateness: Duration,
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinishedRun {
    pub(crate) requests: Vec<FinishedRequest>,
    /// Time from the start to the end of the last request.
    pub(crate) elapsed: Duration,
    /// Servers, times and errors of the faults that failed.
    pub(crate) failed_faults: Vec<String>,
}

/// Sends all planned requests and waits until they have ended.
pub(crate) fn run_workload(
    workload: &WorkloadSpec,
    plan: Vec<PlannedRequest>,
    targets: &[SocketAddr],
    servers: &[NamedServer],
) -> io::Result<FinishedRun> {
    let started = Instant::now() + START_DELAY;
    let faults = spawn_faults(&workload.faults, servers, started)?;
    let limit = Arc::new(InFlightLimit::new(workload.max_in_flight));
    let timeout = Duration::from_secs_f64(workload.timeout_seconds);
    let (sender, receiver) = mpsc::channel();
    for planned in plan {
        let due = started + planned.at;
        let request = prepare(workload, &planned, targets);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let guard = InFlightLimit::acquire(&limit);
        let sender = sender.clone();
        thread::Builder::new()
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || {
                let finished = send(planned, &request, due, timeout);
                drop(guard);
                // The receiver outlives all senders.
                let _ = sender.send(finished);
            })?;
    }
    drop(sender);
    let requests: Vec<FinishedRequest> = receiver.iter().collect();
    let elapsed = started.elapsed();
    let failed_faults = faults.join().expect("the fault thread does not panic");
    Ok(FinishedRun {
        requests: sort_by_sequence(requests),
        elapsed,
        failed_faults,
    })
}

fn prepare(
    workload: &WorkloadSpec,
    planned: &PlannedRequest,
    targets: &[SocketAddr],
) -> PreparedRequest {
    let class = &workload.classes[planned.class];
    PreparedRequest {
        address: targets[planned.target],
        method: class.method.clone(),
        path: class.path.clone(),
        headers: request_headers(class, planned),
        body: request_body(class, planned),
        is_model: class.is_model(),
        answer_tokens: planned.answer_tokens,
        key: planned.key.clone(),
    }
}

fn send(
    planned: PlannedRequest,
    request: &PreparedRequest,
    due: Instant,
    timeout: Duration,
) -> FinishedRequest {
    let lateness = due.elapsed();
    let exchange = HttpExchange {
        started: due,
        timeout,
    };
    FinishedRequest {
        planned,
        response: exchange.run(request),
        lateness,
    }
}

fn sort_by_sequence(mut requests: Vec<FinishedRequest>) -> Vec<FinishedRequest> {
    requests.sort_by_key(|request| request.planned.sequence);
    requests
}
