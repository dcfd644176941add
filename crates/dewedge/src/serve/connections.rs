//! Opens connections to servers, and takes kept ones that can still carry a
//! request.
//!
//! The main invariant: a request never goes to a kept connection that its server
//! has closed, on which it has sent something since its last response, or on which
//! it has refused an attempt with the same id.

use std::io;
use std::time::Duration;

use dewbudget::{AccountPart, SegmentedBody};

use crate::clock::Moment;
use crate::directory::{ReplicaIndex, stable_hash};
use crate::format::PlatformFormat;
use crate::net::TcpChannel;
use crate::policy::queue::ExchangeId;

use super::crashes::ServerTest;
use super::state::{EdgeState, ServerConn, ServerConnId, TokenKind, token_of};
use super::timers::LazyTimer;

/// Timeout of a new connection to a server; a round trip takes a few ms.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Share of a connection's idle timeout after which only retryable requests are
/// sent on it; the server may close it before it has received the request.
const NON_RETRYABLE_IDLE_SHARE: f64 = 0.5;

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes a reusable idle connection to a server for a request.
    ///
    /// A connection that the server has ended, or on which it has sent something
    /// since its last response, is closed.
    pub(super) fn take_idle_conn(
        &mut self,
        replica: ReplicaIndex,
        exchange_id: ExchangeId,
    ) -> Option<ServerConnId> {
        let now = self.now;
        let exchange = &self.exchanges[exchange_id];
        let retryable = exchange.route.is_retryable();
        let attempt = stable_hash(exchange.metadata.attempt.as_bytes());
        while let Some(conn_id) = self.pop_idle_conn(replica, attempt) {
            let Some(conn) = self.server_conns.get(conn_id) else {
                continue;
            };
            let idle = conn.idle_until.saturating_sub(conn.idle_since);
            let limit = match retryable {
                true => conn.idle_until,
                false => conn.idle_since + idle.mul_f64(NON_RETRYABLE_IDLE_SHARE),
            };
            if !conn.channel.is_quiet() {
                self.close_server_conn(conn_id);
                continue;
            }
            if limit > now {
                self.server_conns[conn_id].reused = true;
                return Some(conn_id);
            }
            if conn.idle_until <= now {
                self.close_server_conn(conn_id);
            } else {
                // It can still carry retryable requests.
                self.directory.get_mut(replica).idle_conns.push(conn_id);
                return None;
            }
        }
        None
    }

    /// Removes the newest idle connection to a server on which it hasn't refused
    /// the attempt with this hash. If it repeated that refusal, the copy would pass
    /// for the response.
    fn pop_idle_conn(&mut self, replica: ReplicaIndex, attempt: u64) -> Option<ServerConnId> {
        let has_refused = |conn_id: &ServerConnId| {
            let conn = self.server_conns.get(*conn_id);
            conn.is_some_and(|conn| conn.refused_attempts.contains(&attempt))
        };
        let idle = &self.directory.get(replica).idle_conns;
        let position = idle.iter().rposition(|conn_id| !has_refused(conn_id))?;
        Some(self.directory.get_mut(replica).idle_conns.remove(position))
    }

    /// Opens a connection to a server that only tests whether it runs.
    pub(crate) fn open_test_connection(&mut self, replica: ReplicaIndex) {
        match self.connect(replica) {
            Ok(conn_id) => {
                self.server_conns[conn_id].is_test = true;
                self.arm_server(conn_id, self.now + CONNECT_TIMEOUT);
            }
            Err(error) => self.end_server_test(replica, ServerTest::of_error(&error)),
        }
    }

    /// Opens a connection to a server.
    pub(crate) fn connect(&mut self, replica: ReplicaIndex) -> io::Result<ServerConnId> {
        let address = self.directory.get(replica).entry.address;
        self.make_room_for_connection();
        let charges = self.channel_charges(AccountPart::Responses);
        let mut channel = TcpChannel::connect_server(address, charges)
            .inspect_err(|_| self.connect_failed = true)?;
        let entry = self.server_conns.vacant_entry();
        let conn_id = entry.key();
        let token = token_of(TokenKind::Server, conn_id);
        channel.register(&self.registry, token)?;
        entry.insert(ServerConn {
            channel,
            replica,
            connected: false,
            reused: false,
            is_test: false,
            exchange_id: None,
            reader: None,
            body: SegmentedBody::new(self.account.charge(AccountPart::Responses)),
            is_stream: false,
            refused_attempts: Vec::new(),
            opened: self.now,
            idle_until: Moment::ZERO,
            idle_since: Moment::ZERO,
            timer: LazyTimer::default(),
        });
        self.metrics.connects.inc();
        self.directory.get_mut(replica).open_connections += 1;
        Ok(conn_id)
    }
}
