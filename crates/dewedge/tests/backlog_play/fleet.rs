//! A fleet of VMs that share engines, in steps of 5 ms.
//!
//! Engines are three numbers each: when their prefill ends, when their requests
//! end, and their slowness. A VM knows its own sends at once, and the load and
//! the queues of the others as they were 400 ms ago.

use std::collections::VecDeque;
use std::time::Duration;

use dewbacklog::{
    EngineRoom, FleetBacklog, QueuePlace, ReturnPolicy, RoomDecision, RoomForecast, StartOrder,
    StartRequest, WaitingFact, WaitingPrompt, WaitingSum,
};
use dewedge::policy::admission::{is_queue_blocked, max_wait, retry_after};
use dewedge::policy::queue::{ServerRequirements, WaitingQueue, WaitingRequest};

use super::random::RandomSource;

/// Step of the play, in ms.
const STEP_MS: u64 = 5;

/// Interval of digests and facts, in ms.
const FACT_MS: u64 = 100;

/// Age of what a VM knows of the queues of the others, in intervals.
const FACT_AGE: usize = 4;

/// Groups of VMs that send their load to the same others in an interval; a VM hears
/// of each group every fourth interval.
const GROUPS: usize = 4;

/// Time to the first event apart from prefill, in ms.
const FIRST_EVENT_MS: f64 = 50.0;

/// Most requests of an engine of usual speed.
const MAX_REQUESTS: f64 = 12.0;

/// Backlog limits of the classes, in ms.
const LIMITS_MS: [f64; 3] = [600.0, 500.0, 380.0];

/// How requests are rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// By the own queue, as for servers that don't report their slowness.
    OwnQueue,
    /// By the forecast.
    Forecast,
}

/// One kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub class: u8,
    pub workspace: &'static str,
    pub prefill_ms: f64,
    pub duration_ms: f64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// Arrivals per s at rest and in the burst.
    pub rate: (f64, f64),
}

/// A play.
#[derive(Clone, Debug)]
pub struct Play {
    pub kinds: Vec<Kind>,
    pub vms: usize,
    pub engines: usize,
    /// Start and end of the burst, in ms.
    pub burst: (u64, u64),
    pub end_ms: u64,
    /// Whether digests and facts arrive.
    pub hears_load: bool,
    pub hears_facts: bool,
}

/// What the callers of a kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub callers: u32,
    /// First event within the target of its attempt, whole answer by the deadline.
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    /// Rejections of first attempts, and the ms waited before them.
    pub first_rejections: u32,
    pub rejected_after_ms: u64,
    pub final_rejections: u32,
    pub retries_in_time: u32,
    /// Retries by the 100 ms in which they come.
    pub most_retries_per_100_ms: u32,
    /// Largest retry time as a share of the remaining time.
    pub longest_retry_share: f64,
    /// Longest wait of a sent request, in ms.
    pub longest_wait_ms: u64,
}

