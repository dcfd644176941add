//! The membership of single VMs, step by step.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fleet::{identity, list_entry, vm_name};
use crate::ids::BootId;
use crate::peer::{
    FORGET_AFTER, HEARTBEAT_INTERVAL, Heartbeat, HeartbeatVerdict, LivenessUpdate, MemberEvent,
    MemberState, MemberStatus, MembershipState,
};
use crate::store::VmState;

const SEED: u64 = 20_261_203;

/// One VM that watches `vm-001`.
struct WatchBench {
    membership: MembershipState,
    rng: SmallRng,
    now: Instant,
}

impl WatchBench {
    fn new() -> Self {
        let mut bench = WatchBench {
            membership: MembershipState::new(identity(0, 1)),
            rng: SmallRng::seed_from_u64(SEED),
            now: Instant::now(),
        };
        bench.list(VmState::Live);
        bench
    }

    fn list(&mut self, state: VmState) {
        let entries = [list_entry(0, VmState::Live), list_entry(1, state)];
        self.membership.apply_list(self.now, &entries);
    }

    fn tick(&mut self) {
        self.now += HEARTBEAT_INTERVAL;
        self.membership.tick(self.now, &mut self.rng);
    }

    fn answer(&mut self, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let asked = vm_name(1);
        self.membership
            .handle_heartbeat_reply(self.now, &asked, heartbeat)
    }

    fn members(&self) -> Vec<MemberStatus> {
        self.membership.members(self.now)
    }

    fn state(&self) -> Option<MemberState> {
        self.members().first().map(|member| member.state)
    }
}

fn heartbeat(boot: BootId, incarnation: u64) -> Heartbeat {
    Heartbeat {
        vm: vm_name(1),
        boot,
        incarnation,
        revision: 3,
        draining: false,
        endpoint: None,
        updates: Vec::new(),
    }
}

fn update(boot: BootId, incarnation: u64, dead: bool) -> LivenessUpdate {
    LivenessUpdate {
        vm: vm_name(1),
        boot,
        incarnation,
        dead,
        draining: false,
        endpoint: None,
    }
}

/// A heartbeat of a third VM that carries news of `vm-001`.
fn gossip(item: LivenessUpdate) -> Heartbeat {
    Heartbeat {
        vm: vm_name(2),
        boot: 22,
        incarnation: 1,
        revision: 3,
        draining: false,
        endpoint: Some(identity(2, 22).endpoint),
        updates: vec![item],
    }
}

#[test]
fn silence_leads_to_suspicion_and_death_in_bounded_time() {
    struct Case {
        ticks: u32,
        expected: MemberState,
    }
    let cases = [
        Case {
            ticks: 2,
            expected: MemberState::Live,
        },
        Case {
            ticks: 3,
            expected: MemberState::Suspect,
        },
        Case {
            ticks: 4,
            expected: MemberState::Dead,
        },
    ];
    for case in cases {
        let mut bench = WatchBench::new();
        (0..case.ticks).for_each(|_| bench.tick());
        assert_eq!(bench.state(), Some(case.expected), "{} ticks", case.ticks);
    }
    assert!(HEARTBEAT_INTERVAL * 4 < Duration::from_millis(1_500));
}

#[test]
fn death_ends_the_boot_once_and_an_answer_brings_the_vm_back() {
    let mut bench = WatchBench::new();
    bench.tick();
    bench.answer(&heartbeat(7, 1));
    (0..6).for_each(|_| bench.tick());
    let died = MemberEvent::Died(vm_name(1));
    let ended = MemberEvent::BootEnded(vm_name(1), 7);
    assert_eq!(bench.membership.take_events(), [died, ended]);
    assert_eq!(bench.membership.broker_for(&"p".into()), Some(vm_name(0)));
    bench.answer(&heartbeat(7, 1));
    assert_eq!(bench.state(), Some(MemberState::Live));
    let returned = MemberEvent::Returned(vm_name(1));
    assert_eq!(bench.membership.take_events(), [returned]);
}

#[test]
fn a_pause_of_this_vm_kills_no_other() {
    let mut bench = WatchBench::new();
    bench.tick();
    bench.now += Duration::from_secs(30);
    bench.tick();
    assert_eq!(bench.state(), Some(MemberState::Live));
    bench.answer(&heartbeat(7, 1));
    bench.tick();
    assert_eq!(bench.state(), Some(MemberState::Live));
}

