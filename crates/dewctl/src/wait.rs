//! Waits until a revision is in force on all daemons.

use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use dewspring::ids::Revision;
use thiserror::Error;

use crate::admin::{AdminClient, DaemonAnswer};
use dewspring::admin::StatusReport;

/// Bounds of the wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// Longest wait.
    pub timeout: Duration,
    /// Pause between two rounds of questions.
    pub interval: Duration,
}

/// The change that is waited for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AwaitedChange {
    /// Its revision.
    pub revision: Revision,
    /// Its identity, if it is known.
    pub change_id: Option<String>,
}

/// A daemon that doesn't have the revision in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingDaemon {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// Its own revision, or why it gave no answer.
    pub state: String,
}

/// Daemons that don't have a revision in force in time.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct WaitTimeout {
    /// The revision, which the store holds.
    pub revision: Revision,
    /// The daemons that lag behind.
    pub lagging: Vec<LaggingDaemon>,
}

impl fmt::Display for WaitTimeout {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.revision;
        write!(
            formatter,
            "revision {revision} is applied, but isn't in force everywhere yet:"
        )?;
        for daemon in &self.lagging {
            write!(formatter, "\n  {}: {}", daemon.address, daemon.state)?;
        }
        Ok(())
    }
}

/// Asks all daemons until each has the change or a later revision in force.
///
/// A daemon may hold another change under the same revision when the store
/// came back with older data; it doesn't have the awaited one in force.
///
/// `show_progress` is told after each round how many daemons have it.
///
/// # Errors
///
/// [`WaitTimeout`] lists the daemons that lag behind at the end.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::admin::AdminClient;
/// use dewctl::wait::{AwaitedChange, WaitLimits, wait_in_force};
///
/// let client = AdminClient::open(Vec::new(), "secret", Duration::from_secs(1));
/// let limits = WaitLimits {
///     timeout: Duration::from_secs(1),
///     interval: Duration::from_millis(100),
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
        let answers = client.status_of_all();
        let lagging: Vec<LaggingDaemon> = answers
            .iter()
            .filter_map(|answer| lagging_daemon(answer, change))
            .collect();
        show_progress(answers.len() - lagging.len());
        if lagging.is_empty() {
            return Ok(());
        }
        if started.elapsed() + limits.interval >= limits.timeout {
            return Err(WaitTimeout {
                revision: change.revision,
                lagging,
            });
        }
        thread::sleep(limits.interval);
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
    let is_told = !report.change_id.is_empty();
    let differs = |id: &String| *id != report.change_id;
    let is_same_revision = report.revision == change.revision;
    is_same_revision && is_told && change.change_id.as_ref().is_some_and(differs)
}
