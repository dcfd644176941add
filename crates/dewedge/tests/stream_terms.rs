//! For how long streams can be taken up while the tables change.

use std::time::Duration;

use dewedge::stream_terms::{StreamRoute, StreamTerms};
use quickcheck::QuickCheck;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn route(prefix: &str, services: &[&str]) -> StreamRoute {
    StreamRoute {
        host: "news.example".to_string(),
        prefix: prefix.to_string(),
        services: services.iter().map(|name| name.to_string()).collect(),
    }
}

/// Replaces tables after pauses; returns whether each stream is known for as long as
/// its caller can take it up. Tables with an odd timeout have no such streams.
fn keeps_streams(changes: Vec<(u8, u8)>) -> bool {
    let mut terms = StreamTerms::default();
    let mut now = Duration::ZERO;
    let mut begun: Vec<(Duration, Duration)> = Vec::new();
    for (pause, timeout) in changes {
        now += seconds(u64::from(pause));
        let mut due = begun.iter().filter(|(at, ttl)| now <= *at + *ttl);
        if !due.all(|(at, _)| terms.ttl(now) >= now - *at && terms.is_resumable("draft", now)) {
            return false;
        }
        let routes = timeout.is_multiple_of(2).then(|| route("/a/", &["draft"]));
        let timeout = seconds(u64::from(timeout));
        begun.extend(routes.iter().map(|_| (now, timeout * 2)));
        terms.replace(Some(timeout), routes, now);
    }
    true
}

/// Guards against a stream that is forgotten while its caller can take it up, by the
/// tables that follow those under which it began.
#[test]
fn no_change_of_the_tables_forgets_a_stream() {
    QuickCheck::new().quickcheck(keeps_streams as fn(Vec<(u8, u8)>) -> bool);
}

/// Services of the route `/a/` by one version of the tables after the other, 10 s
/// apart, with a timeout of 10 s.
struct RouteCase {
    name: &'static str,
    tables: &'static [&'static [&'static str]],
    /// Services that may share a stream with `draft`, 5 s after the last change.
    partners: &'static [&'static str],
}

#[test]
fn services_that_shared_a_route_lately_are_partners() {
    let cases = [
        RouteCase {
            name: "a route of one service",
            tables: &[&["draft"]],
            partners: &[],
        },
        RouteCase {
            name: "a split route",
            tables: &[&["draft", "brief"]],
            partners: &["brief"],
        },
        RouteCase {
            name: "a route that has moved",
            tables: &[&["brief"], &["draft"]],
            partners: &["brief"],
        },
        RouteCase {
            name: "a route that was removed and is back at another service",
            tables: &[&["brief"], &[], &["draft"]],
            partners: &["brief"],
        },
        RouteCase {
            name: "a route that moved long ago",
            tables: &[&["brief"], &["draft"], &["draft"], &["draft"], &["draft"]],
            partners: &[],
        },
    ];
    for case in cases {
        let mut terms = StreamTerms::default();
        let mut now = seconds(100);
        for services in case.tables {
            now += seconds(10);
            let routes = (!services.is_empty()).then(|| route("/a/", services));
            terms.replace(Some(seconds(10)), routes, now);
        }
        let partners: Vec<_> = terms.partners("draft", now + seconds(5)).collect();
        assert_eq!(partners, case.partners, "{}", case.name);
    }
}
