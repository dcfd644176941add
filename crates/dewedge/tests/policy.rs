//! Routing decisions, one at a time.

use std::time::Duration;

use dewedge::format::PromptPart;
use dewedge::keys::KeyConfirmation;
use dewedge::policy::admission::{is_queue_blocked, max_wait, retry_after};
use dewedge::policy::engine_model::{EngineModel, StreamClass};
use dewedge::policy::health::{AttemptResult, ReplicaHealth};
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad, choose_engine,
    choose_plain_server, shared_prefix_tokens,
};
use dewedge::policy::queue::{
    ServerRequirements, WaitingQueue, WaitingRequest, engine_rank, request_rank,
};
use dewedge::policy::retries::{RetryBudget, vm_slack};
use dewedge::policy::warmup::WarmUp;
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
fn a_less_urgent_class_leaves_capacity_for_a_more_urgent_one() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, |_| full);
    let less = query(&prompt, false);
    assert_eq!(
        choose_engine(&less, &views, &EngineModel::default()),
        PlacementChoice::Busy
    );
    let more = PlacementQuery {
        priority: 1,
        ..less
    };
    assert!(matches!(
        choose_engine(&more, &views, &EngineModel::default()),
        PlacementChoice::Chosen { .. }
    ));
}

/// Guards against a less urgent class with a long target that keeps the backlogs
/// of all engines above the limit of a more urgent one with a short target.
#[test]
fn a_more_urgent_class_accepts_the_backlogs_that_a_less_urgent_one_leaves() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let class = |priority: u8, target: u64| StreamClass {
        priority,
        latency_target: ms(target),
        event_gap_target: ms(2000),
    };
    let mut model = EngineModel::default();
    model.set_classes(vec![class(1, 800), class(2, 2500)]);
    for backlog_ms in (0..1000).map(f64::from) {
        let load = ServerLoad {
            requests: 1,
            backlog_ms,
            ..ServerLoad::default()
        };
        let views = twelve_engines(&cache, |_| load);
        let is_busy = |priority, target| {
            let query = PlacementQuery {
                priority,
                latency_target: ms(target),
                ..query(&prompt, false)
            };
            choose_engine(&query, &views, &model) == PlacementChoice::Busy
        };
        assert!(is_busy(2, 2500) || !is_busy(1, 800), "{backlog_ms} ms");
    }
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
/// ends at one of them stays within the budget of the fleet.
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
            retries.push(now);
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

fn engine(hash: u64, cached_parts: &PartCache, load: ServerLoad) -> ReplicaView<'_> {
    ReplicaView {
        hash,
        usable: true,
        same_data_centre: true,
        warming_up: false,
        slots: 64,
        kv_cache_tokens: 300_000,
        load,
        slowness: 1.0,
        failure_rate: 0.0,
        cached_parts,
    }
}

/// Returns twelve engines, each with the load that `load` returns for its hash.
fn twelve_engines(parts: &PartCache, load: impl Fn(u64) -> ServerLoad) -> Vec<ReplicaView<'_>> {
    (0..12)
        .map(|hash| engine(hash, parts, load(hash)))
        .collect()
}

/// Returns a load function that gives only the `busy` engines a load.
fn load_on(busy: impl Fn(u64) -> bool, load: ServerLoad) -> impl Fn(u64) -> ServerLoad {
    move |hash| {
        if busy(hash) {
            load
        } else {
            ServerLoad::default()
        }
    }
}

fn parts(shared: u64, own: u64) -> Vec<PromptPart> {
    [(1, 2500), (shared, 3800), (own, 2900)]
        .map(|(id, tokens)| PromptPart { id, tokens })
        .to_vec()
}

fn query(parts: &[PromptPart], gap_sensitive: bool) -> PlacementQuery<'_> {
    PlacementQuery {
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 50,
        priority: 2,
        gap_sensitive,
        latency_target: ms(1500),
        waited: Duration::ZERO,
        now: ms(1000),
    }
}

fn chosen(choice: PlacementChoice) -> u64 {
    match choice {
        PlacementChoice::Chosen { hash, .. } => hash,
        other => panic!("no server was chosen: {other:?}"),
    }
}

