//! Measures what the peer duty costs: bytes and processor time of heartbeats,
//! and the round trip of a question to a broker on another VM.
//!
//! All VMs are duties of this process on loopback. Processor time is that of
//! the threads named `peer`, as Linux counts it.

use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use dewspring::broker::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal};
use dewspring::configuration::{ConfigExchange, ConfigSnapshot};
use dewspring::ids::{BootId, RequestId, Revision, VmId};
use dewspring::peer::{
    GrantService, HEARTBEAT_INTERVAL, Heartbeat, MembershipState, PeerCounts, PeerDuty, PeerHandle,
    PeerSettings, VmIdentity, VmPlace, rendezvous_owner,
};
use dewspring::settings::SharedSecret;
use dewspring::store::{DirectoryError, VmDirectory, VmEntry, VmState};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// Numbers of VMs that are measured.
const FLEET_SIZES: [usize; 3] = [8, 32, 64];

/// Lengths of the list for which the computing of a round is measured.
const LISTED_SIZES: [usize; 3] = [8, 64, 800];

/// Rounds that are measured for each of them.
const ROUNDS: u32 = 1_000;

/// Pools whose broker's place is looked at.
const POOLS: u32 = 100;

/// Time for which heartbeats are measured.
const MEASURED_TIME: Duration = Duration::from_secs(15);

/// Time that a fleet is given after all VMs have heard each other.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Questions that are measured.
const QUESTIONS: usize = 20_000;

/// Questions at the same time in the second run.
const QUESTIONS_AT_ONCE: usize = 32;

/// An exchange that holds one document for ever.
#[derive(Clone)]
struct FixedExchange;

impl ConfigExchange for FixedExchange {
    fn revision(&self) -> Revision {
        41
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        None
    }

    fn offer(&self, _snapshot: ConfigSnapshot) {}
}

/// A list that is set once all addresses are known.
#[derive(Clone, Default)]
struct SharedList {
    list: Arc<Mutex<Vec<VmEntry>>>,
}

impl VmDirectory for SharedList {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        Ok(self.list.lock().expect("no holder panics").clone())
    }
}

/// A broker that grants at once.
#[derive(Clone)]
struct OpenBroker {
    vm: VmId,
}

impl GrantService for OpenBroker {
    fn ask(
        &self,
        _request: GrantRequest,
        reply: oneshot::Sender<GrantDecision>,
    ) -> Result<(), Refusal> {
        let granted = GrantDecision::Granted(Grant {
            id: 77,
            broker: self.vm.clone(),
            boot: 1,
            server: "drafting-replica-07".into(),
            address: SocketAddr::from(([10, 20, 0, 7], 8_000)),
            valid_for: Duration::from_secs(2),
            reason: "lowest estimate 1.2 s".into(),
        });
        let _ = reply.send(granted);
        Ok(())
    }

    fn withdraw(&self, _request: RequestId, _entry: VmId, _boot: BootId) {}

    fn release(&self, _release: GrantRelease) {}

    fn forget_entry(&self, _entry: VmId, _boot: BootId) {}
}

/// Bytes and processor time since the start.
struct CostSample {
    at: Instant,
    bytes: u64,
    processor: Duration,
}

impl CostSample {
    fn take(fleet: &[PeerHandle]) -> Self {
        let counts = fleet.iter().map(PeerHandle::counts);
        CostSample {
            at: Instant::now(),
            bytes: counts.map(total_bytes).sum(),
            processor: processor_time(),
        }
    }
}

fn main() {
    for size in FLEET_SIZES {
        let fleet = open_fleet(size);
        let before = CostSample::take(&fleet);
        sleep(MEASURED_TIME);
        let after = CostSample::take(&fleet);
        let seconds = (after.at - before.at).as_secs_f64() * size as f64;
        let bytes = (after.bytes - before.bytes) as f64 / seconds;
        let processor = (after.processor - before.processor).as_secs_f64() * 1_000.0 / seconds;
        println!(
            "{size} VMs: {bytes:.0} bytes/s and {processor:.2} ms/s of processor time for each \
             VM, {:?} for a look at a broker's place",
            time_place(&fleet[0])
        );
        fleet.iter().for_each(PeerHandle::shut_down);
    }
    measure_rounds();
    measure_questions();
}

/// Returns the mean time of a look at the place of a pool's broker.
fn time_place(handle: &PeerHandle) -> Duration {
    let pools: Vec<String> = (0..POOLS).map(|pool| format!("pool-{pool}")).collect();
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        for pool in &pools {
            std::hint::black_box(handle.broker_for(pool));
        }
    }
    begin.elapsed() / ROUNDS / POOLS
}

