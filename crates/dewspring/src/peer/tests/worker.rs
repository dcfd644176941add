//! Several peer workers on loopback.

use std::time::{Duration, Instant};

use futures::FutureExt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime::{Builder, Runtime};

use super::fakes::{TestFleet, TestVm, list_entry_of, request, settings, wait_for};
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
    let fleet = TestFleet::start(8);
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
fn a_new_vm_has_the_newest_revision_when_it_is_caught_up() {
    let fleet = TestFleet::start(3);
    let document = vec![b'x'; 900_000];
    let revision = 9;
    for vm in &fleet.vms {
        let document = document.clone();
        vm.exchange.offer(ConfigSnapshot { revision, document });
    }
    for boot in 0..10 {
        let joined = TestVm::spawn(settings(3, boot), fleet.directory.clone());
        let has_caught_up = || joined.handle.is_caught_up();
        assert!(
            wait_for(3 * SECOND, has_caught_up),
            "boot {boot} did not catch up"
        );
        assert_eq!(joined.exchange.revision(), revision, "boot {boot}");
        joined.handle.shut_down();
    }
}

#[test]
fn a_vm_that_ends_is_dead_for_all_in_bounded_time() {
    let fleet = TestFleet::start(8);
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
    let result =
        entry_runtime().block_on(fleet.vms[0].handle.request_grant(&vm_name(7), request("r")));
    assert_eq!(result, Err(PeerError::Dead(vm_name(7))));
}

#[test]
fn a_lagging_list_is_corrected_by_heartbeats() {
    let fleet = TestFleet::start(3);
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
    let is_dead = || fleet.vms.iter().all(|vm| vm.state_of(&vm_name(3)) == dead);
    assert!(
        wait_for(2 * SECOND, is_dead),
        "the new VM's end is not seen"
    );
}

#[test]
fn a_draining_vm_is_the_broker_of_no_pool() {
    let fleet = TestFleet::start(3);
    fleet.vms[2].handle.set_draining();
    let leaving = Some(MemberState::Leaving);
    let others = &fleet.vms[..2];
    let is_seen = || others.iter().all(|vm| vm.state_of(&vm_name(2)) == leaving);
    assert!(wait_for(SECOND, is_seen), "the draining VM is not seen");
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
    let mut fleet = TestFleet::start(3);
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
    let is_forgotten = || fleet.vms[0].broker.lock().unwrap().forgotten == [ended.clone()];
    assert!(
        wait_for(SECOND, is_forgotten),
        "the old boot's grants are kept"
    );
    let runtime = entry_runtime();
    let is_granted = || {
        let result = runtime.block_on(fleet.vms[0].handle.request_grant(&vm_name(2), request("r")));
        matches!(result, Ok(GrantDecision::Granted(grant)) if grant.boot == 555)
    };
    assert!(wait_for(SECOND, is_granted), "the new boot grants nothing");
}

#[test]
fn a_dropped_grant_request_leaves_no_grant() {
    let fleet = TestFleet::start(2);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for holds in [true, false] {
        fleet.vms[1].broker.lock().unwrap().holds_requests = holds;
        let mut granted = 0;
        let broker = vm_name(1);
        for number in 0..1_000 {
            let grant_request = request(format!("r-{holds}-{number}"));
            let mut pending = Box::pin(fleet.vms[0].handle.request_grant(&broker, grant_request));
            // The first poll sends the request; the second may find the decision.
            let mut result = pending.as_mut().now_or_never();
            if result.is_none() {
                std::thread::sleep(Duration::from_micros(rng.random_range(0..600)));
                result = pending.as_mut().now_or_never();
            }
            if let Some(Ok(GrantDecision::Granted(_))) = result {
                granted += 1;
            }
        }
        let is_clear = || {
            let state = fleet.vms[1].broker.lock().unwrap();
            state.waiting.is_empty() && state.granted.len() == granted
        };
        assert!(
            wait_for(2 * SECOND, is_clear),
            "a grant leaked, holds {holds}"
        );
        println!("holds {holds}: {granted} of 1,000 granted in time");
        fleet.vms[1].broker.lock().unwrap().granted.clear();
    }
}

#[test]
fn a_withdrawal_does_not_cancel_the_same_request_sent_again() {
    let fleet = TestFleet::start(2);
    fleet.vms[1].broker.lock().unwrap().holds_requests = true;
    let broker = vm_name(1);
    let runtime = entry_runtime();
    for round in 0..50 {
        let grant_request = request(format!("r-{round}"));
        let mut first = Box::pin(
            fleet.vms[0]
                .handle
                .request_grant(&broker, grant_request.clone()),
        );
        assert_eq!(first.as_mut().now_or_never(), None);
        std::thread::sleep(Duration::from_micros(40 * round));
        drop(first);
        let again = fleet.vms[0].handle.request_grant(&broker, grant_request);
        let limit = Duration::from_millis(30);
        let result = runtime.block_on(async { tokio::time::timeout(limit, again).await });
        assert!(result.is_err(), "round {round}: {result:?}");
    }
}

