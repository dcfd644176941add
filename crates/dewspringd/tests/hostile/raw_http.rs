//! A client that sends raw bytes, and a strict parser of HTTP responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of bytes after which reading a connection stops.
const MAX_TRANSCRIPT_BYTES: usize = 4 << 20;

/// One HTTP response of a transcript.
#[derive(Clone, Debug)]
pub struct RawResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl RawResponse {
    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find_map(|(key, value)| (key == name).then_some(value.as_str()))
    }
}

/// Bytes received on a connection.
#[derive(Debug)]
pub struct Transcript {
    pub bytes: Vec<u8>,
    /// Whether the peer closed the connection before the timeout.
    pub is_closed: bool,
    pub elapsed: Duration,
}

/// State of the sending half of a connection after the last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendEnd {
    /// The sending half is shut down.
    Shutdown,
    /// The connection stays open without further bytes.
    KeepOpen,
}

/// Sends bytes and reads until the peer closes the connection or `timeout` has
/// passed.
pub fn send_raw(address: SocketAddr, bytes: &[u8], end: SendEnd, timeout: Duration) -> Transcript {
    let mut stream = TcpStream::connect(address).expect("the port accepts connections");
    stream
        .set_write_timeout(Some(timeout))
        .expect("a timeout can be set");
    let started = Instant::now();
    let mut writer = stream.try_clone().expect("a second handle");
    thread::scope(|scope| {
        scope.spawn(move || {
            // The peer may close the connection before it has read everything.
            let _sent = writer.write_all(bytes);
            if end == SendEnd::Shutdown {
                let _finished = writer.shutdown(Shutdown::Write);
            }
        });
        read_to_close(&mut stream, started, timeout)
    })
}

/// Reads until the peer closes the connection, or until `timeout` has passed
/// since `started`.
pub fn read_to_close(stream: &mut TcpStream, started: Instant, timeout: Duration) -> Transcript {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut is_closed = false;
    while bytes.len() < MAX_TRANSCRIPT_BYTES {
        let remaining = timeout.saturating_sub(started.elapsed());
        if remaining.is_zero() {
            break;
        }
        stream
            .set_read_timeout(Some(remaining))
            .expect("a timeout can be set");
        match stream.read(&mut buffer) {
            Ok(0) => is_closed = true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => {
                is_closed = !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                break;
            }
        }
        if is_closed {
            break;
        }
    }
    Transcript {
        bytes,
        is_closed,
        elapsed: started.elapsed(),
    }
}

/// Parses consecutive HTTP responses.
///
/// `may_lack_body` is set for transcripts with HEAD requests, whose responses
/// describe a body in their headers and have none.
///
/// # Errors
///
/// Returns a description of the first violation of HTTP.
pub fn parse_responses(bytes: &[u8], may_lack_body: bool) -> Result<Vec<RawResponse>, String> {
    let mut responses = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (response, remaining) = parse_response(rest, may_lack_body)?;
        responses.push(response);
        rest = remaining;
    }
    Ok(responses)
}

fn parse_response(bytes: &[u8], may_lack_body: bool) -> Result<(RawResponse, &[u8]), String> {
    let end = find(bytes, b"\r\n\r\n").ok_or("the header section has no end")?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "the header section isn't UTF-8")?;
    let mut lines = head.split("\r\n");
    let status = parse_status_line(lines.next().unwrap_or_default())?;
    let headers = lines
        .map(parse_header_line)
        .collect::<Result<Vec<_>, _>>()?;
    let mut response = RawResponse {
        status,
        headers,
        body: Vec::new(),
    };
    let rest = &bytes[end + 4..];
    let is_bodiless = status < 200 || status == 204 || status == 304;
    if is_bodiless || (may_lack_body && (rest.is_empty() || rest.starts_with(b"HTTP/1."))) {
        return Ok((response, rest));
    }
    let is_chunked = response.header("transfer-encoding") == Some("chunked");
    let length = response.header("content-length").map(str::parse::<usize>);
    match (is_chunked, length) {
        (true, None) => {
            let (body, rest) = parse_chunks(rest)?;
            response.body = body;
            Ok((response, rest))
        }
        (false, Some(Ok(length))) if length <= rest.len() => {
            response.body = rest[..length].to_vec();
            Ok((response, &rest[length..]))
        }
        (false, None) => {
            response.body = rest.to_vec();
            Ok((response, &[]))
        }
        (_, length) => Err(format!(
            "the body has {} bytes, chunked {is_chunked}, length {length:?}",
            rest.len()
        )),
    }
}

fn parse_status_line(line: &str) -> Result<u16, String> {
    let error = || format!("invalid status line: {line:?}");
    let rest = line
        .strip_prefix("HTTP/1.1 ")
        .or_else(|| line.strip_prefix("HTTP/1.0 "))
        .ok_or_else(error)?;
    let (code, _) = rest.split_once(' ').ok_or_else(error)?;
    let status = code.parse().map_err(|_| error())?;
    if code.len() == 3 && (100..600).contains(&status) {
        Ok(status)
    } else {
        Err(error())
    }
}

fn parse_header_line(line: &str) -> Result<(String, String), String> {
    let error = || format!("invalid header line: {line:?}");
    let (name, value) = line.split_once(':').ok_or_else(error)?;
    let is_name = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    let is_value = !value.chars().any(char::is_control);
    if name.is_empty() || !name.chars().all(is_name) || !is_value {
        return Err(error());
    }
    Ok((name.to_ascii_lowercase(), value.trim().into()))
}

fn parse_chunks(mut rest: &[u8]) -> Result<(Vec<u8>, &[u8]), String> {
    let mut body = Vec::new();
    loop {
        let end = find(rest, b"\r\n").ok_or("a chunk has no size line")?;
        let size = std::str::from_utf8(&rest[..end])
            .ok()
            .and_then(|size| usize::from_str_radix(size, 16).ok())
            .ok_or("a chunk size isn't a hexadecimal number")?;
        rest = &rest[end + 2..];
        if rest.len() < size + 2 || &rest[size..size + 2] != b"\r\n" {
            return Err("a chunk is truncated".into());
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
        if size == 0 {
            return Ok((body, rest));
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
