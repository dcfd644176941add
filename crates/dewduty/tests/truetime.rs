//! Estimates of true time when the clocks of VMs are wrong.

use std::time::Duration;

use dewduty::truetime::ClockEstimate;

/// Unix time in milliseconds at the monotonic time zero.
const EPOCH_MS: i64 = 1_700_000_000_000;

fn ms(time: i64) -> Duration {
    Duration::from_millis(time as u64)
}

/// One observation.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// The own wall clock, ahead of true time by this.
    Own(i64),
    /// The wall clock of a VM.
    Peer(u64, i64),
    /// The median that the holder returned.
    Fleet(i64),
}

struct EstimateCase {
    name: &'static str,
    /// Monotonic time and what was seen, in milliseconds.
    seen: &'static [(i64, Seen)],
    /// When the estimate is looked at.
    at: i64,
    /// Its expected error.
    error: i64,
    is_settled: bool,
}

use Seen::{Fleet, Own, Peer};

const CASES: &[EstimateCase] = &[
    EstimateCase {
        name: "a step between two looks is ignored",
        seen: &[(1_000, Own(0)), (1_100, Own(2_400)), (1_200, Own(2_400))],
        at: 1_300,
        error: 0,
        is_settled: false,
    },
    EstimateCase {
        name: "two steps that cancel out leave nothing behind",
        seen: &[(1_000, Own(5)), (1_100, Own(-2_395)), (1_200, Own(5))],
        at: 5_000,
        error: 5,
        is_settled: true,
    },
    EstimateCase {
        name: "slow drift is followed",
        seen: &[(1_000, Own(0)), (1_100, Own(200)), (1_200, Own(400))],
        at: 1_200,
        error: 400,
        is_settled: false,
    },
    EstimateCase {
        name: "drift is followed after a step",
        seen: &[(1_000, Own(0)), (1_100, Own(2_400)), (1_200, Own(2_500))],
        at: 1_200,
        error: 100,
        is_settled: false,
    },
    EstimateCase {
        name: "the fleet corrects the first look of a process at once",
        seen: &[(1_000, Own(-2_400)), (1_050, Fleet(-3))],
        at: 1_050,
        error: -3,
        is_settled: true,
    },
    EstimateCase {
        name: "the correction lasts after the fleet falls silent",
        seen: &[
            (1_000, Own(-2_400)),
            (1_050, Fleet(0)),
            (1_100, Own(-2_400)),
        ],
        at: 40_000,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "a step that the fleet confirms is followed",
        seen: &[(1_000, Own(-2_400)), (1_100, Own(0)), (1_200, Fleet(0))],
        at: 40_000,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "the fleet counts for 30 s, the own clock after that",
        seen: &[(1_000, Own(0)), (1_100, Fleet(100))],
        at: 31_101,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "one wrong reading of the fleet among several changes nothing",
        seen: &[
            (1_000, Own(0)),
            (1_100, Fleet(0)),
            (1_200, Fleet(0)),
            (1_300, Fleet(-900)),
        ],
        at: 1_300,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "two clocks have no median",
        seen: &[(1_000, Own(0)), (1_100, Peer(1, 2_400))],
        at: 1_100,
        error: 0,
        is_settled: false,
    },
    EstimateCase {
        name: "three clocks outvote the wrong one, here the own one",
        seen: &[
            (1_000, Own(2_400)),
            (1_050, Peer(1, 0)),
            (1_060, Peer(2, -1)),
        ],
        at: 1_100,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "late readings of a VM don't replace a prompt one",
        seen: &[
            (1_000, Own(0)),
            (1_050, Peer(1, 0)),
            (1_060, Peer(2, 0)),
            (1_200, Peer(1, -300)),
            (1_210, Peer(2, -300)),
        ],
        at: 1_210,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "clocks that are heard first don't outvote the holder before all are heard",
        seen: &[
            (1_000, Own(0)),
            (1_010, Fleet(0)),
            (1_020, Peer(1, 2_400)),
            (1_030, Peer(2, 2_400)),
        ],
        at: 1_100,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "datagrams that waited while the VM was frozen don't count",
        seen: &[
            (1_000, Own(0)),
            (1_050, Peer(1, 0)),
            (1_060, Peer(2, 0)),
            // Frozen from here on for 20 s.
            (21_060, Peer(1, -19_000)),
            (21_061, Peer(2, -18_000)),
            (21_062, Fleet(-15_000)),
            (21_063, Own(0)),
        ],
        at: 21_063,
        error: 0,
        is_settled: true,
    },
    EstimateCase {
        name: "readings that are too old are forgotten",
        seen: &[
            (1_000, Own(0)),
            (1_050, Peer(1, 900)),
            (1_060, Peer(2, 900)),
            (1_100, Peer(3, 900)),
            (17_000, Own(0)),
        ],
        at: 17_000,
        // The own clock stays corrected by what the others said.
        error: 900,
        is_settled: true,
    },
];

