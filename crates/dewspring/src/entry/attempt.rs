//! One attempt at a backend server, from the grant to its release.

use std::sync::Arc;
use std::time::Instant;

use super::context::EntryContext;
use super::grants::GrantSource;
use crate::broker::{AttemptOutcome, Grant, GrantRelease};
use crate::ids::TokenCount;

/// Holds a grant and ends it exactly once, whatever happens to the request.
///
/// An attempt that is dropped without an outcome was cancelled: its caller
/// hung up.
#[derive(Debug)]
pub(super) struct AttemptGuard<C, G: GrantSource> {
    context: Arc<EntryContext<C, G>>,
    grant: Grant,
    sent: Instant,
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
            sent: Instant::now(),
            first_token: None,
            tokens: 0,
            outcome: AttemptOutcome::Cancelled,
            leaving: false,
        }
    }

    pub(super) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Returns when the attempt began.
    pub(super) fn sent(&self) -> Instant {
        self.sent
    }

    /// Returns when the first token came.
    pub(super) fn first_token(&self) -> Option<Instant> {
        self.first_token
    }

    /// Returns the tokens that this attempt generated.
    pub(super) fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Notes the tokens that this attempt has generated so far.
    pub(super) fn note_tokens(&mut self, tokens: TokenCount) {
        if tokens > 0 && self.first_token.is_none() {
            self.first_token = Some(Instant::now());
        }
        self.tokens = tokens;
    }

    /// Notes that the server says that it is leaving.
    ///
    /// The brokers of this VM hear it at once, the one that gave the grant by
    /// the release, which comes only when the answer ends.
    pub(super) fn note_leaving(&mut self) {
        self.leaving = true;
        self.context.grants.mark_leaving(&self.grant.server);
    }

    /// Ends the attempt with an outcome.
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
            first_token: self.first_token.map(|time| time.duration_since(self.sent)),
            elapsed: self.sent.elapsed(),
            leaving: self.leaving,
        };
        self.context.grants.release(&self.grant, release);
    }
}
