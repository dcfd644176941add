//! Decides which VM holds a duty, with which fencing token, until when.
//!
//! Each VM has one [`LeaseTable`]. Its caller tells it what the store and the
//! platform's API respond, and makes the store calls that [`LeaseTable::poll`]
//! returns. A holder is whoever wrote the holder key of the subject under a lease
//! that it still renews; the token key outlives the holder.
//!
//! The main invariant: [`LeaseTable::authority`] ends, on the VM's own monotonic
//! clock, before the store can end the lease, and no other VM acquires earlier.

mod api_health;
mod candidates;
mod duty;
mod messages;
mod policy;
mod subject;
mod table;
mod vm_lease;

pub use messages::{
    Authority, ChangeKind, ChangeReason, HolderChange, HolderRecord, HoldingView, LeaseAction,
    LeaseEvent, TokenRecord,
};
pub use policy::LeasePolicy;
pub use subject::{DutySubject, SubjectError};
pub use table::LeaseTable;

/// Name of a VM.
pub type VmName = String;

/// Number that rises with each holder of a subject.
pub type FencingToken = u64;

/// Id of a lease, unique within an era of the store.
pub type LeaseId = u64;

/// Revision of the store or of a key, unique within an era.
pub type StoreRevision = u64;

/// Number that rises when the store returns from an older copy of its data.
pub type StoreEra = u64;
