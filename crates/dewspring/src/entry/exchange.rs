//! The processing of one request after routing: grant, attempts with retries,
//! and response.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use siphasher::sip::SipHasher13;
use tokio::time::timeout;

use super::attempt::AttemptGuard;
use super::body::ResponseBody;
use super::context::{ConfigSource, EntryContext, InFlightGuard};
use super::events::EventScanner;
use super::grants::GrantSource;
use super::headers::{
    LEAVING, PREFIX_HASH, PRIORITY, RAN, REQUEST_ID, RESUME_FROM, SERVER_NAME, VM_NAME,
    end_to_end_headers, forwarded_headers,
};
use super::keyed::{ClaimDecision, KeyedClaim, claim_key, idempotency_key, request_fingerprint};
use super::meter::ResponseMeter;
use super::presence::CallerPresence;
use super::problem::{Problem, RanState};
use super::pump::ResponsePump;
use super::request::ModelRequest;
use super::retry::{AttemptFailure, RetryDecision, RetryState, decide_retry};
use super::uploads::BodyHold;
use super::upstream::{UpstreamError, UpstreamResponse, send_request};
use super::usage::UsageTail;
use crate::broker::{AttemptOutcome, Grant, GrantDecision, GrantRequest};
use crate::ids::{RequestId, ServerName, TokenCount, WorkspaceId};
use crate::tables::{FleetConfig, LatePolicy, PoolKind, PoolRow, RouteRow};

const EVENT_STREAM: &str = "text/event-stream";

/// Maximum bytes of the content of a server's refusal.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// One request and the state of its processing, from its route to its response.
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
    pub _body_hold: BodyHold,
    pub model: Option<ModelRequest>,
    /// Servers at which an attempt at this request failed.
    pub excluded: Vec<ServerName>,
    pub attempts: usize,
    /// Whether a failed attempt may have run the request.
    pub may_have_run: bool,
    /// The claim on the request's idempotency key, until the outcome is known.
    pub claim: Option<KeyedClaim>,
    /// Observer of the caller's connection; `None` for a request that is
    /// cancelled when its caller disconnects.
    pub caller: Option<CallerPresence>,
    /// Keeps the request counted as in flight.
    pub _in_flight: InFlightGuard<C, G>,
}

/// An attempt whose response header has been received.
pub(super) struct StartedResponse<C, G: GrantSource> {
    pub attempt: AttemptGuard<C, G>,
    pub upstream: UpstreamResponse,
}

impl<C: ConfigSource, G: GrantSource> Exchange<C, G> {
    /// Serves the request and returns its response, whose body may still be
    /// streaming.
    pub(super) async fn serve(mut self) -> Response<ResponseBody> {
        match self.claim().await {
            Ok(None) => {}
            Ok(Some(replayed)) => {
                self.record_decision("Repeated the recorded answer of this key.".into());
                return replayed;
            }
            Err(problem) => return self.problem_response(&problem),
        }
        match self.run_attempts(None).await {
            Ok(started) => self.start_response(started),
            Err(problem) => {
                let problem = self.account_for_earlier_attempts(problem);
                self.problem_response(&problem)
            }
        }
    }

