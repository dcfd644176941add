//! What one table does with each kind of event.
//!
//! The fleets of `lease_model` show the promises as a whole; here stand the cases
//! that are rare there, or that no call to the platform's API shows.

use std::time::Duration;

use dewduty::lease::{
    ChangeKind, ChangeReason, DutySubject, HolderRecord, LeaseAction, LeaseEvent, LeasePolicy,
    LeaseTable, TokenRecord,
};

const OWN: &str = "vm-1";
const OTHER: &str = "vm-2";
const LEASE: u64 = 5;
const ERA: u64 = 2;

/// The first token of the era.
const TOKEN: u64 = ERA << 32;

/// When the era wait of a table is over whose first response came at 1 s.
const WAITED: u64 = 7_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usage() -> DutySubject {
    DutySubject::Usage
}

/// What happens at a time in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    Event(u64, LeaseEvent),
    /// The table is asked for actions until then, every 200 ms.
    Polls(u64, u64),
    /// A call to the API begins.
    Call(u64),
    EndCall,
    Unwant(u64),
}

use Step::{Call, EndCall, Event, Polls, Unwant};

/// Runs steps; returns the actions with the times at which they were due.
fn run(table: &mut LeaseTable, steps: &[Step]) -> Vec<(u64, LeaseAction)> {
    let mut actions = Vec::new();
    for step in steps {
        match step.clone() {
            Event(at, event) => table.apply(event, ms(at)),
            Polls(from, to) => {
                for at in (from..=to).step_by(200) {
                    actions.extend(table.poll(ms(at)).into_iter().map(|action| (at, action)));
                }
            }
            Call(at) => assert!(table.begin_call(&usage(), ms(at)).is_some(), "at {at}"),
            EndCall => table.end_call(&usage()),
            Unwant(at) => table.set_subjects([], ms(at)),
        }
    }
    actions
}

fn responded(at: u64, era: u64) -> Step {
    Event(at, LeaseEvent::Responded { era: Some(era) })
}

fn renewed(at: u64, sent: u64) -> Step {
    let (lease, sent) = (LEASE, ms(sent));
    Event(at, LeaseEvent::LeaseRenewed { lease, sent })
}

fn acquired(at: u64, era: u64) -> Step {
    let event = LeaseEvent::Acquired {
        subject: usage(),
        token: TOKEN,
        era: Some(era),
        revision: 41,
    };
    Event(at, event)
}

fn holder_seen(at: u64, holder: Option<(&str, u64, u64)>, revision: u64) -> Step {
    let record = holder.map(|(vm, token, lease)| HolderRecord {
        vm: vm.to_string(),
        token,
        lease,
        revision,
    });
    let subject = usage();
    let event = LeaseEvent::HolderSeen {
        subject,
        record,
        revision,
    };
    Event(at, event)
}

fn acquire(token: u64, token_revision: u64) -> LeaseAction {
    LeaseAction::Acquire {
        subject: usage(),
        token,
        lease: LEASE,
        token_revision,
        era: Some(ERA),
    }
}

fn release(revision: u64) -> LeaseAction {
    let subject = usage();
    LeaseAction::Release { subject, revision }
}

/// Returns a table that has read the store at 1 s and wants to report usage.
fn listed_table() -> LeaseTable {
    let mut table = LeaseTable::new(LeasePolicy::new(OWN.to_string(), ms(3_000)));
    table.set_subjects([usage()], ms(1_000));
    let listed = Event(1_000, LeaseEvent::Listed { revision: 40 });
    run(&mut table, &[responded(1_000, ERA), listed]);
    table
}

/// Returns a table that has asked for its acquisition.
fn asking_table() -> LeaseTable {
    let mut table = listed_table();
    let sent = ms(WAITED);
    let opened = LeaseEvent::LeaseOpened { lease: LEASE, sent };
    let steps = [
        Polls(WAITED, WAITED),
        Event(WAITED, opened),
        Polls(WAITED, WAITED),
    ];
    let ttl = ms(6_000);
    let expected = [
        (WAITED, LeaseAction::OpenLease { ttl }),
        (WAITED, acquire(TOKEN, 0)),
    ];
    assert_eq!(run(&mut table, &steps), expected);
    table
}

struct AuthorityCase {
    what: &'static str,
    steps: Vec<Step>,
    at: u64,
    holds: bool,
}

