//! Each check of the verifier with the errors that it reports.

use std::time::Duration;

use super::samples::{Edit, POOLS, ROUTES, edit, edited, sample_texts};
use crate::tables::{LatePolicy, TableTexts};

struct VerifyCase {
    name: &'static str,
    routes: &'static [Edit],
    pools: &'static [Edit],
    errors: &'static [&'static str],
}

const SECOND_MEMO: &str = r#"target = "20s"

[[route]]
name = "second"
path = "/v1/chat/completions"
model = "small"
label = "memo"
pool = "engines"
tier = 1
target = "1s"
"#;

const CASES: &[VerifyCase] = &[
    VerifyCase {
        name: "valid",
        routes: &[],
        pools: &[],
        errors: &[],
    },
    VerifyCase {
        name: "unknown and missing keys",
        routes: &[edit("tier = 1", "teir = 1"), edit("# Routes.", "x = 1")],
        pools: &[edit("slots = 4", "slot = 4")],
        errors: &[
            "routes.toml:1: x: unknown key",
            "routes.toml:2: tier: missing key",
            "routes.toml:8: teir: unknown key",
            "pools.toml:16: slots: missing key",
            "pools.toml:20: slot: unknown key",
        ],
    },
    VerifyCase {
        name: "wrong types",
        routes: &[
            edit("\"20s\"", "20"),
            edit("tier = 1", "tier = \"1\""),
            edit("idempotent = false", "idempotent = 0\nmethods = \"POST\""),
        ],
        pools: &[edit("name = \"engines\"", "name = 1")],
        errors: &[
            "routes.toml:7: pool: no pool is named \"engines\"",
            "routes.toml:8: tier: must be an integer",
            "routes.toml:9: target: must be a duration such as \"120s\" or \"5m\"",
            "routes.toml:18: idempotent: must be true or false",
            "routes.toml:19: methods: must be an array of strings",
            "pools.toml:3: name: must be a string",
        ],
    },
    VerifyCase {
        name: "wrong type of a key that is not allowed",
        routes: &[],
        pools: &[edit("kind = \"service\"", "kind = \"service\"\nmodel = []")],
        errors: &[
            "pools.toml:15: model: must be a string",
            "pools.toml:15: model: is not allowed with a service pool",
        ],
    },
    VerifyCase {
        name: "dangling pool",
        routes: &[edit("\"desk\"", "\"desks\"")],
        pools: &[],
        errors: &["routes.toml:14: pool: no pool is named \"desks\""],
    },
    VerifyCase {
        name: "zero limits and durations",
        routes: &[
            edit(
                "\"20s\"",
                "\"0s\"\nmax_body_bytes = 0\nfloor_percent = 0\nfirst_token = \"0s\"",
            ),
            edit("\"10s\"", "\"0ms\""),
        ],
        pools: &[edit("slots = 4", "slots = 0")],
        errors: &[
            "routes.toml:9: target: must be above zero",
            "routes.toml:10: max_body_bytes: must be above zero",
            "routes.toml:11: floor_percent: must be above zero",
            "routes.toml:12: first_token: must be above zero",
            "routes.toml:20: timeout: must be above zero",
            "pools.toml:20: slots: must be above zero",
        ],
    },
    VerifyCase {
        name: "ranges",
        routes: &[
            edit("tier = 1", "tier = 5\nfloor_percent = 101"),
            edit("tier = 0", "tier = -1"),
            edit("\"10s\"", "\"25h\""),
        ],
        pools: &[edit("slots = 4", "slots = 99999999999999999999")],
        errors: &[
            "routes.toml:8: tier: must be from 0 to 4",
            "routes.toml:9: floor_percent: must be from 1 to 100",
            "routes.toml:16: tier: must be from 0 to 4",
            "routes.toml:18: timeout: must be at most 1day",
            "pools.toml:20: slots: must be from 1 to 65536",
        ],
    },
    VerifyCase {
        name: "bad durations",
        routes: &[edit("\"20s\"", "\"soon\""), edit("\"10s\"", "\"-10s\"")],
        pools: &[],
        errors: &[
            "routes.toml:9: target: must be a duration such as \"120s\" or \"5m\"",
            "routes.toml:17: timeout: must be a duration such as \"120s\" or \"5m\"",
        ],
    },
    VerifyCase {
        name: "duplicates across pools",
        routes: &[edit("\"payment\"", "\"memo\"")],
        pools: &[
            edit("\"d1\"", "\"e1\""),
            edit("127.0.0.1:9101", "127.0.0.1:9002"),
        ],
        errors: &[
            "routes.toml:12: name: \"memo\" is already taken at line 3",
            "pools.toml:17: name: \"e1\" is already taken at line 8",
            "pools.toml:18: address: \"127.0.0.1:9002\" is already taken at line 9",
        ],
    },
    VerifyCase {
        name: "duplicate pool",
        routes: &[],
        pools: &[edit("\"desk\"", "\"engines\"")],
        errors: &[
            "routes.toml:14: pool: no pool is named \"desk\"",
            "pools.toml:13: name: \"engines\" is already taken at line 3",
        ],
    },
    VerifyCase {
        name: "overlapping routes",
        routes: &[edit("target = \"20s\"\n", SECOND_MEMO)],
        pools: &[],
        errors: &["routes.toml:13: path: overlaps route \"memo\" at line 4"],
    },
    VerifyCase {
        name: "a nested path is no overlap",
        routes: &[edit(
            "idempotent = false\n",
            "idempotent = false\n[[route]]\nname = \"refund\"\npath = \"/payment/refund/\"\npool = \"desk\"\ntier = 0\ntarget = \"2s\"\nidempotent = false\n",
        )],
        pools: &[],
        errors: &[],
    },
    VerifyCase {
        name: "methods that differ are no overlap",
        routes: &[edit(
            "idempotent = false\n",
            "idempotent = false\nmethods = [\"POST\"]\n[[route]]\nname = \"read\"\npath = \"/payment/\"\npool = \"desk\"\nmethods = [\"GET\"]\ntier = 0\ntarget = \"2s\"\nidempotent = true\n",
        )],
        pools: &[],
        errors: &[],
    },
    VerifyCase {
        name: "one path for engine and service pools",
        routes: &[edit("\"/payment/\"", "\"/v1/chat/completions\"")],
        pools: &[],
        errors: &[
            "routes.toml:13: path: route \"memo\" at line 4 serves the path with another kind of pool",
        ],
    },
    VerifyCase {
        name: "durations above their bounds",
        routes: &[edit(
            "\"20s\"",
            "\"20s\"\nfirst_token = \"21s\"\ntimeout = \"19s\"",
        )],
        pools: &[],
        errors: &[
            "routes.toml:9: target: must not be above timeout",
            "routes.toml:10: first_token: must not be above target",
        ],
    },
    VerifyCase {
        name: "floors above 100 percent",
        routes: &[edit(
            "\"20s\"\n",
            "\"20s\"\nfloor_percent = 60\n[[route]]\nname = \"a\"\npath = \"/a\"\nmodel = \"small\"\npool = \"engines\"\ntier = 1\ntarget = \"1s\"\nfloor_percent = 41\n",
        )],
        pools: &[],
        errors: &[
            "routes.toml:18: floor_percent: the floors of pool \"engines\" sum to 101 percent",
        ],
    },
    VerifyCase {
        name: "routes of one class disagree",
        routes: &[edit(
            "\"20s\"\n",
            "\"20s\"\n[[route]]\nname = \"a\"\nclass = \"memo\"\npath = \"/a\"\nmodel = \"small\"\npool = \"engines\"\ntier = 2\ntarget = \"1s\"\n",
        )],
        pools: &[],
        errors: &["routes.toml:16: tier: differs from route \"memo\" of the same class at line 4"],
    },
    VerifyCase {
        name: "models",
        routes: &[
            edit("model = \"small\"", "model = \"large\""),
            edit(
                "pool = \"desk\"",
                "pool = \"desk\"\nmodel = \"small\"\nfirst_token = \"1s\"",
            ),
        ],
        pools: &[],
        errors: &[
            "routes.toml:5: model: pool \"engines\" serves model \"small\"",
            "routes.toml:15: model: is not allowed with a service pool",
            "routes.toml:16: first_token: is not allowed with a service pool",
        ],
    },
    VerifyCase {
        name: "missing models",
        routes: &[
            edit("model = \"small\"\n", ""),
            edit("idempotent = false\n", ""),
        ],
        pools: &[edit("model = \"small\"\n", "")],
        errors: &[
            "routes.toml:2: model: missing key",
            "routes.toml:10: idempotent: missing key",
            "pools.toml:2: model: missing key",
        ],
    },
    VerifyCase {
        name: "bad path, name, label, method and choice",
        routes: &[
            edit("\"/payment/\"", "\"payment/\"\nmethods = [\"get\"]"),
            edit("\"payment\"", "\"-\""),
            edit("label = \"memo\"", "label = \"\"\nlate = \"never\""),
        ],
        pools: &[
            edit("\"service\"", "\"services\""),
            edit("127.0.0.1:9101", "localhost:9101"),
        ],
        errors: &[
            "routes.toml:6: label: must be 1 to 256 visible ASCII characters without spaces",
            "routes.toml:7: late: must be one of \"useful\", \"worthless\"",
            "routes.toml:13: name: must be 1 to 64 letters, digits, '.', '_' or '-', and begin with a letter or digit",
            "routes.toml:14: path: must begin with '/' and contain only visible ASCII characters except '?' and '#'",
            "routes.toml:15: methods: must be HTTP methods in upper case without duplicates",
            "pools.toml:14: kind: must be one of \"engine\", \"service\"",
            "pools.toml:18: address: must be an IP address with a port above zero, such as \"10.0.0.7:8000\"",
        ],
    },
    VerifyCase {
        name: "syntax errors neither hide nor cause other errors",
        routes: &[edit("tier = 1", "tier = "), edit("\"2s\"", "\"0s\"")],
        pools: &[edit(
            "name = \"desk\"\n",
            "name = \"desk\"\nname = \"desk\"\n",
        )],
        errors: &[
            "routes.toml:8: string values must be quoted, expected literal string",
            "routes.toml:16: target: must be above zero",
            "pools.toml:14: duplicate key",
        ],
    },
];

