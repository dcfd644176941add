//! Stored documents, diffs and in-place edits.

use super::samples::{Edit, POOLS, ROUTES, edit, edited, sample_texts};
use crate::tables::{
    CheckedTables, ConfigDocument, DocumentChange, DocumentError, EditError, HISTORY_LIMIT,
    MAX_DOCUMENT_BYTES, TableDiff, TableTexts, set_server_drain,
};

fn change(number: u64, texts: TableTexts) -> DocumentChange {
    DocumentChange {
        change_id: format!("change-{number}"),
        operator: "ada".to_owned(),
        applied_at: number,
        texts,
    }
}

#[test]
fn successors_keep_a_bounded_history() {
    let mut document = ConfigDocument::first(change(1, sample_texts()));
    for number in 2..=30 {
        document = document.successor(change(number, sample_texts()));
    }
    assert_eq!(document.revision, 30);
    let revisions: Vec<u64> = document
        .history
        .iter()
        .map(|entry| entry.revision)
        .collect();
    assert_eq!(revisions.len(), HISTORY_LIMIT);
    assert!(revisions.iter().copied().eq((10..30).rev()));
    let found = |change_id| document.find_change(change_id).map(|entry| entry.revision);
    assert_eq!(
        (found("change-30"), found("change-10")),
        (Some(30), Some(10))
    );
    assert_eq!(found("change-9"), None);
    let config = document.check().expect("the sample is valid");
    assert_eq!(
        (config.revision, config.change_id.as_str()),
        (30, "change-30")
    );
}

#[test]
fn documents_round_trip_through_bytes() {
    let document = ConfigDocument::first(change(1, sample_texts()));
    let bytes = document.to_bytes().expect("a small document");
    assert_eq!(ConfigDocument::from_bytes(&bytes), Ok(document));
}

#[test]
fn bad_documents_are_refused() {
    let mut document = ConfigDocument::first(change(1, sample_texts()));
    document.revision = 0;
    let bytes = document.to_bytes().expect("a small document");
    assert_eq!(
        ConfigDocument::from_bytes(&bytes),
        Err(DocumentError::ZeroRevision)
    );

    let with_extra = String::from_utf8(bytes)
        .expect("JSON")
        .replacen('{', "{\"x\":1,", 1);
    let outcome = ConfigDocument::from_bytes(with_extra.as_bytes());
    assert!(matches!(outcome, Err(DocumentError::Unreadable(_))));

    document.routes = "#".repeat(MAX_DOCUMENT_BYTES);
    assert!(matches!(
        document.to_bytes(),
        Err(DocumentError::TooLarge(_))
    ));
    let large = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let outcome = ConfigDocument::from_bytes(&large);
    assert_eq!(
        outcome,
        Err(DocumentError::TooLarge(MAX_DOCUMENT_BYTES + 1))
    );
}

#[test]
fn diffs_name_rows_and_keys() {
    let before = sample_texts();
    let routes = edited(
        ROUTES,
        &[
            edit(
                "\"20s\"",
                "\"30s\"\ntimeout = \"80s\"\nfirst_token = \"1s\"",
            ),
            edit("\"payment\"", "\"pay\""),
        ],
    );
    let pools = edited(POOLS, &[edit("slots = 4", "slots = 5")]);
    let after = TableTexts { routes, pools };
    let diff = TableDiff::between(
        &before.check().expect("valid"),
        &after.check().unwrap_or_else(|errors| panic!("{errors}")),
    );
    let expected = "~ route \"memo\"\n    target: \"20s\" -> \"30s\"\n    first_token: (none) -> \"1s\"\n- route \"payment\"\n~ server \"d1\"\n    slots: 4 -> 5\n+ route \"pay\"\n";
    assert_eq!(diff.to_string(), expected);
    let json = serde_json::to_string(&diff).expect("plain data");
    assert!(
        json.starts_with(
            r#"{"rows":[{"table":"route","name":"memo","change":{"changed":[{"key":"target","#
        ),
        "{json}"
    );
}

#[test]
fn first_diff_adds_every_row() {
    let after = sample_texts().check().expect("valid");
    let diff = TableDiff::between(&CheckedTables::default(), &after);
    assert_eq!(diff.rows.len(), 7);
}

struct DrainCase {
    name: &'static str,
    pools: &'static [Edit],
    server: &'static str,
    drain: bool,
    expected: &'static [Edit],
}

const DRAIN_CASES: &[DrainCase] = &[
    DrainCase {
        name: "inline row",
        pools: &[],
        server: "e1",
        drain: true,
        expected: &[edit("name = \"e1\"", "name = \"e1\", drain = true")],
    },
    DrainCase {
        name: "row with a table header",
        pools: &[],
        server: "d1",
        drain: true,
        expected: &[edit("# the only one\n", "# the only one\ndrain = true\n")],
    },
    DrainCase {
        name: "key already present",
        pools: &[edit("slots = 4", "slots = 4\ndrain  =  false # for now")],
        server: "d1",
        drain: true,
        expected: &[edit("slots = 4", "slots = 4\ndrain  =  true # for now")],
    },
    DrainCase {
        name: "drain reset",
        pools: &[edit("slots = 4", "slots = 4\ndrain = true")],
        server: "d1",
        drain: false,
        expected: &[edit("slots = 4", "slots = 4\ndrain = false")],
    },
    DrainCase {
        name: "value already set",
        pools: &[],
        server: "e2",
        drain: false,
        expected: &[],
    },
    DrainCase {
        name: "CRLF line endings",
        pools: &[edit("# the only one\n", "# the only one\r\n")],
        server: "d1",
        drain: true,
        expected: &[edit(
            "# the only one\n",
            "# the only one\r\ndrain = true\r\n",
        )],
    },
];

#[test]
fn drain_edits_preserve_the_rest_of_the_text() {
    for case in DRAIN_CASES {
        let texts = TableTexts {
            pools: edited(POOLS, case.pools),
            ..sample_texts()
        };
        let drained = set_server_drain(&texts, case.server, case.drain);
        let drained = drained.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(
            drained.pools,
            edited(POOLS, case.expected),
            "case {}",
            case.name
        );
        assert_eq!(drained.routes, texts.routes);
    }
    let outcome = set_server_drain(&sample_texts(), "e3", true);
    assert_eq!(outcome, Err(EditError::UnknownServer("e3".to_owned())));
}
