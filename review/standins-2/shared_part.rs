//! A part of a prompt crashes each replica that begins to write an answer on it.
//! Sound requests share only the first part of their prompts with such requests.

mod stage;

use stage::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 3;
const REPLICAS: usize = 16;

/// First part of all prompts of the route, and the part that crashes replicas.
const SHARED: &str = "f00:800";
const DEADLY: &str = "bad0:60";

/// Time that a replica reads a prompt before it writes.
const PREFILL_MS: u64 = 30;

/// Time after which a replica that has crashed is back.
const BACK_MS: u64 = 3000;

/// Sound requests come in batches, as of a caller that refreshes its briefs.
const BATCH: usize = 6;
const BATCH_PAUSE_MS: u64 = 5000;

/// Batches before the first crash, and time from the last of them to the first
/// request that crashes replicas.
const CALM_BATCHES: usize = 5;
const DEADLY_AFTER_MS: u64 = 2000;

/// Pause between two requests that crash replicas.
const DEADLY_PAUSE_MS: u64 = 150;

/// Time after the fifth crash for which the case goes on.
const TAIL_MS: u64 = 30_000;

struct Pool {
    store: Store,
    record: Record,
    crashes: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<Instant>>,
    running: Mutex<HashMap<String, Server>>,
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
        let (id, attempt) = (arrival.server.id.clone(), arrival.attempt());
        if is_deadly {
            lock(&self.arrivals).push(Instant::now());
        }
        sleep_ms(PREFILL_MS);
        if arrival.server.is_down() {
            return false;
        }
        if is_deadly {
            self.crash(arrival.server, &attempt);
            return false;
        }
        self.record.line(&format!("{id} runs {attempt}"));
        let begun = arrival.begin_stream("")
            && (1..=4).all(|event| {
                sleep_ms(10);
                arrival.send_event(event, "tokens")
            });
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
            sleep_ms(600);
            pool.store.remove(&key);
        });
    }
}

struct Sound {
    sent: Instant,
    begun: bool,
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
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();

    let stop = Arc::new(AtomicBool::new(false));
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let sender = {
        let (stop, sound, record, fronts) = (
            Arc::clone(&stop),
            Arc::clone(&sound),
            record.clone(),
            fronts.clone(),
        );
        thread::spawn(move || {
            let mut callers = Vec::new();
            let mut next = Instant::now();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let front = fronts[number % fronts.len()];
                let (sound, record) = (Arc::clone(&sound), record.clone());
                callers.push(thread::spawn(move || {
                    let sent = Instant::now();
                    let attempt = format!("sound-{number}");
                    let parts = format!("{SHARED},c0{number:x}:60,d0{number:x}:40");
                    let seen = send(
                        front,
                        "POST",
                        "/brief/a",
                        &attempt,
                        &prompt(&parts),
                        &attempt,
                        5000,
                    );
                    let begun = seen.status == 200 && seen.answer.text().starts_with("id: 1\n");
                    record.line(&format!(
                        "{attempt} answered {} begun {begun} retry-after {}",
                        seen.status,
                        seen.answer.field("retry-after").unwrap_or("-")
                    ));
                    lock(&sound).push(Sound { sent, begun });
                }));
                if number % BATCH == BATCH - 1 {
                    next += ms(BATCH_PAUSE_MS);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            }
            callers.into_iter().for_each(|caller| drop(caller.join()));
        })
    };
    let wait_for_sound = |count: usize| {
        while lock(&sound).len() < count {
            sleep_ms(20);
        }
    };
    wait_for_sound(CALM_BATCHES * BATCH);
    sleep_ms(DEADLY_AFTER_MS);
    let first_deadly = Instant::now();
    record.line("the calm has ended");
    let mut deadly = Vec::new();
    let mut number = 0;
    let mut fifth: Option<Instant> = None;
    loop {
        let crashes = lock(&pool.crashes).clone();
        fifth = fifth.or(crashes.get(4).copied());
        let since = fifth.unwrap_or(first_deadly);
        let is_over = since.elapsed() >= ms(TAIL_MS);
        if is_over {
            break;
        }
        if has_trouble() {
            let front = fronts[number % fronts.len()];
            let record = record.clone();
            deadly.push(thread::spawn(move || {
                let attempt = format!("deadly-{number}");
                let parts = format!("{SHARED},{DEADLY},e0{number:x}:40");
                let seen = send(
                    front,
                    "POST",
                    "/brief/a",
                    &attempt,
                    &prompt(&parts),
                    &attempt,
                    5000,
                );
                if number < 40 || number % 50 == 0 {
                    record.line(&format!("{attempt} answered {}", seen.status));
                }
            }));
            number += 1;
        }
        // After the first burst they come at a slower pace.
        sleep_ms(if number > 12 {
            4 * DEADLY_PAUSE_MS
        } else {
            DEADLY_PAUSE_MS
        });
    }
    stop.store(true, Ordering::SeqCst);
    pool.stopped.store(true, Ordering::SeqCst);
    let _ = sender.join();
    deadly.into_iter().for_each(|caller| drop(caller.join()));

    check_running(&nodes, &record);
    for node in &nodes {
        let log = node.log();
        for line in log
            .lines()
            .filter(|line| line.contains("\"part\":\"crash\"") && line.contains("blocked"))
        {
            record.line(&format!("{} log: {line}", node.name));
        }
    }
    let crashes = lock(&pool.crashes).clone();
    let since = fifth.or(crashes.last().copied()).unwrap_or(first_deadly);
    let window = since + ms(2 * STABLE_WINDOW_MS);
    let sound = lock(&sound);
    let share = |requests: &[&Sound]| {
        let begun = requests.iter().filter(|request| request.begun).count();
        (
            begun,
            requests.len(),
            begun as f64 / requests.len().max(1) as f64,
        )
    };
    let calm: Vec<&Sound> = sound
        .iter()
        .filter(|request| request.sent + ms(1000) < first_deadly)
        .collect();
    let late: Vec<&Sound> = sound
        .iter()
        .filter(|request| request.sent >= window)
        .collect();
    let (before, after) = (share(&calm), share(&late));
    let spread = crashes.get(4).map(|fifth| fifth.duration_since(crashes[0]));
    record.say(&format!(
        "crashes {}, the first five within {:?}; sound requests begun: {} of {} in calm, {} of {} from {} ms after the fifth crash",
        crashes.len(),
        spread.unwrap_or(Duration::ZERO),
        before.0,
        before.1,
        after.0,
        after.1,
        2 * STABLE_WINDOW_MS
    ));
    if before.1 < 20 || after.1 < 20 {
        record.say("too few sound requests to judge");
        end(UNABLE);
    }
    if after.2 < before.2 / 2.0 {
        record.say("LOST: broken");
        end(BROKEN);
    }
    record.say("LOST: kept");
    end(0);
}

fn prompt(parts: &str) -> String {
    format!("X-Model: m\r\nX-Token-Counts: 900,16\r\nX-Prompt-Prefix: {parts}\r\n")
}
