//! What the holder and the next candidates have received, and which window is to be
//! reported.
//!
//! Main invariant: the window of a plan is later than every window of which a report
//! is known to be written, and there is no plan while a written report may not have
//! been accepted.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::fleet::FleetVms;
use super::{
    MAX_VMS, MAX_WORKSPACES, ShareState, TIME_REQUEST, UsageAck, UsagePolicy, UsageShare, VmHash,
    WindowIndex, WorkspaceHash,
};
use crate::truetime::ClockEstimate;

/// Maximum number of counts that are kept, over all windows and processes; about
/// 80 MB.
const MAX_COUNTS: usize = 1 << 21;

/// Maximum number of processes whose counts in one window are kept.
const MAX_PROCESSES: usize = 2 * MAX_VMS;

/// Time by which the end of a window may come earlier for a VM than for the receiver.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// Share of the due time for which a report waits beyond the usual time while counts
/// still arrive or half of the VMs are missing. The rest of the due time is for the
/// store and the platform.
const PATIENCE: f64 = 0.2;

/// A report that is written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenReport {
    /// The window.
    pub window: WindowIndex,
    /// Fencing token of the holder that wrote it.
    pub token: u64,
    /// Counts by workspace.
    pub counts: IndexMap<String, u64>,
}

impl WrittenReport {
    /// Returns the sum of the counts. A report that was read may hold any counts.
    pub fn total(&self) -> u64 {
        self.counts.values().copied().fold(0, u64::saturating_add)
    }
}

/// A window that is to be reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportPlan {
    /// The window.
    pub window: WindowIndex,
    /// Counts by workspace.
    pub totals: IndexMap<WorkspaceHash, u64>,
    /// VMs whose counts are not known to be complete.
    pub missing: Vec<VmHash>,
    /// Windows before it of which there is no report.
    pub skipped: Range<WindowIndex>,
}

/// Counts of one process in one window.
#[derive(Debug, Default)]
struct CollectedShare {
    counts: IndexMap<WorkspaceHash, u32>,
    arrived: u64,
    final_total: Option<u64>,
}

impl CollectedShare {
    fn is_complete(&self) -> bool {
        self.final_total.is_some_and(|total| self.arrived >= total)
    }
}

/// Counts of one window.
#[derive(Debug, Default)]
struct CollectedWindow {
    shares: IndexMap<(VmHash, u64), CollectedShare>,
    grown_at: Duration,
    /// Since when shares of more than half of the VMs are there.
    majority_at: Option<Duration>,
}

/// Counts of the fleet, on the holder and on the next candidates.
///
/// # Examples
///
/// ```
/// use dewduty::usage::{UsageCollector, UsagePolicy};
/// use std::time::Duration;
///
/// let policy = UsagePolicy::new(Duration::from_secs(5), Duration::from_secs(10));
/// let mut collector = UsageCollector::new(policy, 1, 1_000_000);
/// collector.set_vms([1, 2], Duration::from_secs(1_000));
/// assert_eq!(collector.next_report(Duration::from_secs(1_020)), None);
/// ```
#[derive(Debug)]
pub struct UsageCollector {
    policy: UsagePolicy,
    vm: VmHash,
    started: u64,
    fleet: FleetVms,
    windows: BTreeMap<WindowIndex, CollectedWindow>,
    counts: usize,
    /// Last window of which a report is known to be written.
    reported: Option<WindowIndex>,
    written: Option<WrittenReport>,
    is_accepted: bool,
    /// What was in the reports that this VM made, by process.
    closed: BTreeMap<WindowIndex, IndexMap<(VmHash, u64), u64>>,
    planned: Option<WindowIndex>,
    observed_from: Option<Duration>,
    took_over_at: Option<Duration>,
}

impl UsageCollector {
    /// Creates the collector of a VM's process, with the Unix time in milliseconds at
    /// which it started.
    pub fn new(policy: UsagePolicy, vm: VmHash, started: u64) -> Self {
        UsageCollector {
            policy,
            vm,
            started,
            fleet: FleetVms::default(),
            windows: BTreeMap::new(),
            counts: 0,
            reported: None,
            written: None,
            is_accepted: true,
            closed: BTreeMap::new(),
            planned: None,
            observed_from: None,
            took_over_at: None,
        }
    }

    /// Sets the VMs that belong to the fleet.
    pub fn set_vms(&mut self, vms: impl IntoIterator<Item = VmHash>, unix: Duration) {
        self.observed_from.get_or_insert(unix);
        self.fleet.set_listed(vms, unix, self.policy.skip_age);
    }

    /// Begins to act as the holder, with the written report that the store holds. It
    /// is to be sent before anything else.
    pub fn take_over(&mut self, written: Option<WrittenReport>, unix: Duration) {
        self.observed_from.get_or_insert(unix);
        self.took_over_at = Some(unix);
        if let Some(written) = written {
            self.record_written(written);
        }
    }