impl Tally {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    arrived: u64,
    deadline: u64,
    retry: bool,
    judged: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    slowness: f64,
    read_until: f64,
    requests: Vec<Running>,
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
struct Running {
    group: usize,
    first: f64,
    end: f64,
    backlog_ms: f64,
}

impl Engine {
    /// Returns the load from each group of VMs.
    fn load(&mut self, now: f64) -> [(f64, f64); GROUPS] {
        self.requests.retain(|request| request.end > now);
        let mut load = [(0.0, 0.0); GROUPS];
        for request in &self.requests {
            let (backlog_ms, requests) = &mut load[request.group];
            *requests += 1.0;
            if request.first > now {
                *backlog_ms += request.backlog_ms;
            }
        }
        load
    }
}

/// Backlog in ms of time, and requests, of each engine.
type Loads = Vec<(f64, f64)>;

struct Vm {
    queue: WaitingQueue,
    policy: ReturnPolicy,
    order: StartOrder,
    backlog: FleetBacklog,
    /// Own sends: time, engine, backlog.
    sends: VecDeque<(u64, usize, f64)>,
}

pub struct Fleet {
    play: Play,
    rule: Rule,
    random: RandomSource,
    now: u64,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    /// The load of the engines in the last intervals, newest first.
    loads: VecDeque<Vec<[(f64, f64); GROUPS]>>,
    facts: VecDeque<Vec<(usize, WaitingFact)>>,
    returns: Vec<(u64, Request)>,
    tallies: Vec<Tally>,
}

fn time(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl Fleet {
    /// Plays to the end and adds to the tally of each kind.
    pub fn play(play: &Play, rule: Rule, seed: u64, tallies: Vec<Tally>) -> Vec<Tally> {
        let speeds = [0.6, 1.0, 1.6];
        let engine = |index: usize| Engine {
            slowness: speeds[index % 3],
            read_until: 0.0,
            requests: Vec::new(),
        };
        let vm = |index: usize| Vm {
            queue: WaitingQueue::default(),
            policy: ReturnPolicy::new(index as f64 * 0.37),
            order: StartOrder::new(index as u64 * 7919),
            backlog: FleetBacklog::default(),
            sends: VecDeque::new(),
        };
        let mut fleet = Self {
            rule,
            random: RandomSource::new(seed),
            now: 2000,
            engines: (0..play.engines).map(engine).collect(),
            vms: (0..play.vms).map(vm).collect(),
            requests: Vec::new(),
            loads: VecDeque::new(),
            facts: VecDeque::new(),
            returns: Vec::new(),
            tallies,
            play: play.clone(),
        };
        let end = fleet.now + fleet.play.end_ms;
        while fleet.now < end {
            fleet.step(end);
        }
        fleet.tallies
    }

    fn step(&mut self, end: u64) {
        if self.now.is_multiple_of(FACT_MS) {
            self.exchange_facts();
        }
        for kind in 0..self.play.kinds.len() {
            for _ in 0..self.arrivals(kind, end) {
                self.tallies[kind].callers += 1;
                let deadline = self.now + self.play.kinds[kind].deadline_ms;
                self.arrive(kind, deadline, false);
            }
        }
        let due = self.returns.extract_if(.., |(due, _)| *due <= self.now);
        let due: Vec<Request> = due.map(|(_, request)| request).collect();
        for request in due {
            self.arrive(request.kind, request.deadline, true);
        }
        // A VM tries again when something has changed, here each 20 ms.
        for vm in 0..self.vms.len() {
            if (self.now / STEP_MS + vm as u64).is_multiple_of(4) {
                self.dispatch(vm);
            }
        }
        self.now += STEP_MS;
    }

    fn arrivals(&mut self, kind: usize, end: u64) -> u32 {
        let (usual, burst) = self.play.kinds[kind].rate;
        let (start, stop) = self.play.burst;
        let rate = match (2000 + start..2000 + stop).contains(&self.now) {
            true => burst,
            false => usual,
        };
        // The last answers are awaited.
        if self.now + 8000 > end {
            return 0;
        }
        let expected = rate * STEP_MS as f64 / 1000.0;
        expected as u32 + u32::from(self.random.unit() < expected.fract())
    }

    fn exchange_facts(&mut self) {
        let now = self.now as f64;
        let load = |engine: &mut Engine| engine.load(now);
        self.loads
            .push_front(self.engines.iter_mut().map(load).collect());
        self.loads.truncate(GROUPS);
        let mut facts = Vec::new();
        for (vm, state) in self.vms.iter().enumerate() {
            for class in 0..3 {
                let waiting = state
                    .queue
                    .iter()
                    .filter(|request| request.priority == class);
                let mut fact = WaitingFact {
                    class,
                    oldest: time(self.now),
                    as_of: time(self.now),
                    ..WaitingFact::default()
                };
                for request in waiting {
                    let kind = self.requests[request.exchange_id].kind;
                    fact.requests += 1;
                    fact.prefill_ms += self.play.kinds[kind].prefill_ms;
                    fact.oldest = fact.oldest.min(request.arrived);
                }
                facts.push((vm, fact));
            }
        }
        self.facts.push_back(facts);
        if self.facts.len() <= FACT_AGE {
            return;
        }
        let heard = self.facts.pop_front().unwrap_or_default();
        let known = heard.iter().filter(|_| self.play.hears_facts);
        for (sender, fact) in known {
            for (vm, state) in self.vms.iter_mut().enumerate() {
                if vm != *sender {
                    state.backlog.record(*sender as u64, *fact, time(self.now));
                }
            }
        }
    }

    /// Returns the load of the engines as a VM knows it.
    fn view(&mut self, vm: usize) -> Loads {
        let round = (self.now / FACT_MS) as usize;
        let mut view = vec![(0.0, 0.0); self.engines.len()];
        for group in (0..GROUPS).filter(|_| self.play.hears_load) {
            let age = (round + group + vm) % GROUPS;
            let Some(loads) = self.loads.get(age) else {
                continue;
            };
            for (seen, load) in view.iter_mut().zip(loads) {
                seen.0 += load[group].0;
                seen.1 += load[group].1;
            }
        }
        let window = match self.play.hears_load {
            true => ((round + vm % GROUPS + vm) % GROUPS) as u64 * FACT_MS + self.now % FACT_MS,
            false => 1000,
        };
        let sends = &mut self.vms[vm].sends;
        while sends
            .front()
            .is_some_and(|(at, ..)| at + window <= self.now)
        {
            sends.pop_front();
        }
        for (_, engine, backlog_ms) in sends {
            view[*engine].0 += *backlog_ms;
            view[*engine].1 += 1.0;
        }
        view
    }

    fn arrive(&mut self, kind: usize, deadline: u64, retry: bool) {
        let vm = (self.random.next() % self.vms.len() as u64) as usize;
        let spec = self.play.kinds[kind];
        let id = self.requests.len();
        self.requests.push(Request {
            kind,
            arrived: self.now,
            deadline,
            retry,
            judged: 0,
        });
        let requirements = ServerRequirements {
            gap_sensitive: false,
            class: spec.class,
            home: None,
            version: None,
        };
        let oldest = self.vms[vm].queue.oldest_blocker(spec.class, &requirements);
        self.vms[vm].queue.push(WaitingRequest {
            exchange_id: id,
            priority: spec.class,
            requirements,
            caller_retry: retry,
            workspace: spec.workspace.to_string(),
            cost: spec.prefill_ms as u64,
            arrived: time(self.now),
        });
        self.dispatch(vm);
        let wait = self.least_wait(id);
        let blocked = !retry && is_queue_blocked(oldest, wait, time(self.now));
        let waits = self.vms[vm]
            .queue
            .iter()
            .any(|other| other.exchange_id == id);
        if self.rule == Rule::OwnQueue && blocked && waits {
            let left = time(deadline - self.now);
            let after = retry_after(left, self.random.unit());
            self.reject(vm, id, after);
        }
    }

    fn least_wait(&self, id: usize) -> Duration {
        let request = self.requests[id];
        let kind = self.play.kinds[request.kind];
        let left = time(request.deadline - request.arrived);
        max_wait(time(kind.target_ms), left, request.retry)
    }

    fn dispatch(&mut self, vm: usize) {
        let waiting: Vec<usize> = self.vms[vm]
            .queue
            .iter()
            .map(|request| request.exchange_id)
            .collect();
        if waiting.is_empty() {
            return;
        }
        let mut view = self.view(vm);
        let mut ahead = WaitingSum::default();
        let mut busy_class = None;
        for id in waiting {
            let kind = self.play.kinds[self.requests[id].kind];
            let is_blocked = busy_class.is_some_and(|class| class <= kind.class);
            let held = !is_blocked && self.holds_back(vm, id, &view);
            let engine = match is_blocked || held {
                true => None,
                false => self.choose(kind.class, &view),
            };
            match engine {
                Some(engine) => {
                    let backlog_ms = self.send(vm, id, engine);
                    view[engine].0 += backlog_ms;
                    view[engine].1 += 1.0;
                }
                None => {
                    busy_class = Some(busy_class.unwrap_or(kind.class).min(kind.class));
                    if !self.judge(vm, id, &view, &ahead, held) {
                        ahead.add(&WaitingSum {
                            requests: 1.0,
                            prefill_ms: kind.prefill_ms,
                        });
                    }
                }
            }
        }
    }

    fn room(&self, class: u8, view: &Loads) -> RoomForecast {
        let mean_ms = self
            .play
            .kinds
            .iter()
            .map(|kind| kind.duration_ms)
            .sum::<f64>()
            / self.play.kinds.len() as f64;
        RoomForecast::new(
            view.iter()
                .zip(&self.engines)
                .map(|(load, engine)| EngineRoom {
                    backlog_ms: load.0 / engine.slowness,
                    slowness: engine.slowness,
                    limit_ms: LIMITS_MS[usize::from(class)],
                    requests: load.1 as u32,
                    max_requests: max_requests(engine),
                    request_ms: mean_ms,
                    opens_in: Duration::ZERO,
                }),
        )
    }

    /// Chooses the best of three engines with capacity.
    fn choose(&mut self, class: u8, view: &Loads) -> Option<usize> {
        let limit_ms = LIMITS_MS[usize::from(class)];
        let free: Vec<usize> = (0..view.len())
            .filter(|engine| view[*engine].0 < limit_ms)
            .filter(|engine| view[*engine].1 < f64::from(max_requests(&self.engines[*engine])))
            .collect();
        let drawn =
            (0..3).filter_map(|_| free.get(self.random.next() as usize % free.len().max(1)));
        drawn
            .copied()
            .min_by(|first, second| view[*first].0.total_cmp(&view[*second].0))
    }

    /// Sends a request; returns the backlog that it adds.
    fn send(&mut self, vm: usize, id: usize, engine: usize) -> f64 {
        self.vms[vm].queue.remove(id);
        let request = self.requests[id];
        let kind = self.play.kinds[request.kind];
        let state = &mut self.engines[engine];
        let backlog_ms = kind.prefill_ms * state.slowness;
        state.read_until = state.read_until.max(self.now as f64) + backlog_ms;
        let first = state.read_until + FIRST_EVENT_MS * state.slowness;
        // With more requests than usual, each takes longer.
        let crowd = (state.requests.len() as f64 / f64::from(max_requests(state))).max(1.0);
        let end = first + kind.duration_ms * state.slowness * crowd;
        state.requests.push(Running {
            group: vm % GROUPS,
            first,
            end,
            backlog_ms,
        });
        self.vms[vm].order.record_start(None, time(self.now));
        self.vms[vm].sends.push_back((self.now, engine, backlog_ms));
        let tally = &mut self.tallies[request.kind];
        tally.longest_wait_ms = tally.longest_wait_ms.max(self.now - request.arrived);
        if end > request.deadline as f64 {
            tally.failed += 1;
        } else if first > (request.arrived + kind.target_ms) as f64 {
            tally.late += 1;
        } else {
            tally.in_time += 1;
            tally.retries_in_time += u32::from(request.retry);
        }
        backlog_ms
    }

    fn prompt(&self, id: usize) -> WaitingPrompt {
        let request = self.requests[id];
        let kind = self.play.kinds[request.kind];
        let limit_ms = LIMITS_MS[usize::from(kind.class)];
        WaitingPrompt {
            waited: time(self.now - request.arrived),
            time_left: time(request.deadline.saturating_sub(self.now)),
            latency_target: time(kind.target_ms),
            first_event: time((limit_ms + kind.prefill_ms + FIRST_EVENT_MS) as u64),
            least_wait: self.least_wait(id),
            caller_retry: request.retry,
            prefill_ms: kind.prefill_ms,
        }
    }

    fn holds_back(&self, vm: usize, id: usize, view: &Loads) -> bool {
        let prompt = self.prompt(id);
        let class = self.play.kinds[self.requests[id].kind].class;
        if self.rule == Rule::OwnQueue {
            return false;
        }
        let request = StartRequest {
            class,
            home: None,
            waited: prompt.waited,
            permitted_wait: prompt.permitted_wait(),
        };
        let room_now = self.room(class, view).room_now(prompt.prefill_ms);
        let state = &self.vms[vm];
        let own = state.queue.iter().filter(|other| other.priority <= class);
        let (own, now) = (own.count(), time(self.now));
        state
            .order
            .holds_back(&request, &state.backlog, own, room_now, now)
    }

    /// Rejects a request that can't be sent if it is due; returns whether it was.
    fn judge(
        &mut self,
        vm: usize,
        id: usize,
        view: &Loads,
        ahead: &WaitingSum,
        held: bool,
    ) -> bool {
        let request = self.requests[id];
        let prompt = self.prompt(id);
        if self.rule == Rule::OwnQueue {
            let is_due = prompt.waited >= prompt.least_wait;
            if is_due {
                let after = retry_after(prompt.time_left, self.random.unit());
                self.reject(vm, id, after);
            }
            return is_due;
        }
        let is_over = prompt.waited >= prompt.permitted_wait();
        if self.now < request.judged + FACT_MS && !is_over || held {
            return false;
        }
        self.requests[id].judged = self.now;
        let class = self.play.kinds[request.kind].class;
        let place = QueuePlace {
            class,
            joined: time(request.arrived),
            caller_retry: request.retry,
        };
        let mut ahead = *ahead;
        ahead.add(&self.vms[vm].backlog.ahead_of(&place, time(self.now)));
        let room = self.room(class, view);
        let room_in = room.when_room(&ahead, prompt.prefill_ms);
        let RoomDecision::Reject(cause) = ReturnPolicy::decide(&prompt, room_in) else {
            return false;
        };
        let (vms, now) = (self.play.vms, time(self.now));
        let after = self.vms[vm]
            .policy
            .reject(&prompt, cause, room_in, &room, vms, now);
        self.reject(vm, id, after);
        true
    }

    fn reject(&mut self, vm: usize, id: usize, after: Duration) {
        self.vms[vm].queue.remove(id);
        let request = self.requests[id];
        let tally = &mut self.tallies[request.kind];
        if request.retry {
            tally.final_rejections += 1;
            return;
        }
        tally.first_rejections += 1;
        tally.rejected_after_ms += self.now - request.arrived;
        let left = (request.deadline - self.now) as f64;
        tally.longest_retry_share = tally.longest_retry_share.max(millis(after) / left);
        let due = self.now + millis(after) as u64;
        self.returns.push((due, request));
        let together = self.returns.iter();
        let together = together
            .filter(|(other, _)| other / 100 == due / 100)
            .count();
        tally.most_retries_per_100_ms = tally.most_retries_per_100_ms.max(together as u32);
    }
}

fn max_requests(engine: &Engine) -> u32 {
    (MAX_REQUESTS / engine.slowness).round() as u32
}
