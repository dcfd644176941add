//! Changes the stored document at most once per change id.
//!
//! The document is replaced by compare-and-swap on the version that was read.
//! If the response is lost, the swap may still take effect later. The outcome
//! is known only once the document's history contains the change id, or another
//! change with the revision that the swap would have created. Until then the same
//! swap is sent again: all copies expect the same version, so that at most one
//! of them succeeds.

use std::thread;
use std::time::{Duration, Instant};

use dewspring::store::{
    ExpectedVersion, PlatformStore, StoreEntry, StoreError, StoreVersion, SwapOutcome,
};
use dewspring::tables::{ConfigDocument, DocumentChange, HistoryEntry, TableTexts};

use crate::error::CommandError;

/// A fleet's document and its version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredDocument {
    /// The document.
    pub document: ConfigDocument,
    /// Store version of the write that set the document.
    pub version: StoreVersion,
}

/// Reads the document under a key; `None` if there is none.
///
/// # Errors
///
/// [`CommandError::Store`] or [`CommandError::Document`].
///
/// # Examples
///
/// ```
/// use dewctl::commit::read_document;
/// use dewspring::store::EmbeddedStore;
///
/// let stored = read_document(&EmbeddedStore::open(), "/dewspring/north/config")?;
/// assert_eq!(stored, None);
/// # Ok::<(), dewctl::CommandError>(())
/// ```
pub fn read_document(
    store: &impl PlatformStore,
    key: &str,
) -> Result<Option<StoredDocument>, CommandError> {
    let entry = store.get(key)?;
    Ok(entry.map(parse_entry).transpose()?)
}

fn parse_entry(entry: StoreEntry) -> Result<StoredDocument, dewspring::tables::DocumentError> {
    Ok(StoredDocument {
        document: ConfigDocument::from_bytes(&entry.value)?,
        version: entry.version,
    })
}

/// Id, operator and time of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOrigin {
    /// Id of the change, the same for all its attempts.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch.
    pub applied_at: u64,
}

/// Tables proposed to replace the stored ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposedTables {
    /// The stored tables are to be replaced by these.
    Changed(TableTexts),
    /// The stored tables need no change.
    Unchanged,
}

/// Retry limits of a change.
#[derive(Clone, Copy, Debug)]
pub struct CommitLimits {
    /// Time after which no further attempt starts.
    pub retry_timeout: Duration,
    /// Pause before the next attempt after a lost response or a failed request.
    pub retry_pause: Duration,
}

/// Outcome of a successful change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change was applied.
    Applied(AppliedChange),
    /// The stored document needed no change; nothing was written.
    Unchanged(Box<ConfigDocument>),
}

/// A change that is known to have been applied exactly once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedChange {
    /// Entry of the change in the document's history.
    pub entry: HistoryEntry,
    /// Document with the change; `None` if the change was found in the history
    /// of a later document.
    pub document: Option<ConfigDocument>,
    /// Whether the outcome was read back, because a response was lost or an
    /// earlier run applied the change.
    pub was_read_back: bool,
}

/// Replaces the document with the tables that `propose` returns for the current
/// one.
///
/// `propose` is called again each time another change was applied first.
///
/// # Errors
///
/// The errors of `propose`; [`CommandError::Store`], [`CommandError::Document`]
/// or [`CommandError::Contended`] if nothing was changed;
/// [`CommandError::Unknown`] if it is unknown whether the change was applied.
///
/// # Panics
///
/// Panics if `propose` returns [`ProposedTables::Unchanged`] for an absent
/// document.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
/// use dewspring::store::EmbeddedStore;
/// use dewspring::tables::TableTexts;
///
/// let origin = ChangeOrigin {
///     change_id: "c1".to_owned(),
///     operator: "ada".to_owned(),
///     applied_at: 0,
/// };
/// let limits = CommitLimits {
///     retry_timeout: Duration::from_secs(1),
///     retry_pause: Duration::from_millis(10),
/// };
/// let propose = |_: Option<&_>| Ok(ProposedTables::Changed(TableTexts::default()));
/// let outcome = commit_change(&EmbeddedStore::open(), "/key", &origin, propose, limits)?;
/// assert!(matches!(outcome, CommitOutcome::Applied(change) if change.entry.revision == 1));
/// # Ok::<(), dewctl::CommandError>(())
/// ```
pub fn commit_change(
    store: &impl PlatformStore,
    key: &str,
    origin: &ChangeOrigin,
    propose: impl Fn(Option<&ConfigDocument>) -> Result<ProposedTables, CommandError>,
    limits: CommitLimits,
) -> Result<CommitOutcome, CommandError> {
    let mut attempts = CommitAttempts {
        store,
        key,
        origin,
        limits,
        started: Instant::now(),
        unconfirmed: None,
    };
    loop {
        if let Some(outcome) = attempts.attempt(&propose)? {
            return Ok(outcome);
        }
        if attempts.started.elapsed() >= limits.retry_timeout {
            return Err(attempts.timeout_error());
        }
    }
}

/// A compare-and-swap of the document.
#[derive(Clone, Debug)]
struct DocumentSwap {
    expected: ExpectedVersion,
    document: ConfigDocument,
    bytes: Vec<u8>,
}

/// A swap whose response was lost.
#[derive(Clone, Debug)]
struct UnconfirmedSwap {
    swap: DocumentSwap,
    reason: StoreError,
}

/// State of an unconfirmed swap according to the stored document.
enum SwapState {
    Pending,
    Superseded,
    Unknown,
}

struct CommitAttempts<'c, S> {
    store: &'c S,
    key: &'c str,
    origin: &'c ChangeOrigin,
    limits: CommitLimits,
    started: Instant,
    unconfirmed: Option<UnconfirmedSwap>,
}

