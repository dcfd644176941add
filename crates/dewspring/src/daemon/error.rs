//! Why a daemon can't start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::configuration::LoadTablesError;
use crate::peer::PeerStartError;
use crate::store::StoreError;

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address can't be bound.
    #[error("{address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The peer duty can't start.
    #[error(transparent)]
    Peer(#[from] PeerStartError),
    /// A table's file can't be read.
    #[error(transparent)]
    Load(#[from] LoadTablesError),
    /// The tables from files are wrong.
    #[error("the tables are wrong:\n{0}")]
    Tables(String),
    /// The embedded store took no document.
    #[error(transparent)]
    Store(#[from] StoreError),
}
