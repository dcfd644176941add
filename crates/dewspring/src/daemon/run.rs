//! Start and shutdown of the daemon's components.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, bounded};

use super::applied::AppliedConfig;
use super::error::DaemonError;
use super::follower::spawn_follower;
use super::marker::ServerMarker;
use super::readiness::ReadinessGate;
use super::state::{DaemonContext, DaemonState};
use crate::admin::AdminServer;
use crate::broker::{BrokerHandle, BrokerSettings};
use crate::claims::{ClaimLedger, LedgerSettings};
use crate::configuration::{
    ConfigKeeper, KeeperSettings, load_table_files, store_initial_document,
};
use crate::entry::{EntryContext, EntryServer, EntrySettings, ShutdownOutcome};
use crate::grants::{BrokerLocation, FleetGrants, RemoteBrokers, VmBrokers};
use crate::ids::{BootId, PoolName};
use crate::observe::{DaemonMetrics, DecisionLog};
use crate::peer::{PeerHandle, PeerSettings, PeerWorker};
use crate::reports::{PollerSettings, ReportPoller};
use crate::settings::{DaemonSettings, PlatformKind};
use crate::store::{
    AnyDirectory, AnyStore, CachedDirectory, EmbeddedDirectory, EmbeddedStore, GatewayDirectory,
    GatewayStore,
};

/// Running daemon.
pub struct Daemon {
    entry: EntryServer<AppliedConfig, FleetGrants<PeerHandle>>,
    admin: AdminServer,
    brokers: VmBrokers,
    peers: PeerHandle,
    ledger: ClaimLedger,
    poller: ReportPoller,
    marker: ServerMarker,
    stop_receiver: Receiver<()>,
    stop_sender: crossbeam::channel::Sender<()>,
    shutdown_timeout: Duration,
}

impl Daemon {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// A [`DaemonError`] if an address can't be bound, the peer worker can't
    /// start, or the table files can't be read or are invalid.
    pub fn spawn(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let boot: BootId = rand::random();
        let metrics = DaemonMetrics::new();
        let store = open_store(&settings, &metrics)?;
        let directory = CachedDirectory::new(open_directory(&settings, &metrics));
        let keeper_settings = KeeperSettings::new(settings.fleet.clone(), boot);
        let keeper = ConfigKeeper::spawn(store.clone(), keeper_settings);
        let ledger_settings =
            LedgerSettings::new(settings.fleet.clone(), settings.vm.clone(), boot);
        let ledger = ClaimLedger::spawn(store, ledger_settings);
        let brokers = spawn_brokers(&settings, boot);
        let peers = spawn_peers(&settings, boot, &keeper, directory.clone(), &brokers.own)?;
        let all_brokers = vec![brokers.own.clone(), brokers.fallback.clone()];
        // The follower's thread ends with the keeper, so it needs no handle.
        let applied = AppliedConfig::new(keeper.clone());
        let _follower = spawn_follower(
            &keeper,
            applied.clone(),
            all_brokers.clone(),
            peers.clone(),
            metrics.clone(),
        );
        let poller = spawn_poller(
            &settings,
            &applied,
            &brokers.own,
            peers.clone(),
            metrics.clone(),
        );
        let marker = ServerMarker::spawn(directory, keeper, all_brokers);

        let context = Arc::new(EntryContext::new(
            entry_settings(&settings, boot),
            applied,
            FleetGrants::new(brokers.clone(), peers.clone()),
            ledger.handle(),
            metrics,
            DecisionLog::new(settings.decision_capacity),
        ));
        let entry = bind_entry(&settings, &context)?;
        let (stop_sender, stop_receiver) = bounded(1);
        let state = DaemonState {
            context,
            broker: brokers.own.clone(),
            peers: peers.clone(),
            gate: Arc::new(ReadinessGate::new(Instant::now())),
            data_centre: settings.data_centre.clone(),
            stop_sender: stop_sender.clone(),
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
            brokers,
            peers,
            ledger,
            poller,
            marker,
            stop_receiver,
            stop_sender,
            shutdown_timeout: settings.shutdown_timeout,
        })
    }

    /// Returns the address that serves callers.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns the address that serves operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns a sender that makes [`Daemon::wait_for_stop`] return.
    pub fn stop_sender(&self) -> crossbeam::channel::Sender<()> {
        self.stop_sender.clone()
    }

    /// Blocks until a signal or an operator requests a shutdown.
    pub fn wait_for_stop(&self) {
        // The daemon holds a sender, so the channel isn't disconnected.
        let _stopped = self.stop_receiver.recv();
    }

    /// Refuses new requests, finishes those in flight and stops all components.
    ///
    /// The other VMs are notified first, so that their grant requests move to
    /// another broker while this one still makes decisions.
    pub fn shut_down(self) -> ShutdownOutcome {
        log::info!("daemon: Shutting down.");
        self.peers.set_draining();
        let outcome = self.entry.shut_down(self.shutdown_timeout);
        self.poller.shut_down();
        self.marker.shut_down();
        for broker in [self.brokers.own, self.brokers.fallback] {
            broker.shut_down();
            broker.join();
        }
        self.peers.shut_down();
        // The ledger writes its queued outcomes before it stops.
        self.ledger.shutdown();
        log::info!("daemon: Shut down: {outcome:?}.");
        outcome
    }
}

