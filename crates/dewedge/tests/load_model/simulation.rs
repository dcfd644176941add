//! The simulated pool: engines that work in steps, and VMs that decide.

use std::collections::BTreeSet;
use std::time::Duration;

use dewedge::format::{LoadReport, PromptPart};
use dewedge::policy::admission::max_wait;
use dewedge::policy::engine_model::{EngineModel, FirstEventSample, GapSample, StreamClass};
use dewedge::policy::load_reports::{ServerReports, ServiceReports};
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad, choose_engine,
    long_prefix_key, shared_prefix_tokens,
};
use dewedge::policy::queue::{ServerRequirements, WaitingQueue, WaitingRequest, request_rank};
use dewedge::policy::reported_placement::{ReportedQuery, choose_reported_engine};

use crate::deployments::{BurstPlan, Deployment, RandomSource};

const ENGINES: usize = 12;
const VMS: usize = 8;
const DIGEST_INTERVAL_MS: u64 = 100;
const END_MS: u64 = 20_000;

/// Time from which the burst no longer has effects.
const SETTLED_MS: u64 = 14_000;

/// Requests that arrive before this time have ended when the simulation does.
const SETTLED_END_MS: u64 = 17_000;
/// Largest event gap target of a stream that the fixed policy protects.
const FIXED_GAP_LIMIT_MS: u64 = 400;

/// Range of the noise in the slowness that an engine reports.
const SLOWNESS_NOISE: f64 = 0.3;

/// A simulated request.
pub struct ModelRequest {
    pub class: usize,
    pub vm: usize,
    pub arrived: u64,
    pub parts: Vec<PromptPart>,
    pub engine: Option<usize>,
    pub sent: u64,
    pub prefill_ms: f64,
    /// Prefill time of the other unread prompts when it was sent.
    pub ahead_ms: f64,
    /// Unread tokens, if the VM knows that the shared parts are cached.
    pub known_unread: Option<u32>,
    pub gap_sensitive: bool,
    pub unread: u32,
    pub generated: u32,
    pub first: Option<u64>,
    pub last_event: u64,
    /// Prefill time of the unread prompts at the engine after the last event.
    pub backlog_ms: f64,
    pub longest_gap: u64,
    pub ended: bool,
}

/// A simulated engine.
#[derive(Default)]
pub struct ModelEngine {
    pub busy_until: f64,
    pub running: Vec<usize>,
    pub cached: BTreeSet<u64>,
}

/// Results of the callers of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    pub requests: u32,
    pub in_time: u32,
    pub refused: u32,
    /// Requests that were served and ended too late or with too long a gap.
    pub late: u32,
    /// Requests that arrived after the burst, and those of them that were in
    /// time.
    pub settled_requests: u32,
    pub settled_in_time: u32,
    /// Tokens of shared parts that were read again after the burst although an
    /// engine had already read them.
    pub reread_tokens: u64,
}

/// Placement policy of the VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The product's functions with the learned model.
    Product,
    /// The same with the load and slowness that engines report.
    Reported,
    /// The product's functions with a model that never learns, and with streams
    /// that are protected by a fixed limit of their gap target.
    FixedConstants,
    LeastInFlight,
    RoundRobin,
}

pub struct Model {
    pub deployment: Deployment,
    pub policy: Policy,
    pub plan: BurstPlan,
    pub random: RandomSource,
    pub requests: Vec<ModelRequest>,
    pub engines: Vec<ModelEngine>,
    pub queues: Vec<WaitingQueue>,
    pub part_caches: Vec<Vec<PartCache>>,
    pub digests: Vec<Vec<ServerLoad>>,
    pub own: Vec<Vec<ServerLoad>>,
    pub engine_models: Vec<EngineModel>,
    pub services: Vec<ServiceReports>,
    pub reports: Vec<Vec<ServerReports>>,
    /// Requests that each engine got.
    pub sent: [u32; ENGINES],
    pub results: [ClassResult; 3],
    pub next_engine: usize,
    /// Session parts that an engine has read.
    pub read_parts: BTreeSet<u64>,
}

