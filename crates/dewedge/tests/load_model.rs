//! Simulates bursts of long prompts beside running streams on a pool of
//! engines, and checks the results of the callers.
//!
//! The simulation has no network and a virtual clock. In each step, an engine
//! reads up to one chunk of prompts and generates one token of each running
//! request; its parameters come from the engines' specification. VMs decide
//! with the product's functions, and see the load from the other VMs with the
//! delay of a digest.

use std::collections::BTreeSet;
use std::time::Duration;

use dewedge::format::PromptPart;
use dewedge::policy::admission::max_wait;
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad, choose_engine,
    long_prefix_key,
};
use dewedge::policy::queue::{ServerRequirements, WaitingQueue, WaitingRequest, request_rank};

const ENGINES: usize = 12;
const VMS: usize = 8;
const STEP_MS: f64 = 3.79;
const STEP_MS_PER_REQUEST: f64 = 0.0893;
const TOKENS_PER_MS: f64 = 56.6;
const CHUNK_TOKENS: u32 = 4096;
const TOKENS_PER_EVENT: u32 = 4;
const DIGEST_INTERVAL_MS: u64 = 100;
const END_MS: u64 = 20_000;

/// Time from which the burst no longer has effects.
const SETTLED_MS: u64 = 14_000;

/// Requests that arrive before this time have ended when the simulation does.
const SETTLED_END_MS: u64 = 17_000;

/// Traffic of one class, from its specification.
#[derive(Clone, Copy)]
struct ClassSpec {
    priority: u8,
    per_second: f64,
    first_part: u32,
    first_parts: u64,
    session_part: u32,
    sessions: u64,
    own_part: u32,
    output: u32,
    target_ms: u64,
    event_gap_ms: u64,
    deadline_ms: u64,
}

const CLASSES: [ClassSpec; 3] = [
    ClassSpec {
        priority: 0,
        per_second: 24.0,
        first_part: 103,
        first_parts: 8,
        session_part: 69,
        sessions: 184,
        own_part: 543,
        output: 280,
        target_ms: 1000,
        event_gap_ms: 300,
        deadline_ms: 15_000,
    },
    ClassSpec {
        priority: 1,
        per_second: 40.0,
        first_part: 341,
        first_parts: 40,
        session_part: 227,
        sessions: 248,
        own_part: 1800,
        output: 24,
        target_ms: 1000,
        event_gap_ms: 500,
        deadline_ms: 3000,
    },
    ClassSpec {
        priority: 2,
        per_second: 80.0,
        first_part: 2520,
        first_parts: 4,
        session_part: 3780,
        sessions: 352,
        own_part: 2890,
        output: 52,
        target_ms: 1500,
        event_gap_ms: 1200,
        deadline_ms: 5000,
    },
];

/// A simulated request.
struct ModelRequest {
    class: usize,
    vm: usize,
    arrived: u64,
    parts: Vec<PromptPart>,
    engine: Option<usize>,
    prefill_ms: f64,
    unread: u32,
    generated: u32,
    first: Option<u64>,
    last_event: u64,
    longest_gap: u64,
    ended: bool,
}

/// A simulated engine.
#[derive(Default)]
struct ModelEngine {
    busy_until: f64,
    running: Vec<usize>,
    cached: BTreeSet<u64>,
}

/// Results of the callers of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassResult {
    requests: u32,
    in_time: u32,
    refused: u32,
    /// Requests that arrived after the burst, and those of them that were in
    /// time.
    settled_requests: u32,
    settled_in_time: u32,
    /// Tokens of shared parts that were read again after the burst although an
    /// engine had already read them.
    reread_tokens: u64,
}

/// Load of the least urgent class, relative to its specified rate.
#[derive(Clone, Copy)]
struct BurstPlan {
    baseline: f64,
    burst: f64,
    /// Start and end of the burst, in ms.
    span: (u64, u64),
}

/// A long burst up to the specified rate.
const LONG_BURST: BurstPlan = BurstPlan {
    baseline: 0.45,
    burst: 1.0,
    span: (2000, 11_000),
};

/// A short burst beyond the prefill rate of the engines. The load around it
/// takes two thirds of that rate if no shared part is read twice.
const STEEP_BURST: BurstPlan = BurstPlan {
    baseline: 1.0,
    burst: 2.6,
    span: (2000, 6000),
};

