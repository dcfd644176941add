//! The sending of one request and the reading of its answer.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde_json::Value;

use super::events::{StreamCheck, StreamVerdict};
use super::outcome::{AnswerRecord, AnswerTimes, RequestOutcome};

const READ_BUFFER_BYTES: usize = 16 << 10;
const RAN_HEADER: &str = "x-dewspring-ran";
const RAN_UNKNOWN: &str = "unknown";
const NOT_SAID: &str = "-";
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) address: SocketAddr,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    /// Whether the answer is a stream of tokens.
    pub(crate) is_model: bool,
    /// Tokens that the answer must have.
    pub(crate) answer_tokens: Option<u64>,
    /// Key that the answer of a plain service must repeat.
    pub(crate) key: Option<String>,
}

/// One exchange with a server, on the thread that calls it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpExchange {
    /// Intended time of sending, from which all times count.
    pub(crate) started: Instant,
    /// Time after which the request is given up.
    pub(crate) timeout: Duration,
}

impl HttpExchange {
    /// Sends the request and reads its whole answer.
    pub(crate) fn run(&self, request: &SentRequest) -> AnswerRecord {
        let response = match self.send(request) {
            Ok(response) => response,
            Err(error) => return self.without_answer(&error),
        };
        let request_id = header(&response, REQUEST_ID_HEADER);
        let status = response.status();
        if !status.is_success() {
            let ran = header(&response, RAN_HEADER).unwrap_or_else(|| NOT_SAID.to_owned());
            let outcome = match ran.as_str() {
                RAN_UNKNOWN => RequestOutcome::Unknown {
                    reason: status.as_u16().to_string(),
                },
                _ => RequestOutcome::Refused {
                    status: status.as_u16(),
                    ran,
                },
            };
            return self.record(outcome, request_id);
        }
        let mut record = match request.is_model {
            true => self.read_stream(request, response, request_id.as_deref()),
            false => self.read_document(request, response, request_id.as_deref()),
        };
        record.request_id = request_id;
        record
    }

    fn send(&self, request: &SentRequest) -> io::Result<Response<Body>> {
        let uri = format!("http://{}{}", request.address, request.path);
        let mut builder = Request::builder().method(request.method.as_str()).uri(uri);
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let sent = builder
            .body(Body::from(request.body.clone()))
            .map_err(io::Error::other)?;
        Client::new()
            .with_global_timeout(self.timeout)
            .request(sent)
    }

    fn record(&self, outcome: RequestOutcome, request_id: Option<String>) -> AnswerRecord {
        AnswerRecord {
            outcome,
            request_id,
            times: AnswerTimes {
                end: self.started.elapsed(),
                ..AnswerTimes::default()
            },
            tokens: 0,
        }
    }

    fn without_answer(&self, error: &io::Error) -> AnswerRecord {
        let outcome = match error.kind() {
            ErrorKind::ConnectionRefused => RequestOutcome::Unreachable,
            kind => RequestOutcome::Unknown {
                reason: kind.to_string(),
            },
        };
        self.record(outcome, None)
    }

    fn read_stream(
        &self,
        request: &SentRequest,
        response: Response<Body>,
        request_id: Option<&str>,
    ) -> AnswerRecord {
        let id = request_id.unwrap_or_default();
        let mut check = StreamCheck::new(id, request.answer_tokens);
        let mut times = AnswerTimes::default();
        let mut last = None;
        let is_ended = self.read(response.into_body(), |bytes| {
            let tokens = check.push(bytes);
            let now = self.started.elapsed();
            for _ in 0..tokens {
                times.first_token.get_or_insert(now);
                times.gaps.extend(last.map(|last| now - last));
                last = Some(now);
            }
        });
        times.end = self.started.elapsed();
        let outcome = match (check.verdict(), is_ended) {
            (StreamVerdict::Wrong, _) => RequestOutcome::Wrong,
            (StreamVerdict::Whole, true) => RequestOutcome::Completed,
            _ => RequestOutcome::Broken,
        };
        AnswerRecord {
            outcome,
            request_id: None,
            times,
            tokens: check.tokens(),
        }
    }

    fn read_document(
        &self,
        request: &SentRequest,
        response: Response<Body>,
        request_id: Option<&str>,
    ) -> AnswerRecord {
        let mut times = AnswerTimes::default();
        let mut document = Vec::new();
        let is_ended = self.read(response.into_body(), |bytes| {
            times.first_token.get_or_insert(self.started.elapsed());
            document.extend_from_slice(bytes);
        });
        times.end = self.started.elapsed();
        let outcome = match is_ended {
            true if is_own_document(request, request_id, &document) => RequestOutcome::Completed,
            true => RequestOutcome::Wrong,
            false => RequestOutcome::Broken,
        };
        AnswerRecord {
            outcome,
            request_id: None,
            times,
            tokens: 0,
        }
    }

    /// Reads a body to its end; returns false if it breaks off or takes longer
    /// than the timeout.
    fn read(&self, mut body: Body, mut take: impl FnMut(&[u8])) -> bool {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match body.read(&mut buffer) {
                Ok(0) => return true,
                Ok(length) => take(&buffer[..length]),
                Err(_) => return false,
            }
            if self.started.elapsed() > self.timeout {
                return false;
            }
        }
    }
}

/// Returns whether a plain service's answer is the request's own. A repeated
/// key may bring the answer of the request that came first, so the key goes
/// before the request's identity.
fn is_own_document(request: &SentRequest, request_id: Option<&str>, document: &[u8]) -> bool {
    let Ok(document) = serde_json::from_slice::<Value>(document) else {
        return false;
    };
    let has_own_body = document["body_bytes"] == request.body.len();
    let is_own = match &request.key {
        Some(key) => document["idempotency_key"] == key.as_str(),
        None => document["request_id"].as_str() == request_id,
    };
    has_own_body && is_own
}

fn header(response: &Response<Body>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
