//! Single faults during a change: lost responses, concurrent writes, outages.

use std::time::Duration;

use crate::support::{KEY, StoreFault, TestStore, change, first_document, texts, with_slots};
use dewctl::CommandError;
use dewctl::apply::{ApplyBase, ApplyRequest, apply_tables};
use dewctl::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use dewspring::tables::{ConfigDocument, TableTexts};

pub(crate) const SERVERS: usize = 10;

pub(crate) const LIMITS: CommitLimits = CommitLimits {
    retry_timeout: Duration::from_secs(10),
    retry_pause: Duration::from_millis(1),
};

const SHORT_LIMITS: CommitLimits = CommitLimits {
    retry_timeout: Duration::from_millis(50),
    retry_pause: Duration::from_millis(5),
};

pub(crate) fn origin(change_id: &str) -> ChangeOrigin {
    ChangeOrigin {
        change_id: change_id.to_owned(),
        operator: "ada".to_owned(),
        applied_at: 1,
    }
}

pub(crate) fn request(
    base: ConfigDocument,
    texts: TableTexts,
    allows_rebase: bool,
) -> ApplyRequest {
    ApplyRequest {
        texts,
        base: ApplyBase::Document(Box::new(base)),
        allows_rebase,
        origin: origin("mine"),
    }
}

/// Returns a short text for an outcome, to compare with the expected one.
fn outcome_name(outcome: &Result<CommitOutcome, CommandError>) -> String {
    match outcome {
        Ok(CommitOutcome::Applied(change)) if change.was_read_back => {
            format!("read back {}", change.entry.revision)
        }
        Ok(CommitOutcome::Applied(change)) => format!("applied {}", change.entry.revision),
        Ok(CommitOutcome::Unchanged(document)) => format!("unchanged {}", document.revision),
        Err(error) => format!("{:?}", error.exit_status()),
    }
}

fn concurrent_write(server: usize) -> StoreFault {
    let texts = with_slots(&texts(SERVERS), server, 7);
    let document = first_document(SERVERS).successor(change("concurrent", texts));
    StoreFault::ConcurrentWrite(Box::new(document))
}

struct CommitCase {
    name: &'static str,
    faults: Vec<StoreFault>,
    rebase: bool,
    outcome: &'static str,
    /// Change ids of all documents written to the store, oldest first.
    log: &'static [&'static str],
}

#[test]
fn faults_one_by_one() {
    use StoreFault::{Delayed, LostRequest, LostResponse, None, Unavailable};
    let cases = [
        CommitCase {
            name: "no fault",
            faults: vec![],
            rebase: false,
            outcome: "applied 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "response lost after the swap",
            faults: vec![LostResponse],
            rebase: false,
            outcome: "read back 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "request lost before the swap",
            faults: vec![LostRequest],
            rebase: false,
            outcome: "read back 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "write delayed past the retry",
            faults: vec![Delayed],
            rebase: false,
            outcome: "read back 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "write delayed, arrives before the next read",
            faults: vec![Delayed, LostRequest],
            rebase: false,
            outcome: "read back 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "store unavailable",
            faults: vec![Unavailable],
            rebase: false,
            outcome: "Failed",
            log: &["first"],
        },
        CommitCase {
            name: "store unavailable after a lost request",
            faults: vec![LostRequest, Unavailable, None],
            rebase: false,
            outcome: "read back 2",
            log: &["first", "mine"],
        },
        CommitCase {
            name: "concurrent change to another row",
            faults: vec![concurrent_write(1)],
            rebase: false,
            outcome: "Conflict",
            log: &["first", "concurrent"],
        },
        CommitCase {
            name: "concurrent change to another row, rebased",
            faults: vec![concurrent_write(1)],
            rebase: true,
            outcome: "applied 3",
            log: &["first", "concurrent", "mine"],
        },
        CommitCase {
            name: "concurrent change to the same row",
            faults: vec![concurrent_write(0)],
            rebase: true,
            outcome: "Conflict",
            log: &["first", "concurrent"],
        },
        CommitCase {
            name: "request lost, then a concurrent change",
            faults: vec![LostRequest, concurrent_write(0)],
            rebase: true,
            outcome: "Conflict",
            log: &["first", "concurrent"],
        },
        CommitCase {
            name: "delayed, then a concurrent change",
            faults: vec![Delayed, concurrent_write(1)],
            rebase: true,
            outcome: "applied 3",
            log: &["first", "concurrent", "mine"],
        },
        CommitCase {
            name: "every request lost",
            faults: vec![LostRequest; 1_000],
            rebase: false,
            outcome: "Unknown",
            log: &["first"],
        },
    ];
    for case in cases {
        let first = first_document(SERVERS);
        let store = TestStore::new(Some(&first));
        store.inject(case.faults);
        let request = request(first, with_slots(&texts(SERVERS), 0, 3), case.rebase);
        let outcome = apply_tables(&store, KEY, &request, SHORT_LIMITS);
        assert_eq!(
            outcome_name(&outcome),
            case.outcome,
            "case {}: {outcome:?}",
            case.name
        );
        store.apply_all_delayed();
        let log = store.log();
        let ids: Vec<&str> = log
            .iter()
            .map(|document| document.change_id.as_str())
            .collect();
        assert_eq!(ids, case.log, "case {}", case.name);
    }
}

