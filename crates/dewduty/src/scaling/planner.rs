//! The planner of one service in one data centre.
//!
//! An observation changes the desired numbers; [`ScalingPlanner::next_order`]
//! turns differences between desired and placed numbers into orders, one at a
//! time.
//!
//! The main invariant: the desired numbers of both kinds together are at least
//! the level, which is raised to the data centre's share of the need at once and
//! lowered in steps.

use std::time::Duration;

use indexmap::IndexMap;

use super::need::NeedHistory;
use super::orders::{BOOT_MARGIN, KindOrders};
use super::split::{split_need, whole_servers};
use super::{
    DecisionReason, FleetObservation, OrderResult, ScalingDecision, ScalingLimits, ServerKind,
    ServerOrder,
};

/// Age of inputs, and time without an observation, after which nothing
/// decreases.
const MAX_INPUT_AGE: Duration = Duration::from_secs(3);

/// Time without interruptible servers after they were reclaimed or unavailable.
const INTERRUPTIBLE_PAUSE: Duration = Duration::from_secs(20);

/// Time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(3);

/// Part of the servers that a decrease may remove: one in this number.
const DECREASE_DIVISOR: u32 = 10;

/// Ratio of the need that decides about decreases to the need. Between both
/// nothing changes, so that noise doesn't remove and add the same server.
const DECREASE_MARGIN: f64 = 1.1;

/// Ratio of the share to the present servers from which a new planner orders
/// more before it has settled.
const CLEAR_NEED: f64 = 1.25;

/// Observations before a new planner may order.
const CLEAR_OBSERVATIONS: u32 = 2;

/// Time for which regular servers aren't replaced by interruptible ones, or the
/// other way round, after their right numbers changed.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(10);

/// Time that the data centre must be without any server before its order is
/// lowered to the minimum.
const LOSS_DELAY: Duration = Duration::from_secs(3);

/// Time after which an order without a recorded result counts as unanswered.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Decides how many servers a service needs in one data centre.
///
/// ```
/// # use std::time::Duration;
/// # use dewduty::scaling::{
/// #     FleetObservation, OrderResult, ScalingLimits, ScalingPlanner, ServerCapacity,
/// #     ServerCounts, ServerKind,
/// # };
/// # use indexmap::IndexMap;
/// let limits = ScalingLimits {
///     min: 1,
///     max: 20,
///     boot_time: Duration::from_secs(4),
///     interruptible_price: None,
///     prices: IndexMap::from([("cph-a".to_string(), 0.85)]),
/// };
/// let counts = ServerCounts { ready_regular: 4, ..ServerCounts::default() };
/// let observation = FleetObservation {
///     data_centres: IndexMap::from([("cph-a".to_string(), counts)]),
///     in_flight: 80.0,
///     capacity: ServerCapacity { requests: 10.0, backlog_ms: 0.0, slots: 16 },
///     ..FleetObservation::default()
/// };
/// let mut planner = ScalingPlanner::new("cph-a".to_string());
/// for second in 0..3 {
///     planner.observe(&observation, &limits, Duration::from_secs(second));
/// }
/// let now = Duration::from_secs(3);
/// let order = planner.next_order(now).expect("the need is clearly higher");
/// assert_eq!((order.kind, order.count), (ServerKind::Regular, 12));
/// planner.record_result(&order, OrderResult::Accepted, now);
/// assert_eq!(planner.next_order(now), None);
/// ```
#[derive(Clone, Debug)]
pub struct ScalingPlanner {
    data_centre: String,
    limits: ScalingLimits,
    history: NeedHistory,
    started: Option<Duration>,
    observed: Duration,
    observations: u32,
    /// Servers of both kinds that the data centre is to have.
    level: u32,
    regular: KindOrders,
    interruptible: KindOrders,
    /// Time until which no more interruptible servers are ordered.
    paused_until: Duration,
    lowered: Option<Duration>,
    /// Start of the time in which fewer servers are interruptible than may be.
    room_since: Option<Duration>,
    /// Start of the time in which more servers are interruptible than may be.
    excess_since: Option<Duration>,
    /// Start of the time in which a data centre has fewer servers than its
    /// share.
    short_since: IndexMap<String, Duration>,
    /// Start of the time in which the own data centre has no server.
    empty_since: Option<Duration>,
    had_servers: bool,
    /// Order without a result, and when it was sent.
    pending: Option<(ServerOrder, Duration)>,
    decision: ScalingDecision,
}

