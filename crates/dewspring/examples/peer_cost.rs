//! Measures the cost of the peer protocol: bytes and processor time of
//! heartbeats, and the round trip of a grant request to a broker on another VM.
//!
//! A grant is a broker's permission for an entry to send one request to a backend
//! server. All VMs run in this process on loopback. Processor time is that of the
//! threads named `peer`, from the scheduler statistics of Linux.

use std::collections::VecDeque;
use std::fs;
use std::future::{self, Future};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use dewspring::broker::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal};
use dewspring::configuration::{ConfigExchange, ConfigSnapshot};
use dewspring::ids::{BootId, RequestId, Revision, VmId};
use dewspring::peer::{
    GrantService, HEARTBEAT_INTERVAL, Heartbeat, MembershipState, PeerCounts, PeerHandle,
    PeerSettings, PeerWorker, VmEndpoint, VmIdentity, rendezvous_owner,
};
use dewspring::settings::SharedSecret;
use dewspring::store::{DirectoryError, VmDirectory, VmEntry, VmState};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot::error::RecvError;

/// Numbers of VMs in the measured fleets.
const FLEET_SIZES: [usize; 3] = [8, 32, 64];

/// Lengths of the list of VMs for which the processing time of a round is
/// measured.
const LIST_LENGTHS: [usize; 3] = [8, 64, 800];

/// Rounds, and lookups per pool, that are averaged.
const ROUNDS: u32 = 1_000;

/// Number of pools whose broker is looked up.
const POOL_COUNT: u32 = 100;

/// Time for which heartbeats are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);

/// Time between the first contact of all VMs and the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Number of measured grant requests.
const REQUESTS: usize = 20_000;

/// Concurrent grant requests in the second run.
const MAX_IN_FLIGHT: usize = 32;

/// A configuration whose revision never changes.
#[derive(Clone)]
struct FixedRevision;

impl ConfigExchange for FixedRevision {
    fn revision(&self) -> Revision {
        41
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        None
    }

    fn offer(&self, _snapshot: ConfigSnapshot) {}
}

/// A list of VMs that is filled once all addresses are known.
#[derive(Clone, Default)]
struct SettableDirectory {
    list: Arc<Mutex<Vec<VmEntry>>>,
}

impl VmDirectory for SettableDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        Ok(self.list.lock().expect("no holder panics").clone())
    }
}

/// A broker that grants at once.
#[derive(Clone)]
struct GrantingBroker {
    vm: VmId,
}

impl GrantService for GrantingBroker {
    fn request_grant(
        &self,
        _request: GrantRequest,
    ) -> Result<impl Future<Output = Result<GrantDecision, RecvError>> + Send, Refusal> {
        let granted = GrantDecision::Granted(Grant {
            id: 77,
            broker: self.vm.clone(),
            boot: 1,
            server: "drafting-replica-07".into(),
            address: SocketAddr::from(([10, 20, 0, 7], 8_000)),
            valid_for: Duration::from_secs(2),
            reason: "lowest estimate 1.2 s".into(),
        });
        Ok(future::ready(Ok(granted)))
    }

    fn withdraw(&self, _request: RequestId, _entry: VmId, _boot: BootId) {}

    fn release(&self, _release: GrantRelease) {}

    fn forget_entry(&self, _entry: VmId, _boot: BootId) {}
}

/// Bytes and processor time since the start of the process.
struct CostSample {
    at: Instant,
    bytes: u64,
    cpu_time: Duration,
}

impl CostSample {
    fn take(fleet: &[PeerHandle]) -> Self {
        let counts = fleet.iter().map(PeerHandle::counts);
        CostSample {
            at: Instant::now(),
            bytes: counts.map(total_bytes).sum(),
            cpu_time: thread_cpu_time(),
        }
    }
}

fn main() {
    for size in FLEET_SIZES {
        let fleet = open_fleet(size);
        let before = CostSample::take(&fleet);
        sleep(MEASUREMENT_TIME);
        let after = CostSample::take(&fleet);
        let seconds = (after.at - before.at).as_secs_f64() * size as f64;
        let bytes = (after.bytes - before.bytes) as f64 / seconds;
        let cpu_time = (after.cpu_time - before.cpu_time).as_secs_f64() * 1_000.0 / seconds;
        println!(
            "{size} VMs: {bytes:.0} bytes/s and {cpu_time:.2} ms/s of processor time for each \
             VM, {:?} for a lookup of a broker's address",
            time_broker_lookup(&fleet[0])
        );
        fleet.iter().for_each(PeerHandle::shut_down);
    }
    measure_rounds();
    measure_grant_requests();
}

/// Returns the mean time to look up the broker of a pool.
fn time_broker_lookup(handle: &PeerHandle) -> Duration {
    let pools: Vec<String> = (0..POOL_COUNT).map(|pool| format!("pool-{pool}")).collect();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        for pool in &pools {
            std::hint::black_box(handle.broker_for(pool));
        }
    }
    started.elapsed() / ROUNDS / POOL_COUNT
}

/// Measures the processing time of a heartbeat round on one VM of a large fleet.
fn measure_rounds() {
    for size in LIST_LENGTHS {
        let mut membership = MembershipState::new(VmIdentity {
            vm: vm_name(0),
            boot: 1,
            endpoint: VmEndpoint {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: data_centre(0),
            },
        });
        let mut now = Instant::now();
        let entries: Vec<VmEntry> = (0..size).map(listed_vm).collect();
        membership.apply_list(now, &entries);
        let mut rng = SmallRng::seed_from_u64(1);
        let started = Instant::now();
        for _ in 0..ROUNDS {
            now += HEARTBEAT_INTERVAL;
            for target in membership.tick(now, &mut rng) {
                let reply = heartbeat_reply(&target.vm);
                membership.handle_heartbeat_reply(now, &target.vm, &reply);
            }
            assert_eq!(membership.members(now).len(), size - 1);
            assert_eq!(membership.eligible_vms().len(), size);
        }
        let elapsed = started.elapsed() / ROUNDS;
        let vms = membership.eligible_vms();
        let started = Instant::now();
        for pool in 0..ROUNDS {
            assert!(rendezvous_owner(&format!("pool-{pool}"), &vms).is_some());
        }
        let lookup_time = started.elapsed() / ROUNDS;
        println!(
            "{size} listed VMs: {elapsed:?} of computing in a round, {lookup_time:?} for the choice \
             of a broker"
        );
    }
}

