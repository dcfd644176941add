//! What the rest of the daemon sees of the configuration duty.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

use super::exchange::ConfigSnapshot;
use super::state::{ConfigProblem, KeeperState};
use crate::ids::Revision;
use crate::store::{ExpectedVersion, PlatformStore, StoreError, SwapOutcome};
use crate::tables::{ConfigDocument, FleetConfig, config_key};

/// Revisions that wait for one subscriber; a full ring loses nothing, since
/// the subscriber reads the newest configuration anyway.
const SUBSCRIBER_RING: usize = 4;

/// State of the configuration duty, for logs, metrics and operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeeperStatus {
    /// Revision in force; 0 before the first one.
    pub revision: Revision,
    /// Change in force.
    pub change_id: String,
    /// Whether this VM may take requests.
    pub is_ready: bool,
    /// Time of the first of the store's failures in a row; `None` while it
    /// answers.
    pub store_down_since: Option<Instant>,
    /// What is wrong with the document that the store holds.
    pub store_problem: Option<ConfigProblem>,
}

#[derive(Debug, Default)]
struct PublishedConfig {
    config: Arc<FleetConfig>,
    snapshot: Option<Arc<ConfigSnapshot>>,
    status: KeeperStatus,
}

/// The newest state, read without a lock, and who is told of new revisions.
#[derive(Debug, Default)]
pub(super) struct ConfigBoard {
    published: ArcSwap<PublishedConfig>,
    subscribers: Mutex<Vec<Sender<Revision>>>,
}

impl ConfigBoard {
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

    /// Shows a new state to all readers.
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
        let (sender, receiver) = bounded(SUBSCRIBER_RING);
        self.subscribers
            .lock()
            .expect("no holder of the subscribers' lock panics")
            .push(sender);
        receiver
    }

    /// Tells the subscribers of a revision and forgets those that are gone.
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

/// Puts a fleet's first document into a store that holds none.
///
/// A daemon on an embedded store starts in this way; operators' changes go
/// through their own tool.
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
