//! A part of long prompts crashes each replica that begins to write an answer on it.
//! Requests with it come through one machine after the other.

mod stage;

use stage::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const MACHINES: usize = 6;
const REPLICAS: usize = 8;

/// Parts that all prompts begin with, in number.
const SHARED_PARTS: usize = 13;

/// The part that crashes replicas, after the shared ones.
const DEADLY: &str = "bad0:60";

/// Time that a replica reads a prompt before it writes.
const PREFILL_MS: u64 = 30;

/// Time after which a replica that has crashed is back.
const BACK_MS: u64 = 2500;

/// Pause between two requests that crash replicas, and their number.
const DEADLY_PAUSE_MS: u64 = 2000;
const DEADLY_REQUESTS: usize = 20;

/// Pause between two sound requests of each machine.
const SOUND_PAUSE_MS: u64 = 300;

/// Crashes after which requests with the part count, and how many are allowed.
const COUNTED_CRASHES: usize = 5;
const ALLOWED: usize = 3;

struct Pool {
    store: Store,
    record: Record,
    crashes: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<Instant>>,
    running: Mutex<HashMap<String, Server>>,
    cut: AtomicUsize,
    started: AtomicUsize,
    stopped: AtomicBool,
}

impl Pool {
    fn start_replica(self: &Arc<Self>) {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let pool = Arc::clone(self);
        let id = format!("i-{number:04x}");
        let server = Server::start(&id, "pool", "v1", None, move |arrival| pool.run(arrival));
        server.register(&self.store, "ready");
        lock(&self.running).insert(id, server);
    }

    fn run(self: &Arc<Self>, arrival: &mut Arrival<'_>) -> bool {
        let prompt = arrival
            .request
            .field("x-prompt-prefix")
            .unwrap_or_default()
            .to_string();
        let is_deadly = prompt.contains(DEADLY);
        let attempt = arrival.attempt();
        if is_deadly {
            lock(&self.arrivals).push(Instant::now());
            self.record
                .line(&format!("{attempt} reaches {}", arrival.server.id));
        }
        sleep_ms(PREFILL_MS);
        if is_deadly && has_trouble() {
            self.crash(arrival.server, &attempt);
            return false;
        }
        let begun = arrival.begin_stream("")
            && (1..=10).all(|event| {
                sleep_ms(20);
                !arrival.server.is_down() && arrival.send_event(event, "tokens")
            });
        if arrival.server.is_down() {
            self.cut.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        begun && arrival.end_stream()
    }

    fn crash(self: &Arc<Self>, server: &Server, attempt: &str) {
        if !server.crash() {
            return;
        }
        lock(&self.crashes).push(Instant::now());
        lock(&self.running).remove(&server.id);
        self.record
            .line(&format!("{} crashes on {attempt}", server.id));
        let (pool, key) = (Arc::clone(self), format!("servers/{}", server.id));
        thread::spawn(move || {
            sleep_ms(BACK_MS);
            if !pool.stopped.load(Ordering::SeqCst) {
                pool.start_replica();
            }
            // Three heartbeats of silence.
            sleep_ms(1100);
            pool.store.remove(&key);
        });
    }
}

fn prompt(parts: &str) -> String {
    let shared: Vec<String> = (1..=SHARED_PARTS)
        .map(|part| format!("f{part:02x}:40"))
        .collect();
    let shared = shared.join(",");
    format!("X-Model: m\r\nX-Token-Counts: 700,40\r\nX-Prompt-Prefix: {shared},{parts}\r\n")
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op/config", &config(1, 5000, true));
    let pool = Arc::new(Pool {
        store: store.clone(),
        record: record.clone(),
        crashes: Mutex::default(),
        arrivals: Mutex::default(),
        running: Mutex::default(),
        cut: AtomicUsize::new(0),
        started: AtomicUsize::new(0),
        stopped: AtomicBool::new(false),
    });
    for _ in 0..REPLICAS {
        pool.start_replica();
    }
    let nodes: Vec<Node> = (1..=MACHINES)
        .map(|number| Node::start(&format!("front-{number}"), store.address))
        .collect();
    wait_fleet(&store, &nodes);

    let stop = Arc::new(AtomicBool::new(false));
    let sound: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(machine, node)| {
            let (stop, front, record) = (Arc::clone(&stop), node.front, record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("sound-{machine}-{number}");
                    let own = machine * 10_000 + number;
                    let parts = format!("c0de:60,d{own:x}:40");
                    let seen = send(
                        front,
                        "POST",
                        "/note/a",
                        &attempt,
                        &prompt(&parts),
                        &attempt,
                        5000,
                    );
                    if seen.status != 200 || !seen.answer.complete {
                        record.line(&format!(
                            "{attempt} answered {}, complete {}",
                            seen.status, seen.answer.complete
                        ));
                    }
                    sleep_ms(SOUND_PAUSE_MS);
                }
            })
        })
        .collect();
    sleep_ms(3000);
    let mut callers = Vec::new();
    for number in 0..DEADLY_REQUESTS {
        let (front, record) = (nodes[number % MACHINES].front, record.clone());
        callers.push(thread::spawn(move || {
            let attempt = format!("deadly-{number}");
            let parts = format!("{DEADLY},e{number:x}:40");
            let seen = send(
                front,
                "POST",
                "/note/a",
                &attempt,
                &prompt(&parts),
                &attempt,
                5000,
            );
            record.line(&format!("{attempt} answered {}", seen.status));
        }));
        sleep_ms(DEADLY_PAUSE_MS);
    }
    stop.store(true, Ordering::SeqCst);
    pool.stopped.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .chain(sound)
        .for_each(|caller| drop(caller.join()));

    check_running(&nodes, &record);
    for node in &nodes {
        let log = node.log();
        for line in log
            .lines()
            .filter(|line| line.contains("\"part\":\"crash\",\"event\":\"blocked\""))
        {
            record.line(&format!("{} log: {line}", node.name));
        }
    }
    let crashes = lock(&pool.crashes).clone();
    let Some(fifth) = crashes.get(COUNTED_CRASHES - 1) else {
        record.say(&format!("{} crashes; BUDGET: kept", crashes.len()));
        end(0);
    };
    let from = *fifth + ms(STABLE_WINDOW_MS);
    let late = lock(&pool.arrivals)
        .iter()
        .filter(|at| **at >= from)
        .count();
    record.say(&format!(
        "crashes {}; {late} requests with the part reached replicas from {STABLE_WINDOW_MS} ms after the fifth crash, {ALLOWED} are allowed; {} sound streams were cut by crashes",
        crashes.len(),
        pool.cut.load(Ordering::SeqCst)
    ));
    if late > ALLOWED {
        record.say("BUDGET: broken");
        end(BROKEN);
    }
    record.say("BUDGET: kept");
    end(0);
}
