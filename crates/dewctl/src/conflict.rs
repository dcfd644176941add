//! What an operator is told when another change is in the way.

use std::fmt;

use dewspring::ids::Revision;
use dewspring::tables::{CheckedTables, ConfigDocument, HistoryEntry, RowKey, TableDiff};
use serde::Serialize;

use crate::apply::{ApplyBase, ApplyRequest};

/// Another operator's change that is in the way.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConflictReport {
    /// Revision that the store holds; 0 if it holds none.
    pub revision: Revision,
    /// Operator of that revision.
    pub operator: String,
    /// Time of that revision as text.
    pub applied: String,
    /// Revision that the edit started from; 0 for none.
    pub base_revision: Revision,
    /// Rows that both sides changed, if a rebase was tried.
    pub rows: Vec<RowKey>,
    /// What others changed since the base, if both documents are at hand.
    pub theirs: Option<TableDiff>,
    /// What the refused tables would change of the stored ones, if any.
    pub refused: Option<TableDiff>,
}

impl ConflictReport {
    /// Compares a refused request with what the store holds.
    pub(crate) fn open(
        request: &ApplyRequest,
        current: Option<&ConfigDocument>,
        rows: Vec<RowKey>,
    ) -> Self {
        let current_tables = current.and_then(checked_tables);
        let base_tables = request.base.document().and_then(checked_tables);
        let my_tables = request.texts.check().ok();
        let diff_from = |before: Option<&CheckedTables>, after: Option<&CheckedTables>| {
            Some(TableDiff::between(before?, after?))
        };
        let entry = current.map(ConfigDocument::history_entry);
        let text_of =
            |text: fn(&HistoryEntry) -> String| entry.as_ref().map_or_else(String::new, text);
        Self {
            revision: entry.as_ref().map_or(0, |entry| entry.revision),
            operator: text_of(|entry| entry.operator.clone()),
            applied: text_of(HistoryEntry::applied_at_rfc3339),
            base_revision: match &request.base {
                ApplyBase::Absent => 0,
                ApplyBase::Revision(revision) => *revision,
                ApplyBase::Document(base) => base.revision,
            },
            rows,
            theirs: diff_from(base_tables.as_ref(), current_tables.as_ref()),
            refused: diff_from(current_tables.as_ref(), my_tables.as_ref()),
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
                 if the fleet is new, say so with --expect 0"
            ),
            (_, 0) => writeln!(
                formatter,
                "conflict: the store holds revision {revision} of {operator} ({applied}), and it is not known what the edit started from; \
                 fetch the stored tables with `dewctl show --to DIR`, or name the revision with --expect"
            ),
            (current, base) if current == base => writeln!(
                formatter,
                "conflict: the edit started from another revision {base} than the one of {operator} ({applied}) that the store holds"
            ),
            _ => writeln!(
                formatter,
                "conflict: the edit started from revision {base}, but the store holds revision {revision} of {operator} ({applied})"
            ),
        }
    }
}

fn checked_tables(document: &ConfigDocument) -> Option<CheckedTables> {
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
