//! Clients of the platform's key-value service and of its list of VMs.
//!
//! The rest of the library uses the traits [`PlatformStore`] and
//! [`VmDirectory`]. [`GatewayStore`] and [`GatewayDirectory`] call the platform
//! over HTTP; [`EmbeddedStore`] and [`EmbeddedDirectory`] are in memory.
//!
//! A write whose response was lost may have taken effect. It fails with
//! [`StoreError::ResponseLost`], and the caller must read the key to find out.

mod any;
mod backoff;
mod cached_directory;
mod embedded;
mod gateway;
mod gateway_call;
mod gateway_directory;
mod gateway_messages;
mod platform;

#[cfg(test)]
pub(crate) mod tests;

pub use any::{AnyDirectory, AnyStore};
pub(crate) use backoff::backoff_delay;
pub use cached_directory::CachedDirectory;
pub use embedded::{EmbeddedDirectory, EmbeddedStore};
pub use gateway::GatewayStore;
pub use gateway_directory::GatewayDirectory;
pub(crate) use gateway_messages::Base64Bytes;
pub use platform::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, MAX_VALUE_BYTES, PlatformStore,
    StoreEntry, StoreError, StoreVersion, SwapOutcome, VmDirectory, VmEntry, VmState,
};
