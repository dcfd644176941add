//! Orders of the planner for scripts of observations.

use std::f64::consts::TAU;
use std::time::Duration;

use dewduty::scaling::{
    DecisionReason, FleetObservation, OrderResult, ScalingLimits, ScalingPlanner, ServerCapacity,
    ServerCounts, ServerKind, ServerOrder,
};
use indexmap::IndexMap;
use quickcheck::{QuickCheck, TestResult};

use ServerKind::{Interruptible, Regular};

/// Requests that a server takes.
const SERVER_REQUESTS: f64 = 10.0;

/// Unread prompts that a server takes, in ms.
const SERVER_BACKLOG_MS: f64 = 500.0;

const BOOT_SECONDS: u64 = 4;

/// Load at which a service needs 18 servers, with headroom.
const LOAD: f64 = 120.0;

/// The planner's data centre and another, more expensive one.
const OWN: &str = "cph-a";
const OTHER: &str = "cph-b";

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn limits(max: u32, interruptible_price: Option<f64>) -> ScalingLimits {
    ScalingLimits {
        min: 1,
        max,
        boot_time: seconds(BOOT_SECONDS),
        interruptible_price,
        prices: IndexMap::from([(OWN.to_string(), 1.0), (OTHER.to_string(), 2.0)]),
    }
}

fn servers(ready_regular: u32, ready_interruptible: u32) -> ServerCounts {
    ServerCounts {
        ready_regular,
        ready_interruptible,
        ..ServerCounts::default()
    }
}

fn observation(load: f64, counts: &[(&str, ServerCounts)]) -> FleetObservation {
    FleetObservation {
        data_centres: counts
            .iter()
            .map(|(name, counts)| (name.to_string(), *counts))
            .collect(),
        in_flight: load,
        capacity: ServerCapacity {
            requests: SERVER_REQUESTS,
            backlog_ms: SERVER_BACKLOG_MS,
            slots: 16,
        },
        ..FleetObservation::default()
    }
}

/// What changes at the start of a second.
#[derive(Clone, Copy, Debug)]
enum Change {
    InFlight(f64),
    Queued(f64),
    Refused(f64),
    Backlog(f64),
    Age(u64),
    Max(u32),
    /// Regular and interruptible servers of the own data centre.
    Own(u32, u32),
    /// Interruptible servers of the own data centre that leave.
    Leaving(u32),
    /// Regular servers of the other data centre.
    Other(u32),
    /// The own data centre isn't among the observed ones, or is again.
    OwnIsMissing(bool),
    /// There are no observations, or there are again.
    IsAbsent(bool),
    /// Results of orders for a kind from now on.
    Result(ServerKind, OrderResult),
}

use Change::{
    Age, Backlog, InFlight, IsAbsent, Leaving, Max, Other, Own, OwnIsMissing, Queued, Refused,
    Result as Results,
};

struct ScriptCase {
    /// The failure that the case guards against.
    guards: &'static str,
    max: u32,
    interruptible_price: Option<f64>,
    /// Whether accepted orders are carried out after the boot time.
    is_carried_out: bool,
    changes: &'static [(u64, Change)],
    end: u64,
    /// All orders.
    orders: &'static [(u64, ServerKind, u32)],
}

/// Nine regular servers in both data centres, at the load that needs them.
const QUIET: ScriptCase = ScriptCase {
    guards: "orders without a change of the need",
    max: 40,
    interruptible_price: None,
    is_carried_out: true,
    changes: &[],
    end: 60,
    orders: &[],
};

/// The same, but six of the own servers may be interruptible: the fleet has 18
/// servers, of which 12 run what runs now.
const MIXED: ScriptCase = ScriptCase {
    interruptible_price: Some(0.15),
    ..QUIET
};

