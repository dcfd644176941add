//! Puts each new revision in force at the broker.

use std::thread::JoinHandle;

use crate::broker::BrokerHandle;
use crate::configuration::ConfigKeeper;
use crate::observe::FleetMetrics;

/// Starts the thread that follows the configuration until the keeper ends.
pub(super) fn spawn_follower(
    keeper: &ConfigKeeper,
    broker: BrokerHandle,
    metrics: FleetMetrics,
) -> JoinHandle<()> {
    let revisions = keeper.subscribe();
    let keeper = keeper.clone();
    std::thread::Builder::new()
        .name("config-follower".into())
        .spawn(move || {
            // A revision that came before the subscription is followed too.
            broker.configure(keeper.current());
            for revision in revisions {
                let config = keeper.current();
                log::info!("daemon: Revision {revision} is in force.");
                metrics.set_revision(config.revision);
                broker.configure(config);
            }
        })
        .expect("the system gives a thread")
}
