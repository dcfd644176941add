//! Reads the routes table and checks each row independently.

use std::time::Duration;

use super::error::{TableProblem, TableSource};
use super::model::{LatePolicy, PoolKind, RouteRow};
use super::pools::report_duplicates;
use super::reader::{Diagnostics, Field, RowReader};
use super::values;

/// Tier with the lowest priority.
const LOWEST_TIER: u64 = 4;

/// Default floor of a class, in percent of the pool.
const DEFAULT_FLOOR_PERCENT: u8 = 1;

/// Default timeout as a multiple of the target if a late response is useful.
const DEFAULT_TIMEOUT_PER_TARGET: u32 = 4;

/// Default workspace of requests without a workspace header.
const DEFAULT_WORKSPACE: &str = "default";

/// Default maximum size of a request body, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;

/// Upper bound of `max_body_bytes`, in bytes.
const MAX_BODY_LIMIT_BYTES: u64 = 1 << 28;

/// A row of the routes table whose keys may be missing or invalid.
pub(super) struct PartialRoute {
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

/// Reads every route of the table and reports errors.
pub(super) fn read_routes<'a>(
    source: TableSource<'a>,
    diagnostics: &mut Diagnostics<'a>,
) -> Vec<PartialRoute> {
    let document = diagnostics.parse(source.text);
    let mut reader = RowReader::new(document.get_ref(), 0, diagnostics);
    let routes = reader.rows("route", read_route);
    reader.finish();
    let routes = routes.into_value().unwrap_or_default();
    report_duplicates("name", routes.iter().map(|route| &route.name), diagnostics);
    for route in &routes {
        check_durations(route, diagnostics);
    }
    routes
}

fn read_route(reader: &mut RowReader<'_, '_>) -> PartialRoute {
    let name = reader.required("name", values::name);
    let class = reader.optional("class", values::name);
    let target = reader.required("target", values::duration);
    let late = reader
        .optional("late", values::late_policy)
        .or_default(Some(LatePolicy::Useful));
    let timeout = reader.optional("timeout", values::duration);
    PartialRoute {
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
            .optional("max_body_bytes", values::integer(1..=MAX_BODY_LIMIT_BYTES))
            .or_default(Some(DEFAULT_MAX_BODY_BYTES)),
    }
}

fn default_timeout(target: &Field<Duration>, late: &Field<LatePolicy>) -> Option<Duration> {
    let target = *target.get()?;
    match late.get()? {
        LatePolicy::Useful => Some(target * DEFAULT_TIMEOUT_PER_TARGET),
        LatePolicy::Worthless => Some(target),
    }
}

fn check_durations(route: &PartialRoute, diagnostics: &mut Diagnostics<'_>) {
    if exceeds(&route.target, &route.timeout) {
        diagnostics.report(
            route.target.offset,
            "target",
            TableProblem::ExceedsKey("timeout"),
        );
    }
    if exceeds(&route.first_token, &route.target) {
        let offset = route.first_token.offset;
        diagnostics.report(offset, "first_token", TableProblem::ExceedsKey("target"));
    }
}

fn exceeds(duration: &Field<Duration>, bound: &Field<Duration>) -> bool {
    match (duration.get(), bound.get()) {
        (Some(duration), Some(bound)) => duration > bound,
        _ => false,
    }
}

impl PartialRoute {
    /// Fills in the defaults that depend on the kind of the pool.
    ///
    /// For a plain service, `idempotent` has no default and must be set.
    pub(super) fn apply_kind_defaults(
        &mut self,
        kind: PoolKind,
        diagnostics: &mut Diagnostics<'_>,
    ) {
        let is_engine = kind == PoolKind::Engine;
        if !is_engine && self.idempotent.is_missing() {
            let offset = self.idempotent.offset;
            diagnostics.report(offset, "idempotent", TableProblem::MissingKey);
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

    /// Converts into a complete row, or `None` if a required key is missing or
    /// invalid.
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
