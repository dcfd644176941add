//! The script of faults: orders to the stand-ins at their times.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request};

use crate::target::NamedServer;
use crate::workload::FaultSpec;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// One order with the address that it goes to.
struct FaultOrder {
    at: Duration,
    server: String,
    address: SocketAddr,
    body: String,
}

/// Sends the orders from a thread of their own; it returns those that failed.
pub(super) fn spawn_faults(
    faults: &[FaultSpec],
    servers: &[NamedServer],
    started: Instant,
) -> io::Result<JoinHandle<Vec<String>>> {
    let mut orders = faults
        .iter()
        .map(|fault| resolve(fault, servers))
        .collect::<io::Result<Vec<FaultOrder>>>()?;
    orders.sort_by_key(|order| order.at);
    thread::Builder::new().spawn(move || {
        let mut failed = Vec::new();
        for order in orders {
            let due = started + order.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Err(error) = send(&order) {
                failed.push(format!("{} at {:?}: {error}", order.server, order.at));
            }
        }
        failed
    })
}

fn resolve(fault: &FaultSpec, servers: &[NamedServer]) -> io::Result<FaultOrder> {
    let named = servers.iter().find(|server| server.name == fault.server);
    let address = match named {
        Some(server) => server.address,
        None => fault.server.parse().map_err(|_| {
            let reason = format!("no flag names the server {} of a fault", fault.server);
            io::Error::new(io::ErrorKind::InvalidInput, reason)
        })?,
    };
    Ok(FaultOrder {
        at: Duration::from_secs_f64(fault.at_seconds),
        server: fault.server.clone(),
        address,
        body: fault.control.clone(),
    })
}

fn send(order: &FaultOrder) -> io::Result<()> {
    let request = Request::post(format!("http://{}/control", order.address))
        .body(Body::from(order.body.clone()))
        .map_err(io::Error::other)?;
    let response = Client::new()
        .with_global_timeout(CONTROL_TIMEOUT)
        .request(request)?;
    match response.status().is_success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("status {}", response.status()))),
    }
}