/// Measures what one VM of a large fleet computes in a round.
fn measure_rounds() {
    for size in LISTED_SIZES {
        let mut membership = MembershipState::new(VmIdentity {
            vm: vm_name(0),
            boot: 1,
            place: VmPlace {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: data_centre(0),
            },
        });
        let mut now = Instant::now();
        let entries: Vec<VmEntry> = (0..size).map(listed_vm).collect();
        membership.apply_list(now, &entries);
        let mut rng = SmallRng::seed_from_u64(1);
        let begin = Instant::now();
        for _ in 0..ROUNDS {
            now += HEARTBEAT_INTERVAL;
            for target in membership.tick(now, &mut rng) {
                let answer = answer_of(&target.vm);
                membership.observe_answer(now, &target.vm, &answer);
            }
            assert_eq!(membership.members(now).len(), size - 1);
            assert_eq!(membership.eligible_vms().len(), size);
        }
        let spent = begin.elapsed() / ROUNDS;
        let vms = membership.eligible_vms();
        let begin = Instant::now();
        for pool in 0..ROUNDS {
            assert!(rendezvous_owner(&format!("pool-{pool}"), &vms).is_some());
        }
        let chosen = begin.elapsed() / ROUNDS;
        println!(
            "{size} listed VMs: {spent:?} of computing in a round, {chosen:?} for the choice \
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

fn answer_of(vm: &VmId) -> Heartbeat {
    Heartbeat {
        vm: vm.clone(),
        boot: 2,
        incarnation: 1,
        revision: 41,
        draining: false,
        place: None,
        news: Vec::new(),
    }
}

fn measure_questions() {
    let fleet = open_fleet(2);
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().build().expect("a runtime starts");
    for at_once in [1, QUESTIONS_AT_ONCE] {
        let before = CostSample::take(&fleet);
        let mut times = ask_many(&runtime, &fleet[0], at_once);
        let after = CostSample::take(&fleet);
        times.sort();
        // Each byte is counted by its sender and by its receiver.
        let bytes = (after.bytes - before.bytes) / 2 / QUESTIONS as u64;
        let processor = (after.processor - before.processor) / QUESTIONS as u32;
        println!(
            "{at_once} at once: p50 {:?}, p99 {:?}, {bytes} bytes and {processor:?} of peer \
             threads for each question, {:.0}/s",
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            QUESTIONS as f64 / (after.at - before.at).as_secs_f64()
        );
    }
    fleet.iter().for_each(PeerHandle::shut_down);
}

/// Asks with a fixed number of questions in flight and returns the times.
fn ask_many(runtime: &Runtime, handle: &PeerHandle, at_once: usize) -> Vec<Duration> {
    runtime.block_on(async {
        let mut waiting = VecDeque::new();
        let mut times = Vec::with_capacity(QUESTIONS);
        for number in 0..QUESTIONS {
            if waiting.len() == at_once {
                let oldest: tokio::task::JoinHandle<Duration> =
                    waiting.pop_front().expect("some wait");
                times.push(oldest.await.expect("a question doesn't panic"));
            }
            let handle = handle.clone();
            waiting.push_back(tokio::spawn(async move {
                let begin = Instant::now();
                let asked = handle.ask(&vm_name(1), request(number)).await;
                assert!(matches!(asked, Ok(GrantDecision::Granted(_))), "{asked:?}");
                begin.elapsed()
            }));
        }
        for left in waiting {
            times.push(left.await.expect("a question doesn't panic"));
        }
        times
    })
}

fn open_fleet(size: usize) -> Vec<PeerHandle> {
    let directory = SharedList::default();
    let fleet: Vec<PeerHandle> = (0..size).map(|index| open_vm(index, &directory)).collect();
    let entries = fleet.iter().enumerate().map(|(index, handle)| VmEntry {
        vm: vm_name(index),
        address: handle.local_address(),
        data_centre: data_centre(index),
        state: VmState::Live,
    });
    *directory.list.lock().expect("no holder panics") = entries.collect();
    let is_heard = |handle: &PeerHandle| handle.members().len() == size - 1 && handle.peers_heard();
    while !fleet.iter().all(is_heard) {
        sleep(Duration::from_millis(50));
    }
    sleep(SETTLING_TIME);
    fleet
}

fn open_vm(index: usize, directory: &SharedList) -> PeerHandle {
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
    let broker = OpenBroker { vm: vm_name(index) };
    PeerDuty::spawn(settings, FixedExchange, directory.clone(), broker)
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

/// Returns the processor time of all threads of the peer duties.
fn processor_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("Linux lists the threads");
    let times = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let spent = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = spent.split_whitespace().next()?.parse().ok()?;
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
    }
}
