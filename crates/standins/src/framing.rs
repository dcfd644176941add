//! Responses in every framing, and a client that reads responses strictly.
//!
//! The main invariant: the client takes a byte for content only if the method and
//! the status permit content (RFC 9112, section 6.3); any other byte that isn't
//! part of the next head is an error.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Longest time for which a client waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which bytes that follow a response arrive.
const SETTLE_TIME: Duration = Duration::from_millis(3);

/// Returns whether content may follow the head of a final response.
fn permits_content(method: &str, status: u16) -> bool {
    method != "HEAD" && !matches!(status, 204 | 304)
}

/// Names of the responses that [`reply`] knows.
pub const REPLIES: [&str; 14] = [
    "200-length",
    "200-chunks",
    "200-events",
    "200-close",
    "200-interim",
    "200-bare",
    "204-bare",
    "204-length",
    "204-chunks",
    "205-length",
    "304-length",
    "404-length",
    "500-chunks",
    "503-length",
];

/// Returns a sound server's response to a request, and whether the connection ends
/// after it.
///
/// The last segment of the target's path, `<status>-<framing>`, tells which: framed
/// by `length`, in `chunks` or by the `close` of the connection, after an `interim`
/// response, `bare` of content and of framing where it can be, or as chunked `events`. The content is the target;
/// where none may follow, the head still names its framing, also where RFC 9110
/// forbids that. `fields` are header lines.
///
/// # Examples
///
/// ```
/// let (bytes, closes) = standins::framing::reply("HEAD", "/a/200-length", "");
/// assert!(bytes.ends_with(b"Content-Length: 13\r\n\r\n") && !closes);
/// ```
#[must_use]
pub fn reply(method: &str, target: &str, fields: &str) -> (Vec<u8>, bool) {
    let path = target.split('?').next().unwrap_or_default();
    let name = path.rsplit('/').next().unwrap_or_default();
    let (status, framing) = name.split_once('-').unwrap_or(("200", "length"));
    let status: u16 = status.parse().unwrap_or(200);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    let (more, content) = match framing {
        "chunks" => (chunked.to_string(), chunk(target)),
        "events" => (
            format!("{chunked}Content-Type: text/event-stream\r\n"),
            chunk(&format!("id: 1\ndata: {target}\n\n")),
        ),
        "close" => ("Connection: close\r\n".to_string(), target.to_string()),
        "bare" if permits_content(method, status) => {
            ("Content-Length: 0\r\n".to_string(), String::new())
        }
        "bare" => (String::new(), String::new()),
        _ => (
            format!("Content-Length: {}\r\n", target.len()),
            target.to_string(),
        ),
    };
    let interim = match framing {
        "interim" => "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        _ => "",
    };
    let content = match permits_content(method, status) {
        true => content,
        false => String::new(),
    };
    let response = format!("{interim}HTTP/1.1 {status} X\r\n{fields}{more}\r\n{content}");
    (response.into_bytes(), framing == "close")
}

/// A final response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StrictResponse {
    /// Whether it is one of HTTP/1.0, after which the connection ends.
    pub is_old: bool,
    /// Status code.
    pub status: u16,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// Content without its framing.
    pub content: Vec<u8>,
}

impl StrictResponse {
    /// Returns the value of a header field, whose name is in lower case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the connection ends after the response.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.field("connection") == Some("close") || self.is_old
    }
}

/// A client with one connection, which may send requests before it has read the
/// responses to earlier ones.
#[derive(Debug)]
pub struct StrictClient {
    stream: TcpStream,
    received: Vec<u8>,
    is_ended: bool,
}

