//! Shows the status of all daemons in one table.

use std::fmt;
use std::net::SocketAddr;

use dewspring::admin::{ServerState, ServerStatus, StatusReport};
use serde::Serialize;

use crate::admin::{AdminClient, DaemonAnswer};

/// Status of one daemon, a row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonStatus {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// Status report of the daemon, if it was received.
    pub report: Option<StatusReport>,
    /// Why no status report was received.
    pub error: Option<String>,
}

/// Status of all daemons.
#[derive(Clone, Debug, Serialize)]
pub struct StatusTable {
    /// Rows of the daemons, in the order of the settings.
    pub daemons: Vec<DaemonStatus>,
}

impl StatusTable {
    /// Requests the status of all daemons.
    pub fn fetch(client: &AdminClient) -> Self {
        let answers = client.fetch_statuses();
        Self {
            daemons: answers.into_iter().map(DaemonStatus::from).collect(),
        }
    }

    /// Returns whether a status report was received from every daemon.
    pub fn is_complete(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.report.is_some())
    }
}

impl From<DaemonAnswer<StatusReport>> for DaemonStatus {
    fn from(answer: DaemonAnswer<StatusReport>) -> Self {
        let address = answer.address;
        match answer.answer {
            Ok(report) => Self {
                address,
                report: Some(report),
                error: None,
            },
            Err(error) => Self {
                address,
                report: None,
                error: Some(error.reason),
            },
        }
    }
}

/// Column titles. The load counts the requests that this daemon has granted,
/// as a fraction of the slots of its servers.
const TITLES: [&str; 8] = [
    "ADDRESS",
    "VM",
    "DATA CENTRE",
    "REVISION",
    "READY",
    "REPLICAS",
    "LOAD",
    "QUEUED",
];

impl fmt::Display for StatusTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = vec![TITLES.map(str::to_owned)];
        lines.extend(self.daemons.iter().map(status_line));
        let mut widths = [0; TITLES.len()];
        for line in &lines {
            for (width, cell) in widths.iter_mut().zip(line) {
                *width = cell.len().max(*width);
            }
        }
        for line in &lines {
            let cells = line.iter().zip(widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{}", padded.join("  ").trim_end())?;
        }
        for daemon in &self.daemons {
            if let Some(error) = &daemon.error {
                writeln!(formatter, "{}: {error}", daemon.address)?;
            }
        }
        Ok(())
    }
}

fn status_line(daemon: &DaemonStatus) -> [String; TITLES.len()] {
    let address = daemon.address.to_string();
    let Some(report) = &daemon.report else {
        let mut line = [const { String::new() }; TITLES.len()].map(|_| "-".to_owned());
        line[0] = address;
        return line;
    };
    let servers: Vec<&ServerStatus> = report.pools.iter().flat_map(|pool| &pool.servers).collect();
    let is_active = |server: &&&ServerStatus| server.state == ServerState::Active;
    let active = servers.iter().filter(is_active).count();
    let slots: u64 = servers.iter().map(|server| u64::from(server.slots)).sum();
    let in_flight: u64 = report.pools.iter().map(|pool| pool.in_flight).sum();
    let queued: u64 = report.pools.iter().map(|pool| pool.queued).sum();
    [
        address,
        report.vm.clone(),
        report.data_centre.clone(),
        report.revision.to_string(),
        readiness_text(report).to_owned(),
        format!("{active}/{}", servers.len()),
        format!("{in_flight}/{slots}"),
        queued.to_string(),
    ]
}

fn readiness_text(report: &StatusReport) -> &'static str {
    match (report.draining, report.ready) {
        (true, _) => "draining",
        (false, true) => "yes",
        (false, false) => "no",
    }
}
