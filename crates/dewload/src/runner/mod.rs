//! The run of a workload: requests go out at their planned times, whatever
//! the answers do.
//!
//! Each request in flight has a thread. When as many are in flight as the
//! workload allows, later ones start late; their times still count from the
//! planned one.

mod faults;
mod flights;
mod servers;
#[cfg(test)]
mod tests;

pub(crate) use servers::{ServerCounts, read_counts};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{AnswerRecord, HttpExchange, SentRequest, request_body, request_headers};
use crate::plan::PlannedRequest;
use crate::target::NamedServer;
use crate::workload::WorkloadSpec;
use faults::spawn_faults;
use flights::FlightLimit;

const THREAD_STACK_BYTES: usize = 256 << 10;
const START_DELAY: Duration = Duration::from_millis(50);

/// One request with what came of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinishedRequest {
    pub(crate) planned: PlannedRequest,
    pub(crate) answer: AnswerRecord,
    /// Time by which it started later than planned.
    pub(crate) delay: Duration,
}

/// All requests of a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinishedRun {
    pub(crate) requests: Vec<FinishedRequest>,
    /// Time from the start to the last answer.
    pub(crate) elapsed: Duration,
    /// Orders of faults that failed.
    pub(crate) failed_faults: Vec<String>,
}

/// Sends all planned requests and waits for their ends.
pub(crate) fn run_workload(
    workload: &WorkloadSpec,
    plan: Vec<PlannedRequest>,
    targets: &[SocketAddr],
    servers: &[NamedServer],
) -> io::Result<FinishedRun> {
    let started = Instant::now() + START_DELAY;
    let faults = spawn_faults(&workload.faults, servers, started)?;
    let limit = Arc::new(FlightLimit::new(workload.max_in_flight));
    let timeout = Duration::from_secs_f64(workload.timeout_seconds);
    let (sender, receiver) = mpsc::channel();
    for planned in plan {
        let due = started + planned.at;
        let request = prepare(workload, &planned, targets);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let flight = FlightLimit::enter(&limit);
        let sender = sender.clone();
        thread::Builder::new()
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || {
                let finished = send(planned, &request, due, timeout);
                drop(flight);
                // The receiver lives until all senders are gone.
                let _ = sender.send(finished);
            })?;
    }
    drop(sender);
    let requests: Vec<FinishedRequest> = receiver.iter().collect();
    let elapsed = started.elapsed();
    let failed_faults = faults.join().expect("the fault thread does not panic");
    Ok(FinishedRun {
        requests: in_order(requests),
        elapsed,
        failed_faults,
    })
}

fn prepare(
    workload: &WorkloadSpec,
    planned: &PlannedRequest,
    targets: &[SocketAddr],
) -> SentRequest {
    let class = &workload.classes[planned.class];
    SentRequest {
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
    request: &SentRequest,
    due: Instant,
    timeout: Duration,
) -> FinishedRequest {
    let delay = due.elapsed();
    let exchange = HttpExchange {
        started: due,
        timeout,
    };
    FinishedRequest {
        planned,
        answer: exchange.run(request),
        delay,
    }
}

fn in_order(mut requests: Vec<FinishedRequest>) -> Vec<FinishedRequest> {
    requests.sort_by_key(|request| request.planned.sequence);
    requests
}
