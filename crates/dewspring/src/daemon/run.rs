//! Starts and stops the duties.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};

use super::director::ListReader;
use super::error::DaemonError;
use super::follower::spawn_follower;
use super::state::{DaemonContext, DaemonState};
use crate::admin::AdminServer;
use crate::broker::{BrokerHandle, BrokerSettings};
use crate::configuration::{ConfigKeeper, KeeperSettings, load_files, store_document};
use crate::entry::{EntryContext, EntryServer, EntrySettings, ShutdownOutcome};
use crate::grants::LocalGrants;
use crate::ids::BootId;
use crate::observe::{DecisionLog, FleetMetrics};
use crate::platform::{
    AnyDirectory, AnyStore, EmbeddedDirectory, EmbeddedStore, GatewayDirectory, GatewayStore,
};
use crate::reports::{PollerSettings, ReportPoller};
use crate::settings::{DaemonSettings, PlatformKind};

/// A running daemon.
pub struct Daemon {
    entry: EntryServer<ConfigKeeper, LocalGrants>,
    admin: AdminServer,
    broker: BrokerHandle,
    poller: ReportPoller,
    reader: ListReader,
    stops: Receiver<()>,
    stop: crossbeam::channel::Sender<()>,
    shutdown_timeout: Duration,
}

impl Daemon {
    /// Starts all duties.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if an address can't be bound, or the tables' files
    /// can't be read or are wrong.
    pub fn spawn(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let boot: BootId = rand::random();
        let store = open_store(&settings)?;
        let directory = open_directory(&settings);
        let keeper_settings = KeeperSettings::new(settings.fleet.clone(), boot);
        let keeper = ConfigKeeper::spawn(store, keeper_settings);
        let broker = BrokerHandle::spawn(BrokerSettings::new(settings.vm.clone(), boot));
        let metrics = FleetMetrics::new();
        // The follower ends with the keeper.
        let _follower = spawn_follower(&keeper, broker.clone(), metrics.clone());
        let poller = spawn_poller(&settings, &keeper, &broker);
        let reader = ListReader::spawn(directory, keeper.clone(), broker.clone());

        let context = Arc::new(EntryContext::new(
            entry_settings(&settings, boot),
            keeper,
            LocalGrants::new(broker.clone()),
            metrics,
            DecisionLog::new(settings.decision_capacity),
        ));
        let entry = bind_entry(&settings, &context)?;
        let (stop, stops) = bounded(1);
        let state = DaemonState {
            context,
            broker: broker.clone(),
            data_centre: settings.data_centre.clone(),
            stop: stop.clone(),
        };
        let admin =
            AdminServer::bind(settings.admin_listen, settings.secret, state).map_err(|source| {
                DaemonError::Bind {
                    address: settings.admin_listen,
                    source,
                }
            })?;
        log::info!(
            "daemon: VM {} serves callers at {} and operators at {}.",
            settings.vm,
            entry.address(),
            admin.address()
        );
        Ok(Self {
            entry,
            admin,
            broker,
            poller,
            reader,
            stops,
            stop,
            shutdown_timeout: settings.shutdown_timeout,
        })
    }

    /// Returns the address for callers.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the sender that makes [`Daemon::wait_for_stop`] return.
    pub fn stopper(&self) -> crossbeam::channel::Sender<()> {
        self.stop.clone()
    }

    /// Waits until a signal or an operator asks for a shutdown.
    pub fn wait_for_stop(&self) {
        // The daemon holds a sender, so the ring doesn't close.
        let _stopped = self.stops.recv();
    }

    /// Refuses new requests, finishes those in flight and ends all duties.
    pub fn shut_down(self) -> ShutdownOutcome {
        log::info!("daemon: Shutting down.");
        let outcome = self.entry.shut_down(self.shutdown_timeout);
        self.poller.shut_down();
        self.reader.shut_down();
        self.broker.shut_down();
        self.broker.join();
        log::info!("daemon: Shut down: {outcome:?}.");
        outcome
    }
}

fn open_store(settings: &DaemonSettings) -> Result<AnyStore, DaemonError> {
    match &settings.platform {
        PlatformKind::Gateway(address) => {
            let store = GatewayStore::open(*address, settings.platform_timeout);
            Ok(AnyStore::Gateway(store))
        }
        PlatformKind::Embedded { routes, pools } => {
            let document = load_files(routes, pools)?;
            let checked = document.check();
            checked.map_err(|errors| DaemonError::Tables(errors.to_string()))?;
            let store = EmbeddedStore::open();
            store_document(&store, &settings.fleet, &document)?;
            Ok(AnyStore::Embedded(store))
        }
    }
}

fn open_directory(settings: &DaemonSettings) -> AnyDirectory {
    match &settings.platform {
        PlatformKind::Gateway(address) => {
            let directory = GatewayDirectory::open(*address, settings.platform_timeout);
            AnyDirectory::Gateway(directory)
        }
        PlatformKind::Embedded { .. } => {
            AnyDirectory::Embedded(EmbeddedDirectory::open(Vec::new()))
        }
    }
}

fn spawn_poller(
    settings: &DaemonSettings,
    keeper: &ConfigKeeper,
    broker: &BrokerHandle,
) -> ReportPoller {
    let poller_settings = PollerSettings {
        interval: settings.report_interval,
        timeout: settings.connect_timeout,
    };
    ReportPoller::spawn(poller_settings, keeper.clone(), broker.clone(), |_| true)
}

fn bind_entry(
    settings: &DaemonSettings,
    context: &Arc<DaemonContext>,
) -> Result<EntryServer<ConfigKeeper, LocalGrants>, DaemonError> {
    EntryServer::bind(settings.listen, Arc::clone(context)).map_err(|source| DaemonError::Bind {
        address: settings.listen,
        source,
    })
}

fn entry_settings(settings: &DaemonSettings, boot: BootId) -> EntrySettings {
    EntrySettings {
        vm: settings.vm.clone(),
        boot,
        threads: settings.entry_threads,
        max_connections: settings.max_connections,
        header_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
        connect_timeout: settings.connect_timeout,
        silence_timeout: settings.silence_timeout,
        workspace_header: settings.workspace_header.clone(),
        class_header: settings.class_header.clone(),
    }
}
