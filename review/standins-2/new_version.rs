//! A request that replicas have served crashes each replica of the next version of
//! their software. Its caller goes on asking.

mod stage;

use stage::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const MACHINES: usize = 3;
const REPLICAS: usize = 8;

/// Target of the request that crashes replicas of the new version.
const DEADLY: &str = "/read/popular";

/// Time that a replica runs the request before it crashes.
const RUN_MS: u64 = 20;

/// Time that a replica needs for another request.
const WORK_MS: u64 = 150;

/// Time after which a replica that has crashed is back.
const BACK_MS: u64 = 2500;

/// Pause between two requests of each caller that goes on asking; there is one at
/// each machine.
const ASK_PAUSE_MS: u64 = 1000;

/// Time before the release, and time that is played after it.
const CALM_MS: u64 = 6000;
const AFTER_MS: u64 = 72_000;

/// Callers of other requests at each machine.
const SOUND_CALLERS: usize = 4;

/// Crashes after which repetitions count, and how many are allowed.
const COUNTED_CRASHES: usize = 3;
const ALLOWED: usize = 3;

struct Desk {
    store: Store,
    record: Record,
    start: Instant,
    arrivals: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    cut: AtomicUsize,
    started: AtomicUsize,
    stopped: AtomicBool,
}

impl Desk {
    fn start_replica(self: &Arc<Self>, version: &'static str) -> Server {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let desk = Arc::clone(self);
        let id = format!("i-{number:04x}");
        let server = Server::start(&id, "desk", version, None, move |arrival| desk.run(arrival));
        server.register(&self.store, "ready");
        server
    }

    fn run(self: &Arc<Self>, arrival: &mut Arrival<'_>) -> bool {
        let attempt = arrival.attempt();
        if arrival.request.target() != DEADLY {
            sleep_ms(WORK_MS);
            if arrival.server.is_down() {
                self.cut.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "{} was running {attempt} as it crashed",
                    arrival.server.id
                ));
                return false;
            }
            return arrival.answer(200, "", "filed");
        }
        let (id, version) = (arrival.server.id.clone(), arrival.server.version.clone());
        self.record
            .line(&format!("{attempt} reaches {id} of {version}"));
        sleep_ms(RUN_MS);
        if version == "v1" || !has_trouble() {
            return arrival.answer(200, "", "popular");
        }
        lock(&self.arrivals).push(Instant::now());
        if arrival.server.crash() {
            lock(&self.crashes).push(Instant::now());
            self.record.line(&format!("{id} crashes on {attempt}"));
            let desk = Arc::clone(self);
            thread::spawn(move || {
                sleep_ms(BACK_MS);
                if !desk.stopped.load(Ordering::SeqCst) {
                    desk.start_replica("v2");
                }
                // Three heartbeats of silence.
                sleep_ms(1100);
                desk.store.remove(&format!("servers/{id}"));
            });
        }
        false
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op/config", &config(1, 3000, false));
    let desk = Arc::new(Desk {
        store: store.clone(),
        record: record.clone(),
        start: Instant::now(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        cut: AtomicUsize::new(0),
        started: AtomicUsize::new(0),
        stopped: AtomicBool::new(false),
    });
    let old: Vec<Server> = (0..REPLICAS).map(|_| desk.start_replica("v1")).collect();
    let nodes: Vec<Node> = (1..=MACHINES)
        .map(|number| Node::start(&format!("front-{number}"), store.address))
        .collect();
    wait_fleet(&store, &nodes);

    let stop = Arc::new(AtomicBool::new(false));
    let mut callers: Vec<_> = (0..MACHINES * SOUND_CALLERS)
        .map(|caller| {
            let front = nodes[caller % MACHINES].front;
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("sound-{caller}-{number}");
                    let path = format!("/file/{caller}-{number}");
                    let seen = send(front, "POST", &path, &attempt, "", &attempt, 3000);
                    if seen.status != 200 {
                        record.line(&format!("{attempt} answered {}", seen.status));
                    }
                    sleep_ms(100);
                }
            })
        })
        .collect();
    for (asker, node) in nodes.iter().enumerate() {
        let (stop, record, front) = (Arc::clone(&stop), record.clone(), node.front);
        callers.push(thread::spawn(move || {
            sleep_ms(ASK_PAUSE_MS / MACHINES as u64 * asker as u64);
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let begun = Instant::now();
                let attempt = format!("popular-{asker}-{number}");
                let seen = send(front, "GET", DEADLY, &attempt, "", "", 3000);
                record.line(&format!("{attempt} answered {}", seen.status));
                thread::sleep(ms(ASK_PAUSE_MS).saturating_sub(begun.elapsed()));
            }
        }));
    }
    sleep_ms(CALM_MS);
    record.line("the replicas are replaced by those of v2");
    for _ in 0..REPLICAS {
        desk.start_replica("v2");
    }
    for server in &old {
        server.register(&store, "draining");
    }
    sleep_ms(DRAIN_MS + 1000);
    for server in &old {
        store.remove(&format!("servers/{}", server.id));
        server.crash();
    }
    record.line("the replicas of v1 have left");
    sleep_ms(AFTER_MS);
    stop.store(true, Ordering::SeqCst);
    desk.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    check_running(&nodes, &record);
    let crashes = lock(&desk.crashes).clone();
    let Some(third) = crashes.get(COUNTED_CRASHES - 1) else {
        record.say(&format!("{} crashes; BUDGET: kept", crashes.len()));
        end(0);
    };
    let from = *third + ms(STABLE_WINDOW_MS);
    let late: Vec<u128> = lock(&desk.arrivals)
        .iter()
        .filter(|at| **at >= from)
        .map(|at| at.duration_since(desk.start).as_millis())
        .collect();
    record.say(&format!(
        "crashes {}, the third {} ms after the start; {} repetitions reached replicas from {STABLE_WINDOW_MS} ms after it, {ALLOWED} are allowed: at {late:?} ms; {} sound requests were cut by crashes",
        crashes.len(),
        third.duration_since(desk.start).as_millis(),
        late.len(),
        desk.cut.load(Ordering::SeqCst)
    ));
    if late.len() > ALLOWED {
        record.say("BUDGET: broken");
        end(BROKEN);
    }
    record.say("BUDGET: kept");
    end(0);
}
