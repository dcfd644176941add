//! The configuration in force: watched, spread between VMs, never stepping back.
//!
//! The store makes a revision true; VMs pass accepted revisions on to each
//! other, so that they spread while the store is down. [`ConfigKeeper`] is the
//! running duty; its decisions are plain functions over a state. Main
//! invariant: the revision in force never falls, and one revision stands for
//! one change.

mod exchange;
mod files;
mod keeper;
mod publish;
mod reading;
mod state;
mod watcher;

#[cfg(test)]
mod tests;

pub use exchange::{ConfigExchange, ConfigSnapshot};
pub use files::{LoadTablesError, load_table_files};
pub use keeper::{ConfigKeeper, KeeperSettings};
pub use publish::{KeeperStatus, store_initial_document};
pub use reading::{DocumentReader, ReadingError};
pub use state::{ConfigProblem, DocumentOrigin};
