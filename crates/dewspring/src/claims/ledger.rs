//! The running ledger, and the handle through which the entry uses it.

use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::breaker::{StoreBreaker, retry_after};
use super::key::{ClaimKey, ClaimOwner, PageNumber};
use super::messages::{ClaimOutcome, ClaimRequest, ClaimToken, LedgerOverloaded, RecordedOutcome};
use super::writer::{ClaimWriter, NonceSource, WriterMessage};
use crate::ids::{BootId, VmId};
use crate::store::PlatformStore;

/// Capacity of each writer's channel, in messages.
const WRITER_CHANNEL_CAPACITY: usize = 1024;

/// Default time for which claims are kept.
const DEFAULT_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Settings of the ledger on one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerSettings {
    /// Name of the fleet that shares the ledger.
    pub fleet: String,
    /// Name of this VM.
    pub vm: VmId,
    /// Random boot identifier of this daemon.
    pub boot: BootId,
    /// Number of pages, the same on all VMs; a fleet never changes it.
    pub page_count: u32,
    /// Time for which claims are kept, the same on all VMs.
    pub retention: Duration,
    /// Number of writer threads.
    pub writers: u32,
    /// Seed of the jitter, different on each VM.
    pub seed: u64,
}

impl LedgerSettings {
    /// Returns the default settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::claims::LedgerSettings;
    ///
    /// let settings = LedgerSettings::new("north", "vm-1", 7);
    /// assert_eq!(settings.retention.as_secs(), 24 * 60 * 60);
    /// ```
    pub fn new(fleet: impl Into<String>, vm: impl Into<VmId>, boot: BootId) -> Self {
        Self {
            fleet: fleet.into(),
            vm: vm.into(),
            boot,
            page_count: 256,
            retention: DEFAULT_RETENTION,
            writers: 4,
            seed: boot,
        }
    }

    /// Returns the retention time in whole minutes.
    pub(super) fn retention_minutes(&self) -> u64 {
        self.retention.as_secs() / 60
    }

    fn owner(&self) -> ClaimOwner {
        ClaimOwner {
            vm: self.vm.clone(),
            boot: self.boot,
        }
    }
}

/// The running ledger of one VM, with its writer threads.
#[derive(Debug)]
pub struct ClaimLedger {
    handle: ClaimHandle,
    threads: Vec<JoinHandle<()>>,
}

impl ClaimLedger {
    /// Starts the writer threads of the ledger.
    ///
    /// # Panics
    ///
    /// If the settings have no pages or no writers, or a thread can't be
    /// started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use dewspring::claims::{
    ///     ClaimKey, ClaimLedger, ClaimOutcome, ClaimRequest, LedgerSettings, RecordedOutcome,
    /// };
    /// use dewspring::store::EmbeddedStore;
    ///
    /// let settings = LedgerSettings::new("north", "vm-1", 7);
    /// let ledger = ClaimLedger::spawn(EmbeddedStore::open(), settings);
    /// let handle = ledger.handle();
    /// let (reply, answer) = tokio::sync::oneshot::channel();
    /// let request = ClaimRequest {
    ///     key: ClaimKey::new("rollehyre", "payment-17"),
    ///     fingerprint: 1,
    ///     declared_minute: None,
    ///     deadline: Instant::now() + Duration::from_secs(5),
    /// };
    /// handle.claim(request, reply);
    /// match answer.blocking_recv().expect("the ledger answers") {
    ///     ClaimOutcome::Claimed(token) => {
    ///         // The request is sent here, once.
    ///         handle.record(token, RecordedOutcome::new(201, "text/plain", b"paid"))?;
    ///     }
    ///     other => panic!("refused: {other:?}"),
    /// }
    /// ledger.shutdown();
    /// # Ok::<(), dewspring::claims::LedgerOverloaded>(())
    /// ```
    pub fn spawn(store: impl PlatformStore, settings: LedgerSettings) -> Self {
        assert!(settings.page_count > 0, "a ledger has pages");
        assert!(settings.writers > 0, "a ledger has writers");
        let breaker = Arc::default();
        let (senders, threads) = (0..settings.writers)
            .map(|index| spawn_writer(store.clone(), &settings, &breaker, index))
            .unzip();
        let handle = ClaimHandle {
            senders,
            page_count: settings.page_count,
        };
        Self { handle, threads }
    }

