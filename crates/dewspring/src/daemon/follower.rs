//! Puts each new revision in force at the brokers, and tells the configuration
//! duty when the peers were heard.

use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;

use super::applied::AppliedConfig;
use crate::broker::BrokerHandle;
use crate::configuration::ConfigKeeper;
use crate::observe::DaemonMetrics;
use crate::peer::PeerHandle;

/// Time between two looks at whether the peers were heard.
const PEER_INTERVAL: Duration = Duration::from_millis(200);

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
            // A revision that came before the subscription is followed too.
            metrics.set_revision(applied.apply(&brokers).revision);
            loop {
                match revisions.recv_timeout(PEER_INTERVAL) {
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
        .expect("the system gives a thread")
}
