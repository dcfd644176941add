//! A fleet of VMs that share the limit of one server.

use std::time::Duration;

use dewedge::policy::rate_limit::{FleetPlace, RateLimit};

/// Span in which the platform counts requests.
const SPAN: Duration = Duration::from_secs(4);

/// Share of the limit that may arrive in a span.
const TOLERANCE: f64 = 1.5;

/// Requests of a span that are permitted in addition.
const EXTRA_REQUESTS: f64 = 5.0;

/// Longest delay until a VM has heard of a limit that another VM heard of first.
const NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Length of a simulation.
const LENGTH: Duration = Duration::from_secs(40);

const SEEDS: std::ops::Range<u64> = 1..7;

/// When the callers of all VMs have requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Demand {
    /// All the time.
    Steady,
    /// From the middle of the simulation on, at all VMs at once.
    Burst,
}

struct FleetCase {
    vms: usize,
    rate: f64,
    demand: Demand,
}

/// Uniformly distributed numbers from 0 to 1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }
}

/// Returns when requests reached the server.
fn simulate(case: &FleetCase, seed: u64) -> Vec<Duration> {
    let mut random = Random(seed);
    let mut limits = Vec::new();
    for rank in 0..u32::try_from(case.vms).expect("a small fleet") {
        let vms = case.vms;
        let mut limit = RateLimit::default();
        limit.set_place(FleetPlace { vms, rank });
        limit.set(Some(case.rate), NOTICE_DELAY.mul_f64(random.next()));
        limits.push(limit);
    }
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        let has_demand = case.demand == Demand::Steady || now >= LENGTH / 2;
        for limit in &mut limits {
            while has_demand && limit.allows(now) {
                limit.record_send(now);
                arrivals.push(now);
            }
        }
        now += STEP;
    }
    arrivals
}

fn busiest_span(arrivals: &[Duration]) -> usize {
    let within = |first: usize| {
        let end = arrivals[first] + SPAN;
        arrivals[first..].iter().take_while(|at| **at < end).count()
    };
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

const fn case(vms: usize, rate: f64, demand: Demand) -> FleetCase {
    FleetCase { vms, rate, demand }
}

const CASES: [FleetCase; 11] = [
    case(1, 4.2, Demand::Steady),
    case(8, 4.2, Demand::Steady),
    case(8, 4.2, Demand::Burst),
    case(8, 0.3, Demand::Burst),
    case(8, 40.0, Demand::Steady),
    case(195, 1.2, Demand::Steady),
    case(195, 1.2, Demand::Burst),
    case(195, 0.3, Demand::Burst),
    case(195, 40.0, Demand::Burst),
    case(800, 4.2, Demand::Burst),
    case(800, 300.0, Demand::Steady),
];

/// Guards against VMs that save up turns and use them at once.
#[test]
fn a_fleet_keeps_to_the_limit_of_a_server() {
    for case in &CASES {
        let allowed = TOLERANCE * case.rate * SPAN.as_secs_f64() + EXTRA_REQUESTS;
        for seed in SEEDS {
            let busiest = busiest_span(&simulate(case, seed));
            let (vms, rate, demand) = (case.vms, case.rate, case.demand);
            assert!(
                busiest as f64 <= allowed,
                "{vms} VMs, {rate} a second, {demand:?}, seed {seed}: {busiest} requests in \
                 {SPAN:?}, allowed {allowed}"
            );
        }
    }
}

#[test]
fn a_fleet_with_demand_uses_the_limit_of_a_server() {
    for case in CASES.iter().filter(|case| case.demand == Demand::Steady) {
        let expected = case.rate * LENGTH.as_secs_f64();
        for seed in SEEDS {
            let used = simulate(case, seed).len() as f64;
            let (vms, rate) = (case.vms, case.rate);
            assert!(
                used >= 0.7 * expected,
                "{vms} VMs, {rate} a second, seed {seed}: {used} of {expected} requests"
            );
        }
    }
}

#[test]
fn what_a_server_said_earlier_undoes_nothing() {
    let at = Duration::from_millis;
    let mut limit = RateLimit::default();
    assert!(limit.set(Some(4.0), at(1000)));
    assert!(limit.set(None, at(1200)));
    assert!(!limit.set(Some(4.0), at(1100)));
    assert_eq!(limit.rate(), None);
    assert!(!limit.set(None, at(1300)), "nothing has changed");
}

#[test]
fn a_request_that_was_not_sent_uses_no_turn() {
    let at = Duration::from_millis;
    let mut limit = RateLimit::default();
    limit.set_place(FleetPlace { vms: 2, rank: 1 });
    limit.set(Some(1.0), Duration::ZERO);
    assert!(limit.allows(at(1000)));
    limit.record_send(at(1000));
    assert!(!limit.allows(at(1500)));
    limit.undo_send();
    assert!(limit.allows(at(1500)));
}