    /// Returns a handle for the entry.
    pub fn handle(&self) -> ClaimHandle {
        self.handle.clone()
    }

    /// Commits all pending operations, retries the deferred ones once, and
    /// stops the writers.
    ///
    /// # Panics
    ///
    /// If a writer has panicked.
    pub fn shutdown(self) {
        for sender in &self.handle.senders {
            // Sending fails only if the writer has already ended.
            let _ = sender.send(WriterMessage::Stop);
        }
        for thread in self.threads {
            thread.join().expect("no writer panics");
        }
    }
}

fn spawn_writer(
    store: impl PlatformStore,
    settings: &LedgerSettings,
    breaker: &Arc<Mutex<StoreBreaker>>,
    index: u32,
) -> (Sender<WriterMessage>, JoinHandle<()>) {
    let (sender, messages) = bounded(WRITER_CHANNEL_CAPACITY);
    let nonces = NonceSource {
        owner: settings.owner(),
        next: u64::from(index),
        step: u64::from(settings.writers),
    };
    let rng = StdRng::seed_from_u64(settings.seed.wrapping_add(u64::from(index)));
    let writer = ClaimWriter::new(
        store,
        settings.clone(),
        messages,
        nonces,
        Arc::clone(breaker),
        rng,
    );
    let thread = thread::Builder::new()
        .name(format!("claims-{index}"))
        .spawn(move || writer.run())
        .expect("the thread starts");
    (sender, thread)
}

/// Handle for claiming requests; clones share the ledger.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    senders: Vec<Sender<WriterMessage>>,
    page_count: PageNumber,
}

impl ClaimHandle {
    /// Claims a request; the outcome is sent to `reply`.
    ///
    /// Never blocks: if the channel of the writer is full,
    /// [`ClaimOutcome::Overloaded`] is sent at once. If the receiver of the
    /// reply has been dropped, the claim is released.
    pub fn claim(&self, request: ClaimRequest, reply: oneshot::Sender<ClaimOutcome>) {
        let message = WriterMessage::Claim { request, reply };
        let sender = self.sender(&message);
        let Err(error) = sender.try_send(message) else {
            return;
        };
        if let WriterMessage::Claim { reply, .. } = error.into_inner() {
            let retry_after = retry_after(&mut rand::rng());
            // Sending fails only if the receiver was dropped.
            let _ = reply.send(ClaimOutcome::Overloaded { retry_after });
        }
    }

    /// Records the outcome of the request that was sent under this token.
    ///
    /// # Errors
    ///
    /// [`LedgerOverloaded`] if the outcome is dropped; the claim stays in the
    /// ledger, and repeated requests get [`ClaimOutcome::InProgress`].
    pub fn record(
        &self,
        token: ClaimToken,
        outcome: RecordedOutcome,
    ) -> Result<(), LedgerOverloaded> {
        self.send(WriterMessage::Record { token, outcome })
    }

    /// Releases the claim of a request that certainly did not run.
    ///
    /// # Errors
    ///
    /// [`LedgerOverloaded`] if the release is dropped; the claim stays in the
    /// ledger, and repeated requests get [`ClaimOutcome::InProgress`].
    pub fn release(&self, token: ClaimToken) -> Result<(), LedgerOverloaded> {
        self.send(WriterMessage::Release { token })
    }

    fn send(&self, message: WriterMessage) -> Result<(), LedgerOverloaded> {
        self.sender(&message)
            .try_send(message)
            .map_err(|_| LedgerOverloaded)
    }

    /// Returns the channel of the writer that owns the message's page.
    fn sender(&self, message: &WriterMessage) -> &Sender<WriterMessage> {
        let key = message.key().expect("handles never send `Stop`");
        &self.senders[key.page(self.page_count) as usize % self.senders.len()]
    }
}

impl WriterMessage {
    fn key(&self) -> Option<ClaimKey> {
        match self {
            Self::Claim { request, .. } => Some(request.key),
            Self::Record { token, .. } | Self::Release { token } => Some(token.key),
            Self::Stop => None,
        }
    }
}
