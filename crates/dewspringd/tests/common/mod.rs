//! A test fleet of real processes on loopback: platform, engines, services and
//! daemons. Dropping the fleet ends the processes.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test binary uses only part of the module"
)]

pub mod callers;

use std::fmt::Write;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde_json::{Value, json};
use standins::ports::free_address;
use standins::process::{JsonResponse, RunningProcess, post_json, send_json};

pub const SECRET: &str = "the-secret-of-the-test-fleet";
pub const FLEET: &str = "test";
/// Longest time for which [`wait_until`] polls its condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Processes and tables of a test fleet.
pub struct FleetPlan {
    /// Number of daemons, named `vm-1` and so on.
    pub daemons: usize,
    /// Number of fake engines, named `engine-1` and so on.
    pub engines: usize,
    /// Number of fake services, named `service-1` and so on.
    pub services: usize,
    /// Flags of each engine besides its address, model and name.
    pub engine_flags: Vec<String>,
    /// Flags of each service besides its address and name.
    pub service_flags: Vec<String>,
    /// Flags of each daemon besides those that [`TestFleet::start_daemon_at`] sets.
    pub daemon_flags: Vec<String>,
    /// Environment variables of each daemon besides its secret.
    pub daemon_environment: Vec<(String, String)>,
    /// Routes table in TOML.
    pub routes: String,
    /// Keys of the engine pool besides name, kind, model and servers, in TOML.
    pub engine_pool: String,
    /// Keys of the service pool besides name, kind and servers, in TOML.
    pub service_pool: String,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            daemons: 2,
            engines: 2,
            services: 1,
            engine_flags: vec!["--token-interval-ms=5".into()],
            service_flags: Vec::new(),
            daemon_flags: Vec::new(),
            daemon_environment: Vec::new(),
            routes: DEFAULT_ROUTES.into(),
            engine_pool: "can_resume = true\nrefusal_means_not_run = true\n".into(),
            service_pool: String::new(),
        }
    }
}

/// Routes for two classes of one model and two paths of a service.
pub const DEFAULT_ROUTES: &str = r#"
[[route]]
name = "high"
path = "/v1/chat/completions"
model = "small"
label = "high"
pool = "engines"
tier = 0
target = "20s"
timeout = "60s"

[[route]]
name = "low"
path = "/v1/chat/completions"
model = "small"
pool = "engines"
tier = 4
target = "20s"
timeout = "60s"

[[route]]
name = "payment"
path = "/payment/"
pool = "services"
tier = 0
target = "5s"
timeout = "10s"
idempotent = false

[[route]]
name = "archive"
path = "/archive/"
pool = "services"
tier = 3
target = "5s"
timeout = "10s"
idempotent = true
"#;

/// A running daemon and its addresses.
pub struct TestDaemon {
    pub process: RunningProcess,
    pub entry: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
}

/// A running fleet of test processes.
pub struct TestFleet {
    pub plan: FleetPlan,
    pub platform: RunningProcess,
    pub engines: Vec<RunningProcess>,
    pub services: Vec<RunningProcess>,
    pub daemons: Vec<TestDaemon>,
    /// Last revision written to the store.
    pub revision: u64,
}

impl TestFleet {
    /// Starts all processes and waits until the daemons are ready.
    pub fn start(plan: FleetPlan) -> Self {
        let platform = RunningProcess::spawn("fake-platform", &["--listen=127.0.0.1:0"]);
        let engines = (1..=plan.engines)
            .map(|number| start_engine(number, &plan.engine_flags))
            .collect();
        let services = (1..=plan.services)
            .map(|number| start_service(number, &plan.service_flags))
            .collect();
        let mut fleet = Self {
            plan,
            platform,
            engines,
            services,
            daemons: Vec::new(),
            revision: 0,
        };
        fleet.apply_tables();
        for number in 1..=fleet.plan.daemons {
            let daemon = fleet.start_daemon(number);
            fleet.daemons.push(daemon);
        }
        fleet.publish_vms();
        for daemon in &fleet.daemons {
            wait_until("a daemon is ready", || is_ready(daemon));
        }
        fleet
    }

