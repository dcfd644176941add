//! Queue of liveness updates to gossip in heartbeats.
//!
//! Each update is sent a number of times that grows with the logarithm of the
//! fleet size; those sent least go first. There is at most one update per VM,
//! so the queue is bounded by the number of known VMs.

use indexmap::IndexMap;

use super::messages::LivenessUpdate;
use crate::ids::VmId;

/// Most updates in one heartbeat.
pub(super) const MAX_UPDATES_PER_HEARTBEAT: usize = 3;

/// Times that an update is sent for each doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// An update with the number of times that it was sent.
#[derive(Debug)]
struct QueuedUpdate {
    update: LivenessUpdate,
    sent: u32,
}

/// Updates that are still to be sent, at most one for each VM.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    items: IndexMap<VmId, QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an update and replaces an older one about the same VM.
    pub(super) fn push(&mut self, update: LivenessUpdate) {
        let item = QueuedUpdate { update, sent: 0 };
        self.items.insert(item.update.vm.clone(), item);
    }

    /// Adds an update if there is one.
    pub(super) fn push_if_some(&mut self, update: Option<LivenessUpdate>) {
        if let Some(update) = update {
            self.push(update);
        }
    }

    /// Removes the update about a VM.
    pub(super) fn remove(&mut self, vm: &VmId) {
        self.items.swap_remove(vm);
    }

    /// Returns the updates for one heartbeat to `recipient` and counts them as sent.
    ///
    /// An update about the recipient goes first, so that the recipient can refute it.
    pub(super) fn next_batch(
        &mut self,
        recipient: &VmId,
        fleet_size: usize,
    ) -> Vec<LivenessUpdate> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|&index| {
            let item = &self.items[index];
            (item.update.vm != *recipient, item.sent)
        });
        order.truncate(MAX_UPDATES_PER_HEARTBEAT);
        let batch = order.iter().map(|&index| self.mark_sent(index)).collect();
        let limit = send_limit(fleet_size);
        self.items.retain(|_, item| item.sent < limit);
        batch
    }

    /// Counts one transmission of the update at `index` and returns the update.
    fn mark_sent(&mut self, index: usize) -> LivenessUpdate {
        let item = &mut self.items[index];
        item.sent += 1;
        item.update.clone()
    }
}

/// Returns how often an update is sent in a fleet of this size.
fn send_limit(fleet_size: usize) -> u32 {
    SENDS_PER_DOUBLING * (fleet_size + 2).next_power_of_two().ilog2()
}
