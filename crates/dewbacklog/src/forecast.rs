//! When the engines have capacity for one more request.
//!
//! An engine accepts a prompt while the time in which its prefill backlog drains
//! is below a limit and it has fewer requests than allowed. The backlog drains at
//! one ms per ms, and requests end at a rate of their number by their mean
//! duration. Both give the number of prompts that each engine accepts up to a
//! time; the forecast is the earliest time at which all engines together have
//! accepted the requests ahead and one more.
//!
//! The main invariant: an engine that accepts a prompt now, by the limits that
//! placement uses, makes the forecast zero unless others are ahead.

use std::time::Duration;

use crate::backlog::WaitingSum;

/// Longest forecast; later times are reported as this.
pub const FORECAST_HORIZON: Duration = Duration::from_secs(60);

/// Halvings of the horizon, to a precision of 1 ms.
const HALVINGS: u32 = 16;

/// Least prefill time of a prompt that is assumed, in ms.
const MIN_PREFILL_MS: f64 = 0.1;

/// Least duration of a request that is assumed, in ms.
const MIN_REQUEST_MS: f64 = 1.0;

/// The load of an engine and its limits for one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineRoom {
    /// Prefill backlog at usual speed, in ms.
    pub backlog_ms: f64,
    /// Time that work takes, relative to the usual time.
    pub slowness: f64,
    /// Time to drain the backlog from which no prompt is accepted, in ms.
    pub limit_ms: f64,
    /// Requests that it runs.
    pub requests: u32,
    /// Requests from which no prompt is accepted.
    pub max_requests: u32,
    /// Mean duration of a request at usual speed, in ms.
    pub request_ms: f64,
    /// Time until the request may be sent there at all.
    pub opens_in: Duration,
}

impl EngineRoom {
    /// Returns the number of prompts that are accepted from now to a time, in ms.
    fn accepted_by(&self, at_ms: f64, prefill_ms: f64) -> f64 {
        if self.max_requests == 0 || at_ms < self.opens_in.as_secs_f64() * 1000.0 {
            return 0.0;
        }
        let free_ms = self.limit_ms - self.backlog_ms * self.slowness + at_ms;
        let by_backlog = (free_ms / (prefill_ms * self.slowness)).ceil();
        let running = f64::from(self.requests);
        let ended = running * at_ms / self.duration_ms();
        let by_requests = (f64::from(self.max_requests) - running + ended).floor();
        by_backlog.min(by_requests).max(0.0)
    }

    /// Returns the prompts that are accepted in each ms of a long overload.
    fn accepted_per_ms(&self, prefill_ms: f64) -> f64 {
        let by_prefill = 1.0 / (prefill_ms * self.slowness);
        by_prefill.min(f64::from(self.max_requests) / self.duration_ms())
    }

    fn duration_ms(&self) -> f64 {
        self.request_ms.max(MIN_REQUEST_MS) * self.slowness
    }
}

/// The engines that may take a request, as this VM knows them.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    engines: Vec<EngineRoom>,
}

impl RoomForecast {
    /// Creates the forecast for one kind of request.
    pub fn new(engines: impl IntoIterator<Item = EngineRoom>) -> Self {
        Self {
            engines: engines
                .into_iter()
                .filter(|engine| engine.slowness > 0.0)
                .collect(),
        }
    }

    /// Returns whether it knows no engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the time until a request can be sent that has others ahead.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbacklog::{EngineRoom, RoomForecast, WaitingSum};
    /// use std::time::Duration;
    ///
    /// let engine = EngineRoom {
    ///     backlog_ms: 700.0, slowness: 1.0, limit_ms: 500.0,
    ///     requests: 3, max_requests: 12, request_ms: 2000.0, opens_in: Duration::ZERO,
    /// };
    /// let forecast = RoomForecast::new([engine]);
    /// let room = forecast.when_room(&WaitingSum::default(), 100.0);
    /// assert_eq!(room.as_millis(), 200);
    /// let ahead = WaitingSum { requests: 2.0, prefill_ms: 200.0 };
    /// assert_eq!(forecast.when_room(&ahead, 100.0).as_millis(), 400);
    /// ```
    pub fn when_room(&self, ahead: &WaitingSum, prefill_ms: f64) -> Duration {
        let needed = ahead.requests.max(0.0) + 1.0;
        let mean_ms = ((ahead.prefill_ms + prefill_ms) / needed).max(MIN_PREFILL_MS);
        if self.accepted_by(0.0, mean_ms) >= needed {
            return Duration::ZERO;
        }
        let (mut early, mut late) = (0.0, FORECAST_HORIZON.as_secs_f64() * 1000.0);
        for _ in 0..HALVINGS {
            let middle = (early + late) / 2.0;
            match self.accepted_by(middle, mean_ms) >= needed {
                true => late = middle,
                false => early = middle,
            }
        }
        Duration::from_secs_f64(late / 1000.0)
    }

    /// Returns the number of prompts that the engines accept now.
    pub fn room_now(&self, prefill_ms: f64) -> f64 {
        self.accepted_by(0.0, prefill_ms.max(MIN_PREFILL_MS))
    }

    /// Returns the time that the engines need for requests, one after the other.
    pub fn drain_time(&self, waiting: &WaitingSum) -> Duration {
        if waiting.requests <= 0.0 {
            return Duration::ZERO;
        }
        let mean_ms = (waiting.prefill_ms / waiting.requests).max(MIN_PREFILL_MS);
        let rates = self.engines.iter();
        let rate: f64 = rates.map(|engine| engine.accepted_per_ms(mean_ms)).sum();
        let horizon = FORECAST_HORIZON.as_secs_f64();
        let seconds = match rate > 0.0 {
            true => waiting.requests / rate / 1000.0,
            false => horizon,
        };
        Duration::from_secs_f64(seconds.min(horizon))
    }

    fn accepted_by(&self, at_ms: f64, prefill_ms: f64) -> f64 {
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.accepted_by(at_ms, prefill_ms))
            .sum()
    }
}
