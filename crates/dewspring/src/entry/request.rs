//! Reads the body of a request and extracts what routing needs from it.

use std::hash::Hasher;

use hyper::Request;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;

use super::problem::{Problem, quoted_start};
use crate::ids::TokenCount;

/// Average length of a token in a prompt, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the start of the prompt that identifies a shared prefix, in bytes.
const PREFIX_BYTES: usize = 1024;

/// The fields of a model request's body that the entry needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// Name of the requested model.
    pub model: String,
    /// Whether the caller requests a stream of events.
    pub stream: bool,
    /// Maximum length of the response, if the caller limits it.
    pub max_tokens: Option<TokenCount>,
    /// Length of the prompt, estimated from the size of the body.
    pub prompt_tokens: TokenCount,
    /// Hash of the model and the start of the prompt.
    pub prefix: u64,
}

#[derive(Deserialize)]
struct ModelBody {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<TokenCount>,
    max_completion_tokens: Option<TokenCount>,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl ModelRequest {
    /// Parses the body of a model request.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Malformed`] if the body isn't a JSON object with a
    /// model and a prompt or messages.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::entry::ModelRequest;
    ///
    /// let body = br#"{"model":"wire","prompt":"Levee holds."}"#;
    /// assert_eq!(ModelRequest::parse(body).unwrap().model, "wire");
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let parsed: ModelBody =
            serde_json::from_slice(body).map_err(|error| parse_problem(&error))?;
        let start = prompt_start(&parsed)?;
        let mut hasher = SipHasher13::new();
        hasher.write(parsed.model.as_bytes());
        hasher.write(&start.as_bytes()[..start.len().min(PREFIX_BYTES)]);
        Ok(Self {
            prefix: hasher.finish(),
            stream: parsed.stream.unwrap_or(false),
            max_tokens: parsed.max_tokens.or(parsed.max_completion_tokens),
            prompt_tokens: (body.len() / BYTES_PER_TOKEN) as TokenCount,
            model: parsed.model,
        })
    }
}

fn parse_problem(error: &serde_json::Error) -> Problem {
    // The error message can contain values of the body, so it is shortened.
    let reason = quoted_start(&error.to_string());
    Problem::Malformed(format!("The body can't be read: {reason}."))
}

fn prompt_start(body: &ModelBody) -> Result<String, Problem> {
    let first = match (&body.prompt, &body.messages) {
        (Some(prompt), _) => prompt,
        (None, Some(messages)) if !messages.is_empty() => &messages[0].content,
        _ => {
            let detail = "The body has neither a prompt nor messages.";
            return Err(Problem::Malformed(detail.into()));
        }
    };
    Ok(match first {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    })
}

/// Copies the header of a request out of the connection's read buffer.
///
/// Headers are slices of the read buffer. A single slice that is kept until the
/// response ends would keep the whole buffer allocated.
pub(super) fn detach(parts: &Parts) -> Parts {
    let mut copy = Request::new(()).into_parts().0;
    copy.method = parts.method.clone();
    copy.version = parts.version;
    copy.uri = parts.uri.to_string().parse().unwrap_or_default();
    for (name, value) in &parts.headers {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            copy.headers.append(name.clone(), value);
        }
    }
    copy
}
