//! Benchmarks of the broker: time per request, and memory per request and per
//! server.
//!
//! Each iteration requests a grant and releases the oldest one, so it enqueues,
//! chooses, grants and releases once. Simulated time advances by 100
//! microseconds per iteration, so the measurement includes the periodic reviews
//! of servers and queue.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use dewspring::broker::{
    AttemptOutcome, BrokerHandle, BrokerSettings, BrokerState, GrantDecision, GrantRelease,
    GrantRequest,
};
use dewspring::ids::GrantId;
use dewspring::tables::{FleetConfig, PoolKind, PoolRow, PoolTable, RouteTable, ServerRow};

/// Numbers of servers (replicas) in the pool.
const REPLICAS: [u32; 4] = [6, 60, 600, 4_800];
/// Numbers of queued requests.
const QUEUED: [u64; 3] = [0, 100, 10_000];
/// Slots of each server.
const SLOTS: u32 = 4;
/// Boot of the broker.
const BOOT: u64 = 7;
/// Grant requests that are sent together through a handle.
const HANDLE_BATCH: u64 = 64;
/// Simulated time between iterations.
const STEP: Duration = Duration::from_micros(100);
/// Simulated time between reviews.
const REVIEW_STEP: Duration = Duration::from_millis(500);
/// Number of requests, and of servers, in the memory measurement.
const MEMORY_COUNT: u32 = 50_000;

fn config(replicas: u32) -> FleetConfig {
    let server = |index: u32| ServerRow {
        name: format!("server-{index}"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "centre".into(),
        slots: SLOTS,
        drain: false,
    };
    let pool = PoolRow {
        name: "pool".into(),
        kind: PoolKind::Engine,
        model: None,
        servers: (0..replicas).map(server).collect(),
        honours_priority: false,
        can_resume: false,
        checks_fencing: false,
        refusal_means_not_run: true,
        retry_percent: 10,
    };
    FleetConfig {
        revision: 1,
        change_id: String::new(),
        routes: RouteTable::default(),
        pools: PoolTable {
            rows: [("pool".into(), pool)].into_iter().collect(),
        },
    }
}

/// Returns a request from a mix of five tiers, ten workspaces and a hundred
/// prefixes. The targets are so far ahead that none is refused.
fn request(number: u64) -> GrantRequest {
    GrantRequest {
        request: format!("entry-1/{number}"),
        entry: "entry-1".into(),
        entry_boot: 1,
        pool: "pool".into(),
        class: format!("class-{}", number % 5),
        tier: (number % 5) as u8,
        workspace: format!("workspace-{}", number % 10),
        waited: Duration::ZERO,
        target_left: Duration::from_secs(30_000 + number % 20),
        timeout_left: Duration::from_secs(36_000),
        late_is_useful: number.is_multiple_of(3),
        floor_percent: 5,
        prompt_tokens: 500 + number % 1_000,
        max_tokens: None,
        prefix: Some(number % 100),
        excluded: Vec::new(),
        fingerprint: 0,
    }
}

/// Returns the release of a grant whose attempt completed.
fn release(grant: GrantId) -> GrantRelease {
    GrantRelease {
        grant,
        boot: BOOT,
        outcome: AttemptOutcome::Completed,
        tokens: 50 + grant % 200,
        first_token: Some(Duration::from_millis(100 + grant % 50)),
        elapsed: Duration::from_millis(2_000 + grant % 1_000),
        leaving: false,
    }
}

struct BrokerLoad {
    state: BrokerState,
    granted: VecDeque<GrantId>,
    now: Instant,
    requested: u64,
}

impl BrokerLoad {
    /// Returns a broker whose slots are all in use if requests are queued, and
    /// half in use otherwise.
    fn new(replicas: u32, queued: u64) -> Self {
        let now = Instant::now();
        let mut settings = BrokerSettings::new("vm-1", BOOT);
        settings.queue_limit = usize::MAX;
        let mut state = BrokerState::new(settings);
        state.configure(&config(replicas), now);
        let mut load = Self {
            state,
            granted: VecDeque::new(),
            now,
            requested: 0,
        };
        let slots = u64::from(replicas * SLOTS);
        let requested = if queued == 0 {
            slots / 2
        } else {
            slots + queued
        };
        (0..requested).for_each(|_| load.request_grant());
        load
    }

    fn request_grant(&mut self) {
        self.requested += 1;
        self.state.request_grant(request(self.requested), self.now);
        self.collect_grants();
    }

    fn release(&mut self) {
        let Some(grant) = self.granted.pop_front() else {
            return;
        };
        let release = release(grant);
        self.state.release(&release, self.now);
        self.collect_grants();
    }

    fn collect_grants(&mut self) {
        for decision in self.state.take_decisions() {
            if let GrantDecision::Granted(grant) = black_box(decision).decision {
                self.granted.push_back(grant.id);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.request_grant();
        self.release();
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field
        .and_then(|field| field.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}

fn print_memory() {
    let start = resident_bytes();
    let queue = black_box(BrokerLoad::new(1, u64::from(MEMORY_COUNT)));
    let queued = resident_bytes();
    // The queue is kept alive, so that its memory isn't reused.
    let pool = black_box(BrokerLoad::new(MEMORY_COUNT, 0));
    let replicas = resident_bytes();
    drop((queue, pool));
    let each = |bytes: u64| bytes / u64::from(MEMORY_COUNT);
    println!("memory: {} bytes a queued request", each(queued - start));
    println!(
        "memory: {} bytes a replica with two grants",
        each(replicas - queued)
    );
}

fn bench_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("broker");
    for queued in QUEUED {
        for replicas in REPLICAS {
            let mut load = BrokerLoad::new(replicas, queued);
            let id = BenchmarkId::new(format!("queued-{queued}"), replicas);
            group.bench_function(id, |bencher| bencher.iter(|| load.step()));
        }
    }
    group.finish();
}

/// Measures the review of all servers and of the whole queue, which delays one
/// request twice per second.
fn bench_reviews(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("review");
    for (replicas, queued) in [(6, 100), (6, 10_000), (4_800, 100), (4_800, 10_000)] {
        let mut load = BrokerLoad::new(replicas, queued);
        let id = BenchmarkId::new(format!("queued-{queued}"), replicas);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                load.now += REVIEW_STEP;
                load.state.advance(load.now);
            });
        });
    }
    group.finish();
}

/// Measures grant requests through the channel and the broker's thread, 64 at a
/// time.
fn bench_handle(criterion: &mut Criterion) {
    let handle = BrokerHandle::spawn(BrokerSettings::new("vm-1", BOOT));
    handle.configure(Arc::new(config(60)));
    let mut requested = 0;
    criterion.bench_function("handle/64-requests", |bencher| {
        bencher.iter(|| {
            let replies = (0..HANDLE_BATCH).map(|_| {
                requested += 1;
                handle
                    .request_grant(request(requested))
                    .expect("the channel has capacity")
            });
            for reply in replies.collect::<Vec<_>>() {
                let decision = reply.blocking_recv().expect("the broker runs");
                let GrantDecision::Granted(grant) = decision else {
                    panic!("refused: {decision:?}");
                };
                handle.release(release(grant.id));
            }
        });
    });
    handle.shut_down();
    handle.join();
}

fn main() {
    print_memory();
    let criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    let mut criterion = criterion.configure_from_args();
    bench_requests(&mut criterion);
    bench_reviews(&mut criterion);
    bench_handle(&mut criterion);
    criterion.final_summary();
}
