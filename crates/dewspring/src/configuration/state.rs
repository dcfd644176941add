//! The decisions of the configuration keeper, as a state machine.
//!
//! Nothing here reads a clock or the store: documents arrive already parsed, and
//! `now` is an argument. Main invariant: the revision in force never falls, and
//! a change in force is never replaced by another change of the same revision.

use std::sync::Arc;
use std::time::Instant;

use thiserror::Error;

use super::exchange::ConfigSnapshot;
use super::reader::DocumentReadError;
use crate::ids::Revision;
use crate::tables::FleetConfig;

/// The source of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentOrigin {
    /// The platform's store.
    Store,
    /// Another VM.
    Peer,
}

/// Why a document was rejected; the one in force is kept.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigProblem {
    /// The document can't be put in force.
    #[error("{0}")]
    Unreadable(DocumentReadError),
    /// The store holds a lower revision than the one in force; 0 for none.
    #[error("the store holds revision {stored}, behind revision {in_force} in force")]
    StoreBehind {
        /// Revision that the store holds.
        stored: Revision,
        /// Revision in force.
        in_force: Revision,
    },
    /// Two changes have the same revision.
    #[error("revision {revision} is change {in_force} in force but change {found} in the document")]
    ChangeConflict {
        /// The revision of both changes.
        revision: Revision,
        /// Change in force.
        in_force: String,
        /// Change in the rejected document.
        found: String,
    },
    /// The revision that a peer declared differs from that of its document.
    #[error("a peer declared revision {declared} for a document of revision {found}")]
    RevisionMismatch {
        /// Revision that the peer declared.
        declared: Revision,
        /// Revision of the document.
        found: Revision,
    },
}

/// The bytes of a document, and the result of reading them.
#[derive(Clone, Debug)]
pub(super) struct ParsedDocument {
    pub bytes: Vec<u8>,
    pub parsed: Result<FleetConfig, DocumentReadError>,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub(super) enum KeeperEvent {
    /// The store was read; `None` if it holds no document.
    Stored(Option<ParsedDocument>),
    /// A peer offered a document under this revision.
    Offered {
        declared: Revision,
        document: ParsedDocument,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Every reachable peer has been polled for its revision, and newer
    /// documents have been offered.
    PeersSynced,
}

/// The effects of an event.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperEffects {
    /// Newer configuration that the event put in force.
    pub adopted: Option<Arc<FleetConfig>>,
    /// Problem to log; a problem that persists is logged once.
    pub report: Option<(DocumentOrigin, ConfigProblem)>,
}

/// The document in force, in parsed form and as it is sent to peers.
#[derive(Clone, Debug)]
pub(super) struct AcceptedConfig {
    pub config: Arc<FleetConfig>,
    pub snapshot: Arc<ConfigSnapshot>,
}

/// State of the configuration keeper.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperState {
    accepted: Option<AcceptedConfig>,
    has_read_store: bool,
    has_synced_peers: bool,
    store_down_since: Option<Instant>,
    store_problem: Option<ConfigProblem>,
    peer_problem: Option<ConfigProblem>,
    /// Last rejected offer, which isn't read again.
    rejected_offer: Option<ConfigSnapshot>,
}

