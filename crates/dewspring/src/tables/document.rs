//! The stored form of the two tables: one document under one revision.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// Both tables as the platform's store keeps them, in JSON.
///
/// The texts are kept as the operators wrote them, so that `show` gives them
/// back and errors name their lines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Revision of this document, one above the one it replaced.
    pub revision: Revision,
    /// Identity of the change, drawn by the operator's tool.
    pub change_id: String,
    /// Name of the operator, as the tool was told.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch, for people only.
    pub applied_at: u64,
    /// Text of the routes table in TOML.
    pub routes: String,
    /// Text of the pools table in TOML.
    pub pools: String,
    /// The latest changes before this one, newest first.
    pub history: Vec<HistoryEntry>,
}

/// What is remembered of an earlier change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identity of the change.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change in seconds since the Unix epoch.
    pub applied_at: u64,
}
