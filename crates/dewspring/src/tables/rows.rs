//! Both tables as one set of rows whose fields are formatted as TOML.
//!
//! Diff, merge and formatting all use this form, so that the keys of the
//! tables are listed only once.

use std::fmt::{self, Write};

use indexmap::IndexMap;
use serde::Serialize;

use super::model::{LatePolicy, PoolKind, PoolRow, PoolTable, RouteRow, RouteTable, ServerRow};
use super::verify::CheckedTables;
use crate::ids::{PoolName, RouteName, ServerName};

/// Identifier of a row of the two tables.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase", tag = "table", content = "name")]
pub enum RowKey {
    /// A row of the routes table.
    Route(RouteName),
    /// A row of the pools table, without its servers.
    Pool(PoolName),
    /// A server of any pool.
    Server(ServerName),
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(formatter, "route \"{name}\""),
            Self::Pool(name) => write!(formatter, "pool \"{name}\""),
            Self::Server(name) => write!(formatter, "server \"{name}\""),
        }
    }
}

/// Key of the name of every row.
const NAME_KEY: &str = "name";

/// Field with the pool of a server; it is not a key of the table.
const POOL_FIELD: &str = "pool";

/// The fields of one row by key, with values formatted as TOML.
pub(super) type RowFields = IndexMap<&'static str, String>;

/// The rows of both tables.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct RowSet {
    pub(super) rows: IndexMap<RowKey, RowFields>,
}

impl RowSet {
    /// Creates the set from checked tables.
    pub(super) fn from_tables(tables: &CheckedTables) -> Self {
        let mut set = Self::default();
        for route in tables.routes.rows.values() {
            let key = RowKey::Route(route.name.clone());
            set.rows.insert(key, route_fields(route));
        }
        for pool in tables.pools.rows.values() {
            let key = RowKey::Pool(pool.name.clone());
            set.rows.insert(key, pool_fields(pool));
            for server in &pool.servers {
                let key = RowKey::Server(server.name.clone());
                set.rows.insert(key, server_fields(&pool.name, server));
            }
        }
        set
    }

    /// Returns the servers whose pool is not in the set.
    pub(super) fn orphaned_servers(&self) -> Vec<RowKey> {
        let servers = self.rows.keys().filter(|key| match key {
            RowKey::Server(_) => !self.has_pool(&self.rows[*key][POOL_FIELD]),
            RowKey::Route(_) | RowKey::Pool(_) => false,
        });
        servers.cloned().collect()
    }

    fn has_pool(&self, name: &str) -> bool {
        let mut pools = self.rows.iter().filter(|(key, _)| is_pool(key));
        pools.any(|(_, fields)| fields[NAME_KEY] == name)
    }

    /// Formats the routes table as TOML.
    pub(super) fn routes_toml(&self) -> String {
        let mut text = String::new();
        for (key, fields) in &self.rows {
            if matches!(key, RowKey::Route(_)) {
                write_header(&mut text, "route", fields);
            }
        }
        text
    }

    /// Formats the pools table as TOML, with one line for each server.
    pub(super) fn pools_toml(&self) -> String {
        let mut text = String::new();
        for (key, fields) in &self.rows {
            if !is_pool(key) {
                continue;
            }
            write_header(&mut text, "pool", fields);
            text.push_str("server = [\n");
            for server in self.servers_of(&fields[NAME_KEY]) {
                write_server(&mut text, server);
            }
            text.push_str("]\n");
        }
        text
    }

    fn servers_of<'s>(&'s self, pool: &'s str) -> impl Iterator<Item = &'s RowFields> {
        let servers = self
            .rows
            .iter()
            .filter(|(key, _)| matches!(key, RowKey::Server(_)));
        let fields = servers.map(|(_, fields)| fields);
        fields.filter(move |fields| fields[POOL_FIELD] == pool)
    }
}

fn is_pool(key: &RowKey) -> bool {
    matches!(key, RowKey::Pool(_))
}

fn write_header(text: &mut String, table: &str, fields: &RowFields) {
    if !text.is_empty() {
        text.push('\n');
    }
    // Writing to a `String` never fails.
    let _ = writeln!(text, "[[{table}]]");
    for (key, value) in fields {
        let _ = writeln!(text, "{key} = {value}");
    }
}

