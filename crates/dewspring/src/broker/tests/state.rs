//! Tests of grants, refusals and the end of grants, without a thread.

use std::time::{Duration, Instant};

use super::{BOOT, config, granted, refusal, release, request, server, servers};
use crate::broker::{
    BrokerSettings, BrokerState, GrantDecision, GrantRequest, RefusalReason, ServerMark,
    ServerReport, ShareDivisor,
};

fn broker(slots: &[u32], now: Instant) -> BrokerState {
    let mut settings = BrokerSettings::new("vm", BOOT);
    settings.queue_limit = 2;
    let mut state = BrokerState::new(settings);
    state.configure(&config(1, servers(slots)), now);
    state
}

struct RefusalCase {
    name: &'static str,
    slots: &'static [u32],
    change: fn(&mut GrantRequest),
    reason: RefusalReason,
}

#[test]
fn requests_that_cannot_run_are_refused_at_once() {
    let cases = [
        RefusalCase {
            name: "the pool is unknown",
            slots: &[1],
            change: |request| request.pool = "other".into(),
            reason: RefusalReason::NoServer,
        },
        RefusalCase {
            name: "no server has slots",
            slots: &[0],
            change: |_| {},
            reason: RefusalReason::NoServer,
        },
        RefusalCase {
            name: "every server is excluded",
            slots: &[1, 0],
            change: |request| request.excluded = vec!["server-0".into(), "server-0".into()],
            reason: RefusalReason::NoServer,
        },
        RefusalCase {
            name: "the target is past and late is worthless",
            slots: &[1],
            change: |request| {
                request.late_is_useful = false;
                request.target_left = Duration::ZERO;
            },
            reason: RefusalReason::TargetMissed,
        },
        RefusalCase {
            name: "the timeout is past",
            slots: &[1],
            change: |request| request.timeout_left = Duration::ZERO,
            reason: RefusalReason::TimedOut,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut state = broker(case.slots, now);
        let mut request = request("r");
        (case.change)(&mut request);
        state.request_grant(request, now);
        let decisions = state.take_decisions();
        assert_eq!(decisions.len(), 1, "{}", case.name);
        let refusal = refusal(&decisions[0]);
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert!(refusal.retry_after > Duration::ZERO, "{}", case.name);
    }
}

#[test]
fn a_release_lets_the_next_request_run() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    let first = state.request_grant(request("first"), now);
    state.request_grant(request("second"), now);
    assert_eq!(granted(&state.take_decisions()), ["first"]);
    state.release(&release(first), now + Duration::from_secs(1));
    let decisions = state.take_decisions();
    assert_eq!(granted(&decisions), ["second"]);
    let GrantDecision::Granted(grant) = &decisions[0].decision else {
        panic!("refused");
    };
    assert_eq!(grant.valid_for, Duration::from_secs(3));
    assert_eq!(grant.boot, BOOT);
}

#[test]
fn a_release_of_another_boot_or_of_an_ended_grant_changes_nothing() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    let ticket = state.request_grant(request("r"), now);
    let mut stale = release(ticket);
    stale.boot = BOOT + 1;
    state.release(&stale, now);
    assert_eq!(state.status().in_flight(), 1);
    state.release(&release(ticket), now);
    state.release(&release(ticket), now);
    assert_eq!(state.status().in_flight(), 0);
}

#[test]
fn a_full_queue_refuses_the_lowest_tier() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    state.request_grant(request("running"), now);
    let tiers = [("early", 3), ("late", 3), ("high", 0), ("lowest", 4)];
    for (name, tier) in tiers {
        let mut request = request(name);
        request.tier = tier;
        state.request_grant(request, now);
    }
    let decisions = state.take_decisions();
    let refused = decisions[1..].iter();
    let refused = refused.map(|decision| (decision.request.as_str(), refusal(decision).reason));
    let full = RefusalReason::QueueFull;
    assert_eq!(
        refused.collect::<Vec<_>>(),
        [("late", full), ("lowest", full)]
    );
}

