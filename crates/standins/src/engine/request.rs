//! Parsing of completion requests.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::Deserialize;
use serde_json::Value;

use crate::web::{MalformedRequest, WebRequest};

const CHARS_PER_TOKEN: usize = 4;
const MIN_DEFAULT_TOKENS: u64 = 8;
const MAX_DEFAULT_TOKENS: u64 = 64;
const DEFAULT_PRIORITY: i64 = 0;

/// Body of a request, in the format that model engines accept.
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

/// A validated completion request.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) is_chat: bool,
    pub(super) stream: bool,
    pub(super) priority: i64,
    pub(super) prompt_tokens: u64,
    /// Hash of the prompt's prefix and its length in tokens.
    pub(super) prefix: Option<(String, u64)>,
    /// Index of the first token to generate; the caller already has those
    /// before it.
    pub(super) first_token: u64,
    /// Index after the last token.
    pub(super) end_token: u64,
    /// Whether the completion ends at the token limit.
    pub(super) is_truncated: bool,
}

impl CompletionRequest {
    /// Parses an HTTP request.
    pub(super) fn parse(request: &WebRequest) -> Result<Self, MalformedRequest> {
        let body: RequestBody = request.json()?;
        let is_chat = request.path.ends_with("/chat/completions");
        let (prompt_tokens, shared_tokens) = prompt_tokens(&body, is_chat)
            .ok_or_else(|| MalformedRequest("no messages or prompt".to_owned()))?;
        let request_id = request.header("x-request-id").unwrap_or("anonymous");
        let length = request
            .header_number("x-answer-tokens")
            .unwrap_or_else(|| default_length(request_id));
        let limit = body.max_tokens.unwrap_or(u64::MAX);
        let end_token = length.min(limit);
        let prefix_tokens = request
            .header_number("x-prefix-tokens")
            .unwrap_or(shared_tokens);
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
            first_token: request
                .header_number("x-resume-from")
                .unwrap_or(0)
                .min(end_token),
            end_token,
            is_truncated: length > limit,
        })
    }

    pub(super) fn is_resumed(&self) -> bool {
        self.first_token > 0
    }
}

/// Returns the number of tokens of the prompt and of the part that other
/// prompts may share: all messages but the last, or half of a plain prompt.
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

/// Returns the length of a completion without a requested length, derived from
/// the request ID so that each execution of a request has the same length.
fn default_length(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    MIN_DEFAULT_TOKENS + hasher.finish() % (MAX_DEFAULT_TOKENS - MIN_DEFAULT_TOKENS + 1)
}
