//! Splits the need of a service over its data centres.
//!
//! The split depends only on the need, the limits and the data centres, so that
//! the planners of all data centres come to the same one.

use indexmap::IndexMap;

use super::ScalingLimits;

/// Largest need that is split.
const MAX_NEED: f64 = 100_000.0;

/// Splits a need over data centres, each with the most servers that it can
/// have. The cheapest ones get the most, but no data centre gets more than half
/// of the need as long as others can take it. Every data centre gets the
/// minimum.
pub(super) fn split_need(
    need: f64,
    limits: &ScalingLimits,
    caps: &IndexMap<String, u32>,
) -> IndexMap<String, u32> {
    let total = whole_servers(need);
    let usable = caps.values().filter(|cap| **cap > 0).count();
    let half = if usable > 1 { total.div_ceil(2) } else { total };
    let mut shares: IndexMap<String, u32> = caps
        .iter()
        .map(|(name, cap)| (name.clone(), limits.min.min(*cap)))
        .collect();
    let mut left = total.saturating_sub(shares.values().sum());
    for bound in [half, total] {
        for group in price_groups(limits, caps) {
            left = fill_group(&mut shares, &group, caps, bound, left);
        }
    }
    shares
}

/// Returns the least number of servers for a need.
pub(super) fn whole_servers(need: f64) -> u32 {
    // A need that exceeds a whole number by rounding takes no further server.
    (need - 1e-6).ceil().clamp(0.0, MAX_NEED) as u32
}

/// Returns the data centres in groups of equal price, cheapest first. An unknown
/// price counts as the highest.
fn price_groups(limits: &ScalingLimits, caps: &IndexMap<String, u32>) -> Vec<Vec<String>> {
    let price = |name: &String| limits.prices.get(name).copied().unwrap_or(f64::MAX);
    let mut names: Vec<String> = caps.keys().cloned().collect();
    names.sort_by(|one, two| price(one).total_cmp(&price(two)).then(one.cmp(two)));
    names
        .chunk_by(|one, two| price(one).total_cmp(&price(two)).is_eq())
        .map(<[String]>::to_vec)
        .collect()
}

/// Adds servers evenly to the data centres of a group. Returns what is left.
fn fill_group(
    shares: &mut IndexMap<String, u32>,
    group: &[String],
    caps: &IndexMap<String, u32>,
    bound: u32,
    mut left: u32,
) -> u32 {
    while left > 0 {
        let smallest = group
            .iter()
            .filter(|name| shares[*name] < caps[*name].min(bound))
            .min_by_key(|name| shares[*name]);
        let Some(name) = smallest else {
            break;
        };
        shares[name] += 1;
        left -= 1;
    }
    left
}
