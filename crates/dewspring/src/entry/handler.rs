//! Request handler: reads and checks a request and matches it to a route, up to
//! the point where it needs a grant.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use indexmap::IndexSet;
use serde::Serialize;

use super::body::ResponseBody;
use super::connections::{ConnectionHandle, GuardedBody};
use super::context::{ConfigSource, EntryContext, shutdown_refusal};
use super::exchange::Exchange;
use super::grants::GrantSource;
use super::headers::{REQUEST_ID, VM_NAME};
use super::presence::CallerGuard;
use super::problem::{Problem, quoted_start};
use super::request::{ModelRequest, detach};
use super::uploads::{ReceivedBody, UploadTerms};
use crate::ids::{RequestId, WorkspaceId};
use crate::tables::{FleetConfig, RouteMatch, RouteRow, RouteTable};

const MODELS_PATH: &str = "/v1/models";

/// Maximum length of a workspace name in a request, in bytes.
const MAX_WORKSPACE_BYTES: usize = 128;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Handles one request and returns its response.
pub(super) async fn handle<C: ConfigSource, G: GrantSource>(
    context: Arc<EntryContext<C, G>>,
    request: Request<Incoming>,
    connection: &ConnectionHandle,
) -> Response<GuardedBody> {
    let id = context.next_id();
    let is_draining = context.is_draining();
    let mut guard = None;
    let accepted = tokio::select! {
        accepted = accept(&context, &id, request) => accepted,
        () = context.requests_ended() => Err(shutdown_refusal()),
    };
    let mut response = match accepted {
        Ok(Accepted::Exchange(exchange)) => {
            guard = connection.accept_request();
            match guard {
                Some(_) => tokio::select! {
                    response = serve(exchange, &id) => response,
                    () = context.requests_ended() => {
                        let text = "The VM shut down before a server responded.";
                        Problem::Unknown(text.into()).to_response(&id)
                    }
                },
                None => Problem::NotReady(Duration::ZERO).to_response(&id),
            }
        }
        Ok(Accepted::Response(response)) => response,
        Err(problem) => {
            let text = format!("Answered {problem:?}.");
            context.decisions.record(&id, "entry", text);
            problem.to_response(&id)
        }
    };
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&context.settings.vm) {
        headers.insert(VM_NAME, value);
    }
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID, value);
    }
    if is_draining {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| GuardedBody {
        body,
        _guard: guard,
    })
}

/// Serves a request that has a route.
///
/// A request that isn't idempotent runs in its own task, so that it is finished
/// even if its caller disconnects.
async fn serve<C: ConfigSource, G: GrantSource>(
    mut exchange: Box<Exchange<C, G>>,
    id: &RequestId,
) -> Response<ResponseBody> {
    if exchange.route.idempotent {
        return exchange.serve().await;
    }
    let guard = CallerGuard::default();
    exchange.caller = Some(guard.presence());
    let served = tokio::spawn(exchange.serve()).await;
    drop(guard);
    served.unwrap_or_else(|_| {
        let text = "The entry failed within the request.";
        Problem::Unknown(text.into()).to_response(id)
    })
}

/// A request that passed all checks.
enum Accepted<C: ConfigSource, G: GrantSource> {
    /// The request has a route and needs a grant.
    Exchange(Box<Exchange<C, G>>),
    /// The entry itself has produced the response.
    Response(Response<ResponseBody>),
}

