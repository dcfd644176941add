//! Tests of the requests that a broker blocks because they crash servers.

use std::time::{Duration, Instant};

use super::{BOOT, config, granted, refusal, release, request, server, servers};
use crate::broker::{
    AttemptOutcome, BrokerSettings, BrokerState, GrantRelease, GrantRequest, RefusalReason,
};

/// Start of the prompts under test.
const PREFIX: u64 = 7;

/// Time after the last crash at which a block is in force.
const SETTLED: Duration = Duration::from_secs(1);

/// How the attempt of one request ended, and when.
#[derive(Clone, Copy, Debug)]
struct Ended {
    after_ms: u64,
    fingerprint: u64,
    outcome: AttemptOutcome,
}

struct BlockCase {
    what: &'static str,
    ended: Vec<Ended>,
    blocked: bool,
}

fn crashed(after_ms: u64, fingerprint: u64) -> Ended {
    Ended {
        after_ms,
        fingerprint,
        outcome: AttemptOutcome::Crashed,
    }
}

fn completed(after_ms: u64) -> Ended {
    Ended {
        after_ms,
        fingerprint: 90,
        outcome: AttemptOutcome::Completed,
    }
}

fn prompt(fingerprint: u64, prefix: u64) -> GrantRequest {
    let mut request = request(&format!("request-{fingerprint}"));
    request.fingerprint = fingerprint;
    request.prefix = Some(prefix);
    request
}

/// Grants all requests at once and ends their attempts in order.
fn play(state: &mut BrokerState, ended: &[Ended], start: Instant) {
    let tickets: Vec<_> = ended
        .iter()
        .map(|ended| state.request_grant(prompt(ended.fingerprint, PREFIX), start))
        .collect();
    assert_eq!(granted(&state.take_decisions()).len(), ended.len());
    for (ticket, ended) in tickets.into_iter().zip(ended) {
        let release = GrantRelease {
            outcome: ended.outcome,
            first_token: None,
            ..release(ticket)
        };
        state.release(&release, start + Duration::from_millis(ended.after_ms));
    }
}

fn broker(count: usize) -> BrokerState {
    let mut state = BrokerState::new(BrokerSettings::new("vm-1", BOOT));
    state.configure(&config(1, servers(&vec![1; count])), Instant::now());
    state
}

#[test]
fn prompts_whose_start_crashed_several_servers_are_refused() {
    let cases = [
        BlockCase {
            what: "three crashes by two requests",
            ended: vec![crashed(0, 1), crashed(400, 1), crashed(800, 2)],
            blocked: true,
        },
        BlockCase {
            what: "two crashes",
            ended: vec![crashed(0, 1), crashed(400, 2)],
            blocked: false,
        },
        BlockCase {
            what: "a prompt with this start completed meanwhile",
            ended: vec![
                crashed(0, 1),
                crashed(400, 2),
                completed(600),
                crashed(800, 3),
            ],
            blocked: false,
        },
        BlockCase {
            what: "servers that end at the same moment",
            ended: (0..6).map(|number| crashed(number, number)).collect(),
            blocked: false,
        },
        BlockCase {
            what: "attempts that broke off while their servers went on",
            ended: (0..6)
                .map(|number| Ended {
                    outcome: AttemptOutcome::Unknown,
                    ..crashed(number * 400, number)
                })
                .collect(),
            blocked: false,
        },
    ];
    for case in cases {
        let (mut state, start) = (broker(8), Instant::now());
        play(&mut state, &case.ended, start);
        let now = start + Duration::from_secs(4);
        state.request_grant(prompt(50, PREFIX), now);
        state.request_grant(prompt(51, PREFIX + 1), now);
        let decisions = state.take_decisions();
        let expected: &[&str] = match case.blocked {
            true => &["request-51"],
            false => &["request-50", "request-51"],
        };
        assert_eq!(granted(&decisions), expected, "{}", case.what);
        if case.blocked {
            let refusal = refusal(&decisions[0]);
            assert_eq!(refusal.reason, RefusalReason::CrashesServers);
            // The caller learns when the block ends.
            assert!(refusal.retry_after > Duration::from_secs(590));
        }
    }
}

/// Guards against a blocked request that waited in the queue and is granted.
#[test]
fn a_queued_prompt_that_is_blocked_meanwhile_is_refused() {
    let (mut state, start) = (broker(4), Instant::now());
    let running: Vec<_> = (0..4)
        .map(|number| state.request_grant(prompt(number, PREFIX), start))
        .collect();
    let decisions = state.take_decisions();
    // It waits for the server that doesn't crash.
    let mut waiting = prompt(50, PREFIX);
    waiting.excluded = decisions[..3]
        .iter()
        .map(|decision| server(decision).to_string())
        .collect();
    state.request_grant(waiting, start);
    for (index, ticket) in running[..3].iter().enumerate() {
        let release = GrantRelease {
            outcome: AttemptOutcome::Crashed,
            first_token: None,
            ..release(*ticket)
        };
        let after = Duration::from_millis(300 * (index as u64 + 1));
        state.release(&release, start + after);
    }
    assert_eq!(state.take_decisions(), Vec::new(), "it waits");
    let release = GrantRelease {
        outcome: AttemptOutcome::Cancelled,
        first_token: None,
        ..release(running[3])
    };
    state.release(&release, start + SETTLED * 2);
    let decisions = state.take_decisions();
    assert_eq!(refusal(&decisions[0]).reason, RefusalReason::CrashesServers);
}
