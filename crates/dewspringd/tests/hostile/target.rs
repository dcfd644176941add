//! The fleet under test, its limits, and the sending of batches of input.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use standins::process::get_json;

use crate::common::{self, ChatCall, FleetPlan, TestFleet, resident_bytes, wait_until};
use crate::raw_http::{RawResponse, SendEnd, parse_responses, send_raw};
use crate::requests::number_in;

pub const DEFAULT_BATCHES: u64 = 10;
pub const DEFAULT_SEED: u64 = 20_261_204;
pub const BATCH_SIZE: usize = 24;

/// Timeout of header and body in the daemon under test.
pub const INPUT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which the daemon closes the connection of a slow sender.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
pub const MAX_CONNECTIONS: u64 = 64;
pub const MAX_BODY_BYTES: u64 = 64 * 1024;
pub const MAX_HEADER_BYTES: u64 = 32 * 1024;

/// Length from which a header is refused however its bytes are split: the entry
/// compares its buffer with the limit only after each read.
pub const MIN_REFUSED_HEADER_BYTES: usize = 2 * MAX_HEADER_BYTES as usize;

pub const DECISION_CAPACITY: u64 = 10_000;

/// Largest memory of the recorded decisions about one request, in bytes.
pub const MAX_DECISION_BYTES: u64 = 1024;

/// Largest number of copies of a request in memory while it is read and parsed.
pub const MAX_REQUEST_COPIES: u64 = 4;

/// Largest growth of resident memory by requests in progress, in bytes: every
/// connection holds [`MAX_REQUEST_COPIES`] of a request of the largest size.
pub const MAX_CONNECTION_GROWTH: u64 =
    MAX_CONNECTIONS * MAX_REQUEST_COPIES * (MAX_HEADER_BYTES + MAX_BODY_BYTES);

/// The daemon under test, with the servers behind it and its memory limit.
#[derive(Debug)]
pub struct TestTarget {
    pub entry: SocketAddr,
    pub admin: SocketAddr,
    servers: Vec<SocketAddr>,
    pid: u32,
    memory_bound: u64,
}

impl TestTarget {
    /// Waits until the first daemon serves, and allows its resident memory to
    /// grow by `growth` bytes from then on.
    pub fn new(fleet: &TestFleet, growth: u64) -> Self {
        let daemon = &fleet.daemons[0];
        let servers = fleet.engines.iter().chain(&fleet.services);
        let target = Self {
            entry: daemon.entry,
            admin: daemon.admin,
            servers: servers.map(|server| server.address()).collect(),
            pid: daemon.process.pid(),
            memory_bound: 0,
        };
        wait_until("the daemon serves a valid request", || {
            target.check_serving().is_ok()
        });
        Self {
            memory_bound: resident_bytes(target.pid) + growth,
            ..target
        }
    }

    /// Checks that a valid request is served.
    pub fn check_serving(&self) -> Result<(), String> {
        let response = ChatCall::new(self.entry, 2).send();
        if response.is_expected_stream(2) {
            Ok(())
        } else {
            Err(format!("a valid request is not served: {response:?}"))
        }
    }

    /// Checks that the daemon's resident memory is within its limit.
    pub fn check_memory(&self) -> Result<(), String> {
        let resident = resident_bytes(self.pid);
        if resident <= self.memory_bound {
            return Ok(());
        }
        let bound = self.memory_bound;
        Err(format!(
            "{resident} bytes resident, above the limit of {bound}"
        ))
    }

    /// Returns the execution count of each request at each server.
    pub fn executions(&self) -> Vec<(String, u64)> {
        let mut counts = Vec::new();
        for server in &self.servers {
            let response = get_json(*server, "/executions").expect("the server responds");
            let executions = response.body["executions"].as_object().cloned();
            let executions = executions.unwrap_or_default().into_iter();
            counts.extend(executions.map(|(id, count)| (id, count.as_u64().unwrap_or(0))));
        }
        counts
    }

    /// Returns the number of executions, summed over all requests and servers.
    pub fn total_executions(&self) -> u64 {
        self.executions().iter().map(|(_, count)| count).sum()
    }
}

/// Starts a fleet of one daemon with short timeouts and low limits.
pub fn limited_fleet(input_timeout: Duration, connections: u64) -> TestFleet {
    let timeout = format!("{}ms", input_timeout.as_millis());
    let limit = format!("max_body_bytes = {MAX_BODY_BYTES}\ntier =");
    TestFleet::start(FleetPlan {
        daemons: 1,
        engines: 1,
        daemon_flags: vec![
            format!("--header-timeout={timeout}"),
            format!("--body-timeout={timeout}"),
            format!("--max-connections={connections}"),
            format!("--decision-capacity={DECISION_CAPACITY}"),
        ],
        // Symbolizing a backtrace for the log takes more memory than all requests.
        daemon_environment: vec![("RUST_BACKTRACE".into(), "0".into())],
        routes: common::DEFAULT_ROUTES.replace("tier =", &limit),
        ..FleetPlan::default()
    })
}

/// Returns a whole number from an environment variable, or a default if it is
/// unset.
pub fn env_u64(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a whole number"))
}

/// Checks a property over generated batches and prints their number and seed.
pub fn check_property<T: Arbitrary + Debug>(name: &str, property: fn(T) -> TestResult) {
    let batches = env_u64("DEWSPRING_HOSTILE_BATCHES", DEFAULT_BATCHES);
    let seed = env_u64("DEWSPRING_HOSTILE_SEED", DEFAULT_SEED);
    println!("{name}: {batches} batches of up to {BATCH_SIZE}, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(BATCH_SIZE, seed))
        .tests(batches)
        .quickcheck(property);
}

pub fn to_test_result(outcome: Result<(), String>) -> TestResult {
    outcome.map_or_else(TestResult::error, |()| TestResult::passed())
}

/// Inputs that are sent concurrently.
#[derive(Clone, Debug)]
pub struct InputBatch<T>(pub Vec<T>);

impl<T: Arbitrary> Arbitrary for InputBatch<T> {
    fn arbitrary(source: &mut Gen) -> Self {
        let size = number_in(source, BATCH_SIZE / 2, BATCH_SIZE);
        Self((0..size).map(|_| T::arbitrary(source)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

/// Sends inputs concurrently, each on its own connection, and returns the
/// responses to each.
pub fn send_batch(
    address: SocketAddr,
    inputs: &[Vec<u8>],
) -> Result<Vec<Vec<RawResponse>>, String> {
    thread::scope(|scope| {
        let calls: Vec<_> = inputs
            .iter()
            .map(|input| scope.spawn(move || send_and_read(address, input)))
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("the sender ends"))
            .collect()
    })
}

/// Sends one input and returns the responses once the daemon has closed the
/// connection.
///
/// # Errors
///
/// Fails if the connection is still open after [`CLOSE_TIMEOUT`], or if the
/// daemon's bytes aren't valid HTTP.
pub fn send_and_read(address: SocketAddr, input: &[u8]) -> Result<Vec<RawResponse>, String> {
    let transcript = send_raw(address, input, SendEnd::KeepOpen, CLOSE_TIMEOUT);
    if !transcript.is_closed {
        return Err(format!(
            "the connection is open after {:?}",
            transcript.elapsed
        ));
    }
    let is_head = input.windows(4).any(|bytes| bytes == b"HEAD");
    parse_responses(&transcript.bytes, is_head)
}
