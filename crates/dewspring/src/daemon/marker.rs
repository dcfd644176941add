//! Looks at the platform's list of VMs and marks leaving backend servers.
//!
//! The peer duty reads the list; this one looks at its latest reading.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;

use crate::broker::{BrokerHandle, ServerMark};
use crate::configuration::ConfigKeeper;
use crate::ids::ServerName;
use crate::store::{CachedDirectory, VmDirectory, VmState};

/// Time between two looks at the latest reading of the list.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The running duty that marks servers.
#[derive(Debug)]
pub(super) struct ServerMarker {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl ServerMarker {
    /// Starts to look at the list.
    pub(super) fn spawn(
        directory: CachedDirectory<impl VmDirectory>,
        keeper: ConfigKeeper,
        brokers: Vec<BrokerHandle>,
    ) -> Self {
        let (stop, stopped) = bounded(1);
        let thread = std::thread::Builder::new()
            .name("server-marks".into())
            .spawn(move || run(&directory, &keeper, &brokers, &stopped))
            .expect("the system gives a thread");
        Self { stop, thread }
    }

    /// Stops looking.
    pub(super) fn shut_down(self) {
        drop(self.stop);
        self.thread.join().expect("the thread of the marks runs");
    }
}

fn run(
    directory: &CachedDirectory<impl VmDirectory>,
    keeper: &ConfigKeeper,
    brokers: &[BrokerHandle],
    stopped: &Receiver<()>,
) {
    let mut marks: IndexMap<ServerName, VmState> = IndexMap::new();
    while stopped.recv_timeout(LOOK_INTERVAL) == Err(RecvTimeoutError::Timeout) {
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
