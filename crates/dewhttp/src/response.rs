//! Which bytes follow a response head.
//!
//! Response heads of servers are parsed in [`super::head`], those for callers are
//! encoded here.

/// Method of the request that a response answers, as far as the response depends
/// on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MethodKind {
    /// `HEAD`: the response has no content.
    Head,
    /// Any other method.
    Other,
    /// The request line wasn't received as far as the end of its method.
    #[default]
    Unknown,
}

impl MethodKind {
    /// Returns the kind of a method.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewhttp::MethodKind;
    ///
    /// assert_eq!(MethodKind::of("HEAD"), MethodKind::Head);
    /// // Methods are case-sensitive.
    /// assert_eq!(MethodKind::of("head"), MethodKind::Other);
    /// ```
    pub fn of(method: &str) -> Self {
        match method {
            "HEAD" => Self::Head,
            _ => Self::Other,
        }
    }

    /// Returns the kind of the method with which a request begins, which may be
    /// incomplete or malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewhttp::MethodKind;
    ///
    /// assert_eq!(MethodKind::of_request(b"\r\nHEAD /a"), MethodKind::Head);
    /// assert_eq!(MethodKind::of_request(b"HEAD"), MethodKind::Unknown);
    /// ```
    pub fn of_request(bytes: &[u8]) -> Self {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let start = bytes.iter().take_while(|byte| is_line_end(byte)).count();
        let line = &bytes[start..];
        match line.iter().position(|byte| *byte == b' ') {
            Some(end) if &line[..end] == b"HEAD" => Self::Head,
            Some(_) => Self::Other,
            None => Self::Unknown,
        }
    }

    /// Returns the name of the kind, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "HEAD",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns whether content may follow the head of a response (RFC 9110, section
/// 6.4.1; RFC 9112, section 6.3).
pub(super) fn permits_content(method: MethodKind, status: u16) -> bool {
    method != MethodKind::Head && !matches!(status, ..200 | 204 | 304)
}

/// How the end of a response's content is determined, if the response has any.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentFraming {
    /// The content has this many bytes.
    Length(u64),
    /// The content is sent in chunks, because its length isn't known yet.
    Chunked,
}

/// The head of a response, as its sender knows it.
#[derive(Clone, Debug)]
pub struct ResponseStart<'a> {
    /// HTTP status.
    pub status: u16,
    /// Encoded header lines, without those that concern the connection or the
    /// framing.
    pub fields: &'a [u8],
    /// Framing of the content, if content is permitted.
    pub framing: ContentFraming,
    /// Length that is named for content that isn't permitted.
    pub omitted_length: Option<u64>,
    /// Whether the connection is closed after the response.
    pub is_last: bool,
}

/// What may follow the head of the response in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ContentState {
    #[default]
    Omitted,
    Plain,
    Chunked,
}

/// Encodes the responses of a connection, one after the other.
///
/// The one place that decides which bytes follow a response head: content goes
/// through [`Self::content`], which drops it if the method or the status of the
/// response permits none.
///
/// # Examples
///
/// ```
/// use dewhttp::{ContentFraming, MethodKind, ResponseEncoder, ResponseStart};
///
/// let start = ResponseStart {
///     status: 404,
///     fields: b"",
///     framing: ContentFraming::Length(2),
///     omitted_length: Some(2),
///     is_last: false,
/// };
/// let mut encoder = ResponseEncoder::default();
/// encoder.expect(MethodKind::Head);
/// let head = encoder.head(&start);
/// assert_eq!(head, b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n");
/// assert!(!encoder.has_content() && encoder.content(b"no").is_empty());
/// ```
#[derive(Debug, Default)]
pub struct ResponseEncoder {
    method: MethodKind,
    content: ContentState,
}

impl ResponseEncoder {
    /// Sets the method of the request that the next response answers.
    pub fn expect(&mut self, method: MethodKind) {
        self.method = method;
    }

    /// Returns the method of the request that the response answers.
    pub fn method(&self) -> MethodKind {
        self.method
    }

    /// Returns whether content follows the last head.
    pub fn has_content(&self) -> bool {
        self.content != ContentState::Omitted
    }

    /// Encodes the head of a response.
    pub fn head(&mut self, start: &ResponseStart<'_>) -> Vec<u8> {
        let framing = self.begin_content(start);
        let phrase = reason_phrase(start.status);
        let mut head = format!("HTTP/1.1 {} {phrase}\r\n", start.status).into_bytes();
        head.reserve(start.fields.len() + 64);
        head.extend_from_slice(start.fields);
        match framing {
            Some(ContentFraming::Length(length)) => {
                head.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
            }
            Some(ContentFraming::Chunked) => {
                head.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            }
            None => {}
        }
        if start.is_last {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    /// Decides what may follow a head; returns the framing that the head names.
    fn begin_content(&mut self, start: &ResponseStart<'_>) -> Option<ContentFraming> {
        if !permits_content(self.method, start.status) {
            self.content = ContentState::Omitted;
            // RFC 9110, section 8.6: interim responses and 204 name no length.
            let names_length = !matches!(start.status, ..200 | 204);
            let length = start.omitted_length.filter(|_| names_length);
            return length.map(ContentFraming::Length);
        }
        if self.method == MethodKind::Unknown {
            // No content is what suits every method.
            self.content = ContentState::Omitted;
            return Some(ContentFraming::Length(0));
        }
        self.content = match start.framing {
            ContentFraming::Length(_) => ContentState::Plain,
            ContentFraming::Chunked => ContentState::Chunked,
        };
        Some(start.framing)
    }

    /// Encodes content; nothing if the response has none.
    pub fn content(&self, bytes: &[u8]) -> Vec<u8> {
        match self.content {
            // An empty chunk would end the content.
            _ if bytes.is_empty() => Vec::new(),
            ContentState::Omitted => Vec::new(),
            ContentState::Plain => bytes.to_vec(),
            ContentState::Chunked => {
                let mut chunk = Vec::with_capacity(bytes.len() + 16);
                chunk.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
                chunk.extend_from_slice(bytes);
                chunk.extend_from_slice(b"\r\n");
                chunk
            }
        }
    }

    /// Encodes the end of the content, and ends the response.
    pub fn end(&mut self) -> &'static [u8] {
        match std::mem::take(&mut self.content) {
            ContentState::Omitted | ContentState::Plain => b"",
            ContentState::Chunked => b"0\r\n\r\n",
        }
    }
}

/// Returns the reason phrase of a status; receivers depend only on the status.
///
/// # Examples
///
/// ```
/// assert_eq!(dewhttp::reason_phrase(401), "Unauthorized");
/// ```
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
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