    /// Merges a share and returns the reply. A share of a window that is reported
    /// changes nothing; the reply says what of it was dropped.
    pub fn receive(
        &mut self,
        share: &UsageShare,
        now: Duration,
        clock: &ClockEstimate,
    ) -> UsageAck {
        let unix = clock.unix_at(now);
        let current = self.policy.window_at(unix);
        self.observed_from.get_or_insert(unix);
        self.remove_old_windows(unix);
        self.learn_reported(share.reported.filter(|&window| window <= current));
        let returned = clock.settled_at(now).map(|_| clock.median(now));
        let returned = returned.filter(|_| share.vm != self.vm);
        let mut ack = UsageAck {
            receiver: self.vm,
            receiver_started: self.started,
            vm: share.vm,
            started: share.started,
            window: share.window,
            state: ShareState::Incomplete,
            arrived: 0,
            dropped: 0,
            unix: returned,
        };
        if share.window == TIME_REQUEST || !self.fleet.note_share(share, unix) {
            return ack;
        }
        if Some(share.window) <= self.reported {
            ack.state = ShareState::Reported;
            let in_report = self.in_report(share);
            ack.arrived = in_report.unwrap_or(0);
            ack.dropped = in_report.map_or(0, |arrived| share.total.saturating_sub(arrived));
            return ack;
        }
        // A window further ahead comes from a clock that is wrong.
        let is_open = share.window >= self.policy.oldest_at(unix) && share.window <= current + 1;
        if is_open && self.has_room(share) {
            let merged = self.merge(share, unix);
            ack.arrived = merged.arrived;
            if merged.is_complete() {
                ack.state = ShareState::Complete;
            }
        }
        ack
    }

    /// Returns the next window that is to be reported: one of which all VMs have sent
    /// their counts, or the longest wait is over.
    pub fn next_report(&mut self, unix: Duration) -> Option<ReportPlan> {
        self.remove_old_windows(unix);
        if self.unaccepted().is_some() {
            return None;
        }
        let oldest = *self.windows.keys().next()?;
        let begin = self.reported.map_or(oldest, |window| window + 1);
        let end = self.policy.window_at(unix);
        for window in begin.max(self.policy.oldest_at(unix))..end {
            if self.is_reportable(window, unix)? {
                self.planned = Some(window);
                return Some(self.plan(window, begin..window, unix));
            }
        }
        None
    }

    /// Returns the written report that may not have been accepted yet.
    pub fn unaccepted(&self) -> Option<&WrittenReport> {
        self.written.as_ref().filter(|_| !self.is_accepted)
    }

    /// Returns the last window of which a report is known to be written.
    pub fn reported(&self) -> Option<WindowIndex> {
        self.reported
    }

    /// Takes in the written report that the store holds, whichever VM wrote it. An
    /// older one than is known changes nothing, as after a restore of the store.
    pub fn record_written(&mut self, report: WrittenReport) {
        if Some(report.window) < self.reported || self.written.as_ref() == Some(&report) {
            return;
        }
        let is_repeat = self
            .written
            .as_ref()
            .is_some_and(|written| written.window == report.window);
        if is_repeat {
            return;
        }
        self.learn_reported(Some(report.window));
        self.written = Some(report);
        self.is_accepted = false;
    }

    /// Takes in that the platform has accepted the report of a window.
    pub fn record_accepted(&mut self, window: WindowIndex) {
        if self
            .written
            .as_ref()
            .is_some_and(|written| written.window <= window)
        {
            self.is_accepted = true;
        }
    }

    /// Closes a window and the ones before it.
    fn learn_reported(&mut self, window: Option<WindowIndex>) {
        let Some(window) = window.filter(|&window| Some(window) > self.reported) else {
            return;
        };
        if self.planned == Some(window)
            && let Some(collected) = self.windows.get(&window)
        {
            let shares = collected.shares.iter();
            let arrived = shares
                .map(|(&process, share)| (process, share.arrived))
                .collect();
            self.closed.insert(window, arrived);
        }
        self.planned = None;
        self.reported = Some(window);
        self.remove_windows_before(window.saturating_add(1));
    }

    /// Returns what of a share is in the report, if this VM made it.
    fn in_report(&self, share: &UsageShare) -> Option<u64> {
        let closed = self.closed.get(&share.window)?;
        let arrived = closed.get(&(share.vm, share.started));
        Some(arrived.copied().unwrap_or(0))
    }

    /// Returns whether the counts of a process can be kept.
    fn has_room(&self, share: &UsageShare) -> bool {
        let process = (share.vm, share.started);
        let collected = self.windows.get(&share.window);
        collected.is_none_or(|collected| {
            collected.shares.len() < MAX_PROCESSES || collected.shares.contains_key(&process)
        })
    }