#[test]
fn a_new_boot_replaces_the_old_one_for_good() {
    let mut bench = WatchBench::new();
    bench.answer(&heartbeat(7, 4));
    assert_eq!(bench.answer(&heartbeat(8, 1)), HeartbeatVerdict::Accepted);
    let ended = MemberEvent::BootEnded(vm_name(1), 7);
    assert_eq!(bench.membership.take_events(), [ended]);
    assert_eq!(bench.answer(&heartbeat(7, 4)), HeartbeatVerdict::FormerBoot);
    assert_eq!(bench.members()[0].boot, Some(8));
}

#[test]
fn a_restarted_vm_learns_to_go_above_its_former_incarnation() {
    let mut bench = WatchBench::new();
    bench.answer(&heartbeat(7, 4));
    let mut restarted = MembershipState::new(identity(1, 8));
    restarted.apply_list(bench.now, &[list_entry(0, VmState::Live)]);
    let question = restarted.question(&vm_name(0), 0);
    bench.membership.observe_question(bench.now, &question);
    let answer = bench.membership.answer(&question, 0);
    restarted.handle_heartbeat_reply(bench.now, &vm_name(0), &answer);
    assert_eq!(restarted.question(&vm_name(0), 0).incarnation, 5);
}

#[test]
fn a_boot_that_was_retired_wrongly_contradicts_and_is_heard() {
    let mut bench = WatchBench::new();
    bench.answer(&heartbeat(8, 2));
    bench.answer(&heartbeat(7, 4));
    let mut alive = MembershipState::new(identity(1, 8));
    alive.apply_list(bench.now, &[list_entry(0, VmState::Live)]);
    for expected in [HeartbeatVerdict::FormerBoot, HeartbeatVerdict::Accepted] {
        let question = alive.question(&vm_name(0), 0);
        let verdict = bench.membership.observe_question(bench.now, &question);
        assert_eq!(verdict, expected);
        let answer = bench.membership.answer(&question, 0);
        alive.handle_heartbeat_reply(bench.now, &vm_name(0), &answer);
    }
    assert_eq!(bench.members()[0].boot, Some(8));
}

#[test]
fn the_newest_incarnation_wins() {
    struct Case {
        name: &'static str,
        held: Heartbeat,
        silent_for: Duration,
        update: LivenessUpdate,
        expected: MemberState,
        boot: BootId,
    }
    let long = Duration::from_secs(5);
    let cases = [
        Case {
            name: "death of the held incarnation",
            held: heartbeat(7, 2),
            silent_for: long,
            update: update(7, 2, true),
            expected: MemberState::Dead,
            boot: 7,
        },
        Case {
            name: "death of an older incarnation",
            held: heartbeat(7, 2),
            silent_for: long,
            update: update(7, 1, true),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "death against a fresh answer",
            held: heartbeat(7, 2),
            silent_for: Duration::from_millis(100),
            update: update(7, 2, true),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "another boot against a fresh answer",
            held: heartbeat(7, 2),
            silent_for: Duration::from_millis(100),
            update: update(6, 9, false),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "a later boot",
            held: heartbeat(7, 2),
            silent_for: long,
            update: update(8, 3, false),
            expected: MemberState::Live,
            boot: 8,
        },
    ];
    for case in cases {
        let mut bench = WatchBench::new();
        bench.answer(&case.held);
        bench.now += case.silent_for;
        let gossip = gossip(case.update);
        bench.membership.observe_question(bench.now, &gossip);
        let member = bench.members().swap_remove(0);
        assert_eq!(member.state, case.expected, "{}", case.name);
        assert_eq!(member.boot, Some(case.boot), "{}", case.name);
    }
}

#[test]
fn leaving_comes_from_the_list_and_from_the_vm() {
    let mut by_list = WatchBench::new();
    by_list.list(VmState::Leaving);
    let mut by_heartbeat = WatchBench::new();
    by_heartbeat.answer(&Heartbeat {
        draining: true,
        ..heartbeat(7, 2)
    });
    let mut by_news = WatchBench::new();
    let mut item = update(7, 2, false);
    item.draining = true;
    by_news
        .membership
        .observe_question(by_news.now, &gossip(item));
    for bench in [by_list, by_heartbeat] {
        assert_eq!(bench.state(), Some(MemberState::Leaving));
        for pool in 0..50 {
            let broker = bench.membership.broker_for(&format!("pool-{pool}"));
            assert_eq!(broker, Some(vm_name(0)));
        }
    }
    assert_eq!(by_news.state(), Some(MemberState::Leaving));
}