#[test]
fn each_error_is_reported_with_its_line() {
    for case in CASES {
        let texts = TableTexts {
            routes: edited(ROUTES, case.routes),
            pools: edited(POOLS, case.pools),
        };
        let report = texts
            .check()
            .err()
            .map_or(String::new(), |errors| errors.to_string());
        let errors: Vec<&str> = report.lines().collect();
        assert_eq!(errors, case.errors, "case {}", case.name);
    }
}

#[test]
fn empty_tables_are_refused() {
    let errors = TableTexts::default().check().expect_err("no rows");
    let expected = "routes.toml:1: route: missing key\npools.toml:1: pool: missing key";
    assert_eq!(errors.to_string(), expected);
}

#[test]
fn defaults_are_filled_in() {
    let tables = sample_texts().check().expect("the sample is valid");
    let memo = &tables.routes.rows["memo"];
    assert_eq!(memo.methods, ["POST"]);
    assert_eq!(
        (memo.class.as_str(), memo.workspace.as_str()),
        ("memo", "default")
    );
    assert_eq!(
        (memo.late, memo.timeout),
        (LatePolicy::Useful, Duration::from_secs(80))
    );
    assert!(memo.idempotent);
    assert_eq!((memo.floor_percent, memo.max_body_bytes), (1, 1 << 20));
    let payment = &tables.routes.rows["payment"];
    assert!(payment.methods.is_empty() && !payment.idempotent);
    let pool = &tables.pools.rows["engines"];
    assert_eq!(pool.retry_percent, 10);
    assert!(!pool.refusal_means_not_run && !pool.servers[0].drain);

    let worthless = edited(ROUTES, &[edit("\"20s\"", "\"20s\"\nlate = \"worthless\"")]);
    let texts = TableTexts {
        routes: worthless,
        ..sample_texts()
    };
    let tables = texts.check().expect("the sample is valid");
    assert_eq!(tables.routes.rows["memo"].timeout, Duration::from_secs(20));
}

