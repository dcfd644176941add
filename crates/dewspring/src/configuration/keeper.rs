//! The running configuration keeper.
//!
//! One thread watches the store and sends what it reads over a bounded channel
//! to a worker thread, which decides what is put in force. Offers from peers use
//! the same channel. Readers get the newest configuration without a lock.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};

use super::exchange::{ConfigExchange, ConfigSnapshot};
use super::publish::{ConfigPublisher, KeeperStatus};
use super::reader::{DocumentReader, read_bounded, read_tables};
use super::state::{KeeperEvent, KeeperState, ParsedDocument};
use super::watcher::StoreWatcher;
use crate::ids::Revision;
use crate::store::PlatformStore;
use crate::tables::FleetConfig;

/// Capacity of the worker's channel, in messages. If it is full, an offer is
/// dropped, since the peer offers again.
const MESSAGE_CAPACITY: usize = 64;

/// Timeout of a watch. A watch on a connection that has fallen silent brings no
/// change, so the read after it must come within the 6 s in which a change is in
/// force everywhere.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings for watching a fleet's document in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperSettings {
    /// Name of the fleet whose document is watched.
    pub fleet: String,
    /// Time after which a watch without events ends and the key is read again.
    pub watch_timeout: Duration,
    /// Pause after the store's first failure.
    pub retry_base: Duration,
    /// Longest pause between calls to a store that keeps failing.
    pub retry_limit: Duration,
    /// Seed of the jitter, different on each VM.
    pub seed: u64,
}

impl KeeperSettings {
    /// Returns the default settings for a fleet.
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
            watch_timeout: WATCH_TIMEOUT,
            retry_base: Duration::from_millis(200),
            retry_limit: Duration::from_secs(5),
            seed,
        }
    }
}

/// A message to the worker thread.
#[derive(Debug)]
pub(super) enum KeeperMessage {
    Stored(Option<Vec<u8>>),
    Offered(ConfigSnapshot),
    StoreFailed,
    PeersSynced,
}

#[derive(Debug)]
struct KeeperInner {
    publisher: Arc<ConfigPublisher>,
    messages: Sender<KeeperMessage>,
    /// Whether an offer was dropped since the peers were last polled.
    has_dropped_offer: AtomicBool,
    /// Never sent to; dropping it wakes the watcher thread.
    _stop: Sender<()>,
}

/// Handle of the running configuration keeper.
///
/// Its threads end when the last clone is dropped and the call to the store
/// that is in progress has returned.
#[derive(Clone, Debug)]
pub struct ConfigKeeper {
    inner: Arc<KeeperInner>,
}

impl ConfigKeeper {
    /// Starts the threads that follow a fleet's configuration.
    ///
    /// # Panics
    ///
    /// If a thread can't be started.
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

    /// Starts the threads that follow a fleet's configuration, with a custom
    /// reader of documents.
    ///
    /// # Panics
    ///
    /// If a thread can't be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::configuration::{ConfigKeeper, DocumentReadError, KeeperSettings};
    /// use dewspring::store::EmbeddedStore;
    ///
    /// let reader = |_: &[u8]| Err(DocumentReadError::Unusable("no tables".to_owned()));
    /// let settings = KeeperSettings::new("north", 7);
    /// let keeper = ConfigKeeper::spawn_with(EmbeddedStore::open(), settings, reader);
    /// assert!(!keeper.is_ready());
    /// ```
    pub fn spawn_with(
        store: impl PlatformStore,
        settings: KeeperSettings,
        reader: impl DocumentReader,
    ) -> Self {
        let publisher = Arc::new(ConfigPublisher::default());
        let (messages, receiver) = bounded(MESSAGE_CAPACITY);
        let (stop, stopped) = bounded(0);
        let watcher = StoreWatcher::new(store, settings, messages.clone(), stopped);
        spawn_thread("config-watcher", move || watcher.run());
        let worker = KeeperWorker {
            state: KeeperState::default(),
            publisher: Arc::clone(&publisher),
            reader,
        };
        spawn_thread("config-keeper", move || worker.run(&receiver));
        Self {
            inner: Arc::new(KeeperInner {
                publisher,
                messages,
                has_dropped_offer: AtomicBool::new(false),
                _stop: stop,
            }),
        }
    }

