//! Unauthenticated connections, garbage and slow peers at a live port.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures::SinkExt;
use quickcheck::{Gen, QuickCheck};
use tarpc::{ClientMessage, Request};
use tokio::runtime::{Builder, Runtime};

use super::fakes::{TestFleet, TestVm, request, secret, settings, wait_for};
use super::fleet::vm_name;
use crate::broker::GrantDecision;
use crate::configuration::{ConfigExchange, ConfigSnapshot};
use crate::peer::preface::{ProofKey, accept_preface, offer_preface};
use crate::peer::service::{PeerServiceRequest, PeerServiceResponse};
use crate::peer::wire::{FRAME_LIMIT, call_context, caller_transport};
use crate::store::{VmEntry, VmState};

const SEED: u64 = 20_261_203;

fn io_runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime starts")
}

/// Opens a connection, with the proof of the secret or without.
fn connect(runtime: &Runtime, address: SocketAddr, proves: bool) -> TcpStream {
    runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(address).await;
        let mut stream = stream.expect("the duty listens");
        if proves {
            let proved = offer_preface(&mut stream, &ProofKey::new(&secret())).await;
            proved.expect("the secret is right");
        }
        let stream = stream.into_std().expect("it is a socket");
        stream.set_nonblocking(false).expect("it is a socket");
        stream
    })
}

fn can_ask(fleet: &TestFleet, runtime: &Runtime) -> bool {
    let broker = vm_name(1);
    let ask = fleet.vms[0].handle.request_grant(&broker, request("r"));
    matches!(runtime.block_on(ask), Ok(GrantDecision::Granted(_)))
}

/// The fleet of the property, which takes plain arguments.
static FUZZED_FLEET: OnceLock<TestFleet> = OnceLock::new();

/// Sends bytes to a live port, some with the right length before them.
fn others_are_served(proves: bool, frames: Vec<Vec<u8>>) -> bool {
    let fleet = FUZZED_FLEET.get_or_init(|| TestFleet::open(2));
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    let mut stream = connect(&runtime, address, proves);
    for (index, bytes) in frames.iter().enumerate() {
        let length = (bytes.len() as u32).to_be_bytes();
        let head: &[u8] = if index % 2 == 0 { &length } else { &[] };
        let sent = stream.write_all(&[head, bytes].concat());
        if sent.is_err() {
            break;
        }
    }
    can_ask(fleet, &runtime)
}

#[test]
fn random_bytes_harm_nobody() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(200)
        .quickcheck(others_are_served as fn(bool, Vec<Vec<u8>>) -> bool);
    let fleet = FUZZED_FLEET.get().expect("the property opened it");
    let counts = fleet.vms[1].handle.counts();
    fleet.vms.iter().for_each(|vm| vm.handle.shut_down());
    println!("{counts:?}");
    assert!(counts.bad_prefaces > 0);
    assert!(counts.bad_frames > 0);
}

#[test]
fn bad_frames_end_the_connection() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let length = |bytes: usize| (bytes as u32).to_be_bytes().to_vec();
    let cases = [
        Case {
            name: "a frame that is too long",
            bytes: length(FRAME_LIMIT + 1),
        },
        Case {
            name: "the longest frame that can be written",
            bytes: vec![0xff; 4],
        },
        Case {
            name: "an empty frame",
            bytes: length(0),
        },
        Case {
            name: "an unknown message",
            bytes: [length(2), vec![9, 9]].concat(),
        },
        Case {
            name: "a text longer than its frame",
            bytes: [
                length(11),
                vec![0, 1, 1, 4, 253, 255, 255, 255, 255, 255, 255],
            ]
            .concat(),
        },
    ];
    let fleet = TestFleet::open(2);
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    for (index, case) in cases.iter().enumerate() {
        let mut stream = connect(&runtime, address, true);
        stream.write_all(&case.bytes).expect("the duty reads");
        let limit = Some(Duration::from_secs(2));
        stream.set_read_timeout(limit).expect("it is a socket");
        assert!(matches!(stream.read(&mut [0]), Ok(0)), "{}", case.name);
        let bad_frames = fleet.vms[1].handle.counts().bad_frames;
        assert_eq!(bad_frames, index as u64 + 1, "{}", case.name);
    }
    assert!(can_ask(&fleet, &runtime));
}

