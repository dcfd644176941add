//! The headers and the body of a request.

use serde_json::{Value, json};

use crate::plan::PlannedRequest;
use crate::workload::ClassSpec;

const CHARS_PER_TOKEN: u64 = 4;
const BODILESS_METHOD: &str = "GET";
const FILLER: &str = "word ";

/// Returns the headers of a planned request.
pub(crate) fn request_headers(
    class: &ClassSpec,
    request: &PlannedRequest,
) -> Vec<(&'static str, String)> {
    let has_body = class.method != BODILESS_METHOD;
    let optional = [
        (
            "content-type",
            has_body.then(|| "application/json".to_owned()),
        ),
        ("x-request-class", class.label.clone()),
        ("idempotency-key", request.key.clone()),
        (
            "x-answer-tokens",
            request.answer_tokens.map(|tokens| tokens.to_string()),
        ),
    ];
    let mut headers = vec![("x-workspace", request.workspace.clone())];
    headers.extend(
        optional
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?))),
    );
    headers
}

/// Returns the JSON body of a planned request.
pub(crate) fn request_body(class: &ClassSpec, request: &PlannedRequest) -> String {
    if class.method == BODILESS_METHOD {
        return String::new();
    }
    let Some(model) = &class.model else {
        let note = filler(&request_marker(request), request.prompt_tokens);
        return json!({"note": note}).to_string();
    };
    let limit = class.answer_tokens.as_ref().map(|length| length.max);
    json!({
        "model": model,
        "stream": true,
        "max_tokens": limit,
        "messages": messages(class, request),
    })
    .to_string()
}

/// Returns the messages of a chat request.
///
/// A shared prefix is sent as the system message, so that prompts share both
/// their first tokens and their first message.
fn messages(class: &ClassSpec, request: &PlannedRequest) -> Vec<Value> {
    let user =
        |tokens| json!({"role": "user", "content": filler(&request_marker(request), tokens)});
    match (&class.prefix, request.prefix) {
        (Some(spec), Some(number)) => {
            let marker = format!("prefix {} {} {number} ", class.name, request.workspace);
            let system = filler(&marker, spec.tokens);
            vec![
                json!({"role": "system", "content": system}),
                user(request.prompt_tokens - spec.tokens),
            ]
        }
        _ => vec![user(request.prompt_tokens)],
    }
}

/// Returns a text that identifies the request within the run; a repeat has the
/// text of the request that it repeats.
fn request_marker(request: &PlannedRequest) -> String {
    match &request.key {
        Some(key) => format!("{key} "),
        None => format!("{} ", request.sequence),
    }
}

/// Returns a text of the given length in tokens that begins with the marker.
fn filler(marker: &str, tokens: u64) -> String {
    let length = usize::try_from(tokens * CHARS_PER_TOKEN).expect("a prompt fits the memory");
    let mut text = String::with_capacity(length + FILLER.len());
    text.push_str(marker);
    while text.len() < length {
        text.push_str(FILLER);
    }
    text.truncate(length);
    text
}
