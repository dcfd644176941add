//! Shows what the store holds: the tables, their revision and the history.

use std::fmt;

use dewspring::ids::Revision;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, HistoryEntry, config_key};
use serde::Serialize;

use crate::commit::read_document;
use crate::error::CommandError;

/// Reads a fleet's document.
///
/// # Errors
///
/// [`CommandError::NoDocument`] if there is none, and what
/// [`read_document`] returns.
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

/// The tables that the store holds.
#[derive(Clone, Debug, Serialize)]
pub struct ShownDocument(pub ConfigDocument);

impl fmt::Display for ShownDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let document = &self.0;
        writeln!(formatter, "# {}", ShownEntry(&document.history_entry()))?;
        write!(formatter, "# routes.toml\n{}", ended(&document.routes))?;
        write!(formatter, "# pools.toml\n{}", ended(&document.pools))
    }
}

fn ended(text: &str) -> String {
    format!("{}\n", text.trim_end_matches('\n'))
}

/// The revision that the store holds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ShownRevision {
    /// The revision.
    pub revision: Revision,
}

impl fmt::Display for ShownRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.revision)
    }
}

/// The latest changes, newest first.
#[derive(Clone, Debug, Serialize)]
pub struct ShownHistory {
    /// The changes.
    pub changes: Vec<HistoryEntry>,
}

impl fmt::Display for ShownHistory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.changes {
            writeln!(formatter, "{}", ShownEntry(entry))?;
        }
        Ok(())
    }
}

struct ShownEntry<'e>(&'e HistoryEntry);

impl fmt::Display for ShownEntry<'_> {
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
