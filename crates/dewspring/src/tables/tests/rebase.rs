//! Rebase of an operator's change onto that of another operator.

use super::samples::{Edit, POOLS, ROUTES, edit, edited, sample_texts};
use crate::tables::{RebaseError, TableTexts, rebase_tables};

struct RebaseCase {
    name: &'static str,
    mine: &'static [Edit],
    theirs: &'static [Edit],
    expected: RebaseExpectation,
}

enum RebaseExpectation {
    /// The pools table is the sample with these edits; comments are preserved.
    Merged(&'static [Edit]),
    /// The rows are merged, but the tables are formatted anew.
    Reformatted,
    /// These rows conflict.
    Conflicts(&'static str),
    /// The merged tables fail a check.
    Invalid(&'static str),
}

const NEW_SERVER: &str = "slots = 4\n[[pool.server]]\nname = \"d2\"\naddress = \"127.0.0.1:9102\"\ndata_centre = \"dc-1\"\nslots = 4\n";
const OTHER_SERVER: &str = "slots = 4\n[[pool.server]]\nname = \"d3\"\naddress = \"127.0.0.1:9102\"\ndata_centre = \"dc-1\"\nslots = 4\n";
const E1_9: Edit = edit("\"dc-1\", slots = 8", "\"dc-1\", slots = 9");
const E2_9: Edit = edit("\"dc-2\", slots = 8", "\"dc-2\", slots = 9");
const E1_7: Edit = edit("\"dc-1\", slots = 8", "\"dc-1\", slots = 7");

const CASES: &[RebaseCase] = &[
    RebaseCase {
        name: "adjacent servers",
        mine: &[E1_9],
        theirs: &[E2_9],
        expected: RebaseExpectation::Merged(&[E1_9, E2_9]),
    },
    RebaseCase {
        name: "the same change",
        mine: &[E1_9, E2_9],
        theirs: &[E1_9],
        expected: RebaseExpectation::Merged(&[E1_9, E2_9]),
    },
    RebaseCase {
        name: "no change on this side",
        mine: &[],
        theirs: &[E1_9],
        expected: RebaseExpectation::Merged(&[E1_9]),
    },
    RebaseCase {
        name: "one server changed differently",
        mine: &[E1_9],
        theirs: &[E1_7],
        expected: RebaseExpectation::Conflicts("changed on both sides: server \"e1\""),
    },
    RebaseCase {
        name: "rows and a comment on one line",
        mine: &[
            edit("kind = \"engine\"", "kind = \"engine\"\ncan_resume = true"),
            edit(
                "# The first of two.",
                "{ name = \"e0\", address = \"127.0.0.1:9000\", data_centre = \"dc-1\", slots = 1 },",
            ),
        ],
        theirs: &[
            edit("# The first of two.", "# The first pair."),
            edit("\"dc-1\", slots = 8", "\"dc-1\", slots = 6"),
        ],
        expected: RebaseExpectation::Reformatted,
    },
    RebaseCase {
        name: "a server removed on one side and changed on the other",
        mine: &[edit(
            "    { name = \"e2\", address = \"127.0.0.1:9002\", data_centre = \"dc-2\", slots = 8 },\n",
            "",
        )],
        theirs: &[E2_9],
        expected: RebaseExpectation::Conflicts("changed on both sides: server \"e2\""),
    },
    RebaseCase {
        name: "one address for two new servers",
        mine: &[edit("slots = 4\n", NEW_SERVER)],
        theirs: &[edit("slots = 4\n", OTHER_SERVER)],
        expected: RebaseExpectation::Invalid("\"127.0.0.1:9102\" is already taken at line 25"),
    },
];

fn pools_with(edits: &[Edit]) -> TableTexts {
    TableTexts {
        pools: edited(POOLS, edits),
        ..sample_texts()
    }
}

#[test]
fn disjoint_rows_are_merged_and_others_conflict() {
    for case in CASES {
        let base = sample_texts();
        let outcome = rebase_tables(&base, &pools_with(case.mine), &pools_with(case.theirs));
        match (&case.expected, outcome) {
            (RebaseExpectation::Merged(edits), Ok(rebased)) => {
                assert!(rebased.keeps_layout, "case {}", case.name);
                assert_eq!(rebased.texts, pools_with(edits), "case {}", case.name);
            }
            (RebaseExpectation::Reformatted, Ok(rebased)) => {
                assert!(!rebased.keeps_layout, "case {}", case.name);
                let tables = rebased.texts.check().expect("checked already");
                let pool = &tables.pools.rows["engines"];
                assert!(
                    pool.can_resume && pool.servers[0].slots == 6,
                    "case {}",
                    case.name
                );
            }
            (RebaseExpectation::Conflicts(text), Err(error @ RebaseError::Conflicts(_))) => {
                assert_eq!(error.to_string(), *text, "case {}", case.name);
            }
            (RebaseExpectation::Invalid(text), Err(error @ RebaseError::Invalid(_))) => {
                assert!(
                    error.to_string().contains(text),
                    "case {}: {error}",
                    case.name
                );
            }
            (_, outcome) => panic!("case {}: {outcome:?}", case.name),
        }
    }
}

#[test]
fn changes_of_both_tables_are_merged() {
    let mine = TableTexts {
        routes: edited(ROUTES, &[edit("\"20s\"", "\"30s\"")]),
        ..sample_texts()
    };
    let rebased = rebase_tables(&sample_texts(), &mine, &pools_with(&[E1_9])).expect("disjoint");
    let expected = TableTexts {
        routes: mine.routes,
        ..pools_with(&[E1_9])
    };
    assert_eq!(rebased.texts, expected);
}

#[test]
fn a_server_for_a_removed_pool_is_a_conflict() {
    let desk_start = POOLS
        .find("\n[[pool]]\nname = \"desk\"")
        .expect("in the sample");
    let payment_start = ROUTES
        .find("\n[[route]]\nname = \"payment\"")
        .expect("in the sample");
    let mine = TableTexts {
        routes: ROUTES[..payment_start].to_owned(),
        pools: POOLS[..desk_start].to_owned(),
    };
    let theirs = pools_with(&[edit("slots = 4\n", NEW_SERVER)]);
    let outcome = rebase_tables(&sample_texts(), &mine, &theirs).expect_err("no such pool");
    assert_eq!(outcome.to_string(), "changed on both sides: server \"d2\"");
}
