//! Why the peer duty can't do what it was asked.

use std::io;

use tarpc::client::RpcError;
use thiserror::Error;

use crate::ids::VmId;

/// Why another VM gave no decision; the entry then uses its local share.
///
/// Whatever the error, a grant that was given meanwhile is given back.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No VM of that name is known.
    #[error("the VM {0} is unknown")]
    Unknown(VmId),
    /// The VM stopped answering.
    #[error("the VM {0} is dead")]
    Dead(VmId),
    /// No connection could be opened.
    #[error("the VM can't be reached: {0}")]
    Unreachable(String),
    /// The connection broke while the decision was waited for.
    #[error("the connection was lost")]
    Lost,
    /// No decision came within the time that the request had left.
    #[error("no decision came in time")]
    TimedOut,
    /// Too many requests wait, here or on the other VM.
    #[error("too many requests wait")]
    Overloaded,
    /// The grant comes from another VM than the one asked.
    #[error("the grant comes from the wrong VM")]
    WrongBroker,
    /// The peer duty of this VM has ended.
    #[error("the peer duty has ended")]
    Ended,
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

/// Why the peer duty can't start.
#[derive(Debug, Error)]
pub enum PeerStartError {
    /// The address can't be listened on.
    #[error("can't listen on the peer address: {0}")]
    Listen(#[source] io::Error),
    /// The runtime or a thread can't be started.
    #[error("can't start the peer threads: {0}")]
    Start(#[source] io::Error),
}
