//! Sends waiting requests to servers.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::directory::ReplicaIndex;
use crate::format::{ForwardMetadata, PlatformFormat, RequestMetadata};
use crate::policy::ended_servers::EndedKind;
use crate::policy::engine_model::EngineModel;
use crate::policy::load_reports::{ReportAge, ServiceReports};
use crate::policy::placement::{
    PlacementChoice, PlacementQuery, ReplicaView, choose_engine, choose_plain_server,
    long_prefix_key, shared_prefix_tokens,
};
use crate::policy::queue::{ServerRequirements, engine_rank};
use crate::policy::reported_placement::{
    ReportedQuery, choose_reported_engine, choose_reported_server,
};
use crate::policy::retries::vm_slack;
use crate::tables::{EngineSpec, RequestKind, RouteSpec};

use super::announcements::limit_text;
use super::connections::CONNECT_TIMEOUT;
use super::crashes::ServerTest;
use super::resumption::VersionBinding;
use super::state::{EdgeState, Exchange, ExchangePhase, SentLoad, ServerConnId};

/// Share of a server's connections that the known VMs use, so that some are
/// left for VMs that join.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections to a server that each VM may always have.
const MIN_CONNECTIONS: u32 = 4;

/// Remaining time below which a request isn't sent.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Number of distinct requirements without a free server after which the rest
/// of a queue is skipped; each costs a scan of all servers of the service.
const MAX_BUSY_REQUIREMENTS: usize = 12;