/// Placement policy of the VMs.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Product,
    RoundRobin,
}

struct Model {
    policy: Policy,
    plan: BurstPlan,
    random_state: u64,
    requests: Vec<ModelRequest>,
    engines: Vec<ModelEngine>,
    queues: Vec<WaitingQueue>,
    part_caches: Vec<Vec<PartCache>>,
    digests: Vec<Vec<ServerLoad>>,
    own: Vec<Vec<ServerLoad>>,
    results: [ClassResult; 3],
    next_engine: usize,
    /// Session parts that an engine has read.
    read_parts: BTreeSet<u64>,
}

impl Model {
    fn new(policy: Policy, plan: BurstPlan, seed: u64) -> Self {
        Self {
            policy,
            plan,
            random_state: seed * 2 + 1,
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| ModelEngine::default()).collect(),
            queues: (0..VMS).map(|_| WaitingQueue::default()).collect(),
            part_caches: (0..VMS)
                .map(|_| vec![PartCache::default(); ENGINES])
                .collect(),
            digests: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            own: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            results: [ClassResult::default(); 3],
            next_engine: 0,
            read_parts: BTreeSet::new(),
        }
    }

    fn next_random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(mut self) -> [ClassResult; 3] {
        for now in 0..END_MS {
            if now % DIGEST_INTERVAL_MS == 0 {
                self.digests.clone_from(&self.own);
            }
            for (class, spec) in CLASSES.iter().enumerate() {
                let (start, end) = self.plan.span;
                let factor = match (spec.priority, (start..end).contains(&now)) {
                    (2, true) => self.plan.burst,
                    (2, false) => self.plan.baseline,
                    _ => 1.0,
                };
                let rate = spec.per_second * factor;
                if self.next_random() < rate / 1000.0 {
                    self.arrive(class, now);
                }
            }
            for engine in 0..ENGINES {
                self.step(engine, now);
            }
            for vm in 0..VMS {
                self.dispatch(vm, now);
            }
        }
        self.results
    }

    fn arrive(&mut self, class: usize, now: u64) {
        let spec = CLASSES[class];
        let (first, session) = (self.next_random(), self.next_random());
        let session = (session * spec.sessions as f64) as u64;
        let base = (class as u64 + 1) << 32;
        let first_id = base + (first * spec.first_parts as f64) as u64;
        let ids = [
            (first_id, spec.first_part),
            (
                base + (1 << 20) + session * 64 + first_id % 64,
                spec.session_part,
            ),
            (base + (1 << 30) + self.requests.len() as u64, spec.own_part),
        ];
        let parts = ids.map(|(id, tokens)| PromptPart { id, tokens }).to_vec();
        let vm = (self.next_random() * VMS as f64) as usize;
        let exchange_id = self.requests.len();
        self.results[class].requests += 1;
        self.results[class].settled_requests +=
            u32::from((SETTLED_MS..SETTLED_END_MS).contains(&now));
        self.requests.push(ModelRequest {
            class,
            vm,
            arrived: now,
            parts,
            engine: None,
            prefill_ms: 0.0,
            unread: 0,
            generated: 0,
            first: None,
            last_event: 0,
            longest_gap: 0,
            ended: false,
        });
        let requirements = server_requirements(&self.requests[exchange_id]);
        self.queues[vm].push(WaitingRequest {
            exchange_id,
            priority: request_rank(Some(1), spec.priority),
            requirements,
            caller_retry: false,
            workspace: format!("w{}", session % 10),
            cost: u64::from(spec.own_part),
            arrived: Duration::from_millis(now),
        });
    }

    fn dispatch(&mut self, vm: usize, now: u64) {
        let waiting: Vec<usize> = self.queues[vm]
            .iter()
            .map(|request| request.exchange_id)
            .collect();
        let mut busy: Vec<ServerRequirements> = Vec::new();
        for exchange_id in waiting {
            let spec = CLASSES[self.requests[exchange_id].class];
            let target = Duration::from_millis(spec.target_ms);
            let wait = max_wait(target, Duration::from_millis(spec.deadline_ms), false);
            if u128::from(now - self.requests[exchange_id].arrived) > wait.as_millis() {
                self.queues[vm].remove(exchange_id);
                self.results[self.requests[exchange_id].class].refused += 1;
                continue;
            }
            let requirements = server_requirements(&self.requests[exchange_id]);
            if busy.iter().any(|other| other.blocks(&requirements)) {
                continue;
            }
            match self.choose(vm, exchange_id, now) {
                Some((engine, prefill_ms)) => {
                    self.queues[vm].remove(exchange_id);
                    self.send(exchange_id, engine, prefill_ms, now);
                }
                None => busy.push(requirements),
            }
        }
    }

    fn choose(&mut self, vm: usize, exchange_id: usize, now: u64) -> Option<(usize, f64)> {
        if self.policy == Policy::RoundRobin {
            self.next_engine += 1;
            return Some((self.next_engine % ENGINES, 0.0));
        }
        let request = &self.requests[exchange_id];
        let spec = CLASSES[request.class];
        let views: Vec<ReplicaView<'_>> = (0..ENGINES)
            .map(|engine| {
                let mut load = self.own[vm][engine];
                for other in (0..VMS).filter(|other| *other != vm) {
                    load.add(&self.digests[other][engine]);
                }
                ReplicaView {
                    hash: engine as u64 * 7919 + 13,
                    usable: true,
                    same_data_centre: true,
                    warming_up: false,
                    slots: 64,
                    kv_cache_tokens: 500_000,
                    load,
                    slowness: 1.0,
                    failure_rate: 0.0,
                    cached_parts: &self.part_caches[vm][engine],
                }
            })
            .collect();
        let query = PlacementQuery {
            parts: &request.parts,
            prompt_tokens: request.parts.iter().map(|part| part.tokens).sum(),
            output_tokens: spec.output,
            priority: spec.priority,
            gap_sensitive: spec.event_gap_ms <= 400,
            now: Duration::from_millis(now),
        };
        match choose_engine(&query, &views) {
            PlacementChoice::Chosen {
                hash, prefill_ms, ..
            } => Some(((hash as usize - 13) / 7919, prefill_ms)),
            _ => None,
        }
    }

    fn send(&mut self, exchange_id: usize, engine: usize, prefill_ms: f64, now: u64) {
        let request = &mut self.requests[exchange_id];
        let spec = CLASSES[request.class];
        let cached = &mut self.engines[engine].cached;
        let cached_tokens: u32 = request
            .parts
            .iter()
            .take_while(|part| cached.contains(&part.id))
            .map(|part| part.tokens)
            .sum();
        let tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        let [shared @ .., _] = request.parts.as_slice() else {
            return;
        };
        let shared: u32 = shared.iter().map(|part| part.tokens).sum();
        if now >= SETTLED_MS && self.read_parts.contains(&request.parts[1].id) {
            self.results[request.class].reread_tokens +=
                u64::from(shared.saturating_sub(cached_tokens));
        }
        self.read_parts.insert(request.parts[1].id);
        cached.extend(request.parts.iter().map(|part| part.id));
        request.engine = Some(engine);
        request.prefill_ms = prefill_ms;
        request.unread = tokens - cached_tokens;
        let own = &mut self.own[request.vm][engine];
        own.requests += 1;
        own.backlog_ms += prefill_ms;
        own.tokens += u64::from(tokens);
        own.gap_sensitive_streams += u32::from(spec.event_gap_ms <= 400);
        let used_at = Duration::from_millis(now);
        self.part_caches[request.vm][engine].record_use(&request.parts, used_at);
        self.engines[engine].running.push(exchange_id);
    }

    fn step(&mut self, index: usize, now: u64) {
        if self.engines[index].busy_until > now as f64 {
            return;
        }
        let running = self.engines[index].running.clone();
        if running.is_empty() {
            return;
        }
        let mut chunk = CHUNK_TOKENS;
        let mut read = 0;
        for exchange_id in &running {
            let request = &mut self.requests[*exchange_id];
            if request.unread > 0 {
                let taken = request.unread.min(chunk);
                request.unread -= taken;
                chunk -= taken;
                read += taken;
                continue;
            }
            request.generated += 1;
            self.record_token(*exchange_id, index, now);
        }
        let requests = &self.requests;
        self.engines[index]
            .running
            .retain(|exchange_id| !requests[*exchange_id].ended);
        let step = STEP_MS + STEP_MS_PER_REQUEST * running.len() as f64;
        self.engines[index].busy_until = now as f64 + step + f64::from(read) / TOKENS_PER_MS;
    }

    fn record_token(&mut self, exchange_id: usize, engine: usize, now: u64) {
        let request = &mut self.requests[exchange_id];
        let spec = CLASSES[request.class];
        let own = &mut self.own[request.vm][engine];
        if request.first.is_none() {
            request.first = Some(now);
            request.last_event = now;
            own.backlog_ms = (own.backlog_ms - request.prefill_ms).max(0.0);
        }
        if request.generated.is_multiple_of(TOKENS_PER_EVENT) {
            let gap = now - request.last_event;
            request.longest_gap = request.longest_gap.max(gap);
            request.last_event = now;
        }
        let late = now - request.arrived > spec.deadline_ms;
        if request.generated < spec.output && !late {
            return;
        }
        request.ended = true;
        own.requests -= 1;
        let tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        own.tokens -= u64::from(tokens);
        own.gap_sensitive_streams -= u32::from(spec.event_gap_ms <= 400);
        let first = request.first.unwrap_or(now) - request.arrived;
        let in_time = !late && first <= spec.target_ms && request.longest_gap <= spec.event_gap_ms;
        self.results[request.class].in_time += u32::from(in_time);
        let settled = (SETTLED_MS..SETTLED_END_MS).contains(&request.arrived);
        self.results[request.class].settled_in_time += u32::from(in_time && settled);
    }
}

