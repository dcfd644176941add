//! Who gives way when the queue of a pool is full.
//!
//! Within a tier the workspace with the most queued work loses its latest
//! request, so a flood from one workspace displaces itself and nobody else.
//! The workspaces are kept in this order, since callers name them and there
//! may be as many as requests.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::queued::{ArrivalRank, QueuedRequest};
use crate::ids::{GrantId, TokenCount, WorkspaceId};

/// Order in which workspaces give way: the last one goes first.
///
/// Of workspaces with the same work, it is the one with the latest request.
type LoadRank = (TokenCount, ArrivalRank);

/// What one workspace has in the queue of a tier.
#[derive(Debug, Default)]
struct WorkspaceLoad {
    work: TokenCount,
    arrivals: BTreeSet<ArrivalRank>,
}

impl WorkspaceLoad {
    fn rank(&self) -> Option<LoadRank> {
        Some((self.work, *self.arrivals.last()?))
    }
}

/// What the workspaces have in the queue of a tier.
#[derive(Debug, Default)]
pub(super) struct TierLoads {
    workspaces: IndexMap<WorkspaceId, WorkspaceLoad>,
    order: BTreeSet<LoadRank>,
}

impl TierLoads {
    /// Adds a request.
    pub(super) fn add(&mut self, queued: &QueuedRequest) {
        self.change(queued, |load| {
            load.work += queued.work;
            load.arrivals.insert(queued.arrival());
        });
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, queued: &QueuedRequest) {
        self.change(queued, |load| {
            load.work -= queued.work;
            load.arrivals.remove(&queued.arrival());
        });
    }

    /// Lists the requests in the order in which they give way, given the
    /// workspace of each.
    pub(super) fn victims<'a>(
        &'a self,
        workspace_of: impl Fn(GrantId) -> &'a WorkspaceId,
    ) -> impl Iterator<Item = GrantId> {
        let latest = self.order.iter().rev().map(|&(_, (_, ticket))| ticket);
        let loads = latest.map(move |ticket| &self.workspaces[workspace_of(ticket)]);
        let arrivals = loads.flat_map(|load| load.arrivals.iter().rev());
        arrivals.map(|&(_, ticket)| ticket)
    }

    fn change(&mut self, queued: &QueuedRequest, change: impl FnOnce(&mut WorkspaceLoad)) {
        let workspace = &queued.request.workspace;
        if !self.workspaces.contains_key(workspace) {
            let load = WorkspaceLoad::default();
            self.workspaces.insert(workspace.clone(), load);
        }
        let load = &mut self.workspaces[workspace];
        if let Some(rank) = load.rank() {
            self.order.remove(&rank);
        }
        change(load);
        match load.rank() {
            Some(rank) => {
                self.order.insert(rank);
            }
            None => {
                self.workspaces.swap_remove(workspace);
            }
        }
    }
}
