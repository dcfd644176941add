//! Publishes the configuration in force to the rest of the daemon.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

use super::exchange::ConfigSnapshot;
use super::state::{ConfigProblem, KeeperState};
use crate::ids::Revision;
use crate::store::{ExpectedVersion, PlatformStore, StoreError, SwapOutcome};
use crate::tables::{ConfigDocument, FleetConfig, config_key};

/// Capacity of a subscriber's channel, in revisions. If it is full, a revision is
/// dropped, since the subscriber reads the newest configuration anyway.
const SUBSCRIBER_CAPACITY: usize = 4;

/// Status of the configuration keeper, for logs, metrics and operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeeperStatus {
    /// Revision in force; 0 before the first one.
    pub revision: Revision,
    /// Identifier of the change in force.
    pub change_id: String,
    /// Whether this VM may accept requests.
    pub is_ready: bool,
    /// When the current outage of the store was first seen; `None` if the last
    /// call to it succeeded.
    pub store_down_since: Option<Instant>,
    /// Problem with the document in the store, if any.
    pub store_problem: Option<ConfigProblem>,
}

#[derive(Debug, Default)]
struct PublishedConfig {
    config: Arc<FleetConfig>,
    snapshot: Option<Arc<ConfigSnapshot>>,
    status: KeeperStatus,
}

/// The newest state, readable without a lock, and the subscribers to new
/// revisions.
#[derive(Debug, Default)]
pub(super) struct ConfigPublisher {
    published: ArcSwap<PublishedConfig>,
    subscribers: Mutex<Vec<Sender<Revision>>>,
}

impl ConfigPublisher {
    pub fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.published.load().config)
    }

    pub fn snapshot(&self) -> Option<Arc<ConfigSnapshot>> {
        self.published.load().snapshot.clone()
    }

    pub fn status(&self) -> KeeperStatus {
        self.published.load().status.clone()
    }

    pub fn is_ready(&self) -> bool {
        self.published.load().status.is_ready
    }

    /// Makes a new state visible to all readers.
    pub fn publish(&self, state: &KeeperState) {
        let accepted = state.accepted();
        let config = accepted.map_or_else(Arc::default, |accepted| Arc::clone(&accepted.config));
        let status = KeeperStatus {
            revision: config.revision,
            change_id: config.change_id.clone(),
            is_ready: state.is_ready(),
            store_down_since: state.store_down_since(),
            store_problem: state.store_problem().cloned(),
        };
        self.published.store(Arc::new(PublishedConfig {
            config,
            snapshot: accepted.map(|accepted| Arc::clone(&accepted.snapshot)),
            status,
        }));
    }

    pub fn subscribe(&self) -> Receiver<Revision> {
        let (sender, receiver) = bounded(SUBSCRIBER_CAPACITY);
        self.subscribers
            .lock()
            .expect("no holder of the subscribers' lock panics")
            .push(sender);
        receiver
    }

    /// Sends a revision to the subscribers and removes those that have
    /// disconnected.
    pub fn notify(&self, revision: Revision) {
        self.subscribers
            .lock()
            .expect("no holder of the subscribers' lock panics")
            .retain(|subscriber| {
                !matches!(
                    subscriber.try_send(revision),
                    Err(TrySendError::Disconnected(_))
                )
            });
    }
}

/// Stores a fleet's first document, unless the store already holds one.
///
/// A daemon with an embedded store calls this when it starts; operators apply
/// changes with `dewctl`.
///
/// # Errors
///
/// Any [`StoreError`].
///
/// # Examples
///
/// ```
/// use dewspring::configuration::store_initial_document;
/// use dewspring::store::{EmbeddedStore, SwapOutcome};
/// use dewspring::tables::{ConfigDocument, DocumentChange, TableTexts};
///
/// let document = ConfigDocument::first(DocumentChange {
///     change_id: "first".to_owned(),
///     operator: "ada".to_owned(),
///     applied_at: 0,
///     texts: TableTexts::default(),
/// });
/// let outcome = store_initial_document(&EmbeddedStore::open(), "north", &document)?;
/// assert!(matches!(outcome, SwapOutcome::Swapped(_)));
/// # Ok::<(), dewspring::store::StoreError>(())
/// ```
pub fn store_initial_document(
    store: &impl PlatformStore,
    fleet: &str,
    document: &ConfigDocument,
) -> Result<SwapOutcome, StoreError> {
    let bytes = serde_json::to_vec(document).expect("a document is plain JSON");
    store.compare_and_swap(&config_key(fleet), ExpectedVersion::Absent, &bytes, None)
}
