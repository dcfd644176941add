//! Tests of the order of service: tiers, floors, workspaces and deadlines.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen};

use super::{checker, config, granted, release, request, servers};
use crate::broker::class::ClassQueue;
use crate::broker::estimate::{WorkEstimator, request_work};
use crate::broker::queue::{PoolQueue, ServiceTurn};
use crate::broker::queued::QueuedRequest;
use crate::broker::{BrokerSettings, BrokerState, GrantRequest};

fn queued(ticket: u64, request: GrantRequest, work: u64, now: Instant) -> QueuedRequest {
    let mut queued = QueuedRequest::new(ticket, request, now);
    queued.work = work;
    queued
}

#[test]
fn requests_go_by_tier_and_then_by_deadline() {
    let now = Instant::now();
    let mut state = BrokerState::new(BrokerSettings::new("vm", super::BOOT));
    state.configure(&config(1, servers(&[1])), now);
    let running = state.request_grant(request("running"), now);
    let waiting = [("low", 3, 1), ("far", 1, 9), ("near", 1, 5), ("top", 0, 60)];
    for (name, tier, target) in waiting {
        let mut request = request(name);
        request.tier = tier;
        request.target_left = Duration::from_secs(target);
        state.request_grant(request, now);
    }
    state.take_decisions();
    let mut order = Vec::new();
    let mut runs = running;
    while order.len() < waiting.len() {
        state.release(&release(runs), now);
        let decisions = state.take_decisions();
        runs = decisions[0].ticket;
        order.extend(decisions);
    }
    assert_eq!(granted(&order), ["top", "near", "far", "low"]);
}

/// A random request of the floor property, and the number of grants after it.
#[derive(Clone, Debug)]
struct Arrival {
    class: usize,
    work: u64,
    grants: u8,
}

impl Arbitrary for Arrival {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            class: usize::arbitrary(generator) % FLOORS.len(),
            work: u64::from(u16::arbitrary(generator) % 2_000) + 1,
            grants: u8::arbitrary(generator) % 2,
        }
    }
}

/// Floor of each class. The tier of a class is its index; tier 0 is the
/// highest.
const FLOORS: [u8; 5] = [0, 40, 5, 80, 0];
/// Largest work of an [`Arrival`], in tokens.
const MAX_WORK: u64 = 2_000;

/// Serves one request and checks that no class has waited longer than its floor
/// allows.
fn serve_within_bound(queue: &mut PoolQueue, waits: &mut IndexMap<u8, u64>) {
    let Some(head) = queue.head() else {
        return;
    };
    let served = queue.serve(head);
    let sum = FLOORS
        .iter()
        .map(|&floor| u64::from(floor.max(1)))
        .sum::<u64>();
    let waiting = queue.status();
    waits.retain(|&tier, _| waiting.iter().any(|class| class.tier == tier));
    waits.insert(served.request.tier, 0);
    for class in waiting
        .iter()
        .filter(|class| class.tier != served.request.tier)
    {
        let wait = waits.entry(class.tier).or_default();
        *wait += served.work;
        let floor = u64::from(FLOORS[usize::from(class.tier)].max(1));
        let bound = MAX_WORK * sum.max(100) / floor + FLOORS.len() as u64 * MAX_WORK;
        assert!(
            *wait <= bound,
            "class {} waits for {wait} tokens",
            class.class
        );
    }
}

#[test]
fn no_class_waits_longer_than_its_floor_allows() {
    fn property(arrivals: Vec<Arrival>) {
        let now = Instant::now();
        let mut queue = PoolQueue::default();
        let mut waits = IndexMap::new();
        for (ticket, arrival) in (0..).zip(&arrivals) {
            let mut request = request("r");
            request.class = format!("class-{}", arrival.class);
            request.tier = arrival.class as u8;
            request.floor_percent = FLOORS[arrival.class];
            queue.push(queued(ticket, request, arrival.work, now));
            for _ in 0..arrival.grants {
                serve_within_bound(&mut queue, &mut waits);
            }
        }
        while queue.len() > 0 {
            serve_within_bound(&mut queue, &mut waits);
        }
    }
    checker(600, 300).quickcheck(property as fn(Vec<Arrival>));
}

#[test]
fn a_floor_gives_its_share_and_no_more() {
    let now = Instant::now();
    let mut queue = PoolQueue::default();
    for ticket in 0..2_000 {
        let mut request = request("r");
        let is_low = ticket % 2 == 0;
        request.tier = if is_low { 3 } else { 0 };
        request.class = if is_low { "low".into() } else { "high".into() };
        request.floor_percent = if is_low { 20 } else { 0 };
        queue.push(queued(ticket, request, 100, now));
    }
    let mut low = 0;
    for _ in 0..1_000 {
        let head = queue.head().expect("enough requests wait");
        let served = queue.serve(head);
        if served.request.tier == 3 {
            assert_eq!(head.turn, ServiceTurn::Floor);
            low += 1;
        }
    }
    assert!((195..=200).contains(&low), "{low} of 1000");
}

struct FairnessCase {
    name: &'static str,
    /// Estimated work of each request of the light and of the heavy workspace.
    work: [u64; 2],
    /// Actual work of these requests.
    actual_work: [u64; 2],
}

#[test]
fn workspaces_share_a_class_by_work() {
    let cases = [
        FairnessCase {
            name: "equal requests",
            work: [100, 100],
            actual_work: [100, 100],
        },
        FairnessCase {
            name: "one sends long requests",
            work: [100, 3_000],
            actual_work: [100, 3_000],
        },
        FairnessCase {
            name: "one answers longer than estimated",
            work: [100, 100],
            actual_work: [100, 400],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut queue = ClassQueue::default();
        let mut waiting = IndexMap::new();
        for ticket in 0..4_000 {
            let mut request = request("r");
            request.workspace = format!("{}", ticket % 2);
            let queued = queued(ticket, request, case.work[ticket as usize % 2], now);
            queue.push(&queued);
            waiting.insert(ticket, queued);
        }
        let mut actual_work = [0, 0];
        while actual_work.iter().sum::<u64>() < 100_000 {
            let head = queue.head().expect("enough requests wait");
            let index = head.ticket as usize % 2;
            let served = &waiting[&head.ticket];
            queue.serve(served);
            let underestimate = case.actual_work[index] as i64 - case.work[index] as i64;
            queue.adjust_charge(&served.request.workspace, underestimate);
            actual_work[index] += case.actual_work[index];
        }
        let difference = actual_work[0].abs_diff(actual_work[1]);
        assert!(difference <= 7_000, "{}: {actual_work:?}", case.name);
    }
}

#[test]
fn answers_are_estimated_by_class_and_workspace() {
    let mut estimator = WorkEstimator::default();
    let mut grant_request = request("r");
    grant_request.max_tokens = None;
    assert_eq!(estimator.work(&grant_request), request_work(100, 256));
    for _ in 0..100 {
        estimator.record(&grant_request.class, &"other".into(), 1_000);
    }
    let near = |work: u64, answer: u64| work.abs_diff(request_work(100, answer)) < answer / 5;
    assert!(
        near(estimator.work(&grant_request), 1_000),
        "the answers of the class are used"
    );
    for _ in 0..100 {
        estimator.record(&grant_request.class, &grant_request.workspace, 50);
    }
    assert!(
        near(estimator.work(&grant_request), 50),
        "the answers of the workspace are used"
    );
    grant_request.max_tokens = Some(10);
    assert_eq!(estimator.work(&grant_request), request_work(100, 10));
}