impl<S: PlatformStore> CommitAttempts<'_, S> {
    /// Reads the document and sends one swap; `None` if another attempt is needed.
    fn attempt(
        &mut self,
        propose: impl Fn(Option<&ConfigDocument>) -> Result<ProposedTables, CommandError>,
    ) -> Result<Option<CommitOutcome>, CommandError> {
        let stored = match read_document(self.store, self.key) {
            Ok(stored) => stored,
            Err(error) => return self.retry_or_fail(error),
        };
        let change_id = &self.origin.change_id;
        let found = stored
            .as_ref()
            .and_then(|stored| stored.document.find_change(change_id));
        if let Some(entry) = found {
            return Ok(Some(self.read_back_outcome(stored, entry)));
        }
        let swap = match self.unconfirmed.take() {
            None => self.prepare_swap(stored.as_ref(), propose)?,
            Some(unconfirmed) => match classify_swap(&unconfirmed.swap, stored.as_ref()) {
                SwapState::Pending => {
                    self.unconfirmed = Some(unconfirmed.clone());
                    Some(unconfirmed.swap)
                }
                SwapState::Superseded => self.prepare_swap(stored.as_ref(), propose)?,
                SwapState::Unknown => return Err(self.unknown(&unconfirmed.reason)),
            },
        };
        match swap {
            Some(swap) => self.send(swap),
            None => {
                let stored = stored.expect("an absent document is never unchanged");
                Ok(Some(CommitOutcome::Unchanged(Box::new(stored.document))))
            }
        }
    }

    /// Builds the next swap; `None` if the stored tables need no change.
    fn prepare_swap(
        &self,
        stored: Option<&StoredDocument>,
        propose: impl Fn(Option<&ConfigDocument>) -> Result<ProposedTables, CommandError>,
    ) -> Result<Option<DocumentSwap>, CommandError> {
        let current = stored.map(|stored| &stored.document);
        let texts = match propose(current)? {
            ProposedTables::Changed(texts) => texts,
            ProposedTables::Unchanged => return Ok(None),
        };
        let change = DocumentChange {
            change_id: self.origin.change_id.clone(),
            operator: self.origin.operator.clone(),
            applied_at: self.origin.applied_at,
            texts,
        };
        let document = match current {
            Some(current) => current.successor(change),
            None => ConfigDocument::first(change),
        };
        Ok(Some(DocumentSwap {
            expected: expected_version(stored),
            bytes: document.to_bytes()?,
            document,
        }))
    }

    fn send(&mut self, swap: DocumentSwap) -> Result<Option<CommitOutcome>, CommandError> {
        let answer = self
            .store
            .compare_and_swap(self.key, swap.expected, &swap.bytes, None);
        match answer {
            Ok(SwapOutcome::Swapped(_)) => {
                let change = AppliedChange {
                    entry: swap.document.history_entry(),
                    document: Some(swap.document),
                    was_read_back: self.unconfirmed.is_some(),
                };
                Ok(Some(CommitOutcome::Applied(change)))
            }
            // The next attempt reads the document that was written first,
            // possibly by an earlier copy of this swap.
            Ok(SwapOutcome::Conflict(_)) => Ok(None),
            Err(reason @ (StoreError::ResponseLost(_) | StoreError::InvalidResponse(_))) => {
                self.unconfirmed = Some(UnconfirmedSwap { swap, reason });
                thread::sleep(self.limits.retry_pause);
                Ok(None)
            }
            Err(error) => self.retry_or_fail(error.into()),
        }
    }

    /// Retries a store error while a swap is unconfirmed.
    ///
    /// Without an unconfirmed swap, nothing was changed and the error is
    /// returned.
    fn retry_or_fail(&self, error: CommandError) -> Result<Option<CommitOutcome>, CommandError> {
        match (&self.unconfirmed, error) {
            (None, error) => Err(error),
            (Some(_), CommandError::Store(_)) => {
                thread::sleep(self.limits.retry_pause);
                Ok(None)
            }
            (Some(_), error) => Err(self.unknown(&error)),
        }
    }

    fn read_back_outcome(
        &self,
        stored: Option<StoredDocument>,
        entry: HistoryEntry,
    ) -> CommitOutcome {
        let document = stored.map(|stored| stored.document);
        CommitOutcome::Applied(AppliedChange {
            document: document.filter(|document| document.revision == entry.revision),
            entry,
            was_read_back: true,
        })
    }

    fn timeout_error(&self) -> CommandError {
        match &self.unconfirmed {
            Some(unconfirmed) => self.unknown(&unconfirmed.reason),
            None => CommandError::Contended,
        }
    }

    fn unknown(&self, reason: &impl ToString) -> CommandError {
        CommandError::Unknown {
            change_id: self.origin.change_id.clone(),
            reason: reason.to_string(),
        }
    }
}

fn expected_version(stored: Option<&StoredDocument>) -> ExpectedVersion {
    stored.map_or(ExpectedVersion::Absent, |stored| {
        ExpectedVersion::Version(stored.version)
    })
}

/// Classifies an unconfirmed swap whose change is not in the stored document.
fn classify_swap(swap: &DocumentSwap, stored: Option<&StoredDocument>) -> SwapState {
    if expected_version(stored) == swap.expected {
        return SwapState::Pending;
    }
    let Some(stored) = stored else {
        return SwapState::Unknown;
    };
    let mut changes = stored.document.changes();
    if changes.any(|entry| entry.revision == swap.document.revision) {
        // Another change created the revision that the swap would have created.
        SwapState::Superseded
    } else {
        SwapState::Unknown
    }
}
