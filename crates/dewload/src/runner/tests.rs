//! Tests of the differences and sums of server counts.

use indexmap::IndexMap;

use super::ServerCounts;

fn counts(executions: &[(&str, u64)], wasted: u64) -> ServerCounts {
    ServerCounts {
        executions: executions
            .iter()
            .map(|(name, count)| ((*name).to_owned(), *count))
            .collect(),
        tokens_wasted: wasted,
        ..ServerCounts::default()
    }
}

#[test]
fn counts_before_the_run_are_subtracted() {
    struct Case {
        name: &'static str,
        before: ServerCounts,
        after: ServerCounts,
        expected: ServerCounts,
    }
    let cases = [
        Case {
            name: "only new executions count",
            before: counts(&[("a", 1)], 10),
            after: counts(&[("a", 2), ("b", 1)], 15),
            expected: counts(&[("a", 1), ("b", 1)], 5),
        },
        Case {
            name: "a restarted server counts from 0",
            before: counts(&[("a", 1)], 10),
            after: counts(&[("b", 1)], 3),
            expected: counts(&[("b", 1)], 0),
        },
    ];
    for case in cases {
        assert_eq!(
            case.after.since(&case.before),
            case.expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn counts_add_up_by_name() {
    let mut sum = counts(&[("a", 1)], 1);
    sum.add(&counts(&[("a", 1), ("b", 1)], 2));
    let expected = IndexMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]);
    assert_eq!(sum.executions, expected);
    assert_eq!(sum.tokens_wasted, 3);
}
