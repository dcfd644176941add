//! What the need of a service asks of one data centre.
//!
//! The split is the same at all planners. What other data centres can't have is
//! added: those without any server are lost, and those that stay below their
//! share for longer than servers take to boot can't get more.

use std::time::Duration;

use indexmap::IndexMap;

use super::orders::BOOT_MARGIN;
use super::split::{split_need, whole_servers};
use super::{FleetNeed, FleetObservation, ScalingLimits, ServerCounts};

/// Ratio of the need that decides about decreases to the need. Between both
/// nothing changes, so that noise doesn't remove and add the same server.
const DECREASE_MARGIN: f64 = 1.1;

/// Time that the data centre must be without any server before its order is
/// lowered to the minimum.
const LOSS_DELAY: Duration = Duration::from_secs(3);

/// What an observation asks of the own data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareEstimate {
    /// Servers that the data centre is to have at least.
    pub share: u32,
    /// Servers down to which it may go.
    pub decrease_share: u32,
    /// Servers that the other data centres have to have, as far as they can.
    pub others: u32,
    /// Need of the fleet without headroom.
    pub base: u32,
    /// Whether the data centre lost all its servers.
    pub is_lost: bool,
}

/// Estimates the share of one data centre.
#[derive(Clone, Debug)]
pub(super) struct ShareEstimator {
    pub data_centre: String,
    /// Other data centres that have fewer servers than their shares: the number,
    /// and since when it hasn't grown.
    short: IndexMap<String, (u32, Duration)>,
    /// Start of the time in which the own data centre has no server.
    empty_since: Option<Duration>,
    had_servers: bool,
}

impl ShareEstimator {
    pub fn new(data_centre: String) -> Self {
        Self {
            data_centre,
            short: IndexMap::new(),
            empty_since: None,
            had_servers: false,
        }
    }

    /// Returns the own servers, unless a recent observation should have them.
    pub fn own_counts(
        &self,
        observation: &FleetObservation,
        is_recent: bool,
    ) -> Option<ServerCounts> {
        let counts = observation.data_centres.get(&self.data_centre).copied();
        counts.or_else(|| is_recent.then(ServerCounts::default))
    }

    /// Estimates the share from the need of the fleet.
    pub fn estimate(
        &mut self,
        observation: &FleetObservation,
        need: &FleetNeed,
        limits: &ScalingLimits,
        now: Duration,
    ) -> ShareEstimate {
        let own = self.own_counts(observation, true).unwrap_or_default();
        let fleet_ready = ready_servers(observation);
        let others_ready = fleet_ready.saturating_sub(own.ready());
        let caps = self.caps(observation, need, limits, now);
        let shares = split_need(need.peak, limits, &caps);
        let wide_shares = split_need(need.peak * DECREASE_MARGIN, limits, &caps);
        let share_of = |shares: &IndexMap<String, u32>| {
            shares.get(&self.data_centre).copied().unwrap_or_default()
        };
        let share = share_of(&shares);
        // Others may still be booting what their shares are.
        let uncovered = whole_servers(need.peak).saturating_sub(others_ready);
        let mut estimate = ShareEstimate {
            share,
            decrease_share: share_of(&wide_shares).max(uncovered.min(limits.max)),
            others: shares.values().sum::<u32>() - share,
            base: whole_servers(need.base),
            is_lost: self.is_lost(&own, fleet_ready, now),
        };
        if estimate.is_lost {
            estimate.share = limits.min.max(1).min(limits.max);
            estimate.decrease_share = estimate.share;
        }
        estimate
    }

    /// Returns whether the data centre had servers and now has none. Without any
    /// server in the fleet, the observation itself is doubtful.
    fn is_lost(&mut self, own: &ServerCounts, fleet_ready: u32, now: Duration) -> bool {
        self.had_servers |= own.ready() > 0;
        if own.is_empty() && self.had_servers && fleet_ready > 0 {
            now >= *self.empty_since.get_or_insert(now) + LOSS_DELAY
        } else {
            self.empty_since = None;
            false
        }
    }

    /// Returns the most servers that each data centre can have.
    fn caps(
        &mut self,
        observation: &FleetObservation,
        need: &FleetNeed,
        limits: &ScalingLimits,
        now: Duration,
    ) -> IndexMap<String, u32> {
        let mut caps: IndexMap<String, u32> = observation
            .data_centres
            .iter()
            .map(|(name, counts)| (name.clone(), if counts.is_empty() { 0 } else { limits.max }))
            .collect();
        caps.insert(self.data_centre.clone(), limits.max);
        let shares = split_need(need.peak, limits, &caps);
        for (name, counts) in &observation.data_centres {
            let ready = counts.ready();
            if ready >= shares[name] || *name == self.data_centre {
                self.short.swap_remove(name);
                continue;
            }
            let (most, since) = self.short.entry(name.clone()).or_insert((ready, now));
            if ready > *most {
                (*most, *since) = (ready, now);
            }
            if now >= *since + limits.boot_time + BOOT_MARGIN {
                caps[name] = ready;
            }
        }
        caps
    }
}

/// Returns the servers that take requests, over all data centres.
pub(super) fn ready_servers(observation: &FleetObservation) -> u32 {
    let counts = observation.data_centres.values();
    counts.map(ServerCounts::ready).sum()
}
