//! The configuration that this VM serves by.
//!
//! A revision is applied when the VM's brokers have it. The entry reads only
//! applied revisions, so that no request names a pool that its own brokers
//! don't know yet.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::broker::BrokerHandle;
use crate::configuration::ConfigKeeper;
use crate::entry::ConfigSource;
use crate::tables::FleetConfig;

/// The applied configuration; clones share it.
#[derive(Clone, Debug)]
pub(super) struct AppliedConfig {
    keeper: ConfigKeeper,
    applied: Arc<ArcSwap<FleetConfig>>,
}

impl AppliedConfig {
    /// Begins with the empty configuration.
    pub(super) fn new(keeper: ConfigKeeper) -> Self {
        Self {
            keeper,
            applied: Arc::default(),
        }
    }

    /// Gives the newest configuration to the brokers and then to the entry.
    pub(super) fn apply(&self, brokers: &[BrokerHandle]) -> Arc<FleetConfig> {
        let config = self.keeper.current();
        for broker in brokers {
            broker.configure(Arc::clone(&config));
        }
        self.applied.store(Arc::clone(&config));
        config
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
