//! The platform's key-value service and its list of VMs.
//!
//! The rest of the library sees the small traits [`PlatformStore`] and
//! [`VmDirectory`]. [`GatewayStore`] and [`GatewayDirectory`] call the platform
//! over HTTP; [`EmbeddedStore`] and [`EmbeddedDirectory`] live in this process.
//! A store whose answer was lost says so: the caller reads back before it
//! claims anything.

mod choice;
mod embedded;
mod gateway;
mod gateway_call;
mod gateway_directory;
mod gateway_messages;
mod store;

#[cfg(test)]
pub(crate) mod tests;

pub use choice::{AnyDirectory, AnyStore};
pub use embedded::{EmbeddedDirectory, EmbeddedStore};
pub use gateway::GatewayStore;
pub use gateway_directory::GatewayDirectory;
pub use store::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, MAX_VALUE_BYTES, PlatformStore,
    StoreEntry, StoreError, StoreVersion, SwapOutcome, VmDirectory, VmEntry, VmState,
};
