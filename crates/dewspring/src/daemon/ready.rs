//! Whether a VM has heard enough to take callers' requests.
//!
//! The store alone doesn't say which configuration is the newest: it may have
//! come back with older data, while the other VMs follow a newer revision. So
//! a new VM hears its peers first. The main invariant: once open, the gate
//! stays open, and it opens within a limit even if the platform's list, which
//! tells the peers, can't be read.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for the peers of a VM whose store has answered.
pub(super) const PEERS_LIMIT: Duration = Duration::from_secs(5);

/// Keeps a new VM from being ready before its peers were heard.
#[derive(Debug)]
pub(super) struct ReadyGate {
    started: Instant,
    has_opened: AtomicBool,
}

impl ReadyGate {
    /// Returns the closed gate of a VM that starts now.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            has_opened: AtomicBool::new(false),
        }
    }

    /// Tells whether the peers were heard or have been waited for long enough.
    pub fn is_open(&self, now: Instant, are_peers_heard: impl FnOnce() -> bool) -> bool {
        if self.has_opened.load(Ordering::Acquire) {
            return true;
        }
        let waited = now.saturating_duration_since(self.started);
        let opens = waited >= PEERS_LIMIT || are_peers_heard();
        if opens {
            self.has_opened.store(true, Ordering::Release);
        }
        opens
    }
}
