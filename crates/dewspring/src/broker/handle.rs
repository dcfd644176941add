//! Handle to a broker that runs on its own thread.
//!
//! Messages reach the thread through one bounded channel. Grant requests may
//! fill only half of it, so that releases and withdrawals still get through
//! when callers flood the broker. Inputs of which only the latest value matters
//! (configuration, marks, reports, share) go through a mailbox and are never
//! lost.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{self, Sender, TrySendError};
use tokio::sync::oneshot;

use super::control::{BrokerSettings, ServerMark, ServerReport, ShareDivisor};
use super::mailbox::ControlMailbox;
use super::messages::{GrantRelease, GrantRequest, Refusal, RefusalReason};
use super::pending::PendingDecision;
use super::state::BrokerState;
use super::status::BrokerStatus;
use super::thread::{BrokerMessage, BrokerThread};
use crate::ids::{BootId, RequestId, ServerName, VmId};
use crate::tables::FleetConfig;

/// Shortest retry delay of a caller when the channel is full.
const CHANNEL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Range of the jitter on that delay.
const CHANNEL_RETRY_JITTER_NANOS: u32 = 1_000_000_000;
/// Step from one jitter value to the next. It is coprime to the range, so that
/// the values repeat only after a full cycle.
const CHANNEL_RETRY_STEP_NANOS: u32 = 618_033_989;

