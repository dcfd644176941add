//! The operators' two tables: routes and pools.
//!
//! Routes define what each class of request needs; pools list the backend
//! servers. Routes refer to pools by name. The tables are always checked,
//! stored and replaced together, so that no daemon sees a partial change.

mod diff;
mod document;
mod edit;
mod error;
mod lookup;
mod merge;
mod model;
mod pools;
mod reader;
mod rebase;
mod routes;
mod rows;
#[cfg(test)]
mod tests;
mod values;
mod verify;

pub use diff::{KeyChange, RowChange, TableDiff};
pub use document::{
    ConfigDocument, DocumentChange, DocumentError, HISTORY_LIMIT, HistoryEntry, MAX_DOCUMENT_BYTES,
    POOLS_FILE, ROUTES_FILE, TableTexts, config_key, random_change_id,
};
pub use edit::{EditError, set_server_drain};
pub use error::{TableError, TableErrors, TableProblem, TableSource};
pub use lookup::RouteMatch;
pub use model::{
    FleetConfig, LatePolicy, PoolKind, PoolRow, PoolTable, RouteRow, RouteTable, ServerRow,
};
pub use rebase::{RebaseError, RebasedTables, rebase_tables};
pub use rows::RowKey;
pub use verify::{CheckedTables, check_tables};
