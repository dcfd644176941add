//! Several duties on loopback.

use std::time::{Duration, Instant};

use futures::FutureExt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime::{Builder, Runtime};

use super::fakes::{TestFleet, TestVm, entry, request, settings, wait_for};
use super::fleet::vm_name;
use crate::broker::{AttemptOutcome, GrantDecision, GrantRelease};
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::peer::{BrokerLocation, MemberState, PeerError};
use crate::settings::SharedSecret;

const SEED: u64 = 20_261_203;
const SECOND: Duration = Duration::from_secs(1);

fn entry_runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_time().build().expect("a runtime starts")
}

#[test]
fn an_accepted_revision_reaches_all_vms_without_the_store() {
    let fleet = TestFleet::open(8);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut times = Vec::new();
    for revision in 1..=100 {
        let first = &fleet.vms[rng.random_range(0..fleet.vms.len())];
        let begin = Instant::now();
        first.exchange.offer(ConfigSnapshot {
            revision,
            document: vec![b'x'; 20_000],
        });
        let arrived = || {
            let mut vms = fleet.vms.iter();
            vms.all(|vm| vm.exchange.arrival(revision).is_some())
        };
        assert!(wait_for(2 * SECOND, arrived), "revision {revision} is late");
        let arrivals = fleet.vms.iter().map(|vm| vm.exchange.arrival(revision));
        let last = arrivals.flatten().max().expect("all have it");
        times.push(last.saturating_duration_since(begin));
    }
    times.sort();
    println!(
        "100 offers to all of 8 VMs: p50 {:?}, p99 {:?}, max {:?}",
        times[49], times[98], times[99]
    );
}

#[test]
fn a_new_vm_is_up_to_date_when_it_has_heard_its_peers() {
    let fleet = TestFleet::open(3);
    let document = vec![b'x'; 900_000];
    let revision = 9;
    for vm in &fleet.vms {
        let document = document.clone();
        vm.exchange.offer(ConfigSnapshot { revision, document });
    }
    for boot in 0..10 {
        let joined = TestVm::spawn(settings(3, boot), fleet.directory.clone());
        let is_heard = || joined.handle.is_caught_up();
        assert!(wait_for(3 * SECOND, is_heard), "boot {boot} hears not all");
        assert_eq!(joined.exchange.revision(), revision, "boot {boot}");
        joined.handle.shut_down();
    }
}

#[test]
fn a_vm_that_ends_is_dead_for_all_in_bounded_time() {
    let fleet = TestFleet::open(8);
    let ended = &fleet.vms[7];
    ended.handle.shut_down();
    let begin = Instant::now();
    let others = &fleet.vms[..7];
    let state = Some(MemberState::Dead);
    let is_dead = || others.iter().all(|vm| vm.state_of(&vm_name(7)) == state);
    assert!(wait_for(Duration::from_millis(1_500), is_dead), "not seen");
    println!("an end is known to 7 VMs after {:?}", begin.elapsed());
    let forgotten = (vm_name(7), 107);
    for vm in others {
        assert_eq!(vm.broker.lock().unwrap().forgotten, vec![forgotten.clone()]);
        assert_eq!(vm.handle.eligible_vm_count(), 7);
    }
    let asked =
        entry_runtime().block_on(fleet.vms[0].handle.request_grant(&vm_name(7), request("r")));
    assert_eq!(asked, Err(PeerError::Dead(vm_name(7))));
}

#[test]
fn a_lagging_list_is_corrected_by_heartbeats() {
    let fleet = TestFleet::open(3);
    let stale = fleet.directory.list.lock().unwrap().clone();
    // The list is read once and lags by more than the test takes.
    let mut late = settings(3, 103);
    late.list_interval = 10 * SECOND;
    let joined = TestVm::spawn(late, fleet.directory.clone());
    let live = Some(MemberState::Live);
    let is_seen = || fleet.vms.iter().all(|vm| vm.state_of(&vm_name(3)) == live);
    assert!(wait_for(2 * SECOND, is_seen), "the new VM is not seen");
    assert_eq!(*fleet.directory.list.lock().unwrap(), stale);
    for pool in 0..20 {
        let pool = format!("pool-{pool}");
        let location = fleet.vms[0].handle.broker_for(&pool);
        let expected = match joined.handle.broker_for(&pool) {
            BrokerLocation::Local => BrokerLocation::Remote(vm_name(3)),
            BrokerLocation::Remote(vm) if vm == vm_name(0) => BrokerLocation::Local,
            remote => remote,
        };
        assert_eq!(location, expected, "{pool}");
    }
    joined.handle.shut_down();
    let dead = Some(MemberState::Dead);
    let is_gone = || fleet.vms.iter().all(|vm| vm.state_of(&vm_name(3)) == dead);
    assert!(
        wait_for(2 * SECOND, is_gone),
        "the new VM's end is not seen"
    );
}

