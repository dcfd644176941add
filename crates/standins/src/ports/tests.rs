//! Tests of the ports that are handed out.

use std::collections::BTreeSet;
use std::net::TcpListener;

use super::{BLOCK_PORTS, PortBlock, free_address};

/// Guards against two processes that choose the same port before either has bound
/// it. Blocks of one process exclude each other as those of two processes do.
#[test]
fn blocks_that_are_held_at_the_same_time_share_no_port() {
    let mut blocks = [const { PortBlock::new() }; 2];
    let mut seen = BTreeSet::new();
    for _ in 0..BLOCK_PORTS {
        for block in &mut blocks {
            let first = block.take_ports(3);
            assert!((first..first + 3).all(|port| seen.insert(port)), "{first}");
        }
    }
}

/// Guards against a program that can't start since another one, which reserves no
/// ports, uses its port.
#[test]
fn a_port_in_use_is_passed_over() {
    let mut block = PortBlock::new();
    let used = block.take_ports(1) + 1;
    let _other = TcpListener::bind(("127.0.0.1", used)).expect("the port is free");
    assert_eq!(block.take_ports(1), used + 1);
    assert_eq!(block.take_ports(2), used + 2);
}

/// Guards against a port that an outgoing connection occupies before it is bound.
#[test]
fn ports_are_not_ephemeral() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let ephemeral = listener.local_addr().expect("it has an address").port();
    let port = free_address().port();
    assert!(port < 32_768 && port < ephemeral, "{port}, {ephemeral}");
}
