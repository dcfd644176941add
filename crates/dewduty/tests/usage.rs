//! Counts of usage over a fleet: merging, windows, the time of reports, datagrams.

use std::time::Duration;

use dewduty::truetime::ClockEstimate;
use dewduty::usage::{
    MAX_VMS, MAX_WORKSPACES, ShareState, UsageAck, UsageCollector, UsageMeter, UsagePolicy,
    UsageShare, WrittenReport,
};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use model::{FleetEvent, FleetModel, FleetRun, PostedWindow};

#[path = "usage/model.rs"]
mod model;

fn policy() -> UsagePolicy {
    UsagePolicy::new(Duration::from_secs(5), Duration::from_secs(10))
}

fn quickcheck(tests: u64, property: impl quickcheck::Testable) {
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(40, 0x05a6_e000))
        .quickcheck(property);
}

/// Returns a clock whose estimate is true time, with Unix time as monotonic time.
fn true_clock(unix: Duration) -> ClockEstimate {
    let mut clock = ClockEstimate::new();
    clock.observe_own(unix, unix);
    clock.observe_fleet(unix, unix);
    clock
}

/// Start of window 200.
const BEGIN: Duration = Duration::from_secs(1_000);

fn at(ms: u64) -> Duration {
    BEGIN + Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
struct AnyShare(UsageShare);

impl Arbitrary for AnyShare {
    fn arbitrary(g: &mut Gen) -> Self {
        let counts = Vec::<(u64, u32)>::arbitrary(g).into_iter();
        let copies = u64::from(u8::arbitrary(g) % 10);
        let counts = counts.flat_map(|(workspace, count)| {
            (0..=copies).map(move |copy| (workspace.wrapping_add(copy), count.max(1)))
        });
        let counts = counts.collect::<IndexMap<_, _>>();
        let total = counts.values().copied().map(u64::from).sum();
        let window = u64::arbitrary(g);
        AnyShare(UsageShare {
            vm: u64::arbitrary(g),
            started: u64::arbitrary(g),
            sent_unix: Duration::from_millis(u64::arbitrary(g) / 2),
            window,
            first: window / 2,
            reported: Option::<u32>::arbitrary(g).map(u64::from),
            is_final: bool::arbitrary(g),
            is_last: bool::arbitrary(g),
            total,
            counts,
        })
    }
}

/// Guards against counts that get lost or changed between two VMs.
#[test]
fn shares_survive_encoding() {
    fn property(AnyShare(share): AnyShare) -> bool {
        let mut joined = share.clone();
        joined.counts.clear();
        let parts = share.encode().into_iter().map(|bytes| {
            assert!(bytes.len() <= 1_400);
            UsageShare::decode(&bytes).expect("a share decodes")
        });
        for part in parts {
            joined.counts.extend(part.counts.clone());
            let mut whole = share.clone();
            whole.counts = part.counts.clone();
            assert_eq!(part, whole);
        }
        joined == share
    }
    quickcheck(200, property as fn(AnyShare) -> bool);
}

/// Guards against malformed datagrams that panic or are taken for counts.
#[test]
fn malformed_datagrams_are_rejected() {
    fn property(AnyShare(share): AnyShare, position: usize, garbage: Vec<u8>) -> bool {
        let ack = UsageAck {
            receiver: 1,
            receiver_started: 2,
            vm: share.vm,
            started: share.started,
            window: share.window,
            state: ShareState::Reported,
            arrived: share.total,
            dropped: 3,
            unix: Some(share.sent_unix),
        };
        assert_eq!(UsageAck::decode(&ack.encode()), Some(ack.clone()));
        for bytes in share.encode().into_iter().chain([ack.encode()]) {
            let is_rejected = |bytes: &[u8]| {
                UsageShare::decode(bytes).is_none() && UsageAck::decode(bytes).is_none()
            };
            assert!(is_rejected(&bytes[..position % bytes.len()]));
            assert!(is_rejected(&[&bytes[..], &[0]].concat()));
            // One changed bit may give other numbers, and never a panic.
            let mut changed = bytes.clone();
            changed[position % bytes.len()] ^= 1 << (position % 8);
            if let Some(decoded) = UsageShare::decode(&changed) {
                let mut collector = UsageCollector::new(policy(), 1, 1);
                collector.receive(&decoded, BEGIN, &true_clock(BEGIN));
                collector.next_report(at(60_000));
            }
        }
        UsageShare::decode(&garbage).is_none() && UsageAck::decode(&garbage).is_none()
    }
    quickcheck(300, property as fn(AnyShare, usize, Vec<u8>) -> bool);
}

/// Guards against counts that depend on the order, the loss or the repetition of
/// datagrams.
#[test]
fn merged_counts_are_the_true_sum() {
    fn property(records: Vec<(u8, u8)>, order: Vec<u8>) -> bool {
        let clock = true_clock(at(0));
        let mut meters = [1, 2, 3].map(|vm| UsageMeter::new(policy(), vm, vm));
        let mut truth = IndexMap::<u64, u64>::new();
        let mut sent = Vec::new();
        for meter in &mut meters {
            sent.extend(meter.next_report(at(0), &clock));
        }
        for (index, &(vm, workspace)) in records.iter().enumerate() {
            let now = at(index as u64 * 20 % 5_000);
            let workspace = u64::from(workspace % 5);
            let meter = &mut meters[usize::from(vm % 3)];
            meter.record(workspace, now);
            *truth.entry(workspace).or_default() += 1;
            sent.extend(meter.next_report(now, &clock));
        }
        let mut collector = UsageCollector::new(policy(), 9, 9);
        collector.set_vms([1, 2, 3], at(0));
        let mut receive = |share: &UsageShare| {
            let mut acks = Vec::new();
            for bytes in share.encode() {
                let part = UsageShare::decode(&bytes).expect("a share decodes");
                acks.push(collector.receive(&part, at(6_000), &true_clock(at(6_000))));
            }
            acks
        };
        // Any of the earlier shares, in any order and number.
        for position in order {
            if !sent.is_empty() {
                receive(&sent[usize::from(position) % sent.len()]);
            }
        }
        for meter in &mut meters {
            let shares = meter.next_report(at(6_000), &clock);
            shares.iter().for_each(|share| drop(receive(share)));
            // What was lost is sent again, until it is acknowledged.
            let again = meter.next_report(at(6_600), &clock);
            assert_eq!(again.len(), shares.len());
            for ack in again.iter().flat_map(&mut receive) {
                meter.acknowledge(&ack);
            }
            let rest = meter.next_report(at(7_200), &clock);
            assert!(rest.iter().all(|share| share.window > 200));
        }
        let plan = collector.next_report(at(7_200)).expect("all are final");
        assert!(plan.missing.is_empty());
        truth.sort_unstable_keys();
        let mut totals = plan.totals;
        totals.sort_unstable_keys();
        plan.window == 200 && totals == truth
    }
    quickcheck(200, property as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}

/// Guards against a table that grows with the names in requests.
#[test]
fn memory_is_bounded() {
    let clock = true_clock(at(0));
    let mut meter = UsageMeter::new(policy(), 1, 1);
    let mut collector = UsageCollector::new(policy(), 1, 1);
    collector.set_vms(0..3_000, at(0));
    for workspace in 0..2 * MAX_WORKSPACES as u64 {
        meter.record(workspace, at(0));
    }
    let shares = meter.next_report(at(10), &clock);
    assert_eq!(shares[0].counts.len(), MAX_WORKSPACES);
    assert_eq!(meter.take_late(), MAX_WORKSPACES as u64);
    for vm in 0..520 {
        let share = UsageShare {
            vm,
            ..shares[0].clone()
        };
        collector.receive(&share, at(20), &clock);
    }
    for vm in 0..3_000 {
        let share = UsageShare {
            vm,
            counts: IndexMap::new(),
            ..shares[0].clone()
        };
        collector.receive(&share, at(20), &clock);
    }
    let state_of = |collector: &mut UsageCollector, started| {
        let share = UsageShare {
            started,
            is_final: true,
            is_last: true,
            total: 0,
            counts: IndexMap::new(),
            ..shares[0].clone()
        };
        collector.receive(&share, at(20), &clock).state
    };
    let states = (2..3_000).map(|started| state_of(&mut collector, started));
    let kept = states
        .filter(|&state| state == ShareState::Complete)
        .count();
    assert_eq!(kept, MAX_VMS, "processes beyond the limit were kept");
    let plan = collector.next_report(at(20_000)).expect("a window is due");
    // 2^21 counts of one request each.
    assert_eq!(plan.totals.values().sum::<u64>(), 1 << 21);
    assert_eq!(plan.missing.len(), MAX_VMS);
}

/// What a VM has sent by the time of the look.
#[derive(Clone, Copy)]
enum Sent {
    Nothing,
    /// Counts that may still grow.
    Open,
    Final,
    /// Final counts of a process that has stopped within the window.
    Last,
    /// An empty share of the next window: it started after this one.
    Later,
}

struct TimingCase {
    name: &'static str,
    sent: &'static [Sent],
    /// VMs that are known, as numbers from 0.
    known: &'static [u64],
    /// When the collector began to listen, in milliseconds from the window's start.
    observed: u64,
    written: Option<u64>,
    /// Time of the first plan after the end of the window, in milliseconds.
    planned: Option<u64>,
    missing: usize,
}

const TIMING: TimingCase = TimingCase {
    name: "all final",
    sent: &[Sent::Final; 3],
    known: &[0, 1, 2],
    observed: 0,
    written: Some(199),
    planned: Some(300),
    missing: 0,
};

const TIMING_CASES: &[TimingCase] = &[
    TIMING,
    TimingCase {
        name: "a VM that was killed is waited for",
        sent: &[Sent::Final, Sent::Final, Sent::Open],
        planned: Some(6_000),
        missing: 1,
        ..TIMING
    },
    TimingCase {
        name: "a VM that has left the list is waited for briefly",
        sent: &[Sent::Final, Sent::Final, Sent::Open],
        known: &[0, 1],
        planned: Some(1_500),
        ..TIMING
    },
    TimingCase {
        name: "a VM that stopped is not waited for",
        sent: &[Sent::Final, Sent::Final, Sent::Last],
        ..TIMING
    },
    TimingCase {
        name: "a VM that started later is not waited for",
        sent: &[Sent::Final, Sent::Final, Sent::Later],
        ..TIMING
    },
    TimingCase {
        name: "a minority is reported last",
        sent: &[Sent::Final, Sent::Nothing, Sent::Nothing],
        planned: Some(8_000),
        missing: 2,
        ..TIMING
    },
    TimingCase {
        name: "a first report needs more than half of the VMs",
        sent: &[Sent::Final, Sent::Nothing],
        known: &[0, 1],
        written: None,
        planned: None,
        ..TIMING
    },
    TimingCase {
        name: "a window that no VM knows is not reported",
        sent: &[Sent::Nothing; 3],
        planned: None,
        ..TIMING
    },
    TimingCase {
        name: "a first report needs the whole window",
        sent: &[Sent::Final, Sent::Final, Sent::Nothing],
        observed: 2_000,
        written: None,
        planned: None,
        missing: 1,
        ..TIMING
    },
    TimingCase {
        name: "a first report of a part of a window needs all VMs",
        observed: 2_000,
        written: None,
        ..TIMING
    },
    TimingCase {
        name: "a first report of a whole window needs more than half of the VMs",
        sent: &[Sent::Final, Sent::Final, Sent::Nothing],
        written: None,
        planned: Some(6_000),
        missing: 1,
        ..TIMING
    },
    TimingCase {
        name: "a window of which a report is written is closed",
        written: Some(200),
        planned: None,
        ..TIMING
    },
];

/// Guards against reports that are late or leave out VMs that could be waited for.
#[test]
fn reports_wait_for_the_right_vms() {
    for case in TIMING_CASES {
        let mut collector = UsageCollector::new(policy(), 100, 1);
        let known = || case.known.iter().copied();
        collector.set_vms(0..case.sent.len() as u64, at(case.observed));
        let written = case.written.map(|window| WrittenReport {
            window,
            token: 1,
            counts: IndexMap::new(),
        });
        collector.take_over(written, at(case.observed));
        collector.record_accepted(200);
        for (vm, &sent) in (0..).zip(case.sent) {
            let window = if matches!(sent, Sent::Later) {
                201
            } else {
                200
            };
            let share = UsageShare {
                vm,
                started: 1,
                sent_unix: at(5_200),
                window,
                first: window,
                reported: None,
                is_final: matches!(sent, Sent::Final | Sent::Last),
                is_last: matches!(sent, Sent::Last),
                total: 4,
                counts: IndexMap::from([(7, 4)]),
            };
            if !matches!(sent, Sent::Nothing) {
                collector.receive(&share, at(5_200), &true_clock(at(5_200)));
            }
        }
        let looks = (300..10_000).step_by(100);
        let planned = looks.into_iter().find_map(|after| {
            collector.set_vms(known(), at(5_000 + after));
            let plan = collector.next_report(at(5_000 + after));
            plan.filter(|plan| plan.window == 200)
                .map(|plan| (after, plan.missing.len()))
        });
        let expected = case.planned.map(|after| (after, case.missing));
        assert_eq!(planned, expected, "{}", case.name);
    }
}

/// Guards against a share that changes a report afterwards, and against its loss
/// without a trace: a VM that was frozen sends it late.
#[test]
fn late_shares_are_dropped_and_named() {
    let mut collector = UsageCollector::new(policy(), 1, 1);
    collector.set_vms([1, 2], at(0));
    let mut meters = [1, 2].map(|vm| UsageMeter::new(policy(), vm, 1));
    for meter in &mut meters {
        meter.record(7, at(100));
        let shares = meter.next_report(at(200), &true_clock(at(0)));
        collector.receive(&shares[0], at(200), &true_clock(at(0)));
        meter.record(7, at(300));
    }
    let shares = meters[0].next_report(at(6_000), &true_clock(at(0)));
    collector.receive(&shares[0], at(6_000), &true_clock(at(0)));
    let plan = collector.next_report(at(11_000)).expect("the wait is over");
    assert_eq!((plan.totals[&7], &plan.missing[..]), (3, &[2][..]));
    let report = WrittenReport {
        window: plan.window,
        token: 1,
        counts: IndexMap::from([("w".to_string(), 3)]),
    };
    collector.record_written(report.clone());
    assert_eq!(collector.next_report(at(11_100)), None);
    // An older copy of the store doesn't bring back a window.
    let older = WrittenReport {
        window: plan.window - 3,
        ..report.clone()
    };
    collector.take_over(Some(older), at(11_100));
    assert_eq!(collector.unaccepted(), Some(&report));
    let late = meters[1].next_report(at(12_000), &true_clock(at(0)));
    let ack = collector.receive(&late[0], at(12_000), &true_clock(at(0)));
    assert_eq!((ack.state, ack.dropped), (ShareState::Reported, 1));
    meters[1].acknowledge(&ack);
    let rest = meters[1].next_report(at(12_600), &true_clock(at(0)));
    assert!(rest.iter().all(|share| share.window > plan.window));
    // The next window waits until the platform has accepted this one.
    collector.receive(&rest[0], at(12_600), &true_clock(at(0)));
    assert_eq!(collector.next_report(at(20_000)), None);
    collector.record_accepted(plan.window);
    let next = collector.next_report(at(20_000)).map(|plan| plan.window);
    assert_eq!(next, Some(plan.window + 1));
    // Other VMs learn of the report from the shares.
    let mut other = UsageCollector::new(policy(), 2, 1);
    other.receive(&rest[0], at(12_600), &true_clock(at(0)));
    assert_eq!(other.reported(), Some(plan.window));
}

/// A share of window 200 that arrives at a collector.
struct Arrival {
    /// Milliseconds from the start of the window.
    at: u64,
    vm: u64,
    count: u32,
    is_final: bool,
}

struct ArrivalCase {
    name: &'static str,
    arrivals: Vec<Arrival>,
    /// When the VM became the holder, in milliseconds from the window's start.
    took_over: u64,
    /// Time of the first plan after the start of the window, and its sum.
    planned: (u64, u64),
}

/// Guards against a report that is made while counts are on their way, and against
/// one that waits for them without end.
#[test]
fn reports_wait_while_counts_arrive() {
    let arrival = |at, vm, count, is_final| Arrival {
        at,
        vm,
        count,
        is_final,
    };
    let cases = [
        ArrivalCase {
            name: "a holder that has received nothing before hears all within a second",
            arrivals: (0..4)
                .map(|vm| arrival(13_000 + 200 * vm, vm, 1, true))
                .collect(),
            took_over: 13_000,
            // The fifth VM is silent.
            planned: (14_600, 4),
        },
        ArrivalCase {
            name: "a VM that counts into an old window delays it by 2 s at most",
            arrivals: (0..5)
                .map(|vm| arrival(5_200, vm, 1, vm > 0))
                .chain((1..60).map(|step| arrival(5_200 + 200 * step, 0, 1 + step as u32, false)))
                .collect(),
            took_over: 0,
            planned: (13_000, 4 + 40),
        },
        ArrivalCase {
            name: "a clock that is ahead doesn't close a window",
            arrivals: (1..5)
                .map(|vm| arrival(5_200, vm, 2, true))
                .chain([arrival(3_000, 0, 1, true), arrival(5_500, 0, 2, true)])
                .collect(),
            took_over: 0,
            planned: (5_500, 10),
        },
        ArrivalCase {
            name: "a window that was final by mistake goes on",
            arrivals: (0..5)
                .map(|vm| arrival(4_800, vm, 2, true))
                .chain([arrival(4_900, 0, 3, false), arrival(5_700, 0, 4, true)])
                .collect(),
            took_over: 0,
            planned: (5_700, 12),
        },
    ];
    for case in cases {
        let mut collector = UsageCollector::new(policy(), 100, 1);
        collector.set_vms(0..5, at(0));
        let written = WrittenReport {
            window: 199,
            token: 1,
            counts: IndexMap::new(),
        };
        collector.record_written(written);
        collector.record_accepted(199);
        let planned = (0..20_000).step_by(100).find_map(|time| {
            if time == case.took_over {
                collector.take_over(None, at(time));
            }
            for arrival in case.arrivals.iter().filter(|arrival| arrival.at == time) {
                let share = UsageShare {
                    vm: arrival.vm,
                    started: 1,
                    sent_unix: at(time),
                    window: 200,
                    first: 200,
                    reported: None,
                    is_final: arrival.is_final,
                    is_last: false,
                    total: u64::from(arrival.count),
                    counts: IndexMap::from([(7, arrival.count)]),
                };
                collector.receive(&share, at(time), &true_clock(at(time)));
            }
            let is_holder = time >= case.took_over;
            let plan = is_holder.then(|| collector.next_report(at(time))).flatten();
            plan.map(|plan| (time, plan.totals.values().sum()))
        });
        assert_eq!(planned, Some(case.planned), "{}", case.name);
    }
}

/// Guards against counts that only a receiver knew that has restarted since.
#[test]
fn counts_are_sent_again_to_a_receiver_that_restarted() {
    let clock = true_clock(at(0));
    let mut meter = UsageMeter::new(policy(), 1, 1);
    meter.set_receivers([5]);
    meter.record(7, at(0));
    let mut collector = UsageCollector::new(policy(), 5, 1);
    for share in meter.next_report(at(5_600), &clock) {
        let ack = collector.receive(&share, at(5_600), &clock);
        assert!(ack.unix.is_some());
        meter.acknowledge(&ack);
    }
    assert!(meter.next_report(at(6_200), &clock).is_empty());
    meter.record(8, at(6_300));
    let mut restarted = UsageCollector::new(policy(), 5, 2);
    for share in meter.next_report(at(6_800), &clock) {
        meter.acknowledge(&restarted.receive(&share, at(6_800), &clock));
    }
    let windows = meter.next_report(at(7_400), &clock);
    assert!(windows.iter().any(|share| share.window == 200));
}

/// Guards against a holder whose time follows itself, so that it falls by the latency
/// of each reply.
#[test]
fn a_holder_is_not_told_its_own_time() {
    let clock = true_clock(at(0));
    let mut meter = UsageMeter::new(policy(), 1, 1);
    let mut collector = UsageCollector::new(policy(), 1, 1);
    let shares = meter.next_report(at(5_600), &clock);
    let ack = collector.receive(&shares[0], at(5_600), &clock);
    assert_eq!(ack.unix, None);
}

/// Guards against requests that are counted into the wrong window because the clock
/// of a new process is wrong until the fleet corrects it.
#[test]
fn records_wait_until_time_is_known() {
    let mut clock = ClockEstimate::new();
    let mut meter = UsageMeter::new(policy(), 1, 1);
    clock.observe_own(at(4_000) + Duration::from_millis(2_400), at(4_000));
    meter.record(7, at(4_000));
    let request = meter.next_report(at(4_100), &clock);
    assert_eq!(request[0].total, 0);
    let collector = &mut UsageCollector::new(policy(), 5, 1);
    let ack = collector.receive(&request[0], at(4_200), &true_clock(at(0)));
    clock.observe_fleet(ack.unix.expect("the holder knows the time"), at(4_200));
    let shares = meter.next_report(at(4_700), &clock);
    assert_eq!((shares[0].window, shares[0].total), (200, 1));
}

struct FleetCase {
    name: &'static str,
    run: FleetRun,
    /// Largest difference of a window's report to the truth.
    off: f64,
    /// Largest time from the end of a window to its report.
    delay: Duration,
}

fn fleet_run(vms: usize, seconds: u64) -> FleetRun {
    FleetRun {
        vms,
        seconds,
        tick: Duration::from_millis(20),
        loss: 1,
        stepping: 0,
        events: Vec::new(),
        outage: 0..0,
        seed: 1,
    }
}

fn fleet_case(name: &'static str, run: FleetRun) -> FleetCase {
    FleetCase {
        name,
        run,
        off: 0.05,
        delay: Duration::from_millis(1_500),
    }
}

fn clock_cases() -> Vec<FleetCase> {
    let steps = |vms| FleetRun {
        stepping: 28,
        ..fleet_run(vms, 35)
    };
    vec![
        fleet_case("one VM", fleet_run(1, 40)),
        fleet_case("two VMs", fleet_run(2, 40)),
        fleet_case(
            "a fifth of the datagrams is lost",
            FleetRun {
                loss: 20,
                ..steps(12)
            },
        ),
        fleet_case("clocks of four VMs step", steps(4)),
        fleet_case("clocks of 12 VMs step", steps(12)),
        fleet_case("clocks of 40 VMs step", steps(40)),
        fleet_case(
            "many VMs",
            FleetRun {
                seconds: 18,
                tick: Duration::from_millis(40),
                ..steps(800)
            },
        ),
    ]
}

fn duty_cases() -> Vec<FleetCase> {
    use FleetEvent::{Freeze, Kill, Restore, Start, Stop, TakeOver};
    let events = |vms, events: &[(u64, usize, FleetEvent)]| FleetRun {
        events: events.to_vec(),
        ..fleet_run(vms, 35)
    };
    let waiting = |case| FleetCase {
        delay: Duration::from_secs(8),
        ..case
    };
    vec![
        waiting(fleet_case(
            "VMs are killed and start with wrong clocks",
            events(
                12,
                &[
                    (9_000, 5, Kill),
                    (16_000, 5, Start(2_400)),
                    (22_000, 6, Kill),
                    (22_500, 6, Start(-2_400)),
                ],
            ),
        )),
        fleet_case(
            "VMs stop and start",
            events(
                3,
                &[
                    (9_000, 2, Stop),
                    (14_000, 2, Start(0)),
                    (22_000, 1, Stop),
                    (22_100, 1, Start(900)),
                ],
            ),
        ),
        waiting(fleet_case(
            "a VM freezes",
            events(8, &[(9_000, 5, Freeze(4_000)), (20_000, 5, Freeze(900))]),
        )),
        fleet_case(
            "the store is restored from an older copy",
            events(8, &[(20_000, 0, Restore(2)), (21_000, 4, TakeOver)]),
        ),
        FleetCase {
            delay: Duration::from_secs(10),
            ..fleet_case(
                "the holder freezes",
                events(12, &[(12_000, 0, Freeze(9_000))]),
            )
        },
        FleetCase {
            delay: Duration::from_secs(10),
            ..fleet_case("the holder is killed", events(12, &[(12_000, 0, Kill)]))
        },
        fleet_case(
            "the duty moves to VMs that have received nothing",
            events(
                12,
                &[
                    (12_400, 6, TakeOver),
                    (23_000, 11, TakeOver),
                    (24_000, 3, TakeOver),
                ],
            ),
        ),
        FleetCase {
            delay: Duration::from_secs(22),
            ..fleet_case(
                "the platform is down",
                FleetRun {
                    outage: 10..30,
                    ..fleet_run(8, 45)
                },
            )
        },
    ]
}

fn check_fleets(cases: Vec<FleetCase>) {
    let mut failures = Vec::new();
    for case in cases {
        let windows = FleetModel::play(&case.run);
        assert!(!windows.is_empty(), "{}", case.name);
        let off = |window: &PostedWindow| {
            window.counted.abs_diff(window.truth) as f64 / window.truth.max(1) as f64
        };
        let worst = windows.iter().map(off).fold(0.0, f64::max);
        let delay = windows.iter().map(|window| window.delay).max();
        println!("{}: off by {worst:.4}, after {delay:?}", case.name);
        if worst > case.off || delay > Some(case.delay) {
            failures.push(format!("{}: {windows:#?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against requests that are counted into the wrong window because clocks are
/// wrong.
#[test]
fn windows_are_right_under_stepping_clocks() {
    check_fleets(clock_cases());
}

/// Guards against reports that are wrong, late or missing while VMs come and go and
/// the duty moves.
#[test]
fn reports_are_accurate_and_in_time() {
    check_fleets(duty_cases());
}

#[derive(Clone, Debug)]
struct AnyRun(FleetRun);

impl Arbitrary for AnyRun {
    fn arbitrary(g: &mut Gen) -> Self {
        let vms = 2 + usize::arbitrary(g) % 39;
        let mut below = |limit: u64| u64::arbitrary(g) % limit;
        let events = (0..below(12)).map(|_| {
            let event = match below(7) {
                0 => FleetEvent::Kill,
                1 => FleetEvent::Freeze(below(15_000)),
                2 => FleetEvent::Stop,
                3 => FleetEvent::Start(below(5_000) as i64 - 2_500),
                4 => FleetEvent::Restore(1 + below(4) as usize),
                _ => FleetEvent::TakeOver,
            };
            (below(32_000), below(vms as u64) as usize, event)
        });
        let events = events.collect();
        let outage = below(30);
        AnyRun(FleetRun {
            vms,
            seconds: 40,
            tick: Duration::from_millis(40),
            loss: below(30),
            stepping: 28,
            events,
            outage: outage..outage + below(12),
            seed: below(u64::MAX),
        })
    }
}

/// Guards against a window that is reported twice with different counts, whatever
/// happens to the holders. The model fails if it is.
#[test]
fn a_window_is_reported_once() {
    fn property(AnyRun(run): AnyRun) -> bool {
        FleetModel::play(&run);
        true
    }
    quickcheck(24, property as fn(AnyRun) -> bool);
}
