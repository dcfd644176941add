//! The configuration in force: watched in the store, exchanged between VMs.
//!
//! The configuration is one document with the operators' tables; each applied
//! change gives it a higher revision. The store is authoritative. VMs also pass
//! accepted documents on to each other, so that a revision spreads while the
//! store is down. [`ConfigKeeper`] runs the threads; its decisions are pure
//! functions over a state.
//!
//! Main invariant: the revision in force never falls, and a change in force is
//! never replaced by another change of the same revision.

mod exchange;
mod files;
mod keeper;
mod publish;
mod reader;
mod state;
mod watcher;

#[cfg(test)]
mod tests;

pub use exchange::{ConfigExchange, ConfigSnapshot};
pub use files::{LoadTablesError, load_table_files};
pub use keeper::{ConfigKeeper, KeeperSettings};
pub use publish::{KeeperStatus, store_initial_document};
pub use reader::{DocumentReadError, DocumentReader};
pub use state::{ConfigProblem, DocumentOrigin};
