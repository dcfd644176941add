//! Routing decisions, one at a time.

use std::time::Duration;

use dewedge::keys::KeyConfirmation;
use dewedge::policy::admission::{is_queue_blocked, max_wait, retry_after};
use dewedge::policy::health::{AttemptResult, ReplicaHealth};
use dewedge::policy::queue::{
    ServerRequirements, WaitingQueue, WaitingRequest, engine_rank, request_rank,
};
use dewedge::policy::retries::{RetryBudget, vm_slack};
use quickcheck::quickcheck;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn request(exchange_id: usize, priority: u8, workspace: &str, cost: u64) -> WaitingRequest {
    WaitingRequest {
        exchange_id,
        priority,
        requirements: ServerRequirements {
            gap_sensitive: false,
            class: priority,
            home: None,
            version: None,
        },
        caller_retry: false,
        workspace: workspace.to_string(),
        cost,
        arrived: ms(exchange_id as u64),
    }
}

fn drain(queue: &mut WaitingQueue) -> Vec<usize> {
    let mut order = Vec::new();
    while let Some(first) = queue.first().map(|first| first.exchange_id) {
        queue.remove(first);
        order.push(first);
    }
    order
}

#[test]
fn more_urgent_requests_go_first_and_equal_ones_in_order_of_arrival() {
    let mut queue = WaitingQueue::default();
    for (exchange_id, priority) in [(1, 6), (2, 4), (3, 6), (4, 0)] {
        queue.push(request(exchange_id, priority, "news", 1));
    }
    assert_eq!(drain(&mut queue), [4, 2, 1, 3]);
}

#[test]
fn a_busy_workspace_does_not_delay_another() {
    let mut queue = WaitingQueue::default();
    for exchange_id in 0..50 {
        queue.push(request(exchange_id, 4, "busy", 10));
    }
    queue.push(request(100, 4, "calm", 10));
    queue.push(request(101, 4, "calm", 10));
    let order = drain(&mut queue);
    let position = order.iter().position(|exchange_id| *exchange_id == 101);
    assert!(position.expect("it is in the queue") < 6, "{order:?}");
}

#[test]
fn a_callers_retry_goes_before_others_of_its_rank() {
    let mut queue = WaitingQueue::default();
    for exchange_id in 0..20 {
        queue.push(request(exchange_id, 4, "busy", 10));
    }
    let retry = WaitingRequest {
        caller_retry: true,
        ..request(100, 4, "busy", 10)
    };
    queue.push(retry);
    queue.push(request(101, 3, "busy", 10));
    let order = drain(&mut queue);
    assert_eq!(order[0], 101, "a more urgent one still goes first");
    assert!(order[..3].contains(&100), "{order:?}");
}

#[test]
fn a_request_is_blocked_only_by_those_that_need_the_same_servers() {
    let mut queue = WaitingQueue::default();
    queue.push(request(1, 2, "news", 1));
    let requirements = |class, home| ServerRequirements {
        gap_sensitive: false,
        class,
        home,
        version: None,
    };
    assert_eq!(
        queue.oldest_blocker(4, &requirements(1, None)),
        None,
        "servers keep headroom for it"
    );
    assert_eq!(queue.oldest_blocker(4, &requirements(2, None)), Some(ms(1)));
    assert_eq!(
        queue.oldest_blocker(4, &requirements(2, Some(7))),
        None,
        "its home may have capacity"
    );
    assert_eq!(
        queue.oldest_blocker(4, &requirements(3, Some(7))),
        Some(ms(1)),
        "a less urgent one leaves the headroom"
    );
    assert_eq!(
        queue.oldest_blocker(1, &requirements(2, None)),
        None,
        "it is more urgent"
    );
}

