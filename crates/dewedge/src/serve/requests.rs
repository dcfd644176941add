//! Authorizes requests, and queues or refuses them.
//!
//! The main invariant: a request is rejected as unauthorized only by tables
//! that the store confirmed recently; without such a confirmation the response
//! is 503.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dewbudget::{AccountPart, SegmentedBody};

use crate::clock::{self, Moment};
use crate::format::{HeaderClass, PlatformFormat, RequestMetadata};
use crate::http::{BodyDecoder, BodyLength, RequestHead};
use crate::policy::admission::{is_caller_retry, is_queue_blocked, max_wait, retry_after};
use crate::policy::queue::{WaitingRequest, request_rank};
use crate::policy::retries::RetryBudget;
use crate::tables::{RouteSpec, pick_share};

use super::dispatch::server_requirements;
use super::responses::is_connection_header;
use super::resumption::VersionBinding;
use super::state::{
    CallerId, CallerPhase, CallerUpload, EdgeState, Exchange, ExchangePhase, SentLoad,
};
use super::timers::LazyTimer;

/// Retry delay for callers of a VM that can't serve yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Prompt tokens per unit of cost in the queue.
const TOKENS_PER_COST_UNIT: u32 = 64;

/// Copies of the head of an accepted request, or of parts of it.
const HEAD_COPIES: usize = 2;

/// Reason for rejecting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Rejection {
    status: u16,
    code: &'static str,
}

const fn rejection(status: u16, code: &'static str) -> Rejection {
    Rejection { status, code }
}

/// A request that is authorized and has a service.
struct AuthorizedRequest {
    metadata: RequestMetadata,
    route: Arc<RouteSpec>,
    service: String,
    workspace: Option<String>,
    priority: u8,
}

impl AuthorizedRequest {
    /// Returns the time that its caller had left when it sent the request.
    fn time_left(&self) -> Duration {
        let timeout = self.route.timeout;
        self.metadata.caller_timeout.unwrap_or(timeout).min(timeout)
    }
}

/// Reasons of refusals that more servers would have prevented.
const LACK_OF_SERVERS: [&str; 4] = [
    "no_server",
    "no_server_in_time",
    "queue_blocked",
    "server_full",
];

impl<F: PlatformFormat> EdgeState<F> {
    /// Authorizes a request before its body is read, so that callers without a valid
    /// key hold none; starts to read its body, or refuses it.
    pub(crate) fn begin_upload(&mut self, caller: CallerId, head: RequestHead) {
        self.now = clock::now();
        let now = self.now;
        let authorized = match self.authorize(&head) {
            Ok(authorized) => authorized,
            Err(rejection) => {
                if let Some(conn) = self.caller_conns.get_mut(caller) {
                    conn.closing = true;
                    conn.channel.discard_inbound();
                }
                self.reject(caller, &head, rejection);
                return;
            }
        };
        let declared = match head.body {
            BodyLength::Exact(length) => Some(length),
            BodyLength::Chunked | BodyLength::UntilClose => None,
        };
        let workspace = authorized.workspace.as_deref().unwrap_or_default();
        let held = self.account.held(AccountPart::Bodies);
        let limits = self.upload_limits();
        let left = authorized.time_left();
        let begun = self
            .uploads
            .begin(caller, workspace, declared, held, &limits, now);
        if let Err(refusal) = begun {
            self.refuse_unread(caller, refusal.name(), "no_memory", left);
            return;
        }
        let upload = CallerUpload {
            decoder: BodyDecoder::new(head.body),
            head,
            body: SegmentedBody::new(self.account.charge(AccountPart::Bodies)),
            began: now,
            deadline: now + left,
            last_byte: now,
            unread_charge: self.account.charge(AccountPart::Bodies),
        };
        self.start_upload(caller, upload);
    }

    /// Authorizes a complete request, and queues or rejects it. `began` is when the
    /// head of a request was complete whose body was read apart.
    pub(crate) fn begin_request(
        &mut self,
        caller: CallerId,
        head: RequestHead,
        body: SegmentedBody,
        began: Option<Moment>,
    ) {
        // The clock is read after the request arrived, so that a suspension of
        // the VM in between can't make a key confirmation look more recent.
        self.now = clock::now();
        let authorized = match self.authorize(&head) {
            Ok(authorized) => authorized,
            Err(rejection) => {
                self.reject(caller, &head, rejection);
                return;
            }
        };
        if began.is_none() {
            let workspace = authorized.workspace.as_deref().unwrap_or_default();
            let bytes = body.len() as u64;
            let held = self.account.held(AccountPart::Bodies);
            let limits = self.upload_limits();
            let others = held.saturating_sub(bytes);
            if let Err(refusal) = self.uploads.admit(workspace, bytes, others, &limits) {
                let left = authorized.time_left();
                self.record_limit(refusal.name(), "refused");
                self.count_request("none", "no_memory");
                let after = retry_after(left, self.next_random_unit());
                self.respond(caller, 503, "no_memory", Some(after));
                return;
            }
        }
        self.admit(caller, &head, body, authorized, began);
    }

