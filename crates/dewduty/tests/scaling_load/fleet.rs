//! A fleet in numbers: callers, servers in data centres, and the platform that
//! takes orders. One step is 100 ms.
//!
//! Requests are amounts, not single ones: a server runs up to its capacity at
//! once, requests last [`REQUEST_SECONDS`] on average, and the others wait in
//! one queue in order of arrival. All VMs may use all data centres.

use std::collections::VecDeque;
use std::time::Duration;

use dewduty::scaling::{
    FleetObservation, OrderResult, ScalingLimits, ScalingPlanner, ServerCapacity, ServerCounts,
    ServerKind, ServerOrder,
};
use indexmap::IndexMap;

pub const STEP: Duration = Duration::from_millis(100);
pub const BOOT_TIME: Duration = Duration::from_secs(4);

/// Requests that a server runs at once.
const SERVER_REQUESTS: f64 = 10.0;

/// Mean time that a server runs a request.
const REQUEST_SECONDS: f64 = 2.0;

/// Relative noise of the arrivals of a step.
const ARRIVAL_NOISE: f64 = 0.3;

/// Time from the notice of a reclaim until the servers are gone.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Time until a call to a platform that doesn't answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from the last action of a holder until its successor acts.
const FAILOVER_TIME: Duration = Duration::from_secs(6);

/// Events of a play.
#[derive(Clone, Copy, Debug)]
pub enum PlayEvent {
    /// All interruptible servers of the data centre with this index leave.
    Reclaim(usize),
    /// The platform has no more servers of a kind there, or has them again.
    Unavailable(usize, ServerKind, bool),
    /// The data centre is dead, or back: its servers are gone, new ones don't
    /// come up.
    Dead(usize, bool),
    /// The platform's API doesn't answer, or answers again.
    ApiDown(bool),
    /// The holder of this data centre's duty fails.
    Failover(usize),
}

#[derive(Clone, Copy, Debug)]
struct BootingServers {
    kind: ServerKind,
    count: u32,
    ready_at: Duration,
}

#[derive(Debug)]
struct DataCentre {
    name: String,
    planner: ScalingPlanner,
    /// Time until which nobody holds the duty.
    vacant_until: Duration,
    counts: ServerCounts,
    booting: Vec<BootingServers>,
    gone_at: Duration,
    is_dead: bool,
    regular_unavailable: bool,
    interruptible_unavailable: bool,
    /// Last orders, regular and interruptible.
    ordered: [u32; 2],
    unanswered: Option<(ServerOrder, Duration)>,
}

/// What callers got, and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlayFigures {
    /// Requests, and those that found room at once.
    pub requests: f64,
    pub at_once: f64,
    /// Longest time that a request waited.
    pub longest_wait: Duration,
    /// Servers times seconds, and the same times price.
    pub server_seconds: f64,
    pub cost: f64,
    /// Server-seconds and cost of the fleet of the start.
    pub fixed_seconds: f64,
    pub fixed_cost: f64,
    /// Servers that decreases removed while they served.
    pub removed: u32,
    /// Orders sent.
    pub orders: u32,
    /// Orders that exceeded the limits of a data centre.
    pub beyond_limits: u32,
}

/// The callers, the servers and the planners.
#[derive(Debug)]
pub struct SimulatedFleet {
    limits: ScalingLimits,
    data_centres: Vec<DataCentre>,
    in_flight: f64,
    queue: VecDeque<(Duration, f64)>,
    api_down: bool,
    start_servers: u32,
    start_price: f64,
    random: u64,
    pub figures: PlayFigures,
}

impl SimulatedFleet {
    /// Returns a fleet with these regular servers in its data centres, that runs
    /// this load.
    pub fn new(limits: &ScalingLimits, regular: &[u32], load: f64, seed: u64) -> Self {
        let data_centres: Vec<DataCentre> = limits
            .prices
            .keys()
            .zip(regular)
            .map(|(name, count)| DataCentre {
                name: name.clone(),
                planner: ScalingPlanner::new(name.clone()),
                vacant_until: Duration::ZERO,
                counts: ServerCounts {
                    ready_regular: *count,
                    ..ServerCounts::default()
                },
                booting: Vec::new(),
                gone_at: Duration::ZERO,
                is_dead: false,
                regular_unavailable: false,
                interruptible_unavailable: false,
                ordered: [*count, 0],
                unanswered: None,
            })
            .collect();
        let start_price = data_centres
            .iter()
            .map(|data_centre| {
                f64::from(data_centre.counts.ready_regular) * limits.prices[&data_centre.name]
            })
            .sum();
        Self {
            limits: limits.clone(),
            start_servers: regular.iter().sum(),
            start_price,
            data_centres,
            in_flight: load,
            queue: VecDeque::new(),
            api_down: false,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            figures: PlayFigures::default(),
        }
    }

