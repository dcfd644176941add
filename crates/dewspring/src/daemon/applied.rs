//! The configuration that this VM serves requests with.
//!
//! A revision is applied once the VM's brokers, which schedule requests, have
//! it. The entry, which receives callers' requests, reads only applied
//! revisions, so that no request names a pool that the local brokers don't know
//! yet.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::broker::BrokerHandle;
use crate::configuration::ConfigKeeper;
use crate::entry::ConfigSource;
use crate::tables::FleetConfig;

/// Handle of the applied configuration; clones share it.
#[derive(Clone, Debug)]
pub(super) struct AppliedConfig {
    keeper: ConfigKeeper,
    applied: Arc<ArcSwap<FleetConfig>>,
}

impl AppliedConfig {
    /// Creates the handle with an empty applied configuration.
    pub(super) fn new(keeper: ConfigKeeper) -> Self {
        Self {
            keeper,
            applied: Arc::default(),
        }
    }

    /// Passes the newest configuration to the brokers, then to the entry.
    pub(super) fn apply(&self, brokers: &[BrokerHandle]) -> Arc<FleetConfig> {
        let config = self.keeper.current();
        for broker in brokers {
            broker.configure(Arc::clone(&config));
        }
        self.applied.store(Arc::clone(&config));
        config
    }

    /// Returns whether the newest configuration of the keeper has been applied.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.applied.load().revision >= self.keeper.current().revision
    }
}

impl ConfigSource for AppliedConfig {
    fn current(&self) -> Arc<FleetConfig> {
        self.applied.load_full()
    }

    fn is_ready(&self) -> bool {
        self.keeper.is_ready() && self.applied.load().revision > 0
    }
}
