//! Lookup of routes by path, method, model and label.

use super::samples::{ROUTES, edit, edited, sample_texts};
use crate::tables::{RouteMatch, RouteTable, TableTexts};

const MORE_ROUTES: &str = r#"idempotent = false

[[route]]
name = "other"
path = "/v1/chat/completions"
model = "small"
pool = "engines"
tier = 4
target = "20s"

[[route]]
name = "refund"
path = "/payment/refund/"
methods = ["POST"]
label = "desk"
pool = "desk"
tier = 0
target = "2s"
idempotent = false
"#;

pub(super) fn lookup_table() -> RouteTable {
    let edit = edit("idempotent = false\n", MORE_ROUTES);
    let texts = TableTexts {
        routes: edited(ROUTES, &[edit]),
        ..sample_texts()
    };
    texts
        .check()
        .unwrap_or_else(|errors| panic!("{errors}"))
        .routes
}

struct LookupCase {
    method: &'static str,
    path: &'static str,
    model: Option<&'static str>,
    label: Option<&'static str>,
    expected: &'static str,
}

const fn case(
    method: &'static str,
    path: &'static str,
    model: Option<&'static str>,
    label: Option<&'static str>,
    expected: &'static str,
) -> LookupCase {
    LookupCase {
        method,
        path,
        model,
        label,
        expected,
    }
}

const CHAT: &str = "/v1/chat/completions";

const CASES: &[LookupCase] = &[
    case("POST", CHAT, Some("small"), Some("memo"), "memo"),
    case("POST", CHAT, Some("small"), Some("unheard"), "other"),
    case("POST", CHAT, Some("small"), None, "other"),
    case("POST", CHAT, Some("large"), Some("memo"), "UnknownModel"),
    case("POST", CHAT, None, None, "UnknownModel"),
    case("GET", CHAT, Some("small"), None, "MethodNotAllowed"),
    case(
        "POST",
        "/v1/chat/completions/",
        Some("small"),
        None,
        "UnknownPath",
    ),
    case("POST", "/v1", None, None, "UnknownPath"),
    case("PUT", "/payment/7", None, None, "payment"),
    case("PUT", "/payment/7", Some("any"), Some("any"), "payment"),
    case("PUT", "/payment", None, None, "UnknownPath"),
    case("POST", "/payment/refund/7", None, Some("desk"), "refund"),
    case("POST", "/payment/refund/7", None, None, "UnknownLabel"),
    case(
        "PUT",
        "/payment/refund/7",
        None,
        Some("desk"),
        "MethodNotAllowed",
    ),
];

pub(super) fn outcome_text(found: RouteMatch<'_>) -> String {
    match found {
        RouteMatch::Route(route) => route.name.clone(),
        miss => format!("{miss:?}"),
    }
}

#[test]
fn lookup_applies_rules_in_order() {
    let table = lookup_table();
    for case in CASES {
        let found = table.find(case.method, case.path, case.model, case.label);
        let request = (case.method, case.path, case.model, case.label);
        assert_eq!(outcome_text(found), case.expected, "{request:?}");
    }
}
