//! Which VM is the broker of each pool, kept until the eligible VMs change.
//!
//! Waiting questions look at the broker's place several times a second, and
//! rendezvous hashing looks at every VM.

use std::sync::Mutex;

use indexmap::IndexMap;

use crate::ids::{PoolName, VmId};
use crate::rendezvous::rendezvous_owner;

/// Pools that are kept; names beyond them are hashed each time.
const KEPT_POOLS: usize = 4_096;

/// The choices among one set of VMs.
#[derive(Debug, Default)]
pub(super) struct BrokerChoices {
    /// VMs that may be brokers, this one included.
    eligible: Vec<VmId>,
    kept: Mutex<IndexMap<PoolName, VmId>>,
}

impl BrokerChoices {
    /// Returns the choices among some VMs, none of them made yet.
    pub(super) fn new(eligible: Vec<VmId>) -> Self {
        BrokerChoices {
            eligible,
            kept: Mutex::default(),
        }
    }

    /// Returns the VMs that may be brokers.
    pub(super) fn eligible(&self) -> &[VmId] {
        &self.eligible
    }

    /// Returns the VM that is the broker of a pool, if there is any.
    pub(super) fn broker_of(&self, pool: &PoolName) -> Option<VmId> {
        let mut kept = self.kept.lock().expect("no holder panics");
        if let Some(vm) = kept.get(pool) {
            return Some(vm.clone());
        }
        let vm = rendezvous_owner(pool, &self.eligible)?;
        if kept.len() < KEPT_POOLS {
            kept.insert(pool.clone(), vm.clone());
        }
        Some(vm.clone())
    }
}
