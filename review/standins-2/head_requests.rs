//! Clients send HEAD and GET by turns on kept connections while the platform's store is
//! silent for some seconds.

mod stage;

use stage::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

const MACHINES: usize = 3;
const CLIENTS: usize = 2;
const PAUSE_MS: u64 = 100;

/// Time for which the store is silent.
const SILENT_MS: u64 = 8000;

/// Time after the end of a HEAD's answer in which nothing may follow.
const QUIET_MS: u64 = 30;

#[derive(Default)]
struct Counts {
    heads: AtomicU64,
    refused_heads: AtomicU64,
    /// Answers to HEAD after which bytes followed.
    trailing: AtomicU64,
    gets: AtomicU64,
    /// Answers to GET that couldn't be read, or weren't those of the request.
    misread: AtomicU64,
}

fn play(front: SocketAddr, client: usize, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut kept = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        sleep_ms(PAUSE_MS);
        kept = kept.or_else(|| Kept::open(front));
        let Some(connection) = &mut kept else {
            continue;
        };
        let path = format!("/read/{client}-{number}");
        let (first, second) = (
            format!("head-{client}-{number}"),
            format!("get-{client}-{number}"),
        );
        let Some(head) = connection.send("HEAD", &path, &first) else {
            kept = None;
            continue;
        };
        counts.heads.fetch_add(1, Ordering::SeqCst);
        counts
            .refused_heads
            .fetch_add(u64::from(head.status() != 200), Ordering::SeqCst);
        let unasked = connection.unasked(ms(QUIET_MS));
        if !unasked.is_empty() {
            counts.trailing.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "{first} answered {}, then {unasked:?}",
                head.status()
            ));
        }
        let answer = connection.send("GET", &path, &second);
        counts.gets.fetch_add(1, Ordering::SeqCst);
        let is_proper = answer.as_ref().is_some_and(|answer| {
            let is_answer = answer.line.starts_with("HTTP/1.1 ") && answer.complete;
            is_answer && (answer.status() != 200 || answer.field("x-attempt-id") == Some(&second))
        });
        if !is_proper {
            counts.misread.fetch_add(1, Ordering::SeqCst);
            let line = answer.map(|answer| answer.line);
            record.line(&format!("{second}: the answer begins with {line:?}"));
            kept = None;
        }
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put("op/config", &config(1, 3000, false));
    let servers: Vec<Server> = (0..3)
        .map(|number| {
            Server::start(&format!("i-{number}"), "desk", "v1", None, |arrival| {
                if arrival.request.method() != "HEAD" {
                    return arrival.answer(200, "", "the archived copy");
                }
                let (id, attempt) = (arrival.server.id.clone(), arrival.attempt());
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{id}\r\nContent-Length: 17\r\n\r\n"
                );
                arrival.stream.write_all(head.as_bytes()).is_ok()
            })
        })
        .collect();
    for server in &servers {
        server.register(&store, "ready");
    }
    let nodes: Vec<Node> = (1..=MACHINES)
        .map(|number| Node::start(&format!("front-{number}"), store.address))
        .collect();
    wait_fleet(&store, &nodes);
    let (stop, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Counts::default()),
    );
    let clients: Vec<_> = (0..MACHINES * CLIENTS)
        .map(|client| {
            let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), record.clone());
            let front = nodes[client % MACHINES].front;
            thread::spawn(move || play(front, client, &stop, &counts, &record))
        })
        .collect();
    sleep_ms(3000);
    let begun = Instant::now();
    if has_trouble() {
        record.line("the store falls silent");
        store.set_silent(true);
    }
    thread::sleep(ms(SILENT_MS).saturating_sub(begun.elapsed()));
    store.set_silent(false);
    record.line("the store answers");
    sleep_ms(5000);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    check_running(&nodes, &record);
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "{} HEAD requests, {} of them answered by the machines themselves; bytes followed {} answers to HEAD; {} of {} answers to GET on the same connections couldn't be read",
        count(&counts.heads),
        count(&counts.refused_heads),
        count(&counts.trailing),
        count(&counts.misread),
        count(&counts.gets)
    ));
    if count(&counts.trailing) + count(&counts.misread) > 0 {
        record.say("MIXED: broken");
        end(BROKEN);
    }
    record.say("MIXED: kept");
    end(0);
}
