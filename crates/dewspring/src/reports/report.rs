//! The JSON format of backend servers' reports.

use serde::Deserialize;

use crate::broker::{CacheHint, ServerReport};
use crate::ids::{ServerName, TokenCount};
use std::time::Duration;

/// Response of a server to `GET /load`.
///
/// # Examples
///
/// ```
/// use dewspring::reports::LoadReport;
///
/// let text = br#"{"running":3,"waiting":1,"slots":8,"tokens_in_flight":900}"#;
/// let report: LoadReport = serde_json::from_slice(text)?;
/// assert_eq!(report.running, 3);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of requests in the server's queue.
    #[serde(default)]
    pub waiting: u32,
    /// Number of tokens still to be generated.
    #[serde(default)]
    pub tokens_in_flight: TokenCount,
    /// Whether the server is about to shut down.
    #[serde(default)]
    pub leaving: bool,
}

/// Response of an engine to `GET /cache_events?after=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct CacheEvents {
    /// Value of `after` for the next request.
    pub next: u64,
    /// Events after the requested number; some may be missing.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// Hash of the prefix, in hexadecimal.
    pub prefix: String,
}

/// Kind of a change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

impl LoadReport {
    /// Combines a server's load with the prefixes that it newly cached.
    pub(super) fn into_server_report(
        self,
        server: ServerName,
        events: &CacheEvents,
    ) -> ServerReport {
        ServerReport {
            server,
            running: self.running,
            waiting: self.waiting,
            tokens_in_flight: self.tokens_in_flight,
            leaving: self.leaving,
            age: Duration::ZERO,
            cached: events.stored_hints(),
        }
    }
}

impl CacheEvents {
    fn stored_hints(&self) -> Vec<CacheHint> {
        let stored = self
            .events
            .iter()
            .filter(|event| event.kind == CacheEventKind::Stored);
        stored
            .filter_map(|event| u64::from_str_radix(&event.prefix, 16).ok())
            .map(|prefix| CacheHint {
                prefix,
                age: Duration::ZERO,
            })
            .collect()
    }
}
