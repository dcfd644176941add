//! One request's way through the entry: grant, attempt, retry, answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::attempt::AttemptGuard;
use super::body::AnswerBody;
use super::context::{ConfigSource, EntryContext, FlightGuard};
use super::events::EventScanner;
use super::grants::GrantSource;
use super::headers::{
    LEAVING, PREFIX_HASH, PRIORITY, RAN, REQUEST_ID, RESUME_FROM, SERVER_NAME, VM_NAME,
    end_to_end_headers, forwarded_headers,
};
use super::keyed::{KeyedClaim, KeyedStep, claim_key, idempotency_key, request_fingerprint};
use super::meter::AnswerMeter;
use super::presence::CallerPresence;
use super::problem::{Problem, RanState};
use super::pump::AnswerPump;
use super::request::ModelRequest;
use super::retry::{AttemptFailure, RetryState, RetryStep, next_step};
use super::upstream::{CallError, UpstreamAnswer, call};
use super::usage::UsageTail;
use crate::broker::{AttemptOutcome, Grant, GrantDecision, GrantRequest};
use crate::ids::{RequestId, ServerName, TokenCount, WorkspaceId};
use crate::tables::{FleetConfig, LatePolicy, PoolKind, PoolRow, RouteRow};

const EVENT_STREAM: &str = "text/event-stream";

/// Everything about one request from its route to its answer.
#[derive(Debug)]
pub(super) struct Exchange<C: ConfigSource, G: GrantSource> {
    pub context: Arc<EntryContext<C, G>>,
    pub id: RequestId,
    pub arrived: Instant,
    pub config: Arc<FleetConfig>,
    pub route: RouteRow,
    pub workspace: WorkspaceId,
    /// Method, path and headers of the caller's request.
    pub parts: Parts,
    pub body: Bytes,
    pub model: Option<ModelRequest>,
    /// Servers that have failed this request.
    pub excluded: Vec<ServerName>,
    pub attempts: usize,
    /// Whether an attempt has failed in a way that it may have run.
    pub may_have_run: bool,
    /// The claim of a keyed request, until its outcome is known.
    pub claim: Option<KeyedClaim>,
    /// Whether the caller still waits; `None` for a request that is cancelled
    /// with its caller.
    pub caller: Option<CallerPresence>,
    /// Keeps the request counted as in flight.
    pub _flight: FlightGuard<C, G>,
}

/// An attempt whose answer has begun.
pub(super) struct BegunAnswer<C, G: GrantSource> {
    pub attempt: AttemptGuard<C, G>,
    pub upstream: UpstreamAnswer,
}

impl<C: ConfigSource, G: GrantSource> Exchange<C, G> {
    /// Serves the request and returns its answer, whose body may still come.
    pub(super) async fn serve(mut self) -> Response<AnswerBody> {
        match self.claim().await {
            Ok(None) => {}
            Ok(Some(replayed)) => {
                self.note("Repeated the recorded answer of this key.".into());
                return replayed;
            }
            Err(problem) => return self.refuse(&problem),
        }
        match self.begin(None).await {
            Ok(begun) => self.answer(begun),
            Err(problem) => {
                let problem = self.honest(problem);
                self.refuse(&problem)
            }
        }
    }

    /// Claims the key of a request that must not run twice.
    ///
    /// Returns the recorded answer if it ran before.
    async fn claim(&mut self) -> Result<Option<Response<AnswerBody>>, Problem> {
        if self.route.idempotent {
            return Ok(None);
        }
        let Some(key) = idempotency_key(&self.parts)? else {
            return Ok(None);
        };
        let fingerprint = request_fingerprint(&self.parts, &self.body);
        let deadline = self.arrived + self.route.timeout;
        let claims = &self.context.claims;
        match claim_key(claims, &self.workspace, &key, fingerprint, deadline).await? {
            KeyedStep::Run(claim) => {
                self.note("Claimed the key.".into());
                self.claim = Some(claim);
                Ok(None)
            }
            KeyedStep::Replay(response) => Ok(Some(response)),
        }
    }

    /// Tries servers until one begins to answer.
    ///
    /// `resume_from` is the number of tokens that the caller already has.
    pub(super) async fn begin(
        &mut self,
        resume_from: Option<TokenCount>,
    ) -> Result<BegunAnswer<C, G>, Problem> {
        loop {
            let grant = self.grant().await?;
            let server = grant.server.clone();
            self.attempts += 1;
            match self.attempt(grant, resume_from).await {
                Ok(begun) => return Ok(begun),
                Err(failure) => self.after_failure(server, &failure)?,
            }
        }
    }

    /// Returns the pool that serves the request.
    pub(super) fn pool(&self) -> &PoolRow {
        &self.config.pools.rows[&self.route.pool]
    }

