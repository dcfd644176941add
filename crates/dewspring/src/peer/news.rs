//! The news that a VM still has to pass on.
//!
//! Each item is sent a number of times that grows with the logarithm of the
//! fleet, the least sent first. There is at most one item for each VM, so the
//! queue is bounded by the number of known VMs.

use indexmap::IndexMap;

use super::messages::LivenessNews;
use crate::ids::VmId;

/// Number of news in one heartbeat.
pub(super) const NEWS_PER_HEARTBEAT: usize = 3;

/// Times that an item is sent for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// One item with the number of times that it was sent.
#[derive(Debug)]
struct NewsItem {
    news: LivenessNews,
    sent: u32,
}

/// The items that are still to be sent, one for each VM.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    items: IndexMap<VmId, NewsItem>,
}

impl NewsQueue {
    /// Adds an item; it replaces an older one of the same VM.
    pub(super) fn push(&mut self, news: LivenessNews) {
        let item = NewsItem { news, sent: 0 };
        self.items.insert(item.news.vm.clone(), item);
    }

    /// Adds an item if there is one.
    pub(super) fn push_some(&mut self, news: Option<LivenessNews>) {
        if let Some(news) = news {
            self.push(news);
        }
    }

    /// Drops what is known of a VM.
    pub(super) fn remove(&mut self, vm: &VmId) {
        self.items.swap_remove(vm);
    }

    /// Takes the items for one heartbeat to `recipient`.
    ///
    /// News of the recipient itself go first, so that it can refute them.
    pub(super) fn take(&mut self, recipient: &VmId, fleet: usize) -> Vec<LivenessNews> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|&index| {
            let item = &self.items[index];
            (item.news.vm != *recipient, item.sent)
        });
        order.truncate(NEWS_PER_HEARTBEAT);
        let taken = order.iter().map(|&index| self.send(index)).collect();
        let limit = send_limit(fleet);
        self.items.retain(|_, item| item.sent < limit);
        taken
    }

    /// Counts one sending of an item and returns its news.
    fn send(&mut self, index: usize) -> LivenessNews {
        let item = &mut self.items[index];
        item.sent += 1;
        item.news.clone()
    }
}

/// Returns how often an item is sent in a fleet of this many VMs.
fn send_limit(fleet: usize) -> u32 {
    SENDS_PER_DOUBLING * (fleet + 2).next_power_of_two().ilog2()
}