    /// Starts a daemon at free addresses.
    pub fn start_daemon(&self, number: usize) -> TestDaemon {
        let [entry, admin, peer] = [(); 3].map(|()| free_address());
        self.start_daemon_at(number, entry, admin, peer)
    }

    /// Starts a daemon at given addresses.
    pub fn start_daemon_at(
        &self,
        number: usize,
        entry: SocketAddr,
        admin: SocketAddr,
        peer: SocketAddr,
    ) -> TestDaemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewspringd"));
        command
            .arg(format!("--vm=vm-{number}"))
            .arg("--data-centre=dk-east-1")
            .arg(format!("--fleet={FLEET}"))
            .arg(format!("--platform={}", self.platform.address()))
            .arg(format!("--listen={entry}"))
            .arg(format!("--admin-listen={admin}"))
            .arg(format!("--peer-listen={peer}"))
            .arg("--log-level=warn")
            .args(&self.plan.daemon_flags)
            .envs(self.plan.daemon_environment.iter().cloned())
            .env("DEWSPRING_SECRET", SECRET);
        TestDaemon {
            process: RunningProcess::spawn_command(&mut command),
            entry,
            admin,
            peer,
        }
    }

    /// Writes the tables of the running servers to the store as the next
    /// revision.
    pub fn apply_tables(&mut self) {
        let pools = self.pools_toml();
        self.apply_pools(&pools);
    }

    /// Writes a pools table to the store as the next revision, without a
    /// comparison with the stored one.
    pub fn apply_pools(&mut self, pools: &str) {
        self.revision += 1;
        let document = json!({
            "revision": self.revision,
            "change_id": format!("change-{}", self.revision),
            "operator": "test",
            "applied_at": 0,
            "routes": self.plan.routes,
            "pools": pools,
            "history": [],
        });
        put_key(
            self.platform.address(),
            &config_key(),
            document.to_string().as_bytes(),
        );
    }

    /// Returns the pools table of the running servers in TOML.
    pub fn pools_toml(&self) -> String {
        let mut text = String::new();
        let engines = servers_toml("engine", &self.engines, 8);
        let services = servers_toml("service", &self.services, 16);
        write!(
            text,
            "[[pool]]\nname = \"engines\"\nkind = \"engine\"\nmodel = \"small\"\n{}{engines}\n\
             [[pool]]\nname = \"services\"\nkind = \"service\"\n{}{services}\n",
            self.plan.engine_pool, self.plan.service_pool
        )
        .expect("writing to a string can't fail");
        text
    }

    /// Sets the platform's list of VMs to the daemons.
    pub fn publish_vms(&self) {
        self.publish_vms_with(&[]);
    }

    /// Sets the platform's list of VMs to the daemons and other VMs.
    pub fn publish_vms_with(&self, others: &[Value]) {
        let daemons = self.daemons.iter().enumerate().map(|(index, daemon)| {
            json!({
                "vm": format!("vm-{}", index + 1),
                "address": daemon.peer.to_string(),
                "data_centre": "dk-east-1",
                "state": "live",
            })
        });
        let vms: Vec<Value> = daemons.chain(others.iter().cloned()).collect();
        self.control_platform(&json!({ "vms": vms }));
    }

    /// Sends a control command to the fake platform.
    pub fn control_platform(&self, command: &Value) {
        let response = post_json(self.platform.address(), "/control", command);
        assert_eq!(response.expect("the platform responds").status, 200);
    }

    /// Returns the execution count of each request at each server.
    pub fn executions(&self) -> Vec<(String, u64)> {
        let servers = self.engines.iter().chain(&self.services);
        servers
            .flat_map(|server| executions_of(server.address()))
            .collect()
    }

    /// Returns the execution count of a request, summed over all servers.
    pub fn executions_of(&self, request: &str) -> u64 {
        self.executions()
            .iter()
            .filter(|(id, _)| id == request)
            .map(|(_, count)| count)
            .sum()
    }
}

