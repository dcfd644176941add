//! Unauthenticated connections, malformed frames and slow peers at a running listener.

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
use crate::peer::handshake::{ProofKey, accept_handshake, initiate_handshake};
use crate::peer::service::{PeerServiceRequest, PeerServiceResponse};
use crate::peer::wire::{MAX_FRAME_BYTES, call_context, caller_transport};
use crate::store::{VmEntry, VmState};

const SEED: u64 = 20_261_203;

fn io_runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime starts")
}

/// Opens a connection, with or without the handshake.
fn connect(runtime: &Runtime, address: SocketAddr, authenticates: bool) -> TcpStream {
    runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(address).await;
        let mut stream = stream.expect("the worker listens");
        if authenticates {
            let result = initiate_handshake(&mut stream, &ProofKey::new(&secret())).await;
            result.expect("the secret is right");
        }
        let stream = stream.into_std().expect("it is a socket");
        stream.set_nonblocking(false).expect("it is a socket");
        stream
    })
}

fn can_request_grant(fleet: &TestFleet, runtime: &Runtime) -> bool {
    let broker = vm_name(1);
    let pending = fleet.vms[0].handle.request_grant(&broker, request("r"));
    matches!(runtime.block_on(pending), Ok(GrantDecision::Granted(_)))
}

/// Fleet of the property, which can't take it as an argument.
static FUZZED_FLEET: OnceLock<TestFleet> = OnceLock::new();

/// Sends random bytes, half of them with a correct length prefix.
///
/// Returns whether a grant can still be requested.
fn grants_are_served_after_garbage(authenticates: bool, frames: Vec<Vec<u8>>) -> bool {
    let fleet = FUZZED_FLEET.get_or_init(|| TestFleet::start(2));
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    let mut stream = connect(&runtime, address, authenticates);
    for (index, bytes) in frames.iter().enumerate() {
        let length = (bytes.len() as u32).to_be_bytes();
        let head: &[u8] = if index % 2 == 0 { &length } else { &[] };
        let sent = stream.write_all(&[head, bytes].concat());
        if sent.is_err() {
            break;
        }
    }
    can_request_grant(fleet, &runtime)
}

#[test]
fn random_bytes_do_not_disturb_other_connections() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(200)
        .quickcheck(grants_are_served_after_garbage as fn(bool, Vec<Vec<u8>>) -> bool);
    let fleet = FUZZED_FLEET.get().expect("the property opened it");
    let counts = fleet.vms[1].handle.counts();
    fleet.vms.iter().for_each(|vm| vm.handle.shut_down());
    println!("{counts:?}");
    assert!(counts.failed_handshakes > 0);
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
            bytes: length(MAX_FRAME_BYTES + 1),
        },
        Case {
            name: "the longest frame length that can be encoded",
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
    let fleet = TestFleet::start(2);
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    for (index, case) in cases.iter().enumerate() {
        let mut stream = connect(&runtime, address, true);
        stream.write_all(&case.bytes).expect("the worker reads");
        let limit = Some(Duration::from_secs(2));
        stream.set_read_timeout(limit).expect("it is a socket");
        assert!(matches!(stream.read(&mut [0]), Ok(0)), "{}", case.name);
        let bad_frames = fleet.vms[1].handle.counts().bad_frames;
        assert_eq!(bad_frames, index as u64 + 1, "{}", case.name);
    }
    assert!(can_request_grant(&fleet, &runtime));
}

#[test]
fn idle_unauthenticated_connections_are_closed_and_others_served() {
    let fleet = TestFleet::start(2);
    let runtime = io_runtime();
    let address = fleet.vms[1].handle.local_address();
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| connect(&runtime, address, false))
        .collect();
    assert!(can_request_grant(&fleet, &runtime));
    let are_closed = || {
        let counts = fleet.vms[1].handle.counts();
        counts.refused_connections + counts.failed_handshakes >= 200
    };
    assert!(
        wait_for(Duration::from_secs(5), are_closed),
        "idle connections stay open"
    );
    assert!(fleet.vms[1].handle.counts().refused_connections > 0);
    drop(silent);
}

#[test]
fn a_vm_that_reads_no_replies_delays_no_other() {
    let fleet = TestFleet::start(2);
    fleet.vms[1].exchange.offer(ConfigSnapshot {
        revision: 1,
        document: vec![b'x'; 200_000],
    });
    let runtime = io_runtime();
    let stream = connect(&runtime, fleet.vms[1].handle.local_address(), true);
    stream.set_nonblocking(true).expect("it is a socket");
    let slow_caller = runtime.block_on(async {
        let stream = tokio::net::TcpStream::from_std(stream).expect("it is a socket");
        let mut calls = caller_transport::<_, _, PeerServiceResponse>(stream);
        for id in 0..150 {
            let call = ClientMessage::Request(Request {
                context: call_context(Duration::from_secs(60)),
                id,
                message: PeerServiceRequest::PullConfig { after: 0 },
            });
            calls.send(call).await.expect("the worker reads");
        }
        calls
    });
    // The replies exceed the socket buffers, so the worker can't write them.
    for _ in 0..50 {
        let begin = Instant::now();
        assert!(can_request_grant(&fleet, &runtime));
        assert!(begin.elapsed() < Duration::from_millis(300));
    }
    drop(slow_caller);
}

#[test]
fn a_vm_that_stops_responding_delays_no_other() {
    struct Case {
        name: &'static str,
        authenticates: bool,
        sends_heartbeats: bool,
        within: Duration,
    }
    let cases = [
        Case {
            name: "it accepts and sends nothing",
            authenticates: false,
            sends_heartbeats: false,
            within: Duration::from_millis(1_000),
        },
        Case {
            name: "it hangs after the handshake",
            authenticates: true,
            sends_heartbeats: false,
            within: Duration::from_millis(1_700),
        },
        Case {
            name: "it hangs, but its own heartbeats arrive",
            authenticates: true,
            sends_heartbeats: true,
            within: Duration::from_millis(1_700),
        },
    ];
    for case in cases {
        let fleet = TestFleet::start(2);
        let runtime = io_runtime();
        let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = unresponsive.local_addr().expect("it is bound");
        let mut sender = settings(2, 102);
        sender.advertised = Some(address);
        let sender = case
            .sends_heartbeats
            .then(|| TestVm::spawn(sender, fleet.directory.clone()));
        fleet.directory.list.lock().unwrap().push(VmEntry {
            vm: vm_name(2),
            address,
            data_centre: "dc-1".into(),
            state: VmState::Live,
        });
        let hanging = std::thread::spawn(move || hang(&unresponsive, case.authenticates));
        let requester = &fleet.vms[0];
        let is_listed = || requester.state_of(&vm_name(2)).is_some();
        assert!(wait_for(Duration::from_secs(1), is_listed), "not listed");
        let begin = Instant::now();
        let result = runtime.block_on(requester.handle.request_grant(&vm_name(2), request("r")));
        assert!(result.is_err(), "{}", case.name);
        let elapsed = begin.elapsed();
        assert!(elapsed < case.within, "{}: {elapsed:?}", case.name);
        println!("{}: {:?} after {elapsed:?}", case.name, result);
        assert!(can_request_grant(&fleet, &runtime));
        sender.iter().for_each(|vm| vm.handle.shut_down());
        drop(fleet);
        hanging.join().expect("it only waits");
    }
}

/// Accepts connections for three seconds and replies to no call.
fn hang(listener: &std::net::TcpListener, authenticates: bool) {
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
                if authenticates {
                    let result = accept_handshake(&mut stream, &key).await;
                    result.expect("the secret is right");
                }
                stream
            }));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
