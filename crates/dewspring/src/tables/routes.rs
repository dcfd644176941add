//! Reads the routes table and checks each row on its own.

use std::time::Duration;

use super::error::{TableProblem, TableSource};
use super::model::{LatePolicy, PoolKind, RouteRow};
use super::pools::report_duplicates;
use super::reader::{ErrorLog, Field, RowReader};
use super::values;

/// Lowest priority of a class.
const LOWEST_TIER: u64 = 4;

/// Guaranteed share of a class by default, in percent of the pool.
const DEFAULT_FLOOR_PERCENT: u8 = 1;

/// Default timeout as a multiple of the target, if a late answer is useful.
const DEFAULT_TIMEOUT_TARGETS: u32 = 4;

/// Workspace of requests that name none, by default.
const DEFAULT_WORKSPACE: &str = "default";

/// Largest request body by default, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;

/// Largest value of the body limit, in bytes.
const LARGEST_MAX_BODY_BYTES: u64 = 1 << 28;

/// A row of the routes table as far as it could be read.
pub(super) struct RouteDraft {
    pub(super) name: Field<String>,
    pub(super) path: Field<String>,
    pub(super) methods: Field<Vec<String>>,
    pub(super) model: Field<String>,
    pub(super) label: Field<String>,
    pub(super) class: Field<String>,
    pub(super) pool: Field<String>,
    pub(super) tier: Field<u8>,
    pub(super) target: Field<Duration>,
    pub(super) first_token: Field<Duration>,
    late: Field<LatePolicy>,
    pub(super) timeout: Field<Duration>,
    pub(super) idempotent: Field<bool>,
    pub(super) floor_percent: Field<u8>,
    workspace: Field<String>,
    max_body_bytes: Field<u64>,
}

/// Reads every route of the table and reports its faults.
pub(super) fn read_routes<'a>(source: TableSource<'a>, log: &mut ErrorLog<'a>) -> Vec<RouteDraft> {
    let document = log.parse(source.text);
    let mut reader = RowReader::open(document.get_ref(), 0, log);
    let routes = reader.rows("route", read_route);
    reader.finish();
    let routes = routes.into_value().unwrap_or_default();
    report_duplicates("name", routes.iter().map(|route| &route.name), log);
    for route in &routes {
        check_times(route, log);
    }
    routes
}

fn read_route(reader: &mut RowReader<'_, '_>) -> RouteDraft {
    let name = reader.required("name", values::name);
    let class = reader.optional("class", values::name);
    let target = reader.required("target", values::duration);
    let late = reader
        .optional("late", values::late_policy)
        .or_default(Some(LatePolicy::Useful));
    let timeout = reader.optional("timeout", values::duration);
    RouteDraft {
        class: class.or_default(name.get().cloned()),
        timeout: timeout.or_default(default_timeout(&target, &late)),
        name,
        path: reader.required("path", values::path),
        methods: reader.optional("methods", values::methods),
        model: reader.optional("model", values::token),
        label: reader.optional("label", values::token),
        pool: reader.required("pool", values::name),
        tier: reader.required("tier", values::integer(0..=LOWEST_TIER)),
        target,
        first_token: reader.optional("first_token", values::duration),
        late,
        idempotent: reader.optional("idempotent", values::boolean),
        floor_percent: reader
            .optional("floor_percent", values::integer(1..=100))
            .or_default(Some(DEFAULT_FLOOR_PERCENT)),
        workspace: reader
            .optional("workspace", values::name)
            .or_default(Some(DEFAULT_WORKSPACE.to_owned())),
        max_body_bytes: reader
            .optional(
                "max_body_bytes",
                values::integer(1..=LARGEST_MAX_BODY_BYTES),
            )
            .or_default(Some(DEFAULT_MAX_BODY_BYTES)),
    }
}

fn default_timeout(target: &Field<Duration>, late: &Field<LatePolicy>) -> Option<Duration> {
    let target = *target.get()?;
    match late.get()? {
        LatePolicy::Useful => Some(target * DEFAULT_TIMEOUT_TARGETS),
        LatePolicy::Worthless => Some(target),
    }
}

fn check_times(route: &RouteDraft, log: &mut ErrorLog<'_>) {
    if is_above(&route.target, &route.timeout) {
        log.report(
            route.target.offset,
            "target",
            TableProblem::Above("timeout"),
        );
    }
    if is_above(&route.first_token, &route.target) {
        let offset = route.first_token.offset;
        log.report(offset, "first_token", TableProblem::Above("target"));
    }
}

fn is_above(duration: &Field<Duration>, bound: &Field<Duration>) -> bool {
    match (duration.get(), bound.get()) {
        (Some(duration), Some(bound)) => duration > bound,
        _ => false,
    }
}

impl RouteDraft {
    /// Fills in the defaults that depend on what stands behind the pool.
    ///
    /// A plain service must say whether its calls may be repeated.
    pub(super) fn settle_kind(&mut self, kind: PoolKind, log: &mut ErrorLog<'_>) {
        let is_engine = kind == PoolKind::Engine;
        if !is_engine && self.idempotent.is_missing() {
            let offset = self.idempotent.offset;
            log.report(offset, "idempotent", TableProblem::MissingKey);
        }
        let methods = if is_engine {
            vec!["POST".to_owned()]
        } else {
            Vec::new()
        };
        self.methods = self.methods.clone().or_default(Some(methods));
        self.idempotent = self
            .idempotent
            .clone()
            .or_default(is_engine.then_some(true));
    }

    /// Completes the row; `None` if an error was reported for it.
    pub(super) fn into_row(self) -> Option<RouteRow> {
        Some(RouteRow {
            name: self.name.into_value()?,
            path: self.path.into_value()?,
            methods: self.methods.into_value()?,
            model: self.model.into_value(),
            label: self.label.into_value(),
            class: self.class.into_value()?,
            pool: self.pool.into_value()?,
            tier: self.tier.into_value()?,
            target: self.target.into_value()?,
            first_token: self.first_token.into_value(),
            late: self.late.into_value()?,
            timeout: self.timeout.into_value()?,
            idempotent: self.idempotent.into_value()?,
            floor_percent: self.floor_percent.into_value()?,
            workspace: self.workspace.into_value()?,
            max_body_bytes: self.max_body_bytes.into_value()?,
        })
    }
}