const SCRIPTS: [ScriptCase; 38] = [
    QUIET,
    ScriptCase {
        guards: "a jump that is followed in small steps",
        changes: &[(20, InFlight(240.0)), (24, Other(18))],
        orders: &[(20, Regular, 18)],
        ..QUIET
    },
    ScriptCase {
        guards: "requests in queues that don't count",
        changes: &[(20, Queued(160.0)), (24, Other(14))],
        // The queue shows the jump, so that there is no headroom beyond it.
        orders: &[(20, Regular, 14)],
        ..QUIET
    },
    ScriptCase {
        guards: "refused requests that don't count",
        changes: &[(20, Refused(100.0)), (21, Refused(0.0)), (24, Other(11))],
        orders: &[(20, Regular, 11)],
        end: 30,
        ..QUIET
    },
    ScriptCase {
        guards: "servers for a backlog that is read before they are up",
        changes: &[(20, Backlog(10_000.0)), (21, Backlog(0.0))],
        ..QUIET
    },
    ScriptCase {
        guards: "a lasting backlog of prompts that doesn't count",
        changes: &[(20, Backlog(10_000.0))],
        orders: &[(21, Regular, 15)],
        end: 25,
        ..QUIET
    },
    ScriptCase {
        guards: "orders beyond the maximum",
        changes: &[(20, InFlight(2_000.0))],
        orders: &[(20, Regular, 40)],
        end: 24,
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease before the need was low for 10 s, or in large steps",
        changes: &[(0, Own(20, 0)), (0, Other(20))],
        orders: &[
            (10, Regular, 18),
            (13, Regular, 17),
            (16, Regular, 16),
            (19, Regular, 15),
            (22, Regular, 14),
            (25, Regular, 13),
            (28, Regular, 12),
            (31, Regular, 11),
            (34, Regular, 10),
        ],
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease while other data centres don't have their share",
        changes: &[(0, Own(12, 0)), (0, Other(5)), (30, Other(9))],
        orders: &[
            // The other data centre doesn't get its share, so 13 are needed here.
            (7, Regular, 13),
            // The need has been low all the time, but only now others serve.
            (30, Regular, 12),
            (33, Regular, 11),
            (36, Regular, 10),
        ],
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease on old numbers",
        changes: &[(0, Own(20, 0)), (0, Other(20)), (0, Age(4))],
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease on numbers that are no numbers",
        changes: &[(0, Own(20, 0)), (0, Other(20)), (0, InFlight(f64::NAN))],
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease right after old numbers, which may have been too low",
        changes: &[(0, Own(20, 0)), (0, Other(20)), (0, Age(4)), (20, Age(0))],
        orders: &[(30, Regular, 18)],
        end: 32,
        ..QUIET
    },
    ScriptCase {
        guards: "no increase on old numbers",
        changes: &[(15, Age(4)), (20, InFlight(240.0))],
        orders: &[(20, Regular, 18)],
        end: 24,
        ..QUIET
    },
    ScriptCase {
        guards: "a loss that is concluded from servers that old inputs don't hold",
        changes: &[(0, Own(3, 6)), (15, Age(4)), (15, OwnIsMissing(true))],
        ..MIXED
    },
    ScriptCase {
        guards: "a decrease that relies on what was seen before a gap",
        changes: &[
            (0, Own(20, 0)),
            (0, Other(20)),
            (8, IsAbsent(true)),
            (12, IsAbsent(false)),
        ],
        orders: &[(22, Regular, 18)],
        end: 24,
        ..QUIET
    },
    ScriptCase {
        guards: "an order of a new planner for a slightly higher need",
        changes: &[(0, InFlight(130.0)), (6, Other(10))],
        orders: &[(4, Regular, 10)],
        ..QUIET
    },
    ScriptCase {
        guards: "a new planner that waits although far more servers are needed",
        changes: &[(0, InFlight(240.0)), (3, Other(18))],
        orders: &[(1, Regular, 18)],
        ..QUIET
    },
    ScriptCase {
        guards: "a single first observation that a new planner believes",
        changes: &[(0, InFlight(240.0)), (1, InFlight(LOAD)), (1, Age(4))],
        end: 3,
        ..QUIET
    },
    ScriptCase {
        guards: "removing servers at once that an earlier holder ordered",
        changes: &[(6, Own(15, 0))],
        orders: &[(10, Regular, 14), (13, Regular, 13)],
        end: 15,
        ..QUIET
    },
    ScriptCase {
        guards: "a throttled order that is lost, or repeated at once",
        changes: &[
            (20, InFlight(240.0)),
            (20, Results(Regular, OrderResult::Throttled)),
            (22, Results(Regular, OrderResult::Accepted)),
            (24, Other(18)),
        ],
        orders: &[(20, Regular, 18), (21, Regular, 18), (22, Regular, 18)],
        ..QUIET
    },
    ScriptCase {
        guards: "an unanswered order that is lost, or repeated at once",
        changes: &[
            (20, InFlight(240.0)),
            (20, Results(Regular, OrderResult::NoAnswer)),
            (22, Results(Regular, OrderResult::Accepted)),
            (24, Other(18)),
        ],
        orders: &[(20, Regular, 18), (21, Regular, 18), (22, Regular, 18)],
        ..QUIET
    },
    ScriptCase {
        guards: "an unanswered order that stays in force when the need is back",
        changes: &[
            (0, Own(10, 0)),
            (0, Other(10)),
            (0, InFlight(100.0)),
            (0, Results(Regular, OrderResult::NoAnswer)),
            (11, InFlight(130.0)),
            (11, Results(Regular, OrderResult::Accepted)),
        ],
        orders: &[(10, Regular, 9), (11, Regular, 10)],
        end: 20,
        ..QUIET
    },
    ScriptCase {
        guards: "many calls for servers that the platform doesn't have",
        changes: &[
            (20, InFlight(240.0)),
            (20, Results(Regular, OrderResult::Unavailable)),
            (24, Other(18)),
        ],
        orders: &[(20, Regular, 18), (22, Regular, 18), (24, Regular, 18)],
        end: 25,
        ..QUIET
    },
    ScriptCase {
        guards: "many calls that the platform rejects",
        changes: &[
            (20, InFlight(240.0)),
            (20, Results(Regular, OrderResult::Rejected(400))),
            (24, Other(18)),
        ],
        orders: &[(20, Regular, 18), (30, Regular, 18)],
        end: 35,
        ..QUIET
    },
    ScriptCase {
        guards: "an order that is repeated although servers boot, or never repeated",
        changes: &[(20, InFlight(240.0)), (24, Other(18))],
        is_carried_out: false,
        orders: &[(20, Regular, 18), (30, Regular, 18), (40, Regular, 18)],
        end: 45,
        ..QUIET
    },
    ScriptCase {
        guards: "a dead data centre whose share nobody takes",
        changes: &[(20, Other(0))],
        orders: &[(20, Regular, 18)],
        end: 40,
        ..QUIET
    },
    ScriptCase {
        guards: "orders for more than the minimum in a dead data centre, or none",
        changes: &[(20, Own(0, 0))],
        is_carried_out: false,
        orders: &[(23, Regular, 1), (33, Regular, 1)],
        end: 40,
        ..QUIET
    },
    ScriptCase {
        guards: "a decrease when all servers vanish from view",
        changes: &[(20, Own(0, 0)), (20, Other(0))],
        is_carried_out: false,
        orders: &[(20, Regular, 18), (30, Regular, 18)],
        end: 35,
        ..QUIET
    },
    ScriptCase {
        guards: "a maximum that is lowered without effect",
        changes: &[(20, Max(5))],
        orders: &[(20, Regular, 5)],
        end: 23,
        ..QUIET
    },
    ScriptCase {
        guards: "regular servers that go before interruptible ones serve",
        orders: &[
            (24, Interruptible, 6),
            (28, Regular, 8),
            (31, Regular, 7),
            (34, Regular, 6),
            (37, Regular, 5),
            (40, Regular, 4),
            (43, Regular, 3),
        ],
        ..MIXED
    },
    ScriptCase {
        guards: "servers that are replaced during a burst",
        changes: &[(20, InFlight(240.0)), (24, Other(18)), (29, InFlight(LOAD))],
        // Nine of the new ones are interruptible, as the burst may last.
        orders: &[(20, Interruptible, 9)],
        end: 38,
        ..MIXED
    },
    ScriptCase {
        guards: "interruptible servers that never come and are counted",
        is_carried_out: false,
        // The order is given up after the boot time and 3 s.
        orders: &[(24, Interruptible, 6), (31, Interruptible, 0)],
        end: 40,
        ..MIXED
    },
    ScriptCase {
        guards: "a reclaim that is made up for late, or with interruptible servers",
        changes: &[
            (0, Own(3, 6)),
            (20, Own(3, 0)),
            (20, Leaving(6)),
            (23, Leaving(0)),
        ],
        orders: &[
            (20, Regular, 9),
            (23, Interruptible, 0),
            (40, Interruptible, 6),
        ],
        end: 43,
        ..MIXED
    },
    ScriptCase {
        guards: "interruptible servers for a jump soon after a reclaim",
        changes: &[
            (0, Own(3, 6)),
            (20, Own(3, 0)),
            (30, InFlight(240.0)),
            (34, Other(18)),
        ],
        orders: &[(20, Regular, 9), (20, Interruptible, 0), (30, Regular, 18)],
        end: 40,
        ..MIXED
    },
    ScriptCase {
        guards: "orders beyond the maximum after a reclaim",
        max: 9,
        changes: &[(0, Own(3, 6)), (20, Own(3, 0)), (20, Leaving(6))],
        orders: &[(20, Interruptible, 0), (20, Regular, 9)],
        ..MIXED
    },
    ScriptCase {
        guards: "unavailable interruptible servers that nothing replaces",
        changes: &[
            (0, Own(3, 6)),
            (20, InFlight(240.0)),
            (20, Results(Interruptible, OrderResult::Unavailable)),
            (24, Other(18)),
        ],
        orders: &[
            (20, Regular, 6),
            (20, Interruptible, 12),
            (20, Regular, 12),
            (41, Interruptible, 12),
        ],
        end: 45,
        ..MIXED
    },
    ScriptCase {
        guards: "interruptible servers whose number follows from old numbers",
        changes: &[(2, Age(4)), (30, Age(0))],
        orders: &[(50, Interruptible, 6)],
        end: 53,
        ..MIXED
    },
    ScriptCase {
        guards: "a reclaim that a new planner ignores",
        changes: &[(0, Own(3, 6)), (2, Own(3, 0)), (2, Leaving(6))],
        orders: &[(2, Regular, 9)],
        end: 10,
        ..MIXED
    },
];

