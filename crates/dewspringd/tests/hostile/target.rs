//! The fleet that the bad input meets, its limits, and how batches are sent.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use standins::process::get_json;

use crate::common::{self, ChatCall, FleetPlan, TestFleet, resident_bytes, wait_until};
use crate::raw_http::{RawAnswer, SendEnd, read_answers, send_raw};
use crate::requests::number_in;

pub const DEFAULT_BATCHES: u64 = 10;
pub const DEFAULT_SEED: u64 = 20_261_204;
pub const BATCH_SIZE: usize = 24;

pub const INPUT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest life of a connection whose sender is slow in header and body.
pub const CLOSE_LIMIT: Duration = Duration::from_secs(4);
pub const MAX_CONNECTIONS: u64 = 64;
pub const MAX_BODY_BYTES: u64 = 64 * 1024;
pub const MAX_HEADER_BYTES: u64 = 32 * 1024;

/// Length from which a header is refused, however its bytes arrive: the entry
/// compares the limit with what it holds after a read.
pub const SURELY_LARGE_HEADER: usize = 2 * MAX_HEADER_BYTES as usize;

pub const DECISION_CAPACITY: u64 = 10_000;

/// Most memory that the decisions about one request may take, in bytes.
pub const DECISION_BYTES: u64 = 1024;

/// Copies of a request that may be held while it is read and parsed.
pub const REQUEST_COPIES: u64 = 4;

/// Growth of resident memory that the daemon's limits allow, in bytes: each
/// connection with a few copies of a full request.
pub const CONNECTION_GROWTH: u64 =
    MAX_CONNECTIONS * REQUEST_COPIES * (MAX_HEADER_BYTES + MAX_BODY_BYTES);

/// What a property needs of the running fleet.
#[derive(Debug)]
pub struct HostileTarget {
    pub entry: SocketAddr,
    pub admin: SocketAddr,
    servers: Vec<SocketAddr>,
    pid: u32,
    memory_bound: u64,
}

impl HostileTarget {
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
        wait_until("the daemon is well at first", || {
            target.check_alive().is_ok()
        });
        Self {
            memory_bound: resident_bytes(target.pid) + growth,
            ..target
        }
    }

    /// Checks that a good request is served.
    pub fn check_alive(&self) -> Result<(), String> {
        let answer = ChatCall::new(self.entry, 2).send();
        if answer.is_expected_stream(2) {
            Ok(())
        } else {
            Err(format!("a good request is not served: {answer:?}"))
        }
    }

    pub fn check_memory(&self) -> Result<(), String> {
        let resident = resident_bytes(self.pid);
        if resident <= self.memory_bound {
            return Ok(());
        }
        let bound = self.memory_bound;
        Err(format!("{resident} bytes are resident, above {bound}"))
    }

    /// Returns how often each request ran, over all servers.
    pub fn executions(&self) -> Vec<(String, u64)> {
        let mut counts = Vec::new();
        for server in &self.servers {
            let answer = get_json(*server, "/executions").expect("the server answers");
            let executions = answer.body["executions"].as_object().cloned();
            let executions = executions.unwrap_or_default().into_iter();
            counts.extend(executions.map(|(id, count)| (id, count.as_u64().unwrap_or(0))));
        }
        counts
    }

    pub fn executed(&self) -> u64 {
        self.executions().iter().map(|(_, count)| count).sum()
    }
}

/// Starts a fleet of one daemon with tight limits.
pub fn hostile_fleet(input_timeout: Duration, connections: u64) -> TestFleet {
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
        // A backtrace in the log takes more memory than all requests.
        daemon_environment: vec![("RUST_BACKTRACE".into(), "0".into())],
        routes: common::DEFAULT_ROUTES.replace("tier =", &limit),
        ..FleetPlan::default()
    })
}

pub fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a whole number"))
}

/// Runs a property with the seed and count of the run, which are printed.
pub fn check_property<T: Arbitrary + Debug>(name: &str, property: fn(T) -> TestResult) {
    let batches = setting("DEWSPRING_HOSTILE_BATCHES", DEFAULT_BATCHES);
    let seed = setting("DEWSPRING_HOSTILE_SEED", DEFAULT_SEED);
    println!("{name}: {batches} batches of up to {BATCH_SIZE}, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(BATCH_SIZE, seed))
        .tests(batches)
        .quickcheck(property);
}

pub fn to_result(outcome: Result<(), String>) -> TestResult {
    outcome.map_or_else(TestResult::error, |()| TestResult::passed())
}

/// Requests that are sent at the same time.
#[derive(Clone, Debug)]
pub struct HostileBatch<T>(pub Vec<T>);

impl<T: Arbitrary> Arbitrary for HostileBatch<T> {
    fn arbitrary(source: &mut Gen) -> Self {
        let size = number_in(source, BATCH_SIZE / 2, BATCH_SIZE);
        Self((0..size).map(|_| T::arbitrary(source)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

/// Sends requests at the same time and reads all answers.
pub fn send_batch(address: SocketAddr, inputs: &[Vec<u8>]) -> Result<Vec<Vec<RawAnswer>>, String> {
    thread::scope(|scope| {
        let calls: Vec<_> = inputs
            .iter()
            .map(|input| scope.spawn(move || send_one(address, input)))
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("the sender ends"))
            .collect()
    })
}

pub fn send_one(address: SocketAddr, input: &[u8]) -> Result<Vec<RawAnswer>, String> {
    let transcript = send_raw(address, input, SendEnd::Silence, CLOSE_LIMIT);
    if !transcript.is_closed {
        return Err(format!("open after {:?}", transcript.elapsed));
    }
    let is_head = input.windows(4).any(|bytes| bytes == b"HEAD");
    read_answers(&transcript.bytes, is_head)
}
