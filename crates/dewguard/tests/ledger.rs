//! Which causes the ledger blocks, and which it doesn't.

use std::time::Duration;

use dewguard::{BLOCK_TIME, CrashCause, CrashLedger, CrashReport, CrashSuspect};
use quickcheck::{QuickCheck, TestResult};

/// A part that crashes servers.
const DEADLY: u64 = 7;

/// A part that many sound requests share.
const COMMON: u64 = 1;

/// Time after the last crash at which a block is in force.
const SETTLED: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(20_000 + ms)
}

/// What a VM learns.
#[derive(Clone, Debug)]
enum Event {
    /// A server crashed while it ran these requests, each given by its hash and
    /// its parts, and sent this long before.
    Crash(u64, u64, Vec<(u64, Vec<u64>)>, u64),
    /// A server survived a run with this cause.
    Survival(u64, CrashCause),
}

struct LedgerCase {
    what: &'static str,
    events: Vec<Event>,
    blocked: Vec<CrashCause>,
}

/// Time from the sending of a request to the crash, unless a case says otherwise.
const RUN_MS: u64 = 200;

fn crash(at: u64, server: u64, suspects: &[(u64, &[u64])]) -> Event {
    let suspects = suspects
        .iter()
        .map(|(request, parts)| (*request, parts.to_vec()))
        .collect();
    Event::Crash(at, server, suspects, RUN_MS)
}

/// A request that crashes a server soon after it is sent.
fn fast_crash(at: u64, server: u64, request: u64) -> Event {
    Event::Crash(at, server, vec![(request, vec![COMMON])], 25)
}

fn report(at: u64, server: u64, suspects: &[(u64, Vec<u64>)], run_ms: u64) -> CrashReport {
    let suspects = suspects
        .iter()
        .map(|(request, parts)| CrashSuspect {
            request: *request,
            sent: ms(at) - Duration::from_millis(run_ms),
            parts: parts.clone(),
        })
        .collect();
    CrashReport {
        server,
        at: ms(at),
        suspects,
    }
}

fn apply(ledger: &mut CrashLedger, event: &Event) {
    match event {
        Event::Crash(at, server, suspects, run_ms) => {
            ledger.record_crash(report(*at, *server, suspects, *run_ms));
        }
        Event::Survival(at, cause) => {
            ledger.record_survival(*cause, ms(*at));
        }
    }
}

/// Returns whether requests with nothing but this cause in common with others
/// are blocked.
fn is_blocked(ledger: &CrashLedger, cause: CrashCause, now: Duration) -> bool {
    let mut request = CrashSuspect {
        request: 999,
        sent: now,
        parts: vec![],
    };
    match cause {
        CrashCause::Part(part) => request.parts.push(part),
        CrashCause::Request(hash) => request.request = hash,
    }
    ledger.blocked_for(&request, now).is_some()
}

fn is_part_blocked(ledger: &CrashLedger, part: u64, now: Duration) -> bool {
    is_blocked(ledger, CrashCause::Part(part), now)
}

