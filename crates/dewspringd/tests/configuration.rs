//! An accepted configuration takes effect on every daemon within a bound and
//! never reverts, despite faults of the platform and the daemons.

mod common;

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::callers::try_status;
use common::{FLEET, FleetPlan, SECRET, TestDaemon, TestFleet, is_ready, try_put_key, wait_until};
use serde_json::{Value, json};
use standins::process::program_path;

/// Longest time until a revision is in force on every daemon, from its
/// acceptance or from the end of a daemon's freeze.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(6);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a daemon reads the store again after its watch has failed.
const REREAD_DELAY: Duration = Duration::from_millis(600);

/// Environment variables for the number of changes and the seed of a run.
const CHANGES_VARIABLE: &str = "CONFIGURATION_APPLIES";
const SEED_VARIABLE: &str = "CONFIGURATION_SEED";
const DEFAULT_CHANGES: u64 = 100;
const DEFAULT_SEED: u64 = 1;

/// Boot and revision in a daemon's status, with the time of the response.
#[derive(Clone, Copy, Debug)]
struct StatusSample {
    at: Instant,
    boot: u64,
    revision: u64,
}

/// Polls the status of one daemon until it is stopped.
struct StatusPoller {
    samples: Arc<Mutex<Vec<StatusSample>>>,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl StatusPoller {
    fn spawn(admin: SocketAddr) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared_samples, poller_stopped) = (Arc::clone(&samples), Arc::clone(&stopped));
        let thread = thread::spawn(move || poll_status(admin, &shared_samples, &poller_stopped));
        Self {
            samples,
            stopped,
            thread,
        }
    }

    fn revision(&self) -> u64 {
        let samples = self.samples.lock().expect("the poller doesn't panic");
        samples.last().map_or(0, |sample| sample.revision)
    }

    /// Returns when a revision was first seen in force.
    fn first_seen_at(&self, revision: u64) -> Option<Instant> {
        let samples = self.samples.lock().expect("the poller doesn't panic");
        let first = samples.partition_point(|sample| sample.revision < revision);
        samples.get(first).map(|sample| sample.at)
    }

    /// Stops polling and returns the number of samples.
    ///
    /// # Panics
    ///
    /// Panics if the revision decreased between two samples of the same boot.
    fn stop(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("no revision decreased");
        let samples = self.samples.lock().expect("the poller has ended");
        samples.len()
    }
}

fn poll_status(admin: SocketAddr, samples: &Mutex<Vec<StatusSample>>, stopped: &AtomicBool) {
    let mut last: Option<StatusSample> = None;
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
        let Some(status) = try_status(admin) else {
            continue;
        };
        let sample = StatusSample {
            at: Instant::now(),
            boot: status["boot"].as_u64().expect("a boot"),
            revision: status["revision"].as_u64().expect("a revision"),
        };
        if let Some(last) = last.filter(|last| last.boot == sample.boot) {
            assert!(
                last.revision <= sample.revision,
                "{sample:?} after {last:?}"
            );
        }
        last = Some(sample);
        samples
            .lock()
            .expect("the reader doesn't panic")
            .push(sample);
    }
}

/// Fault during one change of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeFault {
    None,
    /// The platform goes down right after the acceptance.
    Down,
    /// The platform responds slowly.
    Slow,
    /// The response to the accepted change is lost.
    ResponseLost,
    /// The platform is restored to its state before the change.
    Restored,
    /// A daemon is frozen and resumed.
    Frozen,
}

/// A xorshift generator, which makes a run reproducible from its seed.
struct FaultGenerator(u64);

impl FaultGenerator {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    fn fault(&mut self) -> ChangeFault {
        match self.below(40) {
            0 => ChangeFault::Down,
            1 => ChangeFault::Slow,
            2 | 3 => ChangeFault::ResponseLost,
            4 => ChangeFault::Restored,
            5 => ChangeFault::Frozen,
            _ => ChangeFault::None,
        }
    }

    fn fault_duration(&mut self) -> Duration {
        Duration::from_millis(200 + self.below(800))
    }
}

