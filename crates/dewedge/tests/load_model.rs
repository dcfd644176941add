//! Plays bursts of long prompts beside running streams on a model of an engine
//! pool, and checks what callers get.
//!
//! The model has no network and a virtual clock. An engine reads up to a chunk
//! of prompts in a step and makes one token of each request that runs; the
//! figures are those of the users' sheets. VMs decide with the product's own
//! functions, and see the work of the other VMs a digest late.

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
const CHUNK: u32 = 4096;
const TOKENS_PER_EVENT: u32 = 4;
const DIGEST_MS: u64 = 100;
const END_MS: u64 = 20_000;

/// Time from which the burst is long over.
const CALM_MS: u64 = 14_000;

/// Requests that come until this time have ended at the end.
const CALM_END_MS: u64 = 17_000;

/// A class of requests, as the sheets describe it.
#[derive(Clone, Copy)]
struct ClassSheet {
    priority: u8,
    per_second: f64,
    first_part: u32,
    first_parts: u64,
    session_part: u32,
    sessions: u64,
    own_part: u32,
    output: u32,
    target_ms: u64,
    pause_ms: u64,
    deadline_ms: u64,
}

const CLASSES: [ClassSheet; 3] = [
    ClassSheet {
        priority: 0,
        per_second: 24.0,
        first_part: 103,
        first_parts: 8,
        session_part: 69,
        sessions: 184,
        own_part: 543,
        output: 280,
        target_ms: 1000,
        pause_ms: 300,
        deadline_ms: 15_000,
    },
    ClassSheet {
        priority: 1,
        per_second: 40.0,
        first_part: 341,
        first_parts: 40,
        session_part: 227,
        sessions: 248,
        own_part: 1800,
        output: 24,
        target_ms: 1000,
        pause_ms: 500,
        deadline_ms: 3000,
    },
    ClassSheet {
        priority: 2,
        per_second: 80.0,
        first_part: 2520,
        first_parts: 4,
        session_part: 3780,
        sessions: 352,
        own_part: 2890,
        output: 52,
        target_ms: 1500,
        pause_ms: 1200,
        deadline_ms: 5000,
    },
];

/// A request in the model.
struct ModelRequest {
    class: usize,
    vm: usize,
    arrived: u64,
    parts: Vec<PromptPart>,
    engine: Option<usize>,
    prefill_ms: f64,
    unread: u32,
    made: u32,
    first: Option<u64>,
    last_event: u64,
    longest_pause: u64,
    ended: bool,
}

/// An engine in the model.
#[derive(Default)]
struct ModelEngine {
    busy_until: f64,
    running: Vec<usize>,
    cached: BTreeSet<u64>,
}

/// What the callers of one class got.
#[derive(Clone, Copy, Debug, Default)]
struct ClassResult {
    asked: u32,
    in_time: u32,
    refused: u32,
    /// Requests of the last seconds, which are calm, and those of them in time.
    calm_asked: u32,
    calm_in_time: u32,
    /// Tokens of shared parts that were read though another engine had them, in
    /// the last seconds, which are calm.
    read_again: u64,
}

/// How the load of the least urgent class goes, in parts of its sheet's rate.
#[derive(Clone, Copy)]
struct BurstPlan {
    calm: f64,
    burst: f64,
    /// Start and end of the burst, in ms.
    span: (u64, u64),
}

/// A long burst up to the rate of the sheet.
const LONG_BURST: BurstPlan = BurstPlan {
    calm: 0.45,
    burst: 1.0,
    span: (2000, 11_000),
};

/// A short burst to more than the engines can read, from a load that takes two
/// thirds of them if no shared part is read again.
const STEEP_BURST: BurstPlan = BurstPlan {
    calm: 1.0,
    burst: 2.6,
    span: (2000, 6000),
};

/// Which policy the VMs follow.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Product,
    RoundRobin,
}

struct Model {
    policy: Policy,
    plan: BurstPlan,
    random: u64,
    requests: Vec<ModelRequest>,
    engines: Vec<ModelEngine>,
    queues: Vec<WaitingQueue>,
    part_caches: Vec<Vec<PartCache>>,
    digests: Vec<Vec<ServerLoad>>,
    own: Vec<Vec<ServerLoad>>,
    results: [ClassResult; 3],
    next: usize,
    /// Session parts that some engine has read.
    read_once: BTreeSet<u64>,
}

