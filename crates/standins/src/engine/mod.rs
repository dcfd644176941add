//! The model engine: it batches continuously, caches prompt prefixes and
//! streams completions whose text identifies their request.
//!
//! A request waits for a slot, is prefilled, and then generates one token per
//! interval. The interval grows with the number of requests in the slots.

mod cache;
mod completion;
mod decode;
mod request;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use settings::EngineSettings;

use std::sync::Arc;
use std::time::Instant;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use crate::faults::{add_leaving_header, injected_failure, refusal_response};
use crate::web::{
    DroppedConnection, HandlerResult, RequestHandler, ResponseBody, WebRequest, error_response,
    json_response,
};
use decode::{DecodeJob, DecodeOutcome};
use request::CompletionRequest;
use state::EngineState;

/// A running engine.
#[derive(Clone)]
pub struct FakeEngine {
    state: Arc<EngineState>,
}

impl FakeEngine {
    /// Creates the engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            state: Arc::new(EngineState::new(settings)),
        }
    }

    fn settings(&self) -> &EngineSettings {
        &self.state.settings
    }

    fn models(&self) -> Response<ResponseBody> {
        let models: Vec<_> = self
            .settings()
            .models
            .iter()
            .map(|model| json!({"id": model, "object": "model", "owned_by": self.settings().name}))
            .collect();
        json_response(StatusCode::OK, &json!({"object": "list", "data": models}))
    }

    fn cache_events(&self, request: &WebRequest) -> Response<ResponseBody> {
        let after = request
            .query_value("after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let page = self.state.cache_events(after, Instant::now());
        json_response(StatusCode::OK, &page)
    }

    fn control(&self, request: &WebRequest) -> Response<ResponseBody> {
        match request.json() {
            Ok(control) => {
                self.state.control(&control, Instant::now());
                json_response(StatusCode::OK, &json!({}))
            }
            Err(error) => error.into(),
        }
    }

    fn should_refuse(&self) -> bool {
        if self.state.faults().consume_refusal() {
            return true;
        }
        let settings = self.settings();
        let usage = self.state.slots.usage();
        let is_full = usage.running >= settings.slots && usage.waiting >= settings.queue_limit;
        settings.not_run_503 && is_full
    }

    async fn complete(&self, request: &WebRequest) -> HandlerResult {
        let completion_request = match CompletionRequest::parse(request) {
            Ok(completion_request) => completion_request,
            Err(error) => return Ok(error.into()),
        };
        if !self.settings().models.contains(&completion_request.model) {
            let message = format!("the model {} does not exist", completion_request.model);
            return Ok(error_response(StatusCode::NOT_FOUND, message));
        }
        if self.should_refuse() {
            return Ok(refusal_response());
        }
        let stream = completion_request.stream;
        let request_id = completion_request.request_id.clone();
        let (sender, receiver) = mpsc::unbounded_channel();
        let job = DecodeJob {
            state: Arc::clone(&self.state),
            request: completion_request,
            sender,
        };
        let execution = tokio::spawn(job.run());
        let mut response = first_response(receiver, stream, execution).await?;
        if let Ok(request_id) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert("x-request-id", request_id);
        }
        Ok(response)
    }
}

/// Waits for the first chunk and returns a response with it, or a response for
/// an execution that ended without any chunk.
async fn first_response(
    mut chunks: mpsc::UnboundedReceiver<Result<bytes::Bytes, DroppedConnection>>,
    stream: bool,
    execution: tokio::task::JoinHandle<DecodeOutcome>,
) -> HandlerResult {
    let Some(first) = chunks.recv().await else {
        return match execution.await {
            Ok(DecodeOutcome::Failed) => Ok(injected_failure()),
            _ => Err(DroppedConnection),
        };
    };
    let (body, content_type) = match stream {
        true => (ResponseBody::stream(first?, chunks), "text/event-stream"),
        false => (ResponseBody::whole(first?), "application/json"),
    };
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Ok(response)
}

impl RequestHandler for FakeEngine {
    async fn handle(&self, request: WebRequest) -> HandlerResult {
        let mut response = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&request).await?
            }
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.state.load()),
            (&Method::GET, "/cache_events") => self.cache_events(&request),
            (&Method::GET, "/executions") => {
                json_response(StatusCode::OK, &self.state.executions())
            }
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({"ok": true})),
            (&Method::POST, "/control") => self.control(&request),
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        };
        add_leaving_header(&mut response, self.state.faults().is_leaving());
        Ok(response)
    }
}
