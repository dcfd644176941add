//! What a lift of an operator changes at a VM, in whichever order news arrive.

use std::time::Duration;

use dewguard::{
    CrashCause, CrashLedger, CrashReport, CrashSuspect, LIFT_TIME, LiftEntry, is_after_lift,
};
use quickcheck::{QuickCheck, TestResult};

/// The cause whose block is lifted.
const CAUSE: CrashCause = CrashCause::Part(7);

/// A part of requests that ran beside those with the cause.
const NEIGHBOUR: u64 = 1;

/// Unix time of the lift, in ms.
const LIFTED_MS: u64 = 1_000_000_000;

/// Seconds from the start of a test at which the lift is read.
const READ_S: u64 = 100;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(20 + seconds)
}

fn lift(lifted_ms: u64, revision: u64) -> LiftEntry {
    LiftEntry {
        lifted_ms,
        revision,
        age: Duration::ZERO,
    }
}

/// A VM that applies news as `dewnode` does. News are words:
///
/// - `c10`: a server crashed in second 10 while it ran a request with the cause.
/// - `s10`: the same, and the server ran a neighbour beside it.
/// - `n10`: a server crashed while it ran only a neighbour.
/// - `a10`: another VM announces the block, with this last crash.
/// - `e10`: the store has an entry of the block, with this last crash.
/// - `l110:3000:9`: the store has a lift, read in second 110, from 3,000 ms after
///   [`LIFTED_MS`], with revision 9.
/// - `r9`: the lift was removed from the store, as of revision 9.
/// - `era`: the store has returned from an older copy.
#[derive(Default)]
struct LiftedVm {
    ledger: CrashLedger,
    stored_ms: Option<u64>,
}

impl LiftedVm {
    fn learn(&mut self, news: &str) {
        news.split(' ').for_each(|word| self.learn_word(word));
    }

    fn learn_word(&mut self, word: &str) {
        if word == "era" {
            self.ledger.lifts_mut().forget_revisions();
            self.stored_ms = None;
            return;
        }
        let numbers = word[1..]
            .split(':')
            .map(|text| text.parse().expect("a number"));
        let numbers: Vec<i64> = numbers.collect();
        let first = numbers[0] as u64;
        let last_crash_ms = LIFTED_MS + first * 1000 - READ_S * 1000;
        let lifts = self.ledger.lifts();
        match word.as_bytes()[0] {
            b'c' => self.crash(first, &[7]),
            b's' => self.crash(first, &[7, NEIGHBOUR]),
            b'n' => self.crash(first, &[NEIGHBOUR]),
            b'a' if lifts.accepts_notice(CAUSE, at(READ_S)) => {
                self.ledger.adopt_block(CAUSE, at(first));
            }
            b'e' => {
                self.stored_ms = Some(last_crash_ms);
                if lifts.accepts_entry(CAUSE, last_crash_ms) {
                    self.ledger.adopt_block(CAUSE, at(first));
                }
            }
            b'l' => {
                let lifted_ms = LIFTED_MS.saturating_add_signed(numbers[1]);
                let (entry, stored) = (lift(lifted_ms, numbers[2] as u64), self.stored_ms);
                self.ledger.read_lift(CAUSE, entry, stored, at(first));
            }
            b'r' => self.ledger.lifts_mut().forget_entry(CAUSE, first),
            _ => {}
        }
    }

    /// Records a crash of a server that ran one request with each of these parts.
    fn crash(&mut self, second: u64, parts: &[u64]) {
        let suspect = |part: &u64| CrashSuspect {
            request: second * 100 + part,
            sent: at(second) - Duration::from_millis(200),
            parts: vec![*part],
        };
        self.ledger.record_crash(CrashReport {
            server: second,
            at: at(second),
            suspects: parts.iter().map(suspect).collect(),
        });
    }

    fn blocks(&self) -> Vec<CrashCause> {
        self.ledger.blocks().map(|(cause, _)| cause).collect()
    }
}

