//! Reports a conflict with another operator's change.

use std::fmt;

use dewspring::ids::Revision;
use dewspring::tables::{CheckedTables, ConfigDocument, HistoryEntry, RowKey, TableDiff};
use serde::Serialize;

use crate::apply::{ApplyBase, ApplyRequest};

/// Conflict between an apply request and the stored document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConflictReport {
    /// Revision of the stored document; 0 if there is none.
    pub revision: Revision,
    /// Operator who applied that revision.
    pub operator: String,
    /// Time at which that revision was applied, as text.
    pub applied: String,
    /// Base revision of the edit; 0 if it has none.
    pub base_revision: Revision,
    /// Rows changed by both the request and others, if a rebase was tried.
    pub rows: Vec<RowKey>,
    /// Changes by others since the base, if both documents are available.
    pub theirs: Option<TableDiff>,
    /// Changes that the refused tables would make to the stored ones, if both
    /// can be read.
    pub refused: Option<TableDiff>,
}

impl ConflictReport {
    /// Compares a refused request with the stored document.
    pub(crate) fn new(
        request: &ApplyRequest,
        current: Option<&ConfigDocument>,
        rows: Vec<RowKey>,
    ) -> Self {
        let current_tables = current.and_then(check_document);
        let base_tables = request.base.document().and_then(check_document);
        let request_tables = request.texts.check().ok();
        let diff_between = |before: Option<&CheckedTables>, after: Option<&CheckedTables>| {
            Some(TableDiff::between(before?, after?))
        };
        let entry = current.map(ConfigDocument::history_entry);
        let entry_text =
            |text: fn(&HistoryEntry) -> String| entry.as_ref().map_or_else(String::new, text);
        Self {
            revision: entry.as_ref().map_or(0, |entry| entry.revision),
            operator: entry_text(|entry| entry.operator.clone()),
            applied: entry_text(HistoryEntry::applied_at_rfc3339),
            base_revision: match &request.base {
                ApplyBase::Absent => 0,
                ApplyBase::Revision(revision) => *revision,
                ApplyBase::Document(base) => base.revision,
            },
            rows,
            theirs: diff_between(base_tables.as_ref(), current_tables.as_ref()),
            refused: diff_between(current_tables.as_ref(), request_tables.as_ref()),
        }
    }

    fn write_cause(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            operator,
            applied,
            base_revision: base,
            ..
        } = self;
        match (*revision, *base) {
            (0, _) => writeln!(
                formatter,
                "conflict: the edit started from revision {base}, but the store holds no configuration; \
                 if the fleet is new, pass --expect 0"
            ),
            (_, 0) => writeln!(
                formatter,
                "conflict: the store holds revision {revision} of {operator} ({applied}), and the base of the edit is unknown; \
                 fetch the stored tables with `dewctl show --to DIR`, or name the revision with --expect"
            ),
            (current, base) if current == base => writeln!(
                formatter,
                "conflict: the edit started from a different revision {base} than the stored one of {operator} ({applied})"
            ),
            _ => writeln!(
                formatter,
                "conflict: the edit started from revision {base}, but the store holds revision {revision} of {operator} ({applied})"
            ),
        }
    }
}

fn check_document(document: &ConfigDocument) -> Option<CheckedTables> {
    document.texts().check().ok()
}

impl fmt::Display for ConflictReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_cause(formatter)?;
        for row in &self.rows {
            writeln!(formatter, "changed on both sides: {row}")?;
        }
        write_diff(
            formatter,
            "changed by others since then",
            self.theirs.as_ref(),
        )?;
        write_diff(
            formatter,
            "these tables would change",
            self.refused.as_ref(),
        )?;
        write!(formatter, "nothing was changed")
    }
}

fn write_diff(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    diff: Option<&TableDiff>,
) -> fmt::Result {
    match diff {
        Some(diff) if !diff.is_empty() => write!(formatter, "{title}:\n{diff}"),
        Some(_) | None => Ok(()),
    }
}
