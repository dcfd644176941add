//! Bodies of crowds, some of which never end, against the plan of what is read.

use std::time::Duration;

use dewbudget::{UploadLimits, UploadRefusal, UploadTable};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMITS: UploadLimits = UploadLimits {
    bodies: 8_000_000,
    body: 2_000_000,
    waiting: 0,
    has_workspaces: true,
};

/// Bytes that a body receives in one round, if it is read.
const PIECE: u64 = 50_000;

const ROUND: Duration = Duration::from_millis(100);

const WORKSPACES: [&str; 3] = ["desk", "paper", "radio"];

#[derive(Clone, Debug)]
struct Sender {
    workspace: usize,
    length: u64,
    is_chunked: bool,
    /// Bytes after which it falls silent.
    stops_at: u64,
}

impl Arbitrary for Sender {
    fn arbitrary(source: &mut Gen) -> Self {
        let length = u64::arbitrary(source) % LIMITS.body + 1;
        let stops_at = match u8::arbitrary(source) % 3 {
            0 => length - 1,
            1 => length / 2,
            _ => length,
        };
        Self {
            workspace: usize::arbitrary(source) % WORKSPACES.len(),
            length,
            is_chunked: bool::arbitrary(source),
            stops_at,
        }
    }
}

/// Lets all senders send at once; returns how many complete bodies arrived.
///
/// # Panics
///
/// Panics if the bodies hold more than their limit, or if nothing goes on.
fn play(senders: &[Sender]) -> usize {
    let mut table = UploadTable::default();
    let mut received = vec![0; senders.len()];
    let mut open: Vec<usize> = Vec::new();
    for (key, sender) in senders.iter().enumerate() {
        let declared = (!sender.is_chunked).then_some(sender.length);
        let workspace = WORKSPACES[sender.workspace];
        let begun = table.begin(key, workspace, declared, 0, &LIMITS, Duration::ZERO);
        assert_eq!(begun, Ok(()));
        open.push(key);
    }
    let mut completed = 0;
    for round in 1..2000 {
        let now = ROUND * round;
        for &key in &open {
            let held: u64 = open.iter().map(|key| received[*key]).sum();
            let sender = &senders[key];
            let piece = table.next_bytes(key, PIECE, &LIMITS);
            if held + piece > LIMITS.bodies {
                table.pause(key);
            } else if !table.waits(key) {
                received[key] = (received[key] + piece).min(sender.stops_at);
                table.record(key, received[key], now);
            }
        }
        open.retain(|&key| {
            let is_complete = received[key] == senders[key].length;
            if is_complete {
                table.end(key);
                completed += 1;
            }
            !is_complete
        });
        let held: u64 = open.iter().map(|key| received[*key]).sum();
        assert!(held <= LIMITS.bodies, "{held} bytes held");
        if !table.is_calm(held, &LIMITS) {
            let plan = table.plan(held, &LIMITS, now);
            open.retain(|key| !plan.refused.contains(key));
        }
    }
    let sends = |key: &&usize| senders[**key].stops_at == senders[**key].length;
    assert_eq!(
        open.iter().filter(sends).count(),
        0,
        "bodies that wait for ever"
    );
    completed
}

#[test]
fn no_body_waits_for_ever_and_the_limit_holds() {
    fn property(senders: Vec<Sender>) -> bool {
        let whole = senders
            .iter()
            .any(|sender| sender.stops_at == sender.length);
        play(&senders) > 0 || !whole
    }
    let mut checker = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 46))
        .tests(60);
    checker.quickcheck(property as fn(Vec<Sender>) -> bool);
}

/// A body of one workspace beside many of another.
struct FairnessCase {
    name: &'static str,
    length: u64,
    /// Whether the others have stalled.
    stalled: bool,
}

