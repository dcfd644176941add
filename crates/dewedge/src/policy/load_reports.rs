//! The load that servers report about themselves, and its age.
//!
//! A report counts the requests of all VMs, but it is stale on arrival, and many
//! VMs read the same one. It is therefore corrected by what is known to have
//! happened since, and gradually replaced by the load that this VM and the other
//! VMs' digests count.
//!
//! A report arrives with a response to this VM, or in a notice of another VM. The
//! newest by the time at which a VM received it from the server counts; one that
//! isn't newer than the last, or that is from before the server's last start,
//! changes nothing. A request counts in one of three ways:
//!
//! - in the report, unless it is one of this VM's that has ended since;
//! - as one of this VM's that was sent after the time of the report, until it
//!   ends;
//! - as an increase of the other VMs' digests after the arrival of the report. An
//!   increase before the arrival doesn't count on top: digests and notices are sent
//!   together, so such requests may be in the report. Those that aren't in it are
//!   missing until the next one.
//!
//! The slowness in a report is that of the machine at one moment and changes many
//! times a second. It is smoothed with a time constant that is learned from how
//! much successive values differ: values that differ at random are averaged, and
//! those that drift are followed. A cumulative sum of the deviations detects a
//! lasting change of one machine.
//!
//! [`reported_placement`](super::reported_placement) chooses servers by the
//! result. The main invariant: a service is affected only once one of its servers
//! has reported its slowness.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::format::LoadReport;

use super::engine_model::RunningMean;
use super::placement::{MAX_PLAIN_QUEUED, ReplicaView};

/// Time before the arrival of a report in which requests were sent too late to
/// be included in it; a round trip takes a few ms.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Lifetime of the counts in a report, in mean durations of a request. The
/// requests of a busy server are replaced after about one; its queue lasts
/// longer.
const LIFETIME_REQUESTS: f64 = 2.0;

/// Bounds of that lifetime. Digests, which replace the counts, are up to 400 ms
/// old.
const LIFETIME_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2000));

/// Prior of the mean duration of a request, in ms.
const PRIOR_REQUEST_MS: f64 = 250.0;

/// Time for which a server that refused a request counts as full, unless it names
/// another.
const FULL_TIME: Duration = Duration::from_millis(100);

/// Most sends that are remembered for each server; older ones are likely to be
/// included in the next report.
const MAX_REMEMBERED_SENDS: usize = 256;

/// Bounds of a reported slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Reported slowness from which a server is slow.
const SLOW_SLOWNESS: f64 = 1.4;

/// Reported slowness below which a slow server no longer is.
const FAST_SLOWNESS: f64 = 1.15;

/// Bounds of the ratio of a server's measured to its reported slowness.
const RESIDUAL_BOUNDS: (f64, f64) = (0.5, 4.0);

/// Weight of the newest measurement in the moving average of that ratio.
const RESIDUAL_WEIGHT: f64 = 0.15;

/// Prior of the variance of successive values of slowness.
const PRIOR_VARIANCE: f64 = 0.04;

/// Least variance that is assumed; values are multiples of 0.01.
const MIN_VARIANCE: f64 = 0.0001;

/// Share by which values two reports apart must differ more than successive ones
/// before they count as drifting. The error of the means is about 0.1; with that
/// margin, noise was followed at times.
const DRIFT_MARGIN: f64 = 0.25;

/// Bounds of the weight of a new value.
const GAIN_BOUNDS: (f64, f64) = (0.03, 0.98);

/// Prior of the time between two reports of a server, in seconds.
const PRIOR_REPORT_INTERVAL: f64 = 1.0;

/// Deviation, in standard deviations, that the cumulative sum forgives in each
/// report; half the smallest change that it detects.
const CHANGE_ALLOWANCE: f64 = 0.5;

/// Cumulative sum from which a change is lasting. It detects a change of two and
/// a half standard deviations after three reports.
const CHANGE_THRESHOLD: f64 = 5.0;

/// Largest deviation that one report adds, so that a single outlier isn't a
/// lasting change.
const MAX_DEVIATION: f64 = 3.0;

