//! Thread that applies each new revision at the brokers.
//!
//! It also notifies the configuration keeper, which follows the store, when
//! this VM has caught up with its peers.

use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;

use super::applied::AppliedConfig;
use crate::broker::BrokerHandle;
use crate::configuration::ConfigKeeper;
use crate::observe::DaemonMetrics;
use crate::peer::PeerHandle;

/// Interval between checks whether this VM has caught up with its peers.
const CAUGHT_UP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the thread that follows the configuration until the keeper ends.
pub(super) fn spawn_follower(
    keeper: &ConfigKeeper,
    applied: AppliedConfig,
    brokers: Vec<BrokerHandle>,
    peers: PeerHandle,
    metrics: DaemonMetrics,
) -> JoinHandle<()> {
    let revisions = keeper.subscribe();
    let keeper = keeper.clone();
    std::thread::Builder::new()
        .name("config-follower".into())
        .spawn(move || {
            // A revision that arrived before the subscription is applied too.
            metrics.set_revision(applied.apply(&brokers).revision);
            loop {
                match revisions.recv_timeout(CAUGHT_UP_CHECK_INTERVAL) {
                    Ok(revision) => {
                        log::info!("daemon: Revision {revision} is in force.");
                        metrics.set_revision(applied.apply(&brokers).revision);
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if peers.is_caught_up() {
                    keeper.record_peers_synced();
                }
            }
        })
        .expect("the system can start a thread")
}
