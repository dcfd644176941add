//! The running configuration duty.
//!
//! One thread waits on the store, one decides; a bounded ring joins them, and
//! peers' offers go into the same ring. Readers take the newest configuration
//! without a lock.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};

use super::exchange::{ConfigExchange, ConfigSnapshot};
use super::publish::{ConfigBoard, KeeperStatus};
use super::reading::{DocumentReader, read_bounded, read_tables};
use super::state::{KeeperEvent, KeeperState, ReadDocument};
use super::watcher::StoreWatcher;
use crate::ids::Revision;
use crate::store::PlatformStore;
use crate::tables::FleetConfig;

/// Messages that wait for the deciding thread; an offer that finds the ring
/// full is dropped, since the peer offers again.
const MESSAGE_RING: usize = 64;

/// How the duty watches the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperSettings {
    /// Name of the fleet whose document is kept.
    pub fleet: String,
    /// Time after which a quiet watch is followed by a read.
    pub watch_timeout: Duration,
    /// Pause after the store's first failure.
    pub retry_base: Duration,
    /// Longest pause between tries of a store that fails.
    pub retry_limit: Duration,
    /// Seed of the jitter, different on each VM.
    pub seed: u64,
}

impl KeeperSettings {
    /// Returns the usual settings for a fleet.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::configuration::KeeperSettings;
    ///
    /// let settings = KeeperSettings::new("north", 7);
    /// assert!(settings.retry_base < settings.retry_limit);
    /// ```
    pub fn new(fleet: impl Into<String>, seed: u64) -> Self {
        Self {
            fleet: fleet.into(),
            watch_timeout: Duration::from_secs(10),
            retry_base: Duration::from_millis(200),
            retry_limit: Duration::from_secs(5),
            seed,
        }
    }
}

/// What the deciding thread is told.
#[derive(Debug)]
pub(super) enum KeeperMessage {
    Stored(Option<Vec<u8>>),
    Offered(ConfigSnapshot),
    StoreFailed,
    PeersHeard,
}

#[derive(Debug)]
struct KeeperInner {
    board: Arc<ConfigBoard>,
    messages: Sender<KeeperMessage>,
    /// Whether an offer was dropped since the last round of the peers.
    has_dropped_offer: AtomicBool,
    /// Held only so that its drop wakes the watching thread.
    _stop: Sender<()>,
}

/// Handle of the running configuration duty; its threads end when the last
/// clone is dropped, at the latest with the watch that is under way.
#[derive(Clone, Debug)]
pub struct ConfigKeeper {
    inner: Arc<KeeperInner>,
}

impl ConfigKeeper {
    /// Starts to keep a fleet's configuration.
    ///
    /// # Panics
    ///
    /// If the system gives no thread.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::configuration::{ConfigKeeper, KeeperSettings};
    /// use dewspring::store::EmbeddedStore;
    ///
    /// let keeper = ConfigKeeper::spawn(EmbeddedStore::open(), KeeperSettings::new("north", 7));
    /// assert_eq!(keeper.current().revision, 0);
    /// ```
    pub fn spawn(store: impl PlatformStore, settings: KeeperSettings) -> Self {
        Self::spawn_with(store, settings, read_tables)
    }

    /// Starts to keep a fleet's configuration, with a given reader.
    ///
    /// # Panics
    ///
    /// If the system gives no thread.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::configuration::{ConfigKeeper, KeeperSettings, ReadingError};
    /// use dewspring::store::EmbeddedStore;
    ///
    /// let reader = |_: &[u8]| Err(ReadingError::Unusable("no tables".to_owned()));
    /// let settings = KeeperSettings::new("north", 7);
    /// let keeper = ConfigKeeper::spawn_with(EmbeddedStore::open(), settings, reader);
    /// assert!(!keeper.is_ready());
    /// ```
    pub fn spawn_with(
        store: impl PlatformStore,
        settings: KeeperSettings,
        reader: impl DocumentReader,
    ) -> Self {
        let board = Arc::new(ConfigBoard::default());
        let (messages, receiver) = bounded(MESSAGE_RING);
        let (stop, stopped) = bounded(0);
        let watcher = StoreWatcher::new(store, settings, messages.clone(), stopped);
        spawn_thread("config-watcher", move || watcher.run());
        let decider = ConfigDecider {
            state: KeeperState::default(),
            board: Arc::clone(&board),
            reader,
        };
        spawn_thread("config-keeper", move || decider.run(&receiver));
        Self {
            inner: Arc::new(KeeperInner {
                board,
                messages,
                has_dropped_offer: AtomicBool::new(false),
                _stop: stop,
            }),
        }
    }

