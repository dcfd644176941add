//! Tests of admission: early refusals and retry delays.

use std::time::{Duration, Instant};

use super::load::{LoadSimulation, LoadSource};
use super::{BOOT, SEED, config, granted, refusal, release, request, servers};
use crate::broker::{AttemptOutcome, BrokerSettings, BrokerState, RefusalReason, ServerReport};

/// Returns a source of `rate` requests per second, each of which runs for about
/// a second.
fn source(class: &str, tier: u8, rate: f64, late_is_useful: bool) -> LoadSource {
    let mut request = request("r");
    request.class = class.into();
    request.tier = tier;
    request.late_is_useful = late_is_useful;
    request.target_left = Duration::from_secs(5);
    request.max_tokens = None;
    LoadSource {
        request,
        interval: Duration::from_secs_f64(1.0 / rate),
        answer: 160,
    }
}

#[test]
fn an_overloaded_pool_answers_in_time_or_refuses_early() {
    let sources = vec![
        source("urgent", 0, 3.0, false),
        source("wire", 1, 10.0, false),
        source("archive", 3, 0.2, true),
    ];
    // Eight slots at a hundred tokens per second serve about eight requests per
    // second.
    let simulation = LoadSimulation::run(SEED, &[4, 4], sources, |_, _, _| {
        (0.01, AttemptOutcome::Completed)
    });
    let [urgent, wire, archive] = [0, 1, 2].map(|index| simulation.outcomes[index]);
    assert!(urgent.in_time * 100 >= urgent.requested * 98, "{urgent:?}");
    assert!(wire.refused > 0, "{wire:?}");
    assert!(wire.late * 100 <= wire.requested * 5, "{wire:?}");
    assert!(
        wire.refused_wait <= Duration::from_secs(1) * wire.refused,
        "{wire:?}"
    );
    assert_eq!(archive.refused, 0, "{archive:?}");
}

struct FloodCase {
    late_is_useful: bool,
    queue_limit: usize,
}

#[test]
fn a_flood_from_one_workspace_hardly_affects_the_others() {
    let cases = [
        FloodCase {
            late_is_useful: false,
            queue_limit: 10_000,
        },
        FloodCase {
            late_is_useful: true,
            queue_limit: 100,
        },
    ];
    for case in cases {
        let mut sources = ["flood", "desk", "radio"].map(|workspace| {
            let mut source = source("wire", 1, 1.0, case.late_is_useful);
            source.request.workspace = workspace.into();
            source
        });
        // The pool serves about eight requests per second.
        sources[0].interval = Duration::from_millis(25);
        let mut settings = BrokerSettings::new("vm", BOOT);
        settings.queue_limit = case.queue_limit;
        let simulation =
            LoadSimulation::run_with(settings, SEED, &[4, 4], sources.into(), |_, _, _| {
                (0.01, AttemptOutcome::Completed)
            });
        for outcome in &simulation.outcomes[1..] {
            assert!(
                outcome.in_time * 100 >= outcome.requested * 95,
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn a_target_causes_refusals_only_with_a_recent_average() {
    let now = Instant::now();
    let mut state = BrokerState::new(BrokerSettings::new("vm", BOOT));
    state.configure(&config(1, servers(&[1])), now);
    let mut grant_request = request("r");
    grant_request.late_is_useful = false;
    grant_request.target_left = Duration::from_millis(500);
    let first = state.request_grant(grant_request.clone(), now);
    state.release(&release(first), now);
    state.request_grant(grant_request.clone(), now);
    let decisions = state.take_decisions();
    assert_eq!(refusal(&decisions[1]).reason, RefusalReason::TargetMissed);
    // An old average is ignored, so that the pool is tried again.
    state.request_grant(grant_request, now + Duration::from_secs(16));
    assert_eq!(state.status().in_flight(), 1);
}

#[test]
fn refused_callers_retry_after_the_queue_has_drained() {
    let now = Instant::now();
    let mut settings = BrokerSettings::new("vm", BOOT);
    settings.queue_limit = 20;
    let mut state = BrokerState::new(settings);
    state.configure(&config(1, servers(&[1])), now);
    let first = state.request_grant(request("r"), now);
    state.release(&release(first), now);
    for _ in 0..40 {
        state.request_grant(request("r"), now);
    }
    let decisions = state.take_decisions();
    let refused = decisions[2..]
        .iter()
        .map(|decision| refusal(decision).retry_after);
    // Twenty requests of one second each wait for one slot.
    let bounds = Duration::from_secs(20)..=Duration::from_secs(30);
    assert!(refused.clone().all(|time| bounds.contains(&time)));
    let mut times = refused.collect::<Vec<_>>();
    times.sort();
    times.dedup();
    assert_eq!(times.len(), 19);
}

#[test]
fn requests_delayed_by_a_burst_are_refused_early() {
    let now = Instant::now();
    let mut state = BrokerState::new(BrokerSettings::new("vm", BOOT));
    state.configure(&config(1, servers(&[1])), now);
    let first = state.request_grant(request("r"), now);
    state.release(&release(first), now);
    let mut wire = request("wire");
    wire.late_is_useful = false;
    wire.target_left = Duration::from_secs(10);
    for _ in 0..5 {
        state.request_grant(wire.clone(), now);
    }
    let mut urgent = request("urgent");
    urgent.tier = 0;
    urgent.class = "urgent".into();
    for _ in 0..20 {
        state.request_grant(urgent.clone(), now);
    }
    state.take_decisions();
    state.advance(now + Duration::from_millis(500));
    let decisions = state.take_decisions();
    assert_eq!(decisions.len(), 4);
    for decision in &decisions {
        assert_eq!(decision.request, "wire");
        assert_eq!(refusal(decision).reason, RefusalReason::TargetMissed);
    }
}

#[test]
fn load_of_other_brokers_delays_requests_without_refusals() {
    let now = Instant::now();
    let mut state = BrokerState::new(BrokerSettings::new("vm", BOOT));
    state.configure(&config(1, servers(&[4, 4])), now);
    let first = state.request_grant(request("r"), now);
    state.release(&release(first), now);
    state.take_decisions();
    // Another broker has filled the servers, as after a change of broker.
    let mut report = |running: u32, count: u32| {
        for server in ["server-0", "server-1"] {
            let report = ServerReport {
                server: server.into(),
                running,
                ..ServerReport::default()
            };
            state.report(&report, now);
        }
        for _ in 0..count {
            let mut strict = request("r");
            strict.late_is_useful = false;
            strict.target_left = Duration::from_secs(5);
            state.request_grant(strict, now);
        }
        state.take_decisions()
    };
    // Twenty requests of one second each fit into five seconds on eight slots.
    let early = report(5, 20);
    assert!(early.is_empty(), "{early:?}");
    assert_eq!(granted(&report(0, 0)).len(), 8);
}