#[test]
fn reads_that_fail_before_the_swap_change_nothing() {
    let first = first_document(SERVERS);
    let store = TestStore::new(Some(&first));
    store.fail_reads(1);
    let request = request(first, with_slots(&texts(SERVERS), 0, 3), false);
    let outcome = apply_tables(&store, KEY, &request, SHORT_LIMITS);
    assert_eq!(outcome_name(&outcome), "Failed");
    assert_eq!(store.log().len(), 1);
}

#[test]
fn reads_that_fail_after_a_lost_answer_are_repeated() {
    let store = TestStore::new(Some(&first_document(SERVERS)));
    store.inject([StoreFault::LostResponse]);
    let propose = |_: Option<&ConfigDocument>| {
        // The first read has succeeded; the next two fail.
        store.fail_reads(2);
        Ok(ProposedTables::Changed(with_slots(&texts(SERVERS), 0, 3)))
    };
    let outcome = commit_change(&store, KEY, &origin("mine"), propose, LIMITS);
    assert_eq!(outcome_name(&outcome), "read back 2");
}

#[test]
fn a_swap_whose_revision_left_the_history_is_unknown() {
    let first = first_document(SERVERS);
    let mut later = first.clone();
    for number in 0..30 {
        let texts = with_slots(&texts(SERVERS), 1, 10 + number);
        later = later.successor(change(&format!("concurrent-{number}"), texts));
    }
    let store = TestStore::new(Some(&first));
    store.inject([
        StoreFault::LostRequest,
        StoreFault::ConcurrentWrite(Box::new(later)),
    ]);
    let request = request(first, with_slots(&texts(SERVERS), 0, 3), true);
    let outcome = apply_tables(&store, KEY, &request, LIMITS);
    assert_eq!(outcome_name(&outcome), "Unknown");
}

#[test]
fn bases_that_are_not_current_conflict() {
    let first = first_document(SERVERS);
    let store = TestStore::new(Some(&first));
    let with_base = |base| ApplyRequest {
        base,
        ..request(first.clone(), with_slots(&texts(SERVERS), 0, 3), false)
    };
    let mut foreign = first.clone();
    foreign.change_id = "from another fleet".to_owned();
    let bases = [
        ApplyBase::Absent,
        ApplyBase::Revision(2),
        ApplyBase::Document(Box::new(foreign)),
    ];
    for base in bases {
        let outcome = apply_tables(&store, KEY, &with_base(base), LIMITS);
        assert_eq!(outcome_name(&outcome), "Conflict");
    }
    let outcome = apply_tables(
        &TestStore::new(None),
        KEY,
        &with_base(ApplyBase::Revision(1)),
        LIMITS,
    );
    assert_eq!(outcome_name(&outcome), "Conflict");
    let outcome = apply_tables(&store, KEY, &with_base(ApplyBase::Revision(1)), LIMITS);
    assert_eq!(outcome_name(&outcome), "applied 2");
    // A repeated change id is read back; the same tables under another id need
    // no change.
    let outcome = apply_tables(&store, KEY, &with_base(ApplyBase::Revision(1)), LIMITS);
    assert_eq!(outcome_name(&outcome), "read back 2");
    let other = ApplyRequest {
        origin: origin("other"),
        ..with_base(ApplyBase::Absent)
    };
    assert_eq!(
        outcome_name(&apply_tables(&store, KEY, &other, LIMITS)),
        "unchanged 2"
    );
    let reused = ApplyRequest {
        texts: with_slots(&texts(SERVERS), 0, 4),
        ..with_base(ApplyBase::Revision(2))
    };
    let outcome = apply_tables(&store, KEY, &reused, LIMITS);
    assert!(
        matches!(outcome, Err(CommandError::ReusedChange(_))),
        "{outcome:?}"
    );
}
