//! Rebases an operator's change onto a change that was accepted meanwhile.
//!
//! This is a three-way merge by rows: rows that both sides changed differently
//! are conflicts, which the operators must resolve.

use indexmap::IndexSet;
use thiserror::Error;

use super::diff::TableDiff;
use super::document::TableTexts;
use super::error::TableErrors;
use super::merge::merge_lines;
use super::rows::{RowKey, RowSet};

/// Error of rebasing a change onto a newer document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RebaseError {
    /// Both sides changed these rows differently.
    #[error("changed on both sides: {}", join_keys(.0))]
    Conflicts(Vec<RowKey>),
    /// One of the inputs or the merged tables fail the checks.
    #[error("{0}")]
    Invalid(#[from] TableErrors),
}

fn join_keys(keys: &[RowKey]) -> String {
    let names: Vec<String> = keys.iter().map(RowKey::to_string).collect();
    names.join(", ")
}

/// The tables of a rebased change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RebasedTables {
    /// The merged tables, which have passed the checks.
    pub texts: TableTexts,
    /// Whether comments and layout of both sides are preserved; otherwise both
    /// tables are formatted anew from their rows.
    pub keeps_layout: bool,
}

/// Applies the change from `base` to `mine` on top of `theirs`.
///
/// # Errors
///
/// [`RebaseError::Conflicts`] lists the rows that both sides changed
/// differently; [`RebaseError::Invalid`] lists the errors of the tables.
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
    let base_set = RowSet::from_tables(&base.check()?);
    let mine_set = RowSet::from_tables(&mine.check()?);
    let theirs_set = RowSet::from_tables(&theirs.check()?);
    let merged = merge_rows(&base_set, &mine_set, &theirs_set)?;

    if let Some(texts) = merge_texts(base, mine, theirs)
        && let Ok(tables) = texts.check()
        && RowSet::from_tables(&tables) == merged
    {
        return Ok(RebasedTables {
            texts,
            keeps_layout: true,
        });
    }
    let texts = TableTexts {
        routes: merged.routes_toml(),
        pools: merged.pools_toml(),
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
    let mine_diff = TableDiff::between_row_sets(base, mine);
    let theirs_diff = TableDiff::between_row_sets(base, theirs);
    let mut merged = theirs.clone();
    let mut conflicts = IndexSet::new();
    for key in mine_diff.rows.keys() {
        let row = mine.rows.get(key);
        if theirs_diff.rows.contains_key(key) && row != theirs.rows.get(key) {
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
    conflicts.extend(merged.orphaned_servers());
    if conflicts.is_empty() {
        Ok(merged)
    } else {
        Err(RebaseError::Conflicts(conflicts.into_iter().collect()))
    }
}
