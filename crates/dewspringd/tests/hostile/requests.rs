//! Invalid requests, as raw bytes, that the entry must not forward.

use quickcheck::{Arbitrary, Gen};

use crate::target::{MAX_BODY_BYTES, MIN_REFUSED_HEADER_BYTES};

pub const CHAT_PATH: &str = "/v1/chat/completions";
pub const CHAT_BODY: &str =
    r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}"#;

/// Returns the bytes of a request with a content length.
pub fn request_bytes(method: &str, path: &str, headers: &[u8], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n").into_bytes();
    bytes.extend_from_slice(headers);
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the bytes of a chat request with a content length.
pub fn chat_bytes(headers: &[u8], body: &[u8]) -> Vec<u8> {
    request_bytes("POST", CHAT_PATH, headers, body)
}

/// Returns the bytes of a chunked chat request, with `chunks` as they are.
pub fn chunked_bytes(chunks: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
            .into_bytes();
    bytes.extend_from_slice(chunks);
    bytes
}

/// An invalid request that the entry must not forward to a server.
#[derive(Clone, Debug)]
pub enum BadRequest {
    RandomBytes(Vec<u8>),
    InvalidRequestLine(String),
    LargeHeader(usize),
    ManyHeaders(usize),
    /// A header used for classification, with a byte that header values must not
    /// contain.
    HeaderInjection(&'static str, u8),
    /// A header used for classification, with bytes outside ASCII.
    NonAsciiHeader(&'static str, Vec<u8>),
    /// Content length or transfer encoding that is invalid or doesn't match the
    /// body.
    InvalidFraming(String),
    /// A chunked body that is truncated or malformed.
    InvalidChunks(&'static str),
    DeepBody(usize),
    InvalidBody(&'static str),
    NonUtf8Body(Vec<u8>),
    LargeBody(u64),
    UnknownModel(usize),
    UnknownPath(usize),
}

pub const CLASSIFICATION_HEADERS: &[&str] = &["x-workspace", "x-request-class"];

pub const INVALID_REQUEST_LINES: &[&str] = &[
    "POST /v1/chat/completions HTTP/3.7",
    "POST /v1/chat/completions",
    "POST  /v1/chat/completions HTTP/1.1",
    "post/v1/chat/completions HTTP/1.1",
    "PO\u{1}ST /v1/chat/completions HTTP/1.1",
    "POST \u{0} HTTP/1.1",
    "POST chat HTTP/1.1",
    "POST http://[::1/v1/chat/completions HTTP/1.1",
    "GET /v1/chat/completions HTTP/1.1",
    "CONNECT 127.0.0.1:1 HTTP/1.1",
    "OPTIONS * HTTP/1.1",
    "PRI * HTTP/2.0",
    "POST /v1/../admin HTTP/1.1",
    "POST //v1/chat/completions HTTP/1.1",
    "POST /v1%2Fchat/completions HTTP/1.1",
];

pub const INVALID_FRAMING_HEADERS: &[&str] = &[
    "content-length: 4",
    "content-length: 60000",
    "content-length: 99999999999999999999",
    "content-length: 1099511627776",
    "content-length: -1",
    "content-length: +78",
    "content-length: 0x4e",
    "content-length: 78, 79",
    "content-length: 78\r\ncontent-length: 79",
    "transfer-encoding: gzip",
    "transfer-encoding: chunked, gzip",
    "transfer-encoding: chunked\r\ncontent-length: 78",
];

pub const INVALID_CHUNKS: &[&str] = &[
    "",
    "4",
    "zz\r\n{}\r\n0\r\n\r\n",
    "-2\r\n{}\r\n0\r\n\r\n",
    "ffffffffffffffffff\r\n{}\r\n",
    "ffffffffffffffff\r\n{}\r\n",
    "2\r\n{}0\r\n\r\n",
    "2\r\n{}\r\n",
    "1\r\n{}\r\n0\r\n\r\n",
    "2\n{}\n0\n\n",
    "0\r\n\r\n",
    "2;x=\"\u{1}\r\n{}\r\n0\r\n\r\n",
];

pub const INVALID_BODIES: &[&str] = &[
    "",
    "null",
    "[]",
    "1e999",
    "{\"model\":\"small\"",
    r#"{"model":1,"prompt":"x"}"#,
    r#"{"model":null,"prompt":"x"}"#,
    r#"{"model":["small"],"prompt":"x"}"#,
    r#"{"model":"small","messages":{}}"#,
    r#"{"model":"small","messages":[]}"#,
    r#"{"model":"small","messages":["x"]}"#,
    r#"{"model":"small","messages":"x"}"#,
    r#"{"model":"small","stream":"yes","prompt":"x"}"#,
    r#"{"model":"small","prompt":"x","max_tokens":-1}"#,
    r#"{"model":"small","prompt":"x","max_tokens":1e400}"#,
    r#"{"model":"small","prompt":"x","max_tokens":18446744073709551616}"#,
    r#"{"model":"small","prompt":"x","max_tokens":0.5}"#,
    r#"{"model":"small","prompt":"x","max_tokens":"9"}"#,
    r#"{"model":"small","model":"small","prompt":"x"}"#,
    r#"{"model":"small","prompt":"\ud800"}"#,
    r#"{"model":"small","prompt":"x"}{"model":"small","prompt":"x"}"#,
];

impl BadRequest {
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = CHAT_BODY.as_bytes();
        match self {
            Self::RandomBytes(bytes) => bytes.clone(),
            Self::InvalidRequestLine(line) => {
                let length = body.len();
                format!("{line}\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{CHAT_BODY}").into()
            }
            Self::LargeHeader(length) => {
                let header = format!("x-padding: {}\r\n", "a".repeat(*length));
                chat_bytes(header.as_bytes(), body)
            }
            Self::ManyHeaders(count) => {
                let header: String = (0..*count).map(|n| format!("x-{n}: a\r\n")).collect();
                chat_bytes(header.as_bytes(), body)
            }
            Self::HeaderInjection(name, byte) => {
                let mut header = format!("{name}: desk").into_bytes();
                header.push(*byte);
                header.extend_from_slice(b"x-priority: 0\r\n");
                chat_bytes(&header, body)
            }
            Self::NonAsciiHeader(name, value) => {
                let mut header = format!("{name}: ").into_bytes();
                header.extend_from_slice(value);
                header.extend_from_slice(b"\r\n");
                chat_bytes(&header, body)
            }
            Self::InvalidFraming(header) => {
                format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\n{header}\r\n\r\n{CHAT_BODY}")
                    .into()
            }
            Self::InvalidChunks(chunks) => chunked_bytes(chunks.as_bytes()),
            Self::DeepBody(depth) => {
                let open = "[".repeat(*depth);
                let close = "]".repeat(*depth);
                let text = format!(r#"{{"model":"small","prompt":{open}{close}}}"#);
                chat_bytes(b"", text.as_bytes())
            }
            Self::InvalidBody(text) => chat_bytes(b"", text.as_bytes()),
            Self::NonUtf8Body(bytes) => {
                let mut text = br#"{"model":"small","prompt":""#.to_vec();
                text.push(0xff);
                text.extend_from_slice(bytes);
                text.extend_from_slice(b"\"}");
                chat_bytes(b"", &text)
            }
            Self::LargeBody(excess) => {
                let length =
                    usize::try_from(MAX_BODY_BYTES + excess).expect("the length fits usize");
                let mut chunks = format!("{length:x}\r\n").into_bytes();
                chunks.resize(chunks.len() + length, b' ');
                chunks.extend_from_slice(b"\r\n0\r\n\r\n");
                chunked_bytes(&chunks)
            }
            Self::UnknownModel(length) => {
                let name = "m".repeat(*length);
                let text = format!(r#"{{"model":"{name}","prompt":"x"}}"#);
                chat_bytes(b"", text.as_bytes())
            }
            Self::UnknownPath(length) => {
                let path = format!("/{}", "p".repeat(*length));
                request_bytes("POST", &path, b"", body)
            }
        }
    }
}

/// Returns a generated number from `min` to `max`, both included.
pub fn number_in(source: &mut Gen, min: usize, max: usize) -> usize {
    min + usize::arbitrary(source) % (max - min + 1)
}

pub fn one_of(source: &mut Gen, choices: &[&'static str]) -> &'static str {
    source.choose(choices).expect("the list is not empty")
}

impl Arbitrary for BadRequest {
    fn arbitrary(source: &mut Gen) -> Self {
        let header = one_of(source, CLASSIFICATION_HEADERS);
        match number_in(source, 0, 13) {
            0 => Self::RandomBytes(Vec::arbitrary(source)),
            1 => Self::InvalidRequestLine(one_of(source, INVALID_REQUEST_LINES).into()),
            2 => Self::LargeHeader(number_in(source, MIN_REFUSED_HEADER_BYTES, 200 << 10)),
            3 => Self::ManyHeaders(number_in(source, 101, 400)),
            4 => Self::HeaderInjection(
                header,
                *source
                    .choose(&[0, 1, b'\r', 0x1f, 0x7f])
                    .expect("the list is not empty"),
            ),
            5 => {
                let length = number_in(source, 1, 8);
                let value = (0..length).map(|_| u8::arbitrary(source) | 0x80).collect();
                Self::NonAsciiHeader(header, value)
            }
            6 => Self::InvalidFraming(one_of(source, INVALID_FRAMING_HEADERS).into()),
            7 => Self::InvalidChunks(one_of(source, INVALID_CHUNKS)),
            8 => Self::DeepBody(number_in(source, 200, 30_000)),
            9 => Self::InvalidBody(one_of(source, INVALID_BODIES)),
            10 => Self::NonUtf8Body(Vec::<u8>::arbitrary(source)),
            11 => Self::LargeBody(number_in(source, 1, 200_000) as u64),
            12 => Self::UnknownModel(number_in(source, 6, 60_000)),
            _ => Self::UnknownPath(number_in(source, 0, 60_000)),
        }
    }
}