struct ExampleCase {
    routes: &'static str,
    pools: &'static str,
    route_names: &'static [&'static str],
    servers: &'static [usize],
}

#[test]
fn examples_are_valid() {
    let cases = [
        ExampleCase {
            routes: include_str!("../../../../../examples/rollehyre/routes.toml"),
            pools: include_str!("../../../../../examples/rollehyre/pools.toml"),
            route_names: &[
                "memo",
                "night",
                "contract",
                "plain",
                "other",
                "completions",
                "booking",
                "payment",
            ],
            servers: &[20, 3],
        },
        ExampleCase {
            routes: include_str!("../../../../../examples/magnolia/routes.toml"),
            pools: include_str!("../../../../../examples/magnolia/pools.toml"),
            route_names: &[
                "digest",
                "headline",
                "brief",
                "other",
                "completions",
                "archive",
                "correction",
            ],
            servers: &[12, 3],
        },
    ];
    for case in cases {
        let texts = TableTexts {
            routes: case.routes.to_owned(),
            pools: case.pools.to_owned(),
        };
        let tables = texts.check().unwrap_or_else(|errors| panic!("{errors}"));
        let names: Vec<&str> = tables.routes.rows.keys().map(String::as_str).collect();
        assert_eq!(names, case.route_names);
        let servers: Vec<usize> = tables
            .pools
            .rows
            .values()
            .map(|pool| pool.servers.len())
            .collect();
        assert_eq!(servers, case.servers);
    }
}

#[test]
fn every_key_is_documented() {
    let manual = include_str!("../../../../../docs/TABLES.md");
    let tables = sample_texts().check().expect("the sample is valid");
    let printed = [tables.routes.to_toml(), tables.pools.to_toml()].concat();
    let before_values = printed.split(" = ");
    let keys = before_values.filter_map(|text| text.split_whitespace().last());
    let mut count = 0;
    for key in keys.take_while(|key| *key != "]").chain(["first_token"]) {
        assert!(manual.contains(&format!("| `{key}` |")), "key {key}");
        count += 1;
    }
    assert!(count > 40, "the keys of both tables are checked");
}
