//! The planner of one service in one data centre.
//!
//! An observation changes the desired numbers; [`ScalingPlanner::next_order`]
//! turns differences between desired and placed numbers into orders.
//!
//! The main invariant: at most one order waits for its result.

use std::time::Duration;

use super::mix::ServerMix;
use super::need::NeedHistory;
use super::orders::KindOrders;
use super::share::{ShareEstimate, ShareEstimator, ready_servers};
use super::{
    DecisionReason, FleetObservation, MAX_INPUT_AGE, OrderResult, ScalingDecision, ScalingLimits,
    ServerKind, ServerOrder,
};

/// Ratio of the share to the present servers from which a new planner orders
/// more before it has settled.
const CLEAR_NEED: f64 = 1.25;

/// Observations before a new planner may order.
const CLEAR_OBSERVATIONS: u32 = 2;

/// Most servers of a data centre, whatever the limits say. It bounds the
/// planner's work.
const MAX_SERVERS: u32 = 10_000;

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
    history: NeedHistory,
    estimator: ShareEstimator,
    mix: ServerMix,
    /// First and last observation.
    observed: Option<(Duration, Duration)>,
    observations: u32,
    /// Order without a result, and when it was sent.
    pending: Option<(ServerOrder, Duration)>,
    decision: ScalingDecision,
}

impl ScalingPlanner {
    /// Returns a planner that has seen nothing yet.
    pub fn new(data_centre: String) -> Self {
        Self {
            history: NeedHistory::default(),
            estimator: ShareEstimator::new(data_centre),
            mix: ServerMix::default(),
            observed: None,
            observations: 0,
            pending: None,
            decision: ScalingDecision::default(),
        }
    }

    /// Takes an observation, and decides which servers are desired.
    ///
    /// After more than 3 s without one, the planner starts anew, because another
    /// VM may have placed orders meanwhile.
    pub fn observe(
        &mut self,
        observation: &FleetObservation,
        limits: &ScalingLimits,
        now: Duration,
    ) {
        let first = match self.observed {
            Some((first, last)) if now <= last + MAX_INPUT_AGE => first,
            Some(_) => {
                let data_centre = std::mem::take(&mut self.estimator.data_centre);
                *self = Self::new(data_centre);
                now
            }
            None => now,
        };
        self.observed = Some((first, now));
        self.observations = self.observations.saturating_add(1);
        let limits = &ScalingLimits {
            min: limits.min.min(limits.max).min(MAX_SERVERS),
            max: limits.max.min(MAX_SERVERS),
            ..limits.clone()
        };
        self.mix.set_limits(limits);
        let is_recent = self.history.record(observation, limits.boot_time, now);
        let has_lost = self.observe_servers(observation, now);
        let need = self.history.need(now);
        let estimate = self.estimator.estimate(observation, &need, limits, now);
        let is_settled = now >= first + limits.boot_time;
        let mut reason = if is_settled || self.is_clear(&estimate, is_recent) {
            self.mix.raise(&estimate, is_recent, now)
        } else {
            DecisionReason::Settling
        };
        if is_settled && is_recent && need.is_covered && reason != DecisionReason::Increase {
            match self.mix.lower(&estimate, now) {
                DecisionReason::Steady => (),
                lowered => reason = lowered,
            }
        }
        if has_lost {
            reason = DecisionReason::InterruptibleLost;
        } else if !is_recent && reason == DecisionReason::Steady {
            reason = DecisionReason::StaleInput;
        }
        self.decision = ScalingDecision {
            at: now,
            reason,
            servers: self.decision.servers,
            fleet_ready: ready_servers(observation),
            need,
            share: estimate.share,
            regular: self.mix.regular.desired,
            interruptible: self.mix.interruptible.desired,
        };
    }

    /// Returns an order to send now. Its result must be recorded before there is
    /// another one.
    pub fn next_order(&mut self, now: Duration) -> Option<ServerOrder> {
        let (_, last) = self.observed?;
        if let Some((order, sent)) = self.pending {
            if now < sent + RESULT_TIMEOUT {
                return None;
            }
            self.record_result(&order, OrderResult::NoAnswer, now);
        }
        let may_lower = now <= last + MAX_INPUT_AGE;
        let order = self.mix.due_order(may_lower, now)?;
        self.orders(order.kind).send(order.count);
        self.pending = Some((order, now));
        Some(order)
    }

    /// Records what came of an order.
    pub fn record_result(&mut self, order: &ServerOrder, result: OrderResult, now: Duration) {
        self.pending = None;
        self.orders(order.kind).record(order.count, result, now);
        if order.kind == ServerKind::Interruptible && result == OrderResult::Unavailable {
            let placed = self.mix.interruptible.placed;
            self.mix.give_up_interruptible(placed, now);
        }
    }

    /// Returns the last decision.
    pub fn last_decision(&self) -> &ScalingDecision {
        &self.decision
    }

    fn orders(&mut self, kind: ServerKind) -> &mut KindOrders {
        match kind {
            ServerKind::Interruptible => &mut self.mix.interruptible,
            ServerKind::Regular => &mut self.mix.regular,
        }
    }

    /// Takes the servers of the own data centre. Returns whether interruptible
    /// ones were lost.
    fn observe_servers(&mut self, observation: &FleetObservation, now: Duration) -> bool {
        let is_recent = observation.age <= MAX_INPUT_AGE;
        match self.estimator.own_counts(observation, is_recent) {
            Some(counts) => {
                self.decision.servers = counts;
                self.mix.observe(&counts, is_recent, now)
            }
            None => false,
        }
    }

    /// Returns whether the need is clearly higher than what a new planner found.
    fn is_clear(&self, estimate: &ShareEstimate, is_recent: bool) -> bool {
        is_recent
            && self.observations >= CLEAR_OBSERVATIONS
            && f64::from(estimate.share) > f64::from(self.mix.level) * CLEAR_NEED
    }
}
