//! Decides how many engines are reserved for gap-sensitive streams, and which.
//!
//! Prompts that an engine reads delay the events of the streams beside them, so
//! gap-sensitive streams share engines that other prompts avoid. Packed, they need the
//! fewest engines, and long prompts get the rest. But the prompts of the streams
//! themselves delay each other's events, the more streams there are on an engine. Where
//! servers report their slowness, streams are therefore spread over engines that the
//! other prompts leave free. [`placement`](super::placement) packs them always.
//!
//! This handles demand that shifts between long prompts and long answers: a burst of
//! prompts packs the streams, and its end spreads them.
//!
//! The main invariant: all VMs with the same view reserve the same engines.

use super::engine_model::EngineModel;
use super::placement::ReplicaView;

/// Gap-sensitive streams on each reserved engine when they are packed, as a share of
/// its slots; the rest is left for bursts.
const RESERVED_SLOT_SHARE: f64 = 0.625;

/// Share of a reserved engine's time that the prefill of gap-sensitive streams
/// may take, so that their prompts seldom wait for each other.
const RESERVED_PREFILL_SHARE: f64 = 0.4;

/// Largest share of the engines that may be reserved for gap-sensitive streams.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Factor by which streams are spread over more engines than they need at least. With
/// half of the streams on an engine, two of their prompts meet in the time of one event
/// a quarter as often.
const SPREAD_FACTOR: usize = 2;

/// Requests with prompts on an engine up to which it counts as lightly loaded, a third
/// of those that an engine may have. Streams are spread only over engines that the other
/// prompts don't need for that.
const LIGHT_PROMPTS: u32 = 4;

/// Returns how many gap-sensitive streams a reserved engine carries at most before
/// another one is reserved.
pub(super) fn packed_streams(slots: u32, model: &EngineModel) -> f64 {
    let by_slots = f64::from(slots) * RESERVED_SLOT_SHARE;
    let by_prefill = RESERVED_PREFILL_SHARE / model.stream_prefill_share();
    by_slots.min(by_prefill)
}

/// Returns the number of engines that are reserved if streams share as few as they need.
pub(super) fn packed_count(replicas: &[ReplicaView<'_>], model: &EngineModel) -> usize {
    let streams: u32 = replicas
        .iter()
        .map(|replica| replica.load.gap_sensitive_streams)
        .sum();
    let slots = replicas.iter().map(|replica| replica.slots).max();
    let streams_per_engine = (packed_streams(slots.unwrap_or(0), model) as u32).max(1);
    let needed = streams.div_ceil(streams_per_engine) as usize;
    needed.min(max_reserved(replicas))
}

/// Returns the number of engines that are reserved if streams are spread over those that
/// the other prompts leave free.
///
/// # Examples
///
/// ```
/// use dewedge::policy::engine_model::EngineModel;
/// use dewedge::policy::stream_engines::spread_count;
///
/// assert_eq!(spread_count(&[], &EngineModel::default()), 0);
/// ```
pub fn spread_count(replicas: &[ReplicaView<'_>], model: &EngineModel) -> usize {
    let packed = packed_count(replicas, model);
    let usable = replicas.iter().filter(|replica| replica.usable);
    let prompts: u32 = usable
        .clone()
        .map(|replica| {
            let load = &replica.load;
            load.requests.saturating_sub(load.gap_sensitive_streams)
        })
        .sum();
    let needed = prompts.div_ceil(LIGHT_PROMPTS) as usize;
    let free = usable.count().saturating_sub(needed);
    let spread = packed * SPREAD_FACTOR;
    packed.max(spread.min(free).min(max_reserved(replicas)))
}

fn max_reserved(replicas: &[ReplicaView<'_>]) -> usize {
    let usable = replicas.iter().filter(|replica| replica.usable).count();
    (usable as f64 * MAX_RESERVED_SHARE) as usize
}

/// Returns which engines are reserved: the first `count` usable ones in the order of a
/// key that is the same on all VMs.
pub(super) fn first_engines<K: Ord>(
    replicas: &[ReplicaView<'_>],
    count: usize,
    order_key: impl Fn(&ReplicaView<'_>) -> K,
) -> Vec<bool> {
    let mut usable: Vec<(K, usize)> = replicas
        .iter()
        .enumerate()
        .filter(|(_, replica)| replica.usable)
        .map(|(index, replica)| (order_key(replica), index))
        .collect();
    usable.sort_unstable();
    let mut reserved = vec![false; replicas.len()];
    for (_, index) in usable.into_iter().take(count) {
        reserved[index] = true;
    }
    reserved
}