/// What one observation says about the own data centre.
struct ShareEstimate {
    /// Servers that the need asks of the data centre.
    share: u32,
    /// The same with the margin for decreases.
    decrease_share: u32,
    /// Servers that the other data centres have or will have.
    others: u32,
    /// Servers that take requests in the other data centres.
    others_ready: u32,
    /// Servers of the fleet that run what runs now.
    base: u32,
    /// Servers of the fleet for the need.
    peak: u32,
}

impl ScalingPlanner {
    /// Returns a planner that has seen nothing yet.
    pub fn new(data_centre: String) -> Self {
        Self {
            data_centre,
            limits: ScalingLimits::default(),
            history: NeedHistory::default(),
            started: None,
            observed: Duration::ZERO,
            observations: 0,
            level: 0,
            regular: KindOrders::default(),
            interruptible: KindOrders::default(),
            paused_until: Duration::ZERO,
            lowered: None,
            room_since: None,
            excess_since: None,
            short_since: IndexMap::new(),
            empty_since: None,
            had_servers: false,
            pending: None,
            decision: ScalingDecision::default(),
        }
    }

    /// Takes an observation, and decides which servers are desired.
    pub fn observe(
        &mut self,
        observation: &FleetObservation,
        limits: &ScalingLimits,
        now: Duration,
    ) {
        if self.started.is_some() && now > self.observed + MAX_INPUT_AGE {
            // Another VM may have placed orders meanwhile.
            *self = Self::new(std::mem::take(&mut self.data_centre));
        }
        let started = *self.started.get_or_insert(now);
        self.limits = limits.clone();
        self.observed = now;
        self.observations = self.observations.saturating_add(1);
        let is_valid = self.history.record(observation, limits.boot_time, now);
        let is_recent = is_valid && observation.age <= MAX_INPUT_AGE;
        let need = self.history.need(now);
        self.decision = ScalingDecision {
            at: now,
            need,
            ..ScalingDecision::default()
        };
        let was_lost = self.observe_servers(observation, is_recent, now);
        let is_settled = now >= started + limits.boot_time;
        if !is_settled {
            self.regular.adopt();
            self.interruptible.adopt();
            let placed = self.regular.desired + self.interruptible.desired;
            self.level = self.level.max(placed.min(limits.max));
        }
        let estimate = self.estimate(observation, now);
        self.decision.share = estimate.share;
        if is_settled || self.is_clear(&estimate, is_recent) {
            let had_time = now >= started + need.window.max(limits.boot_time);
            self.raise(&estimate, now);
            if had_time && is_recent {
                self.lower(&estimate, now);
            }
        } else {
            self.decision.reason = DecisionReason::Settling;
        }
        if was_lost {
            self.decision.reason = DecisionReason::InterruptibleLost;
        } else if !is_recent && self.decision.reason == DecisionReason::Steady {
            self.decision.reason = DecisionReason::StaleInput;
        }
        self.decision.regular = self.regular.desired;
        self.decision.interruptible = self.interruptible.desired;
    }

    /// Returns an order to send now. Its result must be recorded before there is
    /// another one.
    pub fn next_order(&mut self, now: Duration) -> Option<ServerOrder> {
        self.started?;
        if let Some((order, sent)) = self.pending {
            if now < sent + RESULT_TIMEOUT {
                return None;
            }
            self.record_result(&order, OrderResult::NoAnswer, now);
        }
        let may_lower = now <= self.observed + MAX_INPUT_AGE;
        let order = self.due_order(may_lower, now)?;
        self.orders(order.kind).send(order.count);
        self.pending = Some((order, now));
        Some(order)
    }

    /// Records what came of an order.
    pub fn record_result(&mut self, order: &ServerOrder, result: OrderResult, now: Duration) {
        self.pending = None;
        self.orders(order.kind).record(order.count, result, now);
        if order.kind == ServerKind::Interruptible && result == OrderResult::Unavailable {
            self.give_up_interruptible(self.interruptible.placed, now);
        }
    }

    /// Returns the last decision.
    pub fn last_decision(&self) -> &ScalingDecision {
        &self.decision
    }

    fn orders(&mut self, kind: ServerKind) -> &mut KindOrders {
        match kind {
            ServerKind::Interruptible => &mut self.interruptible,
            ServerKind::Regular => &mut self.regular,
        }
    }

