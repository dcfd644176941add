//! The typed form of the two tables.
//!
//! A daemon gets these values only from [`check_tables`](super::check_tables),
//! so the rest of the library relies on its checks: names are unique, every
//! route names an existing pool, and limits are above zero.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{
    ClassName, DataCentreName, PoolName, Revision, RouteName, ServerName, TierLevel, WorkspaceId,
};

/// Whether a response after the target time is still useful.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LatePolicy {
    /// A late response is still useful: the request waits up to its timeout.
    Useful,
    /// A late response is worthless: the request is refused as soon as its
    /// target can't be met.
    Worthless,
}

/// Kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PoolKind {
    /// Model engines, which generate tokens.
    Engine,
    /// Plain services, whose responses are opaque bytes.
    Service,
}

/// One row of the routes table: what a class of requests needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRow {
    /// Unique name of the route.
    pub name: RouteName,
    /// Path of the requests; a path that ends in `/` matches every path that
    /// begins with it.
    pub path: String,
    /// Allowed methods in upper case; empty means any method.
    pub methods: Vec<String>,
    /// Model that the request body must name; `None` for plain services.
    pub model: Option<String>,
    /// Required value of the class header; `None` matches a request without
    /// that header or with a value that no other route names.
    pub label: Option<String>,
    /// Class under which requests are counted and queued.
    pub class: ClassName,
    /// Pool that serves the requests.
    pub pool: PoolName,
    /// Priority of the class, 0 (highest) to 4.
    pub tier: TierLevel,
    /// Target time from arrival to the end of the response.
    pub target: Duration,
    /// Target time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// Whether a response after the target time is still useful.
    pub late: LatePolicy,
    /// Time from arrival after which the request fails.
    pub timeout: Duration,
    /// Whether the request may be sent to a backend server more than once.
    pub idempotent: bool,
    /// Floor of the class: its guaranteed share of the pool, in percent, which
    /// prevents starvation by classes of higher priority.
    pub floor_percent: u8,
    /// Workspace of requests without a workspace header.
    pub workspace: WorkspaceId,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
}

/// One backend server of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRow {
    /// Unique name of the server.
    pub name: ServerName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// Maximum number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether the operators drain it, so that it receives no new requests.
    pub drain: bool,
}

/// One row of the pools table: a set of interchangeable backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolRow {
    /// Unique name of the pool.
    pub name: PoolName,
    /// Kind of the servers.
    pub kind: PoolKind,
    /// Model that the engines serve; `None` for plain services.
    pub model: Option<String>,
    /// The servers, in the order of the table.
    pub servers: Vec<ServerRow>,
    /// Whether the servers honour the priority header of a request.
    pub honours_priority: bool,
    /// Whether the servers can resume an interrupted stream.
    pub can_resume: bool,
    /// Whether the servers reject commands with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether a 429 or 503 response guarantees that the request did not run.
    pub refusal_means_not_run: bool,
    /// Retry budget, in percent of recent requests.
    pub retry_percent: u8,
}

/// The routes table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteTable {
    /// Routes by name, in the order of the table.
    pub rows: IndexMap<RouteName, RouteRow>,
}

/// The pools table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolTable {
    /// Pools by name, in the order of the table.
    pub rows: IndexMap<PoolName, PoolRow>,
}

/// Both tables, accepted together under one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetConfig {
    /// Revision of the accepted change; 0 before the first one.
    pub revision: Revision,
    /// Random identifier of the change, chosen by the operator's tool.
    pub change_id: String,
    /// The routes table.
    pub routes: RouteTable,
    /// The pools table.
    pub pools: PoolTable,
}
