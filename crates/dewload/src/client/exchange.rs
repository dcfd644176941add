//! Sending of one request and reading of its response.

use std::io::{self, ErrorKind, Read as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dewhttp::{CallRequest, CallResponse};
use serde_json::Value;

use super::events::{StreamCheck, StreamResult};
use super::outcome::{RequestOutcome, ResponseRecord, ResponseTimes};

const READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum bytes of a response that isn't a success.
const MAX_ERROR_BYTES: usize = 1 << 20;
const RAN_HEADER: &str = "x-dewspring-ran";
const RAN_UNKNOWN: &str = "unknown";
const RAN_NOT_REPORTED: &str = "-";
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request that is ready to send.
#[derive(Clone, Debug)]
pub(crate) struct PreparedRequest {
    pub(crate) address: SocketAddr,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    /// Whether the response is a stream of tokens.
    pub(crate) is_model: bool,
    /// Number of tokens that the completion must have.
    pub(crate) answer_tokens: Option<u64>,
    /// Idempotency key that the response of a plain service must repeat.
    pub(crate) key: Option<String>,
}

/// One blocking exchange with a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpExchange {
    /// Planned send time, to which all times are relative.
    pub(crate) started: Instant,
    /// Time after which the request is abandoned.
    pub(crate) timeout: Duration,
}

impl HttpExchange {
    /// Sends the request and reads the whole response.
    pub(crate) fn run(&self, request: &PreparedRequest) -> ResponseRecord {
        let response = match self.send(request) {
            Ok(response) => response,
            Err(error) => return self.error_record(&error),
        };
        let request_id = header(&response, REQUEST_ID_HEADER);
        let status = response.status();
        if !(200..300).contains(&status) {
            let ran = header(&response, RAN_HEADER).unwrap_or_else(|| RAN_NOT_REPORTED.to_owned());
            if let Err(error) = response.read_all(MAX_ERROR_BYTES) {
                return self.error_record(&error);
            }
            let outcome = match ran.as_str() {
                RAN_UNKNOWN => RequestOutcome::Unknown {
                    reason: status.to_string(),
                },
                _ => RequestOutcome::Refused { status, ran },
            };
            return self.failed_record(outcome, request_id);
        }
        let mut record = match request.is_model {
            true => self.read_stream(request, response, request_id.as_deref()),
            false => self.read_document(request, response, request_id.as_deref()),
        };
        record.request_id = request_id;
        record
    }

    fn send(&self, request: &PreparedRequest) -> io::Result<CallResponse> {
        let headers = request.headers.iter();
        let fields: Vec<(&str, &str)> = headers
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let call = CallRequest {
            method: &request.method,
            target: &request.path,
            fields: &fields,
            content: request.body.as_bytes(),
        };
        call.send(request.address, self.timeout)
    }

    fn failed_record(&self, outcome: RequestOutcome, request_id: Option<String>) -> ResponseRecord {
        ResponseRecord {
            outcome,
            request_id,
            times: ResponseTimes {
                end: self.started.elapsed(),
                ..ResponseTimes::default()
            },
            tokens: 0,
        }
    }

    fn error_record(&self, error: &io::Error) -> ResponseRecord {
        let outcome = match error.kind() {
            ErrorKind::ConnectionRefused => RequestOutcome::Unreachable,
            kind => RequestOutcome::Unknown {
                reason: kind.to_string(),
            },
        };
        self.failed_record(outcome, None)
    }

    fn read_stream(
        &self,
        request: &PreparedRequest,
        response: CallResponse,
        request_id: Option<&str>,
    ) -> ResponseRecord {
        let expected_id = request_id.unwrap_or_default();
        let mut check = StreamCheck::new(expected_id, request.answer_tokens);
        let mut times = ResponseTimes::default();
        let mut last = None;
        let is_complete = self.read(response, |bytes| {
            let tokens = check.push(bytes);
            let now = self.started.elapsed();
            for _ in 0..tokens {
                times.first_token.get_or_insert(now);
                times.gaps.extend(last.map(|last| now - last));
                last = Some(now);
            }
        });
        times.end = self.started.elapsed();
        let outcome = match (check.result(), is_complete) {
            (StreamResult::Wrong, _) => RequestOutcome::Wrong,
            (StreamResult::Whole, true) => RequestOutcome::Completed,
            _ => RequestOutcome::Broken,
        };
        ResponseRecord {
            outcome,
            request_id: None,
            times,
            tokens: check.tokens(),
        }
    }

    fn read_document(
        &self,
        request: &PreparedRequest,
        response: CallResponse,
        request_id: Option<&str>,
    ) -> ResponseRecord {
        let mut times = ResponseTimes::default();
        let mut document = Vec::new();
        let is_complete = self.read(response, |bytes| {
            times.first_token.get_or_insert(self.started.elapsed());
            document.extend_from_slice(bytes);
        });
        times.end = self.started.elapsed();
        let outcome = match is_complete {
            true if is_expected_document(request, request_id, &document) => {
                RequestOutcome::Completed
            }
            true => RequestOutcome::Wrong,
            false => RequestOutcome::Broken,
        };
        ResponseRecord {
            outcome,
            request_id: None,
            times,
            tokens: 0,
        }
    }

    /// Reads a body to its end; returns false if it is cut off or takes longer
    /// than the timeout.
    fn read(&self, mut body: CallResponse, mut handle_bytes: impl FnMut(&[u8])) -> bool {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match body.read(&mut buffer) {
                Ok(0) => return true,
                Ok(length) => handle_bytes(&buffer[..length]),
                Err(_) => return false,
            }
            if self.started.elapsed() > self.timeout {
                return false;
            }
        }
    }
}

/// Returns whether a plain service's response belongs to the request. A request
/// with a repeated key may receive the response of the first request with that
/// key, so keyed requests are matched by key rather than by request ID.
fn is_expected_document(
    request: &PreparedRequest,
    request_id: Option<&str>,
    document: &[u8],
) -> bool {
    let Ok(document) = serde_json::from_slice::<Value>(document) else {
        return false;
    };
    let has_own_body = document["body_bytes"] == request.body.len();
    let has_own_identity = match &request.key {
        Some(key) => document["idempotency_key"] == key.as_str(),
        None => document["request_id"].as_str() == request_id,
    };
    has_own_body && has_own_identity
}

fn header(response: &CallResponse, name: &str) -> Option<String> {
    response.field(name).map(str::to_owned)
}
