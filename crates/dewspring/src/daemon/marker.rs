//! Worker that marks backend servers as leaving or live according to the
//! platform's list.
//!
//! The peer worker reads the list from the platform; this worker uses the latest
//! list that it read.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;

use crate::broker::{BrokerHandle, ServerMark};
use crate::configuration::ConfigKeeper;
use crate::ids::ServerName;
use crate::store::{CachedDirectory, VmDirectory, VmState};

/// Interval at which the latest list is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Running worker that marks servers.
#[derive(Debug)]
pub(super) struct ServerMarker {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl ServerMarker {
    /// Starts the worker's thread.
    pub(super) fn spawn(
        directory: CachedDirectory<impl VmDirectory>,
        keeper: ConfigKeeper,
        brokers: Vec<BrokerHandle>,
    ) -> Self {
        let (stop, stopped) = bounded(1);
        let thread = std::thread::Builder::new()
            .name("server-marks".into())
            .spawn(move || run(&directory, &keeper, &brokers, &stopped))
            .expect("the system can start a thread");
        Self { stop, thread }
    }

    /// Stops the worker and joins its thread.
    pub(super) fn shut_down(self) {
        drop(self.stop);
        self.thread.join().expect("the thread doesn't panic");
    }
}

fn run(
    directory: &CachedDirectory<impl VmDirectory>,
    keeper: &ConfigKeeper,
    brokers: &[BrokerHandle],
    stopped: &Receiver<()>,
) {
    let mut marks: IndexMap<ServerName, VmState> = IndexMap::new();
    while stopped.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        let Some(entries) = directory.latest() else {
            continue;
        };
        let states = entries
            .iter()
            .map(|entry| (entry.address, entry.state))
            .collect();
        mark_servers(&states, keeper, brokers, &mut marks);
    }
}

/// Notifies the brokers of each server whose state in the list has changed.
fn mark_servers(
    states: &IndexMap<SocketAddr, VmState>,
    keeper: &ConfigKeeper,
    brokers: &[BrokerHandle],
    marks: &mut IndexMap<ServerName, VmState>,
) {
    let config = keeper.current();
    let servers = config.pools.rows.values().flat_map(|pool| &pool.servers);
    for server in servers {
        let Some(&state) = states.get(&server.address) else {
            continue;
        };
        if marks.insert(server.name.clone(), state) == Some(state) {
            continue;
        }
        let mark = match state {
            VmState::Live => ServerMark::Live,
            VmState::Leaving => ServerMark::Leaving,
        };
        log::info!(
            "daemon: Server {} is {state:?} on the platform's list.",
            server.name
        );
        for broker in brokers {
            broker.mark(server.name.clone(), mark);
        }
    }
}
