//! Blocks that operators have lifted.
//!
//! An operator writes a lift to the store, and each VM reads it. What a VM knew of
//! the cause until then no longer counts. Clocks of VMs differ and jump, and a notice
//! may wait in the socket of a frozen VM, so times of different VMs decide as
//! little as possible:
//!
//! - Crashes count from the moment at which the VM itself has read the lift.
//! - A block that another VM announces isn't adopted while the lift lasts. A new
//!   block is learned from the store instead.
//! - A VM writes a block on condition that the store's lift is the one that it
//!   knows, and states a time that all VMs take to be after the lift.
//!
//! The main invariant: a lift that is read again, or restored from an older copy of
//! the store, doesn't count as a new one.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ledger::CrashCause;

/// Unix time, in ms.
pub type UnixMs = u64;

/// Revision of an entry in the store; 0 if there is no entry.
pub type EntryRevision = u64;

/// Time for which a lift is kept. It is longer than a block, so that all blocks of
/// before have ended by then.
pub const LIFT_TIME: Duration = Duration::from_secs(900);

/// Difference of the clocks of two VMs up to which a block that a VM of an earlier
/// build writes after the lift is recognized as older.
const CLOCK_DIFFERENCE_MS: UnixMs = 10_000;

/// Maximum number of lifts.
const MAX_LIFTS: usize = 1024;

/// A lift as it was read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LiftEntry {
    /// When the operator lifted the block.
    pub lifted_ms: UnixMs,
    /// Revision of the entry.
    pub revision: EntryRevision,
    /// Time since it was written.
    pub age: Duration,
}

/// What follows from a lift that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LiftEffect {
    /// It was known, or a newer one is.
    Unchanged,
    /// It is new.
    Applied {
        /// Whether it ended a block of this VM.
        ended_block: bool,
    },
}

/// A lift that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct KnownLift {
    lifted_ms: UnixMs,
    read_at: Duration,
    ends_at: Duration,
    /// Revision of the entry; 0 if the store has none.
    revision: EntryRevision,
    /// The latest revision at which the entry is known to have changed; 0 in a new
    /// era of the store.
    seen_revision: EntryRevision,
}

/// The lifts that a VM knows.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewguard::{CrashCause, CrashLedger, LiftEffect, LiftEntry};
///
/// let mut ledger = CrashLedger::default();
/// let (cause, now) = (CrashCause::Part(7), Duration::from_secs(60));
/// ledger.adopt_block(cause, now);
/// let entry = LiftEntry { lifted_ms: 1_000_000, revision: 5, age: Duration::ZERO };
/// let effect = ledger.read_lift(cause, entry, None, now);
/// assert_eq!(effect, LiftEffect::Applied { ended_block: true });
/// assert!(!ledger.has_blocks());
/// // Other VMs may still announce the block.
/// assert!(!ledger.lifts().accepts_notice(cause, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LiftTable {
    lifts: IndexMap<CrashCause, KnownLift>,
    /// Revisions of entries that can't be read, of causes without a known lift.
    unreadable: IndexMap<CrashCause, EntryRevision>,
}

impl LiftTable {
    /// Returns whether there are no lifts.
    pub fn is_empty(&self) -> bool {
        self.lifts.is_empty()
    }

    /// Records a lift; returns whether it is new.
    pub(crate) fn read(&mut self, cause: CrashCause, entry: LiftEntry, now: Duration) -> bool {
        if let Some(known) = self.lifts.get_mut(&cause) {
            if entry.revision <= known.seen_revision {
                return false;
            }
            // The store may have returned from a copy with an earlier lift.
            let is_older = known.seen_revision == 0 && entry.lifted_ms < known.lifted_ms;
            if is_older || entry.lifted_ms == known.lifted_ms {
                known.revision = entry.revision;
                known.seen_revision = entry.revision;
                return false;
            }
        } else if self.lifts.len() >= MAX_LIFTS {
            self.lifts.shift_remove_index(0);
        }
        self.unreadable.swap_remove(&cause);
        let lift = KnownLift {
            lifted_ms: entry.lifted_ms,
            read_at: now,
            ends_at: now + LIFT_TIME.saturating_sub(entry.age),
            revision: entry.revision,
            seen_revision: entry.revision,
        };
        self.lifts.insert(cause, lift);
        true
    }

