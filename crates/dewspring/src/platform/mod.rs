//! The platform's key-value service and its list of VMs.
//!
//! The rest of the library sees the small traits [`PlatformStore`] and
//! [`VmDirectory`]. A store whose answer was lost says so: the caller reads
//! back before it claims anything.

mod store;

pub use store::{
    DirectoryError, ExpectedVersion, LeaseGrant, LeaseId, PlatformStore, StoreEntry, StoreError,
    StoreVersion, SwapOutcome, VmDirectory, VmEntry, VmState,
};