#[test]
fn a_leaving_vm_is_no_broker_itself() {
    let mut bench = WatchBench::new();
    bench.membership.set_draining();
    assert_eq!(bench.membership.broker_for(&"p".into()), Some(vm_name(1)));
    assert!(bench.membership.question(&vm_name(1), 0).draining);
    bench.list(VmState::Leaving);
    assert_eq!(bench.membership.broker_for(&"p".into()), None);
}

#[test]
fn a_vm_that_answers_is_live_even_if_the_list_lags() {
    let mut bench = WatchBench::new();
    bench
        .membership
        .observe_question(bench.now, &gossip(update(7, 1, false)));
    let members = bench.members();
    let joined = &members[1];
    assert_eq!(
        (joined.state, joined.listed),
        (MemberState::Live, false),
        "it is not on the list yet"
    );
    bench.membership.apply_list(bench.now, &[]);
    for _ in 0..40 {
        bench.tick();
        bench.answer(&heartbeat(7, 1));
    }
    assert_eq!(bench.state(), Some(MemberState::Live));
}

#[test]
fn a_silent_vm_that_the_list_dropped_is_forgotten() {
    let mut bench = WatchBench::new();
    bench.answer(&heartbeat(7, 1));
    bench.membership.apply_list(bench.now, &[]);
    (0..10).for_each(|_| bench.tick());
    assert_eq!(bench.state(), Some(MemberState::Dead));
    bench.now += FORGET_AFTER;
    bench.tick();
    assert_eq!(bench.state(), None);
}

#[test]
fn answers_of_others_are_dropped() {
    let mut bench = WatchBench::new();
    let wrong = gossip(update(7, 1, false));
    assert_eq!(bench.answer(&wrong), HeartbeatVerdict::WrongVm);
    let own = Heartbeat {
        vm: vm_name(0),
        ..heartbeat(9, 1)
    };
    let verdict = bench.membership.observe_question(bench.now, &own);
    assert_eq!(verdict, HeartbeatVerdict::OwnName);
    let homeless = Heartbeat {
        endpoint: None,
        ..gossip(update(7, 1, false))
    };
    let verdict = bench.membership.observe_question(bench.now, &homeless);
    assert_eq!(verdict, HeartbeatVerdict::Unknown);
}

#[test]
fn all_peers_are_heard_when_each_answered_or_died() {
    let mut bench = WatchBench::new();
    assert!(!bench.membership.all_peers_contacted());
    bench.answer(&heartbeat(7, 1));
    assert!(bench.membership.all_peers_contacted());
    let mut silent = WatchBench::new();
    (0..4).for_each(|_| silent.tick());
    assert!(silent.membership.all_peers_contacted());
    assert!(!MembershipState::new(identity(0, 1)).all_peers_contacted());
}

/// Any order of heartbeats, news and rounds leaves the state consistent.
#[test]
fn any_order_of_messages_keeps_a_retired_boot_out() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut bench = WatchBench::new();
        bench.answer(&heartbeat(1, 1));
        bench.answer(&heartbeat(2, 9));
        for (kind, boot, incarnation) in steps {
            let (boot, incarnation) = (u64::from(boot % 4) + 1, u64::from(incarnation % 9));
            match kind % 4 {
                0 => bench.tick(),
                1 => drop(bench.answer(&heartbeat(boot.max(2), incarnation))),
                2 => {
                    let item = update(boot, incarnation, kind > 127);
                    bench.membership.observe_question(bench.now, &gossip(item));
                }
                _ => drop(bench.answer(&heartbeat(1, incarnation))),
            }
            if bench.members()[0].boot == Some(1) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn status_tells_the_time_since_a_vm_was_heard() {
    struct Case {
        name: &'static str,
        is_heard: bool,
        rounds: u32,
        heard_ago: Option<Duration>,
    }
    let cases = [
        Case {
            name: "never heard",
            is_heard: false,
            rounds: 2,
            heard_ago: None,
        },
        Case {
            name: "heard now",
            is_heard: true,
            rounds: 0,
            heard_ago: Some(Duration::ZERO),
        },
        Case {
            name: "silent for two rounds",
            is_heard: true,
            rounds: 2,
            heard_ago: Some(2 * HEARTBEAT_INTERVAL),
        },
    ];
    for case in cases {
        let mut bench = WatchBench::new();
        if case.is_heard {
            bench.answer(&heartbeat(7, 1));
        }
        (0..case.rounds).for_each(|_| bench.tick());
        assert_eq!(
            bench.members()[0].heard_ago,
            case.heard_ago,
            "{}",
            case.name
        );
        let member = bench.membership.member(bench.now, &vm_name(1));
        assert_eq!(member, bench.members().pop(), "{}", case.name);
    }
}
