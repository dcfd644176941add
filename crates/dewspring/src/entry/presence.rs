//! Whether a caller still waits for its answer.

use std::sync::{Arc, Weak};

/// Held by the connection of a caller while it waits.
#[derive(Debug, Default)]
pub(super) struct CallerGuard(Arc<()>);

/// Looks at whether the caller still waits.
#[derive(Clone, Debug)]
pub(super) struct CallerPresence(Weak<()>);

impl CallerGuard {
    /// Returns the side that looks.
    pub(super) fn presence(&self) -> CallerPresence {
        CallerPresence(Arc::downgrade(&self.0))
    }
}

impl CallerPresence {
    /// Returns whether the caller has hung up.
    pub(super) fn is_gone(&self) -> bool {
        self.0.strong_count() == 0
    }
}
