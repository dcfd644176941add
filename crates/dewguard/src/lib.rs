//! Finds out which requests crash servers, from what all VMs of a fleet saw.
//!
//! When a server ends unexpectedly, each VM reports the requests that it had in
//! flight there; all but one of them are innocent. The [`CrashLedger`] collects
//! the reports of all VMs, and the runs that servers survived. It blocks a cause
//! that was present at several crashes and that no server has survived since. An
//! operator can lift a block; the [`LiftTable`] tells what is from before.
//!
//! Times are durations on the monotonic clock of the VM that holds the ledger.
//! The crate has no clock, thread or I/O.

mod ledger;
mod lifts;

pub use ledger::{
    BLOCK_TIME, CrashCause, CrashLedger, CrashReport, CrashSuspect, PartHash, ReportEffect,
    RequestHash, ServerHash,
};
pub use lifts::{
    EntryRevision, LIFT_TIME, LiftEffect, LiftEntry, LiftTable, UnixMs, is_after_lift,
};
