//! Fakes of the modules that the peer worker uses, and a test fleet on loopback.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;

use super::fleet::vm_name;
use crate::broker::{Grant, GrantDecision, GrantRelease, GrantRequest, Refusal};
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::ids::{BootId, RequestId, Revision, VmId};
use crate::peer::{GrantService, MemberState, PeerHandle, PeerSettings, PeerWorker};
use crate::settings::SharedSecret;
use crate::store::{DirectoryError, VmDirectory, VmEntry, VmState};

const SECRET: &str = "a secret of the whole test fleet";

/// Configuration that keeps the newest snapshot and the time of its arrival.
#[derive(Clone, Default)]
pub(super) struct FakeExchange {
    newest: Arc<Mutex<Option<(ConfigSnapshot, Instant)>>>,
}

impl FakeExchange {
    /// Returns when the newest snapshot arrived, if it has at least this revision.
    pub(super) fn arrival(&self, revision: Revision) -> Option<Instant> {
        let newest = self.newest.lock().unwrap();
        let (snapshot, at) = newest.as_ref()?;
        (snapshot.revision >= revision).then_some(*at)
    }
}

impl ConfigExchange for FakeExchange {
    fn revision(&self) -> Revision {
        self.snapshot().map_or(0, |snapshot| snapshot.revision)
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        let newest = self.newest.lock().unwrap();
        newest.as_ref().map(|(snapshot, _)| snapshot.clone())
    }

    fn offer(&self, snapshot: ConfigSnapshot) {
        let mut newest = self.newest.lock().unwrap();
        let revision = newest.as_ref().map_or(0, |(newest, _)| newest.revision);
        if snapshot.revision > revision {
            *newest = Some((snapshot, Instant::now()));
        }
    }
}

/// Platform list that the test sets.
#[derive(Clone, Default)]
pub(super) struct FakeDirectory {
    pub(super) list: Arc<Mutex<Vec<VmEntry>>>,
}

impl VmDirectory for FakeDirectory {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        Ok(self.list.lock().unwrap().clone())
    }
}

/// Behaviour of the fake broker, and what it received.
#[derive(Default)]
pub(super) struct FakeBrokerState {
    /// Whether grant requests are held without a decision.
    pub(super) holds_requests: bool,
    pub(super) waiting: Vec<(RequestId, oneshot::Sender<GrantDecision>)>,
    pub(super) granted: Vec<(u64, RequestId)>,
    pub(super) request_count: usize,
    pub(super) released: usize,
    pub(super) forgotten: Vec<(VmId, BootId)>,
}

/// Broker that grants each request at once or holds it.
#[derive(Clone)]
pub(super) struct FakeGrants {
    vm: VmId,
    boot: BootId,
    pub(super) state: Arc<Mutex<FakeBrokerState>>,
}

impl GrantService for FakeGrants {
    fn request_grant(
        &self,
        request: GrantRequest,
    ) -> Result<impl Future<Output = Result<GrantDecision, RecvError>> + Send, Refusal> {
        let (reply, decision) = oneshot::channel();
        let mut state = self.state.lock().unwrap();
        state.request_count += 1;
        if state.holds_requests {
            state.waiting.push((request.request, reply));
            return Ok(decision);
        }
        let id = state.request_count as u64;
        state.granted.push((id, request.request));
        let _ = reply.send(GrantDecision::Granted(Grant {
            id,
            broker: self.vm.clone(),
            boot: self.boot,
            server: "server-1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            valid_for: Duration::from_secs(2),
            reason: "only one".into(),
        }));
        Ok(decision)
    }

    fn withdraw(&self, request: RequestId, _entry: VmId, _boot: BootId) {
        let mut state = self.state.lock().unwrap();
        state.waiting.retain(|(waiting, _)| *waiting != request);
        state.granted.retain(|(_, granted)| *granted != request);
    }

    fn release(&self, release: GrantRelease) {
        let mut state = self.state.lock().unwrap();
        state.released += 1;
        state.granted.retain(|(id, _)| *id != release.grant);
    }

    fn forget_entry(&self, entry: VmId, boot: BootId) {
        self.state.lock().unwrap().forgotten.push((entry, boot));
    }
}

/// One VM of the test fleet.
pub(super) struct TestVm {
    pub(super) handle: PeerHandle,
    pub(super) exchange: FakeExchange,
    pub(super) broker: Arc<Mutex<FakeBrokerState>>,
}

impl TestVm {
    pub(super) fn spawn(settings: PeerSettings, directory: FakeDirectory) -> Self {
        let exchange = FakeExchange::default();
        let grants = FakeGrants {
            vm: settings.vm.clone(),
            boot: settings.boot,
            state: Arc::default(),
        };
        let broker = Arc::clone(&grants.state);
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

/// Returns the shared secret of the test fleets.
pub(super) fn secret() -> SharedSecret {
    SharedSecret::new(SECRET).expect("it is long enough")
}

/// Returns settings of a VM that listens on a free loopback port.
pub(super) fn settings(index: usize, boot: BootId) -> PeerSettings {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = PeerSettings::new(vm_name(index), boot, "dc-1", listen, secret());
    settings.list_interval = Duration::from_millis(50);
    settings
}

pub(super) fn list_entry_of(index: usize, vm: &TestVm) -> VmEntry {
    VmEntry {
        vm: vm_name(index),
        address: vm.handle.local_address(),
        data_centre: "dc-1".into(),
        state: VmState::Live,
    }
}

/// Fleet whose VMs have all caught up with each other.
pub(super) struct TestFleet {
    pub(super) vms: Vec<TestVm>,
    pub(super) directory: FakeDirectory,
}

impl TestFleet {
    pub(super) fn start(size: usize) -> Self {
        let directory = FakeDirectory::default();
        let vms: Vec<TestVm> = (0..size)
            .map(|index| TestVm::spawn(settings(index, 100 + index as u64), directory.clone()))
            .collect();
        let list = vms
            .iter()
            .enumerate()
            .map(|(index, vm)| list_entry_of(index, vm));
        *directory.list.lock().unwrap() = list.collect();
        let fleet = TestFleet { vms, directory };
        let are_caught_up = || fleet.vms.iter().all(|vm| vm.has_caught_up_with(size - 1));
        assert!(
            wait_for(Duration::from_secs(10), are_caught_up),
            "not all VMs caught up"
        );
        fleet
    }
}

impl TestVm {
    fn has_caught_up_with(&self, others: usize) -> bool {
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

/// Waits until a condition holds and returns whether it did within the limit.
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

/// Returns a grant request of `dewspring-000`.
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
        fingerprint: 0,
    }
}
