//! Property tests of parsing, formatting, lookup and rebase.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::lookup::{lookup_table, outcome_text};
use super::samples::{POOLS, ROUTES, fixed_gen, sample_texts};
use crate::tables::{
    CheckedTables, ConfigDocument, LatePolicy, PoolKind, PoolRow, RouteMatch, RouteRow, RouteTable,
    ServerRow, TableTexts, rebase_tables, set_server_drain,
};

/// Arbitrary tables that pass every check.
#[derive(Clone, Debug)]
struct ValidTables(CheckedTables);

fn pick<T: Clone>(g: &mut Gen, choices: &[T]) -> T {
    g.choose(choices).expect("some choices").clone()
}

fn at_most(g: &mut Gen, most: u64) -> u64 {
    u64::arbitrary(g) % (most + 1)
}

impl Arbitrary for ValidTables {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut tables = CheckedTables::default();
        for number in 0..=at_most(g, 3) {
            let pool = arbitrary_pool(g, number);
            tables.pools.rows.insert(pool.name.clone(), pool);
        }
        for number in 0..=at_most(g, 6) {
            let at = at_most(g, tables.pools.rows.len() as u64 - 1);
            let route = arbitrary_route(g, number, &tables.pools.rows[at as usize]);
            tables.routes.rows.insert(route.name.clone(), route);
        }
        Self(tables)
    }
}

fn arbitrary_pool(g: &mut Gen, number: u64) -> PoolRow {
    let kind = pick(g, &[PoolKind::Engine, PoolKind::Service]);
    let model = pick(g, &["m\"1\"", "m\\2", "m'3"]).to_owned();
    let servers = (0..=at_most(g, 3)).map(|server| ServerRow {
        name: format!("s{number}-{server}"),
        address: ([10, 0, number as u8, server as u8], 9000).into(),
        data_centre: format!("dc-{}", at_most(g, 2)),
        slots: 1 + at_most(g, 65_535) as u32,
        drain: bool::arbitrary(g),
    });
    PoolRow {
        name: format!("p{number}"),
        kind,
        model: (kind == PoolKind::Engine).then_some(model),
        servers: servers.collect(),
        honours_priority: bool::arbitrary(g),
        can_resume: bool::arbitrary(g),
        checks_fencing: bool::arbitrary(g),
        refusal_means_not_run: bool::arbitrary(g),
        retry_percent: at_most(g, 100) as u8,
    }
}

fn arbitrary_route(g: &mut Gen, number: u64, pool: &PoolRow) -> RouteRow {
    let target = Duration::from_nanos(1 + at_most(g, 80_000_000_000_000));
    let first_token = target / (1 + at_most(g, 3) as u32);
    let is_engine = pool.kind == PoolKind::Engine;
    RouteRow {
        name: format!("r{number}"),
        // A unique path prevents overlaps between routes.
        path: format!("/{number}{}", pick(g, &["", "/", "/a'b/", "/\"c\""])),
        methods: pick(g, &[vec![], vec!["GET".to_owned(), "POST".to_owned()]]),
        model: pool.model.clone(),
        label: pick(g, &[None, Some("a\"b".to_owned())]),
        class: format!("c{number}"),
        pool: pool.name.clone(),
        tier: at_most(g, 4) as u8,
        target,
        first_token: (is_engine && bool::arbitrary(g))
            .then_some(first_token.max(Duration::from_nanos(1))),
        late: pick(g, &[LatePolicy::Useful, LatePolicy::Worthless]),
        timeout: target + Duration::from_nanos(at_most(g, 6_000_000_000_000)),
        idempotent: bool::arbitrary(g),
        floor_percent: 1 + at_most(g, 13) as u8,
        workspace: pick(g, &["default", "w.1"]).to_owned(),
        max_body_bytes: 1 + at_most(g, (1 << 28) - 1),
    }
}

fn check(property: impl quickcheck::Testable, tests: u64) {
    QuickCheck::new()
        .tests(tests)
        .rng(fixed_gen())
        .quickcheck(property);
}

#[test]
fn valid_tables_print_and_reparse_equal() {
    fn property(valid: ValidTables) -> bool {
        let ValidTables(tables) = valid;
        let texts = TableTexts {
            routes: tables.routes.to_toml(),
            pools: tables.pools.to_toml(),
        };
        let parsed = texts
            .check()
            .unwrap_or_else(|errors| panic!("{errors}\n{texts:?}"));
        parsed == tables
    }
    check(property as fn(ValidTables) -> bool, 500);
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(routes: Vec<u8>, pools: Vec<u8>) -> bool {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let texts = TableTexts {
            routes: text(&routes),
            pools: text(&pools),
        };
        texts.check().is_err() && ConfigDocument::from_bytes(&routes).is_err()
    }
    check(property as fn(Vec<u8>, Vec<u8>) -> bool, 1_000);
}

/// Replacement of a range of a text at an arbitrary position.
#[derive(Clone, Debug)]
struct Mutation {
    at: usize,
    removed: usize,
    inserted: String,
}

impl Arbitrary for Mutation {
    fn arbitrary(g: &mut Gen) -> Self {
        let pieces = [
            "",
            "\"",
            "=",
            "[",
            "]",
            "{",
            "[[pool]]\n",
            "[[route]]\n",
            "\n",
            "0",
            "-1",
            "é",
            "name = \"x\"\n",
            "{},",
            "#",
        ];
        Self {
            at: usize::arbitrary(g),
            removed: usize::arbitrary(g) % 40,
            inserted: pick(g, &pieces).to_owned(),
        }
    }
}

