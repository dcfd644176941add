//! The stored form of the two tables: one document with one revision.
//!
//! The document is replaced by compare-and-swap, so each change increments the
//! revision by one and no two changes share a revision.

use std::time::{Duration, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::error::{TableErrors, TableSource};
use super::model::FleetConfig;
use super::verify::{CheckedTables, check_tables};
use crate::ids::Revision;
use crate::store::MAX_VALUE_BYTES;

/// Maximum size of a document in the platform's store, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = MAX_VALUE_BYTES;

/// Maximum number of earlier changes in the history of a document.
pub const HISTORY_LIMIT: usize = 20;

/// File name of the routes table in error messages.
pub const ROUTES_FILE: &str = "routes.toml";

/// File name of the pools table in error messages.
pub const POOLS_FILE: &str = "pools.toml";

/// Returns the key of a fleet's document in the store.
///
/// # Examples
///
/// ```
/// assert_eq!(dewspring::tables::config_key("north"), "/dewspring/north/config");
/// ```
#[must_use]
pub fn config_key(fleet: &str) -> String {
    format!("/dewspring/{fleet}/config")
}

/// Returns a random identifier for a new change: 128 bits as 32 hex digits.
///
/// # Examples
///
/// ```
/// use dewspring::tables::random_change_id;
///
/// assert_ne!(random_change_id(), random_change_id());
/// ```
#[must_use]
pub fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// The texts of both tables as the operators wrote them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableTexts {
    /// Text of the routes table in TOML.
    pub routes: String,
    /// Text of the pools table in TOML.
    pub pools: String,
}

impl TableTexts {
    /// Checks both tables; errors carry the default file names.
    ///
    /// # Errors
    ///
    /// Returns every error of both tables.
    pub fn check(&self) -> Result<CheckedTables, TableErrors> {
        check_texts(&self.routes, &self.pools)
    }
}

fn check_texts(routes: &str, pools: &str) -> Result<CheckedTables, TableErrors> {
    let routes = TableSource {
        file: ROUTES_FILE,
        text: routes,
    };
    let pools = TableSource {
        file: POOLS_FILE,
        text: pools,
    };
    check_tables(routes, pools)
}

/// Error of parsing or serializing a document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {0} bytes; the store accepts at most {MAX_DOCUMENT_BYTES}")]
    TooLarge(usize),
    /// The JSON of the document is invalid.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// The revision is 0, which is reserved for the absence of a document.
    #[error("the document has revision 0")]
    ZeroRevision,
}

/// A change of the tables by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentChange {
    /// Identifier of the change, the same for all attempts to store it.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch.
    pub applied_at: u64,
    /// The new tables.
    pub texts: TableTexts,
}

/// Both tables in the JSON form that the platform's store holds.
///
/// The texts are stored as the operators wrote them, so that `dewctl show`
/// prints them unchanged and errors refer to their lines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Revision of this document, one above the one it replaced.
    pub revision: Revision,
    /// Identifier of the change, chosen by the operator's tool.
    pub change_id: String,
    /// Name of the operator, as passed to the tool.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch; informational only.
    pub applied_at: u64,
    /// Text of the routes table in TOML.
    pub routes: String,
    /// Text of the pools table in TOML.
    pub pools: String,
    /// The latest earlier changes, newest first.
    pub history: Vec<HistoryEntry>,
}

impl ConfigDocument {
    /// Creates the first document of a fleet, with revision 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::tables::{ConfigDocument, DocumentChange, TableTexts};
    ///
    /// let change = DocumentChange {
    ///     change_id: "c1".to_owned(),
    ///     operator: "ada".to_owned(),
    ///     applied_at: 1_700_000_000,
    ///     texts: TableTexts::default(),
    /// };
    /// let first = ConfigDocument::first(change.clone());
    /// assert_eq!(first.revision, 1);
    /// assert_eq!(first.successor(change).revision, 2);
    /// ```
    #[must_use]
    pub fn first(change: DocumentChange) -> Self {
        Self::at_revision(1, change, Vec::new())
    }

