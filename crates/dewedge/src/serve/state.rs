//! The state of the loop.

use std::collections::VecDeque;
use std::marker::PhantomData;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use mio::net::UdpSocket;
use mio::{Registry, Token};
use slab::Slab;

use crate::clock::Moment;
use crate::directory::{ReplicaDirectory, ReplicaIndex};
use crate::format::{PlatformFormat, RequestMetadata};
use crate::http::{AnswerHead, BodyDecoder, RequestHead};
use crate::keys::KeyClock;
use crate::logs::LogWriter;
use crate::metrics::EdgeMetrics;
use crate::net::WireChannel;
use crate::peers::PeerTable;
use crate::policy::queue::{ExchangeId, WaitingQueue};
use crate::policy::retries::RetryBudget;
use crate::settings::EdgeSettings;
use crate::storage::StoreDuty;
use crate::stream::EventCutter;
use crate::tables::{CallerLimits, RouteSpec, RouteTable};

use super::timers::{DueTime, TimerHeap, TimerKey};

/// Id of a caller's connection.
pub(crate) type CallerId = usize;

/// Id of a connection to a server.
pub(crate) type ServerId = usize;

/// Limits of callers before the tables are known.
pub(crate) const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time for which new connections are expected after the request to stop: the
/// balancer asks every second and takes a VM out after two misses.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Requests that were sent since a server was last heard, from which on a VM
/// may be cut off.
const ISOLATED_SENDS: u32 = 3;

/// Time without a byte from any server after which a VM counts as cut off.
const ISOLATED_TIME: Duration = Duration::from_millis(700);

/// Part of the grace after which requests are cut off.
const GRACE_SHARE: f64 = 0.95;

/// How far the reading of a caller's request has come.
#[derive(Debug)]
pub(crate) enum CallerPhase {
    /// Between requests, or within a head.
    Head,
    /// Within a body.
    Body {
        head: Box<RequestHead>,
        decoder: BodyDecoder,
        body: Vec<u8>,
    },
    /// A request is in work.
    Busy(ExchangeId),
    /// The last answer is sent; what still comes is dropped.
    Lingering,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerConn {
    pub(crate) channel: WireChannel,
    pub(crate) phase: CallerPhase,
    pub(crate) timer: DueTime,
    /// When the head that is being read began.
    pub(crate) head_since: Option<Moment>,
    /// When the last request ended.
    pub(crate) idle_since: Moment,
    /// Whether the connection ends after the answer.
    pub(crate) closing: bool,
}

/// What a caller has got of a stream.
#[derive(Debug)]
pub(crate) struct CallerStream {
    pub(crate) cutter: EventCutter,
    pub(crate) head_sent: bool,
    pub(crate) last_event: Moment,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangePhase {
    Waiting,
    Sent(ServerId),
}

/// A failure of a server that is passed on if nothing better comes.
#[derive(Debug)]
pub(crate) struct KeptAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Vec<u8>,
}

/// A request in work.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) caller: CallerId,
    pub(crate) facts: RequestMetadata,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    /// Rank among all requests; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) method: String,
    /// Request line and the caller's headers that are passed on.
    pub(crate) head: Rc<[u8]>,
    pub(crate) body: Rc<[u8]>,
    pub(crate) arrived: Moment,
    /// When the final answer is due.
    pub(crate) deadline: Moment,
    /// When it began to wait, and until when it may.
    pub(crate) queued: Moment,
    pub(crate) wait_until: Moment,
    pub(crate) phase: ExchangePhase,
    /// Whether its caller was refused before and has come back.
    pub(crate) caller_retry: bool,
    /// Sends so far.
    pub(crate) sends: u32,
    /// Connections that couldn't be made so far.
    pub(crate) connect_failures: u32,
    pub(crate) tried: Vec<ReplicaIndex>,
    /// Whether a server may have run it.
    pub(crate) maybe_ran: bool,
    pub(crate) stream: Option<CallerStream>,
    pub(crate) kept: Option<KeptAnswer>,
    pub(crate) sent_load: SentLoad,
    pub(crate) timer: DueTime,
}

/// The work that a sent request has at its server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentLoad {
    pub(crate) replica: ReplicaIndex,
    pub(crate) sent: Moment,
    pub(crate) backlog_ms: f64,
    /// Time to the first event that was expected, in ms.
    pub(crate) expected_ms: f64,
    pub(crate) tokens: u64,
    pub(crate) gap_sensitive: bool,
    /// Whether the prompt is still unread.
    pub(crate) unread: bool,
    /// Whether it counts at the server.
    pub(crate) counted: bool,
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct ServerConn {
    pub(crate) channel: WireChannel,
    pub(crate) replica: ReplicaIndex,
    pub(crate) connected: bool,
    pub(crate) reused: bool,
    pub(crate) exchange: Option<ExchangeId>,
    pub(crate) head: Option<AnswerHead>,
    pub(crate) decoder: Option<BodyDecoder>,
    pub(crate) body: Vec<u8>,
    pub(crate) is_stream: bool,
    pub(crate) idle_until: Moment,
    pub(crate) idle_since: Moment,
    pub(crate) timer: DueTime,
}

