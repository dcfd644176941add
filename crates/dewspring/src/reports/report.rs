//! The reports as backend servers write them, in JSON.

use serde::Deserialize;

use crate::broker::{CacheHint, ServerReport};
use crate::ids::{ServerName, TokenCount};
use std::time::Duration;

/// Answer of a server to `GET /load`.
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
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait at the server.
    #[serde(default)]
    pub waiting: u32,
    /// Tokens still to be generated.
    #[serde(default)]
    pub tokens_in_flight: TokenCount,
    /// Whether the server is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer of an engine to `GET /cache_events?after=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct CacheEvents {
    /// Number to ask with the next time.
    pub next: u64,
    /// Events since the number that was asked with; some may be missing.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prefix in hexadecimal.
    pub prefix: String,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The prefix is in the cache now.
    Stored,
    /// The prefix was thrown out.
    Evicted,
}

impl LoadReport {
    /// Puts a server's load and its newly stored prefixes together.
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
