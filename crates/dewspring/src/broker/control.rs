//! Settings and control inputs of a broker.
//!
//! Settings are fixed at the start. Load reports, server marks and the share of
//! the slots change while the broker runs.

use std::num::NonZeroU32;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, ServerName, TokenCount, VmId};

/// Default time for which a grant may be used.
const DEFAULT_GRANT_VALIDITY: Duration = Duration::from_secs(2);
/// Default number of requests that may be queued for one pool.
const DEFAULT_QUEUE_LIMIT: usize = 10_000;
/// Default capacity, in messages, of the channel to the broker's thread.
const DEFAULT_CHANNEL_CAPACITY: usize = 16_384;

/// Settings of a broker, fixed while it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokerSettings {
    /// VM on which the broker runs.
    pub vm: VmId,
    /// Boot of that VM's daemon.
    pub boot: BootId,
    /// Time for which a grant may be used after it was issued.
    pub grant_validity: Duration,
    /// Number of requests that may be queued for one pool.
    pub queue_limit: usize,
    /// Capacity, in messages, of the channel to the broker's thread.
    pub channel_capacity: usize,
    /// Seed of the random numbers used for jitter.
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
            channel_capacity: DEFAULT_CHANNEL_CAPACITY,
            seed: boot,
        }
    }
}

/// Divisor of each server's slots: the number of entries that share them.
///
/// A broker that serves the whole fleet has the divisor 1. A local fallback
/// broker uses the number of live entries, so that the fallback brokers of all
/// entries together stay within the slots of any server that has at least one
/// slot for each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareDivisor(NonZeroU32);

impl ShareDivisor {
    /// Divisor of a broker that has the servers to itself.
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

    /// Returns this broker's share of a server's slots: at least one, unless
    /// the server has none.
    pub fn share_of(self, slots: u32) -> u32 {
        (slots / self.0).max(slots.min(1))
    }
}

/// A server's report of its own load, which lags behind the actual load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServerReport {
    /// Server that sent the report.
    pub server: ServerName,
    /// Requests that it runs.
    pub running: u32,
    /// Requests queued at the server.
    pub waiting: u32,
    /// Estimate by the server of the tokens still to be generated for them.
    pub tokens_in_flight: TokenCount,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// Time since the server measured these values.
    pub age: Duration,
    /// Prompt prefixes that the server reports as cached.
    pub cached: Vec<CacheHint>,
}

/// A hint that a server has a prompt prefix in its cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheHint {
    /// Hash of the prefix, as in [`GrantRequest::prefix`](super::GrantRequest::prefix).
    pub prefix: u64,
    /// Time since the cache event.
    pub age: Duration,
}

/// State of a server in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerMark {
    /// The server is about to leave and gets no new work.
    Leaving,
    /// The server is available.
    Live,
}
