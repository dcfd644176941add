//! State of the event loop.

use std::cell::OnceCell;
use std::collections::VecDeque;
use std::marker::PhantomData;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dewbudget::{ByteAccount, ByteCharge, SegmentedBody, UploadTable};
use dewguard::RequestHash;
use indexmap::IndexMap;
use mio::net::UdpSocket;
use mio::{Registry, Token};
use slab::Slab;

use crate::clock::Moment;
use crate::directory::{ReplicaDirectory, ReplicaIndex};
use crate::ended_notices::{EndedQueue, ReporterLimits};
use crate::format::{PlatformFormat, RequestMetadata};
use crate::http::{BodyDecoder, RequestHead, ResponseHead, ResponseReader};
use crate::keys::KeyConfirmation;
use crate::load_notices::NoticeQueue;
use crate::logs::LogWriter;
use crate::metrics::EdgeMetrics;
use crate::net::TcpChannel;
use crate::origins::OriginTable;
use crate::peers::PeerTable;
use crate::policy::engine_model::ModelTable;
use crate::policy::load_reports::ReportTable;
use crate::policy::queue::{ExchangeId, WaitingQueue};
use crate::policy::retries::RetryBudget;
use crate::policy::unread::UnreadQueue;
use crate::prefix_notices::PrefixQueue;
use crate::settings::EdgeSettings;
use crate::storage::StoreClient;
use crate::stream::EventSplitter;
use crate::stream_terms::StreamTerms;
use crate::tables::{CallerLimits, RouteSpec, RouteTable};
use crate::versions::VersionTable;

use super::admin::DiscardedContent;
use super::backpressure::SendProgress;
use super::crashes::CrashWatch;
use super::duties::DutyState;
use super::recording::RecordingState;
use super::response_channel::ResponseChannel;
use super::resumption::VersionBinding;
use super::timers::{LazyTimer, TimerHeap, TimerKey};

/// Id of a caller's connection.
pub(crate) type CallerId = usize;

/// Id of a connection to a server.
pub(crate) type ServerConnId = usize;

/// Limits that apply to callers before the tables are loaded.
pub(crate) const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time after the stop signal during which new connections are expected: the
/// balancer checks readiness every second and removes a VM after two failures.
const BALANCER_LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Minimum number of requests sent since the last byte from any server before
/// the VM counts as isolated.
const ISOLATION_MIN_SENDS: u32 = 3;

/// Minimum time without a byte from any server before the VM counts as isolated.
const ISOLATION_MIN_SILENCE: Duration = Duration::from_millis(700);

/// Share of the shutdown grace period after which remaining requests are cut
/// off.
const CUT_OFF_SHARE: f64 = 0.95;

/// State of a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerPhase {
    /// Between requests, or reading a head.
    Head,
    /// Reading a body.
    Body(Box<CallerUpload>),
    /// A request is in progress.
    Busy(ExchangeId),
    /// The last response is written; further input is discarded.
    Lingering,
}

/// A request whose body is being read.
#[derive(Debug)]
pub(crate) struct CallerUpload {
    pub(crate) head: RequestHead,
    pub(crate) decoder: BodyDecoder,
    pub(crate) body: SegmentedBody,
    /// When the head was complete.
    pub(crate) began: Moment,
    /// When the response is due.
    pub(crate) deadline: Moment,
    /// When bytes of the body last arrived, or could arrive again.
    pub(crate) last_byte: Moment,
    /// Charge of what the kernel holds while the body waits.
    pub(crate) unread_charge: ByteCharge,
}

/// A connection from a caller.
#[derive(Debug)]
pub(crate) struct CallerConn {
    pub(crate) channel: ResponseChannel,
    pub(crate) phase: CallerPhase,
    pub(crate) timer: LazyTimer,
    /// When reading of the current head or body began; `None` between requests.
    pub(crate) read_since: Option<Moment>,
    /// When the last request ended.
    pub(crate) idle_since: Moment,
    /// Whether the connection is closed after the response.
    pub(crate) closing: bool,
    /// Whether it has carried a request that was accepted.
    pub(crate) served: bool,
    /// Bytes that the caller had taken when this was last looked at, and when it
    /// had taken more than before.
    pub(crate) taken: (u64, Moment),
    /// When bytes were last received and discarded, on a closing connection.
    pub(crate) discarded_at: Moment,
    /// How the caller takes the last response of a closing connection.
    pub(crate) progress: SendProgress,
}

