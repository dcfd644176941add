//! Whether a request is allowed, and where its answer may come from.
//!
//! The main invariant: a request is refused as not allowed only by tables that
//! the store confirmed recently; while that is unknown it is answered 503.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::format::{HeaderClass, PlatformFormat, RequestMetadata};
use crate::http::RequestHead;
use crate::policy::admission::{is_caller_retry, is_queue_blocked, max_wait, retry_after};
use crate::policy::queue::{WaitingRequest, request_rank};
use crate::policy::retries::RetryBudget;
use crate::tables::{RouteSpec, pick_share};

use super::answers::is_connection_header;
use super::dispatch::server_requirements;
use super::state::{CallerId, CallerPhase, EdgeState, Exchange, ExchangePhase, SentLoad};
use super::timers::DueTime;

/// Time after which a caller may come back to a VM that can't serve yet.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Tokens of a prompt that count as one unit of work in the queue.
const TOKENS_PER_WORK: u32 = 64;

/// Why a request isn't taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Rejection {
    status: u16,
    code: &'static str,
}

const fn rejection(status: u16, code: &'static str) -> Rejection {
    Rejection { status, code }
}

/// A request that is allowed.
struct AllowedRequest {
    facts: RequestMetadata,
    route: Arc<RouteSpec>,
    service: String,
    workspace: Option<String>,
    priority: u8,
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes a whole request.
    pub(crate) fn begin_request(&mut self, caller: CallerId, head: RequestHead, body: Vec<u8>) {
        // The time is read after the request, so that a suspension between the
        // two can't make a confirmation look younger.
        self.now = clock::now();
        match self.allow(&head, body.len()) {
            Ok(allowed) => self.admit(caller, &head, body, allowed),
            Err(why) => {
                let after = (why.status == 503).then_some(UNREADY_RETRY_AFTER);
                self.log_rejection(&head, why);
                self.count_request("none", why.code);
                self.answer(caller, why.status, why.code, after);
            }
        }
    }

    fn log_rejection(&mut self, head: &RequestHead, why: Rejection) {
        let attempt =
            F::request_metadata(&head.fields).map_or(String::new(), |facts| facts.attempt);
        let age = self.keys.age(self.now).unwrap_or(Duration::MAX);
        let version = self.table.as_ref().map_or(0, |table| table.version);
        self.logs
            .request("entry", "rejected")
            .text("request", &attempt)
            .number("status", why.status)
            .text("reason", why.code)
            .number("tables", version)
            .ms("keys_age_ms", age);
    }

