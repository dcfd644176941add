//! Handle of a running peer worker, for the other modules of the daemon.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

use tokio::runtime::Handle;
use tokio::sync::{Semaphore, oneshot, watch};

use super::counters::PeerCounts;
use super::errors::PeerError;
use super::links::PeerLink;
use super::member::{MemberState, MemberStatus};
use super::notices::{GrantNotice, send_notice};
use super::remote_grant::{GrantResult, RemoteGrantRequest, unused_grant_release};
use super::shared::PeerShared;
use super::wire::MAX_CALLS_IN_FLIGHT;
use crate::broker::{GrantDecision, GrantRelease, GrantRequest};
use crate::ids::{PoolName, RequestId, VmId};

/// Most grant requests to other VMs in flight.
const MAX_GRANT_REQUESTS: usize = MAX_CALLS_IN_FLIGHT / 2;

/// Where the broker of a pool runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerLocation {
    /// On this VM.
    Local,
    /// On another VM.
    Remote(VmId),
}

/// State that all clones of a handle share.
pub(super) struct HandleParts {
    pub(super) shared: Arc<PeerShared>,
    pub(super) runtime: Handle,
    pub(super) stop: watch::Sender<bool>,
    pub(super) thread: Mutex<Option<JoinHandle<()>>>,
    pub(super) bound: SocketAddr,
}

/// Handle of a running peer worker.
///
/// Clones share the worker. It ends when [`shut_down`](Self::shut_down) is
/// called or the last clone is dropped.
#[derive(Clone)]
pub struct PeerHandle {
    parts: Arc<HandleParts>,
    request_permits: Arc<Semaphore>,
}

impl PeerHandle {
    pub(super) fn new(parts: HandleParts) -> Self {
        PeerHandle {
            parts: Arc::new(parts),
            request_permits: Arc::new(Semaphore::new(MAX_GRANT_REQUESTS)),
        }
    }

