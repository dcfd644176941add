//! The model engine: it batches continuously, caches prompt prefixes and
//! streams answers whose text tells whose they are.
//!
//! A request waits for a slot, is prefilled, and then gives one token an
//! interval. The interval grows with the number of requests in the slots.

mod answer;
mod cache;
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

use crate::faults::{mark_leaving, ordered_failure, refusal};
use crate::web::{
    AnswerBody, DroppedConnection, RequestHandler, WebAnswer, WebRequest, error_answer, json_answer,
};
use decode::{DecodeEnd, DecodeJob};
use request::AnswerRequest;
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

    fn models(&self) -> Response<AnswerBody> {
        let models: Vec<_> = self
            .settings()
            .models
            .iter()
            .map(|model| json!({"id": model, "object": "model", "owned_by": self.settings().name}))
            .collect();
        json_answer(StatusCode::OK, &json!({"object": "list", "data": models}))
    }

    fn cache_events(&self, request: &WebRequest) -> Response<AnswerBody> {
        let after = request
            .query_value("after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let page = self.state.cache_events(after, Instant::now());
        json_answer(StatusCode::OK, &page)
    }

    fn control(&self, request: &WebRequest) -> Response<AnswerBody> {
        match request.json() {
            Ok(order) => {
                self.state.control(&order, Instant::now());
                json_answer(StatusCode::OK, &json!({}))
            }
            Err(error) => error.into(),
        }
    }

    fn refuses(&self) -> bool {
        if self.state.faults().take_refusal() {
            return true;
        }
        let settings = self.settings();
        let usage = self.state.slots.usage();
        let is_full = usage.running >= settings.slots && usage.waiting >= settings.queue_limit;
        settings.not_run_503 && is_full
    }

    async fn complete(&self, request: &WebRequest) -> WebAnswer {
        let wanted = match AnswerRequest::read(request) {
            Ok(wanted) => wanted,
            Err(error) => return Ok(error.into()),
        };
        if !self.settings().models.contains(&wanted.model) {
            let message = format!("the model {} does not exist", wanted.model);
            return Ok(error_answer(StatusCode::NOT_FOUND, message));
        }
        if self.refuses() {
            return Ok(refusal());
        }
        let stream = wanted.stream;
        let request_id = wanted.request_id.clone();
        let (sender, receiver) = mpsc::unbounded_channel();
        let job = DecodeJob {
            state: Arc::clone(&self.state),
            wanted,
            sender,
        };
        let work = tokio::spawn(job.run());
        let mut answer = first_answer(receiver, stream, work).await?;
        if let Ok(request_id) = HeaderValue::from_str(&request_id) {
            answer.headers_mut().insert("x-request-id", request_id);
        }
        Ok(answer)
    }
}

/// Waits for the first chunk, or for the end of work that gave none.
async fn first_answer(
    mut chunks: mpsc::UnboundedReceiver<Result<bytes::Bytes, DroppedConnection>>,
    stream: bool,
    work: tokio::task::JoinHandle<DecodeEnd>,
) -> WebAnswer {
    let Some(first) = chunks.recv().await else {
        return match work.await {
            Ok(DecodeEnd::Failed) => Ok(ordered_failure()),
            _ => Err(DroppedConnection),
        };
    };
    let (body, kind) = match stream {
        true => (AnswerBody::stream(first?, chunks), "text/event-stream"),
        false => (AnswerBody::whole(first?), "application/json"),
    };
    let mut answer = Response::new(body);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    Ok(answer)
}

impl RequestHandler for FakeEngine {
    async fn handle(&self, request: WebRequest) -> WebAnswer {
        let mut answer = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&request).await?
            }
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/load") => json_answer(StatusCode::OK, &self.state.load()),
            (&Method::GET, "/cache_events") => self.cache_events(&request),
            (&Method::GET, "/executions") => json_answer(StatusCode::OK, &self.state.executions()),
            (&Method::GET, "/healthz") => json_answer(StatusCode::OK, &json!({"ok": true})),
            (&Method::POST, "/control") => self.control(&request),
            _ => error_answer(StatusCode::NOT_FOUND, "no such path"),
        };
        mark_leaving(&mut answer, self.state.faults().is_leaving());
        Ok(answer)
    }
}
