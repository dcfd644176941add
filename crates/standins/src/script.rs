//! A server that responds soundly, except to requests that a test takes over.
//!
//! The receive buffers are small and the content of a request that is taken over
//! isn't read, so that a long upload is still being written while the test plays
//! its response.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Size of the kernel's receive buffer of a connection, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

/// Longest wait for a request that a test takes over.
const TAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Content of a sound response.
pub const SOUND: &str = "sound";

/// How a connection ends after the bytes that a test sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// It stays open, and nothing more is read or written.
    Open,
    /// The request is read to its end, then both directions are closed in order.
    Orderly,
    /// The connection is reset.
    Reset,
    /// The sending direction is closed; after a pause, the connection is reset.
    CloseAndReset(Duration),
}

/// A request whose response a test plays.
#[derive(Debug)]
pub struct TakenRequest {
    reader: BufReader<TcpStream>,
    /// The request line and the header lines.
    pub head: Vec<String>,
}

impl TakenRequest {
    /// Returns the value of a header field; empty if it is missing.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        field(&self.head, name)
    }

    /// Sends a part of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer has closed the connection.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Ends the connection; one that stays open is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer has closed the connection.
    pub fn end(mut self, end: ConnectionEnd) -> io::Result<Option<Self>> {
        match end {
            ConnectionEnd::Open => return Ok(Some(self)),
            ConnectionEnd::Orderly => {
                self.reader.get_mut().shutdown(Shutdown::Write)?;
                io::copy(&mut self.reader, &mut io::sink())?;
            }
            ConnectionEnd::Reset => reset(self.reader.into_inner())?,
            ConnectionEnd::CloseAndReset(pause) => {
                let stream = self.reader.into_inner();
                stream.shutdown(Shutdown::Write)?;
                thread::sleep(pause);
                reset(stream)?;
            }
        }
        Ok(None)
    }
}

/// Resets a connection.
fn reset(stream: TcpStream) -> io::Result<()> {
    // With a linger time of zero, the kernel sends a reset when the only handle of
    // the socket is dropped.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// A running server.
#[derive(Debug)]
pub struct ScriptedServer {
    address: SocketAddr,
    /// Whether the next request is taken over.
    takes_next: Arc<AtomicBool>,
    taken: Mutex<Receiver<TakenRequest>>,
    served: Arc<AtomicUsize>,
    report: Arc<Mutex<Option<String>>>,
}

impl ScriptedServer {
    /// Starts a server, which runs until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    ///
    /// # Examples
    ///
    /// ```
    /// use standins::script::ScriptedServer;
    ///
    /// let server = ScriptedServer::spawn().unwrap();
    /// assert!(server.address().ip().is_loopback());
    /// ```
    pub fn spawn() -> io::Result<Self> {
        Self::spawn_repeating("")
    }

    /// Starts a server whose sound responses repeat this field of their requests.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn spawn_repeating(field: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        // Accepted connections inherit it.
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let address = listener.local_addr()?;
        let (sender, taken) = channel();
        let requests = ScriptedRequests {
            takes_next: Arc::default(),
            sender,
            served: Arc::default(),
            report: Arc::default(),
            repeated: field,
        };
        let server = Self {
            address,
            takes_next: Arc::clone(&requests.takes_next),
            taken: Mutex::new(taken),
            served: Arc::clone(&requests.served),
            report: Arc::clone(&requests.report),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                // An error ends the connection.
                thread::spawn(move || requests.serve(stream));
            }
        });
        Ok(server)
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests it has received, without those for reports.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Sets all bytes of the response to polls of its load; without them it is 404.
    ///
    /// # Panics
    ///
    /// Panics if a thread that responds has panicked.
    pub fn set_report(&self, response: impl Into<String>) {
        *self.report.lock().expect("no test panicked here") = Some(response.into());
    }

    /// Lets [`Self::take`] take over the next request.
    pub fn take_next(&self) {
        self.takes_next.store(true, Ordering::SeqCst);
    }

    /// Responds to the next request with these bytes, and ends its connection.
    pub fn respond_next(self: &Arc<Self>, response: impl Into<String>, end: ConnectionEnd) {
        self.take_next();
        let (server, response) = (Arc::clone(self), response.into());
        thread::spawn(move || {
            let mut request = server.take();
            // The peer may have closed the connection.
            let _ = request.send(response.as_bytes());
            let _ = request.end(end);
        });
    }

    /// Waits for the request that is taken over.
    ///
    /// # Panics
    ///
    /// Panics if none arrives within 5 s.
    #[must_use]
    pub fn take(&self) -> TakenRequest {
        let taken = self.taken.lock().expect("no test panicked here");
        taken.recv_timeout(TAKE_TIMEOUT).expect("a request arrives")
    }
}

/// What the threads of the connections share.
#[derive(Clone, Debug)]
struct ScriptedRequests {
    takes_next: Arc<AtomicBool>,
    sender: Sender<TakenRequest>,
    served: Arc<AtomicUsize>,
    report: Arc<Mutex<Option<String>>>,
    /// Name of a field that sound responses repeat.
    repeated: &'static str,
}

impl ScriptedRequests {
    /// Responds to the requests of a connection, until one is taken over.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            let is_report = head[0].starts_with("GET /load");
            if !is_report {
                self.served.fetch_add(1, Ordering::SeqCst);
                if self.takes_next.swap(false, Ordering::SeqCst) {
                    // The test may have ended.
                    let _ = self.sender.send(TakenRequest { reader, head });
                    return Ok(());
                }
            }
            let length = field(&head, "content-length").parse().unwrap_or(0);
            io::copy(&mut (&mut reader).take(length), &mut io::sink())?;
            let response = match is_report {
                true => {
                    let report = self.report.lock().expect("no test panicked here").clone();
                    report.unwrap_or_else(|| self.sound_response(&head, 404))
                }
                false => self.sound_response(&head, 200),
            };
            reader.get_mut().write_all(response.as_bytes())?;
        }
    }

    /// Returns a complete response to a request, below `/once/` and `/brief/` a stream
    /// of one event.
    fn sound_response(&self, head: &[String], status: u16) -> String {
        let fields = match self.repeated {
            "" => format!("HTTP/1.1 {status} X\r\n"),
            name => format!("HTTP/1.1 {status} X\r\n{name}: {}\r\n", field(head, name)),
        };
        let line = &head[0];
        if line.contains(" /once/") || line.contains(" /brief/") {
            let last: u64 = field(head, "last-event-id").parse().unwrap_or(0);
            let event = format!("id: {}\ndata: {SOUND}\n\n", last + 1);
            let content = match line.starts_with("HEAD ") {
                true => String::new(),
                false => format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()),
            };
            let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
            return format!("{fields}{framing}\r\n\r\n{content}");
        }
        let content = match line.starts_with("HEAD ") {
            true => "",
            false => SOUND,
        };
        format!("{fields}Content-Length: {}\r\n\r\n{content}", SOUND.len())
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(lines);
        }
        lines.push(line.to_string());
    }
}

fn field<'a>(head: &'a [String], name: &str) -> &'a str {
    let mut fields = head.iter().filter_map(|line| line.split_once(':'));
    let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.trim())
}
