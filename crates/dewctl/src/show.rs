//! Reports on the stored document: its tables, revision and history.

use std::fmt;

use dewspring::ids::Revision;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, HistoryEntry, config_key};
use serde::Serialize;

use crate::commit::read_document;
use crate::error::CommandError;

/// Reads a fleet's document from the store.
///
/// # Errors
///
/// [`CommandError::NoDocument`] if there is none, and the errors of
/// [`read_document`].
///
/// # Examples
///
/// ```
/// use dewctl::CommandError;
/// use dewctl::show::read_fleet;
/// use dewspring::store::EmbeddedStore;
///
/// let outcome = read_fleet(&EmbeddedStore::open(), "north");
/// assert!(matches!(outcome, Err(CommandError::NoDocument(_))));
/// ```
pub fn read_fleet(store: &impl PlatformStore, fleet: &str) -> Result<ConfigDocument, CommandError> {
    let stored = read_document(store, &config_key(fleet))?;
    let stored = stored.ok_or_else(|| CommandError::NoDocument(fleet.to_owned()))?;
    Ok(stored.document)
}

/// Report with the stored document; its text form is a listing of both tables.
#[derive(Clone, Debug, Serialize)]
pub struct DocumentReport(pub ConfigDocument);

impl fmt::Display for DocumentReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let document = &self.0;
        writeln!(formatter, "# {}", EntrySummary(&document.history_entry()))?;
        write!(
            formatter,
            "# routes.toml\n{}",
            with_final_newline(&document.routes)
        )?;
        write!(
            formatter,
            "# pools.toml\n{}",
            with_final_newline(&document.pools)
        )
    }
}

fn with_final_newline(text: &str) -> String {
    format!("{}\n", text.trim_end_matches('\n'))
}

/// Report with the revision of the stored document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RevisionReport {
    /// Revision of the stored document.
    pub revision: Revision,
}

impl fmt::Display for RevisionReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.revision)
    }
}

/// Report with the latest changes of the stored document.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReport {
    /// The latest changes, newest first.
    pub changes: Vec<HistoryEntry>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.changes {
            writeln!(formatter, "{}", EntrySummary(entry))?;
        }
        Ok(())
    }
}

struct EntrySummary<'e>(&'e HistoryEntry);

impl fmt::Display for EntrySummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = self.0;
        let (revision, time) = (entry.revision, entry.applied_at_rfc3339());
        let (operator, change) = (&entry.operator, &entry.change_id);
        write!(
            formatter,
            "revision {revision}  {time}  {operator}  change {change}"
        )
    }
}
