//! When the engines of a service have capacity for a request.
//!
//! The limits are those of [`reported_placement`](super::reported_placement), so
//! that the forecast doesn't contradict a choice. A prompt with a long shared
//! prefix goes to an engine that has read it, or, later, to one that has hardly any
//! requests; the forecast is the earlier of both.
//!
//! This handles bursts beyond the capacity of the engines, in which a request may
//! find its home full although other engines have room.
//!
//! The main invariant: the forecast errs towards capacity. Where it isn't known
//! which of the waiting requests compete for a home, few are assumed to.

use std::time::Duration;

use dewbacklog::{EngineRoom, RoomForecast, WaitingSum};

use super::engine_model::EngineModel;
use super::placement::{
    PlacementQuery, ReplicaView, SharedPrefix, backlog_limit_ms, has_capacity, long_prefix_key,
    max_requests, shared_prefix_tokens,
};
use super::stream_engines::{first_engines, spread_count};
use crate::format::PromptPart;

/// Slowness above which engines are reserved last, as in `reported_placement`.
const MAX_RESERVED_SLOWNESS: f64 = 1.25;

/// Requests of other homes that are assumed to wait here in addition to the known
/// ones, so that few known ones don't stand for those of all VMs.
const OTHER_HOMES: f64 = 10.0;

/// The engines that may take a request.
#[derive(Clone, Debug, Default)]
pub struct RequestRoom {
    /// All engines, for requests whose prefix they have.
    all: RoomForecast,
    /// For a prompt with a long prefix: those that have read it and the others.
    homes: Option<(RoomForecast, RoomForecast)>,
    any_holder: bool,
}

/// The requests that go before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestsAhead {
    /// Those at this VM.
    pub own: WaitingSum,
    /// Of these, the ones with the same home.
    pub same_home: f64,
    /// Those at other VMs.
    pub others: WaitingSum,
}

impl RequestsAhead {
    fn all(&self) -> WaitingSum {
        let mut all = self.own;
        all.add(&self.others);
        all
    }

    /// Returns those that are expected to have the same home: at other VMs the same
    /// part as here.
    fn at_home(&self) -> WaitingSum {
        let own = self.own.requests.max(1.0);
        let mut at_home = self.own.scaled((self.same_home / own).min(1.0));
        let part = self.same_home / (self.own.requests + OTHER_HOMES);
        at_home.add(&self.others.scaled(part.min(1.0)));
        at_home
    }
}

impl RequestRoom {
    /// Returns the room at the servers of a service, whose requests last
    /// `request_time` on average.
    pub fn of(
        query: &PlacementQuery<'_>,
        replicas: &[ReplicaView<'_>],
        model: &EngineModel,
        request_time: Duration,
    ) -> Self {
        let count = spread_count(replicas, model);
        let reserved = first_engines(replicas, count, |replica| {
            (replica.slowness > MAX_RESERVED_SLOWNESS, replica.hash)
        });
        let all_reserved = replicas
            .iter()
            .zip(&reserved)
            .all(|(replica, reserved)| *reserved || !replica.usable);
        let views = replicas.iter().zip(reserved);
        let views: Vec<&ReplicaView<'_>> = views
            .filter(|(_, reserved)| query.gap_sensitive || all_reserved || !*reserved)
            .filter(|(replica, _)| replica.usable && !replica.warming_up)
            .map(|(replica, _)| replica)
            .collect();
        // A prompt that has waited for long enough may be read again elsewhere.
        let patient = PlacementQuery {
            waited: Duration::MAX,
            ..query.clone()
        };
        let prefix = SharedPrefix::of(&patient, model);
        let limits = EngineLimits {
            query: &patient,
            prefix: &prefix,
            limit_ms: backlog_limit_ms(query, model),
            request_ms: request_time.as_secs_f64() * 1000.0,
        };
        let all = views
            .iter()
            .map(|view| limits.room(view, true, Duration::ZERO));
        let all = RoomForecast::new(all);
        if long_prefix_key(query.parts, model).is_none() {
            return Self {
                all,
                homes: None,
                any_holder: true,
            };
        }
        let prefix_ms = model.prefill_ms(prefix.tokens);
        let opens_in = Duration::from_secs_f64(prefix_ms / 1000.0).saturating_sub(query.waited);
        let (holders, others): (Vec<&ReplicaView<'_>>, _) = views.into_iter().partition(|view| {
            view.cached_parts.cached_tokens(query.parts, query.now) >= prefix.tokens
        });
        let any_holder = !holders.is_empty();
        let holders = holders.into_iter();
        let holders =
            RoomForecast::new(holders.map(|view| limits.room(view, true, Duration::ZERO)));
        let others = others.into_iter();
        let others = RoomForecast::new(others.map(|view| limits.room(view, false, opens_in)));
        Self {
            all,
            homes: Some((holders, others)),
            any_holder,
        }
    }