    /// Responds to a request that isn't authorized.
    fn reject(&mut self, caller: CallerId, head: &RequestHead, rejection: Rejection) {
        let after = (rejection.status == 503).then_some(UNREADY_RETRY_AFTER);
        self.log_rejection(head, rejection);
        self.count_request("none", rejection.code);
        self.respond(caller, rejection.status, rejection.code, after);
    }

    fn log_rejection(&mut self, head: &RequestHead, rejection: Rejection) {
        let attempt =
            F::request_metadata(&head.fields).map_or(String::new(), |metadata| metadata.attempt);
        let age = self.keys.age(self.now).unwrap_or(Duration::MAX);
        let version = self.table.as_ref().map_or(0, |table| table.version);
        self.logs
            .request("entry", "rejected")
            .text("request", &attempt)
            .text("method", &head.method)
            .number("status", rejection.status)
            .text("reason", rejection.code)
            .number("tables", version)
            .ms("keys_age_ms", age);
    }

    fn authorize(&mut self, head: &RequestHead) -> Result<AuthorizedRequest, Rejection> {
        let Some(table) = self.table.clone() else {
            return Err(rejection(503, "not_ready"));
        };
        let metadata = match F::request_metadata(&head.fields) {
            Ok(metadata) => metadata,
            Err(_) => return Err(rejection(400, "malformed_facts")),
        };
        let host = match head.fields.unique("host") {
            Ok(Some(host)) => host
                .split(':')
                .next()
                .unwrap_or_default()
                .to_ascii_lowercase(),
            _ => return Err(rejection(400, "no_host")),
        };
        let confirmed = self.keys_fresh();
        let path = head.target.split(['?', '#']).next().unwrap_or_default();
        let Some(route) = table.find(&host, path) else {
            return Err(if confirmed {
                rejection(404, "no_route")
            } else {
                rejection(503, "tables_unconfirmed")
            });
        };
        let deadline = self.now + route.timeout;
        if self.would_be_cut_off(deadline) {
            return Err(rejection(503, "stopping"));
        }
        let (workspace, workspace_priority) = if table.needs_key() && !route.public {
            if !confirmed {
                return Err(rejection(503, "keys_unconfirmed"));
            }
            let owner = metadata
                .api_key
                .as_deref()
                .and_then(|key| table.key_owner(key));
            let Some(owner) = owner else {
                return Err(rejection(401, "unknown_key"));
            };
            (Some(owner.workspace.clone()), owner.priority)
        } else {
            (None, None)
        };
        let random = self.next_random();
        let Some(share) = pick_share(&route.shares, random) else {
            return Err(rejection(503, "no_service"));
        };
        Ok(AuthorizedRequest {
            metadata,
            route: Arc::clone(route),
            service: share.service.clone(),
            workspace,
            priority: request_rank(workspace_priority, route.priority),
        })
    }