/// Handle to a running broker.
///
/// Clones refer to the same broker. Only [`join`](Self::join) blocks.
#[derive(Clone, Debug)]
pub struct BrokerHandle {
    sender: Sender<BrokerMessage>,
    mailbox: Arc<ControlMailbox>,
    status: Arc<ArcSwap<BrokerStatus>>,
    refusals: Arc<AtomicU32>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl BrokerHandle {
    /// Starts a broker on a new thread.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't create the thread.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::broker::{BrokerHandle, BrokerSettings};
    ///
    /// let handle = BrokerHandle::spawn(BrokerSettings::new("vm-1", 7));
    /// assert_eq!(handle.status().queued(), 0);
    /// handle.shut_down();
    /// handle.join();
    /// ```
    pub fn spawn(settings: BrokerSettings) -> Self {
        let (sender, receiver) = channel::bounded(settings.channel_capacity.max(2));
        let mailbox = Arc::new(ControlMailbox::default());
        let status = Arc::new(ArcSwap::from_pointee(BrokerStatus::default()));
        let state = BrokerState::new(settings);
        let thread = BrokerThread::new(state, receiver, Arc::clone(&mailbox), Arc::clone(&status));
        let builder = std::thread::Builder::new().name("broker".into());
        let thread = builder.spawn(move || thread.run());
        let thread = thread.expect("failed to spawn the broker thread");
        Self {
            sender,
            mailbox,
            status,
            refusals: Arc::new(AtomicU32::new(0)),
            thread: Arc::new(Mutex::new(Some(thread))),
        }
    }

    /// Requests a grant for a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if too many messages are queued or the broker has
    /// stopped.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use dewspring::broker::{BrokerHandle, BrokerSettings, GrantDecision, GrantRequest};
    ///
    /// let handle = BrokerHandle::spawn(BrokerSettings::new("vm-1", 7));
    /// let request = GrantRequest {
    ///     request: "vm-2/1".into(),
    ///     entry: "vm-2".into(),
    ///     entry_boot: 3,
    ///     pool: "rate-drafting".into(),
    ///     class: "memo".into(),
    ///     tier: 1,
    ///     workspace: "office".into(),
    ///     waited: Duration::ZERO,
    ///     target_left: Duration::from_secs(60),
    ///     timeout_left: Duration::from_secs(120),
    ///     late_is_useful: true,
    ///     floor_percent: 10,
    ///     prompt_tokens: 400,
    ///     max_tokens: None,
    ///     prefix: None,
    ///     excluded: Vec::new(),
    ///     fingerprint: 0,
    /// };
    /// let decision = handle.request_grant(request).expect("the channel has capacity");
    /// // No configuration names the pool yet.
    /// let decision = decision.blocking_recv().expect("the broker runs");
    /// assert!(matches!(decision, GrantDecision::Refused(_)));
    /// # handle.shut_down();
    /// # handle.join();
    /// ```
    pub fn request_grant(&self, request: GrantRequest) -> Result<PendingDecision, Refusal> {
        let request_limit = self.sender.capacity().unwrap_or(usize::MAX) / 2;
        if self.sender.len() >= request_limit {
            return Err(self.channel_refusal(RefusalReason::Overloaded));
        }
        let (reply, decision) = oneshot::channel();
        let message = BrokerMessage::RequestGrant(Box::new(request), reply);
        match self.sender.try_send(message) {
            Ok(()) => Ok(PendingDecision::new(
                decision,
                Arc::clone(&self.mailbox),
                self.sender.clone(),
            )),
            Err(TrySendError::Full(_)) => Err(self.channel_refusal(RefusalReason::Overloaded)),
            Err(TrySendError::Disconnected(_)) => {
                Err(self.channel_refusal(RefusalReason::ShuttingDown))
            }
        }
    }

    /// Withdraws a request whose entry no longer waits for a decision; a grant
    /// issued in the meantime is returned unused.
    pub fn withdraw(&self, request: RequestId, entry: VmId, boot: BootId) {
        self.send(BrokerMessage::Withdraw(request, entry, boot));
    }

    /// Ends a grant.
    pub fn release(&self, release: GrantRelease) {
        self.send(BrokerMessage::Release(release));
    }

    /// Applies a configuration, unless a newer one is already applied.
    pub fn configure(&self, config: Arc<FleetConfig>) {
        self.mailbox.put_config(config);
        self.wake();
    }

    /// Passes a server's load report to the broker.
    pub fn report(&self, report: ServerReport) {
        self.mailbox.put_report(report);
        self.wake();
    }

    /// Passes the state of a server in the platform's list to the broker.
    pub fn mark(&self, server: ServerName, mark: ServerMark) {
        self.mailbox.put_mark(server, mark);
        self.wake();
    }

    /// Withdraws the grant requests and ends the grants of an entry that died or
    /// was restarted.
    pub fn forget_entry(&self, entry: VmId, boot: BootId) {
        self.mailbox.put_lost_entry(entry, boot);
        self.wake();
    }

    /// Sets the broker's share of the servers' slots.
    pub fn set_share(&self, share: ShareDivisor) {
        self.mailbox.put_share(share);
        self.wake();
    }

    /// Returns the last published status, which lags by less than a second.
    pub fn status(&self) -> BrokerStatus {
        BrokerStatus::clone(&self.status.load())
    }

    /// Starts the shutdown of the broker, which refuses all queued requests.
    pub fn shut_down(&self) {
        self.mailbox.put_shut_down();
        self.wake();
    }

    /// Blocks until the broker has stopped; call [`shut_down`](Self::shut_down)
    /// first.
    pub fn join(&self) {
        let thread = self.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            thread.join().expect("the broker thread panicked");
        }
    }

    fn channel_refusal(&self, reason: RefusalReason) -> Refusal {
        let count = self.refusals.fetch_add(1, Ordering::Relaxed);
        let step = u64::from(count) * u64::from(CHANNEL_RETRY_STEP_NANOS);
        let jitter = Duration::from_nanos(step % u64::from(CHANNEL_RETRY_JITTER_NANOS));
        Refusal {
            reason,
            retry_after: CHANNEL_RETRY_AFTER + jitter,
        }
    }

    fn send(&self, message: BrokerMessage) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(message) {
            // The broker's count of the grant is corrected when the grant
            // expires.
            log::warn!("broker: message dropped because the channel is full");
        }
    }

    fn wake(&self) {
        // A full channel means that the thread is awake and will read the
        // mailbox before its next message.
        let _ = self.sender.try_send(BrokerMessage::Wake);
    }
}
