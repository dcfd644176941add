//! Fakes of the duties around the peer duty, and a fleet on loopback.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::fleet::vm_name;
use crate::broker::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal};
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::ids::{BootId, RequestId, Revision, VmId};
use crate::peer::{GrantService, MemberState, PeerHandle, PeerSettings, PeerWorker};
use crate::settings::SharedSecret;
use crate::store::{DirectoryError, VmDirectory, VmEntry, VmState};

const SECRET: &str = "a secret of the whole test fleet";

/// Holds the newest snapshot and the time when it came.
#[derive(Clone, Default)]
pub(super) struct FakeExchange {
    held: Arc<Mutex<Option<(ConfigSnapshot, Instant)>>>,
}

impl FakeExchange {
    /// Returns when a revision, or a later one, came.
    pub(super) fn arrival(&self, revision: Revision) -> Option<Instant> {
        let held = self.held.lock().unwrap();
        let (snapshot, at) = held.as_ref()?;
        (snapshot.revision >= revision).then_some(*at)
    }
}

impl ConfigExchange for FakeExchange {
    fn revision(&self) -> Revision {
        self.snapshot().map_or(0, |snapshot| snapshot.revision)
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        let held = self.held.lock().unwrap();
        held.as_ref().map(|(snapshot, _)| snapshot.clone())
    }

    fn offer(&self, snapshot: ConfigSnapshot) {
        let mut held = self.held.lock().unwrap();
        let revision = held.as_ref().map_or(0, |(held, _)| held.revision);
        if snapshot.revision > revision {
            *held = Some((snapshot, Instant::now()));
        }
    }
}

/// A list that the test sets.
#[derive(Clone, Default)]
pub(super) struct FakeDirectory {
    pub(super) list: Arc<Mutex<Vec<VmEntry>>>,
}

impl VmDirectory for FakeDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        Ok(self.list.lock().unwrap().clone())
    }
}

/// What the fake broker does and has seen.
#[derive(Default)]
pub(super) struct BrokerLog {
    /// Whether requests are kept without a decision.
    pub(super) holds: bool,
    pub(super) waiting: Vec<(RequestId, oneshot::Sender<GrantDecision>)>,
    pub(super) granted: Vec<(u64, RequestId)>,
    pub(super) asked: usize,
    pub(super) released: usize,
    pub(super) forgotten: Vec<(VmId, BootId)>,
}

/// A broker that grants at once, or holds what it is asked.
#[derive(Clone)]
pub(super) struct FakeGrants {
    vm: VmId,
    boot: BootId,
    pub(super) log: Arc<Mutex<BrokerLog>>,
}

impl GrantService for FakeGrants {
    fn request_grant(
        &self,
        request: GrantRequest,
        reply: oneshot::Sender<GrantDecision>,
    ) -> Result<(), Refusal> {
        let mut log = self.log.lock().unwrap();
        log.asked += 1;
        if log.holds {
            log.waiting.push((request.request, reply));
            return Ok(());
        }
        let id = log.asked as u64;
        log.granted.push((id, request.request));
        let _ = reply.send(GrantDecision::Granted(Grant {
            id,
            broker: self.vm.clone(),
            boot: self.boot,
            server: "server-1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            valid_for: Duration::from_secs(2),
            reason: "only one".into(),
        }));
        Ok(())
    }

    fn withdraw(&self, request: RequestId, _entry: VmId, _boot: BootId) {
        let mut log = self.log.lock().unwrap();
        log.waiting.retain(|(waiting, _)| *waiting != request);
        log.granted.retain(|(_, granted)| *granted != request);
    }

    fn release(&self, release: GrantRelease) {
        let mut log = self.log.lock().unwrap();
        log.released += 1;
        log.granted.retain(|(id, _)| *id != release.grant);
    }

    fn forget_entry(&self, entry: VmId, boot: BootId) {
        self.log.lock().unwrap().forgotten.push((entry, boot));
    }
}

/// One VM of the test fleet.
pub(super) struct TestVm {
    pub(super) handle: PeerHandle,
    pub(super) exchange: FakeExchange,
    pub(super) broker: Arc<Mutex<BrokerLog>>,
}

impl TestVm {
    pub(super) fn spawn(settings: PeerSettings, directory: FakeDirectory) -> Self {
        let exchange = FakeExchange::default();
        let grants = FakeGrants {
            vm: settings.vm.clone(),
            boot: settings.boot,
            log: Arc::default(),
        };
        let broker = Arc::clone(&grants.log);
        let handle = PeerWorker::spawn(settings, exchange.clone(), directory, grants);
        TestVm {
            handle: handle.expect("the loopback address is free"),
            exchange,
            broker,
        }
    }

    pub(super) fn state_of(&self, vm: &VmId) -> Option<MemberState> {
        let members = self.handle.members();
        let member = members.iter().find(|member| member.vm == *vm)?;
        Some(member.state)
    }
}

/// The secret of the test fleets.
pub(super) fn secret() -> SharedSecret {
    SharedSecret::new(SECRET).expect("it is long enough")
}

/// Settings of one VM that listens on a free port.
pub(super) fn settings(index: usize, boot: BootId) -> PeerSettings {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = PeerSettings::new(vm_name(index), boot, "dc-1", listen, secret());
    settings.list_interval = Duration::from_millis(50);
    settings
}

pub(super) fn entry(index: usize, vm: &TestVm) -> VmEntry {
    VmEntry {
        vm: vm_name(index),
        address: vm.handle.local_address(),
        data_centre: "dc-1".into(),
        state: VmState::Live,
    }
}

/// A fleet whose VMs have all heard each other.
pub(super) struct TestFleet {
    pub(super) vms: Vec<TestVm>,
    pub(super) directory: FakeDirectory,
}

impl TestFleet {
    pub(super) fn open(size: usize) -> Self {
        let directory = FakeDirectory::default();
        let vms: Vec<TestVm> = (0..size)
            .map(|index| TestVm::spawn(settings(index, 100 + index as u64), directory.clone()))
            .collect();
        let list = vms.iter().enumerate().map(|(index, vm)| entry(index, vm));
        *directory.list.lock().unwrap() = list.collect();
        let fleet = TestFleet { vms, directory };
        let heard = || fleet.vms.iter().all(|vm| vm.knows(size - 1));
        assert!(wait_for(Duration::from_secs(10), heard), "not all heard");
        fleet
    }
}

impl TestVm {
    fn knows(&self, others: usize) -> bool {
        self.handle.members().len() == others && self.handle.is_caught_up()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for vm in &self.vms {
            vm.handle.shut_down();
        }
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub(super) fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let begin = Instant::now();
    while !condition() {
        if begin.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// A request of `dewspring-000`.
pub(super) fn request(id: impl Into<RequestId>) -> GrantRequest {
    GrantRequest {
        request: id.into(),
        entry: vm_name(0),
        entry_boot: 100,
        pool: "drafting".into(),
        class: "memo".into(),
        tier: 1,
        workspace: "w-1".into(),
        waited: Duration::ZERO,
        target_left: Duration::from_secs(5),
        timeout_left: Duration::from_secs(20),
        late_is_useful: true,
        floor_percent: 5,
        prompt_tokens: 1_000,
        max_tokens: Some(400),
        prefix: Some(7),
        excluded: Vec::new(),
    }
}