impl KeeperState {
    /// Returns the revision in force; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.accepted
            .as_ref()
            .map_or(0, |accepted| accepted.config.revision)
    }

    pub fn accepted(&self) -> Option<&AcceptedConfig> {
        self.accepted.as_ref()
    }

    /// Returns when the current outage of the store was first seen; `None` if the
    /// last call to it succeeded.
    pub fn store_down_since(&self) -> Option<Instant> {
        self.store_down_since
    }

    /// Returns the problem with the document in the store, if any.
    pub fn store_problem(&self) -> Option<&ConfigProblem> {
        self.store_problem.as_ref()
    }

    /// Returns whether this VM may accept requests.
    ///
    /// It may once a configuration is in force and the store has been read or,
    /// while the store was down, all reachable peers were polled. A later outage
    /// of the store doesn't change that.
    pub fn is_ready(&self) -> bool {
        self.accepted.is_some() && (self.has_read_store || self.has_synced_peers)
    }

    /// Returns whether an offer could change the state and must be read.
    pub fn needs_reading(&self, offer: &ConfigSnapshot) -> bool {
        if self.rejected_offer.as_ref() == Some(offer) {
            return false;
        }
        match &self.accepted {
            Some(accepted) if offer.revision == accepted.config.revision => {
                offer.document != accepted.snapshot.document
            }
            _ => offer.revision > self.revision(),
        }
    }

    /// Applies an event and returns its effects.
    pub fn apply(&mut self, event: KeeperEvent, now: Instant) -> KeeperEffects {
        match event {
            KeeperEvent::Stored(document) => self.apply_stored(document),
            KeeperEvent::Offered { declared, document } => self.apply_offer(declared, document),
            KeeperEvent::StoreFailed => {
                self.store_down_since.get_or_insert(now);
                KeeperEffects::default()
            }
            KeeperEvent::PeersSynced => {
                // The poll counts in place of a read of the store only while the
                // store is down, and only if a document is already in force.
                self.has_synced_peers |= self.store_down_since.is_some() && self.accepted.is_some();
                KeeperEffects::default()
            }
        }
    }

    fn apply_stored(&mut self, document: Option<ParsedDocument>) -> KeeperEffects {
        self.has_read_store = true;
        self.store_down_since = None;
        let outcome = match document {
            Some(document) => self.adopt_if_newer(DocumentOrigin::Store, document),
            None => self.check_not_behind(0).map(|()| None),
        };
        let problem = outcome.as_ref().err().cloned();
        let is_new = problem != self.store_problem;
        self.store_problem = problem;
        effects(DocumentOrigin::Store, outcome, is_new)
    }

    fn apply_offer(&mut self, declared: Revision, document: ParsedDocument) -> KeeperEffects {
        let offer = ConfigSnapshot {
            revision: declared,
            document: document.bytes.clone(),
        };
        let outcome = check_declared_revision(declared, &document)
            .and_then(|()| self.adopt_if_newer(DocumentOrigin::Peer, document));
        let problem = outcome.as_ref().err().cloned();
        let is_new = problem != self.peer_problem;
        if problem.is_some() {
            self.rejected_offer = Some(offer);
            self.peer_problem = problem;
        }
        effects(DocumentOrigin::Peer, outcome, is_new)
    }

    /// Puts a valid document in force if it is newer than the current one.
    fn adopt_if_newer(
        &mut self,
        origin: DocumentOrigin,
        document: ParsedDocument,
    ) -> Result<Option<Arc<FleetConfig>>, ConfigProblem> {
        let config = document.parsed.map_err(ConfigProblem::Unreadable)?;
        if config.revision > self.revision() {
            return Ok(Some(self.accept(config, document.bytes)));
        }
        if config.revision < self.revision() {
            // A peer may lag behind; it will be offered the newer revision.
            return match origin {
                DocumentOrigin::Store => self.check_not_behind(config.revision).map(|()| None),
                DocumentOrigin::Peer => Ok(None),
            };
        }
        self.check_same_change(&config).map(|()| None)
    }

    fn accept(&mut self, config: FleetConfig, bytes: Vec<u8>) -> Arc<FleetConfig> {
        let config = Arc::new(config);
        let snapshot = Arc::new(ConfigSnapshot {
            revision: config.revision,
            document: bytes,
        });
        self.accepted = Some(AcceptedConfig {
            config: Arc::clone(&config),
            snapshot,
        });
        config
    }

    fn check_not_behind(&self, stored: Revision) -> Result<(), ConfigProblem> {
        let in_force = self.revision();
        if stored >= in_force {
            return Ok(());
        }
        Err(ConfigProblem::StoreBehind { stored, in_force })
    }

    fn check_same_change(&self, config: &FleetConfig) -> Result<(), ConfigProblem> {
        match &self.accepted {
            Some(accepted) if accepted.config.change_id != config.change_id => {
                Err(ConfigProblem::ChangeConflict {
                    revision: config.revision,
                    in_force: accepted.config.change_id.clone(),
                    found: config.change_id.clone(),
                })
            }
            _ => Ok(()),
        }
    }
}

fn check_declared_revision(
    declared: Revision,
    document: &ParsedDocument,
) -> Result<(), ConfigProblem> {
    match &document.parsed {
        Ok(config) if config.revision != declared => Err(ConfigProblem::RevisionMismatch {
            declared,
            found: config.revision,
        }),
        _ => Ok(()),
    }
}

fn effects(
    origin: DocumentOrigin,
    outcome: Result<Option<Arc<FleetConfig>>, ConfigProblem>,
    is_new: bool,
) -> KeeperEffects {
    match outcome {
        Ok(adopted) => KeeperEffects {
            adopted,
            report: None,
        },
        Err(problem) => KeeperEffects {
            adopted: None,
            report: is_new.then_some((origin, problem)),
        },
    }
}
