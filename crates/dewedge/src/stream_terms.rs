//! For how long callers may take up streams, and of which services.
//!
//! Both follow from the tables, but a stream is handled by the tables under
//! which it began. What an earlier table permitted therefore holds until the
//! streams that began under it have ended. See [`crate::versions`] for what
//! depends on it.
//!
//! The main invariant: a change of the tables shortens the TTL, or excludes a
//! service, only once no stream from before the change can be taken up.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::tables::{RouteSpec, RouteTable};

/// Multiple of the longest timeout of a streaming route for which a stream can
/// be taken up. Its caller may do so until its own deadline.
const TTL_FACTOR: u32 = 2;

/// Time for which streams can be taken up before the tables are loaded.
const DEFAULT_TTL: Duration = Duration::from_secs(60);

/// A streaming route whose streams callers may take up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRoute {
    /// Host of its requests.
    pub host: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Services that share its requests.
    pub services: Vec<String>,
}

/// Names, and until when each holds; [`Moment::MAX`] by the tables in force.
type HeldNames = IndexMap<String, Moment>;

/// A TTL of earlier tables.
#[derive(Clone, Copy, Debug)]
struct EarlierTtl {
    ttl: Duration,
    until: Moment,
}

/// For how long streams can be taken up, and the services that serve them.
///
/// # Examples
///
/// ```
/// use dewedge::stream_terms::{StreamRoute, StreamTerms};
/// use std::time::Duration;
///
/// let seconds = Duration::from_secs;
/// let route = |service: &str| StreamRoute {
///     host: "news.example".to_string(),
///     prefix: "/a/".to_string(),
///     services: vec![service.to_string()],
/// };
/// let mut terms = StreamTerms::default();
/// terms.replace(Some(seconds(15)), [route("draft")], seconds(100));
/// terms.replace(Some(seconds(1)), [route("brief")], seconds(200));
/// assert_eq!(terms.ttl(seconds(229)), seconds(30));
/// assert!(terms.is_resumable("draft", seconds(229)));
/// assert!(terms.partners("brief", seconds(229)).eq(["draft"]));
/// assert_eq!(terms.ttl(seconds(231)), seconds(2));
/// assert!(!terms.is_resumable("draft", seconds(231)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamTerms {
    /// TTL of the tables in force, once there are any.
    current: Option<Duration>,
    earlier: Vec<EarlierTtl>,
    /// Services of each route, by host and prefix.
    routes: IndexMap<(String, String), HeldNames>,
    /// All services with streams that can be taken up.
    services: HeldNames,
    /// Services that share a route with a service.
    partners: IndexMap<String, HeldNames>,
}

impl StreamTerms {
    /// Applies the tables that come into force.
    pub fn apply_tables(&mut self, table: &RouteTable, now: Moment) {
        let routes = table.resumable_routes().map(|route| StreamRoute {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            services: service_names(route),
        });
        self.replace(table.longest_stream_timeout(), routes, now);
    }

    /// Replaces the longest timeout of a streaming route, and the routes with
    /// streams that can be taken up.
    pub fn replace(
        &mut self,
        longest_timeout: Option<Duration>,
        routes: impl IntoIterator<Item = StreamRoute>,
        now: Moment,
    ) {
        let until = now.saturating_add(self.ttl(now));
        for names in self.routes.values_mut() {
            end_by(names, until, now);
        }
        self.routes.retain(|_, names| !names.is_empty());
        for route in routes {
            let names = self.routes.entry((route.host, route.prefix)).or_default();
            names.extend(route.services.into_iter().map(|name| (name, Moment::MAX)));
        }
        self.index_services();
        self.replace_ttl(longest_timeout, now);
    }

    fn replace_ttl(&mut self, longest_timeout: Option<Duration>, now: Moment) {
        let ttl = longest_timeout.map_or(DEFAULT_TTL, |time| time.saturating_mul(TTL_FACTOR));
        self.earlier.retain(|earlier| earlier.until >= now);
        if let Some(replaced) = self.current.replace(ttl) {
            let earlier = EarlierTtl {
                ttl: replaced,
                until: now.saturating_add(replaced),
            };
            // No shorter TTL holds for longer than this one.
            self.earlier.retain(|other| other.ttl > earlier.ttl);
            self.earlier.push(earlier);
        }
    }

    fn index_services(&mut self) {
        self.services.clear();
        self.partners.clear();
        for names in self.routes.values() {
            for (service, until) in names {
                hold(&mut self.services, service, *until);
                for (partner, held) in names.iter().filter(|(name, _)| *name != service) {
                    let partners = self.partners.entry(service.clone()).or_default();
                    hold(partners, partner, *until.min(held));
                }
            }
        }
    }

    /// Returns for how long a stream can be taken up after it began.
    pub fn ttl(&self, now: Moment) -> Duration {
        let earlier = self.earlier.iter().filter(|earlier| earlier.until >= now);
        let longest = earlier.map(|earlier| earlier.ttl).max();
        longest.max(self.current).unwrap_or(DEFAULT_TTL)
    }

    /// Returns whether streams of a service can be taken up.
    pub fn is_resumable(&self, service: &str, now: Moment) -> bool {
        let until = self.services.get(service);
        until.is_some_and(|until| *until >= now)
    }

    /// Returns the services with streams that can be taken up.
    pub fn services(&self, now: Moment) -> impl Iterator<Item = &str> {
        held_names(&self.services, now)
    }

    /// Returns the other services that may have begun a stream of a service's
    /// routes.
    pub fn partners(&self, service: &str, now: Moment) -> impl Iterator<Item = &str> {
        let partners = self.partners.get(service).into_iter();
        partners.flat_map(move |names| held_names(names, now))
    }

    /// Returns the services that may have begun a stream of a route.
    pub fn route_services(&self, route: &RouteSpec, now: Moment) -> impl Iterator<Item = &str> {
        let key = (route.host.clone(), route.prefix.clone());
        let services = self.routes.get(&key).into_iter();
        services.flat_map(move |names| held_names(names, now))
    }
}

fn service_names(route: &RouteSpec) -> Vec<String> {
    let shares = route.shares.iter();
    shares.map(|share| share.service.clone()).collect()
}

fn held_names(names: &HeldNames, now: Moment) -> impl Iterator<Item = &str> {
    let held = names.iter().filter(move |(_, until)| **until >= now);
    held.map(|(name, _)| name.as_str())
}

/// Holds a name until a moment, or longer if it is held already.
fn hold(names: &mut HeldNames, name: &str, until: Moment) {
    let held = names.entry(name.to_string()).or_insert(until);
    *held = until.max(*held);
}

/// Ends what holds by the tables in force at `until`, and forgets what has ended.
fn end_by(names: &mut HeldNames, until: Moment, now: Moment) {
    for held in names.values_mut() {
        *held = until.min(*held);
    }
    names.retain(|_, held| *held >= now);
}
