//! The configuration in force: watched, spread between VMs, never stepping back.
//!
//! The store makes a revision true; VMs pass accepted revisions on to each
//! other, so that they spread while the store is down.

mod exchange;

pub use exchange::{ConfigExchange, ConfigSnapshot};
