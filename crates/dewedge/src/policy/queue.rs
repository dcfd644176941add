//! The order of the requests that wait for a server of one service.
//!
//! More urgent requests go first. Among equally urgent ones the workspaces take
//! turns by the work that each one's requests bring, so that one busy workspace
//! doesn't hold up the others.
//!
//! A caller that was refused before and has come back goes before the other
//! requests of its rank, because it can't come back once more.
//!
//! It answers a workspace that sends many times its usual, beside bursts.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::clock::Moment;

/// Id of a request in flight on this VM.
pub type ExchangeId = usize;

/// Ranks of routes that are told apart within one rank of the workspaces.
const ROUTE_RANKS: u8 = 16;

/// Ranks of routes that an engine is told apart, of the ten that it knows.
const ENGINE_ROUTE_RANKS: u8 = 3;

/// Least urgent rank that an engine knows.
const LAST_ENGINE_RANK: u8 = 9;

/// Returns the rank of a request, 0 for the most urgent.
///
/// The rank of the workspace goes first, and the rank of the route decides
/// among workspaces of the same rank.
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
    let before = workspace.unwrap_or(0).min(ROUTE_RANKS - 1);
    before * ROUTE_RANKS + route.min(ROUTE_RANKS - 1)
}

/// Returns the rank that an engine is told, from 0 to 9, in the same order.
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
    let within = route.min(ENGINE_ROUTE_RANKS - 1);
    (workspace * ENGINE_ROUTE_RANKS + within).min(LAST_ENGINE_RANK)
}

/// Workspaces whose turn is remembered; idle ones are forgotten beyond it.
const MAX_TURNS: usize = 4096;

/// What decides which servers take a request while they are busy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerNeed {
    /// Whether the events of its stream may not pause for long.
    pub paced: bool,
    /// Rank of its route; servers keep room for the more urgent ones.
    pub class: u8,
    /// Key of its home, if its prompt has long shared parts.
    pub home: Option<u64>,
}

impl ServerNeed {
    /// Returns whether a request with this need, for which no server has room,
    /// goes before those with the other one. A more urgent one does; among
    /// equals, one home may have room while another has none.
    pub fn holds_up(&self, other: &Self) -> bool {
        let first =
            self.class < other.class || self.class == other.class && self.home == other.home;
        self.paced == other.paced && first
    }
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// Which request.
    pub exchange: ExchangeId,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Which servers it needs.
    pub need: ServerNeed,
    /// Whether its caller was refused before and has come back.
    pub returned: bool,
    /// Its workspace.
    pub workspace: String,
    /// Work it brings, in any unit that is the same for all.
    pub work: u64,
    /// When it came.
    pub arrived: Moment,
}

/// Place of a request: rank, turn of its workspace, number.
type QueuePlace = (u8, u64, u64);

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    places: BTreeMap<QueuePlace, WaitingRequest>,
    by_exchange: IndexMap<ExchangeId, QueuePlace>,
    turns: IndexMap<(u8, String), u64>,
    reached: IndexMap<u8, u64>,
    number: u64,
}

impl WaitingQueue {
    /// Adds a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::queue::{ServerNeed, WaitingQueue, WaitingRequest};
    /// use std::time::Duration;
    ///
    /// let mut queue = WaitingQueue::default();
    /// for (exchange, priority) in [(1, 2), (2, 0)] {
    ///     let workspace = "news".to_string();
    ///     let arrived = Duration::ZERO;
    ///     let need = ServerNeed { paced: false, class: priority, home: None };
    ///     let returned = false;
    ///     queue.push(WaitingRequest {
    ///         exchange, priority, need, returned, workspace, work: 1, arrived,
    ///     });
    /// }
    /// assert_eq!(queue.first().unwrap().exchange, 2);
    /// ```
    pub fn push(&mut self, request: WaitingRequest) {
        let reached = self.reached.get(&request.priority).copied().unwrap_or(0);
        let key = (request.priority, request.workspace.clone());
        let turn = match request.returned {
            true => reached,
            false => self.turns.get(&key).copied().unwrap_or(0).max(reached),
        };
        if self.turns.len() >= MAX_TURNS {
            self.turns.clear();
        }
        let next = self.turns.entry(key).or_insert(0);
        *next = (*next).max(turn) + request.work.max(1);
        self.number += 1;
        let place = (request.priority, turn, self.number);
        self.by_exchange.insert(request.exchange, place);
        self.places.insert(place, request);
    }

    /// Returns the request that goes first.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.places.values().next()
    }

    /// Returns all requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.places.values()
    }

    /// Takes a request out, because it is sent or given up.
    pub fn remove(&mut self, exchange: ExchangeId) -> Option<WaitingRequest> {
        let place = self.by_exchange.swap_remove(&exchange)?;
        let reached = self.reached.entry(place.0).or_insert(0);
        *reached = (*reached).max(place.1);
        self.places.remove(&place)
    }

    /// Returns the arrival of the oldest request that goes before a newcomer
    /// with this rank and holds it up.
    pub fn oldest_before(&self, priority: u8, need: &ServerNeed) -> Option<Moment> {
        self.places
            .range(..(priority.saturating_add(1), 0, 0))
            .filter(|(_, request)| request.need.holds_up(need))
            .map(|(_, request)| request.arrived)
            .min()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
