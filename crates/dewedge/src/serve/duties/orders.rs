//! Observes the servers of the services that scale, and orders more or fewer.
//!
//! The load at the servers comes from this VM and the digests of the others; the
//! requests that wait or were refused come from their notices of unmet demand,
//! which each VM sends to the holders.

use std::time::Duration;

use dewduty::lease::DutySubject;
use dewduty::scaling::{
    FleetObservation, OrderResult, ScalingDecision, ScalingLimits, ScalingPlanner, ServerCapacity,
    ServerCounts, ServerKind, ServerOrder,
};
use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::demand_notices::{UnmetDemand, encode_notice};
use crate::directory::stable_hash;
use crate::format::{ApiCall, ApiResponse, PlatformFormat};
use crate::policy::placement::engine_capacity;
use crate::tables::ScalingSpec;

use super::super::state::EdgeState;
use super::DutyState;

/// Interval at which the servers are observed.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which unmet demand is told to the holders.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the digests of a VM without load. A holder that hears of no VM for
/// some seconds takes its input for out of date and ends no servers.
const IDLE_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the last response to a watch of the store up to which the list of
/// servers counts as recent: a watch without changes lasts that long.
const WATCH_AGE_ALLOWANCE: Duration = Duration::from_secs(12);

/// Orders for one service in one data centre, on the VM that holds the duty.
#[derive(Debug)]
pub(super) struct OrderDesk {
    planner: ScalingPlanner,
    limits: ScalingLimits,
    /// The decision that was last logged.
    logged: (u32, u32),
}

