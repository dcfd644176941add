//! Extracts what routing needs from the body of a request.
//!
//! A parsed value can be many times as large as its text, so that the prompt is
//! checked without being kept.

use std::borrow::Cow;
use std::fmt;
use std::hash::Hasher;

use hyper::Request;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
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
struct ModelBody<'a> {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<TokenCount>,
    max_completion_tokens: Option<TokenCount>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<FirstMessage<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

/// The content of the first message of a list, the others of which are valid.
struct FirstMessage<'a>(Option<Message<'a>>);

impl<'de: 'a, 'a> Deserialize<'de> for FirstMessage<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ListVisitor;

        impl<'de> Visitor<'de> for ListVisitor {
            type Value = FirstMessage<'de>;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a list of messages")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
                let first: Option<Message<'de>> = list.next_element()?;
                while let Some(message) = list.next_element::<Message<'de>>()? {
                    check_value(message.content).map_err(A::Error::custom)?;
                }
                Ok(FirstMessage(first))
            }
        }

        deserializer.deserialize_seq(ListVisitor)
    }
}

/// A value of which nothing is kept. Unlike [`serde::de::IgnoredAny`], it is checked
/// in full: strings, numbers and depth.
struct CheckedValue;

impl<'de> Deserialize<'de> for CheckedValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(CheckedVisitor)
    }
}

struct CheckedVisitor;

impl<'de> Visitor<'de> for CheckedVisitor {
    type Value = CheckedValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_i64<E>(self, _: i64) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_u64<E>(self, _: u64) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_f64<E>(self, _: f64) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_str<E>(self, _: &str) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_unit<E>(self) -> Result<CheckedValue, E> {
        Ok(CheckedValue)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<CheckedValue, A::Error> {
        while list.next_element::<CheckedValue>()?.is_some() {}
        Ok(CheckedValue)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<CheckedValue, A::Error> {
        while map.next_entry::<CheckedValue, CheckedValue>()?.is_some() {}
        Ok(CheckedValue)
    }
}

fn check_value(value: Option<&RawValue>) -> Result<(), serde_json::Error> {
    let checked = value.map(|value| serde_json::from_str::<CheckedValue>(value.get()));
    checked.transpose().map(|_| ())
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
        let parsed: ModelBody<'_> =
            serde_json::from_slice(body).map_err(|error| parse_problem(&error))?;
        let first = parsed.messages.as_ref().and_then(|list| list.0.as_ref());
        for value in [parsed.prompt, first.and_then(|first| first.content)] {
            check_value(value).map_err(|error| parse_problem(&error))?;
        }
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

fn prompt_start<'a>(body: &ModelBody<'a>) -> Result<Cow<'a, str>, Problem> {
    let messages = body.messages.as_ref().map(|list| list.0.as_ref());
    let first = match (body.prompt, messages) {
        (Some(prompt), _) => prompt.get(),
        (None, Some(Some(first))) => first.content.map_or("null", RawValue::get),
        _ => {
            let detail = "The body has neither a prompt nor messages.";
            return Err(Problem::Malformed(detail.into()));
        }
    };
    // A prompt that isn't a string is identified by its text.
    Ok(match serde_json::from_str::<String>(first) {
        Ok(text) => Cow::Owned(text),
        Err(_) => Cow::Borrowed(first),
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
