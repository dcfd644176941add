//! Shows all daemons in one table.

use std::fmt;
use std::net::SocketAddr;

use dewspring::admin::{ServerState, ServerStatus, StatusReport};
use serde::Serialize;

use crate::admin::{AdminClient, DaemonAnswer};

/// One daemon's line of the table.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonStatus {
    /// Admin address of the daemon.
    pub address: SocketAddr,
    /// Its answer, if it gave one.
    pub report: Option<StatusReport>,
    /// Why it gave none.
    pub error: Option<String>,
}

/// The status of all daemons.
#[derive(Clone, Debug, Serialize)]
pub struct StatusTable {
    /// The daemons, in the order of the settings.
    pub daemons: Vec<DaemonStatus>,
}

impl StatusTable {
    /// Asks all daemons.
    pub fn open(client: &AdminClient) -> Self {
        let answers = client.status_of_all();
        Self {
            daemons: answers.into_iter().map(DaemonStatus::from).collect(),
        }
    }

    /// Returns whether every daemon gave an answer.
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

/// Titles of the columns. The load is what this daemon has granted.
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
        ready_text(report).to_owned(),
        format!("{active}/{}", servers.len()),
        format!("{in_flight}/{slots}"),
        queued.to_string(),
    ]
}

fn ready_text(report: &StatusReport) -> &'static str {
    match (report.draining, report.ready) {
        (true, _) => "draining",
        (false, true) => "yes",
        (false, false) => "no",
    }
}
