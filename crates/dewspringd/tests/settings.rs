//! The daemon's command line, startup and shutdown: output and exit status.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::{DEFAULT_ROUTES, SECRET, wait_until};
use oxhttp::model::Method;
use serde_json::Value;
use standins::ports::free_address;
use standins::process::{get_json, send_json};

const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_EXIT_TIMEOUT: Duration = Duration::from_secs(2);

const POOLS: &str = r#"
[[pool]]
name = "engines"
kind = "engine"
model = "small"
server = [
  { name = "engine-1", address = "127.0.0.1:9", data_centre = "dk-east-1", slots = 8 },
]

[[pool]]
name = "services"
kind = "service"
server = [
  { name = "service-1", address = "127.0.0.1:8", data_centre = "dk-east-1", slots = 8 },
]
"#;

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn create(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A leftover directory doesn't affect other tests.
        let _removed = fs::remove_dir_all(&self.0);
    }
}

/// Returns the daemon's command with an empty environment.
fn daemon_command(flags: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dewspringd"));
    command.env_clear().args(flags).stdin(Stdio::null());
    command
}

/// A running daemon and the thread that reads its standard error.
struct LoggedDaemon {
    child: Child,
    log: Option<JoinHandle<String>>,
}

impl LoggedDaemon {
    fn spawn(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut stderr = child.stderr.take().expect("stderr is a pipe");
        let log = thread::spawn(move || {
            let mut text = String::new();
            stderr.read_to_string(&mut text).expect("the log is text");
            text
        });
        Self {
            child,
            log: Some(log),
        }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("the kill command runs").success());
    }

    /// Waits until the daemon exits, and returns its exit status and its log.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after `timeout`.
    fn wait(mut self, timeout: Duration) -> (ExitStatus, String) {
        let started = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                break status;
            }
            assert!(
                started.elapsed() < timeout,
                "still running after {timeout:?}"
            );
            thread::sleep(Duration::from_millis(5));
        };
        let log = self.log.take().expect("it is read once");
        (status, log.join().expect("the log is read"))
    }
}

impl Drop for LoggedDaemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Runs a daemon that is expected to exit by itself, and returns its output.
fn run_to_exit(command: &mut Command) -> Output {
    let daemon = LoggedDaemon::spawn(command);
    let (status, log) = daemon.wait(EXIT_TIMEOUT);
    Output {
        status,
        stdout: Vec::new(),
        stderr: log.into_bytes(),
    }
}

struct SettingCase {
    name: &'static str,
    flags: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    /// Start of every line of standard error, in order.
    lines: &'static [&'static str],
}

const VALID_FLAGS: &[&str] = &[
    "--vm=a",
    "--data-centre=dk-east-1",
    "--secret=0123456789abcdef",
    "--platform=127.0.0.1:9",
];

