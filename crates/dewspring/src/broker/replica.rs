//! One backend server as the broker sees it.

use std::net::SocketAddr;

use super::control::{ServerMark, ServerReport, ShareDivisor};
use super::status::{ServerState, ServerStatus};
use crate::ids::{ServerName, TokenCount};
use crate::tables::ServerRow;

/// One backend server of a pool.
#[derive(Debug)]
pub(super) struct ReplicaState {
    /// Its name.
    pub(super) name: ServerName,
    /// Address of its HTTP port.
    pub(super) address: SocketAddr,
    /// Grants that are out.
    pub(super) in_flight: u32,
    /// Estimated work of those grants, in tokens.
    pub(super) tokens_in_flight: TokenCount,
    row_slots: u32,
    slots: u32,
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
            address: row.address,
            in_flight: 0,
            tokens_in_flight: 0,
            row_slots: row.slots,
            slots: share.share_of(row.slots),
            is_drained: row.drain,
            is_listed: true,
            is_marked_leaving: false,
            is_reported_leaving: false,
        }
    }

    /// Follows a new row of the pools table.
    pub(super) fn configure(&mut self, row: &ServerRow, share: ShareDivisor) {
        self.address = row.address;
        self.row_slots = row.slots;
        self.is_drained = row.drain;
        self.is_listed = true;
        self.set_share(share);
    }

    /// Notes that the pools table no longer has the server.
    pub(super) fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Follows a new share.
    pub(super) fn set_share(&mut self, share: ShareDivisor) {
        self.slots = share.share_of(self.row_slots);
    }

    /// Notes what the platform's list says.
    pub(super) fn mark(&mut self, mark: ServerMark) {
        self.is_marked_leaving = mark == ServerMark::Leaving;
    }

    /// Notes what the server itself says.
    pub(super) fn report(&mut self, report: &ServerReport) {
        self.is_reported_leaving = report.leaving;
    }

    /// Slots that this broker may fill.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether the server is there to take new work at all.
    pub(super) fn is_serving(&self) -> bool {
        self.state() == ServerState::Active && self.slots > 0
    }

    /// Whether the server may get one more request now.
    pub(super) fn is_free(&self) -> bool {
        self.is_serving() && self.in_flight < self.slots
    }

    /// Whether nothing keeps the broker from forgetting the server.
    pub(super) fn is_gone(&self) -> bool {
        !self.is_listed && self.in_flight == 0
    }

    /// Counts a grant.
    pub(super) fn begin(&mut self, tokens: TokenCount) {
        self.in_flight += 1;
        self.tokens_in_flight += tokens;
    }

    /// Counts the end of a grant.
    pub(super) fn end(&mut self, tokens: TokenCount) {
        assert!(self.in_flight > 0, "a grant ended at an idle server");
        self.in_flight -= 1;
        self.tokens_in_flight -= tokens;
    }

    /// Whether the server gets new work, and why not.
    pub(super) fn state(&self) -> ServerState {
        if self.is_drained || !self.is_listed {
            return ServerState::Draining;
        }
        if self.is_marked_leaving || self.is_reported_leaving {
            return ServerState::Leaving;
        }
        ServerState::Active
    }

    /// Describes the server to operators.
    pub(super) fn status(&self) -> ServerStatus {
        ServerStatus {
            server: self.name.clone(),
            state: self.state(),
            slots: self.slots,
            in_flight: self.in_flight,
            tokens_in_flight: self.tokens_in_flight,
        }
    }
}
