//! Estimates true time from the clocks of several VMs.
//!
//! Each VM reads its own wall clock, and receives readings of the wall clocks of
//! other VMs and the median that the holder of the usage duty returns. The
//! [`usage`](crate::usage) module assigns counts to windows by this estimate.
//!
//! Main invariant: what is passed on to other VMs comes from wall clocks alone. If
//! estimates were passed on, each exchange would add the latency of a datagram to the
//! fleet's time.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

/// Unix time minus the monotonic time of this VM, in milliseconds.
///
/// The monotonic clocks of two VMs differ, so VMs exchange readings of Unix time
/// and never offsets.
pub type ClockOffset = i64;

/// Change of the own offset between two readings from which it is a step.
const MIN_STEP_MS: ClockOffset = 250;

/// Clocks from which the median decides: the median of two can't tell which of
/// them is wrong.
const MIN_CLOCKS: usize = 3;

/// Age up to which a reading of another VM counts. An idle VM sends one per window.
const READING_AGE: Duration = Duration::from_secs(15);

/// Age up to which the holder's median counts.
const FLEET_AGE: Duration = Duration::from_secs(30);

/// Readings that are kept of each VM. The highest one counts, because a datagram
/// that waited in a queue can only make a clock appear behind.
const PEER_READINGS: usize = 3;

/// Medians of the holder that are kept.
const FLEET_READINGS: usize = 5;

/// Time for which a VM that knows the fleet's time collects the readings of others
/// before their median replaces it. All VMs send within this time.
const GATHER_TIME: Duration = Duration::from_secs(1);

/// Time after the first reading of the own clock from which it is used, if no
/// reading of another VM has arrived by then.
const START_TIME: Duration = Duration::from_secs(3);

/// Time between two calls from which the process is taken to have been frozen.
/// The own clock is read every 100 ms.
const FREEZE_TIME: Duration = Duration::from_secs(1);

/// Time after a freeze in which readings of others don't count, because they waited
/// in the queue of the socket during the freeze.
const THAW_TIME: Duration = Duration::from_millis(500);

/// Time between two calculations of the median over many VMs.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of VMs up to which each reading updates the median at once.
const SMALL_FLEET: usize = 16;

/// Maximum number of VMs whose readings are kept.
const MAX_VMS: usize = 1024;

/// An offset and when it was read.
#[derive(Clone, Copy, Debug)]
struct OffsetReading {
    offset: ClockOffset,
    read_at: Duration,
}

/// The own wall clock.
#[derive(Clone, Copy, Debug)]
struct OwnClock {
    first_look: Duration,
    offset: ClockOffset,
    /// Sum of the steps that are ignored.
    ignored: ClockOffset,
}

impl OwnClock {
    fn kept_offset(&self) -> ClockOffset {
        self.offset - self.ignored
    }
}

/// Estimate of true time on one VM.
///
/// # Examples
///
/// ```
/// use dewduty::truetime::ClockEstimate;
/// use std::time::Duration;
///
/// let mut clock = ClockEstimate::new();
/// let (unix, now) = (Duration::from_secs(1_000_000), Duration::from_secs(10));
/// clock.observe_own(unix, now);
/// // The own clock steps by 2.4 s, which the fleet doesn't confirm.
/// let later = Duration::from_millis(100);
/// clock.observe_own(unix + later + Duration::from_millis(2400), now + later);
/// assert_eq!(clock.unix_at(now + later), unix + later);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClockEstimate {
    own: Option<OwnClock>,
    peers: IndexMap<u64, VecDeque<OffsetReading>>,
    fleet: VecDeque<OffsetReading>,
    /// Median of the clocks of at least [`MIN_CLOCKS`] VMs.
    median: Option<ClockOffset>,
    median_at: Option<Duration>,
    /// Since when readings of other VMs have come without a longer break.
    hearing_since: Option<Duration>,
    called_at: Option<Duration>,
    thawed_at: Option<Duration>,
}

impl ClockEstimate {
    /// Creates an estimate without readings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a reading of the own wall clock.
    pub fn observe_own(&mut self, unix: Duration, now: Duration) {
        self.note_call(now);
        let offset = offset_of(unix, now);
        match &mut self.own {
            None => {
                self.own = Some(OwnClock {
                    first_look: now,
                    offset,
                    ignored: 0,
                });
            }
            Some(own) => {
                let change = offset.saturating_sub(own.offset);
                if change.abs() > MIN_STEP_MS {
                    own.ignored = own.ignored.saturating_add(change);
                }
                own.offset = offset;
            }
        }
        self.update(now);
    }

    /// Records the wall clock of another VM, as its reading arrived. The own clock is
    /// not to be recorded a second time this way.
    pub fn observe_peer(&mut self, vm: u64, unix: Duration, now: Duration) {
        self.note_call(now);
        if self.is_thawing(now) {
            return;
        }
        if !self.peers.contains_key(&vm) && self.peers.len() >= MAX_VMS {
            self.remove_old_readings(now);
            if self.peers.len() >= MAX_VMS {
                return;
            }
        }
        self.hearing_since.get_or_insert(now);
        let readings = self.peers.entry(vm).or_default();
        push_reading(readings, unix, now, PEER_READINGS);
        self.update(now);
    }

    /// Records the median that the holder returned, as it arrived.
    pub fn observe_fleet(&mut self, unix: Duration, now: Duration) {
        self.note_call(now);
        if self.is_thawing(now) {
            return;
        }
        push_reading(&mut self.fleet, unix, now, FLEET_READINGS);
        self.update(now);
    }