/// Guards against calls to the API without the right to make them.
#[test]
fn authority_ends_in_time_and_is_asked_for_after_a_freeze() {
    let held = || acquired(7_010, ERA);
    let cases = [
        AuthorityCase {
            what: "the acquisition succeeded",
            steps: vec![held()],
            at: 7_010,
            holds: true,
        },
        AuthorityCase {
            what: "the response is of another era than the token",
            steps: vec![acquired(7_010, ERA + 1)],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "the store came back before the response",
            steps: vec![responded(7_005, ERA + 1), held()],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "a late response of an earlier era",
            steps: vec![responded(7_005, ERA - 1), held()],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "the lease ended meanwhile",
            steps: vec![
                Event(7_005, LeaseEvent::LeaseExpired { lease: LEASE }),
                held(),
            ],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "a lost response whose key is found",
            steps: vec![holder_seen(7_010, Some((OWN, TOKEN, LEASE)), 41)],
            at: 7_010,
            holds: true,
        },
        AuthorityCase {
            what: "the key of an earlier process on this VM",
            steps: vec![holder_seen(7_010, Some((OWN, TOKEN, LEASE - 1)), 41)],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "the key of a VM whose lease had this id in another era",
            steps: vec![holder_seen(7_010, Some((OTHER, TOKEN, LEASE)), 41)],
            at: 7_010,
            holds: false,
        },
        AuthorityCase {
            what: "an old event is repeated",
            steps: vec![held(), holder_seen(7_020, None, 40)],
            at: 7_020,
            holds: true,
        },
        AuthorityCase {
            what: "the key was removed",
            steps: vec![held(), holder_seen(7_020, None, 42)],
            at: 7_020,
            holds: false,
        },
        AuthorityCase {
            what: "a call can end before the lease does",
            steps: vec![held(), Polls(7_200, 11_900)],
            at: 11_960,
            holds: true,
        },
        AuthorityCase {
            what: "a call can't end before the lease does",
            steps: vec![held(), Polls(7_200, 11_900)],
            at: 11_971,
            holds: false,
        },
        AuthorityCase {
            what: "no call for a while: the process was frozen",
            steps: vec![held()],
            at: 7_600,
            holds: false,
        },
        AuthorityCase {
            what: "thawed, and a response of before the freeze is read",
            steps: vec![held(), Polls(8_600, 8_600), renewed(8_600, 7_050)],
            at: 8_600,
            holds: false,
        },
        AuthorityCase {
            what: "thawed and renewed",
            steps: vec![held(), Polls(8_600, 8_600), renewed(8_620, 8_610)],
            at: 8_620,
            holds: true,
        },
        AuthorityCase {
            what: "a planned stop",
            steps: vec![held(), Event(7_020, LeaseEvent::Stopping)],
            at: 7_020,
            holds: false,
        },
    ];
    for case in cases {
        let mut table = asking_table();
        run(&mut table, &case.steps);
        let authority = table.authority(&usage(), ms(case.at));
        assert_eq!(authority.is_some(), case.holds, "{}", case.what);
        assert!(authority.is_none_or(|authority| authority.token == TOKEN));
    }
}

struct ActionCase {
    what: &'static str,
    steps: Vec<Step>,
    expected: Vec<(u64, LeaseAction)>,
}

/// Guards against duties that aren't handed over, and against transactions that a
/// store which came back from a copy could take for others.
#[test]
fn keys_are_written_and_removed_when_it_is_due() {
    let held = || acquired(7_010, ERA);
    let renew = LeaseAction::RenewLease { lease: LEASE };
    let end = LeaseAction::EndLease { lease: LEASE };
    let subject = usage;
    let failed = |at| Event(at, LeaseEvent::ApiFailed { subject: subject() });
    let cases = [
        ActionCase {
            what: "a stop waits for the call, releases, and ends the lease",
            steps: vec![
                held(),
                Call(7_020),
                Event(7_030, LeaseEvent::Stopping),
                Polls(7_040, 7_240),
                EndCall,
                Polls(7_300, 7_300),
                Event(7_310, LeaseEvent::Released { subject: subject() }),
                Polls(7_320, 7_320),
            ],
            expected: vec![(7_300, release(41)), (7_320, end)],
        },
        ActionCase {
            what: "nothing is acquired again within a TTL of the loss",
            steps: vec![
                held(),
                holder_seen(7_020, None, 42),
                Polls(7_100, 8_900),
                renewed(8_900, 8_900),
                Polls(9_100, 10_700),
                renewed(10_700, 10_700),
                Polls(10_900, 12_500),
                renewed(12_500, 12_500),
                Polls(12_700, 13_100),
            ],
            expected: vec![(13_100, acquire(TOKEN + 1, 41))],
        },
        ActionCase {
            what: "a lease that wasn't confirmed recently is renewed before a release",
            steps: vec![
                held(),
                Polls(7_200, 8_600),
                Unwant(8_610),
                Polls(8_620, 8_820),
                renewed(8_900, 8_620),
                Polls(8_910, 8_910),
            ],
            expected: vec![(8_620, renew.clone()), (8_910, release(41))],
        },
        ActionCase {
            what: "a lost acquisition that lands when it isn't wanted any more",
            steps: vec![
                Event(7_010, LeaseEvent::AcquireFailed { subject: subject() }),
                Unwant(7_020),
                holder_seen(7_030, Some((OWN, TOKEN, LEASE)), 41),
                Polls(7_040, 7_040),
            ],
            expected: vec![(7_040, release(41))],
        },
        ActionCase {
            what: "a failed acquisition is repeated with the token that was seen",
            steps: vec![
                Event(
                    7_010,
                    LeaseEvent::TokenSeen {
                        subject: subject(),
                        record: Some(TokenRecord {
                            token: TOKEN + 7,
                            revision: 44,
                        }),
                        revision: 45,
                    },
                ),
                Event(7_010, LeaseEvent::AcquireFailed { subject: subject() }),
                Polls(7_020, 7_620),
            ],
            expected: vec![(7_620, acquire(TOKEN + 8, 44))],
        },
        ActionCase {
            what: "the API doesn't respond for 4 s",
            steps: vec![
                held(),
                Call(7_020),
                EndCall,
                failed(8_020),
                failed(10_000),
                Polls(10_100, 10_100),
                renewed(10_110, 10_100),
                Polls(10_300, 10_900),
                failed(11_020),
                Polls(11_030, 11_030),
            ],
            expected: vec![(10_100, renew), (11_030, release(41))],
        },
    ];
    for case in cases {
        let mut table = asking_table();
        assert_eq!(run(&mut table, &case.steps), case.expected, "{}", case.what);
    }
}

