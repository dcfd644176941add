use std::time::{Duration, Instant};

use super::readiness::{MAX_PEER_WAIT, ReadinessGate};

/// Checks of one gate, in order.
struct GateCase {
    name: &'static str,
    /// Time since the start, whether the VM has caught up, and whether the gate
    /// must be open.
    checks: Vec<(Duration, bool, bool)>,
}

#[test]
fn a_gate_waits_for_the_peers_up_to_its_time_limit() {
    let early = Duration::from_secs(1);
    let cases = [
        GateCase {
            name: "it stays open once the VM has caught up",
            checks: vec![
                (early, false, false),
                (early, true, true),
                (early, false, true),
            ],
        },
        GateCase {
            name: "silent peers keep it closed until the time limit",
            checks: vec![
                (MAX_PEER_WAIT - Duration::from_millis(1), false, false),
                (MAX_PEER_WAIT, false, true),
            ],
        },
    ];
    for case in cases {
        let started = Instant::now();
        let gate = ReadinessGate::new(started);
        for (after, is_caught_up, expected) in case.checks {
            let is_open = gate.is_open(started + after, || is_caught_up);
            assert_eq!(is_open, expected, "{} after {after:?}", case.name);
        }
    }
}
