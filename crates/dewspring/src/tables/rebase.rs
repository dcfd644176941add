//! Joins an operator's change with one that was accepted meanwhile.
//!
//! The join is three-way by rows: what both changed in different ways is a
//! conflict and is left to the operators.

use indexmap::IndexSet;
use thiserror::Error;

use super::diff::TableDiff;
use super::document::TableTexts;
use super::error::TableErrors;
use super::merge::merge_lines;
use super::rows::{RowKey, RowSet};

/// Why a change can't be carried over to a newer document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RebaseError {
    /// These rows were changed on both sides.
    #[error("changed on both sides: {}", join_keys(.0))]
    Conflicts(Vec<RowKey>),
    /// One of the documents, or the joined one, fails the checks.
    #[error("{0}")]
    Invalid(#[from] TableErrors),
}

fn join_keys(keys: &[RowKey]) -> String {
    let names: Vec<String> = keys.iter().map(RowKey::to_string).collect();
    names.join(", ")
}

/// A change carried over to a newer document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RebasedTables {
    /// The joined tables, already checked.
    pub texts: TableTexts,
    /// Whether comments and layout of both sides are kept; otherwise a table
    /// is printed anew from its rows.
    pub keeps_layout: bool,
}

/// Carries the change from `base` to `mine` over to `theirs`.
///
/// # Errors
///
/// [`RebaseError::Conflicts`] lists the rows that both sides changed in
/// different ways, [`RebaseError::Invalid`] what the checks say.
///
/// # Examples
///
/// ```
/// use dewspring::tables::{RebaseError, TableTexts, rebase_tables};
///
/// let empty = TableTexts::default();
/// let outcome = rebase_tables(&empty, &empty, &empty);
/// assert!(matches!(outcome, Err(RebaseError::Invalid(_))));
/// ```
pub fn rebase_tables(
    base: &TableTexts,
    mine: &TableTexts,
    theirs: &TableTexts,
) -> Result<RebasedTables, RebaseError> {
    let base_set = RowSet::open(&base.check()?);
    let mine_set = RowSet::open(&mine.check()?);
    let theirs_set = RowSet::open(&theirs.check()?);
    let merged = merge_rows(&base_set, &mine_set, &theirs_set)?;

    if let Some(texts) = merge_texts(base, mine, theirs)
        && let Ok(tables) = texts.check()
        && RowSet::open(&tables) == merged
    {
        return Ok(RebasedTables {
            texts,
            keeps_layout: true,
        });
    }
    let texts = TableTexts {
        routes: merged.print_routes(),
        pools: merged.print_pools(),
    };
    texts.check()?;
    Ok(RebasedTables {
        texts,
        keeps_layout: false,
    })
}

fn merge_texts(base: &TableTexts, mine: &TableTexts, theirs: &TableTexts) -> Option<TableTexts> {
    Some(TableTexts {
        routes: merge_lines(&base.routes, &mine.routes, &theirs.routes)?,
        pools: merge_lines(&base.pools, &mine.pools, &theirs.pools)?,
    })
}

fn merge_rows(base: &RowSet, mine: &RowSet, theirs: &RowSet) -> Result<RowSet, RebaseError> {
    let my_diff = TableDiff::between_sets(base, mine);
    let their_diff = TableDiff::between_sets(base, theirs);
    let mut merged = theirs.clone();
    let mut conflicts = IndexSet::new();
    for key in my_diff.rows.keys() {
        let row = mine.rows.get(key);
        if their_diff.rows.contains_key(key) && row != theirs.rows.get(key) {
            conflicts.insert(key.clone());
            continue;
        }
        match row {
            Some(fields) => {
                merged.rows.insert(key.clone(), fields.clone());
            }
            None => {
                merged.rows.shift_remove(key);
            }
        }
    }
    conflicts.extend(merged.orphans());
    if conflicts.is_empty() {
        Ok(merged)
    } else {
        Err(RebaseError::Conflicts(conflicts.into_iter().collect()))
    }
}
