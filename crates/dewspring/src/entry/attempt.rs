//! One attempt to run a request at a backend server, from the grant to its
//! release.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::context::EntryContext;
use super::grants::GrantSource;
use crate::broker::{AttemptOutcome, Grant, GrantRelease};
use crate::ids::TokenCount;

/// Time after a broken attempt at which its server is tested; a process that
/// ends closes its connections and its listener one after the other.
const TEST_DELAY: Duration = Duration::from_millis(20);

/// Timeout of the connection that tests a server.
const TEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Holds a grant and releases it exactly once, when it is dropped.
///
/// An attempt that is dropped without an outcome is reported as cancelled,
/// because then its caller has disconnected.
#[derive(Debug)]
pub(super) struct AttemptGuard<C, G: GrantSource> {
    context: Arc<EntryContext<C, G>>,
    grant: Grant,
    started: Instant,
    first_token: Option<Instant>,
    tokens: TokenCount,
    outcome: AttemptOutcome,
    leaving: bool,
    /// Finds out whether the server has ended.
    server_test: Option<JoinHandle<bool>>,
}

impl<C, G: GrantSource> AttemptGuard<C, G> {
    pub(super) fn new(context: Arc<EntryContext<C, G>>, grant: Grant) -> Self {
        Self {
            context,
            grant,
            started: Instant::now(),
            first_token: None,
            tokens: 0,
            outcome: AttemptOutcome::Cancelled,
            leaving: false,
            server_test: None,
        }
    }

    pub(super) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Returns when the attempt started.
    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Returns when the first token was received.
    pub(super) fn first_token(&self) -> Option<Instant> {
        self.first_token
    }

    /// Returns the number of tokens that this attempt generated so far.
    pub(super) fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Sets the number of tokens that this attempt generated so far.
    pub(super) fn record_tokens(&mut self, tokens: TokenCount) {
        if tokens > 0 && self.first_token.is_none() {
            self.first_token = Some(Instant::now());
        }
        self.tokens = tokens;
    }

    /// Reports that the server announced its shutdown.
    ///
    /// The brokers of this VM are notified at once. The broker that issued the
    /// grant is notified by the release, when the response ends.
    pub(super) fn report_leaving(&mut self) {
        self.leaving = true;
        self.context.grants.mark_leaving(&self.grant.server);
    }

    /// Releases the grant of an attempt whose connection failed, once it is known
    /// whether the server has ended.
    pub(super) fn finish_broken(mut self)
    where
        C: Send + Sync + 'static,
        G: 'static,
    {
        self.test_server();
        tokio::spawn(async move {
            let has_ended = match self.server_test.take() {
                Some(test) => test.await.unwrap_or(false),
                None => false,
            };
            self.finish(match has_ended {
                true => AttemptOutcome::Crashed,
                false => AttemptOutcome::Unknown,
            });
        });
    }

    /// Starts to find out whether the server has ended, unless that was started
    /// before.
    pub(super) fn test_server(&mut self) {
        let address = self.grant.address;
        self.server_test
            .get_or_insert_with(|| tokio::spawn(is_refused(address)));
    }

    /// Releases the grant with an outcome.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

/// Returns whether nothing listens at an address any more.
async fn is_refused(address: SocketAddr) -> bool {
    tokio::time::sleep(TEST_DELAY).await;
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(TEST_TIMEOUT, connecting).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

impl<C, G: GrantSource> Drop for AttemptGuard<C, G> {
    fn drop(&mut self) {
        let release = GrantRelease {
            grant: self.grant.id,
            boot: self.grant.boot,
            outcome: self.outcome,
            tokens: self.tokens,
            first_token: self
                .first_token
                .map(|time| time.duration_since(self.started)),
            elapsed: self.started.elapsed(),
            leaving: self.leaving,
        };
        self.context.grants.release(&self.grant, release);
    }
}
