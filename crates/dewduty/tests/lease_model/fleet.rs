//! Simulates the VMs of a fleet, their connections and the platform's API.
//!
//! Only monotonic clocks are read, so steps of wall clocks play no part. Each VM's
//! clock has its own start and rate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dewduty::lease::{DutySubject, LeaseEvent, LeasePolicy, LeaseTable, StoreEra};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::calls::{ProcessId, SubjectRecord};
use crate::case::{DISTURBED, Disturbance, DisturbanceCase, FleetCase, MAX_LENGTH, MS};
use crate::store::{ModelStore, StoreRequest, TrueTime};

/// Time after which a VM gives up a call to the store.
const STORE_TIMEOUT: TrueTime = 1_500 * MS;

/// Time within which a VM sends a call or drops it.
const SEND_WINDOW: TrueTime = 1_500 * MS;

/// Longest time for which a message is under way.
const MAX_LATENCY: TrueTime = 2_500 * MS;

/// When all disturbances and late messages have ended.
const CALM: TrueTime = DISTURBED + MAX_LENGTH + MAX_LATENCY;

/// Time after that within which each subject has a holder again: TTL, 2 s and the
/// longest rank delay.
const RECOVERY: TrueTime = 12_000 * MS;

/// The pause after the API was unreachable.
const API_PAUSE: TrueTime = 20_000 * MS;

#[derive(Debug)]
enum Delivery {
    Response(u64, StoreEra, Vec<LeaseEvent>),
    /// The call was refused at once, or had no response in time.
    NoResponse(u64, StoreRequest),
    Watch(StoreEra, Vec<LeaseEvent>),
    ApiEnded(usize, bool),
}

#[derive(Debug)]
enum ModelEvent {
    Begin(DisturbanceCase),
    EndOutage,
    Copy,
    Expire,
    Start(usize),
    Wake(usize),
    AtStore(ProcessId, u64, StoreRequest, Duration),
    AtVm(ProcessId, Delivery),
    AtApi(ProcessId, usize, u64),
}

#[derive(Debug)]
struct ModelVm {
    name: String,
    table: Option<LeaseTable>,
    starts: u64,
    /// Reading of the clock at the start of the case, and its error in ppm.
    clock: (u64, u64),
    frozen_until: TrueTime,
    inbox: Vec<Delivery>,
    requests_cut_until: TrueTime,
    responses_cut_until: TrueTime,
    api_cut_until: TrueTime,
    unwanted_until: TrueTime,
    /// End of a planned stop, and of the time until the next start.
    stopping: Option<(TrueTime, TrueTime)>,
    /// Calls that wait, and until when they may be sent.
    queue: VecDeque<(TrueTime, StoreRequest)>,
    call: Option<u64>,
    needs_list: bool,
    /// The list call since whose sending the watch wasn't ended.
    list_call: Option<u64>,
    list_at: TrueTime,
    /// When the next call about each subject is due; `None` during one.
    next_calls: Vec<Option<TrueTime>>,
    wake_at: TrueTime,
}

impl ModelVm {
    fn local(&self, now: TrueTime) -> Duration {
        let (start, error) = self.clock;
        Duration::from_micros(start + now + now * error / 1_000_000)
    }

    fn true_time(&self, local: Duration) -> TrueTime {
        let (start, error) = self.clock;
        let elapsed = u64::try_from(local.as_micros())
            .unwrap()
            .saturating_sub(start);
        elapsed * 1_000_000 / (1_000_000 + error) + 2
    }
}

/// A fleet with its store.
pub struct ModelFleet {
    now: TrueTime,
    queue: BTreeMap<(TrueTime, u64), ModelEvent>,
    numbers: u64,
    random: StdRng,
    bad_messages: u32,
    store: ModelStore,
    watchers: BTreeSet<usize>,
    vms: Vec<ModelVm>,
    subjects: Vec<DutySubject>,
    records: Vec<SubjectRecord>,
}