impl StrictClient {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server doesn't listen.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            is_ended: false,
        })
    }

    /// Sends bytes; the server may have closed the connection.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Reads the response to a request with this method.
    ///
    /// # Errors
    ///
    /// Returns a description of the first bytes that break the protocol, or of a
    /// response that is missing or incomplete.
    pub fn read(&mut self, method: &str) -> Result<StrictResponse, String> {
        loop {
            let response = self.read_one(method)?;
            if response.status >= 200 {
                return Ok(response);
            }
        }
    }

    /// Reads until the server closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a description of bytes that belong to no response, or of a connection
    /// that stays open.
    pub fn finish(mut self) -> Result<(), String> {
        while !self.is_ended && self.received.is_empty() {
            self.receive()?;
        }
        match self.received.is_empty() {
            true => Ok(()),
            false => Err(format!("after the last response: {}", self.rest())),
        }
    }

    fn rest(&self) -> String {
        let start = &self.received[..self.received.len().min(80)];
        format!("{:?}", String::from_utf8_lossy(start))
    }

    fn receive(&mut self) -> Result<(), String> {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_ended = true,
            Ok(count) => self.received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("{error}, with {} unread", self.rest())),
        }
        Ok(())
    }

    /// Takes bytes up to and with a mark.
    fn take_until(&mut self, mark: &[u8]) -> Result<Vec<u8>, String> {
        loop {
            let mut windows = self.received.windows(mark.len());
            if let Some(at) = windows.position(|window| window == mark) {
                return Ok(self.received.drain(..at + mark.len()).collect());
            }
            if self.is_ended {
                return Err(format!("the connection ended within {}", self.rest()));
            }
            self.receive()?;
        }
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>, String> {
        while self.received.len() < count {
            if self.is_ended {
                return Err(format!("the content ended after {}", self.rest()));
            }
            self.receive()?;
        }
        Ok(self.received.drain(..count).collect())
    }

    fn take_chunks(&mut self) -> Result<Vec<u8>, String> {
        let mut content = Vec::new();
        loop {
            let line = self.take_until(b"\r\n")?;
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim_end(), 16)
                .map_err(|_| format!("a chunk begins with {text:?}"))?;
            let chunk = self.take(size + 2)?;
            if !chunk.ends_with(b"\r\n") {
                return Err("a chunk doesn't end with CR LF".into());
            }
            if size == 0 {
                return Ok(content);
            }
            content.extend_from_slice(&chunk[..size]);
        }
    }

    fn read_one(&mut self, method: &str) -> Result<StrictResponse, String> {
        while self.received.len() < 9 && !self.is_ended {
            self.receive()?;
        }
        let versions: [&[u8]; 2] = [b"HTTP/1.1 ", b"HTTP/1.0 "];
        if !versions
            .iter()
            .any(|start| self.received.starts_with(start))
        {
            return Err(format!("in place of a response: {}", self.rest()));
        }
        let head = self.take_until(b"\r\n\r\n")?;
        let head = String::from_utf8(head).map_err(|_| "a head isn't text")?;
        let mut response = parse_head(&head)?;
        let length = response.field("content-length").map(str::parse::<usize>);
        let is_chunked = response.field("transfer-encoding").is_some();
        let is_interim = response.status < 200;
        if (is_interim || response.status == 204) && (length.is_some() || is_chunked) {
            return Err(format!("a {} names a framing: {head:?}", response.status));
        }
        if is_interim || !permits_content(method, response.status) {
            return Ok(response);
        }
        response.content = match (length, is_chunked) {
            (Some(Ok(length)), false) => self.take(length)?,
            (None, true) => self.take_chunks()?,
            (None, false) if response.closes() => {
                while !self.is_ended {
                    self.receive()?;
                }
                std::mem::take(&mut self.received)
            }
            _ => return Err(format!("content without a clear end: {head:?}")),
        };
        Ok(response)
    }
}

fn parse_head(head: &str) -> Result<StrictResponse, String> {
    let mut lines = head.trim_end().split("\r\n");
    let line = lines.next().unwrap_or_default();
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut response = StrictResponse {
        is_old: line.starts_with("HTTP/1.0"),
        status: status.ok_or_else(|| format!("a status line {line:?}"))?,
        ..StrictResponse::default()
    };
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| format!("a header line {line:?}"))?;
        let field = (name.to_ascii_lowercase(), value.trim().to_string());
        response.fields.push(field);
    }
    Ok(response)
}

/// A request, and the GET request after it whose response shows that the first one's
/// ended where it should.
#[derive(Clone, Copy, Debug)]
pub struct RequestPair<'a> {
    /// Method of the first request.
    pub method: &'a str,
    /// All bytes of the first request.
    pub first: &'a str,
    /// All bytes of the second request, after which the server closes the connection.
    pub second: &'a str,
    /// Whether the second request is sent before the first response is read.
    pub is_pipelined: bool,
}

impl RequestPair<'_> {
    /// Sends both requests on a connection; returns the responses, of which the second
    /// is missing if the first one closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a description of the first bytes that break the protocol, or of a
    /// response that is missing or incomplete.
    pub fn play(
        &self,
        address: SocketAddr,
    ) -> Result<(StrictResponse, Option<StrictResponse>), String> {
        let mut client = StrictClient::open(address).map_err(|error| error.to_string())?;
        client.send(self.first.as_bytes());
        if self.is_pipelined {
            client.send(self.second.as_bytes());
        }
        let first = client.read(self.method)?;
        if first.closes() {
            client.finish()?;
            return Ok((first, None));
        }
        if !self.is_pipelined {
            // Bytes that follow late are seen, too.
            thread::sleep(SETTLE_TIME);
            client.send(self.second.as_bytes());
        }
        let second = client.read("GET")?;
        client.finish()?;
        Ok((first, Some(second)))
    }
}

/// Starts a server that responds to each request as [`reply`] says, until the
/// process ends; returns its address.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn spawn_server() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Responds to the requests of a connection; an error ends it.
fn serve(mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line| line != "\r\n") {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            lines.push(line);
        }
        let length = lines.iter().find_map(|line| {
            let line = line.to_ascii_lowercase();
            line.strip_prefix("content-length:")?.trim().parse().ok()
        });
        reader.read_exact(&mut vec![0; length.unwrap_or(0)])?;
        let mut words = lines[0].split(' ');
        let (method, target) = (words.next(), words.next());
        let (bytes, closes) = reply(method.unwrap_or_default(), target.unwrap_or_default(), "");
        stream.write_all(&bytes)?;
        if closes {
            return stream.shutdown(Shutdown::Both);
        }
    }
}
