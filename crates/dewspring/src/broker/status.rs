//! Status of a broker for operators and metrics.

use serde::Serialize;

use crate::ids::{ClassName, PoolName, Revision, ServerName, TierLevel, TokenCount};

/// Snapshot of a broker.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BrokerStatus {
    /// Revision of the applied configuration.
    pub revision: Revision,
    /// Pools in the order of the table.
    pub pools: Vec<PoolStatus>,
}

impl BrokerStatus {
    /// Returns the number of queued requests over all pools.
    pub fn queued(&self) -> usize {
        let queued =
            |pool: &PoolStatus| pool.classes.iter().map(|class| class.queued).sum::<usize>();
        self.pools.iter().map(queued).sum()
    }

    /// Returns the number of active grants over all pools.
    pub fn in_flight(&self) -> u32 {
        let servers = self.pools.iter().flat_map(|pool| &pool.servers);
        servers.map(|server| server.in_flight).sum()
    }
}

/// Status of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// Classes with queued requests.
    pub classes: Vec<ClassStatus>,
    /// Servers of the pool.
    pub servers: Vec<ServerStatus>,
}

/// Queued requests of one class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub class: ClassName,
    /// Tier of the class.
    pub tier: TierLevel,
    /// Number of queued requests.
    pub queued: usize,
}

/// Whether a server gets new work, or why not.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum ServerState {
    /// The server gets new work.
    Active,
    /// The operators drain the server or have removed it from the table.
    Draining,
    /// The platform or the server itself announced that it leaves.
    Leaving,
    /// The server fails or is too slow, and gets no new work.
    Ejected,
    /// The ejection time is over and the server gets a single request as a
    /// probe.
    Probing,
}

/// Status of one server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerName,
    /// Whether it gets new work.
    pub state: ServerState,
    /// Slots that this broker may fill.
    pub slots: u32,
    /// Active grants of this broker.
    pub in_flight: u32,
    /// Estimated work of those grants, in tokens.
    pub tokens_in_flight: TokenCount,
}

/// A change of a server's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStateChange {
    /// Name of the server.
    pub server: ServerName,
    /// The new state.
    pub state: ServerState,
}