    fn allow(
        &mut self,
        head: &RequestHead,
        body_bytes: usize,
    ) -> Result<AllowedRequest, Rejection> {
        let Some(table) = self.table.clone() else {
            return Err(rejection(503, "not_ready"));
        };
        let facts = match F::request_metadata(&head.fields) {
            Ok(facts) => facts,
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
        let known = self.keys_fresh();
        let path = head.target.split(['?', '#']).next().unwrap_or_default();
        let Some(route) = table.find(&host, path) else {
            return Err(if known {
                rejection(404, "no_route")
            } else {
                rejection(503, "tables_unconfirmed")
            });
        };
        let ends = self.now + route.timeout;
        if self.has_left() && self.cut_off().is_some_and(|cut| cut < ends) {
            return Err(rejection(503, "stopping"));
        }
        let (workspace, workspace_priority) = if table.needs_key() && !route.public {
            if !known {
                return Err(rejection(503, "keys_unconfirmed"));
            }
            let owner = facts
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
        if !self.has_body_room(body_bytes) {
            return Err(rejection(503, "no_memory"));
        }
        let draw = self.draw();
        let Some(share) = pick_share(&route.shares, draw) else {
            return Err(rejection(503, "no_service"));
        };
        Ok(AllowedRequest {
            facts,
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
        body: Vec<u8>,
        allowed: AllowedRequest,
    ) {
        let now = self.now;
        let timeout = allowed.route.timeout;
        let allowed_time = allowed.facts.caller_timeout.unwrap_or(timeout).min(timeout);
        let caller_retry = is_caller_retry(allowed_time, timeout);
        let wait = max_wait(allowed.route.latency_target, allowed_time, caller_retry);
        let body: Rc<[u8]> = body.into();
        let service = allowed.service.clone();
        let blocked = self.queues.get(&service).and_then(|queue| {
            let requirements = server_requirements(&allowed.route, &allowed.facts.prompt_parts);
            let oldest = queue.oldest_blocker(allowed.priority, &requirements);
            (!caller_retry && is_queue_blocked(oldest, wait, now)).then_some(queue.len())
        });
        let (ratio, window) = (self.settings.retry_ratio, self.settings.retry_window);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(ratio, window))
            .record_request(now);
        self.body_bytes += body.len() as u64;
        let request_head = forward_head::<F>(head);
        let exchange = self.exchanges.insert(Exchange {
            caller,
            facts: allowed.facts,
            route: allowed.route,
            service: allowed.service,
            workspace: allowed.workspace,
            priority: allowed.priority,
            method: head.method.clone(),
            head: request_head.into(),
            body,
            arrived: now,
            deadline: now + allowed_time,
            queued: now,
            wait_until: now + wait,
            phase: ExchangePhase::Waiting,
            caller_retry,
            sends: 0,
            connect_failures: 0,
            tried: Vec::new(),
            maybe_ran: false,
            stream: None,
            kept: None,
            sent_load: SentLoad::default(),
            timer: DueTime::default(),
        });
        self.metrics.in_flight.inc();
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.phase = CallerPhase::Busy(exchange);
        }
        self.enqueue(exchange);
        let waits = |item: &Exchange| item.phase == ExchangePhase::Waiting;
        if let Some(waiting) = blocked
            && self.exchanges.get(exchange).is_some_and(waits)
        {
            self.refuse(exchange, "queue_blocked", waiting);
        }
    }

    /// Puts a request into the queue of its service.
    pub(crate) fn enqueue(&mut self, exchange: usize) {
        let Some(item) = self.exchanges.get_mut(exchange) else {
            return;
        };
        item.phase = ExchangePhase::Waiting;
        item.queued = self.now;
        let service = item.service.clone();
        let request = WaitingRequest {
            exchange,
            priority: item.priority,
            requirements: server_requirements(&item.route, &item.facts.prompt_parts),
            caller_retry: item.caller_retry,
            workspace: item.workspace.clone().unwrap_or_default(),
            cost: u64::from(item.facts.prompt_tokens / TOKENS_PER_WORK + 1),
            arrived: item.queued,
        };
        let due = item.wait_until.min(item.deadline);
        self.queues
            .entry(service.clone())
            .or_default()
            .push(request);
        self.arm_exchange(exchange, due);
        self.dispatch(&service);
    }

    /// Refuses a request that has not run.
    pub(crate) fn refuse(&mut self, exchange: usize, code: &'static str, waiting: usize) {
        let draw = self.draw_unit();
        let now = self.now;
        let Some(item) = self.exchanges.get(exchange) else {
            return;
        };
        let left = item.deadline.saturating_sub(now);
        let after = retry_after(left, draw);
        self.logs
            .request("entry", "refused")
            .text("request", &item.facts.attempt)
            .text("route", &item.route.name)
            .text("reason", code)
            .number("priority", item.priority)
            .number("waiting", waiting as u64)
            .ms("waited_ms", now.saturating_sub(item.arrived))
            .ms("retry_after_ms", after);
        self.finish(exchange, code, |state, caller| {
            state.answer(caller, 503, code, Some(after));
        });
    }

    /// Counts a request by its outcome.
    pub(crate) fn count_request(&mut self, service: &str, outcome: &'static str) {
        let label = crate::metrics::RouteOutcome {
            service: service.to_string(),
            outcome,
        };
        self.metrics.requests.get_or_create(&label).inc();
    }
}

/// Writes the request line and the caller's headers that are passed on.
fn forward_head<F: PlatformFormat>(head: &RequestHead) -> Vec<u8> {
    let mut out = Vec::with_capacity(head.length);
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.fields.iter() {
        let lower = name.to_ascii_lowercase();
        let passed = match F::header_class(&lower) {
            HeaderClass::Reserved => false,
            HeaderClass::Metadata => true,
            HeaderClass::EndToEnd => {
                !is_connection_header(&lower) && !head.fields.has_list_element("connection", &lower)
            }
        };
        if passed {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    out
}
