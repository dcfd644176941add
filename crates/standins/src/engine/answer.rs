//! The JSON of answers, whole and in chunks.

use serde::Serialize;

use super::request::AnswerRequest;

/// Last event of a stream.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A whole answer, or a chunk of one.
#[derive(Serialize)]
struct AnswerDocument<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [AnswerChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct AnswerChoice<'a> {
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
pub(super) fn token_text(wanted: &AnswerRequest, token: u64) -> String {
    format!("{}:{token} ", wanted.request_id)
}

/// Returns the event for one token.
pub(super) fn token_event(wanted: &AnswerRequest, token: u64) -> String {
    let text = token_text(wanted, token);
    let is_first = token == wanted.first_token;
    let content = match wanted.is_chat {
        true => ChoiceContent::Delta(ChatContent {
            role: is_first.then_some("assistant"),
            content: Some(&text),
        }),
        false => ChoiceContent::Text(&text),
    };
    event(&document(wanted, chunk_object(wanted), content, false))
}

/// Returns the event that closes an answer, with its usage.
pub(super) fn final_event(wanted: &AnswerRequest) -> String {
    let content = match wanted.is_chat {
        true => ChoiceContent::Delta(ChatContent::default()),
        false => ChoiceContent::Text(""),
    };
    event(&document(wanted, chunk_object(wanted), content, true))
}

/// Returns the whole answer as one document.
pub(super) fn whole_answer(wanted: &AnswerRequest, text: &str) -> String {
    let (object, content) = match wanted.is_chat {
        true => (
            "chat.completion",
            ChoiceContent::Message(ChatContent {
                role: Some("assistant"),
                content: Some(text),
            }),
        ),
        false => ("text_completion", ChoiceContent::Text(text)),
    };
    json(&document(wanted, object, content, true))
}

fn chunk_object(wanted: &AnswerRequest) -> &'static str {
    match wanted.is_chat {
        true => "chat.completion.chunk",
        false => "text_completion",
    }
}

fn document<'a>(
    wanted: &'a AnswerRequest,
    object: &'static str,
    content: ChoiceContent<'a>,
    is_last: bool,
) -> AnswerDocument<'a> {
    let reason = match wanted.is_cut {
        true => "length",
        false => "stop",
    };
    AnswerDocument {
        id: &wanted.request_id,
        object,
        model: &wanted.model,
        choices: [AnswerChoice {
            index: 0,
            content,
            finish_reason: is_last.then_some(reason),
        }],
        usage: is_last.then(|| TokenUsage {
            prompt_tokens: wanted.prompt_tokens,
            completion_tokens: wanted.end_token,
            total_tokens: wanted.prompt_tokens + wanted.end_token,
        }),
    }
}

fn event(document: &AnswerDocument<'_>) -> String {
    format!("data: {}\n\n", json(document))
}

fn json(document: &AnswerDocument<'_>) -> String {
    serde_json::to_string(document).expect("the document is plain JSON")
}
