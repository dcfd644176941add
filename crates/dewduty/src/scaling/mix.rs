//! Divides the servers of a data centre into regular and interruptible ones.
//!
//! The level is the number of servers that the data centre is to have. It rises
//! to the share of the need at once and falls in steps.
//!
//! The main invariant: the desired numbers of both kinds together are at least
//! the level, and what one kind gives up is only removed once the other kind
//! serves in its place.

use std::time::Duration;

use super::orders::KindOrders;
use super::share::ShareEstimate;
use super::{DecisionReason, ScalingLimits, ServerCounts, ServerKind, ServerOrder};

/// Time without new interruptible servers after they were reclaimed or
/// unavailable.
const INTERRUPTIBLE_PAUSE: Duration = Duration::from_secs(20);

/// Time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(3);

/// Part of the servers that a decrease may remove: one in this number.
const DECREASE_DIVISOR: u32 = 10;

/// Time that regular servers must be replaceable by interruptible ones, without
/// an increase, before they are replaced. Both serve for a while, which doesn't
/// pay for a burst: after 10 s, a burst of 9 s had its servers replaced when it
/// was over.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(20);

/// Time that more servers must be interruptible than may be before regular ones
/// replace them.
const EXCESS_DELAY: Duration = Duration::from_secs(10);

/// Desired servers of a data centre, by kind.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerMix {
    pub level: u32,
    pub regular: KindOrders,
    pub interruptible: KindOrders,
    limits: ScalingLimits,
    /// Time until which no more interruptible servers are desired.
    paused_until: Duration,
    lowered: Option<Duration>,
    /// Start of the time in which fewer servers are interruptible than may be.
    room_since: Option<Duration>,
    /// Start of the time in which more servers are interruptible than may be.
    excess_since: Option<Duration>,
}

impl ServerMix {
    /// Takes the servers that are there. Returns whether interruptible ones were
    /// lost. With `is_recent` also those count that should be there by now.
    pub fn observe(&mut self, counts: &ServerCounts, is_recent: bool, now: Duration) -> bool {
        self.regular
            .observe(counts.ready_regular, counts.leaving_regular, now);
        let lost = self.interruptible.observe(
            counts.ready_interruptible,
            counts.leaving_interruptible,
            now,
        );
        let is_overdue = is_recent && self.interruptible.is_overdue(self.limits.boot_time, now);
        if lost > 0 || is_overdue {
            self.give_up_interruptible(counts.ready_interruptible, now);
        }
        let has_adopted = [self.regular.adopt(now), self.interruptible.adopt(now)];
        if has_adopted.contains(&true) {
            let placed = self.regular.placed + self.interruptible.placed;
            self.level = self.level.max(placed);
            self.limit();
        }
        lost > 0 || is_overdue
    }

    /// Applies limits that may have changed.
    pub fn set_limits(&mut self, limits: &ScalingLimits) {
        self.limits = limits.clone();
        self.limit();
    }

    fn limit(&mut self) {
        let max = self.limits.max;
        self.level = self.level.min(max);
        self.interruptible.desired = self.interruptible.desired.min(max);
        let room = max - self.interruptible.desired;
        self.regular.desired = self.regular.desired.min(room);
    }

    /// Replaces all interruptible servers beyond this number by regular ones.
    pub fn give_up_interruptible(&mut self, kept: u32, now: Duration) {
        self.paused_until = now + INTERRUPTIBLE_PAUSE;
        self.interruptible.desired = self.interruptible.desired.min(kept);
        self.fill(self.interruptible.desired);
    }

    /// Desires as many regular servers as the level needs with this number of
    /// interruptible ones.
    fn fill(&mut self, interruptible: u32) {
        let missing = self.level.saturating_sub(interruptible);
        self.regular.desired = self.regular.desired.max(missing);
    }

    /// Raises the level and the desired numbers to what the share needs. Only
    /// recent inputs let interruptible servers replace regular ones.
    pub fn raise(
        &mut self,
        estimate: &ShareEstimate,
        is_recent: bool,
        now: Duration,
    ) -> DecisionReason {
        let growth = estimate.share.saturating_sub(self.level);
        self.level += growth;
        let allowed = self.allowed_interruptible(estimate, self.level);
        // While the level falls, no new servers replace those that it gives up.
        let target = self.level.min(estimate.decrease_share);
        let useful = self.allowed_interruptible(estimate, target);
        let desired = self.interruptible.desired;
        let has_room = is_recent && growth == 0 && useful > desired;
        track(&mut self.room_since, has_room, now);
        track(&mut self.excess_since, allowed < desired, now);
        if now >= self.paused_until {
            let wanted = if has_lasted(self.room_since, REPLACEMENT_DELAY, now) {
                useful
            } else {
                useful.min(desired + growth)
            };
            let room = self.limits.max.saturating_sub(self.regular.most_placed());
            self.interruptible.desired = desired.max(wanted.min(room));
        }
        let kept = if has_lasted(self.excess_since, EXCESS_DELAY, now) {
            allowed.min(self.interruptible.desired)
        } else {
            self.interruptible.desired
        };
        self.fill(kept);
        match growth {
            0 if self.interruptible.desired > desired => DecisionReason::Replacement,
            0 => DecisionReason::Steady,
            _ => DecisionReason::Increase,
        }
    }