#[test]
fn a_cause_is_blocked_that_explains_several_crashes() {
    use CrashCause::{Part, Request};
    let cases = [
        LedgerCase {
            what: "three crashes by two requests",
            events: vec![
                crash(0, 1, &[(1, &[DEADLY])]),
                crash(400, 2, &[(1, &[DEADLY])]),
                crash(900, 3, &[(2, &[DEADLY])]),
            ],
            blocked: vec![Part(DEADLY)],
        },
        LedgerCase {
            what: "two crashes",
            events: vec![
                crash(0, 1, &[(1, &[DEADLY])]),
                crash(400, 2, &[(2, &[DEADLY])]),
            ],
            blocked: vec![],
        },
        LedgerCase {
            what: "one request crashes servers, whatever its parts are",
            events: vec![
                crash(0, 1, &[(1, &[COMMON])]),
                crash(400, 2, &[(1, &[COMMON])]),
                crash(900, 3, &[(1, &[COMMON])]),
                crash(1900, 4, &[(1, &[COMMON])]),
            ],
            blocked: vec![Request(1)],
        },
        LedgerCase {
            what: "a sound part that others use meanwhile",
            events: vec![
                crash(0, 1, &[(1, &[COMMON, DEADLY]), (5, &[COMMON])]),
                crash(400, 2, &[(2, &[COMMON, DEADLY]), (6, &[COMMON])]),
                Event::Survival(500, Part(COMMON)),
                crash(900, 3, &[(3, &[COMMON, DEADLY])]),
            ],
            blocked: vec![Part(DEADLY)],
        },
        LedgerCase {
            what: "a run that a server survives after the last crash",
            events: vec![
                crash(0, 1, &[(1, &[COMMON])]),
                crash(400, 2, &[(2, &[COMMON])]),
                crash(900, 3, &[(3, &[COMMON])]),
                Event::Survival(950, Part(COMMON)),
            ],
            blocked: vec![],
        },
        LedgerCase {
            what: "a part that servers survived shortly before",
            events: vec![
                Event::Survival(0, Part(COMMON)),
                crash(100, 1, &[(1, &[COMMON])]),
                crash(400, 2, &[(2, &[COMMON])]),
                crash(900, 3, &[(3, &[COMMON])]),
                crash(1300, 4, &[(4, &[COMMON])]),
                crash(1700, 5, &[(5, &[COMMON])]),
            ],
            blocked: vec![],
        },
        LedgerCase {
            what: "servers that end at the same moment",
            events: (1..=6)
                .map(|server| crash(server * 3, server, &[(server, &[COMMON])]))
                .collect(),
            blocked: vec![],
        },
        LedgerCase {
            what: "reports of several VMs about one crash",
            events: (0..6)
                .map(|vm| crash(vm * 150, 1, &[(vm, &[COMMON])]))
                .collect(),
            blocked: vec![],
        },
        LedgerCase {
            what: "a server that restarts under its id",
            events: (0..3)
                .map(|start| crash(start * 2500, 1, &[(start, &[DEADLY])]))
                .collect(),
            blocked: vec![Part(DEADLY)],
        },
        LedgerCase {
            what: "retries that crash servers shortly one after the other",
            events: vec![
                fast_crash(0, 1, 1),
                fast_crash(27, 2, 1),
                fast_crash(80, 3, 1),
            ],
            blocked: vec![Request(1)],
        },
        LedgerCase {
            what: "a request that many repeat, at servers that end together",
            events: (1..=6)
                .map(|server| crash(server * 15, server, &[(1, &[COMMON])]))
                .collect(),
            blocked: vec![],
        },
        LedgerCase {
            what: "a long request at servers that are replaced in turn",
            events: (1..=6)
                .map(|server| Event::Crash(server * 15_000, server, vec![(1, vec![])], 14_000))
                .collect(),
            blocked: vec![],
        },
        LedgerCase {
            what: "a request that a server survives meanwhile",
            events: vec![
                crash(0, 1, &[(1, &[])]),
                crash(400, 2, &[(1, &[])]),
                Event::Survival(600, Request(1)),
                crash(900, 3, &[(1, &[])]),
            ],
            blocked: vec![],
        },
        LedgerCase {
            what: "sound requests beside a request that is blocked",
            events: vec![
                crash(0, 1, &[(1, &[COMMON]), (2, &[COMMON])]),
                crash(400, 2, &[(1, &[COMMON]), (2, &[COMMON])]),
                Event::Survival(500, Part(COMMON)),
                Event::Survival(500, Request(2)),
                crash(900, 3, &[(1, &[COMMON])]),
                crash(1300, 4, &[(1, &[COMMON]), (3, &[COMMON])]),
                crash(1700, 5, &[(1, &[COMMON]), (4, &[COMMON])]),
            ],
            blocked: vec![Request(1)],
        },
        LedgerCase {
            what: "crashes that a blocked part explains",
            events: vec![
                crash(0, 1, &[(1, &[DEADLY]), (11, &[3])]),
                crash(400, 2, &[(2, &[DEADLY])]),
                crash(900, 3, &[(3, &[DEADLY])]),
                crash(1300, 4, &[(4, &[DEADLY]), (12, &[3])]),
                crash(1700, 5, &[(5, &[DEADLY]), (13, &[3])]),
            ],
            blocked: vec![Part(DEADLY)],
        },
    ];
    for case in cases {
        let mut ledger = CrashLedger::default();
        case.events
            .iter()
            .for_each(|event| apply(&mut ledger, event));
        let now = ms(100_000) + SETTLED;
        let causes = (0..20).map(Part).chain((0..20).map(Request));
        let blocked: Vec<_> = causes
            .filter(|cause| is_blocked(&ledger, *cause, now))
            .collect();
        assert_eq!(blocked, case.blocked, "{}", case.what);
    }
}