/// State of a running script.
struct ScriptRun {
    planner: ScalingPlanner,
    limits: ScalingLimits,
    observation: FleetObservation,
    own: ServerCounts,
    own_is_missing: bool,
    is_absent: bool,
    results: [OrderResult; 2],
    /// Orders that are carried out at a time.
    booting: Vec<(u64, ServerOrder)>,
    orders: Vec<(u64, ServerKind, u32)>,
}

impl ScriptRun {
    fn new(case: &ScriptCase) -> Self {
        Self {
            planner: ScalingPlanner::new(OWN.to_string()),
            limits: limits(case.max, case.interruptible_price),
            observation: observation(LOAD, &[(OTHER, servers(9, 0))]),
            own: servers(9, 0),
            own_is_missing: false,
            is_absent: false,
            results: [OrderResult::Accepted; 2],
            booting: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            InFlight(requests) => self.observation.in_flight = requests,
            Queued(requests) => self.observation.queued = requests,
            Refused(requests) => self.observation.refused = requests,
            Backlog(ms) => self.observation.backlog_ms = ms,
            Age(age) => self.observation.age = seconds(age),
            Max(max) => self.limits.max = max,
            Own(regular, interruptible) => self.own = servers(regular, interruptible),
            Leaving(count) => self.own.leaving_interruptible = count,
            Other(regular) => {
                let name = OTHER.to_string();
                self.observation
                    .data_centres
                    .insert(name, servers(regular, 0));
            }
            OwnIsMissing(is_missing) => self.own_is_missing = is_missing,
            IsAbsent(is_absent) => self.is_absent = is_absent,
            Results(kind, result) => self.results[kind as usize] = result,
        }
    }