const SETTING_CASES: &[SettingCase] = &[
    SettingCase {
        name: "no settings",
        flags: &[],
        variables: &[],
        lines: &[
            "--vm: must be set",
            "--data-centre: must be set",
            "--secret: must be set",
            "--routes: must be set",
            "--pools: must be set",
        ],
    },
    SettingCase {
        name: "every setting invalid",
        flags: &[
            "--vm=a b",
            "--data-centre=",
            "--listen=localhost:80",
            "--admin-listen=127.0.0.1",
            "--peer-listen=127.0.0.1:99999",
            "--secret=short",
            "--fleet=a/b",
            "--platform=http://127.0.0.1:2379",
            "--platform-timeout=5",
            "--entry-threads=0",
            "--max-connections=-1",
            "--header-timeout=0s",
            "--body-timeout=soon",
            "--workspace-header=x workspace",
            "--class-header=",
            "--shutdown-timeout=1 parsec",
            "--connect-timeout=",
            "--silence-timeout=-5s",
            "--report-interval=1e9s",
            "--log-format=xml",
            "--log-level=loud",
            "--decision-capacity=many",
        ],
        variables: &[],
        lines: &[
            "--vm: must consist of letters",
            "--data-centre: must consist of letters",
            "--listen: must be an IP address with a port, found \"localhost:80\"",
            "--admin-listen: must be an IP address with a port, found \"127.0.0.1\"",
            "--peer-listen: must be an IP address with a port, found \"127.0.0.1:99999\"",
            "--secret: must be at least 16 bytes long",
            "--fleet: must consist of letters",
            "--platform: must be 'embedded' or an IP address with a port",
            "--platform-timeout: must be a duration",
            "--entry-threads: must be above zero",
            "--max-connections: must be a whole number, found \"-1\"",
            "--header-timeout: must be above zero",
            "--body-timeout: must be a duration",
            "--workspace-header: must consist of letters",
            "--workspace-header: must be a header name",
            "--class-header: must consist of letters",
            "--class-header: must be a header name",
            "--shutdown-timeout: must be a duration",
            "--connect-timeout: must be a duration",
            "--silence-timeout: must be a duration",
            "--report-interval: must be a duration",
            "--log-format: must be text or json",
            "--log-level: must be error, warn, info, debug or trace",
            "--decision-capacity: must be a whole number, found \"many\"",
        ],
    },
    SettingCase {
        name: "variables are checked like flags",
        flags: VALID_FLAGS,
        variables: &[("DEWSPRING_LISTEN", "x"), ("DEWSPRING_BODY_TIMEOUT", "0ms")],
        lines: &["--listen: must be an IP", "--body-timeout: must be above"],
    },
    SettingCase {
        name: "one address for two listeners",
        flags: &[
            "--vm=a",
            "--data-centre=dk-east-1",
            "--secret=0123456789abcdef",
            "--platform=127.0.0.1:9",
            "--admin-listen=127.0.0.1:8080",
        ],
        variables: &[],
        lines: &["--admin-listen: is the same address as --listen"],
    },
];

#[test]
fn every_invalid_setting_is_printed() {
    for case in SETTING_CASES {
        let mut command = daemon_command(case.flags);
        command.envs(case.variables.iter().copied());
        let output = run_to_exit(&mut command);
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(2), "{}: {text}", case.name);
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), case.lines.len(), "{}: {text}", case.name);
        for (line, expected) in lines.iter().zip(case.lines) {
            assert!(line.starts_with(expected), "{}: {line}", case.name);
        }
    }
}

struct ExitCase {
    flags: &'static [&'static str],
    status: i32,
    /// A part of the output.
    text: &'static str,
}

#[test]
fn help_and_version_succeed_and_unknown_flags_do_not() {
    let cases = [
        ExitCase {
            flags: &["--help"],
            status: 0,
            text: "--max-connections",
        },
        ExitCase {
            flags: &["--version"],
            status: 0,
            text: env!("CARGO_PKG_VERSION"),
        },
        ExitCase {
            flags: &["--no-such-flag"],
            status: 2,
            text: "--no-such-flag",
        },
        ExitCase {
            flags: &["stray"],
            status: 2,
            text: "stray",
        },
        ExitCase {
            flags: &["--vm=a", "--vm=b"],
            status: 2,
            text: "--vm",
        },
    ];
    for case in cases {
        let mut command = daemon_command(case.flags);
        command.env("DEWSPRING_SECRET", SECRET);
        let output = command.output().expect("the daemon runs");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8(printed).expect("text");
        let flags = case.flags;
        assert_eq!(output.status.code(), Some(case.status), "{flags:?}");
        assert!(printed.contains(case.text), "{flags:?}: {printed}");
        assert!(!printed.contains(SECRET), "{flags:?}: {printed}");
    }
}

