//! A fleet of VMs with wrong clocks, a lossy network, a store with compare-and-swap
//! and the platform that receives the reports.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use dewduty::truetime::ClockEstimate;
use dewduty::usage::{
    UsageAck, UsageCollector, UsageMeter, UsagePolicy, UsageShare, WindowIndex, WrittenReport,
};

/// Start of each run; not at the border of a window.
const START: Duration = Duration::from_millis(1_700_000_002_300);

/// Time after which a VM that is down leaves the list.
const DETECTION: Duration = Duration::from_secs(2);

/// Time after which the duty of a holder that is down is taken over.
const LEASE: Duration = Duration::from_secs(6);

const WORKSPACES: u64 = 3;

/// Something that happens to a VM.
#[derive(Clone, Copy, Debug)]
pub enum FleetEvent {
    Kill,
    /// Stopped for this number of milliseconds.
    Freeze(u64),
    /// Ends as planned.
    Stop,
    /// A new process, with a clock that is wrong by this number of milliseconds.
    Start(i64),
    /// The store is restored from a copy that is older by this number of reports.
    Restore(usize),
    /// Becomes the holder, while the last one still believes that it is.
    TakeOver,
}

/// How a run goes.
#[derive(Clone, Debug)]
pub struct FleetRun {
    pub vms: usize,
    pub seconds: u64,
    pub tick: Duration,
    /// Percentage of datagrams that are lost.
    pub loss: u64,
    /// Percentage of VMs whose clocks step by 2.4 s, again and again.
    pub stepping: usize,
    /// Millisecond, VM and event.
    pub events: Vec<(u64, usize, FleetEvent)>,
    /// Seconds in which the platform doesn't respond.
    pub outage: Range<u64>,
    pub seed: u64,
}

/// A window as the platform knows it.
#[derive(Debug)]
pub struct PostedWindow {
    #[expect(dead_code, reason = "printed when a test fails")]
    pub window: WindowIndex,
    /// Time from the end of the window to the first report.
    pub delay: Duration,
    pub counted: u64,
    pub truth: u64,
}

enum Datagram {
    Share(Vec<u8>),
    Ack(Vec<u8>),
}

struct ModelVm {
    /// True time at which its monotonic clock began.
    boot: Duration,
    /// Error of its wall clock, in milliseconds.
    error: i64,
    is_up: bool,
    frozen_until: Duration,
    down_since: Duration,
    clock: ClockEstimate,
    meter: UsageMeter,
    collector: UsageCollector,
    /// Revision of the written report that it has seen.
    revision: u64,
    is_holder: bool,
    receivers: Vec<usize>,
    listed: Vec<usize>,
    queue: Vec<(usize, Datagram)>,
}

pub struct FleetModel {
    run: FleetRun,
    policy: UsagePolicy,
    time: Duration,
    random: u64,
    vms: Vec<ModelVm>,
    holder: usize,
    holder_gone_at: Option<Duration>,
    network: BTreeMap<(Duration, u64), (usize, usize, Datagram)>,
    sent: u64,
    store: Option<WrittenReport>,
    /// What the store held before, oldest first.
    copies: Vec<Option<WrittenReport>>,
    revision: u64,
    posts: Vec<(Duration, WrittenReport)>,
    truth: BTreeMap<WindowIndex, u64>,
}

impl FleetModel {
    /// Runs to the end and returns the windows that lie within the run and had time
    /// to be reported. Fails if a window was reported twice with different counts or
    /// out of order.
    pub fn play(run: &FleetRun) -> Vec<PostedWindow> {
        let policy = UsagePolicy::new(Duration::from_secs(5), Duration::from_secs(10));
        let mut model = FleetModel {
            run: run.clone(),
            policy,
            time: START,
            random: run.seed,
            vms: Vec::new(),
            holder: 0,
            holder_gone_at: None,
            network: BTreeMap::new(),
            sent: 0,
            store: None,
            copies: Vec::new(),
            revision: 0,
            posts: Vec::new(),
            truth: BTreeMap::new(),
        };
        for vm in 0..run.vms {
            let is_wrong = vm < run.vms * run.stepping / 100;
            let error = if is_wrong { -2_400 } else { 0 };
            let process = model.process(vm, error);
            model.vms.push(process);
        }
        model.take_over(0);
        while model.time < START + Duration::from_secs(run.seconds) {
            model.tick();
        }
        model.posted_windows()
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }

