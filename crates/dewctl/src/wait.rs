//! Waits until a revision is in force on all daemons.

use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use dewspring::ids::Revision;
use thiserror::Error;

use crate::admin::{AdminClient, DaemonAnswer};
use dewspring::admin::StatusReport;

/// Limits of the wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// Maximum time to wait.
    pub timeout: Duration,
    /// Pause between two status polls.
    pub poll_interval: Duration,
}

/// The change to wait for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AwaitedChange {
    /// Revision of the change.
    pub revision: Revision,
    /// Id of the change, if it is known.
    pub change_id: Option<String>,
}

/// A daemon on which the awaited change is not in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingDaemon {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// The daemon's own revision, or why its status is unknown.
    pub state: String,
}

/// Timeout before the revision was in force on all daemons.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct WaitTimeout {
    /// The awaited revision, which is applied in the store.
    pub revision: Revision,
    /// Daemons on which the revision is not in force.
    pub lagging: Vec<LaggingDaemon>,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.revision;
        write!(
            formatter,
            "revision {revision} is applied, but not yet in force on all daemons:"
        )?;
        for daemon in &self.lagging {
            write!(formatter, "\n  {}: {}", daemon.address, daemon.state)?;
        }
        Ok(())
    }
}

/// Polls all daemons until each has the change or a later revision in force.
///
/// If the store was restored from older data, a daemon may have another change
/// with the same revision in force; it counts as lagging.
///
/// `show_progress` is called after each poll with the number of daemons that
/// have the change or a later revision in force.
///
/// # Errors
///
/// [`WaitTimeout`] with the daemons that were lagging at the last poll.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::admin::AdminClient;
/// use dewctl::wait::{AwaitedChange, WaitLimits, wait_in_force};
///
/// let client = AdminClient::new(Vec::new(), "secret", Duration::from_secs(1));
/// let limits = WaitLimits {
///     timeout: Duration::from_secs(1),
///     poll_interval: Duration::from_millis(100),
/// };
/// let change = AwaitedChange { revision: 1, change_id: None };
/// assert_eq!(wait_in_force(&client, &change, limits, |_| {}), Ok(()));
/// ```
pub fn wait_in_force(
    client: &AdminClient,
    change: &AwaitedChange,
    limits: WaitLimits,
    mut show_progress: impl FnMut(usize),
) -> Result<(), WaitTimeout> {
    let started = Instant::now();
    loop {
        let answers = client.fetch_statuses();
        let lagging: Vec<LaggingDaemon> = answers
            .iter()
            .filter_map(|answer| lagging_daemon(answer, change))
            .collect();
        show_progress(answers.len() - lagging.len());
        if lagging.is_empty() {
            return Ok(());
        }
        if started.elapsed() + limits.poll_interval >= limits.timeout {
            return Err(WaitTimeout {
                revision: change.revision,
                lagging,
            });
        }
        thread::sleep(limits.poll_interval);
    }
}

fn lagging_daemon(
    answer: &DaemonAnswer<StatusReport>,
    change: &AwaitedChange,
) -> Option<LaggingDaemon> {
    let state = match &answer.answer {
        Ok(report) if is_another_change(report, change) => {
            let revision = report.revision;
            format!("another change of revision {revision} on {}", report.vm)
        }
        Ok(report) if report.revision >= change.revision => return None,
        Ok(report) => format!("revision {} on {}", report.revision, report.vm),
        Err(error) => error.reason.clone(),
    };
    Some(LaggingDaemon {
        address: answer.address,
        state,
    })
}

fn is_another_change(report: &StatusReport, change: &AwaitedChange) -> bool {
    let reports_change_id = !report.change_id.is_empty();
    let differs = |id: &String| *id != report.change_id;
    let is_same_revision = report.revision == change.revision;
    is_same_revision && reports_change_id && change.change_id.as_ref().is_some_and(differs)
}