fn spawn_brokers(settings: &DaemonSettings, boot: BootId) -> VmBrokers {
    let fallback_boot = boot.wrapping_add(1);
    VmBrokers {
        own: BrokerHandle::spawn(BrokerSettings::new(settings.vm.clone(), boot)),
        own_boot: boot,
        fallback: BrokerHandle::spawn(BrokerSettings::new(settings.vm.clone(), fallback_boot)),
        fallback_boot,
    }
}

fn spawn_peers(
    settings: &DaemonSettings,
    boot: BootId,
    keeper: &ConfigKeeper,
    directory: CachedDirectory<AnyDirectory>,
    broker: &BrokerHandle,
) -> Result<PeerHandle, DaemonError> {
    let mut peer_settings = PeerSettings::new(
        settings.vm.clone(),
        boot,
        settings.data_centre.clone(),
        settings.peer_listen,
        settings.secret.clone(),
    );
    peer_settings.list_interval = settings.list_interval;
    Ok(PeerWorker::spawn(
        peer_settings,
        keeper.clone(),
        directory,
        broker.clone(),
    )?)
}

fn open_store(settings: &DaemonSettings, metrics: &DaemonMetrics) -> Result<AnyStore, DaemonError> {
    match &settings.platform {
        PlatformKind::Gateway(address) => {
            let store = GatewayStore::open(*address, settings.platform_timeout);
            Ok(AnyStore::Gateway(store.counted_by(metrics.clone())))
        }
        PlatformKind::Embedded { routes, pools } => {
            let document = load_table_files(routes, pools)?;
            let checked = document.check();
            checked.map_err(|errors| DaemonError::Tables(errors.to_string()))?;
            let store = EmbeddedStore::open();
            store_initial_document(&store, &settings.fleet, &document)?;
            Ok(AnyStore::Embedded(store))
        }
    }
}

fn open_directory(settings: &DaemonSettings, metrics: &DaemonMetrics) -> AnyDirectory {
    match &settings.platform {
        PlatformKind::Gateway(address) => {
            let directory = GatewayDirectory::open(*address, settings.platform_timeout);
            AnyDirectory::Gateway(directory.counted_by(metrics.clone()))
        }
        PlatformKind::Embedded { .. } => {
            AnyDirectory::Embedded(EmbeddedDirectory::open(Vec::new()))
        }
    }
}

fn spawn_poller(
    settings: &DaemonSettings,
    applied: &AppliedConfig,
    broker: &BrokerHandle,
    peers: PeerHandle,
    metrics: DaemonMetrics,
) -> ReportPoller {
    let poller_settings = PollerSettings {
        interval: settings.report_interval,
        timeout: settings.connect_timeout,
    };
    let is_own = move |pool: &PoolName| peers.broker_location(pool) == BrokerLocation::Local;
    ReportPoller::spawn(
        poller_settings,
        applied.clone(),
        broker.clone(),
        metrics,
        is_own,
    )
}

fn bind_entry(
    settings: &DaemonSettings,
    context: &Arc<DaemonContext>,
) -> Result<EntryServer<AppliedConfig, FleetGrants<PeerHandle>>, DaemonError> {
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
        memory_bytes: settings.memory_bytes,
        header_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
        connect_timeout: settings.connect_timeout,
        silence_timeout: settings.silence_timeout,
        workspace_header: settings.workspace_header.clone(),
        class_header: settings.class_header.clone(),
    }
}