impl Model {
    pub fn new(deployment: Deployment, policy: Policy, plan: BurstPlan, seed: u64) -> Self {
        Self {
            deployment,
            policy,
            plan,
            random: RandomSource::new(seed),
            requests: Vec::new(),
            engines: (0..ENGINES).map(|_| ModelEngine::default()).collect(),
            queues: (0..VMS).map(|_| WaitingQueue::default()).collect(),
            part_caches: (0..VMS)
                .map(|_| vec![PartCache::default(); ENGINES])
                .collect(),
            digests: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            own: vec![vec![ServerLoad::default(); ENGINES]; VMS],
            engine_models: vec![learning_model(&deployment); VMS],
            services: vec![ServiceReports::default(); VMS],
            reports: vec![vec![ServerReports::default(); ENGINES]; VMS],
            sent: [0; ENGINES],
            results: [ClassResult::default(); 3],
            next_engine: 0,
            read_parts: BTreeSet::new(),
        }
    }

    pub fn run(self) -> [ClassResult; 3] {
        self.run_with_spread().0
    }

    /// Returns the results and the largest number of requests that an engine got,
    /// relative to the mean.
    pub fn run_with_spread(mut self) -> ([ClassResult; 3], f64) {
        for now in 0..END_MS {
            if now % DIGEST_INTERVAL_MS == 0 {
                self.digests.clone_from(&self.own);
            }
            for (class, spec) in self.deployment.classes.into_iter().enumerate() {
                let (start, end) = self.plan.span;
                let factor = match (spec.priority, (start..end).contains(&now)) {
                    (2, true) => self.plan.burst,
                    (2, false) => self.plan.baseline,
                    _ => 1.0,
                };
                let rate = spec.per_second * factor;
                if self.random.next() < rate / 1000.0 {
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
        (self.results, self.largest_to_mean())
    }

    fn arrive(&mut self, class: usize, now: u64) {
        let spec = self.deployment.classes[class];
        let (first, session) = (self.random.next(), self.random.next());
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
        let vm = (self.random.next() * VMS as f64) as usize;
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
            sent: 0,
            prefill_ms: 0.0,
            ahead_ms: 0.0,
            known_unread: None,
            gap_sensitive: false,
            unread: 0,
            generated: 0,
            first: None,
            last_event: 0,
            backlog_ms: 0.0,
            longest_gap: 0,
            ended: false,
        });
        let requirements = self.server_requirements(exchange_id);
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
            let spec = self.deployment.classes[self.requests[exchange_id].class];
            let target = Duration::from_millis(spec.target_ms);
            let wait = max_wait(target, Duration::from_millis(spec.deadline_ms), false);
            if u128::from(now - self.requests[exchange_id].arrived) > wait.as_millis() {
                self.queues[vm].remove(exchange_id);
                self.results[self.requests[exchange_id].class].refused += 1;
                continue;
            }
            let requirements = self.server_requirements(exchange_id);
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
        match self.policy {
            Policy::RoundRobin => {
                self.next_engine += 1;
                return Some((self.next_engine % ENGINES, 0.0));
            }
            Policy::LeastInFlight => {
                let in_flight = |engine: &usize| self.load(vm, *engine).requests;
                let engine = (0..ENGINES).min_by_key(in_flight)?;
                return Some((engine, 0.0));
            }
            Policy::Product | Policy::Reported | Policy::FixedConstants => {}
        }
        // Other policies draw no number here.
        let random = match self.policy {
            Policy::Reported => (self.random.next() * (1u64 << 53) as f64) as u64,
            _ => 0,
        };
        let request = &self.requests[exchange_id];
        let spec = self.deployment.classes[request.class];
        let mut views: Vec<ReplicaView<'_>> = (0..ENGINES)
            .map(|engine| ReplicaView {
                hash: engine as u64 * 7919 + 13,
                usable: true,
                same_data_centre: true,
                warming_up: false,
                slots: self.deployment.kind.slots,
                kv_cache_tokens: self.deployment.kind.kv_cache_tokens,
                load: self.load(vm, engine),
                slowness: 1.0,
                is_slow: false,
                failure_rate: 0.0,
                cached_parts: &self.part_caches[vm][engine],
            })
            .collect();
        let query = PlacementQuery {
            parts: &request.parts,
            prompt_tokens: request.parts.iter().map(|part| part.tokens).sum(),
            output_tokens: spec.output,
            priority: spec.priority,
            gap_sensitive: self.is_gap_sensitive(exchange_id),
            latency_target: Duration::from_millis(spec.target_ms),
            waited: Duration::from_millis(now - request.arrived),
            now: Duration::from_millis(now),
        };
        let choice = match self.policy {
            Policy::Reported => {
                self.adapt_views(vm, &mut views, now);
                let query = ReportedQuery {
                    request: query,
                    event_gap_target: Some(Duration::from_millis(spec.event_gap_ms)),
                    random,
                };
                choose_reported_engine(&query, &views, &self.engine_models[vm])
            }
            _ => choose_engine(&query, &views, &self.engine_models[vm]),
        };
        match choice {
            PlacementChoice::Chosen {
                hash, prefill_ms, ..
            } => Some(((hash as usize - 13) / 7919, prefill_ms)),
            _ => None,
        }
    }

    fn adapt_views(&self, vm: usize, views: &mut [ReplicaView<'_>], now: u64) {
        let lifetime = self.services[vm].lifetime();
        for (engine, view) in views.iter_mut().enumerate() {
            let own = self.own[vm][engine].requests;
            let now = Duration::from_millis(now);
            self.reports[vm][engine].adapt_view(view, own, lifetime, now);
        }
    }

    /// Receives the report of an engine with the first event of a stream.
    fn record_report(&mut self, vm: usize, engine: usize, now: u64) {
        let noise = (self.random.next() - 0.5) * 2.0 * SLOWNESS_NOISE;
        let running = self.engines[engine].running.len() as u32;
        let slots = self.deployment.kind.slots;
        let report = LoadReport {
            running: running.min(slots),
            waiting: running.saturating_sub(slots),
            slots,
            slowness: Some(self.speed(engine) + noise),
        };
        let own = self.own[vm][engine].requests;
        let peer_requests = self.load(vm, engine).requests - own;
        let service = &mut self.services[vm];
        let now = Duration::from_millis(now);
        self.reports[vm][engine].record_report(report, peer_requests, service, now);
    }

    fn speed(&self, engine: usize) -> f64 {
        let speeds = self.deployment.kind.speeds;
        speeds[engine % speeds.len()]
    }

    /// Returns the slowness by which samples of an engine are divided.
    fn slowness(&self, vm: usize, engine: usize) -> f64 {
        match self.policy {
            Policy::Reported => self.reports[vm][engine].reported_slowness(),
            _ => 1.0,
        }
    }

    fn largest_to_mean(&self) -> f64 {
        let largest = self.sent.iter().copied().max().unwrap_or(0);
        let total: u32 = self.sent.iter().sum();
        f64::from(largest) * ENGINES as f64 / f64::from(total.max(1))
    }

    /// Returns the load on an engine as a VM sees it.
    fn load(&self, vm: usize, engine: usize) -> ServerLoad {
        let mut load = self.own[vm][engine];
        for other in (0..VMS).filter(|other| *other != vm) {
            load.add(&self.digests[other][engine]);
        }
        load
    }

    fn is_gap_sensitive(&self, exchange_id: usize) -> bool {
        let request = &self.requests[exchange_id];
        let gap_ms = self.deployment.classes[request.class].event_gap_ms;
        let tokens = request.parts.iter().map(|part| part.tokens).sum();
        match self.policy {
            Policy::FixedConstants => gap_ms <= FIXED_GAP_LIMIT_MS,
            _ => self.engine_models[request.vm]
                .is_gap_sensitive(Duration::from_millis(gap_ms), tokens),
        }
    }

    fn server_requirements(&self, exchange_id: usize) -> ServerRequirements {
        let request = &self.requests[exchange_id];
        ServerRequirements {
            gap_sensitive: self.is_gap_sensitive(exchange_id),
            class: self.deployment.classes[request.class].priority,
            home: long_prefix_key(&request.parts, &self.engine_models[request.vm]),
            version: None,
        }
    }

    fn send(&mut self, exchange_id: usize, engine: usize, prefill_ms: f64, now: u64) {
        let gap_sensitive = self.is_gap_sensitive(exchange_id);
        let ahead_ms = self.load(self.requests[exchange_id].vm, engine).backlog_ms;
        let request = &mut self.requests[exchange_id];
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
        request.sent = now;
        request.prefill_ms = prefill_ms;
        request.ahead_ms = ahead_ms;
        request.gap_sensitive = gap_sensitive;
        let known = self.part_caches[request.vm][engine]
            .cached_tokens(&request.parts, Duration::from_millis(now));
        request.known_unread =
            (known >= shared_prefix_tokens(&request.parts)).then(|| tokens.saturating_sub(known));
        request.unread = tokens - cached_tokens;
        let own = &mut self.own[request.vm][engine];
        own.requests += 1;
        own.backlog_ms += prefill_ms;
        own.tokens += u64::from(tokens);
        own.gap_sensitive_streams += u32::from(gap_sensitive);
        let used_at = Duration::from_millis(now);
        self.part_caches[request.vm][engine].record_use(&request.parts, used_at);
        self.engines[engine].running.push(exchange_id);
        self.sent[engine] += 1;
        let vm = self.requests[exchange_id].vm;
        self.reports[vm][engine].record_send(used_at);
    }

    fn step(&mut self, index: usize, now: u64) {
        if self.engines[index].busy_until > now as f64 {
            return;
        }
        let running = self.engines[index].running.clone();
        if running.is_empty() {
            return;
        }
        let kind = self.deployment.kind;
        let mut chunk = kind.chunk_tokens;
        let mut read = 0;
        for exchange_id in &running {
            let request = &mut self.requests[*exchange_id];
            if now < request.sent + kind.first_ms {
                continue;
            }
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
        let step = kind.step_ms
            + kind.step_ms_per_request * running.len() as f64
            + f64::from(read) / kind.tokens_per_ms;
        self.engines[index].busy_until = now as f64 + step * self.speed(index);
    }

    fn record_token(&mut self, exchange_id: usize, engine: usize, now: u64) {
        let load = self.load(self.requests[exchange_id].vm, engine);
        let learns = matches!(self.policy, Policy::Product | Policy::Reported);
        let vm = self.requests[exchange_id].vm;
        if self.policy == Policy::Reported && self.requests[exchange_id].first.is_none() {
            self.record_report(vm, engine, now);
        }
        let slowness = self.slowness(vm, engine);
        let request = &mut self.requests[exchange_id];
        let spec = self.deployment.classes[request.class];
        let own = &mut self.own[request.vm][engine];
        if request.first.is_none() {
            request.first = Some(now);
            request.last_event = now;
            request.backlog_ms = load.backlog_ms;
            own.backlog_ms = (own.backlog_ms - request.prefill_ms).max(0.0);
            if let (true, Some(unread_tokens)) = (learns, request.known_unread) {
                self.engine_models[request.vm].record_first_event(FirstEventSample {
                    unread_tokens,
                    backlog_ms: request.ahead_ms,
                    took: Duration::from_millis(now - request.sent).div_f64(slowness),
                });
            }
        }
        if request
            .generated
            .is_multiple_of(self.deployment.kind.tokens_per_event)
        {
            let gap = now - request.last_event;
            if learns {
                self.engine_models[request.vm].record_gap(GapSample {
                    gap: Duration::from_millis(gap).div_f64(slowness),
                    backlog_ms: request.backlog_ms,
                    ends_idle: load.backlog_ms <= 0.0,
                    running: load.requests,
                });
            }
            request.longest_gap = request.longest_gap.max(gap);
            request.last_event = now;
            request.backlog_ms = load.backlog_ms;
        }
        let late = now - request.arrived > spec.deadline_ms;
        if request.generated < spec.output && !late {
            return;
        }
        request.ended = true;
        if learns && request.gap_sensitive {
            self.engine_models[request.vm].record_stream(
                request.prefill_ms,
                Duration::from_millis(now - request.sent),
            );
        }
        own.requests -= 1;
        let took = Duration::from_millis(now - request.sent);
        self.services[vm].record_request(took);
        let sent = Duration::from_millis(request.sent);
        let ended = Duration::from_millis(now);
        self.reports[vm][engine].record_end(sent, true, ended);
        let tokens: u32 = request.parts.iter().map(|part| part.tokens).sum();
        own.tokens -= u64::from(tokens);
        own.gap_sensitive_streams -= u32::from(request.gap_sensitive);
        let first = request.first.unwrap_or(now) - request.arrived;
        let in_time = !late && first <= spec.target_ms && request.longest_gap <= spec.event_gap_ms;
        self.results[request.class].in_time += u32::from(in_time);
        self.results[request.class].late += u32::from(!in_time);
        let settled = (SETTLED_MS..SETTLED_END_MS).contains(&request.arrived);
        self.results[request.class].settled_in_time += u32::from(in_time && settled);
    }
}

/// Returns the model of a VM that has only read the tables.
pub fn learning_model(deployment: &Deployment) -> EngineModel {
    let mut model = EngineModel::default();
    let classes = deployment.classes.iter().map(|spec| StreamClass {
        priority: spec.priority,
        latency_target: Duration::from_millis(spec.target_ms),
        event_gap_target: Duration::from_millis(spec.event_gap_ms),
    });
    model.set_classes(classes.collect());
    model
}

pub fn in_time_share(result: ClassResult) -> f64 {
    f64::from(result.in_time) / f64::from(result.requests)
}