    fn admit(
        &mut self,
        caller: CallerId,
        head: &RequestHead,
        body: SegmentedBody,
        authorized: AuthorizedRequest,
        began: Option<Moment>,
    ) {
        let now = self.now;
        let timeout = authorized.route.timeout;
        let time_left = authorized.time_left();
        let caller_retry =
            is_caller_retry(time_left, timeout) || authorized.metadata.last_event_id.is_some();
        let wait = max_wait(authorized.route.latency_target, time_left, caller_retry);
        let upload_time = now.saturating_sub(began.unwrap_or(now));
        let service = authorized.service.clone();
        let model = self.models.get(&service);
        let blocked = self.queues.get(&service).and_then(|queue| {
            let requirements = server_requirements(
                &authorized.route,
                &authorized.metadata,
                VersionBinding::Unbound,
                model,
            );
            let oldest = queue.oldest_blocker(authorized.priority, &requirements);
            (!caller_retry && is_queue_blocked(oldest, wait, now)).then_some(queue.len())
        });
        let workspace = authorized.workspace.as_deref().unwrap_or_default();
        self.uploads.accept(workspace, body.len() as u64);
        let request_head = forward_head::<F>(head);
        let mut head_charge = self.account.charge(AccountPart::Bodies);
        head_charge.set(head.length * HEAD_COPIES);
        let exchange_id = self.exchanges.insert(Exchange {
            caller,
            metadata: authorized.metadata,
            route: authorized.route,
            service: authorized.service,
            workspace: authorized.workspace,
            priority: authorized.priority,
            method: head.method.clone(),
            target: request_target(head),
            head: request_head.into(),
            _head_charge: head_charge,
            body: Rc::new(body),
            arrived: now,
            deadline: now + time_left.saturating_sub(upload_time),
            queued: now,
            wait_until: now + wait,
            phase: ExchangePhase::Waiting,
            caller_retry,
            sends: 0,
            connect_failures: 0,
            tried_replicas: Vec::new(),
            may_have_run: false,
            stream: None,
            pause: None,
            fallback: None,
            sent_load: SentLoad::default(),
            standby: None,
            binding: VersionBinding::Unbound,
            request_hash: OnceCell::new(),
            timer: LazyTimer::default(),
        });
        self.metrics.in_flight.inc();
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.phase = CallerPhase::Busy(exchange_id);
            conn.served = true;
        }
        self.enqueue_new(exchange_id);
        let waits = |exchange: &Exchange| exchange.phase == ExchangePhase::Waiting;
        if let Some(waiting) = blocked
            && self.exchanges.get(exchange_id).is_some_and(waits)
        {
            self.refuse(exchange_id, "queue_blocked", waiting);
        }
    }

    /// Counts a request for its service, in proportion to which attempts may be
    /// repeated there.
    pub(crate) fn count_new_request(&mut self, exchange_id: usize) {
        let (ratio, window) = (self.settings.retry_ratio, self.settings.retry_window);
        let service = self.exchanges[exchange_id].service.clone();
        self.budgets
            .entry(service)
            .or_insert_with(|| RetryBudget::new(ratio, window))
            .record_request(self.now);
    }

    /// Adds a request to the queue of its service.
    pub(crate) fn enqueue(&mut self, exchange_id: usize) {
        let is_blocked = self.blocked_for(exchange_id).is_some();
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        exchange.phase = ExchangePhase::Waiting;
        exchange.queued = self.now;
        if is_blocked {
            self.reject_blocked(exchange_id);
            return;
        }
        let service = exchange.service.clone();
        let request = WaitingRequest {
            exchange_id,
            priority: exchange.priority,
            requirements: server_requirements(
                &exchange.route,
                &exchange.metadata,
                exchange.binding,
                self.models.get(&service),
            ),
            caller_retry: exchange.caller_retry,
            workspace: exchange.workspace.clone().unwrap_or_default(),
            cost: u64::from(exchange.metadata.prompt_tokens / TOKENS_PER_COST_UNIT + 1),
            arrived: exchange.queued,
        };
        let due = exchange.wait_until.min(exchange.deadline);
        self.queues
            .entry(service.clone())
            .or_default()
            .push(request);
        self.arm_exchange(exchange_id, due);
        self.dispatch(&service);
    }

    /// Refuses a request that hasn't run.
    pub(crate) fn refuse(&mut self, exchange_id: usize, code: &'static str, waiting: usize) {
        let jitter = self.next_random_unit();
        let now = self.now;
        let Some(exchange) = self.exchanges.get(exchange_id) else {
            return;
        };
        let left = exchange.deadline.saturating_sub(now);
        // A blocked request would be rejected again any sooner.
        let after = match self.blocked_for(exchange_id) {
            Some(blocked) => blocked,
            None => retry_after(left, jitter),
        };
        self.logs
            .request("entry", "refused")
            .text("request", &exchange.metadata.attempt)
            .text("route", &exchange.route.name)
            .text("reason", code)
            .number("priority", exchange.priority)
            .number("waiting", waiting as u64)
            .ms("waited_ms", now.saturating_sub(exchange.arrived))
            .ms("retry_after_ms", after);
        if LACK_OF_SERVERS.contains(&code) {
            let service = self.exchanges[exchange_id].service.clone();
            self.count_unserved(&service);
        }
        self.finish(exchange_id, code, |state, caller| {
            state.respond(caller, 503, code, Some(after));
        });
    }

    /// Counts a request by its outcome.
    pub(crate) fn count_request(&mut self, service: &str, outcome: &'static str) {
        let label = crate::metrics::OutcomeLabels {
            service: service.to_string(),
            outcome,
        };
        self.metrics.requests.get_or_create(&label).inc();
    }
}

/// Returns the host, path and query of a request.
fn request_target(head: &RequestHead) -> String {
    let host = head.fields.unique("host").ok().flatten();
    format!("{}{}", host.unwrap_or_default(), head.target)
}

/// Returns the request line and the caller's headers that are forwarded.
fn forward_head<F: PlatformFormat>(head: &RequestHead) -> Vec<u8> {
    let mut out = Vec::with_capacity(head.length);
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.fields.iter() {
        let lower = name.to_ascii_lowercase();
        let is_forwarded = match F::header_class(&lower) {
            HeaderClass::Reserved => false,
            HeaderClass::Metadata => true,
            HeaderClass::EndToEnd => {
                !is_connection_header(&lower) && !head.fields.has_list_element("connection", &lower)
            }
        };
        if is_forwarded {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    out
}
