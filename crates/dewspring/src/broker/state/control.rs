//! Control events of a broker: everything besides grant requests and releases.
//!
//! Each of these events re-evaluates the affected pools: free slots are
//! granted, and a pool in which no server accepts work refuses its queued
//! requests.

use std::time::Instant;

use super::BrokerState;
use crate::broker::control::{ServerMark, ServerReport, ShareDivisor};
use crate::broker::grants::GrantRecord;
use crate::broker::messages::RefusalReason;
use crate::ids::{BootId, GrantId, PoolName, ServerName, VmId};
use crate::tables::FleetConfig;

/// Limit on the leaving marks, which are kept also for servers that no table
/// lists yet.
const MAX_LEAVING_MARKS: usize = 20_000;

impl BrokerState {
    /// Applies a configuration; one with a lower revision is ignored.
    pub fn configure(&mut self, config: &FleetConfig, now: Instant) {
        self.advance(now);
        if config.revision < self.revision {
            return;
        }
        self.revision = config.revision;
        for (name, pool) in &mut self.pools {
            if !config.pools.rows.contains_key(name) {
                pool.unlist();
            }
        }
        self.server_pools.clear();
        for (name, row) in &config.pools.rows {
            let pool = self.pools.entry(name.clone()).or_default();
            pool.configure(row, self.share);
            for server in row.servers.iter().map(|server| &server.name) {
                self.server_pools.insert(server.clone(), name.clone());
                if self.leaving.contains(server) {
                    pool.apply_mark(server, ServerMark::Leaving);
                }
            }
        }
        self.reevaluate_pools(now);
    }

    /// Applies a server's load report.
    pub fn report(&mut self, report: &ServerReport, now: Instant) {
        self.advance(now);
        let Some(name) = self.server_pools.get(&report.server).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.apply_report(report, now);
        }
        self.reevaluate_pool(&name, now);
    }

    /// Applies the state of a server in the platform's list.
    pub fn mark(&mut self, server: &ServerName, mark: ServerMark, now: Instant) {
        self.advance(now);
        match mark {
            ServerMark::Leaving => self.leaving.insert(server.clone()),
            ServerMark::Live => self.leaving.shift_remove(server),
        };
        if self.leaving.len() > MAX_LEAVING_MARKS {
            self.leaving.shift_remove_index(0);
        }
        let Some(name) = self.server_pools.get(server).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.apply_mark(server, mark);
        }
        self.reevaluate_pool(&name, now);
    }

    /// Marks the server of a grant as leaving.
    pub(super) fn mark_server_leaving(&mut self, record: &GrantRecord, now: Instant) {
        let pool = self.pools.get(&record.pool);
        let server = pool.and_then(|pool| pool.server(record.replica));
        let server = server.expect("a server with grants is not removed");
        self.mark(&server.clone(), ServerMark::Leaving, now);
    }

    /// Ends the grants and cancels the grant requests of an entry that died or
    /// was restarted.
    ///
    /// Returns the tickets that will get no decision.
    pub fn forget_entry(&mut self, entry: &VmId, boot: BootId, now: Instant) -> Vec<GrantId> {
        self.advance(now);
        let queued = self
            .pools
            .values()
            .flat_map(|pool| pool.queue.of_entry(entry, boot));
        let mut tickets = queued.collect::<Vec<_>>();
        tickets.extend(self.grants.of_entry(entry, boot));
        self.cancel_all(tickets, now)
    }

    /// Sets the broker's share of the servers' slots.
    pub fn set_share(&mut self, share: ShareDivisor, now: Instant) {
        self.advance(now);
        self.share = share;
        for pool in self.pools.values_mut() {
            pool.set_share(share);
        }
        self.reevaluate_pools(now);
    }

    pub(super) fn reevaluate_pools(&mut self, now: Instant) {
        let names = self.pools.keys().cloned().collect::<Vec<_>>();
        for name in names {
            self.reevaluate_pool(&name, now);
        }
    }

    pub(super) fn reevaluate_pool(&mut self, name: &PoolName, now: Instant) {
        let Some(index) = self.pools.get_index_of(name) else {
            return;
        };
        if !self.pools[index].is_serving() {
            self.refuse_all(index, RefusalReason::NoServer, now);
        }
        if self.pools[index].is_retired() {
            self.pools.shift_remove_index(index);
            return;
        }
        self.dispatch(name, now);
    }
}