    /// Takes the servers of the own data centre. Returns whether interruptible
    /// ones were lost.
    fn observe_servers(
        &mut self,
        observation: &FleetObservation,
        is_recent: bool,
        now: Duration,
    ) -> bool {
        self.decision.fleet_ready = observation
            .data_centres
            .values()
            .map(|counts| counts.ready())
            .sum();
        let counts = observation.data_centres.get(&self.data_centre).copied();
        if !is_recent && counts.is_none() {
            return false;
        }
        let counts = counts.unwrap_or_default();
        self.decision.servers = counts;
        self.regular
            .observe(counts.ready_regular, counts.leaving_regular, now);
        let lost = self.interruptible.observe(
            counts.ready_interruptible,
            counts.leaving_interruptible,
            now,
        );
        self.had_servers |= counts.ready() > 0;
        // Without any server in the fleet, the observation itself is doubtful.
        if counts.is_empty() && self.had_servers && self.decision.fleet_ready > 0 {
            self.empty_since.get_or_insert(now);
        } else {
            self.empty_since = None;
        }
        let is_overdue = self.interruptible.is_overdue(self.limits.boot_time, now);
        if lost > 0 || is_overdue {
            self.give_up_interruptible(counts.ready_interruptible, now);
        }
        lost > 0 || is_overdue
    }

    /// Replaces all interruptible servers beyond this number by regular ones.
    fn give_up_interruptible(&mut self, kept: u32, now: Duration) {
        self.interruptible.desired = self.interruptible.desired.min(kept);
        self.paused_until = now + INTERRUPTIBLE_PAUSE;
        self.regular.desired = self
            .regular
            .desired
            .max(self.level.saturating_sub(self.interruptible.desired));
    }

    /// Returns whether the need is clearly higher than what a new planner found.
    fn is_clear(&self, estimate: &ShareEstimate, is_recent: bool) -> bool {
        is_recent
            && self.observations >= CLEAR_OBSERVATIONS
            && f64::from(estimate.share) > f64::from(self.level) * CLEAR_NEED
    }

    fn estimate(&mut self, observation: &FleetObservation, now: Duration) -> ShareEstimate {
        let need = self.decision.need;
        let share = self.own_share(observation, need.peak, now);
        let decrease_share = self.own_share(observation, need.peak * DECREASE_MARGIN, now);
        let caps = self.caps(observation, now, need.peak);
        let others = split_need(need.peak, &self.limits, &caps)
            .iter()
            .filter(|(name, _)| **name != self.data_centre)
            .map(|(_, share)| share)
            .sum();
        let own_ready = self.regular.ready + self.interruptible.ready;
        ShareEstimate {
            share,
            decrease_share,
            others,
            others_ready: self.decision.fleet_ready.saturating_sub(own_ready),
            base: whole_servers(need.base),
            peak: whole_servers(need.peak),
        }
    }

    /// Returns the own share of a need: what the plain split says, or more if
    /// other data centres can't have theirs.
    fn own_share(&mut self, observation: &FleetObservation, need: f64, now: Duration) -> u32 {
        let is_lost = self
            .empty_since
            .is_some_and(|since| now >= since + LOSS_DELAY);
        if is_lost {
            return self.limits.min.max(1).min(self.limits.max);
        }
        let caps = self.caps(observation, now, need);
        let shares = split_need(need, &self.limits, &caps);
        shares.get(&self.data_centre).copied().unwrap_or_default()
    }

    /// Returns the most servers that each data centre can have. A data centre
    /// without servers is lost; one that stays below its share longer than
    /// servers take to boot can't get more.
    fn caps(
        &mut self,
        observation: &FleetObservation,
        now: Duration,
        need: f64,
    ) -> IndexMap<String, u32> {
        let max = self.limits.max;
        let mut caps: IndexMap<String, u32> = observation
            .data_centres
            .iter()
            .map(|(name, counts)| (name.clone(), if counts.is_empty() { 0 } else { max }))
            .collect();
        caps.insert(self.data_centre.clone(), max);
        let shares = split_need(need, &self.limits, &caps);
        let patience = self.limits.boot_time + BOOT_MARGIN;
        for (name, counts) in &observation.data_centres {
            if *name == self.data_centre {
                continue;
            }
            if counts.ready() >= shares[name] {
                self.short_since.swap_remove(name);
                continue;
            }
            let since = *self.short_since.entry(name.clone()).or_insert(now);
            if now >= since + patience {
                caps[name] = counts.ready();
            }
        }
        caps
    }

