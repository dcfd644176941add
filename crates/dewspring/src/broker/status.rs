//! What a broker shows of itself to operators and metrics.

use serde::Serialize;

use crate::ids::{ClassName, PoolName, Revision, ServerName, TierLevel, TokenCount};

/// State of a broker at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BrokerStatus {
    /// Revision of the configuration that the broker follows.
    pub revision: Revision,
    /// Pools in the order of the table.
    pub pools: Vec<PoolStatus>,
}

impl BrokerStatus {
    /// Returns the number of requests that wait, over all pools.
    pub fn queued(&self) -> usize {
        let queued =
            |pool: &PoolStatus| pool.classes.iter().map(|class| class.queued).sum::<usize>();
        self.pools.iter().map(queued).sum()
    }

    /// Returns the number of grants that are out, over all pools.
    pub fn in_flight(&self) -> u32 {
        let servers = self.pools.iter().flat_map(|pool| &pool.servers);
        servers.map(|server| server.in_flight).sum()
    }
}

/// State of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// Classes that have waited for it.
    pub classes: Vec<ClassStatus>,
    /// Its servers.
    pub servers: Vec<ServerStatus>,
}

/// Requests of one class that wait for a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub class: ClassName,
    /// Its tier.
    pub tier: TierLevel,
    /// Requests that wait.
    pub queued: usize,
}

/// Whether a server gets new work, and why not.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum ServerState {
    /// The server gets new work.
    Active,
    /// The operators drain the server or have removed it from the table.
    Draining,
    /// The platform or the server itself says that it leaves.
    Leaving,
    /// The server is too slow or fails, and gets no new work.
    Ejected,
    /// The server was ejected and gets a single request as a test.
    Probing,
}

/// State of one server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerName,
    /// Whether it gets new work.
    pub state: ServerState,
    /// Slots that this broker may fill.
    pub slots: u32,
    /// Grants of this broker that are out.
    pub in_flight: u32,
    /// Estimated work of those grants, in tokens.
    pub tokens_in_flight: TokenCount,
}

/// A server that gets new work from now on, or gets none any more.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// Name of the server.
    pub server: ServerName,
    /// Its new state.
    pub state: ServerState,
}
