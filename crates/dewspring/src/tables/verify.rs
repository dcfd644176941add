//! Parses and verifies the two tables.
//!
//! The verifier reads both files completely and reports all errors. Checks
//! across rows run only if neither file has a syntax error, since a skipped
//! part may contain the row that seems to be missing.

use indexmap::IndexMap;

use super::error::{TableErrors, TableProblem, TableSource};
use super::model::{PoolKind, PoolTable, RouteTable};
use super::pools::{PartialPool, read_pools};
use super::reader::{Diagnostics, Field};
use super::routes::{PartialRoute, read_routes};

/// Both tables after all checks, without a revision.
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
/// [`TableErrors`] lists every error of both files, ordered by file and
/// position.
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
    let mut route_diagnostics = Diagnostics::new(routes);
    let mut pool_diagnostics = Diagnostics::new(pools);
    let mut partial_routes = read_routes(routes, &mut route_diagnostics);
    let partial_pools = read_pools(pools, &mut pool_diagnostics);
    if !route_diagnostics.has_syntax_error() && !pool_diagnostics.has_syntax_error() {
        resolve_pools(&mut partial_routes, &partial_pools, &mut route_diagnostics);
        check_overlaps(&partial_routes, &mut route_diagnostics);
        check_classes(&partial_routes, &mut route_diagnostics);
    }
    let mut errors = route_diagnostics.into_errors();
    errors.extend(pool_diagnostics.into_errors());
    if !errors.is_empty() {
        return Err(TableErrors(errors));
    }
    Ok(complete_tables(partial_routes, partial_pools))
}