/// Properties of a service that are the same for all its servers during one
/// choice.
struct ServiceContext<'a> {
    /// The model engine of the service, if it serves a model.
    engine: Option<&'a EngineSpec>,
    /// Maximum connections of this VM to each server.
    connection_limit: u32,
    /// Whether the VMs stagger the first use of a started server.
    staggers_starts: bool,
    /// Whether servers are used that are ejected or seem to have ended, because all
    /// that may serve the request do.
    ignores_health: bool,
    /// What is known of the service's reports, if its servers report their
    /// slowness.
    reports: Option<&'a ServiceReports>,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Sends as many waiting requests of a service as its servers have capacity
    /// for.
    ///
    /// A request that finds all servers busy may block later ones; see
    /// [`ServerRequirements::blocks`].
    pub(crate) fn dispatch(&mut self, service: &str) {
        self.refresh_peer_load();
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let waiting: Vec<(usize, ServerRequirements)> = queue
            .iter()
            .map(|request| (request.exchange_id, request.requirements))
            .collect();
        let mut busy: Vec<ServerRequirements> = Vec::new();
        for (exchange_id, requirements) in waiting {
            let Some(exchange) = self.exchanges.get(exchange_id) else {
                continue;
            };
            if exchange.phase != ExchangePhase::Waiting {
                continue;
            }
            if self.blocked_for(exchange_id).is_some() {
                self.reject_blocked(exchange_id);
                continue;
            }
            if busy.iter().any(|other| other.blocks(&requirements)) {
                continue;
            }
            match self.choose_server(exchange_id) {
                // Other versions may have servers.
                PlacementChoice::Unavailable if requirements.version.is_some() => {}
                PlacementChoice::Unavailable => return,
                PlacementChoice::Busy => busy.push(requirements),
                PlacementChoice::Chosen {
                    hash,
                    prefill_ms,
                    cost,
                } => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.remove(exchange_id);
                    }
                    if let Some(replica) = self.directory.by_hash(hash) {
                        self.send(exchange_id, replica, prefill_ms, cost);
                    }
                }
            }
            if busy.len() >= MAX_BUSY_REQUIREMENTS {
                return;
            }
        }
    }

    /// Sums the digests of the other VMs, if new ones have arrived.
    pub(super) fn refresh_peer_load(&mut self) {
        if std::mem::take(&mut self.peer_load_stale) {
            self.peers.apply_digests(&mut self.directory, self.now);
            if self.load_reports.is_empty() {
                return;
            }
            for replica in self.directory.iter_mut() {
                replica.reports.begin_peer_count(replica.peer_load.requests);
            }
        }
    }

    pub(super) fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        let table = self.table.as_ref()?;
        table.service(service)?.engine.clone()
    }

    /// Chooses a server for a request.
    pub(crate) fn choose_server(&mut self, exchange_id: usize) -> PlacementChoice {
        let random = self.next_random();
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return PlacementChoice::Unavailable;
        };
        let engine = self.engine_spec(&exchange.service);
        let members = self.directory.in_service(&exchange.service);
        let use_missing = self.directory.may_use_missing();
        let is_considered = |index: &ReplicaIndex| {
            use_missing || self.directory.get(*index).missing_until.is_none()
        };
        let is_sound = |index: &ReplicaIndex| {
            let replica = self.directory.get(*index);
            replica.is_listed()
                && replica.health.is_usable(self.now)
                && !replica.ended.is_left_alone(self.now)
        };
        let service = ServiceContext {
            engine: engine.as_ref(),
            connection_limit: self.connection_limit(&exchange.service),
            staggers_starts: self.directory.has_warm_majority(
                &exchange.service,
                exchange.binding.version(),
                self.now,
            ),
            ignores_health: !members.iter().any(|index| {
                is_considered(index) && is_sound(index) && self.fits_version(exchange, *index)
            }),
            reports: self.load_reports.get(&exchange.service),
        };
        let views: Vec<ReplicaView<'_>> = members
            .iter()
            .filter(|index| is_considered(index))
            .map(|index| self.replica_view(*index, exchange, &service))
            .collect();
        if engine.is_none() {
            return match service.reports {
                Some(_) => choose_reported_server(&views, random),
                None => choose_plain_server(&views, random),
            };
        }
        let model = self.models.get(&exchange.service);
        let query = PlacementQuery {
            parts: &exchange.metadata.prompt_parts,
            prompt_tokens: exchange.metadata.prompt_tokens,
            output_tokens: exchange.metadata.max_output_tokens,
            priority: exchange.route.priority,
            gap_sensitive: is_gap_sensitive(&exchange.route, &exchange.metadata, model),
            latency_target: exchange.route.latency_target,
            waited: self.now.saturating_sub(exchange.queued),
            now: self.now,
        };
        if service.reports.is_none() {
            return choose_engine(&query, &views, model);
        }
        let streams = exchange.route.kind == RequestKind::Streaming;
        let query = ReportedQuery {
            request: query,
            event_gap_target: streams.then_some(exchange.route.event_gap_target),
            random,
        };
        choose_reported_engine(&query, &views, model)
    }

    /// Returns how many connections this VM may have to a server of a service:
    /// its share of the connections that the server accepts in total.
    fn connection_limit(&self, service: &str) -> u32 {
        let spec = self.table.as_ref().and_then(|table| table.service(service));
        let all = spec.map_or(u32::MAX, |spec| spec.max_connections);
        let share = f64::from(all) * CONNECTION_SHARE / self.peers.vm_count() as f64;
        (share as u32).max(MIN_CONNECTIONS)
    }

    fn replica_view<'a>(
        &'a self,
        index: ReplicaIndex,
        exchange: &Exchange,
        service: &ServiceContext<'_>,
    ) -> ReplicaView<'a> {
        let replica = self.directory.get(index);
        let mut load = replica.own_load;
        load.add(&replica.peer_load);
        let has_connection =
            !replica.idle_conns.is_empty() || replica.open_connections < service.connection_limit;
        let usable = replica.is_listed()
            && has_connection
            && replica.backoff_until <= self.now
            && replica.rate_limit.allows(self.now)
            && (service.ignores_health
                || replica.health.is_usable(self.now) && !replica.ended.is_left_alone(self.now))
            && !exchange.tried_replicas.contains(&index)
            && self.fits_version(exchange, index);
        let warming_up = service.staggers_starts
            && replica
                .warmup
                .must_wait(replica.own_load.requests, self.now);
        let mut view = ReplicaView {
            hash: replica.hash,
            usable,
            same_data_centre: replica.entry.data_centre == self.settings.data_centre,
            warming_up,
            slots: service
                .engine
                .map_or(replica.entry.slots, |engine| engine.slots),
            kv_cache_tokens: service.engine.map_or(0, |engine| engine.kv_cache_tokens),
            load,
            slowness: replica.slowness,
            is_slow: false,
            failure_rate: replica.health.failure_rate(),
            cached_parts: &replica.cached_parts,
        };
        if let Some(reports) = service.reports {
            let own_requests = replica.own_load.requests;
            let lifetime = reports.lifetime();
            replica
                .reports
                .adapt_view(&mut view, own_requests, lifetime, self.now);
        }
        view
    }

    /// Sends a request to a server.
    fn send(&mut self, exchange_id: usize, replica: ReplicaIndex, prefill_ms: f64, cost: f64) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        if exchange.deadline.saturating_sub(now) < MIN_TIME_LEFT {
            self.expire(exchange_id);
            return;
        }
        if exchange.sends > 0 && !self.try_acquire_retry(exchange_id) {
            self.fail_request(exchange_id, "retry_budget");
            return;
        }
        self.start_attempt(exchange_id, replica, prefill_ms, cost);
    }

    /// Writes a request to a connection to a server.
    pub(crate) fn start_attempt(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        prefill_ms: f64,
        cost: f64,
    ) {
        let now = self.now;
        // While the VM seems isolated, a new connection tests whether the
        // server is reachable. A hedge must not share the fate of the silent
        // attempt: all kept connections may be dead.
        let is_hedge = self.exchanges[exchange_id].standby.is_some();
        let idle_conn = match is_hedge || self.is_isolated() {
            true => None,
            false => self.take_idle_conn(replica, exchange_id),
        };
        let conn_id = match idle_conn {
            Some(conn_id) => conn_id,
            None => match self.connect(replica) {
                Ok(conn_id) => conn_id,
                Err(error) => {
                    if ServerTest::of_error(&error) == ServerTest::Refused {
                        self.record_ended(replica, EndedKind::Refused, now);
                    }
                    if self.exchanges[exchange_id].sends > 0 {
                        self.give_retry_back(exchange_id, now);
                    }
                    self.exchanges[exchange_id].tried_replicas.push(replica);
                    self.on_connect_failure(exchange_id, replica);
                    return;
                }
            },
        };
        let report = self.valid_report(exchange_id, replica);
        self.record_send(exchange_id, replica, conn_id, prefill_ms);
        let bytes = self.request_head_bytes(exchange_id, replica);
        let body = Rc::clone(&self.exchanges[exchange_id].body);
        let conn = &mut self.server_conns[conn_id];
        conn.exchange_id = Some(exchange_id);
        conn.channel.queue(&bytes);
        conn.channel.queue_shared(&body);
        if conn.connected {
            // The next read reports the error again.
            let _ = conn.channel.flush();
        } else {
            self.arm_server(conn_id, now + CONNECT_TIMEOUT);
        }
        self.log_send(exchange_id, replica, idle_conn.is_some(), cost, report);
        let due = self.next_check_time(exchange_id);
        self.arm_exchange(exchange_id, due);
    }

    /// Returns the report of a server that a choice takes into account.
    fn valid_report(&self, exchange_id: usize, replica: ReplicaIndex) -> Option<ReportAge> {
        let service = &self.exchanges[exchange_id].service;
        let reports = self.load_reports.get(service)?;
        let server = &self.directory.get(replica).reports;
        server.valid_report(reports.lifetime(), self.now)
    }

    pub(crate) fn try_acquire_retry(&mut self, exchange_id: usize) -> bool {
        let now = self.now;
        let service = self.exchanges[exchange_id].service.clone();
        let slack = vm_slack(self.settings.retry_slack, self.peers.vm_count());
        match self.budgets.get_mut(&service) {
            Some(budget) => budget.try_acquire(slack, now),
            None => false,
        }
    }

    /// Gives back a retry that was taken for an attempt which wasn't sent.
    fn give_retry_back(&mut self, exchange_id: usize, taken: Moment) {
        let service = &self.exchanges[exchange_id].service;
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.give_back(taken);
        }
    }

    /// Handles that an attempt of a request wasn't sent, because its connection
    /// wasn't established.
    ///
    /// The first attempt takes no retry. If it is the unsent one, the attempt
    /// beside it becomes the first.
    pub(crate) fn undo_send(&mut self, exchange_id: usize, unsent: SentLoad) {
        let replica_state = self.directory.get_mut(unsent.replica);
        replica_state.rate_limit.undo_send();
        let exchange = &mut self.exchanges[exchange_id];
        exchange.sends -= 1;
        let mut taken = unsent.uses_retry.then_some(unsent.sent);
        if taken.is_none() {
            let standby = exchange.standby.as_mut();
            let loads = [
                Some(&mut exchange.sent_load),
                standby.map(|standby| &mut standby.load),
            ];
            for load in loads.into_iter().flatten() {
                if std::mem::take(&mut load.uses_retry) {
                    taken = Some(load.sent);
                }
            }
        }
        if let Some(taken) = taken {
            self.give_retry_back(exchange_id, taken);
        }
    }

    fn record_send(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        conn_id: ServerConnId,
        prefill_ms: f64,
    ) {
        let now = self.now;
        if self.unanswered_sends == 0 {
            self.first_unanswered = now;
        }
        self.unanswered_sends += 1;
        let exchange = &mut self.exchanges[exchange_id];
        let model = self.models.get(&exchange.service);
        let gap_sensitive = is_gap_sensitive(&exchange.route, &exchange.metadata, model);
        let replica_state = self.directory.get_mut(replica);
        let parts = &exchange.metadata.prompt_parts;
        // The model learns only from what this VM knows by its own requests.
        let cached_tokens = replica_state.cached_parts.own_cached_tokens(parts, now);
        let unread_tokens = (cached_tokens >= shared_prefix_tokens(parts)).then(|| {
            exchange
                .metadata
                .prompt_tokens
                .saturating_sub(cached_tokens)
        });
        let backlog = replica_state.own_load.backlog_ms + replica_state.peer_load.backlog_ms;
        let tokens = u64::from(exchange.metadata.prompt_tokens)
            + u64::from(exchange.metadata.max_output_tokens);
        exchange.phase = ExchangePhase::Sent(conn_id);
        exchange.sends += 1;
        exchange.sent_load = SentLoad {
            replica,
            sent: now,
            uses_retry: exchange.sends > 1,
            backlog_ms: prefill_ms,
            ahead_ms: backlog,
            expected_ms: backlog + prefill_ms + model.first_event_ms(),
            unread_tokens,
            tokens,
            gap_sensitive,
            unread: true,
            first_event: None,
            counted: true,
            survived: false,
            suspected: false,
        };
        replica_state.own_load.requests += 1;
        replica_state.own_load.backlog_ms += prefill_ms;
        replica_state.own_load.tokens += tokens;
        replica_state.own_load.gap_sensitive_streams += u32::from(exchange.sent_load.gap_sensitive);
        replica_state.health.record_sent();
        replica_state.ended.record_sent(now);
        if self.load_reports.get(&exchange.service).is_some() {
            replica_state.reports.record_send(now);
        }
        replica_state.rate_limit.record_send(now);
        replica_state
            .cached_parts
            .record_use(&exchange.metadata.prompt_parts, now);
        let label = crate::metrics::ServiceLabels {
            service: exchange.service.clone(),
        };
        let waited = now.saturating_sub(exchange.queued).as_secs_f64();
        self.digest_due = true;
        self.record_prefix_use(exchange_id, replica);
        self.metrics
            .queue_wait
            .get_or_create(&label)
            .observe(waited);
    }

    fn log_send(
        &mut self,
        exchange_id: usize,
        replica: ReplicaIndex,
        reused: bool,
        cost: f64,
        report: Option<ReportAge>,
    ) {
        let exchange = &self.exchanges[exchange_id];
        let replica_state = self.directory.get(replica);
        let version = self.table.as_ref().map_or(0, |table| table.version);
        let line = self
            .logs
            .request("placement", "sent")
            .text("request", &exchange.metadata.attempt)
            .text("route", &exchange.route.name)
            .text("server", &replica_state.id)
            .text("version", &replica_state.entry.version)
            .text("limit_per_s", &limit_text(replica_state.rate_limit.rate()))
            .text(
                "resumes",
                exchange.metadata.resumed_attempt.as_deref().unwrap_or(""),
            )
            .number("last_event", exchange.last_event_id().unwrap_or(0))
            .number("send", exchange.sends)
            .number("tables", version)
            .number("cost", cost.max(0.0) as u64)
            .number("own_requests", replica_state.own_load.requests)
            .number("other_requests", replica_state.peer_load.requests)
            .number(
                "backlog_ms",
                (replica_state.own_load.backlog_ms + replica_state.peer_load.backlog_ms) as u64,
            )
            .number("kept_connection", reused)
            .ms("waited_ms", self.now.saturating_sub(exchange.queued))
            .ms("left_ms", exchange.deadline.saturating_sub(self.now));
        let Some(report) = report else {
            return;
        };
        let source = match report.by_other_vm {
            true => "other_vm",
            false => "response",
        };
        line.number("reported_load", report.requests)
            .ms("report_age_ms", report.age)
            .text("report_source", source);
        let label = crate::metrics::ServiceLabels {
            service: exchange.service.clone(),
        };
        self.metrics.reported_choices.get_or_create(&label).inc();
    }

    /// Returns the head of a request as it is sent to a server.
    fn request_head_bytes(&self, exchange_id: usize, replica: ReplicaIndex) -> Vec<u8> {
        let exchange = &self.exchanges[exchange_id];
        let replica_state = self.directory.get(replica);
        let is_engine = self.engine_spec(&exchange.service).is_some();
        let metadata = ForwardMetadata {
            time_left: exchange.deadline.saturating_sub(self.now),
            replica: &replica_state.id,
            workspace: exchange.workspace.as_deref(),
            priority: is_engine.then_some(engine_rank(exchange.priority)),
            last_event_id: exchange.last_event_id(),
        };
        let mut bytes = Vec::with_capacity(exchange.head.len() + 256);
        bytes.extend_from_slice(&exchange.head);
        F::write_forward_headers(&mut bytes, &metadata);
        if !exchange.body.is_empty() || exchange.method != "GET" {
            let length = format!("Content-Length: {}\r\n", exchange.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Returns what a request requires of its server.
pub(crate) fn server_requirements(
    route: &RouteSpec,
    metadata: &RequestMetadata,
    binding: VersionBinding,
    model: &EngineModel,
) -> ServerRequirements {
    ServerRequirements {
        gap_sensitive: is_gap_sensitive(route, metadata, model),
        class: route.priority,
        home: long_prefix_key(&metadata.prompt_parts, model),
        version: binding.version(),
    }
}

/// Returns whether a request is gap-sensitive, so that the events of its stream
/// must not be far apart.
fn is_gap_sensitive(route: &RouteSpec, metadata: &RequestMetadata, model: &EngineModel) -> bool {
    route.kind == RequestKind::Streaming
        && model.is_gap_sensitive(route.event_gap_target, metadata.prompt_tokens)
}
