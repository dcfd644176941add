//! Membership of single VMs, step by step.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fleet::{identity, list_entry, vm_name};
use crate::ids::BootId;
use crate::peer::{
    HEARTBEAT_INTERVAL, Heartbeat, HeartbeatVerdict, LivenessUpdate, MemberEvent, MemberState,
    MemberStatus, MembershipState, UNLISTED_RETENTION,
};
use crate::store::VmState;

const SEED: u64 = 20_261_203;

/// Membership of `dewspring-000`, which observes `dewspring-001`.
struct MemberFixture {
    membership: MembershipState,
    rng: SmallRng,
    now: Instant,
}

impl MemberFixture {
    fn new() -> Self {
        let mut fixture = MemberFixture {
            membership: MembershipState::new(identity(0, 1)),
            rng: SmallRng::seed_from_u64(SEED),
            now: Instant::now(),
        };
        fixture.apply_list(VmState::Live);
        fixture
    }

    fn apply_list(&mut self, state: VmState) {
        let entries = [list_entry(0, VmState::Live), list_entry(1, state)];
        self.membership.apply_list(self.now, &entries);
    }

    fn tick(&mut self) {
        self.now += HEARTBEAT_INTERVAL;
        self.membership.tick(self.now, &mut self.rng);
    }

    fn receive_reply(&mut self, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let recipient = vm_name(1);
        self.membership
            .handle_heartbeat_reply(self.now, &recipient, heartbeat)
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

fn liveness_update(boot: BootId, incarnation: u64, dead: bool) -> LivenessUpdate {
    LivenessUpdate {
        vm: vm_name(1),
        boot,
        incarnation,
        dead,
        draining: false,
        endpoint: None,
    }
}

/// Returns a heartbeat of `dewspring-002` that carries an update about `dewspring-001`.
fn third_party_heartbeat(update: LivenessUpdate) -> Heartbeat {
    Heartbeat {
        vm: vm_name(2),
        boot: 22,
        incarnation: 1,
        revision: 3,
        draining: false,
        endpoint: Some(identity(2, 22).endpoint),
        updates: vec![update],
    }
}

#[test]
fn missed_replies_lead_to_suspicion_and_death_in_bounded_time() {
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
        let mut fixture = MemberFixture::new();
        (0..case.ticks).for_each(|_| fixture.tick());
        assert_eq!(fixture.state(), Some(case.expected), "{} ticks", case.ticks);
    }
    assert!(HEARTBEAT_INTERVAL * 4 < Duration::from_millis(1_500));
}

#[test]
fn death_ends_the_boot_once_and_a_reply_revives_the_vm() {
    let mut fixture = MemberFixture::new();
    fixture.tick();
    fixture.receive_reply(&heartbeat(7, 1));
    (0..6).for_each(|_| fixture.tick());
    let died = MemberEvent::Died(vm_name(1));
    let ended = MemberEvent::BootEnded(vm_name(1), 7);
    assert_eq!(fixture.membership.take_events(), [died, ended]);
    assert_eq!(fixture.membership.broker_for(&"p".into()), Some(vm_name(0)));
    fixture.receive_reply(&heartbeat(7, 1));
    assert_eq!(fixture.state(), Some(MemberState::Live));
    let recovered = MemberEvent::Recovered(vm_name(1));
    assert_eq!(fixture.membership.take_events(), [recovered]);
}

#[test]
fn a_pause_of_the_local_vm_makes_no_other_dead() {
    let mut fixture = MemberFixture::new();
    fixture.tick();
    fixture.now += Duration::from_secs(30);
    fixture.tick();
    assert_eq!(fixture.state(), Some(MemberState::Live));
    fixture.receive_reply(&heartbeat(7, 1));
    fixture.tick();
    assert_eq!(fixture.state(), Some(MemberState::Live));
}

#[test]
fn a_new_boot_replaces_the_old_one_for_good() {
    let mut fixture = MemberFixture::new();
    fixture.receive_reply(&heartbeat(7, 4));
    assert_eq!(
        fixture.receive_reply(&heartbeat(8, 1)),
        HeartbeatVerdict::Accepted
    );
    let ended = MemberEvent::BootEnded(vm_name(1), 7);
    assert_eq!(fixture.membership.take_events(), [ended]);
    assert_eq!(
        fixture.receive_reply(&heartbeat(7, 4)),
        HeartbeatVerdict::FormerBoot
    );
    assert_eq!(fixture.members()[0].boot, Some(8));
}

#[test]
fn a_restarted_vm_exceeds_the_incarnation_of_its_previous_boot() {
    let mut fixture = MemberFixture::new();
    fixture.receive_reply(&heartbeat(7, 4));
    let mut restarted = MembershipState::new(identity(1, 8));
    restarted.apply_list(fixture.now, &[list_entry(0, VmState::Live)]);
    let request = restarted.heartbeat_request(&vm_name(0), 0);
    fixture
        .membership
        .handle_heartbeat_request(fixture.now, &request);
    let reply = fixture.membership.heartbeat_reply(&request, 0);
    restarted.handle_heartbeat_reply(fixture.now, &vm_name(0), &reply);
    assert_eq!(restarted.heartbeat_request(&vm_name(0), 0).incarnation, 5);
}

#[test]
fn a_live_boot_that_was_wrongly_retired_refutes_it_and_is_accepted() {
    let mut fixture = MemberFixture::new();
    fixture.receive_reply(&heartbeat(8, 2));
    fixture.receive_reply(&heartbeat(7, 4));
    let mut alive = MembershipState::new(identity(1, 8));
    alive.apply_list(fixture.now, &[list_entry(0, VmState::Live)]);
    for expected in [HeartbeatVerdict::FormerBoot, HeartbeatVerdict::Accepted] {
        let request = alive.heartbeat_request(&vm_name(0), 0);
        let verdict = fixture
            .membership
            .handle_heartbeat_request(fixture.now, &request);
        assert_eq!(verdict, expected);
        let reply = fixture.membership.heartbeat_reply(&request, 0);
        alive.handle_heartbeat_reply(fixture.now, &vm_name(0), &reply);
    }
    assert_eq!(fixture.members()[0].boot, Some(8));
}

#[test]
fn the_newest_incarnation_wins() {
    struct Case {
        name: &'static str,
        known: Heartbeat,
        silent_for: Duration,
        update: LivenessUpdate,
        expected: MemberState,
        boot: BootId,
    }
    let long = Duration::from_secs(5);
    let cases = [
        Case {
            name: "death of the known incarnation",
            known: heartbeat(7, 2),
            silent_for: long,
            update: liveness_update(7, 2, true),
            expected: MemberState::Dead,
            boot: 7,
        },
        Case {
            name: "death of an older incarnation",
            known: heartbeat(7, 2),
            silent_for: long,
            update: liveness_update(7, 1, true),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "death against a fresh reply",
            known: heartbeat(7, 2),
            silent_for: Duration::from_millis(100),
            update: liveness_update(7, 2, true),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "another boot against a fresh reply",
            known: heartbeat(7, 2),
            silent_for: Duration::from_millis(100),
            update: liveness_update(6, 9, false),
            expected: MemberState::Live,
            boot: 7,
        },
        Case {
            name: "a later boot",
            known: heartbeat(7, 2),
            silent_for: long,
            update: liveness_update(8, 3, false),
            expected: MemberState::Live,
            boot: 8,
        },
    ];
    for case in cases {
        let mut fixture = MemberFixture::new();
        fixture.receive_reply(&case.known);
        fixture.now += case.silent_for;
        let heartbeat = third_party_heartbeat(case.update);
        fixture
            .membership
            .handle_heartbeat_request(fixture.now, &heartbeat);
        let member = fixture.members().swap_remove(0);
        assert_eq!(member.state, case.expected, "{}", case.name);
        assert_eq!(member.boot, Some(case.boot), "{}", case.name);
    }
}

#[test]
fn leaving_is_reported_by_the_list_the_vm_or_an_update() {
    let mut by_list = MemberFixture::new();
    by_list.apply_list(VmState::Leaving);
    let mut by_heartbeat = MemberFixture::new();
    by_heartbeat.receive_reply(&Heartbeat {
        draining: true,
        ..heartbeat(7, 2)
    });
    let mut by_update = MemberFixture::new();
    let mut update = liveness_update(7, 2, false);
    update.draining = true;
    by_update
        .membership
        .handle_heartbeat_request(by_update.now, &third_party_heartbeat(update));
    for fixture in [by_list, by_heartbeat] {
        assert_eq!(fixture.state(), Some(MemberState::Leaving));
        for pool in 0..50 {
            let broker = fixture.membership.broker_for(&format!("pool-{pool}"));
            assert_eq!(broker, Some(vm_name(0)));
        }
    }
    assert_eq!(by_update.state(), Some(MemberState::Leaving));
}

#[test]
fn a_leaving_vm_is_no_broker_itself() {
    let mut fixture = MemberFixture::new();
    fixture.membership.set_draining();
    assert_eq!(fixture.membership.broker_for(&"p".into()), Some(vm_name(1)));
    assert!(
        fixture
            .membership
            .heartbeat_request(&vm_name(1), 0)
            .draining
    );
    fixture.apply_list(VmState::Leaving);
    assert_eq!(fixture.membership.broker_for(&"p".into()), None);
}

#[test]
fn a_vm_that_replies_is_live_even_if_the_list_lags() {
    let mut fixture = MemberFixture::new();
    fixture.membership.handle_heartbeat_request(
        fixture.now,
        &third_party_heartbeat(liveness_update(7, 1, false)),
    );
    let members = fixture.members();
    let joined = &members[1];
    assert_eq!(
        (joined.state, joined.listed),
        (MemberState::Live, false),
        "it is not on the list yet"
    );
    fixture.membership.apply_list(fixture.now, &[]);
    for _ in 0..40 {
        fixture.tick();
        fixture.receive_reply(&heartbeat(7, 1));
    }
    assert_eq!(fixture.state(), Some(MemberState::Live));
}

#[test]
fn a_silent_unlisted_vm_is_forgotten() {
    let mut fixture = MemberFixture::new();
    fixture.receive_reply(&heartbeat(7, 1));
    fixture.membership.apply_list(fixture.now, &[]);
    (0..10).for_each(|_| fixture.tick());
    assert_eq!(fixture.state(), Some(MemberState::Dead));
    fixture.now += UNLISTED_RETENTION;
    fixture.tick();
    assert_eq!(fixture.state(), None);
}

#[test]
fn heartbeats_of_unexpected_senders_are_dropped() {
    let mut fixture = MemberFixture::new();
    let wrong = third_party_heartbeat(liveness_update(7, 1, false));
    assert_eq!(fixture.receive_reply(&wrong), HeartbeatVerdict::WrongVm);
    let own = Heartbeat {
        vm: vm_name(0),
        ..heartbeat(9, 1)
    };
    let verdict = fixture
        .membership
        .handle_heartbeat_request(fixture.now, &own);
    assert_eq!(verdict, HeartbeatVerdict::OwnName);
    let without_endpoint = Heartbeat {
        endpoint: None,
        ..third_party_heartbeat(liveness_update(7, 1, false))
    };
    let verdict = fixture
        .membership
        .handle_heartbeat_request(fixture.now, &without_endpoint);
    assert_eq!(verdict, HeartbeatVerdict::Unknown);
}

#[test]
fn all_peers_are_contacted_when_each_replied_or_died() {
    let mut fixture = MemberFixture::new();
    assert!(!fixture.membership.all_peers_contacted());
    fixture.receive_reply(&heartbeat(7, 1));
    assert!(fixture.membership.all_peers_contacted());
    let mut silent = MemberFixture::new();
    (0..4).for_each(|_| silent.tick());
    assert!(silent.membership.all_peers_contacted());
    assert!(!MembershipState::new(identity(0, 1)).all_peers_contacted());
}

/// No order of heartbeats, updates and rounds makes a replaced boot current again.
#[test]
fn any_order_of_messages_keeps_a_retired_boot_out() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut fixture = MemberFixture::new();
        fixture.receive_reply(&heartbeat(1, 1));
        fixture.receive_reply(&heartbeat(2, 9));
        for (kind, boot, incarnation) in steps {
            let (boot, incarnation) = (u64::from(boot % 4) + 1, u64::from(incarnation % 9));
            match kind % 4 {
                0 => fixture.tick(),
                1 => drop(fixture.receive_reply(&heartbeat(boot.max(2), incarnation))),
                2 => {
                    let update = liveness_update(boot, incarnation, kind > 127);
                    fixture
                        .membership
                        .handle_heartbeat_request(fixture.now, &third_party_heartbeat(update));
                }
                _ => drop(fixture.receive_reply(&heartbeat(1, incarnation))),
            }
            if fixture.members()[0].boot == Some(1) {
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
fn status_contains_the_time_since_the_last_heartbeat() {
    struct Case {
        name: &'static str,
        is_seen: bool,
        rounds: u32,
        last_seen_ago: Option<Duration>,
    }
    let cases = [
        Case {
            name: "never seen",
            is_seen: false,
            rounds: 2,
            last_seen_ago: None,
        },
        Case {
            name: "seen now",
            is_seen: true,
            rounds: 0,
            last_seen_ago: Some(Duration::ZERO),
        },
        Case {
            name: "silent for two rounds",
            is_seen: true,
            rounds: 2,
            last_seen_ago: Some(2 * HEARTBEAT_INTERVAL),
        },
    ];
    for case in cases {
        let mut fixture = MemberFixture::new();
        if case.is_seen {
            fixture.receive_reply(&heartbeat(7, 1));
        }
        (0..case.rounds).for_each(|_| fixture.tick());
        assert_eq!(
            fixture.members()[0].last_seen_ago,
            case.last_seen_ago,
            "{}",
            case.name
        );
        let member = fixture.membership.member(fixture.now, &vm_name(1));
        assert_eq!(member, fixture.members().pop(), "{}", case.name);
    }
}
