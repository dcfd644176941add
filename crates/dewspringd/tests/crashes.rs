//! Requests that crash each server which begins to run them.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::{CallResponse, ChatCall, FleetPlan, TestFleet, send};
use oxhttp::model::{Body, Request};
use serde_json::json;
use standins::process::RunningProcess;

/// Text in a prompt that crashes the engine.
const DEADLY_TEXT: &str = "plum-colored";

/// Crashes after which the fleet has [`STABLE_WINDOW`] to learn of the cause.
const COUNTED_CRASHES: usize = 5;

/// The same, for crashes by one request.
const COUNTED_REQUEST_CRASHES: usize = 3;

/// `stable-window-ms` of the users' platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Crashes that are permitted after that.
const ALLOWED_CRASHES: usize = 3;

/// Share of the sound requests that must be served.
const SOUND_SHARE: f64 = 0.5;

/// Time after which a crashed server is started again.
const RESTART_TIME: Duration = Duration::from_millis(1200);

/// Time for which requests that crash servers are sent.
const LENGTH: Duration = Duration::from_secs(10);

fn fleet(engines: usize) -> TestFleet {
    TestFleet::start(FleetPlan {
        daemons: 2,
        engines,
        services: 1,
        engine_flags: vec![
            "--token-interval-ms=5".into(),
            format!("--crash-on={DEADLY_TEXT}"),
        ],
        ..FleetPlan::default()
    })
}

/// Sends a prompt whose start is that of many others.
fn send_chat(entry: SocketAddr, start: &str, number: usize) -> CallResponse {
    let body = json!({
        "model": "small",
        "stream": true,
        "max_tokens": 4,
        "messages": [
            {"role": "system", "content": start},
            {"role": "user", "content": format!("Question {number}")},
        ],
    });
    let request = Request::post(format!("http://{entry}/v1/chat/completions"))
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()));
    send(request.expect("a valid request")).expect("the entry responds")
}

/// Starts crashed servers again after some time, and counts the crashes.
struct CrashWatch {
    /// Starts a server that listens at the address of a crashed one.
    start: fn(&str, usize, &[String]) -> RunningProcess,
    flags: Vec<String>,
    down_since: BTreeMap<usize, Instant>,
    crashes: usize,
    /// From when on crashes are bounded, and how many there were before.
    bound: Option<Instant>,
    crashes_before: usize,
    /// Sound requests from one more such time on, and how many were served.
    sound: usize,
    served: usize,
}

impl CrashWatch {
    fn new(start: fn(&str, usize, &[String]) -> RunningProcess, flags: &[String]) -> Self {
        Self {
            start,
            flags: flags.to_vec(),
            down_since: BTreeMap::new(),
            crashes: 0,
            bound: None,
            crashes_before: 0,
            sound: 0,
            served: 0,
        }
    }

    /// Looks for crashes.
    fn review(&mut self, servers: &mut [RunningProcess], counted: usize) {
        for (index, server) in servers.iter_mut().enumerate() {
            match self.down_since.get(&index) {
                None if server.wait_exit(Duration::ZERO).is_some() => {
                    self.down_since.insert(index, Instant::now());
                    self.crashes += 1;
                }
                Some(since) if since.elapsed() >= RESTART_TIME => {
                    let listen = format!("--listen={}", server.address());
                    *server = (self.start)(&listen, index + 1, &self.flags);
                    self.down_since.remove(&index);
                }
                _ => {}
            }
        }
        if self.crashes >= counted && self.bound.is_none() {
            self.bound = Some(Instant::now() + STABLE_WINDOW);
        }
        let is_bounded = self.bound.is_some_and(|bound| Instant::now() >= bound);
        if !is_bounded {
            self.crashes_before = self.crashes;
        }
    }

    fn record_sound(&mut self, served: bool) {
        if self
            .bound
            .is_some_and(|bound| Instant::now() >= bound + STABLE_WINDOW)
        {
            self.sound += 1;
            self.served += usize::from(served);
        }
    }

