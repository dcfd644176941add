//! The platform's key-value service and its list of VMs.
//!
//! The rest of the library sees the small traits [`PlatformStore`] and
//! [`VmDirectory`]. [`GatewayStore`] and [`GatewayDirectory`] call the platform
//! over HTTP; [`EmbeddedStore`] and [`EmbeddedDirectory`] live in this process.
//! A store whose answer was lost says so: the caller reads back before it
//! claims anything.

mod backoff;
mod choice;
mod embedded;
mod gateway;
mod gateway_call;
mod gateway_directory;
mod gateway_messages;
mod service;
mod shared;

#[cfg(test)]
pub(crate) mod tests;

pub(crate) use backoff::backoff_delay;
pub use choice::{AnyDirectory, AnyStore};
pub use embedded::{EmbeddedDirectory, EmbeddedStore};
pub use gateway::GatewayStore;
pub use gateway_directory::GatewayDirectory;
pub(crate) use gateway_messages::EncodedBytes;
pub use service::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, MAX_VALUE_BYTES, PlatformStore,
    StoreEntry, StoreError, StoreVersion, SwapOutcome, VmDirectory, VmEntry, VmState,
};
pub use shared::CachedDirectory;
