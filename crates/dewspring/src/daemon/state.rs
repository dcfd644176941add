//! Implementation of the operators' interface for the running daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;

use super::applied::AppliedConfig;
use super::readiness::ReadinessGate;
use crate::admin::{
    AdminSource, DrainReport, ExplainReport, ExplainStep, PeerState, PeerStatus, PoolStatus,
    ServerState, ServerStatus, StatusReport,
};
use crate::broker::{self, BrokerHandle};
use crate::entry::{ConfigSource, EntryContext};
use crate::grants::{BrokerLocation, FleetGrants, RemoteBrokers};
use crate::ids::DataCentreName;
use crate::peer::{MemberState, MemberStatus, PeerHandle};

#[cfg(test)]
mod tests;

/// The entry's context with the types of this daemon.
pub(super) type DaemonContext = EntryContext<AppliedConfig, FleetGrants<PeerHandle>>;

/// Parts of the daemon that operators' requests need.
#[derive(Clone)]
pub(super) struct DaemonState {
    pub context: Arc<DaemonContext>,
    pub broker: BrokerHandle,
    pub peers: PeerHandle,
    pub gate: Arc<ReadinessGate>,
    pub data_centre: DataCentreName,
    /// Requests a shutdown of the program.
    pub stop_sender: Sender<()>,
}

impl AdminSource for DaemonState {
    fn is_ready(&self) -> bool {
        // The keeper has a revision shortly before it is applied. The peers are asked
        // first, so that the revision with which this VM caught up is applied, too.
        let is_caught_up = || self.peers.is_caught_up() && self.context.config.is_up_to_date();
        self.context.config.is_ready()
            && self.gate.is_open(Instant::now(), is_caught_up)
            && !self.context.is_draining()
    }

    fn metrics(&self) -> String {
        self.context.metrics.to_text()
    }

    fn status(&self) -> StatusReport {
        let settings = &self.context.settings;
        let config = self.context.config.current();
        StatusReport {
            vm: settings.vm.clone(),
            boot: settings.boot,
            data_centre: self.data_centre.clone(),
            revision: config.revision,
            change_id: config.change_id.clone(),
            ready: self.is_ready(),
            draining: self.context.is_draining(),
            peers: self.peers.members().iter().map(peer_status).collect(),
            pools: self.pools(),
        }
    }

    fn explain(&self, request: &str) -> Option<ExplainReport> {
        let steps = self.context.decisions.steps(request);
        if steps.is_empty() {
            return None;
        }
        let to_step = |step: crate::observe::DecisionStep| ExplainStep {
            at_ms: saturating_millis(step.after),
            part: step.part.into(),
            text: step.text,
        };
        Some(ExplainReport {
            request: request.into(),
            vm: self.context.settings.vm.clone(),
            steps: steps.into_iter().map(to_step).collect(),
        })
    }

    fn drain(&self) -> DrainReport {
        log::info!("daemon: An operator requested a shutdown.");
        // A full channel already contains a stop request.
        let _sent = self.stop_sender.try_send(());
        DrainReport {
            vm: self.context.settings.vm.clone(),
            in_flight: self.context.in_flight() as u64,
        }
    }
}

impl DaemonState {
    fn pools(&self) -> Vec<PoolStatus> {
        let status = self.broker.status();
        status
            .pools
            .into_iter()
            .map(|pool| self.pool(pool))
            .collect()
    }

    fn pool(&self, pool: broker::PoolStatus) -> PoolStatus {
        let queued: usize = pool.classes.iter().map(|class| class.queued).sum();
        let in_flight: u32 = pool.servers.iter().map(|server| server.in_flight).sum();
        PoolStatus {
            broker: Some(match self.peers.broker_location(&pool.pool) {
                BrokerLocation::Local => self.context.settings.vm.clone(),
                BrokerLocation::Remote(vm) => vm,
            }),
            queued: queued as u64,
            in_flight: u64::from(in_flight),
            servers: pool.servers.into_iter().map(server_status).collect(),
            pool: pool.pool,
        }
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn peer_status(member: &MemberStatus) -> PeerStatus {
    PeerStatus {
        vm: member.vm.clone(),
        state: match member.state {
            MemberState::Live => PeerState::Live,
            MemberState::Leaving => PeerState::Leaving,
            MemberState::Suspect => PeerState::Suspect,
            MemberState::Dead => PeerState::Dead,
        },
        heard_ago_ms: member.last_seen_ago.map(saturating_millis),
    }
}

fn server_status(server: broker::ServerStatus) -> ServerStatus {
    ServerStatus {
        state: match server.state {
            broker::ServerState::Active => ServerState::Active,
            broker::ServerState::Draining | broker::ServerState::Leaving => ServerState::Draining,
            broker::ServerState::Ejected => ServerState::Ejected,
            broker::ServerState::Probing => ServerState::Probing,
        },
        in_flight: u64::from(server.in_flight),
        slots: server.slots,
        server: server.server,
    }
}
