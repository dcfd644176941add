//! Tests of the retry budget of a pool.

use std::time::{Duration, Instant};

use super::{BOOT, config, refusal, request, servers};
use crate::broker::{BrokerSettings, BrokerState, GrantDecision, GrantRequest, RefusalReason};

fn retry() -> GrantRequest {
    let mut request = request("retry");
    request.excluded = vec!["server-0".into()];
    request
}

struct BudgetCase {
    name: &'static str,
    percent: u8,
    requests: u32,
    /// Time between the first requests and the retries.
    pause: Duration,
    /// Tier in which a request is refused before the retries.
    shed: Option<u8>,
    allowed: usize,
}

#[test]
fn retries_are_bounded_by_recent_requests() {
    let case = BudgetCase {
        name: "ten percent",
        percent: 10,
        requests: 200,
        pause: Duration::ZERO,
        shed: None,
        allowed: 20,
    };
    let cases = [
        BudgetCase {
            name: "few requests",
            requests: 1,
            allowed: 3,
            ..case
        },
        BudgetCase {
            name: "no retries at all",
            percent: 0,
            allowed: 0,
            ..case
        },
        BudgetCase {
            name: "the requests are long past",
            pause: Duration::from_secs(10),
            allowed: 3,
            ..case
        },
        BudgetCase {
            name: "the pool refuses lower tiers",
            shed: Some(2),
            ..case
        },
        BudgetCase {
            name: "the pool refuses this tier",
            shed: Some(1),
            allowed: 0,
            ..case
        },
        case,
    ];
    for case in cases {
        let now = Instant::now();
        let mut settings = BrokerSettings::new("vm", BOOT);
        settings.queue_limit = 400;
        let mut state = BrokerState::new(settings);
        let mut config = config(1, servers(&[1, 1]));
        config.pools.rows[super::POOL].retry_percent = case.percent;
        state.configure(&config, now);
        for _ in 0..case.requests {
            state.request_grant(request("r"), now);
        }
        if let Some(tier) = case.shed {
            let mut hopeless = request("r");
            hopeless.tier = tier;
            hopeless.timeout_left = Duration::ZERO;
            state.request_grant(hopeless, now);
        }
        state.take_decisions();
        let now = now + case.pause;
        let may_retry = state.may_retry(&retry(), now);
        assert_eq!(may_retry, case.allowed > 0, "{}", case.name);
        for _ in 0..50 {
            state.request_grant(retry(), now);
        }
        let mut decisions = state.take_decisions();
        decisions.retain(|decision| matches!(decision.decision, GrantDecision::Refused(_)));
        assert_eq!(decisions.len(), 50 - case.allowed, "{}", case.name);
        let mut reasons = decisions.iter().map(|decision| refusal(decision).reason);
        assert!(
            reasons.all(|reason| reason == RefusalReason::Overloaded),
            "{}",
            case.name
        );
    }
}
