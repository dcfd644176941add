use std::time::{Duration, Instant};

use super::applied::AppliedConfig;
use super::readiness::{MAX_PEER_WAIT, ReadinessGate};
use crate::configuration::{
    ConfigExchange, ConfigKeeper, ConfigSnapshot, DocumentReadError, KeeperSettings,
};
use crate::store::EmbeddedStore;
use crate::tables::FleetConfig;

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

/// Reads a document that consists of its revision alone.
fn read_revision(bytes: &[u8]) -> Result<FleetConfig, DocumentReadError> {
    let text = String::from_utf8_lossy(bytes);
    let revision = text
        .parse()
        .map_err(|_| DocumentReadError::Unusable(text.into_owned()))?;
    Ok(FleetConfig {
        revision,
        ..FleetConfig::default()
    })
}

fn offer(keeper: &ConfigKeeper, revision: u64) {
    keeper.offer(ConfigSnapshot {
        revision,
        document: revision.to_string().into_bytes(),
    });
    let deadline = Instant::now() + Duration::from_secs(5);
    while keeper.current().revision < revision {
        assert!(Instant::now() < deadline, "revision {revision} isn't taken");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a VM that becomes ready while its entry still serves by an older
/// revision than the one with which it has caught up.
#[test]
fn a_newer_revision_of_the_keeper_counts_only_once_it_is_applied() {
    let settings = KeeperSettings::new("north", 7);
    let keeper = ConfigKeeper::spawn_with(EmbeddedStore::open(), settings, read_revision);
    let applied = AppliedConfig::new(keeper.clone());
    offer(&keeper, 1);
    applied.apply(&[]);
    assert!(applied.is_up_to_date());
    offer(&keeper, 4);
    assert!(!applied.is_up_to_date());
    applied.apply(&[]);
    assert!(applied.is_up_to_date());
}