/// Reads and checks a request.
async fn accept<C: ConfigSource, G: GrantSource>(
    context: &Arc<EntryContext<C, G>>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Accepted<C, G>, Problem> {
    let arrived = Instant::now();
    // Counted before the check, so that a shutdown waits for every request that
    // was not refused.
    let in_flight = context.track_request();
    context.check_accepting()?;
    let config = context.config.current();
    let (parts, incoming) = request.into_parts();
    let path = parts.uri.path();
    if path == MODELS_PATH && parts.method == Method::GET {
        return Ok(Accepted::Response(model_list(&config.routes)));
    }

    let read = read_request(context, &config.routes, parts, incoming).await?;
    let route = find_route(context, &config, &read)?.clone();
    // The body may have arrived long after the check above.
    context.check_time_to_run(route.timeout)?;
    if read.body.bytes.len() as u64 > route.max_body_bytes {
        return Err(Problem::BodyTooLarge(route.max_body_bytes));
    }
    let workspace = find_workspace(context, &read.parts, &route)?;
    context.metrics.count_request(&route.class);
    let text = format!(
        "Matched route {}, class {}, tier {}, workspace {workspace}, pool {}.",
        route.name, route.class, route.tier, route.pool
    );
    context.decisions.record(id, "entry", text);
    Ok(Accepted::Exchange(Box::new(Exchange {
        context: Arc::clone(context),
        id: id.clone(),
        arrived,
        config,
        route,
        workspace,
        parts: detach(&read.parts),
        body: read.body.bytes,
        _body_hold: read.body.hold,
        model: read.model,
        excluded: Vec::new(),
        attempts: 0,
        may_have_run: false,
        claim: None,
        caller: None,
        _in_flight: in_flight,
    })))
}

/// A request with its whole body.
struct ReadRequest {
    parts: Parts,
    body: ReceivedBody,
    /// The fields of the body that routing needs, on paths of model routes.
    model: Option<ModelRequest>,
}

async fn read_request<C: ConfigSource, G: GrantSource>(
    context: &EntryContext<C, G>,
    routes: &RouteTable,
    parts: Parts,
    incoming: Incoming,
) -> Result<ReadRequest, Problem> {
    let path = parts.uri.path();
    let limit = body_limit(routes, path).ok_or(Problem::UnknownPath)?;
    let workspace = header_text(&parts, &context.settings.workspace_header)?;
    let terms = UploadTerms {
        workspace: check_workspace(workspace.unwrap_or_default())?,
        max_bytes: limit,
        timeout: context.settings.body_timeout,
    };
    let received = context.uploads.read_body(incoming, terms, &context.metrics);
    let body = received.await?;
    let model = if has_model_route(routes, path) {
        Some(ModelRequest::parse(&body.bytes)?)
    } else {
        None
    };
    Ok(ReadRequest { parts, body, model })
}

fn find_workspace<C: ConfigSource, G: GrantSource>(
    context: &EntryContext<C, G>,
    parts: &Parts,
    route: &RouteRow,
) -> Result<WorkspaceId, Problem> {
    let header = header_text(parts, &context.settings.workspace_header)?;
    Ok(check_workspace(header.unwrap_or(&route.workspace))?.into())
}

fn check_workspace(name: &str) -> Result<&str, Problem> {
    match name.len() <= MAX_WORKSPACE_BYTES {
        true => Ok(name),
        false => Err(Problem::Malformed("The workspace name is too long.".into())),
    }
}

fn find_route<'a, C: ConfigSource, G: GrantSource>(
    context: &EntryContext<C, G>,
    config: &'a FleetConfig,
    read: &ReadRequest,
) -> Result<&'a RouteRow, Problem> {
    let parts = &read.parts;
    let label = header_text(parts, &context.settings.class_header)?;
    let model = read.model.as_ref();
    let name = model.map(|model| model.model.as_str());
    let method = parts.method.as_str();
    match config.routes.find(method, parts.uri.path(), name, label) {
        RouteMatch::Route(route) => Ok(route),
        RouteMatch::UnknownPath => Err(Problem::UnknownPath),
        RouteMatch::UnknownModel => {
            let name = quoted_start(name.unwrap_or_default());
            Err(Problem::UnknownModel(name))
        }
        RouteMatch::UnknownLabel => {
            let label = quoted_start(label.unwrap_or_default());
            Err(Problem::UnknownLabel(label))
        }
        RouteMatch::MethodNotAllowed => Err(Problem::MethodNotAllowed),
    }
}

/// Returns the largest body limit of all routes with this path.
fn body_limit(routes: &RouteTable, path: &str) -> Option<u64> {
    routes_for_path(routes, path)
        .map(|route| route.max_body_bytes)
        .max()
}

fn has_model_route(routes: &RouteTable, path: &str) -> bool {
    routes_for_path(routes, path).any(|route| route.model.is_some())
}

fn routes_for_path<'a>(
    routes: &'a RouteTable,
    path: &'a str,
) -> impl Iterator<Item = &'a RouteRow> {
    routes
        .rows
        .values()
        .filter(move |route| route.matches_path(path))
}

/// Returns the text of a header, or `None` if it is absent or empty.
///
/// A header that isn't text is an error, because ignoring it would run the
/// request in another class or for another workspace than its caller chose.
fn header_text<'a>(parts: &'a Parts, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = parts.headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Problem::Malformed(format!("The header {name} can't be read.")))?;
    Ok(Some(text).filter(|text| !text.is_empty()))
}

fn model_list(routes: &RouteTable) -> Response<ResponseBody> {
    let names: IndexSet<&str> = routes
        .rows
        .values()
        .filter_map(|route| route.model.as_deref())
        .collect();
    let list = ModelList {
        object: "list",
        data: names
            .into_iter()
            .map(|id| ModelEntry {
                id,
                object: "model",
                owned_by: "dewspring",
            })
            .collect(),
    };
    let text = serde_json::to_vec(&list).expect("a list of names is plain JSON");
    let mut response = Response::new(ResponseBody::ready(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