    fn merge(&mut self, share: &UsageShare, unix: Duration) -> &CollectedShare {
        let is_early = !share.is_last && unix + CLOCK_TOLERANCE < self.policy.end_of(share.window);
        let window = self.windows.entry(share.window).or_default();
        let process = (share.vm, share.started);
        let merged = window.shares.entry(process).or_default();
        let before = merged.arrived;
        for (&workspace, &count) in &share.counts {
            let has_room = self.counts < MAX_COUNTS && merged.counts.len() < MAX_WORKSPACES;
            match merged.counts.get_mut(&workspace) {
                Some(known) => {
                    merged.arrived += u64::from(count.saturating_sub(*known));
                    *known = count.max(*known);
                }
                None if has_room => {
                    merged.counts.insert(workspace, count);
                    merged.arrived += u64::from(count);
                    self.counts += 1;
                }
                None => {}
            }
        }
        if share.is_final && !is_early {
            merged.final_total = merged.final_total.max(Some(share.total));
        } else if Some(share.total) > merged.final_total {
            // The sender's clock has been corrected, so that the window goes on.
            merged.final_total = None;
        }
        if merged.arrived > before {
            window.grown_at = unix;
        }
        &window.shares[&process]
    }

    /// Returns whether a window can be reported; `None` if it is to be waited for.
    fn is_reportable(&mut self, window: WindowIndex, unix: Duration) -> Option<bool> {
        let end = self.policy.end_of(window);
        let has_shares = self.windows.contains_key(&window);
        if has_shares && self.missing_vms(window, unix).is_empty() {
            return Some(true);
        }
        let waited_until = end + self.policy.wait;
        if unix < waited_until {
            return None;
        }
        let has_majority = self.has_majority(window);
        let collected = self.windows.get_mut(&window);
        let (grown_at, majority_at) = collected.map_or((Duration::ZERO, None), |collected| {
            if has_majority {
                collected.majority_at.get_or_insert(unix);
            }
            (collected.grown_at, collected.majority_at)
        });
        let took_over_at = self.took_over_at.unwrap_or_default();
        let is_growing = unix < took_over_at.max(grown_at) + 2 * self.policy.send_interval;
        let since = majority_at.unwrap_or(took_over_at).max(waited_until);
        let deadline = since + self.policy.due.mul_f64(PATIENCE);
        if unix < deadline && (is_growing || !has_majority) {
            return None;
        }
        // VMs that are silent that long are rather frozen than unheard, and count
        // nothing.
        Some(match self.reported {
            Some(_) => has_shares,
            None => has_majority && self.has_observed(window),
        })
    }

    /// Returns whether this VM has listened during all of a window. A first report
    /// needs it; later ones follow a written report.
    fn has_observed(&self, window: WindowIndex) -> bool {
        let begin = self.policy.start_of(window);
        self.observed_from.is_some_and(|from| from <= begin)
    }

    /// Returns whether shares of more than half of the VMs are there that can have
    /// counted in a window.
    fn has_majority(&self, window: WindowIndex) -> bool {
        let Some(collected) = self.windows.get(&window) else {
            return false;
        };
        let senders = collected.shares.keys().map(|&(vm, _)| vm);
        let senders = senders.collect::<IndexSet<_>>();
        let counting = self.fleet.counting_vms(window);
        let (known, expected) = counting.fold((0, 0), |(known, expected), vm| {
            (known + usize::from(senders.contains(&vm)), expected + 1)
        });
        2 * known > expected || (expected == 0 && !senders.is_empty())
    }

    /// Returns the VMs of which the counts of a window may be incomplete.
    fn missing_vms(&self, window: WindowIndex, unix: Duration) -> Vec<VmHash> {
        let begin = self.policy.start_of(window);
        let gone_wait = self.policy.end_of(window) + 3 * self.policy.send_interval;
        let seen_since = if unix < gone_wait {
            begin
        } else {
            Duration::MAX
        };
        let shares = self.windows.get(&window).map(|collected| &collected.shares);
        let is_complete = |vm, started| {
            let share = shares.and_then(|shares| shares.get(&(vm, started)));
            share.is_some_and(CollectedShare::is_complete)
        };
        self.fleet.missing_vms(window, seen_since, is_complete)
    }

    fn plan(&self, window: WindowIndex, skipped: Range<WindowIndex>, unix: Duration) -> ReportPlan {
        let mut totals = IndexMap::new();
        let collected = self.windows.get(&window);
        let shares = collected
            .into_iter()
            .flat_map(|collected| collected.shares.values());
        for (&workspace, &count) in shares.flat_map(|share| &share.counts) {
            *totals.entry(workspace).or_default() += u64::from(count);
        }
        ReportPlan {
            window,
            totals,
            missing: self.missing_vms(window, unix),
            skipped,
        }
    }

    fn remove_old_windows(&mut self, unix: Duration) {
        let oldest = self.policy.oldest_at(unix);
        self.remove_windows_before(oldest);
        while self
            .closed
            .keys()
            .next()
            .is_some_and(|&window| window < oldest)
        {
            self.closed.pop_first();
        }
    }

    fn remove_windows_before(&mut self, window: WindowIndex) {
        let kept = self.windows.split_off(&window);
        let removed = std::mem::replace(&mut self.windows, kept);
        let shares = removed
            .values()
            .flat_map(|collected| collected.shares.values());
        self.counts -= shares.map(|share| share.counts.len()).sum::<usize>();
    }
}