#[test]
fn ranks_are_those_of_the_workspace_then_of_the_route() {
    let mut ranks = Vec::new();
    for workspace in [None, Some(1), Some(2)] {
        for route in 0..3 {
            ranks.push(request_rank(workspace, route));
        }
    }
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(ranks, sorted, "each pair has its own rank, in order");
    let engine_ranks: Vec<u8> = ranks.into_iter().map(engine_rank).collect();
    assert_eq!(engine_ranks, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

/// Applies requests (`true`) and attempted retries (`false`) on several VMs,
/// each after a wait in units of 8 ms, and returns whether every window that
/// ends at one of them stays within the budget of the fleet. Each retry after a
/// wait of 3 units isn't sent, and is given back.
fn retries_fit_the_fleets_budget(steps: &[(u8, bool, u8)], vms: usize) -> bool {
    let (ratio, slack) = (0.2, 1.0);
    let window = Duration::from_secs(10);
    let mut budgets = vec![RetryBudget::new(ratio, window); vms];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Duration::from_secs(100);
    for (vm, is_request, wait) in steps {
        now += ms(u64::from(*wait) * 8);
        let budget = &mut budgets[usize::from(*vm) % vms];
        if *is_request {
            budget.record_request(now);
            requests.push(now);
        } else if budget.try_acquire(slack, now) {
            match wait {
                3 => budget.give_back(now),
                _ => retries.push(now),
            }
        }
        // The requests that permit a retry lie in the current window, in
        // the previous one, or in one that starts half a window earlier.
        let within = |times: &[Duration], end: Duration| {
            let start = end.saturating_sub(window);
            times
                .iter()
                .filter(|time| **time >= start && **time <= end)
                .count() as f64
        };
        let ends = [now, now - window / 2, now - window];
        let most = ends
            .map(|end| within(&requests, end))
            .into_iter()
            .fold(0.0, f64::max);
        if within(&retries, now) > ratio * most + slack * vms as f64 {
            return false;
        }
    }
    true
}

/// Guards against a retry that is permitted by requests that lie in no window
/// of the rule.
#[test]
fn requests_of_a_window_that_the_rule_does_not_count_permit_no_retry() {
    struct Case {
        steps: &'static [(bool, u8)],
    }
    let cases = [Case {
        steps: &[
            (true, 0),
            (true, 0),
            (true, 0),
            (false, 114),
            (true, 177),
            (false, 213),
            (false, 201),
            (true, 62),
            (true, 55),
            (true, 59),
            (false, 165),
            (false, 205),
        ],
    }];
    for Case { steps } in cases {
        let steps: Vec<(u8, bool, u8)> =
            steps.iter().map(|(kind, wait)| (0, *kind, *wait)).collect();
        assert!(retries_fit_the_fleets_budget(&steps, 1), "{steps:?}");
    }
}

/// Guards against a budget that is spent on connections that were never
/// established.
#[test]
fn a_retry_that_is_given_back_can_be_taken_again() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    for turn in 0..50 {
        let now = ms(100_000 + turn);
        assert!(budget.try_acquire(1.0, now), "turn {turn}");
        budget.give_back(now);
    }
    let sent = ms(100_100);
    assert!(budget.try_acquire(1.0, sent));
    budget.give_back(ms(100_099));
    assert!(
        !budget.try_acquire(1.0, ms(100_200)),
        "one that was sent still counts"
    );
}

/// A budget that is always sound could permit too little.
#[test]
fn steady_traffic_gets_nearly_the_whole_ratio_of_retries() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    let mut permitted = 0;
    for step in 0..6000 {
        let now = Duration::from_secs(100) + ms(step * 10);
        budget.record_request(now);
        let in_steady_state = step >= 4000;
        permitted += u32::from(budget.try_acquire(1.0, now) && in_steady_state);
    }
    assert!(permitted >= 340, "{permitted} retries of 2000 requests");
}

quickcheck! {
    fn a_queue_loses_no_request_and_keeps_the_order_of_ranks(items: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = WaitingQueue::default();
        for (exchange_id, (priority, workspace, cost)) in items.iter().enumerate() {
            let name = format!("w{}", workspace % 4);
            queue.push(request(exchange_id, priority % 10, &name, u64::from(*cost)));
        }
        let order = drain(&mut queue);
        let ranks: Vec<u8> = order.iter().map(|exchange_id| items[*exchange_id].0 % 10).collect();
        order.len() == items.len() && ranks.is_sorted()
    }

    fn retries_stay_within_the_budget(steps: Vec<(bool, u8)>) -> bool {
        let steps: Vec<(u8, bool, u8)> = steps.into_iter().map(|(kind, wait)| (0, kind, wait)).collect();
        retries_fit_the_fleets_budget(&steps, 1)
    }

    fn retries_of_several_vms_stay_within_the_fleets_budget(steps: Vec<(u8, bool, u8)>) -> bool {
        retries_fit_the_fleets_budget(&steps, 3)
    }

    fn the_retry_delay_fits_the_callers_remaining_time(left: u16, jitter: u8) -> bool {
        let left = ms(u64::from(left));
        let after = retry_after(left, f64::from(jitter) / 255.0);
        after >= ms(300) && (after <= left / 3 || after == ms(300))
    }
}

#[test]
fn the_slack_of_all_vms_stays_below_that_of_the_fleet() {
    for vms in 1..200 {
        let total = vm_slack(52.0, vms) * vms as f64 * 2.0;
        assert!(total <= 52.0, "{vms} VMs that all restart use {total}");
    }
}

#[test]
fn requests_are_refused_once_those_ahead_have_waited_too_long() {
    let wait = max_wait(ms(1500), ms(5000), false);
    assert_eq!(wait, ms(525));
    assert!(!is_queue_blocked(None, wait, ms(1000)));
    assert!(!is_queue_blocked(Some(ms(900)), wait, ms(1000)));
    assert!(is_queue_blocked(Some(ms(600)), wait, ms(1000)));
}

#[test]
fn a_confirmation_counts_from_the_sending_of_its_call() {
    let mut confirmation = KeyConfirmation::new(ms(5000));
    confirmation.confirm(ms(10_000));
    confirmation.confirm(ms(9_000));
    assert_eq!(confirmation.age(ms(12_000)), Some(ms(2_000)));
    assert!(confirmation.is_fresh(ms(14_499)));
    assert!(!confirmation.is_fresh(ms(14_500)));
}

#[test]
fn an_ejected_server_is_readmitted_by_one_probe() {
    let mut health = ReplicaHealth::default();
    let mut now = ms(1000);
    for _ in 0..8 {
        health.record_result(AttemptResult::Failed, now);
    }
    assert!(!health.is_usable(now));
    now += ms(5000);
    assert!(health.is_usable(now));
    health.record_sent();
    assert!(!health.is_usable(now), "one probe at a time");
    health.record_result(AttemptResult::Success, now);
    assert!(health.is_usable(now));
}

#[test]
fn occasional_failures_eject_no_server() {
    let mut health = ReplicaHealth::default();
    for turn in 0..200 {
        let result = match turn % 7 {
            0 => AttemptResult::Failed,
            _ => AttemptResult::Success,
        };
        health.record_result(result, ms(turn));
        assert!(health.is_usable(ms(turn)), "turn {turn}");
    }
}