    /// Returns the configuration in force; an empty one before the first.
    pub fn current(&self) -> Arc<FleetConfig> {
        self.inner.publisher.config()
    }

    /// Returns whether this VM may accept requests.
    ///
    /// It may once a configuration is in force and the store has been read or,
    /// while the store is down, all reachable peers have been polled.
    pub fn is_ready(&self) -> bool {
        self.inner.publisher.is_ready()
    }

    /// Returns the status of the keeper, for metrics and operators.
    pub fn status(&self) -> KeeperStatus {
        self.inner.publisher.status()
    }

    /// Returns a channel that receives each new revision from now on.
    ///
    /// A slow receiver may miss revisions; [`ConfigKeeper::current`] always
    /// returns the newest configuration.
    pub fn subscribe(&self) -> Receiver<Revision> {
        self.inner.publisher.subscribe()
    }

    /// Records that every reachable peer has been polled for its revision, and
    /// that all newer documents have been offered.
    ///
    /// Must be called after each round of polls; a round in which an offer was
    /// dropped doesn't count.
    pub fn record_peers_synced(&self) {
        if self.inner.has_dropped_offer.swap(false, Ordering::AcqRel) {
            return;
        }
        // If the channel is full, the next round sends the message again.
        let _ = self.inner.messages.try_send(KeeperMessage::PeersSynced);
    }
}

impl ConfigExchange for ConfigKeeper {
    fn revision(&self) -> Revision {
        self.inner.publisher.status().revision
    }

    fn snapshot(&self) -> Option<ConfigSnapshot> {
        let snapshot = self.inner.publisher.snapshot()?;
        Some((*snapshot).clone())
    }

    fn offer(&self, snapshot: ConfigSnapshot) {
        let message = KeeperMessage::Offered(snapshot);
        if self.inner.messages.try_send(message).is_err() {
            self.inner.has_dropped_offer.store(true, Ordering::Release);
            log::debug!("configuration: dropped an offer, the message channel is full");
        }
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .expect("the thread starts");
}

/// The worker thread, which reads documents and applies events in order.
struct KeeperWorker<R> {
    state: KeeperState,
    publisher: Arc<ConfigPublisher>,
    reader: R,
}

impl<R: DocumentReader> KeeperWorker<R> {
    fn run(mut self, messages: &Receiver<KeeperMessage>) {
        for message in messages {
            if let Some(event) = self.read(message) {
                self.apply(event);
            }
        }
    }

    /// Converts a message to an event and reads its document; `None` for an
    /// offer that can't change the state.
    fn read(&self, message: KeeperMessage) -> Option<KeeperEvent> {
        match message {
            KeeperMessage::Stored(bytes) => {
                let document = bytes.map(|bytes| self.read_document(bytes));
                Some(KeeperEvent::Stored(document))
            }
            KeeperMessage::Offered(offer) => {
                self.state
                    .needs_reading(&offer)
                    .then(|| KeeperEvent::Offered {
                        declared: offer.revision,
                        document: self.read_document(offer.document),
                    })
            }
            KeeperMessage::StoreFailed => Some(KeeperEvent::StoreFailed),
            KeeperMessage::PeersSynced => Some(KeeperEvent::PeersSynced),
        }
    }

    fn read_document(&self, bytes: Vec<u8>) -> ParsedDocument {
        let parsed = read_bounded(&self.reader, &bytes);
        ParsedDocument { bytes, parsed }
    }

    fn apply(&mut self, event: KeeperEvent) {
        let was_ready = self.state.is_ready();
        let effects = self.state.apply(event, Instant::now());
        self.publisher.publish(&self.state);
        if let Some((origin, problem)) = effects.report {
            log::warn!(
                "configuration: kept revision {}, {origin:?}: {problem}",
                self.state.revision()
            );
        }
        if let Some(config) = effects.adopted {
            log::info!(
                "configuration: revision {} is in force, change {}",
                config.revision,
                config.change_id
            );
            self.publisher.notify(config.revision);
        }
        if self.state.is_ready() && !was_ready {
            log::info!("configuration: ready");
        }
    }
}