impl OrderDesk {
    pub(super) fn last_decision(&self) -> &ScalingDecision {
        self.planner.last_decision()
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Counts a request that was refused for lack of servers.
    pub(crate) fn count_unserved(&mut self, service: &str) {
        if let Some(duties) = self.duties.as_mut()
            && duties.settings.orders_servers
        {
            *duties.refused.entry(service.to_string()).or_insert(0) += 1;
        }
    }

    /// Lets the holders of the orders know that this VM has no load.
    pub(super) fn refresh_digest(&mut self, duties: &DutyState<F>) {
        let is_due = self.digest_sent + IDLE_DIGEST_INTERVAL <= self.now;
        self.digest_due |= is_due && !duties.orders.is_empty();
    }

    /// Tells the holders of the orders which requests found no server here.
    pub(super) fn send_demand(&mut self, duties: &mut DutyState<F>) {
        let (sent_at, had_demand) = duties.demand_sent;
        if !duties.settings.orders_servers || sent_at + DEMAND_INTERVAL > self.now {
            return;
        }
        let Some(table) = &self.table else {
            return;
        };
        let demands: Vec<UnmetDemand> = table
            .scaled_services()
            .map(|(service, _)| UnmetDemand {
                service: stable_hash(service.name.as_bytes()),
                waiting: self.waiting_count(&service.name),
                refused: duties.refused.get(&service.name).copied().unwrap_or(0),
            })
            .collect();
        let has_demand = demands
            .iter()
            .any(|demand| demand.waiting > 0 || demand.refused > 0);
        duties.demand_sent = (self.now, has_demand);
        if !has_demand && !had_demand {
            return;
        }
        let vm = stable_hash(self.settings.vm.as_bytes());
        let bytes = encode_notice(vm, self.now, &demands);
        let subjects = duties.orders.keys();
        let holders: IndexSet<&str> = subjects
            .filter_map(|subject| Some(duties.leases.holder(subject)?.vm.as_str()))
            .collect();
        for holder in holders {
            self.send_to_vm(holder, &bytes);
        }
    }

    fn waiting_count(&self, service: &str) -> u32 {
        let waiting = self.queues.get(service).map_or(0, |queue| queue.len());
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Looks at the servers and lets the planners decide.
    pub(super) fn observe_servers(&mut self, duties: &mut DutyState<F>) {
        let is_recent = |observed: Moment| self.now < observed + OBSERVE_INTERVAL;
        if duties.observed_at.is_some_and(is_recent) {
            return;
        }
        duties.observed_at = Some(self.now);
        self.update_subjects(duties);
        duties.demand.expire(self.now);
        let Some(table) = self.table.clone() else {
            return;
        };
        if !duties.settings.orders_servers {
            return;
        }
        for (service, spec) in table.scaled_services() {
            let refused = self.take_refused(duties, &service.name);
            if !holds_orders(duties, &service.name, self.now) {
                // A VM that becomes the holder begins with what is there.
                reset_planners(duties, &service.name);
                continue;
            }
            self.refresh_peer_load();
            let observation = self.observe_service(duties, &service.name, spec, refused);
            let limits = scaling_limits(spec);
            for (subject, desk) in &mut duties.orders {
                let DutySubject::Orders {
                    service: name,
                    data_centre,
                } = subject
                else {
                    continue;
                };
                if *name != service.name {
                    continue;
                }
                if duties.leases.authority(subject, self.now).is_none() {
                    // A VM that becomes the holder begins with what is there.
                    desk.planner = ScalingPlanner::new(data_centre.clone());
                    continue;
                }
                desk.limits = limits.clone();
                desk.planner.observe(&observation, &limits, self.now);
                let decision = desk.planner.last_decision();
                let decided = (decision.regular, decision.interruptible);
                if std::mem::replace(&mut desk.logged, decided) != decided {
                    self.logs
                        .system("orders", "decided")
                        .text("subject", &subject.to_string())
                        .text("decision", &decision.to_string())
                        .number("in_flight", observation.in_flight as u64)
                        .number("waiting", observation.queued as u64)
                        .number("refused", observation.refused as u64)
                        .number("backlog_ms", observation.backlog_ms as u64)
                        .ms("age_ms", observation.age);
                }
            }
        }
    }

    /// Sets the duties that the settings and the tables name.
    fn update_subjects(&mut self, duties: &mut DutyState<F>) {
        let mut subjects: IndexSet<DutySubject> = IndexSet::new();
        if duties.settings.reports_usage {
            subjects.insert(DutySubject::Usage);
        }
        let table = self
            .table
            .clone()
            .filter(|_| duties.settings.orders_servers);
        for (service, spec) in table.iter().flat_map(|table| table.scaled_services()) {
            let members = self.directory.in_service(&service.name).iter();
            let data_centres = members.map(|index| {
                let entry = &self.directory.get(*index).entry;
                entry.data_centre.as_str()
            });
            let priced = spec.prices.keys().map(String::as_str);
            let data_centres: IndexSet<&str> = data_centres.chain(priced).collect();
            for data_centre in data_centres {
                let subject = DutySubject::Orders {
                    service: service.name.clone(),
                    data_centre: data_centre.to_string(),
                };
                duties
                    .orders
                    .entry(subject.clone())
                    .or_insert_with(|| OrderDesk {
                        planner: ScalingPlanner::new(data_centre.to_string()),
                        limits: scaling_limits(spec),
                        logged: (0, 0),
                    });
                subjects.insert(subject);
            }
        }
        duties
            .orders
            .retain(|subject, _| subjects.contains(subject));
        duties.leases.set_subjects(subjects, self.now);
    }

    /// Takes the requests that were refused at all VMs since the last look.
    fn take_refused(&self, duties: &mut DutyState<F>, service: &str) -> f64 {
        let own = duties.refused.get(service).copied().unwrap_or(0);
        let seen = duties.refused_seen.entry(service.to_string()).or_insert(0);
        let own_new = own.saturating_sub(std::mem::replace(seen, own));
        let others = duties.demand.take_refused(stable_hash(service.as_bytes()));
        f64::from(own_new) + f64::from(others)
    }

    fn observe_service(
        &self,
        duties: &DutyState<F>,
        service: &str,
        spec: &ScalingSpec,
        refused: f64,
    ) -> FleetObservation {
        let mut observation = FleetObservation::default();
        for data_centre in spec.prices.keys() {
            observation
                .data_centres
                .insert(data_centre.clone(), ServerCounts::default());
        }
        let model = self.models.get(service);
        let engine = self.engine_spec(service);
        let mut slots = 0;
        let mut streams = 0.0;
        let mut others = 0.0;
        for index in self.directory.in_service(service) {
            let replica = self.directory.get(*index);
            if replica.gone {
                continue;
            }
            let mut load = replica.own_load;
            load.add(&replica.peer_load);
            streams += f64::from(load.gap_sensitive_streams);
            others += f64::from(load.requests.saturating_sub(load.gap_sensitive_streams));
            observation.backlog_ms += load.backlog_ms;
            slots = slots.max(replica.entry.slots);
            let counts = observation
                .data_centres
                .entry(replica.entry.data_centre.clone())
                .or_default();
            let counter = match (replica.leaving, replica.entry.interruptible) {
                (false, false) => &mut counts.ready_regular,
                (false, true) => &mut counts.ready_interruptible,
                (true, false) => &mut counts.leaving_regular,
                (true, true) => &mut counts.leaving_interruptible,
            };
            *counter += 1;
        }
        let hash = stable_hash(service.as_bytes());
        observation.queued = f64::from(self.waiting_count(service))
            + f64::from(duties.demand.waiting(hash, self.now));
        observation.refused = refused;
        let (requests, stream_requests, backlog_ms) = match &engine {
            Some(engine) => engine_capacity(engine.slots, model),
            None => (f64::from(slots), f64::from(slots), 0.0),
        };
        // A gap-sensitive stream takes another part of a server than other requests.
        observation.in_flight = others + streams * requests / stream_requests;
        observation.capacity = ServerCapacity {
            requests,
            backlog_ms,
            slots: engine.map_or(slots, |engine| engine.slots),
        };
        let digest_age = self.peers.digest_age(self.now).unwrap_or_default();
        let watch_age = self.store.watch_age(self.now).unwrap_or(Duration::MAX);
        observation.age = digest_age.max(watch_age.saturating_sub(WATCH_AGE_ALLOWANCE));
        observation
    }

    /// Returns the next order that is to be sent.
    pub(super) fn next_order_call(
        &mut self,
        duties: &mut DutyState<F>,
    ) -> Option<(DutySubject, ApiCall)> {
        let now = self.now;
        let leases = &duties.leases;
        let mut desks = duties.orders.iter_mut().enumerate();
        let found = desks.find_map(|(index, (subject, desk))| {
            leases.authority(subject, now)?;
            let order = desk.planner.next_order(now)?;
            Some((index, subject.clone(), order))
        });
        let (index, subject, order) = found?;
        // The others go first the next time.
        duties.orders.move_index(index, duties.orders.len() - 1);
        let DutySubject::Orders {
            service,
            data_centre,
        } = subject.clone()
        else {
            return None;
        };
        let call = ApiCall::OrderServers {
            service,
            data_centre,
            count: order.count,
            interruptible: order.kind == ServerKind::Interruptible,
        };
        Some((subject, call))
    }

    /// Applies the API's response to an order.
    pub(super) fn on_order_answered(
        &mut self,
        duties: &mut DutyState<F>,
        subject: &DutySubject,
        (count, interruptible): (u32, bool),
        response: Result<ApiResponse, &'static str>,
    ) {
        let kind = match interruptible {
            true => ServerKind::Interruptible,
            false => ServerKind::Regular,
        };
        let result = match response {
            Ok(ApiResponse::Accepted) => OrderResult::Accepted,
            Ok(ApiResponse::Unavailable) => OrderResult::Unavailable,
            Ok(ApiResponse::Throttled) => OrderResult::Throttled,
            Ok(ApiResponse::Rejected(status)) => OrderResult::Rejected(status),
            Ok(ApiResponse::Failed(_)) | Err(_) => OrderResult::NoAnswer,
        };
        if let Some(desk) = duties.orders.get_mut(subject) {
            let order = ServerOrder { kind, count };
            desk.planner.record_result(&order, result, self.now);
        }
    }
}

/// Returns whether this VM may order servers of a service.
fn holds_orders<F>(duties: &DutyState<F>, service: &str, now: Moment) -> bool {
    let mut subjects = duties.orders.keys();
    subjects.any(|subject| {
        is_order_of(subject, service) && duties.leases.authority(subject, now).is_some()
    })
}

/// Forgets what was observed of a service.
fn reset_planners<F>(duties: &mut DutyState<F>, service: &str) {
    for (subject, desk) in &mut duties.orders {
        if let DutySubject::Orders { data_centre, .. } = subject
            && is_order_of(subject, service)
        {
            desk.planner = ScalingPlanner::new(data_centre.clone());
        }
    }
}

fn is_order_of(subject: &DutySubject, service: &str) -> bool {
    matches!(subject, DutySubject::Orders { service: name, .. } if name == service)
}

fn scaling_limits(spec: &ScalingSpec) -> ScalingLimits {
    ScalingLimits {
        min: spec.min,
        max: spec.max,
        boot_time: spec.boot_time,
        interruptible_price: spec.interruptible_price,
        prices: spec.prices.clone(),
    }
}

/// Unserved requests by service, as they were last observed.
pub(super) type RefusedCounts = IndexMap<String, u32>;
