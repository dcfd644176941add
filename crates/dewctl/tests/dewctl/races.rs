//! Concurrent operators on a store that loses responses and delays writes.

use std::thread;

use dewctl::CommandError;
use dewctl::apply::{ApplyRequest, apply_tables};
use dewctl::commit::CommitOutcome;
use dewctl::drain::{ServerDrain, drain_server};
use dewctl::show::read_fleet;
use dewspring::tables::{RowKey, TableDiff};

use crate::commit::{LIMITS, SERVERS, origin, request};
use crate::support::{KEY, SplitMix, TestStore, first_document, with_slots};

/// Outcome of one operator's change.
struct RaceResult {
    change_id: String,
    server: usize,
    outcome: Result<CommitOutcome, CommandError>,
}

const OPERATORS: usize = 20;
const CHANGES_EACH: usize = 50;

/// Makes all changes of one operator, each to the same row.
///
/// Two operators share each row.
fn run_operator(store: &TestStore, operator: usize, seed: u64) -> Vec<RaceResult> {
    let mut random = SplitMix(seed ^ operator as u64);
    let server = operator % SERVERS;
    let mut results = Vec::new();
    for number in 0..CHANGES_EACH {
        let change_id = format!("{operator}-{number}");
        let origin = origin(&change_id);
        let outcome = if random.below(4) == 0 {
            let drain = ServerDrain {
                fleet: "default".to_owned(),
                server: format!("s{server}"),
                drain: random.below(2) == 0,
            };
            drain_server(store, KEY, &drain, &origin, LIMITS)
        } else {
            let base = read_fleet(store, "default").expect("reads don't fail");
            let texts = with_slots(&base.texts(), server, 1 + random.below(60_000));
            apply_tables(
                store,
                KEY,
                &ApplyRequest {
                    origin,
                    ..request(base, texts, true)
                },
                LIMITS,
            )
        };
        results.push(RaceResult {
            change_id,
            server,
            outcome,
        });
    }
    results
}

#[test]
fn a_thousand_racing_changes_are_each_settled() {
    const SEED: u64 = 0xdec7_0001;
    let store = TestStore::new(Some(&first_document(SERVERS)));
    store.fail_at_random(SEED);
    let results: Vec<RaceResult> = thread::scope(|scope| {
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                let store = &store;
                scope.spawn(move || run_operator(store, operator, SEED))
            })
            .collect();
        let joined = operators
            .into_iter()
            .flat_map(|operator| operator.join().expect("no panic"));
        joined.collect()
    });
    store.apply_all_delayed();
    let log = store.log();

    // Revisions increase by one and no change is applied twice. The loop below
    // checks that each change affects only its own row.
    for (at, document) in log.iter().enumerate() {
        assert_eq!(document.revision, at as u64 + 1);
        let copies = log
            .iter()
            .filter(|other| other.change_id == document.change_id);
        assert_eq!(copies.count(), 1, "{}", document.change_id);
    }
    let mut counts = [0; 4];
    for result in &results {
        let log_index = log
            .iter()
            .position(|document| document.change_id == result.change_id);
        match &result.outcome {
            Ok(CommitOutcome::Applied(change)) => {
                let at = log_index.expect("an applied change is in the log");
                assert_eq!(log[at].revision, change.entry.revision);
                counts[0] += 1;
            }
            Ok(CommitOutcome::Unchanged(_)) => {
                assert_eq!(log_index, None);
                counts[1] += 1;
            }
            Err(CommandError::Unknown { .. }) => counts[3] += 1,
            Err(error) => {
                let refused = matches!(error, CommandError::Conflict(_) | CommandError::Contended);
                assert!(refused, "{error}");
                assert_eq!(log_index, None, "a refused change is not in the log");
                counts[2] += 1;
            }
        }
        if let Some(at) = log_index {
            let before = log[at - 1].texts().check().expect("valid");
            let after = log[at].texts().check().expect("valid");
            let diff = TableDiff::between(&before, &after);
            let row = RowKey::Server(format!("s{}", result.server));
            assert!(diff.rows.keys().all(|key| *key == row), "{diff}");
        }
    }
    let [applied, unchanged, conflicts, unknown] = counts;
    println!("{applied} applied, {unchanged} unchanged, {conflicts} conflicts, {unknown} unknown");
    assert_eq!(results.len(), OPERATORS * CHANGES_EACH);
    assert!(applied > 500, "most changes are applied");
}