#[test]
fn a_draining_vm_is_broker_of_nothing() {
    let fleet = TestFleet::open(3);
    fleet.vms[2].handle.set_draining();
    let leaving = Some(MemberState::Leaving);
    let others = &fleet.vms[..2];
    let is_seen = || others.iter().all(|vm| vm.state_of(&vm_name(2)) == leaving);
    assert!(wait_for(SECOND, is_seen), "the mark is not seen");
    let remote = BrokerLocation::Remote(vm_name(2));
    let pools = (0..50).map(|pool| format!("pool-{pool}"));
    assert!(
        pools
            .into_iter()
            .all(|pool| fleet.vms[0].handle.broker_for(&pool) != remote)
    );
}

#[test]
fn a_restart_on_the_same_port_replaces_the_old_boot() {
    let mut fleet = TestFleet::open(3);
    let old = fleet.vms.pop().expect("there are three");
    let address = old.handle.local_address();
    old.handle.shut_down();
    let mut again = settings(2, 555);
    again.listen = address;
    fleet
        .vms
        .push(TestVm::spawn(again, fleet.directory.clone()));
    let is_new = || {
        let mut others = fleet.vms[..2].iter();
        others.all(|vm| vm.handle.members()[1].boot == Some(555))
    };
    assert!(wait_for(3 * SECOND, is_new), "the new boot is not seen");
    let ended = (vm_name(2), 102);
    let is_told = || fleet.vms[0].broker.lock().unwrap().forgotten == [ended.clone()];
    assert!(wait_for(SECOND, is_told), "the old boot's grants are kept");
    let runtime = entry_runtime();
    let is_asked = || {
        let asked = runtime.block_on(fleet.vms[0].handle.request_grant(&vm_name(2), request("r")));
        matches!(asked, Ok(GrantDecision::Granted(grant)) if grant.boot == 555)
    };
    assert!(wait_for(SECOND, is_asked), "the new boot can't be asked");
}

#[test]
fn a_dropped_question_leaves_no_grant() {
    let fleet = TestFleet::open(2);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for holds in [true, false] {
        fleet.vms[1].broker.lock().unwrap().holds = holds;
        let mut taken = 0;
        let broker = vm_name(1);
        for number in 0..1_000 {
            let question = request(format!("r-{holds}-{number}"));
            let mut ask = Box::pin(fleet.vms[0].handle.request_grant(&broker, question));
            // A first look sends the question, a later one may find the decision.
            let mut asked = ask.as_mut().now_or_never();
            if asked.is_none() {
                std::thread::sleep(Duration::from_micros(rng.random_range(0..600)));
                asked = ask.as_mut().now_or_never();
            }
            if let Some(Ok(GrantDecision::Granted(_))) = asked {
                taken += 1;
            }
        }
        let is_clear = || {
            let log = fleet.vms[1].broker.lock().unwrap();
            log.waiting.is_empty() && log.granted.len() == taken
        };
        assert!(
            wait_for(2 * SECOND, is_clear),
            "a grant leaked, holds {holds}"
        );
        println!("holds {holds}: {taken} of 1,000 granted in time");
        fleet.vms[1].broker.lock().unwrap().granted.clear();
    }
}

#[test]
fn a_withdrawal_spares_the_same_request_asked_again() {
    let fleet = TestFleet::open(2);
    fleet.vms[1].broker.lock().unwrap().holds = true;
    let broker = vm_name(1);
    let runtime = entry_runtime();
    for round in 0..50 {
        let question = request(format!("r-{round}"));
        let mut first = Box::pin(fleet.vms[0].handle.request_grant(&broker, question.clone()));
        assert_eq!(first.as_mut().now_or_never(), None);
        std::thread::sleep(Duration::from_micros(40 * round));
        drop(first);
        let again = fleet.vms[0].handle.request_grant(&broker, question);
        let limit = Duration::from_millis(30);
        let asked = runtime.block_on(async { tokio::time::timeout(limit, again).await });
        assert!(asked.is_err(), "round {round}: {asked:?}");
    }
}

