//! The thread that watches the store for a newer document.
//!
//! It reads the key, watches from the version that it read, and reads again
//! after each watch without events. That read detects a store that was restored
//! with older data, which a watch doesn't report. At most one call is in
//! progress at any time.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::keeper::{KeeperMessage, KeeperSettings};
use crate::store::{PlatformStore, StoreEntry, StoreError, StoreVersion, backoff_delay};
use crate::tables::config_key;

/// Shortest interval between watches, which limits the rate of calls if the
/// store ends watches early.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The handles of the keeper were dropped, so the watcher must stop.
struct WatcherStopped;

pub(super) struct StoreWatcher<S> {
    store: S,
    key: String,
    settings: KeeperSettings,
    messages: Sender<KeeperMessage>,
    stop: Receiver<()>,
    rng: StdRng,
    failures: u32,
}

impl<S: PlatformStore> StoreWatcher<S> {
    pub fn new(
        store: S,
        settings: KeeperSettings,
        messages: Sender<KeeperMessage>,
        stop: Receiver<()>,
    ) -> Self {
        Self {
            store,
            key: config_key(&settings.fleet),
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            messages,
            stop,
            failures: 0,
        }
    }

    /// Watches until all handles of the keeper are dropped.
    pub fn run(mut self) {
        while self.read_and_watch().is_ok() {}
    }

    /// Reads the key and watches it until a watch ends without an event or the
    /// store fails.
    fn read_and_watch(&mut self) -> Result<(), WatcherStopped> {
        let mut version = match self.store.get(&self.key) {
            Ok(entry) => self.handle_entry(entry)?,
            Err(error) => return self.handle_failure(&error),
        };
        loop {
            let started = Instant::now();
            let watched = self
                .store
                .watch(&self.key, version, self.settings.watch_timeout);
            match watched {
                Ok(Some(entry)) => version = self.handle_entry(Some(entry))?,
                Ok(None) => return self.limit_watch_rate(started),
                Err(error) => return self.handle_failure(&error),
            }
        }
    }

    fn handle_entry(&mut self, entry: Option<StoreEntry>) -> Result<StoreVersion, WatcherStopped> {
        self.failures = 0;
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        let bytes = entry.map(|entry| entry.value);
        self.send(KeeperMessage::Stored(bytes))?;
        Ok(version)
    }

    fn handle_failure(&mut self, error: &StoreError) -> Result<(), WatcherStopped> {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            log::warn!("configuration: store failed: {error}");
        }
        self.send(KeeperMessage::StoreFailed)?;
        let (base, limit) = (self.settings.retry_base, self.settings.retry_limit);
        let delay = backoff_delay(self.failures, base, limit, &mut self.rng);
        self.pause(delay)
    }

    fn limit_watch_rate(&mut self, started: Instant) -> Result<(), WatcherStopped> {
        let shortest = MIN_WATCH_INTERVAL.min(self.settings.watch_timeout);
        self.pause(shortest.saturating_sub(started.elapsed()))
    }

    fn send(&self, message: KeeperMessage) -> Result<(), WatcherStopped> {
        self.messages.send(message).map_err(|_| WatcherStopped)
    }

    /// Sleeps, but returns early if the handles are dropped.
    fn pause(&self, delay: Duration) -> Result<(), WatcherStopped> {
        match self.stop.recv_timeout(delay) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            _ => Err(WatcherStopped),
        }
    }
}
