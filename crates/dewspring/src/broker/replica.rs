//! State of one backend server (replica) in the broker.

use std::net::SocketAddr;
use std::time::Instant;

use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::health::{HealthSample, ReplicaHealth, TokenTimes};
use super::load::{ForeignLoad, ServerLoad};
use super::status::{ServerState, ServerStatus};
use crate::ids::{ServerName, TokenCount};
use crate::rendezvous::stable_hash;
use crate::tables::ServerRow;

/// Number of a server, never reused within a pool.
pub(super) type ReplicaId = u32;

/// One backend server of a pool.
#[derive(Debug)]
pub(super) struct ReplicaState {
    pub(super) name: ServerName,
    /// Hash of the name, the same on all VMs.
    pub(super) name_hash: u64,
    /// Address of the HTTP port.
    pub(super) address: SocketAddr,
    own: ServerLoad,
    foreign: ForeignLoad,
    health: ReplicaHealth,
    listed_slots: u32,
    share: ShareDivisor,
    is_drained: bool,
    is_listed: bool,
    is_marked_leaving: bool,
    is_reported_leaving: bool,
}

impl ReplicaState {
    /// Returns an idle server as listed in the pools table.
    pub(super) fn new(row: &ServerRow, share: ShareDivisor) -> Self {
        Self {
            name: row.name.clone(),
            name_hash: stable_hash(&row.name),
            address: row.address,
            own: ServerLoad::default(),
            foreign: ForeignLoad::default(),
            health: ReplicaHealth::default(),
            listed_slots: row.slots,
            share,
            is_drained: row.drain,
            is_listed: true,
            is_marked_leaving: false,
            is_reported_leaving: false,
        }
    }

    /// Applies a row of the pools table.
    pub(super) fn configure(&mut self, row: &ServerRow) {
        self.address = row.address;
        self.listed_slots = row.slots;
        self.is_drained = row.drain;
        self.is_listed = true;
    }

    /// Records that the server is no longer in the pools table.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Sets the broker's share of the slots.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        self.share = share;
    }

    /// Applies the state in the platform's list.
    pub(super) fn apply_mark(&mut self, mark: ServerMark) {
        self.is_marked_leaving = mark == ServerMark::Leaving;
    }

    /// Applies the server's load report.
    pub(super) fn apply_report(&mut self, report: &ServerReport, now: Instant) {
        self.is_reported_leaving = report.leaving;
        self.foreign.apply_report(report, self.own, now);
    }

    /// Returns the slots that this broker may fill, given the load of other
    /// brokers.
    pub(super) fn slots(&self) -> u32 {
        let foreign = self.foreign.current().requests;
        let available = self.listed_slots.saturating_sub(foreign);
        self.slot_share().min(available)
    }

    /// Returns the slots that this broker may fill if other brokers cause no
    /// load.
    pub(super) fn slot_share(&self) -> u32 {
        self.share.share_of(self.listed_slots)
    }

    /// Returns whether the server accepts new work, regardless of its health.
    pub(super) fn is_serving(&self) -> bool {
        let is_leaving = self.is_marked_leaving || self.is_reported_leaving;
        self.is_listed && !self.is_drained && !is_leaving && self.listed_slots > 0
    }

    /// Returns whether the server would accept new work but is ejected or being
    /// probed.
    pub(super) fn is_out_of_rotation(&self) -> bool {
        self.is_serving() && !self.health.is_healthy()
    }

    /// Returns whether the server may get one more request now.
    pub(super) fn is_free(&self) -> bool {
        self.is_serving() && self.health.is_healthy() && self.own.requests < self.slots()
    }

    /// Returns whether the server may get a request as a probe now.
    pub(super) fn is_ready_for_probe(&self) -> bool {
        let is_idle = self.own.requests == 0 && self.slots() > 0;
        self.is_serving() && self.health.is_awaiting_probe() && is_idle
    }

    pub(super) fn health(&self) -> &ReplicaHealth {
        &self.health
    }

    /// Compares the server with the pool's medians and drops an outdated
    /// report.
    pub(super) fn review(&mut self, median: TokenTimes, now: Instant) {
        self.foreign.expire(now);
        self.health.review(median, now);
    }

    /// Takes the server out of rotation.
    pub(super) fn eject(&mut self, now: Instant) {
        self.health.eject(now);
    }

    /// Returns the server to rotation.
    pub(super) fn reinstate(&mut self) {
        self.health.reinstate();
    }

    /// Returns whether the server is unlisted and idle, so that it can be
    /// removed.
    pub(super) fn is_retired(&self) -> bool {
        !self.is_listed && self.own.requests == 0
    }

    /// Counts a grant.
    pub(super) fn record_grant(&mut self, work: TokenCount) {
        self.own.requests += 1;
        self.own.tokens += work;
        self.foreign.record_own(self.own);
        self.health.record_grant();
    }

    /// Counts the end of a grant and records the sample of its release, if
    /// there is one.
    pub(super) fn record_end(
        &mut self,
        work: TokenCount,
        sample: Option<&HealthSample>,
        median: TokenTimes,
        now: Instant,
    ) {
        assert!(self.own.requests > 0, "a grant ended at an idle server");
        self.own.requests -= 1;
        self.own.tokens -= work;
        self.health.record_end(sample, median, now);
    }

    /// Returns the seconds for each token of a request's work, given the
    /// average of the pool.
    pub(super) fn seconds_per_token(&self, pool_seconds_per_token: f64) -> f64 {
        self.health
            .time_per_token()
            .shrunk_toward(pool_seconds_per_token)
    }

    /// Estimates how long the load at the server delays a new request, in
    /// seconds.
    pub(super) fn delay(&self, pool_seconds_per_token: f64) -> f64 {
        let foreign = self.foreign.current().tokens;
        let tokens = self.own.tokens.saturating_add(foreign);
        let slots = f64::from(self.listed_slots.max(1));
        tokens as f64 / slots * self.seconds_per_token(pool_seconds_per_token)
            + self.health.failure_penalty()
    }

    /// Returns the state for operators: whether the server gets new work, or
    /// why not.
    pub(super) fn state(&self) -> ServerState {
        if self.is_drained || !self.is_listed {
            return ServerState::Draining;
        }
        if self.is_marked_leaving || self.is_reported_leaving {
            return ServerState::Leaving;
        }
        if self.health.is_being_probed() {
            return ServerState::Probing;
        }
        match self.health.is_healthy() {
            true => ServerState::Active,
            false => ServerState::Ejected,
        }
    }

    /// Returns the status for operators.
    pub(super) fn status(&self) -> ServerStatus {
        ServerStatus {
            server: self.name.clone(),
            state: self.state(),
            slots: self.slots(),
            in_flight: self.own.requests,
            tokens_in_flight: self.own.tokens,
        }
    }
}
