use std::time::{Duration, Instant};

use super::ready::{PEERS_LIMIT, ReadyGate};

/// Looks at a gate one after the other.
struct GateCase {
    name: &'static str,
    /// Time since the start, whether the peers are heard, and whether the gate
    /// is open.
    looks: Vec<(Duration, bool, bool)>,
}

#[test]
fn a_gate_waits_for_the_peers_up_to_its_limit() {
    let early = Duration::from_secs(1);
    let cases = [
        GateCase {
            name: "peers that are heard open it for good",
            looks: vec![
                (early, false, false),
                (early, true, true),
                (early, false, true),
            ],
        },
        GateCase {
            name: "silent peers keep it closed until the limit",
            looks: vec![
                (PEERS_LIMIT - Duration::from_millis(1), false, false),
                (PEERS_LIMIT, false, true),
            ],
        },
    ];
    for case in cases {
        let started = Instant::now();
        let gate = ReadyGate::new(started);
        for (after, are_peers_heard, expected) in case.looks {
            let is_open = gate.is_open(started + after, || are_peers_heard);
            assert_eq!(is_open, expected, "{} after {after:?}", case.name);
        }
    }
}