/// State of a stream that is forwarded to its caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    pub(crate) splitter: EventSplitter,
    /// Charge of the incomplete event in the splitter.
    pub(crate) charge: ByteCharge,
    pub(crate) head_sent: bool,
    pub(crate) last_event_at: Moment,
    /// Prefill time of the unread prompts at the server after the last event,
    /// in ms.
    pub(crate) backlog_ms: f64,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangePhase {
    Waiting,
    Sent(ServerConnId),
}

/// A server's failure response, forwarded if all retries fail.
#[derive(Debug)]
pub(crate) struct FallbackResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: SegmentedBody,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) caller: CallerId,
    pub(crate) metadata: RequestMetadata,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    /// Rank among all requests; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) method: String,
    /// Host, path and query.
    pub(crate) target: String,
    /// Request line and the caller's headers that are forwarded.
    pub(crate) head: Rc<[u8]>,
    /// Charge of the head and its metadata.
    pub(crate) _head_charge: ByteCharge,
    pub(crate) body: Rc<SegmentedBody>,
    pub(crate) arrived: Moment,
    /// When the final response is due.
    pub(crate) deadline: Moment,
    /// When it was last queued.
    pub(crate) queued: Moment,
    /// Until when it may wait in the queue.
    pub(crate) wait_until: Moment,
    pub(crate) phase: ExchangePhase,
    /// Whether it is a caller's retry after a refusal.
    pub(crate) caller_retry: bool,
    /// Attempts so far.
    pub(crate) sends: u32,
    /// Failed connections so far.
    pub(crate) connect_failures: u32,
    pub(crate) tried_replicas: Vec<ReplicaIndex>,
    /// Whether a server may have run it.
    pub(crate) may_have_run: bool,
    pub(crate) stream: Option<CallerStream>,
    /// How the caller takes the stream while its server isn't read because of it.
    pub(crate) pause: Option<SendProgress>,
    pub(crate) fallback: Option<FallbackResponse>,
    pub(crate) sent_load: SentLoad,
    pub(crate) standby: Option<StandbyAttempt>,
    pub(crate) binding: VersionBinding,
    /// Its hash, once it was needed.
    pub(crate) request_hash: OnceCell<RequestHash>,
    pub(crate) timer: LazyTimer,
}

impl Exchange {
    /// Returns the id of the last event that the caller has received.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        let stream = self.stream.as_ref();
        stream
            .and_then(|stream| stream.splitter.last_id())
            .or(self.metadata.last_event_id)
    }

    /// Returns whether the request may be sent to another server. A stream that has
    /// begun without ids can't be continued: no id says where.
    pub(crate) fn may_repeat(&self) -> bool {
        let has_begun = self.stream.as_ref().is_some_and(|stream| stream.head_sent);
        self.route.is_retryable() && (!has_begun || self.last_event_id().is_some())
    }
}

/// An earlier attempt of a request whose server is silent and may go on.
#[derive(Debug)]
pub(crate) struct StandbyAttempt {
    pub(crate) conn_id: ServerConnId,
    pub(crate) load: SentLoad,
    /// Received bytes of an incomplete event.
    pub(crate) partial: Vec<u8>,
}

/// The load of a sent request on its server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentLoad {
    pub(crate) replica: ReplicaIndex,
    pub(crate) sent: Moment,
    /// Whether a retry was taken from the budget for it.
    pub(crate) uses_retry: bool,
    /// Expected prefill time, in ms.
    pub(crate) backlog_ms: f64,
    /// Prefill time of the other unread prompts at the server when it was
    /// sent, in ms.
    pub(crate) ahead_ms: f64,
    /// Expected time to the first event, in ms.
    pub(crate) expected_ms: f64,
    /// Prompt tokens that the server had to read, if this VM knows that the
    /// shared parts of the prompt were in its KV cache.
    pub(crate) unread_tokens: Option<u32>,
    pub(crate) tokens: u64,
    pub(crate) gap_sensitive: bool,
    /// Whether the server hasn't finished the prompt: no event has arrived.
    pub(crate) unread: bool,
    /// When the first event of the attempt arrived.
    pub(crate) first_event: Option<Moment>,
    /// Whether it is included in the load on the server.
    pub(crate) counted: bool,
    /// Whether the server has survived the beginning of the stream.
    pub(crate) survived: bool,
    /// Whether the server is suspected because of its silence.
    pub(crate) suspected: bool,
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct ServerConn {
    pub(crate) channel: TcpChannel,
    pub(crate) replica: ReplicaIndex,
    pub(crate) connected: bool,
    pub(crate) reused: bool,
    /// Whether it only tests whether the server runs.
    pub(crate) is_test: bool,
    pub(crate) exchange_id: Option<ExchangeId>,
    /// Reader of the response, once bytes of it have arrived.
    pub(crate) reader: Option<ResponseReader>,
    pub(crate) body: SegmentedBody,
    pub(crate) is_stream: bool,
    /// Hashes of the ids of the attempts that the server has refused on it.
    pub(crate) refused_attempts: Vec<u64>,
    pub(crate) opened: Moment,
    pub(crate) idle_until: Moment,
    pub(crate) idle_since: Moment,
    pub(crate) timer: LazyTimer,
}