    fn run_second(&mut self, second: u64, is_carried_out: bool) {
        for (_, order) in self.booting.extract_if(.., |(at, _)| *at <= second) {
            match order.kind {
                Interruptible => self.own.ready_interruptible = order.count,
                Regular => self.own.ready_regular = order.count,
            }
        }
        if self.is_absent {
            return;
        }
        let now = seconds(second);
        let name = OWN.to_string();
        if self.own_is_missing {
            self.observation.data_centres.swap_remove(&name);
        } else {
            self.observation.data_centres.insert(name, self.own);
        }
        self.planner.observe(&self.observation, &self.limits, now);
        while let Some(order) = self.planner.next_order(now) {
            self.orders.push((second, order.kind, order.count));
            let result = self.results[order.kind as usize];
            if result == OrderResult::Accepted && is_carried_out {
                let ready = match order.kind {
                    Interruptible => self.own.ready_interruptible,
                    Regular => self.own.ready_regular,
                };
                let wait = if order.count > ready { BOOT_SECONDS } else { 1 };
                self.booting.push((second + wait, order));
            }
            self.planner.record_result(&order, result, now);
        }
    }
}

#[test]
fn scripts_lead_to_the_expected_orders() {
    for case in &SCRIPTS {
        let mut run = ScriptRun::new(case);
        for second in 0..case.end {
            for (_, change) in case.changes.iter().filter(|(at, _)| *at == second) {
                run.apply(*change);
            }
            run.run_second(second, case.is_carried_out);
        }
        assert_eq!(run.orders, case.orders, "{}", case.guards);
    }
}

