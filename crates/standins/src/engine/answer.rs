//! The JSON of answers, whole and in chunks.

use serde_json::{Value, json};

use super::request::AnswerRequest;

/// Last event of a stream.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the text of one token.
pub(super) fn token_text(wanted: &AnswerRequest, token: u64) -> String {
    format!("{}:{token} ", wanted.request_id)
}

/// Returns the event for one token.
pub(super) fn token_event(wanted: &AnswerRequest, token: u64) -> String {
    let text = token_text(wanted, token);
    let choice = match wanted.is_chat {
        true if token == wanted.first_token => {
            json!({"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": null})
        }
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
        false => json!({"index": 0, "text": text, "finish_reason": null}),
    };
    event(&envelope(wanted, "chunk", &choice))
}

/// Returns the event that closes an answer, with its usage.
pub(super) fn final_event(wanted: &AnswerRequest) -> String {
    let reason = finish_reason(wanted);
    let choice = match wanted.is_chat {
        true => json!({"index": 0, "delta": {}, "finish_reason": reason}),
        false => json!({"index": 0, "text": "", "finish_reason": reason}),
    };
    let mut chunk = envelope(wanted, "chunk", &choice);
    chunk["usage"] = usage(wanted);
    event(&chunk)
}

/// Returns the whole answer as one document.
pub(super) fn whole_answer(wanted: &AnswerRequest, text: &str) -> String {
    let reason = finish_reason(wanted);
    let choice = match wanted.is_chat {
        true => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": reason,
        }),
        false => json!({"index": 0, "text": text, "finish_reason": reason}),
    };
    let mut answer = envelope(wanted, "whole", &choice);
    answer["usage"] = usage(wanted);
    answer.to_string()
}

fn envelope(wanted: &AnswerRequest, form: &str, choice: &Value) -> Value {
    let object = match (wanted.is_chat, form) {
        (true, "chunk") => "chat.completion.chunk",
        (true, _) => "chat.completion",
        (false, _) => "text_completion",
    };
    json!({
        "id": wanted.request_id,
        "object": object,
        "model": wanted.model,
        "choices": [choice],
    })
}

fn usage(wanted: &AnswerRequest) -> Value {
    json!({
        "prompt_tokens": wanted.prompt_tokens,
        "completion_tokens": wanted.end_token,
        "total_tokens": wanted.prompt_tokens + wanted.end_token,
    })
}

fn finish_reason(wanted: &AnswerRequest) -> &'static str {
    match wanted.is_cut {
        true => "length",
        false => "stop",
    }
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
