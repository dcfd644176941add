//! Parsing of request and response heads.

use std::ops::{Range, RangeInclusive};

use thiserror::Error;

use super::body::BodyLength;
use super::response::{MethodKind, permits_content};

/// Maximum header fields of a request; common servers have a similar limit.
const MAX_REQUEST_FIELDS: usize = 96;

/// Maximum header fields of a response.
const MAX_RESPONSE_FIELDS: usize = 100;

/// Statuses that a response may have (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Status that ends HTTP on a connection at the request of the client.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The head is longer than allowed.
    #[error("the head is too long")]
    TooLong,
    /// The head isn't valid HTTP.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// The version or the transfer coding isn't supported.
    #[error("not supported: {0}")]
    Unsupported(&'static str),
}

/// The header fields of a head.
#[derive(Clone, Debug, Default)]
pub struct HeaderFields {
    bytes: Vec<u8>,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl HeaderFields {
    fn new(bytes: &[u8], headers: &[httparse::Header<'_>]) -> Self {
        let base = bytes.as_ptr() as usize;
        let range = |part: &[u8]| {
            let start = part.as_ptr() as usize - base;
            start..start + part.len()
        };
        let fields = headers
            .iter()
            .map(|header| (range(header.name.as_bytes()), range(header.value)))
            .collect();
        Self {
            bytes: bytes.to_vec(),
            fields,
        }
    }

    /// Returns all fields in order, with their names as received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.bytes[name.clone()]).unwrap_or_default();
            (name, &self.bytes[value.clone()])
        })
    }

    /// Returns all values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of a field that may occur at most once, as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is repeated or its value isn't text.
    pub fn unique<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>, HeadError> {
        let mut values = self.all(name);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(HeadError::Malformed("duplicate header"));
        }
        match std::str::from_utf8(value) {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(HeadError::Malformed("header value isn't text")),
        }
    }

    /// Returns whether a comma-separated field contains an element.
    pub fn has_list_element(&self, name: &str, element: &str) -> bool {
        self.list_elements(name)
            .any(|other| other.eq_ignore_ascii_case(element))
    }

    /// Returns the elements of a comma-separated field.
    pub fn list_elements<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|text| text.split(','))
            .map(str::trim)
            .filter(|element| !element.is_empty())
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// Header fields.
    pub fields: HeaderFields,
    /// How the end of the body is determined.
    pub body: BodyLength,
    /// Length of the head, in bytes.
    pub length: usize,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub fields: HeaderFields,
    /// How the end of the body is determined.
    pub body: BodyLength,
    /// Length that the head names, also if no body follows; `None` for one above
    /// `u64::MAX`.
    pub content_length: Option<u64>,
    /// Length of the head, in bytes.
    pub length: usize,
}

/// Returns the length of a complete head, after checking that every line ends
/// with CR LF.
fn find_head_end(bytes: &[u8], max: usize) -> Result<Option<usize>, HeadError> {
    let prefix = &bytes[..bytes.len().min(max)];
    let Some(end) = prefix.windows(4).position(|part| part == b"\r\n\r\n") else {
        let has_bare_lf = prefix
            .iter()
            .enumerate()
            .any(|(at, byte)| *byte == b'\n' && (at == 0 || prefix[at - 1] != b'\r'));
        if has_bare_lf {
            return Err(HeadError::Malformed("line ends without CR"));
        }
        if bytes.len() >= max {
            return Err(HeadError::TooLong);
        }
        return Ok(None);
    };
    let end = end + 4;
    for (at, byte) in bytes[..end].iter().enumerate() {
        let bare_lf = *byte == b'\n' && (at == 0 || bytes[at - 1] != b'\r');
        let bare_cr = *byte == b'\r' && bytes.get(at + 1) != Some(&b'\n');
        if bare_lf || bare_cr {
            return Err(HeadError::Malformed("line ends without CR LF"));
        }
    }
    Ok(Some(end))
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLong,
        httparse::Error::Version => HeadError::Unsupported("version"),
        _ => HeadError::Malformed("syntax"),
    }
}

/// Parses the content length; a repeated or signed one is rejected, and one
/// above `u64::MAX` is returned as `u64::MAX`.
fn content_length(fields: &HeaderFields) -> Result<Option<u64>, HeadError> {
    let Some(text) = fields.unique("content-length")? else {
        return Ok(None);
    };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::Malformed("Content-Length"));
    }
    match text.parse() {
        Ok(length) => Ok(Some(length)),
        Err(_) => Ok(Some(u64::MAX)),
    }
}

/// Returns whether the body is chunked; other transfer codings are rejected.
fn is_chunked(fields: &HeaderFields) -> Result<bool, HeadError> {
    match fields.unique("transfer-encoding")? {
        None => Ok(false),
        Some(text) if text.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        Some(_) => Err(HeadError::Unsupported("Transfer-Encoding")),
    }
}

