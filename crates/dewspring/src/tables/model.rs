//! The checked form of the two tables, as every daemon holds it.
//!
//! Values of these types come only from the parser of this slice, so the rest
//! of the library relies on what the verifier has checked: names are unique,
//! every route names an existing pool, and limits are above zero.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{
    ClassName, DataCentreName, PoolName, Revision, RouteName, ServerName, TierLevel, WorkspaceId,
};

/// What an answer after the target is worth.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LatePolicy {
    /// A late answer is still wanted: the request waits up to its timeout.
    Useful,
    /// A late answer is worthless: the request is refused as soon as its
    /// target can't be met.
    Worthless,
}

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PoolKind {
    /// Model engines, which answer in tokens.
    Engine,
    /// A plain service, which answers in bytes.
    Service,
}

/// One row of the routes table: what a class of requests needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRow {
    /// Unique name of the route.
    pub name: RouteName,
    /// Path that requests must have; a path that ends in `/` matches all
    /// paths that begin with it.
    pub path: String,
    /// Methods in capitals; empty means any method.
    pub methods: Vec<String>,
    /// Model that the request's body must name; `None` for plain services.
    pub model: Option<String>,
    /// Value that the class header must have; `None` matches a request
    /// without that header and any value that no other route names.
    pub label: Option<String>,
    /// Class under which the request is counted and queued.
    pub class: ClassName,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Priority of the class, 0 (highest) to 4.
    pub tier: TierLevel,
    /// Time within which the whole answer is wanted, from arrival.
    pub target: Duration,
    /// Time within which the first token is wanted, from arrival.
    pub first_token: Option<Duration>,
    /// What an answer after the target is worth.
    pub late: LatePolicy,
    /// Time after which the request is given up, from arrival.
    pub timeout: Duration,
    /// Whether the request may be sent to a backend server more than once.
    pub idempotent: bool,
    /// Share of the pool that the class gets even below full priority, in
    /// percent.
    pub floor_percent: u8,
    /// Workspace of requests that name none.
    pub workspace: WorkspaceId,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
}

/// One backend server of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRow {
    /// Unique name of the server.
    pub name: ServerName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Number of requests that it serves at once.
    pub slots: u32,
    /// Whether the operators want it to receive no new work.
    pub drain: bool,
}

/// One row of the pools table: a set of like backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolRow {
    /// Unique name of the pool.
    pub name: PoolName,
    /// What stands behind the pool.
    pub kind: PoolKind,
    /// Model that its engines serve; `None` for plain services.
    pub model: Option<String>,
    /// The servers, in the order of the table.
    pub servers: Vec<ServerRow>,
    /// Whether the servers honour the priority that a request carries.
    pub honours_priority: bool,
    /// Whether the servers resume a broken stream.
    pub can_resume: bool,
    /// Whether the servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether a 429 or 503 answer of a server promises that nothing ran.
    pub refusal_means_not_run: bool,
    /// Retries allowed, in percent of recent requests.
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

/// Both tables as accepted together under one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetConfig {
    /// Revision of the accepted change; 0 before the first one.
    pub revision: Revision,
    /// Identity of the change, drawn by the operator's tool.
    pub change_id: String,
    /// The routes table.
    pub routes: RouteTable,
    /// The pools table.
    pub pools: PoolTable,
}
