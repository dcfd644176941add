//! Ports for the programs that tests start.
//!
//! A program is given its port before it binds it, so that the port must stay
//! unused meanwhile. Each test process holds blocks of ports: it listens on the
//! first port of a block until it ends, and hands out the others once each. No
//! other test process takes a port of that block, and the range ends below the
//! system's ephemeral ports, so that no outgoing connection or listener at port 0
//! does. Ports that programs outside the tests use are passed over if they are in
//! use when the port is handed out.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// First port of the first block; lower ports are for fixed addresses.
const FIRST_PORT: u16 = 10_000;

/// Number of ports of a block. A process takes another block when it has used one
/// up.
const BLOCK_PORTS: u16 = 200;

/// Number of blocks. The last one ends below 32,768, the first ephemeral port of
/// Linux.
const BLOCK_COUNT: u16 = 110;

/// Timeout of the connection that shows whether a port is in use.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static BLOCK: Mutex<PortBlock> = Mutex::new(PortBlock::new());

/// Ports that this process may hand out.
struct PortBlock {
    /// Listens on the first port of each block that this process holds.
    guards: Vec<TcpListener>,
    /// The next port to hand out.
    next: u16,
    /// The port behind the block.
    end: u16,
}

impl PortBlock {
    const fn new() -> Self {
        Self {
            guards: Vec::new(),
            next: 0,
            end: 0,
        }
    }

    /// Takes a block that no process holds.
    fn take_block(&mut self) {
        // Other processes start their search elsewhere.
        let start = std::process::id() % u32::from(BLOCK_COUNT);
        let indices = (0..BLOCK_COUNT).map(|step| (start as u16 + step) % BLOCK_COUNT);
        let mut firsts = indices.map(|index| FIRST_PORT + index * BLOCK_PORTS);
        let taken = firsts.find_map(|first| {
            let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).ok()?;
            Some((first, guard))
        });
        let (first, guard) = taken.expect("a block of ports is free");
        self.guards.push(guard);
        self.next = first + 1;
        self.end = first + BLOCK_PORTS;
    }

    fn take_ports(&mut self, count: u16) -> u16 {
        loop {
            while self.next + count > self.end {
                self.take_block();
            }
            let first = self.next;
            self.next += count;
            if (first..self.next).all(is_unused) {
                return first;
            }
        }
    }
}

/// Returns whether nothing listens at a port.
///
/// A connection is tried, since a child process that another thread starts could
/// inherit a listener and hold the port for a moment. A listener whose queue is full
/// answers nothing.
fn is_unused(port: u16) -> bool {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns the first of `count` consecutive unused ports that no other call in
/// any test process returns while this process runs.
///
/// # Panics
///
/// Panics if `count` is not below 200, or if test processes hold all ports.
///
/// # Examples
///
/// ```
/// let first = standins::ports::free_ports(3);
/// assert!(standins::ports::free_ports(1) != first + 2);
/// ```
#[must_use]
pub fn free_ports(count: u16) -> u16 {
    assert!(count < BLOCK_PORTS, "{count} ports exceed a block");
    let mut block = BLOCK.lock().unwrap_or_else(|error| error.into_inner());
    block.take_ports(count)
}

/// Returns a loopback address with a port like those of [`free_ports`].
///
/// Connections to it are refused until something binds it.
///
/// # Panics
///
/// Panics if test processes hold all ports.
///
/// # Examples
///
/// ```
/// let address = standins::ports::free_address();
/// assert!(address.ip().is_loopback());
/// ```
#[must_use]
pub fn free_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, free_ports(1)))
}
