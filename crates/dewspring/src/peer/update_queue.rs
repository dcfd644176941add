//! The news that a VM still has to pass on.
//!
//! Each item is sent a number of times that grows with the logarithm of the
//! fleet, the least sent first. There is at most one item for each VM, so the
//! queue is bounded by the number of known VMs.

use indexmap::IndexMap;

use super::messages::LivenessUpdate;
use crate::ids::VmId;

/// Number of news in one heartbeat.
pub(super) const MAX_UPDATES_PER_HEARTBEAT: usize = 3;

/// Times that an item is sent for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// One item with the number of times that it was sent.
#[derive(Debug)]
struct QueuedUpdate {
    update: LivenessUpdate,
    sent: u32,
}

/// The items that are still to be sent, one for each VM.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    items: IndexMap<VmId, QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an item; it replaces an older one of the same VM.
    pub(super) fn push(&mut self, update: LivenessUpdate) {
        let item = QueuedUpdate { update, sent: 0 };
        self.items.insert(item.update.vm.clone(), item);
    }

    /// Adds an item if there is one.
    pub(super) fn push_some(&mut self, update: Option<LivenessUpdate>) {
        if let Some(update) = update {
            self.push(update);
        }
    }

    /// Drops what is known of a VM.
    pub(super) fn remove(&mut self, vm: &VmId) {
        self.items.swap_remove(vm);
    }

    /// Takes the items for one heartbeat to `recipient`.
    ///
    /// News of the recipient itself go first, so that it can refute them.
    pub(super) fn take(&mut self, recipient: &VmId, fleet: usize) -> Vec<LivenessUpdate> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|&index| {
            let item = &self.items[index];
            (item.update.vm != *recipient, item.sent)
        });
        order.truncate(MAX_UPDATES_PER_HEARTBEAT);
        let taken = order.iter().map(|&index| self.send(index)).collect();
        let limit = send_limit(fleet);
        self.items.retain(|_, item| item.sent < limit);
        taken
    }

    /// Counts one sending of an item and returns its news.
    fn send(&mut self, index: usize) -> LivenessUpdate {
        let item = &mut self.items[index];
        item.sent += 1;
        item.update.clone()
    }
}

/// Returns how often an item is sent in a fleet of this many VMs.
fn send_limit(fleet: usize) -> u32 {
    SENDS_PER_DOUBLING * (fleet + 2).next_power_of_two().ilog2()
}
