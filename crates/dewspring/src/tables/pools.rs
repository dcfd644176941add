//! Reads the pools table and checks it independently of the routes table.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::error::{TableProblem, TableSource};
use super::model::{PoolKind, PoolRow, ServerRow};
use super::reader::{Diagnostics, Field, RowReader};
use super::values;

/// Maximum number of slots of one server.
const MAX_SLOTS: u64 = 65_536;

/// Default retry budget, in percent of recent requests.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// A row of the pools table whose keys may be missing or invalid.
pub(super) struct PartialPool {
    pub(super) name: Field<String>,
    pub(super) kind: Field<PoolKind>,
    pub(super) model: Field<String>,
    servers: Field<Vec<PartialServer>>,
    honours_priority: Field<bool>,
    can_resume: Field<bool>,
    checks_fencing: Field<bool>,
    refusal_means_not_run: Field<bool>,
    retry_percent: Field<u8>,
}

struct PartialServer {
    name: Field<String>,
    address: Field<SocketAddr>,
    data_centre: Field<String>,
    slots: Field<u32>,
    drain: Field<bool>,
}

/// Reads every pool of the table and reports errors.
pub(super) fn read_pools<'a>(
    source: TableSource<'a>,
    diagnostics: &mut Diagnostics<'a>,
) -> Vec<PartialPool> {
    let document = diagnostics.parse(source.text);
    let mut reader = RowReader::new(document.get_ref(), 0, diagnostics);
    let pools = reader.rows("pool", read_pool);
    reader.finish();
    let pools = pools.into_value().unwrap_or_default();
    check_unique(&pools, diagnostics);
    for pool in &pools {
        check_pool(pool, diagnostics);
    }
    pools
}

fn read_pool(reader: &mut RowReader<'_, '_>) -> PartialPool {
    PartialPool {
        name: reader.required("name", values::name),
        kind: reader.required("kind", values::pool_kind),
        model: reader.optional("model", values::token),
        servers: reader.rows("server", read_server),
        honours_priority: read_flag(reader, "honours_priority"),
        can_resume: read_flag(reader, "can_resume"),
        checks_fencing: read_flag(reader, "checks_fencing"),
        refusal_means_not_run: read_flag(reader, "refusal_means_not_run"),
        retry_percent: reader
            .optional("retry_percent", values::integer(0..=100))
            .or_default(Some(DEFAULT_RETRY_PERCENT)),
    }
}

fn read_server(reader: &mut RowReader<'_, '_>) -> PartialServer {
    PartialServer {
        name: reader.required("name", values::name),
        address: reader.required("address", values::address),
        data_centre: reader.required("data_centre", values::name),
        slots: reader.required("slots", values::integer(1..=MAX_SLOTS)),
        drain: read_flag(reader, "drain"),
    }
}

fn read_flag(reader: &mut RowReader<'_, '_>, key: &'static str) -> Field<bool> {
    reader
        .optional(key, values::boolean)
        .or_default(Some(false))
}

fn check_unique(pools: &[PartialPool], diagnostics: &mut Diagnostics<'_>) {
    let servers = || pools.iter().flat_map(PartialPool::servers);
    report_duplicates("name", pools.iter().map(|pool| &pool.name), diagnostics);
    report_duplicates("name", servers().map(|server| &server.name), diagnostics);
    report_duplicates(
        "address",
        servers().map(|server| &server.address),
        diagnostics,
    );
}

/// Reports each field whose value equals that of an earlier field.
pub(super) fn report_duplicates<'f, T: ToString + 'f>(
    key: &'static str,
    fields: impl Iterator<Item = &'f Field<T>>,
    diagnostics: &mut Diagnostics<'_>,
) {
    let mut first_lines: IndexMap<String, usize> = IndexMap::new();
    for field in fields {
        let Some(value) = field.get() else { continue };
        let value = value.to_string();
        if let Some(line) = first_lines.get(&value).copied() {
            let problem = TableProblem::Duplicate { value, line };
            diagnostics.report(field.offset, key, problem);
        } else {
            let line = diagnostics.line(field.offset);
            first_lines.insert(value, line);
        }
    }
}

fn check_pool(pool: &PartialPool, diagnostics: &mut Diagnostics<'_>) {
    match pool.kind.get() {
        Some(PoolKind::Engine) if pool.model.is_missing() => {
            diagnostics.report(pool.model.offset, "model", TableProblem::MissingKey);
        }
        Some(PoolKind::Service) if !pool.model.is_missing() => {
            diagnostics.report(pool.model.offset, "model", TableProblem::EngineOnly);
        }
        _ => {}
    }
}

impl PartialPool {
    fn servers(&self) -> impl Iterator<Item = &PartialServer> {
        self.servers.get().into_iter().flatten()
    }

    /// Converts into a complete row, or `None` if a required key is missing or
    /// invalid.
    pub(super) fn into_row(self) -> Option<PoolRow> {
        let servers = self.servers.into_value()?;
        let rows: Option<Vec<ServerRow>> =
            servers.into_iter().map(PartialServer::into_row).collect();
        Some(PoolRow {
            name: self.name.into_value()?,
            kind: self.kind.into_value()?,
            model: self.model.into_value(),
            servers: rows?,
            honours_priority: self.honours_priority.into_value()?,
            can_resume: self.can_resume.into_value()?,
            checks_fencing: self.checks_fencing.into_value()?,
            refusal_means_not_run: self.refusal_means_not_run.into_value()?,
            retry_percent: self.retry_percent.into_value()?,
        })
    }
}

impl PartialServer {
    fn into_row(self) -> Option<ServerRow> {
        Some(ServerRow {
            name: self.name.into_value()?,
            address: self.address.into_value()?,
            data_centre: self.data_centre.into_value()?,
            slots: self.slots.into_value()?,
            drain: self.drain.into_value()?,
        })
    }
}
