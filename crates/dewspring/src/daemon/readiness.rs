//! Whether a new VM knows the newest configuration and may serve requests.
//!
//! The store alone doesn't determine the newest configuration: it may have
//! been restored with older data, while the other VMs follow a newer revision.
//! So a new VM first catches up with its peers and applies what they have. Main invariant: once open, the
//! gate stays open, and it opens within a time limit even if the platform's
//! list, which names the peers, can't be read.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Maximum time after the start for which a VM with a configuration waits for
/// its peers.
pub(super) const MAX_PEER_WAIT: Duration = Duration::from_secs(5);

/// Prevents a new VM from becoming ready before it has caught up with its peers.
#[derive(Debug)]
pub(super) struct ReadinessGate {
    started: Instant,
    has_opened: AtomicBool,
}

impl ReadinessGate {
    /// Creates a closed gate for a VM that starts at `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            has_opened: AtomicBool::new(false),
        }
    }

    /// Returns whether this VM has caught up or [`MAX_PEER_WAIT`] has passed.
    pub fn is_open(&self, now: Instant, is_caught_up: impl FnOnce() -> bool) -> bool {
        if self.has_opened.load(Ordering::Acquire) {
            return true;
        }
        let waited = now.saturating_duration_since(self.started);
        let is_open = waited >= MAX_PEER_WAIT || is_caught_up();
        if is_open {
            self.has_opened.store(true, Ordering::Release);
        }
        is_open
    }
}