    /// Returns the best estimate of true time.
    pub fn unix_at(&self, now: Duration) -> Duration {
        let kept = || self.own.map(|own| own.kept_offset());
        let offset = self.fleet_decision(now).or_else(kept).unwrap_or(0);
        unix_of(offset, now)
    }

    /// Returns the best estimate of true time, unless it is the clock of a process
    /// that has just started and has received no reading of another VM.
    pub fn settled_at(&self, now: Duration) -> Option<Duration> {
        let is_settled = self.fleet_decision(now).is_some()
            || self
                .own
                .is_some_and(|own| now.saturating_sub(own.first_look) >= START_TIME);
        is_settled.then(|| self.unix_at(now))
    }

    /// Returns the reading of the own wall clock, for other VMs.
    pub fn own_at(&self, now: Duration) -> Duration {
        unix_of(self.own.map_or(0, |own| own.offset), now)
    }

    /// Returns the median of the recent readings of VMs, the own one included; the
    /// own clock without its steps if there are fewer than three.
    ///
    /// What other VMs returned is not part of it: two VMs that return each other's
    /// time would add the latency of their datagrams to it.
    pub fn median(&self, now: Duration) -> Duration {
        let kept = || self.own.map_or(0, |own| own.kept_offset());
        unix_of(self.median.unwrap_or_else(kept), now)
    }

    /// Returns the offset that the clocks of several VMs determine.
    fn fleet_decision(&self, now: Duration) -> Option<ClockOffset> {
        let fleet = self.fleet_offset(now);
        let is_gathering = self
            .hearing_since
            .is_none_or(|since| now.saturating_sub(since) < GATHER_TIME);
        match (self.median, fleet) {
            (Some(_), Some(fleet)) if is_gathering => Some(fleet),
            (Some(median), _) => Some(median),
            (None, fleet) => fleet,
        }
    }

    fn fleet_offset(&self, now: Duration) -> Option<ClockOffset> {
        let recent = self
            .fleet
            .iter()
            .filter(|reading| now.saturating_sub(reading.read_at) < FLEET_AGE);
        median_of(recent.map(|reading| reading.offset).collect())
    }

    /// Updates the median, and the own clock if the fleet contradicts it.
    fn update(&mut self, now: Duration) {
        let is_due = self.peers.len() <= SMALL_FLEET
            || self
                .median_at
                .is_none_or(|at| now.saturating_sub(at) >= MEDIAN_INTERVAL);
        if is_due {
            self.remove_old_readings(now);
            self.median = self.current_median();
            self.median_at = Some(now);
        }
        let decision = self.fleet_decision(now);
        if let (Some(offset), Some(own)) = (decision, &mut self.own)
            && (own.kept_offset() - offset).abs() > MIN_STEP_MS
        {
            own.ignored = own.offset - offset;
        }
    }

    fn current_median(&self) -> Option<ClockOffset> {
        let highest = |readings: &VecDeque<OffsetReading>| {
            readings.iter().map(|reading| reading.offset).max()
        };
        let peers = self.peers.values().filter_map(highest);
        let own = self.own.map(|own| own.offset);
        let offsets = peers.chain(own).collect::<Vec<_>>();
        (offsets.len() >= MIN_CLOCKS)
            .then(|| median_of(offsets))
            .flatten()
    }

    fn remove_old_readings(&mut self, now: Duration) {
        self.peers.retain(|_, readings| {
            readings.retain(|reading| now.saturating_sub(reading.read_at) < READING_AGE);
            !readings.is_empty()
        });
        if self.peers.is_empty() {
            self.hearing_since = None;
        }
    }

    /// Notices that the process was frozen.
    fn note_call(&mut self, now: Duration) {
        let gap = self.called_at.map(|at| now.saturating_sub(at));
        if gap.is_some_and(|gap| gap >= FREEZE_TIME) {
            self.thawed_at = Some(now);
        }
        self.called_at = Some(now);
    }

    fn is_thawing(&self, now: Duration) -> bool {
        self.thawed_at
            .is_some_and(|at| now.saturating_sub(at) < THAW_TIME)
    }
}

fn push_reading(
    readings: &mut VecDeque<OffsetReading>,
    unix: Duration,
    now: Duration,
    limit: usize,
) {
    if readings.len() >= limit {
        readings.pop_front();
    }
    readings.push_back(OffsetReading {
        offset: offset_of(unix, now),
        read_at: now,
    });
}

/// Returns the upper median: readings are late rather than early.
fn median_of(mut offsets: Vec<ClockOffset>) -> Option<ClockOffset> {
    if offsets.is_empty() {
        return None;
    }
    let middle = offsets.len() / 2;
    Some(*offsets.select_nth_unstable(middle).1)
}

fn offset_of(unix: Duration, now: Duration) -> ClockOffset {
    // Readings of up to 2^62 ms, so that no difference of two offsets overflows.
    let milliseconds = |time: Duration| time.as_millis().min(1 << 61) as ClockOffset;
    milliseconds(unix) - milliseconds(now)
}

fn unix_of(offset: ClockOffset, now: Duration) -> Duration {
    let shift = Duration::from_millis(offset.unsigned_abs());
    if offset < 0 {
        now.saturating_sub(shift)
    } else {
        now.saturating_add(shift)
    }
}
