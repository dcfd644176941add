//! What a broker is told besides requests and releases.
//!
//! After each of these events the queues are served again, and a pool in which
//! no server takes work any more refuses what waits.

use std::time::Instant;

use super::BrokerState;
use crate::broker::control::{ServerMark, ServerReport, ShareDivisor};
use crate::broker::grants::GrantRecord;
use crate::broker::messages::RefusalReason;
use crate::ids::{BootId, GrantId, PoolName, ServerName, VmId};
use crate::tables::FleetConfig;

/// Leaving marks that are kept for servers that no table lists yet.
const MAX_MARKS: usize = 20_000;

impl BrokerState {
    /// Follows a configuration; one with a lower revision is passed over.
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
                    pool.mark(server, ServerMark::Leaving);
                }
            }
        }
        self.settle(now);
    }

    /// Notes a server's report on its load.
    pub fn report(&mut self, report: &ServerReport, now: Instant) {
        self.advance(now);
        let Some(name) = self.server_pools.get(&report.server).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.report(report, now);
        }
        self.settle_pool(&name, now);
    }

    /// Notes what the platform's list says of a server.
    pub fn mark(&mut self, server: &ServerName, mark: ServerMark, now: Instant) {
        self.advance(now);
        match mark {
            ServerMark::Leaving => self.leaving.insert(server.clone()),
            ServerMark::Live => self.leaving.shift_remove(server),
        };
        if self.leaving.len() > MAX_MARKS {
            self.leaving.shift_remove_index(0);
        }
        let Some(name) = self.server_pools.get(server).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.mark(server, mark);
        }
        self.settle_pool(&name, now);
    }

    /// Marks the server of a grant as leaving.
    pub(super) fn mark_server_of(&mut self, record: &GrantRecord, now: Instant) {
        let pool = self.pools.get(&record.pool);
        let server = pool.and_then(|pool| pool.server(record.replica));
        let server = server.expect("a server stays known while it has grants");
        self.mark(&server.clone(), ServerMark::Leaving, now);
    }

    /// Ends the grants of an entry that is gone, and forgets its questions.
    ///
    /// Returns the tickets that get no decision any more.
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

    /// Follows a new share of the servers' slots.
    pub fn set_share(&mut self, share: ShareDivisor, now: Instant) {
        self.advance(now);
        self.share = share;
        for pool in self.pools.values_mut() {
            pool.set_share(share);
        }
        self.settle(now);
    }

    pub(super) fn settle(&mut self, now: Instant) {
        let names = self.pools.keys().cloned().collect::<Vec<_>>();
        for name in names {
            self.settle_pool(&name, now);
        }
    }

    pub(super) fn settle_pool(&mut self, name: &PoolName, now: Instant) {
        let Some(index) = self.pools.get_index_of(name) else {
            return;
        };
        if !self.pools[index].is_serving() {
            self.flush(index, RefusalReason::NoServer, now);
        }
        if self.pools[index].is_gone() {
            self.pools.shift_remove_index(index);
            return;
        }
        self.dispatch(name, now);
    }
}
