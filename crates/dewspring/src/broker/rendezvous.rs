//! Stable places for prefixes: the crate's rendezvous hashing over servers.

use super::replica::ReplicaId;
use crate::rendezvous::HashRing;

pub(super) use crate::rendezvous::{stable_hash, weight};

/// The servers by the hash of their name.
pub(super) type ServerRing = HashRing<ReplicaId>;
