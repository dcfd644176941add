//! Programs of the workspace as child processes of a test.
//!
//! Each process is ended by its pid when its handle is dropped.

use std::env;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request};
use serde_json::Value;

const READY_PREFIX: &str = "listening on ";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const EXIT_POLL: Duration = Duration::from_millis(5);
const HTTP_TIMEOUT: Duration = Duration::from_secs(20);

/// First port that is given out; ports below are for fixed addresses.
const FIRST_PORT: u32 = 10_000;

/// Number of ports that are given out. They end below the range from which
/// the system takes the ports of outgoing connections, so that none of those
/// can take a port between its choice and its use.
const PORT_COUNT: u32 = 22_000;

/// Distance between the first ports of two processes.
const PROCESS_STEP: u32 = 100;

/// Ports that this process has looked at.
static TAKEN_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free now and is given out once in
/// this process.
///
/// # Panics
///
/// Panics if no port is free.
///
/// # Examples
///
/// ```
/// let address = standins::process::free_address();
/// assert!(address.ip().is_loopback());
/// ```
#[must_use]
pub fn free_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PROCESS_STEP);
    for _ in 0..PORT_COUNT {
        let taken = TAKEN_PORTS.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(taken) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).expect("the range ends below 65,536");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // A listener as a probe could live on for a moment in a process that
        // another thread is about to start.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no port is free");
}

/// Returns the path of a program that was built beside the current test.
///
/// # Panics
///
/// Panics if the current executable has no path.
///
/// # Examples
///
/// ```
/// let path = standins::process::program_path("fake-engine");
/// assert!(path.ends_with("fake-engine"));
/// ```
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the current executable has a path");
    let deps = test.parent().expect("the executable lies in a directory");
    let profile = match deps.file_name() {
        Some(directory) if directory == "deps" => deps.parent().unwrap_or(deps),
        _ => deps,
    };
    profile.join(name)
}

/// A running program that said that it listens.
#[derive(Debug)]
pub struct RunningProcess {
    child: Child,
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl RunningProcess {
    /// Starts a program of the workspace and waits until it listens.
    ///
    /// # Panics
    ///
    /// Panics if the program is not built, or doesn't listen within 10 s.
    #[must_use]
    pub fn spawn(name: &str, arguments: &[&str]) -> Self {
        Self::spawn_command(Command::new(program_path(name)).args(arguments))
    }

    /// Starts the program at a path and waits until it listens.
    ///
    /// # Panics
    ///
    /// Panics if the program can't start, or doesn't listen within 10 s.
    #[must_use]
    pub fn spawn_path(path: impl AsRef<Path>, arguments: &[&str]) -> Self {
        Self::spawn_command(Command::new(path.as_ref()).args(arguments))
    }

    /// Starts a command, which may carry an environment, and waits until it
    /// listens.
    ///
    /// # Panics
    ///
    /// Panics if the command can't start, or doesn't listen within 10 s.
    #[must_use]
    pub fn spawn_command(command: &mut Command) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{command:?} can't start: {error}"));
        let stdout = child.stdout.take().expect("stdout is a pipe");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sender, receiver) = mpsc::sync_channel(1);
        let kept = Arc::clone(&lines);
        thread::spawn(move || keep_lines(BufReader::new(stdout), &kept, &sender));
        match receiver.recv_timeout(READY_TIMEOUT) {
            Ok(address) => Self {
                child,
                address,
                lines,
            },
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                panic!("{command:?} does not listen: {error}");
            }
        }
    }

    /// Returns the address that the program listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the pid.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that the program wrote to stdout up to now.
    ///
    /// # Panics
    ///
    /// Panics if the reader of stdout panicked.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("the reader lives").clone()
    }

    /// Pauses the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Asks the process to end with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn kill(&mut self) {
        // The process may have ended by itself, which is as good.
        let _ = self.child.kill();
        self.child.wait().expect("the child can be waited for");
    }

    /// Waits for the end of the process; `None` if it still runs after
    /// `timeout`.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait().expect("the child can be waited for");
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.pid().to_string()])
            .status()
            .expect("the kill command runs");
        assert!(status.success(), "SIG{name} can't be sent");
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn keep_lines(
    stdout: impl BufRead,
    lines: &Mutex<Vec<String>>,
    ready: &mpsc::SyncSender<SocketAddr>,
) {
    for line in stdout.lines().map_while(Result::ok) {
        let address = line
            .split_once(READY_PREFIX)
            .and_then(|(_, address)| address.trim().parse().ok());
        lines.lock().expect("the owner lives").push(line);
        if let Some(address) = address {
            // Only the first address is waited for.
            let _ = ready.try_send(address);
        }
    }
}

/// Status and JSON body of an HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body; null if it is no JSON.
    pub body: Value,
}

/// Gets a JSON document.
///
/// # Errors
///
/// Fails if the server can't be reached or breaks its answer off.
///
/// # Examples
///
/// ```
/// let nobody = standins::process::free_address();
/// assert!(standins::process::get_json(nobody, "/load").is_err());
/// ```
pub fn get_json(address: SocketAddr, path: &str) -> io::Result<JsonResponse> {
    send_json(Method::GET, address, path, &[], None)
}

/// Posts a JSON document.
///
/// # Errors
///
/// Fails if the server can't be reached or breaks its answer off.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// let nobody = standins::process::free_address();
/// assert!(standins::process::post_json(nobody, "/control", &json!({})).is_err());
/// ```
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> io::Result<JsonResponse> {
    send_json(Method::POST, address, path, &[], Some(body))
}

/// Sends a request with headers and a JSON body, if any.
///
/// # Errors
///
/// Fails if the server can't be reached or breaks its answer off.
///
/// # Panics
///
/// Panics if the path or a header is not valid.
///
/// # Examples
///
/// ```
/// use oxhttp::model::Method;
/// let nobody = standins::process::free_address();
/// let headers = [("x-request-id", "1")];
/// assert!(standins::process::send_json(Method::PUT, nobody, "/a", &headers, None).is_err());
/// ```
pub fn send_json(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Value>,
) -> io::Result<JsonResponse> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let bytes = match body {
        None => Vec::new(),
        Some(value) => {
            builder = builder.header(CONTENT_TYPE, "application/json");
            serde_json::to_vec(value)?
        }
    };
    let request = builder.body(Body::from(bytes)).expect("a valid request");
    let response = Client::new()
        .with_global_timeout(HTTP_TIMEOUT)
        .request(request)?;
    let status = response.status().as_u16();
    let text = response.into_body().to_vec()?;
    let body = serde_json::from_slice(&text).unwrap_or(Value::Null);
    Ok(JsonResponse { status, body })
}
