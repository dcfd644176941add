//! Decides by what waits at all VMs: rejects requests early, sets retry times, and
//! holds requests back for those of other VMs.
//!
//! Neighbours: [`dewbacklog`] decides, [`room`](crate::policy::room) describes the
//! engines, and [`waiting_notices`](crate::waiting_notices) has the facts.
//!
//! The main invariants: services whose engines don't report their slowness aren't
//! affected, and a request is rejected by a forecast only right after placement
//! found all engines busy for it.

use std::time::Duration;

use dewbacklog::{
    FleetBacklog, QueuePlace, RejectCause, ReturnPolicy, RoomDecision, StartOrder, StartRequest,
    WaitingFact, WaitingPrompt, WaitingSum,
};
use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::directory::stable_hash;
use crate::format::PlatformFormat;
use crate::metrics::{ClassLabels, OutcomeLabels, ServiceLabels};
use crate::policy::placement::{PlacementChoice, long_prefix_key};
use crate::policy::queue::{ExchangeId, engine_rank};
use crate::policy::room::{RequestRoom, RequestsAhead, expected_first_event, expected_prefill_ms};
use crate::waiting_notices::{ReceivedWaiting, WaitingNotice, WaitingQueueNotices};

use super::resumption::VersionBinding;
use super::state::{EdgeState, Exchange, ExchangePhase};
use super::updates::DIGEST_TARGETS;

/// Interval at which the forecast for a waiting request is renewed; facts of other
/// VMs arrive at this interval.
pub(crate) const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Least interval at which the timers of waiting requests dispatch their queue; each
/// time costs a scan of all engines for several requests.
const TRY_INTERVAL: Duration = Duration::from_millis(20);

/// Reason of a rejection by the forecast.
pub(crate) const NO_CAPACITY: &str = "no_capacity_in_time";

/// Reason of a rejection after the permitted wait.
const WAITED: &str = "no_server_in_time";

/// Maximum services whose facts are kept; others are ignored.
const MAX_SERVICES: usize = 64;

/// What waits for the engines of one service, and what follows from it.
#[derive(Debug, Default)]
struct ServiceWaiting {
    backlog: FleetBacklog,
    returns: ReturnPolicy,
    order: StartOrder,
    /// When a timer last dispatched the queue.
    tried: Moment,
}

/// What waits at all VMs.
#[derive(Debug, Default)]
pub(crate) struct WaitingState {
    /// By the hash of the service's name.
    services: IndexMap<u64, ServiceWaiting>,
    notices: WaitingQueueNotices,
    /// Keys of the last facts that weren't zero.
    announced: IndexSet<(u64, u8)>,
}

impl WaitingState {
    fn service(&mut self, service: u64, own_hash: u64) -> Option<&mut ServiceWaiting> {
        if !self.services.contains_key(&service) && self.services.len() >= MAX_SERVICES {
            return None;
        }
        let created = || ServiceWaiting {
            backlog: FleetBacklog::default(),
            returns: ReturnPolicy::new(own_hash as f64 / u64::MAX as f64),
            order: StartOrder::new(own_hash),
            tried: Moment::ZERO,
        };
        Some(self.services.entry(service).or_insert_with(created))
    }

    /// Drops expired facts.
    pub(crate) fn expire(&mut self, now: Moment) {
        for service in self.services.values_mut() {
            service.backlog.expire(now);
        }
    }
}

/// What is expected for a request that no engine accepts.
struct RequestOutlook {
    prompt: WaitingPrompt,
    room: RequestRoom,
    room_in: Duration,
}

/// What the caller of a rejected request is told, and why.
pub(crate) struct RejectionOutlook {
    pub(crate) retry_after: Duration,
    pub(crate) room_in: Duration,
    /// Requests that wait at the other VMs.
    pub(crate) fleet_waiting: u64,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns whether requests of a service are rejected by forecast: its servers
    /// are engines and report their slowness.
    pub(crate) fn uses_forecast(&self, service: &str) -> bool {
        let spec = self.table.as_ref().and_then(|table| table.service(service));
        self.load_reports.get(service).is_some() && spec.is_some_and(|spec| spec.engine.is_some())
    }

