//! A change of the stored document, applied at most once.
//!
//! The document is replaced by compare-and-swap on the version that was read.
//! If an answer is lost, the swap may still take effect later, so only two
//! things settle it: the change id stands in the document, or the version has
//! moved on without it. Until then the same swap is sent again: of all copies,
//! the store takes one at most.

use std::thread;
use std::time::{Duration, Instant};

use dewspring::store::{
    ExpectedVersion, PlatformStore, StoreEntry, StoreError, StoreVersion, SwapOutcome,
};
use dewspring::tables::{ConfigDocument, DocumentChange, HistoryEntry, TableTexts};

use crate::error::CommandError;

/// The document of a fleet as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredDocument {
    /// The document.
    pub document: ConfigDocument,
    /// Version of the write that set it.
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

/// Who changes the document, and under which id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOrigin {
    /// Identity of the change, the same for all its attempts.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch.
    pub applied_at: u64,
}

/// Tables that are to replace the stored ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposedTables {
    /// These tables.
    Changed(TableTexts),
    /// The stored tables are as wanted already.
    Unchanged,
}

/// Bounds of the attempts.
#[derive(Clone, Copy, Debug)]
pub struct CommitLimits {
    /// Time after which no new attempt is made.
    pub give_up_after: Duration,
    /// Pause before an attempt that follows a lost answer.
    pub pause: Duration,
}

/// How a change ended that the store has taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change made this revision.
    Applied(AppliedChange),
    /// The stored document was as wanted; nothing was written.
    Unchanged(Box<ConfigDocument>),
}

/// A change that surely took effect once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedChange {
    /// What the document remembers of the change.
    pub entry: HistoryEntry,
    /// The document that the change made; `None` if it was found in the
    /// history of a later one.
    pub document: Option<ConfigDocument>,
    /// Whether an answer was lost and the outcome was read back.
    pub was_read_back: bool,
}

/// Replaces the document by what `propose` makes of the current one.
///
/// `propose` is asked again whenever another change came first.
///
/// # Errors
///
/// What `propose` returns; [`CommandError::Store`] if nothing was changed;
/// [`CommandError::Unknown`] if that is not known.
///
/// # Panics
///
/// Panics if `propose` calls an absent document unchanged.
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
///     give_up_after: Duration::from_secs(1),
///     pause: Duration::from_millis(10),
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
        unsettled: None,
    };
    loop {
        if let Some(outcome) = attempts.attempt(&propose)? {
            return Ok(outcome);
        }
        if attempts.started.elapsed() >= limits.give_up_after {
            return Err(attempts.out_of_time());
        }
    }
}

/// A swap that was or is to be sent.
#[derive(Clone, Debug)]
struct DocumentSwap {
    expected: ExpectedVersion,
    document: ConfigDocument,
    bytes: Vec<u8>,
}

/// A swap whose answer was lost.
#[derive(Clone, Debug)]
struct UnsettledSwap {
    swap: DocumentSwap,
    reason: StoreError,
}

/// What the stored document says of a swap whose answer was lost.
enum SwapFate {
    CanStillTakeEffect,
    NeverWill,
    Unknown,
}

struct CommitAttempts<'c, S> {
    store: &'c S,
    key: &'c str,
    origin: &'c ChangeOrigin,
    limits: CommitLimits,
    started: Instant,
    unsettled: Option<UnsettledSwap>,
}

impl<S: PlatformStore> CommitAttempts<'_, S> {
    /// Reads the document and sends one swap; `None` asks for another round.
    fn attempt(
        &mut self,
        propose: impl Fn(Option<&ConfigDocument>) -> Result<ProposedTables, CommandError>,
    ) -> Result<Option<CommitOutcome>, CommandError> {
        let stored = match read_document(self.store, self.key) {
            Ok(stored) => stored,
            Err(error) => return self.after_failed_read(error),
        };
        let change_id = &self.origin.change_id;
        let found = stored
            .as_ref()
            .and_then(|stored| stored.document.find_change(change_id));
        if let Some(entry) = found {
            return Ok(Some(self.found(stored, entry)));
        }
        let swap = match self.unsettled.take() {
            None => self.prepare(stored.as_ref(), propose)?,
            Some(unsettled) => match swap_fate(&unsettled.swap, stored.as_ref()) {
                SwapFate::CanStillTakeEffect => {
                    self.unsettled = Some(unsettled.clone());
                    Some(unsettled.swap)
                }
                SwapFate::NeverWill => self.prepare(stored.as_ref(), propose)?,
                SwapFate::Unknown => return Err(self.unknown(&unsettled.reason)),
            },
        };
        match swap {
            Some(swap) => self.send(swap),
            None => {
                let stored = stored.expect("only a stored document can be as wanted");
                Ok(Some(CommitOutcome::Unchanged(Box::new(stored.document))))
            }
        }
    }

    /// Makes the next swap; `None` if the stored tables are as wanted.
    fn prepare(
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
                    was_read_back: self.unsettled.is_some(),
                };
                Ok(Some(CommitOutcome::Applied(change)))
            }
            // The next round reads who came first: perhaps an earlier copy of
            // this very swap.
            Ok(SwapOutcome::Conflict(_)) => Ok(None),
            Err(reason @ (StoreError::ResponseLost(_) | StoreError::InvalidResponse(_))) => {
                self.unsettled = Some(UnsettledSwap { swap, reason });
                thread::sleep(self.limits.pause);
                Ok(None)
            }
            Err(error) => self.after_failed_read(error.into()),
        }
    }

    /// Goes on while a swap is unsettled; otherwise nothing was changed and
    /// the error stands.
    fn after_failed_read(
        &self,
        error: CommandError,
    ) -> Result<Option<CommitOutcome>, CommandError> {
        match (&self.unsettled, error) {
            (None, error) => Err(error),
            (Some(_), CommandError::Store(_)) => {
                thread::sleep(self.limits.pause);
                Ok(None)
            }
            (Some(_), error) => Err(self.unknown(&error)),
        }
    }

    fn found(&self, stored: Option<StoredDocument>, entry: HistoryEntry) -> CommitOutcome {
        let document = stored.map(|stored| stored.document);
        CommitOutcome::Applied(AppliedChange {
            document: document.filter(|document| document.revision == entry.revision),
            entry,
            was_read_back: true,
        })
    }

    fn out_of_time(&self) -> CommandError {
        match &self.unsettled {
            Some(unsettled) => self.unknown(&unsettled.reason),
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

/// Judges a swap whose change is not in the stored document.
fn swap_fate(swap: &DocumentSwap, stored: Option<&StoredDocument>) -> SwapFate {
    if expected_version(stored) == swap.expected {
        return SwapFate::CanStillTakeEffect;
    }
    let Some(stored) = stored else {
        return SwapFate::Unknown;
    };
    let mut changes = stored.document.changes();
    if changes.any(|entry| entry.revision == swap.document.revision) {
        // Another change made the revision that the swap would have made.
        SwapFate::NeverWill
    } else {
        SwapFate::Unknown
    }
}
