//! Tests of the choice of a server.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{BOOT, config, release, request, server, servers};
use crate::broker::{
    BrokerSettings, BrokerState, CacheHint, GrantRequest, ServerMark, ServerReport,
};

fn broker(slots: &[u32], now: Instant) -> BrokerState {
    let mut state = BrokerState::new(BrokerSettings::new("vm", BOOT));
    state.configure(&config(1, servers(slots)), now);
    state
}

/// Returns a request with a long prompt that begins with `prefix`.
fn request_with_prefix(prefix: u64) -> GrantRequest {
    let mut request = request("r");
    request.prefix = Some(prefix);
    request.prompt_tokens = 16_000;
    request
}

/// Requests a grant; returns its ticket and its server.
fn grant(state: &mut BrokerState, request: GrantRequest, now: Instant) -> (u64, String) {
    state.request_grant(request, now);
    let decisions = state.take_decisions();
    (decisions[0].ticket, server(&decisions[0]).to_string())
}

fn report(server: &str) -> ServerReport {
    ServerReport {
        server: server.into(),
        ..ServerReport::default()
    }
}

struct ChoiceCase {
    name: &'static str,
    /// Prepares a broker with two servers of four slots each.
    setup: fn(&mut BrokerState, Instant),
    request: fn() -> GrantRequest,
    expected: &'static str,
}

fn report_hint(server: &str, age: u64, state: &mut BrokerState, now: Instant) {
    let age = Duration::from_secs(age);
    let mut report = report(server);
    report.cached = vec![CacheHint { prefix: 1, age }];
    state.report(&report, now);
}

/// Runs requests on both servers: `seconds` each on the first, one second each
/// on the second.
fn run_requests(seconds: u64, state: &mut BrokerState, now: Instant) {
    for (index, seconds) in [(0, seconds), (1, 1)].repeat(10) {
        let other = format!("server-{}", 1 - index);
        state.mark(&other, ServerMark::Leaving, now);
        let (ticket, _) = grant(state, request("r"), now);
        state.mark(&other, ServerMark::Live, now);
        let mut release = release(ticket);
        release.elapsed = Duration::from_secs(seconds);
        state.release(&release, now);
    }
}

#[test]
fn the_lowest_completion_is_chosen() {
    let cases = [
        ChoiceCase {
            name: "less work in flight",
            setup: |state, now| {
                let mut request = request("r");
                request.excluded = vec!["server-1".into()];
                grant(state, request, now);
            },
            request: || request("r"),
            expected: "server-1",
        },
        ChoiceCase {
            name: "a faster server",
            setup: |state, now| run_requests(3, state, now),
            request: || request("r"),
            expected: "server-1",
        },
        ChoiceCase {
            name: "less work of others",
            setup: |state, now| {
                let mut report = report("server-0");
                report.running = 2;
                report.tokens_in_flight = 1_000;
                state.report(&report, now);
            },
            request: || request("r"),
            expected: "server-1",
        },
        ChoiceCase {
            name: "a cached prefix on the first server",
            setup: |state, now| report_hint("server-0", 10, state, now),
            request: || request_with_prefix(1),
            expected: "server-0",
        },
        ChoiceCase {
            name: "a cached prefix on the second server",
            setup: |state, now| report_hint("server-1", 10, state, now),
            request: || request_with_prefix(1),
            expected: "server-1",
        },
        ChoiceCase {
            name: "a newer hint before an old one",
            setup: |state, now| {
                report_hint("server-0", 300, state, now);
                report_hint("server-1", 10, state, now);
            },
            request: || request_with_prefix(1),
            expected: "server-1",
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut state = broker(&[4, 4], now);
        (case.setup)(&mut state, now);
        let (_, chosen) = grant(&mut state, (case.request)(), now);
        assert_eq!(chosen, case.expected, "{}", case.name);
    }
}

#[test]
fn a_prefix_maps_to_the_same_server_on_every_broker() {
    let now = Instant::now();
    let mut servers_by_prefix: IndexMap<u64, IndexSet<String>> = IndexMap::new();
    for _ in 0..2 {
        let mut state = broker(&[4; 20], now);
        for round in 0..200 {
            let prefix = round % 20;
            let (ticket, server) = grant(&mut state, request_with_prefix(prefix), now);
            servers_by_prefix.entry(prefix).or_default().insert(server);
            state.release(&release(ticket), now);
        }
    }
    assert!(
        servers_by_prefix.values().all(|servers| servers.len() == 1),
        "{servers_by_prefix:?}"
    );
    let used = servers_by_prefix
        .values()
        .flatten()
        .collect::<IndexSet<_>>();
    assert!(used.len() >= 8, "the prefixes are spread: {used:?}");
}

#[test]
fn a_hot_prefix_spills_over() {
    let now = Instant::now();
    let mut state = broker(&[8; 6], now);
    let mut grants: IndexMap<String, u32> = IndexMap::new();
    for _ in 0..24 {
        let (_, server) = grant(&mut state, request_with_prefix(1), now);
        *grants.entry(server).or_default() += 1;
    }
    let most = grants.values().max().expect("requests were granted");
    assert!(*most <= 8 && grants.len() >= 4, "{grants:?}");
    assert!(
        *grants.values().next().expect("the first server") >= 4,
        "{grants:?}"
    );
}

#[test]
fn a_report_of_the_brokers_own_work_takes_no_slot() {
    let now = Instant::now();
    let mut state = broker(&[2], now);
    let (ticket, _) = grant(&mut state, request("r"), now);
    state.release(&release(ticket), now);
    let mut lagging = report("server-0");
    lagging.running = 1;
    state.report(&lagging, now);
    assert_eq!(state.status().pools[0].servers[0].slots, 2);
    lagging.running = 2;
    state.report(&lagging, now);
    assert_eq!(state.status().pools[0].servers[0].slots, 1);
    state.advance(now + Duration::from_secs(6));
    assert_eq!(state.status().pools[0].servers[0].slots, 2);
}
