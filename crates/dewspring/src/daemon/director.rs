//! Reads the platform's list of VMs and marks leaving backend servers.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;

use crate::broker::{BrokerHandle, ServerMark};
use crate::configuration::ConfigKeeper;
use crate::ids::ServerName;
use crate::platform::{VmDirectory, VmState};

/// Time between two reads of the list.
pub(super) const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The running reader of the list.
#[derive(Debug)]
pub(super) struct ListReader {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl ListReader {
    /// Starts to read the list.
    pub(super) fn spawn(
        directory: impl VmDirectory,
        keeper: ConfigKeeper,
        brokers: Vec<BrokerHandle>,
    ) -> Self {
        let (stop, stopped) = bounded(1);
        let thread = std::thread::Builder::new()
            .name("vm-list".into())
            .spawn(move || run(&directory, &keeper, &brokers, &stopped))
            .expect("the system gives a thread");
        Self { stop, thread }
    }

    /// Stops reading.
    pub(super) fn shut_down(self) {
        drop(self.stop);
        self.thread.join().expect("the list's thread runs");
    }
}

fn run(
    directory: &impl VmDirectory,
    keeper: &ConfigKeeper,
    brokers: &[BrokerHandle],
    stopped: &Receiver<()>,
) {
    let mut marks: IndexMap<ServerName, VmState> = IndexMap::new();
    while stopped.recv_timeout(LIST_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        match directory.list() {
            Ok(entries) => {
                let states = entries
                    .into_iter()
                    .map(|entry| (entry.address, entry.state))
                    .collect();
                mark_servers(&states, keeper, brokers, &mut marks);
            }
            Err(error) => log::debug!("daemon: {error}."),
        }
    }
}

/// Tells the brokers of each server whose state in the list has changed.
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
        log::info!("daemon: The list says that {} is {state:?}.", server.name);
        for broker in brokers {
            broker.mark(server.name.clone(), mark);
        }
    }
}
