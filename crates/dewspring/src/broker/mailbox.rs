//! Mailbox for inputs of which the broker's thread needs only the latest value.
//!
//! A value stays in the mailbox until it is read or replaced by a newer one,
//! even when the channel to the thread is full. The size is bounded by the
//! number of servers, VMs and outstanding grants.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::{IndexMap, IndexSet};

use super::control::{ServerMark, ServerReport, ShareDivisor};
use crate::ids::{BootId, GrantId, ServerName, VmId};
use crate::tables::FleetConfig;

/// Content of the mailbox when it was read.
#[derive(Debug, Default)]
pub(super) struct MailboxContent {
    /// The latest configuration.
    pub(super) config: Option<Arc<FleetConfig>>,
    /// The latest share.
    pub(super) share: Option<ShareDivisor>,
    /// The latest marks.
    pub(super) marks: IndexMap<ServerName, ServerMark>,
    /// The latest reports.
    pub(super) reports: IndexMap<ServerName, ServerReport>,
    /// Boots of entries that died or were restarted.
    pub(super) lost_entries: IndexSet<(VmId, BootId)>,
    /// Grants whose receivers were dropped before they read the decision.
    pub(super) unused_grants: Vec<GrantId>,
    /// Whether the broker must stop.
    pub(super) is_shut_down: bool,
}

/// Mailbox from any number of writers to the broker's thread.
#[derive(Debug, Default)]
pub(super) struct ControlMailbox {
    is_filled: AtomicBool,
    content: Mutex<MailboxContent>,
}

impl ControlMailbox {
    /// Stores a configuration, unless a newer one is stored.
    pub(super) fn put_config(&self, config: Arc<FleetConfig>) {
        self.put(|content| {
            let stored = content.config.as_ref().map(|stored| stored.revision);
            if stored.is_none_or(|stored| stored <= config.revision) {
                content.config = Some(config);
            }
        });
    }

    /// Stores a share.
    pub(super) fn put_share(&self, share: ShareDivisor) {
        self.put(|content| content.share = Some(share));
    }

    /// Stores a mark.
    pub(super) fn put_mark(&self, server: ServerName, mark: ServerMark) {
        self.put(|content| {
            content.marks.insert(server, mark);
        });
    }

    /// Stores a report.
    pub(super) fn put_report(&self, report: ServerReport) {
        self.put(|content| {
            content.reports.insert(report.server.clone(), report);
        });
    }

    /// Records that an entry died or was restarted.
    pub(super) fn put_lost_entry(&self, entry: VmId, boot: BootId) {
        self.put(|content| {
            content.lost_entries.insert((entry, boot));
        });
    }

    /// Records that a grant was delivered and not read.
    pub(super) fn put_unused_grant(&self, grant: GrantId) {
        self.put(|content| content.unused_grants.push(grant));
    }

    /// Requests the shutdown of the broker.
    pub(super) fn put_shut_down(&self) {
        self.put(|content| content.is_shut_down = true);
    }

    /// Removes and returns the content; `None` if nothing was stored since the
    /// last call.
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
        self.content.lock().expect("no holder panics")
    }
}
