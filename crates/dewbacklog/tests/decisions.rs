//! What the forecast, the return policy and the start order decide.

use std::time::Duration;

use dewbacklog::{
    EngineRoom, FACT_TTL, FleetBacklog, QueuePlace, RejectCause, ReturnPolicy, RoomDecision,
    RoomForecast, StartOrder, StartRequest, WaitingFact, WaitingPrompt, WaitingSum,
};
use quickcheck::{QuickCheck, TestResult};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine() -> EngineRoom {
    EngineRoom {
        backlog_ms: 0.0,
        slowness: 1.0,
        limit_ms: 500.0,
        requests: 0,
        max_requests: 12,
        request_ms: 2000.0,
        opens_in: Duration::ZERO,
    }
}

fn waiting(requests: f64) -> WaitingSum {
    WaitingSum {
        requests,
        prefill_ms: requests * 100.0,
    }
}

/// Engines and requests ahead, and the least and most ms until there is room.
struct ForecastCase(&'static str, Vec<EngineRoom>, f64, (u64, u64));

/// Guards against a forecast that ignores a limit of placement, or that sees a
/// limit where an engine accepts prompts.
#[test]
fn the_forecast_follows_the_limits_of_placement() {
    let loaded = |backlog_ms, slowness, requests, opens_in_ms| EngineRoom {
        backlog_ms,
        slowness,
        requests,
        opens_in: ms(opens_in_ms),
        ..engine()
    };
    let (full, slow) = (loaded(0.0, 1.0, 12, 0), loaded(600.0, 1.5, 0, 0));
    let two = vec![loaded(800.0, 1.0, 0, 0), loaded(600.0, 1.0, 0, 0)];
    let case = ForecastCase;
    let cases = [
        case(
            "just below the limit",
            vec![loaded(499.0, 1.0, 0, 0)],
            0.0,
            (0, 0),
        ),
        case("the first of two that drains", two, 0.0, (100, 102)),
        case(
            "a slow engine drains in more time",
            vec![slow],
            0.0,
            (400, 402),
        ),
        case("the first request that ends", vec![full], 0.0, (166, 168)),
        case("five prompts each", vec![engine(); 10], 49.0, (0, 0)),
        case("the prompt after those", vec![engine()], 6.0, (100, 102)),
        case(
            "to be read again",
            vec![loaded(0.0, 1.0, 0, 150)],
            0.0,
            (150, 151),
        ),
        case("no engine", vec![], 0.0, (60_000, 60_000)),
    ];
    for ForecastCase(what, engines, ahead, (least, most)) in cases {
        let forecast = RoomForecast::new(engines);
        let room_ms = forecast.when_room(&waiting(ahead), 100.0).as_millis() as u64;
        assert!((least..=most).contains(&room_ms), "{what}: {room_ms}");
    }
}

struct DecisionCase {
    what: &'static str,
    waited: Duration,
    caller_retry: bool,
    room_in: Duration,
    expected: RoomDecision,
}

/// Guards against rejections of requests that could be in time, and against late
/// ones of requests that can't.
#[test]
fn requests_wait_only_for_capacity_in_time() {
    let reject = RoomDecision::Reject(RejectCause::Forecast);
    let case = |what, waited, caller_retry, room_in, expected| DecisionCase {
        what,
        waited: ms(waited),
        caller_retry,
        room_in: ms(room_in),
        expected,
    };
    let cases = [
        case("capacity in time", 0, false, 1100, RoomDecision::Wait),
        case("capacity too late", 0, false, 1300, reject),
        case("forecast grown while it waited", 600, false, 700, reject),
        case(
            "a retry has no other chance",
            0,
            true,
            1300,
            RoomDecision::Wait,
        ),
        case("a retry whose deadline is earlier", 0, true, 5800, reject),
        case(
            "waited for as long as it may",
            1200,
            true,
            0,
            RoomDecision::Reject(RejectCause::Waited),
        ),
    ];
    for case in cases {
        let prompt = WaitingPrompt {
            waited: case.waited,
            time_left: ms(6000) - case.waited,
            latency_target: ms(2000),
            first_event: ms(800),
            least_wait: ms(700),
            caller_retry: case.caller_retry,
            prefill_ms: 283.0,
        };
        let decision = ReturnPolicy::decide(&prompt, case.room_in);
        assert_eq!(decision, case.expected, "{}", case.what);
    }
}

/// Guards against retry times that callers don't honour, for any forecast.
#[test]
fn retry_times_are_within_a_third_of_the_remaining_time() {
    let property = |left: u16, room: u16, prefill: u16, waited: bool, rejections: u8| {
        if left < 300 {
            return TestResult::discard();
        }
        let prompt = WaitingPrompt {
            time_left: ms(left.into()),
            prefill_ms: prefill.into(),
            ..WaitingPrompt::default()
        };
        let cause = match waited {
            true => RejectCause::Waited,
            false => RejectCause::Forecast,
        };
        let forecast = RoomForecast::new([engine()]);
        let mut policy = ReturnPolicy::new(f64::from(rejections) / 256.0);
        TestResult::from_bool((0..=rejections).all(|_| {
            let room_in = ms(room.into());
            let after = policy.reject(&prompt, cause, room_in, &forecast, 75, ms(9000));
            after >= ms(100) && after <= prompt.time_left / 3
        }))
    };
    QuickCheck::new().quickcheck(property as fn(u16, u16, u16, bool, u8) -> TestResult);
}

/// Guards against callers that are rejected together and retry together: at no
/// time come more than twice as many as the engines serve.
#[test]
fn callers_rejected_together_retry_one_after_the_other() {
    let prompt = WaitingPrompt {
        time_left: ms(12_000),
        prefill_ms: 100.0,
        ..WaitingPrompt::default()
    };
    // Twelve requests of 2 s on each engine are 15 in 250 ms.
    let forecast = RoomForecast::new(vec![engine(); 10]);
    let room_in = ms(500);
    let mut retries = Vec::new();
    for vm in 0..20 {
        let mut policy = ReturnPolicy::new(f64::from(vm) * 0.37);
        for _ in 0..10 {
            let cause = RejectCause::Forecast;
            let after = policy.reject(&prompt, cause, room_in, &forecast, 20, ms(9000));
            assert!(after >= room_in, "{after:?} is before capacity");
            retries.push(after);
        }
    }
    for start in (500..4000).step_by(50).map(ms) {
        let within = |at: &&Duration| **at >= start && **at < start + ms(250);
        let count = retries.iter().filter(within).count();
        assert!(count <= 30, "{count} of 200 retries from {start:?}");
    }
}

struct OrderCase {
    what: &'static str,
    fact_class: u8,
    fact_age: u64,
    oldest_waited: u64,
    waited: u64,
    room_now: f64,
    held: bool,
}

/// Guards against less urgent requests that take the capacity others wait for,
/// and against requests that are held back for facts that say no such thing.
#[test]
fn requests_are_held_back_for_those_of_other_vms() {
    let held = OrderCase {
        what: "more urgent requests wait elsewhere",
        fact_class: 0,
        fact_age: 300,
        oldest_waited: 250,
        waited: 0,
        room_now: 4.0,
        held: true,
    };
    let case = |what, change: fn(&mut OrderCase)| {
        let mut case = OrderCase {
            what,
            held: false,
            ..held
        };
        change(&mut case);
        case
    };
    let cases = [
        case("less urgent requests", |case| case.fact_class = 3),
        case("an old fact", |case| case.fact_age = 1000),
        case("capacity for all", |case| case.room_now = 6.0),
        case("held for long enough", |case| case.waited = 600),
        held,
    ];
    for case in cases {
        let now = ms(9000);
        let as_of = now - ms(case.fact_age);
        let fact = WaitingFact {
            class: case.fact_class,
            requests: 5,
            prefill_ms: 500.0,
            oldest: as_of - ms(case.oldest_waited),
            as_of,
        };
        let mut backlog = FleetBacklog::default();
        backlog.record(1, fact, now);
        let request = StartRequest {
            class: 2,
            home: None,
            waited: ms(case.waited),
            permitted_wait: ms(1200),
        };
        let order = StartOrder::new(1);
        let held = order.holds_back(&request, &backlog, 1, case.room_now, now);
        assert_eq!(held, case.held, "{}", case.what);
    }
}

/// Guards against all VMs that send to the few engines with capacity at once: VMs
/// with two requests each use about the capacity for 30 in a window.
#[test]
fn vms_share_the_capacity_that_all_of_them_see() {
    let facts = |now| WaitingFact {
        class: 2,
        requests: 2,
        prefill_ms: 200.0,
        oldest: ms(8000),
        as_of: now,
    };
    let mut sent = 0;
    for vm in 0..75 {
        let mut order = StartOrder::new(vm * 7919);
        for now in (9000..12_000).step_by(20).map(ms) {
            let mut backlog = FleetBacklog::default();
            (0..74).for_each(|other| backlog.record(other, facts(now), now));
            let request = StartRequest {
                class: 2,
                permitted_wait: ms(1200),
                ..StartRequest::default()
            };
            if !order.holds_back(&request, &backlog, 2, 30.0, now) {
                order.record_start(None, now);
                sent += 1;
            }
        }
    }
    // Ten windows; the requests of a window may extend into the next one.
    assert!(
        (150..=450).contains(&sent),
        "{sent} requests in ten windows"
    );
}

/// Guards against facts of a frozen VM that count for ever, against a reordered
/// fact that brings sent requests back, and against retries behind new requests.
#[test]
fn facts_expire_and_only_the_newest_counts() {
    let fact = |requests, as_of| WaitingFact {
        class: 1,
        requests,
        prefill_ms: 100.0,
        oldest: ms(8000),
        as_of,
    };
    let now = ms(9000);
    let mut backlog = FleetBacklog::default();
    backlog.record(1, fact(0, now), now);
    backlog.record(1, fact(8, now - ms(100)), now);
    backlog.record(2, fact(4, now), now);
    assert_eq!(backlog.total(now).requests, 4.0);
    let mut place = QueuePlace {
        class: 1,
        joined: now,
        caller_retry: false,
    };
    assert_eq!(backlog.ahead_of(&place, now).requests, 4.0);
    place.caller_retry = true;
    assert_eq!(backlog.ahead_of(&place, now).requests, 0.0);
    assert_eq!(backlog.total(now + FACT_TTL).requests, 0.0);
    backlog.expire(now + FACT_TTL);
    assert!(backlog.is_empty());
}
