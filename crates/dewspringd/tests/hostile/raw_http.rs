//! Raw bytes to a port, and a strict reader of what comes back.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Largest transcript that a test reads, in bytes.
const MAX_TRANSCRIPT: usize = 4 << 20;

/// One answer of a transcript.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Returns the first header of a name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find_map(|(key, value)| (key == name).then_some(value.as_str()))
    }
}

/// What a connection gave back.
#[derive(Debug)]
pub struct RawTranscript {
    pub bytes: Vec<u8>,
    /// Whether the other side closed the connection within the time.
    pub is_closed: bool,
    pub elapsed: Duration,
}

/// How the bytes are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendEnd {
    /// The sender says that nothing more comes.
    Finish,
    /// The sender falls silent and keeps the connection open.
    Silence,
}

/// Sends bytes and reads until the other side closes, at most for `limit`.
pub fn send_raw(address: SocketAddr, bytes: &[u8], end: SendEnd, limit: Duration) -> RawTranscript {
    let mut stream = TcpStream::connect(address).expect("the port takes connections");
    stream
        .set_write_timeout(Some(limit))
        .expect("a timeout can be set");
    let started = Instant::now();
    let mut writer = stream.try_clone().expect("a second handle");
    thread::scope(|scope| {
        scope.spawn(move || {
            // The other side may refuse to read on, which is its right.
            let _sent = writer.write_all(bytes);
            if end == SendEnd::Finish {
                let _finished = writer.shutdown(Shutdown::Write);
            }
        });
        read_to_close(&mut stream, started, limit)
    })
}

/// Reads until the other side closes, at most for `limit` from `started`.
pub fn read_to_close(stream: &mut TcpStream, started: Instant, limit: Duration) -> RawTranscript {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut is_closed = false;
    while bytes.len() < MAX_TRANSCRIPT {
        let left = limit.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        stream
            .set_read_timeout(Some(left))
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
    RawTranscript {
        bytes,
        is_closed,
        elapsed: started.elapsed(),
    }
}

/// Reads whole answers one after the other.
///
/// `may_lack_body` is for transcripts of HEAD requests, whose answers have the
/// headers of a body and no body.
///
/// # Errors
///
/// A text that says where the bytes are no HTTP.
pub fn read_answers(bytes: &[u8], may_lack_body: bool) -> Result<Vec<RawAnswer>, String> {
    let mut answers = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (answer, left) = read_answer(rest, may_lack_body)?;
        answers.push(answer);
        rest = left;
    }
    Ok(answers)
}

fn read_answer(bytes: &[u8], may_lack_body: bool) -> Result<(RawAnswer, &[u8]), String> {
    let end = find(bytes, b"\r\n\r\n").ok_or("the header has no end")?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "the header is no text")?;
    let mut lines = head.split("\r\n");
    let status = read_status(lines.next().unwrap_or_default())?;
    let headers = lines.map(read_header).collect::<Result<Vec<_>, _>>()?;
    let mut answer = RawAnswer {
        status,
        headers,
        body: Vec::new(),
    };
    let rest = &bytes[end + 4..];
    let is_bodiless = status < 200 || status == 204 || status == 304;
    if is_bodiless || (may_lack_body && (rest.is_empty() || rest.starts_with(b"HTTP/1."))) {
        return Ok((answer, rest));
    }
    let is_chunked = answer.header("transfer-encoding") == Some("chunked");
    let length = answer.header("content-length").map(str::parse::<usize>);
    match (is_chunked, length) {
        (true, None) => {
            let (body, rest) = read_chunks(rest)?;
            answer.body = body;
            Ok((answer, rest))
        }
        (false, Some(Ok(length))) if length <= rest.len() => {
            answer.body = rest[..length].to_vec();
            Ok((answer, &rest[length..]))
        }
        (false, None) => {
            answer.body = rest.to_vec();
            Ok((answer, &[]))
        }
        (_, length) => Err(format!(
            "the body has {} bytes, chunked {is_chunked}, length {length:?}",
            rest.len()
        )),
    }
}

fn read_status(line: &str) -> Result<u16, String> {
    let wrong = || format!("no status line: {line:?}");
    let rest = line
        .strip_prefix("HTTP/1.1 ")
        .or_else(|| line.strip_prefix("HTTP/1.0 "))
        .ok_or_else(wrong)?;
    let (code, _) = rest.split_once(' ').ok_or_else(wrong)?;
    let status = code.parse().map_err(|_| wrong())?;
    if code.len() == 3 && (100..600).contains(&status) {
        Ok(status)
    } else {
        Err(wrong())
    }
}

fn read_header(line: &str) -> Result<(String, String), String> {
    let wrong = || format!("no header line: {line:?}");
    let (name, value) = line.split_once(':').ok_or_else(wrong)?;
    let is_name = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    let is_value = !value.chars().any(char::is_control);
    if name.is_empty() || !name.chars().all(is_name) || !is_value {
        return Err(wrong());
    }
    Ok((name.to_ascii_lowercase(), value.trim().into()))
}

fn read_chunks(mut rest: &[u8]) -> Result<(Vec<u8>, &[u8]), String> {
    let mut body = Vec::new();
    loop {
        let end = find(rest, b"\r\n").ok_or("a chunk has no size")?;
        let size = std::str::from_utf8(&rest[..end])
            .ok()
            .and_then(|size| usize::from_str_radix(size, 16).ok())
            .ok_or("a chunk's size is no number")?;
        rest = &rest[end + 2..];
        if rest.len() < size + 2 || &rest[size..size + 2] != b"\r\n" {
            return Err("a chunk is cut".into());
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
