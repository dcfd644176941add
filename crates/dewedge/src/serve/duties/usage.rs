//! Counts requests, collects the counts of all VMs, and reports them.
//!
//! Each VM sends its counts to the holder of the duty and to the next candidates,
//! which so can take over. The holder writes a report to the store before it
//! sends it, and sends what the store has.
//!
//! The main invariant: only a report that is the store's latest is sent.

use std::net::SocketAddr;
use std::time::Duration;

use dewduty::lease::{Authority, DutySubject};
use dewduty::truetime::ClockEstimate;
use dewduty::usage::{
    ACK_MAGIC, ReportPlan, SHARE_MAGIC, UsageAck, UsageCollector, UsageMeter, UsagePolicy,
    UsageShare, VmHash, WrittenReport,
};
use indexmap::IndexMap;

use crate::clock::Moment;
use crate::directory::stable_hash;
use crate::format::{ApiResponse, DutyCall, PlatformFormat, StoreResponse};
use crate::settings::DutySettings;

use super::super::state::EdgeState;
use super::DutyState;

/// Candidates beside the holder that receive the counts of each VM.
const STANDBY_RECEIVERS: usize = 2;

/// How often a process that ends sends its counts.
const LAST_SENDS: u32 = 3;

/// Time after a failed attempt to write a report until the next one.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// Names of VMs without counts that a log line has.
const MAX_LOGGED_VMS: usize = 8;

/// Returns whether a datagram is about usage.
pub(super) fn is_usage_datagram(bytes: &[u8]) -> bool {
    bytes.starts_with(&SHARE_MAGIC) || bytes.starts_with(&ACK_MAGIC)
}

/// State of the usage reports on this VM.
#[derive(Debug)]
pub(super) struct UsageDesk {
    meter: UsageMeter,
    collector: UsageCollector,
    /// Names of the VMs by their hashes.
    vm_names: IndexMap<VmHash, String>,
    vms_changed: bool,
    /// Revision of the written report, once it is known; 0 if there is none.
    report_revision: Option<u64>,
    /// Revision of the store as of which that is known.
    report_as_of: u64,
    /// The written report as the store has it.
    stored: Option<WrittenReport>,
    /// Whether a report is being written.
    is_writing: bool,
    /// Until when no report is written, because the last one couldn't be.
    write_pause_until: Moment,
    /// Token of the authority under which this VM took over, if it holds the duty.
    holds: Option<u64>,
}

impl UsageDesk {
    pub(super) fn new(settings: &DutySettings, vm: VmHash, started: Duration) -> Self {
        let policy = UsagePolicy::new(settings.usage_window, settings.usage_due);
        let started_ms = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        Self {
            meter: UsageMeter::new(policy.clone(), vm, started_ms),
            collector: UsageCollector::new(policy, vm, started_ms),
            vm_names: IndexMap::new(),
            vms_changed: false,
            report_revision: None,
            report_as_of: 0,
            stored: None,
            is_writing: false,
            write_pause_until: Moment::ZERO,
            holds: None,
        }
    }

    pub(super) fn set_vms(&mut self, vms: &[String]) {
        let named = vms
            .iter()
            .map(|vm| (stable_hash(vm.as_bytes()), vm.clone()));
        self.vm_names = named.collect();
        self.vms_changed = true;
    }

    pub(super) fn next_due(&self, now: Moment, clock: &ClockEstimate) -> Moment {
        self.meter.next_due(now, clock)
    }

    /// Forgets the revision of the written report, because the store may have
    /// returned from an older copy.
    pub(super) fn begin_era(&mut self) {
        self.report_revision = None;
        self.report_as_of = 0;
        self.stored = None;
    }

    /// Notes that all records were read since this revision of the store; a report
    /// that wasn't among them isn't there.
    pub(super) fn on_listed(&mut self, revision: u64) {
        if self.report_revision.is_none() || self.report_as_of < revision {
            self.on_stored_report(None, 0, revision);
        }
    }

    /// Notes the report that the store has, and the revision at which it was written.
    /// A record that can't be read has a revision, but no report.
    pub(super) fn on_stored_report(
        &mut self,
        report: Option<WrittenReport>,
        revision: u64,
        as_of: u64,
    ) {
        if self.report_revision.is_some() && self.report_as_of > as_of {
            return;
        }
        self.report_revision = Some(revision);
        self.report_as_of = as_of;
        if let Some(report) = &report {
            self.meter.forget_reported(report.window);
            self.collector.record_written(report.clone());
        }
        self.stored = report;
    }