    /// Lets a new request wait for as long as its first event can be in time.
    pub(crate) fn permit_wait(&mut self, exchange_id: ExchangeId) {
        let now = self.now;
        let exchange = &self.exchanges[exchange_id];
        let query = self.placement_query(exchange);
        let prompt = WaitingPrompt {
            time_left: exchange.deadline.saturating_sub(now),
            latency_target: exchange.route.latency_target,
            first_event: expected_first_event(&query, self.models.get(&exchange.service)),
            least_wait: exchange.wait_until.saturating_sub(now),
            ..WaitingPrompt::default()
        };
        self.exchanges[exchange_id].wait_until = now + prompt.permitted_wait();
    }

    /// Handles the timer of a waiting request: tries to send it, and rejects it if
    /// it has waited for too long or no engine is expected to take it in time.
    pub(crate) fn on_waiting_timer(&mut self, exchange_id: ExchangeId) {
        let service = self.exchanges[exchange_id].service.clone();
        let Some(due) = self.waiting_until(exchange_id) else {
            return;
        };
        if self.uses_forecast(&service) && self.is_try_due(&service, due) {
            self.dispatch(&service);
        }
        if self.waiting_until(exchange_id).is_none() {
            return;
        }
        if due <= self.now {
            self.expire(exchange_id);
            return;
        }
        if self.uses_forecast(&service) {
            self.judge_waiting(exchange_id);
        }
        if self.waiting_until(exchange_id).is_some() {
            self.arm_exchange(exchange_id, due.min(self.now + JUDGE_INTERVAL));
        }
    }

    /// Returns whether a queue is dispatched because of the timer of a request that
    /// may wait until `due`.
    fn is_try_due(&mut self, service: &str, due: Moment) -> bool {
        let (now, own_hash) = (self.now, self.peers.own_hash());
        let hash = stable_hash(service.as_bytes());
        let Some(waiting) = self.waiting.service(hash, own_hash) else {
            return true;
        };
        let is_due = due <= now || waiting.tried + TRY_INTERVAL <= now;
        if is_due {
            waiting.tried = now;
        }
        is_due
    }

    /// Returns until when a request may wait, if it waits.
    fn waiting_until(&self, exchange_id: ExchangeId) -> Option<Moment> {
        let exchange = self.exchanges.get(exchange_id)?;
        let waits = exchange.phase == ExchangePhase::Waiting;
        waits.then(|| exchange.wait_until.min(exchange.deadline))
    }

    /// Rejects a waiting request if no engine takes it now and capacity is expected
    /// too late.
    pub(crate) fn judge_waiting(&mut self, exchange_id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        if exchange.phase != ExchangePhase::Waiting || !is_fresh(exchange) {
            return;
        }
        self.digest_due = true;
        if self.choose_server(exchange_id) != PlacementChoice::Busy {
            return;
        }
        let Some(outlook) = self.outlook(exchange_id) else {
            return;
        };
        let exchange = &self.exchanges[exchange_id];
        let label = ClassLabels {
            service: exchange.service.clone(),
            class: u32::from(engine_rank(exchange.priority)),
        };
        let observed = outlook.room_in.as_secs_f64();
        let histogram = &self.metrics.room_forecast;
        histogram.get_or_create(&label).observe(observed);
        let decision = ReturnPolicy::decide(&outlook.prompt, outlook.room_in);
        if decision == RoomDecision::Reject(RejectCause::Forecast) {
            let queue = self.queues.get(&label.service);
            let waiting = queue.map_or(0, |queue| queue.len());
            self.refuse(exchange_id, NO_CAPACITY, waiting);
        }
    }

    /// Returns the forecast for a request, unless no engine is usable.
    fn outlook(&self, exchange_id: ExchangeId) -> Option<RequestOutlook> {
        let exchange = self.exchanges.get(exchange_id)?;
        let room = self.request_room(exchange)?;
        let (query, now) = (self.placement_query(exchange), self.now);
        let model = self.models.get(&exchange.service);
        let prefill_ms = expected_prefill_ms(query.parts, query.prompt_tokens, model);
        let prompt = WaitingPrompt {
            waited: query.waited,
            time_left: exchange.deadline.saturating_sub(now),
            first_event: Duration::from_secs_f64((prefill_ms + model.first_event_ms()) / 1000.0),
            least_wait: exchange.wait_until.saturating_sub(exchange.queued),
            caller_retry: exchange.caller_retry,
            prefill_ms,
            // `permit_wait` has taken the target into account.
            latency_target: Duration::ZERO,
        };
        let room_in = room.when_room(&self.requests_ahead(exchange_id), prefill_ms);
        Some(RequestOutlook {
            prompt,
            room,
            room_in,
        })
    }