    /// Returns the configuration in force; the empty one before the first.
    pub fn current(&self) -> Arc<FleetConfig> {
        self.inner.board.config()
    }

    /// Tells whether this VM may take requests.
    ///
    /// It may once a configuration is in force that the store gave or, while
    /// the store is down, that all reachable peers have been asked for.
    pub fn is_ready(&self) -> bool {
        self.inner.board.is_ready()
    }

    /// Returns the state of the duty, for metrics and operators.
    pub fn status(&self) -> KeeperStatus {
        self.inner.board.status()
    }

    /// Returns a ring that tells of each new revision from now on.
    ///
    /// Revisions may be left out if the reader is slow; the newest
    /// configuration is always [`ConfigKeeper::current`].
    pub fn subscribe(&self) -> Receiver<Revision> {
        self.inner.board.subscribe()
    }

    /// Says that every reachable peer has been asked for its revision, and
    /// that all newer documents have been offered before.
    ///
    /// To be called after each round; a round whose offer was dropped doesn't
    /// count.
    pub fn record_peers_synced(&self) {
        if self.inner.has_dropped_offer.swap(false, Ordering::AcqRel) {
            return;
        }
        // If the ring is full the next round says it again.
        let _ = self.inner.messages.try_send(KeeperMessage::PeersHeard);
    }
}

impl ConfigExchange for ConfigKeeper {
    fn revision(&self) -> Revision {
        self.inner.board.status().revision
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        let snapshot = self.inner.board.snapshot()?;
        Some((*snapshot).clone())
    }

    fn offer(&self, snapshot: ConfigSnapshot) {
        let message = KeeperMessage::Offered(snapshot);
        if self.inner.messages.try_send(message).is_err() {
            self.inner.has_dropped_offer.store(true, Ordering::Release);
            log::debug!("configuration: dropped an offer, the ring is full");
        }
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .expect("the system gives a thread");
}

/// The deciding thread: it reads documents and applies events in order.
struct ConfigDecider<R> {
    state: KeeperState,
    board: Arc<ConfigBoard>,
    reader: R,
}

impl<R: DocumentReader> ConfigDecider<R> {
    fn run(mut self, messages: &Receiver<KeeperMessage>) {
        for message in messages {
            if let Some(event) = self.read(message) {
                self.apply(event);
            }
        }
    }

    /// Reads the document that a message carries, if it can matter.
    fn read(&self, message: KeeperMessage) -> Option<KeeperEvent> {
        match message {
            KeeperMessage::Stored(bytes) => {
                let document = bytes.map(|bytes| self.read_document(bytes));
                Some(KeeperEvent::Stored(document))
            }
            KeeperMessage::Offered(offer) => {
                self.state
                    .is_worth_reading(&offer)
                    .then(|| KeeperEvent::Offered {
                        declared: offer.revision,
                        document: self.read_document(offer.document),
                    })
            }
            KeeperMessage::StoreFailed => Some(KeeperEvent::StoreFailed),
            KeeperMessage::PeersHeard => Some(KeeperEvent::PeersHeard),
        }
    }

    fn read_document(&self, bytes: Vec<u8>) -> ReadDocument {
        let reading = read_bounded(&self.reader, &bytes);
        ReadDocument { bytes, reading }
    }

    fn apply(&mut self, event: KeeperEvent) {
        let was_ready = self.state.is_ready();
        let step = self.state.apply(event, Instant::now());
        self.board.publish(&self.state);
        if let Some((origin, problem)) = step.report {
            log::warn!(
                "configuration: kept revision {}, {origin:?}: {problem}",
                self.state.revision()
            );
        }
        if let Some(config) = step.adopted {
            log::info!(
                "configuration: revision {} is in force, change {}",
                config.revision,
                config.change_id
            );
            self.board.notify(config.revision);
        }
        if self.state.is_ready() && !was_ready {
            log::info!("configuration: ready");
        }
    }
}
