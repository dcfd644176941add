//! One pool: its queue, its servers, and the meeting of the two.
//!
//! The pool never has more grants out on a server than the server has slots.

use std::time::Instant;

use indexmap::IndexMap;

use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::queue::{PoolQueue, QueuedRequest};
use super::replica::ReplicaState;
use super::status::PoolStatus;
use crate::ids::{PoolName, ServerName, TokenCount};
use crate::tables::PoolRow;

/// A request that has found its server.
#[derive(Debug)]
pub(super) struct Placement {
    /// The request, taken out of the queue.
    pub(super) queued: QueuedRequest,
    /// Server that is to run it.
    pub(super) server: ServerName,
    /// Estimated work, in tokens.
    pub(super) tokens: TokenCount,
    /// Why the server was chosen.
    pub(super) reason: String,
}

/// One pool.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    /// Requests that wait.
    pub(super) queue: PoolQueue,
    replicas: IndexMap<ServerName, ReplicaState>,
    is_listed: bool,
}

impl PoolState {
    /// Follows a new row of the pools table.
    pub(super) fn configure(&mut self, row: &PoolRow, share: ShareDivisor) {
        self.unlist();
        self.is_listed = true;
        for server in &row.servers {
            match self.replicas.get_mut(&server.name) {
                Some(replica) => replica.configure(server, share),
                None => {
                    let replica = ReplicaState::new(server, share);
                    self.replicas.insert(server.name.clone(), replica);
                }
            }
        }
        self.forget_gone();
    }

    /// Notes that the pools table no longer has the pool.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
        self.replicas.values_mut().for_each(ReplicaState::unlist);
    }

    /// Whether nothing keeps the broker from forgetting the pool.
    pub(super) fn is_gone(&self) -> bool {
        !self.is_listed && self.replicas.is_empty()
    }

    /// Follows a new share.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        for replica in self.replicas.values_mut() {
            replica.set_share(share);
        }
    }

    /// Notes what the platform's list says of a server.
    pub(super) fn mark(&mut self, server: &ServerName, mark: ServerMark) {
        if let Some(replica) = self.replicas.get_mut(server) {
            replica.mark(mark);
        }
    }

    /// Notes what a server says of itself.
    pub(super) fn report(&mut self, report: &ServerReport) {
        if let Some(replica) = self.replicas.get_mut(&report.server) {
            replica.report(report);
        }
    }

    /// Whether any server takes new work at all.
    pub(super) fn is_serving(&self) -> bool {
        self.replicas.values().any(ReplicaState::is_serving)
    }

    /// Finds the next request that can run now, and counts its grant.
    pub(super) fn place_next(&mut self, _now: Instant) -> Option<Placement> {
        let mut skipped = Vec::new();
        let mut placement = None;
        while self.replicas.values().any(ReplicaState::is_free) {
            let Some(queued) = self.queue.pop_next() else {
                break;
            };
            if let Some(server) = self.choose(&queued) {
                placement = Some(self.place(queued, server));
                break;
            }
            skipped.push(queued);
        }
        for queued in skipped {
            self.queue.push(queued);
        }
        placement
    }

    /// Ends a grant on a server.
    pub(super) fn end(&mut self, server: &ServerName, tokens: TokenCount) {
        let replica = self.replicas.get_mut(server);
        replica
            .expect("a server stays known while it has grants")
            .end(tokens);
        self.forget_gone();
    }

    /// Describes the pool to operators.
    pub(super) fn status(&self, name: &PoolName) -> PoolStatus {
        PoolStatus {
            pool: name.clone(),
            classes: self.queue.status(),
            servers: self.replicas.values().map(ReplicaState::status).collect(),
        }
    }

    /// Returns a server by name.
    pub(super) fn replica(&self, server: &ServerName) -> Option<&ReplicaState> {
        self.replicas.get(server)
    }

    fn choose(&self, queued: &QueuedRequest) -> Option<ServerName> {
        let excluded = &queued.request.excluded;
        let free = self.replicas.values().filter(|replica| replica.is_free());
        free.filter(|replica| !excluded.contains(&replica.name))
            .min_by_key(|replica| (replica.tokens_in_flight, replica.in_flight))
            .map(|replica| replica.name.clone())
    }

    fn place(&mut self, queued: QueuedRequest, server: ServerName) -> Placement {
        let tokens = queued.request.prompt_tokens + queued.request.max_tokens.unwrap_or_default();
        let replica = self.replicas.get_mut(&server);
        let replica = replica.expect("the chosen server is known");
        let reason = format!("{} tokens in flight", replica.tokens_in_flight);
        replica.begin(tokens);
        Placement {
            queued,
            server,
            tokens,
            reason,
        }
    }

    fn forget_gone(&mut self) {
        self.replicas.retain(|_, replica| !replica.is_gone());
    }
}