struct ShareCase {
    what: &'static str,
    load: f64,
    max: u32,
    /// Price and regular servers of each data centre.
    data_centres: &'static [(f64, u32)],
    /// Share that the planner of each data centre computes.
    shares: &'static [u32],
}

const SHARES: [ShareCase; 7] = [
    ShareCase {
        what: "cheap data centres take at most half each",
        load: 400.0,
        max: 60,
        data_centres: &[(1.0, 20), (2.0, 20), (3.0, 20)],
        shares: &[30, 29, 1],
    },
    ShareCase {
        what: "data centres of the same price have the same share",
        load: 400.0,
        max: 60,
        data_centres: &[(1.0, 20), (1.0, 20), (1.0, 20)],
        shares: &[20, 20, 20],
    },
    ShareCase {
        what: "what exceeds a maximum goes to others",
        load: 400.0,
        max: 25,
        data_centres: &[(1.0, 20), (2.0, 20), (3.0, 20)],
        shares: &[25, 25, 10],
    },
    ShareCase {
        what: "a need beyond all maxima takes all servers",
        load: 400.0,
        max: 15,
        data_centres: &[(1.0, 20), (2.0, 20), (3.0, 20)],
        shares: &[15, 15, 15],
    },
    ShareCase {
        what: "a single data centre takes all",
        load: 400.0,
        max: 80,
        data_centres: &[(1.0, 20)],
        shares: &[60],
    },
    ShareCase {
        what: "a data centre without servers counts as lost for the others",
        load: 400.0,
        max: 80,
        data_centres: &[(1.0, 20), (2.0, 0), (3.0, 20)],
        shares: &[30, 29, 30],
    },
    ShareCase {
        what: "without load every data centre has the minimum",
        load: 0.0,
        max: 80,
        data_centres: &[(1.0, 20), (2.0, 20), (3.0, 20)],
        shares: &[1, 1, 1],
    },
];

