//! What one VM has counted, and what of it is to be sent.
//!
//! Main invariant: a count stays here until a report of its window is written, so
//! that a new holder can receive it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use indexmap::IndexMap;

use super::{
    MAX_VMS, MAX_WORKSPACES, ShareState, TIME_REQUEST, UsageAck, UsagePolicy, UsageShare, VmHash,
    WindowIndex, WorkspaceHash,
};
use crate::truetime::ClockEstimate;

/// Time that the records of one slot are apart at most. An error of this size at the
/// border of a window is far below the tolerance of a report.
const SLOT_TIME: Duration = Duration::from_millis(10);

/// Maximum number of slots; more than a process needs until it knows the time.
const MAX_SLOTS: usize = 1024;

/// Time after the end of a window from which it is final, because the estimate of
/// true time may fall by the latency of a datagram.
const FINAL_DELAY: Duration = Duration::from_millis(100);

/// Records of a few milliseconds that aren't assigned to a window yet.
#[derive(Debug)]
struct RecordSlot {
    begins_at: Duration,
    counts: IndexMap<WorkspaceHash, u32>,
}

/// What a receiver has replied about a window.
#[derive(Clone, Copy, Debug)]
struct ReceiverState {
    arrived: u64,
    is_complete: bool,
}

/// Counts of a window.
#[derive(Debug, Default)]
struct WindowCounts {
    counts: IndexMap<WorkspaceHash, u32>,
    total: u64,
    receivers: IndexMap<VmHash, ReceiverState>,
}

impl WindowCounts {
    /// Adds a count; returns whether there was room for it.
    fn add(&mut self, workspace: WorkspaceHash, count: u32) -> bool {
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            return false;
        }
        let sum = self.counts.entry(workspace).or_default();
        let added = count.min(u32::MAX - *sum);
        *sum += added;
        self.total += u64::from(added);
        true
    }

    fn is_known_to(&self, receiver: &VmHash, is_final: bool) -> bool {
        self.receivers
            .get(receiver)
            .is_some_and(|state| state.arrived >= self.total && (state.is_complete || !is_final))
    }
}

/// What the process of a VM has counted.
///
/// # Examples
///
/// ```
/// use dewduty::truetime::ClockEstimate;
/// use dewduty::usage::{UsageMeter, UsagePolicy};
/// use std::time::Duration;
///
/// let policy = UsagePolicy::new(Duration::from_secs(5), Duration::from_secs(10));
/// let mut meter = UsageMeter::new(policy, 7, 1_000_000);
/// let mut clock = ClockEstimate::new();
/// let now = Duration::from_secs(50);
/// clock.observe_own(Duration::from_secs(1_000), now);
/// clock.observe_fleet(Duration::from_secs(1_000), now);
/// meter.record(42, now);
/// let shares = meter.next_report(now, &clock);
/// assert_eq!(shares[0].window, 200);
/// assert_eq!(shares[0].counts[&42], 1);
/// ```
#[derive(Debug)]
pub struct UsageMeter {
    policy: UsagePolicy,
    vm: VmHash,
    started: u64,
    slots: VecDeque<RecordSlot>,
    windows: BTreeMap<WindowIndex, WindowCounts>,
    first: Option<WindowIndex>,
    reported: Option<WindowIndex>,
    receivers: Vec<VmHash>,
    receiver_starts: IndexMap<VmHash, u64>,
    sent_at: Option<Duration>,
    is_stopped: bool,
    late: u64,
}

impl UsageMeter {
    /// Creates the meter of a process, with the Unix time in milliseconds at which it
    /// started.
    pub fn new(policy: UsagePolicy, vm: VmHash, started: u64) -> Self {
        UsageMeter {
            policy,
            vm,
            started,
            slots: VecDeque::new(),
            windows: BTreeMap::new(),
            first: None,
            reported: None,
            receivers: Vec::new(),
            receiver_starts: IndexMap::new(),
            sent_at: None,
            is_stopped: false,
            late: 0,
        }
    }

