//! Who gives way when the queue of a pool is full.
//!
//! Within a tier the workspace with the most queued work loses its latest
//! request, so a flood from one workspace displaces itself and nobody else.

use indexmap::IndexMap;

use super::queued::ArrivalRank;
use crate::ids::{GrantId, TokenCount, WorkspaceId};

/// What one workspace has in the queue of a class.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkspaceLoad<'a> {
    /// The workspace.
    pub(super) workspace: &'a WorkspaceId,
    /// Estimated work of its requests, in tokens.
    pub(super) work: TokenCount,
    /// Its latest request.
    pub(super) latest: ArrivalRank,
}

/// Returns the request that gives way, given the loads of a tier's classes.
///
/// Of workspaces with the same work, the one with the latest request loses it.
pub(super) fn find_victim<'a>(loads: impl Iterator<Item = WorkspaceLoad<'a>>) -> Option<GrantId> {
    let mut sums = IndexMap::<_, (TokenCount, ArrivalRank)>::new();
    for load in loads {
        let sum = sums.entry(load.workspace).or_insert((0, load.latest));
        sum.0 += load.work;
        sum.1 = sum.1.max(load.latest);
    }
    let &(_, (_, ticket)) = sums.values().max()?;
    Some(ticket)
}
