//! Both tables as one set of rows with printed fields.
//!
//! Comparing, merging and printing tables work on this form, so that a key of
//! the tables is named here once.

use std::fmt::{self, Write};

use indexmap::IndexMap;
use serde::Serialize;

use super::model::{LatePolicy, PoolKind, PoolRow, PoolTable, RouteRow, RouteTable, ServerRow};
use super::verify::CheckedTables;
use crate::ids::{PoolName, RouteName, ServerName};

/// Name of one row of the two tables.
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

/// Key that holds the name in every row.
const NAME_KEY: &str = "name";

/// Field of a server that says where it stands; it is not a key of the table.
const POOL_FIELD: &str = "pool";

/// The fields of one row by key, with values in TOML.
pub(super) type RowFields = IndexMap<&'static str, String>;

/// The rows of both tables by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct RowSet {
    pub(super) rows: IndexMap<RowKey, RowFields>,
}

impl RowSet {
    /// Lists the rows of checked tables.
    pub(super) fn open(tables: &CheckedTables) -> Self {
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

    /// Lists the servers whose pool is not in the set.
    pub(super) fn orphans(&self) -> Vec<RowKey> {
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

    /// Prints the routes table.
    pub(super) fn print_routes(&self) -> String {
        let mut text = String::new();
        for (key, fields) in &self.rows {
            if matches!(key, RowKey::Route(_)) {
                print_header(&mut text, "route", fields);
            }
        }
        text
    }

    /// Prints the pools table, one line for each server.
    pub(super) fn print_pools(&self) -> String {
        let mut text = String::new();
        for (key, fields) in &self.rows {
            if !is_pool(key) {
                continue;
            }
            print_header(&mut text, "pool", fields);
            text.push_str("server = [\n");
            for server in self.servers_of(&fields[NAME_KEY]) {
                print_server(&mut text, server);
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

fn print_header(text: &mut String, table: &str, fields: &RowFields) {
    if !text.is_empty() {
        text.push('\n');
    }
    // Writing to a string can't fail.
    let _ = writeln!(text, "[[{table}]]");
    for (key, value) in fields {
        let _ = writeln!(text, "{key} = {value}");
    }
}

fn print_server(text: &mut String, fields: &RowFields) {
    let own = fields.iter().filter(|(key, _)| **key != POOL_FIELD);
    let pairs: Vec<String> = own.map(|(key, value)| format!("{key} = {value}")).collect();
    let _ = writeln!(text, "    {{ {} }},", pairs.join(", "));
}

/// Prints a string as TOML.
fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

fn quoted_duration(duration: std::time::Duration) -> String {
    quoted(&humantime::format_duration(duration).to_string())
}

fn quoted_list(texts: &[String]) -> String {
    let quoted: Vec<String> = texts.iter().map(|text| quoted(text)).collect();
    format!("[{}]", quoted.join(", "))
}

fn late_text(late: LatePolicy) -> &'static str {
    match late {
        LatePolicy::Useful => "useful",
        LatePolicy::Worthless => "worthless",
    }
}

fn kind_text(kind: PoolKind) -> &'static str {
    match kind {
        PoolKind::Engine => "engine",
        PoolKind::Service => "service",
    }
}

fn route_fields(route: &RouteRow) -> RowFields {
    let mut fields = RowFields::new();
    fields.insert(NAME_KEY, quoted(&route.name));
    fields.insert("path", quoted(&route.path));
    fields.insert("methods", quoted_list(&route.methods));
    if let Some(model) = &route.model {
        fields.insert("model", quoted(model));
    }
    if let Some(label) = &route.label {
        fields.insert("label", quoted(label));
    }
    fields.insert("class", quoted(&route.class));
    fields.insert("pool", quoted(&route.pool));
    fields.insert("tier", route.tier.to_string());
    fields.insert("target", quoted_duration(route.target));
    if let Some(first_token) = route.first_token {
        fields.insert("first_token", quoted_duration(first_token));
    }
    fields.insert("late", quoted(late_text(route.late)));
    fields.insert("timeout", quoted_duration(route.timeout));
    fields.insert("idempotent", route.idempotent.to_string());
    fields.insert("floor_percent", route.floor_percent.to_string());
    fields.insert("workspace", quoted(&route.workspace));
    fields.insert("max_body_bytes", route.max_body_bytes.to_string());
    fields
}

fn pool_fields(pool: &PoolRow) -> RowFields {
    let mut fields = RowFields::new();
    fields.insert(NAME_KEY, quoted(&pool.name));
    fields.insert("kind", quoted(kind_text(pool.kind)));
    if let Some(model) = &pool.model {
        fields.insert("model", quoted(model));
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
    fields.insert(NAME_KEY, quoted(&server.name));
    fields.insert("address", quoted(&server.address.to_string()));
    fields.insert("data_centre", quoted(&server.data_centre));
    fields.insert("slots", server.slots.to_string());
    fields.insert("drain", server.drain.to_string());
    fields.insert(POOL_FIELD, quoted(pool));
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
        RowSet::open(&tables).print_routes()
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
        RowSet::open(&tables).print_pools()
    }
}
