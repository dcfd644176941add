//! The JSON of completions, as one document and as streamed chunks.

use serde::Serialize;

use super::request::CompletionRequest;

/// Last event of a stream.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A whole completion, or a chunk of one.
#[derive(Serialize)]
struct CompletionDocument<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(flatten)]
    content: ChoiceContent<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum ChoiceContent<'a> {
    Delta(ChatContent<'a>),
    Message(ChatContent<'a>),
    Text(&'a str),
}

#[derive(Default, Serialize)]
struct ChatContent<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct TokenUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Returns the text of one token.
pub(super) fn token_text(request: &CompletionRequest, token: u64) -> String {
    format!("{}:{token} ", request.request_id)
}

/// Returns the event for one token.
pub(super) fn token_event(request: &CompletionRequest, token: u64) -> String {
    let text = token_text(request, token);
    let is_first = token == request.first_token;
    let content = match request.is_chat {
        true => ChoiceContent::Delta(ChatContent {
            role: is_first.then_some("assistant"),
            content: Some(&text),
        }),
        false => ChoiceContent::Text(&text),
    };
    event_text(&document(request, chunk_object(request), content, false))
}

/// Returns the event that ends a completion, with its token usage.
pub(super) fn final_event(request: &CompletionRequest) -> String {
    let content = match request.is_chat {
        true => ChoiceContent::Delta(ChatContent::default()),
        false => ChoiceContent::Text(""),
    };
    event_text(&document(request, chunk_object(request), content, true))
}

/// Returns the whole completion as one document.
pub(super) fn completion_json(request: &CompletionRequest, text: &str) -> String {
    let (object, content) = match request.is_chat {
        true => (
            "chat.completion",
            ChoiceContent::Message(ChatContent {
                role: Some("assistant"),
                content: Some(text),
            }),
        ),
        false => ("text_completion", ChoiceContent::Text(text)),
    };
    json(&document(request, object, content, true))
}

fn chunk_object(request: &CompletionRequest) -> &'static str {
    match request.is_chat {
        true => "chat.completion.chunk",
        false => "text_completion",
    }
}

fn document<'a>(
    request: &'a CompletionRequest,
    object: &'static str,
    content: ChoiceContent<'a>,
    is_last: bool,
) -> CompletionDocument<'a> {
    let reason = match request.is_truncated {
        true => "length",
        false => "stop",
    };
    CompletionDocument {
        id: &request.request_id,
        object,
        model: &request.model,
        choices: [CompletionChoice {
            index: 0,
            content,
            finish_reason: is_last.then_some(reason),
        }],
        usage: is_last.then(|| TokenUsage {
            prompt_tokens: request.prompt_tokens,
            completion_tokens: request.end_token,
            total_tokens: request.prompt_tokens + request.end_token,
        }),
    }
}

fn event_text(document: &CompletionDocument<'_>) -> String {
    format!("data: {}\n\n", json(document))
}

fn json(document: &CompletionDocument<'_>) -> String {
    serde_json::to_string(document).expect("the document is plain JSON")
}
