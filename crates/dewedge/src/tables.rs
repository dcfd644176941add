//! The operators' tables: routes, services, workspaces and limits of callers.
//!
//! The main invariant: the rows of a [`RouteTable`] are immutable. A change of
//! the tables creates a new one, and requests in progress keep their route. Only
//! the store revision of a table changes, when the store begins a new era.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::policy::engine_model::StreamClass;

/// Kind of a route's requests, which decides whether they may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix of the requests; ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Maximum time until the response.
    pub timeout: Duration,
    /// Target for the time until the response or its first event.
    pub latency_target: Duration,
    /// Target for the time between two events.
    pub event_gap_target: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a stream can be resumed at another server.
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

/// The model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
}

/// A service, which runs on one or more servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Connections that one server accepts in total.
    pub max_connections: u32,
    /// The engines, if the service serves a model.
    pub engine: Option<EngineSpec>,
    /// How many servers may be ordered, if any may.
    pub scaling: Option<ScalingSpec>,
}

/// How many servers of a service may be ordered in each data centre, and what
/// they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Fewest servers in a data centre.
    pub min: u32,
    /// Most servers in a data centre, regular and interruptible ones together.
    pub max: u32,
    /// Time from an order until a new server serves.
    pub boot_time: Duration,
    /// Price of an interruptible server, as a share of the price of a regular
    /// one; `None` if there are none.
    pub interruptible_price: Option<f64>,
    /// Price of a regular server in each data centre.
    pub prices: IndexMap<String, f64>,
}

/// A workspace, to which API keys belong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Rank that takes precedence over the rank of the route.
    pub priority: Option<u8>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum bytes of a request head.
    pub head_bytes: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: usize,
    /// Maximum time for reading a request head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection without a request.
    pub idle_timeout: Duration,
}

/// The operators' tables before they are indexed.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSet {
    /// Version assigned by the operators.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All workspaces; without any, no API key is needed.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// The workspace that an API key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Name of the workspace.
    pub workspace: String,
    /// Rank that takes precedence over the rank of the route.
    pub priority: Option<u8>,
}

/// The tables in force, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version assigned by the operators.
    pub version: u64,
    /// Store revision of the tables.
    pub revision: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    services: IndexMap<String, ServiceSpec>,
    hosts: IndexMap<String, IndexMap<String, Arc<RouteSpec>>>,
    keys: IndexMap<String, KeyOwner>,
    needs_key: bool,
    workspaces: IndexSet<String>,
    longest_stream_timeout: Option<Duration>,
}

impl RouteTable {
    /// Indexes the tables.
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
        let mut longest_stream_timeout = None;
        for route in set.routes {
            if route.kind == RequestKind::Streaming {
                longest_stream_timeout = longest_stream_timeout.max(Some(route.timeout));
            }
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut keys = IndexMap::new();
        let needs_key = !set.workspaces.is_empty();
        let names = set
            .workspaces
            .iter()
            .map(|workspace| workspace.name.clone());
        let workspaces = names.collect();
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
            workspaces,
            longest_stream_timeout,
        }
    }

    /// Returns the names of all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &str> {
        self.workspaces.iter().map(String::as_str)
    }

    /// Returns the services whose servers may be ordered.
    pub fn scaled_services(&self) -> impl Iterator<Item = (&ServiceSpec, &ScalingSpec)> {
        let services = self.services.values();
        services.filter_map(|service| Some((service, service.scaling.as_ref()?)))
    }

    /// Returns the route with the longest matching path prefix.
    ///
    /// The cost depends on the number of slashes in the path, not on the number
    /// of routes.
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

    /// Returns the workspace that an API key belongs to.
    pub fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.keys.get(key)
    }

    /// Returns whether requests on routes that aren't public need an API key.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the distinct classes of the streaming routes of each service.
    pub fn stream_classes(&self) -> IndexMap<&str, IndexSet<StreamClass>> {
        let mut classes: IndexMap<&str, IndexSet<StreamClass>> = IndexMap::new();
        let routes = self.hosts.values().flat_map(IndexMap::values);
        for route in routes.filter(|route| route.kind == RequestKind::Streaming) {
            for share in &route.shares {
                let members = classes.entry(share.service.as_str()).or_default();
                members.insert(StreamClass {
                    priority: route.priority,
                    latency_target: route.latency_target,
                    event_gap_target: route.event_gap_target,
                });
            }
        }
        classes
    }

    /// Returns the longest timeout of a streaming route.
    pub fn longest_stream_timeout(&self) -> Option<Duration> {
        self.longest_stream_timeout
    }

    /// Returns the routes with streams that callers may take up.
    pub fn resumable_routes(&self) -> impl Iterator<Item = &Arc<RouteSpec>> {
        let routes = self.hosts.values().flat_map(IndexMap::values);
        routes.filter(|route| route.kind == RequestKind::Streaming && route.resumable)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }
}

/// Returns a share of a route, chosen by weight.
///
/// `random` selects the share; uniformly distributed values select each share
/// in proportion to its weight.
pub fn pick_share(shares: &[ServiceShare], random: u64) -> Option<&ServiceShare> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = random % total;
    for share in shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return Some(share);
        }
        remaining -= weight;
    }
    None
}
