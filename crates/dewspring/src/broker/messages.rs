//! The messages between an entry and a broker.
//!
//! They hold durations and no points in time, since each VM trusts only its
//! own monotonic clock.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    BootId, ClassName, GrantId, PoolName, RequestId, ServerName, TierLevel, TokenCount, VmId,
    WorkspaceId,
};

/// An entry's question: may this request run, and where?
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The caller's request.
    pub request: RequestId,
    /// VM of the entry that asks.
    pub entry: VmId,
    /// Boot of that entry.
    pub entry_boot: BootId,
    /// Pool that is to serve it.
    pub pool: PoolName,
    /// Class of the request.
    pub class: ClassName,
    /// Priority of the class, 0 is the highest.
    pub tier: TierLevel,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Time since the request arrived at its entry.
    pub waited: Duration,
    /// Time left until the target of the class.
    pub target_left: Duration,
    /// Time left until the request is given up.
    pub timeout_left: Duration,
    /// Whether an answer after the target is still wanted.
    pub late_is_useful: bool,
    /// Guaranteed share of the class, in percent of the pool.
    pub floor_percent: u8,
    /// Length of the prompt, estimated, in tokens.
    pub prompt_tokens: TokenCount,
    /// Longest answer that the caller allows, in tokens.
    pub max_tokens: Option<TokenCount>,
    /// Hash of the start of the prompt, for the engines' prefix caches.
    pub prefix: Option<u64>,
    /// Servers that have already failed this request.
    pub excluded: Vec<ServerName>,
}

/// Leave to send one request to one server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Number of the grant, unique for this broker VM and boot.
    pub id: GrantId,
    /// VM of the broker.
    pub broker: VmId,
    /// Boot of the broker.
    pub boot: BootId,
    /// Server that is to be called.
    pub server: ServerName,
    /// Address of that server.
    pub address: SocketAddr,
    /// Time for which the grant may be used, from before it was asked for.
    pub valid_for: Duration,
    /// Why this server was chosen, for the log.
    pub reason: String,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The broker or the entry can't take more messages, or the pool no more
    /// retries.
    Overloaded,
    /// The pool is unknown or has no server that takes work.
    NoServer,
    /// The queue has no room for this tier.
    QueueFull,
    /// The target can't be met and a late answer is worthless.
    TargetMissed,
    /// The request waited until its timeout.
    TimedOut,
    /// The daemon is shutting down.
    ShuttingDown,
}

/// A final refusal: nothing ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// A broker's answer.
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
    /// Nothing ran at the server.
    NotRun,
    /// The whole answer was received.
    Completed,
    /// The server answered that it failed.
    Failed,
    /// The caller hung up and the call was cancelled.
    Cancelled,
    /// Whether it ran is not known.
    Unknown,
}

/// An entry's word that a grant is used up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRelease {
    /// Number of the grant.
    pub grant: GrantId,
    /// Boot of the broker that gave it.
    pub boot: BootId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Tokens that the server generated.
    pub tokens: TokenCount,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending the request to its end.
    pub elapsed: Duration,
    /// Whether the server's answer said that the server is leaving.
    pub leaving: bool,
}
