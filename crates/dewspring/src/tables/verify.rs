//! Checks the two tables and joins them.
//!
//! The verifier reads both files to the end, whatever it finds. Rows are
//! compared with one another only where both files are whole TOML, since a
//! part that can't be read may hold the missing row.

use indexmap::IndexMap;

use super::error::{TableErrors, TableProblem, TableSource};
use super::model::{PoolKind, PoolTable, RouteTable};
use super::pools::{PoolDraft, read_pools};
use super::reader::{ErrorLog, Field};
use super::routes::{RouteDraft, read_routes};

/// Both tables after all checks, before they have a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckedTables {
    /// The routes table.
    pub routes: RouteTable,
    /// The pools table.
    pub pools: PoolTable,
}

/// Parses and verifies both tables.
///
/// # Errors
///
/// [`TableErrors`] lists every fault of both files, in the order of the
/// files.
///
/// # Examples
///
/// ```
/// use dewspring::tables::{TableSource, check_tables};
///
/// let routes = r#"
/// [[route]]
/// name = "summary"
/// path = "/v1/chat/completions"
/// model = "small"
/// pool = "engines"
/// tier = 1
/// target = "20s"
/// "#;
/// let pools = r#"
/// [[pool]]
/// name = "engines"
/// kind = "engine"
/// model = "small"
/// server = [{ name = "e1", address = "127.0.0.1:9001", data_centre = "dc-1", slots = 0 }]
/// "#;
/// let errors = check_tables(
///     TableSource { file: "routes.toml", text: routes },
///     TableSource { file: "pools.toml", text: pools },
/// )
/// .unwrap_err();
/// assert_eq!(errors.to_string(), "pools.toml:6: slots: must be above zero");
/// ```
pub fn check_tables(
    routes: TableSource<'_>,
    pools: TableSource<'_>,
) -> Result<CheckedTables, TableErrors> {
    let mut route_log = ErrorLog::open(routes);
    let mut pool_log = ErrorLog::open(pools);
    let mut route_drafts = read_routes(routes, &mut route_log);
    let pool_drafts = read_pools(pools, &mut pool_log);
    if !route_log.has_syntax_error() && !pool_log.has_syntax_error() {
        join_pools(&mut route_drafts, &pool_drafts, &mut route_log);
        check_overlaps(&route_drafts, &mut route_log);
        check_classes(&route_drafts, &mut route_log);
    }
    let mut errors = route_log.into_errors();
    errors.extend(pool_log.into_errors());
    if !errors.is_empty() {
        return Err(TableErrors(errors));
    }
    Ok(complete(route_drafts, pool_drafts))
}

fn complete(routes: Vec<RouteDraft>, pools: Vec<PoolDraft>) -> CheckedTables {
    const COMPLETE: &str = "a row without errors is complete";
    let routes = routes.into_iter().map(|draft| {
        let row = draft.into_row().expect(COMPLETE);
        (row.name.clone(), row)
    });
    let pools = pools.into_iter().map(|draft| {
        let row = draft.into_row().expect(COMPLETE);
        (row.name.clone(), row)
    });
    CheckedTables {
        routes: RouteTable {
            rows: routes.collect(),
        },
        pools: PoolTable {
            rows: pools.collect(),
        },
    }
}

fn join_pools(routes: &mut [RouteDraft], pools: &[PoolDraft], log: &mut ErrorLog<'_>) {
    let mut by_name: IndexMap<&str, &PoolDraft> = IndexMap::new();
    for pool in pools {
        if let Some(name) = pool.name.get() {
            by_name.entry(name).or_insert(pool);
        }
    }
    for route in routes {
        let pool = route.pool.get().and_then(|name| by_name.get(name.as_str()));
        if let (Some(name), None) = (route.pool.get(), pool) {
            let problem = TableProblem::UnknownPool(name.clone());
            log.report(route.pool.offset, "pool", problem);
        }
        let kind = pool.and_then(|pool| pool.kind.get().copied());
        if let (Some(pool), Some(kind)) = (pool, kind) {
            check_model(route, pool, kind, log);
        }
        let has_model = !route.model.is_missing();
        let guess = if has_model {
            PoolKind::Engine
        } else {
            PoolKind::Service
        };
        route.settle_kind(kind.unwrap_or(guess), log);
    }
}

