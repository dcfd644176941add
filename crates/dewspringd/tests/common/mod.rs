//! A small fleet of real processes for the tests: platform, engines, services
//! and daemons, all on loopback and all ended when the fleet is dropped.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test program uses a part of the module"
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
use standins::process::{JsonResponse, RunningProcess, free_address, post_json, send_json};

pub const SECRET: &str = "the-secret-of-the-test-fleet";
pub const FLEET: &str = "test";
const READY_LIMIT: Duration = Duration::from_secs(10);

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What a fleet consists of.
pub struct FleetPlan {
    /// Number of daemons, named `vm-1` and so on.
    pub daemons: usize,
    /// Number of fake engines, named `engine-1` and so on.
    pub engines: usize,
    /// Number of fake services, named `service-1` and so on.
    pub services: usize,
    /// Flags of each engine besides its address.
    pub engine_flags: Vec<String>,
    /// Flags of each service besides its address.
    pub service_flags: Vec<String>,
    /// Flags of each daemon besides its addresses.
    pub daemon_flags: Vec<String>,
    /// Variables of each daemon besides its secret.
    pub daemon_environment: Vec<(String, String)>,
    /// Text of the routes table.
    pub routes: String,
    /// Keys of the engine pool besides its servers.
    pub engine_pool: String,
    /// Keys of the service pool besides its servers.
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

/// Routes of a model with two classes, and of a service with two paths.
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

/// One running daemon with its addresses.
pub struct TestDaemon {
    pub process: RunningProcess,
    pub entry: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
}

/// A running fleet.
pub struct TestFleet {
    pub plan: FleetPlan,
    pub platform: RunningProcess,
    pub engines: Vec<RunningProcess>,
    pub services: Vec<RunningProcess>,
    pub daemons: Vec<TestDaemon>,
    pub revision: u64,
}

impl TestFleet {
    /// Starts everything and waits until all daemons are ready.
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

    /// Starts a daemon with the fleet's settings.
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

    /// Puts the present servers into the tables and accepts them as the next
    /// revision.
    pub fn apply_tables(&mut self) {
        let pools = self.pools_text();
        self.apply_text(&pools);
    }

