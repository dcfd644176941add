//! Writes answers to callers.
//!
//! The main invariant: an answer looks complete only if it is.

use std::fmt::Write as _;
use std::time::Duration;

use crate::format::PlatformFormat;
use crate::http::{AnswerHead, HeaderFields};

use super::state::{CallerId, CallerPhase, EdgeState};

/// Time for which a caller may take to read a last answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that wait for a caller who doesn't read, at most.
pub(crate) const MAX_UNREAD: usize = 4 << 20;

/// Headers that belong to one connection or that are written anew.
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

/// Returns whether a header stays on its connection.
pub(crate) fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|other| other.eq_ignore_ascii_case(name))
}

/// How the length of an answer is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerLength {
    Exact(usize),
    Chunked,
    None,
}

/// A reason phrase; callers go by the number.
fn reason(status: u16) -> &'static str {
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

/// Writes the head of a server's answer for the caller.
fn pass_head(head: &AnswerHead, length: AnswerLength, closing: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    let line = format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status));
    out.extend_from_slice(line.as_bytes());
    write_fields(&mut out, &head.fields);
    match length {
        AnswerLength::Exact(bytes) => {
            out.extend_from_slice(format!("Content-Length: {bytes}\r\n").as_bytes());
        }
        AnswerLength::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        AnswerLength::None => {}
    }
    if closing {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn write_fields(out: &mut Vec<u8>, fields: &HeaderFields) {
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
    /// Passes a whole answer of a server on.
    pub(crate) fn pass_answer(
        &mut self,
        caller: CallerId,
        method: &str,
        head: &AnswerHead,
        body: &[u8],
    ) {
        let closing = self.ends_after_answer(caller);
        let bodiless = method == "HEAD" || head.status == 204 || head.status == 304;
        let length = if bodiless {
            AnswerLength::None
        } else {
            AnswerLength::Exact(body.len())
        };
        let mut bytes = pass_head(head, length, closing);
        if !bodiless {
            bytes.extend_from_slice(body);
        }
        self.write_caller(caller, &bytes);
        self.end_answer(caller);
    }

    /// Passes the head of a stream on.
    pub(crate) fn pass_stream_head(&mut self, caller: CallerId, head: &AnswerHead) {
        let closing = self.ends_after_answer(caller);
        let bytes = pass_head(head, AnswerLength::Chunked, closing);
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.channel.queue(&bytes);
        }
    }

    /// Passes whole events on.
    pub(crate) fn pass_events(&mut self, caller: CallerId, events: &[u8]) {
        let mut chunk = Vec::with_capacity(events.len() + 16);
        chunk.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
        chunk.extend_from_slice(events);
        chunk.extend_from_slice(b"\r\n");
        self.write_caller(caller, &chunk);
    }

    /// Ends a stream that is complete.
    pub(crate) fn end_stream(&mut self, caller: CallerId) {
        self.write_caller(caller, b"0\r\n\r\n");
        self.end_answer(caller);
    }

    /// Answers for the entry itself.
    pub(crate) fn answer(
        &mut self,
        caller: CallerId,
        status: u16,
        code: &str,
        retry_after: Option<Duration>,
    ) {
        let closing = self.ends_after_answer(caller);
        let body = format!("{{\"error\":\"{code}\"}}\n");
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason(status),
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
        self.write_caller(caller, head.as_bytes());
        self.end_answer(caller);
    }

    /// Returns whether a caller's connection ends after its answer.
    fn ends_after_answer(&mut self, caller: CallerId) -> bool {
        let stopping = self.stopping.is_some();
        match self.callers.get_mut(caller) {
            Some(conn) => {
                conn.closing |= stopping;
                conn.closing
            }
            None => true,
        }
    }

    fn write_caller(&mut self, caller: CallerId, bytes: &[u8]) {
        if let Some(conn) = self.callers.get_mut(caller) {
            conn.channel.queue(bytes);
            // An error shows again when the connection is read.
            let _ = conn.channel.flush();
        }
    }

    /// Makes a caller's connection ready for the next request, or ends it.
    fn end_answer(&mut self, caller: CallerId) {
        let now = self.now;
        let idle_timeout = self.limits().idle_timeout;
        let Some(conn) = self.callers.get_mut(caller) else {
            return;
        };
        conn.idle_since = now;
        conn.head_since = None;
        let due = if conn.closing {
            conn.phase = CallerPhase::Lingering;
            if conn.channel.unsent() == 0 {
                // The caller reads the end of the connection after the answer.
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