fn server_requirements(request: &ModelRequest) -> ServerRequirements {
    let spec = CLASSES[request.class];
    ServerRequirements {
        gap_sensitive: spec.event_gap_ms <= 400,
        class: spec.priority,
        home: long_prefix_key(&request.parts),
    }
}

fn in_time_share(result: ClassResult) -> f64 {
    f64::from(result.in_time) / f64::from(result.requests)
}

/// The latest requests haven't ended when the simulation does, so no share
/// reaches 1.
#[test]
fn a_burst_of_long_prompts_does_not_delay_more_urgent_classes() {
    for seed in [11, 12, 13] {
        let [streams, urgent, burst] = Model::new(Policy::Product, LONG_BURST, seed).run();
        let context = format!("seed {seed}: {streams:?} {urgent:?} {burst:?}");
        assert!(in_time_share(streams) >= 0.85, "{context}");
        assert!(in_time_share(urgent) >= 0.85, "{context}");
        assert!(
            in_time_share(burst) <= in_time_share(urgent) + 0.15,
            "{context}"
        );
        assert_eq!(streams.refused, 0, "{context}");
        assert!(urgent.refused * 10 <= burst.refused.max(10), "{context}");
    }
}

/// Shows that the bounds of the previous test distinguish between policies.
#[test]
fn round_robin_delays_urgent_streams_and_serves_fewer_callers() {
    for seed in [11, 12, 13, 21, 22, 23] {
        let product = Model::new(Policy::Product, LONG_BURST, seed).run();
        let round_robin = Model::new(Policy::RoundRobin, LONG_BURST, seed).run();
        let context = format!("seed {seed}: {product:?} against {round_robin:?}");
        assert!(in_time_share(round_robin[0]) < 0.85, "{context}");
        assert!(
            in_time_share(product[0]) > in_time_share(round_robin[0]),
            "{context}"
        );
        let total = |results: [ClassResult; 3]| -> u32 {
            results.iter().map(|result| result.in_time).sum()
        };
        assert!(total(product) > total(round_robin), "{context}");
    }
}

/// Guards against sending shared parts to engines other than their homes, where
/// they are read again. When repeated prefill uses up the engines, homes appear
/// busy for that reason, and the effect continues after the burst.
#[test]
fn shared_parts_are_not_read_again_after_a_burst() {
    let (mut requests, mut in_time, mut reads) = (0, 0, 0);
    let session_part = u64::from(CLASSES[2].session_part);
    for seed in [11, 12, 13, 21, 22, 23] {
        let [_, _, burst] = Model::new(Policy::Product, STEEP_BURST, seed).run();
        requests += burst.settled_requests;
        in_time += burst.settled_in_time;
        reads += burst.reread_tokens / session_part;
    }
    let context = format!("{in_time} of {requests} in time, {reads} parts read again");
    assert!(
        f64::from(in_time) >= 0.85 * f64::from(requests),
        "{context}"
    );
    assert!(reads * 20 <= u64::from(requests), "{context}");
}