    /// Accepts a pools table as the next revision, whatever the store holds.
    pub fn apply_text(&mut self, pools: &str) {
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

    /// Returns the pools table of the present servers.
    pub fn pools_text(&self) -> String {
        let mut text = String::new();
        let engines = server_rows("engine", &self.engines, 8);
        let services = server_rows("service", &self.services, 16);
        write!(
            text,
            "[[pool]]\nname = \"engines\"\nkind = \"engine\"\nmodel = \"small\"\n{}{engines}\n\
             [[pool]]\nname = \"services\"\nkind = \"service\"\n{}{services}\n",
            self.plan.engine_pool, self.plan.service_pool
        )
        .expect("writing to a string can't fail");
        text
    }

    /// Puts the daemons into the platform's list of VMs.
    pub fn publish_vms(&self) {
        self.publish_vms_with(&[]);
    }

    /// Puts the daemons and further entries into the platform's list of VMs.
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

    /// Tells the fake platform to behave differently.
    pub fn control_platform(&self, order: &Value) {
        let answer = post_json(self.platform.address(), "/control", order);
        assert_eq!(answer.expect("the platform answers").status, 200);
    }

    /// Returns how often each request ran, over all servers.
    pub fn executions(&self) -> Vec<(String, u64)> {
        let servers = self.engines.iter().chain(&self.services);
        servers
            .flat_map(|server| executions_of(server.address()))
            .collect()
    }

    /// Returns how often a request ran, over all servers.
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

fn server_rows(name: &str, servers: &[RunningProcess], slots: u32) -> String {
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

/// Returns the key of the fleet's document in the platform's store.
pub fn config_key() -> String {
    format!("/dewspring/{FLEET}/config")
}

/// Sets a key of the fake platform by the gateway's protocol.
pub fn put_key(platform: SocketAddr, key: &str, value: &[u8]) {
    let answer = try_put_key(platform, key, value).expect("the platform answers");
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

/// Sets a key of a platform that may lose its answer.
pub fn try_put_key(platform: SocketAddr, key: &str, value: &[u8]) -> std::io::Result<JsonResponse> {
    post_json(platform, "/v3/kv/txn", &put_request(key, value))
}

/// Returns the gateway's message that sets a key, whatever it holds.
pub fn put_request(key: &str, value: &[u8]) -> Value {
    let put = json!({ "key": to_base64(key.as_bytes()), "value": to_base64(value) });
    json!({
        "compare": [],
        "success": [{ "request_put": put }],
        "failure": [],
    })
}

fn to_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            group.get(1).copied().unwrap_or(0),
            group.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place <= group.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(LETTERS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn executions_of(server: SocketAddr) -> Vec<(String, u64)> {
    let Ok(answer) = standins::process::get_json(server, "/executions") else {
        return Vec::new();
    };
    let Some(counts) = answer.body["executions"].as_object() else {
        return Vec::new();
    };
    counts
        .iter()
        .map(|(id, count)| (id.clone(), count.as_u64().unwrap_or(0)))
        .collect()
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < READY_LIMIT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn is_ready(daemon: &TestDaemon) -> bool {
    standins::process::get_json(daemon.admin, "/readyz").is_ok_and(|answer| answer.status == 200)
}

/// Reads a document of a daemon's admin address with the fleet's secret.
pub fn admin_json(daemon: &TestDaemon, path: &str) -> JsonResponse {
    let token = format!("Bearer {SECRET}");
    send_json(
        oxhttp::model::Method::GET,
        daemon.admin,
        path,
        &[("authorization", &token)],
        None,
    )
    .expect("the daemon answers")
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(path).expect("the process lives");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kibibytes: u64 = kibibytes
        .and_then(|number| number.trim().parse().ok())
        .expect("the system tells the resident memory");
    kibibytes * 1024
}

/// A caller's chat request.
#[derive(Clone)]
pub struct ChatCall {
    pub entry: SocketAddr,
    pub label: Option<&'static str>,
    pub workspace: &'static str,
    pub tokens: usize,
    pub stream: bool,
}

/// What a caller got.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub request: String,
    pub ran: String,
    pub server: String,
    pub retry_after: Option<String>,
    pub retry_after_ms: Option<u64>,
    /// The body, or what broke it off.
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

    /// Sends the request and reads the whole answer.
    pub fn send(&self) -> CallAnswer {
        self.try_send().expect("the entry answers")
    }

    /// Sends the request; `None` if the entry takes no connection.
    ///
    /// # Panics
    ///
    /// Panics if the entry takes the request and gives no answer.
    pub fn try_send(&self) -> Option<CallAnswer> {
        match send(self.request()) {
            Ok(answer) => Some(answer),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => None,
            Err(error) => panic!("the entry gives no answer: {error}"),
        }
    }

    /// Returns the request that the caller sends.
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

/// Sends any request and reads the whole answer.
pub fn send(request: Request<Body>) -> std::io::Result<CallAnswer> {
    let started = Instant::now();
    let client = Client::new().with_global_timeout(CALL_TIMEOUT);
    let response: Response<Body> = client.request(request)?;
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(String::from)
    };
    let status = response.status().as_u16();
    let request = header("x-request-id").unwrap_or_default();
    let ran = header("x-dewspring-ran").unwrap_or_default();
    let server = header("x-dewspring-server").unwrap_or_default();
    let retry_after = header("retry-after");
    let retry_after_ms = header("retry-after-ms").and_then(|text| text.parse().ok());
    let body = response
        .into_body()
        .to_string()
        .map_err(|error| error.to_string());
    Ok(CallAnswer {
        status,
        request,
        ran,
        server,
        retry_after,
        retry_after_ms,
        body,
        elapsed: started.elapsed(),
    })
}

impl CallAnswer {
    /// Returns the text of a streamed answer, put together from its events.
    pub fn stream_text(&self) -> String {
        let body = self.body.as_ref().expect("the answer is whole");
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

    /// Returns whether the answer is whole and belongs to this request.
    pub fn is_own_stream(&self, tokens: usize) -> bool {
        let Ok(body) = &self.body else {
            return false;
        };
        let expected: String = (0..tokens)
            .map(|token| format!("{}:{token} ", self.request))
            .collect();
        body.ends_with("data: [DONE]\n\n") && self.stream_text() == expected
    }
}
