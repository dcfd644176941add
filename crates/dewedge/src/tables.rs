//! The tables in force: routes, services, workspaces and limits of callers.
//!
//! The main invariant: a [`RouteTable`] is immutable; a change of the tables
//! makes a new one, and requests in flight keep the route they were given.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answers with a series of events.
    Streaming,
}

/// A service among which a route divides its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// One row of the table of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the paths that belong to the route; ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is in time.
    pub latency_target: Duration,
    /// Longest pause between events that is in time.
    pub event_gap_target: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub shares: Vec<ServiceShare>,
    /// Most servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream can go on at another server.
    pub resumable: bool,
}

impl RouteSpec {
    /// Returns whether a request may run more than once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// What is known of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit in the memory of an engine.
    pub kv_cache_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Connections that one server takes from all callers.
    pub max_connections: u32,
    /// The engines, if the service serves a model.
    pub engine: Option<EngineSpec>,
}

/// One workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// Keys that its callers use.
    pub keys: Vec<String>,
    /// Rank that goes before the rank of the route.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// Everything that the operators have put in force, before it is indexed.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSet {
    /// Number that the operators gave this state.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All workspaces; none means that no key is needed.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// A key's workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Name of the workspace.
    pub workspace: String,
    /// Rank that goes before the rank of the route.
    pub priority: Option<u8>,
}

/// The tables in force, indexed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Number that the operators gave this state.
    pub version: u64,
    /// Revision of the store at which it was written.
    pub revision: u64,
    /// Limits of callers.
    pub limits: CallerLimits,
    services: IndexMap<String, ServiceSpec>,
    hosts: IndexMap<String, IndexMap<String, Arc<RouteSpec>>>,
    keys: IndexMap<String, KeyOwner>,
    needs_key: bool,
}

impl RouteTable {
    /// Indexes a set of tables.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::tables::{CallerLimits, RouteTable, TableSet};
    /// use std::time::Duration;
    ///
    /// let limits = CallerLimits {
    ///     head_bytes: 16_384,
    ///     body_bytes: 1 << 20,
    ///     head_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(15),
    /// };
    /// let set = TableSet { version: 1, routes: vec![], services: vec![], workspaces: vec![], limits };
    /// assert!(RouteTable::index(set, 7).find("news.example", "/a/").is_none());
    /// ```
    pub fn index(set: TableSet, revision: u64) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, Arc<RouteSpec>>> = IndexMap::new();
        for route in set.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut keys = IndexMap::new();
        let needs_key = !set.workspaces.is_empty();
        for workspace in set.workspaces {
            for key in workspace.keys {
                let owner = KeyOwner {
                    workspace: workspace.name.clone(),
                    priority: workspace.priority,
                };
                keys.insert(key, owner);
            }
        }
        let services = set
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service));
        Self {
            version: set.version,
            revision,
            limits: set.limits,
            services: services.collect(),
            hosts,
            keys,
            needs_key,
        }
    }

    /// Returns the route with the longest prefix that begins a path.
    ///
    /// The work grows with the slashes of the path, not with the routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the workspace that holds a key.
    pub fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.keys.get(key)
    }

    /// Returns whether requests on routes that aren't public need a key.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }
}

/// Returns the share of a route that a draw falls on.
///
/// `draw` is any number; equal draws give equal shares.
pub fn pick_share(shares: &[ServiceShare], draw: u64) -> Option<&ServiceShare> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = draw % total;
    for share in shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(share);
        }
        point -= weight;
    }
    None
}