fn check_model(route: &RouteDraft, pool: &PoolDraft, kind: PoolKind, log: &mut ErrorLog<'_>) {
    if kind == PoolKind::Service {
        report_engine_only("model", &route.model, log);
        report_engine_only("first_token", &route.first_token, log);
        return;
    }
    let offset = route.model.offset;
    if route.model.is_missing() {
        log.report(offset, "model", TableProblem::MissingKey);
    }
    let (Some(model), Some(served)) = (route.model.get(), pool.model.get()) else {
        return;
    };
    if model != served {
        let problem = TableProblem::WrongModel {
            pool: pool.name.get().cloned().unwrap_or_default(),
            model: served.clone(),
        };
        log.report(offset, "model", problem);
    }
}

fn report_engine_only<T>(key: &'static str, field: &Field<T>, log: &mut ErrorLog<'_>) {
    if !field.is_missing() {
        log.report(field.offset, key, TableProblem::EngineOnly);
    }
}

fn check_overlaps(routes: &[RouteDraft], log: &mut ErrorLog<'_>) {
    let mut by_path: IndexMap<&str, Vec<&RouteDraft>> = IndexMap::new();
    for route in routes {
        let Some(path) = route.path.get() else {
            continue;
        };
        let earlier = by_path.entry(path).or_default();
        if let Some(other) = earlier.iter().find(|other| overlaps(route, other)) {
            let (name, line) = route_place(other, log);
            let problem = if route.model.is_missing() == other.model.is_missing() {
                TableProblem::Overlap { route: name, line }
            } else {
                TableProblem::MixedKinds { route: name, line }
            };
            log.report(route.path.offset, "path", problem);
        }
        earlier.push(route);
    }
}

/// Returns whether one request could match both routes of the same path.
fn overlaps(route: &RouteDraft, other: &RouteDraft) -> bool {
    if !methods_intersect(route, other) {
        return false;
    }
    if route.model.is_missing() != other.model.is_missing() {
        return true;
    }
    same_value(&route.model, &other.model) && same_value(&route.label, &other.label)
}

fn methods_intersect(route: &RouteDraft, other: &RouteDraft) -> bool {
    let (Some(methods), Some(others)) = (route.methods.get(), other.methods.get()) else {
        return false;
    };
    methods.is_empty() || others.is_empty() || methods.iter().any(|method| others.contains(method))
}

/// Compares two keys that may be left out; an invalid one equals nothing.
fn same_value(field: &Field<String>, other: &Field<String>) -> bool {
    match (field.get(), other.get()) {
        (Some(value), Some(other)) => value == other,
        _ => field.is_missing() && other.is_missing(),
    }
}

/// Checks that the routes of one class and pool agree, and that the floors of
/// a pool's classes fit into the pool.
fn check_classes(routes: &[RouteDraft], log: &mut ErrorLog<'_>) {
    let mut classes: IndexMap<&str, IndexMap<&str, &RouteDraft>> = IndexMap::new();
    let mut sums: IndexMap<&str, u32> = IndexMap::new();
    for route in routes {
        let (Some(pool), Some(class)) = (route.pool.get(), route.class.get()) else {
            continue;
        };
        let pool_classes = classes.entry(pool).or_default();
        if let Some(other) = pool_classes.get(class.as_str()) {
            check_same_class(route, other, log);
            continue;
        }
        pool_classes.insert(class, route);
        let sum = sums.entry(pool).or_default();
        let floor = route.floor_percent.get().copied().unwrap_or(0);
        *sum += u32::from(floor);
        if *sum > 100 {
            let problem = TableProblem::FloorSum {
                pool: pool.clone(),
                sum: *sum,
            };
            log.report(route.floor_percent.offset, "floor_percent", problem);
        }
    }
}

fn check_same_class(route: &RouteDraft, other: &RouteDraft, log: &mut ErrorLog<'_>) {
    report_difference("tier", &route.tier, &other.tier, other, log);
    let (floor, other_floor) = (&route.floor_percent, &other.floor_percent);
    report_difference("floor_percent", floor, other_floor, other, log);
}

fn report_difference(
    key: &'static str,
    field: &Field<u8>,
    other: &Field<u8>,
    other_route: &RouteDraft,
    log: &mut ErrorLog<'_>,
) {
    if let (Some(value), Some(other)) = (field.get(), other.get())
        && value != other
    {
        let (route, line) = route_place(other_route, log);
        let problem = TableProblem::ClassMismatch { route, line };
        log.report(field.offset, key, problem);
    }
}

fn route_place(route: &RouteDraft, log: &ErrorLog<'_>) -> (String, usize) {
    let name = route.name.get().cloned().unwrap_or_default();
    (name, log.line(route.path.offset))
}
