//! Orders the requests that wait for a server of one service.
//!
//! More urgent requests go first. Among requests of the same rank, workspaces
//! share the servers by start-time fair queuing on the cost of their requests,
//! so that one busy workspace doesn't delay the others.
//!
//! A caller's retry after a refusal goes before other requests of its rank,
//! because the caller has no time for another retry.
//!
//! This handles a workspace that sends many times its usual load, also during
//! bursts.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::origins::VersionId;

/// Id of a request in flight on this VM.
pub type ExchangeId = usize;

/// Number of route ranks that are distinguished within one workspace rank.
const ROUTE_RANKS: u8 = 16;

/// Number of route ranks that are distinguished at an engine.
const ENGINE_ROUTE_RANKS: u8 = 3;

/// Least urgent of the ten priorities that an engine supports.
const LAST_ENGINE_RANK: u8 = 9;

/// Returns the rank of a request; 0 is the most urgent.
///
/// The workspace rank decides first, and the route rank among workspaces of the
/// same rank.
///
/// # Examples
///
/// ```
/// use dewedge::policy::queue::request_rank;
///
/// assert!(request_rank(Some(0), 2) < request_rank(Some(1), 0));
/// assert!(request_rank(Some(1), 0) < request_rank(Some(1), 2));
/// ```
pub fn request_rank(workspace: Option<u8>, route: u8) -> u8 {
    let workspace_rank = workspace.unwrap_or(0).min(ROUTE_RANKS - 1);
    workspace_rank * ROUTE_RANKS + route.min(ROUTE_RANKS - 1)
}

/// Returns the priority of a request at an engine, from 0 to 9, in the same
/// order.
///
/// # Examples
///
/// ```
/// use dewedge::policy::queue::{engine_rank, request_rank};
///
/// assert_eq!(engine_rank(request_rank(Some(1), 2)), 5);
/// ```
pub fn engine_rank(rank: u8) -> u8 {
    let (workspace, route) = (rank / ROUTE_RANKS, rank % ROUTE_RANKS);
    let route_rank = route.min(ENGINE_ROUTE_RANKS - 1);
    (workspace * ENGINE_ROUTE_RANKS + route_rank).min(LAST_ENGINE_RANK)
}

/// Number of tracked workspaces at which all start tags are reset.
const MAX_TRACKED_WORKSPACES: usize = 4096;

/// Properties of a request that decide which servers have capacity for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerRequirements {
    /// Whether its events must not be far apart.
    pub gap_sensitive: bool,
    /// Rank of its route; servers keep headroom for more urgent ones.
    pub class: u8,
    /// Key of its home, if its prompt has a long shared prefix.
    pub home: Option<u64>,
    /// The only software version that may serve it, if it takes a stream up.
    pub version: Option<VersionId>,
}

impl ServerRequirements {
    /// Returns whether a request with the `other` requirements must wait after
    /// one with these requirements found all servers busy.
    ///
    /// Less urgent requests must wait, and equally urgent ones with the same
    /// home; another home may have capacity. Gap-sensitive requests and others
    /// don't block each other, and one that is bound to a software version blocks
    /// only those bound to the same.
    pub fn blocks(&self, other: &Self) -> bool {
        let takes_precedence =
            self.class < other.class || self.class == other.class && self.home == other.home;
        let includes_servers = self.version.is_none() || self.version == other.version;
        self.gap_sensitive == other.gap_sensitive && takes_precedence && includes_servers
    }
}

/// A request that waits for a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// Id of the request.
    pub exchange_id: ExchangeId,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Which servers have capacity for it.
    pub requirements: ServerRequirements,
    /// Whether it is a caller's retry after a refusal.
    pub caller_retry: bool,
    /// Its workspace.
    pub workspace: String,
    /// Its cost, in any unit common to all requests.
    pub cost: u64,
    /// When it arrived.
    pub arrived: Moment,
}

/// Sort key of a request: rank, start tag, sequence number.
type QueuePosition = (u8, u64, u64);

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    positions: IndexMap<ExchangeId, QueuePosition>,
    next_start: IndexMap<(u8, String), u64>,
    virtual_time: IndexMap<u8, u64>,
    sequence: u64,
}

impl WaitingQueue {
    /// Adds a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::queue::{ServerRequirements, WaitingQueue, WaitingRequest};
    /// use std::time::Duration;
    ///
    /// let mut queue = WaitingQueue::default();
    /// for (exchange_id, priority) in [(1, 2), (2, 0)] {
    ///     let workspace = "news".to_string();
    ///     let arrived = Duration::ZERO;
    ///     let requirements = ServerRequirements {
    ///         gap_sensitive: false, class: priority, home: None, version: None,
    ///     };
    ///     let caller_retry = false;
    ///     queue.push(WaitingRequest {
    ///         exchange_id, priority, requirements, caller_retry, workspace, cost: 1, arrived,
    ///     });
    /// }
    /// assert_eq!(queue.first().unwrap().exchange_id, 2);
    /// ```
    pub fn push(&mut self, request: WaitingRequest) {
        let virtual_time = self
            .virtual_time
            .get(&request.priority)
            .copied()
            .unwrap_or(0);
        let key = (request.priority, request.workspace.clone());
        let start_tag = match request.caller_retry {
            true => virtual_time,
            false => self
                .next_start
                .get(&key)
                .copied()
                .unwrap_or(0)
                .max(virtual_time),
        };
        if self.next_start.len() >= MAX_TRACKED_WORKSPACES {
            self.next_start.clear();
        }
        let next_start_tag = self.next_start.entry(key).or_insert(0);
        *next_start_tag = (*next_start_tag).max(start_tag) + request.cost.max(1);
        self.sequence += 1;
        let position = (request.priority, start_tag, self.sequence);
        self.positions.insert(request.exchange_id, position);
        self.waiting.insert(position, request);
    }

    /// Returns the request to send next.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.waiting.values().next()
    }

    /// Returns all requests in order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.values()
    }

    /// Removes a request that is sent or no longer waits.
    pub fn remove(&mut self, exchange_id: ExchangeId) -> Option<WaitingRequest> {
        let position = self.positions.swap_remove(&exchange_id)?;
        let virtual_time = self.virtual_time.entry(position.0).or_insert(0);
        *virtual_time = (*virtual_time).max(position.1);
        self.waiting.remove(&position)
    }

    /// Returns the arrival time of the oldest request that blocks a new request
    /// of this rank.
    pub fn oldest_blocker(
        &self,
        priority: u8,
        requirements: &ServerRequirements,
    ) -> Option<Moment> {
        self.waiting
            .range(..(priority.saturating_add(1), 0, 0))
            .filter(|(_, request)| request.requirements.blocks(requirements))
            .map(|(_, request)| request.arrived)
            .min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
