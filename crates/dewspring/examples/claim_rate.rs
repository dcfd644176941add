//! Measures the rate of claims and the calls per claim on an in-memory store
//! with a latency of 2 ms.
//!
//! ```text
//! cargo run --release -p dewspring --example claim_rate
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dewspring::claims::{
    ClaimHandle, ClaimKey, ClaimLedger, ClaimOutcome, ClaimRequest, LedgerSettings, RecordedOutcome,
};
use dewspring::store::{
    EmbeddedStore, ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError,
    StoreVersion, SwapOutcome,
};

const STORE_LATENCY: Duration = Duration::from_millis(2);
const RUN_TIME: Duration = Duration::from_secs(2);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct CallCounts {
    reads: AtomicU64,
    swaps: AtomicU64,
}

/// An embedded store whose calls take [`STORE_LATENCY`].
#[derive(Clone, Debug)]
struct SlowStore {
    store: EmbeddedStore,
    counts: Arc<CallCounts>,
}

impl PlatformStore for SlowStore {
    fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        thread::sleep(STORE_LATENCY);
        self.store.get(key)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        self.counts.swaps.fetch_add(1, Ordering::Relaxed);
        thread::sleep(STORE_LATENCY);
        self.store.compare_and_swap(key, expected, value, lease)
    }

    fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        self.store.watch(key, after, timeout)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant, StoreError> {
        self.store.grant_lease(time_to_live)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.store.renew_lease(lease)
    }
}

/// Parameters of one row of the table.
struct RateCase {
    vms: usize,
    page_count: u32,
    claimers: usize,
}

/// Results of one claimer.
struct ClaimerReport {
    waits: Vec<Duration>,
    refused: u64,
}

/// Claims new keys one after another and records their outcomes.
fn run_claimer(handle: &ClaimHandle, name: usize, until: Instant) -> ClaimerReport {
    let mut report = ClaimerReport {
        waits: Vec::new(),
        refused: 0,
    };
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let started = Instant::now();
        let (reply, answer) = tokio::sync::oneshot::channel();
        let request = ClaimRequest {
            key: ClaimKey::new("bench", &format!("{name}-{number}")),
            fingerprint: 0,
            declared_minute: None,
            deadline: started + CLAIM_TIMEOUT,
        };
        handle.claim(request, reply);
        match answer.blocking_recv() {
            Ok(ClaimOutcome::Claimed(token)) => {
                report.waits.push(started.elapsed());
                let outcome = RecordedOutcome::new(201, "text/plain", b"done");
                handle
                    .record(token, outcome)
                    .expect("the channel has capacity");
            }
            _ => report.refused += 1,
        }
    }
    report
}

fn spawn_ledgers(case: &RateCase, store: &SlowStore) -> Vec<ClaimLedger> {
    (0..case.vms)
        .map(|vm| {
            let settings = LedgerSettings {
                page_count: case.page_count,
                ..LedgerSettings::new("bench", format!("vm-{vm}"), vm as u64)
            };
            ClaimLedger::spawn(store.clone(), settings)
        })
        .collect()
}

/// Returns a percentile of sorted times, in milliseconds.
fn quantile_millis(waits: &[Duration], percent: usize) -> f64 {
    let wait = waits.get(waits.len().saturating_sub(1) * percent / 100);
    wait.map_or(0.0, |wait| wait.as_secs_f64() * 1000.0)
}

fn measure(case: &RateCase) {
    let store = SlowStore {
        store: EmbeddedStore::open(),
        counts: Arc::default(),
    };
    let ledgers = spawn_ledgers(case, &store);
    let until = Instant::now() + RUN_TIME;
    let threads: Vec<_> = (0..case.claimers)
        .map(|name| {
            let handle = ledgers[name % case.vms].handle();
            thread::spawn(move || run_claimer(&handle, name, until))
        })
        .collect();
    let mut waits = Vec::new();
    let mut refused = 0;
    for thread in threads {
        let report = thread.join().expect("a claimer ends");
        waits.extend(report.waits);
        refused += report.refused;
    }
    // The shutdown commits the outcomes, so the calls for them are counted too.
    ledgers.into_iter().for_each(ClaimLedger::shutdown);
    waits.sort_unstable();
    let claims = waits.len();
    let swaps = store.counts.swaps.load(Ordering::Relaxed);
    let reads = store.counts.reads.load(Ordering::Relaxed);
    println!(
        "| {} | {} | {} | {:.0} | {:.2} | {:.2} | {:.1} | {:.1} | {} |",
        case.vms,
        case.page_count,
        case.claimers,
        claims as f64 / RUN_TIME.as_secs_f64(),
        swaps as f64 / claims as f64,
        reads as f64 / claims as f64,
        quantile_millis(&waits, 50),
        quantile_millis(&waits, 99),
        refused,
    );
}

fn main() {
    println!(
        "| VMs | pages | claimers | claims/s | swaps/claim | reads/claim | p50 ms | p99 ms | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for vms in [1, 4] {
        for page_count in [16, 256] {
            for claimers in [1, 4, 16, 64] {
                measure(&RateCase {
                    vms,
                    page_count,
                    claimers,
                });
            }
        }
    }
}