#[test]
fn every_error_in_the_tables_is_printed() {
    let dir = TempDir::create("faulty-tables");
    let routes = DEFAULT_ROUTES
        .replace("tier = 4", "teir = 4")
        .replace("timeout = \"10s\"", "timeout = \"1s\"");
    let pools = POOLS
        .replace("slots = 8", "slots = 0")
        .replace("127.0.0.1:", "nowhere:");
    let routes = dir.write("my-routes.toml", &routes);
    let pools = dir.write("my-pools.toml", &pools);
    let mut command = embedded_command(&routes, &pools, free_address(), free_address());
    let output = run_to_exit(&mut command);
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{text}");
    let expected = [
        "my-routes.toml:12: tier: missing key",
        "my-routes.toml:17: teir: unknown key",
        "my-routes.toml:26: target: must not be above timeout",
        "my-routes.toml:35: target: must not be above timeout",
        "my-pools.toml:7: address: must be an IP address",
        "my-pools.toml:7: slots: must be above zero",
        "my-pools.toml:14: address: must be an IP address",
        "my-pools.toml:14: slots: must be above zero",
    ];
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), expected.len(), "{text}");
    for (line, fault) in lines.iter().zip(expected) {
        let full = format!("{}/{fault}", dir.0.display());
        assert!(line.starts_with(&full), "{fault}: {line}");
    }
}

#[test]
fn an_unreadable_table_is_named_in_the_error() {
    let dir = TempDir::create("missing-tables");
    let routes = dir.write("routes.toml", DEFAULT_ROUTES);
    let missing = dir.0.join("none.toml");
    let mut command = embedded_command(&routes, &missing, free_address(), free_address());
    let output = run_to_exit(&mut command);
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("none.toml can't be read"), "{text}");
}

fn embedded_command(routes: &Path, pools: &Path, entry: SocketAddr, admin: SocketAddr) -> Command {
    let peer = free_address();
    let mut command = daemon_command(&["--vm=a", "--data-centre=dk-east-1"]);
    command
        .arg(format!("--routes={}", routes.display()))
        .arg(format!("--pools={}", pools.display()))
        .arg(format!("--listen={entry}"))
        .arg(format!("--admin-listen={admin}"))
        .arg(format!("--peer-listen={peer}"))
        .env("DEWSPRING_SECRET", SECRET);
    command
}

#[test]
fn an_occupied_port_is_named_in_the_error() {
    let dir = TempDir::create("taken-port");
    let routes = dir.write("routes.toml", DEFAULT_ROUTES);
    let pools = dir.write("pools.toml", POOLS);
    let holder = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let occupied = holder.local_addr().expect("a bound address");
    let cases = [
        ("listen", occupied, free_address()),
        ("admin-listen", free_address(), occupied),
    ];
    for (name, entry, admin) in cases {
        let mut command = embedded_command(&routes, &pools, entry, admin);
        let output = run_to_exit(&mut command);
        let text = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{name}: {text}");
        let expected = format!("{occupied} can't be bound");
        assert!(text.contains(&expected), "{name}: {text}");
    }
}