/// Guards against planners whose shares don't add up to the need.
#[test]
fn planners_divide_the_need_alike() {
    for case in &SHARES {
        let names: Vec<String> = (0..case.data_centres.len())
            .map(|index| format!("cph-{index}"))
            .collect();
        let prices = names.iter().cloned().zip(case.data_centres);
        let limits = ScalingLimits {
            prices: prices.map(|(name, (price, _))| (name, *price)).collect(),
            ..limits(case.max, None)
        };
        let counts: Vec<(&str, ServerCounts)> = names
            .iter()
            .zip(case.data_centres)
            .map(|(name, (_, regular))| (name.as_str(), servers(*regular, 0)))
            .collect();
        let observation = observation(case.load, &counts);
        for (name, share) in names.iter().zip(case.shares) {
            let mut planner = ScalingPlanner::new(name.clone());
            planner.observe(&observation, &limits, Duration::ZERO);
            let decision = planner.last_decision();
            assert_eq!(decision.share, *share, "{}: {name}", case.what);
        }
    }
}

struct WaveCase {
    what: &'static str,
    period: f64,
    swing: f64,
    /// Time by which the wave is known, and the servers of the start that
    /// nothing needs are gone.
    settled: u64,
    /// Whether servers are removed after that time.
    decreases: bool,
}

const WAVES: [WaveCase; 6] = [
    WaveCase {
        what: "a wave of about the default window",
        period: 11.0,
        swing: 0.27,
        settled: 20,
        decreases: false,
    },
    WaveCase {
        what: "a wave of twice the default window",
        period: 20.0,
        swing: 0.4,
        settled: 60,
        decreases: false,
    },
    WaveCase {
        what: "a wave of 32 s",
        period: 32.0,
        swing: 0.5,
        settled: 90,
        decreases: false,
    },
    WaveCase {
        what: "a wave of 58 s",
        period: 58.0,
        swing: 0.5,
        settled: 150,
        decreases: false,
    },
    WaveCase {
        what: "a wave that is longer than those that are followed",
        period: 200.0,
        swing: 0.5,
        settled: 0,
        decreases: true,
    },
    WaveCase {
        what: "a wave within the headroom",
        period: 32.0,
        swing: 0.03,
        settled: 40,
        decreases: false,
    },
];

/// Guards against removing servers that the next wave needs again, and against
/// windows that keep servers for slow changes.
#[test]
fn waves_are_not_followed_down() {
    for case in &WAVES {
        let mut run = ScriptRun::new(&QUIET);
        run.own = servers(14, 0);
        run.apply(Other(14));
        for second in 0..400 {
            let load = LOAD * (1.0 + case.swing * (TAU * second as f64 / case.period).sin());
            run.apply(InFlight(load));
            run.run_second(second, true);
        }
        let mut count = 14;
        let mut decreases = Vec::new();
        for (second, _, ordered) in run.orders {
            if ordered < count && second >= case.settled {
                decreases.push((second, ordered));
            }
            count = ordered;
        }
        let is_expected = decreases.is_empty() != case.decreases;
        assert!(is_expected, "{}: {decreases:?}", case.what);
    }
}

struct ReasonCase {
    changes: &'static [(u64, Change)],
    end: u64,
    reason: DecisionReason,
}

const REASONS: [ReasonCase; 7] = [
    ReasonCase {
        changes: &[],
        end: 3,
        reason: DecisionReason::Settling,
    },
    ReasonCase {
        changes: &[],
        end: 20,
        reason: DecisionReason::Steady,
    },
    ReasonCase {
        changes: &[(20, InFlight(240.0))],
        end: 21,
        reason: DecisionReason::Increase,
    },
    ReasonCase {
        changes: &[(0, Own(20, 0)), (0, Other(20))],
        end: 11,
        reason: DecisionReason::Decrease,
    },
    ReasonCase {
        changes: &[(0, Own(3, 6)), (20, Own(3, 0))],
        end: 21,
        reason: DecisionReason::InterruptibleLost,
    },
    ReasonCase {
        changes: &[(20, Own(0, 0))],
        end: 24,
        reason: DecisionReason::DataCentreLost,
    },
    ReasonCase {
        changes: &[(20, Age(4))],
        end: 21,
        reason: DecisionReason::StaleInput,
    },
];