#[test]
fn requests_with_the_same_shared_part_share_a_home() {
    let cache = PartCache::default();
    for shared in 10..40 {
        let views = twelve_engines(&cache, |_| ServerLoad::default());
        let mut reversed = views.clone();
        reversed.reverse();
        let first = chosen(choose_engine(
            &query(&parts(shared, 100), false),
            &views,
            &EngineModel::default(),
        ));
        let second = chosen(choose_engine(
            &query(&parts(shared, 200), false),
            &reversed,
            &EngineModel::default(),
        ));
        assert_eq!(first, second, "shared part {shared}");
    }
}

#[test]
fn an_idle_engine_is_preferred_to_a_full_home() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let idle = twelve_engines(&cache, |_| ServerLoad::default());
    let home = chosen(choose_engine(
        &query(&prompt, false),
        &idle,
        &EngineModel::default(),
    ));
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, load_on(|hash| hash == home, full));
    let model = EngineModel::default();
    let prefix_ms = model.prefill_ms(shared_prefix_tokens(&prompt)) as u64;
    let waiting = |waited| PlacementQuery {
        waited,
        ..query(&prompt, false)
    };
    assert_eq!(
        choose_engine(&waiting(ms(prefix_ms / 2)), &views, &model),
        PlacementChoice::Busy,
        "its home may have capacity before another engine has read the prefix"
    );
    let other = chosen(choose_engine(&waiting(ms(prefix_ms + 1)), &views, &model));
    assert_ne!(other, home);
}

/// Guards against a hot prefix that has one engine only, although others have
/// read it.
#[test]
fn an_engine_that_has_read_the_prefix_is_as_good_as_a_full_home() {
    let (empty, mut holding) = (PartCache::default(), PartCache::default());
    let prompt = parts(10, 100);
    holding.record_use(&prompt, ms(900));
    let idle = twelve_engines(&empty, |_| ServerLoad::default());
    let model = EngineModel::default();
    let home = chosen(choose_engine(&query(&prompt, false), &idle, &model));
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let holder = idle
        .iter()
        .map(|view| view.hash)
        .find(|hash| *hash != home)
        .expect("there are twelve");
    let mut views = twelve_engines(&empty, load_on(|hash| hash == home, full));
    for view in views.iter_mut().filter(|view| view.hash == holder) {
        view.cached_parts = &holding;
    }
    let choice = choose_engine(&query(&prompt, false), &views, &model);
    assert_eq!(chosen(choice), holder);
}

#[test]
fn long_prompts_avoid_the_engines_reserved_for_gap_sensitive_streams() {
    let cache = PartCache::default();
    let streams = ServerLoad {
        requests: 30,
        gap_sensitive_streams: 30,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, load_on(|hash| hash < 2, streams));
    for shared in 10..60 {
        let prompt = parts(shared, 100);
        assert!(
            chosen(choose_engine(
                &query(&prompt, false),
                &views,
                &EngineModel::default()
            )) >= 2
        );
        assert!(
            chosen(choose_engine(
                &query(&prompt, true),
                &views,
                &EngineModel::default()
            )) < 2
        );
    }
}

#[test]
fn more_engines_are_reserved_if_they_have_few_slots() {
    let cache = PartCache::default();
    let streams = ServerLoad {
        requests: 10,
        gap_sensitive_streams: 10,
        ..ServerLoad::default()
    };
    let mut views = twelve_engines(&cache, load_on(|hash| hash < 4, streams));
    views.iter_mut().for_each(|view| view.slots = 16);
    for shared in 10..60 {
        let prompt = parts(shared, 100);
        assert!(
            chosen(choose_engine(
                &query(&prompt, false),
                &views,
                &EngineModel::default()
            )) >= 4
        );
    }
}

struct BusyCase {
    name: &'static str,
    load: ServerLoad,
    expected: PlacementChoice,
}

#[test]
fn busy_and_unusable_engines_give_different_choices() {
    let cases = [
        BusyCase {
            name: "the prefill backlog is too long",
            load: ServerLoad {
                requests: 2,
                backlog_ms: 900.0,
                ..ServerLoad::default()
            },
            expected: PlacementChoice::Busy,
        },
        BusyCase {
            name: "the KV cache is full",
            load: ServerLoad {
                requests: 2,
                tokens: 250_000,
                ..ServerLoad::default()
            },
            expected: PlacementChoice::Busy,
        },
    ];
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    for case in cases {
        let mut views = vec![engine(1, &cache, case.load)];
        assert_eq!(
            choose_engine(&query(&prompt, false), &views, &EngineModel::default()),
            case.expected,
            "{}",
            case.name
        );
        views[0].usable = false;
        let choice = choose_engine(&query(&prompt, false), &views, &EngineModel::default());
        assert_eq!(choice, PlacementChoice::Unavailable, "{}", case.name);
    }
}