    /// Returns the time until the request can be sent.
    pub fn when_room(&self, ahead: &RequestsAhead, prefill_ms: f64) -> Duration {
        let by_fleet = self.all.when_room(&ahead.all(), prefill_ms);
        let Some((holders, others)) = &self.homes else {
            return by_fleet;
        };
        // Without a holder, the home is any of the engines.
        if !self.any_holder {
            return by_fleet;
        }
        let at_home = holders.when_room(&ahead.at_home(), prefill_ms);
        let elsewhere = others.when_room(&WaitingSum::default(), prefill_ms);
        at_home.min(elsewhere.max(by_fleet))
    }

    /// Returns the number of such requests that the engines accept now; at least
    /// one, which an engine was found for.
    pub fn room_now(&self, prefill_ms: f64) -> f64 {
        let room = match &self.homes {
            Some((holders, others)) if self.any_holder => {
                holders.room_now(prefill_ms) + others.room_now(prefill_ms)
            }
            _ => self.all.room_now(prefill_ms),
        };
        room.max(1.0)
    }

    /// Returns whether no engine is usable, so that no capacity can be forecast.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the forecast for all engines of the service.
    pub fn fleet(&self) -> &RoomForecast {
        &self.all
    }
}

/// What limits the requests of one kind at an engine.
struct EngineLimits<'a> {
    query: &'a PlacementQuery<'a>,
    prefix: &'a SharedPrefix,
    limit_ms: f64,
    request_ms: f64,
}

impl EngineLimits<'_> {
    fn room(&self, view: &ReplicaView<'_>, has_prefix: bool, opens_in: Duration) -> EngineRoom {
        let limit = max_requests(self.query, view, self.prefix, has_prefix);
        let scaled = (f64::from(limit) / view.slowness).round() as u32;
        let mut most = scaled.clamp(limit.min(1), view.slots.max(1));
        if !has_capacity(self.query, view, f64::INFINITY, u32::MAX) {
            // Its KV cache is full until a request ends.
            most = most.min(view.load.requests);
        }
        EngineRoom {
            backlog_ms: view.load.backlog_ms,
            slowness: view.slowness,
            limit_ms: self.limit_ms,
            requests: view.load.requests,
            max_requests: most,
            request_ms: self.request_ms,
            opens_in,
        }
    }
}

/// Returns the expected prefill time of a prompt, in ms, at an engine that has read
/// its shared parts.
pub fn expected_prefill_ms(parts: &[PromptPart], prompt_tokens: u32, model: &EngineModel) -> f64 {
    model.prefill_ms(prompt_tokens.saturating_sub(shared_prefix_tokens(parts)))
}

/// Returns the longest time from sending a request to its first event, if it is
/// sent to an engine at its limit that has to read the whole prompt.
pub fn expected_first_event(query: &PlacementQuery<'_>, model: &EngineModel) -> Duration {
    let prefill_ms = model.prefill_ms(query.prompt_tokens);
    let expected_ms = backlog_limit_ms(query, model) + prefill_ms + model.first_event_ms();
    Duration::from_secs_f64(expected_ms / 1000.0)
}