    fn process(&mut self, vm: usize, error: i64) -> ModelVm {
        let started = (self.time.as_millis() as u64).wrapping_add_signed(error);
        let hash = vm as u64 + 1;
        ModelVm {
            boot: self.time - Duration::from_secs(1 + self.below(100_000)),
            error,
            is_up: true,
            frozen_until: self.time,
            down_since: self.time,
            clock: ClockEstimate::new(),
            meter: UsageMeter::new(self.policy.clone(), hash, started),
            collector: UsageCollector::new(self.policy.clone(), hash, started),
            revision: 0,
            is_holder: false,
            receivers: Vec::new(),
            listed: Vec::new(),
            queue: Vec::new(),
        }
    }

    fn tick(&mut self) {
        self.time += self.run.tick;
        self.apply_events();
        self.deliver();
        self.replace_holder();
        let listed = (0..self.vms.len()).filter(|&vm| self.is_listed(vm));
        let listed = listed.collect::<Vec<_>>();
        let after = |vm: &&usize| (**vm + self.vms.len() - self.holder) % self.vms.len();
        let mut receivers = listed.iter().collect::<Vec<_>>();
        receivers.sort_by_key(after);
        let receivers = receivers.into_iter().take(3).copied().collect::<Vec<_>>();
        for vm in 0..self.vms.len() {
            if self.is_running(vm) {
                self.step_vm(vm, &listed, &receivers);
            }
        }
    }

    fn apply_events(&mut self) {
        let elapsed = (self.time - START).as_millis() as u64;
        let tick = self.run.tick.as_millis() as u64;
        let is_now = |at: u64| at <= elapsed && at + tick > elapsed;
        for (at, vm, event) in self.run.events.clone() {
            if !is_now(at) || vm >= self.vms.len() {
                continue;
            }
            match event {
                FleetEvent::Kill => self.end_process(vm),
                FleetEvent::Freeze(time) => {
                    self.vms[vm].frozen_until = self.time + Duration::from_millis(time);
                }
                FleetEvent::Stop if self.is_running(vm) => {
                    self.vms[vm].meter.stop();
                    let receivers = [self.holder, (self.holder + 1) % self.vms.len()];
                    self.send_shares(vm, &receivers);
                    self.end_process(vm);
                }
                FleetEvent::Start(error) => self.vms[vm] = self.process(vm, error),
                FleetEvent::Restore(age) if age <= self.copies.len() => {
                    let copy = self.copies.len() - age;
                    self.store = self.copies.drain(copy..).next().unwrap_or_default();
                    self.revision += 1;
                }
                FleetEvent::TakeOver if self.is_running(vm) => self.take_over(vm),
                FleetEvent::Stop | FleetEvent::TakeOver | FleetEvent::Restore(_) => {}
            }
        }
    }

    fn end_process(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
        self.vms[vm].down_since = self.time;
    }

    fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].is_up && self.vms[vm].frozen_until <= self.time
    }

    fn is_listed(&self, vm: usize) -> bool {
        self.vms[vm].is_up || self.time < self.vms[vm].down_since + DETECTION
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.time, u64::MAX));
        for (_, (from, to, datagram)) in std::mem::replace(&mut self.network, later) {
            if self.vms[to].is_up {
                self.vms[to].queue.push((from, datagram));
            }
        }
    }

    fn replace_holder(&mut self) {
        if self.is_running(self.holder) && self.vms[self.holder].is_holder {
            self.holder_gone_at = None;
            return;
        }
        let gone_at = *self.holder_gone_at.get_or_insert(self.time);
        if self.time >= gone_at + LEASE {
            let count = self.vms.len();
            let mut next = (1..count).map(|step| (self.holder + step) % count);
            if let Some(vm) = next.find(|&vm| self.is_running(vm)) {
                self.take_over(vm);
            }
        }
    }

    fn take_over(&mut self, vm: usize) {
        self.holder = vm;
        self.holder_gone_at = None;
        let unix = self.estimate(vm);
        let process = &mut self.vms[vm];
        process.is_holder = true;
        process.revision = self.revision;
        process.collector.take_over(self.store.clone(), unix);
    }

    fn estimate(&self, vm: usize) -> Duration {
        self.vms[vm].clock.unix_at(self.time - self.vms[vm].boot)
    }

    fn step_vm(&mut self, vm: usize, listed: &[usize], receivers: &[usize]) {
        self.move_clock(vm);
        let now = self.time - self.vms[vm].boot;
        let wall = (self.time.as_millis() as u64).wrapping_add_signed(self.vms[vm].error);
        self.vms[vm]
            .clock
            .observe_own(Duration::from_millis(wall), now);
        for (from, datagram) in std::mem::take(&mut self.vms[vm].queue) {
            self.receive(vm, from, datagram, now);
        }
        self.watch(vm);
        self.count(vm, now);
        let hashes = |vms: &[usize]| vms.iter().map(|&vm| vm as u64 + 1).collect::<Vec<_>>();
        if self.vms[vm].receivers != receivers {
            self.vms[vm].receivers = receivers.to_vec();
            self.vms[vm].meter.set_receivers(hashes(receivers));
        }
        self.send_shares(vm, receivers);
        if receivers.contains(&vm) && self.vms[vm].listed != listed {
            self.vms[vm].listed = listed.to_vec();
            let unix = self.estimate(vm);
            self.vms[vm].collector.set_vms(hashes(listed), unix);
        }
        if self.vms[vm].is_holder {
            self.act(vm);
        }
    }

    fn move_clock(&mut self, vm: usize) {
        let is_stepping = vm < self.run.vms * self.run.stepping / 100;
        if is_stepping && self.below(150) == 0 {
            self.vms[vm].error = [0, 2_400, -2_400][self.below(3) as usize];
        }
    }

    fn receive(&mut self, vm: usize, from: usize, datagram: Datagram, now: Duration) {
        let process = &mut self.vms[vm];
        match datagram {
            Datagram::Share(bytes) => {
                let share = UsageShare::decode(&bytes).expect("a share decodes");
                if from != vm {
                    process.clock.observe_peer(share.vm, share.sent_unix, now);
                }
                let ack = process.collector.receive(&share, now, &process.clock);
                self.send(vm, from, Datagram::Ack(ack.encode()));
            }
            Datagram::Ack(bytes) => {
                let ack = UsageAck::decode(&bytes).expect("a reply decodes");
                process.meter.acknowledge(&ack);
                if let Some(unix) = ack.unix.filter(|_| from == self.holder) {
                    process.clock.observe_fleet(unix, now);
                }
            }
        }
    }

    /// Delivers a change of the store, sometimes later.
    fn watch(&mut self, vm: usize) {
        if self.vms[vm].revision < self.revision && self.below(4) == 0 {
            let process = &mut self.vms[vm];
            process.revision = self.revision;
            if let Some(written) = self.store.clone() {
                process.meter.forget_reported(written.window);
                process.collector.record_written(written);
            }
        }
    }

    /// Counts requests at a rate that rises and falls within 7 s.
    fn count(&mut self, vm: usize, now: Duration) {
        let phase = self.time.as_millis() % 7_000;
        let rate = if phase < 3_500 { phase } else { 7_000 - phase };
        let mean = rate as u64 * self.run.tick.as_millis() as u64 / 20;
        let requests = (mean + self.below(1_000)) / 1_000;
        for _ in 0..requests {
            let workspace = self.below(WORKSPACES);
            self.vms[vm].meter.record(workspace, now);
        }
        let window = self.policy.window_at(self.time);
        *self.truth.entry(window).or_default() += requests;
    }

    fn send_shares(&mut self, vm: usize, receivers: &[usize]) {
        let now = self.time - self.vms[vm].boot;
        let process = &mut self.vms[vm];
        if process.meter.next_due(now, &process.clock) > now {
            return;
        }
        for share in process.meter.next_report(now, &process.clock) {
            for &receiver in receivers {
                for bytes in share.encode() {
                    self.send(vm, receiver, Datagram::Share(bytes));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        let is_lost = from != to && self.below(100) < self.run.loss;
        if is_lost {
            return;
        }
        let latency = if from == to { 0 } else { 1 + self.below(30) };
        let arrival = self.time + Duration::from_millis(latency);
        self.sent += 1;
        if self.below(20) == 0
            && let Datagram::Share(bytes) = &datagram
        {
            let again = (arrival + Duration::from_millis(300), self.sent);
            let copy = Datagram::Share(bytes.clone());
            self.network.insert(again, (from, to, copy));
        }
        self.network
            .insert((arrival, self.sent), (from, to, datagram));
    }

    /// Acts as the holder. Responses of the store and the platform are sometimes
    /// lost.
    fn act(&mut self, vm: usize) {
        let second = (self.time - START).as_secs();
        let unix = self.estimate(vm);
        let is_lost = self.below(10) == 0;
        let process = &mut self.vms[vm];
        if let Some(written) = process.collector.unaccepted().cloned() {
            if !self.run.outage.contains(&second) {
                self.posts.push((self.time, written.clone()));
                if !is_lost {
                    process.collector.record_accepted(written.window);
                }
            }
        } else if let Some(plan) = process.collector.next_report(unix) {
            let counts = plan.totals.into_iter();
            let report = WrittenReport {
                window: plan.window,
                token: 1,
                counts: counts
                    .map(|(hash, count)| (hash.to_string(), count))
                    .collect(),
            };
            if process.revision == self.revision {
                self.revision += 1;
                self.copies.push(self.store.replace(report.clone()));
                if !is_lost {
                    process.revision = self.revision;
                    process.collector.record_written(report.clone());
                    process.meter.forget_reported(report.window);
                }
            }
        }
        // One that was replaced learns it only after it has acted.
        self.vms[vm].is_holder = vm == self.holder || self.below(50) != 0;
    }

    fn posted_windows(&self) -> Vec<PostedWindow> {
        let mut known = BTreeMap::<WindowIndex, &(Duration, WrittenReport)>::new();
        for post in &self.posts {
            let report = &post.1;
            if let Some((_, first)) = known.get(&report.window) {
                assert_eq!(first.counts, report.counts, "{:?}", self.run);
            } else {
                let last = known.keys().next_back();
                assert!(last < Some(&report.window), "out of order: {:?}", self.run);
                known.insert(report.window, post);
            }
        }
        let end = START + Duration::from_secs(self.run.seconds);
        let first = self.policy.window_at(START);
        let last = self.policy.window_at(end - self.policy.due);
        let windows = first..last;
        windows
            .map(|window| {
                let post = known.get(&window);
                let ended = self.policy.end_of(window);
                PostedWindow {
                    window,
                    delay: post.map_or(Duration::MAX, |(at, _)| at.saturating_sub(ended)),
                    counted: post.map_or(0, |(_, report)| report.counts.values().sum()),
                    truth: self.truth.get(&window).copied().unwrap_or(0),
                }
            })
            .collect()
    }
}