/// Guards against a stop that never ends, and against changes without a log line.
#[test]
fn a_stop_ends_and_names_its_changes() {
    let mut table = asking_table();
    let released = LeaseEvent::Released { subject: usage() };
    let stop = [
        acquired(7_010, ERA),
        Event(7_020, LeaseEvent::Stopping),
        Polls(7_030, 7_030),
    ];
    run(&mut table, &stop);
    assert!(!table.is_idle());
    run(&mut table, &[Event(7_040, released), Polls(7_050, 7_050)]);
    assert!(table.is_idle());
    let changes = table.take_changes();
    let kinds = changes
        .iter()
        .map(|change| (change.kind, change.reason, change.token));
    let expected = [
        (ChangeKind::Acquired, ChangeReason::Committed, TOKEN),
        (ChangeKind::Released, ChangeReason::Stopping, TOKEN),
    ];
    assert_eq!(kinds.collect::<Vec<_>>(), expected);
}

/// Guards against a subject without a holder after a store came back with a holder
/// key whose lease is gone, and against its removal while its holder may act.
#[test]
fn a_holder_key_of_an_earlier_era_is_removed_after_the_wait() {
    let mut table = listed_table();
    let outdated = holder_seen(1_000, Some((OTHER, TOKEN - 1, 3)), 41);
    let ttl = ms(6_000);
    let waiting = run(&mut table, &[outdated, Polls(1_000, WAITED)]);
    assert_eq!(waiting, [(WAITED, LeaseAction::OpenLease { ttl })]);
    let sent = ms(WAITED);
    let opened = LeaseEvent::LeaseOpened { lease: LEASE, sent };
    let actions = run(&mut table, &[Event(WAITED, opened), Polls(WAITED, WAITED)]);
    assert_eq!(actions, [(WAITED, release(41))]);
}

/// Guards against duties that all fall to one VM, and against VMs that know the same
/// fleet and order it differently.
#[test]
fn subjects_are_spread_over_the_vms() {
    let vms = (0..8)
        .map(|number| format!("vm-{number}"))
        .collect::<Vec<_>>();
    let mut counts = [0; 8];
    let mut forward = listed_table();
    let mut backward = listed_table();
    forward.apply(LeaseEvent::VmsChanged(vms.clone()), ms(1_000));
    let reversed = vms.iter().rev().cloned().collect();
    backward.apply(LeaseEvent::VmsChanged(reversed), ms(1_000));
    for number in 0..160 {
        let subject = format!("scale/service-{number}/cph-a");
        let subject = subject.parse::<DutySubject>().expect("it is a subject");
        let first = forward.candidates(&subject, 3);
        assert_eq!(first, backward.candidates(&subject, 3));
        assert_eq!(first, backward.candidates(&subject, 9)[..3]);
        counts[vms
            .iter()
            .position(|vm| vm == first[0])
            .expect("it is known")] += 1;
    }
    // 160 subjects on 8 VMs are 20 each, with a standard deviation of 4.2.
    assert!(
        counts.iter().all(|count| (5..=40).contains(count)),
        "{counts:?}"
    );
}