    /// Counts a request that a server began. Its window is determined when the counts
    /// are next sent, by what is then known of true time.
    pub fn record(&mut self, workspace: WorkspaceHash, now: Duration) {
        let has_room = self.slots.len() < MAX_SLOTS;
        let is_in_last = |slot: &RecordSlot| now < slot.begins_at + SLOT_TIME;
        if has_room && !self.slots.back().is_some_and(is_in_last) {
            self.slots.push_back(RecordSlot {
                begins_at: now,
                counts: IndexMap::new(),
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            let count = slot.counts.entry(workspace).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Sets the VMs to which shares are sent. Counts that a new one doesn't know are
    /// sent again.
    pub fn set_receivers(&mut self, receivers: impl IntoIterator<Item = VmHash>) {
        self.receivers = receivers.into_iter().collect();
        let receivers = &self.receivers;
        let is_kept = |receiver: &VmHash| receivers.contains(receiver);
        self.receiver_starts.retain(|receiver, _| is_kept(receiver));
        for window in self.windows.values_mut() {
            window.receivers.retain(|receiver, _| is_kept(receiver));
        }
    }

    /// Returns the shares that are to be sent to all receivers now. While true time
    /// isn't known, the only one is a request for the time.
    pub fn next_report(&mut self, now: Duration, clock: &ClockEstimate) -> Vec<UsageShare> {
        if self.is_early(now) {
            return Vec::new();
        }
        let settled = clock.settled_at(now);
        let Some(unix) = settled.or_else(|| self.is_stopped.then(|| clock.unix_at(now))) else {
            self.sent_at = Some(now);
            return vec![self.time_request(clock.own_at(now))];
        };
        self.assign_records(now, unix);
        self.open_windows(unix);
        let due = self
            .windows
            .keys()
            .filter(|&&window| self.is_due(window, unix));
        let shares = due
            .map(|&window| self.share(window, unix, clock.own_at(now)))
            .collect::<Vec<_>>();
        if !shares.is_empty() {
            self.sent_at = Some(now);
        }
        shares
    }

    /// Returns when [`next_report`](Self::next_report) is to be called next.
    pub fn next_due(&self, now: Duration, clock: &ClockEstimate) -> Duration {
        let interval = self.policy.send_interval;
        let earliest = self.sent_at.map_or(now, |at| at + interval).max(now);
        let Some(unix) = clock.settled_at(now) else {
            return earliest;
        };
        let mut windows = self.windows.keys();
        let is_due = !self.slots.is_empty()
            || self.first.is_none()
            || windows.any(|&window| self.is_due(window, unix));
        if is_due {
            return earliest;
        }
        let current = self.policy.window_at(unix);
        let final_at = |window| self.policy.end_of(window) + self.final_delay();
        let next = Some(final_at(current.saturating_sub(1)))
            .filter(|&at| at > unix)
            .unwrap_or_else(|| final_at(current));
        (now + next.saturating_sub(unix)).max(earliest)
    }

    /// Takes in a reply.
    pub fn acknowledge(&mut self, ack: &UsageAck) {
        if ack.vm != self.vm || ack.started != self.started {
            return;
        }
        if ack.state == ShareState::Reported {
            self.forget_reported(ack.window);
            return;
        }
        let is_receiver = if self.receivers.is_empty() {
            self.receiver_starts.len() < MAX_VMS
        } else {
            self.receivers.contains(&ack.receiver)
        };
        if !is_receiver {
            return;
        }
        self.note_receiver(ack);
        if let Some(window) = self.windows.get_mut(&ack.window) {
            let state = ReceiverState {
                arrived: ack.arrived,
                is_complete: ack.state == ShareState::Complete,
            };
            window.receivers.insert(ack.receiver, state);
        }
    }

    /// Forgets a window of which a report is written, and the ones before it.
    pub fn forget_reported(&mut self, window: WindowIndex) {
        self.reported = self.reported.max(Some(window));
        self.windows = self.windows.split_off(&window.saturating_add(1));
    }

    /// Makes the counts final: the process counts nothing more. The shares that
    /// [`next_report`](Self::next_report) returns next don't wait for the interval.
    pub fn stop(&mut self) {
        self.is_stopped = true;
        self.sent_at = None;
    }

    /// Returns the number of records since the last call that came too late for
    /// their window or for which there was no room.
    pub fn take_late(&mut self) -> u64 {
        std::mem::take(&mut self.late)
    }

    fn is_early(&self, now: Duration) -> bool {
        let interval = self.policy.send_interval;
        self.sent_at
            .is_some_and(|at| now.saturating_sub(at) < interval)
    }

    /// Notices that a receiver has restarted, so that it knows nothing.
    fn note_receiver(&mut self, ack: &UsageAck) {
        let started = self
            .receiver_starts
            .insert(ack.receiver, ack.receiver_started);
        if started != Some(ack.receiver_started) {
            for window in self.windows.values_mut() {
                window.receivers.shift_remove(&ack.receiver);
            }
        }
    }

    /// Assigns the records to their windows.
    fn assign_records(&mut self, now: Duration, unix: Duration) {
        for slot in std::mem::take(&mut self.slots) {
            let age = now.saturating_sub(slot.begins_at);
            let window = self.policy.window_at(unix.saturating_sub(age));
            self.first = Some(self.first.map_or(window, |first| first.min(window)));
            let is_late = Some(window) <= self.reported;
            for (workspace, count) in slot.counts {
                let counts = self.windows.entry(window);
                if is_late || !counts.or_default().add(workspace, count) {
                    self.late += u64::from(count);
                }
            }
        }
    }

    /// Opens the windows up to the current one, so that empty ones are sent too, and
    /// forgets the ones that no holder reports any more.
    fn open_windows(&mut self, unix: Duration) {
        let current = self.policy.window_at(unix);
        let first = *self.first.get_or_insert(current);
        let after_reported = self.reported.map_or(0, |window| window.saturating_add(1));
        let oldest = self.policy.oldest_at(unix);
        let begin = first.max(after_reported).max(oldest);
        self.windows = self.windows.split_off(&begin);
        for window in begin..=current {
            self.windows.entry(window).or_default();
        }
    }

    /// Returns whether a receiver doesn't know the counts of a window.
    fn is_due(&self, window: WindowIndex, unix: Duration) -> bool {
        let Some(counts) = self.windows.get(&window) else {
            return false;
        };
        let is_final = self.is_final(window, unix);
        // The first share of a process announces it to the collectors.
        if counts.total == 0 && !is_final && self.first != Some(window) {
            return false;
        }
        if self.receivers.is_empty() {
            let mut receivers = counts.receivers.keys();
            !receivers.any(|receiver| counts.is_known_to(receiver, is_final))
        } else {
            let mut receivers = self.receivers.iter();
            !receivers.all(|receiver| counts.is_known_to(receiver, is_final))
        }
    }

    fn is_final(&self, window: WindowIndex, unix: Duration) -> bool {
        self.is_stopped || unix >= self.policy.end_of(window) + self.final_delay()
    }

    /// Returns the time after which a window is final. It differs between VMs, so
    /// that the last shares of a large fleet don't arrive at the same moment.
    fn final_delay(&self) -> Duration {
        let spread = (self.policy.send_interval / 2).as_millis().max(1);
        FINAL_DELAY + Duration::from_millis((u128::from(self.vm) % spread) as u64)
    }

    fn time_request(&self, own_unix: Duration) -> UsageShare {
        UsageShare {
            vm: self.vm,
            started: self.started,
            sent_unix: own_unix,
            window: TIME_REQUEST,
            first: TIME_REQUEST,
            reported: self.reported,
            is_final: false,
            is_last: false,
            total: 0,
            counts: IndexMap::new(),
        }
    }

    fn share(&self, window: WindowIndex, unix: Duration, own_unix: Duration) -> UsageShare {
        let counts = &self.windows[&window];
        UsageShare {
            vm: self.vm,
            started: self.started,
            sent_unix: own_unix,
            window,
            first: self.first.map_or(window, |first| first.min(window)),
            reported: self.reported,
            is_final: self.is_final(window, unix),
            is_last: self.is_stopped && self.windows.keys().next_back() == Some(&window),
            total: counts.total,
            counts: counts.counts.clone(),
        }
    }
}
