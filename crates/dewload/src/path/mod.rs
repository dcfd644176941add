//! Measurement of the latency that a daemon adds to a stream.
//!
//! Rounds of direct and routed streams alternate in one run on one VM, so that
//! both run under the same load. A round opens its streams concurrently.

mod memory;
mod report;

pub(crate) use report::{PathReport, path_text};

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{HttpExchange, PreparedRequest, RequestOutcome, ResponseRecord};
use memory::{MemoryMonitor, ProcessUsage};
use report::{LevelReport, PathLatencies};

const THREAD_STACK_BYTES: usize = 256 << 10;
const START_DELAY: Duration = Duration::from_millis(20);
const SETTLE_TIME: Duration = Duration::from_millis(500);
const CHAT_PATH: &str = "/v1/chat/completions";

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub(crate) struct PathSettings {
    /// Engine that direct streams go to.
    pub(crate) direct: SocketAddr,
    /// Daemon that routed streams go to.
    pub(crate) routed: SocketAddr,
    /// Numbers of concurrent streams to measure.
    pub(crate) streams: Vec<usize>,
    /// Tokens of each stream.
    pub(crate) tokens: u64,
    /// Pairs of a direct and a routed round at each number of streams.
    pub(crate) rounds: usize,
    /// Time over which the starts of a round are spread.
    pub(crate) ramp: Duration,
    /// Time after which a stream is abandoned.
    pub(crate) timeout: Duration,
    /// Process ID of the daemon, to measure its memory and threads.
    pub(crate) pid: Option<u32>,
    /// Model that the requests name.
    pub(crate) model: String,
    /// Value of the class header.
    pub(crate) label: Option<String>,
    /// Value of the workspace header.
    pub(crate) workspace: String,
}

/// Measures each number of concurrent streams in turn.
pub(crate) fn measure_path(settings: &PathSettings) -> io::Result<PathReport> {
    // Read only once, so that the usage of a later level includes memory that an
    // earlier level has left allocated.
    let idle = settings.pid.map(ProcessUsage::read).transpose()?;
    let levels = settings
        .streams
        .iter()
        .map(|streams| measure_level(settings, *streams, idle))
        .collect::<io::Result<Vec<LevelReport>>>()?;
    Ok(PathReport {
        tokens: settings.tokens,
        rounds: settings.rounds,
        levels,
    })
}

fn measure_level(
    settings: &PathSettings,
    streams: usize,
    idle: Option<ProcessUsage>,
) -> io::Result<LevelReport> {
    warm_up(settings, streams)?;
    let mut direct = PathLatencies::default();
    let mut routed = PathLatencies::default();
    let mut memory = settings
        .pid
        .zip(idle)
        .map(|(pid, idle)| MemoryMonitor::new(pid, idle));
    for _ in 0..settings.rounds {
        run_round(settings, settings.direct, streams, &mut direct)?;
        if let Some(memory) = &mut memory {
            memory.begin_round()?;
        }
        run_round(settings, settings.routed, streams, &mut routed)?;
        if let Some(memory) = &mut memory {
            memory.end_round();
        }
        thread::sleep(SETTLE_TIME);
    }
    let memory = memory.map(MemoryMonitor::finish);
    Ok(LevelReport::new(streams, &direct, &routed, memory))
}

/// Runs a pair of rounds without measuring them, because the first streams of a
/// level run with cold threads and buffers.
fn warm_up(settings: &PathSettings, streams: usize) -> io::Result<()> {
    let mut unused = PathLatencies::default();
    run_round(settings, settings.direct, streams, &mut unused)?;
    run_round(settings, settings.routed, streams, &mut unused)?;
    thread::sleep(SETTLE_TIME);
    Ok(())
}

fn run_round(
    settings: &PathSettings,
    address: SocketAddr,
    streams: usize,
    latencies: &mut PathLatencies,
) -> io::Result<()> {
    let started = Instant::now() + START_DELAY;
    let (sender, receiver) = mpsc::channel();
    for index in 0..streams {
        let fraction = index as f64 / streams as f64;
        let due = started + settings.ramp.mul_f64(fraction);
        let timeout = settings.timeout;
        let request = stream_request(settings, address, index);
        let sender = sender.clone();
        thread::Builder::new()
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let started = Instant::now();
                let exchange = HttpExchange { started, timeout };
                // The receiver outlives all senders.
                let _ = sender.send(exchange.run(&request));
            })?;
    }
    drop(sender);
    let records: Vec<ResponseRecord> = receiver.iter().collect();
    records.iter().for_each(|record| latencies.record(record));
    let is_failed = |record: &&ResponseRecord| record.outcome != RequestOutcome::Completed;
    if let Some(failed) = records.iter().find(is_failed) {
        eprintln!(
            "dewload: a stream to {address} failed: {:?}",
            failed.outcome
        );
    }
    Ok(())
}

fn stream_request(settings: &PathSettings, address: SocketAddr, index: usize) -> PreparedRequest {
    let mut headers = vec![
        ("content-type", "application/json".to_owned()),
        ("x-workspace", settings.workspace.clone()),
        ("x-answer-tokens", settings.tokens.to_string()),
    ];
    headers.extend(
        settings
            .label
            .clone()
            .map(|label| ("x-request-class", label)),
    );
    let body = json!({
        "model": settings.model,
        "stream": true,
        "max_tokens": settings.tokens,
        "messages": [{"role": "user", "content": format!("stream {index}")}],
    });
    PreparedRequest {
        address,
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        headers,
        body: body.to_string(),
        is_model: true,
        answer_tokens: Some(settings.tokens),
        key: None,
    }
}