    /// Records an entry that can't be read. It lifts nothing, and a lift that it
    /// replaces lasts as long as before; only its revision counts.
    pub fn note_unreadable(&mut self, cause: CrashCause, revision: EntryRevision) {
        match self.lifts.get_mut(&cause) {
            Some(lift) if lift.seen_revision < revision => {
                lift.revision = revision;
                lift.seen_revision = revision;
            }
            Some(_) => {}
            None if self.unreadable.len() < MAX_LIFTS => {
                self.unreadable.insert(cause, revision);
            }
            None => {}
        }
    }

    /// Records that the entry of a lift was removed from the store; the lift lasts
    /// as long as before.
    pub fn forget_entry(&mut self, cause: CrashCause, revision: EntryRevision) {
        self.unreadable.swap_remove(&cause);
        if let Some(lift) = self.lifts.get_mut(&cause)
            && lift.seen_revision < revision
        {
            lift.revision = 0;
            lift.seen_revision = revision;
        }
    }

    /// Forgets the revisions, because the store gives them out again in a new era.
    pub fn forget_revisions(&mut self) {
        self.unreadable.clear();
        for lift in self.lifts.values_mut() {
            lift.revision = 0;
            lift.seen_revision = 0;
        }
    }

    /// Returns the revision of the lift of a cause in the store; 0 if there is
    /// none. A block is written on this condition.
    pub fn revision(&self, cause: CrashCause) -> EntryRevision {
        let unreadable = self.unreadable.get(&cause).copied().unwrap_or(0);
        self.lifts
            .get(&cause)
            .map_or(unreadable, |lift| lift.revision)
    }

    /// Returns whether a block that another VM announces may be adopted.
    pub fn accepts_notice(&self, cause: CrashCause, now: Duration) -> bool {
        let lift = self.lifts.get(&cause);
        lift.is_none_or(|lift| lift.ends_at <= now)
    }

    /// Returns whether a block in the store, whose last crash was at this time, is
    /// newer than the lift of its cause.
    pub fn accepts_entry(&self, cause: CrashCause, last_crash_ms: UnixMs) -> bool {
        let lift = self.lifts.get(&cause);
        lift.is_none_or(|lift| is_after_lift(last_crash_ms, lift.lifted_ms))
    }

    /// Returns the time that the entry of a block has to state for its last crash,
    /// so that all VMs take it to be after the lift.
    pub fn entry_time(&self, cause: CrashCause, last_crash_ms: UnixMs) -> UnixMs {
        let lift = self.lifts.get(&cause);
        let earliest = lift.map_or(0, |lift| latest_before(lift.lifted_ms).saturating_add(1));
        last_crash_ms.max(earliest)
    }

    /// Returns the lifts that are to be removed from the store, each with its
    /// revision. VMs take turns: a VM waits for its turn after the end of the lift.
    pub fn removable(
        &self,
        now: Duration,
        turn: impl Fn(CrashCause) -> Duration,
    ) -> Vec<(CrashCause, EntryRevision)> {
        let is_due = |cause: CrashCause, lift: &KnownLift| {
            lift.revision > 0 && lift.ends_at <= now && lift.ends_at + turn(cause) <= now
        };
        let lifts = self.lifts.iter();
        lifts
            .filter(|(cause, lift)| is_due(**cause, lift))
            .map(|(cause, lift)| (*cause, lift.revision))
            .collect()
    }

    /// Forgets lifts that are over and that the store no longer has.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.lifts
            .retain(|_, lift| now < lift.ends_at || lift.revision > 0);
    }

    /// Returns whether a crash at which this cause was present was before its lift.
    pub(crate) fn settles(&self, cause: CrashCause, crashed: Duration) -> bool {
        let lift = self.lifts.get(&cause);
        lift.is_some_and(|lift| crashed <= lift.read_at)
    }
}

/// Returns whether the last crash of a block, as the store states it, was after a
/// lift.
///
/// # Examples
///
/// ```
/// assert!(dewguard::is_after_lift(1_060_000, 1_000_000));
/// // The clocks of VMs differ by seconds.
/// assert!(!dewguard::is_after_lift(1_002_000, 1_000_000));
/// ```
pub fn is_after_lift(last_crash_ms: UnixMs, lifted_ms: UnixMs) -> bool {
    last_crash_ms > latest_before(lifted_ms)
}

/// Returns the latest stated time of a crash that counts as before a lift.
fn latest_before(lifted_ms: UnixMs) -> UnixMs {
    lifted_ms.saturating_add(CLOCK_DIFFERENCE_MS)
}
