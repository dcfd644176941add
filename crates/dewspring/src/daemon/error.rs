//! Errors of starting a daemon.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::configuration::LoadTablesError;
use crate::peer::PeerStartError;
use crate::store::StoreError;

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listening address can't be bound.
    #[error("{address} can't be bound: {source}")]
    Bind {
        /// Address that can't be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer worker can't start.
    #[error(transparent)]
    Peer(#[from] PeerStartError),
    /// A table file can't be read.
    #[error(transparent)]
    Load(#[from] LoadTablesError),
    /// The tables in the files are invalid.
    #[error("the tables are wrong:\n{0}")]
    Tables(String),
    /// The embedded store rejected the configuration document.
    #[error(transparent)]
    Store(#[from] StoreError),
}