#[test]
fn waiting_questions_hold_up_no_heartbeat() {
    let fleet = TestFleet::open(2);
    fleet.vms[1].broker.lock().unwrap().holds = true;
    let broker = vm_name(1);
    let asks = (0..4_000).map(|number| {
        let question = request(format!("r-{number}"));
        fleet.vms[0].handle.request_grant(&broker, question)
    });
    let asked = entry_runtime().block_on(async {
        let all = futures::future::join_all(asks);
        tokio::time::timeout(3 * SECOND, all).await
    });
    assert!(asked.is_err(), "questions are held");
    let log = fleet.vms[1].broker.lock().unwrap();
    assert_eq!((log.asked, log.forgotten.len()), (4_000, 0));
    drop(log);
    let live = Some(MemberState::Live);
    assert_eq!(fleet.vms[0].state_of(&broker), live);
    let is_clear = || fleet.vms[1].broker.lock().unwrap().waiting.is_empty();
    assert!(wait_for(2 * SECOND, is_clear), "dropped questions are kept");
}

#[test]
fn a_question_waits_no_longer_than_its_time() {
    let fleet = TestFleet::open(2);
    fleet.vms[1].broker.lock().unwrap().holds = true;
    let mut question = request("r");
    question.timeout_left = Duration::from_millis(200);
    let asked = entry_runtime().block_on(fleet.vms[0].handle.request_grant(&vm_name(1), question));
    assert_eq!(asked, Err(PeerError::TimedOut));
    let is_clear = || fleet.vms[1].broker.lock().unwrap().waiting.is_empty();
    assert!(wait_for(SECOND, is_clear), "the broker still holds it");
}

/// Which side of a question ends while it waits.
struct EndCase {
    ended: usize,
    expected: PeerError,
}

#[test]
fn a_question_ends_with_either_side() {
    let cases = [
        EndCase {
            ended: 0,
            expected: PeerError::Ended,
        },
        EndCase {
            ended: 1,
            expected: PeerError::Lost,
        },
    ];
    for case in cases {
        let fleet = TestFleet::open(2);
        let broker = &fleet.vms[1].broker;
        broker.lock().unwrap().holds = true;
        let asker = fleet.vms[0].handle.clone();
        let asking = std::thread::spawn(move || {
            entry_runtime().block_on(asker.request_grant(&vm_name(1), request("r")))
        });
        let is_held = || broker.lock().unwrap().waiting.len() == 1;
        assert!(wait_for(SECOND, is_held), "the broker was not asked");
        let begin = Instant::now();
        fleet.vms[case.ended].handle.shut_down();
        let asked = asking.join().expect("the question ends");
        assert_eq!(asked, Err(case.expected));
        assert!(begin.elapsed() < Duration::from_millis(1_500));
        // The withdrawal comes with the end of the connection, not with death.
        let is_clear = || broker.lock().unwrap().waiting.is_empty();
        assert!(wait_for(Duration::from_millis(500), is_clear), "it is kept");
    }
}

#[test]
fn releases_arrive_in_batches() {
    let fleet = TestFleet::open(2);
    for grant in 0..1_000 {
        fleet.vms[0].handle.release(
            &vm_name(1),
            GrantRelease {
                grant,
                boot: 101,
                outcome: AttemptOutcome::Completed,
                tokens: 10,
                first_token: None,
                elapsed: SECOND,
                leaving: false,
            },
        );
    }
    let is_done = || fleet.vms[1].broker.lock().unwrap().released == 1_000;
    assert!(wait_for(2 * SECOND, is_done), "releases are lost");
    assert_eq!(fleet.vms[0].handle.counts().lost_notices, 0);
}

#[test]
fn a_wrong_secret_is_refused_on_both_sides() {
    let fleet = TestFleet::open(2);
    let mut wrong = settings(2, 102);
    wrong.secret = SharedSecret::new("another secret of some other fleet").expect("it is long");
    let stranger = TestVm::spawn(wrong, fleet.directory.clone());
    let listed = entry(2, &stranger);
    fleet.directory.list.lock().unwrap().push(listed);
    let dead = Some(MemberState::Dead);
    let is_out = || {
        let mut vms = fleet.vms.iter();
        vms.all(|vm| vm.state_of(&vm_name(2)) == dead) && stranger.state_of(&vm_name(0)) == dead
    };
    assert!(wait_for(3 * SECOND, is_out), "the stranger is heard");
    assert!(fleet.vms[0].handle.counts().bad_prefaces > 0);
    assert!(stranger.handle.counts().bad_prefaces > 0);
    let live = Some(MemberState::Live);
    assert_eq!(fleet.vms[0].state_of(&vm_name(1)), live);
    stranger.handle.shut_down();
}
