//! One backend server as the broker sees it.

use std::net::SocketAddr;
use std::time::Instant;

use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::health::{HealthPaces, HealthSample, ReplicaHealth};
use super::load::{ForeignLoad, ServerLoad};
use super::status::{ServerState, ServerStatus};
use crate::ids::{ServerName, TokenCount};
use crate::rendezvous::stable_hash;
use crate::tables::ServerRow;

/// Number of a server, never used again in the same pool.
pub(super) type ReplicaId = u32;

/// One backend server of a pool.
#[derive(Debug)]
pub(super) struct ReplicaState {
    /// Its name.
    pub(super) name: ServerName,
    /// Hash of its name, the same on all VMs.
    pub(super) name_hash: u64,
    /// Address of its HTTP port.
    pub(super) address: SocketAddr,
    own: ServerLoad,
    foreign: ForeignLoad,
    health: ReplicaHealth,
    row_slots: u32,
    share: ShareDivisor,
    is_drained: bool,
    is_listed: bool,
    is_marked_leaving: bool,
    is_reported_leaving: bool,
}

impl ReplicaState {
    /// Returns an idle server as the pools table describes it.
    pub(super) fn new(row: &ServerRow, share: ShareDivisor) -> Self {
        Self {
            name: row.name.clone(),
            name_hash: stable_hash(&row.name),
            address: row.address,
            own: ServerLoad::default(),
            foreign: ForeignLoad::default(),
            health: ReplicaHealth::default(),
            row_slots: row.slots,
            share,
            is_drained: row.drain,
            is_listed: true,
            is_marked_leaving: false,
            is_reported_leaving: false,
        }
    }

    /// Follows a new row of the pools table.
    pub(super) fn configure(&mut self, row: &ServerRow) {
        self.address = row.address;
        self.row_slots = row.slots;
        self.is_drained = row.drain;
        self.is_listed = true;
    }

    /// Notes that the pools table no longer has the server.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Follows a new share.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        self.share = share;
    }

    /// Notes what the platform's list says.
    pub(super) fn mark(&mut self, mark: ServerMark) {
        self.is_marked_leaving = mark == ServerMark::Leaving;
    }

    /// Notes what the server itself says.
    pub(super) fn report(&mut self, report: &ServerReport, now: Instant) {
        self.is_reported_leaving = report.leaving;
        self.foreign.report(report, self.own, now);
    }

    /// Slots that this broker may fill, beside the work of others.
    pub(super) fn slots(&self) -> u32 {
        let foreign = self.foreign.current().requests;
        let beside = self.row_slots.saturating_sub(foreign);
        self.share_of_slots().min(beside)
    }

    /// Slots that this broker may fill once the work of others is done.
    pub(super) fn share_of_slots(&self) -> u32 {
        self.share.share_of(self.row_slots)
    }

    /// Whether the server is there to take new work, fit for it or not.
    pub(super) fn is_serving(&self) -> bool {
        let is_leaving = self.is_marked_leaving || self.is_reported_leaving;
        self.is_listed && !self.is_drained && !is_leaving && self.row_slots > 0
    }

    /// Whether the server is ejected or on probe.
    pub(super) fn is_out(&self) -> bool {
        self.is_serving() && !self.health.is_fit()
    }

    /// Whether the server may get one more request now.
    pub(super) fn is_free(&self) -> bool {
        self.is_serving() && self.health.is_fit() && self.own.requests < self.slots()
    }

    /// Whether the server may get a single request as a probe now.
    pub(super) fn is_free_for_probe(&self) -> bool {
        let is_idle = self.own.requests == 0 && self.slots() > 0;
        self.is_serving() && self.health.is_probing() && is_idle
    }

    /// Health of the server.
    pub(super) fn health(&self) -> &ReplicaHealth {
        &self.health
    }

    /// Compares the server with the pool's medians, and forgets what is too
    /// old.
    pub(super) fn review(&mut self, median: HealthPaces, now: Instant) {
        self.foreign.expire(now);
        self.health.review(median, now);
    }

    /// Takes the server out of new work.
    pub(super) fn eject(&mut self, now: Instant) {
        self.health.eject(now);
    }

    /// Takes the server back into new work.
    pub(super) fn reinstate(&mut self) {
        self.health.reinstate();
    }

    /// Whether nothing keeps the broker from forgetting the server.
    pub(super) fn is_gone(&self) -> bool {
        !self.is_listed && self.own.requests == 0
    }

    /// Counts a grant.
    pub(super) fn begin(&mut self, work: TokenCount) {
        self.own.requests += 1;
        self.own.tokens += work;
        self.foreign.note_own(self.own);
        self.health.begin();
    }

    /// Counts the end of a grant, and learns from its release if there is one.
    pub(super) fn end(
        &mut self,
        work: TokenCount,
        sample: Option<&HealthSample>,
        median: HealthPaces,
        now: Instant,
    ) {
        assert!(self.own.requests > 0, "a grant ended at an idle server");
        self.own.requests -= 1;
        self.own.tokens -= work;
        self.health.end(sample, median, now);
    }

    /// Seconds for each token of a request's work, given the pool's pace.
    pub(super) fn seconds_per_token(&self, pool_pace: f64) -> f64 {
        self.health.pace().drawn_to(pool_pace)
    }

    /// Estimates how long the work at the server delays a new request, in
    /// seconds.
    pub(super) fn delay(&self, pool_pace: f64) -> f64 {
        let foreign = self.foreign.current().tokens;
        let tokens = self.own.tokens.saturating_add(foreign);
        let slots = f64::from(self.row_slots.max(1));
        tokens as f64 / slots * self.seconds_per_token(pool_pace) + self.health.delay()
    }

    /// Whether the server gets new work, and why not.
    pub(super) fn state(&self) -> ServerState {
        if self.is_drained || !self.is_listed {
            return ServerState::Draining;
        }
        if self.is_marked_leaving || self.is_reported_leaving {
            return ServerState::Leaving;
        }
        if self.health.is_on_probe() {
            return ServerState::Probing;
        }
        match self.health.is_fit() {
            true => ServerState::Active,
            false => ServerState::Ejected,
        }
    }

    /// Describes the server to operators.
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
