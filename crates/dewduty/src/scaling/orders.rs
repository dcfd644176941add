//! Tracks the orders for servers of one kind.
//!
//! The main invariant: an order is sent only if the desired number differs from
//! what the platform was last told, if the platform's answer was lost, or if the
//! servers show for a while that the last order had no effect.

use std::time::Duration;

use super::OrderResult;

/// Time after which an order had no effect if the servers differ from it.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// Time until the next attempt after a lost answer or a throttled call.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Time until the next attempt after the platform had no servers. Other
/// data centres take over meanwhile.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(2);

/// Time that the arrival of servers may exceed the boot time.
pub(super) const BOOT_MARGIN: Duration = Duration::from_secs(3);

/// Desired, ordered and present servers of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KindOrders {
    /// Number that the planner wants.
    pub desired: u32,
    /// Number that the platform was last told, as far as known.
    pub placed: u32,
    /// Servers that take requests.
    pub ready: u32,
    /// Servers that end soon.
    pub leaving: u32,
    /// Whether this planner has sent an order.
    is_owned: bool,
    /// Time at which the platform last accepted an increase.
    raised: Option<Duration>,
    /// Least and most that was sent since the last accepted order.
    sent: Option<(u32, u32)>,
    /// Whether the platform may have carried out an order without an answer.
    is_uncertain: bool,
    retry_at: Duration,
    /// Start of the time in which the servers differ from the order.
    differs_since: Option<Duration>,
}

impl KindOrders {
    /// Records the servers that are there. Returns how many vanished or turned
    /// leaving without an order.
    pub fn observe(&mut self, ready: u32, leaving: u32, now: Duration) -> u32 {
        let ordered = self
            .sent
            .map_or(self.placed, |(least, _)| least.min(self.placed));
        let lost = self.ready.min(ordered).saturating_sub(ready);
        self.ready = ready;
        self.leaving = leaving;
        if ready == self.placed {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now);
        }
        lost
    }

    /// Takes servers as ordered that are there although this planner didn't
    /// order them, such as those that an earlier holder ordered. Removing them
    /// at once could break more requests than they cost.
    pub fn adopt(&mut self, now: Duration) -> bool {
        let had_no_effect = self
            .differs_since
            .is_some_and(|since| now >= since + REPEAT_TIME);
        let adopts = self.ready > self.placed && (!self.is_owned || had_no_effect);
        if adopts {
            self.placed = self.ready;
            self.desired = self.desired.max(self.ready);
            self.differs_since = None;
        }
        adopts
    }

    /// Returns whether servers of an accepted increase are overdue.
    pub fn is_overdue(&self, boot_time: Duration, now: Duration) -> bool {
        let is_late = self
            .raised
            .is_none_or(|raised| now >= raised + boot_time + BOOT_MARGIN);
        self.ready < self.placed.min(self.desired) && is_late
    }

    /// Returns the most servers that the platform may have been told.
    pub fn most_placed(&self) -> u32 {
        self.sent
            .map_or(self.placed, |(_, most)| most.max(self.placed))
    }

    /// Returns whether an order with this number is due.
    pub fn is_due(&self, count: u32, boot_time: Duration, now: Duration) -> bool {
        if now < self.retry_at {
            return false;
        }
        let wait = REPEAT_TIME.max(boot_time + BOOT_MARGIN);
        let had_no_effect =
            self.ready < count && self.differs_since.is_some_and(|since| now >= since + wait);
        count != self.placed || self.is_uncertain || had_no_effect
    }

    /// Records that an order with this number is sent.
    pub fn send(&mut self, count: u32) {
        self.is_owned = true;
        let (least, most) = self.sent.unwrap_or((count, count));
        self.sent = Some((least.min(count), most.max(count)));
    }

    /// Records what came of an order with this number.
    pub fn record(&mut self, count: u32, result: OrderResult, now: Duration) {
        match result {
            OrderResult::Accepted => {
                if count > self.placed.min(self.ready) {
                    self.raised = Some(now);
                }
                self.placed = count;
                self.is_uncertain = false;
                self.sent = None;
                self.differs_since = (self.ready != count).then_some(now);
            }
            OrderResult::NoAnswer => {
                self.is_uncertain = true;
                self.retry_at = now + RETRY_TIME;
            }
            OrderResult::Throttled => self.refuse(now + RETRY_TIME),
            OrderResult::Unavailable => self.refuse(now + UNAVAILABLE_TIME),
            OrderResult::Rejected(_) => self.refuse(now + REPEAT_TIME),
        }
    }

    /// Records that an order wasn't carried out.
    fn refuse(&mut self, retry_at: Duration) {
        self.retry_at = retry_at;
        if !self.is_uncertain {
            self.sent = None;
        }
    }
}
