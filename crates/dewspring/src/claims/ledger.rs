//! The running ledger and the handle through which the entry duty uses it.

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

/// Messages that wait for one writer.
const WRITER_RING: usize = 1024;

/// Time for which claims are kept by default.
const DEFAULT_HORIZON: Duration = Duration::from_secs(24 * 60 * 60);

/// How a VM keeps its claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerSettings {
    /// Name of the fleet whose ledger it is.
    pub fleet: String,
    /// Name of this VM.
    pub vm: VmId,
    /// Boot of this daemon, drawn at its start.
    pub boot: BootId,
    /// Number of pages, the same on all VMs and for all time of a fleet.
    pub page_count: u32,
    /// Time for which claims are kept, the same on all VMs.
    pub horizon: Duration,
    /// Number of threads that write.
    pub writers: u32,
    /// Seed of the jitter, different on each VM.
    pub seed: u64,
}

impl LedgerSettings {
    /// Returns the usual settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::claims::LedgerSettings;
    ///
    /// let settings = LedgerSettings::new("north", "vm-1", 7);
    /// assert_eq!(settings.horizon.as_secs(), 24 * 60 * 60);
    /// ```
    pub fn new(fleet: impl Into<String>, vm: impl Into<VmId>, boot: BootId) -> Self {
        Self {
            fleet: fleet.into(),
            vm: vm.into(),
            boot,
            page_count: 256,
            horizon: DEFAULT_HORIZON,
            writers: 4,
            seed: boot,
        }
    }

    /// Returns the horizon in whole minutes.
    pub(super) fn horizon_minutes(&self) -> u64 {
        self.horizon.as_secs() / 60
    }

    fn owner(&self) -> ClaimOwner {
        ClaimOwner {
            vm: self.vm.clone(),
            boot: self.boot,
        }
    }
}

/// The running ledger of claims of one VM.
#[derive(Debug)]
pub struct ClaimLedger {
    handle: ClaimHandle,
    threads: Vec<JoinHandle<()>>,
}

impl ClaimLedger {
    /// Starts the writers of the ledger.
    ///
    /// # Panics
    ///
    /// If the settings give no page or no writer, or the system no thread.
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
        let (rings, threads) = (0..settings.writers)
            .map(|index| spawn_writer(store.clone(), &settings, &breaker, index))
            .unzip();
        let handle = ClaimHandle {
            rings,
            page_count: settings.page_count,
        };
        Self { handle, threads }
    }

    /// Returns a handle for the entry duty.
    pub fn handle(&self) -> ClaimHandle {
        self.handle.clone()
    }

    /// Writes what waits, tries once more what the store didn't take, and ends.
    ///
    /// # Panics
    ///
    /// If a writer has panicked.
    pub fn shutdown(self) {
        for ring in &self.handle.rings {
            // A writer that has ended needs no word.
            let _ = ring.send(WriterMessage::Stop);
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
    let (ring, messages) = bounded(WRITER_RING);
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
        .expect("the system gives a thread");
    (ring, thread)
}

/// Handle through which requests are claimed; clones share the ledger.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    rings: Vec<Sender<WriterMessage>>,
    page_count: PageNumber,
}

impl ClaimHandle {
    /// Asks whether a request may be sent; the answer comes through `reply`.
    ///
    /// It never blocks: a full ring is answered with
    /// [`ClaimOutcome::Overloaded`] at once. If the receiver of the reply has
    /// gone, the claim is taken back.
    pub fn claim(&self, request: ClaimRequest, reply: oneshot::Sender<ClaimOutcome>) {
        let message = WriterMessage::Claim { request, reply };
        let ring = self.ring(&message);
        let Err(error) = ring.try_send(message) else {
            return;
        };
        if let WriterMessage::Claim { reply, .. } = error.into_inner() {
            let retry_after = retry_after(&mut rand::rng());
            // Nobody waits for the reply if it can't be sent.
            let _ = reply.send(ClaimOutcome::Overloaded { retry_after });
        }
    }

    /// Records the outcome of the request that the token let through.
    ///
    /// # Errors
    ///
    /// [`LedgerOverloaded`] if the outcome is dropped; the claim stands, and
    /// repeats hear that the outcome is unknown.
    pub fn record(
        &self,
        token: ClaimToken,
        outcome: RecordedOutcome,
    ) -> Result<(), LedgerOverloaded> {
        self.send(WriterMessage::Record { token, outcome })
    }

    /// Takes back the claim of a request that surely was not run.
    ///
    /// # Errors
    ///
    /// [`LedgerOverloaded`] if the claim can't be taken back; it stands, and
    /// repeats hear that the outcome is unknown.
    pub fn release(&self, token: ClaimToken) -> Result<(), LedgerOverloaded> {
        self.send(WriterMessage::Release { token })
    }

    fn send(&self, message: WriterMessage) -> Result<(), LedgerOverloaded> {
        self.ring(&message)
            .try_send(message)
            .map_err(|_| LedgerOverloaded)
    }

    /// Returns the ring of the writer of a message's page.
    fn ring(&self, message: &WriterMessage) -> &Sender<WriterMessage> {
        let key = message.key().expect("only the owner stops a writer");
        &self.rings[key.page(self.page_count) as usize % self.rings.len()]
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
