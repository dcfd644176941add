//! How the latest grants were shared between tiers.

use std::collections::BTreeMap;

use super::queue::ServiceTurn;
use crate::ids::{TierLevel, TokenCount};

/// Grants after which older ones begin to count less.
const MAX_GRANTS: u32 = 64;
/// Largest share that others are taken to have.
const MAX_SHARE: f64 = 0.95;

/// Work granted lately, by tier.
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

    /// Returns the share of the pool that is left to a tier by the higher ones
    /// and by the floors of the lower ones.
    pub(super) fn left_to(&self, tier: TierLevel) -> f64 {
        let mut all = 0.0;
        let mut taken = 0.0;
        for (&other, work) in &self.tiers {
            all += work.by_priority + work.by_floor;
            if other < tier {
                taken += work.by_priority;
            }
            if other != tier {
                taken += work.by_floor;
            }
        }
        match all > 0.0 {
            true => 1.0 - (taken / all).min(MAX_SHARE),
            false => 1.0,
        }
    }
}