fn complete_tables(routes: Vec<PartialRoute>, pools: Vec<PartialPool>) -> CheckedTables {
    const COMPLETE: &str = "a row without errors is complete";
    let routes = routes.into_iter().map(|partial| {
        let row = partial.into_row().expect(COMPLETE);
        (row.name.clone(), row)
    });
    let pools = pools.into_iter().map(|partial| {
        let row = partial.into_row().expect(COMPLETE);
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

/// Checks each route against its pool and fills in the defaults that depend on
/// the kind of the pool.
fn resolve_pools(
    routes: &mut [PartialRoute],
    pools: &[PartialPool],
    diagnostics: &mut Diagnostics<'_>,
) {
    let mut by_name: IndexMap<&str, &PartialPool> = IndexMap::new();
    for pool in pools {
        if let Some(name) = pool.name.get() {
            by_name.entry(name).or_insert(pool);
        }
    }
    for route in routes {
        let pool = route.pool.get().and_then(|name| by_name.get(name.as_str()));
        if let (Some(name), None) = (route.pool.get(), pool) {
            let problem = TableProblem::UnknownPool(name.clone());
            diagnostics.report(route.pool.offset, "pool", problem);
        }
        let kind = pool.and_then(|pool| pool.kind.get().copied());
        if let (Some(pool), Some(kind)) = (pool, kind) {
            check_model(route, pool, kind, diagnostics);
        }
        let has_model = !route.model.is_missing();
        let inferred_kind = if has_model {
            PoolKind::Engine
        } else {
            PoolKind::Service
        };
        route.apply_kind_defaults(kind.unwrap_or(inferred_kind), diagnostics);
    }
}

fn check_model(
    route: &PartialRoute,
    pool: &PartialPool,
    kind: PoolKind,
    diagnostics: &mut Diagnostics<'_>,
) {
    if kind == PoolKind::Service {
        report_engine_only("model", &route.model, diagnostics);
        report_engine_only("first_token", &route.first_token, diagnostics);
        return;
    }
    let offset = route.model.offset;
    if route.model.is_missing() {
        diagnostics.report(offset, "model", TableProblem::MissingKey);
    }
    let (Some(model), Some(served)) = (route.model.get(), pool.model.get()) else {
        return;
    };
    if model != served {
        let problem = TableProblem::ModelMismatch {
            pool: pool.name.get().cloned().unwrap_or_default(),
            model: served.clone(),
        };
        diagnostics.report(offset, "model", problem);
    }
}

fn report_engine_only<T>(key: &'static str, field: &Field<T>, diagnostics: &mut Diagnostics<'_>) {
    if !field.is_missing() {
        diagnostics.report(field.offset, key, TableProblem::EngineOnly);
    }
}

fn check_overlaps(routes: &[PartialRoute], diagnostics: &mut Diagnostics<'_>) {
    let mut by_path: IndexMap<&str, Vec<&PartialRoute>> = IndexMap::new();
    for route in routes {
        let Some(path) = route.path.get() else {
            continue;
        };
        let earlier = by_path.entry(path).or_default();
        if let Some(other) = earlier.iter().find(|other| overlaps(route, other)) {
            let (name, line) = route_location(other, diagnostics);
            let problem = if route.model.is_missing() == other.model.is_missing() {
                TableProblem::Overlap { route: name, line }
            } else {
                TableProblem::MixedPoolKinds { route: name, line }
            };
            diagnostics.report(route.path.offset, "path", problem);
        }
        earlier.push(route);
    }
}

/// Returns whether one request can match both routes, which share a path.
fn overlaps(route: &PartialRoute, other: &PartialRoute) -> bool {
    if !methods_intersect(route, other) {
        return false;
    }
    if route.model.is_missing() != other.model.is_missing() {
        return true;
    }
    equal_or_both_missing(&route.model, &other.model)
        && equal_or_both_missing(&route.label, &other.label)
}

fn methods_intersect(route: &PartialRoute, other: &PartialRoute) -> bool {
    let (Some(methods), Some(others)) = (route.methods.get(), other.methods.get()) else {
        return false;
    };
    methods.is_empty() || others.is_empty() || methods.iter().any(|method| others.contains(method))
}

/// Returns whether two optional keys are equal or both missing; an invalid key
/// equals nothing.
fn equal_or_both_missing(field: &Field<String>, other: &Field<String>) -> bool {
    match (field.get(), other.get()) {
        (Some(value), Some(other)) => value == other,
        _ => field.is_missing() && other.is_missing(),
    }
}

/// Checks that the routes of one class and pool have the same class settings,
/// and that the floors of a pool's classes sum to at most 100 percent.
fn check_classes(routes: &[PartialRoute], diagnostics: &mut Diagnostics<'_>) {
    let mut classes: IndexMap<&str, IndexMap<&str, &PartialRoute>> = IndexMap::new();
    let mut sums: IndexMap<&str, u32> = IndexMap::new();
    for route in routes {
        let (Some(pool), Some(class)) = (route.pool.get(), route.class.get()) else {
            continue;
        };
        let pool_classes = classes.entry(pool).or_default();
        if let Some(other) = pool_classes.get(class.as_str()) {
            check_class_agreement(route, other, diagnostics);
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
            diagnostics.report(route.floor_percent.offset, "floor_percent", problem);
        }
    }
}

fn check_class_agreement(
    route: &PartialRoute,
    other: &PartialRoute,
    diagnostics: &mut Diagnostics<'_>,
) {
    report_difference("tier", &route.tier, &other.tier, other, diagnostics);
    let (floor, other_floor) = (&route.floor_percent, &other.floor_percent);
    report_difference("floor_percent", floor, other_floor, other, diagnostics);
}

fn report_difference(
    key: &'static str,
    field: &Field<u8>,
    other: &Field<u8>,
    other_route: &PartialRoute,
    diagnostics: &mut Diagnostics<'_>,
) {
    if let (Some(value), Some(other)) = (field.get(), other.get())
        && value != other
    {
        let (route, line) = route_location(other_route, diagnostics);
        let problem = TableProblem::ClassMismatch { route, line };
        diagnostics.report(field.offset, key, problem);
    }
}

fn route_location(route: &PartialRoute, diagnostics: &Diagnostics<'_>) -> (String, usize) {
    let name = route.name.get().cloned().unwrap_or_default();
    (name, diagnostics.line(route.path.offset))
}