/// What the reports of a service's servers have in common.
#[derive(Clone, Debug, Default)]
pub struct ServiceReports {
    /// Squared difference between successive values of slowness.
    successive: RunningMean,
    /// Squared difference between values two reports apart.
    second: RunningMean,
    /// Time between two reports of a server, in seconds.
    interval: RunningMean,
    /// Duration of a request, in ms.
    request_ms: RunningMean,
}

impl ServiceReports {
    /// Records how long a request took that a server completed.
    pub fn record_request(&mut self, took: Duration) {
        self.request_ms.record(took.as_secs_f64() * 1000.0);
    }

    /// Returns the age at which the counts in a report expire.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::load_reports::ServiceReports;
    /// use std::time::Duration;
    ///
    /// let mut service = ServiceReports::default();
    /// let prior = service.lifetime();
    /// for _ in 0..100 {
    ///     service.record_request(Duration::from_millis(900));
    /// }
    /// assert!(service.lifetime() > prior);
    /// ```
    pub fn lifetime(&self) -> Duration {
        let mean_ms = self.request_ms.mean(PRIOR_REQUEST_MS);
        let (least, most) = LIFETIME_BOUNDS;
        Duration::from_secs_f64(LIFETIME_REQUESTS * mean_ms / 1000.0).clamp(least, most)
    }

    /// Returns the time constant with which slowness is smoothed.
    ///
    /// The model is a random walk that is seen with noise; the time constant is
    /// that of its Kalman filter.
    pub fn time_constant(&self) -> Duration {
        let drift = self.drift();
        let noise = ((self.variance() * 2.0 - drift) / 2.0).max(MIN_VARIANCE);
        let predicted = (drift + (drift * drift + 4.0 * drift * noise).sqrt()) / 2.0;
        let (least, most) = GAIN_BOUNDS;
        let gain = (predicted / (predicted + noise)).clamp(least, most);
        let interval = self.interval.mean(PRIOR_REPORT_INTERVAL);
        Duration::from_secs_f64(interval / -(1.0 - gain).ln())
    }

    /// Returns the variance of a value around the one before it.
    fn variance(&self) -> f64 {
        (self.successive.mean(2.0 * PRIOR_VARIANCE) / 2.0).max(MIN_VARIANCE)
    }

    /// Returns the variance of the change between two reports that isn't noise.
    fn drift(&self) -> f64 {
        let successive = self.successive.mean(2.0 * PRIOR_VARIANCE);
        let second = self.second.mean(2.0 * PRIOR_VARIANCE);
        (second - successive * (1.0 + DRIFT_MARGIN)).clamp(0.0, successive)
    }
}

/// Cumulative sum of the deviations in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeDetector {
    sum: f64,
    /// Sum and number of the values since the cumulative sum was zero.
    values: (f64, f64),
}

impl ChangeDetector {
    /// Adds a value; returns the mean and the number of the values since the
    /// change, if it is a lasting one.
    fn record(&mut self, deviation: f64, value: f64) -> Option<(f64, f64)> {
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.sum += deviation - CHANGE_ALLOWANCE;
        if self.sum <= 0.0 {
            *self = Self::default();
            return None;
        }
        self.values.0 += value;
        self.values.1 += 1.0;
        let (sum, count) = self.values;
        (self.sum > CHANGE_THRESHOLD).then_some((sum / count, count))
    }
}

/// Smoothed slowness of one server.
#[derive(Clone, Copy, Debug)]
struct SlownessEstimate {
    mean: f64,
    /// Values in the mean; the usual slowness counts as the first.
    count: f64,
    last: Option<f64>,
    before_last: Option<f64>,
    rising: ChangeDetector,
    falling: ChangeDetector,
}

impl Default for SlownessEstimate {
    fn default() -> Self {
        Self {
            mean: 1.0,
            count: 1.0,
            last: None,
            before_last: None,
            rising: ChangeDetector::default(),
            falling: ChangeDetector::default(),
        }
    }
}

