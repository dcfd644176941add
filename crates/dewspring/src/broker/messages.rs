//! The messages between an entry and a broker.
//!
//! They contain durations instead of points in time, since each VM trusts only
//! its own monotonic clock.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    BootId, ClassName, GrantId, PoolName, RequestId, ServerName, TierLevel, TokenCount, VmId,
    WorkspaceId,
};

/// An entry's request for a grant to call a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The caller's request.
    pub request: RequestId,
    /// VM of the requesting entry.
    pub entry: VmId,
    /// Boot of that entry.
    pub entry_boot: BootId,
    /// Pool that should serve the request.
    pub pool: PoolName,
    /// Class of the request.
    pub class: ClassName,
    /// Priority of the class; 0 is the highest.
    pub tier: TierLevel,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Time since the request arrived at its entry.
    pub waited: Duration,
    /// Time left until the target of the class.
    pub target_left: Duration,
    /// Time left until the request times out.
    pub timeout_left: Duration,
    /// Whether an answer after the target is still useful.
    pub late_is_useful: bool,
    /// Floor of the class: its guaranteed share of the pool, in percent.
    pub floor_percent: u8,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: TokenCount,
    /// Length limit that the caller sets for the answer, in tokens.
    pub max_tokens: Option<TokenCount>,
    /// Hash of the start of the prompt, as the key of the engines' prefix
    /// caches.
    pub prefix: Option<u64>,
    /// Servers on which this request has already failed.
    pub excluded: Vec<ServerName>,
    /// Hash of the request, the same for each of its repetitions.
    pub fingerprint: u64,
}

/// Permission to send one request to one server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Number of the grant, unique for this broker VM and boot.
    pub id: GrantId,
    /// VM of the broker.
    pub broker: VmId,
    /// Boot of the broker.
    pub boot: BootId,
    /// Server to call.
    pub server: ServerName,
    /// Address of that server.
    pub address: SocketAddr,
    /// Time for which the grant may be used, counted from just before the entry
    /// requested it.
    pub valid_for: Duration,
    /// Why this server was chosen, as written to the log.
    pub reason: String,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The broker or the entry can't accept more messages, or the retry budget
    /// of the pool is used up.
    Overloaded,
    /// The pool is unknown or none of its servers accepts work.
    NoServer,
    /// The queue is full and the request ranks lowest in it.
    QueueFull,
    /// The target can't be met and a late answer is worthless.
    TargetMissed,
    /// The request waited until its timeout.
    TimedOut,
    /// The daemon is shutting down.
    ShuttingDown,
    /// Requests like it have crashed several servers.
    CrashesServers,
}

/// A final refusal: the request was not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// A broker's decision on a grant request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantDecision {
    /// The request may run.
    Granted(Grant),
    /// The request is refused.
    Refused(Refusal),
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// Nothing ran on the server.
    NotRun,
    /// The whole answer was received.
    Completed,
    /// The server responded with an error.
    Failed,
    /// The caller disconnected and the call was cancelled.
    Cancelled,
    /// It is unknown whether the request ran.
    Unknown,
    /// The same, and the server has ended: it refuses new connections.
    Crashed,
}

/// An entry's notice that it no longer uses a grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRelease {
    /// Number of the grant.
    pub grant: GrantId,
    /// Boot of the broker that issued the grant.
    pub boot: BootId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Tokens that the server generated.
    pub tokens: TokenCount,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending the request to the end of the attempt.
    pub elapsed: Duration,
    /// Whether the server's response announced that the server is leaving.
    pub leaving: bool,
}