/// Guards against sound requests that are refused for long after an outage of all
/// servers, in which none could show that it survives what they share.
#[test]
fn what_servers_survived_before_is_blocked_later_and_for_a_short_time() {
    let mut ledger = CrashLedger::default();
    apply(&mut ledger, &Event::Survival(0, CrashCause::Part(COMMON)));
    for number in 1..=6 {
        let last_crash = ms(number * 400);
        assert!(
            !is_part_blocked(&ledger, COMMON, last_crash + SETTLED),
            "{number}"
        );
        apply(
            &mut ledger,
            &crash(number * 400, number, &[(number, &[COMMON])]),
        );
    }
    let last_crash = ms(6 * 400);
    assert!(is_part_blocked(&ledger, COMMON, last_crash + SETTLED));
    ledger.expire(last_crash + Duration::from_secs(30));
    assert!(!is_part_blocked(
        &ledger,
        COMMON,
        last_crash + Duration::from_secs(30)
    ));
}

fn ledger_with_block() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        let event = crash(number * 400, number, &[(number, &[DEADLY])]);
        apply(&mut ledger, &event);
    }
    ledger
}

#[test]
fn a_block_waits_for_refutations_and_ends() {
    let mut ledger = ledger_with_block();
    let last_crash = ms(800);
    assert!(!is_part_blocked(&ledger, DEADLY, last_crash));
    assert!(is_part_blocked(&ledger, DEADLY, last_crash + SETTLED));
    ledger.expire(last_crash + BLOCK_TIME / 2);
    assert!(is_part_blocked(
        &ledger,
        DEADLY,
        last_crash + BLOCK_TIME / 2
    ));
    ledger.expire(last_crash + BLOCK_TIME);
    assert!(!is_part_blocked(&ledger, DEADLY, last_crash + BLOCK_TIME));
    assert!(!ledger.is_active());
}

#[test]
fn a_block_of_another_vm_is_adopted_unless_a_server_survived_since() {
    let cause = CrashCause::Part(DEADLY);
    let mut joined = CrashLedger::default();
    for (cause, last_crash) in ledger_with_block().blocks() {
        assert_eq!(joined.adopt_block(cause, last_crash), None);
    }
    assert!(is_part_blocked(&joined, DEADLY, ms(800) + SETTLED));
    assert!(joined.learn_survival(cause, ms(1000)));
    assert!(!is_part_blocked(&joined, DEADLY, ms(1000) + SETTLED));
    // The other VM hasn't heard of it yet.
    let refuted = joined.adopt_block(cause, ms(800));
    assert_eq!(refuted, Some(ms(1000)));
    assert!(!is_part_blocked(&joined, DEADLY, ms(1100) + SETTLED));
}

/// The reports arrive in another order at each VM.
#[test]
fn all_vms_block_the_same_parts() {
    fn property(crashes: Vec<(u8, u8, u8)>, rotation: usize) -> TestResult {
        if crashes.is_empty() || crashes.len() > 30 {
            return TestResult::discard();
        }
        let events: Vec<Event> = crashes
            .iter()
            .enumerate()
            .map(|(index, (request, first, second))| {
                let parts = [u64::from(first % 5), 10 + u64::from(second % 3)];
                crash(
                    index as u64 * 200,
                    index as u64,
                    &[(u64::from(*request), &parts)],
                )
            })
            .collect();
        let mut rotated = events.clone();
        rotated.rotate_left(rotation % events.len());
        let [own, other] = [events, rotated].map(|events| {
            let mut ledger = CrashLedger::default();
            // Each report is sent more than once.
            let all = events.iter().chain(&events);
            all.for_each(|event| apply(&mut ledger, event));
            let mut blocks: Vec<_> = ledger.blocks().map(|(cause, _)| cause).collect();
            blocks.sort_unstable();
            blocks
        });
        TestResult::from_bool(own == other)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8, u8)>, usize) -> TestResult);
}

/// A data centre is lost: its servers end within a few ms.
#[test]
fn a_lost_data_centre_blocks_nothing() {
    fn property(servers: Vec<(u8, u8, u8)>) -> bool {
        let mut ledger = CrashLedger::default();
        for (index, (after, request, part)) in servers.iter().enumerate() {
            let parts = [u64::from(part % 4)];
            let suspects = [(u64::from(*request), &parts[..])];
            let event = crash(u64::from(after % 90), index as u64, &suspects);
            apply(&mut ledger, &event);
        }
        ledger.blocks().next().is_none()
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