    /// Lowers the level and the desired numbers by one step, if one is due.
    pub fn lower(&mut self, estimate: &ShareEstimate, now: Duration) -> DecisionReason {
        if estimate.is_lost {
            return self.abandon(estimate.share);
        }
        if self.lowered.is_some_and(|at| now < at + DECREASE_INTERVAL) {
            return DecisionReason::Steady;
        }
        let step = (self.level / DECREASE_DIVISOR).max(1);
        let level = estimate.decrease_share.max(self.level.saturating_sub(step));
        let reason = if level < self.level {
            self.level = level;
            DecisionReason::Decrease
        } else {
            DecisionReason::Replacement
        };
        let allowed = self.allowed_interruptible(estimate, self.level);
        if self.lower_interruptible(allowed, step) || self.lower_regular(allowed, step) {
            self.lowered = Some(now);
            return reason;
        }
        DecisionReason::Steady
    }

    /// Takes the desired numbers to the minimum in a data centre that has lost
    /// all its servers.
    fn abandon(&mut self, share: u32) -> DecisionReason {
        if share < self.level {
            self.level = share;
            self.regular.desired = share;
            self.interruptible.desired = 0;
        }
        DecisionReason::DataCentreLost
    }

    /// Removes interruptible servers beyond the allowed number, as far as
    /// regular ones serve in their place.
    fn lower_interruptible(&mut self, allowed: u32, step: u32) -> bool {
        let served = self.regular.ready.min(self.regular.desired);
        let desired = self.interruptible.desired;
        let lowered = allowed
            .max(self.level.saturating_sub(served))
            .max(desired.saturating_sub(step));
        self.interruptible.desired = desired.min(lowered);
        lowered < desired
    }

    /// Removes regular servers that the level doesn't need beside the
    /// interruptible ones that serve.
    fn lower_regular(&mut self, allowed: u32, step: u32) -> bool {
        let served = self.interruptible.ready.min(self.interruptible.desired);
        let desired = self.regular.desired;
        let lowered = self
            .level
            .saturating_sub(served.min(allowed))
            .max(desired.saturating_sub(step));
        self.regular.desired = desired.min(lowered);
        lowered < desired
    }

    /// Returns how many interruptible ones of so many servers may be lost at once
    /// while the rest of the fleet runs what runs now. One server stays regular.
    fn allowed_interruptible(&self, estimate: &ShareEstimate, level: u32) -> u32 {
        let price = self.limits.interruptible_price;
        if price.is_none_or(|price| price >= 1.0) {
            return 0;
        }
        (level + estimate.others)
            .saturating_sub(estimate.base)
            .min(level.saturating_sub(1))
    }

    /// Returns the order that is due, increases first.
    pub fn due_order(&self, may_lower: bool, now: Duration) -> Option<ServerOrder> {
        let orders = [
            (ServerKind::Regular, &self.regular, self.regular_count()),
            (
                ServerKind::Interruptible,
                &self.interruptible,
                self.interruptible_count(),
            ),
        ];
        let due = |raises: bool| {
            orders.iter().find(|(_, kind, count)| {
                (*count > kind.placed.min(kind.ready)) == raises
                    && kind.is_due(*count, self.limits.boot_time, now)
            })
        };
        let order = due(true).or_else(|| if may_lower { due(false) } else { None });
        order.map(|(kind, _, count)| ServerOrder {
            kind: *kind,
            count: *count,
        })
    }

    /// Returns the number of regular servers to order, within what the order for
    /// interruptible ones leaves of the maximum.
    fn regular_count(&self) -> u32 {
        let room = self
            .limits
            .max
            .saturating_sub(self.interruptible.most_placed());
        let desired = self.regular.desired;
        desired.min(room.max(self.regular.placed))
    }

    /// Returns the number of interruptible servers to order. Reclaimed servers
    /// that still end their requests keep their order, unless its number is
    /// needed for regular ones.
    fn interruptible_count(&self) -> u32 {
        let max = self.limits.max;
        let (desired, placed) = (self.interruptible.desired, self.interruptible.placed);
        let is_blocking = self.regular.desired + placed > max;
        if desired < placed && self.interruptible.leaving > 0 && !is_blocking {
            return placed;
        }
        let room = max.saturating_sub(self.regular.most_placed());
        desired.min(room.max(placed))
    }
}

/// Starts or ends a time in which a condition holds.
fn track(since: &mut Option<Duration>, holds: bool, now: Duration) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// Returns whether the condition has held for this time.
fn has_lasted(since: Option<Duration>, time: Duration, now: Duration) -> bool {
    since.is_some_and(|since| now >= since + time)
}