    /// Claims the idempotency key of a request that must not run twice.
    ///
    /// Returns the recorded response if the request ran before.
    async fn claim(&mut self) -> Result<Option<Response<ResponseBody>>, Problem> {
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
            ClaimDecision::Run(claim) => {
                self.record_decision("Claimed the key.".into());
                self.claim = Some(claim);
                Ok(None)
            }
            ClaimDecision::Replay(response) => Ok(Some(response)),
        }
    }

    /// Runs attempts until a server starts to respond.
    ///
    /// `resume_from` is the number of tokens that the caller has already
    /// received.
    pub(super) async fn run_attempts(
        &mut self,
        resume_from: Option<TokenCount>,
    ) -> Result<StartedResponse<C, G>, Problem> {
        loop {
            let grant = self.obtain_grant().await?;
            let server = grant.server.clone();
            self.attempts += 1;
            match self.run_attempt(grant, resume_from).await {
                Ok(started) => return Ok(started),
                Err(failure) => self.handle_failure(server, &failure)?,
            }
        }
    }

    /// Returns the pool that serves the request.
    pub(super) fn pool(&self) -> &PoolRow {
        &self.config.pools.rows[&self.route.pool]
    }

    /// Returns the time left until the request's timeout.
    pub(super) fn time_left(&self) -> Duration {
        self.route.timeout.saturating_sub(self.arrived.elapsed())
    }

    /// Returns the deadline of the request.
    pub(super) fn deadline(&self) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.arrived + self.route.timeout)
    }

    /// Adds a decision about this request to the decision log.
    pub(super) fn record_decision(&self, text: String) {
        self.context.decisions.record(&self.id, "entry", text);
    }

    /// Requests grants until one arrives before it has expired.
    async fn obtain_grant(&self) -> Result<Grant, Problem> {
        loop {
            let requested = Instant::now();
            let decision = self
                .context
                .grants
                .request_grant(self.grant_request())
                .await;
            let grant = match decision {
                GrantDecision::Granted(grant) => grant,
                GrantDecision::Refused(refusal) => return Err(Problem::Refused(refusal)),
            };
            if requested.elapsed() <= grant.valid_for {
                self.record_grant(&grant);
                return Ok(grant);
            }
            self.record_decision(format!("The grant of broker {} expired.", grant.broker));
            let attempt = AttemptGuard::new(Arc::clone(&self.context), grant);
            attempt.finish(AttemptOutcome::NotRun);
        }
    }

    fn record_grant(&self, grant: &Grant) {
        let metrics = &self.context.metrics;
        metrics.observe_queue_time(&self.route.class, self.arrived.elapsed());
        self.record_decision(format!(
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
            fingerprint: self.fingerprint(),
        }
    }

    async fn run_attempt(
        &self,
        grant: Grant,
        resume_from: Option<TokenCount>,
    ) -> Result<StartedResponse<C, G>, AttemptFailure> {
        let attempt = AttemptGuard::new(Arc::clone(&self.context), grant);
        if let Some(text) = self.withhold_reason() {
            attempt.finish(AttemptOutcome::NotRun);
            return Err(AttemptFailure::Withheld(text.into()));
        }
        let request = self.upstream_request(attempt.grant(), resume_from);
        let address = attempt.grant().address;
        let connect_timeout = self.context.settings.connect_timeout;
        match send_request(address, request, connect_timeout, self.deadline()).await {
            Ok(upstream) => self.check_response(attempt, upstream).await,
            Err(error) => {
                let (outcome, failure) = match error {
                    UpstreamError::NotSent(text) => {
                        (AttemptOutcome::NotRun, AttemptFailure::NotRun(text))
                    }
                    UpstreamError::BrokenOff(text) => {
                        self.context.metrics.count_broken_response("server");
                        attempt.finish_broken();
                        return Err(AttemptFailure::BrokenOff(text));
                    }
                    UpstreamError::TimedOut => {
                        (self.timeout_outcome(&attempt), AttemptFailure::TimedOut)
                    }
                };
                attempt.finish(outcome);
                Err(failure)
            }
        }
    }

    /// Returns the hash of the request, which is the same for each of its
    /// repetitions.
    fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(self.workspace.as_bytes());
        hasher.write_u64(request_fingerprint(&self.parts, &self.body));
        hasher.finish()
    }

    /// Returns the outcome to report for an attempt that timed out.
    ///
    /// A request that is sent shortly before its deadline may time out at a
    /// healthy server, so the timeout is attributed to the server only if the
    /// attempt has lasted for the whole idle timeout.
    fn timeout_outcome(&self, attempt: &AttemptGuard<C, G>) -> AttemptOutcome {
        if attempt.started().elapsed() >= self.context.settings.silence_timeout {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Cancelled
        }
    }

    /// Returns why the request must not be sent any more, if there is a reason;
    /// checked directly before it is sent.
    fn withhold_reason(&self) -> Option<&'static str> {
        if self
            .caller
            .as_ref()
            .is_some_and(CallerPresence::has_disconnected)
        {
            return Some("the caller disconnected");
        }
        let is_expired = self.claim.as_ref().is_some_and(|claim| !claim.may_send());
        is_expired.then_some("the claim is too old")
    }

    async fn check_response(
        &self,
        mut attempt: AttemptGuard<C, G>,
        upstream: UpstreamResponse,
    ) -> Result<StartedResponse<C, G>, AttemptFailure> {
        let headers = upstream.response.headers();
        if headers.contains_key(LEAVING) {
            attempt.report_leaving();
        }
        let status = upstream.response.status();
        if is_refusal(status) && self.pool().refusal_means_not_run {
            return Err(self.check_refusal(attempt, upstream).await);
        }
        Ok(StartedResponse { attempt, upstream })
    }

    /// Reads a refusal to its end: one that is broken doesn't show that the request
    /// hasn't run.
    async fn check_refusal(
        &self,
        attempt: AttemptGuard<C, G>,
        upstream: UpstreamResponse,
    ) -> AttemptFailure {
        let UpstreamResponse {
            response,
            _connection,
        } = upstream;
        let status = response.status();
        let silence = self.context.settings.silence_timeout;
        let content = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
        match timeout(silence.min(self.time_left()), content).await {
            Ok(Ok(_)) => {
                attempt.finish(AttemptOutcome::NotRun);
                AttemptFailure::NotRun(format!("the server refused with {}", status.as_u16()))
            }
            Ok(Err(error)) => {
                self.context.metrics.count_broken_response("server");
                attempt.finish_broken();
                AttemptFailure::BrokenOff(format!("a refusal broke off: {error}"))
            }
            Err(_) => {
                let outcome = self.timeout_outcome(&attempt);
                attempt.finish(outcome);
                AttemptFailure::TimedOut
            }
        }
    }

    fn upstream_request(
        &self,
        grant: &Grant,
        resume_from: Option<TokenCount>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query();
        *request.uri_mut() = path.map_or_else(Default::default, |path| path.clone().into());
        *request.headers_mut() = forwarded_headers(&self.parts.headers);
        self.set_upstream_headers(request.headers_mut(), grant, resume_from);
        request
    }

    fn set_upstream_headers(
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

    /// Excludes the server and decides whether to retry.
    fn handle_failure(
        &mut self,
        server: ServerName,
        failure: &AttemptFailure,
    ) -> Result<(), Problem> {
        let state = RetryState {
            attempts: self.attempts,
            idempotent: self.route.idempotent,
            time_left: self.time_left(),
            has_other_server: self.has_untried_server(&server),
        };
        let decision = decide_retry(failure, state);
        self.may_have_run |= failure.may_have_run();
        self.record_decision(format!("Server {server} failed: {failure:?}."));
        self.excluded.push(server);
        match decision {
            RetryDecision::Retry => {
                self.context.metrics.count_retry(&self.route.class);
                self.record_decision("Retrying at another server.".into());
                Ok(())
            }
            RetryDecision::GiveUp(problem) => Err(problem),
        }
    }

    /// Replaces a refusal by [`Problem::Unknown`] if an earlier attempt may have
    /// run the request.
    fn account_for_earlier_attempts(&self, problem: Problem) -> Problem {
        if self.may_have_run && problem.ran() == RanState::No {
            let text = "An attempt broke off and could not be repeated.";
            return Problem::Unknown(text.into());
        }
        problem
    }

    /// Returns whether the pool has a server at which no attempt at this request
    /// has failed.
    fn has_untried_server(&self, failed: &ServerName) -> bool {
        let mut servers = self.pool().servers.iter();
        servers.any(|server| server.name != *failed && !self.excluded.contains(&server.name))
    }

    /// Ends the request with a problem response.
    fn problem_response(mut self, problem: &Problem) -> Response<ResponseBody> {
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
            self.context.metrics.count_unknown_outcome(class);
        }
        self.record_decision(format!("Answered {problem:?}."));
        problem.to_response(&self.id)
    }

    /// Returns the response and spawns the task that forwards its body.
    fn start_response(self, started: StartedResponse<C, G>) -> Response<ResponseBody> {
        let response = &started.upstream.response;
        let is_stream = is_event_stream(response.headers());
        let mut headers = end_to_end_headers(response.headers());
        let status = response.status();
        // RFC 9110, section 8.6: a 204 names no length. hyper removes it for other
        // methods than HEAD only.
        if is_stream || status == StatusCode::NO_CONTENT {
            headers.remove(CONTENT_LENGTH);
        }
        let server = &started.attempt.grant().server;
        let ran = self.ran_state(response.status());
        headers.insert(REQUEST_ID, header_value(&self.id));
        headers.insert(SERVER_NAME, header_value(server));
        headers.insert(VM_NAME, header_value(&self.context.settings.vm));
        headers.insert(RAN, HeaderValue::from_static(ran.as_str()));

        let is_empty = response.body().is_end_stream() || self.parts.method == Method::HEAD;
        let meter = match self.pool().kind {
            PoolKind::Engine if is_stream => ResponseMeter::Events(EventScanner::default()),
            PoolKind::Engine => ResponseMeter::Document(UsageTail::default()),
            PoolKind::Service => ResponseMeter::Plain,
        };
        let (sender, streamed) = ResponseBody::streamed();
        let body = if is_empty {
            ResponseBody::Ready(None)
        } else {
            streamed
        };
        let pump = ResponsePump::new(self, started, sender, meter);
        tokio::spawn(pump.run());

        let mut forwarded = Response::new(body);
        *forwarded.status_mut() = status;
        *forwarded.headers_mut() = headers;
        forwarded
    }

    /// Returns whether the request ran, according to the status of a server's
    /// response.
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

/// Converts a name to a header value; names have no control characters.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("invalid"))
}
