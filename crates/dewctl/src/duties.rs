//! Shows which VM of a `dewnode` fleet holds which duty.
//!
//! Each VM shows the duties as it knows them. The holder with the highest fencing
//! token is the current one; VMs that show another, or none, are named.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admin::{AdminClient, DaemonAnswer};

/// Duties as one VM shows them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyReport {
    /// Holders that the VM knows.
    pub holders: Vec<HolderReport>,
    /// Last decisions of the duties that the VM holds itself.
    pub orders: Vec<OrderReport>,
    /// Last usage report that was written, if the VM knows one.
    pub report: Option<UsageReport>,
}

/// Holder of one duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderReport {
    /// What the duty is about.
    pub subject: String,
    /// Name of the holder.
    pub vm: String,
    /// Fencing token of the holder.
    pub token: u64,
    /// Time since the VM that shows it knows of the holder, in ms.
    pub held_ms: u64,
}

/// Last decision about the servers of a service in a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReport {
    /// The duty.
    pub subject: String,
    /// Desired regular servers.
    pub regular: u32,
    /// Desired interruptible servers.
    pub interruptible: u32,
    /// Age of the decision in ms.
    pub decided_ms: u64,
    /// The decision with its inputs.
    pub decision: String,
}

/// A usage report that was written to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// Fencing token of the holder that wrote it.
    pub token: u64,
    /// Number of workspaces with requests.
    pub workspaces: u64,
    /// Number of requests.
    pub requests: u64,
}

/// One duty with its holder, a row of the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DutyRow {
    /// The holder with the highest token.
    #[serde(flatten)]
    pub holder: HolderReport,
    /// VMs that show another holder or none, by their ready addresses.
    pub disagreeing: Vec<SocketAddr>,
}

/// A VM that didn't show its duties.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SilentNode {
    /// Ready address of the VM.
    pub address: SocketAddr,
    /// Why there is no answer.
    pub error: String,
}

/// Duties of a fleet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DutyTable {
    /// Duties, ordered by subject.
    pub duties: Vec<DutyRow>,
    /// Last decisions, ordered by subject.
    pub orders: Vec<OrderReport>,
    /// Latest written usage report.
    pub report: Option<UsageReport>,
    /// VMs that gave no answer.
    pub silent: Vec<SilentNode>,
}

impl DutyTable {
    /// Requests the duties of all VMs.
    pub fn fetch(client: &AdminClient) -> Self {
        Self::merge(client.fetch_duties())
    }

    /// Merges what the VMs show.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewctl::duties::DutyTable;
    ///
    /// assert!(DutyTable::merge(Vec::new()).is_consistent());
    /// ```
    pub fn merge(answers: Vec<DaemonAnswer<DutyReport>>) -> Self {
        let (mut shown, mut silent) = (Vec::new(), Vec::new());
        for DaemonAnswer { address, answer } in answers {
            match answer {
                Ok(report) => shown.push((address, report)),
                Err(error) => silent.push(SilentNode {
                    address,
                    error: error.reason,
                }),
            }
        }
        let mut orders: Vec<OrderReport> = shown
            .iter()
            .flat_map(|(_, report)| report.orders.iter().cloned())
            .collect();
        orders.sort_by(|one, other| one.subject.cmp(&other.subject));
        let reports = shown.iter().filter_map(|(_, report)| report.report.clone());
        Self {
            duties: duty_rows(&shown),
            orders,
            report: reports.max_by_key(|report| (report.window, report.token)),
            silent,
        }
    }

    /// Returns whether all VMs answered and show the same holders.
    pub fn is_consistent(&self) -> bool {
        self.silent.is_empty() && self.duties.iter().all(|duty| duty.disagreeing.is_empty())
    }
}

fn duty_rows(shown: &[(SocketAddr, DutyReport)]) -> Vec<DutyRow> {
    let mut holders: Vec<&HolderReport> = shown
        .iter()
        .flat_map(|(_, report)| &report.holders)
        .collect();
    // The current holder comes first, as the VM shows it that has known it longest.
    holders.sort_by(|one, other| {
        let newest = (other.token, other.held_ms).cmp(&(one.token, one.held_ms));
        one.subject.cmp(&other.subject).then(newest)
    });
    holders.dedup_by(|other, first| other.subject == first.subject);
    let rows = holders.into_iter().map(|holder| {
        let agrees = |report: &DutyReport| {
            report.holders.iter().any(|other| {
                let identity = (&other.subject, &other.vm, other.token);
                identity == (&holder.subject, &holder.vm, holder.token)
            })
        };
        let disagreeing = shown.iter().filter(|(_, report)| !agrees(report));
        DutyRow {
            holder: holder.clone(),
            disagreeing: disagreeing.map(|(address, _)| *address).collect(),
        }
    });
    rows.collect()
}

/// Column titles.
const TITLES: [&str; 4] = ["DUTY", "HOLDER", "TOKEN", "HELD FOR"];

impl fmt::Display for DutyTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = vec![TITLES.map(str::to_owned)];
        lines.extend(self.duties.iter().map(duty_line));
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
        if let Some(report) = &self.report {
            writeln!(
                formatter,
                "last usage report: window {}, {} requests of {} workspaces, token {}",
                report.window, report.requests, report.workspaces, report.token
            )?;
        }
        for order in &self.orders {
            let age = seconds(order.decided_ms);
            writeln!(
                formatter,
                "{}: {}, {age} ago",
                order.subject, order.decision
            )?;
        }
        for duty in &self.duties {
            for address in &duty.disagreeing {
                let subject = &duty.holder.subject;
                writeln!(
                    formatter,
                    "{address}: shows another holder of {subject}, or none"
                )?;
            }
        }
        for node in &self.silent {
            writeln!(formatter, "{}: {}", node.address, node.error)?;
        }
        Ok(())
    }
}

fn duty_line(duty: &DutyRow) -> [String; TITLES.len()] {
    let holder = &duty.holder;
    [
        holder.subject.clone(),
        holder.vm.clone(),
        holder.token.to_string(),
        seconds(holder.held_ms),
    ]
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", Duration::from_millis(ms).as_secs_f64())
}