fn write_server(text: &mut String, fields: &RowFields) {
    let table_fields = fields.iter().filter(|(key, _)| **key != POOL_FIELD);
    let pairs: Vec<String> = table_fields
        .map(|(key, value)| format!("{key} = {value}"))
        .collect();
    let _ = writeln!(text, "    {{ {} }},", pairs.join(", "));
}

/// Formats a string as a quoted TOML value.
fn toml_string(text: &str) -> String {
    toml::Value::from(text).to_string()
}

fn toml_duration(duration: std::time::Duration) -> String {
    toml_string(&humantime::format_duration(duration).to_string())
}

fn toml_string_array(texts: &[String]) -> String {
    let items: Vec<String> = texts.iter().map(|text| toml_string(text)).collect();
    format!("[{}]", items.join(", "))
}

fn late_policy_text(late: LatePolicy) -> &'static str {
    match late {
        LatePolicy::Useful => "useful",
        LatePolicy::Worthless => "worthless",
    }
}

fn pool_kind_text(kind: PoolKind) -> &'static str {
    match kind {
        PoolKind::Engine => "engine",
        PoolKind::Service => "service",
    }
}

fn route_fields(route: &RouteRow) -> RowFields {
    let mut fields = RowFields::new();
    fields.insert(NAME_KEY, toml_string(&route.name));
    fields.insert("path", toml_string(&route.path));
    fields.insert("methods", toml_string_array(&route.methods));
    if let Some(model) = &route.model {
        fields.insert("model", toml_string(model));
    }
    if let Some(label) = &route.label {
        fields.insert("label", toml_string(label));
    }
    fields.insert("class", toml_string(&route.class));
    fields.insert("pool", toml_string(&route.pool));
    fields.insert("tier", route.tier.to_string());
    fields.insert("target", toml_duration(route.target));
    if let Some(first_token) = route.first_token {
        fields.insert("first_token", toml_duration(first_token));
    }
    fields.insert("late", toml_string(late_policy_text(route.late)));
    fields.insert("timeout", toml_duration(route.timeout));
    fields.insert("idempotent", route.idempotent.to_string());
    fields.insert("floor_percent", route.floor_percent.to_string());
    fields.insert("workspace", toml_string(&route.workspace));
    fields.insert("max_body_bytes", route.max_body_bytes.to_string());
    fields
}

fn pool_fields(pool: &PoolRow) -> RowFields {
    let mut fields = RowFields::new();
    fields.insert(NAME_KEY, toml_string(&pool.name));
    fields.insert("kind", toml_string(pool_kind_text(pool.kind)));
    if let Some(model) = &pool.model {
        fields.insert("model", toml_string(model));
    }
    fields.insert("honours_priority", pool.honours_priority.to_string());
    fields.insert("can_resume", pool.can_resume.to_string());
    fields.insert("checks_fencing", pool.checks_fencing.to_string());
    let refusal = pool.refusal_means_not_run.to_string();
    fields.insert("refusal_means_not_run", refusal);
    fields.insert("retry_percent", pool.retry_percent.to_string());
    fields
}

fn server_fields(pool: &str, server: &ServerRow) -> RowFields {
    let mut fields = RowFields::new();
    fields.insert(NAME_KEY, toml_string(&server.name));
    fields.insert("address", toml_string(&server.address.to_string()));
    fields.insert("data_centre", toml_string(&server.data_centre));
    fields.insert("slots", server.slots.to_string());
    fields.insert("drain", server.drain.to_string());
    fields.insert(POOL_FIELD, toml_string(pool));
    fields
}

impl RouteTable {
    /// Prints the table in TOML with every key written out.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(dewspring::tables::RouteTable::default().to_toml(), "");
    /// ```
    #[must_use]
    pub fn to_toml(&self) -> String {
        let tables = CheckedTables {
            routes: self.clone(),
            pools: PoolTable::default(),
        };
        RowSet::from_tables(&tables).routes_toml()
    }
}

impl PoolTable {
    /// Prints the table in TOML with every key written out.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(dewspring::tables::PoolTable::default().to_toml(), "");
    /// ```
    #[must_use]
    pub fn to_toml(&self) -> String {
        let tables = CheckedTables {
            routes: RouteTable::default(),
            pools: self.clone(),
        };
        RowSet::from_tables(&tables).pools_toml()
    }
}
