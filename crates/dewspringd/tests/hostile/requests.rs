//! Requests that no server may ever see, written byte for byte.

use quickcheck::{Arbitrary, Gen};

use crate::target::{MAX_BODY_BYTES, SURELY_LARGE_HEADER};

pub const CHAT_PATH: &str = "/v1/chat/completions";
pub const CHAT_BODY: &str =
    r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}"#;

/// A request written byte for byte.
pub fn request_bytes(method: &str, path: &str, headers: &[u8], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n").into_bytes();
    bytes.extend_from_slice(headers);
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

pub fn chat_bytes(headers: &[u8], body: &[u8]) -> Vec<u8> {
    request_bytes("POST", CHAT_PATH, headers, body)
}

pub fn chunked_bytes(chunks: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
            .into_bytes();
    bytes.extend_from_slice(chunks);
    bytes
}

/// A request that no server may ever see.
#[derive(Clone, Debug)]
pub enum BadRequest {
    Noise(Vec<u8>),
    RequestLine(String),
    LargeHeader(usize),
    ManyHeaders(usize),
    /// A header that classes requests, with a byte that no header may have.
    Injection(&'static str, u8),
    /// A header that classes requests, with bytes that are no ASCII.
    UnreadableHeader(&'static str, Vec<u8>),
    /// A body that announces another length than it has.
    WrongLength(String),
    /// A chunked body that is cut or contradicts itself.
    BadChunks(&'static str),
    DeepBody(usize),
    WrongBody(&'static str),
    BodyBytes(Vec<u8>),
    LargeBody(u64),
    UnknownModel(usize),
    UnknownPath(usize),
}

pub const CLASSING_HEADERS: &[&str] = &["x-workspace", "x-request-class"];

pub const REQUEST_LINES: &[&str] = &[
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

pub const WRONG_LENGTHS: &[&str] = &[
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

pub const BAD_CHUNKS: &[&str] = &[
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

pub const WRONG_BODIES: &[&str] = &[
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
            Self::Noise(bytes) => bytes.clone(),
            Self::RequestLine(line) => {
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
            Self::Injection(name, byte) => {
                let mut header = format!("{name}: desk").into_bytes();
                header.push(*byte);
                header.extend_from_slice(b"x-priority: 0\r\n");
                chat_bytes(&header, body)
            }
            Self::UnreadableHeader(name, value) => {
                let mut header = format!("{name}: ").into_bytes();
                header.extend_from_slice(value);
                header.extend_from_slice(b"\r\n");
                chat_bytes(&header, body)
            }
            Self::WrongLength(header) => {
                format!("POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\n{header}\r\n\r\n{CHAT_BODY}")
                    .into()
            }
            Self::BadChunks(chunks) => chunked_bytes(chunks.as_bytes()),
            Self::DeepBody(depth) => {
                let open = "[".repeat(*depth);
                let close = "]".repeat(*depth);
                let text = format!(r#"{{"model":"small","prompt":{open}{close}}}"#);
                chat_bytes(b"", text.as_bytes())
            }
            Self::WrongBody(text) => chat_bytes(b"", text.as_bytes()),
            Self::BodyBytes(bytes) => {
                let mut text = br#"{"model":"small","prompt":""#.to_vec();
                text.push(0xff);
                text.extend_from_slice(bytes);
                text.extend_from_slice(b"\"}");
                chat_bytes(b"", &text)
            }
            Self::LargeBody(excess) => {
                let length = usize::try_from(MAX_BODY_BYTES + excess).expect("it fits");
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

pub fn number_in(gen_source: &mut Gen, least: usize, most: usize) -> usize {
    least + usize::arbitrary(gen_source) % (most - least + 1)
}

pub fn one_of(gen_source: &mut Gen, choices: &[&'static str]) -> &'static str {
    gen_source.choose(choices).expect("there are choices")
}

impl Arbitrary for BadRequest {
    fn arbitrary(source: &mut Gen) -> Self {
        let header = one_of(source, CLASSING_HEADERS);
        match number_in(source, 0, 13) {
            0 => Self::Noise(Vec::arbitrary(source)),
            1 => Self::RequestLine(one_of(source, REQUEST_LINES).into()),
            2 => Self::LargeHeader(number_in(source, SURELY_LARGE_HEADER, 200 << 10)),
            3 => Self::ManyHeaders(number_in(source, 101, 400)),
            4 => Self::Injection(
                header,
                *source.choose(&[0, 1, b'\r', 0x1f, 0x7f]).expect("a byte"),
            ),
            5 => {
                let length = number_in(source, 1, 8);
                let value = (0..length).map(|_| u8::arbitrary(source) | 0x80).collect();
                Self::UnreadableHeader(header, value)
            }
            6 => Self::WrongLength(one_of(source, WRONG_LENGTHS).into()),
            7 => Self::BadChunks(one_of(source, BAD_CHUNKS)),
            8 => Self::DeepBody(number_in(source, 200, 30_000)),
            9 => Self::WrongBody(one_of(source, WRONG_BODIES)),
            10 => Self::BodyBytes(Vec::<u8>::arbitrary(source)),
            11 => Self::LargeBody(number_in(source, 1, 200_000) as u64),
            12 => Self::UnknownModel(number_in(source, 6, 60_000)),
            _ => Self::UnknownPath(number_in(source, 0, 60_000)),
        }
    }
}
