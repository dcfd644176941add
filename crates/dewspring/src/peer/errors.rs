//! Errors of grant requests to other VMs and of starting the peer worker.

use std::io;

use tarpc::client::RpcError;
use thiserror::Error;

use crate::ids::VmId;

/// Why a grant request to another VM got no decision.
///
/// The entry then uses its local share of the pool. Whatever the error, a grant
/// that the broker made meanwhile is returned.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No VM of that name is known.
    #[error("the VM {0} is unknown")]
    Unknown(VmId),
    /// The VM stopped replying to heartbeats.
    #[error("the VM {0} is dead")]
    Dead(VmId),
    /// No connection could be opened.
    #[error("the VM can't be reached: {0}")]
    Unreachable(String),
    /// The connection broke before the decision arrived.
    #[error("the connection was lost")]
    Lost,
    /// No decision arrived within the remaining time of the request.
    #[error("the grant request timed out")]
    TimedOut,
    /// Too many grant requests are in flight, here or on the other VM.
    #[error("too many grant requests are in flight")]
    Overloaded,
    /// The grant comes from another VM than the request was sent to.
    #[error("the grant comes from another VM than the requested broker")]
    WrongBroker,
    /// The peer worker of this VM has shut down.
    #[error("the peer worker has shut down")]
    ShutDown,
}

impl From<RpcError> for PeerError {
    fn from(error: RpcError) -> Self {
        match error {
            RpcError::DeadlineExceeded => PeerError::TimedOut,
            RpcError::Server(_) => PeerError::Overloaded,
            RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_) => PeerError::Lost,
        }
    }
}

/// Why the peer worker can't start.
#[derive(Debug, Error)]
pub enum PeerStartError {
    /// The peer address can't be bound.
    #[error("can't listen on the peer address: {0}")]
    Listen(#[source] io::Error),
    /// The async runtime or a thread can't be started.
    #[error("can't start the peer threads: {0}")]
    Start(#[source] io::Error),
}
