//! A blocking client with one connection for each call.
//!
//! For threads that wait for a response, such as those of tools and of the store's
//! client. Whether a response is complete is decided by [`super::reader`].
//!
//! The main invariant: the content of a response that is broken ends in an error.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::head::ResponseHead;
use super::reader::{ConnectionState, ResponseError, ResponseProgress, ResponseReader};

/// Maximum bytes of a head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// A request whose content is in memory.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Names and values of header fields, without those of the framing.
    pub fields: &'a [(&'a str, &'a str)],
    /// Content.
    pub content: &'a [u8],
}

impl CallRequest<'_> {
    fn encode(&self, address: SocketAddr) -> io::Result<Vec<u8>> {
        let Self { method, target, .. } = self;
        let names = self.fields.iter().flat_map(|(name, value)| [name, value]);
        let mut texts = names.chain([method, target]);
        if texts.any(|text| text.bytes().any(|byte| byte.is_ascii_control())) {
            let error = "a control character in a request";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, error));
        }
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n");
        for (name, value) in self.fields {
            head += &format!("{name}: {value}\r\n");
        }
        let length = self.content.len();
        head += &format!("Content-Length: {length}\r\nConnection: close\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.content);
        Ok(bytes)
    }

    /// Sends the request and reads the head of its response. The call, with the
    /// content, ends after `timeout`.
    ///
    /// # Errors
    ///
    /// - `ConnectionRefused` if nothing listens at the address;
    /// - `InvalidInput` if the request holds control characters;
    /// - `InvalidData` if the response breaks the protocol;
    /// - `UnexpectedEof` if it is incomplete;
    /// - `TimedOut` after the timeout, and any other error of the connection.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use dewhttp::CallRequest;
    ///
    /// let request = CallRequest {
    ///     method: "GET",
    ///     target: "/healthz",
    ///     fields: &[("Accept", "text/plain")],
    ///     content: b"",
    /// };
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// assert!(request.send(address, Duration::from_millis(100)).is_err());
    /// ```
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> io::Result<CallResponse> {
        let bytes = self.encode(address)?;
        let deadline = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(time_left(deadline)?))?;
        stream.write_all(&bytes).map_err(timed_out)?;
        let mut connection = CallConnection {
            stream,
            deadline,
            reader: ResponseReader::new(self.method, MAX_HEAD_BYTES),
            received: Vec::new(),
            state: ConnectionState::Open,
        };
        loop {
            if let Some(head) = connection.reader.head() {
                let head = head.clone();
                return Ok(CallResponse { head, connection });
            }
            connection.is_complete()?;
        }
    }
}

/// The connection of a call whose request has been written.
#[derive(Debug)]
struct CallConnection {
    stream: TcpStream,
    deadline: Instant,
    reader: ResponseReader,
    /// Bytes that the reader hasn't used.
    received: Vec<u8>,
    state: ConnectionState,
}

impl CallConnection {
    /// Waits for further bytes and reads what they contain of the head.
    fn receive(&mut self) -> io::Result<()> {
        self.stream
            .set_read_timeout(Some(time_left(self.deadline)?))?;
        let mut buffer = [0; READ_BYTES];
        let count = loop {
            match self.stream.read(&mut buffer) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read.map_err(timed_out)?,
            }
        };
        if count == 0 {
            self.state = match self.stream.take_error()? {
                Some(_) => ConnectionState::Broken,
                None => ConnectionState::Ended,
            };
        }
        self.received.extend_from_slice(&buffer[..count]);
        let used = self.reader.read_head(&self.received).map_err(invalid)?;
        self.received.drain(..used);
        Ok(())
    }

    /// Returns whether the response is complete, once all bytes have been used;
    /// waits for further ones if they are needed.
    fn is_complete(&mut self) -> io::Result<bool> {
        match self.reader.progress(self.state) {
            ResponseProgress::Complete => Ok(true),
            ResponseProgress::BrokenOff => Err(io::ErrorKind::UnexpectedEof.into()),
            ResponseProgress::Incomplete => self.receive().map(|()| false),
        }
    }
}

/// A response whose content is read from it.
///
/// Reading ends in order only if the response is complete.
#[derive(Debug)]
pub struct CallResponse {
    head: ResponseHead,
    connection: CallConnection,
}

impl CallResponse {
    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the value of a field, if it occurs once and is text.
    pub fn field<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.head.fields.unique(name).ok().flatten()
    }

    /// Reads the whole content.
    ///
    /// # Errors
    ///
    /// Fails like [`CallRequest::send`], and with `InvalidData` if there are more
    /// than `limit` bytes.
    pub fn read_all(mut self, limit: usize) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        let maximum = u64::try_from(limit).unwrap_or(u64::MAX);
        (&mut self)
            .take(maximum.saturating_add(1))
            .read_to_end(&mut content)?;
        if content.len() > limit {
            let error = format!("a response of more than {limit} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(content)
    }
}

impl Read for CallResponse {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let connection = &mut self.connection;
        loop {
            let mut content = Vec::new();
            // Decoding makes nothing longer.
            let available = connection.received.len().min(buffer.len());
            let used = connection
                .reader
                .read_content(&connection.received[..available], &mut content)
                .map_err(invalid)?;
            connection.received.drain(..used);
            if !content.is_empty() || buffer.is_empty() {
                buffer[..content.len()].copy_from_slice(&content);
                return Ok(content.len());
            }
            if used == 0 && connection.is_complete()? {
                return Ok(0);
            }
        }
    }
}

fn time_left(deadline: Instant) -> io::Result<Duration> {
    match deadline.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Err(io::ErrorKind::TimedOut.into()),
        left => Ok(left),
    }
}

/// A blocking socket reports its timeout in one of two ways.
fn timed_out(error: io::Error) -> io::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => error,
    }
}

fn invalid(error: ResponseError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
