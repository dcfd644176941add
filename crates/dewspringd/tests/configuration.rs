//! An accepted configuration is soon in force on every daemon and never
//! reverts, whatever happens to the platform and the daemons meanwhile.

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

/// Longest time from the acceptance of a revision until it is in force, and
/// from the end of what keeps a daemon or the platform from working.
const FORCE_LIMIT: Duration = Duration::from_secs(6);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a daemon reads the store again after its watch broke.
const REREAD_TIME: Duration = Duration::from_millis(600);

/// Variables that set the number of changes and the seed of a longer run.
const APPLIES_VARIABLE: &str = "CONFIGURATION_APPLIES";
const SEED_VARIABLE: &str = "CONFIGURATION_SEED";
const DEFAULT_APPLIES: u64 = 100;
const DEFAULT_SEED: u64 = 1;

/// One look at a daemon.
#[derive(Clone, Copy, Debug)]
struct StatusSight {
    at: Instant,
    boot: u64,
    revision: u64,
}

/// Looks at one daemon until it is stopped.
struct StatusWatch {
    sights: Arc<Mutex<Vec<StatusSight>>>,
    stopped: Arc<AtomicBool>,
    watcher: JoinHandle<()>,
}

impl StatusWatch {
    fn spawn(admin: SocketAddr) -> Self {
        let sights = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (kept, seen) = (Arc::clone(&sights), Arc::clone(&stopped));
        let watcher = thread::spawn(move || watch_status(admin, &kept, &seen));
        Self {
            sights,
            stopped,
            watcher,
        }
    }

    fn revision(&self) -> u64 {
        let sights = self.sights.lock().expect("the watcher lives");
        sights.last().map_or(0, |sight| sight.revision)
    }

    /// Returns when a revision was first seen in force.
    fn in_force_at(&self, revision: u64) -> Option<Instant> {
        let sights = self.sights.lock().expect("the watcher lives");
        let first = sights.partition_point(|sight| sight.revision < revision);
        sights.get(first).map(|sight| sight.at)
    }

    /// Stops and checks that no sight was behind an earlier one of its boot.
    fn stop(self) -> usize {
        self.stopped.store(true, Ordering::Relaxed);
        self.watcher.join().expect("no revision stepped back");
        let sights = self.sights.lock().expect("the watcher has ended");
        sights.len()
    }
}

fn watch_status(admin: SocketAddr, sights: &Mutex<Vec<StatusSight>>, stopped: &AtomicBool) {
    let mut last: Option<StatusSight> = None;
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
        let Some(status) = try_status(admin) else {
            continue;
        };
        let sight = StatusSight {
            at: Instant::now(),
            boot: status["boot"].as_u64().expect("a boot"),
            revision: status["revision"].as_u64().expect("a revision"),
        };
        if let Some(last) = last.filter(|last| last.boot == sight.boot) {
            assert!(last.revision <= sight.revision, "{sight:?} after {last:?}");
        }
        last = Some(sight);
        sights.lock().expect("the reader lives").push(sight);
    }
}

/// What goes wrong around one change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeFault {
    None,
    /// The platform goes down straight after the acceptance.
    Down,
    /// The platform answers slowly.
    Slow,
    /// The answer to the accepted change is lost.
    AnswerLost,
    /// The platform comes back with the state before the change.
    Restored,
    /// A daemon is frozen and resumed.
    Frozen,
}

/// A generator of fixed sequence (xorshift), so that a seed tells the run.
struct FaultDice(u64);

impl FaultDice {
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
            2 | 3 => ChangeFault::AnswerLost,
            4 => ChangeFault::Restored,
            5 => ChangeFault::Frozen,
            _ => ChangeFault::None,
        }
    }

    fn outage(&mut self) -> Duration {
        Duration::from_millis(200 + self.below(800))
    }
}

/// A fleet whose daemons are looked at all the time.
struct WatchedFleet {
    fleet: TestFleet,
    watches: Vec<StatusWatch>,
    /// Times from acceptance, or from the end of the fault, to being in force.
    times: Vec<Duration>,
}

