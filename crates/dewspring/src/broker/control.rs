//! What the rest of the daemon tells a broker besides requests and releases.
//!
//! Settings are fixed at the start; reports, marks and the share change while
//! the broker runs.

use std::num::NonZeroU32;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, ServerName, TokenCount, VmId};

/// Time for which a grant may be used unless the settings say otherwise.
const DEFAULT_GRANT_VALIDITY: Duration = Duration::from_secs(2);
/// Requests that may wait for one pool unless the settings say otherwise.
const DEFAULT_QUEUE_LIMIT: usize = 10_000;
/// Messages that the ring into the broker's thread holds by default.
const DEFAULT_RING_CAPACITY: usize = 16_384;

/// Settings of a broker, fixed while it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokerSettings {
    /// VM that the broker runs on.
    pub vm: VmId,
    /// Boot of that VM's daemon.
    pub boot: BootId,
    /// Time for which a grant may be used once it is given.
    pub grant_validity: Duration,
    /// Requests that may wait for one pool.
    pub queue_limit: usize,
    /// Messages that the ring into the broker's thread holds.
    pub ring_capacity: usize,
    /// Seed of the generator behind the jitter.
    pub seed: u64,
}

impl BrokerSettings {
    /// Returns the default settings for a broker on this VM.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::broker::BrokerSettings;
    ///
    /// let settings = BrokerSettings::new("vm-1", 7);
    /// assert_eq!(settings.grant_validity.as_secs(), 2);
    /// ```
    pub fn new(vm: impl Into<VmId>, boot: BootId) -> Self {
        Self {
            vm: vm.into(),
            boot,
            grant_validity: DEFAULT_GRANT_VALIDITY,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            ring_capacity: DEFAULT_RING_CAPACITY,
            seed: boot,
        }
    }
}

/// Number of entries that divide each server's slots among them.
///
/// A broker that serves the whole fleet has the divisor 1. A local fallback
/// broker has the number of live entries, so that all fallback brokers
/// together stay within a server's slots wherever it has a slot for each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareDivisor(NonZeroU32);

impl ShareDivisor {
    /// The divisor of a broker that has the servers for itself.
    pub const WHOLE: Self = Self(NonZeroU32::MIN);

    /// Returns the divisor for a number of entries; 0 counts as 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::broker::ShareDivisor;
    ///
    /// assert_eq!(ShareDivisor::new(8).share_of(20), 2);
    /// assert_eq!(ShareDivisor::new(8).share_of(3), 1);
    /// assert_eq!(ShareDivisor::new(0).share_of(3), 3);
    /// ```
    pub fn new(entries: u32) -> Self {
        Self(NonZeroU32::new(entries).unwrap_or(NonZeroU32::MIN))
    }

    /// Returns this broker's share of a server's slots, at least one slot of
    /// a server that has any.
    pub fn share_of(self, slots: u32) -> u32 {
        (slots / self.0).max(slots.min(1))
    }
}

/// A server's word on its own load, which lags behind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServerReport {
    /// Server that reports.
    pub server: ServerName,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at the server.
    pub waiting: u32,
    /// Tokens still to be generated for them, as the server estimates.
    pub tokens_in_flight: TokenCount,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// Time since the server took these figures.
    pub age: Duration,
    /// Prompt prefixes that the server says it holds in its cache.
    pub cached: Vec<CacheHint>,
}

/// A hint that a server's cache holds a prompt prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheHint {
    /// Hash of the prefix, as in [`GrantRequest::prefix`](super::GrantRequest::prefix).
    pub prefix: u64,
    /// Time since the event.
    pub age: Duration,
}

/// State of a server in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerMark {
    /// The server is about to leave: it gets no new work.
    Leaving,
    /// The server is there.
    Live,
}
