//! Applies an operator's tables on top of what that operator saw.

use std::fmt;

use dewspring::ids::Revision;
use dewspring::platform::PlatformStore;
use dewspring::tables::{
    CheckedTables, ConfigDocument, RebaseError, RowKey, TableDiff, TableTexts, rebase_tables,
};
use serde::Serialize;

use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use crate::error::CommandError;

/// What an operator's edit started from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyBase {
    /// No document: the fleet has none yet.
    Absent,
    /// The document of this revision, whose text isn't at hand.
    Revision(Revision),
    /// This document.
    Document(Box<ConfigDocument>),
}

impl ApplyBase {
    fn is_current(&self, current: Option<&ConfigDocument>) -> bool {
        match (self, current) {
            (Self::Absent, current) => current.is_none(),
            (_, None) => false,
            (Self::Revision(revision), Some(current)) => *revision == current.revision,
            (Self::Document(base), Some(current)) => {
                base.revision == current.revision && base.change_id == current.change_id
            }
        }
    }

    fn document(&self) -> Option<&ConfigDocument> {
        match self {
            Self::Document(document) => Some(document),
            Self::Absent | Self::Revision(_) => None,
        }
    }
}

/// Tables that an operator wants to be in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyRequest {
    /// The tables, which pass the checks.
    pub texts: TableTexts,
    /// What they were edited from.
    pub base: ApplyBase,
    /// Whether disjoint rows may be joined with other operators' changes.
    pub allows_rebase: bool,
    /// Who applies them, and under which id.
    pub origin: ChangeOrigin,
}

/// Applies tables unless another change came since their base.
///
/// # Errors
///
/// [`CommandError::Conflict`] if another change is in the way,
/// [`CommandError::ReusedChange`] if the change id is taken, and what
/// [`commit_change`] returns.
pub fn apply_tables(
    store: &impl PlatformStore,
    key: &str,
    request: &ApplyRequest,
    limits: CommitLimits,
) -> Result<CommitOutcome, CommandError> {
    let propose = |current: Option<&ConfigDocument>| propose_tables(request, current);
    let outcome = commit_change(store, key, &request.origin, propose, limits)?;
    if holds_other_tables(request, &outcome) {
        let change_id = request.origin.change_id.clone();
        return Err(CommandError::ReusedChange(change_id));
    }
    Ok(outcome)
}

/// Returns whether the change id was found with tables that this request can't
/// have led to.
fn holds_other_tables(request: &ApplyRequest, outcome: &CommitOutcome) -> bool {
    let CommitOutcome::Applied(change) = outcome else {
        return false;
    };
    let applied = change.document.as_ref();
    !request.allows_rebase && applied.is_some_and(|document| document.texts() != request.texts)
}

fn propose_tables(
    request: &ApplyRequest,
    current: Option<&ConfigDocument>,
) -> Result<ProposedTables, CommandError> {
    if current.is_some_and(|current| current.texts() == request.texts) {
        return Ok(ProposedTables::Unchanged);
    }
    if request.base.is_current(current) {
        return Ok(ProposedTables::Changed(request.texts.clone()));
    }
    let (Some(base), Some(current), true) =
        (request.base.document(), current, request.allows_rebase)
    else {
        return Err(conflict(request, current, Vec::new()));
    };
    match rebase_tables(&base.texts(), &request.texts, &current.texts()) {
        Ok(joined) if joined.texts == current.texts() => Ok(ProposedTables::Unchanged),
        Ok(joined) => Ok(ProposedTables::Changed(joined.texts)),
        Err(RebaseError::Conflicts(rows)) => Err(conflict(request, Some(current), rows)),
        Err(RebaseError::Invalid(errors)) => Err(errors.into()),
    }
}

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
    /// What others changed since the base, if the base is at hand.
    pub theirs: Option<TableDiff>,
    /// What the refused tables would change of the stored ones.
    pub refused: Option<TableDiff>,
}

fn conflict(
    request: &ApplyRequest,
    current: Option<&ConfigDocument>,
    rows: Vec<RowKey>,
) -> CommandError {
    let current_tables = checked_or_empty(current.map(ConfigDocument::texts));
    let base_tables = request
        .base
        .document()
        .and_then(|base| base.texts().check().ok());
    let my_tables = request.texts.check().ok();
    let diff_from = |before: Option<&CheckedTables>, after: Option<&CheckedTables>| {
        Some(TableDiff::between(before?, after?))
    };
    let entry = current.map(ConfigDocument::entry);
    CommandError::Conflict(Box::new(ConflictReport {
        revision: entry.as_ref().map_or(0, |entry| entry.revision),
        applied: entry
            .as_ref()
            .map_or_else(String::new, |entry| entry.applied_text()),
        operator: entry.map_or_else(String::new, |entry| entry.operator),
        base_revision: match &request.base {
            ApplyBase::Absent => 0,
            ApplyBase::Revision(revision) => *revision,
            ApplyBase::Document(base) => base.revision,
        },
        rows,
        theirs: diff_from(base_tables.as_ref(), current_tables.as_ref()),
        refused: diff_from(current_tables.as_ref(), my_tables.as_ref()),
    }))
}

fn checked_or_empty(texts: Option<TableTexts>) -> Option<CheckedTables> {
    match texts {
        Some(texts) => texts.check().ok(),
        None => Some(CheckedTables::default()),
    }
}

impl fmt::Display for ConflictReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            operator,
            applied,
            base_revision,
            ..
        } = self;
        if *revision == 0 {
            writeln!(
                formatter,
                "conflict: the store holds no configuration, but the edit started from revision {base_revision}"
            )?;
        } else if *base_revision == 0 {
            writeln!(
                formatter,
                "conflict: the store holds revision {revision} of {operator} ({applied}), and it is not known what the edit started from"
            )?;
        } else {
            writeln!(
                formatter,
                "conflict: the edit started from revision {base_revision}, but the store holds revision {revision} of {operator} ({applied})"
            )?;
        }
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