#[test]
fn waiting_grant_requests_delay_no_heartbeat() {
    let fleet = TestFleet::start(2);
    fleet.vms[1].broker.lock().unwrap().holds_requests = true;
    let broker = vm_name(1);
    let grant_requests = (0..4_000).map(|number| {
        let grant_request = request(format!("r-{number}"));
        fleet.vms[0].handle.request_grant(&broker, grant_request)
    });
    let result = entry_runtime().block_on(async {
        let all = futures::future::join_all(grant_requests);
        tokio::time::timeout(3 * SECOND, all).await
    });
    assert!(result.is_err(), "the broker holds the requests");
    let state = fleet.vms[1].broker.lock().unwrap();
    assert_eq!((state.request_count, state.forgotten.len()), (4_000, 0));
    drop(state);
    let live = Some(MemberState::Live);
    assert_eq!(fleet.vms[0].state_of(&broker), live);
    let is_clear = || fleet.vms[1].broker.lock().unwrap().waiting.is_empty();
    assert!(
        wait_for(2 * SECOND, is_clear),
        "the broker still holds dropped requests"
    );
}

#[test]
fn a_grant_request_waits_no_longer_than_its_timeout() {
    let fleet = TestFleet::start(2);
    fleet.vms[1].broker.lock().unwrap().holds_requests = true;
    let mut grant_request = request("r");
    grant_request.timeout_left = Duration::from_millis(200);
    let result = entry_runtime().block_on(
        fleet.vms[0]
            .handle
            .request_grant(&vm_name(1), grant_request),
    );
    assert_eq!(result, Err(PeerError::TimedOut));
    let is_clear = || fleet.vms[1].broker.lock().unwrap().waiting.is_empty();
    assert!(wait_for(SECOND, is_clear), "the broker still holds it");
}

/// Which VM shuts down while a grant request waits, and the resulting error.
struct EndCase {
    ended: usize,
    expected: PeerError,
}

#[test]
fn a_grant_request_ends_when_either_vm_shuts_down() {
    let cases = [
        EndCase {
            ended: 0,
            expected: PeerError::ShutDown,
        },
        EndCase {
            ended: 1,
            expected: PeerError::Lost,
        },
    ];
    for case in cases {
        let fleet = TestFleet::start(2);
        let broker = &fleet.vms[1].broker;
        broker.lock().unwrap().holds_requests = true;
        let requester = fleet.vms[0].handle.clone();
        let requesting = std::thread::spawn(move || {
            entry_runtime().block_on(requester.request_grant(&vm_name(1), request("r")))
        });
        let is_held = || broker.lock().unwrap().waiting.len() == 1;
        assert!(wait_for(SECOND, is_held), "the broker received no request");
        let begin = Instant::now();
        fleet.vms[case.ended].handle.shut_down();
        let result = requesting.join().expect("the request ends");
        assert_eq!(result, Err(case.expected));
        assert!(begin.elapsed() < Duration::from_millis(1_500));
        // The end of the connection withdraws the request, before the VM counts as dead.
        let is_clear = || broker.lock().unwrap().waiting.is_empty();
        assert!(
            wait_for(Duration::from_millis(500), is_clear),
            "the broker still holds it"
        );
    }
}

#[test]
fn releases_arrive_in_batches() {
    let fleet = TestFleet::start(2);
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
    let fleet = TestFleet::start(2);
    let mut wrong = settings(2, 102);
    wrong.secret = SharedSecret::new("another secret of some other fleet").expect("it is long");
    let outsider = TestVm::spawn(wrong, fleet.directory.clone());
    let listed = list_entry_of(2, &outsider);
    fleet.directory.list.lock().unwrap().push(listed);
    let dead = Some(MemberState::Dead);
    let is_rejected = || {
        let mut vms = fleet.vms.iter();
        vms.all(|vm| vm.state_of(&vm_name(2)) == dead) && outsider.state_of(&vm_name(0)) == dead
    };
    assert!(
        wait_for(3 * SECOND, is_rejected),
        "the VM with the wrong secret isn't dead"
    );
    assert!(fleet.vms[0].handle.counts().failed_handshakes > 0);
    assert!(outsider.handle.counts().failed_handshakes > 0);
    let live = Some(MemberState::Live);
    assert_eq!(fleet.vms[0].state_of(&vm_name(1)), live);
    outsider.handle.shut_down();
}
