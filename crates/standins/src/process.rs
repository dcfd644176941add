//! Runs programs of the workspace as child processes of a test.
//!
//! Dropping the handle of a process kills it.

use std::env;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request};
use serde_json::Value;

const READY_PREFIX: &str = "listening on ";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const HTTP_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the path of a program built into the target directory of the
/// current test.
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

/// A running program that has reported its listen address.
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

    /// Starts a command, which may set environment variables, and waits until
    /// it listens.
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
        let collected = Arc::clone(&lines);
        thread::spawn(move || collect_lines(BufReader::new(stdout), &collected, &sender));
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

    /// Returns the process ID.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that the program has written to stdout so far.
    ///
    /// # Panics
    ///
    /// Panics if the thread that reads stdout panicked.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("the reader doesn't panic").clone()
    }

    /// Pauses the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Asks the process to exit with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn kill(&mut self) {
        // The process may already have exited by itself.
        let _ = self.child.kill();
        self.child.wait().expect("the child can be waited for");
    }

    /// Waits for the process to exit; returns `None` if it still runs after
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
            thread::sleep(EXIT_POLL_INTERVAL);
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

/// Collects the lines of stdout and reports the first listen address in them.
fn collect_lines(
    stdout: impl BufRead,
    lines: &Mutex<Vec<String>>,
    ready: &mpsc::SyncSender<SocketAddr>,
) {
    for line in stdout.lines().map_while(Result::ok) {
        let address = line
            .split_once(READY_PREFIX)
            .and_then(|(_, address)| address.trim().parse().ok());
        lines.lock().expect("the owner doesn't panic").push(line);
        if let Some(address) = address {
            // The receiver waits for the first address only.
            let _ = ready.try_send(address);
        }
    }
}

/// Status and JSON body of an HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body, or null if it is not JSON.
    pub body: Value,
}

/// Sends a GET request and reads the JSON response.
///
/// # Errors
///
/// Fails if the server can't be reached or its response is cut off.
///
/// # Examples
///
/// ```
/// let unused = standins::ports::free_address();
/// assert!(standins::process::get_json(unused, "/load").is_err());
/// ```
pub fn get_json(address: SocketAddr, path: &str) -> io::Result<JsonResponse> {
    send_json(Method::GET, address, path, &[], None)
}

/// Sends a POST request with a JSON body and reads the JSON response.
///
/// # Errors
///
/// Fails if the server can't be reached or its response is cut off.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// let unused = standins::ports::free_address();
/// assert!(standins::process::post_json(unused, "/control", &json!({})).is_err());
/// ```
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> io::Result<JsonResponse> {
    send_json(Method::POST, address, path, &[], Some(body))
}

/// Sends a request with headers and an optional JSON body, and reads the JSON
/// response.
///
/// # Errors
///
/// Fails if the server can't be reached or its response is cut off.
///
/// # Panics
///
/// Panics if the path or a header is not valid.
///
/// # Examples
///
/// ```
/// use oxhttp::model::Method;
/// let unused = standins::ports::free_address();
/// let headers = [("x-request-id", "1")];
/// assert!(standins::process::send_json(Method::PUT, unused, "/a", &headers, None).is_err());
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