/// Runs a case.
///
/// # Errors
///
/// Returns the property that was violated.
pub fn run(case: &FleetCase) -> Result<(), String> {
    let mut fleet = ModelFleet::new(case);
    let cuts_api = |case: &DisturbanceCase| matches!(case.what, Disturbance::CutApi);
    let pause = case.disturbances.iter().any(cuts_api);
    let recovered = CALM + RECOVERY + if pause { API_PAUSE } else { 0 };
    fleet.run_until(recovered)?;
    fleet.check_holders()?;
    let revision = fleet.store.revision();
    fleet.run_until(recovered + 3_000 * MS)?;
    fleet.check_holders()?;
    if fleet.store.revision() == revision {
        Ok(())
    } else {
        Err("the store was written to although nothing had changed".to_string())
    }
}

impl ModelFleet {
    fn new(case: &FleetCase) -> Self {
        let mut random = StdRng::seed_from_u64(case.seed);
        let orders = |number| DutySubject::Orders {
            service: format!("service-{number}"),
            data_centre: "cph-a".to_string(),
        };
        let subjects = (1..case.subjects).map(orders).chain([DutySubject::Usage]);
        let subjects = subjects.collect::<Vec<_>>();
        let vms = (0..case.vms).map(|number| ModelVm {
            name: format!("vm-{number}"),
            table: None,
            starts: 0,
            clock: (
                random.random_range(0..u64::MAX >> 20),
                random.random_range(0..2000),
            ),
            frozen_until: 0,
            inbox: vec![],
            requests_cut_until: 0,
            responses_cut_until: 0,
            api_cut_until: 0,
            unwanted_until: 0,
            stopping: None,
            queue: VecDeque::new(),
            call: None,
            needs_list: true,
            list_call: None,
            list_at: 0,
            next_calls: vec![],
            wake_at: 0,
        });
        let mut fleet = ModelFleet {
            now: 0,
            queue: BTreeMap::new(),
            numbers: 0,
            vms: vms.collect(),
            random,
            bad_messages: case.bad_messages,
            store: ModelStore::default(),
            watchers: BTreeSet::new(),
            records: subjects.iter().map(|_| SubjectRecord::default()).collect(),
            subjects,
        };
        for vm in 0..case.vms {
            let at = fleet.random.random_range(0..1000) * MS;
            fleet.push(at, ModelEvent::Start(vm));
        }
        for disturbance in &case.disturbances {
            fleet.push(disturbance.at, ModelEvent::Begin(*disturbance));
        }
        (0..DISTURBED / MS)
            .step_by(700)
            .for_each(|ms| fleet.push(ms * MS, ModelEvent::Copy));
        fleet
    }

    fn push(&mut self, at: TrueTime, event: ModelEvent) {
        self.numbers += 1;
        self.queue.insert((at.max(self.now), self.numbers), event);
    }

    fn chance(&mut self) -> bool {
        self.now < DISTURBED + MAX_LENGTH && self.random.random_range(0..300) < self.bad_messages
    }

    /// Sends a message that may be lost, duplicated or late.
    fn send(&mut self, message: impl Fn() -> ModelEvent) {
        if self.chance() {
            return;
        }
        let copies = 1 + u64::from(self.chance());
        for _ in 0..copies {
            let most = if self.chance() { MAX_LATENCY } else { 30 * MS };
            let at = self.now + self.random.random_range(0..most);
            self.push(at, message());
        }
    }