impl SlownessEstimate {
    fn record(&mut self, value: f64, since_last: Option<Duration>, service: &mut ServiceReports) {
        let (least, most) = SLOWNESS_BOUNDS;
        let value = value.clamp(least, most);
        if let (Some(last), Some(interval)) = (self.last, since_last) {
            service.successive.record((value - last).powi(2));
            service.interval.record(interval.as_secs_f64());
        }
        if let Some(before_last) = self.before_last {
            service.second.record((value - before_last).powi(2));
        }
        self.before_last = self.last;
        self.last = Some(value);
        let deviation = (value - self.mean) / service.variance().sqrt();
        let rising = self.rising.record(deviation, value);
        let falling = self.falling.record(-deviation, value);
        if let Some((mean, count)) = rising.or(falling) {
            *self = Self {
                mean,
                count,
                last: self.last,
                before_last: self.before_last,
                ..Self::default()
            };
            return;
        }
        self.count += 1.0;
        let interval = since_last.unwrap_or_default().as_secs_f64();
        let smoothing = 1.0 - (-interval / service.time_constant().as_secs_f64()).exp();
        self.mean += smoothing.max(1.0 / self.count) * (value - self.mean);
    }
}

/// The last report of a server.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    requests: u32,
    slots: u32,
    /// When a VM received it from the server.
    received: Moment,
    /// Whether that was another VM.
    by_other_vm: bool,
    /// Requests of the other VMs according to their digests when the report
    /// arrived here; `None` until the digests are next summed.
    peer_requests: Option<u32>,
}

/// A request of this VM that has left the server.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    sent: Moment,
    ended: Moment,
}

/// A report that a choice takes into account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportAge {
    /// Requests that the server ran and that waited there.
    pub requests: u32,
    /// Time since a VM received the report from the server.
    pub age: Duration,
    /// Whether that was another VM.
    pub by_other_vm: bool,
}

/// What a server has reported, and what this VM knows to have happened since.
#[derive(Clone, Debug)]
pub struct ServerReports {
    last: Option<ReceivedReport>,
    /// Times of this VM's sends that the last report doesn't include; those of
    /// ended requests are removed.
    sends: VecDeque<Moment>,
    /// Requests of this VM that have ended since the last report.
    ends: VecDeque<EndedRequest>,
    /// How many of these the last report includes.
    ended: u32,
    /// When this VM learned of the server's last start. What is older concerns an
    /// earlier run.
    started: Moment,
    refused: Moment,
    full_until: Moment,
    slowness: SlownessEstimate,
    /// Whether the reported slowness is high; see [`Self::is_slow`].
    is_slow: bool,
    /// Ratio of the measured to the reported slowness.
    residual: f64,
}

impl Default for ServerReports {
    fn default() -> Self {
        Self {
            last: None,
            sends: VecDeque::new(),
            ends: VecDeque::new(),
            ended: 0,
            started: Moment::ZERO,
            refused: Moment::ZERO,
            full_until: Moment::ZERO,
            slowness: SlownessEstimate::default(),
            is_slow: false,
            residual: 1.0,
        }
    }
}

impl ServerReports {
    /// Records a report that has arrived. The one of a stream arrives with its
    /// first event, which the server sends at the same time.
    ///
    /// `peer_requests` are the requests of the other VMs at the server according
    /// to their digests.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::policy::load_reports::{ServerReports, ServiceReports};
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(9);
    /// let mut service = ServiceReports::default();
    /// let mut server = ServerReports::default();
    /// let report = LoadReport { running: 6, waiting: 1, slots: 6, slowness: Some(1.2) };
    /// server.record_report(report, 3, &mut service, now);
    /// server.record_send(now);
    /// assert_eq!(server.effective_requests(1, 5, service.lifetime(), now), 10);
    /// ```
    pub fn record_report(
        &mut self,
        report: LoadReport,
        peer_requests: u32,
        service: &mut ServiceReports,
        now: Moment,
    ) {
        self.apply(report, now, service);
        self.begin_peer_count(peer_requests);
    }

