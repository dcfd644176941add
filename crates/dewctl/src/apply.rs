//! Applies an operator's tables if their base is still the stored document.

use dewspring::ids::Revision;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, RebaseError, RowKey, TableTexts, rebase_tables};

use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use crate::conflict::ConflictReport;
use crate::error::CommandError;

/// Base of an operator's edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyBase {
    /// No document; the fleet has none yet.
    Absent,
    /// The document with this revision; its tables are not available.
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

    /// Returns the base document, if it is available.
    pub(crate) fn document(&self) -> Option<&ConfigDocument> {
        match self {
            Self::Document(document) => Some(document),
            Self::Absent | Self::Revision(_) => None,
        }
    }
}

/// Request to replace the stored tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyRequest {
    /// New tables, which must pass the checks.
    pub texts: TableTexts,
    /// Base of the edit.
    pub base: ApplyBase,
    /// Whether other operators' changes to other rows may be merged in.
    pub allows_rebase: bool,
    /// Operator, id and time of the change.
    pub origin: ChangeOrigin,
}

/// Applies tables unless the stored document has changed since their base.
///
/// If the request allows a rebase, changes to other rows are merged instead.
///
/// # Errors
///
/// [`CommandError::Conflict`] if another change conflicts,
/// [`CommandError::ReusedChange`] if the change id was already used for other
/// tables, and the errors of [`commit_change`].
pub fn apply_tables(
    store: &impl PlatformStore,
    key: &str,
    request: &ApplyRequest,
    limits: CommitLimits,
) -> Result<CommitOutcome, CommandError> {
    let propose = |current: Option<&ConfigDocument>| propose_tables(request, current);
    let outcome = commit_change(store, key, &request.origin, propose, limits)?;
    if applied_other_tables(request, &outcome) {
        let change_id = request.origin.change_id.clone();
        return Err(CommandError::ReusedChange(change_id));
    }
    Ok(outcome)
}

/// Returns whether the change id was applied with tables that this request
/// can't have produced.
fn applied_other_tables(request: &ApplyRequest, outcome: &CommitOutcome) -> bool {
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
        Ok(merged) if merged.texts == current.texts() => Ok(ProposedTables::Unchanged),
        Ok(merged) => Ok(ProposedTables::Changed(merged.texts)),
        Err(RebaseError::Conflicts(rows)) => Err(conflict(request, Some(current), rows)),
        Err(RebaseError::Invalid(errors)) => Err(errors.into()),
    }
}

fn conflict(
    request: &ApplyRequest,
    current: Option<&ConfigDocument>,
    rows: Vec<RowKey>,
) -> CommandError {
    CommandError::Conflict(Box::new(ConflictReport::new(request, current, rows)))
}
