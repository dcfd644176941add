//! Applies the lifts of operators to the blocks of `crashes.rs`, and removes lifts
//! from the store when they are over.
//!
//! `dewguard` decides what a lift changes; this module reads and writes the store.
//!
//! The main invariant: a VM that knows a lift doesn't take up a block from before
//! it.

use std::time::Duration;

use dewguard::{CrashCause, LiftEffect, LiftEntry, UnixMs};

use crate::directory::stable_hash;
use crate::format::{PlatformFormat, RecordKey, StoreCall, StoreRecord};
use crate::storage::WATCH_CALL;

use super::crashes::{cause_bytes, unix_ms};
use super::state::EdgeState;

/// Time that one VM has to remove a lift from the store before the next one tries.
const REMOVAL_TURN: Duration = Duration::from_secs(1);

/// Maximum unreadable records of lifts that are remembered, to log each only once.
const MAX_UNREADABLE: usize = 256;

impl<F: PlatformFormat> EdgeState<F> {
    /// Applies a record under the prefix of lifts.
    pub(crate) fn apply_lift_record(&mut self, record: &StoreRecord, call: &'static str) {
        let cause = match &record.key {
            RecordKey::Lift(cause) => Some(*cause),
            _ => None,
        };
        match (cause, record.value.as_deref().map(F::read_lift)) {
            (Some(cause), Some(Ok(lifted_ms))) => {
                self.apply_lift(cause, lifted_ms, record.revision, call);
            }
            (Some(cause), None) => {
                let lifts = self.crashes.ledger.lifts_mut();
                lifts.forget_entry(cause, record.revision);
            }
            (None, None) => {}
            (Some(cause), Some(Err(error))) => {
                let lifts = self.crashes.ledger.lifts_mut();
                lifts.note_unreadable(cause, record.revision);
                self.log_unreadable_lift(record, &error.0);
            }
            (None, Some(_)) => self.log_unreadable_lift(record, "the key names no cause"),
        }
    }

    /// Logs a record once, although lists and watches may bring it several times.
    fn log_unreadable_lift(&mut self, record: &StoreRecord, reason: &str) {
        let unreadable = &mut self.crashes.unreadable_lifts;
        if unreadable.len() >= MAX_UNREADABLE {
            unreadable.clear();
        }
        if unreadable.insert((record.name.clone(), record.revision)) {
            self.logs
                .system("crash", "lift_unreadable")
                .text("key", &record.name)
                .text("reason", reason);
        }
    }

    fn apply_lift(
        &mut self,
        cause: CrashCause,
        lifted_ms: UnixMs,
        revision: u64,
        call: &'static str,
    ) {
        // A watch brings what was just written. This holds whatever the clocks say.
        let age = match call {
            WATCH_CALL => Duration::ZERO,
            _ => Duration::from_millis(unix_ms().saturating_sub(lifted_ms)),
        };
        let entry = LiftEntry {
            lifted_ms,
            revision,
            age,
        };
        let stored = self.crashes.stored.get(&cause).copied();
        let ledger = &mut self.crashes.ledger;
        let effect = ledger.read_lift(cause, entry, stored, self.now);
        let LiftEffect::Applied { ended_block } = effect else {
            return;
        };
        self.log_cause("lifted", cause, "store")
            .text("was_blocked", if ended_block { "yes" } else { "no" })
            .number("lifted_ms", lifted_ms)
            .number("revision", revision);
        let outcome = if ended_block {
            "ended_block"
        } else {
            "no_block"
        };
        self.metrics.count_lift(outcome);
        self.update_blocked_count();
    }

    /// Removes lifts that are over from the store, and with them entries of blocks
    /// from before.
    pub(crate) fn remove_old_lifts(&mut self) {
        let (lifts, peers) = (self.crashes.ledger.lifts(), &self.peers);
        let removable = lifts.removable(self.now, |cause| {
            REMOVAL_TURN * peers.rank_for(stable_hash(&cause_bytes(cause)))
        });
        for (cause, revision) in removable {
            self.write_block(StoreCall::RemoveLift { cause, revision });
            if !self.is_cause_blocked(cause) {
                self.remove_stored_block(cause);
            }
        }
    }

    /// Returns whether a block that another VM announces is from before a lift, as
    /// far as can be told.
    pub(crate) fn is_lifted_notice(&mut self, cause: CrashCause) -> bool {
        let accepts = self.crashes.ledger.lifts().accepts_notice(cause, self.now);
        let is_lifted = !accepts && !self.is_cause_blocked(cause);
        if is_lifted {
            self.metrics.count_lift("ignored_notice");
        }
        is_lifted
    }

    /// Returns whether a block in the store is from before a lift.
    pub(crate) fn is_lifted_entry(&mut self, cause: CrashCause, last_crash_ms: UnixMs) -> bool {
        let lifts = self.crashes.ledger.lifts();
        let is_lifted = !lifts.accepts_entry(cause, last_crash_ms);
        if is_lifted {
            self.metrics.count_lift("ignored_entry");
            self.log_cause("block_ignored", cause, "store")
                .number("last_crash_ms", last_crash_ms);
        }
        is_lifted
    }
}
