//! Tests of the state machine, without threads.

use std::time::{Duration, Instant};

use super::super::exchange::ConfigSnapshot;
use super::super::reader::{DocumentReadError, read_bounded};
use super::super::state::{
    ConfigProblem, DocumentOrigin, KeeperEffects, KeeperEvent, KeeperState, ParsedDocument,
};
use super::{document, read_plain};
use crate::ids::Revision;
use crate::store::MAX_VALUE_BYTES;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn read(bytes: Vec<u8>) -> ParsedDocument {
    let parsed = read_bounded(&read_plain, &bytes);
    ParsedDocument { bytes, parsed }
}

fn stored(bytes: Vec<u8>) -> KeeperEvent {
    KeeperEvent::Stored(Some(read(bytes)))
}

fn offered(declared: Revision, bytes: Vec<u8>) -> KeeperEvent {
    let document = read(bytes);
    KeeperEvent::Offered { declared, document }
}

fn in_force(state: &KeeperState) -> (Revision, &str) {
    state.accepted().map_or((0, ""), |accepted| {
        (accepted.config.revision, &accepted.config.change_id)
    })
}

#[test]
fn keeps_the_newest_valid_document() {
    struct EventCase {
        name: &'static str,
        event: KeeperEvent,
        adopts: bool,
        reports: Option<fn(&ConfigProblem) -> bool>,
    }
    let is_unreadable: fn(&ConfigProblem) -> bool = |problem| {
        matches!(
            problem,
            ConfigProblem::Unreadable(DocumentReadError::Unusable(_))
        )
    };
    let is_oversized: fn(&ConfigProblem) -> bool = |problem| {
        matches!(
            problem,
            ConfigProblem::Unreadable(DocumentReadError::Oversized(_))
        )
    };
    let is_behind: fn(&ConfigProblem) -> bool =
        |problem| matches!(problem, ConfigProblem::StoreBehind { .. });
    let is_conflict: fn(&ConfigProblem) -> bool =
        |problem| matches!(problem, ConfigProblem::ChangeConflict { .. });
    let is_mismatch: fn(&ConfigProblem) -> bool =
        |problem| matches!(problem, ConfigProblem::RevisionMismatch { .. });
    let case = |name, event, adopts, reports| EventCase {
        name,
        event,
        adopts,
        reports,
    };
    let cases = [
        case("first", stored(document(5, "e")), true, None),
        case("same again", stored(document(5, "e")), false, None),
        case("garbage", stored(b"{".to_vec()), false, Some(is_unreadable)),
        case(
            "revision 0",
            stored(document(0, "z")),
            false,
            Some(is_unreadable),
        ),
        case(
            "oversized",
            stored(vec![b' '; MAX_VALUE_BYTES + 1]),
            false,
            Some(is_oversized),
        ),
        case("older", stored(document(4, "d")), false, Some(is_behind)),
        case("deleted", KeeperEvent::Stored(None), false, Some(is_behind)),
        case(
            "other change",
            stored(document(5, "x")),
            false,
            Some(is_conflict),
        ),
        case("lagging peer", offered(4, document(4, "d")), false, None),
        case(
            "peer with a wrong declared revision",
            offered(9, document(6, "f")),
            false,
            Some(is_mismatch),
        ),
        case(
            "garbage peer",
            offered(9, b"{".to_vec()),
            false,
            Some(is_unreadable),
        ),
        case(
            "other peer",
            offered(5, document(5, "x")),
            false,
            Some(is_conflict),
        ),
        case("newer peer", offered(6, document(6, "f")), true, None),
        case("store catches up", stored(document(6, "f")), false, None),
        case("newer", stored(document(8, "h")), true, None),
    ];
    let mut state = KeeperState::default();
    for case in cases {
        let effects = state.apply(case.event, Instant::now());
        assert_eq!(effects.adopted.is_some(), case.adopts, "{}", case.name);
        let problem = effects.report.map(|(_, problem)| problem);
        match (case.reports, problem) {
            (Some(is_expected), Some(problem)) => assert!(is_expected(&problem), "{}", case.name),
            (expected, problem) => {
                assert!(expected.is_none() && problem.is_none(), "{}", case.name);
            }
        }
    }
    assert_eq!(in_force(&state), (8, "h"));
    assert_eq!(state.store_problem(), None);
}

#[test]
fn reports_a_persistent_problem_once() {
    let mut state = KeeperState::default();
    let now = Instant::now();
    state.apply(stored(document(5, "e")), now);
    let reports = |effects: KeeperEffects| effects.report.is_some();
    assert!(reports(state.apply(stored(document(4, "d")), now)));
    assert!(!reports(state.apply(stored(document(4, "d")), now)));
    assert!(state.store_problem().is_some());
    assert!(!reports(state.apply(stored(document(5, "e")), now)));
    assert!(reports(state.apply(stored(document(4, "d")), now)));
}

#[test]
fn reads_only_offers_that_can_change_the_state() {
    let offer = |declared, bytes: Vec<u8>| ConfigSnapshot {
        revision: declared,
        document: bytes,
    };
    let mut state = KeeperState::default();
    state.apply(stored(document(5, "e")), Instant::now());
    assert!(!state.needs_reading(&offer(4, document(4, "d"))));
    assert!(!state.needs_reading(&offer(5, document(5, "e"))));
    assert!(state.needs_reading(&offer(5, document(5, "x"))));
    assert!(state.needs_reading(&offer(6, b"{".to_vec())));
    state.apply(offered(6, b"{".to_vec()), Instant::now());
    assert!(!state.needs_reading(&offer(6, b"{".to_vec())));
    assert!(state.needs_reading(&offer(6, document(6, "f"))));
}