    /// Returns the room for a request, if any engine is usable.
    fn request_room(&self, exchange: &Exchange) -> Option<RequestRoom> {
        let request_time = self.load_reports.get(&exchange.service)?.request_time();
        let engine = self.engine_spec(&exchange.service)?;
        let views = self.considered_views(exchange, Some(&engine));
        let query = self.placement_query(exchange);
        let model = self.models.get(&exchange.service);
        let room = RequestRoom::of(&query, &views, model, request_time);
        (!room.is_empty()).then_some(room)
    }

    /// Returns what goes before a request, here and at the other VMs.
    fn requests_ahead(&self, exchange_id: ExchangeId) -> RequestsAhead {
        let exchange = &self.exchanges[exchange_id];
        let mut ahead = RequestsAhead::default();
        let Some(queue) = self.queues.get(&exchange.service) else {
            return ahead;
        };
        let own = queue.iter().find(|other| other.exchange_id == exchange_id);
        let home = own.and_then(|own| own.requirements.home);
        let before = queue
            .iter()
            .take_while(|other| other.exchange_id != exchange_id);
        for other in before {
            ahead.own.add(&WaitingSum {
                requests: 1.0,
                prefill_ms: self.waiting_prefill_ms(other.exchange_id),
            });
            ahead.same_home += f64::from(u8::from(other.requirements.home == home));
        }
        let service = stable_hash(exchange.service.as_bytes());
        if let Some(waiting) = self.waiting.services.get(&service) {
            let place = QueuePlace {
                class: engine_rank(exchange.priority),
                joined: exchange.queued,
                caller_retry: exchange.caller_retry,
            };
            ahead.others = waiting.backlog.ahead_of(&place, self.now);
        }
        ahead
    }

    fn waiting_prefill_ms(&self, exchange_id: ExchangeId) -> f64 {
        self.exchanges.get(exchange_id).map_or(0.0, |exchange| {
            let metadata = &exchange.metadata;
            let model = self.models.get(&exchange.service);
            expected_prefill_ms(&metadata.prompt_parts, metadata.prompt_tokens, model)
        })
    }

    /// Returns the retry time of a request that is rejected for lack of capacity,
    /// and counts it.
    pub(crate) fn rejection_outlook(
        &mut self,
        exchange_id: ExchangeId,
        code: &'static str,
    ) -> Option<RejectionOutlook> {
        let (cause, outcome) = match code {
            NO_CAPACITY => (RejectCause::Forecast, "forecast"),
            WAITED => (RejectCause::Waited, "waited"),
            _ => return None,
        };
        let service = self.exchanges.get(exchange_id)?.service.clone();
        if !self.uses_forecast(&service) {
            return None;
        }
        let label = OutcomeLabels {
            service: service.clone(),
            outcome,
        };
        let rejections = &self.metrics.capacity_rejections;
        rejections.get_or_create(&label).inc();
        let outlook = self.outlook(exchange_id)?;
        let (vms, now) = (self.peers.vm_count(), self.now);
        let hash = stable_hash(service.as_bytes());
        let waiting = self.waiting.service(hash, self.peers.own_hash())?;
        let (prompt, room_in) = (&outlook.prompt, outlook.room_in);
        let forecast = outlook.room.fleet();
        let retry_after = waiting
            .returns
            .reject(prompt, cause, room_in, forecast, vms, now);
        Some(RejectionOutlook {
            retry_after,
            room_in,
            fleet_waiting: waiting.backlog.total(now).requests as u64,
        })
    }