impl ServerConn {
    /// Returns the head of the response, once it has arrived.
    pub(crate) fn head(&self) -> Option<&ResponseHead> {
        self.reader.as_ref().and_then(ResponseReader::head)
    }
}

/// An admin connection, for readiness checks and metrics.
#[derive(Debug)]
pub(crate) struct AdminConn {
    pub(crate) channel: ResponseChannel,
    /// Content of the last request.
    pub(crate) content: DiscardedContent,
    pub(crate) timer: LazyTimer,
}

/// All state of the event loop.
#[derive(Debug)]
pub(crate) struct EdgeState<F> {
    pub(crate) settings: EdgeSettings,
    pub(crate) registry: Registry,
    pub(crate) now: Moment,
    pub(crate) logs: LogWriter,
    pub(crate) metrics: EdgeMetrics,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) keys: KeyConfirmation,
    pub(crate) directory: ReplicaDirectory,
    pub(crate) peers: PeerTable,
    pub(crate) peer_socket: UdpSocket,
    pub(crate) origins: OriginTable,
    /// Requests for whose streams the other VMs are asked.
    pub(crate) awaiting_origin: Vec<ExchangeId>,
    /// When the store was last asked for its revision because of such requests.
    pub(crate) view_requested: Moment,
    /// When the store was in the latest state of which all changes were applied.
    pub(crate) view_confirmed: Option<Moment>,
    pub(crate) versions: VersionTable,
    pub(crate) stream_terms: StreamTerms,
    pub(crate) recording: RecordingState,
    pub(crate) crashes: CrashWatch,
    /// The duties of the fleet, if the settings name any.
    pub(crate) duties: Option<Box<DutyState<F>>>,
    pub(crate) digest_due: bool,
    pub(crate) digest_timer: LazyTimer,
    pub(crate) digest_sent: Moment,
    pub(crate) peer_load_stale: bool,
    pub(crate) store: StoreClient<F>,
    pub(crate) store_timer: LazyTimer,
    /// Whether the last call failed, for each connection to the store: the one
    /// for calls and the one for the watch.
    pub(crate) store_failing: [bool; 2],
    pub(crate) caller_conns: Slab<CallerConn>,
    pub(crate) server_conns: Slab<ServerConn>,
    pub(crate) admin_conns: Slab<AdminConn>,
    pub(crate) exchanges: Slab<Exchange>,
    pub(crate) queues: IndexMap<String, WaitingQueue>,
    pub(crate) budgets: IndexMap<String, RetryBudget>,
    pub(crate) models: ModelTable,
    pub(crate) load_reports: ReportTable,
    /// Reports that the other VMs are to be told.
    pub(crate) load_notices: NoticeQueue,
    /// Servers of whose end the other VMs are to be told.
    pub(crate) ended_notices: EndedQueue,
    /// Prefixes at engines that the other VMs are to be told.
    pub(crate) prefix_notices: PrefixQueue,
    /// What the other VMs have reported as ended.
    pub(crate) ended_reporters: ReporterLimits,
    /// Services whose queue is dispatched at the end of the iteration.
    pub(crate) pending_dispatches: VecDeque<String>,
    /// Callers whose last request has ended and who may have sent the next one.
    pub(crate) finished_callers: VecDeque<CallerId>,
    pub(crate) timers: TimerHeap,
    pub(crate) random_state: u64,
    /// When the last byte from any server was received.
    pub(crate) last_received: Moment,
    /// Requests sent since then, and when the first of them was sent.
    pub(crate) unanswered_sends: u32,
    pub(crate) first_unanswered: Moment,
    /// Whether a connection to a server has failed since then.
    pub(crate) connect_failed: bool,
    /// When housekeeping may next test whether a server can be reached.
    pub(crate) reach_test_due: Moment,
    /// Whether the VM seemed isolated when it was last checked.
    pub(crate) was_isolated: bool,
    /// When the stop signal arrived.
    pub(crate) stopping: Option<Moment>,
    /// Bytes that callers and servers make the process hold.
    pub(crate) account: ByteAccount,
    /// Bodies that are being read.
    pub(crate) uploads: UploadTable<CallerId>,
    /// Whether it is to be decided anew which bodies are read.
    pub(crate) replan_uploads: bool,
    pub(crate) upload_timer: LazyTimer,
    /// When that was last decided.
    pub(crate) uploads_planned: Moment,
    /// Connections to servers whose sockets may hold more bytes.
    pub(crate) unread_servers: UnreadQueue<ServerConnId>,
    /// Callers whose sockets may hold more bytes.
    pub(crate) unread_callers: UnreadQueue<CallerId>,
    pub(crate) format: PhantomData<F>,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns the limits that apply to callers.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.table
            .as_ref()
            .map_or(DEFAULT_LIMITS, |table| table.limits)
    }

    /// Returns the next random number, by xorshift; it isn't suitable for
    /// secrets.
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state
    }

    /// Returns the next random number from 0 to 1.
    pub(crate) fn next_random_unit(&mut self) -> f64 {
        (self.next_random() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns whether keys may be accepted now.
    pub(crate) fn keys_fresh(&self) -> bool {
        !self.settings.keys_fail_closed || self.keys.is_fresh(self.now)
    }

    /// Returns whether no server can be reached, so that the VM seems to be
    /// isolated from all of them.
    pub(crate) fn is_isolated(&self) -> bool {
        self.connect_failed && self.may_be_isolated()
    }

    /// Returns whether no server responds. All of them may be silent but sound
    /// unless connections fail as well.
    pub(crate) fn may_be_isolated(&self) -> bool {
        let last = self.last_received.max(self.first_unanswered);
        self.unanswered_sends >= ISOLATION_MIN_SENDS
            && self.now.saturating_sub(last) >= ISOLATION_MIN_SILENCE
    }

    /// Records a sign that a server can be reached.
    pub(crate) fn record_reached(&mut self) {
        self.last_received = self.now;
        self.unanswered_sends = 0;
        self.connect_failed = false;
    }

    /// Returns whether the VM is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.is_none()
            && !self.is_isolated()
            && self.table.is_some()
            && self.store.is_loaded()
            && self.keys_fresh()
    }

    /// Returns whether the balancer must have removed the stopping VM by now.
    pub(crate) fn has_left_balancer(&self) -> bool {
        self.stopping
            .is_some_and(|since| self.now >= since + BALANCER_LEAVE_TIME)
    }

    /// Returns when remaining requests are cut off, if the process is stopping.
    pub(crate) fn cut_off_time(&self) -> Option<Moment> {
        let since = self.stopping?;
        Some(since + self.settings.stop_grace.mul_f64(CUT_OFF_SHARE))
    }

    pub(crate) fn arm_caller(&mut self, caller: CallerId, due: Moment) {
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.timer
                .set(due, TimerKey::Caller(caller), &mut self.timers);
        }
    }

    pub(crate) fn arm_exchange(&mut self, exchange_id: ExchangeId, due: Moment) {
        if let Some(exchange) = self.exchanges.get_mut(exchange_id) {
            exchange
                .timer
                .set(due, TimerKey::Exchange(exchange_id), &mut self.timers);
        }
    }

    pub(crate) fn arm_server(&mut self, conn_id: ServerConnId, due: Moment) {
        if let Some(conn) = self.server_conns.get_mut(conn_id) {
            conn.timer
                .set(due, TimerKey::Server(conn_id), &mut self.timers);
        }
    }
}

/// Kind of a connection, stored in the low bits of its token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TokenKind {
    Fixed,
    Caller,
    Server,
    Admin,
}

const KIND_BITS: u32 = 2;

/// Returns the token of a connection.
pub(crate) fn token_of(kind: TokenKind, index: usize) -> Token {
    Token(index << KIND_BITS | kind as usize)
}

/// Returns the kind and index encoded in a token.
pub(crate) fn token_kind(token: Token) -> (TokenKind, usize) {
    let kind = match token.0 & 3 {
        0 => TokenKind::Fixed,
        1 => TokenKind::Caller,
        2 => TokenKind::Server,
        _ => TokenKind::Admin,
    };
    (kind, token.0 >> KIND_BITS)
}