    /// Records a report that another VM received from the server at `heard_at`;
    /// returns whether it is newer than the last one and from the server's present
    /// run. [`begin_peer_count`](Self::begin_peer_count) must follow.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::policy::load_reports::{ServerReports, ServiceReports};
    /// use std::time::Duration;
    ///
    /// let heard_at = Duration::from_secs(9);
    /// let mut service = ServiceReports::default();
    /// let mut server = ServerReports::default();
    /// let report = LoadReport { running: 6, waiting: 1, slots: 6, slowness: Some(1.2) };
    /// assert!(server.record_notice(report, heard_at, &mut service));
    /// assert!(!server.record_notice(report, heard_at, &mut service));
    /// ```
    pub fn record_notice(
        &mut self,
        report: LoadReport,
        heard_at: Moment,
        service: &mut ServiceReports,
    ) -> bool {
        let newest = self.last.map_or(self.started, |last| last.received);
        if heard_at <= newest {
            return false;
        }
        self.apply(report, heard_at, service);
        if let Some(last) = &mut self.last {
            last.by_other_vm = true;
        }
        true
    }

    /// Records the requests of the other VMs according to their digests, if that is
    /// the first time since the last report.
    pub fn begin_peer_count(&mut self, peer_requests: u32) {
        if let Some(last) = &mut self.last {
            last.peer_requests.get_or_insert(peer_requests);
        }
    }

    /// Records that the server may have started, of which this VM learns at `now`.
    /// If nothing has been reported since, older reports are ignored.
    pub fn begin(&mut self, now: Moment) {
        if self.last.is_none() {
            self.started = now;
        }
    }

    fn apply(&mut self, report: LoadReport, heard_at: Moment, service: &mut ServiceReports) {
        let since_last = self.last.map(|last| heard_at.saturating_sub(last.received));
        if let Some(slowness) = report.slowness {
            self.slowness.record(slowness, since_last, service);
            let bound = match self.is_slow {
                true => FAST_SLOWNESS,
                false => SLOW_SLOWNESS,
            };
            self.is_slow = self.slowness.mean >= bound;
        }
        let made_at = heard_at.saturating_sub(ROUND_TRIP);
        self.sends.retain(|sent| *sent > made_at);
        self.ends.retain(|end| end.ended > heard_at);
        let included = self.ends.iter().filter(|end| end.sent <= made_at);
        self.ended = u32::try_from(included.count()).unwrap_or(u32::MAX);
        if self.refused <= heard_at {
            self.full_until = Moment::ZERO;
        }
        self.last = Some(ReceivedReport {
            requests: report.running.saturating_add(report.waiting),
            slots: report.slots,
            received: heard_at,
            by_other_vm: false,
            peer_requests: None,
        });
    }