pub fn start_engine(number: usize, flags: &[String]) -> RunningProcess {
    let name = format!("--name=engine-{number}");
    let mut arguments = vec!["--listen=127.0.0.1:0", "--model=small", &name];
    arguments.extend(flags.iter().map(String::as_str));
    RunningProcess::spawn("fake-engine", &arguments)
}

pub fn start_service(number: usize, flags: &[String]) -> RunningProcess {
    let name = format!("--name=service-{number}");
    let mut arguments = vec!["--listen=127.0.0.1:0", &name];
    arguments.extend(flags.iter().map(String::as_str));
    RunningProcess::spawn("fake-service", &arguments)
}

fn servers_toml(name: &str, servers: &[RunningProcess], slots: u32) -> String {
    let mut text = "server = [\n".to_string();
    for (index, server) in servers.iter().enumerate() {
        let number = index + 1;
        let address = server.address();
        writeln!(
            text,
            "  {{ name = \"{name}-{number}\", address = \"{address}\", \
             data_centre = \"dk-east-1\", slots = {slots} }},"
        )
        .expect("writing to a string can't fail");
    }
    text.push_str("]\n");
    text
}

/// Returns the key of the configuration document in the platform's store.
pub fn config_key() -> String {
    format!("/dewspring/{FLEET}/config")
}

/// Sets a key of the fake platform over the store's JSON gateway.
pub fn put_key(platform: SocketAddr, key: &str, value: &[u8]) {
    let response = try_put_key(platform, key, value).expect("the platform responds");
    assert_eq!(response.status, 200, "{:?}", response.body);
}

/// Sets a key of a platform whose response may be lost.
///
/// # Errors
///
/// Fails if no complete response arrives; the key may have been set anyway.
pub fn try_put_key(platform: SocketAddr, key: &str, value: &[u8]) -> std::io::Result<JsonResponse> {
    post_json(platform, "/v3/kv/txn", &put_request(key, value))
}

/// Returns the gateway transaction that sets a key unconditionally.
pub fn put_request(key: &str, value: &[u8]) -> Value {
    let put = json!({ "key": to_base64(key.as_bytes()), "value": to_base64(value) });
    json!({
        "compare": [],
        "success": [{ "request_put": put }],
        "failure": [],
    })
}

