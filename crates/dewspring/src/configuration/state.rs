//! The decisions of the configuration duty, as functions of state and event.
//!
//! Nothing here reads a clock or the store: documents come in already read, and
//! `now` is an argument. Main invariant: the revision in force never falls, and
//! its change is never replaced by another one of the same revision.

use std::sync::Arc;
use std::time::Instant;

use thiserror::Error;

use super::exchange::ConfigSnapshot;
use super::reading::ReadingError;
use crate::ids::Revision;
use crate::tables::FleetConfig;

/// Where a document came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentOrigin {
    /// The platform's store.
    Store,
    /// Another VM.
    Peer,
}

/// What was found wrong with a document; the one in force stays.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigProblem {
    /// The document can't be put in force.
    #[error("{0}")]
    Unreadable(ReadingError),
    /// The store holds a lower revision than the one in force; 0 for none.
    #[error("the store holds revision {stored}, behind revision {in_force} in force")]
    StoreBehind {
        /// Revision that the store holds.
        stored: Revision,
        /// Revision in force.
        in_force: Revision,
    },
    /// One revision stands for two changes.
    #[error("revision {revision} is change {in_force} here and change {found} there")]
    ChangeConflict {
        /// The revision of both changes.
        revision: Revision,
        /// Change in force.
        in_force: String,
        /// Change that the document names.
        found: String,
    },
    /// A peer declared another revision than its document holds.
    #[error("a peer declared revision {declared} for a document of revision {found}")]
    WrongDeclaration {
        /// Revision that the peer declared.
        declared: Revision,
        /// Revision that the document holds.
        found: Revision,
    },
}

/// A document with what came of reading it.
#[derive(Clone, Debug)]
pub(super) struct ReadDocument {
    pub bytes: Vec<u8>,
    pub reading: Result<FleetConfig, ReadingError>,
}

/// What happened.
#[derive(Clone, Debug)]
pub(super) enum KeeperEvent {
    /// The store was read; `None` if it holds no document.
    Stored(Option<ReadDocument>),
    /// A peer offered a document under this revision.
    Offered {
        declared: Revision,
        document: ReadDocument,
    },
    /// The store did not answer.
    StoreFailed,
    /// Every reachable peer has been asked for its revision.
    PeersHeard,
}

/// What an event led to.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperStep {
    /// A newer configuration is in force.
    pub adopted: Option<Arc<FleetConfig>>,
    /// A problem to report; problems that persist are reported once.
    pub report: Option<(DocumentOrigin, ConfigProblem)>,
}

/// The document in force, as it was read and as it is passed on.
#[derive(Clone, Debug)]
pub(super) struct AcceptedConfig {
    pub config: Arc<FleetConfig>,
    pub snapshot: Arc<ConfigSnapshot>,
}

/// Everything that the duty remembers.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperState {
    accepted: Option<AcceptedConfig>,
    has_heard_store: bool,
    has_heard_peers: bool,
    store_down_since: Option<Instant>,
    store_problem: Option<ConfigProblem>,
    peer_problem: Option<ConfigProblem>,
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

    /// Returns the time of the first of the store's failures in a row.
    pub fn store_down_since(&self) -> Option<Instant> {
        self.store_down_since
    }

    /// Returns what is wrong with the document that the store holds.
    pub fn store_problem(&self) -> Option<&ConfigProblem> {
        self.store_problem.as_ref()
    }

    /// Tells whether this VM may take requests.
    ///
    /// A configuration is in force, and it is the store's or, while the store
    /// is down, the newest of all reachable peers. Once ready, an outage of the
    /// store changes nothing.
    pub fn is_ready(&self) -> bool {
        self.accepted.is_some() && (self.has_heard_store || self.has_heard_peers)
    }

    /// Tells whether an offer can change anything, before it is read.
    pub fn is_worth_reading(&self, offer: &ConfigSnapshot) -> bool {
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

    /// Takes in an event.
    pub fn apply(&mut self, event: KeeperEvent, now: Instant) -> KeeperStep {
        match event {
            KeeperEvent::Stored(document) => self.apply_stored(document),
            KeeperEvent::Offered { declared, document } => self.apply_offer(declared, document),
            KeeperEvent::StoreFailed => {
                self.store_down_since.get_or_insert(now);
                KeeperStep::default()
            }
            KeeperEvent::PeersHeard => {
                // Peers speak for the store only while it is down, and only if
                // one of them had a document to offer.
                self.has_heard_peers |= self.store_down_since.is_some() && self.accepted.is_some();
                KeeperStep::default()
            }
        }
    }

    fn apply_stored(&mut self, document: Option<ReadDocument>) -> KeeperStep {
        self.has_heard_store = true;
        self.store_down_since = None;
        let outcome = match document {
            Some(document) => self.consider(DocumentOrigin::Store, document),
            None => self.check_not_behind(0).map(|()| None),
        };
        let problem = outcome.as_ref().err().cloned();
        let is_new = problem != self.store_problem;
        self.store_problem = problem;
        step(DocumentOrigin::Store, outcome, is_new)
    }

    fn apply_offer(&mut self, declared: Revision, document: ReadDocument) -> KeeperStep {
        let offer = ConfigSnapshot {
            revision: declared,
            document: document.bytes.clone(),
        };
        let outcome = check_declaration(declared, &document)
            .and_then(|()| self.consider(DocumentOrigin::Peer, document));
        let problem = outcome.as_ref().err().cloned();
        let is_new = problem != self.peer_problem;
        if problem.is_some() {
            self.rejected_offer = Some(offer);
            self.peer_problem = problem;
        }
        step(DocumentOrigin::Peer, outcome, is_new)
    }

    /// Puts a document in force if it is the newest good one.
    fn consider(
        &mut self,
        origin: DocumentOrigin,
        document: ReadDocument,
    ) -> Result<Option<Arc<FleetConfig>>, ConfigProblem> {
        let config = document.reading.map_err(ConfigProblem::Unreadable)?;
        if config.revision > self.revision() {
            return Ok(Some(self.accept(config, document.bytes)));
        }
        if config.revision < self.revision() {
            // A peer that lags is no problem: it will hear the newer revision.
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

fn check_declaration(declared: Revision, document: &ReadDocument) -> Result<(), ConfigProblem> {
    match &document.reading {
        Ok(config) if config.revision != declared => Err(ConfigProblem::WrongDeclaration {
            declared,
            found: config.revision,
        }),
        _ => Ok(()),
    }
}

fn step(
    origin: DocumentOrigin,
    outcome: Result<Option<Arc<FleetConfig>>, ConfigProblem>,
    is_new: bool,
) -> KeeperStep {
    match outcome {
        Ok(adopted) => KeeperStep {
            adopted,
            report: None,
        },
        Err(problem) => KeeperStep {
            adopted: None,
            report: is_new.then_some((origin, problem)),
        },
    }
}
