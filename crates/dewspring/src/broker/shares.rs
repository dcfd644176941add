//! Shares of recently granted work, by tier.

use std::collections::BTreeMap;

use super::queue::ServiceTurn;
use crate::ids::{TierLevel, TokenCount};

/// Number of grants at which all weights are halved.
const MAX_GRANTS: u32 = 64;
/// Upper bound of the share attributed to other tiers.
const MAX_OTHER_SHARE: f64 = 0.95;

/// Recently granted work of each tier.
#[derive(Debug, Default)]
pub(super) struct TierShares {
    tiers: BTreeMap<TierLevel, TierWork>,
    grants: u32,
}

#[derive(Debug, Default)]
struct TierWork {
    by_priority: f64,
    by_floor: f64,
}

impl TierShares {
    /// Counts a grant.
    pub(super) fn record(&mut self, tier: TierLevel, turn: ServiceTurn, work: TokenCount) {
        if self.grants >= MAX_GRANTS {
            self.grants /= 2;
            for tier in self.tiers.values_mut() {
                tier.by_priority /= 2.0;
                tier.by_floor /= 2.0;
            }
        }
        self.grants += 1;
        let tier = self.tiers.entry(tier).or_default();
        match turn {
            ServiceTurn::Priority => tier.by_priority += work as f64,
            ServiceTurn::Floor => tier.by_floor += work as f64,
        }
    }

    /// Returns the share of the pool that higher tiers and the floors of all
    /// other tiers leave to a tier.
    pub(super) fn available_to(&self, tier: TierLevel) -> f64 {
        let mut total = 0.0;
        let mut taken = 0.0;
        for (&other, work) in &self.tiers {
            total += work.by_priority + work.by_floor;
            if other < tier {
                taken += work.by_priority;
            }
            if other != tier {
                taken += work.by_floor;
            }
        }
        match total > 0.0 {
            true => 1.0 - (taken / total).min(MAX_OTHER_SHARE),
            false => 1.0,
        }
    }
}