impl WatchedFleet {
    fn start() -> Self {
        let fleet = TestFleet::start(FleetPlan {
            daemons: 3,
            engines: 1,
            ..FleetPlan::default()
        });
        wait_until("the daemons know each other", || {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| {
                let status = try_status(daemon.admin).expect("the daemon answers");
                status["peers"]
                    .as_array()
                    .is_some_and(|peers| peers.len() == 2)
            })
        });
        let daemons = fleet.daemons.iter();
        let watches = daemons
            .map(|daemon| StatusWatch::spawn(daemon.admin))
            .collect();
        Self {
            fleet,
            watches,
            times: Vec::new(),
        }
    }

    /// Accepts the next revision while something goes wrong, and waits until
    /// it is in force everywhere.
    fn change(&mut self, fault: ChangeFault, dice: &mut FaultDice) {
        match fault {
            ChangeFault::Slow => {
                let order = json!({ "mode": "slow", "delay_ms": dice.below(500) });
                self.fleet.control_platform(&order);
            }
            ChangeFault::AnswerLost => {
                self.fleet.control_platform(&json!({ "lose_answers": 1 }));
            }
            ChangeFault::Restored => {
                self.fleet.control_platform(&json!({ "snapshot": true }));
            }
            _ => (),
        }
        let is_answered = self.accept();
        assert_eq!(is_answered, fault != ChangeFault::AnswerLost);
        let mut since = Instant::now();
        match fault {
            ChangeFault::Down => {
                self.fleet.control_platform(&json!({ "mode": "down" }));
                thread::sleep(dice.outage());
            }
            ChangeFault::Restored => {
                // The change counts once a daemon has it; then it may not be
                // lost with the store.
                let revision = self.fleet.revision;
                let has_it = |watch: &StatusWatch| watch.revision() == revision;
                wait_until("a daemon has it", || self.watches.iter().any(has_it));
                self.fleet.control_platform(&json!({ "restore": true }));
                // The daemons read the older state before the next change.
                thread::sleep(REREAD_TIME);
            }
            ChangeFault::Frozen => {
                let daemon = dice.below(self.fleet.daemons.len() as u64) as usize;
                let process = &self.fleet.daemons[daemon].process;
                process.freeze();
                thread::sleep(dice.outage());
                process.resume();
                since = Instant::now();
            }
            _ => (),
        }
        self.fleet.control_platform(&json!({ "mode": "up" }));
        self.wait_in_force(since, fault);
    }

    /// Returns whether the platform answered; the change is accepted anyway.
    fn accept(&mut self) -> bool {
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

    fn wait_in_force(&mut self, since: Instant, fault: ChangeFault) {
        let revision = self.fleet.revision;
        loop {
            let found: Vec<_> = self
                .watches
                .iter()
                .map(|watch| watch.in_force_at(revision))
                .collect();
            let waited = since.elapsed();
            if let Some(all) = found.iter().copied().collect::<Option<Vec<_>>>() {
                let last = all.into_iter().max().expect("a fleet has daemons");
                self.times.push(last.saturating_duration_since(since));
                return;
            }
            let present: Vec<_> = self.watches.iter().map(StatusWatch::revision).collect();
            assert!(
                waited < FORCE_LIMIT,
                "revision {revision} after {fault:?}: {present:?} in force after {waited:?}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn stop(mut self) {
        self.times.sort();
        let count = self.times.len();
        let at = |share: usize| self.times[(count - 1) * share / 100];
        println!(
            "{count} changes in force after: p50 {:?}, p99 {:?}, max {:?}",
            at(50),
            at(99),
            self.times[count - 1]
        );
        let sights: usize = self.watches.into_iter().map(StatusWatch::stop).sum();
        println!("{sights} looks, no step back");
    }
}

fn variable(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn accepted_changes_come_into_force_and_never_revert() {
    let applies = variable(APPLIES_VARIABLE, DEFAULT_APPLIES);
    let seed = variable(SEED_VARIABLE, DEFAULT_SEED);
    println!("{APPLIES_VARIABLE}={applies} {SEED_VARIABLE}={seed}");
    let mut dice = FaultDice(seed.max(1));
    for _ in 0..8 {
        dice.below(1);
    }
    let mut watched = WatchedFleet::start();
    let first = [
        ChangeFault::Down,
        ChangeFault::Slow,
        ChangeFault::AnswerLost,
        ChangeFault::Restored,
        ChangeFault::Frozen,
    ];
    for change in 0..applies {
        let fault = match first.get(change as usize) {
            Some(&fault) => fault,
            None => dice.fault(),
        };
        let started = Instant::now();
        watched.change(fault, &mut dice);
        if fault != ChangeFault::None {
            println!("{fault:?}: {:?}", started.elapsed());
        }
    }
    watched.stop();
}

#[test]
fn a_new_daemon_follows_its_peers_while_the_platform_is_down() {
    let mut watched = WatchedFleet::start();
    let mut dice = FaultDice(DEFAULT_SEED);
    for _ in 0..3 {
        watched.change(ChangeFault::None, &mut dice);
    }
    let revision = watched.fleet.revision;
    watched.fleet.control_platform(&json!({ "mode": "down" }));
    watched.fleet.daemons[0].process.kill();

    let old = &watched.fleet.daemons[0];
    let started = Instant::now();
    let new = watched
        .fleet
        .start_daemon_at(1, old.entry, old.admin, old.peer);
    wait_until("the new daemon is ready", || is_ready_with(&new, revision));
    let took = started.elapsed();
    println!("ready through its peers after {took:?}");
    assert!(took < FORCE_LIMIT, "{took:?}");
    watched.fleet.daemons[0] = new;

    watched.fleet.control_platform(&json!({ "mode": "up" }));
    watched.change(ChangeFault::None, &mut dice);
    watched.stop();
}

/// Returns whether a daemon is ready, with no older revision in force.
fn is_ready_with(daemon: &TestDaemon, revision: u64) -> bool {
    let ready = is_ready(daemon);
    if ready {
        let status = try_status(daemon.admin).expect("the daemon answers");
        assert_eq!(status["revision"].as_u64(), Some(revision), "{status}");
    }
    ready
}

#[test]
fn a_new_daemon_serves_no_older_revision_that_the_store_came_back_with() {
    let mut watched = WatchedFleet::start();
    let mut dice = FaultDice(DEFAULT_SEED);
    watched.fleet.control_platform(&json!({ "snapshot": true }));
    for _ in 0..3 {
        watched.change(ChangeFault::None, &mut dice);
    }
    watched.fleet.control_platform(&json!({ "restore": true }));
    let revision = watched.fleet.revision;
    for _ in 0..3 {
        watched.fleet.daemons[0].process.kill();
        let old = &watched.fleet.daemons[0];
        let new = watched
            .fleet
            .start_daemon_at(1, old.entry, old.admin, old.peer);
        wait_until("the new daemon is ready", || is_ready_with(&new, revision));
        watched.fleet.daemons[0] = new;
    }
    watched.stop();
}

/// Directory of one operator's tables, removed at the end.
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
        // A directory that is left behind fails no test.
        let _ = fs::remove_dir_all(&self.0);
    }
}

const SUCCESS: i32 = 0;
const CONFLICT: i32 = 4;

/// Runs `dewctl` and returns its exit status and what it printed as JSON.
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
fn of_racing_operators_one_wins_and_no_change_is_lost() {
    const OPERATORS: usize = 4;
    const ROUNDS: usize = 4;
    let watched = WatchedFleet::start();
    let fleet = &watched.fleet;
    let dirs: Vec<_> = (0..OPERATORS)
        .map(|index| OperatorDir::create(&format!("operator-{index}"), &fleet.plan.routes))
        .collect();
    let mut accepted = Vec::new();
    for round in 0..ROUNDS {
        let revision = fleet.revision + round as u64;
        let results: Vec<_> = thread::scope(|scope| {
            let racers: Vec<_> = dirs
                .iter()
                .enumerate()
                .map(|(index, dir)| {
                    let slots = format!("slots = {}", 10 + OPERATORS * round + index);
                    let pools = fleet.pools_toml().replace("slots = 8", &slots);
                    fs::write(dir.0.join("pools.toml"), pools).expect("a file");
                    scope.spawn(move || apply(fleet, index, round, dir, revision))
                })
                .collect();
            let results = racers.into_iter().map(|racer| racer.join());
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
        let mut watches = watched.watches.iter();
        watches.all(|watch| watch.revision() == last)
    });
    let (status, history) = dewctl(fleet, "reader", &["history"]);
    assert_eq!(status, SUCCESS, "{history}");
    let text = history.to_string();
    for change in &accepted {
        assert!(text.contains(change.as_str()), "{change} is not in {text}");
    }
    for watch in watched.watches {
        watch.stop();
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
