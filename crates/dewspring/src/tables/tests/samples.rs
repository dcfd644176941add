//! Small valid tables and edits of them for the other tests.

use quickcheck::Gen;

use crate::tables::TableTexts;

/// Returns a generator with a fixed size and seed, so that each run tests the
/// same cases.
pub(super) fn fixed_gen() -> Gen {
    Gen::from_size_and_seed(60, 0x7ab1_e5ee_d000_0001)
}

pub(super) const ROUTES: &str = r#"# Routes.
[[route]]
name = "memo"
path = "/v1/chat/completions"
model = "small"
label = "memo"
pool = "engines"
tier = 1
target = "20s"

[[route]]
name = "payment"
path = "/payment/"
pool = "desk"
tier = 0
target = "2s"
timeout = "10s"
idempotent = false
"#;

pub(super) const POOLS: &str = r#"# Pools.
[[pool]]
name = "engines"
kind = "engine"
model = "small"
server = [
    # The first of two.
    { name = "e1", address = "127.0.0.1:9001", data_centre = "dc-1", slots = 8 }, # old
    { name = "e2", address = "127.0.0.1:9002", data_centre = "dc-2", slots = 8 },
]

[[pool]]
name = "desk"
kind = "service"

[[pool.server]]
name = "d1" # the only one
address = "127.0.0.1:9101"
data_centre = "dc-1"
slots = 4
"#;

pub(super) fn sample_texts() -> TableTexts {
    TableTexts {
        routes: ROUTES.to_owned(),
        pools: POOLS.to_owned(),
    }
}

/// Replacement of a substring that must occur exactly once in a text.
pub(super) struct Edit {
    pub(super) from: &'static str,
    pub(super) to: &'static str,
}

pub(super) const fn edit(from: &'static str, to: &'static str) -> Edit {
    Edit { from, to }
}

pub(super) fn edited(text: &str, edits: &[Edit]) -> String {
    let mut text = text.to_owned();
    for edit in edits {
        let count = text.matches(edit.from).count();
        assert_eq!(count, 1, "the sample contains {:?} once", edit.from);
        text = text.replace(edit.from, edit.to);
    }
    text
}