    /// Raises the level and the desired numbers to what the share needs.
    fn raise(&mut self, estimate: &ShareEstimate, now: Duration) {
        let growth = estimate.share.saturating_sub(self.level);
        if growth > 0 {
            self.level = estimate.share;
            self.decision.reason = DecisionReason::Increase;
        }
        let allowed = self.allowed_interruptible(estimate);
        let desired = self.interruptible.desired;
        track(&mut self.room_since, allowed > desired, now);
        track(&mut self.excess_since, allowed < desired, now);
        if now >= self.paused_until {
            let had_room = has_lasted(self.room_since, REPLACEMENT_DELAY, now);
            let room = self.limits.max.saturating_sub(self.regular.placed);
            let wanted = if had_room {
                allowed
            } else {
                allowed.min(desired + growth)
            };
            if wanted.min(room) > desired {
                self.interruptible.desired = wanted.min(room);
                if growth == 0 {
                    self.decision.reason = DecisionReason::Replacement;
                }
            }
        }
        let counted = if has_lasted(self.excess_since, REPLACEMENT_DELAY, now) {
            allowed
        } else {
            self.interruptible.desired
        };
        let regular = self.level.saturating_sub(counted);
        self.regular.desired = self.regular.desired.max(regular);
    }

    /// Lowers the level and the desired numbers by one step, if one is due.
    fn lower(&mut self, estimate: &ShareEstimate, now: Duration) {
        if self.lowered.is_some_and(|at| now < at + DECREASE_INTERVAL) {
            return;
        }
        let step = (self.level / DECREASE_DIVISOR).max(1);
        let enough = estimate.peak.saturating_sub(estimate.others_ready);
        let target = estimate.decrease_share.max(enough.min(self.level));
        let mut has_lowered = false;
        if target < self.level && !self.is_empty() {
            self.level = target.max(self.level - step);
            self.decision.reason = DecisionReason::Decrease;
            has_lowered = true;
        } else if self.is_empty() && estimate.share < self.level {
            self.level = estimate.share;
            self.regular.desired = self.level;
            self.interruptible.desired = 0;
            self.decision.reason = DecisionReason::DataCentreLost;
            return;
        }
        let allowed = self.allowed_interruptible(estimate);
        let served = self.regular.ready.min(self.regular.desired);
        let interruptible = allowed
            .max(self.level.saturating_sub(served))
            .max(self.interruptible.desired.saturating_sub(step));
        if interruptible < self.interruptible.desired {
            self.interruptible.desired = interruptible;
            has_lowered = true;
        } else {
            let served = self.interruptible.desired.min(self.interruptible.ready);
            let regular = self
                .level
                .saturating_sub(served.min(allowed))
                .max(self.regular.desired.saturating_sub(step));
            if regular < self.regular.desired {
                self.regular.desired = regular;
                has_lowered = true;
            }
        }
        if has_lowered {
            self.lowered = Some(now);
            if self.decision.reason == DecisionReason::Steady {
                self.decision.reason = DecisionReason::Replacement;
            }
        }
    }

    /// Returns whether the own data centre has lost all servers.
    fn is_empty(&self) -> bool {
        self.empty_since.is_some()
    }

    /// Returns how many interruptible servers may be lost at once while the rest
    /// of the fleet runs what runs now. One server stays regular.
    fn allowed_interruptible(&self, estimate: &ShareEstimate) -> u32 {
        if self
            .limits
            .interruptible_price
            .is_none_or(|price| price >= 1.0)
        {
            return 0;
        }
        (self.level + estimate.others)
            .saturating_sub(estimate.base)
            .min(self.level.saturating_sub(1))
    }

    /// Returns the order that is due, the most urgent one first.
    fn due_order(&self, may_lower: bool, now: Duration) -> Option<ServerOrder> {
        let (regular, interruptible) = (&self.regular, &self.interruptible);
        let max = self.limits.max;
        let boot_time = self.limits.boot_time;
        // Reclaimed servers that still end their requests keep their order,
        // unless its number is needed for regular ones.
        let is_blocking = regular.desired + interruptible.placed > max;
        let keeps = interruptible.leaving > 0 && !is_blocking;
        let interruptible_count = if interruptible.desired < interruptible.placed && keeps {
            interruptible.placed
        } else {
            interruptible
                .desired
                .min(max.saturating_sub(regular.placed.min(regular.desired)))
        };
        let orders = [
            (
                ServerKind::Regular,
                regular,
                regular
                    .desired
                    .min(max.saturating_sub(interruptible.placed)),
            ),
            (
                ServerKind::Interruptible,
                interruptible,
                interruptible_count,
            ),
        ];
        let due = |raises: bool| {
            orders.iter().find(|(_, kind, count)| {
                (*count > kind.placed.min(kind.ready)) == raises
                    && kind.is_due(*count, boot_time, now)
            })
        };
        let order = due(true).or_else(|| if may_lower { due(false) } else { None });
        order.map(|(kind, _, count)| ServerOrder {
            kind: *kind,
            count: *count,
        })
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

fn has_lasted(since: Option<Duration>, time: Duration, now: Duration) -> bool {
    since.is_some_and(|since| now >= since + time)
}
