//! Load plays of the planners: what callers get, and what the servers cost.

mod fleet;

use std::f64::consts::TAU;

use dewduty::scaling::{ScalingLimits, ServerKind};
use fleet::{BOOT_TIME, PlayEvent, PlayFigures, STEP, SimulatedFleet};
use indexmap::IndexMap;

/// Load before anything happens, in requests. It takes 12 servers, or 18 with
/// headroom.
const BASE_LOAD: f64 = 120.0;

/// Longest wait after a jump: the next observation, the boot, and the queue.
const LONGEST_WAIT: f64 = BOOT_TIME.as_secs() as f64 + 3.0;

const SEEDS: [u64; 3] = [1, 2, 3];

const SPOT_PRICE: Option<f64> = Some(0.15);

struct LoadPlay {
    /// The failure that the play guards against.
    guards: &'static str,
    seconds: u32,
    /// Regular servers at the start, by data centre. They serve the first load
    /// of a jump, and the peak of a wave.
    start: [u32; 2],
    interruptible_price: Option<f64>,
    load: fn(f64) -> f64,
    events: &'static [(f64, PlayEvent)],
    /// Least share of requests that find room at once.
    least_at_once: f64,
    /// Longest wait of a request, in seconds.
    longest_wait: f64,
    /// Most server-seconds and cost, as shares of those of the fleet of the start.
    most_servers: f64,
    most_cost: f64,
    /// Most servers that decreases remove.
    most_removed: u32,
}

fn steady(_: f64) -> f64 {
    BASE_LOAD
}

fn burst(second: f64) -> f64 {
    match second {
        30.0..39.0 => 3.0 * BASE_LOAD,
        _ => BASE_LOAD,
    }
}

fn wave(second: f64) -> f64 {
    BASE_LOAD * (1.0 + 0.27 * (TAU * second / 11.0).sin())
}

fn long_wave(second: f64) -> f64 {
    BASE_LOAD * (1.0 + 0.5 * (TAU * second / 30.0).sin())
}

/// A day of 120 s, with its peak at 60 s.
fn day(second: f64) -> f64 {
    BASE_LOAD * (1.2 - (TAU * second / 120.0).cos())
}

const STEADY: LoadPlay = LoadPlay {
    guards: "a fleet that grows or shrinks under a steady load",
    seconds: 120,
    start: [9, 9],
    interruptible_price: None,
    load: steady,
    events: &[],
    least_at_once: 1.0,
    longest_wait: 0.0,
    most_servers: 1.15,
    most_cost: 1.15,
    most_removed: 0,
};

const BURST: LoadPlay = LoadPlay {
    guards: "a burst that is followed late, or for long",
    load: burst,
    least_at_once: 0.8,
    longest_wait: LONGEST_WAIT,
    most_servers: 2.15,
    most_cost: 2.2,
    most_removed: 90,
    ..STEADY
};

const DAY: LoadPlay = LoadPlay {
    guards: "a day that is followed late, or not followed down",
    seconds: 360,
    start: [20, 20],
    load: day,
    most_servers: 0.8,
    most_cost: 0.8,
    most_removed: 130,
    ..STEADY
};