    /// Returns the last report that is written, as far as this VM knows.
    pub(super) fn stored(&self) -> Option<&WrittenReport> {
        self.stored.as_ref()
    }

    /// Begins to act as the holder if this VM has just become it.
    fn take_over(&mut self, authority: &Authority, unix: Duration) {
        if self.holds.replace(authority.token) != Some(authority.token) {
            self.collector.take_over(self.stored.clone(), unix);
        }
    }

    fn names_of(&self, vms: &[VmHash]) -> String {
        let names = vms.iter().map(|vm| match self.vm_names.get(vm) {
            Some(name) => name.clone(),
            None => format!("{vm:x}"),
        });
        names.take(MAX_LOGGED_VMS).collect::<Vec<_>>().join(",")
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Counts a request that a server began.
    pub(crate) fn count_begun(&mut self, exchange_id: usize) {
        let Some(usage) = self
            .duties
            .as_mut()
            .and_then(|duties| duties.usage.as_mut())
        else {
            return;
        };
        let workspace = &self.exchanges[exchange_id].workspace;
        if let Some(workspace) = workspace {
            usage
                .meter
                .record(stable_hash(workspace.as_bytes()), self.now);
        }
    }

    /// Sends the counts of this VM that are due.
    pub(super) fn send_usage(&mut self, duties: &mut DutyState<F>) {
        let receivers = usage_receivers(duties);
        let Some(usage) = &mut duties.usage else {
            return;
        };
        let unix = duties.clock.unix_at(self.now);
        if std::mem::take(&mut usage.vms_changed) {
            let vms: Vec<VmHash> = usage.vm_names.keys().copied().collect();
            usage.collector.set_vms(vms, unix);
        }
        let hashes = receivers.iter().map(|vm| stable_hash(vm.as_bytes()));
        usage.meter.set_receivers(hashes);
        let shares = usage.meter.next_report(self.now, &duties.clock);
        self.metrics
            .uncounted_requests
            .inc_by(usage.meter.take_late());
        for share in &shares {
            for vm in &receivers {
                if *vm == self.settings.vm {
                    let ack = usage.collector.receive(share, self.now, &duties.clock);
                    usage.meter.acknowledge(&ack);
                    continue;
                }
                for datagram in share.encode() {
                    self.send_to_vm(vm, &datagram);
                }
            }
        }
    }

    /// Sends the counts of a process that ends. It can't wait for replies, so it
    /// sends them several times.
    pub(crate) fn send_last_usage(&mut self) {
        self.with_duties(|state, duties| {
            for _ in 0..LAST_SENDS {
                if let Some(usage) = &mut duties.usage {
                    usage.meter.stop();
                }
                state.send_usage(duties);
            }
        });
    }

    /// Reads a datagram with counts, or the reply to one.
    pub(super) fn receive_usage_datagram(
        &mut self,
        duties: &mut DutyState<F>,
        bytes: &[u8],
        sender: SocketAddr,
    ) {
        let Some(usage) = &mut duties.usage else {
            return;
        };
        if let Some(share) = UsageShare::decode(bytes) {
            duties
                .clock
                .observe_peer(share.vm, share.sent_unix, self.now);
            let ack = usage.collector.receive(&share, self.now, &duties.clock);
            if ack.dropped > 0 {
                self.metrics.uncounted_requests.inc_by(ack.dropped);
                self.logs
                    .system("usage", "late")
                    .text("vm", &usage.names_of(&[share.vm]))
                    .number("window", share.window)
                    .number("requests", ack.dropped);
            }
            // The sender repeats counts whose reply is lost.
            let _ = self.peer_socket.send_to(&ack.encode(), sender);
        } else if let Some(ack) = UsageAck::decode(bytes) {
            let holder = duties.leases.holder(&DutySubject::Usage);
            let is_holder =
                holder.is_some_and(|holder| stable_hash(holder.vm.as_bytes()) == ack.receiver);
            if is_holder && let Some(unix) = ack.unix {
                duties.clock.observe_fleet(unix, self.now);
            }
            usage.meter.acknowledge(&ack);
        } else {
            self.metrics.malformed_duty_datagrams.inc();
        }
    }

    /// Returns the report that is to be sent now, or writes the next one.
    pub(super) fn next_usage_call(&mut self, duties: &mut DutyState<F>) -> Option<WrittenReport> {
        let authority = duties.leases.authority(&DutySubject::Usage, self.now);
        let usage = duties.usage.as_mut()?;
        let Some(authority) = authority else {
            usage.holds = None;
            return None;
        };
        let report_revision = usage.report_revision?;
        let unix = duties.clock.settled_at(self.now)?;
        usage.take_over(&authority, unix);
        if usage.is_writing {
            return None;
        }
        if let Some(report) = usage.collector.unaccepted() {
            return Some(report.clone());
        }
        if usage.write_pause_until > self.now {
            return None;
        }
        let plan = usage.collector.next_report(unix)?;
        let report = self.name_report(&plan, &authority);
        self.log_plan(usage, &plan, &report);
        usage.is_writing = true;
        self.call_duty(DutyCall::WriteReport {
            report,
            report_revision,
            holder_revision: authority.holder_revision,
        });
        None
    }

    /// Returns the report of a plan with the names of the workspaces.
    fn name_report(&self, plan: &ReportPlan, authority: &Authority) -> WrittenReport {
        let names = self.table.iter().flat_map(|table| table.workspaces());
        let by_hash: IndexMap<u64, &str> = names
            .map(|name| (stable_hash(name.as_bytes()), name))
            .collect();
        let counts = plan.totals.iter().filter_map(|(hash, count)| {
            let name = by_hash.get(hash)?;
            Some((name.to_string(), *count))
        });
        WrittenReport {
            window: plan.window,
            token: authority.token,
            counts: counts.collect(),
        }
    }

    fn log_plan(&mut self, usage: &UsageDesk, plan: &ReportPlan, report: &WrittenReport) {
        let known = report.total();
        let total: u64 = plan.totals.values().sum();
        let skipped = plan.skipped.end.saturating_sub(plan.skipped.start);
        self.logs
            .system("usage", "planned")
            .number("window", plan.window)
            .number("requests", known)
            .number("unknown_workspaces", total - known)
            .number("skipped_windows", skipped)
            .number("missing_vms", plan.missing.len() as u64)
            .text("missing", &usage.names_of(&plan.missing));
    }

    /// Applies the result of writing a report.
    pub(super) fn on_report_written(
        &mut self,
        duties: &mut DutyState<F>,
        report: WrittenReport,
        response: Option<&StoreResponse>,
    ) {
        let Some(usage) = &mut duties.usage else {
            return;
        };
        // Without a response, or after a conflict, the next report is written
        // under the revision that the store then has, so that at most one of both
        // is ever sent.
        usage.is_writing = false;
        match response {
            Some(StoreResponse::Committed(revision)) => {
                usage.on_stored_report(Some(report), *revision, *revision);
            }
            _ => usage.write_pause_until = self.now + WRITE_PAUSE,
        }
    }

    /// Applies the API's response to a report.
    pub(super) fn on_usage_reported(
        &mut self,
        duties: &mut DutyState<F>,
        report: &WrittenReport,
        response: Result<ApiResponse, &'static str>,
    ) {
        let Some(usage) = &mut duties.usage else {
            return;
        };
        match response {
            // A report that the API rejects isn't accepted later, either.
            Ok(ApiResponse::Accepted | ApiResponse::Rejected(_) | ApiResponse::Unavailable) => {
                usage.collector.record_accepted(report.window);
            }
            Ok(ApiResponse::Failed(_) | ApiResponse::Throttled) | Err(_) => {}
        }
    }
}

/// Returns the VMs that receive the counts: the holder and the next candidates.
fn usage_receivers<F>(duties: &DutyState<F>) -> Vec<String> {
    let subject = DutySubject::Usage;
    let holder = duties.leases.holder(&subject);
    let mut receivers: Vec<String> = holder.iter().map(|holder| holder.vm.clone()).collect();
    for vm in duties.leases.candidates(&subject, STANDBY_RECEIVERS + 1) {
        if receivers.len() <= STANDBY_RECEIVERS && receivers.iter().all(|known| known != vm) {
            receivers.push(vm.to_string());
        }
    }
    receivers
}
