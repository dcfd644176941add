//! The number of engines that are reserved for gap-sensitive streams.

use dewedge::policy::engine_model::EngineModel;
use dewedge::policy::placement::{PartCache, ReplicaView, ServerLoad};
use dewedge::policy::stream_engines::spread_count;

/// Engines of 64 slots; 40 streams fill one when they are packed.
const ENGINES: u32 = 20;
const SLOTS: u32 = 64;

/// Demand on all engines together, and how many of them it reserves.
struct DemandCase {
    name: &'static str,
    streams: u32,
    prompts: u32,
    usable: u32,
    reserved: usize,
}

/// Returns engines with even shares of the demand.
fn engines<'a>(case: &DemandCase, cache: &'a PartCache) -> Vec<ReplicaView<'a>> {
    let share = |all: u32, index: u32| all / case.usable + u32::from(index < all % case.usable);
    (0..ENGINES)
        .map(|index| {
            let usable = index < case.usable;
            let streams = if usable {
                share(case.streams, index)
            } else {
                0
            };
            let prompts = if usable {
                share(case.prompts, index)
            } else {
                0
            };
            ReplicaView {
                hash: u64::from(index),
                usable,
                same_data_centre: true,
                warming_up: false,
                slots: SLOTS,
                kv_cache_tokens: 300_000,
                load: ServerLoad {
                    requests: streams + prompts,
                    gap_sensitive_streams: streams,
                    ..ServerLoad::default()
                },
                slowness: 1.0,
                is_slow: false,
                failure_rate: 0.0,
                cached_parts: cache,
            }
        })
        .collect()
}

/// Guards against streams that stay packed, and delay each other, while other engines are
/// idle, and against streams that keep engines from a burst of prompts.
#[test]
fn reserved_engines_follow_demand_that_shifts_between_prompts_and_streams() {
    let base = DemandCase {
        name: "no demand",
        streams: 0,
        prompts: 0,
        usable: ENGINES,
        reserved: 0,
    };
    let cases = [
        DemandCase {
            name: "streams without prompts are spread",
            streams: 160,
            reserved: 8,
            ..base
        },
        DemandCase {
            name: "prompts that need 12 lightly loaded engines leave 8",
            streams: 160,
            prompts: 48,
            reserved: 8,
            ..base
        },
        DemandCase {
            name: "prompts that need 15 of them leave 5",
            streams: 160,
            prompts: 60,
            reserved: 5,
            ..base
        },
        DemandCase {
            name: "a burst of prompts packs the streams",
            streams: 160,
            prompts: 200,
            reserved: 4,
            ..base
        },
        DemandCase {
            name: "at most half of the engines are reserved",
            streams: 320,
            reserved: 10,
            ..base
        },
        DemandCase {
            name: "engines that can't be used don't count",
            streams: 120,
            usable: 8,
            reserved: 4,
            ..base
        },
        base,
    ];
    let (cache, model) = (PartCache::default(), EngineModel::default());
    for case in cases {
        let views = engines(&case, &cache);
        assert_eq!(spread_count(&views, &model), case.reserved, "{}", case.name);
    }
}