    fn run_until(&mut self, end: TrueTime) -> Result<(), String> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 >= end {
                break;
            }
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle(event)?;
            self.report_changes();
        }
        self.now = end;
        Ok(())
    }

    fn check_holders(&self) -> Result<(), String> {
        let lacks = |record: &&SubjectRecord| record.holder(self.now).is_none();
        match self.records.iter().find(lacks) {
            Some(_) => Err(format!("a subject has no holder at {}", self.now)),
            None => Ok(()),
        }
    }

    fn handle(&mut self, event: ModelEvent) -> Result<(), String> {
        match event {
            ModelEvent::Begin(case) => self.disturb(case),
            ModelEvent::EndOutage => {
                self.store.end_outage(self.now);
                self.push(self.now, ModelEvent::Expire);
            }
            ModelEvent::Copy => self.store.copy(),
            ModelEvent::Expire => {
                self.store.expire(self.now);
                self.schedule_expiry();
            }
            ModelEvent::Start(vm) => return self.start(vm),
            ModelEvent::Wake(vm) if self.vms[vm].wake_at == self.now => return self.run_vm(vm),
            ModelEvent::Wake(_) => {}
            ModelEvent::AtStore(process, call, request, sent) => {
                self.execute(process, call, request, sent);
            }
            ModelEvent::AtVm(process, delivery) => {
                let vm = &mut self.vms[process.0];
                if vm.starts == process.1 && vm.table.is_some() {
                    vm.inbox.push(delivery);
                    return self.run_vm(process.0);
                }
            }
            ModelEvent::AtApi(process, subject, token) => {
                return self.records[subject].arrive(process, token, self.now);
            }
        }
        Ok(())
    }

    fn schedule_expiry(&mut self) {
        if let Some(at) = self
            .store
            .next_expiry()
            .filter(|_| self.store.down.is_none())
        {
            self.push(at, ModelEvent::Expire);
        }
    }

    fn disturb(&mut self, case: DisturbanceCase) {
        let record = case.holder_of.and_then(|subject| self.records.get(subject));
        let index = record
            .and_then(|record| record.holder(self.now))
            .unwrap_or(case.vm);
        let until = self.now + case.length;
        let vm = &mut self.vms[index];
        match case.what {
            Disturbance::Kill => self.end_process(index, until),
            Disturbance::Freeze => {
                vm.frozen_until = until;
                self.wake_at(index, until);
            }
            Disturbance::Stop if vm.table.is_some() => {
                vm.stopping = Some((self.now + 2_000 * MS, until));
                self.wake_at(index, self.now);
            }
            Disturbance::Stop => {}
            Disturbance::CutResponses => self.cut(index, 0, until),
            Disturbance::CutRequests => self.cut(index, until, 0),
            Disturbance::CutApi => vm.api_cut_until = until,
            Disturbance::Unwanted => {
                vm.unwanted_until = until;
                self.wake_at(index, self.now);
            }
            Disturbance::Outage { pauses_leases } => {
                self.store.down.get_or_insert((self.now, pauses_leases));
                (0..self.vms.len()).for_each(|vm| self.disconnect(vm));
                self.push(until, ModelEvent::EndOutage);
            }
            Disturbance::Restore {
                age,
                leases,
                cuts_holder,
            } => {
                if cuts_holder {
                    self.cut(index, until, until);
                }
                self.store.restore(age, leases, self.now);
                (0..self.vms.len()).for_each(|vm| self.disconnect(vm));
                self.schedule_expiry();
            }
        }
    }

    fn cut(&mut self, index: usize, requests: TrueTime, responses: TrueTime) {
        let vm = &mut self.vms[index];
        vm.requests_cut_until = vm.requests_cut_until.max(requests);
        vm.responses_cut_until = vm.responses_cut_until.max(responses);
        self.disconnect(index);
    }

    /// Ends the watch of a VM, which then reads everything again.
    fn disconnect(&mut self, index: usize) {
        self.watchers.remove(&index);
        self.vms[index].needs_list = true;
        self.vms[index].list_call = None;
        self.wake_at(index, self.now + 100 * MS);
    }

    fn end_process(&mut self, index: usize, restart: TrueTime) {
        let vm = &mut self.vms[index];
        if vm.table.take().is_some() {
            vm.starts += 1;
            vm.stopping = None;
            vm.inbox.clear();
            vm.queue.clear();
            self.watchers.remove(&index);
            let now = self.now;
            let ended = self.records.iter_mut();
            ended.for_each(|record| record.claim(index, None, now).expect("it ends"));
            self.push(restart, ModelEvent::Start(index));
        }
    }

    fn start(&mut self, index: usize) -> Result<(), String> {
        let mut names = self
            .vms
            .iter()
            .map(|vm| vm.name.clone())
            .collect::<Vec<_>>();
        // VMs may know different parts of the fleet.
        names.retain(|_| !self.random.random_bool(0.02));
        let policy = LeasePolicy::new(self.vms[index].name.clone(), Duration::from_secs(3));
        let subjects = self.subjects.clone();
        let vm = &mut self.vms[index];
        let local = vm.local(self.now);
        let mut table = LeaseTable::new(policy);
        table.set_subjects(subjects, local);
        table.apply(LeaseEvent::VmsChanged(names), local);
        vm.table = Some(table);
        vm.call = None;
        vm.list_call = None;
        vm.needs_list = true;
        vm.list_at = self.now;
        vm.next_calls = vec![Some(self.now); self.subjects.len()];
        self.run_vm(index)
    }

    /// Wakes a VM at this time unless it wakes earlier.
    fn wake_at(&mut self, index: usize, at: TrueTime) {
        let vm = &mut self.vms[index];
        if vm.wake_at <= self.now || at < vm.wake_at {
            vm.wake_at = at.max(self.now);
            self.push(at, ModelEvent::Wake(index));
        }
    }

    /// Reports changed keys to all watches.
    fn report_changes(&mut self) {
        for subject in std::mem::take(&mut self.store.changed) {
            let events = self.store.seen(&subject).to_vec();
            for vm in self.watchers.iter().copied().collect::<Vec<_>>() {
                let era = self.store.era;
                let process = (vm, self.vms[vm].starts);
                let at = self.now + self.random.random_range(0..30 * MS);
                let delivery = Delivery::Watch(era, events.clone());
                self.push(at, ModelEvent::AtVm(process, delivery));
            }
        }
    }

    fn execute(&mut self, process: ProcessId, call: u64, request: StoreRequest, sent: Duration) {
        if self.store.down.is_some() {
            return;
        }
        self.store.expire(self.now);
        let name = &self.vms[process.0].name;
        let events = self.store.execute(name, &request, sent, self.now);
        self.schedule_expiry();
        let vm = &self.vms[process.0];
        if vm.responses_cut_until > self.now {
            return;
        }
        if matches!(request, StoreRequest::List) && vm.starts == process.1 {
            self.watchers.insert(process.0);
        }
        let era = self.store.era;
        self.send(|| {
            let delivery = Delivery::Response(call, era, events.clone());
            ModelEvent::AtVm(process, delivery)
        });
    }

    /// Lets a VM handle what has arrived and do what is due.
    fn run_vm(&mut self, index: usize) -> Result<(), String> {
        let vm = &mut self.vms[index];
        if vm.frozen_until > self.now {
            let thaw = vm.frozen_until;
            vm.wake_at = self.now;
            self.wake_at(index, thaw);
            return Ok(());
        }
        let Some(mut table) = vm.table.take() else {
            return Ok(());
        };
        let local = vm.local(self.now);
        for delivery in std::mem::take(&mut vm.inbox) {
            self.deliver(index, &mut table, delivery, local);
        }
        let vm = &mut self.vms[index];
        let wanted = vm.unwanted_until <= self.now;
        table.set_subjects(self.subjects.iter().filter(|_| wanted).cloned(), local);
        if vm.stopping.is_some() {
            table.apply(LeaseEvent::Stopping, local);
        }
        let actions = table.poll(local);
        let send_by = self.now + SEND_WINDOW;
        let requests = actions.into_iter().map(StoreRequest::Action);
        vm.queue.extend(requests.map(|request| (send_by, request)));
        self.send_calls(index, &mut table, local);
        self.call_api(index, &mut table, local);
        for (number, subject) in self.subjects.iter().enumerate() {
            let authority = table.authority(subject, local);
            let until = authority.map(|authority| self.vms[index].true_time(authority.valid_until));
            self.records[number].claim(index, until, self.now)?;
        }
        let vm = &mut self.vms[index];
        let due = table
            .next_due(local)
            .map(|due| vm.true_time(due).max(self.now + MS));
        let idle = table.is_idle();
        vm.table = Some(table);
        let ended = idle && vm.queue.is_empty();
        if let Some((_, restart)) = vm.stopping.filter(|(end, _)| ended || *end <= self.now) {
            self.end_process(index, restart);
            return Ok(());
        }
        let list = vm.needs_list.then_some(vm.list_at);
        let stop = vm.stopping.map(|(end, _)| end);
        let api = vm
            .next_calls
            .iter()
            .flatten()
            .copied()
            .filter(|at| *at > self.now);
        let wanted = Some(vm.unwanted_until);
        let dues = [due, list, stop, wanted].into_iter().flatten().chain(api);
        let due = dues.filter(|at| *at > self.now).min();
        self.vms[index].wake_at = self.now;
        due.into_iter().for_each(|at| self.wake_at(index, at));
        Ok(())
    }

    fn deliver(&mut self, index: usize, table: &mut LeaseTable, delivery: Delivery, now: Duration) {
        let vm = &mut self.vms[index];
        let (era, events) = match delivery {
            Delivery::Response(call, era, events) => {
                vm.call.take_if(|pending| *pending == call);
                vm.needs_list &= vm.list_call != Some(call);
                (Some(era), events)
            }
            Delivery::NoResponse(call, request) => {
                if vm.call.take_if(|pending| *pending == call).is_none() {
                    return;
                }
                (None, request.failure())
            }
            Delivery::Watch(era, events) => (Some(era), events),
            Delivery::ApiEnded(number, answered) => {
                let wait = self.random.random_range(100..500) * MS;
                vm.next_calls[number] = Some(self.now + wait);
                let subject = self.subjects[number].clone();
                table.end_call(&subject);
                let event = match answered {
                    true => LeaseEvent::ApiAnswered { subject },
                    false => LeaseEvent::ApiFailed { subject },
                };
                return table.apply(event, now);
            }
        };
        if era.is_some() {
            table.apply(LeaseEvent::Responded { era }, now);
        }
        events.into_iter().for_each(|event| table.apply(event, now));
    }

    /// Makes the next call to the store; there is one at a time.
    fn send_calls(&mut self, index: usize, table: &mut LeaseTable, local: Duration) {
        let vm = &mut self.vms[index];
        if vm.call.is_some() {
            return;
        }
        let late = vm
            .queue
            .iter()
            .take_while(|(send_by, _)| *send_by < self.now);
        for (_, request) in vm.queue.drain(..late.count()) {
            let failures = request.failure().into_iter();
            failures.for_each(|failure| table.apply(failure, local));
        }
        let request = if vm.needs_list && vm.list_at <= self.now {
            vm.list_at = self.now + 500 * MS;
            StoreRequest::List
        } else if let Some((_, request)) = vm.queue.pop_front() {
            request
        } else {
            return;
        };
        let process = (index, vm.starts);
        self.numbers += 1;
        let call = self.numbers;
        vm.call = Some(call);
        if matches!(request, StoreRequest::List) {
            vm.list_call = vm.call;
        }
        let cut = vm.requests_cut_until > self.now;
        let refused = self.store.down.is_some() && self.random.random_bool(0.5);
        let timeout = if refused { 5 * MS } else { STORE_TIMEOUT };
        let delivery = Delivery::NoResponse(call, request.clone());
        self.push(self.now + timeout, ModelEvent::AtVm(process, delivery));
        if !cut && !refused {
            self.send(|| ModelEvent::AtStore(process, call, request.clone(), local));
        }
    }

    /// Calls the platform's API about each subject that the VM may act on.
    fn call_api(&mut self, index: usize, table: &mut LeaseTable, local: Duration) {
        for number in 0..self.subjects.len() {
            let vm = &mut self.vms[index];
            if vm.next_calls[number].is_none_or(|at| at > self.now) {
                continue;
            }
            let Some(authority) = table.begin_call(&self.subjects[number], local) else {
                continue;
            };
            vm.next_calls[number] = None;
            let process = (index, vm.starts);
            let cut = vm.api_cut_until > self.now;
            let slowest = if self.random.random_bool(0.3) {
                990
            } else {
                40
            };
            let took = if cut {
                990 * MS
            } else {
                self.random.random_range(1..slowest) * MS
            };
            let at = self.now + took;
            if !cut {
                self.push(at, ModelEvent::AtApi(process, number, authority.token));
            }
            let delivery = Delivery::ApiEnded(number, !cut);
            self.push(at, ModelEvent::AtVm(process, delivery));
        }
    }
}
