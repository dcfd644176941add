//! Reports of the commands `check`, `apply` and `drain`.

use std::fmt;

use dewspring::admin::DrainReport;
use dewspring::ids::Revision;
use serde::Serialize;

use crate::commit::CommitOutcome;

/// Number of rows in tables that pass the checks.
#[derive(Serialize)]
pub(crate) struct CheckReport {
    pub(crate) routes: usize,
    pub(crate) pools: usize,
    pub(crate) servers: usize,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            routes,
            pools,
            servers,
        } = self;
        writeln!(
            formatter,
            "valid: {routes} routes, {pools} pools, {servers} servers"
        )
    }
}

/// Outcome of a change of the stored document.
#[derive(Serialize)]
pub(crate) struct ChangeReport {
    pub(crate) revision: Revision,
    pub(crate) change_id: Option<String>,
    pub(crate) read_back: bool,
}

impl From<&CommitOutcome> for ChangeReport {
    fn from(outcome: &CommitOutcome) -> Self {
        match outcome {
            CommitOutcome::Applied(change) => Self {
                revision: change.entry.revision,
                change_id: Some(change.entry.change_id.clone()),
                read_back: change.was_read_back,
            },
            CommitOutcome::Unchanged(document) => Self {
                revision: document.revision,
                change_id: None,
                read_back: false,
            },
        }
    }
}

impl fmt::Display for ChangeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.revision;
        match &self.change_id {
            None => writeln!(
                formatter,
                "nothing to change: revision {revision} is as wanted"
            ),
            Some(change) if self.read_back => {
                writeln!(
                    formatter,
                    "applied as revision {revision}, change {change} (an answer was lost; the outcome was read back)"
                )
            }
            Some(change) => writeln!(formatter, "applied as revision {revision}, change {change}"),
        }
    }
}

/// Revision that is in force on all daemons.
#[derive(Serialize)]
pub(crate) struct InForceReport {
    pub(crate) in_force_everywhere: Revision,
}

impl fmt::Display for InForceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.in_force_everywhere;
        writeln!(formatter, "revision {revision} is in force on all daemons")
    }
}

/// Report of a daemon that has started to drain.
#[derive(Serialize)]
pub(crate) struct VmDrainReport(pub(crate) DrainReport);

impl fmt::Display for VmDrainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(report) = self;
        let (vm, in_flight) = (&report.vm, report.in_flight);
        writeln!(
            formatter,
            "{vm} is leaving; {in_flight} requests are still in flight"
        )
    }
}
