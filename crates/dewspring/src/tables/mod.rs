//! The operators' two tables: routes and pools.
//!
//! Routes say what each class of request needs; pools say which backend
//! servers exist. The two are joined by pool names and are always checked,
//! stored and replaced together, so that no daemon sees a half change.

mod document;
mod model;

pub use document::{ConfigDocument, HistoryEntry};
pub use model::{
    FleetConfig, LatePolicy, PoolKind, PoolRow, PoolTable, RouteRow, RouteTable, ServerRow,
};