/// What happens, the news, and whether the cause is blocked after them.
struct LiftCase(&'static str, &'static str, bool);

/// Guards against a block that comes back after its lift, a lift that exempts its
/// cause, and neighbours that are blocked because of a lift.
#[test]
fn only_crashes_after_the_lift_block_its_cause_again() {
    let cases = [
        LiftCase("no lift", "c10 c20 c30", true),
        LiftCase("a lift", "c10 c20 c30 l100:0:5", false),
        LiftCase("announced again", "c10 c20 c30 l100:0:5 a30 a99", false),
        LiftCase(
            "read late after a freeze",
            "c10 c20 c30 l100:0:5 a101",
            false,
        ),
        LiftCase("old crashes, late", "l100:0:5 c10 c20 c30 c99", false),
        LiftCase("two new crashes", "c10 c20 c30 l100:0:5 c110 c120", false),
        LiftCase("three", "c10 c20 c30 l100:0:5 c110 c120 c130", true),
        LiftCase("neighbours", "c10 s20 s30 l100:0:5 n110 n120", false),
        LiftCase("entry of a clock ahead", "c10 c20 c30 l100:0:5 e108", false),
        LiftCase("an old entry, then its lift", "e30 l100:0:5", false),
        LiftCase("a new entry, then the lift", "e120 l100:0:5", true),
        LiftCase("the other order", "l100:0:5 e120", true),
        LiftCase("listed again", "l100:0:5 c110 c120 l125:0:5 c130", true),
        LiftCase(
            "two, by clocks that differ",
            "l100:0:5 c110 c120 l125:-3000:9 c130",
            false,
        ),
        LiftCase(
            "first of two, late",
            "l100:3000:9 c110 c120 l125:0:5 c130",
            true,
        ),
        LiftCase(
            "first of two, in a copy",
            "l100:3000:9 c110 c120 era l125:0:5 c130",
            true,
        ),
        LiftCase(
            "lost with a copy",
            "c10 c20 c30 l100:0:5 era e30 a30",
            false,
        ),
        LiftCase(
            "removed from the store",
            "c10 c20 c30 l100:0:5 r7 a30 e30",
            false,
        ),
        LiftCase(
            "a copy, and a new block",
            "l100:0:5 c110 c120 c130 era l140:0:5",
            true,
        ),
    ];
    for LiftCase(what, news, is_blocked) in cases {
        let mut vm = LiftedVm::default();
        vm.learn(news);
        let expected = if is_blocked { vec![CAUSE] } else { vec![] };
        assert_eq!(vm.blocks(), expected, "{what}");
    }
}

/// Guards against an order of old news in which the block survives its lift.
#[test]
fn no_order_of_old_news_leaves_the_block_in_force() {
    let property = |order: Vec<u8>| {
        let news = ["c10", "c20", "c30", "a30", "e30", "l100:0:5", "s40"];
        let mut vm = LiftedVm::default();
        for index in &order {
            vm.learn(news[usize::from(*index) % news.len()]);
        }
        vm.learn("l100:0:5 a30 e30");
        TestResult::from_bool(!vm.blocks().contains(&CAUSE))
    };
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> TestResult);
}

/// Guards against a new block that VMs which join take for the one that was lifted,
/// because the clock of the VM that writes it is behind.
#[test]
fn the_entry_of_a_new_block_is_recognized_whatever_the_clock_says() {
    let mut vm = LiftedVm::default();
    vm.learn("l100:0:5");
    for clock_error_ms in [0, 5_000, 3_600_000] {
        let last_crash_ms = LIFTED_MS + 2_000 - clock_error_ms;
        let stated = vm.ledger.lifts().entry_time(CAUSE, last_crash_ms);
        assert!(is_after_lift(stated, LIFTED_MS));
        assert!(vm.ledger.lifts().accepts_entry(CAUSE, stated));
    }
    let later = LIFTED_MS + 60_000;
    assert_eq!(vm.ledger.lifts().entry_time(CAUSE, later), later);
    let other = CrashCause::Request(7);
    assert_eq!(vm.ledger.lifts().entry_time(other, 5), 5);
}

