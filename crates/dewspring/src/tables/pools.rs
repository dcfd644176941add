//! Reads the pools table and checks it on its own.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::error::{TableProblem, TableSource};
use super::model::{PoolKind, PoolRow, ServerRow};
use super::reader::{ErrorLog, Field, RowReader};
use super::values;

/// Most requests that one server may be said to serve at once.
const MAX_SLOTS: u64 = 65_536;

/// Retries allowed by default, in percent of recent requests.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// A row of the pools table as far as it could be read.
pub(super) struct PoolDraft {
    pub(super) name: Field<String>,
    pub(super) kind: Field<PoolKind>,
    pub(super) model: Field<String>,
    servers: Field<Vec<ServerDraft>>,
    honours_priority: Field<bool>,
    can_resume: Field<bool>,
    checks_fencing: Field<bool>,
    refusal_means_not_run: Field<bool>,
    retry_percent: Field<u8>,
}

struct ServerDraft {
    name: Field<String>,
    address: Field<SocketAddr>,
    data_centre: Field<String>,
    slots: Field<u32>,
    drain: Field<bool>,
}

/// Reads every pool of the table and reports its faults.
pub(super) fn read_pools<'a>(source: TableSource<'a>, log: &mut ErrorLog<'a>) -> Vec<PoolDraft> {
    let document = log.parse(source.text);
    let mut reader = RowReader::open(document.get_ref(), 0, log);
    let pools = reader.rows("pool", read_pool);
    reader.finish();
    let pools = pools.into_value().unwrap_or_default();
    check_unique(&pools, log);
    for pool in &pools {
        check_pool(pool, log);
    }
    pools
}

fn read_pool(reader: &mut RowReader<'_, '_>) -> PoolDraft {
    PoolDraft {
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

fn read_server(reader: &mut RowReader<'_, '_>) -> ServerDraft {
    ServerDraft {
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

fn check_unique(pools: &[PoolDraft], log: &mut ErrorLog<'_>) {
    let servers = || pools.iter().flat_map(PoolDraft::servers);
    report_duplicates("name", pools.iter().map(|pool| &pool.name), log);
    report_duplicates("name", servers().map(|server| &server.name), log);
    report_duplicates("address", servers().map(|server| &server.address), log);
}

/// Reports each value that an earlier field holds already.
pub(super) fn report_duplicates<'f, T: ToString + 'f>(
    key: &'static str,
    fields: impl Iterator<Item = &'f Field<T>>,
    log: &mut ErrorLog<'_>,
) {
    let mut first_lines: IndexMap<String, usize> = IndexMap::new();
    for field in fields {
        let Some(value) = field.get() else { continue };
        let value = value.to_string();
        if let Some(line) = first_lines.get(&value).copied() {
            let problem = TableProblem::Duplicate { value, line };
            log.report(field.offset, key, problem);
        } else {
            let line = log.line(field.offset);
            first_lines.insert(value, line);
        }
    }
}

fn check_pool(pool: &PoolDraft, log: &mut ErrorLog<'_>) {
    match pool.kind.get() {
        Some(PoolKind::Engine) if pool.model.is_missing() => {
            log.report(pool.model.offset, "model", TableProblem::MissingKey);
        }
        Some(PoolKind::Service) if !pool.model.is_missing() => {
            log.report(pool.model.offset, "model", TableProblem::EngineOnly);
        }
        _ => {}
    }
}

impl PoolDraft {
    fn servers(&self) -> impl Iterator<Item = &ServerDraft> {
        self.servers.get().into_iter().flatten()
    }

    /// Completes the row; `None` if an error was reported for it.
    pub(super) fn into_row(self) -> Option<PoolRow> {
        let servers = self.servers.into_value()?;
        let rows: Option<Vec<ServerRow>> = servers.into_iter().map(ServerDraft::into_row).collect();
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

impl ServerDraft {
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