    /// Returns whether a request that an engine would take waits for those of other
    /// VMs.
    pub(crate) fn holds_back(&mut self, exchange_id: ExchangeId) -> bool {
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return false;
        };
        let hash = stable_hash(exchange.service.as_bytes());
        let waiting = match self.waiting.services.get(&hash) {
            Some(waiting) if !waiting.backlog.is_empty() => waiting,
            _ => return false,
        };
        if !is_fresh(exchange) || !self.uses_forecast(&exchange.service) {
            return false;
        }
        let Some(room) = self.request_room(exchange) else {
            return false;
        };
        let query = self.placement_query(exchange);
        let model = self.models.get(&exchange.service);
        let prefill_ms = expected_prefill_ms(query.parts, query.prompt_tokens, model);
        let class = engine_rank(exchange.priority);
        let queue = self.queues.get(&exchange.service);
        let own = queue.into_iter().flat_map(|queue| queue.iter());
        let own = own.filter(|other| engine_rank(other.priority) <= class);
        let request = StartRequest {
            class,
            home: long_prefix_key(query.parts, model),
            waited: query.waited,
            permitted_wait: exchange.wait_until.saturating_sub(exchange.queued),
        };
        let room_now = room.room_now(prefill_ms);
        let (order, backlog) = (&waiting.order, &waiting.backlog);
        let held = order.holds_back(&request, backlog, own.count(), room_now, self.now);
        let exchange = &mut self.exchanges[exchange_id];
        if held && !std::mem::replace(&mut exchange.was_held, true) {
            let label = ServiceLabels {
                service: exchange.service.clone(),
            };
            self.metrics.held_requests.get_or_create(&label).inc();
        }
        held
    }

    /// Records that a request leaves the queue for a server.
    pub(crate) fn record_start(&mut self, service: &str, home: Option<u64>) {
        if self.uses_forecast(service) {
            let hash = stable_hash(service.as_bytes());
            let (own_hash, now) = (self.peers.own_hash(), self.now);
            if let Some(waiting) = self.waiting.service(hash, own_hash) {
                waiting.order.record_start(home, now);
            }
        }
    }

    /// Announces what waits here, and returns the next datagram, if there is
    /// anything to send.
    pub(crate) fn next_waiting_datagram(&mut self) -> Option<Vec<u8>> {
        let now = self.now;
        let facts = self.waiting_facts();
        let rounds = self.peers.rounds(DIGEST_TARGETS);
        let ended = std::mem::take(&mut self.waiting.announced);
        for key in ended.into_iter().filter(|key| !facts.contains_key(key)) {
            let (service, class) = key;
            let empty = WaitingNotice {
                service,
                class,
                ..WaitingNotice::default()
            };
            self.waiting.notices.announce(empty, rounds, now);
        }
        for (key, notice) in facts {
            self.waiting.announced.insert(key);
            self.waiting.notices.announce(notice, rounds, now);
        }
        let own_hash = self.peers.own_hash();
        let datagram = self.waiting.notices.next_datagram(own_hash, now);
        self.digest_due |= !self.waiting.notices.is_empty() || !self.waiting.announced.is_empty();
        datagram
    }

    /// Returns what waits here, by service and class.
    fn waiting_facts(&self) -> IndexMap<(u64, u8), WaitingNotice> {
        let mut facts: IndexMap<(u64, u8), WaitingNotice> = IndexMap::new();
        for (name, queue) in &self.queues {
            if queue.is_empty() || !self.uses_forecast(name) {
                continue;
            }
            let service = stable_hash(name.as_bytes());
            for request in queue.iter() {
                let class = engine_rank(request.priority);
                let fact = facts.entry((service, class)).or_insert(WaitingNotice {
                    service,
                    class,
                    ..WaitingNotice::default()
                });
                let waited = self.now.saturating_sub(request.arrived);
                fact.add(self.waiting_prefill_ms(request.exchange_id), waited);
            }
        }
        facts
    }

    /// Records what waits at another VM.
    pub(crate) fn apply_waiting_notices(&mut self, received: Option<ReceivedWaiting>) {
        let Some(received) = received else {
            self.metrics.count_waiting_notices("malformed", 1);
            return;
        };
        let (own_hash, now) = (self.peers.own_hash(), self.now);
        let (mut used, mut ignored) = (0, 0);
        for dated in &received.facts {
            let notice = dated.fact;
            let Some(waiting) = self.waiting.service(notice.service, own_hash) else {
                ignored += 1;
                continue;
            };
            let oldest = Duration::from_millis(u64::from(notice.oldest_ms));
            let fact = WaitingFact {
                class: notice.class,
                requests: u32::from(notice.requests),
                prefill_ms: f64::from(notice.prefill_ms),
                oldest: dated.heard_at.saturating_sub(oldest),
                as_of: dated.heard_at,
            };
            waiting.backlog.record(dated.sender, fact, now);
            used += 1;
        }
        self.metrics.count_waiting_notices("used", used);
        self.metrics.count_waiting_notices("ignored", ignored);
        self.metrics
            .count_waiting_notices("repeated", received.repeated);
        self.metrics.count_waiting_notices("late", received.late);
    }
}

/// Returns whether a request was never sent and takes no stream up. What may have
/// run is never rejected early, and doesn't wait for new requests.
fn is_fresh(exchange: &Exchange) -> bool {
    exchange.sends == 0
        && exchange.binding == VersionBinding::Unbound
        && !exchange.may_have_run
        && exchange.stream.is_none()
        && exchange.fallback.is_none()
        && exchange.standby.is_none()
}