impl Model {
    fn new(policy: Policy, plan: BurstPlan, seed: u64) -> Self {
        Self {
            policy,
            plan,
            random: seed * 2 + 1,
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| ModelEngine::default()).collect(),
            queues: (0..VMS).map(|_| WaitingQueue::default()).collect(),
            part_caches: (0..VMS)
                .map(|_| vec![PartCache::default(); ENGINES])
                .collect(),
            digests: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            own: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            results: [ClassResult::default(); 3],
            next: 0,
            read_once: BTreeSet::new(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(mut self) -> [ClassResult; 3] {
        for now in 0..END_MS {
            if now % DIGEST_MS == 0 {
                self.digests.clone_from(&self.own);
            }
            for (class, sheet) in CLASSES.iter().enumerate() {
                let (start, end) = self.plan.span;
                let factor = match (sheet.priority, (start..end).contains(&now)) {
                    (2, true) => self.plan.burst,
                    (2, false) => self.plan.calm,
                    _ => 1.0,
                };
                let rate = sheet.per_second * factor;
                if self.draw() < rate / 1000.0 {
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
        let sheet = CLASSES[class];
        let (first, session) = (self.draw(), self.draw());
        let session = (session * sheet.sessions as f64) as u64;
        let base = (class as u64 + 1) << 32;
        let first_id = base + (first * sheet.first_parts as f64) as u64;
        let ids = [
            (first_id, sheet.first_part),
            (
                base + (1 << 20) + session * 64 + first_id % 64,
                sheet.session_part,
            ),
            (
                base + (1 << 30) + self.requests.len() as u64,
                sheet.own_part,
            ),
        ];
        let parts = ids.map(|(id, tokens)| PromptPart { id, tokens }).to_vec();
        let vm = (self.draw() * VMS as f64) as usize;
        let exchange_id = self.requests.len();
        self.results[class].asked += 1;
        self.results[class].calm_asked += u32::from((CALM_MS..CALM_END_MS).contains(&now));
        self.requests.push(ModelRequest {
            class,
            vm,
            arrived: now,
            parts,
            engine: None,
            prefill_ms: 0.0,
            unread: 0,
            made: 0,
            first: None,
            last_event: 0,
            longest_pause: 0,
            ended: false,
        });
        let requirements = server_requirements(&self.requests[exchange_id]);
        self.queues[vm].push(WaitingRequest {
            exchange_id,
            priority: request_rank(Some(1), sheet.priority),
            requirements,
            caller_retry: false,
            workspace: format!("w{}", session % 10),
            cost: u64::from(sheet.own_part),
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
            let sheet = CLASSES[self.requests[exchange_id].class];
            let target = Duration::from_millis(sheet.target_ms);
            let wait = max_wait(target, Duration::from_millis(sheet.deadline_ms), false);
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
            self.next += 1;
            return Some((self.next % ENGINES, 0.0));
        }
        let request = &self.requests[exchange_id];
        let sheet = CLASSES[request.class];
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
            output_tokens: sheet.output,
            priority: sheet.priority,
            gap_sensitive: sheet.pause_ms <= 400,
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
        let sheet = CLASSES[request.class];
        let cached = &mut self.engines[engine].cached;
        let known: u32 = request
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
        if now >= CALM_MS && self.read_once.contains(&request.parts[1].id) {
            self.results[request.class].read_again += u64::from(shared.saturating_sub(known));
        }
        self.read_once.insert(request.parts[1].id);
        cached.extend(request.parts.iter().map(|part| part.id));
        request.engine = Some(engine);
        request.prefill_ms = prefill_ms;
        request.unread = tokens - known;
        let own = &mut self.own[request.vm][engine];
        own.requests += 1;
        own.backlog_ms += prefill_ms;
        own.tokens += u64::from(tokens);
        own.gap_sensitive_streams += u32::from(sheet.pause_ms <= 400);
        let life = Duration::from_millis(now);
        self.part_caches[request.vm][engine].record_use(&request.parts, life);
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
        let mut chunk = CHUNK;
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
            request.made += 1;
            self.note_token(*exchange_id, index, now);
        }
        let requests = &self.requests;
        self.engines[index]
            .running
            .retain(|exchange_id| !requests[*exchange_id].ended);
        let step = STEP_MS + STEP_MS_PER_REQUEST * running.len() as f64;
        self.engines[index].busy_until = now as f64 + step + f64::from(read) / TOKENS_PER_MS;
    }

    fn note_token(&mut self, exchange_id: usize, engine: usize, now: u64) {
        let request = &mut self.requests[exchange_id];
        let sheet = CLASSES[request.class];
        let own = &mut self.own[request.vm][engine];
        if request.first.is_none() {
            request.first = Some(now);
            request.last_event = now;
            own.backlog_ms = (own.backlog_ms - request.prefill_ms).max(0.0);
        }
        if request.made.is_multiple_of(TOKENS_PER_EVENT) {
            let pause = now - request.last_event;
            request.longest_pause = request.longest_pause.max(pause);
            request.last_event = now;
        }
        let late = now - request.arrived > sheet.deadline_ms;
        if request.made < sheet.output && !late {
            return;
        }
        request.ended = true;
        own.requests -= 1;
        let tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        own.tokens -= u64::from(tokens);
        own.gap_sensitive_streams -= u32::from(sheet.pause_ms <= 400);
        let first = request.first.unwrap_or(now) - request.arrived;
        let in_time = !late && first <= sheet.target_ms && request.longest_pause <= sheet.pause_ms;
        self.results[request.class].in_time += u32::from(in_time);
        let calm = (CALM_MS..CALM_END_MS).contains(&request.arrived);
        self.results[request.class].calm_in_time += u32::from(in_time && calm);
    }
}

fn server_requirements(request: &ModelRequest) -> ServerRequirements {
    let sheet = CLASSES[request.class];
    ServerRequirements {
        gap_sensitive: sheet.pause_ms <= 400,
        class: sheet.priority,
        home: long_prefix_key(&request.parts),
    }
}

fn share(result: ClassResult) -> f64 {
    f64::from(result.in_time) / f64::from(result.asked)
}

/// Requests of the last seconds haven't ended, so no share reaches 1.
#[test]
fn a_burst_of_long_prompts_leaves_the_more_urgent_classes_in_time() {
    for seed in [11, 12, 13] {
        let [gap_sensitive, urgent, burst] = Model::new(Policy::Product, LONG_BURST, seed).run();
        let told = format!("seed {seed}: {gap_sensitive:?} {urgent:?} {burst:?}");
        assert!(share(gap_sensitive) >= 0.85, "{told}");
        assert!(share(urgent) >= 0.85, "{told}");
        assert!(share(burst) <= share(urgent) + 0.15, "{told}");
        assert_eq!(gap_sensitive.refused, 0, "{told}");
        assert!(urgent.refused * 10 <= burst.refused.max(10), "{told}");
    }
}

/// Shows that the bounds above tell policies apart.
#[test]
fn engines_in_turn_make_more_urgent_streams_late_and_serve_fewer_callers() {
    for seed in [11, 12, 13, 21, 22, 23] {
        let ours = Model::new(Policy::Product, LONG_BURST, seed).run();
        let in_turn = Model::new(Policy::RoundRobin, LONG_BURST, seed).run();
        let told = format!("seed {seed}: {ours:?} against {in_turn:?}");
        assert!(share(in_turn[0]) < 0.85, "{told}");
        assert!(share(ours[0]) > share(in_turn[0]), "{told}");
        let total = |results: [ClassResult; 3]| -> u32 {
            results.iter().map(|result| result.in_time).sum()
        };
        assert!(total(ours) > total(in_turn), "{told}");
    }
}

/// A part that is sent to another engine than its home is read again there. Once
/// engines have no time for anything else, homes look busy for that very reason.
#[test]
fn shared_parts_are_read_where_they_were_read_once_a_burst_is_over() {
    let (mut asked, mut in_time, mut reads) = (0, 0, 0);
    let session_part = u64::from(CLASSES[2].session_part);
    for seed in [11, 12, 13, 21, 22, 23] {
        let [_, _, burst] = Model::new(Policy::Product, STEEP_BURST, seed).run();
        asked += burst.calm_asked;
        in_time += burst.calm_in_time;
        reads += burst.read_again / session_part;
    }
    let told = format!("{in_time} of {asked} in time, {reads} parts read again");
    assert!(f64::from(in_time) >= 0.85 * f64::from(asked), "{told}");
    assert!(reads * 20 <= u64::from(asked), "{told}");
}
