//! What is only worth its latest value, on the way to the broker's thread.
//!
//! The mailbox never loses a value that has no successor, however full the
//! ring is. Its size is bounded by the number of servers and VMs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::{IndexMap, IndexSet};

use super::control::{ServerMark, ServerReport, ShareDivisor};
use crate::ids::{BootId, ServerName, VmId};
use crate::tables::FleetConfig;

/// What the mailbox held when it was emptied.
#[derive(Debug, Default)]
pub(super) struct MailboxContent {
    /// The newest configuration.
    pub(super) config: Option<Arc<FleetConfig>>,
    /// The newest share.
    pub(super) share: Option<ShareDivisor>,
    /// The newest marks.
    pub(super) marks: IndexMap<ServerName, ServerMark>,
    /// The newest reports.
    pub(super) reports: IndexMap<ServerName, ServerReport>,
    /// Boots of entries that are gone.
    pub(super) lost_entries: IndexSet<(VmId, BootId)>,
    /// Whether the broker is to end.
    pub(super) is_shut_down: bool,
}

/// The mailbox between any number of writers and the broker's thread.
#[derive(Debug, Default)]
pub(super) struct ControlMailbox {
    is_filled: AtomicBool,
    content: Mutex<MailboxContent>,
}

impl ControlMailbox {
    /// Leaves a configuration, unless a newer one is there.
    pub(super) fn put_config(&self, config: Arc<FleetConfig>) {
        self.put(|content| {
            let held = content.config.as_ref().map(|held| held.revision);
            if held.is_none_or(|held| held <= config.revision) {
                content.config = Some(config);
            }
        });
    }

    /// Leaves a share.
    pub(super) fn put_share(&self, share: ShareDivisor) {
        self.put(|content| content.share = Some(share));
    }

    /// Leaves a mark.
    pub(super) fn put_mark(&self, server: ServerName, mark: ServerMark) {
        self.put(|content| {
            content.marks.insert(server, mark);
        });
    }

    /// Leaves a report.
    pub(super) fn put_report(&self, report: ServerReport) {
        self.put(|content| {
            content.reports.insert(report.server.clone(), report);
        });
    }

    /// Leaves the news that an entry is gone.
    pub(super) fn put_lost_entry(&self, entry: VmId, boot: BootId) {
        self.put(|content| {
            content.lost_entries.insert((entry, boot));
        });
    }

    /// Leaves the order to end.
    pub(super) fn put_shut_down(&self) {
        self.put(|content| content.is_shut_down = true);
    }

    /// Empties the mailbox; `None` if nothing is there.
    pub(super) fn take(&self) -> Option<MailboxContent> {
        if !self.is_filled.swap(false, Ordering::AcqRel) {
            return None;
        }
        Some(std::mem::take(&mut *self.lock()))
    }

    fn put(&self, change: impl FnOnce(&mut MailboxContent)) {
        change(&mut self.lock());
        self.is_filled.store(true, Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, MailboxContent> {
        self.content.lock().expect("no holder of the lock panics")
    }
}
