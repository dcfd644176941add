//! Simulation of a pool under load, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{BOOT, config, release, servers};
use crate::broker::estimate::request_work;
use crate::broker::{
    AttemptOutcome, BrokerSettings, BrokerState, Grant, GrantDecision, GrantRelease, GrantRequest,
    TicketDecision,
};
use crate::ids::{GrantId, ServerName};

/// Source of requests of one class at random times.
pub(super) struct LoadSource {
    /// The request that is sent each time.
    pub(super) request: GrantRequest,
    /// Mean time between two requests.
    pub(super) interval: Duration,
    /// Longest answer, in tokens; the shortest is a tenth of it.
    pub(super) answer: u64,
}

/// Results of the requests of one source.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadOutcome {
    pub(super) requested: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    /// Total time that the refused requests waited.
    pub(super) refused_wait: Duration,
}

/// How a server runs a request, given the time since the start: seconds per
/// token, and the outcome.
pub(super) type ServerBehaviour = fn(&Grant, &GrantRequest, Duration) -> (f64, AttemptOutcome);

/// A broker with simulated servers.
pub(super) struct LoadSimulation {
    state: BrokerState,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    sources: Vec<LoadSource>,
    behaviour: ServerBehaviour,
    arrivals: BinaryHeap<Reverse<(Instant, usize)>>,
    ends: BinaryHeap<Reverse<(Instant, GrantId)>>,
    waiting: IndexMap<GrantId, (usize, Instant)>,
    running: IndexMap<GrantId, (usize, Instant, GrantRelease)>,
    /// Results of each source.
    pub(super) outcomes: Vec<LoadOutcome>,
    /// Times of the grants for each server, since the start.
    pub(super) grants: IndexMap<ServerName, Vec<Duration>>,
}

impl LoadSimulation {
    /// Simulates a minute of requests to servers with these slots.
    pub(super) fn run(
        seed: u64,
        slots: &[u32],
        sources: Vec<LoadSource>,
        behaviour: ServerBehaviour,
    ) -> Self {
        let settings = BrokerSettings::new("vm", BOOT);
        Self::run_with(settings, seed, slots, sources, behaviour)
    }

    /// Simulates a minute of requests to a broker with these settings.
    pub(super) fn run_with(
        settings: BrokerSettings,
        seed: u64,
        slots: &[u32],
        sources: Vec<LoadSource>,
        behaviour: ServerBehaviour,
    ) -> Self {
        let start = Instant::now();
        let mut state = BrokerState::new(settings);
        state.configure(&config(1, servers(slots)), start);
        let mut simulation = Self {
            state,
            start,
            now: start,
            rng: SmallRng::seed_from_u64(seed),
            arrivals: (0..sources.len())
                .map(|index| Reverse((start, index)))
                .collect(),
            outcomes: vec![LoadOutcome::default(); sources.len()],
            sources,
            behaviour,
            ends: BinaryHeap::new(),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            grants: IndexMap::new(),
        };
        while simulation.step() {}
        simulation
    }

    fn step(&mut self) -> bool {
        let arrival = self.arrivals.peek().map(|&Reverse((at, _))| at);
        let end = self.ends.peek().map(|&Reverse((at, _))| at);
        let due = [arrival, end, self.state.next_wakeup()];
        let Some(now) = due.into_iter().flatten().min() else {
            return false;
        };
        self.now = now;
        if end == Some(now) {
            self.end_request();
        } else if arrival == Some(now) {
            self.arrive();
        } else {
            self.state.advance(now);
        }
        for decision in self.state.take_decisions() {
            self.apply_decision(decision);
        }
        true
    }

    fn arrive(&mut self) {
        let Reverse((_, index)) = self.arrivals.pop().expect("an event is due");
        let source = &self.sources[index];
        let next = self.now + source.interval.mul_f64(self.rng.random_range(0.0..2.0));
        if next < self.start + Duration::from_secs(60) {
            self.arrivals.push(Reverse((next, index)));
        }
        let ticket = self.state.request_grant(source.request.clone(), self.now);
        self.waiting.insert(ticket, (index, self.now));
        self.outcomes[index].requested += 1;
    }

    fn apply_decision(&mut self, decision: TicketDecision) {
        let waiting = self.waiting.swap_remove(&decision.ticket);
        let (index, requested_at) = waiting.expect("the request is queued");
        let GrantDecision::Granted(grant) = decision.decision else {
            let waited = self.now - requested_at;
            let outcome = &mut self.outcomes[index];
            outcome.refused += 1;
            outcome.refused_wait += waited;
            return;
        };
        let source = &self.sources[index];
        let elapsed = self.now - self.start;
        let (seconds_per_token, outcome) = (self.behaviour)(&grant, &source.request, elapsed);
        let mut release = release(grant.id);
        release.outcome = outcome;
        release.tokens = self.rng.random_range(source.answer / 10..=source.answer);
        let work = request_work(source.request.prompt_tokens, release.tokens);
        release.elapsed = Duration::from_secs_f64(seconds_per_token * work as f64);
        self.ends
            .push(Reverse((self.now + release.elapsed, grant.id)));
        self.running
            .insert(grant.id, (index, requested_at, release));
        self.grants.entry(grant.server).or_default().push(elapsed);
    }

    fn end_request(&mut self) {
        let Reverse((_, ticket)) = self.ends.pop().expect("an event is due");
        let (index, requested_at, release) = self
            .running
            .swap_remove(&ticket)
            .expect("the grant is active");
        let is_in_time = self.now - requested_at <= self.sources[index].request.target_left;
        let outcome = &mut self.outcomes[index];
        match release.outcome == AttemptOutcome::Completed && is_in_time {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
        self.state.release(&release, self.now);
    }
}
