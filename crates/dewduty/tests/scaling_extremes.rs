//! Orders of the planner at the limits of its numbers.

use std::time::Duration;

use dewduty::scaling::{
    FleetObservation, ScalingLimits, ScalingPlanner, ServerCapacity, ServerCounts, ServerKind,
};
use indexmap::IndexMap;

/// Most servers that a planner orders, whatever the limits say.
const LARGEST: u32 = 10_000;

struct Case {
    name: &'static str,
    demand: f64,
    /// Requests that a server takes.
    capacity: f64,
    min: u32,
    max: u32,
    /// The order of the planner's data centre.
    order: Option<u32>,
}

const fn case(
    name: &'static str,
    (demand, capacity): (f64, f64),
    (min, max): (u32, u32),
    order: Option<u32>,
) -> Case {
    Case {
        name,
        demand,
        capacity,
        min,
        max,
        order,
    }
}

const CASES: [Case; 6] = [
    case("most valid demand", (9e8, 10.0), (1, 8), Some(8)),
    case("a need without end", (9e8, 1e-300), (1, 8), Some(8)),
    case("no valid number", (f64::INFINITY, 10.0), (1, 8), None),
    case("not a number", (f64::NAN, 10.0), (1, 8), None),
    case(
        "the largest minimum in all data centres",
        (9e8, 1e-300),
        (u32::MAX, u32::MAX),
        Some(LARGEST),
    ),
    case(
        "minimums whose sum overflows",
        (10.0, 10.0),
        (u32::MAX / 2 + 1, u32::MAX),
        Some(LARGEST),
    ),
];

/// Guards against sums that overflow: the holder of the orders would end, or order
/// almost no servers at the largest demand.
#[test]
fn the_largest_numbers_overflow_nothing() {
    for case in CASES {
        let limits = ScalingLimits {
            min: case.min,
            max: case.max,
            boot_time: Duration::from_secs(1),
            interruptible_price: None,
            prices: IndexMap::from([("dc-1".to_string(), 1.0), ("dc-2".to_string(), 1.0)]),
        };
        let ready = ServerCounts {
            ready_regular: 1,
            ..ServerCounts::default()
        };
        let observation = FleetObservation {
            data_centres: limits
                .prices
                .keys()
                .map(|name| (name.clone(), ready))
                .collect(),
            in_flight: case.demand,
            queued: case.demand,
            refused: case.demand,
            backlog_ms: case.demand,
            capacity: ServerCapacity {
                requests: case.capacity,
                backlog_ms: case.capacity,
                slots: 16,
            },
            age: Duration::ZERO,
        };
        let mut planner = ScalingPlanner::new("dc-1".to_string());
        let mut last = None;
        for second in 1..20 {
            let now = Duration::from_secs(second);
            planner.observe(&observation, &limits, now);
            if let Some(order) = planner.next_order(now) {
                assert_eq!(order.kind, ServerKind::Regular, "{}", case.name);
                last = Some(order.count);
            }
        }
        assert_eq!(last, case.order, "{}", case.name);
    }
}