    fn assert_bounded(&self) {
        let late = self.crashes - self.crashes_before;
        assert!(self.bound.is_some(), "{} servers crashed", self.crashes);
        assert!(
            late <= ALLOWED_CRASHES,
            "{late} servers crashed after the bound, {} in all",
            self.crashes
        );
        assert!(
            self.sound >= 10 && self.served as f64 >= self.sound as f64 * SOUND_SHARE,
            "{} of {} sound requests were served",
            self.served,
            self.sound
        );
    }
}

fn restart_engine(listen: &str, number: usize, flags: &[String]) -> RunningProcess {
    let name = format!("--name=engine-{number}");
    let mut arguments = vec![listen, "--model=small", &name];
    arguments.extend(flags.iter().map(String::as_str));
    RunningProcess::spawn("fake-engine", &arguments)
}

fn restart_service(listen: &str, number: usize, flags: &[String]) -> RunningProcess {
    let name = format!("--name=service-{number}");
    let mut arguments = vec![listen, &name];
    arguments.extend(flags.iter().map(String::as_str));
    RunningProcess::spawn("fake-service", &arguments)
}

/// Guards against a start of prompts that crashes engine after engine, because
/// the broker doesn't know what crashed the earlier ones.
#[test]
fn a_start_of_prompts_that_crashes_engines_is_blocked() {
    let mut fleet = fleet(8);
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let mut watch = CrashWatch::new(restart_engine, &fleet.plan.engine_flags);
    let began = Instant::now();
    let mut refused = None;
    for number in 0.. {
        if began.elapsed() >= LENGTH {
            break;
        }
        let entry = entries[number % entries.len()];
        let response = send_chat(entry, DEADLY_TEXT, number);
        if response.status == 503 && response.ran == "no" {
            refused = Some(response);
        }
        let sound = ChatCall::new(entry, 4).send();
        watch.review(&mut fleet.engines, COUNTED_CRASHES);
        watch.record_sound(sound.is_expected_stream(4));
        thread::sleep(Duration::from_millis(100));
    }
    watch.assert_bounded();
    let refused = refused.expect("the last requests are refused");
    // The caller learns when the block ends.
    assert!(
        refused.retry_after_ms.is_some_and(|ms| ms > 60_000),
        "{refused:?}"
    );
}

/// Guards against prompts that are blocked because their engines ended for
/// another cause.
#[test]
fn engines_that_end_for_another_cause_block_no_prompts() {
    let mut fleet = fleet(6);
    let entry = fleet.daemons[0].entry;
    let call = ChatCall::new(entry, 40);
    for engine in 0..4 {
        let running: Vec<_> = (0..6)
            .map(|_| {
                let call = call.clone();
                thread::spawn(move || call.send())
            })
            .collect();
        thread::sleep(Duration::from_millis(60));
        fleet.engines[engine].kill();
        for call in running {
            call.join().expect("the caller ends");
        }
    }
    thread::sleep(Duration::from_secs(1));
    for _ in 0..5 {
        let response = call.send();
        assert!(response.is_expected_stream(40), "{response:?}");
    }
}

/// Guards against a request that crashes service after service, because the
/// broker doesn't recognize its repetitions.
#[test]
fn a_request_that_crashes_services_is_blocked() {
    const TARGET: &str = "/archive/deadly";
    let mut fleet = TestFleet::start(FleetPlan {
        daemons: 2,
        engines: 1,
        services: 6,
        service_flags: vec![format!("--crash-on={TARGET}")],
        ..FleetPlan::default()
    });
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.entry).collect();
    let mut watch = CrashWatch::new(restart_service, &fleet.plan.service_flags);
    let post = |entry: SocketAddr, path: &str| {
        let request = Request::post(format!("http://{entry}{path}")).body(Body::from("id=1"));
        send(request.expect("a valid request")).expect("the entry responds")
    };
    let began = Instant::now();
    let mut last = None;
    for number in 0.. {
        if began.elapsed() >= LENGTH {
            break;
        }
        let entry = entries[number % entries.len()];
        last = Some(post(entry, TARGET));
        let sound = post(entry, "/archive/sound");
        watch.review(&mut fleet.services, COUNTED_REQUEST_CRASHES);
        watch.record_sound(sound.status == 200);
        thread::sleep(Duration::from_millis(100));
    }
    watch.assert_bounded();
    let last = last.expect("requests were sent");
    assert_eq!((last.status, last.ran.as_str()), (503, "no"), "{last:?}");
}
