//! Crowds of clients that don't behave, and what they make a process hold.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Time after which a client whose bytes aren't read stops sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a process is observed.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which [`HoldMonitor::settle`] looks, and its longest wait.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_SETTLE_CHECKS: usize = 60;

/// What a client of a crowd sends before it falls silent.
#[derive(Clone, Debug, Default)]
pub struct CrowdClient {
    /// Sent once.
    pub start: Vec<u8>,
    /// Sent repeatedly after the start.
    pub piece: Vec<u8>,
    /// How often the piece is sent.
    pub pieces: usize,
    /// Size of the kernel's receive buffer, if it isn't the default.
    pub receive_buffer: Option<usize>,
    /// Whether the client waits for the first bytes of a response at the end.
    pub awaits_response: bool,
}

/// Clients that all do the same.
#[derive(Clone, Debug)]
pub struct ClientClass {
    /// Number of clients.
    pub count: usize,
    /// What each of them does.
    pub client: CrowdClient,
}

impl ClientClass {
    /// Creates clients that send `start` once and then `piece` this many times.
    pub fn new(count: usize, start: Vec<u8>, piece: Vec<u8>, pieces: usize) -> Self {
        let client = CrowdClient {
            start,
            piece,
            pieces,
            ..CrowdClient::default()
        };
        Self { count, client }
    }

    /// Creates clients that send a head, then `bytes` of a body in chunks of `size`.
    pub fn chunked(count: usize, head: Vec<u8>, size: usize, bytes: usize) -> Self {
        let framing = format!("{size:x}\r\n").into_bytes();
        let chunk = [framing, vec![b'x'; size], b"\r\n".into()].concat();
        // Small chunks are written together.
        let together = (50_000 / chunk.len()).max(1);
        Self::new(count, head, chunk.repeat(together), bytes / size / together)
    }

    /// Lets the clients take nothing of what is sent to them.
    #[must_use]
    pub fn reading_nothing(mut self) -> Self {
        self.client.receive_buffer = Some(4096);
        self
    }

    /// Lets the clients wait for the first bytes of a response.
    #[must_use]
    pub fn awaiting_response(mut self) -> Self {
        self.client.awaits_response = true;
        self
    }
}

/// Clients that keep their connections open and read nothing.
#[derive(Debug)]
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Lets all clients send at the same time; returns once each of them has sent
    /// everything, isn't read any more, or was disconnected.
    pub fn gather(address: SocketAddr, classes: &[ClientClass]) -> Self {
        let streams = thread::scope(|scope| {
            let clients = classes
                .iter()
                .flat_map(|class| std::iter::repeat_n(&class.client, class.count));
            let senders: Vec<_> = clients
                .map(|client| scope.spawn(|| client.send(address).ok()))
                .collect();
            let joined = senders.into_iter().map(|sender| sender.join());
            joined
                .filter_map(|sent| sent.expect("a client ends"))
                .collect()
        });
        Self { _streams: streams }
    }
}

impl CrowdClient {
    fn send(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        if let Some(bytes) = self.receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.connect(&address.into())?;
        let mut stream = TcpStream::from(socket);
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        let pieces = std::iter::repeat_n(&self.piece, self.pieces);
        let mut sent = stream.write_all(&self.start);
        for piece in pieces {
            sent = sent.and_then(|()| stream.write_all(piece));
        }
        if self.awaits_response && sent.is_ok() {
            // A refused client reads nothing, which is allowed.
            let _ = stream.read(&mut [0; 512]);
        }
        Ok(stream)
    }
}

/// The most that a process held while it was observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldPeak {
    /// Resident bytes, and bytes that its sockets have received and it hasn't read.
    pub bytes: u64,
    /// The unread ones among them, at their own peak.
    pub unread: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Observes a process that listens for clients.
#[derive(Debug)]
pub struct HoldMonitor {
    pid: u32,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<HeldPeak>,
}

impl HoldMonitor {
    /// Starts to observe the process that has this id and listens at this address.
    pub fn spawn(pid: u32, address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut peak = HeldPeak::default();
            while !stopped.load(Ordering::SeqCst) {
                let unread = unread_bytes(address.port());
                let resident = status_bytes(pid, "VmRSS:").unwrap_or(0);
                let listed = fs::read_dir(format!("/proc/{pid}/fd"));
                peak.bytes = peak.bytes.max(resident + unread);
                peak.unread = peak.unread.max(unread);
                peak.descriptors = peak.descriptors.max(listed.map_or(0, Iterator::count));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { pid, stop, thread }
    }

    /// Waits until the process has read what it reads of the bytes that arrived.
    pub fn settle(&self, address: SocketAddr) {
        let mut last = None;
        for _ in 0..MAX_SETTLE_CHECKS {
            let unread = unread_bytes(address.port());
            if last.replace(unread) == Some(unread) {
                return;
            }
            thread::sleep(SETTLE_INTERVAL);
        }
    }

    /// Stops observing; returns the peak, or `None` if the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the observing thread has panicked.
    pub fn finish(self) -> Option<HeldPeak> {
        self.stop.store(true, Ordering::SeqCst);
        let mut peak = self.thread.join().expect("the observer ends");
        peak.bytes = peak.bytes.max(status_bytes(self.pid, "VmHWM:")?);
        Some(peak)
    }
}

/// Returns a line of a process's memory status, in bytes; `None` if it has ended.
fn status_bytes(pid: u32, name: &str) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kibibytes * 1024)
}

/// Returns the bytes that wait unread in the sockets of a local port.
fn unread_bytes(port: u16) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let suffix = format!(":{port:04X}");
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let is_listener = *fields.get(3)? == "0A";
        let is_local = fields.get(1)?.ends_with(&suffix);
        let queued = fields.get(4)?.split(':').nth(1)?;
        let bytes = u64::from_str_radix(queued, 16).ok()?;
        (is_local && !is_listener).then_some(bytes)
    };
    table.lines().filter_map(unread).sum()
}
