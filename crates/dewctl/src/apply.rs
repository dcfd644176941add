//! Applies an operator's tables on top of what that operator saw.

use dewspring::ids::Revision;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, RebaseError, RowKey, TableTexts, rebase_tables};

use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use crate::conflict::ConflictReport;
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

    /// Returns the document, if it is at hand.
    pub(crate) fn document(&self) -> Option<&ConfigDocument> {
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

fn conflict(
    request: &ApplyRequest,
    current: Option<&ConfigDocument>,
    rows: Vec<RowKey>,
) -> CommandError {
    CommandError::Conflict(Box::new(ConflictReport::open(request, current, rows)))
}