/// A connection that asks for readiness or metrics.
#[derive(Debug)]
pub(crate) struct SideConn {
    pub(crate) channel: WireChannel,
    pub(crate) timer: DueTime,
}

/// What the loop owns.
#[derive(Debug)]
pub(crate) struct EdgeState<F> {
    pub(crate) settings: EdgeSettings,
    pub(crate) registry: Registry,
    pub(crate) now: Moment,
    pub(crate) logs: LogWriter,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) keys: KeyClock,
    pub(crate) directory: ReplicaDirectory,
    pub(crate) peers: PeerTable,
    pub(crate) peer_socket: UdpSocket,
    pub(crate) digest_due: bool,
    pub(crate) digest_timer: DueTime,
    pub(crate) digest_sent: Moment,
    pub(crate) others_stale: bool,
    pub(crate) store: StoreDuty<F>,
    pub(crate) store_timer: DueTime,
    /// Whether the last call failed on each connection to the store: the one for
    /// calls, and the one for the watch.
    pub(crate) store_lost: [bool; 2],
    pub(crate) callers: Slab<CallerConn>,
    pub(crate) servers: Slab<ServerConn>,
    pub(crate) sides: Slab<SideConn>,
    pub(crate) exchanges: Slab<Exchange>,
    pub(crate) queues: IndexMap<String, WaitingQueue>,
    pub(crate) budgets: IndexMap<String, RetryBudget>,
    /// Services whose queue may move on.
    pub(crate) wakes: VecDeque<String>,
    /// Callers whose last request has ended, and who may have sent the next.
    pub(crate) freed_callers: VecDeque<CallerId>,
    pub(crate) timers: TimerHeap,
    pub(crate) random: u64,
    /// When a server was last heard.
    pub(crate) last_heard: Moment,
    /// Requests that were sent since then, and when the first of them was.
    pub(crate) unheard: u32,
    pub(crate) first_unheard: Moment,
    /// When the process was asked to stop.
    pub(crate) stopping: Option<Moment>,
    /// Bytes of bodies in memory.
    pub(crate) body_bytes: u64,
    pub(crate) format: PhantomData<F>,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns the limits of callers in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.table
            .as_ref()
            .map_or(FIRST_LIMITS, |table| table.limits)
    }

    /// Returns the next random number; it spreads choices and needs no secrecy.
    pub(crate) fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Returns the next random number between 0 and 1.
    pub(crate) fn draw_unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns whether keys may be accepted now.
    pub(crate) fn keys_fresh(&self) -> bool {
        !self.settings.keys_fail_closed || self.keys.is_fresh(self.now)
    }

    /// Returns whether no server answers any more, so that the VM seems to be cut
    /// off from all of them.
    pub(crate) fn is_isolated(&self) -> bool {
        let last = self.last_heard.max(self.first_unheard);
        self.unheard >= ISOLATED_SENDS && self.now.saturating_sub(last) >= ISOLATED_TIME
    }

    /// Returns whether callers are served now.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.is_none()
            && !self.is_isolated()
            && self.table.is_some()
            && self.store.is_loaded()
            && self.keys_fresh()
    }

    /// Returns whether the balancer has surely seen that the process stops.
    pub(crate) fn has_left(&self) -> bool {
        self.stopping
            .is_some_and(|since| self.now >= since + LEAVE_TIME)
    }

    /// Returns when requests are cut off, if the process stops.
    pub(crate) fn cut_off(&self) -> Option<Moment> {
        let since = self.stopping?;
        Some(since + self.settings.stop_grace.mul_f64(GRACE_SHARE))
    }

    pub(crate) fn arm_caller(&mut self, caller: CallerId, due: Moment) {
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.timer
                .set(due, TimerKey::Caller(caller), &mut self.timers);
        }
    }

    pub(crate) fn arm_exchange(&mut self, exchange: ExchangeId, due: Moment) {
        if let Some(item) = self.exchanges.get_mut(exchange) {
            item.timer
                .set(due, TimerKey::Exchange(exchange), &mut self.timers);
        }
    }

    pub(crate) fn arm_server(&mut self, server: ServerId, due: Moment) {
        if let Some(conn) = self.servers.get_mut(server) {
            conn.timer
                .set(due, TimerKey::Server(server), &mut self.timers);
        }
    }
}

/// Kinds of connections, in the low bits of their tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TokenKind {
    Fixed,
    Caller,
    Server,
    Side,
}

const KIND_BITS: u32 = 2;

/// Returns the token of a connection.
pub(crate) fn token_of(kind: TokenKind, index: usize) -> Token {
    Token(index << KIND_BITS | kind as usize)
}

/// Returns what a token stands for.
pub(crate) fn token_kind(token: Token) -> (TokenKind, usize) {
    let kind = match token.0 & 3 {
        0 => TokenKind::Fixed,
        1 => TokenKind::Caller,
        2 => TokenKind::Server,
        _ => TokenKind::Side,
    };
    (kind, token.0 >> KIND_BITS)
}
