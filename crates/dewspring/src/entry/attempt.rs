//! One attempt to run a request at a backend server, from the grant to its
//! release.

use std::sync::Arc;
use std::time::Instant;

use super::context::EntryContext;
use super::grants::GrantSource;
use crate::broker::{AttemptOutcome, Grant, GrantRelease};
use crate::ids::TokenCount;

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

    /// Releases the grant with an outcome.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
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