#[test]
fn a_workspace_with_few_bodies_comes_first() {
    let case = |name, length, stalled| FairnessCase {
        name,
        length,
        stalled,
    };
    let cases = [
        case("small beside uploads", 1000, false),
        case("large beside uploads", 2_000_000, false),
        case("small beside stalled uploads", 1000, true),
        case("large beside stalled uploads", 2_000_000, true),
    ];
    for case in cases {
        let mut table = UploadTable::default();
        for key in 0..20 {
            let begun = table.begin(key, "hot", Some(2_000_000), 0, &LIMITS, Duration::ZERO);
            assert_eq!(begun, Ok(()), "{}", case.name);
            table.record(key, 395_000, Duration::ZERO);
        }
        let held = 20 * 395_000;
        let later = Duration::from_secs(if case.stalled { 5 } else { 0 });
        let begun = table.begin(99, "calm", Some(case.length), held, &LIMITS, later);
        assert_eq!(begun, Ok(()), "{}", case.name);
        let plan = table.plan(held, &LIMITS, later);
        assert!(!table.waits(99), "{}", case.name);
        assert!(!plan.refused.contains(&99), "{}", case.name);
        let refused = plan.refused.len() as u64;
        let needed = (held + case.length)
            .saturating_sub(6_000_000)
            .div_ceil(395_000);
        assert!(refused <= needed, "{}: {refused} of {needed}", case.name);
    }
}

#[test]
fn a_workspace_whose_bodies_wait_begins_no_further_large_one() {
    let mut table = UploadTable::default();
    table
        .begin(1, "hot", None, 0, &LIMITS, Duration::ZERO)
        .expect("it is calm");
    table.pause(1);
    let mut begin = |key, workspace, size, held| {
        table.begin(key, workspace, Some(size), held, &LIMITS, Duration::ZERO)
    };
    let expected = [
        begin(2, "hot", 1_000_000, 5_000_000),
        begin(3, "hot", 1000, 5_000_000),
        begin(4, "calm", 1_000_000, 5_000_000),
        begin(5, "calm", 1000, 8_000_000),
    ];
    assert_eq!(
        expected,
        [
            Err(UploadRefusal::Workspace),
            Ok(()),
            Ok(()),
            Err(UploadRefusal::Memory)
        ]
    );
}

/// Guards against a small body that waits while one body after the other, each a byte
/// short of its end, is read without success.
#[test]
fn a_small_body_waits_for_one_stalled_body_at_most() {
    let mut table = UploadTable::default();
    for key in 0..6 {
        let begun = table.begin(key, "hot", Some(1_000_000), 0, &LIMITS, Duration::ZERO);
        assert_eq!(begun, Ok(()));
        table.record(key, 999_999, Duration::ZERO);
    }
    (0..6).for_each(|key| table.pause(key));
    let held = 6 * 999_999;
    let begun = table.begin(9, "hot", Some(1000), held, &LIMITS, Duration::ZERO);
    assert_eq!(begun, Ok(()));
    table.plan(held, &LIMITS, Duration::ZERO);
    let later = Duration::from_secs(1);
    let plan = table.plan(held, &LIMITS, later);
    assert!(!table.waits(9), "{plan:?}");
}

/// Guards against bodies that all wait for accepted requests which end late.
#[test]
fn bodies_do_not_wait_for_accepted_requests_without_end() {
    for accepted in [0, 1_000_000] {
        let mut table = UploadTable::default();
        table.accept("calm", accepted);
        for key in 0..12 {
            let begun = table.begin(key, "hot", Some(1_000_000), 0, &LIMITS, Duration::ZERO);
            assert_eq!(begun, Ok(()));
            table.record(key, 500_000, Duration::ZERO);
        }
        (0..12).for_each(|key| table.pause(key));
        let later = Duration::from_secs(1);
        let plan = table.plan(6_000_000 + accepted, &LIMITS, later);
        assert!(!plan.refused.is_empty(), "{accepted}: {plan:?}");
        assert!(!plan.resumed.is_empty(), "{accepted}: {plan:?}");
    }
}