#[test]
fn a_plain_request_goes_to_the_least_loaded_server() {
    let cache = PartCache::default();
    let mut views: Vec<_> = (0..3)
        .map(|hash| {
            let requests = [5, 2, 6][hash as usize];
            let load = ServerLoad {
                requests,
                ..ServerLoad::default()
            };
            ReplicaView {
                slots: 6,
                kv_cache_tokens: 0,
                ..engine(hash, &cache, load)
            }
        })
        .collect();
    assert_eq!(chosen(choose_plain_server(&views, 7)), 1);
    views[1].failure_rate = 0.9;
    assert_eq!(chosen(choose_plain_server(&views, 7)), 0);
}

#[test]
fn prompts_of_a_home_that_warms_up_go_to_another_engine() {
    let cache = PartCache::default();
    let busy = ServerLoad {
        requests: 3,
        ..ServerLoad::default()
    };
    let mut views = twelve_engines(&cache, |_| busy);
    for shared in 10..30 {
        let prompt = parts(shared, 100);
        let home = chosen(choose_engine(
            &query(&prompt, false),
            &views,
            &EngineModel::default(),
        ));
        views[home as usize].warming_up = true;
        let other = chosen(choose_engine(
            &query(&prompt, false),
            &views,
            &EngineModel::default(),
        ));
        assert_ne!(home, other, "part {shared}");
        views[home as usize].warming_up = false;
    }
}

struct StartCase {
    name: &'static str,
    vms: u32,
    restarts: u32,
    /// Times after the start, and the maximum requests sent by then.
    by: [(u64, u32); 4],
    /// Time after which every VM may use the server.
    all_ms: u64,
}

/// Simulates waiting requests on all VMs of a fleet when a server starts,
/// before any digest arrives; returns how many have been sent to it `at` ms
/// after.
fn requests_sent(case: &StartCase, at: u64) -> u32 {
    let start = ms(60_000);
    let cache = PartCache::default();
    let mut sent = 0;
    for rank in 0..case.vms {
        let mut warmup = WarmUp::default();
        for restart in 1..case.restarts {
            warmup.begin(rank, true, start - ms(1000) * (case.restarts - restart));
        }
        warmup.begin(rank, case.restarts > 0, start);
        let mut own = 0;
        for _ in 0..5 {
            let now = start + ms(at);
            let view = ReplicaView {
                warming_up: warmup.must_wait(own, now),
                ..engine(1, &cache, ServerLoad::default())
            };
            let prompt = parts(10, u64::from(rank));
            if choose_engine(&query(&prompt, false), &[view], &EngineModel::default())
                == PlacementChoice::Busy
            {
                break;
            }
            own += 1;
        }
        sent += own;
    }
    sent
}

#[test]
fn vms_start_to_use_a_started_server_in_waves() {
    let cases = [
        StartCase {
            name: "a small fleet",
            vms: 8,
            restarts: 0,
            by: [(0, 4), (399, 4), (400, 18), (800, 40)],
            all_ms: 1200,
        },
        StartCase {
            name: "a large fleet",
            vms: 67,
            restarts: 0,
            by: [(0, 4), (399, 4), (400, 18), (800, 46)],
            all_ms: 2800,
        },
        StartCase {
            name: "one recent restart",
            vms: 67,
            restarts: 1,
            by: [(0, 0), (799, 0), (800, 4), (1200, 18)],
            all_ms: 3600,
        },
        StartCase {
            name: "a flapping server",
            vms: 67,
            restarts: 3,
            by: [(0, 0), (800, 0), (2399, 0), (2400, 4)],
            all_ms: 5200,
        },
    ];
    for case in cases {
        for (at, most) in case.by {
            let sent = requests_sent(&case, at);
            assert!(sent <= most, "{}: {sent} after {at} ms", case.name);
        }
        assert_eq!(
            requests_sent(&case, case.all_ms),
            case.vms * 5,
            "{}",
            case.name
        );
    }
}
