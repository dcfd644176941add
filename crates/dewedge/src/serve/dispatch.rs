//! Sends waiting requests to servers.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::directory::ReplicaIndex;
use crate::format::{ForwardMetadata, PlatformFormat, PromptPart};
use crate::net::WireChannel;
use crate::policy::placement::{
    PlacementChoice, PlacementQuery, ReplicaView, choose_engine, choose_plain_server,
    long_prefix_key,
};
use crate::policy::queue::{ServerRequirements, engine_rank};
use crate::policy::retries::vm_slack;
use crate::tables::{EngineSpec, RequestKind, RouteSpec};

use super::state::{
    EdgeState, Exchange, ExchangePhase, SentLoad, ServerConn, ServerId, TokenKind, token_of,
};
use super::timers::DueTime;

/// Time for a new connection to a server; a way there and back takes a few ms.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Part of the connections of a server that the VMs which are known use, so
/// that some are left for VMs that join.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections to a server that each VM may have in any case.
const MIN_CONNECTIONS: u32 = 4;

/// Time that must be left for a request to be worth sending.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Longest permitted pause of a paced stream. An event takes about five steps
/// of an engine, and a step with a full chunk of a prompt takes 75 ms.
const GAP_SENSITIVE_LIMIT: Duration = Duration::from_millis(400);

/// Expected time of an engine beside the reading of prompts, in ms.
const FIRST_EVENT_MS: f64 = 40.0;

/// Part of a kept connection's idle time after which a request that may not
/// be repeated is no longer written to it.
const IDLE_SHARE_ONCE: f64 = 0.5;

/// Needs that may be busy before the rest of a queue isn't looked at; each costs
/// a look at all servers of the service.
const MAX_BUSY_REQUIREMENTS: usize = 12;

