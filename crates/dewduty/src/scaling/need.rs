//! How many servers the requests of a service need, from recent observations.
//!
//! [`NeedHistory`] keeps the last observations of one planner. The need that
//! decides is the maximum over a sliding window, so that a wave of the load
//! isn't followed down. [`wave_period`] finds waves that are longer than the
//! default window.
//!
//! The main invariant: a need is finite and not negative, whatever is observed.

use std::collections::VecDeque;
use std::time::Duration;

use super::period::wave_period;
use super::{FleetObservation, MAX_INPUT_AGE, ServerCapacity};

/// Window over which the maximum of the need decides, unless the load shows a
/// wave with a longer period.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Time added to a detected period, because observations miss the very peak.
const WINDOW_MARGIN: Duration = Duration::from_secs(2);

/// Age at which samples are dropped. It spans two and a half of the longest
/// periods that are detected.
const HISTORY_SPAN: Duration = Duration::from_secs(150);

/// Share of the running requests by which they may grow within the boot time
/// without a shortage. It isn't added to waiting and refused requests: these
/// show that the growth has come.
const HEADROOM: f64 = 0.5;

/// Largest growth by trend within the boot time, as a share of the load. A jump
/// looks like a steep trend in the seconds after it.
const MAX_TREND: f64 = 1.0;

/// Least number of samples that show a trend.
const TREND_SAMPLES: usize = 3;

/// Ratio of the span over which a trend is measured to the boot time. Over one
/// boot time, the trend that a jump to the threefold shows is larger than the
/// headroom, which would order servers beyond what the jump needs.
const TREND_SPAN: u32 = 2;

/// Least span over which a trend is measured.
const MIN_TREND_SPAN: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct NeedSample {
    at: Duration,
    /// Servers that the requests in flight and in queues need.
    load: f64,
    /// Servers that the requests in flight need.
    running: f64,
    /// Servers that unread prompts need.
    backlog: f64,
    /// Refused requests since the sample before.
    refused: f64,
    /// Need without headroom.
    base: f64,
    /// Need with trend and headroom.
    need: f64,
}

/// Need of a service over all data centres, in servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetNeed {
    /// Need without headroom at the last observation.
    pub current: f64,
    /// Maximum over the window of the need without headroom.
    pub base: f64,
    /// Maximum over the window of the need with trend and headroom.
    pub peak: f64,
    /// The window.
    pub window: Duration,
    /// Whether recent observations cover the whole window.
    pub is_covered: bool,
}

/// The last observations of a planner.
#[derive(Clone, Debug, Default)]
pub(super) struct NeedHistory {
    samples: VecDeque<NeedSample>,
    /// First and last time of the recent valid observations without a gap.
    covered: Option<(Duration, Duration)>,
}

impl NeedHistory {
    /// Adds an observation. Returns whether its numbers are valid and recent.
    /// Invalid ones are ignored; old ones count, but don't cover their time.
    pub fn record(
        &mut self,
        observation: &FleetObservation,
        boot_time: Duration,
        now: Duration,
    ) -> bool {
        let Some(capacity) = usable_capacity(&observation.capacity) else {
            return false;
        };
        let numbers = [
            observation.in_flight,
            observation.queued,
            observation.refused,
            observation.backlog_ms,
        ];
        if numbers.iter().any(|number| !(0.0..1e9).contains(number)) {
            return false;
        }
        let load = (observation.in_flight + observation.queued) / capacity;
        let backlog = match observation.capacity.backlog_ms {
            limit if limit > 0.0 => observation.backlog_ms / limit,
            _ => 0.0,
        };
        let mut sample = NeedSample {
            at: now,
            load,
            running: observation.in_flight / capacity,
            backlog,
            refused: observation.refused / capacity,
            base: 0.0,
            need: 0.0,
        };
        // A backlog that is gone by the next observation is read before new
        // servers are up.
        let lasting_backlog = self
            .samples
            .back()
            .map_or(0.0, |last| last.backlog.min(backlog));
        self.samples.push_back(sample);
        sample.base = (load + self.refused(boot_time, now)).max(lasting_backlog);
        let growth = self.trend(boot_time, now).min(load * MAX_TREND);
        let running = (observation.in_flight / capacity).max(lasting_backlog);
        sample.need = (sample.base + growth).max(running * (1.0 + HEADROOM));
        if let Some(last) = self.samples.back_mut() {
            *last = sample;
        }
        while self
            .samples
            .front()
            .is_some_and(|first| first.at + HISTORY_SPAN < now)
        {
            self.samples.pop_front();
        }
        let is_recent = observation.age <= MAX_INPUT_AGE;
        if is_recent {
            self.covered = match self.covered {
                Some((first, last)) if now <= last + MAX_INPUT_AGE => Some((first, now)),
                _ => Some((now, now)),
            };
        }
        is_recent
    }

    /// Returns the need that decides at this time.
    pub fn need(&self, now: Duration) -> FleetNeed {
        let window = self.window();
        let mut need = FleetNeed {
            current: self.samples.back().map_or(0.0, |last| last.base),
            window,
            is_covered: self
                .covered
                .is_some_and(|(first, last)| last == now && now >= first + window),
            ..FleetNeed::default()
        };
        for sample in self.since(now.saturating_sub(window)) {
            need.base = need.base.max(sample.base);
            need.peak = need.peak.max(sample.need);
        }
        need
    }

    fn window(&self) -> Duration {
        let loads: Vec<f64> = self.samples.iter().map(|sample| sample.load).collect();
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return DEFAULT_WINDOW;
        };
        let spacing = (last.at - first.at).div_f64((loads.len().max(2) - 1) as f64);
        wave_period(&loads, spacing)
            .map_or(DEFAULT_WINDOW, |period| period + WINDOW_MARGIN)
            .max(DEFAULT_WINDOW)
    }

    fn since(&self, start: Duration) -> impl Iterator<Item = &NeedSample> {
        self.samples
            .iter()
            .rev()
            .take_while(move |sample| sample.at >= start)
    }

    /// Returns the servers that refused requests of the last boot time need.
    fn refused(&self, boot_time: Duration, now: Duration) -> f64 {
        self.since(now.saturating_sub(boot_time))
            .map(|sample| sample.refused)
            .sum()
    }

    /// Returns by how much the requests in flight grow within the boot time, in
    /// servers, if they go on like lately. Queues don't show a trend: they grow
    /// until servers are up that may be ordered already.
    fn trend(&self, boot_time: Duration, now: Duration) -> f64 {
        let span = (boot_time * TREND_SPAN).max(MIN_TREND_SPAN);
        let points: Vec<(f64, f64)> = self
            .since(now.saturating_sub(span))
            .map(|sample| (sample.at.as_secs_f64(), sample.running))
            .collect();
        if points.len() < TREND_SAMPLES {
            return 0.0;
        }
        let count = points.len() as f64;
        let mean_time = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_load = points.iter().map(|point| point.1).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (time, load) in points {
            covariance += (time - mean_time) * (load - mean_load);
            variance += (time - mean_time).powi(2);
        }
        if variance <= 0.0 {
            return 0.0;
        }
        (covariance / variance * boot_time.as_secs_f64()).max(0.0)
    }
}

/// Returns the requests that one server takes, if the capacity is known.
fn usable_capacity(capacity: &ServerCapacity) -> Option<f64> {
    let slots = f64::from(capacity.slots);
    let requests = match (capacity.requests, capacity.slots) {
        (requests, 0) => requests,
        (requests, _) if requests > 0.0 => requests.min(slots),
        _ => slots,
    };
    (requests.is_finite() && requests > 0.0).then_some(requests)
}
