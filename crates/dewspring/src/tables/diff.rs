//! The difference of two configurations, row by row.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use super::rows::{RowFields, RowKey, RowSet};
use super::verify::CheckedTables;

/// How one key of a row changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Value before the change in TOML; `None` if the row lacked the key.
    pub before: Option<String>,
    /// Value after the change in TOML; `None` if the row lacks the key.
    pub after: Option<String>,
}

/// How one row changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowChange {
    /// The row is new.
    Added,
    /// The row is gone.
    Removed,
    /// These keys of the row changed.
    Changed(Vec<KeyChange>),
}

/// The rows that differ between two configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TableDiff {
    /// The changed rows: removed and changed ones in the order of the older
    /// tables, then the added ones.
    #[serde(serialize_with = "serialize_rows")]
    pub rows: IndexMap<RowKey, RowChange>,
}

#[derive(Serialize)]
struct RowLine<'d> {
    #[serde(flatten)]
    key: &'d RowKey,
    change: &'d RowChange,
}

/// Writes a list, since JSON has only strings as keys.
fn serialize_rows<S: serde::Serializer>(
    rows: &IndexMap<RowKey, RowChange>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(rows.iter().map(|(key, change)| RowLine { key, change }))
}

impl TableDiff {
    /// Compares two configurations.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::tables::{CheckedTables, TableDiff};
    ///
    /// let tables = CheckedTables::default();
    /// assert!(TableDiff::between(&tables, &tables).is_empty());
    /// ```
    #[must_use]
    pub fn between(before: &CheckedTables, after: &CheckedTables) -> Self {
        Self::between_sets(&RowSet::open(before), &RowSet::open(after))
    }

    pub(super) fn between_sets(before: &RowSet, after: &RowSet) -> Self {
        let mut rows = IndexMap::new();
        for (key, old) in &before.rows {
            let change = match after.rows.get(key) {
                None => RowChange::Removed,
                Some(new) if new == old => continue,
                Some(new) => RowChange::Changed(changed_keys(old, new)),
            };
            rows.insert(key.clone(), change);
        }
        let added = after
            .rows
            .keys()
            .filter(|key| !before.rows.contains_key(*key));
        rows.extend(added.map(|key| (key.clone(), RowChange::Added)));
        Self { rows }
    }

    /// Returns whether the configurations are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn changed_keys(old: &RowFields, new: &RowFields) -> Vec<KeyChange> {
    let added = new.keys().filter(|key| !old.contains_key(*key));
    let keys = old.keys().chain(added);
    let changed = keys.filter(|key| old.get(*key) != new.get(*key));
    let changes = changed.map(|key| KeyChange {
        key: (*key).to_owned(),
        before: old.get(key).cloned(),
        after: new.get(key).cloned(),
    });
    changes.collect()
}

impl fmt::Display for TableDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (key, change) in &self.rows {
            match change {
                RowChange::Added => writeln!(formatter, "+ {key}")?,
                RowChange::Removed => writeln!(formatter, "- {key}")?,
                RowChange::Changed(keys) => {
                    writeln!(formatter, "~ {key}")?;
                    for change in keys {
                        writeln!(formatter, "    {change}")?;
                    }
                }
            }
        }
        Ok(())
    }
}

impl fmt::Display for KeyChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(none)");
        let after = self.after.as_deref().unwrap_or("(none)");
        write!(formatter, "{}: {before} -> {after}", self.key)
    }
}