const PLAYS: [LoadPlay; 18] = [
    STEADY,
    LoadPlay {
        guards: "interruptible servers that aren't used",
        interruptible_price: SPOT_PRICE,
        most_servers: 1.25,
        most_cost: 0.7,
        most_removed: 15,
        ..STEADY
    },
    LoadPlay {
        guards: "servers that nobody needs and that stay",
        start: [20, 20],
        most_servers: 0.7,
        most_cost: 0.7,
        most_removed: 25,
        ..STEADY
    },
    BURST,
    LoadPlay {
        guards: "a burst that interruptible servers make expensive",
        interruptible_price: SPOT_PRICE,
        most_cost: 1.2,
        ..BURST
    },
    LoadPlay {
        guards: "a wave that is followed down",
        start: [12, 12],
        load: wave,
        most_servers: 1.05,
        most_cost: 1.05,
        most_removed: 2,
        ..STEADY
    },
    LoadPlay {
        guards: "a wave of three windows that is followed down again and again",
        seconds: 240,
        start: [14, 14],
        load: long_wave,
        most_servers: 1.05,
        most_cost: 1.05,
        most_removed: 30,
        ..STEADY
    },
    DAY,
    LoadPlay {
        guards: "a day that interruptible servers make expensive",
        interruptible_price: SPOT_PRICE,
        most_cost: 0.45,
        ..DAY
    },
    LoadPlay {
        guards: "callers who starve after a reclaim at the peak",
        seconds: 240,
        interruptible_price: SPOT_PRICE,
        events: &[
            (60.0, PlayEvent::Reclaim(0)),
            (
                60.0,
                PlayEvent::Unavailable(0, ServerKind::Interruptible, true),
            ),
            (
                100.0,
                PlayEvent::Unavailable(0, ServerKind::Interruptible, false),
            ),
        ],
        least_at_once: 0.97,
        longest_wait: LONGEST_WAIT,
        most_servers: 0.95,
        most_cost: 0.6,
        ..DAY
    },
    LoadPlay {
        guards: "callers who starve after a reclaim that no regular servers replace",
        seconds: 240,
        interruptible_price: SPOT_PRICE,
        events: &[
            (60.0, PlayEvent::Reclaim(0)),
            (
                60.0,
                PlayEvent::Unavailable(0, ServerKind::Interruptible, true),
            ),
            (60.0, PlayEvent::Unavailable(0, ServerKind::Regular, true)),
        ],
        least_at_once: 0.95,
        longest_wait: LONGEST_WAIT,
        most_servers: 0.95,
        most_cost: 0.75,
        ..DAY
    },
    LoadPlay {
        guards: "callers who starve after reclaims in both data centres at once",
        seconds: 240,
        interruptible_price: SPOT_PRICE,
        events: &[(60.0, PlayEvent::Reclaim(0)), (60.0, PlayEvent::Reclaim(1))],
        least_at_once: 0.9,
        longest_wait: LONGEST_WAIT,
        most_servers: 1.1,
        most_cost: 0.75,
        ..DAY
    },
    LoadPlay {
        guards: "callers who starve when a data centre dies, or is back",
        events: &[
            (30.0, PlayEvent::Dead(0, true)),
            (70.0, PlayEvent::Dead(0, false)),
        ],
        least_at_once: 0.95,
        longest_wait: LONGEST_WAIT,
        most_servers: 1.3,
        most_cost: 1.4,
        most_removed: 25,
        ..STEADY
    },
    LoadPlay {
        guards: "callers who starve when a data centre with interruptible servers dies",
        interruptible_price: SPOT_PRICE,
        events: &[
            (30.0, PlayEvent::Dead(0, true)),
            (70.0, PlayEvent::Dead(0, false)),
        ],
        least_at_once: 0.95,
        longest_wait: LONGEST_WAIT,
        most_servers: 1.3,
        most_cost: 0.95,
        most_removed: 30,
        ..STEADY
    },
    LoadPlay {
        guards: "decreases or increases because the API is down",
        events: &[
            (20.0, PlayEvent::ApiDown(true)),
            (30.0, PlayEvent::ApiDown(false)),
        ],
        ..STEADY
    },
    LoadPlay {
        guards: "a burst while the API is down that is followed late once it is back",
        events: &[
            (28.0, PlayEvent::ApiDown(true)),
            (38.0, PlayEvent::ApiDown(false)),
        ],
        least_at_once: 0.7,
        longest_wait: 8.0 + LONGEST_WAIT,
        most_servers: 2.4,
        most_cost: 2.4,
        most_removed: 120,
        ..BURST
    },
    LoadPlay {
        guards: "a successor that takes back what was ordered for a burst",
        events: &[(32.5, PlayEvent::Failover(0))],
        ..BURST
    },
    LoadPlay {
        guards: "callers who starve because the holder fails as a burst begins",
        events: &[(30.1, PlayEvent::Failover(0))],
        ..BURST
    },
];

fn run(play: &LoadPlay, seed: u64) -> PlayFigures {
    let limits = ScalingLimits {
        min: 1,
        max: 60,
        boot_time: BOOT_TIME,
        interruptible_price: play.interruptible_price,
        prices: IndexMap::from([("cph-a".to_string(), 0.85), ("cph-b".to_string(), 1.2)]),
    };
    let load = (play.load)(0.0);
    let mut fleet = SimulatedFleet::new(&limits, &play.start, load, seed);
    let mut events = play.events.iter().peekable();
    for index in 0..play.seconds * 10 {
        let now = STEP * index;
        let second = now.as_secs_f64();
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= second) {
            fleet.apply(*event, now);
        }
        fleet.step((play.load)(second), now);
    }
    fleet.figures
}

/// The figures of every run are printed with `--nocapture`.
#[test]
fn callers_find_room_at_a_bounded_cost() {
    for play in &PLAYS {
        for seed in SEEDS {
            let figures = run(play, seed);
            let at_once = figures.at_once / figures.requests;
            let wait = figures.longest_wait.as_secs_f64();
            let servers = figures.server_seconds / figures.fixed_seconds;
            let cost = figures.cost / figures.fixed_cost;
            let context = format!(
                "{} (seed {seed}): {at_once:.3} at once, {wait:.1} s longest wait, {servers:.3} \
                 of the server-seconds, {cost:.3} of the cost, {} removed, {} orders",
                play.guards, figures.removed, figures.orders,
            );
            println!("{context}");
            // Amounts are sums of many steps.
            assert!(at_once >= play.least_at_once - 1e-9, "{context}");
            assert!(wait <= play.longest_wait, "{context}");
            assert!(servers <= play.most_servers, "{context}");
            assert!(cost <= play.most_cost, "{context}");
            assert!(figures.removed <= play.most_removed, "{context}");
            assert_eq!(figures.beyond_limits, 0, "{context}");
        }
    }
}