    /// Returns the address that the worker listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.parts.bound
    }

    /// Requests a grant of the broker on another VM.
    ///
    /// The future may be awaited on any runtime. Dropping it withdraws the
    /// request, and a grant that arrives later is returned unused.
    ///
    /// # Errors
    ///
    /// A [`PeerError`] at once if the VM is known to be dead or refuses the
    /// connection, and after its missed heartbeats if it stops responding.
    pub async fn request_grant(
        &self,
        broker: &VmId,
        request: GrantRequest,
    ) -> Result<GrantDecision, PeerError> {
        let permit = Arc::clone(&self.request_permits).try_acquire_owned();
        let permit = permit.map_err(|_| PeerError::Overloaded)?;
        let shared = &self.parts.shared;
        let request_id = request.request.clone();
        let sent_id = shared.withdrawn_requests().next_request_id(&request_id);
        let pending = RemoteGrantRequest {
            shared: Arc::clone(shared),
            link: self.request_link(broker)?,
            request: GrantRequest {
                request: sent_id,
                ..request
            },
        };
        let (reply, receiver) = oneshot::channel();
        self.parts.runtime.spawn(async move {
            pending.run(reply).await;
            drop(permit);
        });
        let mut waiter = DecisionWaiter {
            handle: self,
            broker,
            request: request_id,
            receiver,
            is_decided: false,
        };
        let result = (&mut waiter.receiver).await;
        let result = result.unwrap_or(Err(PeerError::ShutDown));
        waiter.is_decided = result.is_ok();
        result
    }

    /// Releases a grant of a broker on another VM, without blocking.
    ///
    /// Releases are sent in batches; one that can't be delivered is counted in
    /// [`PeerCounts::lost_notices`].
    pub fn release(&self, broker: &VmId, release: GrantRelease) {
        let shared = &self.parts.shared;
        shared.membership().remove_outstanding_grant(broker);
        let notice = GrantNotice::Release(release);
        match self.notice_link(broker) {
            Ok(link) => send_notice(&self.parts.runtime, shared, link, notice),
            Err(error) => {
                shared.counters.lost_notices.add(1);
                log::info!("peer: dropped a release to {broker}: {error}.");
            }
        }
    }

    /// Returns where the broker of a pool runs, in the current view of this VM.
    ///
    /// It runs on this VM if no other VM is eligible.
    pub fn broker_for(&self, pool: &PoolName) -> BrokerLocation {
        let view = self.parts.shared.view.load();
        match view.broker_cache.broker_for(pool) {
            Some(vm) if vm != self.parts.shared.identity.vm => BrokerLocation::Remote(vm),
            _ => BrokerLocation::Local,
        }
    }

    /// Returns the status of all other VMs, sorted by name.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.parts.shared.view.load().members.clone()
    }

    /// Returns the number of VMs that may be brokers, including this one unless it drains.
    pub fn eligible_vm_count(&self) -> usize {
        self.parts.shared.view.load().broker_cache.eligible().len()
    }

    /// Marks this VM as leaving, which its heartbeats report from now on.
    pub fn set_draining(&self) {
        self.parts.shared.membership().set_draining();
        self.parts.shared.publish();
    }

    /// Returns whether this VM has caught up with its peers.
    ///
    /// It has if each VM on the platform's list has sent a heartbeat or is dead,
    /// and no peer reported a later revision than the one in force here. While
    /// the list hasn't been read, the VMs known from heartbeats take its place,
    /// and at least one of them must have sent one.
    pub fn is_caught_up(&self) -> bool {
        let shared = &self.parts.shared;
        let are_contacted = shared.membership().all_peers_contacted();
        are_contacted && !shared.revisions.is_behind()
    }

    /// Returns the counts since the worker started.
    pub fn counts(&self) -> PeerCounts {
        self.parts.shared.counters.snapshot()
    }

    /// Shuts the worker down and joins its thread.
    ///
    /// Queued notices are sent first, for a short time. Grant requests in flight
    /// end with [`PeerError::ShutDown`].
    pub fn shut_down(&self) {
        self.parts.stop.send_replace(true);
        let thread = self.parts.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            thread.join().expect("the peer thread doesn't panic");
        }
    }

    /// Returns the link to a VM that is known and not dead.
    fn request_link(&self, vm: &VmId) -> Result<Arc<PeerLink>, PeerError> {
        self.link_if(vm, |state| state != MemberState::Dead)
    }

    /// Returns the link to a known VM, for a notice.
    ///
    /// A VM that counts as dead may only be frozen and resume with its grants,
    /// so notices to it are kept until their last attempt.
    fn notice_link(&self, vm: &VmId) -> Result<Arc<PeerLink>, PeerError> {
        self.link_if(vm, |_| true)
    }

    fn link_if(
        &self,
        vm: &VmId,
        is_allowed: impl FnOnce(MemberState) -> bool,
    ) -> Result<Arc<PeerLink>, PeerError> {
        let shared = &self.parts.shared;
        let member = shared.membership().member(Instant::now(), vm);
        let member = member.ok_or_else(|| PeerError::Unknown(vm.clone()))?;
        if !is_allowed(member.state) {
            return Err(PeerError::Dead(vm.clone()));
        }
        Ok(shared.links.get(vm, member.endpoint.address))
    }
}

/// Guard of a caller that waits for a decision.
///
/// If it is dropped without a decision, it records the withdrawal. If a grant
/// has arrived but wasn't received by the caller, it releases the grant.
struct DecisionWaiter<'a> {
    handle: &'a PeerHandle,
    broker: &'a VmId,
    request: RequestId,
    receiver: oneshot::Receiver<GrantResult>,
    is_decided: bool,
}

impl Drop for DecisionWaiter<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.handle
            .parts
            .shared
            .withdrawn_requests()
            .record(&self.request);
        self.receiver.close();
        if let Ok(Ok(GrantDecision::Granted(grant))) = self.receiver.try_recv() {
            self.handle
                .release(self.broker, unused_grant_release(&grant));
        }
    }
}
