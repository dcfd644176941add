//! The active grants and their expiry times.

use std::collections::BTreeSet;
use std::time::Instant;

use dewguard::CrashSuspect;
use indexmap::IndexMap;

use super::replica::ReplicaId;
use crate::ids::{BootId, ClassName, GrantId, PoolName, RequestId, TierLevel};
use crate::ids::{TokenCount, VmId, WorkspaceId};

/// An active grant.
#[derive(Clone, Debug)]
pub(super) struct GrantRecord {
    /// Number of the grant.
    pub(super) id: GrantId,
    /// Request that holds the grant.
    pub(super) request: RequestId,
    /// VM of the entry that holds the grant.
    pub(super) entry: VmId,
    /// Boot of that entry.
    pub(super) entry_boot: BootId,
    /// Pool of the server.
    pub(super) pool: PoolName,
    /// Server that the grant allows to call.
    pub(super) replica: ReplicaId,
    /// Class of the request.
    pub(super) class: ClassName,
    /// Tier of the request.
    pub(super) tier: TierLevel,
    /// Workspace of the request.
    pub(super) workspace: WorkspaceId,
    /// What of the request may crash its server.
    pub(super) suspect: CrashSuspect,
    /// Length of the prompt, in tokens.
    pub(super) prompt_tokens: TokenCount,
    /// Estimated work, in tokens.
    pub(super) work: TokenCount,
    /// Time at which the grant ends if the entry never releases it.
    pub(super) expires_at: Instant,
}

impl GrantRecord {
    fn is_held_by(&self, entry: &VmId, boot: BootId) -> bool {
        self.entry == *entry && self.entry_boot == boot
    }
}

/// The active grants by number and by expiry.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    records: IndexMap<GrantId, GrantRecord>,
    expiries: BTreeSet<(Instant, GrantId)>,
}

impl GrantTable {
    /// Adds a grant.
    pub(super) fn insert(&mut self, record: GrantRecord) {
        self.expiries.insert((record.expires_at, record.id));
        self.records.insert(record.id, record);
    }

    /// Removes a grant; `None` if it has already ended.
    pub(super) fn remove(&mut self, id: GrantId) -> Option<GrantRecord> {
        let record = self.records.swap_remove(&id)?;
        self.expiries.remove(&(record.expires_at, id));
        Some(record)
    }

    /// Removes a grant that has expired; `None` if there is none.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<GrantRecord> {
        let &(expires_at, id) = self.expiries.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(id)
    }

    /// Returns the time at which the next grant expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|&(expires_at, _)| expires_at)
    }

    /// Returns whether this boot of an entry holds a grant.
    pub(super) fn is_held_by(&self, id: GrantId, entry: &VmId, boot: BootId) -> bool {
        let record = self.records.get(&id);
        record.is_some_and(|record| record.is_held_by(entry, boot))
    }

    /// Lists the grants of one boot of an entry.
    pub(super) fn of_entry(&self, entry: &VmId, boot: BootId) -> Vec<GrantId> {
        let records = self.records.values();
        records
            .filter(|record| record.is_held_by(entry, boot))
            .map(|record| record.id)
            .collect()
    }
}