/// What holds for all servers of a service while one of them is chosen.
struct ServiceView<'a> {
    /// The engine, if the service is one.
    engine: Option<&'a EngineSpec>,
    /// Connections of this VM to each server.
    most_connections: u32,
    /// Whether the VMs begin one after another with servers that start.
    phases_starts: bool,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Sends as many waiting requests of a service as its servers take.
    ///
    /// A request that finds all servers busy holds up those after it that need
    /// the same servers.
    pub(crate) fn dispatch(&mut self, service: &str) {
        self.refresh_others();
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let waiting: Vec<(usize, ServerRequirements)> = queue
            .iter()
            .map(|request| (request.exchange, request.requirements))
            .collect();
        let mut busy: Vec<ServerRequirements> = Vec::new();
        for (exchange, requirements) in waiting {
            let Some(item) = self.exchanges.get(exchange) else {
                continue;
            };
            if item.phase != ExchangePhase::Waiting {
                continue;
            }
            if busy.iter().any(|other| other.blocks(&requirements)) {
                continue;
            }
            match self.place(exchange) {
                PlacementChoice::Unavailable => return,
                PlacementChoice::Busy => busy.push(requirements),
                PlacementChoice::Chosen {
                    hash,
                    prefill_ms,
                    cost,
                } => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.remove(exchange);
                    }
                    if let Some(replica) = self.directory.by_hash(hash) {
                        self.send(exchange, replica, prefill_ms, cost);
                    }
                }
            }
            if busy.len() >= MAX_BUSY_REQUIREMENTS {
                return;
            }
        }
    }

    /// Sums up the digests of the other VMs, if new ones came.
    fn refresh_others(&mut self) {
        if std::mem::take(&mut self.others_stale) {
            self.peers.apply(&mut self.directory, self.now);
        }
    }

    fn engine_of(&self, service: &str) -> Option<EngineSpec> {
        let table = self.table.as_ref()?;
        table.service(service)?.engine.clone()
    }

    /// Chooses a server for a request.
    fn place(&mut self, exchange: usize) -> PlacementChoice {
        let draw = self.draw();
        let Some(item) = self.exchanges.get(exchange) else {
            return PlacementChoice::Unavailable;
        };
        let engine = self.engine_of(&item.service);
        let members = self.directory.of_service(&item.service);
        let use_missing = self.directory.may_use_missing();
        let service = ServiceView {
            engine: engine.as_ref(),
            most_connections: self.connection_limit(&item.service),
            phases_starts: self.directory.has_warm_majority(&item.service, self.now),
        };
        let views: Vec<ReplicaView<'_>> = members
            .iter()
            .filter(|index| use_missing || self.directory.get(**index).missing_until.is_none())
            .map(|index| self.view(*index, item, &service))
            .collect();
        if engine.is_none() {
            return choose_plain_server(&views, draw);
        }
        let query = PlacementQuery {
            parts: &item.facts.prompt_parts,
            prompt_tokens: item.facts.prompt_tokens,
            output_tokens: item.facts.max_output_tokens,
            priority: item.route.priority,
            gap_sensitive: is_gap_sensitive(&item.route),
            now: self.now,
        };
        choose_engine(&query, &views)
    }

    /// Returns how many connections this VM may have to a server of a service:
    /// its part of those that the server takes from all callers.
    fn connection_limit(&self, service: &str) -> u32 {
        let spec = self.table.as_ref().and_then(|table| table.service(service));
        let all = spec.map_or(u32::MAX, |spec| spec.max_connections);
        let share = f64::from(all) * CONNECTION_SHARE / self.peers.vm_count() as f64;
        (share as u32).max(MIN_CONNECTIONS)
    }

    fn view<'a>(
        &'a self,
        index: ReplicaIndex,
        item: &Exchange,
        service: &ServiceView<'_>,
    ) -> ReplicaView<'a> {
        let replica = self.directory.get(index);
        let mut load = replica.own_load;
        load.add(&replica.peer_load);
        let has_connection =
            !replica.idle.is_empty() || replica.open_connections < service.most_connections;
        let usable = replica.is_listed()
            && has_connection
            && replica.health.is_usable(self.now)
            && !item.tried.contains(&index);
        let warming_up = service.phases_starts
            && replica
                .warmup
                .must_wait(replica.own_load.requests, self.now);
        ReplicaView {
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
            failure_rate: replica.health.failure_rate(),
            cached_parts: &replica.cached_parts,
        }
    }

    /// Sends a request to a server.
    fn send(&mut self, exchange: usize, replica: ReplicaIndex, prefill_ms: f64, cost: f64) {
        let now = self.now;
        let Some(item) = self.exchanges.get(exchange) else {
            return;
        };
        if item.deadline.saturating_sub(now) < MIN_TIME_LEFT {
            self.expire(exchange);
            return;
        }
        if item.sends > 0 && !self.try_acquire_retry(exchange) {
            self.give_up(exchange, "retry_budget");
            return;
        }
        let repeatable = self.exchanges[exchange].route.is_retryable();
        // A new connection shows whether there is a way to the server.
        let kept = match self.is_isolated() {
            true => None,
            false => self.take_idle(replica, repeatable),
        };
        let server = match kept {
            Some(server) => server,
            None => match self.connect(replica) {
                Some(server) => server,
                None => {
                    self.exchanges[exchange].tried.push(replica);
                    self.on_connect_failure(exchange, replica);
                    return;
                }
            },
        };
        self.note_send(exchange, replica, server, prefill_ms);
        let bytes = self.request_bytes(exchange, replica);
        let body = Rc::clone(&self.exchanges[exchange].body);
        let conn = &mut self.servers[server];
        conn.exchange = Some(exchange);
        conn.channel.queue(&bytes);
        conn.channel.queue(&body);
        if conn.connected {
            // An error shows again when the connection is read.
            let _ = conn.channel.flush();
        } else {
            self.arm_server(server, now + CONNECT_TIMEOUT);
        }
        self.log_send(exchange, replica, kept.is_some(), cost);
        let due = self.watch_time(exchange);
        self.arm_exchange(exchange, due);
    }

    fn try_acquire_retry(&mut self, exchange: usize) -> bool {
        let now = self.now;
        let service = self.exchanges[exchange].service.clone();
        let slack = vm_slack(self.settings.retry_slack, self.peers.vm_count());
        match self.budgets.get_mut(&service) {
            Some(budget) => budget.try_acquire(slack, now),
            None => false,
        }
    }

    fn note_send(
        &mut self,
        exchange: usize,
        replica: ReplicaIndex,
        server: ServerId,
        prefill: f64,
    ) {
        let now = self.now;
        if self.unheard == 0 {
            self.first_unheard = now;
        }
        self.unheard += 1;
        let item = &mut self.exchanges[exchange];
        let state = self.directory.get_mut(replica);
        let backlog = state.own_load.backlog_ms + state.peer_load.backlog_ms;
        let tokens = u64::from(item.facts.prompt_tokens) + u64::from(item.facts.max_output_tokens);
        item.phase = ExchangePhase::Sent(server);
        item.sends += 1;
        item.sent_load = SentLoad {
            replica,
            sent: now,
            backlog_ms: prefill,
            expected_ms: backlog + prefill + FIRST_EVENT_MS,
            tokens,
            gap_sensitive: is_gap_sensitive(&item.route),
            unread: true,
            counted: true,
        };
        state.own_load.requests += 1;
        state.own_load.backlog_ms += prefill;
        state.own_load.tokens += tokens;
        state.own_load.gap_sensitive_streams += u32::from(item.sent_load.gap_sensitive);
        state.health.record_sent();
        state.cached_parts.record_use(&item.facts.prompt_parts, now);
        self.digest_due = true;
        let label = crate::metrics::ServiceLabel {
            service: item.service.clone(),
        };
        let waited = now.saturating_sub(item.queued).as_secs_f64();
        self.metrics
            .queue_wait
            .get_or_create(&label)
            .observe(waited);
    }

    fn log_send(&mut self, exchange: usize, replica: ReplicaIndex, kept: bool, cost: f64) {
        let item = &self.exchanges[exchange];
        let state = self.directory.get(replica);
        let version = self.table.as_ref().map_or(0, |table| table.version);
        self.logs
            .request("placement", "sent")
            .text("request", &item.facts.attempt)
            .text("route", &item.route.name)
            .text("server", &state.id)
            .number("send", item.sends)
            .number("tables", version)
            .number("cost", cost.max(0.0) as u64)
            .number("own_requests", state.own_load.requests)
            .number("other_requests", state.peer_load.requests)
            .number(
                "backlog_ms",
                (state.own_load.backlog_ms + state.peer_load.backlog_ms) as u64,
            )
            .number("kept_connection", kept)
            .ms("waited_ms", self.now.saturating_sub(item.queued))
            .ms("left_ms", item.deadline.saturating_sub(self.now));
    }

    /// Writes the head of a request for a server.
    fn request_bytes(&self, exchange: usize, replica: ReplicaIndex) -> Vec<u8> {
        let item = &self.exchanges[exchange];
        let state = self.directory.get(replica);
        let is_engine = self.engine_of(&item.service).is_some();
        let resumed = item
            .stream
            .as_ref()
            .and_then(|stream| stream.cutter.last_id());
        let facts = ForwardMetadata {
            time_left: item.deadline.saturating_sub(self.now),
            replica: &state.id,
            workspace: item.workspace.as_deref(),
            priority: is_engine.then_some(engine_rank(item.priority)),
            last_event_id: resumed.or(item.facts.last_event_id),
        };
        let mut bytes = Vec::with_capacity(item.head.len() + 256);
        bytes.extend_from_slice(&item.head);
        F::write_forward_headers(&mut bytes, &facts);
        if !item.body.is_empty() || item.method != "GET" {
            let length = format!("Content-Length: {}\r\n", item.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// Takes a connection to a server that idles.
    fn take_idle(&mut self, replica: ReplicaIndex, repeatable: bool) -> Option<ServerId> {
        let now = self.now;
        while let Some(server) = self.directory.get_mut(replica).idle.pop() {
            let Some(conn) = self.servers.get(server) else {
                continue;
            };
            let idle = conn.idle_until.saturating_sub(conn.idle_since);
            let limit = match repeatable {
                true => conn.idle_until,
                false => conn.idle_since + idle.mul_f64(IDLE_SHARE_ONCE),
            };
            if limit > now {
                self.servers[server].reused = true;
                return Some(server);
            }
            if conn.idle_until <= now {
                self.drop_server(server);
            } else {
                // It still serves requests that may be repeated.
                self.directory.get_mut(replica).idle.push(server);
                return None;
            }
        }
        None
    }

    /// Opens a connection to a server.
    fn connect(&mut self, replica: ReplicaIndex) -> Option<ServerId> {
        let address = self.directory.get(replica).entry.address;
        let mut channel = WireChannel::connect(address).ok()?;
        let entry = self.servers.vacant_entry();
        let server = entry.key();
        let token = token_of(TokenKind::Server, server);
        channel.register(&self.registry, token).ok()?;
        entry.insert(ServerConn {
            channel,
            replica,
            connected: false,
            reused: false,
            exchange: None,
            head: None,
            decoder: None,
            body: Vec::new(),
            is_stream: false,
            idle_until: Moment::ZERO,
            idle_since: Moment::ZERO,
            timer: DueTime::default(),
        });
        self.metrics.connects.inc();
        self.directory.get_mut(replica).open_connections += 1;
        Some(server)
    }
}

/// Returns what decides which servers take a request of a route.
pub(crate) fn server_requirements(route: &RouteSpec, parts: &[PromptPart]) -> ServerRequirements {
    ServerRequirements {
        gap_sensitive: is_gap_sensitive(route),
        class: route.priority,
        home: long_prefix_key(parts),
    }
}

/// Returns whether the events of a route's streams may not pause for long.
fn is_gap_sensitive(route: &RouteSpec) -> bool {
    route.kind == RequestKind::Streaming && route.event_gap_target <= GAP_SENSITIVE_LIMIT
}
