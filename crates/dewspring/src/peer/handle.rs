//! The peer duty as the other duties hold it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

use tokio::runtime::Handle;
use tokio::sync::{Semaphore, oneshot, watch};

use super::asks::{AskResult, BrokerQuestion, unused_grant};
use super::counters::PeerCounts;
use super::errors::PeerError;
use super::links::PeerLink;
use super::member::{MemberState, MemberStatus};
use super::notices::{GrantNotice, send_notice};
use super::shared::PeerShared;
use super::wire::CALLS_IN_FLIGHT;
use crate::broker::{GrantDecision, GrantRelease, GrantRequest};
use crate::ids::{PoolName, RequestId, VmId};

/// Questions to other VMs at the same time.
const QUESTION_LIMIT: usize = CALLS_IN_FLIGHT / 2;

/// Where the broker of a pool is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerLocation {
    /// On this VM.
    Local,
    /// On another VM.
    Remote(VmId),
}

/// What a handle is made of.
pub(super) struct HandleParts {
    pub(super) shared: Arc<PeerShared>,
    pub(super) runtime: Handle,
    pub(super) stop: watch::Sender<bool>,
    pub(super) thread: Mutex<Option<JoinHandle<()>>>,
    pub(super) bound: SocketAddr,
}

/// A running peer duty.
///
/// Clones lead to the same duty. It ends when [`shut_down`](Self::shut_down) is
/// called or the last clone is dropped.
#[derive(Clone)]
pub struct PeerHandle {
    parts: Arc<HandleParts>,
    questions: Arc<Semaphore>,
}

impl PeerHandle {
    pub(super) fn new(parts: HandleParts) -> Self {
        PeerHandle {
            parts: Arc::new(parts),
            questions: Arc::new(Semaphore::new(QUESTION_LIMIT)),
        }
    }

    /// Returns the address that the duty listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.parts.bound
    }

    /// Asks the broker on another VM for leave to run a request.
    ///
    /// It may be awaited on any runtime. Dropping the future withdraws the
    /// question, and gives back a grant that comes too late.
    ///
    /// # Errors
    ///
    /// A [`PeerError`] at once if the VM is known to be dead or refuses the
    /// connection, and as soon as its heartbeats are missed if it falls silent.
    pub async fn request_grant(
        &self,
        broker: &VmId,
        request: GrantRequest,
    ) -> Result<GrantDecision, PeerError> {
        let permit = Arc::clone(&self.questions).try_acquire_owned();
        let permit = permit.map_err(|_| PeerError::Overloaded)?;
        let shared = &self.parts.shared;
        let asked = request.request.clone();
        let question_id = shared.given_up().question_id(&asked);
        let question = BrokerQuestion {
            shared: Arc::clone(shared),
            link: self.link(broker)?,
            request: GrantRequest {
                request: question_id,
                ..request
            },
        };
        let (reply, receiver) = oneshot::channel();
        self.parts.runtime.spawn(async move {
            question.run(reply).await;
            drop(permit);
        });
        let mut waiter = DecisionWaiter {
            handle: self,
            broker,
            request: asked,
            receiver,
            is_decided: false,
        };
        let result = (&mut waiter.receiver).await;
        let result = result.unwrap_or(Err(PeerError::Ended));
        waiter.is_decided = result.is_ok();
        result
    }

    /// Ends a grant of a broker on another VM, without waiting.
    ///
    /// Releases are sent in batches; one that can't be delivered is counted.
    pub fn release(&self, broker: &VmId, release: GrantRelease) {
        let shared = &self.parts.shared;
        shared.membership().close_grant(broker);
        let notice = GrantNotice::Release(release);
        match self.notice_link(broker) {
            Ok(link) => send_notice(&self.parts.runtime, shared, link, notice),
            Err(error) => {
                shared.counters.lost_notices.add(1);
                log::info!("peer: a release to {broker} is lost: {error}.");
            }
        }
    }

    /// Returns where the broker of a pool is, as this VM sees it now.
    ///
    /// It is on this VM when no other VM is eligible.
    pub fn broker_for(&self, pool: &PoolName) -> BrokerLocation {
        let view = self.parts.shared.view.load();
        match view.choices.broker_of(pool) {
            Some(vm) if vm != self.parts.shared.identity.vm => BrokerLocation::Remote(vm),
            _ => BrokerLocation::Local,
        }
    }

    /// Returns the status of all other VMs, in the order of their names.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.parts.shared.view.load().members.clone()
    }

    /// Returns the number of VMs that take new requests, this one included.
    pub fn eligible_vm_count(&self) -> usize {
        self.parts.shared.view.load().choices.eligible().len()
    }

    /// Says from now on that this VM is about to leave.
    pub fn set_draining(&self) {
        self.parts.shared.membership().set_draining();
        self.parts.shared.publish();
    }

    /// Whether the platform's list was read, each VM on it has answered or is
    /// dead, and no later revision was heard of than the one in force.
    pub fn is_caught_up(&self) -> bool {
        let shared = &self.parts.shared;
        let is_heard = shared.membership().all_peers_contacted();
        is_heard && !shared.revisions.is_behind()
    }

    /// Returns what the duty has counted.
    pub fn counts(&self) -> PeerCounts {
        self.parts.shared.counters.read()
    }

    /// Ends the duty and waits until its thread is done.
    ///
    /// Notices that wait are sent first, for a short time. Questions that wait
    /// end with [`PeerError::Ended`].
    pub fn shut_down(&self) {
        self.parts.stop.send_replace(true);
        let thread = self.parts.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            thread.join().expect("the peer thread doesn't panic");
        }
    }

    /// Returns the link to a VM that is known and not dead.
    /// Returns the link to a VM that can be asked.
    fn link(&self, vm: &VmId) -> Result<Arc<PeerLink>, PeerError> {
        self.link_in(vm, |state| state != MemberState::Dead)
    }

    /// Returns the link to a VM that may be told something.
    ///
    /// A VM that counts as dead may be frozen and come back with its grants,
    /// so notices are kept for it as long as their tries last.
    fn notice_link(&self, vm: &VmId) -> Result<Arc<PeerLink>, PeerError> {
        self.link_in(vm, |_| true)
    }

    fn link_in(
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

/// A caller that waits for a decision.
///
/// Dropped before a decision, it notes that the question is withdrawn; dropped
/// between the arrival of a grant and its taking, it gives the grant back.
struct DecisionWaiter<'a> {
    handle: &'a PeerHandle,
    broker: &'a VmId,
    request: RequestId,
    receiver: oneshot::Receiver<AskResult>,
    is_decided: bool,
}

impl Drop for DecisionWaiter<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.handle.parts.shared.given_up().note(&self.request);
        self.receiver.close();
        if let Ok(Ok(GrantDecision::Granted(grant))) = self.receiver.try_recv() {
            self.handle.release(self.broker, unused_grant(&grant));
        }
    }
}