fn listed_vm(index: usize) -> VmEntry {
    VmEntry {
        vm: vm_name(index),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: data_centre(index),
        state: VmState::Live,
    }
}

fn heartbeat_reply(vm: &VmId) -> Heartbeat {
    Heartbeat {
        vm: vm.clone(),
        boot: 2,
        incarnation: 1,
        revision: 41,
        draining: false,
        endpoint: None,
        updates: Vec::new(),
    }
}

fn measure_grant_requests() {
    let fleet = open_fleet(2);
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().build().expect("a runtime starts");
    for in_flight in [1, MAX_IN_FLIGHT] {
        let before = CostSample::take(&fleet);
        let mut times = send_requests(&runtime, &fleet[0], in_flight);
        let after = CostSample::take(&fleet);
        times.sort();
        // Each byte is counted by its sender and by its receiver.
        let bytes = (after.bytes - before.bytes) / 2 / REQUESTS as u64;
        let cpu_time = (after.cpu_time - before.cpu_time) / REQUESTS as u32;
        println!(
            "{in_flight} at once: p50 {:?}, p99 {:?}, {bytes} bytes and {cpu_time:?} of peer \
             threads for each grant request, {:.0}/s",
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            REQUESTS as f64 / (after.at - before.at).as_secs_f64()
        );
    }
    fleet.iter().for_each(PeerHandle::shut_down);
}

/// Sends all grant requests, with a fixed number in flight, and returns their
/// round-trip times.
fn send_requests(runtime: &Runtime, handle: &PeerHandle, in_flight: usize) -> Vec<Duration> {
    runtime.block_on(async {
        let mut waiting = VecDeque::new();
        let mut times = Vec::with_capacity(REQUESTS);
        for number in 0..REQUESTS {
            if waiting.len() == in_flight {
                let oldest: tokio::task::JoinHandle<Duration> =
                    waiting.pop_front().expect("requests are in flight");
                times.push(oldest.await.expect("a grant request doesn't panic"));
            }
            let handle = handle.clone();
            waiting.push_back(tokio::spawn(async move {
                let started = Instant::now();
                let asked = handle.request_grant(&vm_name(1), request(number)).await;
                assert!(matches!(asked, Ok(GrantDecision::Granted(_))), "{asked:?}");
                started.elapsed()
            }));
        }
        for remaining in waiting {
            times.push(remaining.await.expect("a grant request doesn't panic"));
        }
        times
    })
}

fn open_fleet(size: usize) -> Vec<PeerHandle> {
    let directory = SettableDirectory::default();
    let fleet: Vec<PeerHandle> = (0..size).map(|index| open_vm(index, &directory)).collect();
    let entries = fleet.iter().enumerate().map(|(index, handle)| VmEntry {
        vm: vm_name(index),
        address: handle.local_address(),
        data_centre: data_centre(index),
        state: VmState::Live,
    });
    *directory.list.lock().expect("no holder panics") = entries.collect();
    let is_connected =
        |handle: &PeerHandle| handle.members().len() == size - 1 && handle.is_caught_up();
    while !fleet.iter().all(is_connected) {
        sleep(Duration::from_millis(50));
    }
    sleep(SETTLING_TIME);
    fleet
}

fn open_vm(index: usize, directory: &SettableDirectory) -> PeerHandle {
    let secret = SharedSecret::new("a secret for measurements only");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = PeerSettings::new(
        vm_name(index),
        1 + index as u64,
        data_centre(index),
        listen,
        secret.expect("it is long enough"),
    );
    settings.list_interval = Duration::from_millis(200);
    let broker = GrantingBroker { vm: vm_name(index) };
    PeerWorker::spawn(settings, FixedRevision, directory.clone(), broker)
        .expect("a loopback port is free")
}

fn vm_name(index: usize) -> VmId {
    format!("dewspring-{index:03}")
}

fn data_centre(index: usize) -> String {
    format!("dk-east-{}", index % 3)
}

fn total_bytes(counts: PeerCounts) -> u64 {
    counts.bytes_sent + counts.bytes_received
}

/// Returns the processor time of all threads named `peer`.
fn thread_cpu_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("Linux lists the threads");
    let times = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let schedstat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = schedstat.split_whitespace().next()?.parse().ok()?;
        (name.trim() == "peer").then(|| Duration::from_nanos(nanos))
    });
    times.sum()
}

fn request(number: usize) -> GrantRequest {
    GrantRequest {
        request: format!("dewspring-000-5f3a9c21-{number}"),
        entry: vm_name(0),
        entry_boot: 1,
        pool: "rate-drafting".into(),
        class: "rate-memo".into(),
        tier: 1,
        workspace: "casting-office-17".into(),
        waited: Duration::from_millis(2),
        target_left: Duration::from_secs(60),
        timeout_left: Duration::from_secs(120),
        late_is_useful: true,
        floor_percent: 5,
        prompt_tokens: 4_000,
        max_tokens: Some(800),
        prefix: Some(0x9e37_79b9_7f4a_7c15),
        excluded: Vec::new(),
        fingerprint: 0,
    }
}