/// Guards against a lift that stays in the store, is removed by all VMs at once, or
/// is removed although a newer one has replaced it.
#[test]
fn a_lift_is_removed_in_turns_while_it_is_unchanged() {
    let mut vm = LiftedVm::default();
    vm.learn("l100:0:5");
    let removable = |vm: &LiftedVm, now: Duration, turn_s: u64| {
        let lifts = vm.ledger.lifts();
        lifts.removable(now, |_| Duration::from_secs(turn_s))
    };
    let end = at(READ_S) + LIFT_TIME;
    let second = Duration::from_secs(1);
    assert_eq!(removable(&vm, end - second, 0), vec![]);
    assert_eq!(removable(&vm, end, 0), vec![(CAUSE, 5)]);
    assert_eq!(removable(&vm, end, 1), vec![]);
    assert_eq!(removable(&vm, end + second, 1), vec![(CAUSE, 5)]);
    vm.learn("l160:5:8");
    assert_eq!(removable(&vm, end + second, 0), vec![], "lifted again");
    let end = end + Duration::from_secs(60);
    assert_eq!(removable(&vm, end, 0), vec![(CAUSE, 8)]);
    // The lift is known until the store has removed it.
    vm.ledger.expire(end);
    vm.learn("r9");
    assert_eq!(removable(&vm, end, 0), vec![]);
    vm.ledger.expire(end);
    assert!(vm.ledger.lifts().is_empty());
}

/// Guards against a lift that is forgotten early when the store loses it, and one
/// that a VM which starts keeps for longer than the others.
#[test]
fn a_lift_lasts_15_minutes() {
    for age in [Duration::ZERO, LIFT_TIME / 3, LIFT_TIME * 2] {
        let entry = LiftEntry {
            age,
            ..lift(LIFTED_MS, 5)
        };
        let mut ledger = CrashLedger::default();
        ledger.read_lift(CAUSE, entry, None, at(0));
        ledger.lifts_mut().forget_entry(CAUSE, 6);
        let end = at(0) + LIFT_TIME.saturating_sub(age);
        let almost = end - Duration::from_millis(1);
        ledger.expire(almost);
        assert!(!ledger.lifts().accepts_notice(CAUSE, almost));
        assert!(ledger.lifts().accepts_notice(CAUSE, end));
        ledger.expire(end);
        assert!(!ledger.is_active());
    }
}

/// Guards against blocks that can't be written any more, because the condition on
/// their lift names another revision than that of the store.
#[test]
fn the_condition_of_a_block_names_the_entry_of_the_store() {
    let mut vm = LiftedVm::default();
    let revision = |vm: &LiftedVm| vm.ledger.lifts().revision(CAUSE);
    assert_eq!(revision(&vm), 0);
    vm.ledger.lifts_mut().note_unreadable(CAUSE, 4);
    assert_eq!(revision(&vm), 4);
    vm.learn("l100:0:5");
    assert_eq!(revision(&vm), 5);
    vm.ledger.lifts_mut().note_unreadable(CAUSE, 6);
    assert_eq!(revision(&vm), 6);
    assert!(!vm.ledger.lifts().accepts_notice(CAUSE, at(READ_S)));
    // A watch repeats what a list has brought.
    vm.learn("l100:0:5");
    assert_eq!(revision(&vm), 6);
    vm.learn("r7");
    assert_eq!(revision(&vm), 0);
    vm.learn("l100:0:8");
    assert_eq!(revision(&vm), 8);
    vm.learn("era");
    assert_eq!(revision(&vm), 0);
    vm.learn("l100:0:3");
    assert_eq!(revision(&vm), 3);
}