    /// Lets an event happen.
    pub fn apply(&mut self, event: PlayEvent, now: Duration) {
        match event {
            PlayEvent::Reclaim(index) => {
                let data_centre = &mut self.data_centres[index];
                data_centre.counts.leaving_interruptible = data_centre.counts.ready_interruptible;
                data_centre.counts.ready_interruptible = 0;
                data_centre.gone_at = now + LEAVE_TIME;
                data_centre
                    .booting
                    .retain(|booting| booting.kind == ServerKind::Regular);
            }
            PlayEvent::Unavailable(index, ServerKind::Regular, is_unavailable) => {
                self.data_centres[index].regular_unavailable = is_unavailable;
            }
            PlayEvent::Unavailable(index, ServerKind::Interruptible, is_unavailable) => {
                self.data_centres[index].interruptible_unavailable = is_unavailable;
            }
            PlayEvent::Dead(index, is_dead) => {
                let data_centre = &mut self.data_centres[index];
                data_centre.is_dead = is_dead;
                data_centre.booting.clear();
                data_centre.counts = ServerCounts::default();
                if !is_dead {
                    data_centre.counts.ready_regular = data_centre.ordered[0];
                    data_centre.counts.ready_interruptible = data_centre.ordered[1];
                }
            }
            PlayEvent::ApiDown(is_down) => self.api_down = is_down,
            PlayEvent::Failover(index) => {
                let data_centre = &mut self.data_centres[index];
                data_centre.planner = ScalingPlanner::new(data_centre.name.clone());
                data_centre.unanswered = None;
                data_centre.vacant_until = now + FAILOVER_TIME;
            }
        }
    }

    /// Returns the servers that take requests.
    pub fn ready(&self) -> u32 {
        let counts = self.data_centres.iter();
        counts.map(|data_centre| data_centre.counts.ready()).sum()
    }

    /// Runs one step with this load, in requests that would run at once if all
    /// found room.
    pub fn step(&mut self, load: f64, now: Duration) {
        self.run_requests(load, now);
        self.run_servers(now);
        let is_full_second = now.subsec_millis() == 0;
        let observation = self.observe();
        for data_centre in &mut self.data_centres {
            if now < data_centre.vacant_until {
                continue;
            }
            if is_full_second {
                data_centre.planner.observe(&observation, &self.limits, now);
            }
            data_centre.place_orders(self.api_down, &self.limits, &mut self.figures, now);
        }
    }

    fn run_requests(&mut self, load: f64, now: Duration) {
        let seconds = STEP.as_secs_f64();
        self.in_flight -= self.in_flight * seconds / REQUEST_SECONDS;
        let noise = 1.0 + ARRIVAL_NOISE * (2.0 * self.random() - 1.0);
        let arrivals = load / REQUEST_SECONDS * seconds * noise;
        let mut room = (f64::from(self.ready()) * SERVER_REQUESTS - self.in_flight).max(0.0);
        self.figures.requests += arrivals;
        while let Some((arrived, amount)) = self.queue.front_mut() {
            self.figures.longest_wait = self.figures.longest_wait.max(now - *arrived);
            let started = amount.min(room);
            *amount -= started;
            room -= started;
            self.in_flight += started;
            if *amount > 1e-9 {
                break;
            }
            self.queue.pop_front();
        }
        let started = if self.queue.is_empty() {
            arrivals.min(room)
        } else {
            0.0
        };
        self.in_flight += started;
        self.figures.at_once += started;
        if arrivals > started {
            self.queue.push_back((now, arrivals - started));
        }
    }