fn to_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            group.get(1).copied().unwrap_or(0),
            group.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for position in 0..4 {
            if position <= group.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn executions_of(server: SocketAddr) -> Vec<(String, u64)> {
    let Ok(response) = standins::process::get_json(server, "/executions") else {
        return Vec::new();
    };
    let Some(counts) = response.body["executions"].as_object() else {
        return Vec::new();
    };
    counts
        .iter()
        .map(|(id, count)| (id.clone(), count.as_u64().unwrap_or(0)))
        .collect()
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if it doesn't hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn is_ready(daemon: &TestDaemon) -> bool {
    standins::process::get_json(daemon.admin, "/readyz")
        .is_ok_and(|response| response.status == 200)
}

/// Gets a JSON document from a daemon's admin address, authorized by the
/// fleet's secret.
pub fn admin_json(daemon: &TestDaemon, path: &str) -> JsonResponse {
    let token = format!("Bearer {SECRET}");
    send_json(
        oxhttp::model::Method::GET,
        daemon.admin,
        path,
        &[("authorization", &token)],
        None,
    )
    .expect("the daemon responds")
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(path).expect("the process is running");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kibibytes: u64 = kibibytes
        .and_then(|number| number.trim().parse().ok())
        .expect("the process status has a VmRSS line");
    kibibytes * 1024
}

/// Parameters of a chat request.
#[derive(Clone)]
pub struct ChatCall {
    pub entry: SocketAddr,
    pub label: Option<&'static str>,
    pub workspace: &'static str,
    /// Number of tokens that the fake engine generates.
    pub tokens: usize,
    pub stream: bool,
}

/// A response as its caller received it.
#[derive(Debug)]
pub struct CallResponse {
    pub status: u16,
    /// The `x-request-id` header.
    pub request_id: String,
    /// The `x-dewspring-ran` header: `yes`, `no` or `unknown`.
    pub ran: String,
    /// The `x-dewspring-server` header.
    pub server: String,
    pub retry_after: Option<String>,
    pub retry_after_ms: Option<u64>,
    /// Complete body, or the error that cut it off.
    pub body: Result<String, String>,
    pub elapsed: Duration,
}

impl ChatCall {
    pub fn new(entry: SocketAddr, tokens: usize) -> Self {
        Self {
            entry,
            label: None,
            workspace: "desk",
            tokens,
            stream: true,
        }
    }

    /// Sends the request and reads the whole response.
    ///
    /// # Panics
    ///
    /// Panics if the entry gives no response.
    pub fn send(&self) -> CallResponse {
        self.try_send().expect("the entry responds")
    }

    /// Sends the request, or returns `None` if the entry refuses the connection.
    ///
    /// # Panics
    ///
    /// Panics if the entry accepts the connection and gives no response.
    pub fn try_send(&self) -> Option<CallResponse> {
        match send(self.request()) {
            Ok(response) => Some(response),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => None,
            Err(error) => panic!("the entry gives no response: {error}"),
        }
    }

    /// Builds the HTTP request.
    pub fn request(&self) -> Request<Body> {
        let body = json!({
            "model": "small",
            "stream": self.stream,
            "messages": [{ "role": "user", "content": "What is the day rate?" }],
        });
        let mut builder = Request::post(format!("http://{}/v1/chat/completions", self.entry))
            .header("content-type", "application/json")
            .header("x-workspace", self.workspace)
            .header("x-answer-tokens", self.tokens.to_string());
        if let Some(label) = self.label {
            builder = builder.header("x-request-class", label);
        }
        builder
            .body(Body::from(body.to_string()))
            .expect("a valid request")
    }
}

/// Sends an HTTP request and reads the whole response.
pub fn send(request: Request<Body>) -> std::io::Result<CallResponse> {
    let started = Instant::now();
    let client = Client::new().with_global_timeout(REQUEST_TIMEOUT);
    let response: Response<Body> = client.request(request)?;
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(String::from)
    };
    let status = response.status().as_u16();
    let request_id = header("x-request-id").unwrap_or_default();
    let ran = header("x-dewspring-ran").unwrap_or_default();
    let server = header("x-dewspring-server").unwrap_or_default();
    let retry_after = header("retry-after");
    let retry_after_ms = header("retry-after-ms").and_then(|text| text.parse().ok());
    let body = response
        .into_body()
        .to_string()
        .map_err(|error| error.to_string());
    Ok(CallResponse {
        status,
        request_id,
        ran,
        server,
        retry_after,
        retry_after_ms,
        body,
        elapsed: started.elapsed(),
    })
}

impl CallResponse {
    /// Concatenates the text of a streamed response's events.
    pub fn stream_text(&self) -> String {
        let body = self.body.as_ref().expect("the response is complete");
        let events = body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "));
        events
            .filter_map(|event| serde_json::from_str::<Value>(event).ok())
            .filter_map(|event| {
                let content = &event["choices"][0]["delta"]["content"];
                content.as_str().map(String::from)
            })
            .collect()
    }

    /// Returns whether the response is the complete stream of this request.
    ///
    /// The fake engines put the request's id into every token, so the stream of
    /// another request is detected too.
    pub fn is_expected_stream(&self, tokens: usize) -> bool {
        let Ok(body) = &self.body else {
            return false;
        };
        let expected: String = (0..tokens)
            .map(|token| format!("{}:{token} ", self.request_id))
            .collect();
        body.ends_with("data: [DONE]\n\n") && self.stream_text() == expected
    }
}
