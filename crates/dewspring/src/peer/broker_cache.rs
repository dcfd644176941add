//! Cache of the broker VM of each pool, valid for one set of eligible VMs.
//!
//! Waiting grant requests look up the location of their broker several times a
//! second, and rendezvous hashing computes a hash for every VM.

use std::sync::Mutex;

use indexmap::IndexMap;

use crate::ids::{PoolName, VmId};
use crate::rendezvous::rendezvous_owner;

/// Pools that are cached; the brokers of others are computed at each lookup.
const MAX_CACHED_POOLS: usize = 4_096;

/// Brokers of pools among one set of eligible VMs.
#[derive(Debug, Default)]
pub(super) struct BrokerCache {
    /// VMs that may be brokers, possibly with the local one.
    eligible: Vec<VmId>,
    brokers: Mutex<IndexMap<PoolName, VmId>>,
}

impl BrokerCache {
    /// Creates an empty cache for a set of eligible VMs.
    pub(super) fn new(eligible: Vec<VmId>) -> Self {
        BrokerCache {
            eligible,
            brokers: Mutex::default(),
        }
    }

    /// Returns the VMs that may be brokers.
    pub(super) fn eligible(&self) -> &[VmId] {
        &self.eligible
    }

    /// Returns the broker VM of a pool; `None` if no VM is eligible.
    pub(super) fn broker_for(&self, pool: &PoolName) -> Option<VmId> {
        let mut brokers = self.brokers.lock().expect("no holder panics");
        if let Some(vm) = brokers.get(pool) {
            return Some(vm.clone());
        }
        let vm = rendezvous_owner(pool, &self.eligible)?;
        if brokers.len() < MAX_CACHED_POOLS {
            brokers.insert(pool.clone(), vm.clone());
        }
        Some(vm.clone())
    }
}