fn mutated(text: &str, mutations: &[Mutation]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for mutation in mutations {
        let at = mutation.at % (chars.len() + 1);
        let end = chars.len().min(at + mutation.removed);
        chars.splice(at..end, mutation.inserted.chars());
    }
    chars.into_iter().collect()
}

#[test]
fn mutated_tables_never_panic_and_report_in_order() {
    fn property(routes: Vec<Mutation>, pools: Vec<Mutation>) -> bool {
        let few = |mutations: Vec<Mutation>| mutations.into_iter().take(3).collect::<Vec<_>>();
        let texts = TableTexts {
            routes: mutated(ROUTES, &few(routes)),
            pools: mutated(POOLS, &few(pools)),
        };
        let _ = set_server_drain(&texts, "e1", true);
        let _ = rebase_tables(&sample_texts(), &texts, &sample_texts());
        let outcome = texts.check();
        let Err(errors) = &outcome else { return true };
        let positions: Vec<(bool, usize)> = errors
            .0
            .iter()
            .map(|error| (error.file == "pools.toml", error.line))
            .collect();
        !positions.is_empty() && positions.is_sorted() && texts.check() == outcome
    }
    check(property as fn(Vec<Mutation>, Vec<Mutation>) -> bool, 1_000);
}

/// Reference implementation of [`RouteTable::find`]: filters all routes by one
/// criterion after another.
fn naive_find<'t>(
    table: &'t RouteTable,
    method: &str,
    path: &str,
    model: Option<&str>,
    label: Option<&str>,
) -> RouteMatch<'t> {
    let has_path = |route: &&RouteRow| {
        route.path == path || (route.path.ends_with('/') && path.starts_with(&route.path))
    };
    let mut routes: Vec<&RouteRow> = table.rows.values().filter(has_path).collect();
    let Some(longest) = routes.iter().map(|route| route.path.len()).max() else {
        return RouteMatch::UnknownPath;
    };
    routes.retain(|route| route.path.len() == longest);
    routes.retain(|route| route.methods.is_empty() || route.methods.contains(&method.to_owned()));
    if routes.is_empty() {
        return RouteMatch::MethodNotAllowed;
    }
    routes.retain(|route| {
        route
            .model
            .as_ref()
            .is_none_or(|required| Some(required.as_str()) == model)
    });
    if routes.is_empty() {
        return RouteMatch::UnknownModel;
    }
    routes.retain(|route| route.label.is_none() || route.label.as_deref() == label);
    routes.sort_by_key(|route| route.label.is_none());
    routes
        .first()
        .map_or(RouteMatch::UnknownLabel, |route| RouteMatch::Route(route))
}

/// An arbitrary request with values from the lookup table and other values.
#[derive(Clone, Debug)]
struct LookupRequest {
    method: &'static str,
    path: &'static str,
    model: Option<&'static str>,
    label: Option<&'static str>,
}

impl Arbitrary for LookupRequest {
    fn arbitrary(g: &mut Gen) -> Self {
        let paths = [
            "/v1/chat/completions",
            "/v1/chat/",
            "/payment/",
            "/payment/1",
            "/payment/refund/",
            "/payment/refund/1",
            "/",
            "",
        ];
        Self {
            method: pick(g, &["GET", "POST", "PUT"]),
            path: pick(g, &paths),
            model: pick(g, &[None, Some("small"), Some("large")]),
            label: pick(g, &[None, Some("memo"), Some("desk"), Some("x")]),
        }
    }
}

#[test]
fn find_agrees_with_a_naive_reference() {
    fn property(request: LookupRequest, shuffle: Vec<u8>) -> bool {
        let mut table = lookup_table();
        for at in shuffle {
            let rows = table.rows.len();
            table.rows.swap_indices(usize::from(at) % rows, 0);
        }
        let LookupRequest {
            method,
            path,
            model,
            label,
        } = request;
        let found = table.find(method, path, model, label);
        outcome_text(found) == outcome_text(naive_find(&table, method, path, model, label))
    }
    check(property as fn(LookupRequest, Vec<u8>) -> bool, 2_000);
}

#[test]
fn rebased_drains_are_both_kept() {
    fn property(valid: ValidTables, mine_index: usize, theirs_index: usize) -> bool {
        let ValidTables(tables) = valid;
        let base = TableTexts {
            routes: tables.routes.to_toml(),
            pools: tables.pools.to_toml(),
        };
        let servers: Vec<ServerRow> = tables
            .pools
            .rows
            .values()
            .flat_map(|pool| pool.servers.clone())
            .collect();
        let flip = |texts: &TableTexts, server: &ServerRow| {
            set_server_drain(texts, &server.name, !server.drain).expect("a server of the table")
        };
        let mine_row = &servers[mine_index % servers.len()];
        let theirs_row = &servers[theirs_index % servers.len()];
        let mine = flip(&base, mine_row);
        let theirs = flip(&base, theirs_row);
        let rebased = rebase_tables(&base, &mine, &theirs).expect("equal or disjoint");
        let expected = if mine_row == theirs_row {
            mine
        } else {
            flip(&theirs, mine_row)
        };
        rebased.keeps_layout && rebased.texts == expected
    }
    check(property as fn(ValidTables, usize, usize) -> bool, 300);
}
