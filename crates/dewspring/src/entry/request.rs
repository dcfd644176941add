//! Reads a caller's request: its body, its model and its size.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;

use super::problem::{Problem, quoted_start};
use crate::ids::TokenCount;

/// Mean length of a token in a prompt, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the prompt's start that engines share, in bytes.
const PREFIX_BYTES: usize = 1024;

/// What the entry needs of a model request's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// Model that the caller names.
    pub model: String,
    /// Whether the answer is wanted as events.
    pub stream: bool,
    /// Longest answer that the caller allows.
    pub max_tokens: Option<TokenCount>,
    /// Length of the prompt, estimated from its bytes.
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
    /// Reads the parts of a model request that routing needs.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`] if the body isn't a JSON object with a model
    /// and a prompt or messages.
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
        let parsed: ModelBody = serde_json::from_slice(body).map_err(|error| unreadable(&error))?;
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

fn unreadable(error: &serde_json::Error) -> Problem {
    // The error repeats values of the body.
    let why = quoted_start(&error.to_string());
    Problem::Malformed(format!("The body can't be read: {why}."))
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

/// Copies the parts of a request that are kept until its answer ends.
///
/// What is read from a connection are slices of its buffer; a single kept
/// slice would hold the whole buffer for as long as the answer takes.
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

/// Reads a whole request body within a limit and a time.
pub(super) async fn read_body(
    body: Incoming,
    limit: u64,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    // The size that the caller declared decides before the first byte comes.
    if body.size_hint().lower() > limit {
        return Err(Problem::BodyTooLarge(limit));
    }
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    let collected = tokio::time::timeout(timeout, limited.collect())
        .await
        .map_err(|_| Problem::SlowSender)?;
    match collected {
        Ok(collected) => Ok(Bytes::copy_from_slice(&collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(Problem::BodyTooLarge(limit)),
        Err(error) => Err(Problem::Malformed(format!("The body broke off: {error}."))),
    }
}