#[test]
fn is_ready_by_the_store_or_all_peers() {
    struct ReadyCase {
        name: &'static str,
        events: Vec<KeeperEvent>,
        ready: bool,
    }
    let offer = || offered(5, document(5, "e"));
    let cases = [
        ReadyCase {
            name: "store with a document",
            events: vec![stored(document(5, "e"))],
            ready: true,
        },
        ReadyCase {
            name: "store without a document",
            events: vec![KeeperEvent::Stored(None)],
            ready: false,
        },
        ReadyCase {
            name: "one peer",
            events: vec![KeeperEvent::StoreFailed, offer()],
            ready: false,
        },
        ReadyCase {
            name: "all peers while the store is down",
            events: vec![KeeperEvent::StoreFailed, offer(), KeeperEvent::PeersSynced],
            ready: true,
        },
        ReadyCase {
            name: "all peers before a read or failure of the store",
            events: vec![offer(), KeeperEvent::PeersSynced],
            ready: false,
        },
        ReadyCase {
            name: "peers without a document",
            events: vec![KeeperEvent::StoreFailed, KeeperEvent::PeersSynced, offer()],
            ready: false,
        },
        ReadyCase {
            name: "an outage after the store was read",
            events: vec![stored(document(5, "e")), KeeperEvent::StoreFailed],
            ready: true,
        },
        ReadyCase {
            name: "a peer's document and an unreadable one in the store",
            events: vec![offer(), stored(b"{".to_vec())],
            ready: true,
        },
    ];
    for case in cases {
        let mut state = KeeperState::default();
        for event in case.events {
            state.apply(event, Instant::now());
        }
        assert_eq!(state.is_ready(), case.ready, "{}", case.name);
    }
}

/// A random event from few revisions and changes, so that collisions are
/// frequent.
#[derive(Clone, Debug)]
enum RandomEvent {
    Stored(Option<RandomDocument>),
    Offered(Revision, RandomDocument),
    StoreFailed,
    PeersSynced,
}

#[derive(Clone, Debug)]
struct RandomDocument {
    revision: Revision,
    change: char,
    is_valid: bool,
}

impl RandomDocument {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = document(self.revision, &self.change.to_string());
        if !self.is_valid {
            bytes.pop();
        }
        bytes
    }
}

impl Arbitrary for RandomDocument {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            revision: u64::arbitrary(g) % 12,
            change: *g.choose(&['a', 'b']).expect("a choice"),
            is_valid: u8::arbitrary(g) % 4 != 0,
        }
    }
}

impl Arbitrary for RandomEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Stored(Some(RandomDocument::arbitrary(g))),
            3..=4 => {
                let document = RandomDocument::arbitrary(g);
                let is_declared_correctly = u8::arbitrary(g) % 4 != 0;
                let declared = document.revision + u64::from(!is_declared_correctly);
                Self::Offered(declared, document)
            }
            5 => Self::Stored(None),
            6 => Self::StoreFailed,
            _ => Self::PeersSynced,
        }
    }
}

/// Updates the expected configuration: the first valid change of the highest
/// revision.
fn update_expected(event: &RandomEvent, expected: &mut (Revision, String)) {
    let document = match event {
        RandomEvent::Stored(Some(document)) => document,
        RandomEvent::Offered(declared, document) if *declared == document.revision => document,
        _ => return,
    };
    if document.is_valid && document.revision > expected.0 {
        *expected = (document.revision, document.change.to_string());
    }
}

fn revision_never_falls(events: Vec<RandomEvent>) -> bool {
    let mut state = KeeperState::default();
    let mut expected = (0, String::new());
    let mut now = Instant::now();
    for event in events {
        update_expected(&event, &mut expected);
        let (before, was_ready) = (state.revision(), state.is_ready());
        now += Duration::from_millis(10);
        let effects = state.apply(
            match event {
                RandomEvent::Stored(document) => {
                    KeeperEvent::Stored(document.map(|document| read(document.bytes())))
                }
                RandomEvent::Offered(declared, document) => offered(declared, document.bytes()),
                RandomEvent::StoreFailed => KeeperEvent::StoreFailed,
                RandomEvent::PeersSynced => KeeperEvent::PeersSynced,
            },
            now,
        );
        let rose = state.revision() > before;
        let is_as_expected = in_force(&state) == (expected.0, expected.1.as_str())
            && state.revision() >= before
            && effects.adopted.is_some() == rose
            && (state.is_ready() || !was_ready);
        if !is_as_expected {
            return false;
        }
    }
    true
}

#[test]
fn random_events_never_lower_the_revision() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x0c0f_fee0))
        .tests(2_000)
        .min_tests_passed(2_000)
        .quickcheck(revision_never_falls as fn(Vec<RandomEvent>) -> bool);
}

#[test]
fn reports_name_their_origin() {
    let mut state = KeeperState::default();
    let effects = state.apply(stored(b"{".to_vec()), Instant::now());
    let (origin, _) = effects.report.expect("a report");
    assert_eq!(origin, DocumentOrigin::Store);
    let effects = state.apply(offered(1, b"{".to_vec()), Instant::now());
    let (origin, _) = effects.report.expect("a report");
    assert_eq!(origin, DocumentOrigin::Peer);
}