    /// Creates the document that replaces this one.
    ///
    /// # Panics
    ///
    /// Panics if the revision is `u64::MAX`, which no fleet reaches.
    #[must_use]
    pub fn successor(&self, change: DocumentChange) -> Self {
        let next = self.revision.checked_add(1);
        let revision = next.expect("revisions don't exhaust 64 bits");
        let history = self.changes().take(HISTORY_LIMIT).collect();
        Self::at_revision(revision, change, history)
    }

    fn at_revision(revision: Revision, change: DocumentChange, history: Vec<HistoryEntry>) -> Self {
        Self {
            revision,
            change_id: change.change_id,
            operator: change.operator,
            applied_at: change.applied_at,
            routes: change.texts.routes,
            pools: change.texts.pools,
            history,
        }
    }

    /// Returns the history entry of this document's own change.
    #[must_use]
    pub fn history_entry(&self) -> HistoryEntry {
        HistoryEntry {
            revision: self.revision,
            change_id: self.change_id.clone(),
            operator: self.operator.clone(),
            applied_at: self.applied_at,
        }
    }

    /// Lists this document's change and those before it, newest first.
    pub fn changes(&self) -> impl Iterator<Item = HistoryEntry> {
        std::iter::once(self.history_entry()).chain(self.history.iter().cloned())
    }

    /// Finds a change by its identifier: this document's own or one in its
    /// history.
    #[must_use]
    pub fn find_change(&self, change_id: &str) -> Option<HistoryEntry> {
        self.changes().find(|entry| entry.change_id == change_id)
    }

    /// Returns the texts of both tables.
    #[must_use]
    pub fn texts(&self) -> TableTexts {
        TableTexts {
            routes: self.routes.clone(),
            pools: self.pools.clone(),
        }
    }

    /// Checks both tables.
    ///
    /// # Errors
    ///
    /// Returns every error of both tables.
    pub fn check(&self) -> Result<FleetConfig, TableErrors> {
        let tables = check_texts(&self.routes, &self.pools)?;
        Ok(FleetConfig {
            revision: self.revision,
            change_id: self.change_id.clone(),
            routes: tables.routes,
            pools: tables.pools,
        })
    }

    /// Serializes the document to JSON.
    ///
    /// # Errors
    ///
    /// [`DocumentError::TooLarge`] if the document exceeds
    /// [`MAX_DOCUMENT_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, DocumentError> {
        let bytes = serde_json::to_vec(self);
        let bytes = bytes.map_err(|error| DocumentError::Unreadable(error.to_string()))?;
        check_size(&bytes)?;
        Ok(bytes)
    }

    /// Parses a document from JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`DocumentError`] if the bytes are too many or not a document,
    /// or if the revision is 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::tables::{ConfigDocument, DocumentError};
    ///
    /// let outcome = ConfigDocument::from_bytes(b"{}");
    /// assert!(matches!(outcome, Err(DocumentError::Unreadable(_))));
    /// ```
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DocumentError> {
        check_size(bytes)?;
        let document: Self = serde_json::from_slice(bytes)
            .map_err(|error| DocumentError::Unreadable(error.to_string()))?;
        if document.revision == 0 {
            return Err(DocumentError::ZeroRevision);
        }
        Ok(document)
    }
}

fn check_size(bytes: &[u8]) -> Result<(), DocumentError> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge(bytes.len()));
    }
    Ok(())
}

/// Metadata of one change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier of the change.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch.
    pub applied_at: u64,
}

/// Unix time of 9999-12-31T23:59:59Z, the last second that RFC 3339 expresses.
const MAX_RFC3339_SECONDS: u64 = 253_402_300_799;

impl HistoryEntry {
    /// Formats the time of the change as RFC 3339 in UTC.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::tables::HistoryEntry;
    ///
    /// let entry = HistoryEntry {
    ///     revision: 1,
    ///     change_id: "c1".to_owned(),
    ///     operator: "ada".to_owned(),
    ///     applied_at: 86_400,
    /// };
    /// assert_eq!(entry.applied_at_rfc3339(), "1970-01-02T00:00:00Z");
    /// ```
    #[must_use]
    pub fn applied_at_rfc3339(&self) -> String {
        let seconds = self.applied_at.min(MAX_RFC3339_SECONDS);
        let time = UNIX_EPOCH + Duration::from_secs(seconds);
        humantime::format_rfc3339_seconds(time).to_string()
    }
}
