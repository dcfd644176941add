//! The thread around a broker's decisions.
//!
//! One ring leads into the thread. Questions may fill only half of it, so that
//! releases and withdrawals still get through when callers flood the broker.
//! What is only worth its latest value (configuration, marks, reports, share)
//! is left in a mailbox and is never lost.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{self, Sender, TrySendError};
use tokio::sync::oneshot;

use super::control::{BrokerSettings, ServerMark, ServerReport, ShareDivisor};
use super::mailbox::ControlMailbox;
use super::messages::{GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason};
use super::state::BrokerState;
use super::status::BrokerStatus;
use super::thread::{BrokerMessage, BrokerThread};
use crate::ids::{BootId, RequestId, ServerName, VmId};
use crate::tables::FleetConfig;

/// Shortest time after which a caller may come back when the ring is full.
const RING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Spread of the times after which callers may come back, in nanoseconds.
const RING_RETRY_SPREAD: u32 = 1_000_000_000;
/// Step between two such times; it shares no factor with the spread, so that
/// the times repeat only after a whole cycle.
const RING_RETRY_STEP: u32 = 618_033_989;

/// A running broker.
///
/// Clones lead to the same broker. No method but [`join`](Self::join) waits.
#[derive(Clone, Debug)]
pub struct BrokerHandle {
    sender: Sender<BrokerMessage>,
    mailbox: Arc<ControlMailbox>,
    status: Arc<ArcSwap<BrokerStatus>>,
    refusals: Arc<AtomicU32>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl BrokerHandle {
    /// Starts a broker on a thread of its own.
    ///
    /// # Panics
    ///
    /// Panics if the operating system gives no thread.
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
        let (sender, receiver) = channel::bounded(settings.ring_capacity.max(2));
        let mailbox = Arc::new(ControlMailbox::default());
        let status = Arc::new(ArcSwap::from_pointee(BrokerStatus::default()));
        let state = BrokerState::new(settings);
        let thread = BrokerThread::new(state, receiver, Arc::clone(&mailbox), Arc::clone(&status));
        let builder = std::thread::Builder::new().name("broker".into());
        let thread = builder.spawn(move || thread.run());
        let thread = thread.expect("the operating system starts a thread");
        Self {
            sender,
            mailbox,
            status,
            refusals: Arc::new(AtomicU32::new(0)),
            thread: Arc::new(Mutex::new(Some(thread))),
        }
    }

    /// Asks for leave to run a request; the decision comes to `reply`.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the ring is full or the broker has ended; `reply` is
    /// then dropped.
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
    /// };
    /// let (reply, decision) = tokio::sync::oneshot::channel();
    /// handle.request_grant(request, reply).expect("the ring has room");
    /// // No configuration names the pool yet.
    /// let decision = decision.blocking_recv().expect("the broker runs");
    /// assert!(matches!(decision, GrantDecision::Refused(_)));
    /// # handle.shut_down();
    /// # handle.join();
    /// ```
    pub fn request_grant(
        &self,
        request: GrantRequest,
        reply: oneshot::Sender<GrantDecision>,
    ) -> Result<(), Refusal> {
        let half = self.sender.capacity().unwrap_or(usize::MAX) / 2;
        if self.sender.len() >= half {
            return Err(self.ring_refusal(RefusalReason::Overloaded));
        }
        let message = BrokerMessage::Ask(Box::new(request), reply);
        match self.sender.try_send(message) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(self.ring_refusal(RefusalReason::Overloaded)),
            Err(TrySendError::Disconnected(_)) => {
                Err(self.ring_refusal(RefusalReason::ShuttingDown))
            }
        }
    }

    /// Forgets a request whose caller is gone; a grant that it got meanwhile
    /// is given back.
    pub fn withdraw(&self, request: RequestId, entry: VmId, boot: BootId) {
        self.send(BrokerMessage::Withdraw(request, entry, boot));
    }

    /// Ends a grant.
    pub fn release(&self, release: GrantRelease) {
        self.send(BrokerMessage::Release(release));
    }

    /// Follows a configuration.
    pub fn configure(&self, config: Arc<FleetConfig>) {
        self.mailbox.put_config(config);
        self.wake();
    }

    /// Notes a server's report on its load.
    pub fn report(&self, report: ServerReport) {
        self.mailbox.put_report(report);
        self.wake();
    }

    /// Notes what the platform's list says of a server.
    pub fn mark(&self, server: ServerName, mark: ServerMark) {
        self.mailbox.put_mark(server, mark);
        self.wake();
    }

    /// Ends the grants of an entry whose heartbeat is lost.
    pub fn forget_entry(&self, entry: VmId, boot: BootId) {
        self.mailbox.put_lost_entry(entry, boot);
        self.wake();
    }

    /// Follows a new share of the servers' slots.
    pub fn set_share(&self, share: ShareDivisor) {
        self.mailbox.put_share(share);
        self.wake();
    }

    /// Returns the state that the broker last published; it lags by less than
    /// a second.
    pub fn status(&self) -> BrokerStatus {
        BrokerStatus::clone(&self.status.load())
    }

    /// Tells the broker to refuse what waits, and to end.
    pub fn shut_down(&self) {
        self.mailbox.put_shut_down();
        self.wake();
    }

    /// Waits until the broker has ended; [`shut_down`](Self::shut_down) comes
    /// first.
    pub fn join(&self) {
        let thread = self.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            thread.join().expect("the broker's thread doesn't panic");
        }
    }

    fn ring_refusal(&self, reason: RefusalReason) -> Refusal {
        let count = self.refusals.fetch_add(1, Ordering::Relaxed);
        let step = u64::from(count) * u64::from(RING_RETRY_STEP);
        let spread = Duration::from_nanos(step % u64::from(RING_RETRY_SPREAD));
        Refusal {
            reason,
            retry_after: RING_RETRY_AFTER + spread,
        }
    }

    fn send(&self, message: BrokerMessage) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(message) {
            // The grant then ends by its bounded hold time.
            log::warn!("broker: ring full, message dropped");
        }
    }

    fn wake(&self) {
        // A full ring means that the thread is awake and looks into the
        // mailbox before its next message.
        let _ = self.sender.try_send(BrokerMessage::Wake);
    }
}
