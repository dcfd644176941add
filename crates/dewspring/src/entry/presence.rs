//! Detection of a caller that disconnected before its response started.

use std::sync::{Arc, Weak};

/// Held by a caller's connection while the caller waits for its response.
#[derive(Debug, Default)]
pub(super) struct CallerGuard(Arc<()>);

/// Observes whether the matching [`CallerGuard`] is still held.
#[derive(Clone, Debug)]
pub(super) struct CallerPresence(Weak<()>);

impl CallerGuard {
    /// Returns an observer of this guard.
    pub(super) fn presence(&self) -> CallerPresence {
        CallerPresence(Arc::downgrade(&self.0))
    }
}

impl CallerPresence {
    /// Returns whether the caller has disconnected.
    pub(super) fn has_disconnected(&self) -> bool {
        self.0.strong_count() == 0
    }
}
