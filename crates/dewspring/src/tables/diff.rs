//! Differences between two configurations by row.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use super::rows::{RowFields, RowKey, RowSet};
use super::verify::CheckedTables;

/// Change of one key of a row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Value before the change in TOML; `None` if the row lacked the key.
    pub before: Option<String>,
    /// Value after the change in TOML; `None` if the row lacks the key.
    pub after: Option<String>,
}

/// Change of one row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowChange {
    /// The row was added.
    Added,
    /// The row was removed.
    Removed,
    /// These keys of the row changed.
    Changed(Vec<KeyChange>),
}

/// The rows that differ between two configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TableDiff {
    /// The differing rows: removed and changed rows in the order of the older
    /// tables, then added rows.
    #[serde(serialize_with = "serialize_rows")]
    pub rows: IndexMap<RowKey, RowChange>,
}

#[derive(Serialize)]
struct SerializedRow<'d> {
    #[serde(flatten)]
    key: &'d RowKey,
    change: &'d RowChange,
}

/// Serializes the map as a list, since JSON allows only strings as keys.
fn serialize_rows<S: serde::Serializer>(
    rows: &IndexMap<RowKey, RowChange>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(
        rows.iter()
            .map(|(key, change)| SerializedRow { key, change }),
    )
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
        Self::between_row_sets(&RowSet::from_tables(before), &RowSet::from_tables(after))
    }

    pub(super) fn between_row_sets(before: &RowSet, after: &RowSet) -> Self {
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