/// Guards against log lines that name another reason than the one that decided.
#[test]
fn decisions_name_their_reason() {
    for case in &REASONS {
        let mut run = ScriptRun::new(&MIXED);
        for second in 0..case.end {
            for (_, change) in case.changes.iter().filter(|(at, _)| *at == second) {
                run.apply(*change);
            }
            run.run_second(second, true);
        }
        let decision = run.planner.last_decision();
        assert_eq!(decision.reason, case.reason, "{decision}");
    }
}

/// Results of orders, drawn by number.
const RESULTS: [OrderResult; 5] = [
    OrderResult::Accepted,
    OrderResult::NoAnswer,
    OrderResult::Rejected(400),
    OrderResult::Throttled,
    OrderResult::Unavailable,
];

/// One second of a random history: load, age, own servers of both kinds, servers
/// of the other data centre, result of orders.
type RandomSecond = (u16, u8, (u8, u8), u8, u8);

/// What the platform may hold of both kinds after the orders of a random history.
#[derive(Default)]
struct HeldOrders {
    /// Last order and unanswered later ones.
    ordered: [u32; 2],
    /// Most servers that were there, which may be taken as ordered.
    seen: [u32; 2],
}

impl HeldOrders {
    fn observe(&mut self, own: &ServerCounts) {
        let ready = [own.ready_interruptible, own.ready_regular];
        for (seen, ready) in self.seen.iter_mut().zip(ready) {
            *seen = ready.max(*seen);
        }
    }

    /// Returns whether this order lets both kinds together exceed the maximum,
    /// and takes it.
    fn exceeds(&mut self, order: &ServerOrder, result: OrderResult, max: u32) -> bool {
        let kind = order.kind as usize;
        let held = self.ordered[kind].max(self.seen[kind]);
        let exceeds = order.count > held && order.count + self.ordered[1 - kind] > max;
        match result {
            OrderResult::Accepted => self.ordered[kind] = order.count,
            OrderResult::NoAnswer => self.ordered[kind] = self.ordered[kind].max(order.count),
            _ => (),
        }
        exceeds
    }
}

/// Guards against orders outside the limits, decreases on old numbers and a
/// second order before the result of the first, whatever is observed.
#[test]
fn random_histories_lead_to_orders_within_the_limits() {
    fn check(history: Vec<RandomSecond>, max: u8) -> TestResult {
        let limits = limits(20 + u32::from(max % 20), Some(0.15));
        let mut planner = ScalingPlanner::new(OWN.to_string());
        let mut held = HeldOrders::default();
        let mut regular = 0;
        for (index, (load, age, own, other, result)) in history.iter().enumerate() {
            let now = seconds(index as u64);
            let own = servers(u32::from(own.0 % 14), u32::from(own.1 % 7));
            let observation = FleetObservation {
                age: seconds(u64::from(age % 5)),
                ..observation(
                    f64::from(load % 900),
                    &[(OWN, own), (OTHER, servers(u32::from(other % 20), 0))],
                )
            };
            held.observe(&own);
            planner.observe(&observation, &limits, now);
            let decision = planner.last_decision();
            let desired = decision.regular + decision.interruptible;
            let is_settled = index as u64 >= BOOT_SECONDS;
            if is_settled && desired < decision.share || decision.share > limits.max {
                return TestResult::error(format!("at {index} s: {decision}"));
            }
            let kept = regular.min(limits.max - decision.interruptible);
            if observation.age > seconds(3) && decision.regular < kept {
                return TestResult::error(format!("decrease from {regular} at {index} s"));
            }
            regular = decision.regular;
            let Some(order) = planner.next_order(now) else {
                continue;
            };
            if planner.next_order(now).is_some() {
                return TestResult::error(format!("two orders at {index} s"));
            }
            let result = RESULTS[usize::from(*result) % RESULTS.len()];
            if held.exceeds(&order, result, limits.max) {
                return TestResult::error(format!("{order:?} at {index} s"));
            }
            planner.record_result(&order, result, now);
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(check as fn(Vec<RandomSecond>, u8) -> TestResult);
}
