//! Stable places for prefixes: rendezvous hashing on a ring of servers.
//!
//! Rendezvous hashing over all servers takes time in their number. The ring
//! cuts it to the servers that follow the key, which are all servers of a
//! small pool. A server that comes or goes moves only the keys near it.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::replica::ReplicaId;

/// Servers among which a key is placed.
const WINDOW: usize = 8;

/// Returns a hash that is the same on all VMs.
pub(super) fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the weight of a server for a key; the highest weight wins.
pub(super) fn weight(key: u64, server: u64) -> u64 {
    SipHasher13::new_with_keys(key, server).finish()
}

/// The servers by the hash of their name.
#[derive(Debug, Default)]
pub(super) struct ServerRing {
    points: BTreeMap<u64, ReplicaId>,
}

impl ServerRing {
    /// Adds a server.
    pub(super) fn insert(&mut self, server: u64, replica: ReplicaId) {
        self.points.insert(server, replica);
    }

    /// Takes a server out.
    pub(super) fn remove(&mut self, server: u64) {
        self.points.remove(&server);
    }

    /// Lists the servers near a key, the best first.
    pub(super) fn places(&self, key: u64) -> Vec<ReplicaId> {
        let after = self.points.range(key..);
        let window = after.chain(self.points.range(..key)).take(WINDOW);
        let mut places = window
            .map(|(&server, &replica)| (weight(key, server), replica))
            .collect::<Vec<_>>();
        places.sort_unstable_by(|one, other| other.cmp(one));
        places.into_iter().map(|(_, replica)| replica).collect()
    }
}