/// A fleet whose daemons are polled continuously.
struct PolledFleet {
    fleet: TestFleet,
    pollers: Vec<StatusPoller>,
    /// Times until each change was in force, from its acceptance or from the end
    /// of a daemon's freeze.
    delays: Vec<Duration>,
}

impl PolledFleet {
    fn start() -> Self {
        let fleet = TestFleet::start(FleetPlan {
            daemons: 3,
            engines: 1,
            ..FleetPlan::default()
        });
        wait_until("every daemon lists its peers", || {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| {
                let status = try_status(daemon.admin).expect("the daemon responds");
                status["peers"]
                    .as_array()
                    .is_some_and(|peers| peers.len() == 2)
            })
        });
        let daemons = fleet.daemons.iter();
        let pollers = daemons
            .map(|daemon| StatusPoller::spawn(daemon.admin))
            .collect();
        Self {
            fleet,
            pollers,
            delays: Vec::new(),
        }
    }

    /// Writes the next revision to the store under a fault and waits until it is
    /// in force on all daemons.
    fn change(&mut self, fault: ChangeFault, generator: &mut FaultGenerator) {
        match fault {
            ChangeFault::Slow => {
                let command = json!({ "mode": "slow", "delay_ms": generator.below(500) });
                self.fleet.control_platform(&command);
            }
            ChangeFault::ResponseLost => {
                self.fleet.control_platform(&json!({ "lose_answers": 1 }));
            }
            ChangeFault::Restored => {
                self.fleet.control_platform(&json!({ "snapshot": true }));
            }
            _ => (),
        }
        let is_acknowledged = self.write_next_revision();
        assert_eq!(is_acknowledged, fault != ChangeFault::ResponseLost);
        let mut since = Instant::now();
        match fault {
            ChangeFault::Down => {
                self.fleet.control_platform(&json!({ "mode": "down" }));
                thread::sleep(generator.fault_duration());
            }
            ChangeFault::Restored => {
                // A change that a daemon has applied must survive the loss of
                // the store's data.
                let revision = self.fleet.revision;
                let is_applied = |poller: &StatusPoller| poller.revision() == revision;
                wait_until("a daemon has applied the change", || {
                    self.pollers.iter().any(is_applied)
                });
                self.fleet.control_platform(&json!({ "restore": true }));
                // The daemons read the older state before the next change.
                thread::sleep(REREAD_DELAY);
            }
            ChangeFault::Frozen => {
                let daemon = generator.below(self.fleet.daemons.len() as u64) as usize;
                let process = &self.fleet.daemons[daemon].process;
                process.freeze();
                thread::sleep(generator.fault_duration());
                process.resume();
                since = Instant::now();
            }
            _ => (),
        }
        self.fleet.control_platform(&json!({ "mode": "up" }));
        self.wait_until_in_force(since, fault);
    }

    /// Writes the next revision to the store, and returns whether the platform
    /// responded; a lost response doesn't undo the change.
    fn write_next_revision(&mut self) -> bool {
        self.fleet.revision += 1;
        let revision = self.fleet.revision;
        let document = json!({
            "revision": revision,
            "change_id": format!("change-{revision}"),
            "operator": "test",
            "applied_at": 0,
            "routes": self.fleet.plan.routes,
            "pools": self.fleet.pools_toml(),
            "history": [],
        });
        let key = format!("/dewspring/{FLEET}/config");
        let platform = self.fleet.platform.address();
        try_put_key(platform, &key, document.to_string().as_bytes()).is_ok()
    }

    fn wait_until_in_force(&mut self, since: Instant, fault: ChangeFault) {
        let revision = self.fleet.revision;
        loop {
            let first_seen: Vec<_> = self
                .pollers
                .iter()
                .map(|poller| poller.first_seen_at(revision))
                .collect();
            let elapsed = since.elapsed();
            if let Some(all) = first_seen.iter().copied().collect::<Option<Vec<_>>>() {
                let last = all.into_iter().max().expect("a fleet has daemons");
                self.delays.push(last.saturating_duration_since(since));
                return;
            }
            let current: Vec<_> = self.pollers.iter().map(StatusPoller::revision).collect();
            assert!(
                elapsed < MAX_PROPAGATION_TIME,
                "revision {revision} after {fault:?}: {current:?} in force after {elapsed:?}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Prints the propagation delays and checks that no revision decreased.
    fn stop(mut self) {
        self.delays.sort();
        let count = self.delays.len();
        let percentile = |percent: usize| self.delays[(count - 1) * percent / 100];
        println!(
            "{count} changes in force after: p50 {:?}, p99 {:?}, max {:?}",
            percentile(50),
            percentile(99),
            self.delays[count - 1]
        );
        let samples: usize = self.pollers.into_iter().map(StatusPoller::stop).sum();
        println!("{samples} samples, no revision decreased");
    }
}

/// Returns a whole number from an environment variable, or a default if it is
/// unset.
fn env_u64(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn accepted_changes_take_effect_and_never_revert() {
    let changes = env_u64(CHANGES_VARIABLE, DEFAULT_CHANGES);
    let seed = env_u64(SEED_VARIABLE, DEFAULT_SEED);
    println!("{CHANGES_VARIABLE}={changes} {SEED_VARIABLE}={seed}");
    let mut generator = FaultGenerator(seed.max(1));
    for _ in 0..8 {
        generator.below(1);
    }
    let mut polled = PolledFleet::start();
    let first = [
        ChangeFault::Down,
        ChangeFault::Slow,
        ChangeFault::ResponseLost,
        ChangeFault::Restored,
        ChangeFault::Frozen,
    ];
    for change in 0..changes {
        let fault = match first.get(change as usize) {
            Some(&fault) => fault,
            None => generator.fault(),
        };
        let started = Instant::now();
        polled.change(fault, &mut generator);
        if fault != ChangeFault::None {
            println!("{fault:?}: {:?}", started.elapsed());
        }
    }
    polled.stop();
}

#[test]
fn a_new_daemon_loads_the_configuration_from_its_peers_during_an_outage() {
    let mut polled = PolledFleet::start();
    let mut generator = FaultGenerator(DEFAULT_SEED);
    for _ in 0..3 {
        polled.change(ChangeFault::None, &mut generator);
    }
    let revision = polled.fleet.revision;
    polled.fleet.control_platform(&json!({ "mode": "down" }));
    polled.fleet.daemons[0].process.kill();

    let old = &polled.fleet.daemons[0];
    let started = Instant::now();
    let new = polled
        .fleet
        .start_daemon_at(1, old.entry, old.admin, old.peer);
    wait_until("the new daemon is ready", || is_ready_at(&new, revision));
    let elapsed = started.elapsed();
    println!("ready through its peers after {elapsed:?}");
    assert!(elapsed < MAX_PROPAGATION_TIME, "{elapsed:?}");
    polled.fleet.daemons[0] = new;

    polled.fleet.control_platform(&json!({ "mode": "up" }));
    polled.change(ChangeFault::None, &mut generator);
    polled.stop();
}

/// Returns whether a daemon is ready.
///
/// # Panics
///
/// Panics if the daemon is ready with another revision in force.
fn is_ready_at(daemon: &TestDaemon, revision: u64) -> bool {
    let ready = is_ready(daemon);
    if ready {
        let status = try_status(daemon.admin).expect("the daemon responds");
        assert_eq!(status["revision"].as_u64(), Some(revision), "{status}");
    }
    ready
}

#[test]
fn a_new_daemon_ignores_an_older_revision_of_a_restored_store() {
    let mut polled = PolledFleet::start();
    let mut generator = FaultGenerator(DEFAULT_SEED);
    polled.fleet.control_platform(&json!({ "snapshot": true }));
    for _ in 0..3 {
        polled.change(ChangeFault::None, &mut generator);
    }
    polled.fleet.control_platform(&json!({ "restore": true }));
    let revision = polled.fleet.revision;
    for _ in 0..3 {
        polled.fleet.daemons[0].process.kill();
        let old = &polled.fleet.daemons[0];
        let new = polled
            .fleet
            .start_daemon_at(1, old.entry, old.admin, old.peer);
        wait_until("the new daemon is ready", || is_ready_at(&new, revision));
        polled.fleet.daemons[0] = new;
    }
    polled.stop();
}

/// Directory of one operator's tables, removed on drop.
struct OperatorDir(PathBuf);

impl OperatorDir {
    fn create(operator: &str, routes: &str) -> Self {
        let name = format!("dewspring-{}-{operator}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a directory");
        fs::write(path.join("routes.toml"), routes).expect("a file");
        Self(path)
    }
}

impl Drop for OperatorDir {
    fn drop(&mut self) {
        // A leftover directory doesn't affect other tests.
        let _ = fs::remove_dir_all(&self.0);
    }
}

const SUCCESS: i32 = 0;
const CONFLICT: i32 = 4;

/// Runs `dewctl` and returns its exit status and the first line of its output
/// as JSON, or null if it isn't JSON.
fn dewctl(fleet: &TestFleet, operator: &str, arguments: &[&str]) -> (i32, Value) {
    let admin: Vec<_> = fleet.daemons.iter().map(|d| d.admin.to_string()).collect();
    let output = Command::new(program_path("dewctl"))
        .arg(format!("--platform={}", fleet.platform.address()))
        .arg(format!("--admin={}", admin.join(",")))
        .arg(format!("--fleet={FLEET}"))
        .arg(format!("--operator={operator}"))
        .arg("--json")
        .args(arguments)
        .env("DEWCTL_SECRET", SECRET)
        .output()
        .expect("dewctl runs");
    let text = String::from_utf8(output.stdout).expect("text");
    let first = text.lines().next().unwrap_or_default();
    let report = serde_json::from_str(first).unwrap_or(Value::Null);
    (output.status.code().expect("an exit status"), report)
}

#[test]
fn one_of_several_concurrent_applies_succeeds_and_no_change_is_lost() {
    const OPERATORS: usize = 4;
    const ROUNDS: usize = 4;
    let polled = PolledFleet::start();
    let fleet = &polled.fleet;
    let dirs: Vec<_> = (0..OPERATORS)
        .map(|index| OperatorDir::create(&format!("operator-{index}"), &fleet.plan.routes))
        .collect();
    let mut accepted = Vec::new();
    for round in 0..ROUNDS {
        let revision = fleet.revision + round as u64;
        let results: Vec<_> = thread::scope(|scope| {
            let operators: Vec<_> = dirs
                .iter()
                .enumerate()
                .map(|(index, dir)| {
                    let slots = format!("slots = {}", 10 + OPERATORS * round + index);
                    let pools = fleet.pools_toml().replace("slots = 8", &slots);
                    fs::write(dir.0.join("pools.toml"), pools).expect("a file");
                    scope.spawn(move || apply(fleet, index, round, dir, revision))
                })
                .collect();
            let results = operators.into_iter().map(|operator| operator.join());
            results.map(|result| result.expect("dewctl runs")).collect()
        });
        let winners: Vec<_> = (0..OPERATORS)
            .filter(|&index| results[index].0 == SUCCESS)
            .collect();
        assert_eq!(winners.len(), 1, "{results:?}");
        for (index, (status, report)) in results.iter().enumerate() {
            let expected = if index == winners[0] {
                SUCCESS
            } else {
                CONFLICT
            };
            assert_eq!(*status, expected, "{report}");
        }
        accepted.push(change_id(winners[0], round));
    }

    let last = fleet.revision + ROUNDS as u64;
    wait_until("the last change is in force", || {
        let mut pollers = polled.pollers.iter();
        pollers.all(|poller| poller.revision() == last)
    });
    let (status, history) = dewctl(fleet, "reader", &["history"]);
    assert_eq!(status, SUCCESS, "{history}");
    let text = history.to_string();
    for change in &accepted {
        assert!(text.contains(change.as_str()), "{change} is not in {text}");
    }
    for poller in polled.pollers {
        poller.stop();
    }
}

fn change_id(operator: usize, round: usize) -> String {
    format!("race-{operator}-{round}")
}

fn apply(
    fleet: &TestFleet,
    operator: usize,
    round: usize,
    dir: &OperatorDir,
    revision: u64,
) -> (i32, Value) {
    let path = dir.0.to_str().expect("a plain path");
    let expect = format!("--expect={revision}");
    let change = format!("--change-id={}", change_id(operator, round));
    let name = format!("operator-{operator}");
    dewctl(fleet, &name, &["apply", path, &expect, &change])
}