#[test]
fn estimate_survives_wrong_clocks() {
    for case in CASES {
        let mut clock = ClockEstimate::new();
        for &(at, seen) in case.seen {
            let unix = |error| ms(EPOCH_MS + at + error);
            match seen {
                Own(error) => clock.observe_own(unix(error), ms(at)),
                Peer(vm, error) => clock.observe_peer(vm, unix(error), ms(at)),
                Fleet(error) => clock.observe_fleet(unix(error), ms(at)),
            }
        }
        let unix = clock.unix_at(ms(case.at)).as_millis() as i64;
        assert_eq!(unix - EPOCH_MS - case.at, case.error, "{}", case.name);
        let is_settled = clock.settled_at(ms(case.at)).is_some();
        assert_eq!(is_settled, case.is_settled, "{}", case.name);
    }
}

/// Guards against an estimate that falls with each exchange, as it did when VMs passed
/// on what they had been told in place of clocks.
#[test]
fn latency_does_not_add_up_over_exchanges() {
    const LATENCY_MS: i64 = 40;
    for count in [2, 3, 7] {
        let mut clocks = vec![ClockEstimate::new(); count];
        for round in 0..400 {
            let at = 1_000 + round * 100;
            let arrival = ms(at + LATENCY_MS);
            let returned = ms(at + 2 * LATENCY_MS);
            for clock in &mut clocks {
                clock.observe_own(ms(EPOCH_MS + at), ms(at));
            }
            // Each VM is the holder in turn.
            let holder = (round / 20) as usize % count;
            let others = (0..count).filter(|&vm| vm != holder);
            for vm in others.clone() {
                let unix = clocks[vm].own_at(ms(at));
                clocks[holder].observe_peer(vm as u64, unix, arrival);
            }
            let median = clocks[holder].median(arrival);
            for vm in others {
                clocks[vm].observe_fleet(median, returned);
            }
        }
        for clock in &clocks {
            let error = clock.unix_at(ms(42_000)).as_millis() as i64 - EPOCH_MS - 42_000;
            assert!(
                error.abs() <= 2 * LATENCY_MS,
                "{count} VMs: off by {error} ms"
            );
        }
    }
}

/// Guards against arithmetic that overflows on readings that no clock gives, and
/// against memory that grows with the number of senders.
#[test]
fn absurd_readings_are_survived() {
    let mut clock = ClockEstimate::new();
    let readings = [0, 1, u64::MAX / 2, u64::MAX];
    for (vm, unix) in (0..5_000).zip(readings.into_iter().cycle()) {
        let (unix, now) = (Duration::from_millis(unix), ms(vm));
        clock.observe_peer(vm as u64, unix, now);
        clock.observe_own(unix, now);
        clock.observe_fleet(unix, now);
        clock.unix_at(now);
    }
    clock.unix_at(Duration::MAX);
}
