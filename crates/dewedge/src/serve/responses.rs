//! Writes responses to callers.
//!
//! The main invariant: a response appears complete only if it is.

use std::fmt::Write as _;
use std::time::Duration;

use dewbudget::SegmentedBody;

use crate::format::PlatformFormat;
use crate::http::{HeaderFields, ResponseHead};
use crate::metrics::ResponseLabels;

use super::backpressure::SendProgress;
use super::state::{CallerId, CallerPhase, EdgeState};

/// Time for which a closing connection stays open so that the caller can read
/// the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Hop-by-hop headers, and headers that are generated anew.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Returns whether a header isn't forwarded.
pub(crate) fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|other| other.eq_ignore_ascii_case(name))
}

/// Framing of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseLength {
    Exact(usize),
    Chunked,
    None,
}

/// Returns the reason phrase of a status; callers depend only on the status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Returns a server's response head as it is sent to the caller.
fn response_head_bytes(head: &ResponseHead, length: ResponseLength, closing: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    let line = format!(
        "HTTP/1.1 {} {}\r\n",
        head.status,
        reason_phrase(head.status)
    );
    out.extend_from_slice(line.as_bytes());
    write_header_fields(&mut out, &head.fields);
    match length {
        ResponseLength::Exact(bytes) => {
            out.extend_from_slice(format!("Content-Length: {bytes}\r\n").as_bytes());
        }
        ResponseLength::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        ResponseLength::None => {}
    }
    if closing {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn write_header_fields(out: &mut Vec<u8>, fields: &HeaderFields) {
    for (name, value) in fields.iter() {
        if is_connection_header(name) || fields.has_list_element("connection", name) {
            continue;
        }
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Writes a server's complete response to the caller.
    pub(crate) fn write_response(
        &mut self,
        caller: CallerId,
        method: &str,
        head: &ResponseHead,
        body: SegmentedBody,
    ) {
        let closing = self.closes_after_response(caller);
        let bodiless = method == "HEAD" || head.status == 204 || head.status == 304;
        let length = if bodiless {
            ResponseLength::None
        } else {
            ResponseLength::Exact(body.len())
        };
        let bytes = response_head_bytes(head, length, closing);
        self.count_response(caller, "server", !bodiless);
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.channel.queue(&bytes);
            if !bodiless {
                conn.channel.queue_body(body);
            }
            // The next read reports the error again.
            let _ = conn.channel.flush();
        }
        self.finish_response(caller);
    }

    /// Writes the response head of a stream to the caller.
    pub(crate) fn write_stream_head(&mut self, caller: CallerId, head: &ResponseHead) {
        let closing = self.closes_after_response(caller);
        let bytes = response_head_bytes(head, ResponseLength::Chunked, closing);
        self.count_response(caller, "server", true);
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.channel.queue(&bytes);
        }
    }

    /// Writes complete events to the caller.
    pub(crate) fn write_events(&mut self, caller: CallerId, events: &[u8]) {
        let mut chunk = Vec::with_capacity(events.len() + 16);
        chunk.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        chunk.extend_from_slice(events);
        chunk.extend_from_slice(b"\r\n");
        self.write_caller(caller, &chunk);
    }

    /// Ends a complete stream.
    pub(crate) fn end_stream(&mut self, caller: CallerId) {
        self.write_caller(caller, b"0\r\n\r\n");
        self.finish_response(caller);
    }

    /// Writes a response generated by the entry.
    pub(crate) fn respond(
        &mut self,
        caller: CallerId,
        status: u16,
        code: &str,
        retry_after: Option<Duration>,
    ) {
        let closing = self.closes_after_response(caller);
        self.end_upload(caller);
        let body = format!("{{\"error\":\"{code}\"}}\n");
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason_phrase(status),
            body.len()
        );
        if let Some(after) = retry_after {
            let _ = write!(head, "Retry-After: {:.2}\r\n", after.as_secs_f64());
        }
        if closing {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        head.push_str(&body);
        self.count_response(caller, "entry", true);
        self.write_caller(caller, head.as_bytes());
        self.finish_response(caller);
    }

    /// Counts a response by what decides whether content may follow its head.
    fn count_response(&self, caller: CallerId, source: &'static str, has_content: bool) {
        let method = self.caller_conns.get(caller).map(|conn| conn.method);
        let labels = ResponseLabels {
            source,
            method: method.unwrap_or_default().name(),
            content: if has_content { "sent" } else { "omitted" },
        };
        self.metrics.responses.get_or_create(&labels).inc();
    }

    /// Returns whether a caller's connection is closed after its response.
    fn closes_after_response(&mut self, caller: CallerId) -> bool {
        let stopping = self.stopping.is_some();
        match self.caller_conns.get_mut(caller) {
            Some(conn) => {
                conn.closing |= stopping;
                conn.closing
            }
            None => true,
        }
    }

    fn write_caller(&mut self, caller: CallerId, bytes: &[u8]) {
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.channel.queue(bytes);
            // The next read reports the error again.
            let _ = conn.channel.flush();
        }
    }

    /// Prepares a caller's connection for its next request, or starts closing
    /// it.
    fn finish_response(&mut self, caller: CallerId) {
        let now = self.now;
        let idle_timeout = self.limits().idle_timeout;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        conn.idle_since = now;
        conn.read_since = None;
        conn.progress = SendProgress::start(now);
        let due = if conn.closing {
            conn.phase = CallerPhase::Lingering;
            if conn.channel.unsent() == 0 {
                // Lets the caller read end of file after the response.
                let _ = conn.channel.stream.shutdown(std::net::Shutdown::Write);
            }
            now + LINGER_TIME
        } else {
            conn.phase = CallerPhase::Head;
            now + idle_timeout
        };
        self.arm_caller(caller, due);
    }
}
