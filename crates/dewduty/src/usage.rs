//! Counts started requests by window and workspace, merged over all VMs.
//!
//! - `meter`: what one VM has counted, and what of it is to be sent.
//! - `collector`: what the holder and the next candidates have received, and which
//!   window is to be reported.
//! - `fleet`: the VMs whose counts a report waits for.
//! - `codec`: the datagrams between them.
//!
//! Windows are determined by [`truetime`](crate::truetime). Who holds the duty is
//! decided by [`lease`](crate::lease).
//!
//! Main invariant: the counts of one process in one window only grow and are merged
//! by maximum, so that loss, repeats and reordering of datagrams only delay them.

use std::time::Duration;

use indexmap::IndexMap;

mod codec;
mod collector;
mod fleet;
mod meter;

pub use codec::{ACK_MAGIC, SHARE_MAGIC};
pub use collector::{ReportPlan, UsageCollector, WrittenReport};
pub use meter::UsageMeter;

/// Number of a window: it begins this many window lengths after the Unix epoch.
pub type WindowIndex = u64;

/// Hash of a workspace's name, the same on all VMs.
pub type WorkspaceHash = u64;

/// Hash of a VM's name, the same on all VMs.
pub type VmHash = u64;

/// Window of a share that only asks for the time. A process that has just started
/// can't count before it knows the time, and replies carry it.
pub const TIME_REQUEST: WindowIndex = 0;

/// Maximum number of VMs whose counts are kept.
pub const MAX_VMS: usize = 1024;

/// Maximum number of workspaces in the counts of a process in a window.
pub const MAX_WORKSPACES: usize = 4096;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Lengths of time that usage reports keep to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsagePolicy {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window within which it must be reported.
    pub due: Duration,
    /// Longest wait for the counts of VMs after the end of a window.
    pub wait: Duration,
    /// Shortest time between two sendings of the same counts.
    pub send_interval: Duration,
    /// Age at which a window is skipped.
    pub skip_age: Duration,
}

impl UsagePolicy {
    /// Creates the policy for windows of a length and reports that are due this long
    /// after their end.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewduty::usage::UsagePolicy;
    /// use std::time::Duration;
    ///
    /// let policy = UsagePolicy::new(Duration::from_secs(5), Duration::from_secs(10));
    /// assert_eq!(policy.wait, Duration::from_secs(6));
    /// assert_eq!(policy.window_at(Duration::from_secs(12)), 2);
    /// ```
    pub fn new(window: Duration, due: Duration) -> Self {
        UsagePolicy {
            // A length of zero would have no windows.
            window: window.max(Duration::from_millis(1)),
            due,
            wait: due.mul_f64(0.6),
            send_interval: Duration::from_millis(500),
            skip_age: Duration::from_secs(60),
        }
    }

    /// Returns the window that contains a moment of true time.
    pub fn window_at(&self, unix: Duration) -> WindowIndex {
        let window = unix.as_nanos() / self.window.as_nanos().max(1);
        WindowIndex::try_from(window).unwrap_or(WindowIndex::MAX)
    }

    /// Returns when a window begins.
    pub fn start_of(&self, window: WindowIndex) -> Duration {
        let nanos = self.window.as_nanos().saturating_mul(u128::from(window));
        let seconds = u64::try_from(nanos / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        Duration::new(seconds, (nanos % NANOS_PER_SECOND) as u32)
    }

    /// Returns when a window ends.
    pub fn end_of(&self, window: WindowIndex) -> Duration {
        self.start_of(window.saturating_add(1))
    }

    /// Returns the oldest window that isn't skipped yet.
    fn oldest_at(&self, unix: Duration) -> WindowIndex {
        self.window_at(unix.saturating_sub(self.skip_age))
    }
}

/// What one process has counted in one window, or a part of it that fits into a
/// datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageShare {
    /// The VM.
    pub vm: VmHash,
    /// When its process started, in Unix milliseconds by its own clock; tells two
    /// processes of a VM apart.
    pub started: u64,
    /// Its wall clock when it sent the share.
    pub sent_unix: Duration,
    /// The window; [`TIME_REQUEST`] in a share that only asks for the time.
    pub window: WindowIndex,
    /// First window in which the process can have counted.
    pub first: WindowIndex,
    /// Last window of which the VM knows that a report is written.
    pub reported: Option<WindowIndex>,
    /// Whether the window has ended for the process.
    pub is_final: bool,
    /// Whether the process counts nothing after this window.
    pub is_last: bool,
    /// Sum of all counts of the process in the window, also of those in other
    /// datagrams.
    pub total: u64,
    /// Counts by workspace.
    pub counts: IndexMap<WorkspaceHash, u32>,
}

/// How far a receiver knows the counts of a process in a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareState {
    /// Counts are missing or may still grow.
    Incomplete,
    /// The counts are final and all there.
    Complete,
    /// The window is reported or skipped; nothing is added to it.
    Reported,
}

/// Reply to a share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageAck {
    /// The VM that received the share.
    pub receiver: VmHash,
    /// When the receiver's process started; one that has restarted has lost what had
    /// arrived.
    pub receiver_started: u64,
    /// The VM that sent it.
    pub vm: VmHash,
    /// When the sender's process started.
    pub started: u64,
    /// The window.
    pub window: WindowIndex,
    /// How far the receiver knows the counts.
    pub state: ShareState,
    /// Sum of the counts that have arrived.
    pub arrived: u64,
    /// Sum of the counts of the share that came too late for the report. Only the
    /// holder that made the report knows them.
    pub dropped: u64,
    /// True time according to the receiver, if it knows it. It is not returned to the
    /// receiver itself, whose time would then follow itself.
    pub unix: Option<Duration>,
}