    /// Records that a request was sent to the server.
    pub fn record_send(&mut self, now: Moment) {
        if self.sends.len() >= MAX_REMEMBERED_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Records that a request has ended that was sent at `sent`.
    ///
    /// `left` is whether it is known to have left the server since the last
    /// report. The report of a response that isn't a stream may not include its
    /// request any more, and without a response the server may still run it.
    pub fn record_end(&mut self, sent: Moment, left: bool, now: Moment) {
        if sent < self.started {
            return;
        }
        match self.sends.iter().position(|other| *other == sent) {
            Some(position) => {
                self.sends.remove(position);
            }
            None => self.ended += u32::from(left),
        }
        if left {
            if self.ends.len() >= MAX_REMEMBERED_SENDS {
                self.ends.pop_front();
            }
            self.ends.push_back(EndedRequest { sent, ended: now });
        }
    }

    /// Records that the server refused a request. It counts as full until its
    /// next report, or for `retry_after`.
    pub fn record_refusal(&mut self, retry_after: Option<Duration>, now: Moment) {
        self.refused = now;
        self.full_until = now + retry_after.unwrap_or(FULL_TIME);
    }

    /// Returns whether the server counts as full because of a refusal.
    pub fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    /// Records the ratio of the measured to the expected time to a first event.
    pub fn record_ratio(&mut self, ratio: f64) {
        let (least, most) = RESIDUAL_BOUNDS;
        let residual = (ratio / self.slowness.mean).clamp(least, most);
        self.residual += RESIDUAL_WEIGHT * (residual - self.residual);
    }

    /// Returns whether the server is slow, by its reports alone, which all VMs have.
    /// Hysteresis keeps the answer the same on VMs whose estimates differ slightly.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns the smoothed slowness that the server reports; 1 is normal.
    pub fn reported_slowness(&self) -> f64 {
        self.slowness.mean
    }

    /// Returns the slowness of the server: the reported one, corrected by what
    /// this VM measured.
    pub fn slowness(&self) -> f64 {
        self.slowness.mean * self.residual
    }

    /// Returns the last report, unless it has expired.
    pub fn valid_report(&self, lifetime: Duration, now: Moment) -> Option<ReportAge> {
        let last = self.last?;
        let age = now.saturating_sub(last.received);
        (age < lifetime).then_some(ReportAge {
            requests: last.requests,
            age,
            by_other_vm: last.by_other_vm,
        })
    }

    /// Returns the requests at the server: those that it reported and those that
    /// were sent since then by this VM and, according to their digests, by the
    /// others. With the age of the report, the requests that VMs count in flight
    /// replace it.
    ///
    /// `own` are the requests of this VM in flight, and `peer` those of the other
    /// VMs.
    pub fn effective_requests(&self, own: u32, peer: u32, lifetime: Duration, now: Moment) -> u32 {
        let counted = own.saturating_add(peer);
        let (Some(last), Some(valid)) = (self.last, self.valid_report(lifetime, now)) else {
            return counted;
        };
        let sent = u32::try_from(self.sends.len()).unwrap_or(u32::MAX);
        let peer_sent = last
            .peer_requests
            .map_or(0, |before| peer.saturating_sub(before));
        let reported = last.requests.saturating_sub(self.ended);
        let reported = reported.saturating_add(sent).saturating_add(peer_sent);
        let weight = 1.0 - valid.age.as_secs_f64() / lifetime.as_secs_f64();
        let excess = f64::from(reported) - f64::from(counted);
        let effective = f64::from(counted) + weight * excess;
        (effective.round() as u32).max(own)
    }

    /// Adapts a view of the server to what it reported. `own` are the requests of
    /// this VM in flight.
    pub fn adapt_view(
        &self,
        view: &mut ReplicaView<'_>,
        own: u32,
        lifetime: Duration,
        now: Moment,
    ) {
        let peer = view.load.requests.saturating_sub(own);
        view.load.requests = self.effective_requests(own, peer, lifetime, now);
        view.slowness = self.slowness();
        view.is_slow = self.is_slow;
        if view.kv_cache_tokens == 0
            && let Some(last) = self.last
        {
            view.slots = last.slots;
        }
        if self.is_full(now) {
            let full = view.slots.saturating_add(MAX_PLAIN_QUEUED);
            view.load.requests = view.load.requests.max(full);
        }
    }
}

/// The services whose servers report their slowness.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    services: IndexMap<String, ServiceReports>,
}

impl ReportTable {
    /// Returns what is known of a service, if its servers report their slowness.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::policy::load_reports::ReportTable;
    ///
    /// let mut table = ReportTable::default();
    /// let mut report = LoadReport { running: 1, waiting: 0, slots: 6, slowness: None };
    /// assert!(table.enable("draft", &report).is_none());
    /// report.slowness = Some(1.1);
    /// assert!(table.enable("draft", &report).is_some());
    /// assert!(table.get("draft").is_some());
    /// ```
    pub fn get(&self, service: &str) -> Option<&ServiceReports> {
        self.services.get(service)
    }

    /// Returns whether no server has reported its slowness.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the mutable state of a service, if its servers report their
    /// slowness.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut ServiceReports> {
        self.services.get_mut(service)
    }

    /// Returns the state of a service for recording a report; the first one with
    /// a slowness begins it.
    pub fn enable(&mut self, service: &str, report: &LoadReport) -> Option<&mut ServiceReports> {
        if report.slowness.is_some() && !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceReports::default());
        }
        self.services.get_mut(service)
    }
}