#[test]
fn idle_unauthenticated_connections_are_closed_and_others_served() {
    let fleet = TestFleet::open(2);
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| connect(&runtime, address, false))
        .collect();
    assert!(can_ask(&fleet, &runtime));
    let is_cut = || {
        let counts = fleet.vms[1].handle.counts();
        counts.refused_connections + counts.bad_prefaces >= 200
    };
    assert!(wait_for(Duration::from_secs(5), is_cut), "they stay");
    assert!(fleet.vms[1].handle.counts().refused_connections > 0);
    drop(silent);
}

#[test]
fn a_vm_that_reads_no_answers_holds_up_nobody() {
    let fleet = TestFleet::open(2);
    fleet.vms[1].exchange.offer(ConfigSnapshot {
        revision: 1,
        document: vec![b'x'; 200_000],
    });
    let runtime = io_runtime();
    let stream = connect(&runtime, fleet.vms[1].handle.local_address(), true);
    stream.set_nonblocking(true).expect("it is a socket");
    let slow = runtime.block_on(async {
        let stream = tokio::net::TcpStream::from_std(stream).expect("it is a socket");
        let mut calls = caller_transport::<_, _, PeerServiceResponse>(stream);
        for id in 0..150 {
            let call = ClientMessage::Request(Request {
                context: call_context(Duration::from_secs(60)),
                id,
                message: PeerServiceRequest::PullConfig { after: 0 },
            });
            calls.send(call).await.expect("the duty reads");
        }
        calls
    });
    // The answers exceed what the sockets hold, so the duty can't write them.
    for _ in 0..50 {
        let begin = Instant::now();
        assert!(can_ask(&fleet, &runtime));
        assert!(begin.elapsed() < Duration::from_millis(300));
    }
    drop(slow);
}

#[test]
fn a_vm_that_falls_silent_holds_up_nobody() {
    struct Case {
        name: &'static str,
        proves: bool,
        asks: bool,
        within: Duration,
    }
    let cases = [
        Case {
            name: "it accepts and never speaks",
            proves: false,
            asks: false,
            within: Duration::from_millis(1_000),
        },
        Case {
            name: "it hangs after the proof",
            proves: true,
            asks: false,
            within: Duration::from_millis(1_700),
        },
        Case {
            name: "it hangs, but its own heartbeats arrive",
            proves: true,
            asks: true,
            within: Duration::from_millis(1_700),
        },
    ];
    for case in cases {
        let fleet = TestFleet::open(2);
        let runtime = io_runtime();
        let mute = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = mute.local_addr().expect("it is bound");
        let mut half = settings(2, 102);
        half.advertised = Some(address);
        let half = case
            .asks
            .then(|| TestVm::spawn(half, fleet.directory.clone()));
        fleet.directory.list.lock().unwrap().push(VmEntry {
            vm: vm_name(2),
            address,
            data_centre: "dc-1".into(),
            state: VmState::Live,
        });
        let hanging = std::thread::spawn(move || hang(&mute, case.proves));
        let asker = &fleet.vms[0];
        let is_listed = || asker.state_of(&vm_name(2)).is_some();
        assert!(wait_for(Duration::from_secs(1), is_listed), "not listed");
        let begin = Instant::now();
        let asked = runtime.block_on(asker.handle.request_grant(&vm_name(2), request("r")));
        assert!(asked.is_err(), "{}", case.name);
        let spent = begin.elapsed();
        assert!(spent < case.within, "{}: {spent:?}", case.name);
        println!("{}: {:?} after {spent:?}", case.name, asked);
        assert!(can_ask(&fleet, &runtime));
        half.iter().for_each(|vm| vm.handle.shut_down());
        drop(fleet);
        hanging.join().expect("it only waits");
    }
}

/// Accepts connections for two seconds and answers no call.
fn hang(listener: &std::net::TcpListener, proves: bool) {
    listener.set_nonblocking(true).expect("it is a socket");
    let runtime = io_runtime();
    let key = ProofKey::new(&secret());
    let begin = Instant::now();
    let mut held = Vec::new();
    while begin.elapsed() < Duration::from_secs(3) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).expect("it is a socket");
            held.push(runtime.block_on(async {
                let stream = tokio::net::TcpStream::from_std(stream);
                let mut stream = stream.expect("it is a socket");
                if proves {
                    let proved = accept_preface(&mut stream, &key).await;
                    proved.expect("the secret is right");
                }
                stream
            }));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