/// A request that the daemon logs.
struct LoggedRequest {
    address: SocketAddr,
    path: &'static str,
    header: (&'static str, String),
}

/// Sends requests that the daemon logs, some of which carry the secret.
fn send_logged_requests(entry: SocketAddr, admin: SocketAddr) {
    let call = |address, path, name, value: &str| LoggedRequest {
        address,
        path,
        header: (name, value.into()),
    };
    let token = format!("Bearer {SECRET}");
    let calls = [
        call(admin, "/v1/status", "authorization", &token),
        call(admin, "/v1/status", "authorization", "Bearer wrong"),
        call(admin, "/v1/explain/x", "authorization", &token),
        call(entry, "/archive/1", "authorization", &token),
        call(entry, "/archive/2", "x-workspace", "a \"quoted\" desk"),
        call(entry, "/nothing", "x-request-class", &token),
    ];
    for call in calls {
        let headers = [(call.header.0, call.header.1.as_str())];
        let response = send_json(Method::GET, call.address, call.path, &headers, None);
        assert!(response.is_ok(), "{}: {response:?}", call.path);
    }
}

/// Starts a daemon that logs JSON at the level `trace`, and waits until it is
/// ready.
fn start_json_daemon(dir: &TempDir, entry: SocketAddr, admin: SocketAddr) -> LoggedDaemon {
    let routes = dir.write("routes.toml", DEFAULT_ROUTES);
    let pools = dir.write("pools.toml", POOLS);
    let mut command = embedded_command(&routes, &pools, entry, admin);
    command.args(["--log-format=json", "--log-level=trace"]);
    let daemon = LoggedDaemon::spawn(&mut command);
    wait_until_ready(admin);
    daemon
}

fn wait_until_ready(admin: SocketAddr) {
    wait_until("the daemon is ready", || {
        get_json(admin, "/readyz").is_ok_and(|response| response.status == 200)
    });
}

/// Terminates a daemon, checks that every line of its log is a JSON object, and
/// returns the log.
fn terminate_and_read_json_log(daemon: LoggedDaemon) -> String {
    daemon.terminate();
    let (status, log) = daemon.wait(EXIT_TIMEOUT);
    assert!(status.success(), "{log}");
    for line in log.lines() {
        let object: Value = serde_json::from_str(line).expect(line);
        assert!(object.is_object(), "{line}");
    }
    log
}

#[test]
fn json_logs_are_valid_and_contain_no_secret() {
    let dir = TempDir::create("json-logs");
    let (entry, admin) = (free_address(), free_address());
    let daemon = start_json_daemon(&dir, entry, admin);
    send_logged_requests(entry, admin);
    let log = terminate_and_read_json_log(daemon);
    for expected in ["without the secret", "route archive", "Shut down"] {
        assert!(log.contains(expected), "no line has {expected:?}: {log}");
    }
    assert!(!log.contains(SECRET), "{log}");
}

/// Guards against panic messages that bypass the JSON format: a CONNECT request
/// with only an authority makes the HTTP library panic.
#[test]
fn json_logs_stay_valid_after_a_panic_in_the_http_library() {
    let dir = TempDir::create("json-logs-of-libraries");
    let (entry, admin) = (free_address(), free_address());
    let daemon = start_json_daemon(&dir, entry, admin);
    let mut stream = TcpStream::connect(admin).expect("a connection");
    stream
        .write_all(b"CONNECT 127.0.0.1:1 HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the request is sent");
    let mut response = Vec::new();
    // The daemon may also close the connection without a response.
    let _read = stream.read_to_end(&mut response);
    wait_until_ready(admin);
    terminate_and_read_json_log(daemon);
}

struct IdleCase {
    name: &'static str,
    /// Bytes that each caller sends before it is idle.
    sent: &'static [u8],
    callers: usize,
    signals: usize,
}

#[test]
fn an_idle_daemon_exits_in_time() {
    let case = |name, sent, callers, signals| IdleCase {
        name,
        sent,
        callers,
        signals,
    };
    let cases = [
        case("no caller", b"", 0, 1),
        case("two signals", b"", 0, 2),
        case("callers that sent nothing", b"", 3, 1),
        case(
            "callers that got a response",
            b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n",
            3,
            1,
        ),
    ];
    let dir = TempDir::create("idle-end");
    let routes = dir.write("routes.toml", DEFAULT_ROUTES);
    let pools = dir.write("pools.toml", POOLS);
    for case in cases {
        let (entry, admin) = (free_address(), free_address());
        let daemon = LoggedDaemon::spawn(&mut embedded_command(&routes, &pools, entry, admin));
        wait_until_ready(admin);
        let _callers: Vec<_> = (0..case.callers)
            .map(|_| start_idle_caller(entry, case.sent))
            .collect();
        for _ in 0..case.signals {
            daemon.terminate();
        }
        let started = Instant::now();
        let (status, log) = daemon.wait(EXIT_TIMEOUT);
        let elapsed = started.elapsed();
        assert_eq!(status.code(), Some(0), "{}: {log}", case.name);
        assert!(elapsed < IDLE_EXIT_TIMEOUT, "{}: {elapsed:?}", case.name);
    }
}

/// Opens a connection that stays open; if a request is sent, waits for the start
/// of its response.
fn start_idle_caller(entry: SocketAddr, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.write_all(sent).expect("the request is sent");
    if !sent.is_empty() {
        let mut status_line = [0; 12];
        stream
            .read_exact(&mut status_line)
            .expect("a response begins");
        assert_eq!(&status_line, b"HTTP/1.1 200");
    }
    stream
}
