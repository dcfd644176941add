//! Selects the request to refuse when the queue of a pool is full.
//!
//! Within a tier, the workspace with the most queued work loses its latest
//! request, so a flood from one workspace displaces only its own requests. The
//! workspaces are kept sorted, because callers choose their names and there may
//! be as many of them as requests.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::queued::{ArrivalRank, QueuedRequest};
use crate::ids::{GrantId, TokenCount, WorkspaceId};

/// Rank of a workspace; the highest rank loses a request first.
///
/// Among workspaces with equal work, the one with the latest request ranks
/// highest.
type LoadRank = (TokenCount, ArrivalRank);

/// Queued work of one workspace in a tier.
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

/// Queued work of the workspaces in a tier.
#[derive(Debug, Default)]
pub(super) struct TierLoads {
    workspaces: IndexMap<WorkspaceId, WorkspaceLoad>,
    order: BTreeSet<LoadRank>,
}

impl TierLoads {
    /// Adds a request.
    pub(super) fn add(&mut self, queued: &QueuedRequest) {
        self.update(queued, |load| {
            load.work += queued.work;
            load.arrivals.insert(queued.arrival_rank());
        });
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, queued: &QueuedRequest) {
        self.update(queued, |load| {
            load.work -= queued.work;
            load.arrivals.remove(&queued.arrival_rank());
        });
    }

    /// Lists the requests in the order in which they are refused;
    /// `workspace_of` returns the workspace of a request.
    pub(super) fn victims<'a>(
        &'a self,
        workspace_of: impl Fn(GrantId) -> &'a WorkspaceId,
    ) -> impl Iterator<Item = GrantId> {
        let latest = self.order.iter().rev().map(|&(_, (_, ticket))| ticket);
        let loads = latest.map(move |ticket| &self.workspaces[workspace_of(ticket)]);
        let arrivals = loads.flat_map(|load| load.arrivals.iter().rev());
        arrivals.map(|&(_, ticket)| ticket)
    }

    fn update(&mut self, queued: &QueuedRequest, change: impl FnOnce(&mut WorkspaceLoad)) {
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