#[test]
fn a_withdrawn_request_leaves_the_queue_or_returns_its_grant() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    state.request_grant(request("granted"), now);
    let queued = state.request_grant(request("queued"), now);
    state.take_decisions();
    let entry = "entry".to_string();
    assert!(state.withdraw(&"queued".into(), &entry, 2, now).is_empty());
    assert_eq!(state.withdraw(&"queued".into(), &entry, 1, now), [queued]);
    assert!(state.withdraw(&"granted".into(), &entry, 1, now).is_empty());
    assert_eq!(state.status().in_flight(), 0);
    assert_eq!(state.status().queued(), 0);
    assert!(state.take_decisions().is_empty());
}

#[test]
fn grants_end_without_a_release() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    state.request_grant(request("r"), now);
    let end = now + Duration::from_secs(62);
    assert_eq!(state.next_wakeup(), Some(end));
    state.advance(end - Duration::from_millis(1));
    assert_eq!(state.status().in_flight(), 1);
    state.advance(end);
    assert_eq!(state.status().in_flight(), 0);
}

#[test]
fn a_lost_entry_keeps_no_grant_and_no_queued_request() {
    let now = Instant::now();
    let mut state = broker(&[1], now);
    state.request_grant(request("granted"), now);
    let queued = state.request_grant(request("queued"), now);
    state.take_decisions();
    assert_eq!(state.forget_entry(&"entry".into(), 1, now), [queued]);
    assert_eq!(state.status().in_flight(), 0);
    assert!(state.take_decisions().is_empty());
}

struct LeavingCase {
    name: &'static str,
    event: fn(&mut BrokerState, Instant),
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let cases = [
        LeavingCase {
            name: "marked by the platform",
            event: |state, now| state.mark(&"server-0".into(), ServerMark::Leaving, now),
        },
        LeavingCase {
            name: "reported by the server",
            event: |state, now| {
                let report = ServerReport {
                    server: "server-0".into(),
                    leaving: true,
                    ..ServerReport::default()
                };
                state.report(&report, now);
            },
        },
        LeavingCase {
            name: "announced in a response",
            event: |state, now| {
                let mut request = request("first");
                request.excluded = vec!["server-1".into()];
                let mut release = release(state.request_grant(request, now));
                release.leaving = true;
                state.release(&release, now);
                state.take_decisions();
            },
        },
        LeavingCase {
            name: "drained in the table",
            event: |state, now| {
                let mut servers = servers(&[5, 1]);
                servers[0].drain = true;
                state.configure(&config(2, servers), now);
            },
        },
        LeavingCase {
            name: "removed from the table",
            event: |state, now| {
                let servers = servers(&[5, 1]).split_off(1);
                state.configure(&config(2, servers), now);
            },
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut state = broker(&[5, 1], now);
        (case.event)(&mut state, now);
        state.request_grant(request("a"), now);
        state.request_grant(request("b"), now);
        let decisions = state.take_decisions();
        assert_eq!(granted(&decisions), ["a"], "{}", case.name);
        assert_eq!(server(&decisions[0]), "server-1", "{}", case.name);
    }
}

#[test]
fn a_request_never_goes_to_a_server_that_it_excludes() {
    let now = Instant::now();
    let mut state = broker(&[1, 1], now);
    let mut request = request("r");
    request.excluded = vec!["server-0".into()];
    state.request_grant(request.clone(), now);
    state.request_grant(request, now);
    assert_eq!(granted(&state.take_decisions()), ["r"]);
    assert_eq!(state.status().queued(), 1);
}

#[test]
fn a_share_bounds_the_slots() {
    let now = Instant::now();
    let mut state = broker(&[8], now);
    state.set_share(ShareDivisor::new(4), now);
    for _ in 0..3 {
        state.request_grant(request("r"), now);
    }
    assert_eq!(state.status().in_flight(), 2);
}