/// Parses the head of a request.
///
/// Returns `None` while the head is incomplete.
///
/// # Errors
///
/// Returns an error if the head is malformed, too long or not supported.
///
/// # Examples
///
/// ```
/// use dewhttp::parse_request;
///
/// let head = parse_request(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", 1024).unwrap().unwrap();
/// assert_eq!(head.target, "/a/");
/// assert!(parse_request(b"GET / HTTP/1.1\nHost: h\n\n", 1024).is_err());
/// ```
pub fn parse_request(bytes: &[u8], max: usize) -> Result<Option<RequestHead>, HeadError> {
    let Some(end) = find_head_end(bytes, max)? else {
        return Ok(None);
    };
    let bytes = &bytes[..end];
    let mut headers = [httparse::EMPTY_HEADER; MAX_REQUEST_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(bytes).map_err(parse_error)?;
    if status.is_partial() {
        return Err(HeadError::Malformed("syntax"));
    }
    if request.version != Some(1) {
        return Err(HeadError::Unsupported("version"));
    }
    let method = request.method.unwrap_or_default().to_string();
    // The content of a response to it would be the bytes of a tunnel.
    if method == "CONNECT" {
        return Err(HeadError::Unsupported("method"));
    }
    let target = request.path.unwrap_or_default().to_string();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed("the target isn't a path"));
    }
    let fields = HeaderFields::new(bytes, request.headers);
    let length = content_length(&fields)?;
    let body = match (length, is_chunked(&fields)?) {
        (Some(_), true) => return Err(HeadError::Malformed("conflicting lengths")),
        (None, true) => BodyLength::Chunked,
        (Some(length), false) => BodyLength::Exact(length),
        (None, false) => BodyLength::Exact(0),
    };
    Ok(Some(RequestHead {
        method,
        target,
        fields,
        body,
        length: end,
    }))
}

/// Returns whether a reason phrase or a header's value contains a status line.
///
/// If a server breaks off a response within its head and sends the next one on the
/// same connection, the broken line goes on with the status line of that one. The
/// head would then have the status of one response and the body of the other.
fn contains_status_line(text: &[u8]) -> bool {
    (0..text.len()).any(|start| {
        let Some(line) = text[start..].strip_prefix(b"HTTP/1.") else {
            return false;
        };
        let is_status = |line: &[u8]| {
            line[0].is_ascii_digit()
                && line[1] == b' '
                && line[2..5].iter().all(u8::is_ascii_digit)
                && line.get(5).is_none_or(|byte| *byte == b' ')
        };
        line.len() >= 5 && is_status(line)
    })
}

/// Parses the head of a response to a request with this method.
///
/// Returns `None` while the head is incomplete.
///
/// # Errors
///
/// Returns an error if the head is malformed, too long or not supported.
///
/// # Examples
///
/// ```
/// use dewhttp::{BodyLength, parse_response};
///
/// let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// let head = parse_response(bytes, "GET", 1024).unwrap().unwrap();
/// assert_eq!((head.status, head.body), (200, BodyLength::Exact(2)));
/// ```
pub fn parse_response(
    bytes: &[u8],
    method: &str,
    max: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    parse_response_to(bytes, MethodKind::of(method), max)
}

/// Parses the head of a response to a request with a method of this kind.
pub(super) fn parse_response_to(
    bytes: &[u8],
    method: MethodKind,
    max: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    let Some(end) = find_head_end(bytes, max)? else {
        return Ok(None);
    };
    let bytes = &bytes[..end];
    let mut headers = [httparse::EMPTY_HEADER; MAX_RESPONSE_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).map_err(parse_error)?;
    if parsed.is_partial() {
        return Err(HeadError::Malformed("syntax"));
    }
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(HeadError::Malformed("status"));
    }
    // What follows would belong to the other protocol.
    if status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Unsupported("upgrade"));
    }
    let fields = HeaderFields::new(bytes, response.headers);
    let reason = response.reason.unwrap_or_default().as_bytes();
    let is_broken = |(_, value): (&str, &[u8])| contains_status_line(value);
    if contains_status_line(reason) || fields.iter().any(is_broken) {
        return Err(HeadError::Malformed("a response within a head"));
    }
    let has_content = permits_content(method, status);
    let length = content_length(&fields)?;
    let body = match (length, is_chunked(&fields)?) {
        _ if !has_content => BodyLength::Exact(0),
        (Some(_), true) => return Err(HeadError::Malformed("conflicting lengths")),
        (None, true) => BodyLength::Chunked,
        (Some(length), false) => BodyLength::Exact(length),
        (None, false) => BodyLength::UntilClose,
    };
    Ok(Some(ResponseHead {
        status,
        fields,
        body,
        content_length: length.filter(|length| *length < u64::MAX),
        length: end,
    }))
}