    fn run_servers(&mut self, now: Duration) {
        let seconds = STEP.as_secs_f64();
        for data_centre in &mut self.data_centres {
            data_centre.boot(now);
            let counts = data_centre.counts;
            let price = self.limits.prices[&data_centre.name];
            let regular = f64::from(counts.ready_regular + counts.leaving_regular);
            let interruptible =
                f64::from(counts.ready_interruptible + counts.leaving_interruptible);
            let discount = self.limits.interruptible_price.unwrap_or(1.0);
            self.figures.server_seconds += (regular + interruptible) * seconds;
            self.figures.cost += (regular + interruptible * discount) * price * seconds;
        }
        self.figures.fixed_seconds += f64::from(self.start_servers) * seconds;
        self.figures.fixed_cost += self.start_price * seconds;
    }

    fn observe(&self) -> FleetObservation {
        FleetObservation {
            data_centres: self
                .data_centres
                .iter()
                .map(|data_centre| (data_centre.name.clone(), data_centre.counts))
                .collect::<IndexMap<_, _>>(),
            in_flight: self.in_flight,
            queued: self.queue.iter().map(|(_, amount)| amount).sum(),
            refused: 0.0,
            backlog_ms: 0.0,
            capacity: ServerCapacity {
                requests: SERVER_REQUESTS,
                backlog_ms: 0.0,
                slots: 16,
            },
            age: STEP,
        }
    }

    /// Returns a number from 0 to 1, from a xorshift generator.
    fn random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl DataCentre {
    fn boot(&mut self, now: Duration) {
        if now >= self.gone_at {
            self.counts.leaving_interruptible = 0;
        }
        for booting in self
            .booting
            .extract_if(.., |booting| now >= booting.ready_at)
        {
            match booting.kind {
                ServerKind::Interruptible => self.counts.ready_interruptible += booting.count,
                ServerKind::Regular => self.counts.ready_regular += booting.count,
            }
        }
    }

    fn place_orders(
        &mut self,
        api_down: bool,
        limits: &ScalingLimits,
        figures: &mut PlayFigures,
        now: Duration,
    ) {
        if let Some((order, sent)) = self.unanswered {
            if now < sent + CALL_TIMEOUT {
                return;
            }
            self.planner
                .record_result(&order, OrderResult::NoAnswer, now);
            self.unanswered = None;
        }
        // At most two orders a step, like calls of 50 ms.
        for _ in 0..2 {
            let Some(order) = self.planner.next_order(now) else {
                return;
            };
            figures.orders += 1;
            if api_down {
                self.unanswered = Some((order, now));
                return;
            }
            let result = self.carry_out(&order, figures, now);
            let total: u32 = self.ordered.iter().sum();
            if total > limits.max {
                figures.beyond_limits += 1;
            }
            self.planner.record_result(&order, result, now);
        }
    }

    fn carry_out(
        &mut self,
        order: &ServerOrder,
        figures: &mut PlayFigures,
        now: Duration,
    ) -> OrderResult {
        let (ready, unavailable, ordered) = match order.kind {
            ServerKind::Interruptible => (
                &mut self.counts.ready_interruptible,
                self.interruptible_unavailable,
                &mut self.ordered[1],
            ),
            ServerKind::Regular => (
                &mut self.counts.ready_regular,
                self.regular_unavailable,
                &mut self.ordered[0],
            ),
        };
        let is_same = |booting: &BootingServers| booting.kind == order.kind;
        let booting: u32 = self
            .booting
            .iter()
            .filter(|booting| is_same(booting))
            .map(|booting| booting.count)
            .sum();
        if order.count > *ready + booting {
            if unavailable {
                return OrderResult::Unavailable;
            }
            if !self.is_dead {
                self.booting.push(BootingServers {
                    kind: order.kind,
                    count: order.count - *ready - booting,
                    ready_at: now + BOOT_TIME,
                });
            }
        } else {
            let mut excess = *ready + booting - order.count;
            for booting in self.booting.iter_mut().filter(|booting| is_same(booting)) {
                let cancelled = excess.min(booting.count);
                booting.count -= cancelled;
                excess -= cancelled;
            }
            *ready -= excess;
            figures.removed += excess;
        }
        *ordered = order.count;
        OrderResult::Accepted
    }
}
