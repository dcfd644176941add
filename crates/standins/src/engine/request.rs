//! A request for an answer, read from HTTP.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::Deserialize;
use serde_json::Value;

use crate::web::{MalformedRequest, WebRequest};

const CHARS_PER_TOKEN: usize = 4;
const MIN_DRAWN_TOKENS: u64 = 8;
const MAX_DRAWN_TOKENS: u64 = 64;
const DEFAULT_PRIORITY: i64 = 0;

/// Body of a request, in the shape that model engines take.
#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(rename = "role")]
    _role: String,
    content: Value,
}

/// A checked request.
#[derive(Clone, Debug)]
pub(super) struct AnswerRequest {
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) is_chat: bool,
    pub(super) stream: bool,
    pub(super) priority: i64,
    pub(super) prompt_tokens: u64,
    /// Hash of the prompt's prefix and the tokens that it covers.
    pub(super) prefix: Option<(String, u64)>,
    /// First token to give; those before it are with the caller already.
    pub(super) first_token: u64,
    /// Number after the last token.
    pub(super) end_token: u64,
    /// Whether the answer was cut at the token limit.
    pub(super) is_cut: bool,
}

impl AnswerRequest {
    /// Reads a request.
    pub(super) fn read(request: &WebRequest) -> Result<Self, MalformedRequest> {
        let body: RequestBody = request.json()?;
        let is_chat = request.path.ends_with("/chat/completions");
        let (prompt_tokens, shared_tokens) = prompt_tokens(&body, is_chat)
            .ok_or_else(|| MalformedRequest("no messages or prompt".to_owned()))?;
        let request_id = request.header("x-request-id").unwrap_or("anonymous");
        let length = request
            .number("x-answer-tokens")
            .unwrap_or_else(|| drawn_length(request_id));
        let limit = body.max_tokens.unwrap_or(u64::MAX);
        let end_token = length.min(limit);
        let prefix_tokens = request.number("x-prefix-tokens").unwrap_or(shared_tokens);
        let priority = request
            .header("x-priority")
            .and_then(|priority| priority.parse().ok());
        Ok(Self {
            request_id: request_id.to_owned(),
            model: body.model,
            is_chat,
            stream: body.stream,
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            prompt_tokens,
            prefix: request
                .header("x-prefix-hash")
                .map(|hash| (hash.to_owned(), prefix_tokens.min(prompt_tokens))),
            first_token: request.number("x-resume-from").unwrap_or(0).min(end_token),
            end_token,
            is_cut: length > limit,
        })
    }

    pub(super) fn is_resumed(&self) -> bool {
        self.first_token > 0
    }
}

/// Returns the tokens of the prompt and of the part that others may share:
/// all messages but the last, or half of a plain prompt.
fn prompt_tokens(body: &RequestBody, is_chat: bool) -> Option<(u64, u64)> {
    if !is_chat {
        let tokens = text_tokens(body.prompt.as_deref()?);
        return Some((tokens, tokens / 2));
    }
    let messages = body.messages.as_deref()?;
    let (last, shared) = messages.split_last()?;
    let shared = shared.iter().map(message_tokens).sum();
    Some((shared + message_tokens(last), shared))
}

fn message_tokens(message: &ChatMessage) -> u64 {
    match &message.content {
        Value::String(text) => text_tokens(text),
        other => text_tokens(&other.to_string()),
    }
}

fn text_tokens(text: &str) -> u64 {
    text.len().div_ceil(CHARS_PER_TOKEN) as u64
}

fn drawn_length(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    MIN_DRAWN_TOKENS + hasher.finish() % (MAX_DRAWN_TOKENS - MIN_DRAWN_TOKENS + 1)
}