    /// Returns the time until the request is given up.
    pub(super) fn time_left(&self) -> Duration {
        self.route.timeout.saturating_sub(self.arrived.elapsed())
    }

    /// Returns when the request is given up.
    pub(super) fn deadline(&self) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.arrived + self.route.timeout)
    }

    /// Notes a decision about this request.
    pub(super) fn note(&self, text: String) {
        self.context.decisions.note(&self.id, "entry", text);
    }

    /// Asks for a grant until one comes that is still valid.
    async fn grant(&self) -> Result<Grant, Problem> {
        loop {
            let asked = Instant::now();
            let decision = self
                .context
                .grants
                .request_grant(self.grant_request())
                .await;
            let grant = match decision {
                GrantDecision::Granted(grant) => grant,
                GrantDecision::Refused(refusal) => return Err(Problem::Refused(refusal)),
            };
            if asked.elapsed() <= grant.valid_for {
                self.note_grant(&grant);
                return Ok(grant);
            }
            self.note(format!("The grant of broker {} is void.", grant.broker));
            let attempt = AttemptGuard::new(Arc::clone(&self.context), grant);
            attempt.finish(AttemptOutcome::NotRun);
        }
    }

    fn note_grant(&self, grant: &Grant) {
        let metrics = &self.context.metrics;
        metrics.observe_queue(&self.route.class, self.arrived.elapsed());
        self.note(format!(
            "Granted server {} by broker {}: {}.",
            grant.server, grant.broker, grant.reason
        ));
    }

    fn grant_request(&self) -> GrantRequest {
        let waited = self.arrived.elapsed();
        let model = self.model.as_ref();
        GrantRequest {
            request: self.id.clone(),
            entry: self.context.settings.vm.clone(),
            entry_boot: self.context.settings.boot,
            pool: self.route.pool.clone(),
            class: self.route.class.clone(),
            tier: self.route.tier,
            workspace: self.workspace.clone(),
            waited,
            target_left: self.route.target.saturating_sub(waited),
            timeout_left: self.time_left(),
            late_is_useful: self.route.late == LatePolicy::Useful,
            floor_percent: self.route.floor_percent,
            prompt_tokens: model.map_or(0, |model| model.prompt_tokens),
            max_tokens: model.and_then(|model| model.max_tokens),
            prefix: model.map(|model| model.prefix),
            excluded: self.excluded.clone(),
        }
    }

    async fn attempt(
        &self,
        grant: Grant,
        resume_from: Option<TokenCount>,
    ) -> Result<BegunAnswer<C, G>, AttemptFailure> {
        let attempt = AttemptGuard::new(Arc::clone(&self.context), grant);
        if let Some(text) = self.obstacle() {
            attempt.finish(AttemptOutcome::NotRun);
            return Err(AttemptFailure::Withheld(text.into()));
        }
        let request = self.server_request(attempt.grant(), resume_from);
        let address = attempt.grant().address;
        let connect_timeout = self.context.settings.connect_timeout;
        match call(address, request, connect_timeout, self.deadline()).await {
            Ok(upstream) => self.check_answer(attempt, upstream),
            Err(error) => {
                let (outcome, failure) = match error {
                    CallError::NotSent(text) => {
                        (AttemptOutcome::NotRun, AttemptFailure::NotRun(text))
                    }
                    CallError::BrokenOff(text) => {
                        (AttemptOutcome::Unknown, AttemptFailure::BrokenOff(text))
                    }
                    CallError::TimedOut => {
                        (self.timeout_outcome(&attempt), AttemptFailure::TimedOut)
                    }
                };
                attempt.finish(outcome);
                Err(failure)
            }
        }
    }

    /// Returns what a timeout says of the server.
    ///
    /// A request that came late to a server ends early there; only a long
    /// silence is the server's fault.
    fn timeout_outcome(&self, attempt: &AttemptGuard<C, G>) -> AttemptOutcome {
        if attempt.sent().elapsed() >= self.context.settings.silence_timeout {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Cancelled
        }
    }

    /// Returns why the request must not be sent any more, right before it is.
    fn obstacle(&self) -> Option<&'static str> {
        if self.caller.as_ref().is_some_and(CallerPresence::is_gone) {
            return Some("the caller hung up");
        }
        let is_old = self.claim.as_ref().is_some_and(|claim| !claim.may_send());
        is_old.then_some("the claim is too old")
    }

    fn check_answer(
        &self,
        mut attempt: AttemptGuard<C, G>,
        upstream: UpstreamAnswer,
    ) -> Result<BegunAnswer<C, G>, AttemptFailure> {
        let headers = upstream.response.headers();
        if headers.contains_key(LEAVING) {
            attempt.note_leaving();
        }
        let status = upstream.response.status();
        if is_refusal(status) && self.pool().refusal_means_not_run {
            attempt.finish(AttemptOutcome::NotRun);
            let text = format!("the server refused with {}", status.as_u16());
            return Err(AttemptFailure::NotRun(text));
        }
        Ok(BegunAnswer { attempt, upstream })
    }

    fn server_request(
        &self,
        grant: &Grant,
        resume_from: Option<TokenCount>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query();
        *request.uri_mut() = path.map_or_else(Default::default, |path| path.clone().into());
        *request.headers_mut() = forwarded_headers(&self.parts.headers);
        self.set_server_headers(request.headers_mut(), grant, resume_from);
        request
    }

    fn set_server_headers(
        &self,
        headers: &mut HeaderMap,
        grant: &Grant,
        resume_from: Option<TokenCount>,
    ) {
        let host = grant.address.to_string();
        headers.insert(HOST, header_value(&host));
        headers.insert(REQUEST_ID, header_value(&self.id));
        if self.pool().honours_priority {
            headers.insert(PRIORITY, u64::from(self.route.tier).into());
        }
        if let Some(model) = &self.model {
            let hash = format!("{:016x}", model.prefix);
            headers.insert(PREFIX_HASH, header_value(&hash));
        }
        if let Some(tokens) = resume_from {
            headers.insert(RESUME_FROM, tokens.into());
        }
    }

    /// Excludes the server and decides about a retry.
    fn after_failure(
        &mut self,
        server: ServerName,
        failure: &AttemptFailure,
    ) -> Result<(), Problem> {
        let state = RetryState {
            attempts: self.attempts,
            idempotent: self.route.idempotent,
            time_left: self.time_left(),
            server_left: self.has_untried_server(&server),
        };
        let step = next_step(failure, state);
        self.may_have_run |= failure.may_have_run();
        self.note(format!("Server {server} failed: {failure:?}."));
        self.excluded.push(server);
        match step {
            RetryStep::Retry => {
                self.context.metrics.count_retry(&self.route.class);
                self.note("Retrying at another server.".into());
                Ok(())
            }
            RetryStep::GiveUp(problem) => Err(problem),
        }
    }

    /// Keeps a later refusal from hiding that an earlier attempt may have run.
    fn honest(&self, problem: Problem) -> Problem {
        if self.may_have_run && problem.ran() == RanState::No {
            let text = "An attempt broke off and could not be repeated.";
            return Problem::Unknown(text.into());
        }
        problem
    }

    /// Returns whether the pool has a server besides this one and those that
    /// have failed the request before.
    fn has_untried_server(&self, failed: &ServerName) -> bool {
        let mut servers = self.pool().servers.iter();
        servers.any(|server| server.name != *failed && !self.excluded.contains(&server.name))
    }

    fn refuse(mut self, problem: &Problem) -> Response<AnswerBody> {
        if problem.ran() == RanState::No
            && let Some(claim) = self.claim.take()
        {
            claim.release();
        }
        let class = &self.route.class;
        if let Problem::Refused(refusal) = problem {
            self.context.metrics.count_refusal(class, refusal.reason);
        }
        if problem.ran() == RanState::Unknown {
            self.context.metrics.count_unknown(class);
        }
        self.note(format!("Answered {problem:?}."));
        problem.to_response(&self.id)
    }

    /// Begins the answer and spawns the pump of its body.
    fn answer(self, begun: BegunAnswer<C, G>) -> Response<AnswerBody> {
        let response = &begun.upstream.response;
        let is_stream = is_event_stream(response.headers());
        let mut headers = end_to_end_headers(response.headers());
        if is_stream {
            headers.remove(CONTENT_LENGTH);
        }
        let server = &begun.attempt.grant().server;
        let ran = self.ran_state(response.status());
        headers.insert(REQUEST_ID, header_value(&self.id));
        headers.insert(SERVER_NAME, header_value(server));
        headers.insert(VM_NAME, header_value(&self.context.settings.vm));
        headers.insert(RAN, HeaderValue::from_static(ran.as_str()));

        let status = response.status();
        let is_empty = response.body().is_end_stream() || self.parts.method == Method::HEAD;
        let meter = match self.pool().kind {
            PoolKind::Engine if is_stream => AnswerMeter::Events(EventScanner::default()),
            PoolKind::Engine => AnswerMeter::Document(UsageTail::default()),
            PoolKind::Service => AnswerMeter::Plain,
        };
        let (sender, streamed) = AnswerBody::streamed();
        let body = if is_empty {
            AnswerBody::Ready(None)
        } else {
            streamed
        };
        let pump = AnswerPump::new(self, begun, sender, meter);
        tokio::spawn(pump.run());

        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }

    /// Returns what the status of a server's answer says about the execution.
    pub(super) fn ran_state(&self, status: StatusCode) -> RanState {
        if is_refusal(status) {
            RanState::Unknown
        } else {
            RanState::Yes
        }
    }
}

fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with(EVENT_STREAM))
}

/// Makes a header value of a name, which has no control characters.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}
